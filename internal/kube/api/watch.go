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
	// bookmarkInterval is the time between two bookmark events of a watch.
	bookmarkInterval = placer.Seconds(60)
	// defaultWatchTimeout is the time after which a watch ends if the client requests no other time.
	defaultWatchTimeout = placer.Seconds(1800)
	// maxChangesPerRead is the maximum number of changes that a watch reads from the store's history with
	// one call of ChangesSince.
	maxChangesPerRead = 512

	// maxUnbatchedWatches is the largest number of open watches for which the batch delay is 0.
	maxUnbatchedWatches = 50
	// batchDelayPerWatch is the time that each open watch adds to the batch delay.
	batchDelayPerWatch = placer.Seconds(4e-6)
	// maxBatchDelay is the maximum batch delay.
	maxBatchDelay = placer.Seconds(0.05)
)

// WatchBatchDelay returns the batch delay, which is the time for which changes are collected before they
// are sent to the open watches. The delay is 0 for a small number of watches. For a larger number of
// watches, the delay grows by a few microseconds per watch. The delay bounds the fraction of time that is
// spent on sending, even if objects change at a high rate.
func WatchBatchDelay(openWatches int) placer.Seconds {
	if openWatches <= maxUnbatchedWatches {
		return 0
	}
	return min(placer.Seconds(openWatches)*batchDelayPerWatch, maxBatchDelay)
}

// OpenWatches returns the number of open watches.
func (s *Server) OpenWatches() int { return len(s.watchers) }

// SetTime sets the Unix time that determines which watches time out and which bookmarks are due. The caller
// must call SetTime before it calls Pull on the stream of a watch.
func (s *Server) SetTime(now placer.Seconds) { s.now = now }

// CloseWatches ends all open watches and makes the server reject requests for new watches. The stream of an
// open watch ends with the next call of its Pull method.
func (s *Server) CloseWatches() { s.closing = true }

// watchOptions contains the parameters of a watch request.
type watchOptions struct {
	// timeout is the time after which the watch ends.
	timeout placer.Seconds
	// allowBookmarks is true if the client accepts bookmark events.
	allowBookmarks bool
	// initialEvents makes the watch start with an event for each object that currently exists.
	initialEvents bool
	// initialEventsBookmark makes the watch send a bookmark after the initial events.
	initialEventsBookmark bool
	// startAtCurrentRevision makes the watch start with the first change after the current revision, without
	// initial events.
	startAtCurrentRevision bool
	// resourceVersion is the resource version in the request, or 0 if the request states none.
	resourceVersion int64
}

// parseWatchOptions returns the options that the query parameters of a watch request describe. The argument
// resourceVersion is the resource version in the request, or 0 if the request states none.
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
	versionMatch := r.query.Get("resourceVersionMatch")
	sendInitialEvents := r.query.Get("sendInitialEvents")
	if sendInitialEvents == "" {
		if versionMatch != "" {
			return options, apierrors.NewBadRequest("resourceVersionMatch is forbidden for watch unless sendInitialEvents is provided")
		}
		return options, nil
	}
	if versionMatch != versionMatchNotOlderThan {
		return options, apierrors.NewBadRequest("sendInitialEvents: resourceVersionMatch must be NotOlderThan")
	}
	options.initialEvents = isTrue(sendInitialEvents)
	options.initialEventsBookmark = options.initialEvents
	options.startAtCurrentRevision = !options.initialEvents && resourceVersion == 0
	if options.initialEventsBookmark && !options.allowBookmarks {
		return options, apierrors.NewBadRequest("sendInitialEvents needs allowWatchBookmarks")
	}
	return options, nil
}

// watchObjects serves a watch request. The response contains the stream of a new watcher.
func (s *Server) watchObjects(r *request, selector objectSelector) (http1.Response, error) {
	resourceVersion, err := parseResourceVersion(r.query.Get("resourceVersion"))
	if err != nil {
		return http1.Response{}, err
	}
	if s.closing {
		return http1.Response{}, newServiceUnavailableError("the scheduler stops")
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
		w.useProtobuf = true
		mediaType = protobufWatchType
	}
	if s.watchers == nil {
		s.watchers = map[*watcher]struct{}{}
	}
	s.watchers[w] = struct{}{}
	return http1.Response{Status: http.StatusOK, Header: contentType(mediaType), Stream: w}, nil
}

// newWatcher returns a watcher that starts at the requested revision. It returns an error if this revision
// does not exist yet or if the store's history no longer contains it.
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
	currentRevision := s.Store.Revision()
	if options.resourceVersion > currentRevision {
		return nil, newResourceVersionTooLargeError(options.resourceVersion, currentRevision)
	}
	resource := selector.resourceType.resource
	if options.initialEvents {
		snapshot := s.Store.Snapshot(resource)
		w.initialSnapshot = &snapshot
		w.revision = snapshot.Revision
		return w, nil
	}
	if options.startAtCurrentRevision {
		w.revision = currentRevision
	}
	if _, err := s.Store.ChangesSince(resource, w.revision, 1); err != nil {
		return nil, newWatchExpiredError(options.resourceVersion, currentRevision)
	}
	return w, nil
}

// newWatchExpiredError returns the error for a watch if the store's history no longer contains the changes
// that the watch needs.
func newWatchExpiredError(revision, currentRevision int64) *apierrors.StatusError {
	return newResourceVersionExpiredError(fmt.Sprintf("too old resource version: %d (%d)", revision, currentRevision))
}

