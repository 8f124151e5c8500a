package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// maxEarlyTerminations limits the number of early terminations that are recorded.
const maxEarlyTerminations = maxTasks

// earlyTermination records that a node reported the end of a task that the scheduler does not know. The
// client may still list that task for adoption.
type earlyTermination struct {
	cause     protocol.Cause
	expiresAt placer.Seconds
}

// earlyTerminationLog records the ends of unknown tasks for as long as clients may still list those tasks for
// adoption. After a scheduler start, a node reports on its first connection which tasks ended while it had no
// connection. These reports can arrive before the messages of clients that list thousands of tasks. The
// number of records is limited; the oldest record is removed first.
type earlyTerminationLog struct {
	*sharedState
	records map[attemptKey]earlyTermination
	order   []attemptKey // the keys of records, oldest first
}

func newEarlyTerminationLog(shared *sharedState) *earlyTerminationLog {
	return &earlyTerminationLog{sharedState: shared, records: map[attemptKey]earlyTermination{}}
}

// get returns the record of the end of a task on a node.
func (l *earlyTerminationLog) get(key attemptKey) (record earlyTermination, found bool) {
	record, found = l.records[key]
	return record, found
}

// record records the end of an unknown task. Repeated reports of the same end are ignored.
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

// expire removes the expired records and sets a timer for the next record.
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
