// Package dispatch is the core of the scheduler's front on the shared platform. It keeps placement requests of clients, attempts to start
// their tasks on nodes, running tasks, notifications that clients are still to receive, and the node registry, and it translates between the
// platform's messages and the events and actions of package placer.
//
// It has the form of the core of etcd's raft: a call reports what happened and when, and Core.Ready returns the effects that the caller is to
// carry out. The package is pure: it has no I/O, clock, goroutine or global state. It makes no placement decisions: each event goes to the
// placer, and each action comes from it. All times are clock times in seconds, all durations are in seconds.
package dispatch

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// maxTasks is the highest number of open placement requests and running tasks that are held at a time. Each takes about 2 KB.
const maxTasks = 20000

// Core is the state of the scheduler on the platform. It is to be used by one goroutine at a time.
type Core struct {
	// Counts are to be read only.
	Counts Counts

	*environment
	parser requestParser

	requests           map[placer.TaskID]*request
	requestsByID       map[protocol.ID]*request
	openRequests       int // requests in state requestOpen
	lastTaskID         placer.TaskID
	illegalTransitions int // see transition

	attempts map[attemptKey]*Attempt // all that nodes may still send messages about

	clients  clientRegistry
	notifier notifier

	earlyTerminations  earlyTerminationLog
	firstHealthCheckAt float64 // when the first health check of a client came, 0 if none has
	lastAdoptionAt     float64 // when a running task was last adopted, or firstHealthCheckAt

	nodes nodeRegistry
}

// New returns a core with the nodes that the discovery events in knownEvents describe: a JSON object, the value of the key "known" in the
// platform's configuration, or empty. The error says which part of it is invalid.
func New(now float64, settings *simconfig.Settings, policy eventqueue.Placer, knownEvents []byte) (*Core, error) {
	env := &environment{settings: settings, now: now}
	c := &Core{
		environment:       env,
		parser:            requestParser{settings},
		requests:          map[placer.TaskID]*request{},
		requestsByID:      map[protocol.ID]*request{},
		attempts:          map[attemptKey]*Attempt{},
		clients:           clientRegistry{environment: env, conns: map[ConnID]*clientConn{}},
		earlyTerminations: earlyTerminationLog{environment: env, records: map[attemptKey]earlyTermination{}},
		nodes:             nodeRegistry{environment: env, nodes: map[placer.NodeID]*Node{}},
	}
	c.notifier = notifier{environment: env, clients: &c.clients}
	env.counts = &c.Counts
	env.events = eventqueue.Queue{Placer: policy, Execute: c.execute}
	c.nodes.endLostTask = c.endLostTask
	if err := c.nodes.load(knownEvents); err != nil {
		return nil, err
	}
	c.runEvents()
	return c, nil
}

// Ready returns the effects since the last call. The caller owns the slice.
func (c *Core) Ready() []Effect { return c.takeEffects() }

// NextTimer returns when Advance is to be called next, infinity if never.
func (c *Core) NextTimer() float64 { return c.timers.NextOr(math.Inf(1)) }

// Advance runs the timers that are due.
func (c *Core) Advance(now float64) { c.advance(now) }

// execute executes an action of the placer. An action on an unknown task has no effect.
func (c *Core) execute(action *placer.Action) {
	switch action.Kind {
	case placer.SetTimer:
		token := action.Token
		c.timers.Add(c.now+float64(eventqueue.Delay(action.After)), func() { c.post(placer.Event{Kind: placer.TimerFired, Token: token}) })
	case placer.WatchNodes, placer.ListNodes:
		c.nodes.requestList()
	default:
		if req := c.requests[action.Task]; req != nil {
			c.executeForRequest(req, action)
		}
	}
}

