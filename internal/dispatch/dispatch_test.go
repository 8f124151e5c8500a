package dispatch

import (
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

const settings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a","b"],
 "extra":{"admitMemory":1.5,"apartBy":["none","none"],"classKind":[-1,-1],"checkAfterS":2,"coresByKind":[8],"cpuBooking":2,"freeInList":true,
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16],"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":5,"keyScope":"all","objectiveS":1,"worth":2}],
 "orgs":[{"name":"south"}],"loadReport":{"fields":["x0","x1"],"how":"answers"},
 "permissions":{"mostTries":4,"retryAfter":true,"maxRetryAfterS":3,"connectTimeoutS":0.25},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"drainGraceS":0.5,"fallS":1,"warmWithinS":8}}`

func target(i int, state string, boot int64) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.0.0.%d:1","az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":%d,"open":[16,24]}`,
		i, i, state, boot)
}

func roster(no int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, no, no, all, strings.Join(targets, ","))
}

// world is a core with all that passed between it and the others, and the rules on that.
type world struct {
	t       rapid.TB
	c       *Core
	now     float64
	no      int
	opened  ConnID
	conns   []ConnID
	ids     uint64
	setUps  map[platformproto.ID]*heard
	sends   []*Attempt // wait for their connection
	outs    []*Attempt // sent
	stands  []*Attempt
	holding map[platformproto.ID]int // offers of a task that are out or stand
}

// heard is what one owner sent and was told.
type heard struct {
	toldOn            ConnID // the connection of the last release, 0 once it was heard
	conn              ConnID
	deadline          float64
	gone, at          bool
	answers, releases int
	standing          bool
}

func newWorld(t rapid.TB, p eventqueue.Placer) *world {
	s, err := simconfig.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if p == nil {
		if p, err = placer.New(s.Placer, 7); err != nil {
			t.Fatal(err)
		}
	}
	w := &world{t: t, now: 1000, no: 1, setUps: map[platformproto.ID]*heard{}, holding: map[platformproto.ID]int{}}
	known := `{"no":1,"items":[` + roster(1, true, target(1, "in_service", 0), target(2, "in_service", 0), target(3, "in_service", 0)) + `]}`
	if w.c, err = New(w.now, s, p, []byte(known)); err != nil {
		t.Fatal(err)
	}
	w.c.SetDiscoveryConnected(w.now, true)
	w.pump()
	return w
}

func (w *world) open() ConnID {
	w.opened++
	w.c.ClientConnected(w.now, w.opened)
	w.conns = append(w.conns, w.opened)
	w.pump()
	return w.opened
}

func (w *world) launch(conn ConnID, class string, left float64, extras string) platformproto.ID {
	w.ids++
	m := message(platformproto.Launch, platformproto.ID(w.ids), -1)
	m.Body = `"in"`
	for f, v := range map[platformproto.Field]string{platformproto.Class: class, platformproto.Tenant: "south", platformproto.Key: m.UID, platformproto.Left: fmt.Sprint(left),
		platformproto.Extras: "cores:1;memory:1;service:0000000000000009" + extras} {
		m.Set(f, v)
	}
	w.setUps[m.ID] = &heard{conn: conn, deadline: w.now + left/1000, at: extras != "", standing: extras != ""}
	if err := w.c.ReceiveFromClient(w.now, conn, &m); err != nil {
		w.t.Fatalf("launch: %v", err)
	}
	w.pump()
	return m.ID
}

func message(k platformproto.Kind, id platformproto.ID, cause int) platformproto.Message {
	return platformproto.Message{Kind: k, ID: id, UID: fmt.Sprintf("%016x", uint64(id)), Reason: max(cause, 0), HasReason: cause >= 0}
}

func (w *world) node(o *Attempt, m platformproto.Message) {
	w.c.ReceiveFromNode(w.now, o.Node, &m)
	w.pump()
}

// pump carries out the effects and holds them against the rules.
func (w *world) pump() {
	for _, e := range w.c.Ready() {
		switch e.Kind {
		case SendAttempt:
			w.sends = append(w.sends, e.Attempt)
		case SendToClient:
			h := w.setUps[e.Message.ID]
			if h == nil {
				w.t.Fatalf("told %v of a set-up that nobody sent", e.Message)
			}
			switch {
			case e.Message.Kind == platformproto.Running:
				if h.answers++; h.gone || h.at || e.Conn != h.conn || e.Message.Body != `"out"` || w.now > h.deadline+0.01 {
					w.t.Fatalf("answer %v at %v to %+v on %d", e.Message, w.now, h, e.Conn)
				}
				h.standing = true
			case h.standing:
				// A second one only where the first went out on a connection that has ended since, with no word that it was heard.
				if h.releases++; h.releases > 1 && (h.toldOn == 0 || w.c.owners[h.toldOn] != nil) {
					w.t.Fatalf("second release %v", e.Message)
				}
				h.toldOn = e.Conn
			default:
				if h.answers++; h.gone || w.now > h.deadline+0.011 {
					w.t.Fatalf("refusal %v at %v to %+v", e.Message, w.now, h)
				}
			}
			if h.answers > 1 {
				w.t.Fatalf("second answer %v", e.Message)
			}
		}
	}
}

