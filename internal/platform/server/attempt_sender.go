//go:build linux

package server

import "heathshed/internal/platform/dispatch"

// attemptSender holds the attempts that go out at the end of this iteration of the loop.
type attemptSender struct {
	server  *Server
	pending []*dispatch.Attempt
}

// schedule sends an attempt at the end of this iteration of the loop.
func (sender *attemptSender) schedule(attempt *dispatch.Attempt) {
	sender.pending = append(sender.pending, attempt)
	if len(sender.pending) == 1 {
		sender.server.loop.AtIterationEnd(sender.sendPending)
	}
}

// sendPending sends the scheduled attempts. No attempt may go out for a client that has canceled its request or closed its
// connection. Either may have reached the system already without having been read: in this iteration, in any order with the event that
// scheduled the attempt, or since. So the client's connection is read once more first, which ends the attempt before its first byte.
func (sender *attemptSender) sendPending() {
	s := sender.server
	pending := sender.pending
	sender.pending = nil
	for _, attempt := range pending {
		if s.clients.hasUnreadLines(attempt.ClientConn()) { // a cancellation may be among them
			sender.schedule(attempt)
			continue
		}
		if attempt.Pending() {
			s.nodes.linkTo(attempt.Node).send(attempt)
		}
	}
}
