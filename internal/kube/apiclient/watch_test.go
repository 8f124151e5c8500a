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

// Watch events, one per line, as the server sends them.
const (
	addedEvent     = `{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"5"}}}` + "\n"
	bookmarkEvent  = `{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"8"}}}` + "\n"
	deletedEvent   = `{"type":"DELETED","object":{"metadata":{"name":"a","resourceVersion":"9"}}}` + "\n"
	expiredEvent   = `{"type":"ERROR","object":{"kind":"Status","code":410,"message":"expired"}}` + "\n"
	forbiddenEvent = `{"type":"ERROR","object":{"kind":"Status","code":403,"message":"denied"}}` + "\n"
)

// watchServer is an HTTP handler that serves the i-th request of a watch with the i-th scripted response.
type watchServer struct {
	t           *testing.T
	connections []connection // scripted responses
	revisions   []string     // resourceVersion parameter of each request
}

// connection is the scripted response on one connection of a watch.
type connection struct {
	status int
	body   string
}

// successfulConnections returns a connection with status 200 for each of the given bodies.
func successfulConnections(bodies ...string) []connection {
	var connections []connection
	for _, body := range bodies {
		connections = append(connections, connection{http.StatusOK, body})
	}
	return connections
}

// failureThenSuccess returns a connection with the given error status and an empty body, followed by a
// connection with status 200 and the given body.
func failureThenSuccess(status int, body string) []connection {
	return []connection{{status, ""}, {http.StatusOK, body}}
}

func (s *watchServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("watch") != "true" || query.Get("allowWatchBookmarks") != "true" || query.Get("labelSelector") != "x=y" {
		s.t.Errorf("query of a watch request: %v", query)
	}
	s.revisions = append(s.revisions, query.Get("resourceVersion"))
	if len(s.revisions) > len(s.connections) {
		s.t.Errorf("the client opened %d connections, want at most %d", len(s.revisions), len(s.connections))
		return
	}
	next := s.connections[len(s.revisions)-1]
	writeResponse(s.t, w, next.status, next.body)
}

// testWatchOptions returns options of a watch with retry delays that are short enough for a test in real
// time.
func testWatchOptions() apiclient.WatchOptions {
	return apiclient.WatchOptions{
		Path:           "/api/v1/pods",
		Query:          url.Values{"labelSelector": {"x=y"}},
		MaxRetries:     3,
		RetryDelayStep: time.Millisecond,
		MaxRetryDelay:  2 * time.Millisecond,
	}
}

// checkWatchError checks the error that Watch returned. An empty wantErr stands for no error.
func checkWatchError(t *testing.T, err error, wantErr string) {
	t.Helper()
	if wantErr == "" && err != nil || wantErr != "" && (err == nil || err.Error() != wantErr) {
		t.Errorf("Watch returned the error %v, want %q", err, wantErr)
	}
}

// checkRevisions checks the resource versions from which the connections of a watch started or resumed.
func checkRevisions(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("the connections resumed from the revisions %q, want %q", got, want)
	}
}

// watchUntilDeleted watches until a DELETED event arrives. It returns the types of all events that the
// handler received.
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