// hear has an owner say that it heard a release.
func (w *world) hear(id platformproto.ID) {
	h := w.setUps[id]
	if h.toldOn == 0 || w.c.owners[h.toldOn] == nil {
		return
	}
	m := message(platformproto.Stopped, id, -1)
	if err := w.c.ReceiveFromClient(w.now, h.toldOn, &m); err != nil {
		w.t.Fatal(err)
	}
	h.toldOn = 0
	w.pump()
}

// start lets an offer that waits go out. Its task may have no other out.
func (w *world) start(i int) {
	o := w.sends[i]
	w.sends = append(w.sends[:i], w.sends[i+1:]...)
	if !w.c.PrepareSend(w.now, o) {
		w.pump()
		return
	}
	for _, x := range append(w.outs, w.stands...) {
		if x != o && x.t == o.t && x.Live() {
			w.t.Fatalf("two attempts of %s are out", o.Message.UID)
		}
	}
	if n := w.c.Node(o.Node); n.State != placer.Ready || w.now >= o.until {
		w.t.Fatalf("offer to a machine in state %d at %v, until %v", n.State, w.now, o.until)
	}
	w.outs = append(w.outs, o)
	w.pump()
}

func (w *world) advance(by float64) {
	to := w.now + by
	for w.c.NextTimer() <= to {
		w.now = max(w.now, w.c.NextTimer())
		w.c.Advance(w.now)
		w.pump()
	}
	w.now = to
}

// TestEveryOrder plays owners, machines and connections in any order: each set-up gets one answer in time unless its owner gave it up, no
// two attempts of a task are out at once, what stood is released once, and in the end nothing is held.
func TestEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, nil)
		w.open()
		some := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			switch some(16, "step") {
			case 0, 1, 2:
				if len(w.conns) > 0 {
					class := []string{"query", "seats"}[some(2, "class")]
					w.launch(w.conns[some(len(w.conns), "conn")], class, float64(some(4000, "left")), "")
				}
			case 3, 4, 5:
				if len(w.sends) > 0 {
					w.start(some(len(w.sends), "send"))
				}
			case 6:
				if len(w.sends) > 0 {
					i := some(len(w.sends), "send")
					w.c.ConnectFailed(w.now, w.sends[i])
					w.sends = append(w.sends[:i], w.sends[i+1:]...)
					w.pump()
				}
			case 7, 8:
				if len(w.outs) > 0 {
					o := w.outs[some(len(w.outs), "out")]
					m := message(platformproto.Running, o.Message.ID, -1)
					m.Body = `"out"`
					w.node(o, m)
					// It may be a later attempt at the same machine that this answers.
					for _, o := range w.outs {
						if o.state == bound && !slices.Contains(w.stands, o) {
							w.stands = append(w.stands, o)
						}
					}
				}
			case 9:
				if len(w.outs) > 0 {
					w.node(w.outs[some(len(w.outs), "out")],
						message(platformproto.Stop, w.outs[some(len(w.outs), "of")].Message.ID, []int{16, 31, 34, 41, 47, 102, 5}[some(7, "cause")]))
				}
			case 10:
				if len(w.outs) > 0 {
					w.c.ConnectionLost(w.now, w.outs[some(len(w.outs), "out")])
					w.pump()
				}
			case 11:
				if w.ids > 0 {
					id := platformproto.ID(1 + some(int(w.ids), "id"))
					if h := w.setUps[id]; w.c.owners[h.conn] != nil {
						h.gone = h.gone || h.answers == 0
						m := message(platformproto.Stop, id, 16)
						if err := w.c.ReceiveFromClient(w.now, h.conn, &m); err != nil {
							t.Fatal(err)
						}
						w.pump()
					}
				}
			case 12:
				switch some(4, "event") {
				case 0:
					if len(w.conns) < 5 {
						w.open()
					}
				case 1:
					if len(w.conns) > 0 {
						i := some(len(w.conns), "conn")
						for _, h := range w.setUps {
							h.gone = h.gone || h.conn == w.conns[i] && h.answers == 0
						}
						w.c.ClientDisconnected(w.now, w.conns[i])
						w.conns = append(w.conns[:i], w.conns[i+1:]...)
						w.pump()
					}
				case 2: // a whole list in the middle of the numbers, which may leave machines out
					w.no++
					var all []string
					for i := range 5 {
						if some(3, "listed") > 0 {
							all = append(all, target(1+i, []string{"in_service", "terminating"}[some(2, "state")], 0))
						}
					}
					if ok, err := w.c.ReceiveDiscoveryEvent(w.now, []byte(roster(w.no, true, all...))); !ok || err != nil {
						t.Fatal(ok, err)
					}
					w.pump()
				default:
					w.no++
					ev := roster(w.no, false, target(1+some(5, "node"), []string{"in_service", "terminating", "terminated"}[some(3, "state")],
						int64(some(3, "boot"))*int64(w.now*1000)))
					if ok, err := w.c.ReceiveDiscoveryEvent(w.now, []byte(ev)); !ok || err != nil {
						t.Fatal(ok, err)
					}
					w.pump()
				}
			case 13:
				if w.ids > 0 {
					w.hear(platformproto.ID(1 + some(int(w.ids), "id")))
				}
			case 14: // the core is told that a task stands, or that it does and is over at its machine, in either order
				if len(w.conns) > 0 {
					conn, end := w.conns[some(len(w.conns), "conn")], message(platformproto.Stop, platformproto.ID(w.ids+1), platformproto.CauseEnd)
					crossed := some(2, "crossed") == 0
					if crossed {
						w.c.ReceiveFromNode(w.now, NodeIDOf("s-00000001"), &end)
					}
					id := w.launch(conn, "seats", 4294967, ";at:s-00000001")
					if !crossed {
						w.c.ReceiveFromNode(w.now, NodeIDOf("s-00000001"), &end)
						w.pump()
					}
					if w.setUps[id].releases != 1 {
						t.Fatalf("%d releases of a task that ended", w.setUps[id].releases)
					}
				}
			default:
				w.advance(float64(some(2000, "ms")) / 1000)
			}
		}
		w.settle()
	})
}