// watcher is the stream of events of an open watch. A watcher has no event queue: it stores the revision up
// to which changes have been sent, and reads later changes from the store's history. If the history no longer
// contains these changes, the watcher sends an error event and ends.
type watcher struct {
	server   *Server
	selector objectSelector
	// revision is the revision up to which changes have been sent.
	revision int64
	// deadline is the Unix time at which the watch times out.
	deadline placer.Seconds
	// allowBookmarks is true if the client accepts bookmark events.
	allowBookmarks bool
	// nextBookmarkAt is the Unix time at which the next bookmark is due.
	nextBookmarkAt placer.Seconds
	// initialSnapshot contains the objects for the initial events. It is nil if the watch has no initial
	// events or if the watcher has sent all of them.
	initialSnapshot *store.Snapshot
	// lastScannedKey is the key of the last object that the watcher has read from the initial snapshot. The
	// watcher either has sent this object or has skipped it because it does not match the selector.
	lastScannedKey string
	// initialEventsBookmark makes the watcher send a bookmark after the initial events.
	initialEventsBookmark bool
	// useProtobuf makes the watcher send events in the protobuf encoding instead of JSON.
	useProtobuf bool
}

// Pull appends the next events of the watch to b and reports whether the watch ends. It implements
// http1.Stream.
func (w *watcher) Pull(b []byte, maxBytes int) ([]byte, bool) {
	targetLength := len(b) + maxBytes
	if w.initialSnapshot != nil && w.server.Store.Outdated(*w.initialSnapshot) {
		return w.appendExpiredError(b, w.initialSnapshot.Revision), true
	}
	b = w.appendInitialEvents(b, targetLength)
	b, inHistory := w.appendChanges(b, targetLength)
	if !inHistory {
		return w.appendExpiredError(b, w.revision), true
	}
	return w.appendDueBookmark(b)
}

// Close removes the watcher from the open watches of the server. It implements http1.Stream.
func (w *watcher) Close() { delete(w.server.watchers, w) }

// appendInitialEvents appends the initial events that have not been sent yet, until b has reached the
// target length. Each object in the initial snapshot has an initial event if the object matches the
// selector.
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
		allObjectsScanned := len(b) < targetLength || scannedCount == 0
		if !allObjectsScanned {
			continue
		}
		w.initialSnapshot = nil
		if w.initialEventsBookmark {
			b = w.appendBookmark(b, true)
		}
	}
	return b
}

// appendChanges appends events for the changes that have not been sent yet, until b has reached the target
// length. The result inHistory is false if the store's history no longer contains these changes.
func (w *watcher) appendChanges(b []byte, targetLength int) (out []byte, inHistory bool) {
	objectStore := w.server.Store
	for w.initialSnapshot == nil && len(b) < targetLength && w.revision < objectStore.Revision() {
		changes, err := objectStore.ChangesSince(w.selector.resourceType.resource, w.revision, maxChangesPerRead)
		if err != nil {
			return b, false
		}
		if len(changes) == 0 {
			w.revision = objectStore.Revision()
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
// the watch has timed out or because the server closes all watches.
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

// appendFilteredChange appends the event that the watch sends for the change of an object. The event type
// is ADDED if the object starts to match the selector of the watch, DELETED if the object was deleted or no
// longer matches, and MODIFIED if the object matches before and after the change. Nothing is appended if
// the object matches neither before nor after the change.
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
		// The event contains the object in the last state in which it matched the selector. The resource
		// version in the event is the revision of the change after which the object no longer matches.
		lastMatching := change.Previous.DeepCopyObject().(store.Object)
		lastMatching.SetResourceVersion(strconv.FormatInt(change.Revision, 10))
		return w.appendObject(b, watch.Deleted, lastMatching)
	}
	return b
}

// appendExpiredError appends the error event for a watch that ends because the store's history no longer
// contains the given revision.
func (w *watcher) appendExpiredError(b []byte, revision int64) []byte {
	status := newWatchExpiredError(revision, w.server.Store.Revision()).Status()
	status.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	return w.appendObject(b, watch.Error, &status)
}

// appendBookmark appends a bookmark event. The resource version in the event is the revision up to which
// all changes have been sent.
func (w *watcher) appendBookmark(b []byte, endOfInitialEvents bool) []byte {
	w.nextBookmarkAt = w.server.now + bookmarkInterval
	bookmark := w.selector.resourceType.newObject()
	bookmark.SetResourceVersion(strconv.FormatInt(w.revision, 10))
	if endOfInitialEvents {
		bookmark.SetAnnotations(map[string]string{metav1.InitialEventsAnnotationKey: "true"})
	}
	return w.appendObject(b, watch.Bookmark, bookmark)
}

// appendChange appends an event that contains the object in a store.Change. All watches share the cached
// encoding of this object.
func (w *watcher) appendChange(b []byte, eventType watch.EventType, change *store.Change) []byte {
	if w.useProtobuf {
		return appendProtobufEvent(b, eventType, cachedProtobuf(change))
	}
	return appendJSONEvent(b, eventType, cachedJSON(change))
}

// appendObject appends an event whose object is sent only by this watch. The encoding of such an object is
// not cached.
func (w *watcher) appendObject(b []byte, eventType watch.EventType, o runtime.Object) []byte {
	if w.useProtobuf {
		return appendProtobufEvent(b, eventType, encodeProtobuf(o))
	}
	return appendJSONEvent(b, eventType, encodeJSONOrNull(o))
}

// appendJSONEvent appends a JSON event with the given type to b. The argument encodedObject is the JSON
// encoding of the object in the event.
func appendJSONEvent(b []byte, eventType watch.EventType, encodedObject []byte) []byte {
	b = append(b, `{"type":"`...)
	b = append(b, eventType...)
	b = append(b, `","object":`...)
	b = append(b, encodedObject...)
	return append(b, "}\n"...)
}