// TestWatch checks that a watch without List resumes from the last revision after broken connections and
// truncated events, starts over after its revision has expired, and does not pass bookmarks to the handler.
// The watch must end when the server reports an error, when there are too many failures, or when the
// handler returns ErrStopWatch.
func TestWatch(t *testing.T) {
	onlyAdded, addedAndDeleted := []watch.EventType{watch.Added}, []watch.EventType{watch.Added, watch.Deleted}
	for _, test := range []struct {
		name          string
		connections   []connection
		wantRevisions []string // resourceVersion parameter of each request
		wantEvents    []watch.EventType
		wantErr       string
	}{
		{"one connection", successfulConnections(addedEvent + deletedEvent), []string{""}, addedAndDeleted, ""},
		{"broken connection", successfulConnections(addedEvent, deletedEvent), []string{"", "5"}, addedAndDeleted, ""},
		{"truncated event", successfulConnections(addedEvent+deletedEvent[:30], deletedEvent), []string{"", "5"}, addedAndDeleted, ""},
		{"event whose object is not a JSON object", successfulConnections(addedEvent+`{"type":"ADDED","object":1}`+"\n", deletedEvent), []string{"", "5"}, addedAndDeleted, ""},
		{"bookmark", successfulConnections(addedEvent+bookmarkEvent, deletedEvent), []string{"", "8"}, addedAndDeleted, ""},
		{"expired revision", successfulConnections(addedEvent+expiredEvent, deletedEvent), []string{"", ""}, addedAndDeleted, ""},
		{"other error event", successfulConnections(addedEvent + forbiddenEvent), []string{""}, onlyAdded, "denied"},
		{"status 503, then events", failureThenSuccess(http.StatusServiceUnavailable, addedEvent+deletedEvent), []string{"", ""}, addedAndDeleted, ""},
		{"too many connections without an event", successfulConnections(addedEvent, "", "", ""), []string{"", "5", "5", "5"}, onlyAdded,
			"watch: too many connections without an event: watch connection ended"},
		{"failures are counted from the last event", successfulConnections("", "", addedEvent, "", "", deletedEvent), []string{"", "", "", "5", "5", "5"}, addedAndDeleted, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := &watchServer{t: t, connections: test.connections}
			events, err := watchUntilDeleted(t, newClient(t, server.ServeHTTP), testWatchOptions())
			checkWatchError(t, err, test.wantErr)
			checkRevisions(t, server.revisions, test.wantRevisions...)
			if !slices.Equal(events, test.wantEvents) {
				t.Errorf("the handler received the events %v, want %v", events, test.wantEvents)
			}
		})
	}
}

// TestWatchWithList checks that a watch with List starts from the revision that List returned. The watch
// must call List again after an ERROR event and after status 410 or 504, and must otherwise resume without
// a list.
func TestWatchWithList(t *testing.T) {
	for _, test := range []struct {
		name          string
		connections   []connection
		wantRevisions []string // resourceVersion parameter of each request; the i-th call of List returns 100*i
	}{
		{"one connection", successfulConnections(addedEvent + deletedEvent), []string{"100"}},
		{"broken connection", successfulConnections(addedEvent, deletedEvent), []string{"100", "5"}},
		{"broken connection without an event", successfulConnections("", deletedEvent), []string{"100", "100"}},
		{"expired revision", successfulConnections(addedEvent+expiredEvent, deletedEvent), []string{"100", "200"}},
		{"other error event", successfulConnections(addedEvent+forbiddenEvent, deletedEvent), []string{"100", "200"}},
		{"status 410, revision has expired", failureThenSuccess(http.StatusGone, deletedEvent), []string{"100", "200"}},
		{"status 504, revision is in the future", failureThenSuccess(http.StatusGatewayTimeout, deletedEvent), []string{"100", "200"}},
		{"other status", failureThenSuccess(http.StatusServiceUnavailable, deletedEvent), []string{"100", "100"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := &watchServer{t: t, connections: test.connections}
			options, lists := testWatchOptions(), 0
			options.List = func(context.Context) (string, error) {
				lists++
				return fmt.Sprint(100 * lists), nil
			}
			_, err := watchUntilDeleted(t, newClient(t, server.ServeHTTP), options)
			checkWatchError(t, err, "")
			checkRevisions(t, server.revisions, test.wantRevisions...)
		})
	}
}

// TestWatchListFails checks that the watch retries a failed call of List, and counts it as a failed
// connection.
func TestWatchListFails(t *testing.T) {
	client := newClient(t, (&watchServer{t: t}).ServeHTTP)
	options, lists := testWatchOptions(), 0
	options.List = func(context.Context) (string, error) {
		lists++
		return "", errors.New("no list")
	}
	err := client.Watch(t.Context(), options, func(apiclient.Event) error { return nil })
	checkWatchError(t, err, "watch: too many connections without an event: no list")
	if want := options.MaxRetries + 1; lists != want {
		t.Errorf("List was called %d times, want %d", lists, want)
	}
}

