package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
)

// TestEarlyTerminationLog checks that the log keeps the record of the first report of the end of a task for
// notificationRetention, that the log sets one timer for all records, and that a full log removes its oldest
// record.
func TestEarlyTerminationLog(t *testing.T) {
	shared := &sharedState{now: 100}
	log := newEarlyTerminationLog(shared)
	requireRecord := func(id protocol.ID, cause protocol.Cause, want bool) {
		t.Helper()
		if record, found := log.get(attemptKey{1, id}); found != want || found && record.cause != cause {
			t.Errorf("at time %v: record of task %d is %+v, record exists: %v, want %v", shared.now, id, record, found, want)
		}
	}

	log.add(attemptKey{1, 1}, 16)
	shared.now = 103
	log.add(attemptKey{1, 1}, 41) // This repeated report must not change the record.
	log.add(attemptKey{1, 2}, 31)

	requireRecord(1, 16, true)
	if shared.timers.Len() != 1 || shared.timers.NextTimeOr(0) != 100+notificationRetention {
		t.Errorf("%d timers are set, the next one for time %v; want one timer, for the expiry of the oldest record", shared.timers.Len(), shared.timers.NextTimeOr(0))
	}
	shared.runDueTimers(100 + notificationRetention)
	requireRecord(1, 0, false)
	requireRecord(2, 31, true)
	shared.runDueTimers(103 + notificationRetention)
	requireRecord(2, 0, false)
	if shared.timers.Len() != 0 {
		t.Errorf("%d timers are set after all records have expired, want 0", shared.timers.Len())
	}

	for id := range protocol.ID(maxEarlyTerminations + 1) {
		log.add(attemptKey{1, id}, 16)
	}
	requireRecord(0, 0, false)
	requireRecord(1, 16, true)
	if err := log.checkInvariants(); err != nil {
		t.Error(err)
	}
}
