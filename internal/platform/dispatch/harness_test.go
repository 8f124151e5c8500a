package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/testsupport/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "300") }

const testSettings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a","b"],
 "extra":{"admitMemory":1.5,"apartBy":["none","none"],"classKind":[-1,-1],"checkAfterS":2,"coresByKind":[8],"cpuBooking":2,"freeInList":true,
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16],"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":5,"keyScope":"all","objectiveS":1,"worth":2}],
 "orgs":[{"name":"south"}],"loadReport":{"fields":["x0","x1"],"how":"answers"},
 "permissions":{"mostTries":4,"retryAfter":true,"maxRetryAfterS":3,"connectTimeoutS":0.25},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"drainGraceS":0.5,"fallS":1,"warmWithinS":8}}`

func nodeJSON(i int, state string, startedAtMS int64) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.0.0.%d:1","az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":%d,"open":[16,24]}`,
		i, i, state, startedAtMS)
}

func discoveryEventJSON(number int, complete bool, nodes ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, number, number, complete, strings.Join(nodes, ","))
}

// harness drives a core, records what clients and nodes sent and received, and checks the rules on that.
type harness struct {
	t         rapid.TB
	core      *Core
	now       placer.Seconds
	lastEvent int
	lastConn  ConnID
	conns     []ConnID
	lastID    uint64
	records   map[protocol.ID]*clientRecord
	pending   []*Attempt // wait for their connection
	sent      []*Attempt
	running   []*Attempt
}

// clientRecord is what the client of one task sent and received.
type clientRecord struct {
	notifiedOn             ConnID // the connection of the last notification, 0 once it was acknowledged
	conn                   ConnID
	deadline               placer.Seconds
	withdrawn, adopted     bool
	answers, notifications int
	running                bool
}

func newHarness(t rapid.TB, policy eventqueue.Placer) *harness {
	parsed, err := simconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	if policy == nil {
		if policy, err = placer.New(parsed.Placer, 7); err != nil {
			t.Fatal(err)
		}
	}
	h := &harness{t: t, now: 1000, lastEvent: 1, records: map[protocol.ID]*clientRecord{}}
	list := discoveryEventJSON(1, true, nodeJSON(1, "in_service", 0), nodeJSON(2, "in_service", 0), nodeJSON(3, "in_service", 0))
	knownEvents := `{"no":1,"items":[` + list + `]}`
	if h.core, err = New(h.now, parsed, policy, []byte(knownEvents)); err != nil {
		t.Fatal(err)
	}
	h.core.SetDiscoveryConnected(h.now, true)
	h.carryOutEffects()
	return h
}

func (h *harness) connect() ConnID {
	h.lastConn++
	h.core.ClientConnected(h.now, h.lastConn)
	h.conns = append(h.conns, h.lastConn)
	h.carryOutEffects()
	return h.lastConn
}

// launch sends a launch message for a new task and returns the task's ID. With extras it is an adoption.
func (h *harness) launch(conn ConnID, class string, leftMS float64, extras string) protocol.ID {
	h.lastID++
	msg := h.launchMessage(protocol.ID(h.lastID))
	msg.Set(protocol.Class, class)
	msg.Set(protocol.TimeLeft, fmt.Sprint(leftMS))
	msg.Set(protocol.Extras, "cores:1;memory:1;service:0000000000000009"+extras)
	adopted := extras != ""
	h.records[msg.ID] = &clientRecord{conn: conn, deadline: h.now + placer.Seconds(leftMS/1000), adopted: adopted, running: adopted}
	if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
		h.t.Fatalf("launch: %v", err)
	}
	h.carryOutEffects()
	return msg.ID
}

// launchMessage returns a valid launch message.
func (h *harness) launchMessage(id protocol.ID) protocol.Message {
	msg := newMessage(protocol.Launch, id, noCause)
	msg.Body = `"in"`
	msg.Set(protocol.Class, "query")
	msg.Set(protocol.Tenant, "south")
	msg.Set(protocol.Key, msg.UID)
	msg.Set(protocol.TimeLeft, "1000")
	msg.Set(protocol.Extras, "cores:1;memory:1")
	return msg
}

func newMessage(kind protocol.Kind, id protocol.ID, cause int) protocol.Message {
	return protocol.Message{Kind: kind, ID: id, UID: fmt.Sprintf("%016x", uint64(id)), Cause: max(cause, 0), HasCause: cause >= 0}
}

func (h *harness) receiveFromNode(attempt *Attempt, msg protocol.Message) {
	h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
	h.carryOutEffects()
}

// carryOutEffects carries out the effects and checks them against the rules.
func (h *harness) carryOutEffects() {
	if n := h.core.IllegalTransitions(); n != 0 {
		h.t.Fatalf("%d illegal state transitions", n)
	}
	for _, effect := range h.core.Ready() {
		switch effect.Kind {
		case SendAttempt:
			h.pending = append(h.pending, effect.Attempt)
		case SendToClient:
			h.receiveFromCore(effect.Conn, effect.Message)
		}
	}
}

// receiveFromCore has the client of a task receive a message and checks it against the rules: one answer in time to a request that was not
// withdrawn, and one notification of the end of a running task.
func (h *harness) receiveFromCore(conn ConnID, msg protocol.Message) {
	record := h.records[msg.ID]
	if record == nil {
		h.t.Fatalf("sent %v about a request that no client made", msg)
	}
	switch {
	case msg.Kind == protocol.Running:
		record.answers++
		unexpected := record.withdrawn || record.adopted || conn != record.conn || msg.Body != `"out"`
		if unexpected || h.now > record.deadline+0.01 {
			h.t.Fatalf("answer %v at %v to %+v on %d", msg, h.now, record, conn)
		}
		record.running = true
	case record.running:
		record.notifications++
		// A second one only if the connection of the first has ended without an acknowledgement.
		if record.notifications > 1 && (record.notifiedOn == 0 || h.core.clients.get(record.notifiedOn) != nil) {
			h.t.Fatalf("second notification %v", msg)
		}
		record.notifiedOn = conn
	default:
		record.answers++
		if record.withdrawn || h.now > record.deadline+0.011 {
			h.t.Fatalf("rejection %v at %v to %+v", msg, h.now, record)
		}
	}
	if record.answers > 1 {
		h.t.Fatalf("second answer %v", msg)
	}
}

