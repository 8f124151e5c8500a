//go:build linux

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// rawDiscovery is a bulletin whose bytes the test writes itself. Each connection that asks comes with the id that it asked from.
type rawDiscovery struct {
	net.Listener
	calls chan *rawDiscoveryCall
}

type rawDiscoveryCall struct {
	net.Conn
	lastEventID string
	closed      chan struct{} // the scheduler has ended it
}

func startRawDiscovery(t *testing.T, ln net.Listener) *rawDiscovery {
	t.Helper()
	discovery := &rawDiscovery{ln, make(chan *rawDiscoveryCall, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				call := &rawDiscoveryCall{Conn: conn, closed: make(chan struct{})}
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					if id, found := strings.CutPrefix(line, "Last-Event-ID: "); found {
						call.lastEventID = strings.TrimSpace(id)
					}
					if line == "\r\n" {
						break
					}
				}
				discovery.calls <- call
				io.Copy(io.Discard, reader)
				close(call.closed)
			}()
		}
	}()
	t.Cleanup(func() {
		for {
			select {
			case call := <-discovery.calls:
				call.Close()
			default:
				return
			}
		}
	})
	return discovery
}

func listenOn(t *testing.T, addr string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

const sseResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n"

func sseEvent(no int, targets ...string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", no, discoveryEvent(no, targets...))
}

func (server *testServer) moveDiscovery(addr string) {
	next := *server.config
	next.Discovery = addr
	server.runOnLoop(func() { server.Reload(&next) })
}

// TestWatchFallsSilent: wherever a watch falls silent, it is asked again within what the platform leaves for that, from the last event had.
func TestDiscoveryWatchIdleTimeout(t *testing.T) {
	second := sseEvent(2, nodeEntry(1, "127.0.0.1:1", "in_service"))
	for name, c := range map[string]struct {
		text string
		last string
		with func(server *testServer, f *rawDiscovery)
	}{
		"before the first byte":     {"", "1", nil},
		"in the middle of the head": {sseResponseHead[:40], "1", nil},
		"after the head":            {sseResponseHead, "1", nil},
		"after a comment":           {sseResponseHead + ": still here\n\n", "1", nil},
		"in the middle of an event": {sseResponseHead + second[:30], "1", nil},
		"in the middle of its end":  {sseResponseHead + second[:len(second)-1], "1", nil},
		"after an event":            {sseResponseHead + second, "2", nil},
		"while it shuts down": {sseResponseHead + second, "2", func(server *testServer, _ *rawDiscovery) {
			server.stopping, server.stopRequestedAt = true, server.loop.Now()
		}},
		"after a reload to the same": {sseResponseHead + second, "2", func(server *testServer, f *rawDiscovery) {
			next := *server.config
			next.Discovery = f.Addr().String()
			server.Reload(&next)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, 256)
			f := startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
			server.moveDiscovery(f.Addr().String())
			first := waitFor(t, "call", f.calls)
			io.WriteString(first, c.text)
			if c.with != nil {
				server.runOnLoop(func() { c.with(server, f) })
			}
			start := time.Now()
			again := waitFor(t, "second call", f.calls)
			if again.lastEventID != c.last {
				t.Errorf("asked from %s, want %s", again.lastEventID, c.last)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("asked again after %v", took)
			}
			waitFor(t, "end of the silent connection", first.closed)
			io.WriteString(again, sseResponseHead+sseEvent(2)+sseEvent(3, nodeEntry(2, "127.0.0.1:1", "in_service")))
			server.waitUntil("event", func() bool { return server.core.LastDiscoveryEvent() == 3 })
		})
	}
}

// TestOldWatchAfterAMove: what the connection to the old address still says after a move is not heard; the numbers go on at the new one.
func TestOldDiscoveryWatchIgnoredAfterMove(t *testing.T) {
	server := startServer(t, 256)
	a, b := startRawDiscovery(t, listenOn(t, "127.0.0.1:0")), startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
	server.moveDiscovery(a.Addr().String())
	old := waitFor(t, "call", a.calls)
	io.WriteString(old, sseResponseHead+sseEvent(2)+"id: 3\ndata: ")
	server.waitUntil("event", func() bool { return server.core.LastDiscoveryEvent() == 2 })
	next := *server.config
	next.Discovery = b.Addr().String()
	server.holdLoop(func() { io.WriteString(old, discoveryEvent(3, nodeEntry(7, "127.0.0.1:1", "in_service"))+"\n\n") }, func() { server.Reload(&next) })
	c := waitFor(t, "call", b.calls)
	if c.lastEventID != "2" {
		t.Errorf("asked from %s", c.lastEventID)
	}
	waitFor(t, "end of the old connection", old.closed)
	io.WriteString(c, sseResponseHead+sseEvent(3, nodeEntry(8, "127.0.0.1:1", "in_service")))
	server.waitUntil("event", func() bool { return server.core.LastDiscoveryEvent() == 3 })
	server.runOnLoop(func() {
		n := 0
		for range server.links {
			n++
		}
		if server.stats.WatchesOpened != 3 || n != 0 {
			t.Errorf("%d calls, %d links", server.stats.WatchesOpened, n)
		}
	})
}

