package api

import (
	"fmt"
	"net/http"
	"strconv"

	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
	"heathshed/placer"
)

const (
	bookmarkInterval    = placer.Seconds(60)
	defaultWatchTimeout = placer.Seconds(1800)
	// maxChangesPerRead is the maximum number of changes that a watch reads from the history in one step.
	maxChangesPerRead = 512

	// maxUnbatchedWatches is the largest number of open watches for which changes are sent without delay.
	maxUnbatchedWatches = 50
	// batchDelayPerWatch and maxBatchDelay determine the batching delay if more watches are open.
	batchDelayPerWatch = placer.Seconds(4e-6)
	maxBatchDelay      = placer.Seconds(0.05)
)

// WatchBatchDelay returns how long changes are batched before they are sent to watches. The delay is 0 for a
// small number of watches. For a larger number it grows by a few microseconds per watch, so that sending
// takes a bounded fraction of the time at any rate of changes.
func WatchBatchDelay(watches int) placer.Seconds {
	if watches <= maxUnbatchedWatches {
		return 0
	}
	return min(placer.Seconds(watches)*batchDelayPerWatch, maxBatchDelay)
}

// OpenWatches returns the number of open watches.
func (s *Server) OpenWatches() int { return len(s.watchers) }

// SetTime sets the Unix time that determines which watches time out and which bookmarks are due. The caller
// must call SetTime before it pulls watch streams.
func (s *Server) SetTime(now placer.Seconds) { s.now = now }

// CloseWatches makes every open watch end when its stream is pulled next. New watches are rejected from then
// on.
func (s *Server) CloseWatches() { s.closing = true }

// watchOptions contains the parameters of a watch request.
type watchOptions struct {
	timeout        placer.Seconds
	allowBookmarks bool
	// initialEvents makes the watch start with an event for each current object.
	initialEvents bool
	// initialEventsBookmark makes the watch send a bookmark after the initial events.
	initialEventsBookmark bool
	// startAtCurrent makes the watch start after the current revision, without initial events.
	startAtCurrent  bool
	resourceVersion int64
}

// parseWatchOptions parses the query parameters of a watch request that starts at a resource version.
func (r *request) parseWatchOptions(resourceVersion int64) (watchOptions, error) {
	options := watchOptions{
		timeout:         defaultWatchTimeout,
		allowBookmarks:  isTrue(r.query.Get("allowWatchBookmarks")),
		initialEvents:   resourceVersion == 0,
		resourceVersion: resourceVersion,
	}
	if text := r.query.Get("timeoutSeconds"); text != "" {
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 {
			return options, apierrors.NewBadRequest("timeoutSeconds: want a number of 0 or more")
		}
		if seconds > 0 {
			options.timeout = placer.Seconds(seconds)
		}
	}
	match := r.query.Get("resourceVersionMatch")
	sendInitialEvents := r.query.Get("sendInitialEvents")
	if sendInitialEvents == "" {
		if match != "" {
			return options, apierrors.NewBadRequest("resourceVersionMatch is forbidden for watch unless sendInitialEvents is provided")
		}
		return options, nil
	}
	if match != matchNotOlderThan {
		return options, apierrors.NewBadRequest("sendInitialEvents: resourceVersionMatch must be NotOlderThan")
	}
	options.initialEvents = isTrue(sendInitialEvents)
	options.initialEventsBookmark = options.initialEvents
	options.startAtCurrent = !options.initialEvents && resourceVersion == 0
	if options.initialEventsBookmark && !options.allowBookmarks {
		return options, apierrors.NewBadRequest("sendInitialEvents needs allowWatchBookmarks")
	}
	return options, nil
}

// watchObjects serves a watch request.
func (s *Server) watchObjects(r *request, selector objectSelector) (http1.Response, error) {
	resourceVersion, err := parseResourceVersion(r.query.Get("resourceVersion"))
	if err != nil {
		return http1.Response{}, err
	}
	if s.closing {
		return http1.Response{}, newServiceUnavailable("the scheduler stops")
	}
	options, err := r.parseWatchOptions(resourceVersion)
	if err != nil {
		return http1.Response{}, err
	}
	w, err := s.newWatcher(selector, options)
	if err != nil {
		return http1.Response{}, err
	}
	mediaType := jsonType
	if prefersProtobuf(r.Head.Header.Get("Accept")) {
		w.protobuf = true
		mediaType = protobufWatchType
	}
	if s.watchers == nil {
		s.watchers = map[*watcher]struct{}{}
	}
	s.watchers[w] = struct{}{}
	return http1.Response{Status: http.StatusOK, Header: contentType(mediaType), Stream: w}, nil
}

