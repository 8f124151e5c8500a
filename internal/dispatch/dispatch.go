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
	owedFor     = 8.0  // a release that found no connection of an owner is owed for so long
	forgetAfter = 60.0 // a machine that has been gone for so long is unknown
	movedWord   = 0.4  // a machine confirms the end of a task that was moved within this, or did not hear of it as a move
	bootSlack   = 1.0  // clocks and lists are rough: a task bound this near a machine's start is of its new life
	unreadFor   = 1.0  // a release is taken for unread if its connection ends within this and its owner does not say what it hears
	handover    = 1.0  // after the first test, tasks that stand already are named by the hundred
	namedGap    = 0.05 // the next one follows within this
	lateFor     = 5.0  // beyond the time that owners look for a task, an attempt given up is remembered
)

// TerminationGrace is how long after the bulletin's word that a machine has gone its tasks are taken for lost, in seconds.
const TerminationGrace = 1.0

const (
	causeLost = platformproto.CauseReset
	maxEnds   = maxTasks // ends of unknown tasks remembered
	maxTasks  = 20000    // set-ups and standing tasks held at a time; each takes about 2 KB
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

type offerState uint8

const (
	waiting offerState = iota // not sent
	out                       // sent, no word yet
	bound                     // stands
	givenUp                   // what its machine still says is late
	ended
)

// Attempt is one attempt of a task at a machine.
type Attempt struct {
	Node    placer.NodeID
	Message platformproto.Message
	// Conn is the caller's: the connection it went out on.
	Conn any

	t       *task
	attempt int
	state   offerState
	until   float64
	sent    float64 // when the module offered it
	bound   float64 // when its answer came
	timer   *timerqueue.Timer
	ending  bool // a release was sent: moved, or ended by its owner
}

// Live says whether the offer still waits for an answer or stands.
func (o *Attempt) Live() bool { return o.state <= bound }

// Client is the connection that the task came on.
func (o *Attempt) Client() ConnID { return o.t.conn }

// Pending says whether the offer is still to be sent.
func (o *Attempt) Pending() bool { return o.state == waiting }

// Age is how long ago the module made the offer, in seconds.
func (o *Attempt) Age(now float64) float64 { return now - o.sent }

// Unanswered says whether the offer waits for its connection or its answer.
func (o *Attempt) Unanswered() bool { return o.state <= out }

// task is one set-up.
type task struct {
	id       placer.TaskID
	m        platformproto.Message // as the owner sent it
	conn     ConnID
	class    int
	deadline float64
	offers   []*Attempt
	over     bool // answered, withdrawn or at its end: nothing more goes to the owner
	gone     bool // its owner gave it up
	moved    bool // its owner was told to come again
}

type place struct {
	node placer.NodeID
	id   platformproto.ID
}

type owner struct {
	open   map[*task]struct{}
	good   float64 // when a set-up of it last came to stand
	heard  float64 // when a message of it last made sense
	unread []owed  // releases sent on it of which it has not said that they were heard
	says   bool    // it says so, which the protocol leaves to it
}

// owed is a release that an owner is still to be sent, or to have heard.
type owed struct {
	m     platformproto.Message
	until float64
	move  bool // m stands for a move, which is never said to be heard
}

// gone is the word that a task has ended at a machine.
type gone struct {
	cause int
	until float64 // remembered
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

	s         *simconfig.Settings
	module    eventqueue.Queue
	now       float64
	timers    timerqueue.Queue
	nodes     map[placer.NodeID]*Node
	tasks     map[placer.TaskID]*task
	open      int
	byID      map[platformproto.ID]*task // open and standing
	places    map[place]*Attempt         // all that a machine may still speak of
	owners    map[ConnID]*owner
	owed      []owed
	ends      map[place]gone // of tasks that are not known here: one that is about to be named may have ended meanwhile
	endsBy    []place        // the same, the latest last
	testedAt  float64        // when the first test passed
	namedAt   float64        // when a task that stands was last named
	next      placer.TaskID
	last      uint64
	streaming bool
	asked     bool
	out       []Effect
}

// New makes a core, with the events of the bulletin that the configuration knows.
func New(now float64, s *simconfig.Settings, p eventqueue.Placer, knownEvents []byte) (*Core, error) {
	c := &Core{s: s, now: now, nodes: map[placer.NodeID]*Node{}, tasks: map[placer.TaskID]*task{}, byID: map[platformproto.ID]*task{},
		places: map[place]*Attempt{}, ends: map[place]gone{}, owners: map[ConnID]*owner{}}
	c.module = eventqueue.Queue{Placer: p, Execute: c.act}
	var k known
	if len(knownEvents) > 0 {
		if err := json.Unmarshal(knownEvents, &k); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	for i := range k.Items {
		if _, err := c.apply(&k.Items[i]); err != nil {
			return nil, fmt.Errorf("known: items[%d]: %w", i, err)
		}
		c.last = max(c.last, k.Items[i].No)
	}
	c.last = max(c.last, k.No)
	c.post(placer.Event{Kind: placer.NodesListed, List: placer.CachedList, Nodes: c.list()})
	c.run()
	return c, nil
}

// list is the roster in order of the numbers.
func (c *Core) list() []placer.Node {
	var all []placer.Node
	for _, n := range c.nodes {
		all = append(all, n.entry)
	}
	slices.SortFunc(all, func(a, b placer.Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// Ready hands out the effects since the last call. The slice is the caller's until then.
func (c *Core) Ready() []Effect {
	o := c.out
	c.out = nil
	return o
}

// Node returns a machine, nil if the bulletin never told of it.
func (c *Core) Node(id placer.NodeID) *Node { return c.nodes[id] }

// Nodes calls f for each machine, in no order.
func (c *Core) Nodes(f func(*Node)) {
	for _, n := range c.nodes {
		f(n)
	}
}

// OpenRequests is the number of set-ups without an answer.
func (c *Core) OpenRequests() int { return c.open }

// RunningTasks is the number of tasks that stand.
func (c *Core) RunningTasks() int {
	n := 0
	for _, x := range c.nodes {
		n += len(x.standing)
	}
	return n
}

// NextTimer is when Advance is to be called next, infinity if never.
func (c *Core) NextTimer() float64 { return c.timers.Next() }

// Advance carries out what is due.
func (c *Core) Advance(now float64) {
	c.tick(now)
	for t := c.timers.Pop(c.now); t != nil; t = c.timers.Pop(c.now) {
		t.Run()
		c.run()
	}
}

func (c *Core) tick(now float64) { c.now = max(c.now, now) }

// post queues an event for the module, run hands over what is queued.
func (c *Core) post(ev placer.Event) { c.module.Post(ev) }

func (c *Core) run() { c.module.Run(c.now) }

func (c *Core) act(a *placer.Action) {
	switch a.Kind {
	case placer.SetTimer:
		token := a.Token
		c.timers.Add(c.now+eventqueue.Delay(a.After), func() { c.post(placer.Event{Kind: placer.TimerFired, Token: token}) })
		return
	case placer.WatchNodes, placer.ListNodes:
		if c.asked = !c.streaming; c.streaming {
			c.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
		}
		return
	}
	t := c.tasks[a.Task]
	if t == nil {
		return
	}
	switch a.Kind {
	case placer.StartAttempt:
		c.offer(t, a)
	case placer.Reject:
		m := reply(&t.m, platformproto.Stop, platformproto.CauseFull)
		if a.After > 0 && c.s.Placer.SendsRetryAfter {
			m.Set(platformproto.Wait, strconv.Itoa(int(math.Ceil(min(a.After, c.s.Placer.MaxRetryAfter)*1000))))
		}
		c.Counts.Rejected++
		c.answer(t, m)
	case placer.Fail:
		c.Counts.Failed++
		c.answer(t, reply(&t.m, platformproto.Stop, platformproto.CauseError))
	case placer.Migrate:
		if o := t.standing(); o != nil && !t.over {
			c.Counts.Migrations++
			t.over, t.moved = true, true
			c.toOwner(t, reply(&t.m, platformproto.Migrate, -1))
			c.release(o, platformproto.CauseCancelled, false)
		}
	}
}

// InvalidMessageError is the error of a message that makes no sense. Kind is one of a few words, for counting.
type InvalidMessageError struct {
	Kind string
	Err  error
}

func (b *InvalidMessageError) Error() string { return b.Err.Error() }
func (b *InvalidMessageError) Unwrap() error { return b.Err }

func bad(kind, format string, args ...any) error {
	return &InvalidMessageError{kind, fmt.Errorf(format, args...)}
}

// reply is a message about what another was about; a cause below 0 is none.
func reply(m *platformproto.Message, k platformproto.Kind, cause int) platformproto.Message {
	return platformproto.Message{Kind: k, UID: m.UID, ID: m.ID, Reason: max(cause, 0), HasReason: cause >= 0}
}

func (c *Core) tell(id ConnID, m platformproto.Message) {
	c.out = append(c.out, Effect{Kind: SendToClient, Conn: id, Message: m})
}

func (t *task) standing() *Attempt {
	if n := len(t.offers); n > 0 && t.offers[n-1].state == bound {
		return t.offers[n-1]
	}
	return nil
}

// ---- owners ----

// ClientConnected adds a connection of owners, or of who poses as one.
func (c *Core) ClientConnected(now float64, id ConnID) {
	c.tick(now)
	c.owners[id] = &owner{open: map[*task]struct{}{}}
}

// ClientDisconnected takes a connection away. Nobody can be answered on it any more: its open set-ups are given up, as if they had been withdrawn.
func (c *Core) ClientDisconnected(now float64, id ConnID) {
	c.tick(now)
	ow := c.owners[id]
	if ow == nil {
		return
	}
	delete(c.owners, id)
	for _, t := range sorted(ow.open) {
		c.withdraw(t)
	}
	// A release that crossed the end of its connection was told to nobody: it goes out once more. Owners take a second one for a task that
	// they know no more.
	for _, o := range ow.unread {
		if sent := o.until - owedFor; o.until > c.now && (ow.says && !o.move || c.now-sent < unreadFor) {
			c.Counts.Redeliveries++
			c.toAnyOwner(0, o)
		}
	}
	c.run()
}

func sorted(set map[*task]struct{}) []*task {
	all := make([]*task, 0, len(set))
	for t := range set {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return int(a.id) - int(b.id) })
	return all
}

// ClientRequests is how many set-ups are open on a connection; good says whether one of it ever came to stand.
func (c *Core) ClientRequests(id ConnID) (open int, good bool) {
	if ow := c.owners[id]; ow != nil {
		return len(ow.open), ow.good > 0
	}
	return 0, false
}

// IsLastClient says whether a connection is the only one that is known to be an owner's while tasks stand: their ends have no other way.
func (c *Core) IsLastClient(id ConnID) bool {
	ow := c.owners[id]
	if ow == nil || ow.heard <= 0 || c.RunningTasks() == 0 {
		return false
	}
	for other, o := range c.owners {
		if other != id && o.heard > 0 {
			return false
		}
	}
	return true
}

// ReceiveFromClient takes one message of an owner. An error says what makes no sense about it; where the message had an id, its sender has been
// answered.
func (c *Core) ReceiveFromClient(now float64, id ConnID, m *platformproto.Message) error {
	c.tick(now)
	ow := c.owners[id]
	if ow == nil {
		return fmt.Errorf("connection %d is not open", id)
	}
	err := c.fromOwner(id, ow, m)
	if err != nil {
		c.Counts.InvalidMessages++
		c.tell(id, reply(m, platformproto.Stop, platformproto.CauseError))
	} else {
		ow.heard = c.now
		c.settle(id)
	}
	c.run()
	return err
}

func (c *Core) fromOwner(id ConnID, ow *owner, m *platformproto.Message) error {
	switch m.Kind {
	case platformproto.Check:
		if c.testedAt == 0 {
			c.testedAt, c.namedAt = c.now, c.now // the first may be on its way
		}
		c.tell(id, reply(m, platformproto.Checked, 1))
	case platformproto.Stopped:
		ow.says = true
		ow.unread = slices.DeleteFunc(ow.unread, func(o owed) bool { return o.m.ID == m.ID && !o.move })
	case platformproto.Launch:
		return c.setUp(id, ow, m)
	case platformproto.Stop:
		t := c.byID[m.ID]
		if t == nil {
			return nil // crossed our answer
		}
		if o := t.standing(); o != nil {
			if !t.over {
				t.over = true
				cause := m.Reason
				if !m.HasReason {
					cause = platformproto.CauseCancelled
				}
				c.release(o, cause, false)
			}
		} else if t.conn == id {
			c.withdraw(t)
		} else {
			return bad("stop", "stop: set-up %s is open on another connection", m.UID)
		}
	}
	return nil
}

func (c *Core) setUp(id ConnID, ow *owner, m *platformproto.Message) error {
	c.Counts.PlacementRequests++
	task, at, err := c.read(m)
	if t := c.byID[m.ID]; t != nil {
		if err == nil && at != "" {
			return nil // named already
		}
		// Two set-ups under one id cannot both be told of their end. Those that share a connection end together.
		if t.conn == id && !t.over && t.standing() == nil {
			c.withdraw(t)
		}
		return bad("id in use", "launch: id %s is in use", m.UID)
	}
	if err != nil {
		return err
	}
	if len(c.byID) >= maxTasks {
		c.tell(id, reply(m, platformproto.Stop, platformproto.CauseBusy))
		return nil
	}
	if at != "" {
		c.Counts.Adopted++
		c.namedAt = c.now
		return c.holds(id, m, task, at)
	}
	t := c.add(id, m, task)
	c.open++
	c.Counts.Accepted++
	ow.open[t] = struct{}{}
	task.ID = t.id
	c.arrive(t, task)
	return nil
}

// arrive tells the module of a set-up. After a start the tasks that stand already are named in hundreds of lines on one connection, while
// set-ups come on others: one that is placed before all of them were read is placed without regard to what its service has where. So the
// set-ups of that moment wait until no more are named, for a short time at most and never beyond their own.
func (c *Core) arrive(t *task, x placer.Task) {
	until := min(c.namedAt+namedGap, c.testedAt+handover, t.deadline)
	if c.now >= until {
		c.post(placer.Event{Kind: placer.Arrived, TaskID: t.id, Task: x})
		return
	}
	c.timers.Add(until, func() {
		if !t.over {
			c.arrive(t, x)
		}
	})
}

func (c *Core) add(id ConnID, m *platformproto.Message, x placer.Task) *task {
	c.next++
	t := &task{id: c.next, m: *m, conn: id, class: x.Class, deadline: x.Deadline}
	c.tasks[t.id] = t
	c.byID[m.ID] = t
	return t
}

// holds takes over a task that a machine holds already.
func (c *Core) holds(id ConnID, m *platformproto.Message, x placer.Task, at string) error {
	n := c.nodes[c.number(at)]
	if n == nil {
		return bad("at", "launch %s: extras: at: %.40q is not in the bulletin", m.UID, at)
	}
	if old := c.places[place{n.ID, m.ID}]; old != nil {
		c.forget(old) // an attempt given up that was accepted after all
	}
	if e, ended := c.ends[place{n.ID, m.ID}]; ended {
		// Its owner named it while its end was on its way here: no second word of that would come.
		c.Counts.TasksEnded++
		c.tellOwed(id, owed{m: reply(m, platformproto.Stop, e.cause), until: c.now + owedFor})
		return nil
	}
	t := c.add(id, m, x)
	c.owners[id].good = c.now
	o := &Attempt{Node: n.ID, Message: t.toNode(), t: t, state: bound, sent: c.now, bound: c.now}
	t.offers = append(t.offers, o)
	c.places[place{n.ID, m.ID}] = o
	n.standing[o] = struct{}{}
	x.ID = t.id
	c.post(placer.Event{Kind: placer.Adopted, TaskID: t.id, Task: x, Node: n.ID})
	c.out = append(c.out, Effect{Kind: ConnectNode, Attempt: o})
	if n.State == placer.Gone {
		c.expireTasks(n)
	}
	return nil
}

// read checks a set-up and says what the module is to know of it. at is the machine that holds it already, "" if none.
func (c *Core) read(m *platformproto.Message) (x placer.Task, at string, err error) {
	if m.Body == "" {
		return x, "", bad("body", "launch %s: no body", m.UID)
	}
	if x.Class = slices.Index(c.s.Classes, m.Get(platformproto.Class)); x.Class < 0 {
		return x, "", bad("class", "launch %s: class %.40q is not known", m.UID, m.Get(platformproto.Class))
	}
	if name := m.Get(platformproto.Tenant); name != "" || len(c.s.Tenants) > 0 {
		if x.Tenant = slices.Index(c.s.Tenants, name); x.Tenant < 0 {
			return x, "", bad("tenant", "launch %s: tenant %.40q is not known", m.UID, name)
		}
	}
	if _, err := platformproto.ParseID(m.Get(platformproto.Key)); err != nil {
		return x, "", bad("key", "launch %s: key: %w", m.UID, err)
	}
	seen := 0
	for part := range strings.SplitSeq(m.Get(platformproto.Extras), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch name {
		case "cores", "memory":
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || !(v >= 0) || v > 1e9 {
				return x, "", bad("extras", "launch %s: extras: %s %.40q: want a number from 0 to 1e9", m.UID, name, value)
			}
			if seen++; name == "cores" {
				x.Cores = v
			} else {
				x.Memory = v
			}
		case "again":
			x.IsRetry = value == "1"
		case "service":
			id, err := platformproto.ParseID(value)
			if err != nil {
				return x, "", bad("extras", "launch %s: extras: service: %w", m.UID, err)
			}
			x.Service = placer.ServiceID(id)
		case "at":
			if at = value; at == "" {
				return x, "", bad("extras", "launch %s: extras: at names no machine", m.UID)
			}
		}
	}
	// Of a task that stands no answer is owed: owners give any time there, such as that of a task without an end.
	left, err := strconv.ParseFloat(m.Get(platformproto.Left), 64)
	most := 2000 * c.s.Placer.Classes[x.Class].Deadline
	if err != nil || !(left >= 0) || left > most && at == "" {
		return x, "", bad("left", "launch %s: left %.40q: want 0 to %g ms, twice what the class gives", m.UID, m.Get(platformproto.Left), most)
	}
	x.Deadline = c.now + left/1000
	if seen != 2 {
		return x, "", bad("extras", "launch %s: extras %.60q: want cores and memory once each", m.UID, m.Get(platformproto.Extras))
	}
	return x, at, nil
}

// toNode is the set-up as a machine gets it: id, class, key, description, and the key by which copies are known, as they came.
func (t *task) toNode() platformproto.Message {
	m := platformproto.Message{Kind: platformproto.Launch, UID: t.m.UID, ID: t.m.ID, Body: t.m.Body}
	m.Set(platformproto.Class, t.m.Get(platformproto.Class))
	m.Set(platformproto.Key, t.m.Get(platformproto.Key))
	if t.m.Has(platformproto.IdempotencyKey) {
		m.Set(platformproto.IdempotencyKey, t.m.Get(platformproto.IdempotencyKey))
	}
	return m
}

// answer gives the final answer to a set-up that does not stand.
func (c *Core) answer(t *task, m platformproto.Message) {
	if t.over {
		return
	}
	c.close(t)
	if c.owners[t.conn] != nil {
		c.tell(t.conn, m)
	}
	c.abandon(t, placer.TimedOut)
	c.drop(t)
}

// withdraw ends an open set-up whose owner waits no longer.
func (c *Core) withdraw(t *task) {
	if t.over {
		return
	}
	c.Counts.Withdrawn++
	t.gone = true
	c.close(t)
	c.post(placer.Event{Kind: placer.Withdrawn, TaskID: t.id})
	c.abandon(t, placer.Cancelled)
	c.drop(t)
}

// close takes an open set-up out of the open ones.
func (c *Core) close(t *task) {
	t.over = true
	c.open--
	if ow := c.owners[t.conn]; ow != nil {
		delete(ow.open, t)
	}
}

// drop forgets a set-up that is over. What machines still say of its attempts finds them by their place.
func (c *Core) drop(t *task) {
	if c.byID[t.m.ID] == t {
		delete(c.byID, t.m.ID)
	}
	delete(c.tasks, t.id)
}

// abandon gives up the attempt that is out.
func (c *Core) abandon(t *task, as placer.Result) {
	if n := len(t.offers); n > 0 && t.offers[n-1].Unanswered() {
		c.giveUp(t.offers[n-1], as, false)
	}
}

// toOwner sends what is owed for a task that stood: on its own connection, else on one that owners of standing tasks use, the latest first,
// else on the next one that opens.
func (c *Core) toOwner(t *task, m platformproto.Message) {
	c.toAnyOwner(t.conn, owed{m: m, until: c.now + owedFor})
}

func (c *Core) toAnyOwner(first ConnID, o owed) {
	if id := c.anyOwner(first); id != 0 {
		c.tellOwed(id, o)
		return
	}
	c.Counts.PendingNotifications++
	c.owed = append(c.owed, o)
}

// tellOwed sends a release and remembers it for as long as it is owed, or until it was heard.
func (c *Core) tellOwed(id ConnID, o owed) {
	c.tell(id, o.m)
	if o.m.Kind == platformproto.Migrate {
		// Sent once more, it is the release that follows from it: where the move was heard, that one is for a task of the past.
		o.m, o.move = reply(&o.m, platformproto.Stop, platformproto.CauseCancelled), true
	}
	ow := c.owners[id]
	ow.unread = slices.DeleteFunc(ow.unread, func(o owed) bool { return o.until <= c.now })
	ow.unread = append(ow.unread, o)
}

func (c *Core) anyOwner(first ConnID) ConnID {
	if c.owners[first] != nil {
		return first
	}
	var best ConnID
	var b *owner
	for id, ow := range c.owners {
		if ow.heard <= 0 {
			continue // said nothing that makes sense
		}
		if b == nil || ow.good > b.good || ow.good == b.good && (ow.heard > b.heard || ow.heard == b.heard && id > best) {
			best, b = id, ow
		}
	}
	return best
}

// settle sends what is owed on a connection that has shown itself to be an owner's.
func (c *Core) settle(id ConnID) {
	for _, o := range c.owed {
		if o.until < c.now {
			c.Counts.ExpiredNotifications++
			continue
		}
		c.tellOwed(id, o)
	}
	c.owed = nil
}
