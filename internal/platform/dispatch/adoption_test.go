package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestRequestsWaitForAdoptions: running tasks are listed in many lines after the first health check. A request that comes among them reaches the
// placer after the last, unless they go on for too long; at other times it does at once.
func TestRequestsWaitForAdoptions(t *testing.T) {
	policy := &scriptedPlacer{node: NodeIDOf("s-00000001")}
	h := newHarness(t, policy)
	conn := h.connect()
	order := func() (got string) {
		for _, ev := range policy.events {
			switch ev.Kind {
			case placer.Adopted:
				got += "r"
			case placer.Arrived:
				got += "A"
			}
		}
		policy.events = nil
		return got
	}
	check := newMessage(protocol.Check, 1<<50, 0)
	h.records[check.ID] = &clientRecord{running: true}
	if err := h.core.ReceiveFromClient(h.now, conn, &check); err != nil {
		t.Fatal(err)
	}
	h.carryOutEffects()
	h.launch(conn, "query", 2000, "") // before the first adoption
	for range 5 {
		h.launch(conn, "seats", 4294967, ";at:s-00000001")
		h.advance(adoptionIdleGap / 2)
	}
	withdrawn := h.launch(conn, "query", 2000, "") // and one that is withdrawn meanwhile
	h.records[withdrawn].withdrawn = true
	withdrawal := newMessage(protocol.Stop, withdrawn, 16)
	if err := h.core.ReceiveFromClient(h.now, conn, &withdrawal); err != nil {
		t.Fatal(err)
	}
	h.launch(conn, "query", 2000, "")
	h.advance(adoptionIdleGap)
	if got := order(); got != "rrrrrAA" {
		t.Errorf("order of events %s", got)
	}
	h.launch(conn, "query", 2000, "")
	if got := order(); got != "A" {
		t.Errorf("order of events %q of a request alone", got)
	}
	h.launch(conn, "query", 3000, "")
	order()
	for i := range int(2 * adoptionMaxWait / adoptionIdleGap) {
		h.launch(conn, "seats", 4294967, ";at:s-00000001")
		if i == 0 {
			h.launch(conn, "query", 100, "") // is answered in time all the same
		}
		h.launch(conn, "query", 3000, "")
		h.advance(adoptionIdleGap / 2)
	}
	if got := order(); !strings.HasSuffix(got, "rArA") || strings.Index(got, "A") > 6 {
		t.Errorf("order of events long after the first health check %s", got)
	}
}

// TestAdoption: a listed task is adopted once, and its client is notified of its end.
func TestAdoption(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connect()
	id := h.launch(conn, "seats", 4294967, ";at:s-00000002")
	if h.core.RunningTasks() != 1 || h.core.OpenRequests() != 0 {
		t.Fatal("not adopted")
	}
	record := h.records[id]
	h.lastID--
	h.launch(conn, "seats", 4294967, ";at:s-00000002") // listed twice
	h.records[id] = record
	if h.core.RunningTasks() != 1 {
		t.Fatal("adopted twice")
	}
	h.core.ReceiveFromNode(h.now, NodeIDOf("s-00000002"), &protocol.Message{Kind: protocol.Stop, ID: id, Cause: 16, HasCause: true})
	h.carryOutEffects()
	if record.notifications != 1 || h.core.RunningTasks() != 0 {
		t.Fatalf("%+v", record)
	}
}

// TestAdoptionsExpectedUntil: new requests wait after the first health check and after each adoption, and not beyond the longest wait.
func TestAdoptionsExpectedUntil(t *testing.T) {
	for _, tc := range []struct {
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
		t.Run(tc.name, func(t *testing.T) {
			env := &environment{counts: &Counts{}}
			part := &adoption{environment: env, nodes: newNodeRegistry(env)}
			for _, at := range tc.healthChecksAt {
				env.setTime(at)
				part.healthCheckReceived()
			}
			if tc.adoptedAt > 0 {
				env.setTime(tc.adoptedAt)
				if err := part.adopt(nil, &protocol.Message{}, parsedRequest{adoptedFrom: "unlisted"}); err == nil {
					t.Fatal("adopted from a node that is not in the registry")
				}
			}

			if got := part.expectedUntil(); got != tc.want {
				t.Errorf("expected until %v, want %v", got, tc.want)
			}
		})
	}
}
