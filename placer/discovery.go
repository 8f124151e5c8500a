package placer

import "math"

// Constants of node discovery.
const (
	// nodeRetention is the time for which a terminated node is kept after its last task of this scheduler has
	// ended.
	nodeRetention Seconds = 60
	// maxPollBackoffDoublings is the maximum number of times that the wait after failed polls is doubled.
	maxPollBackoffDoublings = 6
	// pollIntervalDivisor gives the longest wait before a poll is repeated: MaxPollInterval divided by this
	// number. The wait applies after a poll that was not answered, and limits the backoff after failed polls.
	// watchCheckDivisor gives the longest time without a node list before the scheduler polls again:
	// MaxPollInterval divided by this number.
	pollIntervalDivisor = 2
	watchCheckDivisor   = 3
)

// nodeListPoller requests the node list and its changes if the scheduler receives them only on request. It
// repeats the request if no answer arrives.
type nodeListPoller struct {
	maxInterval Seconds // longest time between two requests for the node list
	objective   Seconds // shortest latency objective of all classes
	actions     *actionList
	timers      *timerTable
	jitter      jitter

	lastPollAt Seconds
	lastListAt Seconds
	failures   int    // failed polls since the last node list
	watching   bool   // the last poll was answered
	timerToken uint64 // token of the latest timer; earlier timers have no effect
}

// poll requests the node list and its later changes, and sets a timer in case no answer arrives.
func (l *nodeListPoller) poll(now Seconds) {
	l.lastPollAt = now
	l.actions.add(Action{Kind: WatchNodes})
	l.startTimer(l.maxInterval / pollIntervalDivisor)
}

// listArrived records that a node list or changes of it arrived from the source, not from a cache.
func (l *nodeListPoller) listArrived(now Seconds) {
	l.watching = true
	l.failures = 0
	l.lastListAt = now
}

// pollFailed schedules the next poll after a failed poll, with exponential backoff.
func (l *nodeListPoller) pollFailed() {
	l.watching = false
	l.failures++
	doublings := float64(min(l.failures, maxPollBackoffDoublings))
	l.startTimer(min(l.maxInterval/pollIntervalDivisor, l.objective*Seconds(math.Exp2(doublings))))
}

// timerFired polls again if the last poll failed or was not answered, or if no node list has arrived for an
// interval.
func (l *nodeListPoller) timerFired(now Seconds, token uint64) {
	if token != l.timerToken {
		return
	}
	interval := l.maxInterval / watchCheckDivisor
	failed := !l.watching && now-l.lastPollAt > l.objective
	silent := now-max(l.lastListAt, l.lastPollAt) > interval
	if failed || silent {
		l.poll(now)
		return
	}
	l.startTimer(interval)
}

func (l *nodeListPoller) startTimer(after Seconds) {
	l.timerToken = l.timers.start(pendingTimer{kind: timerPollNodes}, l.jitter.apply(after))
}
