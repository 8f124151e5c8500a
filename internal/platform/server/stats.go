//go:build linux

package server

import (
	"errors"
	"fmt"
	"time"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// statsInterval is the time between two log lines that contain the counters.
const statsInterval = 10 * time.Second

// Stats contains counters of events on client, node and discovery connections since the server started. It is
// logged as JSON under the names of its fields.
type Stats struct {
	ClientsAccepted    uint64 // ClientsAccepted counts accepted client connections.
	IdleClientsClosed  uint64 // IdleClientsClosed counts client connections that were closed because they were idle.
	ClientsEvicted     uint64 // ClientsEvicted counts client connections that were closed to free a connection slot.
	NodeDials          uint64
	NodeDialsFailed    uint64
	NodeConnsLost      uint64 // NodeConnsLost counts node connections that the node or the network ended.
	NodeConnsSuspected uint64 // NodeConnsSuspected counts node connections that were checked because an attempt timed out.
	// NodeConnsUnresponsive counts node connections that were found silent because the answer to a health check or
	// the rest of a message did not arrive in time.
	NodeConnsUnresponsive uint64
	NodesUnreachable      uint64 // NodesUnreachable counts nodes whose tasks were reported as lost because the node was unreachable.
	WatchesOpened         uint64 // WatchesOpened counts requests to the discovery server for a stream of events.
	WatchEvents           uint64 // WatchEvents counts events received from the discovery server, including repeated ones.
	IllegalTransitions    uint64 // IllegalTransitions counts illegal transitions of connection states, which are programming errors.

	InvalidFromClients   InvalidInput
	InvalidFromNodes     InvalidInput
	InvalidFromDiscovery InvalidInput
}

// InvalidInput is a set of counters of rejected messages and lines, with one counter for each reason for which
// they are rejected. Its JSON form omits counters that are 0.
type InvalidInput struct {
	UnknownNode     uint64 `json:"at,omitempty"`         // UnknownNode counts adoption requests that name a node that is not in the node registry.
	Body            uint64 `json:"body,omitempty"`       // Body counts requests without a body.
	Class           uint64 `json:"class,omitempty"`      // Class counts requests with a task class that the settings do not contain.
	Extras          uint64 `json:"extras,omitempty"`     // Extras counts requests whose field protocol.Extras is malformed or incomplete.
	DuplicateID     uint64 `json:"id in use,omitempty"`  // DuplicateID counts requests with the ID of an open request or running task.
	Figure          uint64 `json:"figure,omitempty"`     // Figure counts messages of nodes with a figure that is not a number or is out of range.
	Key             uint64 `json:"key,omitempty"`        // Key counts requests whose field protocol.Key is malformed.
	TimeLeft        uint64 `json:"left,omitempty"`       // TimeLeft counts requests whose remaining time is malformed or out of range.
	LineTooLong     uint64 `json:"long line,omitempty"`  // LineTooLong counts lines that are too long; the connection is then closed.
	Other           uint64 `json:"other,omitempty"`      // Other counts messages that were rejected for any other reason.
	StopOfOtherConn uint64 `json:"stop,omitempty"`       // StopOfOtherConn counts Stop messages for a request that is open on another client connection.
	Tenant          uint64 `json:"tenant,omitempty"`     // Tenant counts requests with a tenant that the settings do not contain.
	Unreadable      uint64 `json:"unreadable,omitempty"` // Unreadable counts lines that are not valid messages; the connection is then closed.
}

// add increments the counter for the reason why a message or line was rejected. The error states this reason.
func (counters *InvalidInput) add(err error) {
	*counters.counterForError(err)++
}

func (counters *InvalidInput) counterForError(err error) *uint64 {
	var invalidMessage *dispatch.InvalidMessageError
	switch {
	case errors.As(err, &invalidMessage):
		return counters.counterForReason(invalidMessage.Reason)
	case errors.Is(err, protocol.ErrTooLong):
		return &counters.LineTooLong
	}
	return &counters.Unreadable
}

func (counters *InvalidInput) counterForReason(reason dispatch.InvalidReason) *uint64 {
	switch reason {
	case dispatch.InvalidNode:
		return &counters.UnknownNode
	case dispatch.InvalidBody:
		return &counters.Body
	case dispatch.InvalidClass:
		return &counters.Class
	case dispatch.InvalidExtras:
		return &counters.Extras
	case dispatch.InvalidIDInUse:
		return &counters.DuplicateID
	case dispatch.InvalidFigure:
		return &counters.Figure
	case dispatch.InvalidKey:
		return &counters.Key
	case dispatch.InvalidTimeLeft:
		return &counters.TimeLeft
	case dispatch.InvalidStop:
		return &counters.StopOfOtherConn
	case dispatch.InvalidTenant:
		return &counters.Tenant
	}
	return &counters.Other
}

// recordIllegalTransition counts and logs an illegal transition between two states of a client or node
// connection. The server continues, because stopping it would disconnect the clients of all running tasks.
func (s *Server) recordIllegalTransition(connKind string, id uint64, from, to fmt.Stringer) {
	s.stats.IllegalTransitions++
	s.log.Error().Str("of", connKind).Uint64("conn", id).Stringer("from", from).Stringer("to", to).Msg("illegal state transition")
}

// logStats logs the counters of the dispatch core and those in Stats. It schedules the next log line unless
// the server is stopping.
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
