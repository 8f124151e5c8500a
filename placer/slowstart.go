package placer

import "math"

// slowStartWindowFactor is the length of the counting window as a multiple of OverloadWindow. Attempts on a
// node in slow start are counted within the counting window. The factor exceeds 1, because connection setup
// delays some attempts more than others. Attempts that were sent within slightly more than OverloadWindow may
// then arrive at the node within OverloadWindow.
const slowStartWindowFactor = 1.1

// slowStart implements the slow-start rule. A node is in slow start for some time after its start and can
// then handle only a limited number of attempts without becoming overloaded. The rule limits the attempts of
// this scheduler on such a node to the scheduler's share of this number.
type slowStart struct {
	limits    SlowStart
	peers     Peers
	startedAt Seconds // time at which this scheduler started
}

// schedulerStarted records when this scheduler started. After a restart, the scheduler does not know the
// attempts that it made before the restart.
func (s *slowStart) schedulerStarted(now Seconds) { s.startedAt = now }

// appliesTo reports whether a node is in slow start. Only then does the slow-start rule limit the attempts on
// it.
func (s *slowStart) appliesTo(now Seconds, node *trackedNode) bool {
	return node.StartedAt > 0 && now-node.StartedAt < s.limits.Duration
}

// attemptSent records the time of an attempt if its node is in slow start.
func (s *slowStart) attemptSent(now Seconds, node *trackedNode) {
	if !s.appliesTo(now, node) {
		return
	}
	oldCount := len(node.slowStartAttempts) - s.countRecentAttempts(now, node)
	keptCount := copy(node.slowStartAttempts, node.slowStartAttempts[oldCount:])
	node.slowStartAttempts = append(node.slowStartAttempts[:keptCount], now)
}

// allowsAttempt reports whether this scheduler may make one more attempt on the node within its share. A
// scheduler does not know the attempts that it made before a restart. On nodes that were already in slow
// start at the restart, it makes no attempts for the length of the counting window. After this time, the
// attempts from before the restart are outside the counting window.
func (s *slowStart) allowsAttempt(now Seconds, node *trackedNode) bool {
	if !s.appliesTo(now, node) {
		return true
	}
	startedDuringSlowStart := s.startedAt-node.StartedAt < s.limits.Duration && s.startedAt > node.StartedAt
	if now-s.startedAt < s.countingWindow() && startedDuringSlowStart {
		return false
	}
	return float64(s.countRecentAttempts(now, node)) < s.attemptShare(node)
}

// countingWindow returns the length of the time window in which attempts on a node in slow start are counted.
func (s *slowStart) countingWindow() Seconds { return slowStartWindowFactor * s.limits.OverloadWindow }

// countRecentAttempts returns the number of attempts by this scheduler on the node within the counting
// window.
func (s *slowStart) countRecentAttempts(now Seconds, node *trackedNode) int {
	oldCount := 0
	for oldCount < len(node.slowStartAttempts) && node.slowStartAttempts[oldCount] < now-s.countingWindow() {
		oldCount++
	}
	return len(node.slowStartAttempts) - oldCount
}

// attemptShare returns the number of attempts that this scheduler may make on a node in slow start within
// OverloadWindow. The shares of all schedulers add up to MaxAttempts. Even if most tasks arrive at one
// scheduler, the node is not overloaded, because this scheduler cannot exceed its own share. If MaxAttempts
// is not divisible by the number of schedulers, some schedulers may make one more attempt than others. The
// node ID determines which schedulers these are. Each scheduler can thus use some of the nodes in slow start,
// even if MaxAttempts is less than the number of schedulers.
func (s *slowStart) attemptShare(node *trackedNode) float64 {
	maxAttempts, schedulerCount := max(s.limits.MaxAttempts, 0), float64(s.peers.Total)
	share := math.Floor(maxAttempts / schedulerCount)
	offset := math.Floor(hashToUnitInterval(uint64(node.ID), 0) * schedulerCount)
	if math.Mod(offset+float64(s.peers.Self), schedulerCount) < math.Floor(maxAttempts-share*schedulerCount) {
		share++
	}
	return share
}
