//go:build linux

// Package reflector keeps a client up to date with a collection of a Kubernetes-style API, on an event
// loop. A Reflector lists the collection and watches it from the resource version of the list. When the
// watch ends, it resumes from the last resource version, and lists again if that version has expired on the
// server.
package reflector

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/retry"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
	"heathshed/placer"
)

const (
	jsonMediaType     = "application/json"
	protobufMediaType = "application/vnd.kubernetes.protobuf"
)

var errNoResourceVersion = errors.New("list has no resourceVersion")

// StatusError reports a response whose HTTP status is not 200.
type StatusError struct {
	Code    int    // HTTP status code
	Message string // message of the Status object in the body; "" if there is none
}

func (e *StatusError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("status %d", e.Code)
	}
	return fmt.Sprintf("status %d: %s", e.Code, e.Message)
}

func newStatusError(code int, body []byte) *StatusError {
	var status metav1.Status
	if json.Unmarshal(body, &status) != nil {
		return &StatusError{Code: code} // not every error response has a Status object as its body
	}
	return &StatusError{Code: code, Message: status.Message}
}

// Reflector lists and watches one collection. Set the exported fields, then call Start. All callbacks run
// on Loop.
type Reflector struct {
	Loop          *eventloop.Loop
	Client        *httpc.Client
	Path          string     // path of the collection, such as /api/v1/nodes
	LabelSelector string     // selects the objects that are listed and watched; "" selects all
	Rand          *rand.Rand // source of the random part of retry delays
	// MinBackoff and MaxBackoff are the bounds of the delay before a failed list or watch is retried. The
	// delay doubles with each consecutive failure.
	MinBackoff, MaxBackoff time.Duration
	// ListTimeout limits the duration of a list. 0 means no limit.
	ListTimeout time.Duration
	// WatchIdleTimeout is the time after which a watch that has received no data is considered broken and is
	// retried. 0 means no limit.
	WatchIdleTimeout time.Duration

	// OnList is called with each complete list. head is the head of the response.
	OnList func(head *http1.Head, resourceVersion string, items []Object)
	// OnEvent is called with each change of an object. The event type is ADDED, MODIFIED or DELETED.
	OnEvent func(eventType string, object Object)
	// OnError is called when a list or watch has failed. The Reflector retries it by itself.
	OnError func(err error)
	// ListCount is the number of list requests. ResumeCount is the number of watches that were resumed
	// without a new list.
	ListCount, ResumeCount uint64

	backoff         retry.Backoff
	resourceVersion string      // version to watch from; "" if a list is needed first
	call            *httpc.Call // current list or watch; nil if there is none
	retryTimer      *eventloop.Timer
	idleTimer       *eventloop.Timer
	stopped         bool

	// State of the current watch.
	incompleteEvent []byte // received bytes of an event that is not complete yet
	watchErr        error  // reason why the reflector aborted the watch; nil if it did not
	protobuf        bool   // whether events are Protocol Buffers frames rather than lines of JSON
}

// Start sends the first list request.
func (r *Reflector) Start() {
	r.backoff = retry.Backoff{Min: placer.SecondsOf(r.MinBackoff), Max: placer.SecondsOf(r.MaxBackoff)}
	r.list()
}

// Stop cancels the current list or watch. No callback is called afterwards.
func (r *Reflector) Stop() {
	if r.stopped {
		return
	}
	r.stopped = true
	r.retryTimer.Stop()
	r.idleTimer.Stop()
	if r.call != nil {
		r.call.Cancel()
	}
}

// Relist cancels the current list or watch, and lists the collection again.
func (r *Reflector) Relist() {
	if r.stopped {
		return
	}
	r.resourceVersion = ""
	r.retryTimer.Stop()
	if call := r.call; call != nil {
		r.call = nil
		call.Cancel()
	}
	r.list()
}

// requestTarget returns the request target for a query on the collection, with the label selector added.
func (r *Reflector) requestTarget(query url.Values) string {
	if r.LabelSelector != "" {
		query.Set("labelSelector", r.LabelSelector)
	}
	return r.Path + "?" + query.Encode()
}

// isCurrentCall reports whether call is the current list or watch. It is false for a call that Relist or
// Stop has cancelled.
func (r *Reflector) isCurrentCall(call *httpc.Call) bool { return !r.stopped && r.call == call }

