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

// TestTables checks that a request with the Accept header of kubectl get receives a Table with one row per
// object.
func TestTables(t *testing.T) {
	server := newPodServer(5)
	const kubectlAccept = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json;as=Table;v=v1beta1;g=meta.k8s.io,application/json"
	for _, test := range []struct {
		name, target, accept string
		kind                 string
		rows                 int
		hasMore              bool
	}{
		{"list", "/api/v1/pods", kubectlAccept, "Table", 5, false},
		{"one object", "/api/v1/namespaces/default/pods/pa", kubectlAccept, "Table", 1, false},
		{"page", "/api/v1/pods?limit=2", kubectlAccept, "Table", 2, true},
		{"selector", "/api/v1/pods?labelSelector=odd%3D1", kubectlAccept, "Table", 2, false},
		{"plain JSON preferred", "/api/v1/pods", "application/json," + kubectlAccept, "PodList", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := server.getAs(test.target, test.accept)
			var table metav1.Table
			if err := json.Unmarshal(response.Body, &table); err != nil || response.Status != 200 {
				t.Fatalf("status %d, want 200; decode response: %v", response.Status, err)
			}
			if table.Kind != test.kind || len(table.Rows) != test.rows || (table.Continue != "") != test.hasMore {
				t.Fatalf("response is a %s with %d rows and continue token %q", table.Kind, len(table.Rows), table.Continue)
			}
			if test.kind != "Table" {
				return
			}
			row := table.Rows[0]
			if len(row.Cells) != len(table.ColumnDefinitions) {
				t.Errorf("the first row has %d cells, want one for each of %d columns", len(row.Cells), len(table.ColumnDefinitions))
			}
			if !strings.Contains(string(row.Object.Raw), `"PartialObjectMetadata"`) {
				t.Errorf("the first row contains the object %s, want PartialObjectMetadata", row.Object.Raw)
			}
		})
	}
}

// pullEventTypes pulls about maxBytes bytes from a watch and returns the types of the events in them. The
// test fails if a line is not a complete event.
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

// TestWatchSelectorsAndExpiry checks three properties of watches. An object that starts to match the selector
// is reported as ADDED, and one that no longer matches as DELETED. A watch whose position was dropped from
// the history receives an ERROR event. Every event is sent as one line.
func TestWatchSelectorsAndExpiry(t *testing.T) {
	server := newPodServer(2)
	putPod := func(name, odd string) {
		pod := newPod(name)
		pod.Labels = map[string]string{"odd": odd}
		server.Store.Put(store.Pods, pod)
	}
	const options = "&allowWatchBookmarks=true&sendInitialEvents=true&resourceVersionMatch=NotOlderThan"
	response := server.getAs("/api/v1/pods?watch=1&labelSelector=odd%3D1"+options, "")
	if response.Stream == nil {
		t.Fatalf("watch request returned no stream: status %d, body %s", response.Status, response.Body)
	}
	events, _ := pullEventTypes(t, response.Stream, 1<<20)

	putPod("pa", "1")
	putPod("pb", "0")
	putPod("pa", "1")
	putPod("pb", "0")
	server.Store.Delete(store.Pods, "default", "pa")
	server.Store.Delete(store.Pods, "default", "pb")
	for !strings.HasSuffix(strings.Join(events, " "), "MODIFIED DELETED") {
		// A limit of 1 byte makes each pull return a single event, as if the client were slow.
		pulled, done := pullEventTypes(t, response.Stream, 1)
		events = append(events, pulled...)
		if done {
			t.Fatalf("watch ended early, after the events %v", events)
		}
	}
	if got, want := strings.Join(events, " "), "ADDED BOOKMARK ADDED DELETED MODIFIED DELETED"; got != want {
		t.Errorf("watch sent the events %s, want %s", got, want)
	}

	for i := range 60 {
		putPod("px", string(rune('0'+i%2)))
	}
	if events, done := pullEventTypes(t, response.Stream, 1<<20); !done || !slices.Equal(events, []string{"ERROR"}) {
		t.Errorf("watch whose position was dropped from the history: events %v, done %v; want one ERROR event and done", events, done)
	}
	response.Stream.Close()
	if server.OpenWatches() != 0 {
		t.Error("the server still counts a closed watch as open")
	}
}
