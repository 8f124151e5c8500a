//go:build linux

package emulator

import (
	"math"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// The emulators keep durations and instants in Go's types; the simulated node, the API, the audit and the orders of faults count seconds in
// floating point. One becomes the other in this file only, and where an order of faults is taken.

// simNow returns the time of this iteration of the loop on the clock of the simulated node.
func (n *Node) simNow() placer.Seconds { return n.loop.Now().UnixSeconds() }

// simNow returns the time of this iteration of the loop on the clock of the API and the audit.
func (inv *Inventory) simNow() placer.Seconds { return inv.loop.Now().UnixSeconds() }

// scheduleWake has the simulated node run when its next timer is due. It answers infinity if it has none.
func (n *Node) scheduleWake() {
	n.wakeTimer.Stop()
	if at := n.sim.NextWake(); !math.IsInf(float64(at), 1) {
		n.wakeTimer = n.loop.At(clock.FromUnixSeconds(at), n.tick)
	}
}
