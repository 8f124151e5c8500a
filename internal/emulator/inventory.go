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
	Listen            string
	PublishDelay      float64 // seconds after which what machines report is shown
	UnresponsiveAfter float64 // a machine that has not reported for so long is shown as not ready
	RemoveAfter       float64 // and for so long is taken out; 0 never
	History           int
	// Tap, if set, is told how each machine is shown, and of cuts.
	OnEvent func(audit.Event)
}

// Inventory lists the machines that report to it.
type Inventory struct {
	options          InventoryOptions
	loop             *eventloop.Loop
	server           *httpd.Server
	api              *api.Server
	store            *store.Store
	addr             string
	reportedAt       map[string]float64
	reported         map[string]*corev1.Node
	hidden           map[string]bool
	emptyUntil       float64
	unreachableUntil float64
	shownRevision    int64
}

// StartInventory puts an inventory on a socket.
func StartInventory(loop *eventloop.Loop, options InventoryOptions) (*Inventory, error) {
	if options.UnresponsiveAfter <= 0 {
		options.UnresponsiveAfter = 2
	}
	if options.History <= 0 {
		options.History = 5000
	}
	inv := &Inventory{options: options, loop: loop, addr: options.Listen, store: store.New(int64(loop.Now()*1e6), options.History), reportedAt: map[string]float64{},
		reported: map[string]*corev1.Node{}, hidden: map[string]bool{}}
	inv.api = &api.Server{Store: inv.store, Version: "standin"}
	if err := inv.listen(); err != nil {
		return nil, err
	}
	var check func()
	check = func() {
		inv.checkUnresponsive()
		loop.After(0.25, check)
	}
	loop.After(0.25, check)
	return inv, nil
}

func (inv *Inventory) listen() error {
	serverOptions := httpd.DefaultOptions()
	serverOptions.IdleTimeoutSeconds = 600
	server, err := httpd.Listen(inv.loop, inv.addr, serverOptions, inv.serve)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	inv.server, inv.addr = server, server.Addr()
	return nil
}

// Addr is where the inventory listens.
func (inv *Inventory) Addr() string { return inv.addr }

func (inv *Inventory) serve(exchange *httpd.Exchange) {
	path, _, _ := strings.Cut(exchange.Head.Target, "?")
	switch {
	case exchange.Head.Method == "PUT" && strings.HasPrefix(path, "/api/v1/nodes/") && strings.HasSuffix(path, "/status"):
		node := &corev1.Node{}
		if err := json.Unmarshal(exchange.Body, node); err != nil || node.Name == "" || len(node.Status.Conditions) == 0 {
			exchange.Respond(statusResponse(400, "BadRequest", "want a Node with a name and conditions"))
			return
		}
		exchange.Respond(http1.Response{Status: 204})
		inv.loop.After(inv.options.PublishDelay, func() { inv.report(node) })
	case exchange.Head.Method == "PUT" && path == "/heathshed/faults":
		var ordered fault.Inventory
		if err := json.Unmarshal(exchange.Body, &ordered); err != nil {
			exchange.Respond(statusResponse(400, "BadRequest", "faults: "+err.Error()))
			return
		}
		exchange.Respond(http1.Response{Status: 204})
		inv.Fault(ordered)
	default:
		exchange.Respond(inv.api.Serve(inv.loop.Now(), &exchange.Request))
	}
}

// report shows what a machine says of itself.
func (inv *Inventory) report(node *corev1.Node) {
	inv.reportedAt[node.Name] = inv.loop.Now()
	inv.reported[node.Name] = node
	inv.publish(node, true)
	inv.notifyWatchers()
}

func (inv *Inventory) record(kind, node string) {
	if inv.options.OnEvent != nil {
		inv.options.OnEvent(audit.Event{At: inv.loop.Now(), Kind: kind, Node: node})
	}
}

func (inv *Inventory) publish(node *corev1.Node, ready bool) {
	if inv.hidden[node.Name] || inv.loop.Now() < inv.emptyUntil {
		if inv.store.Delete(store.Nodes, "", node.Name) {
			inv.record(audit.ListedUnavailable, node.Name)
		}
		return
	}
	switch previous, _ := inv.store.Get(store.Nodes, "", node.Name).(*corev1.Node); {
	case !ready:
		inv.record(audit.ListedUnavailable, node.Name)
	case node.Spec.Unschedulable:
		inv.record(audit.ListedDraining, node.Name)
	case previous == nil || previous.Spec.Unschedulable || previous.Status.Conditions[0].Status != corev1.ConditionTrue:
		inv.record(audit.ListedReady, node.Name)
	}
	node = node.DeepCopy()
	node.ResourceVersion = ""
	if !ready {
		for i := range node.Status.Conditions {
			if condition := &node.Status.Conditions[i]; condition.Type == corev1.NodeReady {
				condition.Status, condition.Reason = corev1.ConditionUnknown, "NodeStatusUnknown"
			}
		}
	}
	inv.store.Put(store.Nodes, node)
}

func (inv *Inventory) notifyWatchers() {
	if rev := inv.store.Rev(); rev != inv.shownRevision {
		inv.shownRevision = rev
		inv.api.SetTime(inv.loop.Now())
		inv.server.PullStreams()
	}
}

// checkUnresponsive looks for machines that have gone silent.
func (inv *Inventory) checkUnresponsive() {
	now := inv.loop.Now()
	for name, at := range inv.reportedAt {
		current, _ := inv.store.Get(store.Nodes, "", name).(*corev1.Node)
		switch {
		case inv.options.RemoveAfter > 0 && now-at > inv.options.RemoveAfter:
			delete(inv.reportedAt, name)
			delete(inv.reported, name)
			inv.store.Delete(store.Nodes, "", name)
			inv.record(audit.ListedUnavailable, name)
		case now-at > inv.options.UnresponsiveAfter && current != nil && current.Status.Conditions[0].Status == corev1.ConditionTrue:
			inv.publish(inv.reported[name], false)
		}
	}
	inv.api.SetTime(now)
	inv.server.PullStreams()
	inv.notifyWatchers()
}

// Fault makes the inventory faulty.
func (inv *Inventory) Fault(ordered fault.Inventory) {
	now := inv.loop.Now()
	if ordered.Unreachable > 0 {
		inv.unreachableUntil = now + ordered.Unreachable
		inv.record(audit.DiscoveryLost, "")
		inv.server.Close()
		var listenAgain func()
		listenAgain = func() {
			if inv.loop.Now() < inv.unreachableUntil-0.001 {
				return
			}
			if err := inv.listen(); err != nil {
				inv.loop.After(0.1, listenAgain)
				return
			}
			inv.record(audit.DiscoveryRestored, "")
		}
		inv.loop.After(ordered.Unreachable, listenAgain)
	}
	if ordered.Empty > 0 {
		inv.emptyUntil = now + ordered.Empty
	}
	if ordered.Hide != nil || ordered.Empty > 0 {
		inv.hidden = map[string]bool{}
		for _, name := range ordered.Hide {
			inv.hidden[name] = true
		}
		for _, node := range inv.reported {
			inv.publish(node, true)
		}
		inv.notifyWatchers()
	}
}

// NodeCount is the number of machines shown.
func (inv *Inventory) NodeCount() int { return inv.store.Len(store.Nodes) }