// settle ends all that stands, waits until everything is over, and looks at what is left.
func (w *world) settle() {
	w.advance(10)
	for _, o := range append([]*Attempt(nil), w.stands...) {
		w.node(o, message(platformproto.Stop, o.Message.ID, platformproto.CauseEnd))
	}
	w.open()
	hello := message(platformproto.Check, 1<<60, 0)
	w.setUps[hello.ID] = &heard{standing: true}
	if err := w.c.ReceiveFromClient(w.now, w.opened, &hello); err != nil {
		w.t.Fatal(err)
	}
	w.pump()
	w.advance(30)
	for id, h := range w.setUps {
		if h.answers == 0 && !h.gone && !h.at && id != hello.ID {
			w.t.Fatalf("set-up %x was never answered: %+v", uint64(id), h)
		}
	}
	c := w.c
	if c.OpenRequests() != 0 || c.RunningTasks() != 0 || len(c.tasks) != 0 || len(c.byID) != 0 || len(c.places) != 0 || len(c.owed) != 0 {
		w.t.Fatalf("left: %d open, %d standing, %d tasks, %d ids, %d places, %d owed", c.OpenRequests(), c.RunningTasks(), len(c.tasks), len(c.byID),
			len(c.places), len(c.owed))
	}
}

// TestTakingOver plays a start in which tasks that stand are named, in any order with their ends at their machines, lists, and connections of
// owners that come and go: each end is told once, and nothing is left standing that has ended.
func TestTakingOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, nil)
		some := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		node := func(id int) placer.NodeID { return NodeIDOf(fmt.Sprintf("s-%08x", 1+id%3)) }
		conn := w.open()
		const tasks = 12
		named, over := map[int]bool{}, map[int]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := 1 + some(tasks, "id")
			switch some(6, "step") {
			case 0, 1:
				if named[id] && w.setUps[platformproto.ID(id)].conn != conn { // named again elsewhere
					w.setUps[platformproto.ID(id)].conn = conn
				}
				h := w.setUps[platformproto.ID(id)]
				if h == nil {
					h = &heard{conn: conn, at: true, standing: true}
					w.setUps[platformproto.ID(id)] = h
				}
				if h.releases > 0 {
					continue // its owner knows
				}
				m := w.setUpMessage(platformproto.ID(id))
				m.Set(platformproto.Extras, fmt.Sprintf("cores:1;memory:1;at:s-%08x", 1+id%3))
				m.Set(platformproto.Left, "4294967")
				if err := w.c.ReceiveFromClient(w.now, conn, &m); err != nil {
					t.Fatal(err)
				}
				named[id] = true
				w.pump()
			case 2, 3:
				over[id] = true
				m := message(platformproto.Stop, platformproto.ID(id), []int{16, 41}[some(2, "cause")])
				w.c.ReceiveFromNode(w.now, node(id), &m)
				w.pump()
			case 4:
				w.c.ClientDisconnected(w.now, conn)
				w.pump()
				conn = w.open()
				hello := message(platformproto.Check, 1<<60, 0)
				w.setUps[hello.ID] = &heard{standing: true}
				if err := w.c.ReceiveFromClient(w.now, conn, &hello); err != nil {
					t.Fatal(err)
				}
				w.pump()
			default:
				w.advance(float64(some(300, "ms")) / 1000)
			}
		}
		for id := range named {
			if h := w.setUps[platformproto.ID(id)]; over[id] && h.releases == 0 {
				t.Fatalf("task %d ended and was named, and its owner was told nothing", id)
			}
		}
		for id := 1; id <= tasks; id++ {
			m := message(platformproto.Stop, platformproto.ID(id), platformproto.CauseEnd)
			w.c.ReceiveFromNode(w.now, node(id), &m)
		}
		w.pump()
		w.settle()
		if len(w.c.ends) != 0 || len(w.c.endsBy) != 0 {
			t.Fatalf("%d ends are still remembered", len(w.c.ends))
		}
	})
}

