package placer

import "math"

// Constants of node discovery.
const (
	// nodeRetention is the time for which a terminated node is kept after its last task of this scheduler has
	// ended.
	nodeRetention Seconds = 60
	// maxPollBackoffDoublings is the maximum number of times that the wait after failed polls is doubled.
	maxPollBackoffDoublings = 6
	// pollRetryDivisor determines the longest wait before a poll is repeated, which is MaxPollInterval
	// divided by this number. This wait applies after an unanswered poll and is the maximum backoff after
	// failed polls.
	pollRetryDivisor = 2
	// listTimeoutDivisor determines the longest time without a node list before the scheduler polls again,
	// which is MaxPollInterval divided by this number.
	listTimeoutDivisor = 3
)

// nodeListPoller polls the node list if the scheduler receives it only on request. A poll is a request for
// the node list and its later changes. The poller repeats the poll if no answer arrives.
type nodeListPoller struct {
	maxInterval       Seconds // longest time between two requests for the node list
	shortestObjective Seconds // shortest latency objective of all task classes
	actions           *actionList
	timers            *timerTable
	jitter            jitter

	lastPollAt   Seconds
	lastListAt   Seconds
	failures     int    // failed polls since the last node list
	listReceived bool   // a node list has arrived since the start or the last failed poll
	timerToken   uint64 // token of the latest timer; earlier timers have no effect
}

// poll requests the node list and its later changes, and starts a timer to repeat the poll if necessary.
func (l *nodeListPoller) poll(now Seconds) {
	l.lastPollAt = now
	l.actions.add(Action{Kind: WatchNodes})
	l.startTimer(l.maxInterval / pollRetryDivisor)
}

// listArrived records that a node list, or a list of changed nodes, arrived. It is not called for cached
// lists.
func (l *nodeListPoller) listArrived(now Seconds) {
	l.listReceived = true
	l.failures = 0
	l.lastListAt = now
}

// pollFailed schedules the next poll after a failed poll, with exponential backoff.
func (l *nodeListPoller) pollFailed() {
	l.listReceived = false
	l.failures++
	doublings := float64(min(l.failures, maxPollBackoffDoublings))
	l.startTimer(min(l.maxInterval/pollRetryDivisor, l.shortestObjective*Seconds(math.Exp2(doublings))))
}

// timerFired handles the timer with the given token. It polls again if the last poll failed or was not
// answered, or if no node list has arrived for the time that listTimeoutDivisor determines.
func (l *nodeListPoller) timerFired(now Seconds, token uint64) {
	if token != l.timerToken {
		return
	}
	interval := l.maxInterval / listTimeoutDivisor
	failed := !l.listReceived && now-l.lastPollAt > l.shortestObjective
	listOverdue := now-max(l.lastListAt, l.lastPollAt) > interval
	if failed || listOverdue {
		l.poll(now)
		return
	}
	l.startTimer(interval)
}

func (l *nodeListPoller) startTimer(after Seconds) {
	l.timerToken = l.timers.start(pendingTimer{kind: timerPollNodes}, l.jitter.apply(after))
}
