// Package dispatch implements the state machine of a scheduler on the shared platform. Clients of the
// platform send placement requests to the scheduler, and the scheduler starts their tasks on nodes of the
// platform. The package tracks the placement requests of clients, the attempts to start their tasks on nodes,
// the running tasks, the undelivered notifications and the node registry. It translates between the messages
// of clients and nodes, which package protocol defines, and the events and actions of package placer. Package
// server runs a Core on network connections.
//
// The design follows the raft package of etcd: each method call reports what happened and at which time,
// and Core.Ready returns the effects that the caller has to carry out. The package has no I/O, clock,
// goroutines or global state. It makes no placement decisions: it passes each event to the placer and
// executes the actions that the placer returns. Points in time and durations have the type placer.Seconds.
//
// Core.ReceiveFromClient and Core.execute are the entry points for a first reading; docs/architecture.md
// describes how a placement request is processed. Core consists of components, and only the component that
// owns a field writes it. All components share a sharedState, which contains the clock, the timers, the
// effects for the caller and the events for the placer. The components are, from the outermost to the
// innermost layer:
//
//   - clientMessageHandler and nodeMessageHandler handle the messages of clients and of nodes;
//   - taskController manages a task from its start to its end, and adoption adds tasks that run already;
//   - requestTable and attemptTable store requests and attempts and change their states;
//   - arrivalQueue holds back requests of clients that have many unanswered attempts;
//   - nodeChecks tracks which orders nodes have not confirmed yet;
//   - notifier delivers notifications to clients, and earlyTerminationLog records the ends of tasks that the
//     scheduler does not know;
//   - clientRegistry stores the client connections, and nodeRegistry stores the nodes and their running
//     attempts.
package dispatch

