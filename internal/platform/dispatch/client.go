package dispatch

import (
	"errors"
	"fmt"
	"slices"

	"heathshed/internal/platform/protocol"
)

// ConnID identifies a client connection. 0 is none.
type ConnID uint64

// NodeConnID is the caller's number of a connection to a node; 0 is none.
type NodeConnID uint64

// ErrClientNotConnected is the error of a message on a client connection that is not open.
var ErrClientNotConnected = errors.New("client connection is not open")

// clientConn is the state of one client connection. Until it has sent a valid message it may belong to anything that found the port.
type clientConn struct {
	id             ConnID
	openRequests   map[*request]struct{}
	lastPlacedAt   float64        // when a task of a request on it last began to run or was adopted, 0 if none has
	lastValidAt    float64        // when it last sent a valid message, 0 if it has not
	unacknowledged []notification // sent on it and not acknowledged yet
	acknowledges   bool           // it has acknowledged a notification: the protocol leaves it to clients whether they do
}

// ClientConnected adds a client connection.
func (c *Core) ClientConnected(now float64, conn ConnID) {
	c.setTime(now)
	c.clients[conn] = &clientConn{id: conn, openRequests: map[*request]struct{}{}}
}

// ClientDisconnected removes a client connection. Its open requests are withdrawn, since their answers could not be sent. Notifications that
// the client may not have received are sent again on another connection.
func (c *Core) ClientDisconnected(now float64, conn ConnID) {
	c.setTime(now)
	client := c.clients[conn]
	if client == nil {
		return
	}
	delete(c.clients, conn)
	for _, req := range sortedRequests(client.openRequests) {
		c.withdrawRequest(req)
	}
	c.redeliver(client)
	c.runEvents()
}

// ClientRequests returns the number of open requests on a connection, and whether a task of any request on it ever ran.
func (c *Core) ClientRequests(conn ConnID) (open int, placed bool) {
	client := c.clients[conn]
	if client == nil {
		return 0, false
	}
	return len(client.openRequests), client.lastPlacedAt > 0
}

// IsLastClient reports whether a connection is the only one that has sent a valid message while tasks run: notifications of their ends could not
// be sent on any other.
func (c *Core) IsLastClient(conn ConnID) bool {
	client := c.clients[conn]
	if client == nil || client.lastValidAt <= 0 || c.RunningTasks() == 0 {
		return false
	}
	for other, candidate := range c.clients {
		if other != conn && candidate.lastValidAt > 0 {
			return false
		}
	}
	return true
}

// ReceiveFromClient handles one message of a client. The error is an *InvalidMessageError if the message is invalid, in which case its sender
// has been answered, or wraps ErrClientNotConnected.
func (c *Core) ReceiveFromClient(now float64, conn ConnID, msg *protocol.Message) error {
	c.setTime(now)
	client := c.clients[conn]
	if client == nil {
		return fmt.Errorf("receive on connection %d: %w", conn, ErrClientNotConnected)
	}
	err := c.handleClientMessage(client, msg)
	if err != nil {
		c.Counts.InvalidMessages++
		c.sendToClient(conn, replyTo(msg, protocol.Stop, protocol.CauseError))
	} else {
		client.lastValidAt = c.now
		c.sendPendingNotifications(client)
	}
	c.runEvents()
	return err
}

// handleClientMessage handles a message of a client by its kind. Kinds that only nodes send have no effect.
func (c *Core) handleClientMessage(client *clientConn, msg *protocol.Message) error {
	switch msg.Kind {
	case protocol.Check:
		c.handleHealthCheck(client, msg)
	case protocol.Stopped:
		client.acknowledge(msg.ID)
	case protocol.Launch:
		return c.handleLaunch(client, msg)
	case protocol.Stop:
		return c.handleClientStop(client, msg)
	}
	return nil
}

// healthCheckPassed is the cause of a Checked message that says that the scheduler is healthy.
const healthCheckPassed = 1

// handleHealthCheck answers a health check. After the first one, clients are expected to list their running tasks for adoption.
func (c *Core) handleHealthCheck(client *clientConn, msg *protocol.Message) {
	if c.firstHealthCheckAt == 0 {
		c.firstHealthCheckAt = c.now
		c.lastAdoptionAt = c.now // the first adoption may be on its way
	}
	c.sendToClient(client.id, replyTo(msg, protocol.Checked, healthCheckPassed))
}

// handleLaunch handles a new placement request, or a task that runs already and is to be adopted.
func (c *Core) handleLaunch(client *clientConn, msg *protocol.Message) error {
	c.Counts.PlacementRequests++
	parsed, err := c.parser.parse(c.now, msg)
	if existing := c.requestsByID[msg.ID]; existing != nil {
		if err == nil && parsed.isAdoption() {
			return nil // adopted already
		}
		return c.refuseDuplicate(client, existing, msg)
	}
	if err != nil {
		return err
	}
	if len(c.requestsByID) >= maxTasks {
		c.sendToClient(client.id, replyTo(msg, protocol.Stop, protocol.CauseBusy))
		return nil
	}
	if parsed.isAdoption() {
		c.Counts.Adopted++
		c.lastAdoptionAt = c.now
		return c.adopt(client, msg, parsed)
	}
	c.Counts.Accepted++
	c.openRequest(client, msg, parsed.task)
	return nil
}

// refuseDuplicate handles a launch message whose ID is in use. Two requests with one ID could not both be answered, so an open one on the same
// connection ends with this one.
func (c *Core) refuseDuplicate(client *clientConn, existing *request, msg *protocol.Message) error {
	if existing.conn == client.id && existing.runningAttempt() == nil {
		c.withdrawRequest(existing)
	}
	return invalidMessage(InvalidIDInUse, "launch: id %s is in use", msg.UID)
}

// handleClientStop handles a client's wish to withdraw an open request or to stop a running task.
func (c *Core) handleClientStop(client *clientConn, msg *protocol.Message) error {
	req := c.requestsByID[msg.ID]
	if req == nil {
		return nil // it crossed our answer
	}
	if attempt := req.runningAttempt(); attempt != nil {
		if !req.state.closed() {
			c.transition(req, requestStopping)
			c.stopTask(attempt, clientStopCause(msg), false)
		}
		return nil
	}
	if req.conn != client.id {
		return invalidMessage(InvalidStop, "stop: request %s is open on another connection", msg.UID)
	}
	c.withdrawRequest(req)
	return nil
}

// clientStopCause is the cause with which a node is asked to stop a task for its client.
func clientStopCause(msg *protocol.Message) int {
	if msg.HasCause {
		return msg.Cause
	}
	return protocol.CauseCancelled
}

func (c *Core) sendToClient(conn ConnID, msg protocol.Message) {
	c.emit(Effect{Kind: SendToClient, Conn: conn, Message: msg})
}

// answerClient sends the answer to a request on the connection that the request came on, if that is still open.
func (c *Core) answerClient(req *request, answer protocol.Message) {
	if c.clients[req.conn] != nil {
		c.sendToClient(req.conn, answer)
	}
}

// sortedRequests returns the requests in the order in which they came.
func sortedRequests(set map[*request]struct{}) []*request {
	requests := make([]*request, 0, len(set))
	for req := range set {
		requests = append(requests, req)
	}
	slices.SortFunc(requests, func(a, b *request) int { return int(a.taskID) - int(b.taskID) })
	return requests
}
