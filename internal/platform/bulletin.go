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
	silence  = 2.2 // seconds without a byte, where a comment comes every second
	maxEvent = 2 << 20
)

var (
	errSilent = errors.New("bulletin is silent")
	errGap    = errors.New("bulletin: numbers have a gap")
	errNotSSE = errors.New("bulletin: not an event stream")
)

// bulletin follows the list of machines.
type bulletin struct {
	s      *Server
	addr   string
	client *httpc.Client
	call   *httpc.Call
	gen    int // of the call: what an earlier one still tells is skipped
	dec    sse.Decoder
	quiet  *eventloop.Timer
	retry  retry.Backoff
	again  *eventloop.Timer
}

func newBulletin(s *Server, addr string) *bulletin {
	b := &bulletin{s: s, addr: addr, retry: retry.Backoff{Min: 0.05, Max: 1}}
	b.client = b.newClient()
	return b
}

func (b *bulletin) newClient() *httpc.Client {
	c := httpc.New(b.s.l, b.addr)
	c.ConnectWithin = 0.5
	return c
}

// move goes over to another address; the numbers go on.
func (b *bulletin) move(addr string) {
	b.addr = addr
	b.client = b.newClient()
	b.retry.Reset()
	b.open()
}

// open asks for what comes after the last event had.
func (b *bulletin) open() {
	b.again.Stop()
	b.quiet.Stop()
	b.gen++
	gen := b.gen
	if b.call != nil {
		b.call.Cancel()
	}
	b.dec = sse.Decoder{MaxEvent: maxEvent}
	b.s.stats.BulletinOpens++
	failure := error(nil)
	b.call = b.client.Do("GET", "/bulletins", []http1.Field{{Name: "Accept", Value: "text/event-stream"},
		{Name: "Last-Event-ID", Value: strconv.FormatUint(b.s.c.LastDiscoveryEvent(), 10)}}, nil, 0, &httpc.Call{
		Started: func(h *http1.Head) {
			if gen == b.gen && h.Status == 200 {
				b.heard()
				b.s.c.SetDiscoveryConnected(b.s.l.Now(), true)
				b.s.pump()
			}
		},
		Data: func(data []byte) {
			if gen != b.gen || failure != nil {
				return
			}
			b.heard()
			err := b.dec.Write(data, func(e sse.Event) {
				if failure != nil {
					return
				}
				b.s.stats.BulletinEvents++
				b.s.log.Trace().Str("id", e.ID).Str("data", e.Data).Msg("bulletin>")
				ok, err := b.s.c.ReceiveDiscoveryEvent(b.s.l.Now(), []byte(e.Data))
				if err == nil && !ok {
					err = errGap
				}
				if err != nil {
					failure = err
				} else {
					b.retry.Reset()
				}
			})
			if failure == nil {
				failure = err
			}
			b.s.pump()
			if failure != nil {
				b.broken(failure)
			}
		},
		Done: func(h *http1.Head, body []byte, err error) {
			if gen == b.gen {
				if err == nil && h.Status != 200 {
					err = errNotSSE
				}
				b.broken(err)
			}
		}})
	b.heard()
}

// heard puts off the moment at which silence is taken for a stop.
func (b *bulletin) heard() {
	b.quiet.Stop()
	b.quiet = b.s.l.After(silence, func() { b.broken(errSilent) })
}

// broken asks again soon: at once after a stream that told something, then ever more slowly.
func (b *bulletin) broken(err error) {
	s := b.s
	b.gen++ // nothing of the old call counts any more
	b.quiet.Stop()
	if call := b.call; call != nil {
		b.call = nil
		// Later: the call may be in the middle of telling.
		s.l.After(0, call.Cancel)
	}
	s.warn("bulletin", b.addr, err)
	s.c.SetDiscoveryConnected(s.l.Now(), false)
	s.pump()
	b.again.Stop()
	b.again = s.l.After(b.retry.Next(s.rng.Float64()), b.open)
}
