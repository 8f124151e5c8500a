package placer

import "math"

// warmupWindowMargin extends the overload window over which own attempts on a warming node are counted:
// connections delay attempts unevenly.
const warmupWindowMargin = 1.1

// warmingUp reports whether a node started so recently that it is limited by rule 4.
func (p *Placer) warmingUp(node *trackedNode) bool {
	return node.StartedAt > 0 && p.now-node.StartedAt < p.cfg.SlowStart.Duration
}

// warmupAllows keeps this scheduler within its share of the attempts that a warming node always withstands. A
// scheduler that has just started does not know its earlier attempts: it makes none on warming nodes until
// these have left the window.
func (p *Placer) warmupAllows(node *trackedNode) bool {
	if !p.warmingUp(node) {
		return true
	}
	limits := &p.cfg.SlowStart
	window := warmupWindowMargin * limits.OverloadWindow
	startedDuringWarmup := p.startedAt-node.StartedAt < limits.Duration && p.startedAt > node.StartedAt
	if p.now-p.startedAt < window && startedDuringWarmup {
		return false
	}
	node.dropWarmupSendsBefore(p.now - window)
	return float64(len(node.warmupSends)) < p.warmupShare(node)
}

// warmupShare is the number of attempts that this scheduler may make on a warming node within the overload
// window. The shares of all schedulers add up to exactly what the node withstands, however uneven the
// traffic. The remainder of the division goes to other schedulers at each node, so that each of many
// schedulers can use some warming nodes.
func (p *Placer) warmupShare(node *trackedNode) float64 {
	total, peers := max(p.cfg.SlowStart.MaxAttempts, 0), float64(p.cfg.Peers.Total)
	share := math.Floor(total / peers)
	offset := math.Floor(hashUnit(uint64(node.ID), 0) * peers)
	if math.Mod(offset+float64(p.cfg.Peers.Self), peers) < math.Floor(total-share*peers) {
		share++
	}
	return share
}
