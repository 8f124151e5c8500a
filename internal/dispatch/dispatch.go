// Package dispatch is the scheduler's core on the shared platform: set-ups of owners, attempts at machines, tasks that stand, releases owed
// and the roster, between the messages of the platform and the events and actions of package placer.
//
// It has the form of etcd's raft core: a call tells what happened, with the time; effects are left in Ready for the caller to carry out. It
// is pure: no I/O, clock, goroutine or global. It decides nothing on placing: each event goes to the module, each action comes from it.
package dispatch

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/eventqueue"
	"heathshed/internal/platformproto"
	"heathshed/internal/simconfig"
	"heathshed/internal/timerqueue"
	"heathshed/placer"
)

// Times in seconds that the protocol gives or leaves open.
const (
	notificationRetention   = 8.0  // a release that found no connection of an owner is owed for so long
	terminatedNodeRetention = 60.0 // a machine that has been gone for so long is unknown
	migrationConfirmTimeout = 0.4  // a machine confirms the end of a task that was moved within this, or did not hear of it as a move
	incarnationTolerance    = 1.0  // clocks and lists are rough: a task bound this near a machine's start is of its new life
	unacknowledgedWindow    = 1.0  // a release is taken for unread if its connection ends within this and its owner does not say what it hears
	adoptionMaxWait         = 1.0  // after the first test, tasks that stand already are named by the hundred
	adoptionIdleGap         = 0.05 // the next one follows within this
	lateAnswerRetention     = 5.0  // beyond the time that owners look for a task, an attempt given up is remembered
)

// TerminationGrace is how long after the bulletin's word that a machine has gone its tasks are taken for lost, in seconds.
const TerminationGrace = 1.0

const (
	causeLost            = platformproto.CauseReset
	maxEarlyTerminations = maxTasks // ends of unknown tasks remembered
	maxTasks             = 20000    // set-ups and standing tasks held at a time; each takes about 2 KB
)

// ConnID numbers a connection of owners. 0 is none.
type ConnID uint64

// EffectKind says what the caller is to do.
type EffectKind uint8

// The effects. Tell: send Message on connection Conn. Send: offer Offer to its machine,
// see MayStart. Release: send Message to the machine of Offer, on the connection that Offer went out on where that is open, else on any.
// Held: a machine, that of Offer, holds a task that was never offered from here: it needs a connection to say how the task ends.
// Roster: machines or their addresses may have changed.
const (
	SendToClient EffectKind = iota + 1
	SendAttempt
	SendToNode
	ConnectNode
	NodesChanged
)

// Effect is something to be carried out, in order.
type Effect struct {
	Kind    EffectKind
	Conn    ConnID
	Attempt *Attempt
	Message platformproto.Message
	// TimedOut, at a Release, says that no answer came in time: the connection it went out on may be of no further use.
	TimedOut bool
}

type attemptState uint8

const (
	attemptPending   attemptState = iota // not sent
	attemptSent                          // sent, no word yet
	attemptRunning                       // stands
	attemptAbandoned                     // what its machine still says is late
	attemptTerminated
)

// Attempt is one attempt of a task at a machine.
type Attempt struct {
	Node    placer.NodeID
	Message platformproto.Message
	// Conn is the caller's: the connection it went out on.
	Conn any

	request      *request
	number       int
	state        attemptState
	expiresAt    float64
	createdAt    float64 // when the module offered it
	runningSince float64 // when its answer came
	timer        *timerqueue.Timer
	terminating  bool // a release was sent: moved, or ended by its owner
}

// Live says whether the offer still waits for an answer or stands.
func (a *Attempt) Live() bool { return a.state <= attemptRunning }

// Client is the connection that the task came on.
func (a *Attempt) Client() ConnID { return a.request.conn }

// Pending says whether the offer is still to be sent.
func (a *Attempt) Pending() bool { return a.state == attemptPending }

// Age is how long ago the module made the offer, in seconds.
func (a *Attempt) Age(now float64) float64 { return now - a.createdAt }

