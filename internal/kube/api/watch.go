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
	maxChangesPerRead   = 512

	// fewWatches is the number of watches up to which changes are sent at once; batchDelayPerWatch and maxBatchDelay bound the delay above it.
	fewWatches         = 50
	batchDelayPerWatch = placer.Seconds(4e-6)
	maxBatchDelay      = placer.Seconds(0.05)
)

// WatchBatchDelay is the time for which changes are batched before they are sent to watches: none while there are few watches, and a few
// microseconds for each of many, so that sending takes a bounded part of the time whatever the rate of changes.
func WatchBatchDelay(watches int) placer.Seconds {
	if watches <= fewWatches {
		return 0
	}
	return min(placer.Seconds(watches)*batchDelayPerWatch, maxBatchDelay)
}

// OpenWatches returns the number of open watches.
func (s *Server) OpenWatches() int { return len(s.watchers) }

// SetTime sets the Unix time for timeouts and bookmarks of watches. Pull the streams after it.
func (s *Server) SetTime(now placer.Seconds) { s.now = now }

// CloseWatches ends every watch at its next pull and rejects new ones.
func (s *Server) CloseWatches() { s.closing = true }

// watchOptions are the parameters of a watch.
type watchOptions struct {
	timeout         placer.Seconds
	bookmarks       bool
	initialEvents   bool // begin with the present objects as events
	markInitialEnd  bool // a bookmark ends the initial events
	startAtPresent  bool // begin with the next change
	resourceVersion int64
}

// parseWatchOptions reads the parameters of a watch that begins at a resource version.
func (r *request) parseWatchOptions(resourceVersion int64) (watchOptions, error) {
	options := watchOptions{
		timeout:         defaultWatchTimeout,
		bookmarks:       isTrue(r.query.Get("allowWatchBookmarks")),
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
	options.markInitialEnd = options.initialEvents
	options.startAtPresent = !options.initialEvents && resourceVersion == 0
	if options.markInitialEnd && !options.bookmarks {
		return options, apierrors.NewBadRequest("sendInitialEvents needs allowWatchBookmarks")
	}
	return options, nil
}

// watchObjects serves a watch.
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
	if wantsBinary(r.Head.Header.Get("Accept")) {
		w.binary = true
		mediaType = binaryWatch
	}
	if s.watchers == nil {
		s.watchers = map[*watcher]struct{}{}
	}
	s.watchers[w] = struct{}{}
	return http1.Response{Status: http.StatusOK, Header: contentType(mediaType), Stream: w}, nil
}

// newWatcher returns a watcher at its position in the history, or an error if that position does not exist yet or no longer.
func (s *Server) newWatcher(selector objectSelector, options watchOptions) (*watcher, error) {
	w := &watcher{
		server:         s,
		selector:       selector,
		revision:       options.resourceVersion,
		deadline:       s.now + options.timeout,
		bookmarks:      options.bookmarks,
		nextBookmarkAt: s.now + bookmarkInterval,
		markInitialEnd: options.markInitialEnd,
	}
	current := s.Store.Rev()
	if options.resourceVersion > current {
		return nil, newRevisionTooLarge(options.resourceVersion, current)
	}
	resource := selector.resourceType.resource
	if options.initialEvents {
		snapshot := s.Store.Snapshot(resource)
		w.initialSnapshot = &snapshot
		w.revision = snapshot.Rev
		return w, nil
	}
	if options.startAtPresent {
		w.revision = current
	}
	if _, err := s.Store.Since(resource, w.revision, 1); err != nil {
		return nil, newWatchExpired(options.resourceVersion, current)
	}
	return w, nil
}

// newWatchExpired is the answer to a watch whose position is no longer in the history.
func newWatchExpired(revision, current int64) *apierrors.StatusError {
	return newRevisionExpired(fmt.Sprintf("too old resource version: %d (%d)", revision, current))
}

// watcher is one watch: a position in the history of a resource. It has no queue: changes that were not sent yet remain in the history, and a
// watch whose position has left the history gets an error event and ends.
type watcher struct {
	server          *Server
	selector        objectSelector
	revision        int64 // changes up to here have been sent
	deadline        placer.Seconds
	bookmarks       bool
	nextBookmarkAt  placer.Seconds
	initialSnapshot *store.Snapshot // whose objects are sent first; nil once they were sent
	after           string          // key of the last object of the initial snapshot that was sent or skipped
	markInitialEnd  bool            // a bookmark ends the initial events
	binary          bool            // in the protobuf encoding
}

// Pull implements http1.Stream.
func (w *watcher) Pull(b []byte, room int) ([]byte, bool) {
	limit := len(b) + room
	if w.initialSnapshot != nil && w.server.Store.Outdated(*w.initialSnapshot) {
		return w.appendExpired(b, w.initialSnapshot.Rev), true
	}
	b = w.appendInitialEvents(b, limit)
	b, inHistory := w.appendChanges(b, limit)
	if !inHistory {
		return w.appendExpired(b, w.revision), true
	}
	return w.appendTimed(b)
}

