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

// Event is a change of an object, or an object that existed when the watch began.
type Event struct {
	Type   watch.EventType
	Object json.RawMessage
}

// EventHandler handles an event of a watch. If it returns ErrStopWatch, the watch ends; after another error the watch reconnects and receives the
// event again.
type EventHandler func(Event) error

// ErrStopWatch is returned by an EventHandler to end the watch.
var ErrStopWatch = errors.New("the watch is to end")

// errDisconnected reports that the connection of a watch broke.
var errDisconnected = errors.New("the connection has ended")

// errTimeout reports that a connection was ended after ConnectionTimeout.
var errTimeout = errors.New("the connection timeout has passed")

// WatchOptions configure what is watched, and how the watch resumes after a connection has ended. It resumes from the last revision that it
// received.
type WatchOptions struct {
	Path  string     // of the collection
	Query url.Values // selectors of objects

	// List, if set, reads the collection and returns its revision, from which the watch starts. It is called at the beginning, and again when
	// the server reports an error inside the watch, or that it does not have the revision (status 410 or 504).
	//
	// Without List the watch begins with the objects that exist. It starts over if the server reports inside the watch that the revision has
	// expired, and ends with a *WatchError if the server reports another error there.
	List func(context.Context) (revision string, err error)

	// MaxRetries is the largest number of consecutive connections without an event. The watch fails with one more. 0 is no limit.
	MaxRetries int
	// RetryDelayStep is the delay after the first failed connection. The delay grows by RetryDelayStep with each further one, up to MaxRetryDelay.
	RetryDelayStep, MaxRetryDelay time.Duration

	// ConnectionTimeout, if above 0, ends each connection after that time. The next one follows without a delay.
	ConnectionTimeout time.Duration
	// OnConnectionTimeout, if set, is called when ConnectionTimeout has ended a connection.
	OnConnectionTimeout func()
}

// Watch watches a collection until handle ends the watch or the context is done, and then returns nil. It reconnects after broken connections.
// Bookmarks are not passed to handle.
func (c *Client) Watch(ctx context.Context, options WatchOptions, handle EventHandler) error {
	w := watcher{client: c, options: options, handle: handle}
	for attempts := 0; ; {
		err := w.connect(ctx)
		var failed *WatchError
		if errors.As(err, &failed) && !w.expired(err) {
			return failed
		}
		if errors.Is(err, ErrStopWatch) || ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errTimeout) {
			continue
		}
		if w.received {
			attempts = 0
		}
		if attempts++; options.MaxRetries > 0 && attempts > options.MaxRetries {
			return fmt.Errorf("watch: too many connections without an event: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(min(time.Duration(attempts)*options.RetryDelayStep, options.MaxRetryDelay)):
		}
	}
}

// watcher is the state of one watch over its consecutive connections.
type watcher struct {
	client   *Client
	options  WatchOptions
	handle   EventHandler
	revision string // to resume from; "" to start over
	received bool   // an event was received on the present connection
}

// expired reports whether an error means that the watch cannot be resumed from its revision.
func (w *watcher) expired(err error) bool {
	var failed *WatchError
	if errors.As(err, &failed) {
		return w.options.List != nil || failed.Code == http.StatusGone
	}
	var status *StatusError
	return w.options.List != nil && errors.As(err, &status) &&
		(status.Code == http.StatusGone || status.Code == http.StatusGatewayTimeout)
}

// connect reads one connection to its end, after a list if there is no revision to resume from. It always returns an error.
func (w *watcher) connect(ctx context.Context) error {
	w.received = false
	if w.revision == "" && w.options.List != nil {
		revision, err := w.options.List(ctx)
		if err != nil {
			return err
		}
		w.revision = revision
	}
	timed, cancel := w.withTimeout(ctx)
	defer cancel()
	err := w.read(timed)
	if w.expired(err) {
		w.revision = ""
	}
	if errors.Is(context.Cause(timed), errTimeout) {
		if w.options.OnConnectionTimeout != nil {
			w.options.OnConnectionTimeout()
		}
		return errTimeout
	}
	return err
}

// withTimeout returns the context of one connection.
func (w *watcher) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if w.options.ConnectionTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, w.options.ConnectionTimeout, errTimeout)
}

// read reads one connection to its end.
func (w *watcher) read(ctx context.Context) error {
	query := url.Values{}
	maps.Copy(query, w.options.Query)
	query.Set("watch", "true")
	query.Set("allowWatchBookmarks", "true")
	query.Set("resourceVersion", w.revision)
	response, err := w.client.open(ctx, &Request{Method: http.MethodGet, Path: w.options.Path + "?" + query.Encode()})
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

// handleLine handles one line of a connection, which is an event. A truncated line ends the connection: its event is received again on the next.
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
		_ = json.Unmarshal(event.Object, &status) // the fields that could be decoded describe the error
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
	w.received = true
	if event.Type != watch.Bookmark {
		if err := w.handle(Event{Type: event.Type, Object: event.Object}); err != nil {
			return err
		}
	}
	w.revision = object.Metadata.ResourceVersion
	return nil
}
