//go:build linux

// Package reflector follows a collection of a Kubernetes-style API on the event loop: it lists, watches from the list's
// resource version, resumes a watch that ends, and lists again when the server has no history from there.
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

var errNoResourceVersion = errors.New("list without resourceVersion")

// StatusError is a response of the server other than success.
type StatusError struct {
	Code    int
	Message string // of the Status object in the body; "" if there was none
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
		return &StatusError{Code: code} // the body need not be a Status object
	}
	return &StatusError{Code: code, Message: status.Message}
}

// Reflector follows one collection. Set the exported fields, then call Start. Callbacks run on the loop.
type Reflector struct {
	Loop   *eventloop.Loop
	Client *httpc.Client
	Path   string // such as /api/v1/nodes
	Labels string // label selector
	Rand   *rand.Rand
	// MinBackoff and MaxBackoff bound the delay before a list or watch that has failed is made again. It doubles with each failure.
	MinBackoff, MaxBackoff time.Duration
	// ListTimeout bounds a list; 0 is no bound.
	ListTimeout time.Duration
	// WatchIdleTimeout is how long a watch may bring no byte before it counts as broken; 0 is no bound.
	WatchIdleTimeout time.Duration

	// OnList gets a complete list. head is that of the response.
	OnList func(head *http1.Head, resourceVersion string, items []Object)
	// OnEvent gets a change of one object; kind is ADDED, MODIFIED or DELETED.
	OnEvent func(kind string, object Object)
	// OnError is called whenever a list or watch fails. It is retried without further ado.
	OnError func(err error)
	// ListCount and ResumeCount count for metrics.
	ListCount, ResumeCount uint64

	backoff         retry.Backoff
	resourceVersion string // to watch from; "" if a list is needed
	call            *httpc.Call
	retryTimer      *eventloop.Timer
	idleTimer       *eventloop.Timer
	stopped         bool

	// Of the present watch.
	partial  []byte // an event that is not complete
	watchErr error  // why the watch was aborted
	protobuf bool   // the events are frames of the binary encoding
}

// Start begins with a list.
func (r *Reflector) Start() {
	r.backoff = retry.Backoff{Min: placer.SecondsOf(r.MinBackoff), Max: placer.SecondsOf(r.MaxBackoff)}
	r.list()
}

// Stop ends the reflector; no callback follows.
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

// Relist drops the watch and lists again.
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

func (r *Reflector) requestTarget(query url.Values) string {
	if r.Labels != "" {
		query.Set("labelSelector", r.Labels)
	}
	return r.Path + "?" + query.Encode()
}

// isCurrent reports whether a call is the one that the reflector waits for, rather than one that Relist or Stop has ended.
func (r *Reflector) isCurrent(call *httpc.Call) bool { return !r.stopped && r.call == call }

// retryLater reports an error and lists or watches again after a backoff.
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
		if r.isCurrent(call) {
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
	r.partial = nil
	r.watchErr = nil
	call := &httpc.Call{}
	call.OnResponseHead = func(head *http1.Head) {
		r.protobuf = strings.HasPrefix(head.Header.Get("Content-Type"), protobufMediaType)
		r.restartIdleTimer(call)
	}
	call.OnBodyData = func(b []byte) {
		if !r.isCurrent(call) {
			return
		}
		r.restartIdleTimer(call)
		r.backoff.Reset()
		r.decodeStream(b)
	}
	call.OnDone = func(head *http1.Head, body []byte, err error) {
		r.idleTimer.Stop()
		if r.isCurrent(call) {
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

// restartIdleTimer cancels the watch if it brings nothing from now on for too long.
func (r *Reflector) restartIdleTimer(call *httpc.Call) {
	r.idleTimer.Stop()
	if r.WatchIdleTimeout > 0 {
		r.idleTimer = r.Loop.After(r.WatchIdleTimeout, func() { call.Cancel() })
	}
}

// handleWatchEnd resumes a watch that the server has ended in order, and retries one that has failed.
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

// abortWatch ends the present watch because of what it has brought.
func (r *Reflector) abortWatch(err error) {
	r.watchErr = err
	r.call.Cancel()
}
