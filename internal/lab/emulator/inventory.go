//go:build linux

package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/api"
	"heathshed/internal/kube/store"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpd"
)

const (
	defaultUnresponsiveAfter = 2 * time.Second
	checkInterval            = 250 * time.Millisecond // between checks for nodes that do not report
)

// InventoryOptions describe an emulated inventory.
type InventoryOptions struct {
	Listen            string
	PublishDelay      time.Duration // from a node's report until it is shown
	UnresponsiveAfter time.Duration // without a report, until a node is shown as not ready; 0 is the default
	RemoveAfter       time.Duration // without a report, until a node is removed; 0 is never
	History           int           // changes that a watch can resume from; 0 is the default
	// OnEvent, if set, receives how each node is shown, and when the inventory cannot be reached.
	OnEvent func(audit.Event)
}

// Inventory lists the nodes that report to it. All of its methods are called on its loop.
type Inventory struct {
	options       InventoryOptions
	loop          *eventloop.Loop
	server        *httpd.Server
	api           *api.Server
	store         *store.Store
	addr          string
	reportedAt    map[string]clock.Instant // by node: time of the last report
	reported      map[string]*corev1.Node  // by node: the last report
	shownRevision int64                    // of the store, that watches have been given

	hidden           map[string]bool // nodes that are not shown, by an injected fault
	emptyUntil       clock.Instant
	unreachableUntil clock.Instant
}

// StartInventory puts an inventory on a socket.
func StartInventory(loop *eventloop.Loop, options InventoryOptions) (*Inventory, error) {
	if options.UnresponsiveAfter <= 0 {
		options.UnresponsiveAfter = defaultUnresponsiveAfter
	}
	if options.History <= 0 {
		options.History = historyRevisions
	}
	inv := &Inventory{
		options:    options,
		loop:       loop,
		addr:       options.Listen,
		store:      store.New(loop.Now().UnixMicro(), options.History),
		reportedAt: map[string]clock.Instant{},
		reported:   map[string]*corev1.Node{},
		hidden:     map[string]bool{},
	}
	inv.api = &api.Server{Store: inv.store, Version: apiVersion}
	if err := inv.listen(); err != nil {
		return nil, err
	}
	var check func()
	check = func() {
		inv.checkUnresponsive()
		loop.After(checkInterval, check)
	}
	loop.After(checkInterval, check)
	return inv, nil
}

func (inv *Inventory) listen() error {
	server, err := listen(inv.loop, inv.addr, inv.serve)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	inv.server = server
	inv.addr = server.Addr()
	return nil
}

// Addr returns the address on which the inventory listens.
func (inv *Inventory) Addr() string { return inv.addr }

// NodeCount returns the number of nodes shown.
func (inv *Inventory) NodeCount() int { return inv.store.Len(store.Nodes) }

func (inv *Inventory) serve(exchange *httpd.Exchange) {
	path, _, _ := strings.Cut(exchange.Head.Target, "?")
	isNodeStatus := strings.HasPrefix(path, "/api/v1/nodes/") && strings.HasSuffix(path, "/status")
	switch {
	case exchange.Head.Method == http.MethodPut && isNodeStatus:
		inv.serveReport(exchange)
	case exchange.Head.Method == http.MethodPut && path == faultsPath:
		inv.serveFault(exchange)
	default:
		exchange.Respond(inv.api.Serve(inv.simNow(), &exchange.Request))
	}
}

func (inv *Inventory) serveReport(exchange *httpd.Exchange) {
	node := &corev1.Node{}
	if err := json.Unmarshal(exchange.Body, node); err != nil || node.Name == "" || len(node.Status.Conditions) == 0 {
		exchange.Respond(statusResponse(http.StatusBadRequest, "BadRequest", "want a Node with a name and conditions"))
		return
	}
	exchange.Respond(http1.Response{Status: http.StatusNoContent})
	inv.loop.After(inv.options.PublishDelay, func() { inv.takeReport(node) })
}

func (inv *Inventory) serveFault(exchange *httpd.Exchange) {
	var injected fault.Inventory
	if err := json.Unmarshal(exchange.Body, &injected); err != nil {
		exchange.Respond(statusResponse(http.StatusBadRequest, "BadRequest", "faults: "+err.Error()))
		return
	}
	exchange.Respond(http1.Response{Status: http.StatusNoContent})
	inv.Fault(injected)
}

// takeReport publishes what a node reported.
func (inv *Inventory) takeReport(node *corev1.Node) {
	inv.reportedAt[node.Name] = inv.loop.Now()
	inv.reported[node.Name] = node
	inv.publish(node, true)
	inv.notifyWatchers()
}

