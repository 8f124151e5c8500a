//go:build linux

package server

import (
	"math"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// Package server represents times as clock.Instant and time.Duration; the dispatch core and the settings use
// floating-point seconds. All conversions between these formats are in this file.

// defaultConnectTimeout is the maximum duration of a dial to a node if the settings contain no connect
// timeout.
const defaultConnectTimeout = 250 * time.Millisecond

// newBackoff returns an exponential backoff whose delays lie between minDelay and maxDelay.
func newBackoff(minDelay, maxDelay time.Duration) retry.Backoff {
	return retry.Backoff{Min: placer.SecondsOf(minDelay), Max: placer.SecondsOf(maxDelay)}
}

// nextRetryDelay records a failure in a backoff and returns the delay before the failed operation is
// repeated.
func (s *Server) nextRetryDelay(backoff *retry.Backoff) time.Duration {
	return clock.Duration(backoff.Next(s.rng.Float64()))
}

// idleTimeoutFraction determines when the server closes an idle node connection: after this fraction of the
// idle timeout in the settings. Otherwise, the node would close the connection after the full idle timeout,
// and an attempt in transit at that moment would be lost.
const idleTimeoutFraction = 0.6

// coreNow returns the time of the current iteration of the event loop, in the time format of the dispatch
// core.
func (s *Server) coreNow() placer.Seconds { return s.loop.Now().UnixSeconds() }

// resetCoreTimer sets coreTimer to the time at which the next timer of the dispatch core is due. If the core
// has set no timer, this time is infinity, and resetCoreTimer removes coreTimer.
func (s *Server) resetCoreTimer() {
	dueTime := s.core.NextTimer()
	if s.coreTimer != nil && s.coreTimerDue == dueTime {
		return
	}
	s.coreTimer.Stop()
	s.coreTimer = nil
	if !math.IsInf(float64(dueTime), 1) {
		s.coreTimer = s.loop.At(clock.FromUnixSeconds(dueTime), s.advanceCore)
		s.coreTimerDue = dueTime
	}
}

// advanceCore runs the timers of the dispatch core that are due.
func (s *Server) advanceCore() {
	s.coreTimer = nil
	s.core.Advance(s.coreNow())
	s.applyReadyEffects()
}

// connectTimeout returns the maximum duration of a dial to a node.
func (c *Config) connectTimeout() time.Duration {
	timeout := c.Settings.Placer.Attempts.ConnectTimeout
	if timeout <= 0 {
		return defaultConnectTimeout
	}
	return clock.Duration(timeout)
}

// maxIdle returns the time after which the server closes a node connection as idle. This time is counted from
// the last request that the server sent on the connection. maxIdle returns 0 if the server never closes node
// connections as idle.
func (c *Config) maxIdle() time.Duration {
	return clock.Duration(c.Settings.IdleTimeout * idleTimeoutFraction)
}

// longestDeadline returns the longest deadline of all task classes.
func (c *Config) longestDeadline() time.Duration {
	var longestDeadline placer.Seconds
	for i := range c.Settings.Placer.Classes {
		longestDeadline = max(longestDeadline, c.Settings.Placer.Classes[i].Deadline)
	}
	return clock.Duration(longestDeadline)
}