// Unanswered says whether the offer waits for its connection or its answer.
func (a *Attempt) Unanswered() bool { return a.state <= attemptSent }

// request is one set-up.
type request struct {
	taskID    placer.TaskID
	message   platformproto.Message // as the owner sent it
	conn      ConnID
	class     int
	deadline  float64
	attempts  []*Attempt
	closed    bool // answered, withdrawn or at its end: nothing more goes to the owner
	withdrawn bool // its owner gave it up
	migrating bool // its owner was told to come again
}

type attemptKey struct {
	node placer.NodeID
	id   platformproto.ID
}

type clientConn struct {
	openRequests   map[*request]struct{}
	lastPlacedAt   float64        // when a set-up of it last came to stand
	lastValidAt    float64        // when a message of it last made sense
	unacknowledged []notification // releases sent on it of which it has not said that they were heard
	acknowledges   bool           // it says so, which the protocol leaves to it
}

// notification is a release that an owner is still to be sent, or to have heard.
type notification struct {
	message   platformproto.Message
	expiresAt float64
	migration bool // m stands for a move, which is never said to be heard
}

// earlyTermination is the word that a task has ended at a machine.
type earlyTermination struct {
	cause     int
	expiresAt float64 // remembered
}

// Counts are what happened since the start.
type Counts struct {
	PlacementRequests, Adopted, Accepted, Placed, Rejected, Failed, Withdrawn                                                       uint64
	Attempts, Bound, CapacityRejections, NodeErrors, ConnectFailures, ConnectionsLost, TimedOut, Expired, LateAnswers, UnknownTasks uint64
	TasksEnded, Migrations, TasksLost, PendingNotifications, ExpiredNotifications, Redeliveries, InvalidMessages                    uint64
}

// Core holds the state. It is for one goroutine.
type Core struct {
	Counts Counts

	settings              *simconfig.Settings
	events                eventqueue.Queue
	now                   float64
	timers                timerqueue.Queue
	nodes                 map[placer.NodeID]*Node
	requests              map[placer.TaskID]*request
	openRequests          int
	requestsByID          map[platformproto.ID]*request // open and standing
	attempts              map[attemptKey]*Attempt       // all that a machine may still speak of
	clients               map[ConnID]*clientConn
	pendingNotifications  []notification
	earlyTerminations     map[attemptKey]earlyTermination // of tasks that are not known here: one that is about to be named may have ended meanwhile
	earlyTerminationOrder []attemptKey                    // the same, the latest last
	firstHealthCheckAt    float64                         // when the first test passed
	lastAdoptionAt        float64                         // when a task that stands was last named
	lastTaskID            placer.TaskID
	lastDiscoveryEvent    uint64
	discoveryConnected    bool
	listRequested         bool
	effects               []Effect
}