func (inv *Inventory) record(kind audit.EventKind, node string) {
	if inv.options.OnEvent != nil {
		inv.options.OnEvent(audit.Event{At: inv.simNow(), Kind: kind, Node: node})
	}
}

// publish stores a node for schedulers to see, with its reported state or as not ready, and records what they see of it.
func (inv *Inventory) publish(node *corev1.Node, ready bool) {
	if inv.hidden[node.Name] || inv.loop.Now() < inv.emptyUntil {
		if inv.store.Delete(store.Nodes, "", node.Name) {
			inv.record(audit.ListedUnavailable, node.Name)
		}
		return
	}
	previous, _ := inv.store.Get(store.Nodes, "", node.Name).(*corev1.Node)
	switch {
	case !ready:
		inv.record(audit.ListedUnavailable, node.Name)
	case node.Spec.Unschedulable:
		inv.record(audit.ListedDraining, node.Name)
	case previous == nil || previous.Spec.Unschedulable || !shownReady(previous):
		inv.record(audit.ListedReady, node.Name)
	}
	node = node.DeepCopy()
	node.ResourceVersion = ""
	if !ready {
		markNotReady(node)
	}
	inv.store.Put(store.Nodes, node)
}

// shownReady reports whether a node of the store is shown as ready.
func shownReady(node *corev1.Node) bool {
	return node.Status.Conditions[0].Status == corev1.ConditionTrue
}

func markNotReady(node *corev1.Node) {
	for i := range node.Status.Conditions {
		condition := &node.Status.Conditions[i]
		if condition.Type == corev1.NodeReady {
			condition.Status = corev1.ConditionUnknown
			condition.Reason = "NodeStatusUnknown"
		}
	}
}

// notifyWatchers gives watches the changes since the last call.
func (inv *Inventory) notifyWatchers() {
	if revision := inv.store.Revision(); revision != inv.shownRevision {
		inv.shownRevision = revision
		inv.api.SetTime(inv.simNow())
		inv.server.PullStreams()
	}
}

// checkUnresponsive shows nodes that have not reported for some time as not ready, and removes them later.
func (inv *Inventory) checkUnresponsive() {
	now := inv.loop.Now()
	for name, reportedAt := range inv.reportedAt {
		shown, _ := inv.store.Get(store.Nodes, "", name).(*corev1.Node)
		switch {
		case inv.options.RemoveAfter > 0 && now.Sub(reportedAt) > inv.options.RemoveAfter:
			delete(inv.reportedAt, name)
			delete(inv.reported, name)
			inv.store.Delete(store.Nodes, "", name)
			inv.record(audit.ListedUnavailable, name)
		case now.Sub(reportedAt) > inv.options.UnresponsiveAfter && shown != nil && shownReady(shown):
			inv.publish(inv.reported[name], false)
		}
	}
	inv.api.SetTime(inv.simNow())
	inv.server.PullStreams()
	inv.notifyWatchers()
}

// Fault injects faults into the inventory.
func (inv *Inventory) Fault(injected fault.Inventory) {
	if injected.Unreachable > 0 {
		inv.makeUnreachable(clock.Duration(injected.Unreachable))
	}
	if injected.Empty > 0 {
		inv.emptyUntil = inv.loop.Now().Add(clock.Duration(injected.Empty))
	}
	if injected.Hide != nil || injected.Empty > 0 {
		inv.hide(injected.Hide)
	}
}

// hide stops showing the nodes of these names, and shows the others again.
func (inv *Inventory) hide(names []string) {
	inv.hidden = map[string]bool{}
	for _, name := range names {
		inv.hidden[name] = true
	}
	for _, node := range inv.reported {
		inv.publish(node, true)
	}
	inv.notifyWatchers()
}

// makeUnreachable closes the inventory's socket for some time.
func (inv *Inventory) makeUnreachable(duration time.Duration) {
	inv.unreachableUntil = inv.loop.Now().Add(duration)
	inv.record(audit.DiscoveryLost, "")
	inv.server.Close()
	var listenAgain func()
	listenAgain = func() {
		if inv.loop.Now() < inv.unreachableUntil.Add(-timerTolerance) {
			return
		}
		if err := inv.listen(); err != nil {
			// The port may not be free yet.
			inv.loop.After(listenRetryInterval, listenAgain)
			return
		}
		inv.record(audit.DiscoveryRestored, "")
	}
	inv.loop.After(duration, listenAgain)
}
