//go:build linux

package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestTaskEndRedeliveredAfterCorruptMessage: a node reports the end of a task once more on the next connection that opens, so a connection that ended
// with a corrupt message has to be followed by another while tasks run.
func TestTaskEndRedeliveredAfterCorruptMessage(t *testing.T) {
	var mu sync.Mutex
	runningUID := "" // guarded by mu
	conns := make(chan net.Conn, 1)
	listener := listenOn(t, "127.0.0.1:0")
	go acceptConns(listener, func(conn net.Conn) {
		mu.Lock()
		uid := runningUID
		mu.Unlock()
		if uid != "" {
			if err := respond(conn, `{"kind":"stop","uid":%q,"reason":16}`+"\n", uid); err != nil {
				return
			}
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !isLaunch(line) {
			return
		}
		mu.Lock()
		runningUID = taskUID(line)
		mu.Unlock()
		if err := acceptTask(conn, line); err == nil {
			conns <- conn
		}
	})
	server := startServer(t, 256, listener.Addr().String())
	client := server.connect()
	client.runTask(1, "seats")
	sendTo(t, waitFor(t, "task", conns), "{corrupt\n")
	client.expect(`"stop"`, `"reason":16`)
}

// startWithUnresponsiveTimeout returns a node that leaves health checks unanswered, a server that declares it unresponsive after the given time,
// and a client whose task 1 runs there.
func startWithUnresponsiveTimeout(t *testing.T, after time.Duration) (*testNode, *testServer, *testClient) {
	t.Helper()
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	server.runOnLoop(func() { server.nodes.reachability.UnresponsiveAfter = after })
	client := server.connect()
	client.runTask(1, "seats")
	return node, server, client
}

// TestUnreachableNodes: the tasks of a node that can no longer be reached are reported as lost, whether connections to it are refused or time out.
func TestUnreachableNodes(t *testing.T) {
	for _, mode := range []string{"refuses", "silent"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			node, server, client := startWithUnresponsiveTimeout(t, 2*time.Second)
			closeNow(t, node.listener)
			running := 0 // the tasks of a node that refuses connections have ended with it
			if mode == "silent" {
				unresponsivePort(t, node.port())
				running = 1 // others may run on, until the node reports that they ended
			}
			client.expect(`"stop"`, `"reason":41`)
			server.runOnLoop(func() {
				if server.stats.NodesUnreachable != 1 || server.core.RunningTasks() != running || server.core.Counts.TasksLost != 1 {
					t.Errorf("%+v, %+v", server.stats, server.core.Counts)
				}
			})
		})
	}
}

// TestUnresponsiveNodeReturns: a node that was declared unresponsive comes back with its task, whose client was notified that it is over. It is told to
// end the task, and until it reports so the task counts as running there.
func TestUnresponsiveNodeReturns(t *testing.T) {
	t.Parallel()
	node, server, client := startWithUnresponsiveTimeout(t, 500*time.Millisecond)
	waitFor(t, "launch", node.received)
	closeNow(t, node.listener)
	_, stopListening := listenUnresponsive(t, node.port())
	client.expect(`"stop"`, `"reason":41`)
	server.runOnLoop(func() {
		if running := server.core.RunningTasks(); running != 1 {
			t.Errorf("%d tasks run", running)
		}
	})
	stopListening()
	listener := listenOn(t, node.addr) // back
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(line, `"stop"`) || taskUID(line) != "0000000000000001" {
		t.Fatalf("%q, %v", line, err)
	}
	sendTo(t, conn, stopMessage(1, 31))
	server.waitUntil("end of the task", func() bool { return server.core.RunningTasks() == 0 })
	client.send(checkMessage)
	client.expectNext(`"checked"`) // nothing else was reported
}

