package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestRandomEventOrders plays clients, nodes and connections in any order: each request gets one answer in time unless its client withdrew it,
// no two attempts of a request are live at once, the end of a running task is notified once, and in the end nothing is left.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := &randomPlay{newHarness(t, nil), t}
		play.connect()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			play.step()
			play.requireInvariants()
		}
		play.settle()
	})
}

// randomPlay makes calls of a core in random order.
type randomPlay struct {
	*coreHarness
	t *rapid.T
}

// draw returns a number below n.
func (play *randomPlay) draw(n int, what string) int {
	return rapid.IntRange(0, n-1).Draw(play.t, what)
}

func (play *randomPlay) step() {
	switch play.draw(16, "step") {
	case 0, 1, 2:
		play.launchAny()
	case 3, 4, 5:
		if len(play.pending) > 0 {
			play.send(play.draw(len(play.pending), "send"))
		}
	case 6:
		play.failToConnect()
	case 7, 8:
		play.acceptAny()
	case 9:
		play.stopAny()
	case 10:
		if len(play.sent) > 0 {
			play.core.ConnectionLost(play.now, play.sent[play.draw(len(play.sent), "out")])
			play.carryOutEffects()
		}
	case 11:
		play.withdrawAny()
	case 12:
		play.connectionOrDiscoveryEvent()
	case 13:
		if play.lastID > 0 {
			play.acknowledge(protocol.ID(1 + play.draw(int(play.lastID), "id")))
		}
	case 14:
		play.adoptTerminated()
	default:
		play.advance(placer.Seconds(play.draw(2000, "ms")) / 1000)
	}
}

func (play *randomPlay) launchAny() {
	if len(play.conns) > 0 {
		class := []string{"query", "seats"}[play.draw(2, "class")]
		play.launch(play.conns[play.draw(len(play.conns), "conn")], class, float64(play.draw(4000, "left")), "")
	}
}

func (play *randomPlay) failToConnect() {
	if len(play.pending) > 0 {
		i := play.draw(len(play.pending), "send")
		play.core.ConnectFailed(play.now, play.pending[i])
		play.pending = slices.Delete(play.pending, i, i+1)
		play.carryOutEffects()
	}
}

func (play *randomPlay) acceptAny() {
	if len(play.sent) == 0 {
		return
	}
	play.accept(play.sent[play.draw(len(play.sent), "out")])
	// This may answer a later attempt at the same node.
	for _, attempt := range play.sent {
		if attempt.state == attemptRunning && !slices.Contains(play.running, attempt) {
			play.running = append(play.running, attempt)
		}
	}
}

// stopAny has a node stop any task, which may run elsewhere, with any cause.
func (play *randomPlay) stopAny() {
	if len(play.sent) > 0 {
		attempt := play.sent[play.draw(len(play.sent), "out")]
		id := play.sent[play.draw(len(play.sent), "of")].Message.ID
		cause := []protocol.Cause{16, 31, 34, 41, 47, 102, 5}[play.draw(7, "cause")]
		play.receiveFromNode(attempt, newMessage(protocol.Stop, id, cause))
	}
}

func (play *randomPlay) withdrawAny() {
	if play.lastID == 0 {
		return
	}
	id := protocol.ID(1 + play.draw(int(play.lastID), "id"))
	record := play.records[id]
	if play.core.clients.get(record.conn) == nil {
		return
	}
	record.withdrawn = record.withdrawn || record.answers == 0
	play.receiveFromClient(record.conn, newMessage(protocol.Stop, id, protocol.CauseEnd))
	play.carryOutEffects()
}

func (play *randomPlay) connectionOrDiscoveryEvent() {
	switch play.draw(4, "event") {
	case 0:
		if len(play.conns) < 5 {
			play.connect()
		}
	case 1:
		play.disconnectAny()
	case 2: // a complete list, which may leave nodes out
		var nodes []string
		for i := range 5 {
			if play.draw(3, "listed") > 0 {
				nodes = append(nodes, nodeJSON(1+i, []string{"in_service", "terminating"}[play.draw(2, "state")], 0))
			}
		}
		play.deliver(true, nodes...)
		play.carryOutEffects()
	default:
		node := 1 + play.draw(5, "node")
		state := []string{"in_service", "terminating", "terminated"}[play.draw(3, "state")]
		startedAtMS := int64(play.draw(3, "boot")) * int64(play.now*1000)
		play.deliver(false, nodeJSON(node, state, startedAtMS))
		play.carryOutEffects()
	}
}

func (play *randomPlay) disconnectAny() {
	if len(play.conns) == 0 {
		return
	}
	i := play.draw(len(play.conns), "conn")
	for _, record := range play.records {
		record.withdrawn = record.withdrawn || record.conn == play.conns[i] && record.answers == 0
	}
	play.core.ClientDisconnected(play.now, play.conns[i])
	play.conns = slices.Delete(play.conns, i, i+1)
	play.carryOutEffects()
}

