package apiclient_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/kube/apiclient"
)

const (
	first    = `{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"5"}}}` + "\n"
	bookmark = `{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"8"}}}` + "\n"
	last     = `{"type":"DELETED","object":{"metadata":{"name":"a","resourceVersion":"9"}}}` + "\n"
	gone     = `{"type":"ERROR","object":{"kind":"Status","code":410,"message":"expired"}}` + "\n"
	denied   = `{"type":"ERROR","object":{"kind":"Status","code":403,"message":"denied"}}` + "\n"
)

// watchServer gives each connection of a watch the next of its answers, and notes the revision from which the connection resumes.
type watchServer struct {
	t           *testing.T
	connections []connection
	revisions   []string
}

// connection is the answer that one connection gets.
type connection struct {
	status int
	body   string
}

// texts returns connections that bring the given lines.
func texts(bodies ...string) []connection {
	var connections []connection
	for _, body := range bodies {
		connections = append(connections, connection{http.StatusOK, body})
	}
	return connections
}

// afterStatus returns a connection with a status that is no success, and one that brings the given lines.
func afterStatus(status int, body string) []connection {
	return []connection{{status, ""}, {http.StatusOK, body}}
}

func (s *watchServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("watch") != "true" || query.Get("allowWatchBookmarks") != "true" || query.Get("labelSelector") != "x=y" {
		s.t.Errorf("query %v", query)
	}
	s.revisions = append(s.revisions, query.Get("resourceVersion"))
	if len(s.revisions) > len(s.connections) {
		s.t.Errorf("connection %d, want %d", len(s.revisions), len(s.connections))
		return
	}
	next := s.connections[len(s.revisions)-1]
	reply(s.t, w, next.status, next.body)
}

// options are those of a watch with pauses that a test can wait for.
func options() apiclient.WatchOptions {
	return apiclient.WatchOptions{
		Path:           "/api/v1/pods",
		Query:          url.Values{"labelSelector": {"x=y"}},
		MaxRetries:     3,
		RetryDelayStep: time.Millisecond,
		MaxRetryDelay:  2 * time.Millisecond,
	}
}

// checkWatch checks how a watch has ended.
func checkWatch(t *testing.T, err error, wantErr string) {
	t.Helper()
	if wantErr == "" && err != nil || wantErr != "" && (err == nil || err.Error() != wantErr) {
		t.Errorf("error %v, want %q", err, wantErr)
	}
}

// checkRevisions checks the revisions from which the connections of a watch have resumed.
func checkRevisions(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("resumed from %q, want %q", got, want)
	}
}

// watchUntilDeleted watches until an object is deleted, and returns the types of the events.
func watchUntilDeleted(t *testing.T, client *apiclient.Client, options apiclient.WatchOptions) (events []watch.EventType, err error) {
	t.Helper()
	err = client.Watch(t.Context(), options, func(event apiclient.Event) error {
		events = append(events, event.Type)
		if event.Type == watch.Deleted {
			return apiclient.ErrStopWatch
		}
		return nil
	})
	return events, err
}

// TestWatch checks that a watch resumes from the last revision over broken connections and truncated events, starts anew when its revision
// has expired, passes no bookmarks on, and ends with an error of the server, after too many failures, or when its handler ends it.
func TestWatch(t *testing.T) {
	added, both := []watch.EventType{watch.Added}, []watch.EventType{watch.Added, watch.Deleted}
	for _, test := range []struct {
		name          string
		connections   []connection
		wantRevisions []string // from which each connection resumes
		wantEvents    []watch.EventType
		wantErr       string
	}{
		{"one connection", texts(first + last), []string{""}, both, ""},
		{"broken connection", texts(first, last), []string{"", "5"}, both, ""},
		{"truncated event", texts(first+last[:30], last), []string{"", "5"}, both, ""},
		{"object that is none", texts(first+`{"type":"ADDED","object":1}`+"\n", last), []string{"", "5"}, both, ""},
		{"bookmark", texts(first+bookmark, last), []string{"", "8"}, both, ""},
		{"expired revision", texts(first+gone, last), []string{"", ""}, both, ""},
		{"error of the server", texts(first + denied), []string{""}, added, "denied"},
		{"status, then an event", afterStatus(http.StatusServiceUnavailable, first+last), []string{"", ""}, both, ""},
		{"too many connections without an event", texts(first, "", "", ""), []string{"", "5", "5", "5"}, added,
			"watch: too many connections without an event: the connection has ended"},
		{"failures are counted from the last event", texts("", "", first, "", "", last), []string{"", "", "", "5", "5", "5"}, both, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := &watchServer{t: t, connections: test.connections}
			events, err := watchUntilDeleted(t, newClient(t, server.ServeHTTP), options())
			checkWatch(t, err, test.wantErr)
			checkRevisions(t, server.revisions, test.wantRevisions...)
			if !slices.Equal(events, test.wantEvents) {
				t.Errorf("events %v, want %v", events, test.wantEvents)
			}
		})
	}
}