// retryLater passes an error to OnError, and lists or resumes the watch after a backoff.
func (r *Reflector) retryLater(err error) {
	if r.stopped {
		return
	}
	r.OnError(err)
	if r.stopped {
		return
	}
	r.retryTimer = r.Loop.After(clock.Duration(r.backoff.Next(r.Rand.Float64())), func() {
		if r.resourceVersion == "" {
			r.list()
			return
		}
		r.ResumeCount++
		r.watch()
	})
}

func (r *Reflector) list() {
	r.ListCount++
	call := &httpc.Call{}
	call.OnDone = func(head *http1.Head, body []byte, err error) {
		if r.isCurrentCall(call) {
			r.call = nil
			r.handleList(head, body, err)
		}
	}
	r.call = call
	accept := []http1.Field{{Name: "Accept", Value: jsonMediaType}}
	r.Client.Do("GET", r.requestTarget(url.Values{}), accept, nil, r.ListTimeout, call)
}

func (r *Reflector) handleList(head *http1.Head, body []byte, err error) {
	var items []Object
	var resourceVersion string
	if err == nil {
		resourceVersion, items, err = decodeList(head, body)
	}
	if err != nil {
		r.retryLater(fmt.Errorf("list %s%s: %w", r.Client.Addr(), r.Path, err))
		return
	}
	r.resourceVersion = resourceVersion
	r.OnList(head, resourceVersion, items)
	if !r.stopped && r.call == nil {
		r.watch()
	}
}

func decodeList(head *http1.Head, body []byte) (resourceVersion string, items []Object, err error) {
	if head.Status != http1.StatusOK {
		return "", nil, newStatusError(head.Status, body)
	}
	var list struct {
		Metadata metav1.ListMeta   `json:"metadata"`
		Items    []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return "", nil, err
	}
	if list.Metadata.ResourceVersion == "" {
		return "", nil, errNoResourceVersion
	}
	for _, item := range list.Items {
		items = append(items, Object{Raw: item})
	}
	return list.Metadata.ResourceVersion, items, nil
}

func (r *Reflector) watch() {
	r.incompleteEvent = nil
	r.watchErr = nil
	call := &httpc.Call{}
	call.OnResponseHead = func(head *http1.Head) {
		r.protobuf = strings.HasPrefix(head.Header.Get("Content-Type"), protobufMediaType)
		r.restartIdleTimer(call)
	}
	call.OnBodyData = func(b []byte) {
		if !r.isCurrentCall(call) {
			return
		}
		r.restartIdleTimer(call)
		r.backoff.Reset()
		r.decodeStream(b)
	}
	call.OnDone = func(head *http1.Head, body []byte, err error) {
		r.idleTimer.Stop()
		if r.isCurrentCall(call) {
			r.call = nil
			r.handleWatchEnd(head, body, err)
		}
	}
	r.call = call
	query := url.Values{
		"watch":               {"true"},
		"resourceVersion":     {r.resourceVersion},
		"allowWatchBookmarks": {"true"},
	}
	accept := []http1.Field{{Name: "Accept", Value: protobufMediaType + ", " + jsonMediaType}}
	r.Client.Do("GET", r.requestTarget(query), accept, nil, 0, call)
}

// restartIdleTimer restarts the timer that cancels the watch after WatchIdleTimeout without data.
func (r *Reflector) restartIdleTimer(call *httpc.Call) {
	r.idleTimer.Stop()
	if r.WatchIdleTimeout > 0 {
		r.idleTimer = r.Loop.After(r.WatchIdleTimeout, func() { call.Cancel() })
	}
}

// handleWatchEnd resumes a watch at once if the server ended it regularly, and after a backoff if it failed.
func (r *Reflector) handleWatchEnd(head *http1.Head, body []byte, err error) {
	switch {
	case r.watchErr != nil:
		err = r.watchErr
	case err != nil:
	case head.Status == http1.StatusOK:
		r.ResumeCount++
		r.watch()
		return
	default:
		if head.Status == http1.StatusGone {
			r.resourceVersion = ""
		}
		err = newStatusError(head.Status, body)
	}
	r.retryLater(fmt.Errorf("watch %s%s: %w", r.Client.Addr(), r.Path, err))
}

// abortWatch cancels the current watch because of an error in the data received. handleWatchEnd reports the
// error.
func (r *Reflector) abortWatch(err error) {
	r.watchErr = err
	r.call.Cancel()
}
