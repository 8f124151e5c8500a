package simulation

import (
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/placer"
)

// injectFault makes the node faulty. A fault that acts on a running node does nothing to one that is down.
func (n *node) injectFault(order fault.Node) {
	now := n.world.now
	n.faults.Apply(now, order)
	if order.Stall != 0 && n.sim != nil {
		n.sim.StallUntil(now + placer.Seconds(order.Stall))
	}
	if order.Unreachable > 0 {
		n.unreachableUntil = now + placer.Seconds(order.Unreachable)
		n.breakWatches()
	}
	if order.Drain != nil && n.sim != nil {
		n.sim.SetDraining(now, *order.Drain)
		n.process()
	}
	if order.Crash > 0 && n.sim != nil {
		n.world.record(audit.Event{Kind: audit.Crashed, Node: n.cfg.Name})
		n.crash(placer.Seconds(order.Crash))
	}
}
