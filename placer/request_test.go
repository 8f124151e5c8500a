package placer

import "testing"

func TestAttemptStates(t *testing.T) {
	all := []attemptState{attemptPending, attemptRunning, attemptEnded, attemptState(9)}
	for i, name := range []string{"pending", "running", "ended", "attemptState(9)"} {
		if got := all[i].String(); got != name {
			t.Errorf("state %d is called %q, want %q", i, got, name)
		}
	}
	for _, from := range all {
		for _, to := range all {
			legal := from < to
			started := &attempt{request: &placementRequest{}, state: from}
			func() {
				defer func() {
					if panicked := recover() != nil; panicked == legal {
						t.Errorf("%v to %v: legal is %v, panicked is %v", from, to, legal, panicked)
					}
				}()
				started.setState(to)
			}()
			if want := max(from, to); started.state != want {
				t.Errorf("%v to %v: now %v", from, to, started.state)
			}
		}
	}
}

func TestRequestTable(t *testing.T) {
	node := newTrackedNode(1)
	table := newRequestTable()
	placed, withdrawn := table.open(Task{ID: 1}, 100), table.open(Task{ID: 2}, 100)
	adopted := table.adopt(Task{ID: 3}, node, 100)
	if table.unanswered != 2 || !table.contains(1) || table.contains(4) {
		t.Fatalf("%d unanswered; known: %v and %v", table.unanswered, table.contains(1), table.contains(4))
	}
	sent := placed.startAttempt(node, 100)
	for name, test := range map[string]struct {
		task   TaskID
		number int
		want   *attempt
	}{
		"own":        {1, 0, sent},
		"adopted":    {3, 0, adopted},
		"no attempt": {2, 0, nil},
		"number":     {1, 1, nil},
		"negative":   {1, -1, nil},
		"task":       {4, 0, nil},
	} {
		if got := table.attempt(test.task, test.number); got != test.want {
			t.Errorf("%s: got %p, want %p", name, got, test.want)
		}
	}
	table.close(withdrawn)
	table.close(placed)
	table.close(placed) // repeated
	if table.unanswered != 0 || table.contains(2) || !table.contains(1) {
		t.Errorf("%d unanswered; a request without an attempt is kept: %v", table.unanswered, table.contains(2))
	}
	sent.setState(attemptEnded)
	table.removeIfDone(placed)
	if table.contains(1) {
		t.Error("a request is kept after its last attempt")
	}
}