// Close implements http1.Stream.
func (w *watcher) Close() { delete(w.server.watchers, w) }

// appendInitialEvents appends the objects of the initial snapshot, up to a length.
func (w *watcher) appendInitialEvents(b []byte, limit int) []byte {
	for w.initialSnapshot != nil && len(b) < limit {
		scanned := 0
		w.initialSnapshot.Scan(w.selector.namespace, w.after, func(key string, change *store.Change) bool {
			w.after = key
			scanned++
			if w.selector.matches(change.Object) {
				b = w.appendChange(b, watch.Added, change)
			}
			return len(b) < limit
		})
		complete := len(b) < limit || scanned == 0
		if !complete {
			continue
		}
		w.initialSnapshot = nil
		if w.markInitialEnd {
			b = w.appendBookmark(b, true)
		}
	}
	return b
}

// appendChanges appends the changes after the watch's position in the history, up to a length. It returns false if the position has left the
// history.
func (w *watcher) appendChanges(b []byte, limit int) (out []byte, inHistory bool) {
	history := w.server.Store
	for w.initialSnapshot == nil && len(b) < limit && w.revision < history.Rev() {
		changes, err := history.Since(w.selector.resourceType.resource, w.revision, maxChangesPerRead)
		if err != nil {
			return b, false
		}
		if len(changes) == 0 {
			w.revision = history.Rev()
			break
		}
		for _, change := range changes {
			b = w.appendVisibleChange(b, change)
			w.revision = change.Rev
			if len(b) >= limit {
				break
			}
		}
	}
	return b, true
}

// appendTimed appends a bookmark if one is due, and reports whether the watch ends.
func (w *watcher) appendTimed(b []byte) ([]byte, bool) {
	if w.server.closing {
		return b, true
	}
	timedOut := w.server.now >= w.deadline
	bookmarkDue := timedOut || w.server.now >= w.nextBookmarkAt
	if bookmarkDue && w.bookmarks && w.initialSnapshot == nil {
		b = w.appendBookmark(b, false)
	}
	return b, timedOut
}

// appendVisibleChange appends a change as seen through the watch's selector: an object that begins to match is added, and one that no longer
// matches is deleted.
func (w *watcher) appendVisibleChange(b []byte, change *store.Change) []byte {
	matches := change.Op != store.Deleted && w.selector.matches(change.Object)
	matched := change.Prev != nil && w.selector.matches(change.Prev)
	switch {
	case matches && matched:
		return w.appendChange(b, watch.Modified, change)
	case matches:
		return w.appendChange(b, watch.Added, change)
	case matched && change.Op == store.Deleted:
		return w.appendChange(b, watch.Deleted, change)
	case matched:
		// The last state that matched, with the revision at which it no longer did.
		last := change.Prev.DeepCopyObject().(store.Object)
		last.SetResourceVersion(strconv.FormatInt(change.Rev, 10))
		return w.appendObject(b, watch.Deleted, last)
	}
	return b
}

// appendExpired appends the event that ends a watch whose position is no longer in the history.
func (w *watcher) appendExpired(b []byte, revision int64) []byte {
	status := newWatchExpired(revision, w.server.Store.Rev()).Status()
	status.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	return w.appendObject(b, watch.Error, &status)
}

func (w *watcher) appendBookmark(b []byte, endOfInitialEvents bool) []byte {
	w.nextBookmarkAt = w.server.now + bookmarkInterval
	bookmark := w.selector.resourceType.newObject()
	bookmark.SetResourceVersion(strconv.FormatInt(w.revision, 10))
	if endOfInitialEvents {
		bookmark.SetAnnotations(map[string]string{metav1.InitialEventsAnnotationKey: "true"})
	}
	return w.appendObject(b, watch.Bookmark, bookmark)
}

// appendChange appends an event with the object of a change, which is encoded once for all watches.
func (w *watcher) appendChange(b []byte, event watch.EventType, change *store.Change) []byte {
	if w.binary {
		return appendBinaryEvent(b, event, encodedBinary(change))
	}
	return appendEvent(b, event, encoded(change))
}

// appendObject appends an event with an object that is encoded for this watch only.
func (w *watcher) appendObject(b []byte, event watch.EventType, o runtime.Object) []byte {
	if w.binary {
		return appendBinaryEvent(b, event, encodeBinary(o))
	}
	return appendEvent(b, event, encodeOrNull(o))
}

// appendEvent appends an event with an object that is encoded as JSON.
func appendEvent(b []byte, event watch.EventType, object []byte) []byte {
	b = append(b, `{"type":"`...)
	b = append(b, event...)
	b = append(b, `","object":`...)
	b = append(b, object...)
	return append(b, "}\n"...)
}