import (
	"fmt"
	"math"
	"strconv"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// Core is the state machine of one scheduler. It handles the messages of clients and nodes and the events of
// discovery. Core is not safe for concurrent use.
type Core struct {
	// Counts contains the counters of the core. The caller of the core may read the counters but must not
	// change them.
	Counts Counts

	*sharedState
	clients        *clientRegistry
	nodes          *nodeRegistry
	requests       *requestTable
	attempts       *attemptTable
	checks         *nodeChecks
	tasks          *taskController
	notifier       *notifier
	clientMessages *clientMessageHandler
	nodeMessages   *nodeMessageHandler
}

// New returns a core whose node registry contains the nodes from initialEvents. The parameter initialEvents
// contains the discovery events from before the scheduler start. It is the JSON value of the key "known" in
// the configuration of the platform, or is empty. If initialEvents is invalid, the returned error names the
// invalid part.
func New(now placer.Seconds, settings *simconfig.Settings, policy eventqueue.Placer, initialEvents []byte) (*Core, error) {
	c := &Core{}
	c.sharedState = &sharedState{settings: settings, counts: &c.Counts, now: now, limits: NewLimits(0)}
	c.events = eventqueue.Queue{Placer: policy, Execute: c.execute}
	c.createComponents()
	if err := c.nodes.loadInitialEvents(initialEvents); err != nil {
		return nil, err
	}
	c.runEvents()
	return c, nil
}

// SetLimits replaces the limits, which are those of a process without a memory limit after New.
func (c *Core) SetLimits(limits Limits) { c.limits = limits }

// createComponents creates the components and connects them to each other.
func (c *Core) createComponents() {
	shared := c.sharedState
	earlyTerminations := newEarlyTerminationLog(shared)
	c.clients = newClientRegistry(shared)
	c.notifier = &notifier{sharedState: shared, clients: c.clients}
	c.nodes = newNodeRegistry(shared)
	c.checks = newNodeChecks(shared)
	arrivals := newArrivalQueue(shared)
	shared.passNextArrival = arrivals.passNext
	c.attempts = newAttemptTable(shared, c.nodes, c.checks, arrivals)
	c.requests = newRequestTable(shared, c.clients, c.attempts, arrivals)
	c.tasks = &taskController{sharedState: shared, clients: c.clients, requests: c.requests, attempts: c.attempts, checks: c.checks, notifier: c.notifier}
	c.nodes.endLostTask = c.tasks.endLostTask
	c.clientMessages = &clientMessageHandler{
		sharedState: shared,
		parser:      requestParser{settings: shared.settings},
		clients:     c.clients,
		requests:    c.requests,
		attempts:    c.attempts,
		tasks:       c.tasks,
		notifier:    c.notifier,
		adoption: &adoption{
			sharedState:       shared,
			nodes:             c.nodes,
			requests:          c.requests,
			attempts:          c.attempts,
			arrivals:          arrivals,
			earlyTerminations: earlyTerminations,
			notifier:          c.notifier,
			tasks:             c.tasks,
			waiting:           &waitingAdoptions{sharedState: shared},
		},
	}
	c.nodes.nodesListed = c.clientMessages.adoption.adoptWaiting
	c.nodeMessages = &nodeMessageHandler{sharedState: shared, nodes: c.nodes, attempts: c.attempts, tasks: c.tasks, earlyTerminations: earlyTerminations}
}

// Ready returns the effects that were added since the previous call of Ready. The caller owns the returned
// slice.
func (c *Core) Ready() []Effect { return c.takeEffects() }

// NextTimer returns the time at which Advance has to be called next, or positive infinity if no timer is set.
func (c *Core) NextTimer() placer.Seconds { return c.timers.NextTimeOr(placer.Seconds(math.Inf(1))) }

// Advance sets the clock to now and fires the timers that are due.
func (c *Core) Advance(now placer.Seconds) { c.runDueTimers(now) }

// execute carries out an action of the placer. It ignores an action for a task that the core does not know.
func (c *Core) execute(action *placer.Action) {
	switch action.Kind {
	case placer.SetTimer:
		c.setPlacerTimer(action)
	case placer.WatchNodes, placer.ListNodes:
		c.nodes.handleNodeListRequest()
	default:
		if req := c.requests.get(action.Task); req != nil {
			c.executeForRequest(req, action)
		}
	}
}

// setPlacerTimer carries out a SetTimer action of the placer. If the timer belongs to a request, it is stopped when
// the request is no longer open.
func (c *Core) setPlacerTimer(action *placer.Action) {
	token := action.Token
	timer := c.timers.Add(c.now+eventqueue.TimerDelay(action.After), func() {
		c.postEvent(placer.Event{Kind: placer.TimerFired, Token: token})
	})
	if action.Task == 0 {
		return
	}
	if req := c.requests.get(action.Task); req != nil {
		req.addPlacerTimer(timer)
	}
}

func (c *Core) executeForRequest(req *request, action *placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		c.attempts.start(req, action)
	case placer.Reject:
		c.Counts.Rejected++
		c.requests.sendFinalAnswer(req, c.newRejection(req, action.After))
	case placer.Fail:
		c.Counts.Failed++
		c.requests.sendFinalAnswer(req, replyTo(&req.message, protocol.Stop, protocol.CauseError))
	case placer.Migrate:
		c.tasks.migrateTask(req)
	}
}

// ClientConnected adds a new client connection. The parameter address identifies the host of the client.
func (c *Core) ClientConnected(now placer.Seconds, connID ConnID, address string) {
	c.setClock(now)
	c.clients.connect(connID, address)
}

// ClientDisconnected removes a client connection. The open requests of the connection are withdrawn, since
// their answers can no longer be sent. Notifications that the client may not have received are sent again on
// another client connection.
func (c *Core) ClientDisconnected(now placer.Seconds, connID ConnID) {
	c.setClock(now)
	client := c.clients.disconnect(connID)
	if client == nil {
		return
	}
	for _, req := range client.openRequestsByArrival() {
		c.requests.withdraw(req)
	}
	c.notifier.redeliver(client)
	c.runEvents()
}

// ClientRequests returns the number of open requests on a client connection. It also returns whether the task
// of any request on that connection has started or was adopted.
func (c *Core) ClientRequests(connID ConnID) (openCount int, hasPlacedTask bool) {
	client := c.clients.get(connID)
	if client == nil {
		return 0, false
	}
	return len(client.openRequests), client.lastPlacedAt > 0
}

// IsOnlyClient reports whether tasks are running and the given client connection is the only open client
// connection that is identified. If this connection closes, the core has no other client connection on which
// it can send notifications of the ends of tasks.
func (c *Core) IsOnlyClient(connID ConnID) bool {
	return c.RunningTasks() > 0 && c.clients.isOnlyClient(connID)
}

