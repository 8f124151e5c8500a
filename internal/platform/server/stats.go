//go:build linux

package server

import (
	"errors"
	"fmt"
	"time"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// statsInterval is the time between two log lines with the counters.
const statsInterval = 10 * time.Second

// Stats counts events on connections since the start. It is logged as JSON under its fields' names.
type Stats struct {
	ClientsAccepted       uint64 // connections of clients
	IdleClientsClosed     uint64 // of these, closed because nothing was requested on them
	ClientsEvicted        uint64 // of these, closed to free a connection slot
	NodeDials             uint64
	NodeDialsFailed       uint64
	NodeConnsLost         uint64 // ended by the node or the network
	NodeConnsSuspected    uint64 // checked because an attempt was not answered in time
	NodeConnsUnresponsive uint64 // closed because a health check or the rest of a message did not arrive
	NodesUnreachable      uint64 // whose tasks were given up
	WatchesOpened         uint64 // requests to the discovery server
	WatchEvents           uint64 // events received from it, repeated ones included
	IllegalTransitions    uint64 // of connections' states: faults of the program, 0 unless there is one

	InvalidFromClients InvalidInput
	InvalidFromNodes   InvalidInput
}

// InvalidInput counts rejected input by what was wrong with it. In JSON the counters that are 0 are left out.
type InvalidInput struct {
	UnknownNode     uint64 `json:"at,omitempty"`         // adopted from a node that the registry does not hold
	Body            uint64 `json:"body,omitempty"`       // missing
	Class           uint64 `json:"class,omitempty"`      // not in the settings
	Extras          uint64 `json:"extras,omitempty"`     // malformed or incomplete
	DuplicateID     uint64 `json:"id in use,omitempty"`  // of an open request or a running task
	IdempotencyKey  uint64 `json:"key,omitempty"`        // malformed
	TimeLeft        uint64 `json:"left,omitempty"`       // malformed or out of range
	LineTooLong     uint64 `json:"long line,omitempty"`  // ends the connection
	Other           uint64 `json:"other,omitempty"`      // for reasons without a counter
	StopOfOtherConn uint64 `json:"stop,omitempty"`       // the request is open on another connection
	Tenant          uint64 `json:"tenant,omitempty"`     // not in the settings
	Unreadable      uint64 `json:"unreadable,omitempty"` // no message of the protocol; ends the connection
}

// add counts one rejected message.
func (in *InvalidInput) add(err error) {
	*in.counter(err)++
}

func (in *InvalidInput) counter(err error) *uint64 {
	var invalid *dispatch.InvalidMessageError
	switch {
	case errors.As(err, &invalid):
		return in.messageCounter(invalid.Reason)
	case errors.Is(err, protocol.ErrTooLong):
		return &in.LineTooLong
	}
	return &in.Unreadable
}

func (in *InvalidInput) messageCounter(reason dispatch.InvalidReason) *uint64 {
	switch reason {
	case dispatch.InvalidNode:
		return &in.UnknownNode
	case dispatch.InvalidBody:
		return &in.Body
	case dispatch.InvalidClass:
		return &in.Class
	case dispatch.InvalidExtras:
		return &in.Extras
	case dispatch.InvalidIDInUse:
		return &in.DuplicateID
	case dispatch.InvalidKey:
		return &in.IdempotencyKey
	case dispatch.InvalidTimeLeft:
		return &in.TimeLeft
	case dispatch.InvalidStop:
		return &in.StopOfOtherConn
	case dispatch.InvalidTenant:
		return &in.Tenant
	}
	return &in.Other
}

// recordIllegalTransition counts and logs a transition that the state machine of a connection does not have. The program goes on: ending it
// would cut off the clients of all running tasks.
func (s *Server) recordIllegalTransition(what string, id uint64, from, to fmt.Stringer) {
	s.stats.IllegalTransitions++
	s.log.Error().Str("of", what).Uint64("conn", id).Stringer("from", from).Stringer("to", to).Msg("illegal state transition")
}

// logStats logs the counters of the core and of the connections, and schedules the next time unless the server stops.
func (s *Server) logStats() {
	s.log.Info().
		Int("clients", len(s.clients.byID)).
		Int("node_conns", s.nodes.openConns).
		Int("node_links", len(s.nodes.byID)).
		Int("open_requests", s.core.OpenRequests()).
		Int("running_tasks", s.core.RunningTasks()).
		Uint64("last_event", s.core.LastDiscoveryEvent()).
		Interface("core", &s.core.Counts).
		Interface("sockets", &s.stats).
		Msg("counts")
	if !s.shutdown.requested {
		s.loop.After(statsInterval, s.logStats)
	}
}
