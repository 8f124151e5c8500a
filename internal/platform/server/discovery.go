//go:build linux

package server

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"heathshed/internal/control/retry"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
	"heathshed/internal/netio/sse"
)

// discoveryPath is the path on the discovery server that streams the events of the node registry.
const discoveryPath = "/bulletins"

// watchConnectTimeout and watchIdleTimeout are the timeouts of the discovery watch.
const (
	// watchConnectTimeout is the maximum duration of a dial to the discovery server.
	watchConnectTimeout = 500 * time.Millisecond
	// watchIdleTimeout is the time without data after which the watch abandons a discovery stream. The
	// discovery server sends a comment every second, so a longer silence means that the stream is broken.
	watchIdleTimeout = 2200 * time.Millisecond
)

// minWatchBackoff and maxWatchBackoff are the bounds of the delay between the failure of a discovery stream
// and the request for the next stream.
const (
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = time.Second
)

// maxEventBytes is the maximum size of one discovery event in bytes.
const maxEventBytes = 2 << 20

// Each of these errors ends a discovery stream and is logged with the warning "discovery watch failed".
var (
	errStreamIdle       = errors.New("discovery server sent no data within the idle timeout")
	errStreamEnded      = errors.New("discovery server ended the stream")
	errEventGap         = errors.New("discovery events are missing before the received event")
	errUnexpectedStatus = errors.New("discovery server responded with a status other than 200")
)

// discoveryWatch receives the events of the node registry as a stream of server-sent events. If the stream
// ends or is idle for watchIdleTimeout, the watch requests another stream, which continues after the last
// event received.
type discoveryWatch struct {
	server     *Server
	addr       string
	client     *httpc.Client
	call       *httpc.Call      // call is the HTTP request for the stream, or nil while the watch waits for a retry.
	stream     *discoveryStream // stream handles the response to call, or is nil while the watch waits for a retry.
	idleTimer  *eventloop.Timer
	backoff    retry.Backoff
	retryTimer *eventloop.Timer
}

// newDiscoveryWatch returns a watch that has not requested a stream yet.
func newDiscoveryWatch(server *Server, addr string) *discoveryWatch {
	w := &discoveryWatch{server: server, addr: addr, backoff: newBackoff(minWatchBackoff, maxWatchBackoff)}
	w.client = w.newClient()
	return w
}

func (w *discoveryWatch) newClient() *httpc.Client {
	client := httpc.New(w.server.loop, w.addr)
	client.ConnectTimeout = watchConnectTimeout
	return client
}

// moveTo makes the watch continue with the discovery server at another address. The watch requests the events
// that follow the last event received.
func (w *discoveryWatch) moveTo(addr string) {
	w.addr = addr
	w.client = w.newClient()
	w.backoff.Reset()
	w.open()
}

// open requests a stream of the events that follow the last event received. It cancels the previous request
// for a stream if the response to that request has not ended.
func (w *discoveryWatch) open() {
	w.retryTimer.Stop()
	w.idleTimer.Stop()
	stream := &discoveryStream{watch: w, decoder: sse.Decoder{MaxEventBytes: maxEventBytes}}
	w.stream = stream
	if w.call != nil {
		w.call.Cancel()
	}
	w.server.stats.WatchesOpened++
	header := []http1.Field{
		{Name: "Accept", Value: "text/event-stream"},
		{Name: "Last-Event-ID", Value: strconv.FormatUint(w.server.core.LastDiscoveryEvent(), 10)},
	}
	handlers := &httpc.Call{OnResponseHead: stream.responseStarted, OnBodyData: stream.bodyReceived, OnDone: stream.responseEnded}
	w.call = w.client.Do(http.MethodGet, discoveryPath, header, nil, 0, handlers)
	w.resetIdleTimer()
}

// resetIdleTimer restarts the idle timeout of the discovery stream.
func (w *discoveryWatch) resetIdleTimer() {
	w.idleTimer.Stop()
	w.idleTimer = w.server.loop.After(watchIdleTimeout, func() { w.retryAfterFailure(errStreamIdle) })
}

// retryAfterFailure abandons the discovery stream and requests another one after a delay. The delay grows
// with each failure and is reset when an event has been received.
func (w *discoveryWatch) retryAfterFailure(err error) {
	s := w.server
	w.stream = nil
	w.idleTimer.Stop()
	if call := w.call; call != nil {
		w.call = nil
		s.loop.After(0, call.Cancel) // Canceling is deferred because the caller may be a handler of this HTTP request.
	}
	s.warn("discovery watch failed", w.addr, err)
	s.core.SetDiscoveryConnected(s.coreNow(), false)
	s.applyReadyEffects()
	w.retryTimer.Stop()
	w.retryTimer = s.loop.After(s.nextRetryDelay(&w.backoff), w.open)
}

// discoveryStream handles one response of the discovery server. Once the watch has abandoned the stream, the
// stream ignores all data.
type discoveryStream struct {
	watch   *discoveryWatch
	decoder sse.Decoder
	failure error // failure is the first error in the stream, or nil. Events after this error are ignored.
}

// isCurrent reports whether the watch still uses the stream.
func (stream *discoveryStream) isCurrent() bool { return stream.watch.stream == stream }

// responseStarted handles the header of the discovery server's response.
func (stream *discoveryStream) responseStarted(head *http1.Head) {
	if !stream.isCurrent() || head.Status != http.StatusOK {
		return
	}
	s := stream.watch.server
	stream.watch.resetIdleTimer()
	s.core.SetDiscoveryConnected(s.coreNow(), true)
	s.applyReadyEffects()
}

// bodyReceived decodes a part of the response body and handles each event that ends in this part.
func (stream *discoveryStream) bodyReceived(data []byte) {
	if !stream.isCurrent() || stream.failure != nil {
		return
	}
	w := stream.watch
	w.resetIdleTimer()
	err := stream.decoder.Write(data, stream.handleEvent)
	if stream.failure == nil {
		stream.failure = err
	}
	w.server.applyReadyEffects()
	if stream.failure != nil {
		w.retryAfterFailure(stream.failure)
	}
}

// handleEvent passes one discovery event to the dispatch core.
func (stream *discoveryStream) handleEvent(event sse.Event) {
	if stream.failure != nil {
		return
	}
	s := stream.watch.server
	s.stats.WatchEvents++
	s.log.Trace().Str("id", event.LastEventID).Str("data", event.Data).Msg("discovery event")
	inSequence, err := s.core.ReceiveDiscoveryEvent(s.coreNow(), []byte(event.Data))
	if err == nil && !inSequence {
		err = errEventGap
	}
	if err != nil && inSequence {
		s.stats.InvalidFromDiscovery.add(err)
		s.warn("figure of the node list left out", stream.watch.addr, err)
		err = nil
	}
	if err != nil {
		stream.failure = err
		return
	}
	stream.watch.backoff.Reset()
}

// responseEnded handles the end of the response, after which the watch requests another stream.
func (stream *discoveryStream) responseEnded(head *http1.Head, _ []byte, err error) {
	if !stream.isCurrent() {
		return
	}
	switch {
	case err != nil:
	case head.Status != http.StatusOK:
		err = errUnexpectedStatus
	default:
		err = errStreamEnded
	}
	stream.watch.retryAfterFailure(err)
}
