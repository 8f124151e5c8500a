// Package dispatch is the core of the scheduler's front on the shared platform. It keeps placement requests of clients, attempts to start
// their tasks on nodes, running tasks, notifications that clients have yet to receive, and the node registry, and it translates between the
// platform's messages and the events and actions of package placer. Package server runs a Core on sockets.
//
// It has the form of the core of etcd's raft: a call reports what happened and when, and Core.Ready returns the effects that the caller has to
// carry out. The package is pure: it has no I/O, clock, goroutine or global state. It makes no placement decisions: each event goes to the
// placer, and each action comes from it. Times on the clock and durations are placer.Seconds.
//
// Begin reading at Core.ReceiveFromClient and Core.execute; the way of a placement request is described in docs/architecture.md. Core composes
// parts; only a part itself writes its fields. All of them share an environment: the clock, the timers, the effects for the caller and the
// events for the placer. From the outside to the inside:
//
//   - clientMessageHandler and nodeMessageHandler handle the messages of clients and of nodes;
//   - taskController takes a task from its start to its end, adoption adds tasks that run already;
//   - requestTable and attemptTable keep requests and attempts and move them from state to state;
//   - notifier delivers notifications, earlyTerminationLog records the ends of tasks that are not known yet;
//   - clientRegistry keeps the client connections, nodeRegistry the nodes and what runs on them.
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

// maxTasks is the maximum number of open placement requests and running tasks together. Each takes about 2 KB.
const maxTasks = 20000

// Core is the state of the scheduler on the platform. It must not be used by several goroutines at once.
type Core struct {
	// Counts may be read by the caller, but not written.
	Counts Counts

	*environment
	clients        *clientRegistry
	nodes          *nodeRegistry
	requests       *requestTable
	attempts       *attemptTable
	tasks          *taskController
	notifier       *notifier
	clientMessages *clientMessageHandler
	nodeMessages   *nodeMessageHandler
}

// New returns a core with the nodes that the discovery events in knownEvents describe: a JSON object, the value of the key "known" in the
// platform's configuration, or empty. The error names the invalid part of it.
func New(now placer.Seconds, settings *simconfig.Settings, policy eventqueue.Placer, knownEvents []byte) (*Core, error) {
	c := &Core{}
	c.environment = &environment{settings: settings, counts: &c.Counts, now: now}
	c.events = eventqueue.Queue{Placer: policy, Execute: c.execute}
	c.wire()
	if err := c.nodes.load(knownEvents); err != nil {
		return nil, err
	}
	c.runEvents()
	return c, nil
}

// wire builds the parts and connects them.
func (c *Core) wire() {
	env := c.environment
	early := newEarlyTerminationLog(env)
	c.clients = newClientRegistry(env)
	c.notifier = &notifier{environment: env, clients: c.clients}
	c.nodes = newNodeRegistry(env)
	c.attempts = newAttemptTable(env, c.nodes)
	c.requests = newRequestTable(env, c.clients, c.attempts)
	c.tasks = &taskController{environment: env, clients: c.clients, requests: c.requests, attempts: c.attempts, notifier: c.notifier}
	c.nodes.endLostTask = c.tasks.endLost
	c.clientMessages = &clientMessageHandler{
		environment: env,
		parser:      requestParser{settings: env.settings},
		clients:     c.clients,
		requests:    c.requests,
		tasks:       c.tasks,
		notifier:    c.notifier,
		adoption: &adoption{
			environment:       env,
			nodes:             c.nodes,
			requests:          c.requests,
			attempts:          c.attempts,
			earlyTerminations: early,
			notifier:          c.notifier,
		},
	}
	c.nodeMessages = &nodeMessageHandler{environment: env, attempts: c.attempts, tasks: c.tasks, earlyTerminations: early}
}

// Ready returns the effects since the last call. The caller owns the slice.
func (c *Core) Ready() []Effect { return c.takeEffects() }