// TestWatchWithList checks that a watch that has a list starts from the revision of the list, and lists anew after each error that says that
// it cannot be resumed, whether as a status or inside the watch, and only then.
func TestWatchWithList(t *testing.T) {
	for _, test := range []struct {
		name          string
		connections   []connection
		wantRevisions []string // each list has the next of 100, 200, ...
	}{
		{"one connection", texts(first + last), []string{"100"}},
		{"broken connection", texts(first, last), []string{"100", "5"}},
		{"broken connection without an event", texts("", last), []string{"100", "100"}},
		{"expired revision", texts(first+gone, last), []string{"100", "200"}},
		{"error of the server", texts(first+denied, last), []string{"100", "200"}},
		{"status gone", afterStatus(http.StatusGone, last), []string{"100", "200"}},
		{"status of a revision that is yet to come", afterStatus(http.StatusGatewayTimeout, last), []string{"100", "200"}},
		{"other status", afterStatus(http.StatusServiceUnavailable, last), []string{"100", "100"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := &watchServer{t: t, connections: test.connections}
			options, lists := options(), 0
			options.List = func(context.Context) (string, error) {
				lists++
				return fmt.Sprint(100 * lists), nil
			}
			_, err := watchUntilDeleted(t, newClient(t, server.ServeHTTP), options)
			checkWatch(t, err, "")
			checkRevisions(t, server.revisions, test.wantRevisions...)
		})
	}
}

// TestWatchListFails checks that a list that fails is tried again, and counts as a failed connection.
func TestWatchListFails(t *testing.T) {
	client := newClient(t, (&watchServer{t: t}).ServeHTTP)
	options, lists := options(), 0
	options.List = func(context.Context) (string, error) {
		lists++
		return "", errors.New("no list")
	}
	err := client.Watch(t.Context(), options, func(apiclient.Event) error { return nil })
	checkWatch(t, err, "watch: too many connections without an event: no list")
	if want := options.MaxRetries + 1; lists != want {
		t.Errorf("%d lists, want %d", lists, want)
	}
}

// TestWatchHandlerFails checks that an event whose handler fails comes again, on a new connection.
func TestWatchHandlerFails(t *testing.T) {
	server := &watchServer{t: t, connections: texts(first+last, last)}
	client := newClient(t, server.ServeHTTP)
	deletions := 0
	err := client.Watch(t.Context(), options(), func(event apiclient.Event) error {
		if event.Type != watch.Deleted {
			return nil
		}
		if deletions++; deletions == 1 {
			return errors.New("not yet")
		}
		return apiclient.ErrStopWatch
	})
	checkWatch(t, err, "")
	checkRevisions(t, server.revisions, "", "5")
	if deletions != 2 {
		t.Errorf("%d deletions, want 2", deletions)
	}
}

// roundTripper answers requests without a socket, so that time can be simulated.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// newSimulatedClient returns a client whose requests the function answers.
func newSimulatedClient(answer roundTripper) *apiclient.Client {
	return apiclient.New("http://simulated", &http.Client{Transport: answer})
}

// openBody is a body that brings a text and then nothing more until the request is cancelled.
type openBody struct {
	io.Reader
	ctx context.Context
}

func (b openBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || err != io.EOF {
		return n, err
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b openBody) Close() error { return nil }

// TestWatchConnectionTimeout checks that a connection is ended after its timeout and the watch resumes at once, until its context is done.
func TestWatchConnectionTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var revisions []string
		var times []time.Duration
		client := newSimulatedClient(func(r *http.Request) (*http.Response, error) {
			revisions = append(revisions, r.URL.Query().Get("resourceVersion"))
			times = append(times, time.Since(start))
			return &http.Response{StatusCode: http.StatusOK, Body: openBody{strings.NewReader(first), r.Context()}}, nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		options := options()
		options.MaxRetries = 1
		options.ConnectionTimeout = time.Second
		timeouts := 0
		options.OnConnectionTimeout = func() {
			if timeouts++; timeouts == 3 {
				cancel()
			}
		}
		err := client.Watch(ctx, options, func(apiclient.Event) error { return nil })
		checkWatch(t, err, "")
		checkRevisions(t, revisions, "", "5", "5")
		if want := []time.Duration{0, time.Second, 2 * time.Second}; !slices.Equal(times, want) {
			t.Errorf("connected at %v, want %v", times, want)
		}
	})
}

// TestWatchRetryDelays checks the pauses between connections that fail: they grow by a step, up to a limit.
func TestWatchRetryDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var times []time.Duration
		client := newSimulatedClient(func(*http.Request) (*http.Response, error) {
			times = append(times, time.Since(start))
			return nil, errors.New("unreachable")
		})
		options := options()
		options.MaxRetries, options.RetryDelayStep, options.MaxRetryDelay = 4, 200*time.Millisecond, 500*time.Millisecond
		err := client.Watch(t.Context(), options, func(apiclient.Event) error { return nil })
		if err == nil || !strings.HasPrefix(err.Error(), "watch: too many connections without an event: ") {
			t.Errorf("error %v", err)
		}
		want := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond, 1600 * time.Millisecond}
		if !slices.Equal(times, want) {
			t.Errorf("connected at %v, want %v", times, want)
		}
	})
}
