package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/eventqueue"
	"heathshed/internal/platformproto"
	"heathshed/internal/proptest"
	"heathshed/internal/simconfig"
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

// harness is a core with all that passed between it and the others, and the rules on that.
type harness struct {
	t         rapid.TB
	core      *Core
	now       float64
	lastEvent int
	lastConn  ConnID
	conns     []ConnID
	lastID    uint64
	records   map[platformproto.ID]*clientRecord
	pending   []*Attempt // wait for their connection
	sent      []*Attempt // sent
	running   []*Attempt
	holding   map[platformproto.ID]int // offers of a task that are out or stand
}

// clientRecord is what one owner sent and was told.
type clientRecord struct {
	notifiedOn             ConnID // the connection of the last release, 0 once it was heard
	conn                   ConnID
	deadline               float64
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
	h := &harness{t: t, now: 1000, lastEvent: 1, records: map[platformproto.ID]*clientRecord{}, holding: map[platformproto.ID]int{}}
	knownEvents := `{"no":1,"items":[` + discoveryEventJSON(1, true, nodeJSON(1, "in_service", 0), nodeJSON(2, "in_service", 0), nodeJSON(3, "in_service", 0)) + `]}`
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

func (h *harness) launch(conn ConnID, class string, left float64, extras string) platformproto.ID {
	h.lastID++
	msg := newMessage(platformproto.Launch, platformproto.ID(h.lastID), -1)
	msg.Body = `"in"`
	for f, v := range map[platformproto.Field]string{platformproto.Class: class, platformproto.Tenant: "south", platformproto.Key: msg.UID, platformproto.TimeLeft: fmt.Sprint(left),
		platformproto.Extras: "cores:1;memory:1;service:0000000000000009" + extras} {
		msg.Set(f, v)
	}
	h.records[msg.ID] = &clientRecord{conn: conn, deadline: h.now + left/1000, adopted: extras != "", running: extras != ""}
	if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
		h.t.Fatalf("launch: %v", err)
	}
	h.carryOutEffects()
	return msg.ID
}

func newMessage(kind platformproto.Kind, id platformproto.ID, cause int) platformproto.Message {
	return platformproto.Message{Kind: kind, ID: id, UID: fmt.Sprintf("%016x", uint64(id)), Cause: max(cause, 0), HasCause: cause >= 0}
}

func (h *harness) receiveFromNode(attempt *Attempt, msg platformproto.Message) {
	h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
	h.carryOutEffects()
}

// carryOutEffects carries out the effects and holds them against the rules.
func (h *harness) carryOutEffects() {
	if n := h.core.IllegalTransitions(); n != 0 {
		h.t.Fatalf("%d illegal state transitions", n)
	}
	for _, e := range h.core.Ready() {
		switch e.Kind {
		case SendAttempt:
			h.pending = append(h.pending, e.Attempt)
		case SendToClient:
			record := h.records[e.Message.ID]
			if record == nil {
				h.t.Fatalf("told %v of a set-up that nobody sent", e.Message)
			}
			switch {
			case e.Message.Kind == platformproto.Running:
				if record.answers++; record.withdrawn || record.adopted || e.Conn != record.conn || e.Message.Body != `"out"` || h.now > record.deadline+0.01 {
					h.t.Fatalf("answer %v at %v to %+v on %d", e.Message, h.now, record, e.Conn)
				}
				record.running = true
			case record.running:
				// A second one only where the first went out on a connection that has ended since, with no word that it was heard.
				if record.notifications++; record.notifications > 1 && (record.notifiedOn == 0 || h.core.clients[record.notifiedOn] != nil) {
					h.t.Fatalf("second release %v", e.Message)
				}
				record.notifiedOn = e.Conn
			default:
				if record.answers++; record.withdrawn || h.now > record.deadline+0.011 {
					h.t.Fatalf("refusal %v at %v to %+v", e.Message, h.now, record)
				}
			}
			if record.answers > 1 {
				h.t.Fatalf("second answer %v", e.Message)
			}
		}
	}
}

// acknowledge has an owner say that it heard a release.
func (h *harness) acknowledge(id platformproto.ID) {
	record := h.records[id]
	if record.notifiedOn == 0 || h.core.clients[record.notifiedOn] == nil {
		return
	}
	msg := newMessage(platformproto.Stopped, id, -1)
	if err := h.core.ReceiveFromClient(h.now, record.notifiedOn, &msg); err != nil {
		h.t.Fatal(err)
	}
	record.notifiedOn = 0
	h.carryOutEffects()
}

// send lets an offer that waits go out. Its task may have no other out.
func (h *harness) send(i int) {
	attempt := h.pending[i]
	h.pending = append(h.pending[:i], h.pending[i+1:]...)
	if !h.core.PrepareSend(h.now, attempt) {
		h.carryOutEffects()
		return
	}
	for _, other := range append(h.sent, h.running...) {
		if other != attempt && other.request == attempt.request && other.Live() {
			h.t.Fatalf("two attempts of %s are out", attempt.Message.UID)
		}
	}
	if node := h.core.Node(attempt.Node); node.State != placer.Ready || h.now >= attempt.expiresAt {
		h.t.Fatalf("offer to a machine in state %d at %v, until %v", node.State, h.now, attempt.expiresAt)
	}
	h.sent = append(h.sent, attempt)
	h.carryOutEffects()
}

