package apiclient

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"time"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/watch"
)

const maxWatchEventBytes = 8 << 20

// Event reports that an object was added, modified or deleted. A watch without WatchOptions.List begins
// with an event for each object that already exists.
type Event struct {
	Type   watch.EventType
	Object json.RawMessage
}

// EventHandler handles an event of a watch. ErrStopWatch ends the watch. After any other error, the watch
// reconnects and receives the same event again.
type EventHandler func(Event) error

// ErrStopWatch is returned by an EventHandler to end the watch.
var ErrStopWatch = errors.New("watch stopped by its event handler")

// errDisconnected reports that a watch connection has ended, or that it delivered a truncated event.
var errDisconnected = errors.New("watch connection ended")

// errConnectionTimeout reports that a watch connection was closed after WatchOptions.ConnectionTimeout.
var errConnectionTimeout = errors.New("watch connection timed out")

// WatchOptions configures which collection is watched, and how the watch reconnects. A new connection
// resumes from the last revision that the watch received.
type WatchOptions struct {
	Path  string     // path of the collection
	Query url.Values // label and field selectors

	// List, if set, reads the collection and returns its revision, from which the watch starts. Watch calls
	// List at the start, after an ERROR event, and after a response with status 410 or 504, which means
	// that the server does not have the revision to resume from.
	//
	// Without List, the watch begins with an event for each existing object. It starts over after an ERROR
	// event with code 410 (the revision has expired), and ends with a *WatchError after any other ERROR
	// event.
	List func(context.Context) (revision string, err error)

	// MaxRetries is the maximum number of consecutive retries, after failed connections or failed calls of
	// List, that deliver no event. The watch returns an error if the last of these retries fails, too. 0
	// means no limit.
	MaxRetries int
	// RetryDelayStep is the delay after the first failed connection. The delay grows by RetryDelayStep with
	// each further consecutive failure, up to MaxRetryDelay.
	RetryDelayStep, MaxRetryDelay time.Duration

	// ConnectionTimeout, if positive, limits the duration of each connection. The watch then reconnects
	// without delay.
	ConnectionTimeout time.Duration
	// OnConnectionTimeout, if set, is called each time that ConnectionTimeout ends a connection.
	OnConnectionTimeout func()
}

// Watch watches a collection and passes each event other than a bookmark to handle. It reconnects when a
// connection breaks. It returns nil when handle returns ErrStopWatch or when ctx is done.
func (c *Client) Watch(ctx context.Context, options WatchOptions, handle EventHandler) error {
	w := watcher{client: c, options: options, handle: handle}
	for failures := 0; ; {
		err := w.runConnection(ctx)
		var watchError *WatchError
		if errors.As(err, &watchError) && !w.cannotResume(err) {
			return watchError
		}
		if errors.Is(err, ErrStopWatch) || ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errConnectionTimeout) {
			continue
		}
		if w.receivedEvent {
			failures = 0
		}
		if failures++; options.MaxRetries > 0 && failures > options.MaxRetries {
			return fmt.Errorf("watch: too many connections without an event: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(min(time.Duration(failures)*options.RetryDelayStep, options.MaxRetryDelay)):
		}
	}
}

// watcher is the state of a watch across its consecutive connections.
type watcher struct {
	client        *Client
	options       WatchOptions
	handle        EventHandler
	revision      string // revision to resume from; "" to start over
	receivedEvent bool   // whether the current connection has delivered an event or a bookmark
}

// cannotResume reports whether err means that the watch cannot be resumed from its revision and must start
// over.
func (w *watcher) cannotResume(err error) bool {
	var watchError *WatchError
	if errors.As(err, &watchError) {
		return w.options.List != nil || watchError.Code == http.StatusGone
	}
	var statusError *StatusError
	return w.options.List != nil && errors.As(err, &statusError) &&
		(statusError.Code == http.StatusGone || statusError.Code == http.StatusGatewayTimeout)
}

// runConnection opens one connection and handles its events until the connection ends. It first lists the
// collection if List is set and there is no revision to resume from. It always returns an error that says
// why it ended.
func (w *watcher) runConnection(ctx context.Context) error {
	w.receivedEvent = false
	if w.revision == "" && w.options.List != nil {
		revision, err := w.options.List(ctx)
		if err != nil {
			return err
		}
		w.revision = revision
	}
	connectionCtx, cancel := w.connectionContext(ctx)
	defer cancel()
	err := w.readEvents(connectionCtx)
	if w.cannotResume(err) {
		w.revision = ""
	}
	if errors.Is(context.Cause(connectionCtx), errConnectionTimeout) {
		if w.options.OnConnectionTimeout != nil {
			w.options.OnConnectionTimeout()
		}
		return errConnectionTimeout
	}
	return err
}

// connectionContext returns the context for one connection, which ends after ConnectionTimeout if that is
// set.
func (w *watcher) connectionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if w.options.ConnectionTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, w.options.ConnectionTimeout, errConnectionTimeout)
}

// readEvents sends the request for a watch and handles the events in the response until it ends. It always
// returns an error.
func (w *watcher) readEvents(ctx context.Context) error {
	query := url.Values{}
	maps.Copy(query, w.options.Query)
	query.Set("watch", "true")
	query.Set("allowWatchBookmarks", "true")
	query.Set("resourceVersion", w.revision)
	response, err := w.client.sendExpectingSuccess(ctx, &Request{Method: http.MethodGet, Path: w.options.Path + "?" + query.Encode()})
	if err != nil {
		return err
	}
	defer closeBody(response)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxWatchEventBytes)
	for lines.Scan() {
		if err := w.handleLine(lines.Bytes()); err != nil {
			return err
		}
	}
	return errDisconnected
}

// handleLine decodes and handles an event, which is a line of the response. If the line cannot be decoded,
// as when it is truncated, it returns errDisconnected, and the next connection receives the event again.
func (w *watcher) handleLine(line []byte) error {
	var event struct {
		Type   watch.EventType `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if json.Unmarshal(line, &event) != nil {
		return errDisconnected
	}
	if event.Type == watch.Error {
		var status metav1.Status
		_ = json.Unmarshal(event.Object, &status) // on an error, status has the fields decoded so far
		return &WatchError{Code: int(status.Code), Message: status.Message}
	}
	var object struct {
		Metadata struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"metadata"`
	}
	if json.Unmarshal(event.Object, &object) != nil {
		return errDisconnected
	}
	w.receivedEvent = true
	if event.Type != watch.Bookmark {
		if err := w.handle(Event{Type: event.Type, Object: event.Object}); err != nil {
			return err
		}
	}
	w.revision = object.Metadata.ResourceVersion
	return nil
}
