package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// coreHarness drives a core, records the messages of clients and nodes, and checks them against the rules of
// the protocol.
type coreHarness struct {
	t               rapid.TB
	core            *Core
	now             placer.Seconds
	lastEventNumber int
	lastConn        ConnID
	conns           []ConnID
	lastID          uint64
	clientRecords   map[protocol.ID]*clientRecord
	pending         []*Attempt // attempts that wait for their connection
	sent            []*Attempt
	running         []*Attempt
}

// clientRecord records what the client of one task sent and received.
type clientRecord struct {
	notifiedOn             ConnID // connection of the last notification, 0 after it was acknowledged
	conn                   ConnID
	deadline               placer.Seconds
	withdrawn, adopted     bool
	answers, notifications int
	running                bool
}

// newHarness returns a core with the nodes 1 to 3 in its registry. If policy is nil, the core uses a
// placer.Placer.
func newHarness(t rapid.TB, policy eventqueue.Placer) *coreHarness {
	parsed, err := simconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	if policy == nil {
		if policy, err = placer.New(parsed.Placer, 7); err != nil {
			t.Fatal(err)
		}
	}
	harness := &coreHarness{t: t, now: 1000, lastEventNumber: 1, clientRecords: map[protocol.ID]*clientRecord{}}
	list := discoveryEventJSON(1, true, nodeJSON(1, "in_service", 0), nodeJSON(2, "in_service", 0), nodeJSON(3, "in_service", 0))
	knownEvents := `{"no":1,"items":[` + list + `]}`
	if harness.core, err = New(harness.now, parsed, policy, []byte(knownEvents)); err != nil {
		t.Fatal(err)
	}
	harness.core.SetDiscoveryConnected(harness.now, true)
	harness.carryOutEffects()
	return harness
}

// sentAttempt returns a core with a scripted placer, the placer, and an unanswered attempt that was sent to
// node 1.
func sentAttempt(t *testing.T, class string) (*coreHarness, *scriptedPlacer, *Attempt) {
	t.Helper()
	policy := &scriptedPlacer{node: nodeID(1)}
	harness := newHarness(t, policy)
	harness.launch(harness.connect(), class, 2000, "")
	harness.send(0)
	return harness, policy, harness.sent[0]
}

// runningAttempt is like sentAttempt, but the node has accepted the attempt.
func runningAttempt(t *testing.T, class string) (*coreHarness, *scriptedPlacer, *Attempt) {
	t.Helper()
	harness, policy, attempt := sentAttempt(t, class)
	harness.accept(attempt)
	return harness, policy, attempt
}

func (harness *coreHarness) connect() ConnID {
	harness.lastConn++
	harness.core.ClientConnected(harness.now, harness.lastConn)
	harness.conns = append(harness.conns, harness.lastConn)
	harness.carryOutEffects()
	return harness.lastConn
}

// launch sends a launch message for a new task and returns the ID of the task. If extras is not empty, the
// message is an adoption.
func (harness *coreHarness) launch(conn ConnID, class string, leftMS float64, extras string) protocol.ID {
	harness.lastID++
	msg := launchMessage(protocol.ID(harness.lastID))
	msg.Set(protocol.Class, class)
	msg.Set(protocol.TimeLeft, fmt.Sprint(leftMS))
	msg.Set(protocol.Extras, "cores:1;memory:1;service:0000000000000009"+extras)
	adopted := extras != ""
	deadline := harness.now + placer.Seconds(leftMS/1000)
	harness.clientRecords[msg.ID] = &clientRecord{conn: conn, deadline: deadline, adopted: adopted, running: adopted}
	harness.receiveFromClient(conn, msg)
	harness.carryOutEffects()
	return msg.ID
}

// adopt lists a task that runs on a node for adoption, and returns the ID of the task.
func (harness *coreHarness) adopt(conn ConnID, node int) protocol.ID {
	return harness.launch(conn, "seats", longRunningMS, adoptionExtras(node))
}

