package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// ConnID identifies a client connection. The value 0 stands for the absence of a connection.
type ConnID uint64

// clientConn is the state of one client connection, and is owned by clientRegistry.
type clientConn struct {
	id           ConnID
	address      string         // address is the host of the client.
	identity     clientIdentity // identity is the strongest evidence that has arrived on the connection.
	openRequests map[*request]struct{}
	// lastPlacedAt is the last time at which the task of a request on this connection started or was adopted.
	// It is 0 if there is no such task.
	lastPlacedAt     placer.Seconds
	lastIdentifiedAt placer.Seconds // lastIdentifiedAt is when a message that shows an identity last arrived, or 0.
	notifications    deliveryLog    // Only the notifier writes this log of notifications.
}

// isIdentified reports whether the client may be notified if no better connection is open.
func (conn *clientConn) isIdentified() bool { return conn.identity > clientUnknown }

// hasOpenRequest reports whether the given request is one of the open requests of the connection.
func (conn *clientConn) hasOpenRequest(req *request) bool {
	_, isOpen := conn.openRequests[req]
	return isOpen
}

// betterThan reports whether the connection more likely belongs to the owner of running tasks than another one:
// by its identity, then by the later lastPlacedAt, then by the later lastIdentifiedAt, then by the higher ID.
func (conn *clientConn) betterThan(other *clientConn) bool {
	return cmp.Or(
		cmp.Compare(conn.identity, other.identity),
		cmp.Compare(conn.lastPlacedAt, other.lastPlacedAt),
		cmp.Compare(conn.lastIdentifiedAt, other.lastIdentifiedAt),
		cmp.Compare(conn.id, other.id),
	) > 0
}

// openRequestsByArrival returns the open requests of the connection in the order of their arrival.
func (conn *clientConn) openRequestsByArrival() []*request {
	requests := make([]*request, 0, len(conn.openRequests))
	for req := range conn.openRequests {
		requests = append(requests, req)
	}
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.taskID, b.taskID) })
	return requests
}

// clientRegistry owns the client connections and sends messages on them.
type clientRegistry struct {
	*sharedState
	conns map[ConnID]*clientConn
}

func newClientRegistry(shared *sharedState) *clientRegistry {
	return &clientRegistry{sharedState: shared, conns: map[ConnID]*clientConn{}}
}

// connect adds a client connection.
func (r *clientRegistry) connect(id ConnID, address string) {
	r.conns[id] = &clientConn{id: id, address: address, openRequests: map[*request]struct{}{}}
}

// disconnect removes a client connection and returns it. It returns nil if the connection is not open.
func (r *clientRegistry) disconnect(id ConnID) *clientConn {
	conn := r.conns[id]
	delete(r.conns, id)
	return conn
}

// get returns the connection with the given ID, or nil if that connection is not open.
func (r *clientRegistry) get(id ConnID) *clientConn { return r.conns[id] }

// openRequestCount returns the number of open requests on all connections.
func (r *clientRegistry) openRequestCount() int {
	count := 0
	for _, conn := range r.conns {
		count += len(conn.openRequests)
	}
	return count
}

// recordIdentity records what a message on a connection has shown about the client. It returns true if the
// connection has become an owner's.
func (r *clientRegistry) recordIdentity(conn *clientConn, identity clientIdentity) (becameOwner bool) {
	becameOwner = identity == clientOwner && conn.identity != clientOwner
	conn.identity = max(conn.identity, identity)
	conn.lastIdentifiedAt = r.now
	return becameOwner
}

// connsByID returns the open connections in the order of their IDs.
func (r *clientRegistry) connsByID() []*clientConn {
	return slices.SortedFunc(maps.Values(r.conns), func(a, b *clientConn) int { return cmp.Compare(a.id, b.id) })
}

// addOpenRequest adds a request to the set of open requests of its client connection.
func (r *clientRegistry) addOpenRequest(req *request) {
	if conn := r.conns[req.connID]; conn != nil {
		conn.openRequests[req] = struct{}{}
	}
}

// removeOpenRequest removes a request from the set of open requests of its client connection.
func (r *clientRegistry) removeOpenRequest(req *request) {
	if conn := r.conns[req.connID]; conn != nil {
		delete(conn.openRequests, req)
	}
}

// recordPlacedTask sets lastPlacedAt of the client connection on which a request arrived. It is called when
// the task of the request has started or was adopted.
func (r *clientRegistry) recordPlacedTask(req *request) {
	if conn := r.conns[req.connID]; conn != nil {
		conn.lastPlacedAt = r.now
	}
}

// send adds the effect that sends a message on a client connection.
func (r *clientRegistry) send(id ConnID, msg protocol.Message) {
	r.addEffect(Effect{Kind: SendToClient, Conn: id, Message: msg})
}

// sendAnswer sends the answer to a request on the connection on which the request arrived. It sends nothing
// if that connection is closed.
func (r *clientRegistry) sendAnswer(req *request, answer protocol.Message) {
	if r.conns[req.connID] != nil {
		r.send(req.connID, answer)
	}
}

// selectConn returns the preferred connection if that connection is open. Otherwise it returns the connection
// that most likely belongs to a client with running tasks. It returns nil if no open connection is identified.
func (r *clientRegistry) selectConn(preferredConn ConnID) *clientConn {
	if conn := r.conns[preferredConn]; conn != nil {
		return conn
	}
	var best *clientConn
	for _, conn := range r.conns {
		if conn.isIdentified() && (best == nil || conn.betterThan(best)) {
			best = conn
		}
	}
	return best
}

// isOnlyClient reports whether a connection is the only open connection that is identified.
func (r *clientRegistry) isOnlyClient(id ConnID) bool {
	conn := r.conns[id]
	if conn == nil || !conn.isIdentified() {
		return false
	}
	for otherID, otherConn := range r.conns {
		if otherID != id && otherConn.isIdentified() {
			return false
		}
	}
	return true
}