// acknowledge has a client acknowledge its last notification.
func (h *harness) acknowledge(id protocol.ID) {
	record := h.records[id]
	if record.notifiedOn == 0 || h.core.clients.get(record.notifiedOn) == nil {
		return
	}
	msg := newMessage(protocol.Stopped, id, -1)
	if err := h.core.ReceiveFromClient(h.now, record.notifiedOn, &msg); err != nil {
		h.t.Fatal(err)
	}
	record.notifiedOn = 0
	h.carryOutEffects()
}

// send sends a pending attempt. Its request may have no other live attempt that was sent.
func (h *harness) send(i int) {
	attempt := h.pending[i]
	h.pending = append(h.pending[:i], h.pending[i+1:]...)
	if !h.core.PrepareSend(h.now, attempt) {
		h.carryOutEffects()
		return
	}
	for _, other := range append(h.sent, h.running...) {
		if other != attempt && other.request == attempt.request && other.Live() {
			h.t.Fatalf("two attempts of %s are live", attempt.Message.UID)
		}
	}
	if node := h.core.Node(attempt.Node); node.State != placer.Ready || h.now >= attempt.expiresAt {
		h.t.Fatalf("attempt at a node in state %d at %v, expires at %v", node.State, h.now, attempt.expiresAt)
	}
	h.sent = append(h.sent, attempt)
	h.carryOutEffects()
}

func (h *harness) advance(by placer.Seconds) {
	to := h.now + by
	for h.core.NextTimer() <= to {
		h.now = max(h.now, h.core.NextTimer())
		h.core.Advance(h.now)
		h.carryOutEffects()
	}
	h.now = to
}

// settle ends all running tasks, waits until all retention times are over, and checks that nothing is left.
func (h *harness) settle() {
	h.advance(10)
	for _, attempt := range append([]*Attempt(nil), h.running...) {
		h.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd))
	}
	h.connect()
	check := newMessage(protocol.Check, 1<<60, 0)
	h.records[check.ID] = &clientRecord{running: true}
	if err := h.core.ReceiveFromClient(h.now, h.lastConn, &check); err != nil {
		h.t.Fatal(err)
	}
	h.carryOutEffects()
	h.advance(30)
	for id, record := range h.records {
		if record.answers == 0 && !record.withdrawn && !record.adopted && id != check.ID {
			h.t.Fatalf("request %x was never answered: %+v", uint64(id), record)
		}
	}
	h.requireEmpty()
	h.requireInvariants()
	if pending := len(h.core.notifier.pending); pending != 0 {
		h.t.Fatalf("left: %d pending notifications", pending)
	}
}

// requireInvariants fails the test if the parts of the core contradict each other.
func (h *harness) requireInvariants() {
	if err := h.core.CheckInvariants(); err != nil {
		h.t.Fatal(err)
	}
}

// requireEmpty fails the test if requests or attempts are left.
func (h *harness) requireEmpty() {
	core := h.core
	left := []int{core.OpenRequests(), core.RunningTasks(), len(core.requests.byTask), len(core.requests.byID), len(core.attempts.byKey)}
	if slices.ContainsFunc(left, func(n int) bool { return n != 0 }) {
		h.t.Fatalf("left: open requests, running tasks, requests, requests by ID, attempts: %v", left)
	}
}

// deliver delivers the next discovery event.
func (h *harness) deliver(complete bool, nodes ...string) {
	h.lastEvent++
	ok, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(discoveryEventJSON(h.lastEvent, complete, nodes...)))
	if !ok || err != nil {
		h.t.Fatalf("discovery event %d: ok %v, error %v", h.lastEvent, ok, err)
	}
}

// scriptedPlacer attempts each request at one node, rejects it if that fails, and does nothing else.
type scriptedPlacer struct {
	node   placer.NodeID
	events []placer.Event
}

func (p *scriptedPlacer) Handle(_ placer.Seconds, ev placer.Event, actions []placer.Action) []placer.Action {
	p.events = append(p.events, ev)
	switch {
	case ev.Kind == placer.Arrived:
		return append(actions, placer.Action{Kind: placer.StartAttempt, Task: ev.TaskID, Node: p.node, Until: ev.Task.Deadline})
	case ev.Kind == placer.Ended && !ev.Final:
		return append(actions, placer.Action{Kind: placer.Reject, Task: ev.TaskID, After: 1.5})
	}
	return actions
}

func (p *scriptedPlacer) last() placer.Event { return p.events[len(p.events)-1] }

func sentAttempt(t *testing.T, class string) (*harness, *scriptedPlacer, *Attempt) {
	t.Helper()
	policy := &scriptedPlacer{node: NodeIDOf("s-00000001")}
	h := newHarness(t, policy)
	h.launch(h.connect(), class, 2000, "")
	h.send(0)
	return h, policy, h.sent[0]
}

func accept(h *harness, attempt *Attempt) {
	msg := newMessage(protocol.Running, attempt.Message.ID, -1)
	msg.Body = `"out"`
	h.receiveFromNode(attempt, msg)
}
