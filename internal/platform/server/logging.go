//go:build linux

package server

import (
	"time"

	"github.com/rs/zerolog"

	"heathshed/internal/control/clock"
	"heathshed/internal/platform/protocol"
)

// maxWarningsPerSecond limits the number of logged warnings about invalid input and failures of clients,
// nodes and the discovery server.
const maxWarningsPerSecond = 5

// warningLimiter limits how many warnings are logged. It counts the warnings within a window of one second.
type warningLimiter struct {
	windowStart clock.Instant
	count       int
}

// allow counts a warning and reports whether it may be logged.
func (limiter *warningLimiter) allow(now clock.Instant) bool {
	if now > limiter.windowStart.Add(time.Second) {
		*limiter = warningLimiter{windowStart: now}
	}
	limiter.count++
	return limiter.count <= maxWarningsPerSecond
}

// warn logs a failure that a client, a node or the discovery server has caused. It logs nothing while the
// number of warnings exceeds maxWarningsPerSecond. peer is the address of the party that caused the failure.
func (s *Server) warn(message, peer string, err error) {
	if s.warningLimiter.allow(s.loop.Now()) {
		s.log.Warn().Str("peer", peer).Err(err).Msg(message)
	}
}

// traceMessage logs a protocol message at trace level. direction is the text of the log line: "client>" and
// "node>" mean that the message was received from a client or node, and ">client" and ">node" mean that it is
// sent to a client or node.
func (s *Server) traceMessage(direction string, conn uint64, peer string, message *protocol.Message) {
	if s.log.GetLevel() > zerolog.TraceLevel {
		return
	}
	event := s.log.Trace().
		Str("kind", message.Kind.String()).
		Str("uid", message.UID).
		Uint64("conn", conn).
		Str("peer", peer)
	if message.HasCause {
		event.Int("reason", int(message.Cause))
	}
	for field := protocol.Class; field <= protocol.LoadReport; field++ {
		if message.Has(field) {
			event.Str(field.String(), message.Get(field))
		}
	}
	event.Msg(direction)
}