func (h *harness) advance(by float64) {
	to := h.now + by
	for h.core.NextTimer() <= to {
		h.now = max(h.now, h.core.NextTimer())
		h.core.Advance(h.now)
		h.carryOutEffects()
	}
	h.now = to
}

// TestRandomEventOrders plays owners, machines and connections in any order: each set-up gets one answer in time unless its owner gave it up, no
// two attempts of a task are out at once, what stood is released once, and in the end nothing is held.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, nil)
		h.connect()
		draw := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			switch draw(16, "step") {
			case 0, 1, 2:
				if len(h.conns) > 0 {
					class := []string{"query", "seats"}[draw(2, "class")]
					h.launch(h.conns[draw(len(h.conns), "conn")], class, float64(draw(4000, "left")), "")
				}
			case 3, 4, 5:
				if len(h.pending) > 0 {
					h.send(draw(len(h.pending), "send"))
				}
			case 6:
				if len(h.pending) > 0 {
					i := draw(len(h.pending), "send")
					h.core.ConnectFailed(h.now, h.pending[i])
					h.pending = append(h.pending[:i], h.pending[i+1:]...)
					h.carryOutEffects()
				}
			case 7, 8:
				if len(h.sent) > 0 {
					attempt := h.sent[draw(len(h.sent), "out")]
					msg := newMessage(platformproto.Running, attempt.Message.ID, -1)
					msg.Body = `"out"`
					h.receiveFromNode(attempt, msg)
					// It may be a later attempt at the same machine that this answers.
					for _, attempt := range h.sent {
						if attempt.state == attemptRunning && !slices.Contains(h.running, attempt) {
							h.running = append(h.running, attempt)
						}
					}
				}
			case 9:
				if len(h.sent) > 0 {
					h.receiveFromNode(h.sent[draw(len(h.sent), "out")],
						newMessage(platformproto.Stop, h.sent[draw(len(h.sent), "of")].Message.ID, []int{16, 31, 34, 41, 47, 102, 5}[draw(7, "cause")]))
				}
			case 10:
				if len(h.sent) > 0 {
					h.core.ConnectionLost(h.now, h.sent[draw(len(h.sent), "out")])
					h.carryOutEffects()
				}
			case 11:
				if h.lastID > 0 {
					id := platformproto.ID(1 + draw(int(h.lastID), "id"))
					if record := h.records[id]; h.core.clients[record.conn] != nil {
						record.withdrawn = record.withdrawn || record.answers == 0
						msg := newMessage(platformproto.Stop, id, 16)
						if err := h.core.ReceiveFromClient(h.now, record.conn, &msg); err != nil {
							t.Fatal(err)
						}
						h.carryOutEffects()
					}
				}
			case 12:
				switch draw(4, "event") {
				case 0:
					if len(h.conns) < 5 {
						h.connect()
					}
				case 1:
					if len(h.conns) > 0 {
						i := draw(len(h.conns), "conn")
						for _, record := range h.records {
							record.withdrawn = record.withdrawn || record.conn == h.conns[i] && record.answers == 0
						}
						h.core.ClientDisconnected(h.now, h.conns[i])
						h.conns = append(h.conns[:i], h.conns[i+1:]...)
						h.carryOutEffects()
					}
				case 2: // a whole list in the middle of the numbers, which may leave machines out
					h.lastEvent++
					var all []string
					for i := range 5 {
						if draw(3, "listed") > 0 {
							all = append(all, nodeJSON(1+i, []string{"in_service", "terminating"}[draw(2, "state")], 0))
						}
					}
					if ok, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(discoveryEventJSON(h.lastEvent, true, all...))); !ok || err != nil {
						t.Fatal(ok, err)
					}
					h.carryOutEffects()
				default:
					h.lastEvent++
					event := discoveryEventJSON(h.lastEvent, false, nodeJSON(1+draw(5, "node"), []string{"in_service", "terminating", "terminated"}[draw(3, "state")],
						int64(draw(3, "boot"))*int64(h.now*1000)))
					if ok, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(event)); !ok || err != nil {
						t.Fatal(ok, err)
					}
					h.carryOutEffects()
				}
			case 13:
				if h.lastID > 0 {
					h.acknowledge(platformproto.ID(1 + draw(int(h.lastID), "id")))
				}
			case 14: // the core is told that a task stands, or that it does and is over at its machine, in either order
				if len(h.conns) > 0 {
					conn, end := h.conns[draw(len(h.conns), "conn")], newMessage(platformproto.Stop, platformproto.ID(h.lastID+1), platformproto.CauseEnd)
					crossed := draw(2, "crossed") == 0
					if crossed {
						h.core.ReceiveFromNode(h.now, NodeIDOf("s-00000001"), &end)
					}
					id := h.launch(conn, "seats", 4294967, ";at:s-00000001")
					if !crossed {
						h.core.ReceiveFromNode(h.now, NodeIDOf("s-00000001"), &end)
						h.carryOutEffects()
					}
					if h.records[id].notifications != 1 {
						t.Fatalf("%d releases of a task that ended", h.records[id].notifications)
					}
				}
			default:
				h.advance(float64(draw(2000, "ms")) / 1000)
			}
		}
		h.settle()
	})
}

