package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"testing"
)

// A watch resumes from the last revision over broken connections and truncated events, starts anew when its revision has expired, passes
// no bookmarks on, and ends with an error of the server or when its handler ends it.
func TestWatch(t *testing.T) {
	const (
		first    = `{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"5"}}}` + "\n"
		bookmark = `{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"8"}}}` + "\n"
		last     = `{"type":"DELETED","object":{"metadata":{"name":"a","resourceVersion":"9"}}}` + "\n"
		gone     = `{"type":"ERROR","object":{"kind":"Status","code":410,"message":"expired"}}` + "\n"
		denied   = `{"type":"ERROR","object":{"kind":"Status","code":403,"message":"denied"}}` + "\n"
	)
	for _, c := range []struct {
		name          string
		connections   []string
		wantRevisions []string // from which each connection resumes
		wantEvents    []string
		wantErr       string
	}{
		{"one connection", []string{first + last}, []string{""}, []string{"ADDED", "DELETED"}, ""},
		{"broken connection", []string{first, last}, []string{"", "5"}, []string{"ADDED", "DELETED"}, ""},
		{"truncated event", []string{first + last[:30], last}, []string{"", "5"}, []string{"ADDED", "DELETED"}, ""},
		{"bookmark", []string{first + bookmark, last}, []string{"", "8"}, []string{"ADDED", "DELETED"}, ""},
		{"expired revision", []string{first + gone, last}, []string{"", ""}, []string{"ADDED", "DELETED"}, ""},
		{"error of the server", []string{first + denied}, []string{""}, []string{"ADDED"}, "denied"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var revisions []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				query := r.URL.Query()
				if query.Get("watch") != "true" || query.Get("allowWatchBookmarks") != "true" || query.Get("labelSelector") != "x=y" {
					t.Errorf("query %v", query)
				}
				revisions = append(revisions, query.Get("resourceVersion"))
				if len(revisions) > len(c.connections) {
					t.Errorf("connection %d, want %d", len(revisions), len(c.connections))
					return
				}
				if _, err := w.Write([]byte(c.connections[len(revisions)-1])); err != nil {
					t.Error(err)
				}
			}))
			defer server.Close()
			client := apiClient{server: server.URL}
			var events []string
			err := client.watch(context.Background(), "/api/v1/pods", url.Values{"labelSelector": {"x=y"}}, func(eventType string, _ json.RawMessage) bool {
				events = append(events, eventType)
				return eventType == "DELETED"
			})
			if c.wantErr == "" && err != nil || c.wantErr != "" && (err == nil || err.Error() != c.wantErr) {
				t.Errorf("error %v, want %q", err, c.wantErr)
			}
			if !slices.Equal(revisions, c.wantRevisions) {
				t.Errorf("resumed from %q, want %q", revisions, c.wantRevisions)
			}
			if !slices.Equal(events, c.wantEvents) {
				t.Errorf("events %v, want %v", events, c.wantEvents)
			}
		})
	}
}

// An answer that reports an error is an error with the message of its Status, or with the code if it has none.
func TestAPIErrors(t *testing.T) {
	for _, c := range []struct {
		name, body string
		status     int
		want       string
	}{
		{"status", `{"kind":"Status","message":"no such job"}`, http.StatusNotFound, "no such job (404)"},
		{"no status", "oops", http.StatusBadGateway, "GET /x: status 502"},
		{"no JSON in a good answer", "oops", http.StatusOK, "GET /x: invalid character 'o' looking for beginning of value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				if _, err := w.Write([]byte(c.body)); err != nil {
					t.Error(err)
				}
			}))
			defer server.Close()
			client := apiClient{server: server.URL + "/"}
			var out map[string]any
			if err := client.do(context.Background(), http.MethodGet, "/x", "", nil, &out); err == nil || err.Error() != c.want {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}
