package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestRandomEventOrders plays clients, nodes and connections in any order: each request gets one answer in time unless its client withdrew it,
// no two attempts of a request are live at once, the end of a running task is notified once, and in the end nothing is left.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &randomPlay{newHarness(t, nil), t}
		p.connect()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			p.step()
			p.requireInvariants()
		}
		p.settle()
	})
}

// randomPlay makes calls of a core in random order.
type randomPlay struct {
	*harness
	t *rapid.T
}

// draw returns a number below n.
func (p *randomPlay) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(p.t, what) }

func (p *randomPlay) step() {
	switch p.draw(16, "step") {
	case 0, 1, 2:
		p.launchAny()
	case 3, 4, 5:
		if len(p.pending) > 0 {
			p.send(p.draw(len(p.pending), "send"))
		}
	case 6:
		p.failToConnect()
	case 7, 8:
		p.acceptAny()
	case 9:
		p.stopAny()
	case 10:
		if len(p.sent) > 0 {
			p.core.ConnectionLost(p.now, p.sent[p.draw(len(p.sent), "out")])
			p.carryOutEffects()
		}
	case 11:
		p.withdrawAny()
	case 12:
		p.connectionOrDiscoveryEvent()
	case 13:
		if p.lastID > 0 {
			p.acknowledge(protocol.ID(1 + p.draw(int(p.lastID), "id")))
		}
	case 14:
		p.adoptTerminated()
	default:
		p.advance(placer.Seconds(p.draw(2000, "ms")) / 1000)
	}
}

func (p *randomPlay) launchAny() {
	if len(p.conns) > 0 {
		class := []string{"query", "seats"}[p.draw(2, "class")]
		p.launch(p.conns[p.draw(len(p.conns), "conn")], class, float64(p.draw(4000, "left")), "")
	}
}

func (p *randomPlay) failToConnect() {
	if len(p.pending) > 0 {
		i := p.draw(len(p.pending), "send")
		p.core.ConnectFailed(p.now, p.pending[i])
		p.pending = append(p.pending[:i], p.pending[i+1:]...)
		p.carryOutEffects()
	}
}

func (p *randomPlay) acceptAny() {
	if len(p.sent) == 0 {
		return
	}
	accept(p.harness, p.sent[p.draw(len(p.sent), "out")])
	// This may answer a later attempt at the same node.
	for _, attempt := range p.sent {
		if attempt.state == attemptRunning && !slices.Contains(p.running, attempt) {
			p.running = append(p.running, attempt)
		}
	}
}

// stopAny has a node stop any task, which may run elsewhere, with any cause.
func (p *randomPlay) stopAny() {
	if len(p.sent) > 0 {
		attempt := p.sent[p.draw(len(p.sent), "out")]
		id := p.sent[p.draw(len(p.sent), "of")].Message.ID
		cause := []int{16, 31, 34, 41, 47, 102, 5}[p.draw(7, "cause")]
		p.receiveFromNode(attempt, newMessage(protocol.Stop, id, cause))
	}
}

func (p *randomPlay) withdrawAny() {
	if p.lastID == 0 {
		return
	}
	id := protocol.ID(1 + p.draw(int(p.lastID), "id"))
	record := p.records[id]
	if p.core.clients.get(record.conn) == nil {
		return
	}
	record.withdrawn = record.withdrawn || record.answers == 0
	msg := newMessage(protocol.Stop, id, protocol.CauseEnd)
	if err := p.core.ReceiveFromClient(p.now, record.conn, &msg); err != nil {
		p.t.Fatal(err)
	}
	p.carryOutEffects()
}

func (p *randomPlay) connectionOrDiscoveryEvent() {
	switch p.draw(4, "event") {
	case 0:
		if len(p.conns) < 5 {
			p.connect()
		}
	case 1:
		p.disconnectAny()
	case 2: // a complete list, which may leave nodes out
		var nodes []string
		for i := range 5 {
			if p.draw(3, "listed") > 0 {
				nodes = append(nodes, nodeJSON(1+i, []string{"in_service", "terminating"}[p.draw(2, "state")], 0))
			}
		}
		p.deliver(true, nodes...)
		p.carryOutEffects()
	default:
		node := 1 + p.draw(5, "node")
		state := []string{"in_service", "terminating", "terminated"}[p.draw(3, "state")]
		startedAtMS := int64(p.draw(3, "boot")) * int64(p.now*1000)
		p.deliver(false, nodeJSON(node, state, startedAtMS))
		p.carryOutEffects()
	}
}

