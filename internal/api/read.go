package api

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/runtime/schema"

	"heathshed/internal/http1"
	"heathshed/internal/store"
)

// encode writes an object with its kind.
func encode(o runtime.Object) ([]byte, error) {
	switch v := o.(type) {
	case *batchv1.Job:
		c := *v
		c.TypeMeta = metav1.TypeMeta{Kind: "Job", APIVersion: "batch/v1"}
		return json.Marshal(&c)
	case *corev1.Pod:
		c := *v
		c.TypeMeta = metav1.TypeMeta{Kind: "Pod", APIVersion: "v1"}
		return json.Marshal(&c)
	case *corev1.Node:
		c := *v
		c.TypeMeta = metav1.TypeMeta{Kind: "Node", APIVersion: "v1"}
		return json.Marshal(&c)
	case *corev1.Namespace:
		c := *v
		c.TypeMeta = metav1.TypeMeta{Kind: "Namespace", APIVersion: "v1"}
		return json.Marshal(&c)
	}
	return json.Marshal(o)
}

// encoded returns the text of a change's object, made once for all who read it.
func encoded(c *store.Change) []byte {
	if c.JSON == nil {
		b, err := encode(c.Object)
		if err != nil {
			b = []byte("null")
		}
		c.JSON = b
	}
	return c.JSON
}

func (r *request) groupResource() schema.GroupResource {
	return schema.GroupResource{Group: r.resourceType.groupVersion.Group, Resource: r.resourceType.resource.String()}
}

func (s *Server) getObject(r *request) (http1.Response, error) {
	c := s.Store.Last(r.resourceType.resource, r.namespace, r.name)
	if c == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	if wantsTable(r.Head.Header.Get("Accept")) {
		return s.tableResponse(r, metav1.ListMeta{ResourceVersion: c.Object.GetResourceVersion()}, []store.Object{c.Object})
	}
	return encodedResponse(200, encoded(c)), nil
}

// continueToken is a continue token.
type continueToken struct {
	Revision int64  `json:"rv"`
	After    string `json:"after"`
}

func parseResourceVersion(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		return 0, apierrors.NewBadRequest(fmt.Sprintf("invalid resource version %q", text))
	}
	return v, nil
}

func newExpired(words string) error { return apierrors.NewResourceExpired(words) }

func newRevisionTooLarge(rev, now int64) error {
	err := apierrors.NewTimeoutError(fmt.Sprintf("Too large resource version: %d, current: %d", rev, now), 1)
	err.ErrStatus.Details.Causes = []metav1.StatusCause{{Type: metav1.CauseTypeResourceVersionTooLarge,
		Message: "Too large resource version"}}
	return err
}

func (s *Server) listObjects(r *request) (http1.Response, error) {
	sel, err := r.parseSelector()
	if err != nil {
		return http1.Response{}, err
	}
	if w := r.query.Get("watch"); w == "true" || w == "1" {
		return s.watchObjects(r, sel)
	}
	st := s.Store
	limit := 0
	if v := r.query.Get("limit"); v != "" {
		if limit, err = strconv.Atoi(v); err != nil || limit < 0 {
			return http1.Response{}, apierrors.NewBadRequest("limit: want a number of 0 or more")
		}
	}
	if limit == 0 {
		limit = s.DefaultListLimit
	}
	rev, err := parseResourceVersion(r.query.Get("resourceVersion"))
	if err != nil {
		return http1.Response{}, err
	}
	match := r.query.Get("resourceVersionMatch")
	sn := st.Snapshot(r.resourceType.resource)
	after := ""
	switch token := r.query.Get("continue"); {
	case token != "":
		if rev != 0 || match != "" {
			return http1.Response{}, apierrors.NewBadRequest("specifying resource version is not allowed when using continue")
		}
		var p continueToken
		b, err := base64.RawURLEncoding.DecodeString(token)
		if err != nil || json.Unmarshal(b, &p) != nil {
			return http1.Response{}, apierrors.NewBadRequest("continue key is not valid")
		}
		if sn, err = st.FindSnapshot(s.now, r.resourceType.resource, p.Revision); err != nil {
			return http1.Response{}, newExpired("The provided continue parameter is too old to display a consistent list result")
		}
		after = p.After
	case match != "" && match != "Exact" && match != "NotOlderThan":
		return http1.Response{}, apierrors.NewBadRequest("resourceVersionMatch: want Exact or NotOlderThan")
	case match != "" && r.query.Get("resourceVersion") == "":
		return http1.Response{}, apierrors.NewBadRequest("resourceVersionMatch is forbidden unless resourceVersion is provided")
	case match == "Exact":
		if rev == 0 {
			return http1.Response{}, apierrors.NewBadRequest(`resourceVersionMatch "Exact" is forbidden for resourceVersion "0"`)
		}
		if rev > st.Rev() {
			return http1.Response{}, newRevisionTooLarge(rev, st.Rev())
		}
		if sn, err = st.FindSnapshot(s.now, r.resourceType.resource, rev); err != nil {
			return http1.Response{}, newExpired(fmt.Sprintf("too old resource version: %d", rev))
		}
	case rev > st.Rev():
		return http1.Response{}, newRevisionTooLarge(rev, st.Rev())
	}
	return s.listPage(r, sel, sn, after, limit)
}