// script is a module that offers each task to machine 1 and does nothing else of its own accord.
type script struct {
	to     placer.NodeID
	events []placer.Event
}

func (s *script) Handle(_ float64, ev placer.Event, actions []placer.Action) []placer.Action {
	s.events = append(s.events, ev)
	switch {
	case ev.Kind == placer.Arrived:
		return append(actions, placer.Action{Kind: placer.StartAttempt, Task: ev.TaskID, Node: s.to, Until: ev.Task.Deadline})
	case ev.Kind == placer.Ended && !ev.Final:
		return append(actions, placer.Action{Kind: placer.Reject, Task: ev.TaskID, After: 1.5})
	}
	return actions
}

func (s *script) last() placer.Event { return s.events[len(s.events)-1] }

func standing(t *testing.T, class string) (*world, *script, *Attempt) {
	t.Helper()
	s := &script{to: NodeIDOf("s-00000001")}
	w := newWorld(t, s)
	w.launch(w.open(), class, 2000, "")
	w.start(0)
	return w, s, w.outs[0]
}

func accept(w *world, o *Attempt) {
	m := message(platformproto.Running, o.Message.ID, -1)
	m.Body = `"out"`
	w.node(o, m)
}

func TestLateAnswers(t *testing.T) {
	for _, c := range []struct {
		name, class string
		gone        bool
		released    bool
	}{
		{"a task that may run twice is released", "query", false, true},
		{"one that must not is left to its owner's inquiry", "seats", false, false},
		{"one whose owner gave it up is released", "seats", true, true},
	} {
		w, _, o := standing(t, c.class)
		if c.gone {
			m := message(platformproto.Stop, o.Message.ID, 16)
			w.setUps[m.ID].gone = true
			if err := w.c.ReceiveFromClient(w.now, 1, &m); err != nil {
				t.Fatal(err)
			}
			w.pump()
		} else {
			w.advance(2.005)
		}
		m := message(platformproto.Running, o.Message.ID, -1)
		m.Body = `"out"`
		w.c.ReceiveFromNode(w.now, o.Node, &m)
		released := false
		for _, e := range w.c.Ready() {
			released = released || e.Kind == SendToNode && e.Message.Kind == platformproto.Stop
		}
		if released != c.released || w.c.RunningTasks() != 0 {
			t.Errorf("%s: released %v", c.name, released)
		}
	}
}

func TestReleaseFindsAnOwner(t *testing.T) {
	told := func(w *world) (conns []ConnID) {
		for _, e := range w.c.Ready() {
			if e.Kind == SendToClient && e.Message.Kind == platformproto.Stop {
				conns = append(conns, e.Conn)
			}
		}
		return conns
	}
	end := func(w *world, o *Attempt) {
		m := message(platformproto.Stop, o.Message.ID, platformproto.CauseEnd)
		w.c.ReceiveFromNode(w.now, o.Node, &m)
	}
	w, _, o := standing(t, "seats")
	accept(w, o)
	w.open()
	end(w, o)
	if got := told(w); len(got) != 1 || got[0] != 1 {
		t.Fatalf("own connection is open, told on %v", got)
	}
	w, _, o = standing(t, "seats")
	accept(w, o)
	stranger := w.open() // says nothing
	w.c.ClientDisconnected(w.now, 1)
	end(w, o)
	if got := told(w); len(got) != 0 || w.c.Counts.PendingNotifications != 1 {
		t.Fatalf("told on %v, a stranger has %d", got, stranger)
	}
	next := w.open()
	m := message(platformproto.Check, 77, 0)
	if err := w.c.ReceiveFromClient(w.now+7, next, &m); err != nil {
		t.Fatal(err)
	}
	if got := told(w); len(got) != 1 || got[0] != next {
		t.Fatalf("told on %v", got)
	}
	if err := w.c.ReceiveFromClient(w.now+7, next, &m); err != nil || len(told(w)) != 0 {
		t.Fatal("told twice")
	}
}

