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
	// maxInlineListBytes is the maximum size of a list that is encoded in one piece. A larger list is encoded
	// while it is sent.
	maxInlineListBytes = 64 << 10
	// maxTableRows limits the rows on one page of a Table, because a Table is encoded in one piece. The
	// response contains a continue token for the next page.
	maxTableRows = 1000
	// maxRemainingItems limits how many of the items after a page are counted for remainingItemCount.
	maxRemainingItems = 1 << 16
)

// These constants are the valid values of the resourceVersionMatch parameter.
const (
	matchExact        = "Exact"
	matchNotOlderThan = "NotOlderThan"
)

// getObject serves GET and HEAD requests for a single object.
func (s *Server) getObject(r *request) (http1.Response, error) {
	change := s.Store.LastChange(r.resourceType.resource, r.namespace, r.name)
	if change == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	if prefersTable(r.Head.Header.Get("Accept")) {
		meta := metav1.ListMeta{ResourceVersion: change.Object.GetResourceVersion()}
		return s.tableResponse(r, meta, []store.Object{change.Object})
	}
	return encodedJSONResponse(http.StatusOK, encodedJSON(change)), nil
}

// listObjects serves GET and HEAD requests for a list of objects, and watches of such a list.
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
	snapshot, afterKey, err := s.listSnapshot(r)
	if err != nil {
		return http1.Response{}, err
	}
	return s.listPage(r, selector, snapshot, afterKey, limit)
}

// listLimit returns the maximum number of objects on a page. The result is 0 if the page is unlimited.
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

// parseResourceVersion parses a resource version. An empty text gives 0.
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

// listSnapshot returns the snapshot from which a list request is answered. The requested page begins with the
// first object whose key is greater than afterKey.
func (s *Server) listSnapshot(r *request) (snapshot store.Snapshot, afterKey string, err error) {
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

// continueToken identifies the position after a page of a list. Clients receive a continueToken as
// base64-encoded JSON.
type continueToken struct {
	Revision int64 `json:"rv"`
	// After is the key of the last object on the page.
	After string `json:"after"`
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

// continuedSnapshot returns the snapshot that a continue token refers to. The next page begins with the first
// object whose key is greater than afterKey.
func (s *Server) continuedSnapshot(r *request, text string) (snapshot store.Snapshot, afterKey string, err error) {
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

// page is one page of a list whose request has a limit.
type page struct {
	objects     []store.Object
	objectCount int
	lastKey     string
	// hasMore is set if matching objects follow the page.
	hasMore bool
	// remainingCount is the number of objects after the page, as far as scanPage counted them.
	remainingCount int64
}

// scanPage determines which objects belong to a page, and returns the objects themselves if collectObjects is
// set. The function counts all objects after the page, up to maxRemainingItems, only if the selector matches
// every object.
func scanPage(selector *objectSelector, snapshot store.Snapshot, afterKey string, limit int, collectObjects bool) page {
	var found page
	snapshot.Scan(selector.namespace, afterKey, func(key string, change *store.Change) bool {
		if !selector.matches(change.Object) {
			return true
		}
		if found.objectCount >= limit {
			found.hasMore = true
			found.remainingCount++
			return selector.matchesAll && found.remainingCount < maxRemainingItems
		}
		if collectObjects {
			found.objects = append(found.objects, change.Object)
		}
		found.objectCount++
		found.lastKey = key
		return true
	})
	return found
}

// listPage returns a response with one page of a list. All lists and watches share the cached encoding of an
// object.
func (s *Server) listPage(r *request, selector objectSelector, snapshot store.Snapshot, afterKey string, limit int) (http1.Response, error) {
	asTable := r.Head.Method == http.MethodGet && prefersTable(r.Head.Header.Get("Accept"))
	if asTable && (limit == 0 || limit > maxTableRows) {
		limit = maxTableRows
	}
	meta := metav1.ListMeta{ResourceVersion: strconv.FormatInt(snapshot.Revision, 10)}
	var found page
	if limit > 0 {
		found = scanPage(&selector, snapshot, afterKey, limit, asTable)
	}
	if found.hasMore {
		token := continueToken{Revision: snapshot.Revision, After: found.lastKey}
		var err error
		if meta.Continue, err = token.encode(); err != nil {
			return http1.Response{}, err
		}
		if selector.matchesAll {
			meta.RemainingItemCount = &found.remainingCount
		}
		s.Store.KeepSnapshot(s.now, snapshot)
	}
	if asTable {
		return s.tableResponse(r, meta, found.objects)
	}
	stream := &listStream{server: s, selector: selector, snapshot: snapshot, lastScannedKey: afterKey, itemsLeft: limit, unlimited: limit == 0}
	return stream.response(r.resourceType, &meta)
}

// listStream encodes the objects of one snapshot while the list is sent, so that it need not hold the encoded
// list in memory. The snapshot keeps old states of changed objects in memory; therefore the stream ends early
// if the snapshot's revision is dropped from the history.
type listStream struct {
	server   *Server
	selector objectSelector
	snapshot store.Snapshot
	// lastScannedKey is the key of the last object that was written or skipped.
	lastScannedKey string
	// itemsLeft is the number of items that may still be written. It has no meaning if unlimited is set.
	itemsLeft    int
	unlimited    bool
	itemsWritten int
	// pendingText is sent before the next item.
	pendingText []byte
	broken      bool
}

// response returns a response whose body is the complete list if the list is small, and a stream if the list
// is large.
func (l *listStream) response(listedType *resourceType, meta *metav1.ListMeta) (http1.Response, error) {
	metaText, err := json.Marshal(meta)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode list metadata: %w", err)
	}
	l.pendingText = fmt.Appendf(nil, `{"kind":"%sList","apiVersion":"%s","metadata":%s,"items":[`, listedType.kind, listedType.groupVersion, metaText)
	body, done := l.Pull(nil, maxInlineListBytes)
	if done {
		return encodedJSONResponse(http.StatusOK, body), nil
	}
	l.pendingText = body
	return http1.Response{Status: http.StatusOK, Header: contentType(jsonType), Stream: l}, nil
}

// Pull implements http1.Stream.
func (l *listStream) Pull(b []byte, maxBytes int) ([]byte, bool) {
	if l.server.Store.Outdated(l.snapshot) {
		l.broken = true
		return b, true
	}
	targetLength := len(b) + maxBytes
	b = append(b, l.pendingText...)
	l.pendingText = nil
	done := true
	l.snapshot.Scan(l.selector.namespace, l.lastScannedKey, func(key string, change *store.Change) bool {
		if !l.unlimited && l.itemsLeft == 0 {
			return false
		}
		if len(b) >= targetLength {
			done = false
			return false
		}
		l.lastScannedKey = key
		if !l.selector.matches(change.Object) {
			return true
		}
		if l.itemsWritten > 0 {
			b = append(b, ',')
		}
		b = append(b, encodedJSON(change)...)
		l.itemsWritten++
		l.itemsLeft--
		return true
	})
	if done {
		b = append(b, "]}\n"...)
	}
	return b, done
}

// Close implements http1.Stream.
func (l *listStream) Close() {}

// Broken reports whether the stream ended before the list was complete. A stream ends early if the revision
// of its snapshot was dropped from the history.
func (l *listStream) Broken() bool { return l.broken }
