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
func (n *Node) simNow() float64 { return n.loop.Now().UnixSeconds() }

// apiNow returns the same time for the API.
func (n *Node) apiNow() placer.Seconds { return placer.Seconds(n.simNow()) }

// simNow returns the time of this iteration of the loop on the clock of the audit.
func (inv *Inventory) simNow() float64 { return inv.loop.Now().UnixSeconds() }

// apiNow returns the same time for the API.
func (inv *Inventory) apiNow() placer.Seconds { return placer.Seconds(inv.simNow()) }

// scheduleWake has the simulated node run when its next timer is due. It answers infinity if it has none.
func (n *Node) scheduleWake() {
	n.wakeTimer.Stop()
	if at := n.sim.NextWake(); !math.IsInf(at, 1) {
		n.wakeTimer = n.loop.At(clock.FromUnixSeconds(at), n.tick)
	}
}