// settle ends all that stands, waits until everything is over, and looks at what is left.
func (h *harness) settle() {
	h.advance(10)
	for _, attempt := range append([]*Attempt(nil), h.running...) {
		h.receiveFromNode(attempt, newMessage(platformproto.Stop, attempt.Message.ID, platformproto.CauseEnd))
	}
	h.connect()
	check := newMessage(platformproto.Check, 1<<60, 0)
	h.records[check.ID] = &clientRecord{running: true}
	if err := h.core.ReceiveFromClient(h.now, h.lastConn, &check); err != nil {
		h.t.Fatal(err)
	}
	h.carryOutEffects()
	h.advance(30)
	for id, record := range h.records {
		if record.answers == 0 && !record.withdrawn && !record.adopted && id != check.ID {
			h.t.Fatalf("set-up %x was never answered: %+v", uint64(id), record)
		}
	}
	core := h.core
	if core.OpenRequests() != 0 || core.RunningTasks() != 0 || len(core.requests) != 0 || len(core.requestsByID) != 0 || len(core.attempts) != 0 || len(core.pendingNotifications) != 0 {
		h.t.Fatalf("left: %d open, %d standing, %d tasks, %d ids, %d places, %d owed", core.OpenRequests(), core.RunningTasks(), len(core.requests), len(core.requestsByID),
			len(core.attempts), len(core.pendingNotifications))
	}
}

// TestAdoptionInRandomOrder plays a start in which tasks that stand are named, in any order with their ends at their machines, lists, and connections of
// owners that come and go: each end is told once, and nothing is left standing that has ended.
func TestAdoptionInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, nil)
		draw := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		node := func(id int) placer.NodeID { return NodeIDOf(fmt.Sprintf("s-%08x", 1+id%3)) }
		conn := h.connect()
		const taskCount = 12
		adopted, terminated := map[int]bool{}, map[int]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := 1 + draw(taskCount, "id")
			switch draw(6, "step") {
			case 0, 1:
				if adopted[id] && h.records[platformproto.ID(id)].conn != conn { // named again elsewhere
					h.records[platformproto.ID(id)].conn = conn
				}
				record := h.records[platformproto.ID(id)]
				if record == nil {
					record = &clientRecord{conn: conn, adopted: true, running: true}
					h.records[platformproto.ID(id)] = record
				}
				if record.notifications > 0 {
					continue // its owner knows
				}
				msg := h.launchMessage(platformproto.ID(id))
				msg.Set(platformproto.Extras, fmt.Sprintf("cores:1;memory:1;at:s-%08x", 1+id%3))
				msg.Set(platformproto.TimeLeft, "4294967")
				if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
					t.Fatal(err)
				}
				adopted[id] = true
				h.carryOutEffects()
			case 2, 3:
				terminated[id] = true
				msg := newMessage(platformproto.Stop, platformproto.ID(id), []int{16, 41}[draw(2, "cause")])
				h.core.ReceiveFromNode(h.now, node(id), &msg)
				h.carryOutEffects()
			case 4:
				h.core.ClientDisconnected(h.now, conn)
				h.carryOutEffects()
				conn = h.connect()
				check := newMessage(platformproto.Check, 1<<60, 0)
				h.records[check.ID] = &clientRecord{running: true}
				if err := h.core.ReceiveFromClient(h.now, conn, &check); err != nil {
					t.Fatal(err)
				}
				h.carryOutEffects()
			default:
				h.advance(float64(draw(300, "ms")) / 1000)
			}
		}
		for id := range adopted {
			if record := h.records[platformproto.ID(id)]; terminated[id] && record.notifications == 0 {
				t.Fatalf("task %d ended and was named, and its owner was told nothing", id)
			}
		}
		for id := 1; id <= taskCount; id++ {
			msg := newMessage(platformproto.Stop, platformproto.ID(id), platformproto.CauseEnd)
			h.core.ReceiveFromNode(h.now, node(id), &msg)
		}
		h.carryOutEffects()
		h.settle()
		if len(h.core.earlyTerminations) != 0 || len(h.core.earlyTerminationOrder) != 0 {
			t.Fatalf("%d ends are still remembered", len(h.core.earlyTerminations))
		}
	})
}

// scriptedPlacer is a module that offers each task to machine 1 and does nothing else of its own accord.
type scriptedPlacer struct {
	node   placer.NodeID
	events []placer.Event
}

func (p *scriptedPlacer) Handle(_ float64, ev placer.Event, actions []placer.Action) []placer.Action {
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
	msg := newMessage(platformproto.Running, attempt.Message.ID, -1)
	msg.Body = `"out"`
	h.receiveFromNode(attempt, msg)
}

func TestLateAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, class string
		gone        bool
		released    bool
	}{
		{"a task that may run twice is released", "query", false, true},
		{"one that must not is left to its owner's inquiry", "seats", false, false},
		{"one whose owner gave it up is released", "seats", true, true},
	} {
		h, _, attempt := sentAttempt(t, tc.class)
		if tc.gone {
			msg := newMessage(platformproto.Stop, attempt.Message.ID, 16)
			h.records[msg.ID].withdrawn = true
			if err := h.core.ReceiveFromClient(h.now, 1, &msg); err != nil {
				t.Fatal(err)
			}
			h.carryOutEffects()
		} else {
			h.advance(2.005)
		}
		msg := newMessage(platformproto.Running, attempt.Message.ID, -1)
		msg.Body = `"out"`
		h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
		released := false
		for _, e := range h.core.Ready() {
			released = released || e.Kind == SendToNode && e.Message.Kind == platformproto.Stop
		}
		if released != tc.released || h.core.RunningTasks() != 0 {
			t.Errorf("%s: released %v", tc.name, released)
		}
	}
}

func TestNotificationFindsAClient(t *testing.T) {
	notifiedOn := func(h *harness) (conns []ConnID) {
		for _, e := range h.core.Ready() {
			if e.Kind == SendToClient && e.Message.Kind == platformproto.Stop {
				conns = append(conns, e.Conn)
			}
		}
		return conns
	}
	finish := func(h *harness, attempt *Attempt) {
		msg := newMessage(platformproto.Stop, attempt.Message.ID, platformproto.CauseEnd)
		h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
	}
	h, _, attempt := sentAttempt(t, "seats")
	accept(h, attempt)
	h.connect()
	finish(h, attempt)
	if got := notifiedOn(h); len(got) != 1 || got[0] != 1 {
		t.Fatalf("own connection is open, told on %v", got)
	}
	h, _, attempt = sentAttempt(t, "seats")
	accept(h, attempt)
	unidentified := h.connect() // says nothing
	h.core.ClientDisconnected(h.now, 1)
	finish(h, attempt)
	if got := notifiedOn(h); len(got) != 0 || h.core.Counts.PendingNotifications != 1 {
		t.Fatalf("told on %v, a stranger has %d", got, unidentified)
	}
	next := h.connect()
	msg := newMessage(platformproto.Check, 77, 0)
	if err := h.core.ReceiveFromClient(h.now+7, next, &msg); err != nil {
		t.Fatal(err)
	}
	if got := notifiedOn(h); len(got) != 1 || got[0] != next {
		t.Fatalf("told on %v", got)
	}
	if err := h.core.ReceiveFromClient(h.now+7, next, &msg); err != nil || len(notifiedOn(h)) != 0 {
		t.Fatal("told twice")
	}
}

// TestMoveCrossesTheEnd: the owner of a moved task is told of its end too, unless the machine confirms that it ended by the move.
func TestMigrationCrossesTermination(t *testing.T) {
	for name, tc := range map[string]struct {
		cause, want int
	}{"confirmed": {platformproto.CauseCancelled, -1}, "ended by itself": {platformproto.CauseEnd, platformproto.CauseEnd}, "no word": {-1, platformproto.CauseCancelled}} {
		h, _, attempt := sentAttempt(t, "seats")
		accept(h, attempt)
		h.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
		if out := h.core.Ready(); len(out) != 2 || out[0].Message.Kind != platformproto.Migrate || out[1].Kind != SendToNode {
			t.Fatalf("%s: %+v", name, out)
		}
		if tc.cause >= 0 {
			msg := newMessage(platformproto.Stop, attempt.Message.ID, tc.cause)
			h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
		}
		h.core.Advance(h.now + 1)
		got := -1
		for _, e := range h.core.Ready() {
			if e.Kind == SendToClient {
				got = e.Message.Cause
			}
		}
		if got != tc.want {
			t.Errorf("%s: owner told %d, want %d", name, got, tc.want)
		}
	}
}

// TestSetUpsWaitForWhatStands: what stands already is named in many lines after the first test. A set-up that is read among them is told to the
// module behind the last, unless they go on for too long; at other times it is told at once.
func TestRequestsWaitForAdoptions(t *testing.T) {
	policy := &scriptedPlacer{node: NodeIDOf("s-00000001")}
	h := newHarness(t, policy)
	conn := h.connect()
	order := func() (got string) {
		for _, ev := range policy.events {
			switch ev.Kind {
			case placer.Adopted:
				got += "r"
			case placer.Arrived:
				got += "A"
			}
		}
		policy.events = nil
		return got
	}
	check := newMessage(platformproto.Check, 1<<50, 0)
	h.records[check.ID] = &clientRecord{running: true}
	if err := h.core.ReceiveFromClient(h.now, conn, &check); err != nil {
		t.Fatal(err)
	}
	h.carryOutEffects()
	h.launch(conn, "query", 2000, "") // read before the first
	for range 5 {
		h.launch(conn, "seats", 4294967, ";at:s-00000001")
		h.advance(adoptionIdleGap / 2)
	}
	withdrawn := h.launch(conn, "query", 2000, "") // and one that is taken back meanwhile
	h.records[withdrawn].withdrawn = true
	withdrawal := newMessage(platformproto.Stop, withdrawn, 16)
	if err := h.core.ReceiveFromClient(h.now, conn, &withdrawal); err != nil {
		t.Fatal(err)
	}
	h.launch(conn, "query", 2000, "")
	h.advance(adoptionIdleGap)
	if got := order(); got != "rrrrrAA" {
		t.Errorf("the module was told %s", got)
	}
	h.launch(conn, "query", 2000, "")
	if got := order(); got != "A" {
		t.Errorf("the module was told %q of a set-up alone", got)
	}
	h.launch(conn, "query", 3000, "")
	order()
	for i := range int(2 * adoptionMaxWait / adoptionIdleGap) {
		h.launch(conn, "seats", 4294967, ";at:s-00000001")
		if i == 0 {
			h.launch(conn, "query", 100, "") // is answered in its time all the same
		}
		h.launch(conn, "query", 3000, "")
		h.advance(adoptionIdleGap / 2)
	}
	if got := order(); !strings.HasSuffix(got, "rArA") || strings.Index(got, "A") > 6 {
		t.Errorf("long after the first test the module was told %s", got)
	}
}