// ReceiveFromClient handles one message of a client. If the message is invalid, ReceiveFromClient returns an
// *InvalidMessageError, and Ready returns the effect that sends the error answer to the client. If the
// connection is not open, ReceiveFromClient returns an error that wraps ErrClientNotConnected.
func (c *Core) ReceiveFromClient(now placer.Seconds, connID ConnID, msg *protocol.Message) error {
	c.setClock(now)
	client := c.clients.get(connID)
	if client == nil {
		return fmt.Errorf("receive message on client connection %d: %w", connID, ErrClientNotConnected)
	}
	err := c.clientMessages.receive(client, msg)
	c.runEvents()
	return err
}

// AdoptionsExpected reports whether new placement requests wait for further adoption requests, as they do shortly
// after a scheduler start.
func (c *Core) AdoptionsExpected(now placer.Seconds) bool {
	return now < c.clientMessages.adoption.adoptionsExpectedUntil()
}

// PrepareSend checks an attempt immediately before the first byte of its launch message is written, and sets
// the remaining time in the message. If PrepareSend returns false, the attempt has ended and must not be
// sent.
func (c *Core) PrepareSend(now placer.Seconds, attempt *Attempt) bool {
	c.setClock(now)
	ok := c.attempts.prepareSend(attempt)
	c.runEvents()
	return ok
}

// ConnectFailed tells the core that an attempt was not sent because no connection to its node could be
// established.
func (c *Core) ConnectFailed(now placer.Seconds, attempt *Attempt) {
	c.setClock(now)
	c.attempts.handleConnectFailure(attempt)
	c.runEvents()
}

// ConnectionLost tells the core that the node connection on which an attempt was sent has closed. If the node
// has not answered the attempt, the attempt ends with an unknown outcome.
func (c *Core) ConnectionLost(now placer.Seconds, attempt *Attempt) {
	c.setClock(now)
	c.attempts.handleConnectionLoss(attempt)
	c.runEvents()
}

// NodeConnClosed tells the core that a connection to a node has ended, other than by the caller's choice to close
// a connection that works. If the node has restarted, the tasks that it accepted on the connection are lost.
func (c *Core) NodeConnClosed(now placer.Seconds, node placer.NodeID, connID NodeConnID) {
	c.setClock(now)
	c.nodes.handleConnClosed(node, connID)
	c.runEvents()
}

// AttemptUnresponsive tells the core that the node does not answer on the connection on which an attempt was
// sent. If the node has not answered the attempt, the attempt ends with an unknown outcome, and the node is told
// that it was given up.
func (c *Core) AttemptUnresponsive(now placer.Seconds, attempt *Attempt) {
	c.setClock(now)
	c.attempts.handleUnresponsiveNode(attempt)
	c.runEvents()
}

// ReceiveFromNode handles one message of a node about a task. The message has an effect only if an attempt
// for this task was sent to the node and the attempt has not been removed. Otherwise the core only counts the
// message. There is one exception: the core also records the end of a task that it does not know, because a
// client may still request the adoption of that task. If a figure in the message is not a number or is out of
// range, ReceiveFromNode handles the message without the figure, and returns an *InvalidMessageError.
func (c *Core) ReceiveFromNode(now placer.Seconds, node placer.NodeID, msg *protocol.Message) error {
	c.setClock(now)
	err := c.nodeMessages.receive(node, msg)
	c.runEvents()
	return err
}

// RepeatChecks makes the core send the unanswered checks to a node again, together with the orders to stop
// tasks that belong to them, because they may have been lost with a connection. The caller calls it when a
// connection to the node was established, and when one has closed while another is established.
func (c *Core) RepeatChecks(now placer.Seconds, id placer.NodeID) {
	c.setClock(now)
	c.checks.repeat(id)
	c.runEvents()
}

// CheckAnswered tells the core that a node has answered the check with the given number, which an effect of
// kind StopTask or CheckNode required for the attempt.
func (c *Core) CheckAnswered(now placer.Seconds, attempt *Attempt, number uint64) {
	c.setClock(now)
	if c.checks.acceptAnswer(attempt, number) {
		c.tasks.handleCheckAnswer(attempt)
	}
	c.runEvents()
}

// AwaitsCheckAnswer reports whether a check to the given node is unanswered, so that a connection to the node
// is needed.
func (c *Core) AwaitsCheckAnswer(id placer.NodeID) bool { return c.checks.awaitsAnswerOf(id) }

