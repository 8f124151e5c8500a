package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// maxEarlyTerminations is the maximum number of early terminations that are kept.
const maxEarlyTerminations = maxTasks

// earlyTermination records that a node reported the end of a task that is not known here. Its client may still list it for adoption.
type earlyTermination struct {
	cause     protocol.Cause
	expiresAt placer.Seconds
}

// earlyTerminationLog owns the records of ends of unknown tasks, for as long as their clients may still list the tasks for adoption. After a
// start, a node reports on its first connection which tasks ended while it had none, and may be faster than clients that list thousands of
// tasks. The number of records is bounded: the oldest are removed first.
type earlyTerminationLog struct {
	*environment
	records map[attemptKey]earlyTermination
	order   []attemptKey // keys of records, oldest first
}

func newEarlyTerminationLog(env *environment) *earlyTerminationLog {
	return &earlyTerminationLog{environment: env, records: map[attemptKey]earlyTermination{}}
}

// get returns the record of a task's end at a node.
func (l *earlyTerminationLog) get(key attemptKey) (record earlyTermination, found bool) {
	record, found = l.records[key]
	return record, found
}

// record records the end of an unknown task. A second report of the same end is ignored.
func (l *earlyTerminationLog) record(key attemptKey, cause protocol.Cause) {
	if _, known := l.records[key]; known {
		return
	}
	if len(l.order) >= maxEarlyTerminations {
		delete(l.records, l.order[0])
		l.order = l.order[1:]
	}
	record := earlyTermination{cause: cause, expiresAt: l.now + notificationRetention}
	l.records[key] = record
	l.order = append(l.order, key)
	if len(l.order) == 1 {
		l.timers.Add(record.expiresAt, l.expire)
	}
}

// expire removes the records that have expired, and sets a timer for the next one.
func (l *earlyTerminationLog) expire() {
	expired := 0
	for _, key := range l.order {
		if l.records[key].expiresAt > l.now {
			break
		}
		delete(l.records, key)
		expired++
	}
	l.order = slices.Delete(l.order, 0, expired)
	if len(l.order) > 0 {
		oldest := l.records[l.order[0]]
		l.timers.Add(oldest.expiresAt, l.expire)
	}
}
