//go:build linux

package server

import (
	"math"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// Package server represents times as clock.Instant and time.Duration; the dispatch core and its settings use
// floating-point seconds. Only this file converts between the two.

// defaultConnectTimeout limits the duration of a dial if the settings contain no limit.
const defaultConnectTimeout = 250 * time.Millisecond

// newBackoff returns an exponential backoff between the given delays.
func newBackoff(minDelay, maxDelay time.Duration) retry.Backoff {
	return retry.Backoff{Min: placer.SecondsOf(minDelay), Max: placer.SecondsOf(maxDelay)}
}

// nextRetryDelay counts one more failure and returns the delay before the next attempt.
func (s *Server) nextRetryDelay(backoff *retry.Backoff) time.Duration {
	return clock.Duration(backoff.Next(s.rng.Float64()))
}

// idleTimeoutFraction is the fraction of the platform's idle timeout after which the server closes an idle
// node connection. If the node closed it first, an attempt that is in transit at that moment would be lost.
const idleTimeoutFraction = 0.6

// coreNow returns the time of the current iteration of the event loop as the dispatch core represents it.
func (s *Server) coreNow() placer.Seconds { return s.loop.Now().UnixSeconds() }

// resetCoreTimer sets the event-loop timer to the time of the next timer of the dispatch core. The core
// reports infinity if it has no timer.
func (s *Server) resetCoreTimer() {
	due := s.core.NextTimer()
	if s.coreTimer != nil && s.coreTimerDue == due {
		return
	}
	s.coreTimer.Stop()
	s.coreTimer = nil
	if !math.IsInf(float64(due), 1) {
		s.coreTimer = s.loop.At(clock.FromUnixSeconds(due), s.advanceCore)
		s.coreTimerDue = due
	}
}

// advanceCore runs the timers of the dispatch core that are due.
func (s *Server) advanceCore() {
	s.coreTimer = nil
	s.core.Advance(s.coreNow())
	s.applyReadyEffects()
}

// connectTimeout returns the maximum duration of a dial.
func (c *Config) connectTimeout() time.Duration {
	timeout := c.Settings.Placer.Attempts.ConnectTimeout
	if timeout <= 0 {
		return defaultConnectTimeout
	}
	return clock.Duration(timeout)
}

// maxIdle returns the time without a request after which the server closes a node connection, or 0 if it
// never does.
func (c *Config) maxIdle() time.Duration {
	return clock.Duration(c.Settings.IdleTimeout * idleTimeoutFraction)
}

// longestDeadline returns the longest deadline of all classes.
func (c *Config) longestDeadline() time.Duration {
	var longest placer.Seconds
	for i := range c.Settings.Placer.Classes {
		longest = max(longest, c.Settings.Placer.Classes[i].Deadline)
	}
	return clock.Duration(longest)
}