// TestReleaseThatCrossesTheEndOfItsConnection: a release, or a move, sent on a connection that its owner closes at that moment was told to
// nobody. One that was heard, or that went out long ago to an owner that does not say what it hears, is not sent again.
func TestRedeliveryAfterDisconnect(t *testing.T) {
	for name, tc := range map[string]struct {
		says, heard, move, other bool
		after                    float64
		want                     int
	}{
		"at once":                          {after: 0.01, want: 1},
		"at once, another is open":         {after: 0.01, want: 1, other: true},
		"long ago":                         {after: 1.5, want: 0},
		"long ago, of one that says so":    {says: true, after: 1.5, want: 1},
		"heard":                            {says: true, heard: true, after: 0.01, want: 0},
		"a move":                           {move: true, after: 0.01, want: 1},
		"a move long ago":                  {says: true, move: true, after: 1.5, want: 0},
		"longer ago than anything is owed": {says: true, after: 9, want: 0},
	} {
		h, _, attempt := sentAttempt(t, "seats")
		accept(h, attempt)
		send := func(conn ConnID, msg platformproto.Message) {
			if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
				t.Fatal(err)
			}
		}
		if tc.says {
			send(1, newMessage(platformproto.Stopped, 99, -1))
		}
		if tc.move {
			h.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
			msg := newMessage(platformproto.Stop, attempt.Message.ID, platformproto.CauseCancelled)
			h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
		} else {
			msg := newMessage(platformproto.Stop, attempt.Message.ID, platformproto.CauseEnd)
			h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
		}
		if tc.heard {
			send(1, newMessage(platformproto.Stopped, attempt.Message.ID, -1))
		}
		h.core.Ready()
		h.core.Advance(h.now + tc.after)
		h.now += tc.after
		other := ConnID(0)
		if tc.other {
			other = h.connect()
			send(other, newMessage(platformproto.Check, 77, 0))
			h.core.Ready()
		}
		h.core.ClientDisconnected(h.now, 1)
		if !tc.other {
			other = h.connect()
			send(other, newMessage(platformproto.Check, 77, 0))
		}
		got := 0
		for _, e := range h.core.Ready() {
			if e.Kind == SendToClient && e.Message.Kind == platformproto.Stop && e.Message.ID == attempt.Message.ID && e.Conn == other {
				got++
			}
		}
		if got != tc.want {
			t.Errorf("%s: told %d times, want %d", name, got, tc.want)
		}
	}
}

// TestSilentMachine: what stood at a machine that says nothing is over for its owner at once, and for the module once the machine has said so, or
// nothing can be owed any more.
func TestUnresponsiveNode(t *testing.T) {
	for name, tc := range map[string]struct {
		cause int
		as    placer.Result
	}{"says that it ended it": {platformproto.CauseCancelled, placer.Cancelled}, "says that it had ended": {platformproto.CauseEnd, placer.Finished},
		"never says anything": {-1, placer.Cancelled}} {
		h, policy, attempt := sentAttempt(t, "seats")
		accept(h, attempt)
		record := h.records[attempt.Message.ID]
		events := len(policy.events)
		if n := h.core.NodeUnresponsive(h.now, attempt.Node); n != 1 {
			t.Fatalf("%s: %d tasks", name, n)
		}
		stopped := false
		out := h.core.Ready()
		for _, e := range out {
			stopped = stopped || e.Kind == SendToNode && e.Message.Kind == platformproto.Stop
		}
		h.core.effects = out
		h.carryOutEffects()
		if record.notifications != 1 || !stopped || len(policy.events) != events || h.core.RunningTasks() != 1 {
			t.Errorf("%s: %+v, machine told %v, %d events, %d standing", name, record, stopped, len(policy.events)-events, h.core.RunningTasks())
		}
		if n := h.core.NodeUnresponsive(h.now, attempt.Node); n != 0 {
			t.Errorf("%s: %d tasks at the second time", name, n)
		}
		if tc.cause >= 0 {
			h.receiveFromNode(attempt, newMessage(platformproto.Stop, attempt.Message.ID, tc.cause))
		} else {
			h.advance(notificationRetention + 0.01)
		}
		if record.notifications != 1 || policy.last().Kind != placer.Ended || policy.last().Result != tc.as || h.core.RunningTasks() != 0 {
			t.Errorf("%s: %+v, last event %+v", name, record, policy.last())
		}
	}
}