// NextTimer returns when Advance has to be called next, or infinity if there is no timer.
func (c *Core) NextTimer() placer.Seconds { return c.timers.NextTimeOr(placer.Seconds(math.Inf(1))) }

// Advance runs the timers that are due.
func (c *Core) Advance(now placer.Seconds) { c.advance(now) }

// execute executes an action of the placer. An action on an unknown task has no effect.
func (c *Core) execute(action *placer.Action) {
	switch action.Kind {
	case placer.SetTimer:
		token := action.Token
		c.timers.Add(c.now+eventqueue.TimerDelay(action.After), func() { c.post(placer.Event{Kind: placer.TimerFired, Token: token}) })
	case placer.WatchNodes, placer.ListNodes:
		c.nodes.requestList()
	default:
		if req := c.requests.get(action.Task); req != nil {
			c.executeForRequest(req, action)
		}
	}
}

func (c *Core) executeForRequest(req *request, action *placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		c.attempts.start(req, action)
	case placer.Reject:
		c.Counts.Rejected++
		c.requests.answer(req, c.rejection(req, action.After))
	case placer.Fail:
		c.Counts.Failed++
		c.requests.answer(req, replyTo(&req.message, protocol.Stop, protocol.CauseError))
	case placer.Migrate:
		c.tasks.migrate(req)
	}
}

// ClientConnected adds a client connection.
func (c *Core) ClientConnected(now placer.Seconds, conn ConnID) {
	c.setTime(now)
	c.clients.connect(conn)
}

// ClientDisconnected removes a client connection. Its open requests are withdrawn, since their answers could not be sent. Notifications that
// the client may not have received are sent again on another connection.
func (c *Core) ClientDisconnected(now placer.Seconds, conn ConnID) {
	c.setTime(now)
	client := c.clients.disconnect(conn)
	if client == nil {
		return
	}
	for _, req := range client.requestsInOrder() {
		c.requests.withdraw(req)
	}
	c.notifier.redeliver(client)
	c.runEvents()
}

// ClientRequests returns the number of open requests on a connection, and whether a task of any request on it ever ran.
func (c *Core) ClientRequests(conn ConnID) (open int, placed bool) {
	client := c.clients.get(conn)
	if client == nil {
		return 0, false
	}
	return len(client.openRequests), client.lastPlacedAt > 0
}

// IsLastClient reports whether a connection is the only one that has sent a valid message while tasks run: notifications of their ends could not
// be sent on any other.
func (c *Core) IsLastClient(conn ConnID) bool {
	return c.RunningTasks() > 0 && c.clients.onlyIdentified(conn)
}

// ReceiveFromClient handles one message of a client. The error is an *InvalidMessageError if the message is invalid, in which case its sender
// has been answered, or wraps ErrClientNotConnected.
func (c *Core) ReceiveFromClient(now placer.Seconds, conn ConnID, msg *protocol.Message) error {
	c.setTime(now)
	client := c.clients.get(conn)
	if client == nil {
		return fmt.Errorf("receive on connection %d: %w", conn, ErrClientNotConnected)
	}
	err := c.clientMessages.receive(client, msg)
	c.runEvents()
	return err
}

// PrepareSend checks an attempt again before its first byte is written, and sets the time that the node may take. If it returns false, the
// attempt must not be sent, and has ended.
func (c *Core) PrepareSend(now placer.Seconds, attempt *Attempt) bool {
	c.setTime(now)
	ok := c.attempts.prepareSend(attempt)
	c.runEvents()
	return ok
}

// ConnectFailed reports that no connection could be established for an attempt, so that it was not sent.
func (c *Core) ConnectFailed(now placer.Seconds, attempt *Attempt) {
	c.setTime(now)
	c.attempts.connectFailed(attempt)
	c.runEvents()
}

