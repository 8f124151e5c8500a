package api

import (
	"encoding/json"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/http1"
	"heathshed/internal/store"
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
		target, accept string
		rows           int
		more           bool
	}{{"/api/v1/pods", kubectl, 5, false}, {"/api/v1/namespaces/default/pods/pa", kubectl, 1, false}, {"/api/v1/pods?limit=2", kubectl, 2, true},
		{"/api/v1/pods?labelSelector=odd%3D1", kubectl, 2, false}, {"/api/v1/pods", "application/json," + kubectl, -1, false}} {
		resp := s.getAs(c.target, c.accept)
		var tb metav1.Table
		if err := json.Unmarshal(resp.Body, &tb); err != nil || resp.Status != 200 {
			t.Fatalf("%s: %d, %v", c.target, resp.Status, err)
		}
		if c.rows < 0 {
			if tb.Kind != "PodList" {
				t.Errorf("%s: %s where the client prefers plain JSON", c.target, tb.Kind)
			}
			continue
		}
		if tb.Kind != "Table" || len(tb.Rows) != c.rows || (tb.Continue != "") != c.more || len(tb.Rows[0].Cells) != len(tb.ColumnDefinitions) ||
			!strings.Contains(string(tb.Rows[0].Object.Raw), `"PartialObjectMetadata"`) {
			t.Errorf("%s: %s with %d rows, continue %q", c.target, tb.Kind, len(tb.Rows), tb.Continue)
		}
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
