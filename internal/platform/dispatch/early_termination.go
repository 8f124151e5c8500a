package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// earlyTermination records that a node has reported the end of a task that the scheduler does not know. A
// client may still request the adoption of this task.
type earlyTermination struct {
	cause     protocol.Cause
	expiresAt placer.Seconds
}

// earlyTerminationLog records the ends of tasks that the scheduler does not know, for as long as clients may
// still request the adoption of these tasks. After a scheduler start, each node connects to the scheduler and
// reports which of its tasks ended while the node was not connected. These reports can arrive before the
// adoption requests for the same tasks, because clients send thousands of adoption requests. The number of
// records is limited like that of the tasks. A full log removes its oldest record when it adds a new one.
type earlyTerminationLog struct {
	*sharedState
	records         map[attemptKey]earlyTermination
	keysOldestFirst []attemptKey // keysOldestFirst contains the keys of all records, from old to new.
}

func newEarlyTerminationLog(shared *sharedState) *earlyTerminationLog {
	return &earlyTerminationLog{sharedState: shared, records: map[attemptKey]earlyTermination{}}
}

// get returns the record of the task with the given key. The result found is false if the log contains no
// such record.
func (l *earlyTerminationLog) get(key attemptKey) (record earlyTermination, found bool) {
	record, found = l.records[key]
	return record, found
}

// add records that the task with the given key has ended. If the log already contains a record with this key,
// add changes nothing.
func (l *earlyTerminationLog) add(key attemptKey, cause protocol.Cause) {
	if _, isRecorded := l.records[key]; isRecorded {
		return
	}
	if len(l.keysOldestFirst) >= l.limits.Tasks {
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

// expire removes the expired records and sets a timer for the expiry of the oldest record that is left.
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
		oldestRecord := l.records[l.keysOldestFirst[0]]
		l.timers.Add(oldestRecord.expiresAt, l.expire)
	}
}
