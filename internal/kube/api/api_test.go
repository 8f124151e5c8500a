package api

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

// TestTables checks that a request with the Accept header of kubectl get receives a Table with one row for
// each object.
func TestTables(t *testing.T) {
	server := newPodServer(5)
	const kubectlAccept = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json;as=Table;v=v1beta1;g=meta.k8s.io,application/json"
	for _, test := range []struct {
		name, target, accept string
		wantKind             string
		wantRows             int
		wantMore             bool
	}{
		{"Table of all 5 Pods", "/api/v1/pods", kubectlAccept, "Table", 5, false},
		{"Table of a single Pod", "/api/v1/namespaces/default/pods/pa", kubectlAccept, "Table", 1, false},
		{"Table of the first 2 Pods, with a continue token", "/api/v1/pods?limit=2", kubectlAccept, "Table", 2, true},
		{"Table of the 2 Pods that match a label selector", "/api/v1/pods?labelSelector=odd%3D1", kubectlAccept, "Table", 2, false},
		{"plain JSON list, because the Accept header names plain JSON before Table", "/api/v1/pods", "application/json," + kubectlAccept, "PodList", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := server.getWithAccept(test.target, test.accept)
			var table metav1.Table
			if err := json.Unmarshal(response.Body, &table); err != nil || response.Status != 200 {
				t.Fatalf("response has status %d, want 200; error of decoding the body as a Table: %v", response.Status, err)
			}
			if table.Kind != test.wantKind || len(table.Rows) != test.wantRows || (table.Continue != "") != test.wantMore {
				t.Fatalf("response has the wrong kind, number of rows or continue token: kind %s, %d rows, continue token %q", table.Kind, len(table.Rows), table.Continue)
			}
			if test.wantKind != "Table" {
				return
			}
			row := table.Rows[0]
			if len(row.Cells) != len(table.ColumnDefinitions) {
				t.Errorf("the first row has %d cells, want one cell for each of the %d columns", len(row.Cells), len(table.ColumnDefinitions))
			}
			if !strings.Contains(string(row.Object.Raw), `"PartialObjectMetadata"`) {
				t.Errorf("the first row contains the object %s, want an object of kind PartialObjectMetadata", row.Object.Raw)
			}
		})
	}
}

// pullEventTypes calls Pull once on the stream of a watch, with a limit of maxBytes bytes. It returns the
// types of the events that it received and reports whether the stream has ended. The test fails if a line is
// not a complete event.
func pullEventTypes(t *testing.T, stream http1.Stream, maxBytes int) (eventTypes []string, done bool) {
	t.Helper()
	chunk, done := stream.Pull(nil, maxBytes)
	for line := range strings.Lines(string(chunk)) {
		var event struct{ Type string }
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			t.Fatalf("watch sent a line that is not an event: %q", line)
		}
		eventTypes = append(eventTypes, event.Type)
	}
	return eventTypes, done
}

// TestWatchSelectorsAndExpiry checks three properties of watches. First, a watch sends an ADDED event if an
// object starts to match the selector of the watch, and a DELETED event if the object no longer matches.
// Second, a watch sends an ERROR event and ends if the store's history no longer contains the changes that
// the watch needs. Third, a watch sends each event as a separate line.
func TestWatchSelectorsAndExpiry(t *testing.T) {
	server := newPodServer(2)
	putPod := func(name, oddLabel string) {
		pod := newPod(name)
		pod.Labels = map[string]string{"odd": oddLabel}
		server.Store.Put(store.Pods, pod)
	}
	const options = "&allowWatchBookmarks=true&sendInitialEvents=true&resourceVersionMatch=NotOlderThan"
	response := server.getWithAccept("/api/v1/pods?watch=1&labelSelector=odd%3D1"+options, "")
	if response.Stream == nil {
		t.Fatalf("response to a watch request has no stream: status %d, body %s", response.Status, response.Body)
	}
	events, _ := pullEventTypes(t, response.Stream, 1<<20)

	putPod("pa", "1")
	putPod("pb", "0")
	putPod("pa", "1")
	putPod("pb", "0")
	server.Store.Delete(store.Pods, "default", "pa")
	server.Store.Delete(store.Pods, "default", "pb")
	for !strings.HasSuffix(strings.Join(events, " "), "MODIFIED DELETED") {
		// The limit of 1 byte imitates a client that reads slowly. Pull appends only complete events and
		// stops after the event that reaches the limit. With this limit, each call returns a single event.
		pulled, done := pullEventTypes(t, response.Stream, 1)
		events = append(events, pulled...)
		if done {
			t.Fatalf("watch ended after it sent the events %v; want it to stay open until it has sent MODIFIED and DELETED", events)
		}
	}
	if got, want := strings.Join(events, " "), "ADDED BOOKMARK ADDED DELETED MODIFIED DELETED"; got != want {
		t.Errorf("watch sent the events %s, want %s", got, want)
	}

	// The store's history keeps 50 changes. After 60 more changes, it no longer contains the changes that the
	// watch needs.
	for i := range 60 {
		putPod("px", string(rune('0'+i%2)))
	}
	if events, done := pullEventTypes(t, response.Stream, 1<<20); !done || !slices.Equal(events, []string{"ERROR"}) {
		t.Errorf("after the store dropped changes that the watch needed, the watch sent the events %v (stream ended: %v), want one ERROR event and the end of the stream", events, done)
	}
	response.Stream.Close()
	if server.OpenWatches() != 0 {
		t.Error("OpenWatches still counts a watch after its stream was closed")
	}
}