func (p *randomPlay) disconnectAny() {
	if len(p.conns) == 0 {
		return
	}
	i := p.draw(len(p.conns), "conn")
	for _, record := range p.records {
		record.withdrawn = record.withdrawn || record.conn == p.conns[i] && record.answers == 0
	}
	p.core.ClientDisconnected(p.now, p.conns[i])
	p.conns = append(p.conns[:i], p.conns[i+1:]...)
	p.carryOutEffects()
}

// adoptTerminated lists a task for adoption and has it end at its node, in either order.
func (p *randomPlay) adoptTerminated() {
	if len(p.conns) == 0 {
		return
	}
	node := NodeIDOf("s-00000001")
	conn := p.conns[p.draw(len(p.conns), "conn")]
	end := newMessage(protocol.Stop, protocol.ID(p.lastID+1), protocol.CauseEnd)
	crossed := p.draw(2, "crossed") == 0
	if crossed {
		p.core.ReceiveFromNode(p.now, node, &end)
	}
	id := p.launch(conn, "seats", 4294967, ";at:s-00000001")
	if !crossed {
		p.core.ReceiveFromNode(p.now, node, &end)
		p.carryOutEffects()
	}
	if notifications := p.records[id].notifications; notifications != 1 {
		p.t.Fatalf("%d notifications of the end of a task", notifications)
	}
}

// TestAdoptionInRandomOrder plays a start in which running tasks are listed for adoption, in any order with their ends at their nodes and with
// connections of clients that come and go: each end is notified once, and no task that has ended is left running.
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
				if adopted[id] && h.records[protocol.ID(id)].conn != conn { // listed again on another connection
					h.records[protocol.ID(id)].conn = conn
				}
				record := h.records[protocol.ID(id)]
				if record == nil {
					record = &clientRecord{conn: conn, adopted: true, running: true}
					h.records[protocol.ID(id)] = record
				}
				if record.notifications > 0 {
					continue // its client knows
				}
				msg := h.launchMessage(protocol.ID(id))
				msg.Set(protocol.Extras, fmt.Sprintf("cores:1;memory:1;at:s-%08x", 1+id%3))
				msg.Set(protocol.TimeLeft, "4294967")
				if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
					t.Fatal(err)
				}
				adopted[id] = true
				h.carryOutEffects()
			case 2, 3:
				terminated[id] = true
				msg := newMessage(protocol.Stop, protocol.ID(id), []int{16, 41}[draw(2, "cause")])
				h.core.ReceiveFromNode(h.now, node(id), &msg)
				h.carryOutEffects()
			case 4:
				h.core.ClientDisconnected(h.now, conn)
				h.carryOutEffects()
				conn = h.connect()
				check := newMessage(protocol.Check, 1<<60, 0)
				h.records[check.ID] = &clientRecord{running: true}
				if err := h.core.ReceiveFromClient(h.now, conn, &check); err != nil {
					t.Fatal(err)
				}
				h.carryOutEffects()
			default:
				h.advance(placer.Seconds(draw(300, "ms")) / 1000)
			}
			h.requireInvariants()
		}
		for id := range adopted {
			if record := h.records[protocol.ID(id)]; terminated[id] && record.notifications == 0 {
				t.Fatalf("task %d ended and was adopted, and its client was not notified", id)
			}
		}
		for id := 1; id <= taskCount; id++ {
			msg := newMessage(protocol.Stop, protocol.ID(id), protocol.CauseEnd)
			h.core.ReceiveFromNode(h.now, node(id), &msg)
		}
		h.carryOutEffects()
		h.settle()
		early := h.core.nodeMessages.earlyTerminations
		if len(early.records) != 0 || len(early.order) != 0 {
			t.Fatalf("%d early terminations are left", len(early.records))
		}
	})
}

// TestChurn: thousands of nodes, connections and tasks come and go, and all tables return to their size.
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
				h.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd))
			}
		}
		h.sent, h.running = nil, h.sent // the nodes of earlier ones have terminated
		h.deliver(false, nodeJSON(i+4, "in_service", 0), nodeJSON(i+1, "terminated", 0))
		h.advance(0.2)
		h.core.ClientDisconnected(h.now, conn)
		h.carryOutEffects()
	}
	h.conns = nil
	h.settle()
	h.advance(terminatedNodeRetention)
	if n := len(h.core.nodes.nodes); n > 4 {
		t.Errorf("%d nodes are left", n)
	}
	if n := h.core.timers.Len(); n > 20 {
		t.Errorf("%d timers", n)
	}
}

// FuzzMessages: whatever lines clients and nodes send, nothing panics, and all tables are empty after all retention times.
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
			var msg protocol.Message
			if protocol.Parse([]byte(line), &msg) != nil {
				continue
			}
			_ = h.core.ReceiveFromClient(h.now, conn, &msg) // most lines are invalid
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
		h.requireEmpty()
	})
}
