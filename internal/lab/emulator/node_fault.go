//go:build linux

package emulator

import (
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpd"
	"heathshed/placer"
)

const (
	trickleDelay    = 50 * time.Millisecond // from a request to the header of a trickling answer
	trickleInterval = 50 * time.Millisecond
	trickleBytes    = 64              // in each interval
	trickleLinger   = 5 * time.Second // after the fault, in which its last answers are still completed
)

// Fault injects faults into the node, or ends those that have a state.
func (n *Node) Fault(injected fault.Node) {
	now := n.simNow()
	n.faults.Apply(now, injected)
	if n.sim != nil && injected.Stall != 0 {
		n.sim.StallUntil(now + placer.Seconds(injected.Stall))
	}
	if injected.Unreachable > 0 {
		n.makeUnreachable(clock.Duration(injected.Unreachable))
	}
	if injected.Drain != nil && n.sim != nil {
		n.sim.SetDraining(now, *injected.Drain)
		n.processEffects()
	}
	if injected.Crash > 0 {
		n.record(audit.Event{Kind: audit.Crashed})
		n.crash(clock.Duration(injected.Crash))
	}
}

// injectRejection rejects a request while that fault lasts.
func (n *Node) injectRejection(*nodesim.Request) nodesim.Reason {
	if n.simNow() < n.faults.RejectUntil {
		return nodesim.InsufficientCores
	}
	return nodesim.None
}

// makeUnreachable closes the node's socket for some time. Its tasks run on.
func (n *Node) makeUnreachable(duration time.Duration) {
	n.unreachableUntil = n.loop.Now().Add(duration)
	n.server.Close()
	n.loop.After(duration, func() {
		if n.sim != nil && n.loop.Now() >= n.unreachableUntil.Add(-timerTolerance) {
			n.listenAgain()
		}
	})
}

// listenAgain opens the node's socket, and tries again while the address is in use.
func (n *Node) listenAgain() {
	if err := n.listen(); err == nil {
		return
	}
	n.loop.After(listenRetryInterval, func() {
		if n.sim != nil {
			n.listenAgain()
		}
	})
}

// respondSlowly answers a few bytes at a time.
func (n *Node) respondSlowly(exchange *httpd.Exchange, response http1.Response) {
	n.loop.After(trickleDelay, func() {
		body := &trickleBody{loop: n.loop, rest: response.Body}
		exchange.Respond(http1.Response{Status: response.Status, Header: response.Header, Stream: body})
	})
	if !n.trickling {
		n.trickling = true
		n.loop.After(trickleInterval, n.continueTrickling)
	}
}

// continueTrickling has the server pull the bodies that trickle, until some time after the fault.
func (n *Node) continueTrickling() {
	if n.sim == nil {
		n.trickling = false
		return
	}
	n.server.PullStreams()
	n.trickling = n.simNow() < n.faults.TrickleUntil+placer.SecondsOf(trickleLinger)
	if n.trickling {
		n.loop.After(trickleInterval, n.continueTrickling)
	}
}

// trickleBody is a response body that yields trickleBytes in each trickleInterval.
type trickleBody struct {
	loop      *eventloop.Loop
	rest      []byte
	lastWrite clock.Instant
}

// Pull implements http1.Stream.
func (s *trickleBody) Pull(buffer []byte, _ int) ([]byte, bool) {
	if now := s.loop.Now(); now >= s.lastWrite.Add(trickleInterval*9/10) {
		n := min(len(s.rest), trickleBytes)
		buffer = append(buffer, s.rest[:n]...)
		s.rest = s.rest[n:]
		s.lastWrite = now
	}
	return buffer, len(s.rest) == 0
}

// Close implements http1.Stream.
func (s *trickleBody) Close() {}