// newWatcher returns a watcher that starts at the requested position in the history. It returns an error if
// this position does not exist yet or was dropped from the history.
func (s *Server) newWatcher(selector objectSelector, options watchOptions) (*watcher, error) {
	w := &watcher{
		server:                s,
		selector:              selector,
		revision:              options.resourceVersion,
		deadline:              s.now + options.timeout,
		allowBookmarks:        options.allowBookmarks,
		nextBookmarkAt:        s.now + bookmarkInterval,
		initialEventsBookmark: options.initialEventsBookmark,
	}
	current := s.Store.Revision()
	if options.resourceVersion > current {
		return nil, newRevisionTooLarge(options.resourceVersion, current)
	}
	resource := selector.resourceType.resource
	if options.initialEvents {
		snapshot := s.Store.Snapshot(resource)
		w.initialSnapshot = &snapshot
		w.revision = snapshot.Revision
		return w, nil
	}
	if options.startAtCurrent {
		w.revision = current
	}
	if _, err := s.Store.ChangesSince(resource, w.revision, 1); err != nil {
		return nil, newWatchExpired(options.resourceVersion, current)
	}
	return w, nil
}

// newWatchExpired returns the error for a watch whose position was dropped from the history.
func newWatchExpired(revision, current int64) *apierrors.StatusError {
	return newRevisionExpired(fmt.Sprintf("too old resource version: %d (%d)", revision, current))
}

// watcher is an open watch, represented by a position in the history of a resource. A watcher has no event
// queue: it reads unsent changes from the history. A watch whose position is dropped from the history
// receives an error event and ends.
type watcher struct {
	server   *Server
	selector objectSelector
	// revision is the revision up to which changes have been sent.
	revision       int64
	deadline       placer.Seconds
	allowBookmarks bool
	nextBookmarkAt placer.Seconds
	// initialSnapshot contains the objects to be sent first. It is nil once they have been sent.
	initialSnapshot *store.Snapshot
	// lastScannedKey is the key of the last object of the initial snapshot that was sent or skipped.
	lastScannedKey string
	// initialEventsBookmark requests a bookmark after the initial events.
	initialEventsBookmark bool
	// protobuf selects the protobuf encoding instead of JSON.
	protobuf bool
}

// Pull implements http1.Stream.
func (w *watcher) Pull(b []byte, maxBytes int) ([]byte, bool) {
	targetLength := len(b) + maxBytes
	if w.initialSnapshot != nil && w.server.Store.Outdated(*w.initialSnapshot) {
		return w.appendExpired(b, w.initialSnapshot.Revision), true
	}
	b = w.appendInitialEvents(b, targetLength)
	b, inHistory := w.appendChanges(b, targetLength)
	if !inHistory {
		return w.appendExpired(b, w.revision), true
	}
	return w.appendDueBookmark(b)
}

// Close implements http1.Stream.
func (w *watcher) Close() { delete(w.server.watchers, w) }

// appendInitialEvents appends the objects of the initial snapshot until b has reached the target length.
func (w *watcher) appendInitialEvents(b []byte, targetLength int) []byte {
	for w.initialSnapshot != nil && len(b) < targetLength {
		scannedCount := 0
		w.initialSnapshot.Scan(w.selector.namespace, w.lastScannedKey, func(key string, change *store.Change) bool {
			w.lastScannedKey = key
			scannedCount++
			if w.selector.matches(change.Object) {
				b = w.appendChange(b, watch.Added, change)
			}
			return len(b) < targetLength
		})
		complete := len(b) < targetLength || scannedCount == 0
		if !complete {
			continue
		}
		w.initialSnapshot = nil
		if w.initialEventsBookmark {
			b = w.appendBookmark(b, true)
		}
	}
	return b
}