// maxInlineListBytes is how large a list may be that is answered at once; a larger one is written as its reader takes it.
const maxInlineListBytes = 64 << 10

// maxTableRows bounds a page of rows, which are made at once; who wants more goes on with the continue token.
const maxTableRows = 1000

// listPage answers one page of a list. The objects' texts are those that watches use.
func (s *Server) listPage(r *request, sel selector, sn store.Snapshot, after string, limit int) (http1.Response, error) {
	asTable := r.Head.Method == "GET" && wantsTable(r.Head.Header.Get("Accept"))
	if asTable && (limit == 0 || limit > maxTableRows) {
		limit = maxTableRows
	}
	m := metav1.ListMeta{ResourceVersion: strconv.FormatInt(sn.Rev, 10)}
	var objects []store.Object
	if limit > 0 {
		n, more, last := 0, false, ""
		left := int64(0)
		sn.Scan(sel.namespace, after, func(key string, c *store.Change) bool {
			switch {
			case !sel.matches(c.Object):
			case n >= limit:
				more = true
				left++
				// The rest is counted only where that costs nothing.
				return sel.matchesAll && left < 1<<16
			default:
				if asTable {
					objects = append(objects, c.Object)
				}
				n++
				last = key
			}
			return true
		})
		if more {
			token, err := json.Marshal(continueToken{sn.Rev, last})
			if err != nil {
				return http1.Response{}, fmt.Errorf("encode continue token: %w", err)
			}
			m.Continue = base64.RawURLEncoding.EncodeToString(token)
			if sel.matchesAll {
				m.RemainingItemCount = &left
			}
			s.Store.KeepSnapshot(s.now, sn)
		}
	}
	if asTable {
		return s.tableResponse(r, m, objects)
	}
	head, err := json.Marshal(&m)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode list: %w", err)
	}
	l := &listStream{server: s, selector: sel, snapshot: sn, after: after, remaining: limit, unlimited: limit == 0}
	l.head = fmt.Appendf(nil, `{"kind":"%sList","apiVersion":"%s","metadata":%s,"items":[`, r.resourceType.kind, r.resourceType.groupVersion, head)
	out, done := l.Pull(nil, maxInlineListBytes)
	if done {
		return encodedResponse(200, out), nil
	}
	l.head = out
	return http1.Response{Status: 200, Header: []http1.Field{{Name: "Content-Type", Value: jsonType}}, Stream: l}, nil
}

// listStream is a list that is written as its reader takes it, from one snapshot. It holds no text but the beginning. The snapshot keeps alive
// what has changed since, so a reader must be done while the history still reaches back to it.
type listStream struct {
	server    *Server
	selector  selector
	snapshot  store.Snapshot
	after     string
	remaining int // items that may still come
	unlimited bool
	written   int
	head      []byte
	broken    bool
}

// Pull implements http1.Stream.
func (l *listStream) Pull(b []byte, room int) ([]byte, bool) {
	if l.server.Store.Outdated(l.snapshot) {
		l.broken = true
		return b, true
	}
	limit := len(b) + room
	b, l.head = append(b, l.head...), nil
	end := true
	l.snapshot.Scan(l.selector.namespace, l.after, func(key string, c *store.Change) bool {
		if !l.unlimited && l.remaining == 0 {
			return false
		}
		if len(b) >= limit {
			end = false
			return false
		}
		l.after = key
		if !l.selector.matches(c.Object) {
			return true
		}
		if l.written > 0 {
			b = append(b, ',')
		}
		b = append(b, encoded(c)...)
		l.written++
		l.remaining--
		return true
	})
	if end {
		b = append(b, "]}\n"...)
	}
	return b, end
}

