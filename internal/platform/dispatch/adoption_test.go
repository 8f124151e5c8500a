package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// arrivalOrder returns in which order the placer received adoptions and new requests since the last call. The
// order is a text that contains an "a" for each adoption and an "R" for each new request.
func takeArrivalOrder(policy *fixedNodePlacer) (order string) {
	for _, event := range policy.events {
		switch event.Kind {
		case placer.Adopted:
			order += "a"
		case placer.Arrived:
			order += "R"
		}
	}
	policy.events = nil
	return order
}

// TestRequestsWaitForAdoptions checks that a new request that arrives while clients list their running tasks
// reaches the placer only after the last adoption, or adoptionMaxWait after the first health check. At other
// times a request must reach the placer immediately.
func TestRequestsWaitForAdoptions(t *testing.T) {
	policy := &fixedNodePlacer{node: nodeID(1)}
	harness := newHarness(t, policy)
	conn := harness.connect()
	harness.sendHealthCheck(conn)

	harness.sendLaunch(conn, "query", 2000, "") // this request arrives before the first adoption
	for range 5 {
		harness.requestAdoption(conn, 1)
		harness.advanceClock(adoptionIdleGap / 2)
	}
	harness.withdrawRequest(harness.sendLaunch(conn, "query", 2000, "")) // this request is withdrawn while it waits
	harness.sendLaunch(conn, "query", 2000, "")
	harness.advanceClock(adoptionIdleGap)
	if got := takeArrivalOrder(policy); got != "aaaaaRR" {
		t.Errorf("placer received %q, want 5 adoptions (a) before the 2 requests (R) that were not withdrawn", got)
	}

	harness.sendLaunch(conn, "query", 2000, "")
	if got := takeArrivalOrder(policy); got != "R" {
		t.Errorf("placer received %q, want the new request (R) immediately, since no adoptions are expected", got)
	}

	harness.sendLaunch(conn, "query", 3000, "")
	takeArrivalOrder(policy)
	for i := range int(2 * adoptionMaxWait / adoptionIdleGap) {
		harness.requestAdoption(conn, 1)
		if i == 0 {
			harness.sendLaunch(conn, "query", 100, "") // this request must reach the placer before its short deadline
		}
		harness.sendLaunch(conn, "query", 3000, "")
		harness.advanceClock(adoptionIdleGap / 2)
	}
	if got := takeArrivalOrder(policy); !strings.HasSuffix(got, "aRaR") || strings.Index(got, "R") > 6 {
		t.Errorf("placer received %q, want a request (R) near the start for the short deadline, and requests that do not wait for adoptions (a) at the end", got)
	}
}

// TestAdoption checks that a task that its client lists twice for adoption is adopted only once, and that the
// client is notified of the end of the task.
func TestAdoption(t *testing.T) {
	harness := newHarness(t, nil)
	conn := harness.connect()
	id := harness.requestAdoption(conn, 2)
	if harness.core.RunningTasks() != 1 || harness.core.OpenRequests() != 0 {
		t.Fatal("the listed task was not adopted")
	}

	record := harness.clientRecords[id]
	harness.lastID--
	harness.requestAdoption(conn, 2) // the client lists the same task again
	harness.clientRecords[id] = record
	if harness.core.RunningTasks() != 1 {
		t.Fatal("the task was adopted again when the client listed it a second time")
	}

	harness.reportEnd(nodeID(2), id, protocol.CauseEnd)
	harness.carryOutEffects()
	if record.notificationCount != 1 || harness.core.RunningTasks() != 0 {
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
		{"no health check and no adoption", nil, 0, adoptionIdleGap},
		{"one health check without an adoption", []placer.Seconds{100}, 0, 100 + adoptionIdleGap},
		{"two health checks without an adoption", []placer.Seconds{100, 107}, 0, 100 + adoptionIdleGap},
		{"adoption within adoptionMaxWait of the health check", []placer.Seconds{100}, 100.5, 100.5 + adoptionIdleGap},
		{"adoption later than adoptionMaxWait after the health check", []placer.Seconds{100}, 170, 100 + adoptionMaxWait},
		{"adoption without a health check", nil, 170, adoptionMaxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			shared := &sharedState{counts: &Counts{}}
			adopter := &adoption{sharedState: shared, nodes: newNodeRegistry(shared)}
			for _, at := range test.healthChecksAt {
				shared.setClock(at)
				adopter.recordHealthCheck()
			}
			if test.adoptedAt > 0 {
				shared.setClock(test.adoptedAt)
				if err := adopter.adopt(nil, &protocol.Message{}, parsedRequest{adoptedFromUID: "unlisted"}); err == nil {
					t.Fatal("a task was adopted from a node that is not in the registry")
				}
			}

			if got := adopter.adoptionsExpectedUntil(); got != test.want {
				t.Errorf("adoptions are expected until %v, want %v", got, test.want)
			}
		})
	}
}