// adoptTerminated lists a task for adoption and has it end at its node, in either order.
func (play *randomPlay) adoptTerminated() {
	if len(play.conns) == 0 {
		return
	}
	conn := play.conns[play.draw(len(play.conns), "conn")]
	next := protocol.ID(play.lastID + 1)
	crossed := play.draw(2, "crossed") == 0
	if crossed {
		play.reportEnd(nodeID(1), next, protocol.CauseEnd)
	}
	id := play.adopt(conn, 1)
	if !crossed {
		play.reportEnd(nodeID(1), next, protocol.CauseEnd)
		play.carryOutEffects()
	}
	if notifications := play.records[id].notifications; notifications != 1 {
		play.t.Fatalf("%d notifications of the end of a task", notifications)
	}
}

// TestAdoptionInRandomOrder plays a start in which running tasks are listed for adoption, in any order with their ends at their nodes and with
// connections of clients that come and go: each end is notified once, and no task that has ended is left running.
func TestAdoptionInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := &adoptionPlay{randomPlay: randomPlay{newHarness(t, nil), t}, adopted: map[int]bool{}, terminated: map[int]bool{}}
		play.conn = play.connect()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			play.step()
			play.requireInvariants()
		}
		for id := range play.adopted {
			if record := play.records[protocol.ID(id)]; play.terminated[id] && record.notifications == 0 {
				t.Fatalf("task %d ended and was adopted, and its client was not notified", id)
			}
		}
		for id := 1; id <= adoptableTasks; id++ {
			play.endTask(id, protocol.CauseEnd)
		}
		play.settle()
		early := play.core.nodeMessages.earlyTerminations
		if len(early.records) != 0 || len(early.order) != 0 {
			t.Fatalf("%d early terminations are left", len(early.records))
		}
	})
}

// adoptableTasks is the number of tasks that an adoptionPlay lists, with IDs from 1.
const adoptableTasks = 12

// adoptionPlay lists tasks for adoption and ends them, in random order.
type adoptionPlay struct {
	randomPlay
	conn                ConnID
	adopted, terminated map[int]bool
}

// nodeOf returns the number of the node that runs a task.
func (play *adoptionPlay) nodeOf(id int) int { return 1 + id%3 }

func (play *adoptionPlay) step() {
	id := 1 + play.draw(adoptableTasks, "id")
	switch play.draw(6, "step") {
	case 0, 1:
		play.list(id)
	case 2, 3:
		play.terminated[id] = true
		play.endTask(id, []protocol.Cause{protocol.CauseEnd, protocol.CauseLost}[play.draw(2, "cause")])
	case 4:
		play.core.ClientDisconnected(play.now, play.conn)
		play.carryOutEffects()
		play.conn = play.connect()
		play.checkHealth(play.conn)
	default:
		play.advance(placer.Seconds(play.draw(300, "ms")) / 1000)
	}
}

// list lists a task for adoption on the present connection, unless its client was notified of its end.
func (play *adoptionPlay) list(number int) {
	id := protocol.ID(number)
	record := play.records[id]
	if record == nil {
		record = &clientRecord{conn: play.conn, adopted: true, running: true}
		play.records[id] = record
	}
	if play.adopted[number] {
		record.conn = play.conn
	}
	if record.notifications > 0 {
		return
	}
	msg := launchMessage(id)
	msg.Set(protocol.Extras, "cores:1;memory:1"+adoptedFrom(play.nodeOf(number)))
	msg.Set(protocol.TimeLeft, fmt.Sprint(longRunning))
	play.receiveFromClient(play.conn, msg)
	play.adopted[number] = true
	play.carryOutEffects()
}

// endTask has the node of a task report that it has ended.
func (play *adoptionPlay) endTask(number int, cause protocol.Cause) {
	play.reportEnd(nodeID(play.nodeOf(number)), protocol.ID(number), cause)
	play.carryOutEffects()
}

// TestChurn: thousands of nodes, connections and tasks come and go, and all tables return to their size.
func TestChurn(t *testing.T) {
	harness := newHarness(t, nil)
	for i := range 3000 {
		conn := harness.connect()
		harness.launch(conn, "query", 500, "")
		for len(harness.pending) > 0 {
			harness.send(0)
		}
		for _, attempt := range harness.sent {
			harness.accept(attempt)
			if i%2 == 0 {
				harness.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd))
			}
		}
		harness.sent, harness.running = nil, harness.sent // the nodes of earlier ones have terminated
		harness.deliver(false, nodeJSON(i+4, "in_service", 0), nodeJSON(i+1, "terminated", 0))
		harness.advance(0.2)
		harness.core.ClientDisconnected(harness.now, conn)
		harness.carryOutEffects()
	}
	harness.conns = nil
	harness.settle()
	harness.advance(terminatedNodeRetention)
	if nodes := len(harness.core.nodes.nodes); nodes > 4 {
		t.Errorf("%d nodes are left", nodes)
	}
	if timers := harness.core.timers.Len(); timers > 20 {
		t.Errorf("%d timers", timers)
	}
}
