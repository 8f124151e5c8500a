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
	// maxInlineListBytes is the size up to which an encoded list is sent as a single response body. A larger
	// list is sent as a stream and encoded while it is sent.
	maxInlineListBytes = 64 << 10
	// maxTableRows is the maximum number of rows in a Table. The number is limited, because a Table is
	// encoded completely before it is sent. If a list has more objects, the response contains a continue
	// token for the next page.
	maxTableRows = 1000
	// maxRemainingItems is the maximum value of remainingItemCount, which is the number of list items after a
	// page.
	maxRemainingItems = 1 << 16
)

// These constants are the valid values of the query parameter resourceVersionMatch.
const (
	versionMatchExact        = "Exact"
	versionMatchNotOlderThan = "NotOlderThan"
)

// getObject serves GET and HEAD requests for a single object.
func (s *Server) getObject(r *request) (http1.Response, error) {
	change := s.Store.LastChange(r.resourceType.resource, r.namespace, r.name)
	if change == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	if prefersTable(r.Head.Header.Get("Accept")) {
		listMeta := metav1.ListMeta{ResourceVersion: change.Object.GetResourceVersion()}
		return s.tableResponse(r, listMeta, []store.Object{change.Object})
	}
	return encodedJSONResponse(http.StatusOK, cachedJSON(change)), nil
}

// listObjects serves GET and HEAD requests for a list of objects, and watch requests for such a list.
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

// listLimit returns the maximum number of objects in the response to a list request. The result is 0 if the
// number is unlimited.
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

// parseResourceVersion parses a resource version, which is a revision of the store as a decimal number. The
// result for an empty text is 0.
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

// listSnapshot returns the snapshot that contains the objects for the response to a list request. The
// requested page begins with the first object whose key is greater than the result afterKey.
func (s *Server) listSnapshot(r *request) (snapshot store.Snapshot, afterKey string, err error) {
	revision, err := parseResourceVersion(r.query.Get("resourceVersion"))
	if err != nil {
		return snapshot, "", err
	}
	versionMatch := r.query.Get("resourceVersionMatch")
	if token := r.query.Get("continue"); token != "" {
		if revision != 0 || versionMatch != "" {
			return snapshot, "", apierrors.NewBadRequest("specifying resource version is not allowed when using continue")
		}
		return s.continuedSnapshot(r, token)
	}
	switch {
	case versionMatch != "" && versionMatch != versionMatchExact && versionMatch != versionMatchNotOlderThan:
		return snapshot, "", apierrors.NewBadRequest("resourceVersionMatch: want Exact or NotOlderThan")
	case versionMatch != "" && r.query.Get("resourceVersion") == "":
		return snapshot, "", apierrors.NewBadRequest("resourceVersionMatch is forbidden unless resourceVersion is provided")
	case versionMatch == versionMatchExact && revision == 0:
		return snapshot, "", apierrors.NewBadRequest(`resourceVersionMatch "Exact" is forbidden for resourceVersion "0"`)
	case revision > s.Store.Revision():
		return snapshot, "", newResourceVersionTooLargeError(revision, s.Store.Revision())
	case versionMatch == versionMatchExact:
		snapshot, err = s.Store.FindSnapshot(s.now, r.resourceType.resource, revision)
		if err != nil {
			return snapshot, "", newResourceVersionExpiredError(fmt.Sprintf("too old resource version: %d", revision))
		}
		return snapshot, "", nil
	}
	return s.Store.Snapshot(r.resourceType.resource), "", nil
}

// continueToken identifies the position after a page of a list. Clients receive a continueToken as
// base64-encoded JSON.
type continueToken struct {
	// Revision is the revision of the snapshot from which all pages of the list are read.
	Revision int64 `json:"rv"`
	// After is the key of the last object on the page.
	After string `json:"after"`
}

func (t *continueToken) encode() (string, error) {
	tokenJSON, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode continue token: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(tokenJSON), nil
}

func decodeContinueToken(text string) (token continueToken, err error) {
	tokenJSON, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return token, fmt.Errorf("decode continue token: %w", err)
	}
	if err := json.Unmarshal(tokenJSON, &token); err != nil {
		return token, fmt.Errorf("decode continue token: %w", err)
	}
	return token, nil
}

// continuedSnapshot returns the snapshot to which a continue token refers. The next page of the list begins
// with the first object whose key is greater than the result afterKey.
func (s *Server) continuedSnapshot(r *request, tokenText string) (snapshot store.Snapshot, afterKey string, err error) {
	token, err := decodeContinueToken(tokenText)
	if err != nil {
		return snapshot, "", apierrors.NewBadRequest("continue key is not valid")
	}
	snapshot, err = s.Store.FindSnapshot(s.now, r.resourceType.resource, token.Revision)
	if err != nil {
		return snapshot, "", newResourceVersionExpiredError("The provided continue parameter is too old to display a consistent list result")
	}
	return snapshot, token.After, nil
}