// TestEndBeforeTheAnswer: a machine that sends a task away, evicts it or pushes it out had accepted it, though its answer is late: the task has
// stood and is over. Its owner is told at once, no other attempt is made, and the late answer changes nothing. What broke on its way, or is
// handed back as full, is tried elsewhere.
func TestTerminationBeforeTheAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		cause int
		note  string
		over  bool
	}{"sent away": {platformproto.CauseReset, "drained", true}, "evicted": {platformproto.CauseReset, "oom", true}, "pushed out": {platformproto.CauseReset, "preempted", true},
		"broke on its way": {platformproto.CauseReset, "", false}, "full": {platformproto.CauseFull, "drained", false}} {
		h, policy, attempt := sentAttempt(t, "query")
		record := h.records[attempt.Message.ID]
		msg := newMessage(platformproto.Stop, attempt.Message.ID, tc.cause)
		msg.Set(platformproto.Note, tc.note)
		h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
		var notified []int
		out := h.core.Ready()
		for _, e := range out {
			if e.Kind == SendToClient {
				notified = append(notified, e.Message.Cause)
			}
		}
		h.core.effects = out
		h.carryOutEffects()
		boundPosted := false
		for _, ev := range policy.events {
			boundPosted = boundPosted || ev.Kind == placer.Bound
		}
		if tc.over != (len(notified) == 1 && notified[0] == platformproto.CauseReset) || boundPosted != tc.over || policy.last().Final != tc.over || record.answers != 1 {
			t.Errorf("%s: owner told %v, module told that it stood %v, last event %+v", name, notified, boundPosted, policy.last())
		}
		accept(h, attempt)
		if h.core.RunningTasks() != 0 || record.answers != 1 {
			t.Errorf("%s: stands after a late answer", name)
		}
	}
}

func TestAdoption(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connect()
	id := h.launch(conn, "seats", 4294967, ";at:s-00000002")
	if h.core.RunningTasks() != 1 || h.core.OpenRequests() != 0 {
		t.Fatal("not taken over")
	}
	record := h.records[id]
	h.lastID--
	h.launch(conn, "seats", 4294967, ";at:s-00000002") // named twice
	h.records[id] = record
	if h.core.RunningTasks() != 1 {
		t.Fatal("taken over twice")
	}
	h.core.ReceiveFromNode(h.now, NodeIDOf("s-00000002"), &platformproto.Message{Kind: platformproto.Stop, ID: id, Cause: 16, HasCause: true})
	h.carryOutEffects()
	if record.notifications != 1 || h.core.RunningTasks() != 0 {
		t.Fatalf("%+v", record)
	}
}

func TestNodesThatTerminateOrRestart(t *testing.T) {
	for name, ev := range map[string]string{
		"terminated":  discoveryEventJSON(2, false, nodeJSON(1, "terminated", 0)),
		"left out":    discoveryEventJSON(2, true, nodeJSON(2, "in_service", 0)),
		"a new start": discoveryEventJSON(2, false, nodeJSON(1, "in_service", 2000_000)),
	} {
		h, policy, attempt := sentAttempt(t, "query")
		accept(h, attempt)
		record := h.records[attempt.Message.ID]
		h.now += 3
		if _, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(ev)); err != nil {
			t.Fatal(err)
		}
		h.carryOutEffects()
		h.advance(TerminationGrace + 0.01)
		if record.notifications != 1 || policy.last().Result != placer.Lost {
			t.Errorf("%s: %+v, last event %+v", name, record, policy.last())
		}
	}
}

func TestDiscoveryEvents(t *testing.T) {
	h := newHarness(t, nil)
	for _, tc := range []struct {
		ev      string
		ok, bad bool
		last    uint64
	}{
		{discoveryEventJSON(2, false, nodeJSON(4, "in_service", 0)), true, false, 2},
		{discoveryEventJSON(2, false, nodeJSON(4, "terminated", 0)), true, false, 2},  // had already
		{discoveryEventJSON(4, false, nodeJSON(4, "terminated", 0)), false, false, 2}, // a gap
		{discoveryEventJSON(3, false, nodeJSON(4, "terminating", 0))[:40], false, true, 2},
		{discoveryEventJSON(3, false, nodeJSON(4, "sleeping", 0)), false, true, 2},
		{`{"no":3,"other":{}}`, true, false, 3},
		{discoveryEventJSON(4, false, nodeJSON(4, "terminating", 0)), true, false, 4},
	} {
		if ok, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(tc.ev)); ok != tc.ok || (err != nil) != tc.bad || h.core.LastDiscoveryEvent() != tc.last {
			t.Errorf("%s: ok %v, %v, last %d", tc.ev, ok, err, h.core.LastDiscoveryEvent())
		}
	}
	if node := h.core.Node(NodeIDOf("s-00000004")); node.State != placer.Draining {
		t.Errorf("state %d", node.State)
	}
}