// TestUnresponsiveConnectionIsAvoided: after an attempt that was not answered in time, a connection gets a health check and no attempt until that is
// answered. The node itself is well, and a new connection to it serves.
func TestUnresponsiveConnectionIsAvoided(t *testing.T) {
	var mu sync.Mutex
	var unresponsive net.Conn
	node := startNode(t, func(conn net.Conn, line string) error {
		mu.Lock()
		defer mu.Unlock()
		if unresponsive == nil {
			unresponsive = conn
		}
		if conn == unresponsive {
			return nil
		}
		return acceptTask(conn, line)
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	for i := range 4 {
		client.launch(i+1, "query")
		if strings.Contains(client.expect(fmt.Sprintf("%016x", i+1)), `"running"`) {
			return
		}
	}
	t.Error("all attempts went out on a dead connection")
}

// TestNodeConnectionLimit: connections to nodes stay within their part of the descriptors, and an attempt that finds no connection slot counts
// as unreachable instead of taking the slot of another.
func TestNodeConnectionLimit(t *testing.T) {
	var addrs []string
	for range 30 {
		addrs = append(addrs, startNode(t, acceptTask).addr)
	}
	server := startServer(t, 64, addrs...)
	client := server.connect()
	for i := range 200 {
		client.launch(i+1, "query")
		client.expect(fmt.Sprintf("%016x", i+1))
	}
	server.runOnLoop(func() {
		if server.nodes.openConns > server.nodes.maxConns || server.stats.NodesUnreachable > 0 {
			t.Errorf("%d connections to nodes, %d allowed; %d nodes unreachable", server.nodes.openConns, server.nodes.maxConns,
				server.stats.NodesUnreachable)
		}
	})
}

// TestNodesShareConnectionSlots: more nodes run tasks than there are connection slots. They take turns, and between two turns of one no other has more
// than two: so each can report how its tasks end before that is overdue.
func TestNodesShareConnectionSlots(t *testing.T) {
	const nodeCount, turns = 40, 4
	accepted := make(chan int, 10000) // numbers of nodes, as they are connected to
	var addrs []string
	for i := range nodeCount {
		listener := listenOn(t, "127.0.0.1:0")
		addrs = append(addrs, listener.Addr().String())
		go acceptConns(listener, func(conn net.Conn) {
			accepted <- i
			readLinesOf(conn, func(line string) error {
				if !strings.Contains(line, `"check"`) {
					return nil
				}
				return respond(conn, `{"kind":"checked","uid":%q,"reason":1}`+"\n", taskUID(line))
			})
		})
	}
	server := startServer(t, 64, addrs...)
	client := server.connect()
	server.runOnLoop(func() { server.nodes.slotHoldTime = 100 * time.Millisecond })
	for i := range nodeCount {
		client.send(adoptMessage(i+1, i+1))
	}
	turnsOf := make([]int, nodeCount)
	turnsSince := make([][]int, nodeCount) // turnsSince[other][node] is how many turns a node had since the last one of the other
	for i := range turnsSince {
		turnsSince[i] = make([]int, nodeCount)
	}
	for done := 0; done < nodeCount; {
		node := waitFor(t, "turn", accepted)
		if turnsOf[node]++; turnsOf[node] == turns {
			done++
		}
		turnsSince[node] = make([]int, nodeCount)
		for other := range turnsSince {
			if other == node {
				continue
			}
			if turnsSince[other][node]++; turnsSince[other][node] > 2 && turnsOf[other] < turns {
				t.Fatalf("node %d had %d turns since the last one of node %d", node, turnsSince[other][node], other)
			}
		}
	}
	server.runOnLoop(func() {
		slotsSuffice := server.nodes.maxConns >= nodeCount/2+5
		if server.core.RunningTasks() != nodeCount || server.nodes.openConns > server.nodes.maxConns || slotsSuffice {
			t.Errorf("%d tasks run, %d connections of %d", server.core.RunningTasks(), server.nodes.openConns, server.nodes.maxConns)
		}
	})
}

// TestLinksRemovedWithTerminatedNodes: no link is kept for a node that was terminated long ago, also if its tasks ended last.
func TestLinksRemovedWithTerminatedNodes(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	client := server.connect()
	call := waitFor(t, "call", server.discovery.calls)
	for i := range 2 {
		client.runTask(i+1, "query")
		call.text <- sseEvent(2+i, nodeEntry(1+i, node.addr, "terminated"), nodeEntry(2+i, node.addr, "in_service"))
		client.expect(`"stop"`, `"reason":41`) // a second later
	}
	server.waitUntil("end of the links", func() bool { return len(server.nodes.byID) == 0 })
}

// TestDialTimeout: a dial that is never answered keeps neither its descriptor nor its queue, and its requests are answered.
func TestDialTimeout(t *testing.T) {
	server := startServer(t, 256, unresponsivePort(t, 0))
	client := server.connect()
	for i := range 20 {
		client.launch(i+1, "query")
	}
	for range 20 {
		client.expect(`"stop"`, `"reason":34`)
	}
	server.waitUntil("end of the dials", func() bool {
		for _, link := range server.nodes.byID {
			if len(link.queuedAttempts) > 0 || link.dialing != nil {
				return false
			}
		}
		return server.nodes.openConns == 0
	})
}

// TestFullListOmitsNode: a full list omits a node that has an attempt in flight, and a running task or none, and the next list has it again: nothing
// is given up for that. If no list has it again, everything there ends, though the node answered after the list.
func TestFullListOmitsNode(t *testing.T) {
	for _, test := range []struct{ back, running bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			t.Parallel()
			launches := make(chan unansweredLaunch, 1)
			node := startNode(t, func(conn net.Conn, line string) error {
				switch taskUID(line) {
				case "0000000000000001":
					return acceptTask(conn, line)
				case "0000000000000002":
					launches <- unansweredLaunch{conn, line}
				}
				return nil
			})
			server := startServer(t, 256, node.addr)
			call := waitFor(t, "call", server.discovery.calls)
			client := server.connect()
			tasks := 1
			if test.running {
				tasks = 2
				client.launch(1, "query")
				client.expect(`"running"`, "0000000000000001")
			}
			client.launch(2, "seats")
			launch := waitFor(t, "attempt", launches)
			call.text <- sseFullList(2, nodeEntry(9, "127.0.0.1:1", "in_service"))
			server.waitForEvent(2)
			server.runOnLoop(func() {
				for _, link := range server.nodes.byID {
					link.maintain()
				}
			})
			if test.back {
				call.text <- sseFullList(3, nodeEntry(1, node.addr, "in_service"))
				server.waitForEvent(3)
			}
			launch.accept(t)
			client.expect(`"running"`, "0000000000000002")
			if test.back {
				server.runOnLoop(func() {
					if running := server.core.RunningTasks(); running != tasks {
						t.Errorf("%d tasks run, want %d", running, tasks)
					}
				})
				return
			}
			ended := map[string]bool{}
			for len(ended) < tasks {
				line := client.expect(`"stop"`, `"reason":41`)
				ended[taskUID(line)] = true
			}
		})
	}
}

// TestNewNodeAtAddressOfTerminatedNode: messages for a terminated node do not reach a new node at its address, nor count its messages as those of the
// terminated one.
func TestNewNodeAtAddressOfTerminatedNode(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	call := waitFor(t, "call", server.discovery.calls)
	client := server.connect()
	client.runTask(1, "query")
	call.text <- sseEvent(2, nodeEntry(1, node.addr, "terminated"), nodeEntry(2, node.addr, "in_service"))
	server.waitForEvent(2)
	client.launch(2, "query")
	client.expect(`"running"`, "0000000000000002")
	client.expect(`"stop"`, "0000000000000001", `"reason":41`)
	server.waitUntil("one link", func() bool { return len(server.nodes.byID) == 1 })
	server.runOnLoop(func() {
		if server.core.RunningTasks() != 1 || server.nodes.openConns != 1 {
			t.Errorf("%d tasks run, %d connections", server.core.RunningTasks(), server.nodes.openConns)
		}
	})
}
