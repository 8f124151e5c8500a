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

// TestTables sends what kubectl get sends, which is answered with rows.
func TestTables(t *testing.T) {
	server := newPodServer(5)
	const kubectl = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json;as=Table;v=v1beta1;g=meta.k8s.io,application/json"
	for _, test := range []struct {
		name, target, accept string
		kind                 string
		rows                 int
		more                 bool
	}{
		{"list", "/api/v1/pods", kubectl, "Table", 5, false},
		{"one object", "/api/v1/namespaces/default/pods/pa", kubectl, "Table", 1, false},
		{"page", "/api/v1/pods?limit=2", kubectl, "Table", 2, true},
		{"selector", "/api/v1/pods?labelSelector=odd%3D1", kubectl, "Table", 2, false},
		{"plain JSON preferred", "/api/v1/pods", "application/json," + kubectl, "PodList", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := server.getAs(test.target, test.accept)
			var table metav1.Table
			if err := json.Unmarshal(response.Body, &table); err != nil || response.Status != 200 {
				t.Fatalf("status %d, %v", response.Status, err)
			}
			if table.Kind != test.kind || len(table.Rows) != test.rows || (table.Continue != "") != test.more {
				t.Fatalf("%s with %d rows, continue %q", table.Kind, len(table.Rows), table.Continue)
			}
			if test.kind != "Table" {
				return
			}
			row := table.Rows[0]
			if len(row.Cells) != len(table.ColumnDefinitions) {
				t.Errorf("%d cells for %d columns", len(row.Cells), len(table.ColumnDefinitions))
			}
			if !strings.Contains(string(row.Object.Raw), `"PartialObjectMetadata"`) {
				t.Errorf("object of a row: %s", row.Object.Raw)
			}
		})
	}
}

// pullEventTypes pulls one piece of a watch and returns the types of its events, each of which must be one
// line.
func pullEventTypes(t *testing.T, stream http1.Stream, size int) (eventTypes []string, done bool) {
	t.Helper()
	piece, done := stream.Pull(nil, size)
	for line := range strings.Lines(string(piece)) {
		var event struct{ Type string }
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			t.Fatalf("not an event: %q", line)
		}
		eventTypes = append(eventTypes, event.Type)
	}
	return eventTypes, done
}

// TestWatchSelectorsAndExpiry checks that an object that begins or ceases to match a selector is added or
// deleted, that a watch whose place is no longer in the history gets an error, and that an event is one line.
func TestWatchSelectorsAndExpiry(t *testing.T) {
	server := newPodServer(2)
	put := func(name, odd string) {
		pod := newPod(name)
		pod.Labels = map[string]string{"odd": odd}
		server.Store.Put(store.Pods, pod)
	}
	const options = "&allowWatchBookmarks=true&sendInitialEvents=true&resourceVersionMatch=NotOlderThan"
	response := server.getAs("/api/v1/pods?watch=1&labelSelector=odd%3D1"+options, "")
	if response.Stream == nil {
		t.Fatalf("no stream: %d %s", response.Status, response.Body)
	}
	events, _ := pullEventTypes(t, response.Stream, 1<<20)

	put("pa", "1")
	put("pb", "0")
	put("pa", "1")
	put("pb", "0")
	server.Store.Delete(store.Pods, "default", "pa")
	server.Store.Delete(store.Pods, "default", "pb")
	for !strings.HasSuffix(strings.Join(events, " "), "MODIFIED DELETED") {
		pulled, done := pullEventTypes(t, response.Stream, 1) // as little at a time as a slow reader takes
		events = append(events, pulled...)
		if done {
			t.Fatalf("ended after %v", events)
		}
	}
	if got, want := strings.Join(events, " "), "ADDED BOOKMARK ADDED DELETED MODIFIED DELETED"; got != want {
		t.Errorf("events %s, want %s", got, want)
	}

	for i := range 60 {
		put("px", string(rune('0'+i%2)))
	}
	if events, done := pullEventTypes(t, response.Stream, 1<<20); !done || !slices.Equal(events, []string{"ERROR"}) {
		t.Errorf("after its place was no longer in the history: %v, done %v", events, done)
	}
	response.Stream.Close()
	if server.OpenWatches() != 0 {
		t.Error("a watch that ended is still counted")
	}
}
