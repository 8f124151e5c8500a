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

// TestTaskEndRedeliveredAfterCorruptMessage checks that the server opens another connection to a node with
// running tasks after a corrupt message has ended the first one. The node reports the end of a task again
// only on a new connection.
func TestTaskEndRedeliveredAfterCorruptMessage(t *testing.T) {
	var mu sync.Mutex
	runningUID := "" // The mutex mu guards runningUID.
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
	sendTo(t, waitFor(t, "the connection of the task", conns), "{corrupt\n")
	client.expect(`"stop"`, `"reason":16`)
}

// startWithUnresponsiveTimeout returns a node that does not answer health checks, a server that declares the
// node unresponsive after the given time, and a client whose task 1 runs on the node.
func startWithUnresponsiveTimeout(t *testing.T, after time.Duration) (*testNode, *testServer, *testClient) {
	t.Helper()
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	server.runOnLoop(func() { server.nodes.reachability.UnresponsiveAfter = after })
	client := server.connect()
	client.runTask(1, "seats")
	return node, server, client
}

// TestUnreachableNodes checks that the tasks of a node that cannot be reached are reported as lost, whether
// connections to the node are refused or time out.
func TestUnreachableNodes(t *testing.T) {
	for _, mode := range []string{"refuses connections", "silent"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			node, server, client := startWithUnresponsiveTimeout(t, 2*time.Second)
			closeNow(t, node.listener)
			running := 0 // The tasks have ended together with the node if it refuses connections.
			if mode == "silent" {
				unresponsivePort(t, node.port())
				running = 1 // The tasks may still run, so they count until the node reports that they have ended.
			}
			client.expect(`"stop"`, `"reason":41`)
			server.runOnLoop(func() {
				if server.stats.NodesUnreachable != 1 || server.core.RunningTasks() != running || server.core.Counts.TasksLost != 1 {
					t.Errorf("want 1 unreachable node, 1 lost task and the expected running tasks, got %+v and %+v", server.stats, server.core.Counts)
				}
			})
		})
	}
}

// TestUnresponsiveNodeReturns checks what happens when a node that was declared unresponsive returns with its
// task, after the client was notified that the task is lost. The node must be told to stop the task, which
// counts as running until the node reports its end.
func TestUnresponsiveNodeReturns(t *testing.T) {
	t.Parallel()
	node, server, client := startWithUnresponsiveTimeout(t, 500*time.Millisecond)
	waitFor(t, "the launch", node.received)
	closeNow(t, node.listener)
	_, stopListening := listenUnresponsive(t, node.port())
	client.expect(`"stop"`, `"reason":41`)
	server.runOnLoop(func() {
		if running := server.core.RunningTasks(); running != 1 {
			t.Errorf("%d tasks run, want 1", running)
		}
	})
	stopListening()
	listener := listenOn(t, node.addr) // The node listens again.
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
		t.Fatalf("got line %q and error %v, want a stop of task 1", line, err)
	}
	sendTo(t, conn, stopMessage(1, 31))
	server.waitUntil("the end of the task", func() bool { return server.core.RunningTasks() == 0 })
	client.send(checkMessage)
	client.expectNext(`"checked"`) // Nothing else was reported to the client.
}

// TestUnresponsiveConnectionIsAvoided checks that a connection on which an attempt timed out gets a health
// check, and no attempt until that is answered. The node itself works, so a new connection to it must be
// used.
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
	t.Error("all attempts were sent on the unresponsive connection")
}

// TestNodeConnectionLimit checks that connections to nodes stay within their share of the file descriptors.
// If no connection slot is free for an attempt, the attempt fails without taking the slot of a busy
// connection, and its node does not count as unreachable.
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
			t.Errorf("%d connections to nodes are open, at most %d are allowed; %d nodes are unreachable", server.nodes.openConns, server.nodes.maxConns,
				server.stats.NodesUnreachable)
		}
	})
}