// TestMoveToWhereNobodyListensYet: a reload may name an address that listens only later, and the next the first one again.
func TestDiscoveryMovesBeforeServerListens(t *testing.T) {
	server := startServer(t, 256)
	a := startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
	server.moveDiscovery(a.Addr().String())
	first := waitFor(t, "call", a.calls)
	io.WriteString(first, sseResponseHead+sseEvent(2))
	server.waitUntil("event", func() bool { return server.core.LastDiscoveryEvent() == 2 })
	later := listenOn(t, "127.0.0.77:0") // where nobody else takes the port meanwhile
	later.Close()
	server.moveDiscovery(later.Addr().String())
	opens := uint64(0)
	server.runOnLoop(func() { opens = server.stats.WatchesOpened })
	server.waitUntil("tries", func() bool { return server.stats.WatchesOpened >= opens+2 })
	b := startRawDiscovery(t, listenOn(t, later.Addr().String()))
	c := waitFor(t, "call", b.calls)
	if c.lastEventID != "2" {
		t.Errorf("asked from %s", c.lastEventID)
	}
	io.WriteString(c, sseResponseHead+sseEvent(3))
	server.waitUntil("event", func() bool { return server.core.LastDiscoveryEvent() == 3 })
	server.moveDiscovery(a.Addr().String())
	c = waitFor(t, "call at the first address", a.calls)
	if c.lastEventID != "3" {
		t.Errorf("asked from %s", c.lastEventID)
	}
}

// TestServedFromWhatIsKnown: with discovery down from the start, and later in the middle of it, set-ups are placed on the machines known.
func TestPlacementWithoutDiscovery(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	server.discovery.Close()
	server.waitUntil("failed calls", func() bool { return server.stats.WatchesOpened >= 3 })
	client := server.connect()
	io.WriteString(client, checkMessage+launchMessage(1, "seats", `"x"`))
	client.expect(`"running"`)
}

// sseFullList is a list of all machines in the middle of the numbers.
func sseFullList(no int, targets ...string) string {
	return "id: " + fmt.Sprint(no) + "\ndata: " + strings.Replace(discoveryEvent(no, targets...), `"all":false`, `"all":true`, 1) + "\n\n"
}

// TestWholeListLeavesAMachineOut: a whole list in the middle of the numbers lacks a machine that has an attempt open, and a task standing or
// none, and the next one has it again: nothing is given up for that. If none has it again, all ends, though the machine's answer came after the
// list's word.
func TestFullListOmitsNode(t *testing.T) {
	for _, c := range []struct{ back, standing bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			answer := make(chan func(), 1)
			node := startNode(t, func(c net.Conn, line string) {
				switch taskUID(line) {
				case "0000000000000001":
					acceptTask(c, line)
				case "0000000000000002":
					answer <- func() { acceptTask(c, line) }
				}
			})
			server := startServer(t, 256, node.addr)
			call := waitFor(t, "call", server.discovery.calls)
			client := server.connect()
			all := 1
			if c.standing {
				all = 2
				io.WriteString(client, launchMessage(1, "query", `"x"`))
				client.expect(`"running"`, "0000000000000001")
			}
			io.WriteString(client, launchMessage(2, "seats", `"x"`))
			answerNow := waitFor(t, "attempt", answer)
			call.text <- sseFullList(2, nodeEntry(9, "127.0.0.1:1", "in_service"))
			server.waitUntil("the list", func() bool { return server.core.LastDiscoveryEvent() == 2 })
			server.runOnLoop(func() {
				for _, link := range server.links {
					link.maintain()
				}
			})
			if c.back {
				call.text <- sseFullList(3, nodeEntry(1, node.addr, "in_service"))
				server.waitUntil("the list", func() bool { return server.core.LastDiscoveryEvent() == 3 })
			}
			answerNow()
			client.expect(`"running"`, "0000000000000002")
			if c.back {
				server.runOnLoop(func() {
					if server.core.RunningTasks() != all {
						t.Errorf("%d stand", server.core.RunningTasks())
					}
				})
				return
			}
			ended := map[string]bool{}
			for len(ended) < all {
				line := client.expect(`"stop"`, `"reason":41`)
				ended[taskUID(line)] = true
			}
		})
	}
}

