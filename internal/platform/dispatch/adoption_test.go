package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// arrivalOrder returns the order of adopted tasks (r) and new requests (A) that the placer received since the
// last call.
func arrivalOrder(policy *scriptedPlacer) (order string) {
	for _, event := range policy.events {
		switch event.Kind {
		case placer.Adopted:
			order += "r"
		case placer.Arrived:
			order += "A"
		}
	}
	policy.events = nil
	return order
}

// TestRequestsWaitForAdoptions checks that a new request that arrives while clients list their running tasks
// reaches the placer only after the last adoption, or after adoptionMaxWait. At other times a request must
// reach the placer immediately.
func TestRequestsWaitForAdoptions(t *testing.T) {
	policy := &scriptedPlacer{node: nodeID(1)}
	harness := newHarness(t, policy)
	conn := harness.connect()
	harness.checkHealth(conn)

	harness.launch(conn, "query", 2000, "") // this request arrives before the first adoption
	for range 5 {
		harness.adopt(conn, 1)
		harness.advance(adoptionIdleGap / 2)
	}
	harness.withdraw(harness.launch(conn, "query", 2000, "")) // this request is withdrawn while it waits
	harness.launch(conn, "query", 2000, "")
	harness.advance(adoptionIdleGap)
	if got := arrivalOrder(policy); got != "rrrrrAA" {
		t.Errorf("requests during adoptions: placer received %q, want all adoptions before both requests", got)
	}

	harness.launch(conn, "query", 2000, "")
	if got := arrivalOrder(policy); got != "A" {
		t.Errorf("request without adoptions: placer received %q, want it immediately", got)
	}

	harness.launch(conn, "query", 3000, "")
	arrivalOrder(policy)
	for i := range int(2 * adoptionMaxWait / adoptionIdleGap) {
		harness.adopt(conn, 1)
		if i == 0 {
			harness.launch(conn, "query", 100, "") // this request must be answered before its short deadline
		}
		harness.launch(conn, "query", 3000, "")
		harness.advance(adoptionIdleGap / 2)
	}
	if got := arrivalOrder(policy); !strings.HasSuffix(got, "rArA") || strings.Index(got, "A") > 6 {
		t.Errorf("adoptions beyond the maximum wait: placer received %q, want requests between adoptions", got)
	}
}

// TestAdoption checks that a listed task is adopted only once, and that its client is notified of the end.
func TestAdoption(t *testing.T) {
	harness := newHarness(t, nil)
	conn := harness.connect()
	id := harness.adopt(conn, 2)
	if harness.core.RunningTasks() != 1 || harness.core.OpenRequests() != 0 {
		t.Fatal("the listed task was not adopted")
	}

	record := harness.clientRecords[id]
	harness.lastID--
	harness.adopt(conn, 2) // the client lists the same task again
	harness.clientRecords[id] = record
	if harness.core.RunningTasks() != 1 {
		t.Fatal("the task was adopted twice")
	}

	harness.reportEnd(nodeID(2), id, protocol.CauseEnd)
	harness.carryOutEffects()
	if record.notifications != 1 || harness.core.RunningTasks() != 0 {
		t.Fatalf("client record %+v after the end of the task, want 1 notification and no running task", record)
	}
}

// TestAdoptionsExpectedUntil checks that new requests wait for adoptions after the first health check and
// after each adoption, but not beyond adoptionMaxWait.
func TestAdoptionsExpectedUntil(t *testing.T) {
	for _, test := range []struct {
		name           string
		healthChecksAt []placer.Seconds
		adoptedAt      placer.Seconds
		want           placer.Seconds
	}{
		{"no health check", nil, 0, adoptionIdleGap},
		{"one health check", []placer.Seconds{100}, 0, 100 + adoptionIdleGap},
		{"two health checks", []placer.Seconds{100, 107}, 0, 100 + adoptionIdleGap},
		{"an adoption within the maximum wait", []placer.Seconds{100}, 100.5, 100.5 + adoptionIdleGap},
		{"an adoption after the maximum wait", []placer.Seconds{100}, 170, 100 + adoptionMaxWait},
		{"an adoption before any health check", nil, 170, adoptionMaxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			shared := &sharedState{counts: &Counts{}}
			tested := &adoption{sharedState: shared, nodes: newNodeRegistry(shared)}
			for _, at := range test.healthChecksAt {
				shared.setClock(at)
				tested.healthCheckReceived()
			}
			if test.adoptedAt > 0 {
				shared.setClock(test.adoptedAt)
				if err := tested.adopt(nil, &protocol.Message{}, parsedRequest{adoptedFromUID: "unlisted"}); err == nil {
					t.Fatal("a task was adopted from a node that is not in the registry")
				}
			}

			if got := tested.adoptionsExpectedUntil(); got != test.want {
				t.Errorf("adoptions are expected until %v, want %v", got, test.want)
			}
		})
	}
}
