//go:build linux

package emulator

import (
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpd"
)

const (
	trickleDelay    = 0.05 // seconds from a request to the header of a trickling answer
	trickleInterval = 0.05 // seconds
	trickleBytes    = 64   // in each interval
	trickleLinger   = 5    // seconds after the fault in which its last answers are still completed
)

// Fault injects faults into the node, or ends those that have a state.
func (n *Node) Fault(injected fault.Node) {
	now := n.loop.Now()
	n.faults.Apply(now, injected)
	if n.sim != nil && injected.Stall != 0 {
		n.sim.StallUntil(now + injected.Stall)
	}
	if injected.Unreachable > 0 {
		n.makeUnreachable(injected.Unreachable)
	}
	if injected.Drain != nil && n.sim != nil {
		n.sim.SetDraining(now, *injected.Drain)
		n.processEffects()
	}
	if injected.Crash > 0 {
		n.record(audit.Event{Kind: audit.Crashed})
		n.crash(injected.Crash)
	}
}

// injectRejection rejects a request while that fault lasts.
func (n *Node) injectRejection(*nodesim.Request) nodesim.Reason {
	if n.loop.Now() < n.faults.RejectUntil {
		return nodesim.InsufficientCores
	}
	return nodesim.None
}

// makeUnreachable closes the node's socket for so many seconds. Its tasks run on.
func (n *Node) makeUnreachable(seconds float64) {
	n.unreachableUntil = n.loop.Now() + seconds
	n.server.Close()
	n.loop.After(seconds, func() {
		if n.sim != nil && n.loop.Now() >= n.unreachableUntil-timerTolerance {
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
	n.trickling = n.loop.Now() < n.faults.TrickleUntil+trickleLinger
	if n.trickling {
		n.loop.After(trickleInterval, n.continueTrickling)
	}
}

// trickleBody is a response body that yields trickleBytes in each trickleInterval.
type trickleBody struct {
	loop      *eventloop.Loop
	rest      []byte
	lastWrite float64
}

// Pull implements http1.Stream.
func (s *trickleBody) Pull(buffer []byte, _ int) ([]byte, bool) {
	if now := s.loop.Now(); now >= s.lastWrite+trickleInterval*0.9 {
		n := min(len(s.rest), trickleBytes)
		buffer = append(buffer, s.rest[:n]...)
		s.rest = s.rest[n:]
		s.lastWrite = now
	}
	return buffer, len(s.rest) == 0
}

// Close implements http1.Stream.
func (s *trickleBody) Close() {}