// TestMoveCrossesTheEnd: the owner of a moved task is told of its end too, unless the machine confirms that it ended by the move.
func TestMoveCrossesTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		cause, want int
	}{"confirmed": {platformproto.CauseCancelled, -1}, "ended by itself": {platformproto.CauseEnd, platformproto.CauseEnd}, "no word": {-1, platformproto.CauseCancelled}} {
		w, _, o := standing(t, "seats")
		accept(w, o)
		w.c.act(&placer.Action{Kind: placer.Migrate, Task: o.t.id})
		if out := w.c.Ready(); len(out) != 2 || out[0].Message.Kind != platformproto.Migrate || out[1].Kind != SendToNode {
			t.Fatalf("%s: %+v", name, out)
		}
		if c.cause >= 0 {
			m := message(platformproto.Stop, o.Message.ID, c.cause)
			w.c.ReceiveFromNode(w.now, o.Node, &m)
		}
		w.c.Advance(w.now + 1)
		got := -1
		for _, e := range w.c.Ready() {
			if e.Kind == SendToClient {
				got = e.Message.Reason
			}
		}
		if got != c.want {
			t.Errorf("%s: owner told %d, want %d", name, got, c.want)
		}
	}
}

// TestSetUpsWaitForWhatStands: what stands already is named in many lines after the first test. A set-up that is read among them is told to the
// module behind the last, unless they go on for too long; at other times it is told at once.
func TestSetUpsWaitForWhatStands(t *testing.T) {
	s := &script{to: NodeIDOf("s-00000001")}
	w := newWorld(t, s)
	conn := w.open()
	order := func() (got string) {
		for _, ev := range s.events {
			switch ev.Kind {
			case placer.Adopted:
				got += "r"
			case placer.Arrived:
				got += "A"
			}
		}
		s.events = nil
		return got
	}
	check := message(platformproto.Check, 1<<50, 0)
	w.setUps[check.ID] = &heard{standing: true}
	if err := w.c.ReceiveFromClient(w.now, conn, &check); err != nil {
		t.Fatal(err)
	}
	w.pump()
	w.launch(conn, "query", 2000, "") // read before the first
	for range 5 {
		w.launch(conn, "seats", 4294967, ";at:s-00000001")
		w.advance(namedGap / 2)
	}
	gone := w.launch(conn, "query", 2000, "") // and one that is taken back meanwhile
	w.setUps[gone].gone = true
	back := message(platformproto.Stop, gone, 16)
	if err := w.c.ReceiveFromClient(w.now, conn, &back); err != nil {
		t.Fatal(err)
	}
	w.launch(conn, "query", 2000, "")
	w.advance(namedGap)
	if got := order(); got != "rrrrrAA" {
		t.Errorf("the module was told %s", got)
	}
	w.launch(conn, "query", 2000, "")
	if got := order(); got != "A" {
		t.Errorf("the module was told %q of a set-up alone", got)
	}
	w.launch(conn, "query", 3000, "")
	order()
	for i := range int(2 * handover / namedGap) {
		w.launch(conn, "seats", 4294967, ";at:s-00000001")
		if i == 0 {
			w.launch(conn, "query", 100, "") // is answered in its time all the same
		}
		w.launch(conn, "query", 3000, "")
		w.advance(namedGap / 2)
	}
	if got := order(); !strings.HasSuffix(got, "rArA") || strings.Index(got, "A") > 6 {
		t.Errorf("long after the first test the module was told %s", got)
	}
}

// TestReleaseThatCrossesTheEndOfItsConnection: a release, or a move, sent on a connection that its owner closes at that moment was told to
// nobody. One that was heard, or that went out long ago to an owner that does not say what it hears, is not sent again.
func TestReleaseThatCrossesTheEndOfItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
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
		w, _, o := standing(t, "seats")
		accept(w, o)
		say := func(conn ConnID, m platformproto.Message) {
			if err := w.c.ReceiveFromClient(w.now, conn, &m); err != nil {
				t.Fatal(err)
			}
		}
		if c.says {
			say(1, message(platformproto.Stopped, 99, -1))
		}
		if c.move {
			w.c.act(&placer.Action{Kind: placer.Migrate, Task: o.t.id})
			m := message(platformproto.Stop, o.Message.ID, platformproto.CauseCancelled)
			w.c.ReceiveFromNode(w.now, o.Node, &m)
		} else {
			m := message(platformproto.Stop, o.Message.ID, platformproto.CauseEnd)
			w.c.ReceiveFromNode(w.now, o.Node, &m)
		}
		if c.heard {
			say(1, message(platformproto.Stopped, o.Message.ID, -1))
		}
		w.c.Ready()
		w.c.Advance(w.now + c.after)
		w.now += c.after
		other := ConnID(0)
		if c.other {
			other = w.open()
			say(other, message(platformproto.Check, 77, 0))
			w.c.Ready()
		}
		w.c.ClientDisconnected(w.now, 1)
		if !c.other {
			other = w.open()
			say(other, message(platformproto.Check, 77, 0))
		}
		got := 0
		for _, e := range w.c.Ready() {
			if e.Kind == SendToClient && e.Message.Kind == platformproto.Stop && e.Message.ID == o.Message.ID && e.Conn == other {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: told %d times, want %d", name, got, c.want)
		}
	}
}

