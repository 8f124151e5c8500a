//go:build linux

package platform

import (
	"errors"
	"strconv"

	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
	"heathshed/internal/httpc"
	"heathshed/internal/retry"
	"heathshed/internal/sse"
)

const (
	watchIdleTimeout = 2.2 // seconds without a byte, where a comment comes every second
	maxEventBytes    = 2 << 20
)

var (
	errWatchIdle        = errors.New("bulletin is silent")
	errEventGap         = errors.New("bulletin: numbers have a gap")
	errUnexpectedStatus = errors.New("bulletin: not an event stream")
)

// discoveryWatch follows the list of machines.
type discoveryWatch struct {
	server     *Server
	addr       string
	client     *httpc.Client
	call       *httpc.Call
	generation int // of the call: what an earlier one still tells is skipped
	decoder    sse.Decoder
	idleTimer  *eventloop.Timer
	backoff    retry.Backoff
	retryTimer *eventloop.Timer
}

func newDiscoveryWatch(server *Server, addr string) *discoveryWatch {
	watch := &discoveryWatch{server: server, addr: addr, backoff: retry.Backoff{Min: 0.05, Max: 1}}
	watch.client = watch.newClient()
	return watch
}

func (w *discoveryWatch) newClient() *httpc.Client {
	client := httpc.New(w.server.loop, w.addr)
	client.ConnectTimeoutSeconds = 0.5
	return client
}

// moveTo goes over to another address; the numbers go on.
func (w *discoveryWatch) moveTo(addr string) {
	w.addr = addr
	w.client = w.newClient()
	w.backoff.Reset()
	w.open()
}

// open asks for what comes after the last event had.
func (w *discoveryWatch) open() {
	w.retryTimer.Stop()
	w.idleTimer.Stop()
	w.generation++
	generation := w.generation
	if w.call != nil {
		w.call.Cancel()
	}
	w.decoder = sse.Decoder{MaxEvent: maxEventBytes}
	w.server.stats.WatchesOpened++
	failure := error(nil)
	w.call = w.client.Do("GET", "/bulletins", []http1.Field{{Name: "Accept", Value: "text/event-stream"},
		{Name: "Last-Event-ID", Value: strconv.FormatUint(w.server.core.LastDiscoveryEvent(), 10)}}, nil, 0, &httpc.Call{
		Started: func(head *http1.Head) {
			if generation == w.generation && head.Status == 200 {
				w.resetIdleTimer()
				w.server.core.SetDiscoveryConnected(w.server.loop.Now(), true)
				w.server.processReady()
			}
		},
		Data: func(data []byte) {
			if generation != w.generation || failure != nil {
				return
			}
			w.resetIdleTimer()
			err := w.decoder.Write(data, func(event sse.Event) {
				if failure != nil {
					return
				}
				w.server.stats.WatchEvents++
				w.server.log.Trace().Str("id", event.ID).Str("data", event.Data).Msg("bulletin>")
				inSequence, err := w.server.core.ReceiveDiscoveryEvent(w.server.loop.Now(), []byte(event.Data))
				if err == nil && !inSequence {
					err = errEventGap
				}
				if err != nil {
					failure = err
				} else {
					w.backoff.Reset()
				}
			})
			if failure == nil {
				failure = err
			}
			w.server.processReady()
			if failure != nil {
				w.retryAfterFailure(failure)
			}
		},
		Done: func(head *http1.Head, body []byte, err error) {
			if generation == w.generation {
				if err == nil && head.Status != 200 {
					err = errUnexpectedStatus
				}
				w.retryAfterFailure(err)
			}
		}})
	w.resetIdleTimer()
}

// resetIdleTimer puts off the moment at which silence is taken for a stop.
func (w *discoveryWatch) resetIdleTimer() {
	w.idleTimer.Stop()
	w.idleTimer = w.server.loop.After(watchIdleTimeout, func() { w.retryAfterFailure(errWatchIdle) })
}

// retryAfterFailure asks again soon: at once after a stream that told something, then ever more slowly.
func (w *discoveryWatch) retryAfterFailure(err error) {
	s := w.server
	w.generation++ // nothing of the old call counts any more
	w.idleTimer.Stop()
	if call := w.call; call != nil {
		w.call = nil
		// Later: the call may be in the middle of telling.
		s.loop.After(0, call.Cancel)
	}
	s.warn("bulletin", w.addr, err)
	s.core.SetDiscoveryConnected(s.loop.Now(), false)
	s.processReady()
	w.retryTimer.Stop()
	w.retryTimer = s.loop.After(w.backoff.Next(s.rng.Float64()), w.open)
}