// TestNewMachineAtTheAddressOfAGoneOne: what is owed to the old machine is not taken for the new one's, nor its word for the old one's.
func TestNewNodeAtAddressOfTerminatedNode(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	call := waitFor(t, "call", server.discovery.calls)
	client := server.connect()
	io.WriteString(client, launchMessage(1, "query", `"x"`))
	client.expect(`"running"`)
	call.text <- fmt.Sprintf("id: 2\ndata: %s\n\n", discoveryEvent(2, nodeEntry(1, node.addr, "terminated"), nodeEntry(2, node.addr, "in_service")))
	server.waitUntil("the list", func() bool { return server.core.LastDiscoveryEvent() == 2 })
	io.WriteString(client, launchMessage(2, "query", `"x"`))
	client.expect(`"running"`, "0000000000000002")
	client.expect(`"stop"`, "0000000000000001", `"reason":41`)
	server.waitUntil("one link", func() bool { return len(server.links) == 1 })
	server.runOnLoop(func() {
		if server.core.RunningTasks() != 1 || server.openNodeConns != 1 {
			t.Errorf("%d stand, %d connections", server.core.RunningTasks(), server.openNodeConns)
		}
	})
}

// TestSilentMachineThatReturns: a machine that was taken for lost comes back with the task that it held, whose owner was told that it is over.
// It is told to end the task, and until it has said so the task counts as running there.
func TestUnresponsiveNodeReturns(t *testing.T) {
	t.Parallel()
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) { // tests are not answered
			acceptTask(c, line)
		}
	})
	server := startServer(t, 256, node.addr)
	server.runOnLoop(func() { server.reachability.UnresponsiveAfter = 0.5 })
	client := server.connect()
	io.WriteString(client, launchMessage(1, "seats", `"x"`))
	client.expect(`"running"`)
	waitFor(t, "launch", node.received)
	_, port, _ := net.SplitHostPort(node.addr)
	p, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	node.listener.Close()
	_, stopListening := listenUnresponsive(t, p)
	client.expect(`"stop"`, `"reason":41`)
	server.runOnLoop(func() {
		if server.core.RunningTasks() != 1 {
			t.Errorf("%d stand", server.core.RunningTasks())
		}
	})
	stopListening()
	listener := listenOn(t, node.addr) // back
	defer listener.Close()
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(line, `"stop"`) || taskUID(line) != "0000000000000001" {
		t.Fatalf("%q, %v", line, err)
	}
	io.WriteString(c, stopMessage(1, 31))
	server.waitUntil("end of the task", func() bool { return server.core.RunningTasks() == 0 })
	io.WriteString(client, checkMessage)
	if line := client.readLine(); !strings.Contains(line, `"checked"`) {
		t.Errorf("the owner was told more: %s", line)
	}
}

