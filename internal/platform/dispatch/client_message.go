package dispatch

import (
	"heathshed/internal/platform/protocol"
)

// handleClientMessage handles a message of a client by its kind. Kinds that only nodes send have no effect.
func (c *Core) handleClientMessage(client *clientConn, msg *protocol.Message) error {
	switch msg.Kind {
	case protocol.Check:
		c.handleHealthCheck(client, msg)
	case protocol.Stopped:
		c.notifier.acknowledge(client, msg.ID)
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
	c.clients.send(client.id, replyTo(msg, protocol.Checked, healthCheckPassed))
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
		c.clients.send(client.id, replyTo(msg, protocol.Stop, protocol.CauseBusy))
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
