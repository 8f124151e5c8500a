package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// adoptionMaxWait limits how long new requests wait for adoptions. The time counts from the first health
	// check that any client sends.
	adoptionMaxWait placer.Seconds = 1.0
	// adoptionIdleGap is the time without an adoption after which no more adoptions are expected.
	adoptionIdleGap placer.Seconds = 0.05
)

// adoption adds tasks that run already. After this scheduler has started, clients list their running tasks in
// launch messages. The type also tracks until when further messages of this kind are expected.
type adoption struct {
	*sharedState
	nodes             *nodeRegistry
	requests          *requestTable
	attempts          *attemptTable
	earlyTerminations *earlyTerminationLog
	notifier          *notifier

	firstHealthCheckAt placer.Seconds // when the first health check of any client arrived, or 0 if none has
	lastAdoptionAt     placer.Seconds // when the last adoption was received; initially firstHealthCheckAt
}

// healthCheckReceived records that a client has sent a health check. After the first health check, clients
// are expected to list their running tasks.
func (a *adoption) recordHealthCheck() {
	if a.firstHealthCheckAt == 0 {
		a.firstHealthCheckAt = a.now
		a.lastAdoptionAt = a.now // the first launch message for an adoption may already be in transit
	}
}

// adopt adds a task that already runs on the node that the launch message names. If that node is not in the
// registry, adopt returns an *InvalidMessageError.
func (a *adoption) adopt(client *clientConn, msg *protocol.Message, parsedReq parsedRequest) error {
	a.counts.Adopted++
	a.lastAdoptionAt = a.now
	node := a.nodes.getByUID(parsedReq.adoptedFromUID)
	if node == nil {
		return invalidMessage(InvalidNode, "launch message %s: the extras field \"at\" names node %.40q, which is not in the node registry", msg.UID, parsedReq.adoptedFromUID)
	}
	key := attemptKey{node.ID, msg.ID}
	if abandonedAttempt := a.attempts.get(key); abandonedAttempt != nil {
		a.attempts.remove(abandonedAttempt) // this scheduler abandoned the attempt, but the node accepted it
	}
	if termination, isRecorded := a.earlyTerminations.get(key); isRecorded {
		// The node has already reported the end of the task and does not repeat the report. The client listed
		// the task because it had not been notified of the end yet.
		a.counts.TasksEnded++
		a.notifier.notifyOnConn(client, replyTo(msg, protocol.Stop, termination.cause))
		return nil
	}
	task := parsedReq.task
	req := a.requests.addAdopted(client.id, msg, &task)
	attempt := a.attempts.addAdopted(req, node.ID)
	a.postEvent(placer.Event{Kind: placer.Adopted, TaskID: req.taskID, Task: task, Node: node.ID})
	a.addEffect(Effect{Kind: ConnectNode, Attempt: attempt})
	return nil
}

// adoptionsExpectedUntil returns the time until which adoptions are expected: adoptionIdleGap after the last
// adoption, but at most adoptionMaxWait after the first health check.
func (a *adoption) adoptionsExpectedUntil() placer.Seconds {
	return min(a.lastAdoptionAt+adoptionIdleGap, a.firstHealthCheckAt+adoptionMaxWait)
}

// postArrival passes a new request to the placer, at once or when no more adoptions are expected. After a
// scheduler start, clients list hundreds of running tasks on one connection while new requests arrive on
// other connections. If the placer received a request before all tasks are adopted, it would place the task
// without regard to the nodes on which its service already runs. New requests therefore wait until no more
// adoptions are expected, but never beyond their deadlines.
func (a *adoption) postArrival(req *request, task placer.Task) {
	waitUntil := min(a.adoptionsExpectedUntil(), req.deadline)
	if a.now >= waitUntil {
		a.postEvent(placer.Event{Kind: placer.Arrived, TaskID: req.taskID, Task: task})
		return
	}
	a.timers.Add(waitUntil, func() {
		if !req.state.isFinal() {
			a.postArrival(req, task)
		}
	})
}
