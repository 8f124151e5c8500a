//go:build linux

package emulator

import (
	"encoding/json"
	"fmt"
	"strings"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/api"
	"heathshed/internal/audit"
	"heathshed/internal/emulator/fault"
	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
	"heathshed/internal/httpd"
	"heathshed/internal/store"
)

// InventoryOptions describe a stand-in inventory.
type InventoryOptions struct {
	Listen      string
	Late        float64 // seconds after which what machines report is shown
	SilentAfter float64 // a machine that has not reported for so long is shown as not ready
	RemoveAfter float64 // and for so long is taken out; 0 never
	History     int
	// Tap, if set, is told how each machine is shown, and of cuts.
	Tap func(audit.Event)
}

// Inventory lists the machines that report to it.
type Inventory struct {
	o      InventoryOptions
	l      *eventloop.Loop
	http   *httpd.Server
	api    *api.Server
	st     *store.Store
	addr   string
	seen   map[string]float64
	last   map[string]*corev1.Node
	hidden map[string]bool
	empty  float64
	cut    float64
	shown  int64
}

// StartInventory puts an inventory on a socket.
func StartInventory(l *eventloop.Loop, o InventoryOptions) (*Inventory, error) {
	if o.SilentAfter <= 0 {
		o.SilentAfter = 2
	}
	if o.History <= 0 {
		o.History = 5000
	}
	v := &Inventory{o: o, l: l, addr: o.Listen, st: store.New(int64(l.Now()*1e6), o.History), seen: map[string]float64{},
		last: map[string]*corev1.Node{}, hidden: map[string]bool{}}
	v.api = &api.Server{Store: v.st, Version: "standin"}
	if err := v.listen(); err != nil {
		return nil, err
	}
	var check func()
	check = func() {
		v.check()
		l.After(0.25, check)
	}
	l.After(0.25, check)
	return v, nil
}

func (v *Inventory) listen() error {
	opt := httpd.DefaultOptions()
	opt.IdleWithin = 600
	srv, err := httpd.Listen(v.l, v.addr, opt, v.serve)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	v.http, v.addr = srv, srv.Addr()
	return nil
}

// Addr is where the inventory listens.
func (v *Inventory) Addr() string { return v.addr }

func (v *Inventory) serve(x *httpd.Exchange) {
	path, _, _ := strings.Cut(x.Head.Target, "?")
	switch {
	case x.Head.Method == "PUT" && strings.HasPrefix(path, "/api/v1/nodes/") && strings.HasSuffix(path, "/status"):
		o := &corev1.Node{}
		if err := json.Unmarshal(x.Body, o); err != nil || o.Name == "" || len(o.Status.Conditions) == 0 {
			x.Respond(status(400, "BadRequest", "want a Node with a name and conditions"))
			return
		}
		x.Respond(http1.Response{Status: 204})
		v.l.After(v.o.Late, func() { v.report(o) })
	case x.Head.Method == "PUT" && path == "/heathshed/faults":
		var f fault.Inventory
		if err := json.Unmarshal(x.Body, &f); err != nil {
			x.Respond(status(400, "BadRequest", "faults: "+err.Error()))
			return
		}
		x.Respond(http1.Response{Status: 204})
		v.Fault(f)
	default:
		x.Respond(v.api.Serve(v.l.Now(), &x.Request))
	}
}

// report shows what a machine says of itself.
func (v *Inventory) report(o *corev1.Node) {
	v.seen[o.Name] = v.l.Now()
	v.last[o.Name] = o
	v.show(o, true)
	v.kick()
}

func (v *Inventory) tap(what, node string) {
	if v.o.Tap != nil {
		v.o.Tap(audit.Event{At: v.l.Now(), What: what, Node: node})
	}
}

func (v *Inventory) show(o *corev1.Node, ready bool) {
	if v.hidden[o.Name] || v.l.Now() < v.empty {
		if v.st.Delete(store.Nodes, "", o.Name) {
			v.tap(audit.ListedGone, o.Name)
		}
		return
	}
	switch was, _ := v.st.Get(store.Nodes, "", o.Name).(*corev1.Node); {
	case !ready:
		v.tap(audit.ListedGone, o.Name)
	case o.Spec.Unschedulable:
		v.tap(audit.ListedDraining, o.Name)
	case was == nil || was.Spec.Unschedulable || was.Status.Conditions[0].Status != corev1.ConditionTrue:
		v.tap(audit.ListedReady, o.Name)
	}
	o = o.DeepCopy()
	o.ResourceVersion = ""
	if !ready {
		for i := range o.Status.Conditions {
			if c := &o.Status.Conditions[i]; c.Type == corev1.NodeReady {
				c.Status, c.Reason = corev1.ConditionUnknown, "NodeStatusUnknown"
			}
		}
	}
	v.st.Put(store.Nodes, o)
}

func (v *Inventory) kick() {
	if rev := v.st.Rev(); rev != v.shown {
		v.shown = rev
		v.api.Advance(v.l.Now())
		v.http.Kick()
	}
}

// check looks for machines that have gone silent.
func (v *Inventory) check() {
	now := v.l.Now()
	for name, at := range v.seen {
		cur, _ := v.st.Get(store.Nodes, "", name).(*corev1.Node)
		switch {
		case v.o.RemoveAfter > 0 && now-at > v.o.RemoveAfter:
			delete(v.seen, name)
			delete(v.last, name)
			v.st.Delete(store.Nodes, "", name)
			v.tap(audit.ListedGone, name)
		case now-at > v.o.SilentAfter && cur != nil && cur.Status.Conditions[0].Status == corev1.ConditionTrue:
			v.show(v.last[name], false)
		}
	}
	v.api.Advance(now)
	v.http.Kick()
	v.kick()
}

// Fault makes the inventory faulty.
func (v *Inventory) Fault(f fault.Inventory) {
	now := v.l.Now()
	if f.Cut > 0 {
		v.cut = now + f.Cut
		v.tap(audit.CutOff, "")
		v.http.Close()
		var again func()
		again = func() {
			if v.l.Now() < v.cut-0.001 {
				return
			}
			if err := v.listen(); err != nil {
				v.l.After(0.1, again)
				return
			}
			v.tap(audit.CutOver, "")
		}
		v.l.After(f.Cut, again)
	}
	if f.Empty > 0 {
		v.empty = now + f.Empty
	}
	if f.Hide != nil || f.Empty > 0 {
		v.hidden = map[string]bool{}
		for _, name := range f.Hide {
			v.hidden[name] = true
		}
		for _, o := range v.last {
			v.show(o, true)
		}
		v.kick()
	}
}

// Machines is the number of machines shown.
func (v *Inventory) Machines() int { return v.st.Len(store.Nodes) }