// TestWatchHandlerFails checks that the watch reconnects and receives an event again if the handler
// returned an error.
func TestWatchHandlerFails(t *testing.T) {
	server := &watchServer{t: t, connections: successfulConnections(addedEvent+deletedEvent, deletedEvent)}
	client := newClient(t, server.ServeHTTP)
	deletions := 0
	err := client.Watch(t.Context(), testWatchOptions(), func(event apiclient.Event) error {
		if event.Type != watch.Deleted {
			return nil
		}
		if deletions++; deletions == 1 {
			return errors.New("not yet")
		}
		return apiclient.ErrStopWatch
	})
	checkWatchError(t, err, "")
	checkRevisions(t, server.revisions, "", "5")
	if deletions != 2 {
		t.Errorf("the handler received the DELETED event %d times, want 2", deletions)
	}
}

// roundTripper is an http.RoundTripper without sockets. It is needed in a synctest bubble, whose clock does
// not advance while a goroutine waits on a socket.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// newSimulatedClient returns a client that sends its requests to the given transport.
func newSimulatedClient(transport roundTripper) *apiclient.Client {
	return apiclient.New("http://simulated", &http.Client{Transport: transport})
}

// blockingBody is a response body that blocks after the content of its Reader until the request is cancelled.
type blockingBody struct {
	io.Reader
	ctx context.Context
}

func (b blockingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || err != io.EOF {
		return n, err
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b blockingBody) Close() error { return nil }

// TestWatchConnectionTimeout checks that the watch ends each connection after ConnectionTimeout, and
// resumes without delay until its context is done. The timeouts must not count as failures.
func TestWatchConnectionTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var revisions []string
		var times []time.Duration
		client := newSimulatedClient(func(r *http.Request) (*http.Response, error) {
			revisions = append(revisions, r.URL.Query().Get("resourceVersion"))
			times = append(times, time.Since(start))
			return &http.Response{StatusCode: http.StatusOK, Body: blockingBody{strings.NewReader(addedEvent), r.Context()}}, nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		options := testWatchOptions()
		options.MaxRetries = 1
		options.ConnectionTimeout = time.Second
		timeouts := 0
		options.OnConnectionTimeout = func() {
			if timeouts++; timeouts == 3 {
				cancel()
			}
		}
		err := client.Watch(ctx, options, func(apiclient.Event) error { return nil })
		checkWatchError(t, err, "")
		checkRevisions(t, revisions, "", "5", "5")
		if want := []time.Duration{0, time.Second, 2 * time.Second}; !slices.Equal(times, want) {
			t.Errorf("the client connected at the times %v, want %v", times, want)
		}
	})
}

// TestWatchRetryDelays checks that the delay between failed connections grows by RetryDelayStep up to
// MaxRetryDelay.
func TestWatchRetryDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var times []time.Duration
		client := newSimulatedClient(func(*http.Request) (*http.Response, error) {
			times = append(times, time.Since(start))
			return nil, errors.New("unreachable")
		})
		options := testWatchOptions()
		options.MaxRetries, options.RetryDelayStep, options.MaxRetryDelay = 4, 200*time.Millisecond, 500*time.Millisecond
		err := client.Watch(t.Context(), options, func(apiclient.Event) error { return nil })
		if err == nil || !strings.HasPrefix(err.Error(), "watch: too many connections without an event: ") {
			t.Errorf("Watch returned the error %v, want one about too many connections without an event", err)
		}
		want := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond, 1600 * time.Millisecond}
		if !slices.Equal(times, want) {
			t.Errorf("the client connected at the times %v, want %v", times, want)
		}
	})
}