func TestInvalidRequests(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connect()
	id := h.launch(conn, "query", 1000, "")
	for name, spoil := range map[string]func(*platformproto.Message){
		"class":        func(msg *platformproto.Message) { msg.Set(platformproto.Class, "gold") },
		"tenant":       func(msg *platformproto.Message) { msg.Set(platformproto.Tenant, "north") },
		"key":          func(msg *platformproto.Message) { msg.Set(platformproto.Key, "x") },
		"body":         func(msg *platformproto.Message) { msg.Body = "" },
		"left":         func(msg *platformproto.Message) { msg.Set(platformproto.TimeLeft, "-1") },
		"left long":    func(msg *platformproto.Message) { msg.Set(platformproto.TimeLeft, "8001") },
		"left huge":    func(msg *platformproto.Message) { msg.Set(platformproto.TimeLeft, "1e300") },
		"left NaN":     func(msg *platformproto.Message) { msg.Set(platformproto.TimeLeft, "NaN") },
		"cores":        func(msg *platformproto.Message) { msg.Set(platformproto.Extras, "cores:-1;memory:1") },
		"cores Inf":    func(msg *platformproto.Message) { msg.Set(platformproto.Extras, "cores:Inf;memory:1") },
		"no memory":    func(msg *platformproto.Message) { msg.Set(platformproto.Extras, "cores:1") },
		"service":      func(msg *platformproto.Message) { msg.Set(platformproto.Extras, "cores:1;memory:1;service:zz") },
		"at":           func(msg *platformproto.Message) { msg.Set(platformproto.Extras, "cores:1;memory:1;at:s-77777777") },
		"an id in use": func(msg *platformproto.Message) { msg.ID, msg.UID = id, fmt.Sprintf("%016x", uint64(id)) },
	} {
		msg := h.launchMessage(99)
		spoil(&msg)
		other := h.connect()
		err := h.core.ReceiveFromClient(h.now, other, &msg)
		out := h.core.Ready()
		if err == nil || len(out) != 1 || out[0].Kind != SendToClient || out[0].Conn != other || out[0].Message.Cause != platformproto.CauseError {
			t.Errorf("%s: %v, %+v", name, err, out)
		}
	}
	if h.core.OpenRequests() != 1 {
		t.Errorf("%d open", h.core.OpenRequests())
	}
}

func (h *harness) launchMessage(id platformproto.ID) platformproto.Message {
	msg := newMessage(platformproto.Launch, id, -1)
	msg.Body = `"in"`
	for f, v := range map[platformproto.Field]string{platformproto.Class: "query", platformproto.Tenant: "south", platformproto.Key: msg.UID, platformproto.TimeLeft: "1000",
		platformproto.Extras: "cores:1;memory:1"} {
		msg.Set(f, v)
	}
	return msg
}

// TestChurn: thousands of machines, connections and tasks come and go, and all tables are back at their size.
func TestChurn(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 3000 {
		conn := h.connect()
		h.launch(conn, "query", 500, "")
		for len(h.pending) > 0 {
			h.send(0)
		}
		for _, attempt := range h.sent {
			accept(h, attempt)
			if i%2 == 0 {
				h.receiveFromNode(attempt, newMessage(platformproto.Stop, attempt.Message.ID, platformproto.CauseEnd))
			}
		}
		h.sent, h.running = nil, h.sent // of earlier ones the machine is gone
		h.lastEvent++
		if _, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(discoveryEventJSON(h.lastEvent, false, nodeJSON(i+4, "in_service", 0), nodeJSON(i+1, "terminated", 0)))); err != nil {
			t.Fatal(err)
		}
		h.advance(0.2)
		h.core.ClientDisconnected(h.now, conn)
		h.carryOutEffects()
	}
	h.conns = nil
	h.settle()
	h.advance(terminatedNodeRetention)
	if n := len(h.core.nodes); n > 4 {
		t.Errorf("%d machines are still known", n)
	}
	if n := h.core.timers.Len(); n > 20 {
		t.Errorf("%d timers", n)
	}
}

// FuzzMessages: whatever lines come, from owners and machines alike, nothing panics and all tables empty once everything has been waited for.
func FuzzMessages(f *testing.F) {
	f.Add("{\"kind\":\"launch\",\"uid\":\"0000000000000001\",\"meta\":{\"class\":\"query\",\"left\":900,\"tenant\":\"south\",\"key\":\"0000000000000001\"," +
		"\"extras\":\"cores:1;memory:1;at:s-00000001\"},\"body\":\"x\"}\n" +
		"{\"kind\":\"running\",\"uid\":\"0000000000000001\",\"body\":\"y\"}\n{\"kind\":\"stop\",\"uid\":\"0000000000000001\",\"meta\":{\"load\":\"x0:1e999;:;x1\"},\"reason\":9}")
	f.Add("{\"kind\":\"launch\",\"uid\":\"0000000000000002\",\"meta\":{\"class\":\"seats\",\"left\":1e3,\"tenant\":\"south\",\"key\":\"0000000000000001\"," +
		"\"extras\":\"cores:0;memory:0;;x\"},\"body\":\"\"}\n{\"kind\":\"update\",\"uid\":\"0000000000000002\",\"meta\":{\"note\":\"cpu\",\"value\":\"NaN\"}}\n" +
		"{\"kind\":\"migrate\",\"uid\":\"0000000000000002\"}")
	f.Fuzz(func(t *testing.T, text string) {
		h := newHarness(t, nil)
		conn := h.connect()
		for line := range strings.SplitSeq(text, "\n") {
			var msg platformproto.Message
			if platformproto.Parse([]byte(line), &msg) != nil {
				continue
			}
			h.core.ReceiveFromClient(h.now, conn, &msg)
			for _, e := range h.core.Ready() {
				if e.Kind == SendAttempt {
					h.core.PrepareSend(h.now, e.Attempt)
				}
			}
			for i := 1; i <= 3; i++ {
				h.core.ReceiveFromNode(h.now, NodeIDOf(fmt.Sprintf("s-%08x", i)), &msg)
			}
			h.core.Ready()
			h.now += 0.1
		}
		h.core.ClientDisconnected(h.now, conn)
		for i := 1; i <= 3; i++ {
			h.core.NodeDead(h.now, NodeIDOf(fmt.Sprintf("s-%08x", i)))
		}
		for until := h.now + 20; h.core.NextTimer() < until; {
			h.now = max(h.now, h.core.NextTimer())
			h.core.Advance(h.now)
			h.core.Ready()
		}
		if core := h.core; core.OpenRequests() != 0 || core.RunningTasks() != 0 || len(core.requests) != 0 || len(core.requestsByID) != 0 || len(core.attempts) != 0 {
			t.Fatalf("left: %d open, %d standing, %d tasks, %d ids, %d places", core.OpenRequests(), core.RunningTasks(), len(core.requests), len(core.requestsByID), len(core.attempts))
		}
	})
}

