package simulation

import (
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/placer"
)

// inventoryCheckInterval is the time between checks for unresponsive nodes.
const inventoryCheckInterval placer.Seconds = 0.25

// inventory lists the nodes that report to it, and notifies the schedulers of changes. It owns its entries.
type inventory struct {
	world            *World
	entries          map[string]*inventoryEntry // by name of the node
	unreachableUntil placer.Seconds
}

// inventoryEntry is a node in the list of the inventory.
type inventoryEntry struct {
	object     *corev1.Node
	ready      bool
	lastReport placer.Seconds
}

// visible returns the node as the inventory shows it to schedulers.
func (e *inventoryEntry) visible() *corev1.Node {
	if e.ready {
		return e.object
	}
	object := e.object.DeepCopy()
	object.Status.Conditions[0].Status = corev1.ConditionUnknown
	return object
}

// reachable reports whether schedulers can reach the inventory.
func (v *inventory) reachable() bool { return v.world.now >= v.unreachableUntil }

// add lists a node at the start of the simulation.
func (v *inventory) add(object *corev1.Node) {
	v.entries[object.Name] = &inventoryEntry{object: object, ready: true, lastReport: v.world.now}
	v.world.record(audit.Event{Kind: audit.ListedReady, Node: object.Name})
}

// list returns all nodes as shown to schedulers, in the order of the configuration.
func (v *inventory) list() []*corev1.Node {
	var nodes []*corev1.Node
	for _, n := range v.world.nodes {
		if entry := v.entries[n.cfg.Name]; entry != nil {
			nodes = append(nodes, entry.visible())
		}
	}
	return nodes
}

// update handles a report that a node sent at reportedAt.
func (v *inventory) update(object *corev1.Node, reportedAt placer.Seconds) {
	entry := v.entries[object.Name]
	if entry == nil {
		entry = &inventoryEntry{}
		v.entries[object.Name] = entry
	}
	previous := entry.object
	entry.lastReport = max(entry.lastReport, reportedAt)
	if entry.ready && previous != nil && looksEqual(previous, object) {
		return
	}
	if !entry.ready || previous == nil || previous.Spec.Unschedulable != object.Spec.Unschedulable {
		kind := audit.ListedReady
		if object.Spec.Unschedulable {
			kind = audit.ListedDraining
		}
		v.world.record(audit.Event{Kind: kind, Node: object.Name})
	}
	entry.object = object
	entry.ready = true
	v.notify(entry)
}

// looksEqual reports whether two reports of a node differ in nothing that schedulers use.
func looksEqual(a, b *corev1.Node) bool {
	return a.Annotations[wellknown.FreeCapacity] == b.Annotations[wellknown.FreeCapacity] &&
		a.Status.NodeInfo.BootID == b.Status.NodeInfo.BootID &&
		a.Spec.Unschedulable == b.Spec.Unschedulable
}

// notify sends a changed node to every scheduler that has received the list.
func (v *inventory) notify(entry *inventoryEntry) {
	w := v.world
	if !v.reachable() {
		return
	}
	object := entry.visible()
	for _, s := range w.schedulers {
		if s.engine == nil || !s.synced {
			continue
		}
		alive := s.aliveCheck()
		w.after(w.cfg.Links.LatencyMax, func() {
			if alive() && v.reachable() {
				s.engine.NodesListed(w.now, engine.Changes, []*corev1.Node{object}, nil)
				s.process()
			}
		})
	}
}

// checkUnresponsive marks nodes that have not reported for a while as not ready. It schedules its next call.
func (v *inventory) checkUnresponsive() {
	w := v.world
	w.after(inventoryCheckInterval, v.checkUnresponsive)
	for _, n := range w.nodes {
		entry := v.entries[n.cfg.Name]
		if entry == nil || !entry.ready || w.now-entry.lastReport <= w.cfg.Inventory.UnresponsiveAfter+w.cfg.Inventory.ReportDelay {
			continue
		}
		entry.ready = false
		w.record(audit.Event{Kind: audit.ListedUnavailable, Node: n.cfg.Name})
		v.notify(entry)
	}
}

// cut makes the inventory unreachable for a time.
func (v *inventory) cut(outage placer.Seconds) {
	w := v.world
	v.unreachableUntil = w.now + outage
	w.record(audit.Event{Kind: audit.DiscoveryLost})
	w.after(outage, func() {
		if !v.reachable() {
			return // another outage has begun
		}
		w.record(audit.Event{Kind: audit.DiscoveryRestored})
		for _, s := range w.schedulers {
			s.relist()
		}
	})
	for _, s := range w.schedulers {
		if s.engine != nil {
			s.engine.NodesListed(w.now, engine.ListUnavailable, nil, nil)
			s.process()
		}
	}
}