// TestSilentMachine: what stood at a machine that says nothing is over for its owner at once, and for the module once the machine has said so, or
// nothing can be owed any more.
func TestSilentMachine(t *testing.T) {
	for name, c := range map[string]struct {
		cause int
		as    placer.Result
	}{"says that it ended it": {platformproto.CauseCancelled, placer.Cancelled}, "says that it had ended": {platformproto.CauseEnd, placer.Finished},
		"never says anything": {-1, placer.Cancelled}} {
		w, s, o := standing(t, "seats")
		accept(w, o)
		h := w.setUps[o.Message.ID]
		events := len(s.events)
		if n := w.c.NodeUnresponsive(w.now, o.Node); n != 1 {
			t.Fatalf("%s: %d tasks", name, n)
		}
		cut := false
		out := w.c.Ready()
		for _, e := range out {
			cut = cut || e.Kind == SendToNode && e.Message.Kind == platformproto.Stop
		}
		w.c.out = out
		w.pump()
		if h.releases != 1 || !cut || len(s.events) != events || w.c.RunningTasks() != 1 {
			t.Errorf("%s: %+v, machine told %v, %d events, %d standing", name, h, cut, len(s.events)-events, w.c.RunningTasks())
		}
		if n := w.c.NodeUnresponsive(w.now, o.Node); n != 0 {
			t.Errorf("%s: %d tasks at the second time", name, n)
		}
		if c.cause >= 0 {
			w.node(o, message(platformproto.Stop, o.Message.ID, c.cause))
		} else {
			w.advance(owedFor + 0.01)
		}
		if h.releases != 1 || s.last().Kind != placer.Ended || s.last().Result != c.as || w.c.RunningTasks() != 0 {
			t.Errorf("%s: %+v, last event %+v", name, h, s.last())
		}
	}
}

// TestEndBeforeTheAnswer: a machine that sends a task away, evicts it or pushes it out had accepted it, though its answer is late: the task has
// stood and is over. Its owner is told at once, no other attempt is made, and the late answer changes nothing. What broke on its way, or is
// handed back as full, is tried elsewhere.
func TestEndBeforeTheAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		cause int
		note  string
		over  bool
	}{"sent away": {platformproto.CauseReset, "drained", true}, "evicted": {platformproto.CauseReset, "oom", true}, "pushed out": {platformproto.CauseReset, "preempted", true},
		"broke on its way": {platformproto.CauseReset, "", false}, "full": {platformproto.CauseFull, "drained", false}} {
		w, s, o := standing(t, "query")
		h := w.setUps[o.Message.ID]
		m := message(platformproto.Stop, o.Message.ID, c.cause)
		m.Set(platformproto.Note, c.note)
		w.c.ReceiveFromNode(w.now, o.Node, &m)
		var told []int
		out := w.c.Ready()
		for _, e := range out {
			if e.Kind == SendToClient {
				told = append(told, e.Message.Reason)
			}
		}
		w.c.out = out
		w.pump()
		bound := false
		for _, ev := range s.events {
			bound = bound || ev.Kind == placer.Bound
		}
		if c.over != (len(told) == 1 && told[0] == platformproto.CauseReset) || bound != c.over || s.last().Final != c.over || h.answers != 1 {
			t.Errorf("%s: owner told %v, module told that it stood %v, last event %+v", name, told, bound, s.last())
		}
		accept(w, o)
		if w.c.RunningTasks() != 0 || h.answers != 1 {
			t.Errorf("%s: stands after a late answer", name)
		}
	}
}

