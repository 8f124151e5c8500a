package api

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

const (
	// maxInlineListBytes is the size up to which a list is encoded at once; a larger one is encoded while it is sent.
	maxInlineListBytes = 64 << 10
	// maxTableRows bounds a page of a table, which is encoded at once; the continue token leads to the next page.
	maxTableRows = 1000
	// maxRemainingItems is the largest number of items after a page that are counted.
	maxRemainingItems = 1 << 16
)

// The values of the resourceVersionMatch parameter.
const (
	matchExact        = "Exact"
	matchNotOlderThan = "NotOlderThan"
)

// getObject serves GET of one object.
func (s *Server) getObject(r *request) (http1.Response, error) {
	change := s.Store.LastChange(r.resourceType.resource, r.namespace, r.name)
	if change == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	if wantsTable(r.Head.Header.Get("Accept")) {
		meta := metav1.ListMeta{ResourceVersion: change.Object.GetResourceVersion()}
		return s.tableResponse(r, meta, []store.Object{change.Object})
	}
	return encodedResponse(http.StatusOK, encoded(change)), nil
}

// listObjects serves GET of a list, and watches.
func (s *Server) listObjects(r *request) (http1.Response, error) {
	selector, err := r.parseSelector()
	if err != nil {
		return http1.Response{}, err
	}
	if r.isWatch() {
		return s.watchObjects(r, selector)
	}
	limit, err := s.listLimit(r)
	if err != nil {
		return http1.Response{}, err
	}
	snapshot, after, err := s.listSnapshot(r)
	if err != nil {
		return http1.Response{}, err
	}
	return s.listPage(r, selector, snapshot, after, limit)
}

// listLimit returns the largest number of objects on a page, 0 for no bound.
func (s *Server) listLimit(r *request) (int, error) {
	limit := 0
	if text := r.query.Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 0 {
			return 0, apierrors.NewBadRequest("limit: want a number of 0 or more")
		}
	}
	if limit == 0 {
		limit = s.DefaultListLimit
	}
	return limit, nil
}

// parseResourceVersion reads a resource version, 0 if there is none.
func parseResourceVersion(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, apierrors.NewBadRequest(fmt.Sprintf("invalid resource version %q", text))
	}
	return revision, nil
}

// listSnapshot returns the snapshot that a list is read from, and the key after which its page begins.
func (s *Server) listSnapshot(r *request) (snapshot store.Snapshot, after string, err error) {
	revision, err := parseResourceVersion(r.query.Get("resourceVersion"))
	if err != nil {
		return snapshot, "", err
	}
	match := r.query.Get("resourceVersionMatch")
	if token := r.query.Get("continue"); token != "" {
		if revision != 0 || match != "" {
			return snapshot, "", apierrors.NewBadRequest("specifying resource version is not allowed when using continue")
		}
		return s.continuedSnapshot(r, token)
	}
	switch {
	case match != "" && match != matchExact && match != matchNotOlderThan:
		return snapshot, "", apierrors.NewBadRequest("resourceVersionMatch: want Exact or NotOlderThan")
	case match != "" && r.query.Get("resourceVersion") == "":
		return snapshot, "", apierrors.NewBadRequest("resourceVersionMatch is forbidden unless resourceVersion is provided")
	case match == matchExact && revision == 0:
		return snapshot, "", apierrors.NewBadRequest(`resourceVersionMatch "Exact" is forbidden for resourceVersion "0"`)
	case revision > s.Store.Revision():
		return snapshot, "", newRevisionTooLarge(revision, s.Store.Revision())
	case match == matchExact:
		snapshot, err = s.Store.FindSnapshot(s.now, r.resourceType.resource, revision)
		if err != nil {
			return snapshot, "", newRevisionExpired(fmt.Sprintf("too old resource version: %d", revision))
		}
		return snapshot, "", nil
	}
	return s.Store.Snapshot(r.resourceType.resource), "", nil
}

// continueToken is the position after a page of a list. It is sent to clients as JSON in base64.
type continueToken struct {
	Revision int64  `json:"rv"`
	After    string `json:"after"` // key of the last object
}

func (t *continueToken) encode() (string, error) {
	text, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode continue token: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(text), nil
}

func decodeContinueToken(text string) (token continueToken, err error) {
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return token, fmt.Errorf("decode continue token: %w", err)
	}
	if err := json.Unmarshal(decoded, &token); err != nil {
		return token, fmt.Errorf("decode continue token: %w", err)
	}
	return token, nil
}

