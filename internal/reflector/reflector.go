//go:build linux

// Package kclient follows a collection of a Kubernetes-style API over the event loop: it lists, watches from the list's
// revision, resumes, and lists anew when the history is gone.
package reflector

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
	"heathshed/internal/httpc"
	"heathshed/internal/retry"
)

// Reflector follows one collection. Set the fields, then Start. Callbacks run on the loop.
type Reflector struct {
	Loop   *eventloop.Loop
	Client *httpc.Client
	Path   string // such as /api/v1/nodes
	Labels string // label selector
	Rand   *rand.Rand
	Retry  retry.Backoff
	// ListTimeoutSeconds bounds a list in seconds, Quiet how long a watch may bring no byte before it counts as broken; 0 is no bound.
	ListTimeoutSeconds, WatchIdleTimeoutSeconds float64

	// OnList gets a whole list; Event a change of one object (ADDED, MODIFIED or DELETED). head carries the answer's fields.
	OnList  func(head *http1.Head, rev string, items []Object)
	OnEvent func(kind string, object Object)
	// OnError is called whenever list or watch fails; it goes on by itself.
	OnError func(err error)
	// ListCount and Resumes count.
	ListCount, ResumeCount uint64

	resourceVersion string
	call            *httpc.Call
	retryTimer      *eventloop.Timer
	idleTimer       *eventloop.Timer
	stopped         bool
	partial         []byte
	watchErr        error
	protobuf        bool // the watch is in the binary encoding
}

const maxEventSize = 8 << 20

// Start begins with a list.
func (r *Reflector) Start() { r.list() }

// Stop ends it; no callback follows.
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

// Relist drops the watch and lists anew.
func (r *Reflector) Relist() {
	if r.stopped {
		return
	}
	r.resourceVersion = ""
	r.retryTimer.Stop()
	if c := r.call; c != nil {
		r.call = nil
		c.Cancel()
	}
	r.list()
}

func (r *Reflector) requestTarget(q url.Values) string {
	if r.Labels != "" {
		q.Set("labelSelector", r.Labels)
	}
	return r.Path + "?" + q.Encode()
}

func (r *Reflector) retryLater(err error) {
	if r.stopped {
		return
	}
	r.OnError(err)
	if r.stopped {
		return
	}
	r.retryTimer = r.Loop.After(r.Retry.Next(r.Rand.Float64()), func() {
		if r.resourceVersion != "" {
			r.ResumeCount++
			r.watch()
		} else {
			r.list()
		}
	})
}

func (r *Reflector) list() {
	r.ListCount++
	call := &httpc.Call{}
	call.Done = func(head *http1.Head, body []byte, err error) {
		if r.stopped || r.call != call {
			return
		}
		r.call = nil
		if err == nil && head.Status != 200 {
			err = statusError(head.Status, body)
		}
		var l struct {
			Metadata metav1.ListMeta   `json:"metadata"`
			Items    []json.RawMessage `json:"items"`
		}
		var items []Object
		if err == nil {
			err = json.Unmarshal(body, &l)
		}
		if err == nil && l.Metadata.ResourceVersion == "" {
			err = errors.New("list without resourceVersion")
		}
		if err != nil {
			r.retryLater(fmt.Errorf("list %s%s: %w", r.Client.Addr(), r.Path, err))
			return
		}
		r.resourceVersion = l.Metadata.ResourceVersion
		for _, it := range l.Items {
			items = append(items, Object{Raw: it})
		}
		r.OnList(head, r.resourceVersion, items)
		if !r.stopped && r.call == nil {
			r.watch()
		}
	}
	r.call = call
	r.Client.Do("GET", r.requestTarget(url.Values{}), []http1.Field{{Name: "Accept", Value: "application/json"}}, nil, r.ListTimeoutSeconds, call)
}

func statusError(code int, body []byte) error {
	var status metav1.Status
	if json.Unmarshal(body, &status) == nil && status.Message != "" {
		return fmt.Errorf("status %d: %s", code, status.Message)
	}
	return fmt.Errorf("status %d", code)
}

