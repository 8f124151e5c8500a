package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// arrivals returns the order in which the placer received adopted tasks (r) and new requests (A) since the last call.
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

// TestRequestsWaitForAdoptions: running tasks are listed in many lines after the first health check. A request that comes among them reaches the
// placer after the last, unless they go on for too long; at other times it does at once.
func TestRequestsWaitForAdoptions(t *testing.T) {
	policy := &scriptedPlacer{node: nodeID(1)}
	harness := newHarness(t, policy)
	conn := harness.connect()
	harness.checkHealth(conn)

	harness.launch(conn, "query", 2000, "") // before the first adoption
	for range 5 {
		harness.adopt(conn, 1)
		harness.advance(adoptionIdleGap / 2)
	}
	harness.withdraw(harness.launch(conn, "query", 2000, "")) // and one that is withdrawn meanwhile
	harness.launch(conn, "query", 2000, "")
	harness.advance(adoptionIdleGap)
	if got := arrivalOrder(policy); got != "rrrrrAA" {
		t.Errorf("order of events %s", got)
	}

	harness.launch(conn, "query", 2000, "")
	if got := arrivalOrder(policy); got != "A" {
		t.Errorf("order of events %q of a request alone", got)
	}

	harness.launch(conn, "query", 3000, "")
	arrivalOrder(policy)
	for i := range int(2 * adoptionMaxWait / adoptionIdleGap) {
		harness.adopt(conn, 1)
		if i == 0 {
			harness.launch(conn, "query", 100, "") // is answered in time all the same
		}
		harness.launch(conn, "query", 3000, "")
		harness.advance(adoptionIdleGap / 2)
	}
	if got := arrivalOrder(policy); !strings.HasSuffix(got, "rArA") || strings.Index(got, "A") > 6 {
		t.Errorf("order of events long after the first health check %s", got)
	}
}

// TestAdoption: a listed task is adopted once, and its client is notified of its end.
func TestAdoption(t *testing.T) {
	harness := newHarness(t, nil)
	conn := harness.connect()
	id := harness.adopt(conn, 2)
	if harness.core.RunningTasks() != 1 || harness.core.OpenRequests() != 0 {
		t.Fatal("not adopted")
	}

	record := harness.clientRecords[id]
	harness.lastID--
	harness.adopt(conn, 2) // listed twice
	harness.clientRecords[id] = record
	if harness.core.RunningTasks() != 1 {
		t.Fatal("adopted twice")
	}

	harness.reportEnd(nodeID(2), id, protocol.CauseEnd)
	harness.carryOutEffects()
	if record.notifications != 1 || harness.core.RunningTasks() != 0 {
		t.Fatalf("%+v", record)
	}
}

// TestAdoptionsExpectedUntil: new requests wait after the first health check and after each adoption, and not beyond the longest wait.
func TestAdoptionsExpectedUntil(t *testing.T) {
	for _, test := range []struct {
		name           string
		healthChecksAt []placer.Seconds
		adoptedAt      placer.Seconds
		want           placer.Seconds
	}{
		{"no health check yet", nil, 0, adoptionIdleGap},
		{"a first health check", []placer.Seconds{100}, 0, 100 + adoptionIdleGap},
		{"a second one", []placer.Seconds{100, 107}, 0, 100 + adoptionIdleGap},
		{"an adoption", []placer.Seconds{100}, 100.5, 100.5 + adoptionIdleGap},
		{"an adoption long after", []placer.Seconds{100}, 170, 100 + adoptionMaxWait},
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
					t.Fatal("adopted from a node that is not in the registry")
				}
			}

			if got := tested.adoptionsExpectedUntil(); got != test.want {
				t.Errorf("expected until %v, want %v", got, test.want)
			}
		})
	}
}
