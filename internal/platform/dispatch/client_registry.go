package dispatch

import (
	"cmp"
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// ConnID identifies a client connection; 0 is none.
type ConnID uint64

// clientConn is the state of one client connection, owned by clientRegistry. Until a valid message has arrived on it, the peer may be any
// program that connected to the port.
type clientConn struct {
	id            ConnID
	openRequests  map[*request]struct{}
	lastPlacedAt  placer.Seconds // when a task of a request on it last began to run or was adopted, or 0
	lastValidAt   placer.Seconds // when it last sent a valid message, or 0
	notifications deliveryLog    // what was sent on it; written by the notifier
}

// identified reports whether the connection has sent a valid message.
func (conn *clientConn) identified() bool { return conn.lastValidAt > 0 }

// hasOpen reports whether a request is among the open ones of the connection.
func (conn *clientConn) hasOpen(req *request) bool {
	_, open := conn.openRequests[req]
	return open
}

// moreRecentThan orders connections by when they last had a task placed, then by their last valid message, then by age.
func (conn *clientConn) moreRecentThan(other *clientConn) bool {
	if conn.lastPlacedAt != other.lastPlacedAt {
		return conn.lastPlacedAt > other.lastPlacedAt
	}
	if conn.lastValidAt != other.lastValidAt {
		return conn.lastValidAt > other.lastValidAt
	}
	return conn.id > other.id
}

// requestsInOrder returns the open requests in the order in which they arrived.
func (conn *clientConn) requestsInOrder() []*request {
	requests := make([]*request, 0, len(conn.openRequests))
	for req := range conn.openRequests {
		requests = append(requests, req)
	}
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.taskID, b.taskID) })
	return requests
}

// clientRegistry owns the client connections and sends messages on them.
type clientRegistry struct {
	*environment
	conns map[ConnID]*clientConn
}

func newClientRegistry(env *environment) *clientRegistry {
	return &clientRegistry{environment: env, conns: map[ConnID]*clientConn{}}
}

// connect adds a connection.
func (r *clientRegistry) connect(id ConnID) {
	r.conns[id] = &clientConn{id: id, openRequests: map[*request]struct{}{}}
}

// disconnect removes a connection and returns it, or nil if it is not open.
func (r *clientRegistry) disconnect(id ConnID) *clientConn {
	conn := r.conns[id]
	delete(r.conns, id)
	return conn
}

// get returns a connection, or nil if it is not open.
func (r *clientRegistry) get(id ConnID) *clientConn { return r.conns[id] }

// openRequests returns the number of open requests on all connections.
func (r *clientRegistry) openRequests() int {
	count := 0
	for _, conn := range r.conns {
		count += len(conn.openRequests)
	}
	return count
}

// messageValid records that a connection has sent a valid message.
func (r *clientRegistry) messageValid(conn *clientConn) { conn.lastValidAt = r.now }

// requestOpened adds a request to the open ones of its connection.
func (r *clientRegistry) requestOpened(req *request) {
	if conn := r.conns[req.conn]; conn != nil {
		conn.openRequests[req] = struct{}{}
	}
}

// requestClosed removes a request from the open ones of its connection.
func (r *clientRegistry) requestClosed(req *request) {
	if conn := r.conns[req.conn]; conn != nil {
		delete(conn.openRequests, req)
	}
}

// taskPlaced records that the task of a request began to run or was adopted.
func (r *clientRegistry) taskPlaced(req *request) {
	if conn := r.conns[req.conn]; conn != nil {
		conn.lastPlacedAt = r.now
	}
}

// send sends a message on a connection.
func (r *clientRegistry) send(id ConnID, msg protocol.Message) {
	r.emit(Effect{Kind: SendToClient, Conn: id, Message: msg})
}

// answer sends the answer to a request on the connection on which the request arrived, if that is still open.
func (r *clientRegistry) answer(req *request, answer protocol.Message) {
	if r.conns[req.conn] != nil {
		r.send(req.conn, answer)
	}
}

// selectFor returns the preferred connection if it is open, otherwise the one that most likely belongs to a client with running tasks, or nil if
// none has sent a valid message.
func (r *clientRegistry) selectFor(preferred ConnID) *clientConn {
	if conn := r.conns[preferred]; conn != nil {
		return conn
	}
	var best *clientConn
	for _, conn := range r.conns {
		if conn.identified() && (best == nil || conn.moreRecentThan(best)) {
			best = conn
		}
	}
	return best
}

// onlyIdentified reports whether a connection is the only one that has sent a valid message.
func (r *clientRegistry) onlyIdentified(id ConnID) bool {
	conn := r.conns[id]
	if conn == nil || !conn.identified() {
		return false
	}
	for other, candidate := range r.conns {
		if other != id && candidate.identified() {
			return false
		}
	}
	return true
}