// appendChanges appends the changes after the watch's position in the history until b has reached the target
// length. The result inHistory is false if the position was dropped from the history.
func (w *watcher) appendChanges(b []byte, targetLength int) (out []byte, inHistory bool) {
	history := w.server.Store
	for w.initialSnapshot == nil && len(b) < targetLength && w.revision < history.Revision() {
		changes, err := history.ChangesSince(w.selector.resourceType.resource, w.revision, maxChangesPerRead)
		if err != nil {
			return b, false
		}
		if len(changes) == 0 {
			w.revision = history.Revision()
			break
		}
		for _, change := range changes {
			b = w.appendFilteredChange(b, change)
			w.revision = change.Revision
			if len(b) >= targetLength {
				break
			}
		}
	}
	return b, true
}

// appendDueBookmark appends a bookmark if one is due. It also reports whether the watch ends, either because
// it timed out or because all watches are being closed.
func (w *watcher) appendDueBookmark(b []byte) ([]byte, bool) {
	if w.server.closing {
		return b, true
	}
	timedOut := w.server.now >= w.deadline
	bookmarkDue := timedOut || w.server.now >= w.nextBookmarkAt
	if bookmarkDue && w.allowBookmarks && w.initialSnapshot == nil {
		b = w.appendBookmark(b, false)
	}
	return b, timedOut
}

// appendFilteredChange appends a change as an event from the perspective of the watch's selector. An object
// that starts to match the selector is reported as ADDED, and an object that no longer matches is reported as
// DELETED.
func (w *watcher) appendFilteredChange(b []byte, change *store.Change) []byte {
	matchesNow := change.Op != store.Deleted && w.selector.matches(change.Object)
	matchedBefore := change.Previous != nil && w.selector.matches(change.Previous)
	switch {
	case matchesNow && matchedBefore:
		return w.appendChange(b, watch.Modified, change)
	case matchesNow:
		return w.appendChange(b, watch.Added, change)
	case matchedBefore && change.Op == store.Deleted:
		return w.appendChange(b, watch.Deleted, change)
	case matchedBefore:
		// The event contains the last object state that matched, with the revision of the change that ended
		// the match.
		lastMatching := change.Previous.DeepCopyObject().(store.Object)
		lastMatching.SetResourceVersion(strconv.FormatInt(change.Revision, 10))
		return w.appendObject(b, watch.Deleted, lastMatching)
	}
	return b
}

// appendExpired appends the error event that ends a watch whose position was dropped from the history.
func (w *watcher) appendExpired(b []byte, revision int64) []byte {
	status := newWatchExpired(revision, w.server.Store.Revision()).Status()
	status.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	return w.appendObject(b, watch.Error, &status)
}

// appendBookmark appends a bookmark event with the revision up to which the watch is complete.
func (w *watcher) appendBookmark(b []byte, endOfInitialEvents bool) []byte {
	w.nextBookmarkAt = w.server.now + bookmarkInterval
	bookmark := w.selector.resourceType.newObject()
	bookmark.SetResourceVersion(strconv.FormatInt(w.revision, 10))
	if endOfInitialEvents {
		bookmark.SetAnnotations(map[string]string{metav1.InitialEventsAnnotationKey: "true"})
	}
	return w.appendObject(b, watch.Bookmark, bookmark)
}

// appendChange appends an event with the object of a change. All watches share the cached encoding of the
// object.
func (w *watcher) appendChange(b []byte, eventType watch.EventType, change *store.Change) []byte {
	if w.protobuf {
		return appendProtobufEvent(b, eventType, encodedProtobuf(change))
	}
	return appendJSONEvent(b, eventType, encodedJSON(change))
}

// appendObject appends an event with an object that only this watch sends, so its encoding is not cached.
func (w *watcher) appendObject(b []byte, eventType watch.EventType, o runtime.Object) []byte {
	if w.protobuf {
		return appendProtobufEvent(b, eventType, encodeProtobuf(o))
	}
	return appendJSONEvent(b, eventType, encodeJSONOrNull(o))
}

// appendJSONEvent appends an event with an object that is already encoded as JSON.
func appendJSONEvent(b []byte, eventType watch.EventType, encodedObject []byte) []byte {
	b = append(b, `{"type":"`...)
	b = append(b, eventType...)
	b = append(b, `","object":`...)
	b = append(b, encodedObject...)
	return append(b, "}\n"...)
}
