package placer

import "math"

// Constants of node discovery.
const (
	// nodeRetention is the time for which the record of a terminated node is kept after the last task of this
	// scheduler on the node has ended.
	nodeRetention Seconds = 60
	// maxPollBackoffDoublings limits the backoff after failed requests for the node list (polls). It is the
	// maximum number of times that the wait before the next poll is doubled.
	maxPollBackoffDoublings = 6
	// pollRetryDivisor determines the longest wait before a request for the node list (a poll) is repeated.
	// The wait is MaxPollInterval divided by this number. An unanswered poll is repeated after this wait. The
	// backoff after failed polls grows up to this wait.
	pollRetryDivisor = 2
	// listTimeoutDivisor determines how long the scheduler waits for a new node list before it requests the
	// list again. The wait is MaxPollInterval divided by this number.
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
	failedPolls  int    // number of polls that failed since the last node list arrived
	listReceived bool   // a node list has arrived since the last failed poll, or since the start
	timerToken   uint64 // token that identifies the latest timer; older timers have no effect
}

// requestNodeList polls the node list. It also starts a timer that repeats the poll if no answer arrives.
func (l *nodeListPoller) requestNodeList(now Seconds) {
	l.lastPollAt = now
	l.actions.addAction(Action{Kind: WatchNodes})
	l.startTimer(l.maxInterval / pollRetryDivisor)
}

// recordNodeList records that a node list, or a list of changed nodes, arrived. It is not called for cached
// lists, because a cached list may be out of date.
func (l *nodeListPoller) recordNodeList(now Seconds) {
	l.listReceived = true
	l.failedPolls = 0
	l.lastListAt = now
}

// handleFailedPoll schedules the next request for the node list after a failed request, with exponential
// backoff.
func (l *nodeListPoller) handleFailedPoll() {
	l.listReceived = false
	l.failedPolls++
	doublings := float64(min(l.failedPolls, maxPollBackoffDoublings))
	l.startTimer(min(l.maxInterval/pollRetryDivisor, l.shortestObjective*Seconds(math.Exp2(doublings))))
}

// handleTimer is called when the timer with the given token fires. It polls again if the last poll failed or
// was not answered, or if no node list has arrived for maxInterval divided by listTimeoutDivisor.
func (l *nodeListPoller) handleTimer(now Seconds, token uint64) {
	if token != l.timerToken {
		return
	}
	interval := l.maxInterval / listTimeoutDivisor
	pollUnsuccessful := !l.listReceived && now-l.lastPollAt > l.shortestObjective
	listOverdue := now-max(l.lastListAt, l.lastPollAt) > interval
	if pollUnsuccessful || listOverdue {
		l.requestNodeList(now)
		return
	}
	l.startTimer(interval)
}

func (l *nodeListPoller) startTimer(after Seconds) {
	l.timerToken = l.timers.startTimer(pendingTimer{kind: timerPollNodes}, l.jitter.randomize(after))
}