// withdraw makes a client withdraw an open request.
func (harness *coreHarness) withdraw(id protocol.ID) {
	record := harness.clientRecords[id]
	record.withdrawn = true
	harness.receiveFromClient(record.conn, newMessage(protocol.Stop, id, protocol.CauseEnd))
	harness.carryOutEffects()
}

// checkHealth makes a client send a health check, and returns the ID of that message.
func (harness *coreHarness) checkHealth(conn ConnID) protocol.ID {
	check := newMessage(protocol.Check, 1<<60, 0)
	harness.clientRecords[check.ID] = &clientRecord{running: true}
	harness.receiveFromClient(conn, check)
	harness.carryOutEffects()
	return check.ID
}

// receiveFromClient passes a valid client message to the core. The caller has to carry out the effects.
func (harness *coreHarness) receiveFromClient(conn ConnID, msg protocol.Message) {
	if err := harness.core.ReceiveFromClient(harness.now, conn, &msg); err != nil {
		harness.t.Fatalf("message %v on connection %d: %v", msg, conn, err)
	}
}

func (harness *coreHarness) receiveFromNode(attempt *Attempt, msg protocol.Message) []Effect {
	harness.core.ReceiveFromNode(harness.now, attempt.Node, &msg)
	return harness.carryOutEffects()
}

// accept makes the node of an attempt accept it.
func (harness *coreHarness) accept(attempt *Attempt) []Effect {
	return harness.receiveFromNode(attempt, runningMessage(attempt.Message.ID))
}

// reportEnd makes a node report the end of a task. The caller has to carry out the effects.
func (harness *coreHarness) reportEnd(node placer.NodeID, id protocol.ID, cause protocol.Cause) {
	msg := newMessage(protocol.Stop, id, cause)
	harness.core.ReceiveFromNode(harness.now, node, &msg)
}

// migrate makes the placer migrate a running task. The caller has to carry out the effects.
func (harness *coreHarness) migrate(attempt *Attempt) {
	harness.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
}

// carryOutEffects carries out the effects of the core, checks the messages to clients, and returns the
// effects.
func (harness *coreHarness) carryOutEffects() []Effect {
	if illegal := harness.core.IllegalTransitions(); illegal != 0 {
		harness.t.Fatalf("the core made %d illegal state transitions", illegal)
	}
	effects := harness.core.Ready()
	for _, effect := range effects {
		switch effect.Kind {
		case SendAttempt:
			harness.pending = append(harness.pending, effect.Attempt)
		case SendToClient:
			harness.receiveAsClient(effect.Conn, effect.Message)
		}
	}
	return effects
}

// receiveAsClient passes a message of the core to the client of its task and checks it. A request that was
// not withdrawn gets exactly one answer in time, and the end of a running task is notified once.
func (harness *coreHarness) receiveAsClient(conn ConnID, msg protocol.Message) {
	record := harness.clientRecords[msg.ID]
	if record == nil {
		harness.t.Fatalf("core sent %v about a request that no client made", msg)
	}
	switch {
	case msg.Kind == protocol.Running:
		record.answers++
		unexpected := record.withdrawn || record.adopted || conn != record.conn || msg.Body != `"out"`
		if unexpected || harness.now > record.deadline+0.01 {
			harness.t.Fatalf("invalid or late answer %v at time %v, client record %+v, connection %d", msg, harness.now, record, conn)
		}
		record.running = true
	case record.running:
		record.notifications++
		// A second notification is allowed only if the connection of the first closed without an
		// acknowledgement.
		if record.notifications > 1 && (record.notifiedOn == 0 || harness.core.clients.get(record.notifiedOn) != nil) {
			harness.t.Fatalf("client was notified a second time: %v", msg)
		}
		record.notifiedOn = conn
	default:
		record.answers++
		if record.withdrawn || harness.now > record.deadline+0.011 {
			harness.t.Fatalf("unexpected or late rejection %v at time %v, client record %+v", msg, harness.now, record)
		}
	}
	if record.answers > 1 {
		harness.t.Fatalf("client received a second answer: %v", msg)
	}
}