// TestNodesShareConnectionSlots checks that nodes use the connection slots in turn if more nodes run tasks
// than slots exist. Between two turns of one node, no other node may have more than two. Otherwise a node
// could not report the end of its tasks in time.
func TestNodesShareConnectionSlots(t *testing.T) {
	const nodeCount, turns = 40, 4
	accepted := make(chan int, 10000) // accepted receives the number of a node for each connection to it.
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
	turnsSince := make([][]int, nodeCount) // turnsSince[other][node] is the number of turns of node since the last turn of other.
	for i := range turnsSince {
		turnsSince[i] = make([]int, nodeCount)
	}
	for done := 0; done < nodeCount; {
		node := waitFor(t, "the next turn", accepted)
		if turnsOf[node]++; turnsOf[node] == turns {
			done++
		}
		turnsSince[node] = make([]int, nodeCount)
		for other := range turnsSince {
			if other == node {
				continue
			}
			if turnsSince[other][node]++; turnsSince[other][node] > 2 && turnsOf[other] < turns {
				t.Fatalf("node %d had %d turns since the last turn of node %d, want at most 2", node, turnsSince[other][node], other)
			}
		}
	}
	server.runOnLoop(func() {
		slotsSuffice := server.nodes.maxConns >= nodeCount/2+5
		if server.core.RunningTasks() != nodeCount || server.nodes.openConns > server.nodes.maxConns || slotsSuffice {
			t.Errorf("%d tasks run, and %d of %d connection slots are in use", server.core.RunningTasks(), server.nodes.openConns, server.nodes.maxConns)
		}
	})
}

// TestLinksRemovedWithTerminatedNodes checks that the link to a node is removed some time after the node has
// terminated, even if its tasks ended after that.
func TestLinksRemovedWithTerminatedNodes(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	client := server.connect()
	call := waitFor(t, "a call to the discovery server", server.discovery.calls)
	for i := range 2 {
		client.runTask(i+1, "query")
		call.text <- sseEvent(2+i, nodeEntry(1+i, node.addr, "terminated"), nodeEntry(2+i, node.addr, "in_service"))
		client.expect(`"stop"`, `"reason":41`) // The end is reported a second later.
	}
	server.waitUntil("the removal of all links", func() bool { return len(server.nodes.byID) == 0 })
}

// TestDialTimeout checks that a dial without an answer releases its file descriptor and its queue, and that
// its requests are answered.
func TestDialTimeout(t *testing.T) {
	server := startServer(t, 256, unresponsivePort(t, 0))
	client := server.connect()
	for i := range 20 {
		client.launch(i+1, "query")
	}
	for range 20 {
		client.expect(`"stop"`, `"reason":34`)
	}
	server.waitUntil("the end of all dials", func() bool {
		for _, link := range server.nodes.byID {
			if len(link.queuedAttempts) > 0 || link.dialing != nil {
				return false
			}
		}
		return server.nodes.openConns == 0
	})
}

// TestFullListOmitsNode covers a full list that omits a node with an attempt in flight, with and without a
// running task. If the next list contains the node again, no task or attempt may be lost. If no list does,
// all tasks on the node must end, even if the node answered after the list.
func TestFullListOmitsNode(t *testing.T) {
	for _, test := range []struct{ relisted, running bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
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
			call := waitFor(t, "a call to the discovery server", server.discovery.calls)
			client := server.connect()
			tasks := 1
			if test.running {
				tasks = 2
				client.launch(1, "query")
				client.expect(`"running"`, "0000000000000001")
			}
			client.launch(2, "seats")
			launch := waitFor(t, "the attempt", launches)
			call.text <- sseFullList(2, nodeEntry(9, "127.0.0.1:1", "in_service"))
			server.waitForEvent(2)
			server.runOnLoop(func() {
				for _, link := range server.nodes.byID {
					link.maintain()
				}
			})
			if test.relisted {
				call.text <- sseFullList(3, nodeEntry(1, node.addr, "in_service"))
				server.waitForEvent(3)
			}
			launch.accept(t)
			client.expect(`"running"`, "0000000000000002")
			if test.relisted {
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

// TestNewNodeAtAddressOfTerminatedNode checks that a new node at the address of a terminated node does not
// receive messages for the terminated one, and that its own messages are not attributed to the terminated
// one.
func TestNewNodeAtAddressOfTerminatedNode(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	call := waitFor(t, "a call to the discovery server", server.discovery.calls)
	client := server.connect()
	client.runTask(1, "query")
	call.text <- sseEvent(2, nodeEntry(1, node.addr, "terminated"), nodeEntry(2, node.addr, "in_service"))
	server.waitForEvent(2)
	client.launch(2, "query")
	client.expect(`"running"`, "0000000000000002")
	client.expect(`"stop"`, "0000000000000001", `"reason":41`)
	server.waitUntil("a single link", func() bool { return len(server.nodes.byID) == 1 })
	server.runOnLoop(func() {
		if server.core.RunningTasks() != 1 || server.nodes.openConns != 1 {
			t.Errorf("%d tasks run and %d connections to nodes are open, want 1 and 1", server.core.RunningTasks(), server.nodes.openConns)
		}
	})
}
