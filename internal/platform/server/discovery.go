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

// discoveryPath is the resource of the discovery server that streams the events of the node registry.
const discoveryPath = "/bulletins"

// Times of the discovery watch.
const (
	watchConnectTimeout = 500 * time.Millisecond
	watchIdleTimeout    = 2200 * time.Millisecond // without a byte; the server sends a comment every second
)

// Bounds of the backoff between two streams.
const (
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = time.Second
)

// maxEventBytes bounds one discovery event.
const maxEventBytes = 2 << 20

// Errors that end a discovery stream.
var (
	errWatchIdle        = errors.New("stream is idle")
	errWatchEnded       = errors.New("stream has ended")
	errEventGap         = errors.New("event numbers have a gap")
	errUnexpectedStatus = errors.New("status is not 200")
)

// discoveryWatch follows the events of the node registry: a stream of server-sent events that is opened again, from the last event that was
// received, whenever it ends or falls silent.
type discoveryWatch struct {
	server     *Server
	addr       string
	client     *httpc.Client
	call       *httpc.Call
	stream     *discoveryStream // the response of call; nil while waiting for a retry
	idleTimer  *eventloop.Timer
	backoff    retry.Backoff
	retryTimer *eventloop.Timer
}

// newDiscoveryWatch returns a watch that is not open yet.
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

// moveTo continues the watch at another address, from the last event that was received.
func (w *discoveryWatch) moveTo(addr string) {
	w.addr = addr
	w.client = w.newClient()
	w.backoff.Reset()
	w.open()
}

// open requests the events after the last one that was received. A stream that is open is dropped.
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
	handlers := &httpc.Call{OnResponseHead: stream.started, OnBodyData: stream.received, OnDone: stream.done}
	w.call = w.client.Do(http.MethodGet, discoveryPath, header, nil, 0, handlers)
	w.resetIdleTimer()
}

// resetIdleTimer restarts the time after which a silent stream is given up.
func (w *discoveryWatch) resetIdleTimer() {
	w.idleTimer.Stop()
	w.idleTimer = w.server.loop.After(watchIdleTimeout, func() { w.retryAfterFailure(errWatchIdle) })
}

// retryAfterFailure drops the stream and opens another after a backoff, which begins anew with each stream that delivered an event.
func (w *discoveryWatch) retryAfterFailure(err error) {
	s := w.server
	w.stream = nil
	w.idleTimer.Stop()
	if call := w.call; call != nil {
		w.call = nil
		s.loop.After(0, call.Cancel) // not at once: this may run inside one of the call's own handlers
	}
	s.warn("discovery watch failed", w.addr, err)
	s.core.SetDiscoveryConnected(s.coreNow(), false)
	s.processReady()
	w.retryTimer.Stop()
	w.retryTimer = s.loop.After(s.nextDelay(&w.backoff), w.open)
}

// discoveryStream is one response of the discovery server. It ignores what arrives once the watch has dropped it.
type discoveryStream struct {
	watch   *discoveryWatch
	decoder sse.Decoder
	failure error // the first one; no event is handled after it
}

func (stream *discoveryStream) isCurrent() bool { return stream.watch.stream == stream }

// started handles the head of the response.
func (stream *discoveryStream) started(head *http1.Head) {
	if !stream.isCurrent() || head.Status != http.StatusOK {
		return
	}
	s := stream.watch.server
	stream.watch.resetIdleTimer()
	s.core.SetDiscoveryConnected(s.coreNow(), true)
	s.processReady()
}

// received handles a part of the body.
func (stream *discoveryStream) received(data []byte) {
	if !stream.isCurrent() || stream.failure != nil {
		return
	}
	w := stream.watch
	w.resetIdleTimer()
	err := stream.decoder.Write(data, stream.handleEvent)
	if stream.failure == nil {
		stream.failure = err
	}
	w.server.processReady()
	if stream.failure != nil {
		w.retryAfterFailure(stream.failure)
	}
}

// handleEvent hands one event to the core.
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
	if err != nil {
		stream.failure = err
		return
	}
	stream.watch.backoff.Reset()
}

// done handles the end of the response.
func (stream *discoveryStream) done(head *http1.Head, _ []byte, err error) {
	if !stream.isCurrent() {
		return
	}
	switch {
	case err != nil:
	case head.Status != http.StatusOK:
		err = errUnexpectedStatus
	default:
		err = errWatchEnded
	}
	stream.watch.retryAfterFailure(err)
}