// Close implements http1.Stream.
func (l *listStream) Close() {}

// Broken says that the list ends here without being whole.
func (l *listStream) Broken() bool { return l.broken }

// watcher is one watch: a place in the history of a table. It holds no queue: what its reader has not taken stays in the
// history, and one that falls behind what is kept is told so and cut off.
type watcher struct {
	server          *Server
	selector        selector
	revision        int64 // everything up to here was told
	deadline        float64
	bookmarks       bool
	nextBookmarkAt  float64
	initialSnapshot *store.Snapshot
	after           string
	markInitialEnd  bool // a bookmark ends the initial events
	binary          bool // in the binary encoding
}

const (
	bookmarkInterval    = 60.0 // seconds
	defaultWatchTimeout = 1800.0
	maxChangesPerRead   = 512
)

func (s *Server) watchObjects(r *request, sel selector) (http1.Response, error) {
	st := s.Store
	q := r.query
	bad := func(words string) (http1.Response, error) { return http1.Response{}, apierrors.NewBadRequest(words) }
	rev, err := parseResourceVersion(q.Get("resourceVersion"))
	if err != nil {
		return http1.Response{}, err
	}
	if s.closing {
		return http1.Response{}, newServiceUnavailable("the scheduler stops")
	}
	w := &watcher{server: s, selector: sel, revision: rev, deadline: s.now + defaultWatchTimeout, bookmarks: q.Get("allowWatchBookmarks") == "true" ||
		q.Get("allowWatchBookmarks") == "1", nextBookmarkAt: s.now + bookmarkInterval}
	if v := q.Get("timeoutSeconds"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return bad("timeoutSeconds: want a number of 0 or more")
		}
		if n > 0 {
			w.deadline = s.now + float64(n)
		}
	}
	initial := rev == 0
	if v := q.Get("sendInitialEvents"); v != "" {
		on := v == "true" || v == "1"
		if q.Get("resourceVersionMatch") != "NotOlderThan" {
			return bad("sendInitialEvents: resourceVersionMatch must be NotOlderThan")
		}
		if on && !w.bookmarks {
			return bad("sendInitialEvents needs allowWatchBookmarks")
		}
		initial, w.markInitialEnd = on, on
		if !on && rev == 0 {
			w.revision = st.Rev()
		}
	} else if q.Get("resourceVersionMatch") != "" {
		return bad("resourceVersionMatch is forbidden for watch unless sendInitialEvents is provided")
	}
	if rev > st.Rev() {
		return http1.Response{}, newRevisionTooLarge(rev, st.Rev())
	}
	if initial {
		sn := st.Snapshot(r.resourceType.resource)
		w.initialSnapshot, w.revision = &sn, sn.Rev
	} else if _, err := st.Since(r.resourceType.resource, w.revision, 1); err != nil {
		return http1.Response{}, newExpired(fmt.Sprintf("too old resource version: %d (%d)", rev, st.Rev()))
	}
	if s.watchers == nil {
		s.watchers = map[*watcher]struct{}{}
	}
	s.watchers[w] = struct{}{}
	kind := jsonType
	if w.binary = wantsBinary(r.Head.Header.Get("Accept")); w.binary {
		kind = binaryWatch
	}
	return http1.Response{Status: 200, Header: []http1.Field{{Name: "Content-Type", Value: kind}}, Stream: w}, nil
}

// WatchBatchDelay is how long changes may gather before watches are told of them, in seconds: nothing while watches are few, a few
// microseconds for each when they are many, so that telling them takes a bounded part of the time whatever the rate of changes.
func WatchBatchDelay(watches int) float64 {
	if watches <= 50 {
		return 0
	}
	return min(float64(watches)*4e-6, 0.05)
}

// Watchers is the number of open watches.
func (s *Server) Watchers() int { return len(s.watchers) }

// SetTime tells the time for time-outs and bookmarks of watches; pull the streams after it.
func (s *Server) SetTime(now float64) { s.now = now }

// CloseWatches ends every watch at its next pull and lets no new one begin.
func (s *Server) CloseWatches() { s.closing = true }