// ConnectionLost reports that the connection on which an attempt was sent has ended. The outcome of the attempt is unknown.
func (c *Core) ConnectionLost(now placer.Seconds, attempt *Attempt) {
	c.setTime(now)
	c.attempts.connectionLost(attempt)
	c.runEvents()
}

// ReceiveFromNode handles one message of a node. A message about a task that is not known at that node changes only the counts
// and, if it reports the end of the task, the log of early terminations.
func (c *Core) ReceiveFromNode(now placer.Seconds, node placer.NodeID, msg *protocol.Message) {
	c.setTime(now)
	c.nodeMessages.receive(node, msg)
	c.runEvents()
}

// NodeDead ends all tasks that run on a node whose process has ended, or that has terminated.
func (c *Core) NodeDead(now placer.Seconds, id placer.NodeID) {
	c.setTime(now)
	c.nodes.endTasksOf(id)
	c.runEvents()
}

// NodeUnresponsive stops all tasks that run on an unresponsive node and returns how many they are. Their clients are notified at once. But the
// tasks may still run if the node is only partitioned, so it is asked to stop them as soon as it can be reached, and for the placer they run until it
// confirms that, or for notificationRetention. Otherwise the placer would consider capacity free that is in use on a node about to come back,
// and would exceed the limit on how many tasks of a service run in one domain.
func (c *Core) NodeUnresponsive(now placer.Seconds, id placer.NodeID) (tasks int) {
	c.setTime(now)
	if node := c.nodes.get(id); node != nil {
		tasks = c.tasks.stopOn(node)
	}
	c.runEvents()
	return tasks
}

// Node returns a node of the registry, or nil if there is none with the ID.
func (c *Core) Node(id placer.NodeID) *Node { return c.nodes.get(id) }

// Nodes calls f for each node of the registry, in no particular order.
func (c *Core) Nodes(f func(*Node)) { c.nodes.each(f) }

// LastDiscoveryEvent returns the number of the last discovery event that was applied.
func (c *Core) LastDiscoveryEvent() uint64 { return c.nodes.lastDiscoveryEvent }

// ReceiveDiscoveryEvent applies one event of the discovery stream. ok is false if events are missing before it or if it is invalid: it is not
// applied then, and the caller has to reopen the stream after LastDiscoveryEvent. An event that was applied already is ignored.
func (c *Core) ReceiveDiscoveryEvent(now placer.Seconds, data []byte) (ok bool, err error) {
	c.setTime(now)
	ok, err = c.nodes.receive(data)
	c.runEvents()
	return ok, err
}

// SetDiscoveryConnected reports whether the discovery stream is connected. The placer's requests for the node list are answered from the
// stream, whose events are passed on as they arrive: while the stream is connected, a request is answered at once; otherwise it is answered
// when the stream is connected, or fails with the next failed attempt to connect it.
func (c *Core) SetDiscoveryConnected(now placer.Seconds, connected bool) {
	c.setTime(now)
	c.nodes.setDiscoveryConnected(connected)
	c.runEvents()
}

// rejection returns the answer to a request for which no node has capacity. retryAfter is the delay that the client is advised to wait before a
// new request, or 0 for no advice.
func (c *Core) rejection(req *request, retryAfter placer.Seconds) protocol.Message {
	answer := replyTo(&req.message, protocol.Stop, protocol.CauseNoCapacity)
	if retryAfter > 0 && c.settings.Placer.Retry.SendsRetryAfter {
		milliseconds := math.Ceil(float64(min(retryAfter, c.settings.Placer.Retry.MaxRetryAfter)) * millisecondsPerSecond)
		answer.Set(protocol.RetryAfter, strconv.Itoa(int(milliseconds)))
	}
	return answer
}

// OpenRequests returns the number of placement requests without an answer.
func (c *Core) OpenRequests() int { return c.requests.openCount }

// RunningTasks returns the number of running tasks on all nodes.
func (c *Core) RunningTasks() int { return c.nodes.runningTasks() }