// BeginShutdown tells the core that the process will end soon. The core starts no further migration: if the
// node carried out the order after the process has ended, nobody would tell the client.
func (c *Core) BeginShutdown(now placer.Seconds) {
	c.setClock(now)
	c.tasks.beginShutdown()
}

// NodeDead tells the core that the process of a node has exited or that the node has been terminated. The
// core ends all tasks that run on the node.
func (c *Core) NodeDead(now placer.Seconds, id placer.NodeID) {
	c.setClock(now)
	c.nodes.endTasksOf(id)
	c.runEvents()
}

// NodeUnresponsive stops the tasks that run on an unresponsive node. It skips the tasks that the node was
// already asked to stop, and returns the number of the other tasks. The clients of these other tasks are
// notified immediately. The tasks may still be running if the node is only partitioned from the network, so
// the node is asked to stop the tasks as soon as it can be reached. The core reports the end of a task to the
// placer only when the node confirms that it stopped the task, or after notificationRetention. If the placer
// were told earlier, it would count the capacity of the task as free, although the node may come back and
// still run the task. The placer could then exceed the limit on the number of tasks of a service in one
// failure domain.
func (c *Core) NodeUnresponsive(now placer.Seconds, id placer.NodeID) (stoppedTasks int) {
	c.setClock(now)
	if node := c.nodes.get(id); node != nil {
		stoppedTasks = c.tasks.stopTasksOn(node)
	}
	c.runEvents()
	return stoppedTasks
}

// Node returns the node with the given ID, or nil if the node registry does not contain that node.
func (c *Core) Node(id placer.NodeID) *Node { return c.nodes.get(id) }

// EachNode calls f for each node in the node registry, in no particular order.
func (c *Core) EachNode(f func(*Node)) { c.nodes.each(f) }

// LastDiscoveryEvent returns the sequence number of the last discovery event that was applied.
func (c *Core) LastDiscoveryEvent() uint64 { return c.nodes.lastDiscoveryEvent }

// ReceiveDiscoveryEvent applies one event of the discovery stream. It returns false without applying the
// event if the event is invalid or if earlier events are missing. In both cases the caller has to reopen the
// discovery stream at the event that follows LastDiscoveryEvent. If the event was already applied,
// ReceiveDiscoveryEvent ignores it and returns true. If it applied the event without figures that are out of
// range, it returns true and an *InvalidMessageError.
func (c *Core) ReceiveDiscoveryEvent(now placer.Seconds, data []byte) (ok bool, err error) {
	c.setClock(now)
	ok, err = c.nodes.receiveEvent(data)
	c.runEvents()
	return ok, err
}

// SetDiscoveryConnected tells the core whether the discovery stream is connected. While it is connected, the
// placer receives each change of the node list without a request. If the placer requests the node list during
// that time, the core answers at once that there are no further changes. If the stream is not connected, the
// core answers the placer's request when the caller reports whether it could connect the stream. If the
// caller could not connect it, the core answers that the request failed.
func (c *Core) SetDiscoveryConnected(now placer.Seconds, connected bool) {
	c.setClock(now)
	c.nodes.setDiscoveryConnected(connected)
	c.runEvents()
}

// newRejection returns the answer to a request that is rejected for lack of capacity. The answer advises the
// client to wait for the time retryAfter before it sends a new request. If retryAfter is 0, the answer
// contains no such advice.
func (c *Core) newRejection(req *request, retryAfter placer.Seconds) protocol.Message {
	answer := replyTo(&req.message, protocol.Stop, protocol.CauseNoCapacity)
	if retryAfter > 0 && c.settings.Placer.Retry.SendsRetryAfter {
		milliseconds := math.Ceil(float64(min(retryAfter, c.settings.Placer.Retry.MaxRetryAfter)) * millisecondsPerSecond)
		answer.Set(protocol.RetryAfter, strconv.Itoa(int(milliseconds)))
	}
	return answer
}

// OpenRequests returns the number of placement requests that have no answer yet.
func (c *Core) OpenRequests() int { return c.requests.openCount }

// RunningTasks returns the number of running tasks on all nodes.
func (c *Core) RunningTasks() int { return c.nodes.runningTasks() }
