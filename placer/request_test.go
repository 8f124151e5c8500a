package placer

import "testing"

func TestAttemptStates(t *testing.T) {
	all := []attemptState{attemptPending, attemptRunning, attemptEnded, attemptState(9)}
	for i, name := range []string{"pending", "running", "ended", "attemptState(9)"} {
		if got := all[i].String(); got != name {
			t.Errorf("attempt state %d has the name %q, want %q", i, got, name)
		}
	}
	for _, from := range all {
		for _, to := range all {
			allowed := from < to
			started := &attempt{request: &placementRequest{}, state: from}
			func() {
				defer func() {
					if panicked := recover() != nil; panicked == allowed {
						t.Errorf("transition from %v to %v: allowed: %v; setState panicked: %v; want a panic only if not allowed", from, to, allowed, panicked)
					}
				}()
				started.setState(to)
			}()
			if want := max(from, to); started.state != want {
				t.Errorf("after the transition from %v to %v, the state is %v, want the later of the two", from, to, started.state)
			}
		}
	}
}

func TestRequestTable(t *testing.T) {
	node := newTrackedNode(1)
	table := newRequestTable()
	placed, withdrawn := table.open(Task{ID: 1}, 100), table.open(Task{ID: 2}, 100)
	adopted := table.adopt(Task{ID: 3}, node, 100)
	if table.unansweredRequests != 2 || !table.contains(1) || table.contains(4) {
		t.Fatalf("the table has %d unanswered requests, want 2; it contains task 1: %v, want true; it contains task 4: %v, want false", table.unansweredRequests, table.contains(1), table.contains(4))
	}
	sent := placed.startAttempt(node, 100)
	for name, test := range map[string]struct {
		task         TaskID
		attemptIndex int
		want         *attempt
	}{
		"attempt of a requested task":   {1, 0, sent},
		"attempt of an adopted task":    {3, 0, adopted},
		"request without attempts":      {2, 0, nil},
		"index of an attempt too high":  {1, 1, nil},
		"negative index of an attempt":  {1, -1, nil},
		"task that is not in the table": {4, 0, nil},
	} {
		if got := table.attempt(test.task, test.attemptIndex); got != test.want {
			t.Errorf("%s: got the attempt at %p, want the attempt at %p", name, got, test.want)
		}
	}
	table.close(withdrawn)
	table.close(placed)
	table.close(placed) // a second call must have no effect
	if table.unansweredRequests != 0 || table.contains(2) || !table.contains(1) {
		t.Errorf("the table has %d unanswered requests, want 0; it keeps a closed request without attempts: %v, want false", table.unansweredRequests, table.contains(2))
	}
	sent.setState(attemptEnded)
	table.removeIfDone(placed)
	if table.contains(1) {
		t.Error("the table keeps a request that is done and whose last attempt has ended")
	}
}
