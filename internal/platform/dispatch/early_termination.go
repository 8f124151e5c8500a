package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// maxEarlyTerminations limits the number of records in an earlyTerminationLog.
const maxEarlyTerminations = maxTasks

// earlyTermination is the record of the end of a task that a node reported although the scheduler does not
// know the task. A client may still list the task for adoption.
type earlyTermination struct {
	cause     protocol.Cause
	expiresAt placer.Seconds
}

// earlyTerminationLog records the ends of tasks that the scheduler does not know, for as long as clients may
// still list these tasks for adoption. After a scheduler start, a node reports on its first connection which
// tasks ended while it had no connection. These reports can arrive before the messages of clients that list
// thousands of tasks. The number of records is limited; the oldest record is removed first.
type earlyTerminationLog struct {
	*sharedState
	records         map[attemptKey]earlyTermination
	keysOldestFirst []attemptKey // the keys of records, starting with the oldest record
}

func newEarlyTerminationLog(shared *sharedState) *earlyTerminationLog {
	return &earlyTerminationLog{sharedState: shared, records: map[attemptKey]earlyTermination{}}
}

// get returns the record of the end of a task, if the log contains one.
func (l *earlyTerminationLog) get(key attemptKey) (record earlyTermination, found bool) {
	record, found = l.records[key]
	return record, found
}

// record adds a record of the end of an unknown task. If the end is already recorded, it changes nothing.
func (l *earlyTerminationLog) add(key attemptKey, cause protocol.Cause) {
	if _, isRecorded := l.records[key]; isRecorded {
		return
	}
	if len(l.keysOldestFirst) >= maxEarlyTerminations {
		delete(l.records, l.keysOldestFirst[0])
		l.keysOldestFirst = l.keysOldestFirst[1:]
	}
	record := earlyTermination{cause: cause, expiresAt: l.now + notificationRetention}
	l.records[key] = record
	l.keysOldestFirst = append(l.keysOldestFirst, key)
	if len(l.keysOldestFirst) == 1 {
		l.timers.Add(record.expiresAt, l.expire)
	}
}

// expire removes the expired records and sets a timer for the oldest record that is left.
func (l *earlyTerminationLog) expire() {
	expiredCount := 0
	for _, key := range l.keysOldestFirst {
		if l.records[key].expiresAt > l.now {
			break
		}
		delete(l.records, key)
		expiredCount++
	}
	l.keysOldestFirst = slices.Delete(l.keysOldestFirst, 0, expiredCount)
	if len(l.keysOldestFirst) > 0 {
		oldest := l.records[l.keysOldestFirst[0]]
		l.timers.Add(oldest.expiresAt, l.expire)
	}
}