// acknowledge makes a client acknowledge its last notification.
func (harness *coreHarness) acknowledge(id protocol.ID) {
	record := harness.clientRecords[id]
	if record.notifiedOn == 0 || harness.core.clients.get(record.notifiedOn) == nil {
		return
	}
	harness.receiveFromClient(record.notifiedOn, newMessage(protocol.Stopped, id, noCause))
	record.notifiedOn = 0
	harness.carryOutEffects()
}

// send sends a pending attempt. It fails the test if another attempt of the same request is live.
func (harness *coreHarness) send(i int) {
	attempt := harness.pending[i]
	harness.pending = slices.Delete(harness.pending, i, i+1)
	if !harness.core.PrepareSend(harness.now, attempt) {
		harness.carryOutEffects()
		return
	}
	for _, other := range slices.Concat(harness.sent, harness.running) {
		if other != attempt && other.request == attempt.request && other.Live() {
			harness.t.Fatalf("two attempts of request %s are live at the same time", attempt.Message.UID)
		}
	}
	if node := harness.core.Node(attempt.Node); node.State != placer.Ready || harness.now >= attempt.expiresAt {
		harness.t.Fatalf("attempt was sent to a node in state %d at time %v, expires at %v", node.State, harness.now, attempt.expiresAt)
	}
	harness.sent = append(harness.sent, attempt)
	harness.carryOutEffects()
}

func (harness *coreHarness) advance(by placer.Seconds) {
	to := harness.now + by
	for harness.core.NextTimer() <= to {
		harness.now = max(harness.now, harness.core.NextTimer())
		harness.core.Advance(harness.now)
		harness.carryOutEffects()
	}
	harness.now = to
}

// deliverDiscoveryEvent delivers the next discovery event.
func (harness *coreHarness) deliverDiscoveryEvent(complete bool, nodes ...string) {
	harness.lastEventNumber++
	ok, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(discoveryEventJSON(harness.lastEventNumber, complete, nodes...)))
	if !ok || err != nil {
		harness.t.Fatalf("discovery event %d: ok %v, error %v", harness.lastEventNumber, ok, err)
	}
}

// endAllTasks ends all running tasks, waits until all retention times have passed, and checks that the core
// is empty.
func (harness *coreHarness) endAllTasks() {
	harness.advance(10)
	for _, attempt := range slices.Clone(harness.running) {
		harness.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd))
	}
	check := harness.checkHealth(harness.connect())
	harness.advance(30)
	for id, record := range harness.clientRecords {
		if record.answers == 0 && !record.withdrawn && !record.adopted && id != check {
			harness.t.Fatalf("request %x was never answered, client record %+v", uint64(id), record)
		}
	}
	harness.requireEmpty()
	harness.requireInvariants()
	if pending := len(harness.core.notifier.pending); pending != 0 {
		harness.t.Fatalf("%d pending notifications are left", pending)
	}
}

// requireInvariants fails the test if an invariant of the core does not hold.
func (harness *coreHarness) requireInvariants() {
	if err := harness.core.CheckInvariants(); err != nil {
		harness.t.Fatal(err)
	}
}

// requireEmpty fails the test if the core still contains requests or attempts.
func (harness *coreHarness) requireEmpty() {
	core := harness.core
	left := []int{core.OpenRequests(), core.RunningTasks(), len(core.requests.byTask), len(core.requests.byID), len(core.attempts.byKey)}
	if slices.ContainsFunc(left, func(count int) bool { return count != 0 }) {
		harness.t.Fatalf("counts of open requests, running tasks, requests, requests by ID, attempts are %v, want all 0", left)
	}
}