// TestTooManyTasks: what is held is bounded, and the bound lets go with what was held.
func TestTooManyTasks(t *testing.T) {
	h := newHarness(t, &scriptedPlacer{})
	conn := h.connect()
	for range maxTasks {
		h.launch(conn, "query", 1000, ";at:s-00000001")
	}
	rejected := func() bool {
		msg := h.launchMessage(platformproto.ID(1e6))
		if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
			t.Fatal(err)
		}
		out := h.core.Ready()
		return len(out) == 1 && out[0].Kind == SendToClient && out[0].Message.Cause == platformproto.CauseBusy
	}
	if !rejected() {
		t.Fatal("one too many was taken")
	}
	h.core.NodeDead(h.now, NodeIDOf("s-00000001"))
	h.carryOutEffects()
	if rejected() {
		t.Fatal("refused after all have gone")
	}
}

// TestWaitsBelowTheClocksGrain: a wait too short for a clock of this size must not bring the same moment back for ever.
func TestDelaysBelowClockResolution(t *testing.T) {
	const now = 1.8e9 // Unix seconds: the grain is 2.4e-7
	for _, after := range []float64{0, 1e-9} {
		wakeups := 0
		core := &Core{settings: &simconfig.Settings{}, now: now}
		core.events = eventqueue.Queue{Execute: core.execute, Placer: placerFunc(func(ev placer.Event) []placer.Action {
			if wakeups++; wakeups > 1000 {
				t.Fatalf("woken %d times in one moment, waits of %g s", wakeups, after)
			}
			return []placer.Action{{Kind: placer.SetTimer, After: after}}
		})}
		core.post(placer.Event{Kind: placer.TimerFired})
		core.runEvents()
		core.Advance(now)
	}
}

type placerFunc func(placer.Event) []placer.Action

func (f placerFunc) Handle(_ float64, ev placer.Event, actions []placer.Action) []placer.Action {
	return append(actions, f(ev)...)
}

func TestMessageOnClosedConnection(t *testing.T) {
	h := newHarness(t, nil)
	msg := h.launchMessage(1)
	if err := h.core.ReceiveFromClient(h.now, 42, &msg); !errors.Is(err, ErrClientNotConnected) {
		t.Errorf("error %v", err)
	}
}

// TestRequestTransitions: a closed request stays closed, and a transition that is not in the table is counted.
func TestRequestTransitions(t *testing.T) {
	if len(requestTransitions) != int(requestTerminated)+1 {
		t.Fatalf("transitions for %d states", len(requestTransitions))
	}
	for from := requestOpen; from <= requestTerminated; from++ {
		for to := requestOpen; to <= requestTerminated; to++ {
			legal := slices.Contains(requestTransitions[from], to)
			if legal && from.closed() && !to.closed() {
				t.Errorf("state %d is closed and leads to %d", from, to)
			}
			core, req := &Core{}, &request{state: from}
			core.transition(req, to)
			if counted := core.illegalTransitions == 1; req.state != to || counted == legal {
				t.Errorf("from %d to %d: state %d, counted as illegal: %v", from, to, req.state, counted)
			}
		}
	}
}

// TestAttemptTransitions: an attempt that has ended is never live again, and a transition that is not in the table is counted.
func TestAttemptTransitions(t *testing.T) {
	if len(attemptTransitions) != int(attemptTerminated)+1 {
		t.Fatalf("transitions for %d states", len(attemptTransitions))
	}
	for from := attemptPending; from <= attemptTerminated; from++ {
		for to := attemptPending; to <= attemptTerminated; to++ {
			legal := slices.Contains(attemptTransitions[from], to)
			if legal && to <= from {
				t.Errorf("state %d leads back to %d", from, to)
			}
			core, attempt := &Core{}, &Attempt{state: from}
			core.transitionAttempt(attempt, to)
			if counted := core.illegalTransitions == 1; attempt.state != to || counted == legal {
				t.Errorf("from %d to %d: state %d, counted as illegal: %v", from, to, attempt.state, counted)
			}
		}
	}
}
