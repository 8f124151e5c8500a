package placer

import "math"

// Constants of the node list.
const (
	// nodeRetention is the time for which a terminated node without own tasks is kept.
	nodeRetention Seconds = 60
	// maxPollBackoffDoublings bounds the backoff after failed polls, which is doubled for each failure.
	maxPollBackoffDoublings = 6
	// pollIntervalDivisor divides MaxPollInterval into the time after which an unanswered poll is repeated,
	// and the longest backoff; watchCheckDivisor divides it into the time that a watch may be quiet.
	pollIntervalDivisor = 2
	watchCheckDivisor   = 3
)

// nodeListPoller requests the node list and its changes where they are sent only on request, and repeats the
// request if no answer comes.
type nodeListPoller struct {
	maxInterval Seconds // longest time between two requests
	objective   Seconds // shortest latency objective of all classes
	actions     *actionList
	timers      *timerTable
	jitter      jitter

	lastPollAt Seconds
	lastListAt Seconds
	failures   int    // since the last list
	watching   bool   // the last poll was answered
	timerToken uint64 // of the latest timer; others have no effect
}

// poll requests the list with later changes, and sets a timer in case no answer comes.
func (l *nodeListPoller) poll(now Seconds) {
	l.lastPollAt = now
	l.actions.add(Action{Kind: WatchNodes})
	l.startTimer(l.maxInterval / pollIntervalDivisor)
}

// listArrived records that a list or changes of it came from the source, not from a cache.
func (l *nodeListPoller) listArrived(now Seconds) {
	l.watching = true
	l.failures = 0
	l.lastListAt = now
}

// pollFailed schedules the next poll after a failed one, with exponential backoff.
func (l *nodeListPoller) pollFailed() {
	l.watching = false
	l.failures++
	doublings := float64(min(l.failures, maxPollBackoffDoublings))
	l.startTimer(min(l.maxInterval/pollIntervalDivisor, l.objective*Seconds(math.Exp2(doublings))))
}

// timerFired polls again after a failure, or if nothing has been received for an interval.
func (l *nodeListPoller) timerFired(now Seconds, token uint64) {
	if token != l.timerToken {
		return
	}
	interval := l.maxInterval / watchCheckDivisor
	failed := !l.watching && now-l.lastPollAt > l.objective
	quiet := now-max(l.lastListAt, l.lastPollAt) > interval
	if failed || quiet {
		l.poll(now)
		return
	}
	l.startTimer(interval)
}

func (l *nodeListPoller) startTimer(after Seconds) {
	l.timerToken = l.timers.start(pendingTimer{kind: timerPollNodes}, l.jitter.apply(after))
}
