package api

import (
	"encoding/json"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

func newPodServer(n int) *Server {
	st := store.New(100, 50)
	for i := range n {
		p := &corev1.Pod{}
		p.Namespace, p.Name = "default", "p"+string(rune('a'+i))
		p.Labels = map[string]string{"odd": string(rune('0' + i%2))}
		p.Status.Phase = corev1.PodPending
		st.Put(store.Pods, p)
	}
	return &Server{Store: st}
}

// getAs sends a GET with an Accept header field.
func (s *Server) getAs(target, accept string) http1.Response {
	return s.Serve(1000, &http1.Request{Head: &http1.Head{Method: "GET", Target: target, Minor: 1, Header: http1.Header{{Name: "Accept", Value: accept}}}})
}

// TestTables sends what kubectl get sends, which is answered with rows.
func TestTables(t *testing.T) {
	s := newPodServer(5)
	const kubectl = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json;as=Table;v=v1beta1;g=meta.k8s.io,application/json"
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			resp := s.getAs(c.target, c.accept)
			var table metav1.Table
			if err := json.Unmarshal(resp.Body, &table); err != nil || resp.Status != 200 {
				t.Fatalf("status %d, %v", resp.Status, err)
			}
			if table.Kind != c.kind || len(table.Rows) != c.rows || (table.Continue != "") != c.more {
				t.Fatalf("%s with %d rows, continue %q", table.Kind, len(table.Rows), table.Continue)
			}
			if c.kind != "Table" {
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

// TestWatchSelectorsAndExpiry checks that an object that begins or ceases to match a selector is added or deleted, that a watch whose place is
// no longer in the history gets an error, and that an event is one line.
func TestWatchSelectorsAndExpiry(t *testing.T) {
	s := newPodServer(2)
	resp := s.getAs("/api/v1/pods?watch=1&labelSelector=odd%3D1&allowWatchBookmarks=true&sendInitialEvents=true&resourceVersionMatch=NotOlderThan", "")
	if resp.Stream == nil {
		t.Fatalf("no stream: %d %s", resp.Status, resp.Body)
	}
	var kinds []string
	pull := func(room int) (done bool) {
		var b []byte
		b, done = resp.Stream.Pull(nil, room)
		for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
			var ev struct{ Type string }
			if line != "" && json.Unmarshal([]byte(line), &ev) != nil {
				t.Fatalf("not an event: %q", line)
			}
			if line != "" {
				kinds = append(kinds, ev.Type)
			}
		}
		return done
	}
	pull(1 << 20)
	put := func(name, odd string) {
		p := &corev1.Pod{}
		p.Namespace, p.Name, p.Labels = "default", name, map[string]string{"odd": odd}
		s.Store.Put(store.Pods, p)
	}
	put("pa", "1")
	put("pb", "0")
	put("pa", "1")
	put("pb", "0")
	s.Store.Delete(store.Pods, "default", "pa")
	s.Store.Delete(store.Pods, "default", "pb")
	for !strings.HasSuffix(strings.Join(kinds, " "), "MODIFIED DELETED") {
		if pull(1) { // as little at a time as a slow reader takes
			t.Fatalf("ended after %v", kinds)
		}
	}
	if got := strings.Join(kinds, " "); got != "ADDED BOOKMARK ADDED DELETED MODIFIED DELETED" {
		t.Errorf("events %s", got)
	}
	for i := range 60 {
		put("px", string(rune('0'+i%2)))
	}
	kinds = nil
	if !pull(1<<20) || strings.Join(kinds, "") != "ERROR" {
		t.Errorf("after its place was no longer in the history: %v", kinds)
	}
	resp.Stream.Close()
	if s.Watchers() != 0 {
		t.Error("a watch that ended is still counted")
	}
}