// TestMachinesTakeTurns: more machines hold tasks than there are seats for connections to them. They take turns, and between two turns of one no
// other has more than two: so each can say how its tasks end before that is overdue.
func TestNodesShareConnectionSlots(t *testing.T) {
	const nodeCount, turns = 40, 4
	order := make(chan int, 10000)
	var addrs []string
	for i := range nodeCount {
		listener := listenOn(t, "127.0.0.1:0")
		t.Cleanup(func() { listener.Close() })
		addrs = append(addrs, listener.Addr().String())
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				order <- i
				go func() {
					r := bufio.NewReader(c)
					for {
						line, err := r.ReadString('\n')
						if err != nil {
							c.Close()
							return
						}
						if strings.Contains(line, `"check"`) {
							fmt.Fprintf(c, `{"kind":"checked","uid":%q,"reason":1}`+"\n", taskUID(line))
						}
					}
				}()
			}
		}()
	}
	server := startServer(t, 64, addrs...)
	client := server.connect()
	server.runOnLoop(func() { server.slotHoldTime = 0.1 })
	for i := range nodeCount {
		io.WriteString(client, strings.Replace(launchMessage(i+1, "query", `"x"`), "service:", fmt.Sprintf("at:s-%08x;service:", i+1), 1))
	}
	turnsOf := make([]int, nodeCount)
	turnsSince := make([][]int, nodeCount) // how often each of the others had a turn since the last one of this
	for i := range turnsSince {
		turnsSince[i] = make([]int, nodeCount)
	}
	for done := 0; done < nodeCount; {
		i := waitFor(t, "turn", order)
		if turnsOf[i]++; turnsOf[i] == turns {
			done++
		}
		turnsSince[i] = make([]int, nodeCount)
		for j := range turnsSince {
			if j == i {
				continue
			}
			if turnsSince[j][i]++; turnsSince[j][i] > 2 && turnsOf[j] < turns {
				t.Fatalf("machine %d had %d turns since the last one of machine %d", i, turnsSince[j][i], j)
			}
		}
	}
	server.runOnLoop(func() {
		if server.core.RunningTasks() != nodeCount || server.openNodeConns > server.maxNodeConns || server.maxNodeConns >= nodeCount/2+5 {
			t.Errorf("%d stand, %d connections of %d", server.core.RunningTasks(), server.openNodeConns, server.maxNodeConns)
		}
	})
}

// TestDialThatNeverComesUp: neither its descriptor nor its queue stays, and its set-ups are answered.
func TestDialTimeout(t *testing.T) {
	server := startServer(t, 256, unresponsivePort(t, 0))
	client := server.connect()
	for i := range 20 {
		io.WriteString(client, launchMessage(i+1, "query", `"x"`))
	}
	for range 20 {
		client.expect(`"stop"`, `"reason":34`)
	}
	server.waitUntil("end of the dials", func() bool {
		for _, link := range server.links {
			if len(link.queued) > 0 || link.dialing != nil {
				return false
			}
		}
		return server.openNodeConns == 0
	})
}

// TestEndOvertakesTheAnswer: a machine's word that it sent a task away comes before its word that it accepted it. The task is over for its owner,
// and no other machine gets it under that id.
func TestTaskEndPrecedesAnswer(t *testing.T) {
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":41,"meta":{"note":"drained"}}`+"\n", taskUID(line))
			acceptTask(c, line)
		}
	})
	otherNode := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr, otherNode.addr)
	client := server.connect()
	io.WriteString(client, launchMessage(1, "query", `"x"`))
	if line := client.readLine(); !strings.Contains(line, `"stop"`) || !strings.Contains(line, `"reason":41`) {
		t.Fatal(line)
	}
	server.waitUntil("late answer", func() bool { return server.core.Counts.UnknownTasks == 1 })
	io.WriteString(client, checkMessage)
	if line := client.readLine(); !strings.Contains(line, `"checked"`) {
		t.Fatal(line)
	}
}

// TestSecondAnswersChangeNothing: copies of answers, and answers under ids that nobody sent, come before, with and after the good one.
func TestDuplicateAnswersIgnored(t *testing.T) {
	node := startNode(t, func(c net.Conn, line string) {
		if !strings.Contains(line, `"launch"`) {
			return
		}
		good := fmt.Sprintf(`{"kind":"running","uid":%q,"body":"y"}`+"\n", taskUID(line))
		other := fmt.Sprintf(`{"kind":"running","uid":%q,"body":"z"}`+"\n", taskUID(line))
		over := fmt.Sprintf(`{"kind":"stop","uid":%q,"reason":16}`+"\n", taskUID(line))
		strange := `{"kind":"running","uid":"00000000000000ee","body":"y"}` + "\n" + `{"kind":"stop","uid":"00000000000000ee","reason":34}` + "\n"
		io.WriteString(c, strange+good+good+other+over+over+other+strange)
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	for i := range 5 {
		io.WriteString(client, launchMessage(i+1, "seats", `"x"`))
		id := fmt.Sprintf("%016x", i+1)
		if line := client.readLine(); !strings.Contains(line, id) || !strings.Contains(line, `"body":"y"`) {
			t.Fatal(line)
		}
		if line := client.readLine(); !strings.Contains(line, id) || !strings.Contains(line, `"reason":16`) {
			t.Fatal(line)
		}
		io.WriteString(client, checkMessage)
		if line := client.readLine(); !strings.Contains(line, `"checked"`) {
			t.Fatal(line)
		}
	}
}
