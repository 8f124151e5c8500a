//go:build linux

package server

import (
	"math"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// The server keeps durations and instants in Go's types; the core and its settings count seconds in floating point. One becomes the other
// in this file only.

// defaultConnectTimeout is how long a dial may take where the settings do not say.
const defaultConnectTimeout = 250 * time.Millisecond

// newBackoff returns a backoff that doubles the delay between the bounds.
func newBackoff(minDelay, maxDelay time.Duration) retry.Backoff {
	return retry.Backoff{Min: placer.SecondsOf(minDelay), Max: placer.SecondsOf(maxDelay)}
}

// nextDelay records a failure and returns how long to wait after it.
func (s *Server) nextDelay(backoff *retry.Backoff) time.Duration {
	return clock.Duration(backoff.Next(s.rng.Float64()))
}

// idleShare is the part of the idle timeout that the platform gives, after which an idle node connection is closed from this side. A node
// that closed it first could do so while an attempt is on its way.
const idleShare = 0.6

// coreNow returns the time of this iteration of the loop on the clock of the core.
func (s *Server) coreNow() placer.Seconds { return s.loop.Now().UnixSeconds() }

// scheduleCore sets the loop's timer to the core's next one. The core answers infinity if it has none.
func (s *Server) scheduleCore() {
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

// advanceCore runs the timers of the core that are due.
func (s *Server) advanceCore() {
	s.coreTimer = nil
	s.core.Advance(s.coreNow())
	s.processReady()
}

// connectTimeout returns how long a dial may take.
func (c *Config) connectTimeout() time.Duration {
	timeout := c.Settings.Placer.Attempts.ConnectTimeout
	if timeout <= 0 {
		return defaultConnectTimeout
	}
	return clock.Duration(timeout)
}

// maxIdle returns after how long without a request a node connection is closed from this side; 0 for never.
func (c *Config) maxIdle() time.Duration { return clock.Duration(c.Settings.IdleTimeout * idleShare) }

// longestDeadline returns the longest deadline of a class.
func (c *Config) longestDeadline() time.Duration {
	var longest placer.Seconds
	for i := range c.Settings.Placer.Classes {
		longest = max(longest, c.Settings.Placer.Classes[i].Deadline)
	}
	return clock.Duration(longest)
}