func TestTasksHeldAlready(t *testing.T) {
	w := newWorld(t, nil)
	conn := w.open()
	id := w.launch(conn, "seats", 4294967, ";at:s-00000002")
	if w.c.RunningTasks() != 1 || w.c.OpenRequests() != 0 {
		t.Fatal("not taken over")
	}
	again := w.setUps[id]
	w.ids--
	w.launch(conn, "seats", 4294967, ";at:s-00000002") // named twice
	w.setUps[id] = again
	if w.c.RunningTasks() != 1 {
		t.Fatal("taken over twice")
	}
	w.c.ReceiveFromNode(w.now, NodeIDOf("s-00000002"), &platformproto.Message{Kind: platformproto.Stop, ID: id, Reason: 16, HasReason: true})
	w.pump()
	if again.releases != 1 || w.c.RunningTasks() != 0 {
		t.Fatalf("%+v", again)
	}
}

func TestMachinesThatGoOrBeginAnew(t *testing.T) {
	for name, ev := range map[string]string{
		"terminated":  roster(2, false, target(1, "terminated", 0)),
		"left out":    roster(2, true, target(2, "in_service", 0)),
		"a new start": roster(2, false, target(1, "in_service", 2000_000)),
	} {
		w, s, o := standing(t, "query")
		accept(w, o)
		h := w.setUps[o.Message.ID]
		w.now += 3
		if _, err := w.c.ReceiveDiscoveryEvent(w.now, []byte(ev)); err != nil {
			t.Fatal(err)
		}
		w.pump()
		w.advance(TerminationGrace + 0.01)
		if h.releases != 1 || s.last().Result != placer.Lost {
			t.Errorf("%s: %+v, last event %+v", name, h, s.last())
		}
	}
}

func TestBulletin(t *testing.T) {
	w := newWorld(t, nil)
	for _, c := range []struct {
		ev      string
		ok, bad bool
		last    uint64
	}{
		{roster(2, false, target(4, "in_service", 0)), true, false, 2},
		{roster(2, false, target(4, "terminated", 0)), true, false, 2},  // had already
		{roster(4, false, target(4, "terminated", 0)), false, false, 2}, // a gap
		{roster(3, false, target(4, "terminating", 0))[:40], false, true, 2},
		{roster(3, false, target(4, "sleeping", 0)), false, true, 2},
		{`{"no":3,"other":{}}`, true, false, 3},
		{roster(4, false, target(4, "terminating", 0)), true, false, 4},
	} {
		if ok, err := w.c.ReceiveDiscoveryEvent(w.now, []byte(c.ev)); ok != c.ok || (err != nil) != c.bad || w.c.LastDiscoveryEvent() != c.last {
			t.Errorf("%s: ok %v, %v, last %d", c.ev, ok, err, w.c.LastDiscoveryEvent())
		}
	}
	if n := w.c.Node(NodeIDOf("s-00000004")); n.State != placer.Draining {
		t.Errorf("state %d", n.State)
	}
}

func TestSetUpsThatMakeNoSense(t *testing.T) {
	w := newWorld(t, nil)
	conn := w.open()
	id := w.launch(conn, "query", 1000, "")
	for name, change := range map[string]func(*platformproto.Message){
		"class":        func(m *platformproto.Message) { m.Set(platformproto.Class, "gold") },
		"tenant":       func(m *platformproto.Message) { m.Set(platformproto.Tenant, "north") },
		"key":          func(m *platformproto.Message) { m.Set(platformproto.Key, "x") },
		"body":         func(m *platformproto.Message) { m.Body = "" },
		"left":         func(m *platformproto.Message) { m.Set(platformproto.Left, "-1") },
		"left long":    func(m *platformproto.Message) { m.Set(platformproto.Left, "8001") },
		"left huge":    func(m *platformproto.Message) { m.Set(platformproto.Left, "1e300") },
		"left NaN":     func(m *platformproto.Message) { m.Set(platformproto.Left, "NaN") },
		"cores":        func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:-1;memory:1") },
		"cores Inf":    func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:Inf;memory:1") },
		"no memory":    func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1") },
		"service":      func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1;service:zz") },
		"at":           func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1;at:s-77777777") },
		"an id in use": func(m *platformproto.Message) { m.ID, m.UID = id, fmt.Sprintf("%016x", uint64(id)) },
	} {
		m := w.setUpMessage(99)
		change(&m)
		other := w.open()
		err := w.c.ReceiveFromClient(w.now, other, &m)
		out := w.c.Ready()
		if err == nil || len(out) != 1 || out[0].Kind != SendToClient || out[0].Conn != other || out[0].Message.Reason != platformproto.CauseError {
			t.Errorf("%s: %v, %+v", name, err, out)
		}
	}
	if w.c.OpenRequests() != 1 {
		t.Errorf("%d open", w.c.OpenRequests())
	}
}

func (w *world) setUpMessage(id platformproto.ID) platformproto.Message {
	m := message(platformproto.Launch, id, -1)
	m.Body = `"in"`
	for f, v := range map[platformproto.Field]string{platformproto.Class: "query", platformproto.Tenant: "south", platformproto.Key: m.UID, platformproto.Left: "1000",
		platformproto.Extras: "cores:1;memory:1"} {
		m.Set(f, v)
	}
	return m
}