func (c *Core) executeForRequest(req *request, action *placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		c.startAttempt(req, action)
	case placer.Reject:
		c.Counts.Rejected++
		c.answerRequest(req, c.rejection(req, float64(action.After)))
	case placer.Fail:
		c.Counts.Failed++
		c.answerRequest(req, replyTo(&req.message, protocol.Stop, protocol.CauseError))
	case placer.Migrate:
		c.migrateTask(req)
	}
}

// ErrClientNotConnected is the error of a message on a client connection that is not open.
var ErrClientNotConnected = errors.New("client connection is not open")

// ClientConnected adds a client connection.
func (c *Core) ClientConnected(now float64, conn ConnID) {
	c.setTime(now)
	c.clients.connect(conn)
}

// ClientDisconnected removes a client connection. Its open requests are withdrawn, since their answers could not be sent. Notifications that
// the client may not have received are sent again on another connection.
func (c *Core) ClientDisconnected(now float64, conn ConnID) {
	c.setTime(now)
	client := c.clients.disconnect(conn)
	if client == nil {
		return
	}
	for _, req := range client.requestsInOrder() {
		c.withdrawRequest(req)
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
func (c *Core) ReceiveFromClient(now float64, conn ConnID, msg *protocol.Message) error {
	c.setTime(now)
	client := c.clients.get(conn)
	if client == nil {
		return fmt.Errorf("receive on connection %d: %w", conn, ErrClientNotConnected)
	}
	err := c.handleClientMessage(client, msg)
	if err != nil {
		c.Counts.InvalidMessages++
		c.clients.send(conn, replyTo(msg, protocol.Stop, protocol.CauseError))
	} else {
		c.clients.messageValid(client)
		c.notifier.sendPending(client)
	}
	c.runEvents()
	return err
}

// Node returns a node of the registry, nil if there is none with the ID.
func (c *Core) Node(id placer.NodeID) *Node { return c.nodes.get(id) }

// Nodes calls f for each node of the registry, in no particular order.
func (c *Core) Nodes(f func(*Node)) { c.nodes.each(f) }

// LastDiscoveryEvent returns the number of the last discovery event that was applied.
func (c *Core) LastDiscoveryEvent() uint64 { return c.nodes.lastDiscoveryEvent }

// ReceiveDiscoveryEvent applies one event of the discovery stream. ok is false if events are missing before it or it is invalid: it was not
// applied then, and the stream is to be opened again after LastDiscoveryEvent. An event that was applied already is ignored.
func (c *Core) ReceiveDiscoveryEvent(now float64, data []byte) (ok bool, err error) {
	c.setTime(now)
	ok, err = c.nodes.receive(data)
	c.runEvents()
	return ok, err
}

// SetDiscoveryConnected reports whether the discovery stream is connected. The placer's requests for the node list are answered from the
// stream, whose events are passed on as they come: a request is answered at once while the stream is connected, and fails when an attempt to
// connect it has failed.
func (c *Core) SetDiscoveryConnected(now float64, connected bool) {
	c.setTime(now)
	c.nodes.setDiscoveryConnected(connected)
	c.runEvents()
}

// rejection is the answer to a request for which no node has capacity. retryAfter is the wait that the client is advised, 0 for no advice.
func (c *Core) rejection(req *request, retryAfter float64) protocol.Message {
	answer := replyTo(&req.message, protocol.Stop, protocol.CauseFull)
	if retryAfter > 0 && c.settings.Placer.Retry.SendsRetryAfter {
		milliseconds := math.Ceil(min(retryAfter, float64(c.settings.Placer.Retry.MaxRetryAfter)) * 1000)
		answer.Set(protocol.RetryAfter, strconv.Itoa(int(milliseconds)))
	}
	return answer
}

// noCause makes replyTo leave out the cause.
const noCause = -1

// replyTo returns a message about the task of msg. A negative cause is left out.
func replyTo(msg *protocol.Message, kind protocol.Kind, cause int) protocol.Message {
	return protocol.Message{Kind: kind, UID: msg.UID, ID: msg.ID, Cause: max(cause, 0), HasCause: cause >= 0}
}
