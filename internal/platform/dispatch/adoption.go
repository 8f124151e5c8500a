package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// adoptionMaxWait bounds the time after the first health check for which new requests wait for adoptions.
	adoptionMaxWait placer.Seconds = 1.0
	// adoptionIdleGap is the time without an adoption after which no further ones are expected.
	adoptionIdleGap placer.Seconds = 0.05
)

// adoption adds tasks that run already: after a start of this scheduler, clients list their running tasks. It owns the times at which adoptions
// are expected.
type adoption struct {
	*environment
	nodes             *nodeRegistry
	requests          *requestTable
	attempts          *attemptTable
	earlyTerminations *earlyTerminationLog
	notifier          *notifier

	firstHealthCheckAt placer.Seconds // when the first health check of a client arrived, or 0
	lastAdoptionAt     placer.Seconds // when a running task was last adopted, or firstHealthCheckAt
}

// healthCheckReceived records a health check. After the first one, clients are expected to list their running tasks.
func (a *adoption) healthCheckReceived() {
	if a.firstHealthCheckAt == 0 {
		a.firstHealthCheckAt = a.now
		a.lastAdoptionAt = a.now // the first adoption may be in transit
	}
}

// adopt adds a task that runs on a node already. The error is an *InvalidMessageError.
func (a *adoption) adopt(client *clientConn, msg *protocol.Message, parsed parsedRequest) error {
	a.counts.Adopted++
	a.lastAdoptionAt = a.now
	node := a.nodes.getByUID(parsed.adoptedFrom)
	if node == nil {
		return invalidMessage(InvalidNode, "launch %s: extras: at: node %.40q is not in the registry", msg.UID, parsed.adoptedFrom)
	}
	key := attemptKey{node.ID, msg.ID}
	if earlier := a.attempts.get(key); earlier != nil {
		a.attempts.remove(earlier) // it was abandoned here, but the node accepted it
	}
	if early, terminated := a.earlyTerminations.get(key); terminated {
		// The client listed the task before it could learn of its end, which the node reports only once.
		a.counts.TasksEnded++
		a.notifier.notifyOn(client, replyTo(msg, protocol.Stop, early.cause))
		return nil
	}
	task := parsed.task
	req := a.requests.adopt(client.id, msg, &task)
	attempt := a.attempts.adopt(req, node.ID)
	a.post(placer.Event{Kind: placer.Adopted, TaskID: req.taskID, Task: task, Node: node.ID})
	a.emit(Effect{Kind: ConnectNode, Attempt: attempt})
	return nil
}

// expectedUntil returns the time until which adoptions are expected: adoptionIdleGap after the last one, but no later than adoptionMaxWait
// after the first health check.
func (a *adoption) expectedUntil() placer.Seconds {
	return min(a.lastAdoptionAt+adoptionIdleGap, a.firstHealthCheckAt+adoptionMaxWait)
}

// postArrival passes a new request to the placer. After a start, clients list hundreds of running tasks on one connection while new requests
// arrive on others, and a request that is placed before all tasks are adopted is placed without regard to where its service runs. So new
// requests wait until no further adoptions are expected, but never beyond their deadline.
func (a *adoption) postArrival(req *request, task placer.Task) {
	waitUntil := min(a.expectedUntil(), req.deadline)
	if a.now >= waitUntil {
		a.post(placer.Event{Kind: placer.Arrived, TaskID: req.taskID, Task: task})
		return
	}
	a.timers.Add(waitUntil, func() {
		if !req.state.closed() {
			a.postArrival(req, task)
		}
	})
}
