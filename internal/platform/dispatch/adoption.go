package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// adoptionMaxWait limits how long new placement requests wait for adoption requests. The waiting time
	// is counted from the first health check of any client.
	adoptionMaxWait placer.Seconds = 1.0
	// adoptionIdleGap is how long the core waits for the next adoption request. If this time passes without
	// an adoption request, the core stops waiting.
	adoptionIdleGap placer.Seconds = 0.05
)

// adoption handles adoption requests. An adoption request is a launch message that names the node on which
// the task already runs. After a scheduler start, clients send one adoption request for each of their running
// tasks. The type adoption also determines how long further adoption requests are expected.
type adoption struct {
	*sharedState
	nodes             *nodeRegistry
	requests          *requestTable
	attempts          *attemptTable
	arrivals          *arrivalQueue
	earlyTerminations *earlyTerminationLog
	notifier          *notifier
	tasks             *taskController
	waiting           *waitingAdoptions

	firstHealthCheckAt placer.Seconds // firstHealthCheckAt is 0 until a client has sent a health check.
	// lastAdoptionRequestAt is the arrival time of the last adoption request. Before the first adoption
	// request, it is equal to firstHealthCheckAt.
	lastAdoptionRequestAt placer.Seconds
}

// recordHealthCheck records that a client has sent a health check. After the first health check, clients are
// expected to request the adoption of their running tasks.
func (a *adoption) recordHealthCheck() {
	if a.firstHealthCheckAt == 0 {
		a.firstHealthCheckAt = a.now
		a.lastAdoptionRequestAt = a.now // The first adoption request may already be in transit.
	}
}

// adopt handles an adoption request: it adds the task as a running task of the node that the message names.
// If that node is not in the node registry, adopt returns an *InvalidMessageError, unless discovery cannot be
// reached: the node may have joined meanwhile, so the request waits until a node list arrives. If no slot is left for the
// client, adopt ignores the request: an answer would tell the client that its task is over, and the client would
// start the task again.
func (a *adoption) adopt(client *clientConn, msg *protocol.Message, parsedReq parsedRequest) error {
	a.counts.Adopted++
	a.lastAdoptionRequestAt = a.now
	node := a.nodes.getByUID(parsedReq.adoptedFromUID)
	if node == nil && !a.nodes.discoveryConnected {
		a.waiting.add(client, msg, parsedReq)
		return nil
	}
	if node == nil {
		return invalidMessage(InvalidNode, "launch message %s: the extras field \"at\" names node %.40q, which is not in the node registry", msg.UID, parsedReq.adoptedFromUID)
	}
	a.adoptOn(node, client, msg, parsedReq)
	return nil
}

// adoptWaiting handles the adoption requests that name nodes which discovery has listed by now.
func (a *adoption) adoptWaiting() {
	for _, waiting := range a.waiting.takeListed(a.nodes) {
		if a.requests.getByID(waiting.message.ID) == nil {
			a.adoptOn(a.nodes.getByUID(waiting.parsed.adoptedFromUID), &waiting.client, &waiting.message, waiting.parsed)
		}
	}
}

// adoptOn adds a task as a running task of the given node, on behalf of a client whose connection may be closed.
func (a *adoption) adoptOn(node *Node, client *clientConn, msg *protocol.Message, parsedReq parsedRequest) {
	key := attemptKey{node.ID, msg.ID}
	if abandonedAttempt := a.attempts.get(key); abandonedAttempt != nil {
		a.attempts.remove(abandonedAttempt) // The scheduler abandoned this attempt before the node accepted it.
	}
	a.tasks.withdrawStopOrders(node.ID, msg.Get(protocol.Key))
	if termination, isRecorded := a.earlyTerminations.get(key); isRecorded {
		// The node has already reported the end of the task and does not repeat the report. The client still
		// requests the adoption because it has not been notified of the end.
		a.counts.TasksEnded++
		a.notifier.sendOnAnyConn(client.id, a.notifier.newNotification(replyTo(msg, protocol.Stop, termination.cause)))
		return
	}
	displaced, ok := a.attempts.quota.reserve(client)
	if !ok || a.requests.isFull() && displaced == nil {
		a.counts.AdoptionsIgnored++
		return
	}
	if displaced != nil {
		a.counts.AdoptionsIgnored++
		a.tasks.dropAdopted(displaced)
	}
	task := parsedReq.task
	req := a.requests.addAdopted(client.id, msg, &task)
	attempt := a.attempts.addAdopted(req, node.ID, client)
	a.postEvent(placer.Event{Kind: placer.Adopted, TaskID: req.taskID, Task: task, Node: node.ID})
	a.addEffect(Effect{Kind: ConnectNode, Attempt: attempt})
}

// adoptionsExpectedUntil returns the time until which adoption requests are expected. That time is
// adoptionIdleGap after the last adoption request, but at most adoptionMaxWait after the first health check.
func (a *adoption) adoptionsExpectedUntil() placer.Seconds {
	return min(a.lastAdoptionRequestAt+adoptionIdleGap, a.firstHealthCheckAt+adoptionMaxWait)
}

// postArrival passes a new placement request to the arrivalQueue as soon as no more adoption requests are expected,
// but at the latest at the deadline of the placement request. After a scheduler start, a client sends adoption
// requests for hundreds of running tasks on one client connection, while new placement requests arrive on
// other client connections. Until the placer knows all running tasks, it would place a new task without regard
// to the unknown tasks of the same service.
func (a *adoption) postArrival(req *request, task placer.Task) {
	waitUntil := min(a.adoptionsExpectedUntil(), req.deadline)
	if a.now >= waitUntil {
		a.arrivals.arrive(req, task)
		return
	}
	req.arrivalTimer = a.timers.Add(waitUntil, func() {
		if !req.state.isFinal() {
			a.postArrival(req, task)
		}
	})
}
