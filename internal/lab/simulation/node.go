package simulation

import (
	"fmt"
	"sort"
	"strconv"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/nodesim"
	"heathshed/placer"
)

// kubeletPort is the port that simulated nodes report. Nothing connects to it.
const kubeletPort = 1

// node runs the incarnations of one node. It owns sim, the present incarnation, which is nil while the node is down.
type node struct {
	world       *World
	cfg         NodeConfig
	sim         *nodesim.Node
	incarnation int
	bootID      string
	startedAt   placer.Seconds // of a cold incarnation, 0 of a warm one
	rev         int64          // of the Pods
	wakeAt      placer.Seconds // time of the earliest timer set for sim, infinity if none is set
	pods        map[string]*corev1.Pod
	watches     []*podWatch
	pending     map[string]func(outcome *nodesim.Effect) // callbacks of requests without an answer, by nodesim.AttemptKey

	faults           fault.NodeState
	unreachableUntil placer.Seconds
}

// reachable reports whether schedulers can connect to the node.
func (n *node) reachable() bool { return n.sim != nil && n.world.now >= n.unreachableUntil }

// start starts a new incarnation.
func (n *node) start(cold bool) {
	w := n.world
	n.incarnation++
	n.sim = nodesim.New(n.cfg.Sim.ForIncarnation(n.incarnation, cold), w.now)
	n.sim.RejectHook = n.rejectReason
	n.bootID = fmt.Sprintf("%s-%d", n.cfg.Name, n.incarnation)
	n.startedAt = 0
	if cold {
		n.startedAt = w.now
	}
	n.rev = int64(w.now * revisionsPerSecond)
	n.wakeAt = never
	n.pods = map[string]*corev1.Pod{}
	n.pending = map[string]func(*nodesim.Effect){}
	w.record(audit.Event{Kind: audit.NodeUp, Node: n.cfg.Name})
	n.process()
}

// rejectReason returns why a fault makes the node reject every request now, None if there is no such fault.
func (n *node) rejectReason(*nodesim.Request) nodesim.Reason {
	if n.world.now < n.faults.RejectUntil {
		return nodesim.InsufficientCores
	}
	return nodesim.None
}

// crash ends the incarnation. The next one starts cold after the downtime.
func (n *node) crash(downtime placer.Seconds) {
	if n.sim == nil {
		return
	}
	pending := n.pending
	n.sim = nil
	n.pending = nil
	keys := make([]string, 0, len(pending))
	for key := range pending {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		pending[key](nil)
	}
	n.breakWatches()
	n.world.after(downtime, func() {
		if n.sim == nil {
			n.start(true)
		}
	})
}

// process applies the effects of the simulated node and sets a timer for its next wake-up.
func (n *node) process() {
	if n.sim == nil || !n.sim.DispatchEffects(n.apply) {
		return
	}
	at := n.sim.NextWake()
	if at >= n.wakeAt {
		return
	}
	w, incarnation := n.world, n.incarnation
	n.wakeAt = at
	w.at(at, func() {
		if n.sim != nil && n.incarnation == incarnation && n.wakeAt <= w.now {
			n.wakeAt = never
			n.sim.Tick(w.now)
			n.process()
		}
	})
}

// apply applies one effect of the simulated node and reports whether the node is still up.
func (n *node) apply(effect *nodesim.Effect) bool {
	switch effect.Kind {
	case nodesim.Answered:
		key := nodesim.AttemptKey(effect.UID, effect.Attempt)
		if answered := n.pending[key]; answered != nil {
			delete(n.pending, key)
			answered(effect)
		}
	case nodesim.Changed:
		n.updatePod(effect.Task)
	case nodesim.Removed:
		pod := n.pods[effect.Task.UID]
		delete(n.pods, effect.Task.UID)
		n.rev++
		n.notifyWatches(pod, true)
	case nodesim.Overloaded:
		n.world.record(audit.Event{Kind: audit.Overloaded, Node: n.cfg.Name})
		n.crash(nodesim.OverloadDowntime)
	}
	return n.sim != nil
}

// updatePod updates the Pod of a task that has changed, and sends it to the watches.
func (n *node) updatePod(task *nodesim.Task) {
	pod := nodesim.Pod(task, n.cfg.Name)
	n.rev++
	pod.ResourceVersion = strconv.FormatInt(n.rev, 10)
	n.pods[task.UID] = pod
	n.world.record(audit.Event{Kind: task.Phase.EventKind(), Node: n.cfg.Name, UID: task.UID, Attempt: task.Attempt, Reason: pod.Status.Reason})
	n.notifyWatches(pod, false)
}

// report sends the node's state to the inventory, which receives it after ReportDelay. It schedules its next call.
func (n *node) report() {
	w := n.world
	w.after(w.cfg.Inventory.ReportInterval, n.report)
	if n.sim == nil {
		return
	}
	n.sim.Tick(w.now)
	n.process()
	if n.sim == nil {
		return
	}
	object := n.object()
	reportedAt := w.now
	w.after(w.cfg.Inventory.ReportDelay, func() { w.inventory.update(object, reportedAt) })
}

// object returns the node as it reports itself.
func (n *node) object() *corev1.Node {
	identity := nodesim.Identity{
		Name:        n.cfg.Name,
		Zone:        n.cfg.Zone,
		Rack:        n.cfg.Rack,
		Kind:        n.cfg.Kind,
		Incarnation: n.bootID,
		Host:        n.cfg.Name,
		Port:        kubeletPort,
	}
	if n.startedAt > 0 {
		identity.StartedAt = n.startedAt + n.faults.ClockSkew
	}
	return n.sim.Object(identity)
}