// TestChurn: thousands of machines, connections and tasks come and go, and all tables are back at their size.
func TestChurn(t *testing.T) {
	w := newWorld(t, nil)
	for i := range 3000 {
		conn := w.open()
		w.launch(conn, "query", 500, "")
		for len(w.sends) > 0 {
			w.start(0)
		}
		for _, o := range w.outs {
			accept(w, o)
			if i%2 == 0 {
				w.node(o, message(platformproto.Stop, o.Message.ID, platformproto.CauseEnd))
			}
		}
		w.outs, w.stands = nil, w.outs // of earlier ones the machine is gone
		w.no++
		if _, err := w.c.ReceiveDiscoveryEvent(w.now, []byte(roster(w.no, false, target(i+4, "in_service", 0), target(i+1, "terminated", 0)))); err != nil {
			t.Fatal(err)
		}
		w.advance(0.2)
		w.c.ClientDisconnected(w.now, conn)
		w.pump()
	}
	w.conns = nil
	w.settle()
	w.advance(forgetAfter)
	if n := len(w.c.nodes); n > 4 {
		t.Errorf("%d machines are still known", n)
	}
	if n := w.c.timers.Len(); n > 20 {
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
		w := newWorld(t, nil)
		conn := w.open()
		for line := range strings.SplitSeq(text, "\n") {
			var m platformproto.Message
			if platformproto.Parse([]byte(line), &m) != nil {
				continue
			}
			w.c.ReceiveFromClient(w.now, conn, &m)
			for _, e := range w.c.Ready() {
				if e.Kind == SendAttempt {
					w.c.PrepareSend(w.now, e.Attempt)
				}
			}
			for i := 1; i <= 3; i++ {
				w.c.ReceiveFromNode(w.now, NodeIDOf(fmt.Sprintf("s-%08x", i)), &m)
			}
			w.c.Ready()
			w.now += 0.1
		}
		w.c.ClientDisconnected(w.now, conn)
		for i := 1; i <= 3; i++ {
			w.c.NodeDead(w.now, NodeIDOf(fmt.Sprintf("s-%08x", i)))
		}
		for end := w.now + 20; w.c.NextTimer() < end; {
			w.now = max(w.now, w.c.NextTimer())
			w.c.Advance(w.now)
			w.c.Ready()
		}
		if c := w.c; c.OpenRequests() != 0 || c.RunningTasks() != 0 || len(c.tasks) != 0 || len(c.byID) != 0 || len(c.places) != 0 {
			t.Fatalf("left: %d open, %d standing, %d tasks, %d ids, %d places", c.OpenRequests(), c.RunningTasks(), len(c.tasks), len(c.byID), len(c.places))
		}
	})
}

// TestTooManyTasks: what is held is bounded, and the bound lets go with what was held.
func TestTooManyTasks(t *testing.T) {
	w := newWorld(t, &script{})
	conn := w.open()
	for range maxTasks {
		w.launch(conn, "query", 1000, ";at:s-00000001")
	}
	refused := func() bool {
		m := w.setUpMessage(platformproto.ID(1e6))
		if err := w.c.ReceiveFromClient(w.now, conn, &m); err != nil {
			t.Fatal(err)
		}
		out := w.c.Ready()
		return len(out) == 1 && out[0].Kind == SendToClient && out[0].Message.Reason == platformproto.CauseBusy
	}
	if !refused() {
		t.Fatal("one too many was taken")
	}
	w.c.NodeDead(w.now, NodeIDOf("s-00000001"))
	w.pump()
	if refused() {
		t.Fatal("refused after all have gone")
	}
}

// TestWaitsBelowTheClocksGrain: a wait too short for a clock of this size must not bring the same moment back for ever.
func TestWaitsBelowTheClocksGrain(t *testing.T) {
	const now = 1.8e9 // Unix seconds: the grain is 2.4e-7
	for _, after := range []float64{0, 1e-9} {
		wakes := 0
		c := &Core{s: &simconfig.Settings{}, now: now}
		c.module = eventqueue.Queue{Execute: c.act, Placer: decide(func(ev placer.Event) []placer.Action {
			if wakes++; wakes > 1000 {
				t.Fatalf("woken %d times in one moment, waits of %g s", wakes, after)
			}
			return []placer.Action{{Kind: placer.SetTimer, After: after}}
		})}
		c.post(placer.Event{Kind: placer.TimerFired})
		c.run()
		c.Advance(now)
	}
}

type decide func(placer.Event) []placer.Action

func (d decide) Handle(_ float64, ev placer.Event, actions []placer.Action) []placer.Action {
	return append(actions, d(ev)...)
}
