//go:build linux

package server

import "heathshed/internal/platform/dispatch"

// attemptSender collects attempts during an iteration of the event loop and sends them to their nodes at the
// end of the iteration.
type attemptSender struct {
	server    *Server
	scheduled []scheduledAttempt
}

// scheduledAttempt is an attempt that is to be sent.
type scheduledAttempt struct {
	attempt *dispatch.Attempt
	// readUntil is the number of bytes from the client that must have been handled before the attempt is sent.
	// It is 0 until the attempt has been considered while lines of the client were deferred.
	readUntil uint64
}

// schedule queues an attempt. At the end of the current iteration of the event loop, sendPending sends it.
func (sender *attemptSender) schedule(attempt *dispatch.Attempt) {
	sender.add(scheduledAttempt{attempt: attempt})
}

func (sender *attemptSender) add(scheduled scheduledAttempt) {
	sender.scheduled = append(sender.scheduled, scheduled)
	if len(sender.scheduled) == 1 {
		sender.server.loop.AtIterationEnd(sender.sendPending)
	}
}

// sendPending sends the scheduled attempts. An attempt must not be sent if its client has canceled the request
// or closed the client connection. Even if the event loop has not read a cancellation or noticed a closed
// connection yet, the kernel may already have received it. For this reason, sendPending reads the client
// connection once more before it sends an attempt. If the client has canceled the request or disconnected, the
// dispatch core ends the attempt, and no byte of the attempt is sent.
func (sender *attemptSender) sendPending() {
	s := sender.server
	attempts := sender.scheduled
	sender.scheduled = nil
	for _, scheduled := range attempts {
		if s.clients.mustReadBefore(&scheduled) {
			if scheduled.attempt.Pending() {
				sender.add(scheduled)
			}
			continue
		}
		if scheduled.attempt.Pending() {
			s.nodes.linkTo(scheduled.attempt.Node).send(scheduled.attempt)
		}
	}
}
