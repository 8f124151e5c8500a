package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// Adoption: after a start of this scheduler, clients list their running tasks, and the scheduler takes responsibility for them.

const (
	// adoptionMaxWait bounds the time after the first health check for which new requests wait for adoptions.
	adoptionMaxWait = 1.0
	// adoptionIdleGap is the time without an adoption after which no more are expected.
	adoptionIdleGap = 0.05
)

// adopt enters a task that runs on a node already.
func (c *Core) adopt(client *clientConn, msg *protocol.Message, parsed parsedRequest) error {
	node := c.nodes.getByUID(parsed.adoptedFrom)
	if node == nil {
		return invalidMessage(InvalidNode, "launch %s: extras: at: node %.40q is not in the registry", msg.UID, parsed.adoptedFrom)
	}
	key := attemptKey{node.ID, msg.ID}
	if earlier := c.attempts[key]; earlier != nil {
		c.removeAttempt(earlier) // it was abandoned here, and accepted by the node after all
	}
	if early, terminated := c.earlyTerminations.get(key); terminated {
		// The client listed the task before it could learn of its end, which the node reports only once.
		c.Counts.TasksEnded++
		c.notifier.notifyOn(client, replyTo(msg, protocol.Stop, early.cause))
		return nil
	}
	task := parsed.task
	req := c.addRequest(client.id, msg, &task, requestRunning)
	c.clients.taskPlaced(req)
	attempt := &Attempt{
		Node:         node.ID,
		Message:      req.launchMessage(),
		request:      req,
		state:        attemptRunning,
		createdAt:    c.now,
		runningSince: c.now,
	}
	req.attempts = append(req.attempts, attempt)
	c.attempts[key] = attempt
	c.nodes.taskStarted(attempt)
	c.post(placer.Event{Kind: placer.Adopted, TaskID: req.taskID, Task: task, Node: node.ID})
	c.emit(Effect{Kind: ConnectNode, Attempt: attempt})
	return nil
}

// postArrival passes a new request to the placer. After a start, clients list hundreds of running tasks on one connection while new requests
// come on others, and a request that is placed before all of them were adopted is placed without regard to where its service runs. So new
// requests wait until no more adoptions come, for a short time at most and never beyond their deadline.
func (c *Core) postArrival(req *request, task placer.Task) {
	waitUntil := min(c.lastAdoptionAt+adoptionIdleGap, c.firstHealthCheckAt+adoptionMaxWait, req.deadline)
	if c.now >= waitUntil {
		c.post(placer.Event{Kind: placer.Arrived, TaskID: req.taskID, Task: task})
		return
	}
	c.timers.Add(waitUntil, func() {
		if !req.state.closed() {
			c.postArrival(req, task)
		}
	})
}
