//go:build linux

package server

import "heathshed/internal/platform/dispatch"

// attemptSender collects attempts during an iteration of the event loop and sends them at the end of the
// iteration.
type attemptSender struct {
	server  *Server
	pending []*dispatch.Attempt
}

// schedule queues an attempt, which is sent at the end of the current iteration of the event loop.
func (sender *attemptSender) schedule(attempt *dispatch.Attempt) {
	sender.pending = append(sender.pending, attempt)
	if len(sender.pending) == 1 {
		sender.server.loop.AtIterationEnd(sender.sendPending)
	}
}

// sendPending sends the scheduled attempts. An attempt must not be sent if its client has canceled the
// request or closed its connection. Either event may have reached the kernel by now without the event loop
// having read it, whether it happened before or after the attempt was scheduled. Therefore sendPending first
// reads the client's connection once more; if it finds such an event, the attempt ends before its first byte
// is sent.
func (sender *attemptSender) sendPending() {
	s := sender.server
	pending := sender.pending
	sender.pending = nil
	for _, attempt := range pending {
		if s.clients.hasUnreadLines(attempt.ClientConn()) { // The unread lines may contain a cancellation.
			sender.schedule(attempt)
			continue
		}
		if attempt.Pending() {
			s.nodes.linkTo(attempt.Node).send(attempt)
		}
	}
}
