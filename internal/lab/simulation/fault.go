package simulation

import (
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/placer"
)

// injectFault applies a fault to the node. A fault of a running node has no effect while the node is down.
func (n *node) injectFault(injected fault.Node) {
	now := n.world.now
	n.faults.Apply(now, injected)
	if injected.Stall != 0 && n.sim != nil {
		n.sim.StallUntil(now + placer.Seconds(injected.Stall))
	}
	if injected.Unreachable > 0 {
		n.unreachableUntil = now + placer.Seconds(injected.Unreachable)
		n.breakWatches()
	}
	if injected.Drain != nil && n.sim != nil {
		n.sim.SetDraining(now, *injected.Drain)
		n.process()
	}
	if injected.Crash > 0 && n.sim != nil {
		n.world.record(audit.Event{Kind: audit.Crashed, Node: n.cfg.Name})
		n.crash(placer.Seconds(injected.Crash))
	}
}