// page describes one page of a list. A list is divided into pages if the number of objects in a response is
// limited.
type page struct {
	// objects contains the objects on the page. It is nil if scanPage was called with collectObjects set to
	// false.
	objects []store.Object
	// objectCount is the number of objects on the page.
	objectCount int
	// lastKey is the key of the last object on the page.
	lastKey string
	// hasMore is true if at least one matching object follows the page.
	hasMore bool
	// remainingCount is how many matching objects scanPage has counted after the page. The snapshot may
	// contain more of them, because scanPage may stop before the end of the snapshot.
	remainingCount int64
}

// scanPage determines which objects of a snapshot are on a page. The result contains the objects themselves
// only if collectObjects is true. If the selector matches every object, scanPage also counts the objects
// after the page, up to maxRemainingItems. Otherwise scanPage stops at the first matching object after the
// page.
func scanPage(selector *objectSelector, snapshot store.Snapshot, afterKey string, limit int, collectObjects bool) page {
	var result page
	snapshot.Scan(selector.namespace, afterKey, func(key string, change *store.Change) bool {
		if !selector.matches(change.Object) {
			return true
		}
		if result.objectCount >= limit {
			result.hasMore = true
			result.remainingCount++
			return selector.matchesAll && result.remainingCount < maxRemainingItems
		}
		if collectObjects {
			result.objects = append(result.objects, change.Object)
		}
		result.objectCount++
		result.lastKey = key
		return true
	})
	return result
}

// listPage returns a response that contains one page of a list, either as a Table or as a plain JSON list.
// A plain JSON list is built from the cached JSON encodings of the objects. Lists and watches share these
// cached encodings.
func (s *Server) listPage(r *request, selector objectSelector, snapshot store.Snapshot, afterKey string, limit int) (http1.Response, error) {
	asTable := r.Head.Method == http.MethodGet && prefersTable(r.Head.Header.Get("Accept"))
	if asTable && (limit == 0 || limit > maxTableRows) {
		limit = maxTableRows
	}
	listMeta := metav1.ListMeta{ResourceVersion: strconv.FormatInt(snapshot.Revision, 10)}
	var scannedPage page
	if limit > 0 {
		scannedPage = scanPage(&selector, snapshot, afterKey, limit, asTable)
	}
	if scannedPage.hasMore {
		token := continueToken{Revision: snapshot.Revision, After: scannedPage.lastKey}
		var err error
		if listMeta.Continue, err = token.encode(); err != nil {
			return http1.Response{}, err
		}
		if selector.matchesAll {
			listMeta.RemainingItemCount = &scannedPage.remainingCount
		}
		s.Store.KeepSnapshot(s.now, snapshot)
	}
	if asTable {
		return s.tableResponse(r, listMeta, scannedPage.objects)
	}
	stream := &listStream{server: s, selector: selector, snapshot: snapshot, lastScannedKey: afterKey, itemsLeft: limit, unlimited: limit == 0}
	return stream.response(r.resourceType, &listMeta)
}

// listStream is a stream that sends a list of those objects in a snapshot that match a selector. It encodes
// the objects while the list is sent, because the complete encoded list could take too much memory. The
// snapshot itself keeps outdated objects in memory. To limit this memory, the stream ends early if the
// store's history no longer contains the revision of the snapshot.
type listStream struct {
	server   *Server
	selector objectSelector
	snapshot store.Snapshot
	// lastScannedKey is the key of the last object that the stream has read from the snapshot. The stream
	// either has appended this object to the list or has skipped it because it does not match the selector.
	lastScannedKey string
	// itemsLeft is the number of items that may still be appended to the list. The stream ignores itemsLeft
	// if unlimited is true.
	itemsLeft    int
	unlimited    bool
	itemsWritten int
	// pendingText is text that Pull appends before the next item, such as the beginning of the list.
	pendingText []byte
	// broken is true if the stream ended before the list was complete.
	broken bool
}

// response returns the HTTP response that contains the list. A small list is sent as a single response
// body, and a large list is sent as a stream.
func (l *listStream) response(listedType *resourceType, listMeta *metav1.ListMeta) (http1.Response, error) {
	metaText, err := json.Marshal(listMeta)
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

// Pull appends the next items of the list to b and reports whether the stream ends. It implements
// http1.Stream.
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
		b = append(b, cachedJSON(change)...)
		l.itemsWritten++
		l.itemsLeft--
		return true
	})
	if done {
		b = append(b, "]}\n"...)
	}
	return b, done
}

// Close implements http1.Stream. It does nothing, because a listStream holds no resources to be released.
func (l *listStream) Close() {}

// Broken reports whether the stream ended before the list was complete. This happens if the store's history
// no longer contains the revision of the snapshot.
func (l *listStream) Broken() bool { return l.broken }