// continuedSnapshot returns the snapshot that a continue token names, and the key after which the next page begins.
func (s *Server) continuedSnapshot(r *request, text string) (snapshot store.Snapshot, after string, err error) {
	token, err := decodeContinueToken(text)
	if err != nil {
		return snapshot, "", apierrors.NewBadRequest("continue key is not valid")
	}
	snapshot, err = s.Store.FindSnapshot(s.now, r.resourceType.resource, token.Revision)
	if err != nil {
		return snapshot, "", newRevisionExpired("The provided continue parameter is too old to display a consistent list result")
	}
	return snapshot, token.After, nil
}

// page is one page of a list with a limit.
type page struct {
	objects   []store.Object
	count     int
	lastKey   string
	more      bool  // objects follow
	remaining int64 // number of them, if counted
}

// scanPage determines the objects of a page and, if collect is set, collects them. The objects after the page are counted only if the selector
// matches all objects.
func scanPage(selector *objectSelector, snapshot store.Snapshot, after string, limit int, collect bool) page {
	var found page
	snapshot.Scan(selector.namespace, after, func(key string, change *store.Change) bool {
		if !selector.matches(change.Object) {
			return true
		}
		if found.count >= limit {
			found.more = true
			found.remaining++
			return selector.matchesAll && found.remaining < maxRemainingItems
		}
		if collect {
			found.objects = append(found.objects, change.Object)
		}
		found.count++
		found.lastKey = key
		return true
	})
	return found
}

// listPage returns one page of a list as a response. Its objects are encoded once for all lists and watches.
func (s *Server) listPage(r *request, selector objectSelector, snapshot store.Snapshot, after string, limit int) (http1.Response, error) {
	asTable := r.Head.Method == http.MethodGet && wantsTable(r.Head.Header.Get("Accept"))
	if asTable && (limit == 0 || limit > maxTableRows) {
		limit = maxTableRows
	}
	meta := metav1.ListMeta{ResourceVersion: strconv.FormatInt(snapshot.Revision, 10)}
	var found page
	if limit > 0 {
		found = scanPage(&selector, snapshot, after, limit, asTable)
	}
	if found.more {
		token := continueToken{Revision: snapshot.Revision, After: found.lastKey}
		var err error
		if meta.Continue, err = token.encode(); err != nil {
			return http1.Response{}, err
		}
		if selector.matchesAll {
			meta.RemainingItemCount = &found.remaining
		}
		s.Store.KeepSnapshot(s.now, snapshot)
	}
	if asTable {
		return s.tableResponse(r, meta, found.objects)
	}
	stream := &listStream{server: s, selector: selector, snapshot: snapshot, after: after, remaining: limit, unlimited: limit == 0}
	return stream.response(r.resourceType, &meta)
}

// listStream is a list that is encoded while it is sent, from one snapshot. It keeps no encoded items. The snapshot keeps all objects in memory
// that have changed since, so the list must end before the snapshot's revision leaves the history.
type listStream struct {
	server    *Server
	selector  objectSelector
	snapshot  store.Snapshot
	after     string // key of the last object that was written or skipped
	remaining int    // items that may still follow, unless unlimited
	unlimited bool
	written   int
	head      []byte // text to be sent before the next item
	broken    bool
}

// response returns a small list as a body, and a large one as a stream.
func (l *listStream) response(listed *resourceType, meta *metav1.ListMeta) (http1.Response, error) {
	metaText, err := json.Marshal(meta)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode list: %w", err)
	}
	l.head = fmt.Appendf(nil, `{"kind":"%sList","apiVersion":"%s","metadata":%s,"items":[`, listed.kind, listed.groupVersion, metaText)
	body, done := l.Pull(nil, maxInlineListBytes)
	if done {
		return encodedResponse(http.StatusOK, body), nil
	}
	l.head = body
	return http1.Response{Status: http.StatusOK, Header: contentType(jsonType), Stream: l}, nil
}

// Pull implements http1.Stream.
func (l *listStream) Pull(b []byte, room int) ([]byte, bool) {
	if l.server.Store.Outdated(l.snapshot) {
		l.broken = true
		return b, true
	}
	limit := len(b) + room
	b = append(b, l.head...)
	l.head = nil
	done := true
	l.snapshot.Scan(l.selector.namespace, l.after, func(key string, change *store.Change) bool {
		if !l.unlimited && l.remaining == 0 {
			return false
		}
		if len(b) >= limit {
			done = false
			return false
		}
		l.after = key
		if !l.selector.matches(change.Object) {
			return true
		}
		if l.written > 0 {
			b = append(b, ',')
		}
		b = append(b, encoded(change)...)
		l.written++
		l.remaining--
		return true
	})
	if done {
		b = append(b, "]}\n"...)
	}
	return b, done
}

// Close implements http1.Stream.
func (l *listStream) Close() {}

// Broken reports that the list ended before it was complete, because the revision of its snapshot has left the history.
func (l *listStream) Broken() bool { return l.broken }