// New makes a core, with the events of the bulletin that the configuration knows.
func New(now float64, settings *simconfig.Settings, policy eventqueue.Placer, knownEvents []byte) (*Core, error) {
	c := &Core{settings: settings, now: now, nodes: map[placer.NodeID]*Node{}, requests: map[placer.TaskID]*request{}, requestsByID: map[platformproto.ID]*request{},
		attempts: map[attemptKey]*Attempt{}, earlyTerminations: map[attemptKey]earlyTermination{}, clients: map[ConnID]*clientConn{}}
	c.events = eventqueue.Queue{Placer: policy, Execute: c.execute}
	var list knownEventList
	if len(knownEvents) > 0 {
		if err := json.Unmarshal(knownEvents, &list); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	for i := range list.Events {
		if _, err := c.applyDiscoveryEvent(&list.Events[i]); err != nil {
			return nil, fmt.Errorf("known: items[%d]: %w", i, err)
		}
		c.lastDiscoveryEvent = max(c.lastDiscoveryEvent, list.Events[i].Number)
	}
	c.lastDiscoveryEvent = max(c.lastDiscoveryEvent, list.Number)
	c.post(placer.Event{Kind: placer.NodesListed, List: placer.CachedList, Nodes: c.placerNodes()})
	c.runEvents()
	return c, nil
}

// placerNodes is the roster in order of the numbers.
func (c *Core) placerNodes() []placer.Node {
	var nodes []placer.Node
	for _, node := range c.nodes {
		nodes = append(nodes, node.placerNode)
	}
	slices.SortFunc(nodes, func(a, b placer.Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return nodes
}

// Ready hands out the effects since the last call. The slice is the caller's until then.
func (c *Core) Ready() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Node returns a machine, nil if the bulletin never told of it.
func (c *Core) Node(id placer.NodeID) *Node { return c.nodes[id] }

// Nodes calls f for each machine, in no order.
func (c *Core) Nodes(f func(*Node)) {
	for _, node := range c.nodes {
		f(node)
	}
}

// OpenRequests is the number of set-ups without an answer.
func (c *Core) OpenRequests() int { return c.openRequests }

// RunningTasks is the number of tasks that stand.
func (c *Core) RunningTasks() int {
	count := 0
	for _, node := range c.nodes {
		count += len(node.running)
	}
	return count
}

// NextTimer is when Advance is to be called next, infinity if never.
func (c *Core) NextTimer() float64 { return c.timers.Next() }

// Advance carries out what is due.
func (c *Core) Advance(now float64) {
	c.setTime(now)
	for timer := c.timers.Pop(c.now); timer != nil; timer = c.timers.Pop(c.now) {
		timer.Run()
		c.runEvents()
	}
}

func (c *Core) setTime(now float64) { c.now = max(c.now, now) }

// post queues an event for the module, run hands over what is queued.
func (c *Core) post(event placer.Event) { c.events.Post(event) }

func (c *Core) runEvents() { c.events.Run(c.now) }

func (c *Core) execute(action *placer.Action) {
	switch action.Kind {
	case placer.SetTimer:
		token := action.Token
		c.timers.Add(c.now+eventqueue.Delay(action.After), func() { c.post(placer.Event{Kind: placer.TimerFired, Token: token}) })
		return
	case placer.WatchNodes, placer.ListNodes:
		if c.listRequested = !c.discoveryConnected; c.discoveryConnected {
			c.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
		}
		return
	}
	req := c.requests[action.Task]
	if req == nil {
		return
	}
	switch action.Kind {
	case placer.StartAttempt:
		c.startAttempt(req, action)
	case placer.Reject:
		msg := replyTo(&req.message, platformproto.Stop, platformproto.CauseFull)
		if action.After > 0 && c.settings.Placer.SendsRetryAfter {
			msg.Set(platformproto.RetryAfter, strconv.Itoa(int(math.Ceil(min(action.After, c.settings.Placer.MaxRetryAfter)*1000))))
		}
		c.Counts.Rejected++
		c.answerRequest(req, msg)
	case placer.Fail:
		c.Counts.Failed++
		c.answerRequest(req, replyTo(&req.message, platformproto.Stop, platformproto.CauseError))
	case placer.Migrate:
		if attempt := req.runningAttempt(); attempt != nil && !req.closed {
			c.Counts.Migrations++
			req.closed, req.migrating = true, true
			c.notifyClient(req, replyTo(&req.message, platformproto.Migrate, -1))
			c.stopTask(attempt, platformproto.CauseCancelled, false)
		}
	}
}

// InvalidMessageError is the error of a message that makes no sense. Kind is one of a few words, for counting.
type InvalidMessageError struct {
	Reason string
	Err    error
}

func (e *InvalidMessageError) Error() string { return e.Err.Error() }
func (e *InvalidMessageError) Unwrap() error { return e.Err }

func invalidMessage(reason, format string, args ...any) error {
	return &InvalidMessageError{reason, fmt.Errorf(format, args...)}
}

// replyTo is a message about what another was about; a cause below 0 is none.
func replyTo(msg *platformproto.Message, kind platformproto.Kind, cause int) platformproto.Message {
	return platformproto.Message{Kind: kind, UID: msg.UID, ID: msg.ID, Cause: max(cause, 0), HasCause: cause >= 0}
}

func (c *Core) sendToClient(conn ConnID, msg platformproto.Message) {
	c.effects = append(c.effects, Effect{Kind: SendToClient, Conn: conn, Message: msg})
}

func (r *request) runningAttempt() *Attempt {
	if count := len(r.attempts); count > 0 && r.attempts[count-1].state == attemptRunning {
		return r.attempts[count-1]
	}
	return nil
}

// ---- owners ----

// ClientConnected adds a connection of owners, or of who poses as one.
func (c *Core) ClientConnected(now float64, conn ConnID) {
	c.setTime(now)
	c.clients[conn] = &clientConn{openRequests: map[*request]struct{}{}}
}

// ClientDisconnected takes a connection away. Nobody can be answered on it any more: its open set-ups are given up, as if they had been withdrawn.
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
	// A release that crossed the end of its connection was told to nobody: it goes out once more. Owners take a second one for a task that
	// they know no more.
	for _, notice := range client.unacknowledged {
		if sentAt := notice.expiresAt - notificationRetention; notice.expiresAt > c.now && (client.acknowledges && !notice.migration || c.now-sentAt < unacknowledgedWindow) {
			c.Counts.Redeliveries++
			c.notifyAnyClient(0, notice)
		}
	}
	c.runEvents()
}

func sortedRequests(set map[*request]struct{}) []*request {
	requests := make([]*request, 0, len(set))
	for req := range set {
		requests = append(requests, req)
	}
	slices.SortFunc(requests, func(a, b *request) int { return int(a.taskID) - int(b.taskID) })
	return requests
}

// ClientRequests is how many set-ups are open on a connection; good says whether one of it ever came to stand.
func (c *Core) ClientRequests(conn ConnID) (open int, placed bool) {
	if client := c.clients[conn]; client != nil {
		return len(client.openRequests), client.lastPlacedAt > 0
	}
	return 0, false
}

// IsLastClient says whether a connection is the only one that is known to be an owner's while tasks stand: their ends have no other way.
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

// ReceiveFromClient takes one message of an owner. An error says what makes no sense about it; where the message had an id, its sender has been
// answered.
func (c *Core) ReceiveFromClient(now float64, conn ConnID, msg *platformproto.Message) error {
	c.setTime(now)
	client := c.clients[conn]
	if client == nil {
		return fmt.Errorf("connection %d is not open", conn)
	}
	err := c.handleClientMessage(conn, client, msg)
	if err != nil {
		c.Counts.InvalidMessages++
		c.sendToClient(conn, replyTo(msg, platformproto.Stop, platformproto.CauseError))
	} else {
		client.lastValidAt = c.now
		c.sendPendingNotifications(conn)
	}
	c.runEvents()
	return err
}

func (c *Core) handleClientMessage(conn ConnID, client *clientConn, msg *platformproto.Message) error {
	switch msg.Kind {
	case platformproto.Check:
		if c.firstHealthCheckAt == 0 {
			c.firstHealthCheckAt, c.lastAdoptionAt = c.now, c.now // the first may be on its way
		}
		c.sendToClient(conn, replyTo(msg, platformproto.Checked, 1))
	case platformproto.Stopped:
		client.acknowledges = true
		client.unacknowledged = slices.DeleteFunc(client.unacknowledged, func(attempt notification) bool { return attempt.message.ID == msg.ID && !attempt.migration })
	case platformproto.Launch:
		return c.handleLaunch(conn, client, msg)
	case platformproto.Stop:
		req := c.requestsByID[msg.ID]
		if req == nil {
			return nil // crossed our answer
		}
		if attempt := req.runningAttempt(); attempt != nil {
			if !req.closed {
				req.closed = true
				cause := msg.Cause
				if !msg.HasCause {
					cause = platformproto.CauseCancelled
				}
				c.stopTask(attempt, cause, false)
			}
		} else if req.conn == conn {
			c.withdrawRequest(req)
		} else {
			return invalidMessage("stop", "stop: set-up %s is open on another connection", msg.UID)
		}
	}
	return nil
}

func (c *Core) handleLaunch(conn ConnID, client *clientConn, msg *platformproto.Message) error {
	c.Counts.PlacementRequests++
	task, adoptedFrom, err := c.parseRequest(msg)
	if req := c.requestsByID[msg.ID]; req != nil {
		if err == nil && adoptedFrom != "" {
			return nil // named already
		}
		// Two set-ups under one id cannot both be told of their end. Those that share a connection end together.
		if req.conn == conn && !req.closed && req.runningAttempt() == nil {
			c.withdrawRequest(req)
		}
		return invalidMessage("id in use", "launch: id %s is in use", msg.UID)
	}
	if err != nil {
		return err
	}
	if len(c.requestsByID) >= maxTasks {
		c.sendToClient(conn, replyTo(msg, platformproto.Stop, platformproto.CauseBusy))
		return nil
	}
	if adoptedFrom != "" {
		c.Counts.Adopted++
		c.lastAdoptionAt = c.now
		return c.adopt(conn, msg, task, adoptedFrom)
	}
	req := c.addRequest(conn, msg, task)
	c.openRequests++
	c.Counts.Accepted++
	client.openRequests[req] = struct{}{}
	task.ID = req.taskID
	c.postArrival(req, task)
	return nil
}

// postArrival tells the module of a set-up. After a start the tasks that stand already are named in hundreds of lines on one connection, while
// set-ups come on others: one that is placed before all of them were read is placed without regard to what its service has where. So the
// set-ups of that moment wait until no more are named, for a short time at most and never beyond their own.
func (c *Core) postArrival(req *request, task placer.Task) {
	until := min(c.lastAdoptionAt+adoptionIdleGap, c.firstHealthCheckAt+adoptionMaxWait, req.deadline)
	if c.now >= until {
		c.post(placer.Event{Kind: placer.Arrived, TaskID: req.taskID, Task: task})
		return
	}
	c.timers.Add(until, func() {
		if !req.closed {
			c.postArrival(req, task)
		}
	})
}

func (c *Core) addRequest(conn ConnID, msg *platformproto.Message, task placer.Task) *request {
	c.lastTaskID++
	req := &request{taskID: c.lastTaskID, message: *msg, conn: conn, class: task.Class, deadline: task.Deadline}
	c.requests[req.taskID] = req
	c.requestsByID[msg.ID] = req
	return req
}

// adopt takes over a task that a machine holds already.
func (c *Core) adopt(conn ConnID, msg *platformproto.Message, task placer.Task, nodeUID string) error {
	node := c.nodes[c.nodeID(nodeUID)]
	if node == nil {
		return invalidMessage("at", "launch %s: extras: at: %.40q is not in the bulletin", msg.UID, nodeUID)
	}
	if earlier := c.attempts[attemptKey{node.ID, msg.ID}]; earlier != nil {
		c.removeAttempt(earlier) // an attempt given up that was accepted after all
	}
	if early, terminated := c.earlyTerminations[attemptKey{node.ID, msg.ID}]; terminated {
		// Its owner named it while its end was on its way here: no second word of that would come.
		c.Counts.TasksEnded++
		c.sendNotification(conn, notification{message: replyTo(msg, platformproto.Stop, early.cause), expiresAt: c.now + notificationRetention})
		return nil
	}
	req := c.addRequest(conn, msg, task)
	c.clients[conn].lastPlacedAt = c.now
	attempt := &Attempt{Node: node.ID, Message: req.launchMessage(), request: req, state: attemptRunning, createdAt: c.now, runningSince: c.now}
	req.attempts = append(req.attempts, attempt)
	c.attempts[attemptKey{node.ID, msg.ID}] = attempt
	node.running[attempt] = struct{}{}
	task.ID = req.taskID
	c.post(placer.Event{Kind: placer.Adopted, TaskID: req.taskID, Task: task, Node: node.ID})
	c.effects = append(c.effects, Effect{Kind: ConnectNode, Attempt: attempt})
	if node.State == placer.Terminated {
		c.scheduleTaskExpiry(node)
	}
	return nil
}

// parseRequest checks a set-up and says what the module is to know of it. at is the machine that holds it already, "" if none.
func (c *Core) parseRequest(msg *platformproto.Message) (task placer.Task, adoptedFrom string, err error) {
	if msg.Body == "" {
		return task, "", invalidMessage("body", "launch %s: no body", msg.UID)
	}
	if task.Class = slices.Index(c.settings.Classes, msg.Get(platformproto.Class)); task.Class < 0 {
		return task, "", invalidMessage("class", "launch %s: class %.40q is not known", msg.UID, msg.Get(platformproto.Class))
	}
	if name := msg.Get(platformproto.Tenant); name != "" || len(c.settings.Tenants) > 0 {
		if task.Tenant = slices.Index(c.settings.Tenants, name); task.Tenant < 0 {
			return task, "", invalidMessage("tenant", "launch %s: tenant %.40q is not known", msg.UID, name)
		}
	}
	if _, err := platformproto.ParseID(msg.Get(platformproto.Key)); err != nil {
		return task, "", invalidMessage("key", "launch %s: key: %w", msg.UID, err)
	}
	resources := 0
	for part := range strings.SplitSeq(msg.Get(platformproto.Extras), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch name {
		case "cores", "memory":
			amount, err := strconv.ParseFloat(value, 64)
			if err != nil || !(amount >= 0) || amount > 1e9 {
				return task, "", invalidMessage("extras", "launch %s: extras: %s %.40q: want a number from 0 to 1e9", msg.UID, name, value)
			}
			if resources++; name == "cores" {
				task.Cores = amount
			} else {
				task.Memory = amount
			}
		case "again":
			task.IsRetry = value == "1"
		case "service":
			id, err := platformproto.ParseID(value)
			if err != nil {
				return task, "", invalidMessage("extras", "launch %s: extras: service: %w", msg.UID, err)
			}
			task.Service = placer.ServiceID(id)
		case "at":
			if adoptedFrom = value; adoptedFrom == "" {
				return task, "", invalidMessage("extras", "launch %s: extras: at names no machine", msg.UID)
			}
		}
	}
	// Of a task that stands no answer is owed: owners give any time there, such as that of a task without an end.
	leftMS, err := strconv.ParseFloat(msg.Get(platformproto.TimeLeft), 64)
	maxLeftMS := 2000 * c.settings.Placer.Classes[task.Class].Deadline
	if err != nil || !(leftMS >= 0) || leftMS > maxLeftMS && adoptedFrom == "" {
		return task, "", invalidMessage("left", "launch %s: left %.40q: want 0 to %g ms, twice what the class gives", msg.UID, msg.Get(platformproto.TimeLeft), maxLeftMS)
	}
	task.Deadline = c.now + leftMS/1000
	if resources != 2 {
		return task, "", invalidMessage("extras", "launch %s: extras %.60q: want cores and memory once each", msg.UID, msg.Get(platformproto.Extras))
	}
	return task, adoptedFrom, nil
}

// launchMessage is the set-up as a machine gets it: id, class, key, description, and the key by which copies are known, as they came.
func (r *request) launchMessage() platformproto.Message {
	msg := platformproto.Message{Kind: platformproto.Launch, UID: r.message.UID, ID: r.message.ID, Body: r.message.Body}
	msg.Set(platformproto.Class, r.message.Get(platformproto.Class))
	msg.Set(platformproto.Key, r.message.Get(platformproto.Key))
	if r.message.Has(platformproto.IdempotencyKey) {
		msg.Set(platformproto.IdempotencyKey, r.message.Get(platformproto.IdempotencyKey))
	}
	return msg
}

// answerRequest gives the final answer to a set-up that does not stand.
func (c *Core) answerRequest(req *request, msg platformproto.Message) {
	if req.closed {
		return
	}
	c.closeRequest(req)
	if c.clients[req.conn] != nil {
		c.sendToClient(req.conn, msg)
	}
	c.abandonLastAttempt(req, placer.TimedOut)
	c.removeRequest(req)
}

// withdrawRequest ends an open set-up whose owner waits no longer.
func (c *Core) withdrawRequest(req *request) {
	if req.closed {
		return
	}
	c.Counts.Withdrawn++
	req.withdrawn = true
	c.closeRequest(req)
	c.post(placer.Event{Kind: placer.Withdrawn, TaskID: req.taskID})
	c.abandonLastAttempt(req, placer.Cancelled)
	c.removeRequest(req)
}

// closeRequest takes an open set-up out of the open ones.
func (c *Core) closeRequest(req *request) {
	req.closed = true
	c.openRequests--
	if client := c.clients[req.conn]; client != nil {
		delete(client.openRequests, req)
	}
}

// removeRequest forgets a set-up that is over. What machines still say of its attempts finds them by their place.
func (c *Core) removeRequest(req *request) {
	if c.requestsByID[req.message.ID] == req {
		delete(c.requestsByID, req.message.ID)
	}
	delete(c.requests, req.taskID)
}

// abandonLastAttempt gives up the attempt that is out.
func (c *Core) abandonLastAttempt(req *request, result placer.Result) {
	if count := len(req.attempts); count > 0 && req.attempts[count-1].Unanswered() {
		c.abandonAttempt(req.attempts[count-1], result, false)
	}
}

// notifyClient sends what is owed for a task that stood: on its own connection, else on one that owners of standing tasks use, the latest first,
// else on the next one that opens.
func (c *Core) notifyClient(req *request, msg platformproto.Message) {
	c.notifyAnyClient(req.conn, notification{message: msg, expiresAt: c.now + notificationRetention})
}

func (c *Core) notifyAnyClient(preferred ConnID, notice notification) {
	if conn := c.selectClient(preferred); conn != 0 {
		c.sendNotification(conn, notice)
		return
	}
	c.Counts.PendingNotifications++
	c.pendingNotifications = append(c.pendingNotifications, notice)
}

// sendNotification sends a release and remembers it for as long as it is owed, or until it was heard.
func (c *Core) sendNotification(conn ConnID, notice notification) {
	c.sendToClient(conn, notice.message)
	if notice.message.Kind == platformproto.Migrate {
		// Sent once more, it is the release that follows from it: where the move was heard, that one is for a task of the past.
		notice.message, notice.migration = replyTo(&notice.message, platformproto.Stop, platformproto.CauseCancelled), true
	}
	client := c.clients[conn]
	client.unacknowledged = slices.DeleteFunc(client.unacknowledged, func(notice notification) bool { return notice.expiresAt <= c.now })
	client.unacknowledged = append(client.unacknowledged, notice)
}

func (c *Core) selectClient(preferred ConnID) ConnID {
	if c.clients[preferred] != nil {
		return preferred
	}
	var best ConnID
	var bestClient *clientConn
	for conn, client := range c.clients {
		if client.lastValidAt <= 0 {
			continue // said nothing that makes sense
		}
		if bestClient == nil || client.lastPlacedAt > bestClient.lastPlacedAt || client.lastPlacedAt == bestClient.lastPlacedAt && (client.lastValidAt > bestClient.lastValidAt || client.lastValidAt == bestClient.lastValidAt && conn > best) {
			best, bestClient = conn, client
		}
	}
	return best
}

// sendPendingNotifications sends what is owed on a connection that has shown itself to be an owner's.
func (c *Core) sendPendingNotifications(conn ConnID) {
	for _, notice := range c.pendingNotifications {
		if notice.expiresAt < c.now {
			c.Counts.ExpiredNotifications++
			continue
		}
		c.sendNotification(conn, notice)
	}
	c.pendingNotifications = nil
}
