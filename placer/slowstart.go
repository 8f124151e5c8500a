package placer

import "math"

// warmupWindowMargin is the factor by which the window for counting attempts on a warming node exceeds the
// OverloadWindow. The margin is needed because connection setup delays attempts unevenly, so that attempts
// may arrive closer together than they were sent.
const warmupWindowMargin = 1.1

// slowStart implements the slow-start rule (rule 4). It limits the attempts of this scheduler on a warming
// node to the scheduler's share of the attempts that the node can handle without becoming overloaded.
type slowStart struct {
	limits    SlowStart
	peers     Peers
	startedAt Seconds // time at which this scheduler started
}

// schedulerStarted records when this scheduler started. The attempts that it made before a restart are
// unknown.
func (s *slowStart) schedulerStarted(now Seconds) { s.startedAt = now }

// warmingUp reports whether a node started so recently that the slow-start rule limits the attempts on it.
func (s *slowStart) warmingUp(now Seconds, node *trackedNode) bool {
	return node.StartedAt > 0 && now-node.StartedAt < s.limits.Duration
}

// attemptSent records the time of an attempt if its node is warming up.
func (s *slowStart) attemptSent(now Seconds, node *trackedNode) {
	if !s.warmingUp(now, node) {
		return
	}
	old := len(node.warmupAttempts) - s.recentAttempts(now, node)
	kept := copy(node.warmupAttempts, node.warmupAttempts[old:])
	node.warmupAttempts = append(node.warmupAttempts[:kept], now)
}

// allows reports whether this scheduler may make one more attempt on the node within its share. A scheduler
// that has just restarted does not know its earlier attempts. It makes no attempts on nodes that were already
// warming up until those earlier attempts are older than the window.
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

// window returns the length of the time window in which attempts are counted.
func (s *slowStart) window() Seconds { return warmupWindowMargin * s.limits.OverloadWindow }

// recentAttempts returns the number of attempts by this scheduler on the node within the window.
func (s *slowStart) recentAttempts(now Seconds, node *trackedNode) int {
	old := 0
	for old < len(node.warmupAttempts) && node.warmupAttempts[old] < now-s.window() {
		old++
	}
	return len(node.warmupAttempts) - old
}

// share returns the number of attempts that this scheduler may make on a warming node within the overload
// window. The shares of all schedulers add up to MaxAttempts, so that uneven traffic cannot overload the
// node. If MaxAttempts is not divisible by the number of schedulers, the node ID determines which schedulers
// get the remainder. Therefore each scheduler can use some of the warming nodes even if there are more
// schedulers than attempts.
func (s *slowStart) share(node *trackedNode) float64 {
	total, peers := max(s.limits.MaxAttempts, 0), float64(s.peers.Total)
	share := math.Floor(total / peers)
	offset := math.Floor(hashToUnitInterval(uint64(node.ID), 0) * peers)
	if math.Mod(offset+float64(s.peers.Self), peers) < math.Floor(total-share*peers) {
		share++
	}
	return share
}
