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
	// ListWithin bounds a list in seconds, Quiet how long a watch may bring no byte before it counts as broken; 0 is no bound.
	ListWithin, Quiet float64

	// Listed gets a whole list; Event a change of one object (ADDED, MODIFIED or DELETED). head carries the answer's fields.
	Listed func(head *http1.Head, rev string, items []Object)
	Event  func(kind string, object Object)
	// Lost is called whenever list or watch fails; it goes on by itself.
	Lost func(err error)
	// Lists and Resumes count.
	Lists, Resumes uint64

	rev     string
	call    *httpc.Call
	timer   *eventloop.Timer
	quiet   *eventloop.Timer
	stopped bool
	line    []byte
	failed  error
	binary  bool // the watch is in the binary encoding
}

const maxLine = 8 << 20

// Start begins with a list.
func (r *Reflector) Start() { r.list() }

// Stop ends it; no callback follows.
func (r *Reflector) Stop() {
	if r.stopped {
		return
	}
	r.stopped = true
	r.timer.Stop()
	r.quiet.Stop()
	if r.call != nil {
		r.call.Cancel()
	}
}

// Relist drops the watch and lists anew.
func (r *Reflector) Relist() {
	if r.stopped {
		return
	}
	r.rev = ""
	r.timer.Stop()
	if c := r.call; c != nil {
		r.call = nil
		c.Cancel()
	}
	r.list()
}

func (r *Reflector) target(q url.Values) string {
	if r.Labels != "" {
		q.Set("labelSelector", r.Labels)
	}
	return r.Path + "?" + q.Encode()
}

func (r *Reflector) again(err error) {
	if r.stopped {
		return
	}
	r.Lost(err)
	if r.stopped {
		return
	}
	r.timer = r.Loop.After(r.Retry.Next(r.Rand.Float64()), func() {
		if r.rev != "" {
			r.Resumes++
			r.watch()
		} else {
			r.list()
		}
	})
}

func (r *Reflector) list() {
	r.Lists++
	call := &httpc.Call{}
	call.Done = func(h *http1.Head, body []byte, err error) {
		if r.stopped || r.call != call {
			return
		}
		r.call = nil
		if err == nil && h.Status != 200 {
			err = statusError(h.Status, body)
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
			r.again(fmt.Errorf("list %s%s: %w", r.Client.Addr(), r.Path, err))
			return
		}
		r.rev = l.Metadata.ResourceVersion
		for _, it := range l.Items {
			items = append(items, Object{Raw: it})
		}
		r.Listed(h, r.rev, items)
		if !r.stopped && r.call == nil {
			r.watch()
		}
	}
	r.call = call
	r.Client.Do("GET", r.target(url.Values{}), []http1.Field{{Name: "Accept", Value: "application/json"}}, nil, r.ListWithin, call)
}

func statusError(code int, body []byte) error {
	var st metav1.Status
	if json.Unmarshal(body, &st) == nil && st.Message != "" {
		return fmt.Errorf("status %d: %s", code, st.Message)
	}
	return fmt.Errorf("status %d", code)
}

func (r *Reflector) watch() {
	r.line, r.failed = nil, nil
	call := &httpc.Call{}
	alive := func() {
		r.quiet.Stop()
		if r.Quiet > 0 {
			r.quiet = r.Loop.After(r.Quiet, func() { call.Cancel() })
		}
	}
	call.Started = func(h *http1.Head) {
		r.binary = strings.HasPrefix(h.Header.Get("Content-Type"), binaryType)
		alive()
	}
	call.Data = func(b []byte) {
		if r.stopped || r.call != call {
			return
		}
		alive()
		r.Retry.Reset()
		r.feed(b)
	}
	call.Done = func(h *http1.Head, body []byte, err error) {
		r.quiet.Stop()
		if r.stopped || r.call != call {
			return
		}
		r.call = nil
		switch {
		case r.failed != nil:
			err = r.failed
		case err == nil && h.Status == 410:
			r.rev = ""
			err = statusError(h.Status, body)
		case err == nil && h.Status != 200:
			err = statusError(h.Status, body)
		case err == nil:
			// The server ended it in order: go on from where it stopped.
			r.Resumes++
			r.watch()
			return
		}
		r.again(fmt.Errorf("watch %s%s: %w", r.Client.Addr(), r.Path, err))
	}
	r.call = call
	r.Client.Do("GET", r.target(url.Values{"watch": {"true"}, "resourceVersion": {r.rev}, "allowWatchBookmarks": {"true"}}),
		[]http1.Field{{Name: "Accept", Value: binaryType + ", application/json"}}, nil, 0, call)
}

// feed cuts the stream into lines or frames, one event each.
func (r *Reflector) feed(b []byte) {
	call := r.call
	if r.binary {
		r.frames(b)
		return
	}
	for len(b) > 0 && r.failed == nil {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			if r.line = append(r.line, b...); len(r.line) > maxLine {
				r.fail(errors.New("event over the limit"))
			}
			return
		}
		line := b[:i]
		if len(r.line) > 0 {
			line = append(r.line, line...)
			r.line = nil
		}
		b = b[i+1:]
		r.event(line)
		if r.stopped || r.call != call {
			return
		}
	}
}

func (r *Reflector) fail(err error) {
	r.failed = err
	r.call.Cancel()
}

func (r *Reflector) event(line []byte) {
	var ev struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		r.fail(fmt.Errorf("event: %w", err))
		return
	}
	if ev.Type == "ERROR" {
		var st metav1.Status
		r.ended(&st, json.Unmarshal(ev.Object, &st))
		return
	}
	var m struct {
		Metadata struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"metadata"`
	}
	if err := json.Unmarshal(ev.Object, &m); err != nil {
		r.fail(fmt.Errorf("event object: %w", err))
		return
	}
	r.take(ev.Type, m.Metadata.ResourceVersion, Object{Raw: ev.Object})
}

// ended takes the event that ends a watch.
func (r *Reflector) ended(st *metav1.Status, err error) {
	if err == nil && (st.Code == 410 || st.Reason == metav1.StatusReasonExpired) {
		r.rev = ""
	}
	r.fail(fmt.Errorf("error event: %s", st.Message))
}

func (r *Reflector) take(kind, rev string, o Object) {
	switch kind {
	case "ADDED", "MODIFIED", "DELETED":
		r.rev = rev
		r.Event(kind, o)
	case "BOOKMARK":
		r.rev = rev
	default:
		r.fail(fmt.Errorf("event type %q is not known", kind))
	}
}
