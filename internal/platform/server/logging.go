//go:build linux

package server

import (
	"time"

	"github.com/rs/zerolog"

	"heathshed/internal/control/clock"
	"heathshed/internal/platform/protocol"
)

// maxWarningsPerSecond bounds how often bad input and failures of peers are logged.
const maxWarningsPerSecond = 5

// warningLimit counts the warnings of the present second.
type warningLimit struct {
	windowStart clock.Instant
	count       int
}

// allow reports whether one more warning may be logged.
func (limit *warningLimit) allow(now clock.Instant) bool {
	if now > limit.windowStart.Add(time.Second) {
		*limit = warningLimit{windowStart: now}
	}
	limit.count++
	return limit.count <= maxWarningsPerSecond
}

// warn logs a failure that a peer has caused, unless there are too many.
func (s *Server) warn(what, peer string, err error) {
	if s.warnings.allow(s.loop.Now()) {
		s.log.Warn().Str("peer", peer).Err(err).Msg(what)
	}
}

// traceMessage logs one message at level trace. direction says where it comes from or goes to.
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