// appendChange appends one event that brings a change's object.
func (w *watcher) appendChange(b []byte, kind string, c *store.Change) []byte {
	if w.binary {
		return appendBinaryEvent(b, kind, encodedBinary(c))
	}
	return appendEvent(b, kind, encoded(c))
}

// appendObject appends one event with an object that no other watcher is told of.
func (w *watcher) appendObject(b []byte, kind string, o runtime.Object) []byte {
	if w.binary {
		return appendBinaryEvent(b, kind, encodeBinary(o))
	}
	text, err := encode(o)
	if err != nil {
		text = []byte("null")
	}
	return appendEvent(b, kind, text)
}

func appendEvent(b []byte, kind string, object []byte) []byte {
	b = append(b, `{"type":"`...)
	b = append(b, kind...)
	b = append(b, `","object":`...)
	b = append(b, object...)
	return append(b, "}\n"...)
}

// Pull implements http1.Stream.
func (w *watcher) Pull(b []byte, room int) ([]byte, bool) {
	limit := len(b) + room
	if w.initialSnapshot != nil && w.server.Store.Outdated(*w.initialSnapshot) {
		return w.appendExpired(b, w.initialSnapshot.Rev), true
	}
	for w.initialSnapshot != nil && len(b) < limit {
		n := 0
		w.initialSnapshot.Scan(w.selector.namespace, w.after, func(key string, c *store.Change) bool {
			w.after = key
			n++
			if w.selector.matches(c.Object) {
				b = w.appendChange(b, "ADDED", c)
			}
			return len(b) < limit
		})
		if len(b) < limit || n == 0 {
			w.initialSnapshot = nil
			if w.markInitialEnd {
				b = w.appendBookmark(b, true)
			}
		}
	}
	st := w.server.Store
	for w.initialSnapshot == nil && len(b) < limit {
		if w.revision >= st.Rev() {
			break
		}
		changes, err := st.Since(w.selector.resourceType.resource, w.revision, maxChangesPerRead)
		if err != nil {
			return w.appendExpired(b, w.revision), true
		}
		if len(changes) == 0 {
			w.revision = st.Rev()
			break
		}
		for _, c := range changes {
			b = w.appendVisibleChange(b, c)
			w.revision = c.Rev
			if len(b) >= limit {
				break
			}
		}
	}
	switch {
	case w.server.closing:
		return b, true
	case w.server.now >= w.deadline:
		if w.bookmarks && w.initialSnapshot == nil {
			b = w.appendBookmark(b, false)
		}
		return b, true
	case w.bookmarks && w.initialSnapshot == nil && w.server.now >= w.nextBookmarkAt:
		b = w.appendBookmark(b, false)
	}
	return b, false
}

// appendExpired writes the event that ends a watch whose place in the history is gone.
func (w *watcher) appendExpired(b []byte, rev int64) []byte {
	var gone apierrors.APIStatus
	errors.As(newExpired(fmt.Sprintf("too old resource version: %d (%d)", rev, w.server.Store.Rev())), &gone)
	st := gone.Status()
	st.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	return w.appendObject(b, "ERROR", &st)
}

// appendVisibleChange writes a change as its watcher sees it: an object that begins to match is added, one that no longer does is deleted.
func (w *watcher) appendVisibleChange(b []byte, c *store.Change) []byte {
	now := c.Op != store.Deleted && w.selector.matches(c.Object)
	before := c.Prev != nil && w.selector.matches(c.Prev)
	switch {
	case now && before:
		return w.appendChange(b, "MODIFIED", c)
	case now:
		return w.appendChange(b, "ADDED", c)
	case before && c.Op == store.Deleted:
		return w.appendChange(b, "DELETED", c)
	case before:
		// The last state that matched, with the revision at which it left.
		o := c.Prev.DeepCopyObject().(store.Object)
		o.SetResourceVersion(strconv.FormatInt(c.Rev, 10))
		return w.appendObject(b, "DELETED", o)
	}
	return b
}

func (w *watcher) appendBookmark(b []byte, endOfList bool) []byte {
	w.nextBookmarkAt = w.server.now + bookmarkInterval
	o := w.selector.resourceType.newObject()
	o.SetResourceVersion(strconv.FormatInt(w.revision, 10))
	if endOfList {
		o.SetAnnotations(map[string]string{"k8s.io/initial-events-end": "true"})
	}
	return w.appendObject(b, "BOOKMARK", o)
}

// Close implements http1.Stream.
func (w *watcher) Close() { delete(w.server.watchers, w) }
