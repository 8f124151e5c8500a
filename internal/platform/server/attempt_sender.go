//go:build linux

package server

import "heathshed/internal/platform/dispatch"

// attemptSender collects attempts during an iteration of the event loop and sends them to their nodes at the
// end of the iteration.
type attemptSender struct {
	server          *Server
	pendingAttempts []*dispatch.Attempt
}

// schedule queues an attempt. At the end of the current iteration of the event loop, sendPending sends it.
func (sender *attemptSender) schedule(attempt *dispatch.Attempt) {
	sender.pendingAttempts = append(sender.pendingAttempts, attempt)
	if len(sender.pendingAttempts) == 1 {
		sender.server.loop.AtIterationEnd(sender.sendPending)
	}
}

// sendPending sends the pending attempts. An attempt must not be sent if its client has canceled the request
// or closed the client connection. Even if the event loop has not read a cancellation or noticed a closed
// connection yet, the kernel may already have received it. For this reason, sendPending reads the client
// connection once more before it sends an attempt. If the client has canceled the request or disconnected, the
// dispatch core ends the attempt, and no byte of the attempt is sent.
func (sender *attemptSender) sendPending() {
	s := sender.server
	attempts := sender.pendingAttempts
	sender.pendingAttempts = nil
	for _, attempt := range attempts {
		if s.clients.hasDeferredLines(attempt.ClientConn()) { // The deferred lines may cancel the request of this attempt.
			sender.schedule(attempt)
			continue
		}
		if attempt.Pending() {
			s.nodes.linkTo(attempt.Node).send(attempt)
		}
	}
}