func (r *Reflector) watch() {
	r.partial, r.watchErr = nil, nil
	call := &httpc.Call{}
	alive := func() {
		r.idleTimer.Stop()
		if r.WatchIdleTimeoutSeconds > 0 {
			r.idleTimer = r.Loop.After(r.WatchIdleTimeoutSeconds, func() { call.Cancel() })
		}
	}
	call.Started = func(head *http1.Head) {
		r.protobuf = strings.HasPrefix(head.Header.Get("Content-Type"), protobufMediaType)
		alive()
	}
	call.Data = func(b []byte) {
		if r.stopped || r.call != call {
			return
		}
		alive()
		r.Retry.Reset()
		r.decodeStream(b)
	}
	call.Done = func(head *http1.Head, body []byte, err error) {
		r.idleTimer.Stop()
		if r.stopped || r.call != call {
			return
		}
		r.call = nil
		switch {
		case r.watchErr != nil:
			err = r.watchErr
		case err == nil && head.Status == 410:
			r.resourceVersion = ""
			err = statusError(head.Status, body)
		case err == nil && head.Status != 200:
			err = statusError(head.Status, body)
		case err == nil:
			// The server ended it in order: go on from where it stopped.
			r.ResumeCount++
			r.watch()
			return
		}
		r.retryLater(fmt.Errorf("watch %s%s: %w", r.Client.Addr(), r.Path, err))
	}
	r.call = call
	r.Client.Do("GET", r.requestTarget(url.Values{"watch": {"true"}, "resourceVersion": {r.resourceVersion}, "allowWatchBookmarks": {"true"}}),
		[]http1.Field{{Name: "Accept", Value: protobufMediaType + ", application/json"}}, nil, 0, call)
}

// decodeStream cuts the stream into lines or frames, one event each.
func (r *Reflector) decodeStream(b []byte) {
	call := r.call
	if r.protobuf {
		r.decodeFrames(b)
		return
	}
	for len(b) > 0 && r.watchErr == nil {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			if r.partial = append(r.partial, b...); len(r.partial) > maxEventSize {
				r.abortWatch(errors.New("event over the limit"))
			}
			return
		}
		line := b[:i]
		if len(r.partial) > 0 {
			line = append(r.partial, line...)
			r.partial = nil
		}
		b = b[i+1:]
		r.handleJSONEvent(line)
		if r.stopped || r.call != call {
			return
		}
	}
}

func (r *Reflector) abortWatch(err error) {
	r.watchErr = err
	r.call.Cancel()
}

func (r *Reflector) handleJSONEvent(line []byte) {
	var ev struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		r.abortWatch(fmt.Errorf("event: %w", err))
		return
	}
	if ev.Type == "ERROR" {
		var status metav1.Status
		r.handleErrorEvent(&status, json.Unmarshal(ev.Object, &status))
		return
	}
	var m struct {
		Metadata struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"metadata"`
	}
	if err := json.Unmarshal(ev.Object, &m); err != nil {
		r.abortWatch(fmt.Errorf("event object: %w", err))
		return
	}
	r.handleEvent(ev.Type, m.Metadata.ResourceVersion, Object{Raw: ev.Object})
}

// handleErrorEvent takes the event that ends a watch.
func (r *Reflector) handleErrorEvent(status *metav1.Status, err error) {
	if err == nil && (status.Code == 410 || status.Reason == metav1.StatusReasonExpired) {
		r.resourceVersion = ""
	}
	r.abortWatch(fmt.Errorf("error event: %s", status.Message))
}

func (r *Reflector) handleEvent(kind, rev string, o Object) {
	switch kind {
	case "ADDED", "MODIFIED", "DELETED":
		r.resourceVersion = rev
		r.OnEvent(kind, o)
	case "BOOKMARK":
		r.resourceVersion = rev
	default:
		r.abortWatch(fmt.Errorf("event type %q is not known", kind))
	}
}
