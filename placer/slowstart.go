package placer

import "math"

// warmupWindowMargin extends the overload window over which own attempts on a warming node are counted:
// connections delay attempts unevenly.
const warmupWindowMargin = 1.1

// slowStart keeps this scheduler within its share of the attempts that a warming node can handle without
// becoming overloaded (rule 4).
type slowStart struct {
	limits    SlowStart
	peers     Peers
	startedAt Seconds // of this scheduler
}

// schedulerStarted records when this scheduler started. Attempts before a restart are not known.
func (s *slowStart) schedulerStarted(now Seconds) { s.startedAt = now }

// warmingUp reports whether a node started so recently that it is limited.
func (s *slowStart) warmingUp(now Seconds, node *trackedNode) bool {
	return node.StartedAt > 0 && now-node.StartedAt < s.limits.Duration
}

// attemptSent records an attempt if the node is warming up.
func (s *slowStart) attemptSent(now Seconds, node *trackedNode) {
	if !s.warmingUp(now, node) {
		return
	}
	old := len(node.warmupAttempts) - s.recentAttempts(now, node)
	kept := copy(node.warmupAttempts, node.warmupAttempts[old:])
	node.warmupAttempts = append(node.warmupAttempts[:kept], now)
}

// allows reports whether one more attempt on the node is within this scheduler's share. A scheduler that has
// just started makes none on warming nodes until its earlier attempts have left the window.
func (s *slowStart) allows(now Seconds, node *trackedNode) bool {
	if !s.warmingUp(now, node) {
		return true
	}
	startedDuringWarmup := s.startedAt-node.StartedAt < s.limits.Duration && s.startedAt > node.StartedAt
	if now-s.startedAt < s.window() && startedDuringWarmup {
		return false
	}
	return float64(s.recentAttempts(now, node)) < s.share(node)
}

// window returns the time over which attempts are counted.
func (s *slowStart) window() Seconds { return warmupWindowMargin * s.limits.OverloadWindow }

// recentAttempts counts own attempts on the node within the window.
func (s *slowStart) recentAttempts(now Seconds, node *trackedNode) int {
	old := 0
	for old < len(node.warmupAttempts) && node.warmupAttempts[old] < now-s.window() {
		old++
	}
	return len(node.warmupAttempts) - old
}

// share returns the number of attempts that this scheduler may make on a warming node within the overload
// window. The shares of all schedulers add up to exactly what the node can handle, however uneven the
// traffic. Which schedulers get the remainder of the division depends on the node, so that each of many
// schedulers can use some warming nodes.
func (s *slowStart) share(node *trackedNode) float64 {
	total, peers := max(s.limits.MaxAttempts, 0), float64(s.peers.Total)
	share := math.Floor(total / peers)
	offset := math.Floor(hashUnit(uint64(node.ID), 0) * peers)
	if math.Mod(offset+float64(s.peers.Self), peers) < math.Floor(total-share*peers) {
		share++
	}
	return share
}
