package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// migrationConfirmTimeout is the time in which a node confirms that it stopped a task for a migration. A node that does not had ended the task
// before.
const migrationConfirmTimeout = 0.4

// causeLost is the cause given to clients of tasks that ended with their node.
const causeLost = protocol.CauseReset

// startTask enters a task that a node has accepted as running, and answers its client.
func (c *Core) startTask(attempt *Attempt, body string) {
	req := attempt.request
	c.timers.Stop(attempt.timer)
	c.transitionAttempt(attempt, attemptRunning)
	attempt.runningSince = c.now
	c.Counts.Bound++
	c.Counts.Placed++
	c.transition(req, requestRunning)
	c.removeFromOpen(req)
	c.clients.taskPlaced(req)
	c.nodes.taskStarted(attempt)
	answer := replyTo(&req.message, protocol.Running, noCause)
	answer.Body = body
	c.clients.send(req.conn, answer)
	c.postBound(attempt)
}

// endTask ends a running task. Its client is notified, unless it asked for the end, or was asked to migrate and the node confirms that.
func (c *Core) endTask(attempt *Attempt, ended outcome, cause int) {
	req := attempt.request
	unconfirmedMigration := req.state == requestMigrating && cause != protocol.CauseCancelled
	notify := !req.state.closed() || unconfirmedMigration
	c.removeAttempt(attempt)
	c.Counts.TasksEnded++
	if ended.result == placer.Lost {
		c.Counts.TasksLost++
	}
	c.transition(req, requestTerminated)
	if notify {
		c.notifier.notify(req, replyTo(&req.message, protocol.Stop, cause))
	}
	c.postAttemptEnded(attempt, ended)
	c.removeRequest(req)
}

// endLostTask ends a running task that ended with its node.
func (c *Core) endLostTask(attempt *Attempt) {
	c.endTask(attempt, outcome{result: placer.Lost}, causeLost)
}

// endUnansweredTask ends a request whose node had accepted it and then evicted, preempted or drained the task, while the acceptance was lost
// or is late: a node rejects what it has not accepted for want of capacity. The task ran and is over. Its client is told so and may send a
// new request; another attempt would start a task anew under an ID that is over.
func (c *Core) endUnansweredTask(attempt *Attempt, ended outcome, cause int) {
	req := attempt.request
	c.Counts.TasksLost++
	c.closeRequest(req, requestTerminated)
	c.clients.answer(req, replyTo(&req.message, protocol.Stop, cause))
	c.postBound(attempt)
	c.postAttemptEnded(attempt, ended)
	c.removeRequest(req)
}

// migrateTask asks the client of a running task to place it anew, and its node to stop it.
func (c *Core) migrateTask(req *request) {
	attempt := req.runningAttempt()
	if attempt == nil || req.state.closed() {
		return
	}
	c.Counts.Migrations++
	c.transition(req, requestMigrating)
	c.notifier.notify(req, replyTo(&req.message, protocol.Migrate, noCause))
	c.stopTask(attempt, protocol.CauseCancelled, false)
}

// notifyUnconfirmedMigration notifies the client of a migrating task that it has ended, if the node has not confirmed that it stopped it for
// the migration. A task may end by itself while it is asked to migrate, and its client then ignores the request.
func (c *Core) notifyUnconfirmedMigration(attempt *Attempt) {
	req := attempt.request
	if attempt.state != attemptRunning || req.state != requestMigrating {
		return
	}
	c.transition(req, requestStopping)
	c.notifier.notify(req, replyTo(&req.message, protocol.Stop, protocol.CauseCancelled))
}

// stopTask tells the node of an attempt to stop the task, or not to start it. A running task ends when the node confirms that, or after
// notificationRetention.
func (c *Core) stopTask(attempt *Attempt, cause int, timedOut bool) {
	if attempt.state == attemptRunning && !attempt.stopSent {
		c.awaitStop(attempt)
	}
	attempt.stopSent = true
	c.emit(Effect{
		Kind:     SendToNode,
		Attempt:  attempt,
		Message:  replyTo(&attempt.request.message, protocol.Stop, cause),
		TimedOut: timedOut,
	})
}

// awaitStop sets the timers for a running task that its node is told to stop.
func (c *Core) awaitStop(attempt *Attempt) {
	if attempt.request.state == requestMigrating {
		c.timers.Add(c.now+migrationConfirmTimeout, func() { c.notifyUnconfirmedMigration(attempt) })
	}
	attempt.timer = c.timers.Add(c.now+notificationRetention, func() {
		c.endTask(attempt, outcome{result: placer.Cancelled}, protocol.CauseCancelled)
	})
}

// NodeDead ends all tasks that run on a node whose process has ended, or that has terminated.
func (c *Core) NodeDead(now float64, id placer.NodeID) {
	c.setTime(now)
	c.nodes.endTasksOf(id)
	c.runEvents()
}

// NodeUnresponsive stops all tasks that run on an unresponsive node and returns how many they are. Their clients are notified at once. But the
// tasks may run on if the node is only cut off, so it is told to stop them as soon as it can be reached, and for the placer they run until it
// confirms that, or for notificationRetention. Otherwise the placer would take capacity of a service for free that a node about to come back
// has in use, and would exceed the limit on how many tasks of a service run in one place.
func (c *Core) NodeUnresponsive(now float64, id placer.NodeID) (tasks int) {
	c.setTime(now)
	if node := c.nodes.get(id); node != nil {
		tasks = c.stopUnresponsiveTasks(node)
	}
	c.runEvents()
	return tasks
}

func (c *Core) stopUnresponsiveTasks(node *Node) (stopped int) {
	for _, attempt := range node.runningAttempts() {
		if attempt.stopSent {
			continue
		}
		stopped++
		c.Counts.TasksLost++
		req := attempt.request
		if !req.state.closed() {
			c.transition(req, requestStopping)
			c.notifier.notify(req, replyTo(&req.message, protocol.Stop, causeLost))
		}
		c.stopTask(attempt, protocol.CauseCancelled, false)
	}
	return stopped
}
