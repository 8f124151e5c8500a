package placer

import "math"

// slowStartWindowFactor is the length of the window in which attempts on a node in slow start are counted, as
// a multiple of OverloadWindow. It exceeds 1 because connection setup delays some attempts more than others,
// and attempts may then arrive closer together than they were sent.
const slowStartWindowFactor = 1.1

// slowStart implements the slow-start rule (rule 4). A node is in slow start for some time after its start
// and can then handle only a limited number of attempts without becoming overloaded. The rule limits the
// attempts of this scheduler on such a node to the scheduler's share of this number.
type slowStart struct {
	limits    SlowStart
	peers     Peers
	startedAt Seconds // time at which this scheduler started
}

// schedulerStarted records when this scheduler started. If this was a restart, the scheduler does not know
// the attempts that it made before.
func (s *slowStart) schedulerStarted(now Seconds) { s.startedAt = now }

// appliesTo reports whether a node is in slow start, which means that the rule limits the attempts on it.
func (s *slowStart) appliesTo(now Seconds, node *trackedNode) bool {
	return node.StartedAt > 0 && now-node.StartedAt < s.limits.Duration
}

// attemptSent records the time of an attempt if its node is in slow start.
func (s *slowStart) attemptSent(now Seconds, node *trackedNode) {
	if !s.appliesTo(now, node) {
		return
	}
	old := len(node.slowStartAttempts) - s.recentAttempts(now, node)
	kept := copy(node.slowStartAttempts, node.slowStartAttempts[old:])
	node.slowStartAttempts = append(node.slowStartAttempts[:kept], now)
}

// allows reports whether this scheduler may make one more attempt on the node within its share. A scheduler
// that has just restarted does not know its earlier attempts. It makes no attempts on nodes that were already
// in slow start at the restart, until the earlier attempts must be older than the window.
func (s *slowStart) allows(now Seconds, node *trackedNode) bool {
	if !s.appliesTo(now, node) {
		return true
	}
	startedDuringSlowStart := s.startedAt-node.StartedAt < s.limits.Duration && s.startedAt > node.StartedAt
	if now-s.startedAt < s.window() && startedDuringSlowStart {
		return false
	}
	return float64(s.recentAttempts(now, node)) < s.attemptShare(node)
}

// window returns the length of the time window in which attempts are counted.
func (s *slowStart) window() Seconds { return slowStartWindowFactor * s.limits.OverloadWindow }

// recentAttempts returns the number of attempts by this scheduler on the node within the window.
func (s *slowStart) recentAttempts(now Seconds, node *trackedNode) int {
	old := 0
	for old < len(node.slowStartAttempts) && node.slowStartAttempts[old] < now-s.window() {
		old++
	}
	return len(node.slowStartAttempts) - old
}

// attemptShare returns the number of attempts that this scheduler may make on a node in slow start within the
// overload window. The shares of all schedulers add up to MaxAttempts, so even uneven traffic cannot overload
// the node. If MaxAttempts is not divisible by the number of schedulers, some schedulers get one attempt more
// than others. The node ID determines which ones. If there are more schedulers than attempts, each scheduler
// can therefore still use some of the nodes in slow start.
func (s *slowStart) attemptShare(node *trackedNode) float64 {
	total, peers := max(s.limits.MaxAttempts, 0), float64(s.peers.Total)
	share := math.Floor(total / peers)
	offset := math.Floor(hashToUnitInterval(uint64(node.ID), 0) * peers)
	if math.Mod(offset+float64(s.peers.Self), peers) < math.Floor(total-share*peers) {
		share++
	}
	return share
}
