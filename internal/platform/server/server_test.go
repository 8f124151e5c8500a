//go:build linux

package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestRequestEndToEnd: a request and its stop pass from a client to a node, and answers back, with all that the protocol has them carry.
func TestRequestEndToEnd(t *testing.T) {
	node := startNode(t, func(conn net.Conn, line string) error {
		if err := acceptTask(conn, line); err != nil || !isLaunch(line) {
			return err
		}
		return respond(conn, `{"kind":"update","uid":%q,"meta":{"note":"up","value":1}}`+"\n", taskUID(line))
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.send(`{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}` + "\n")
	client.expect(`"checked"`, `"0000000000000001"`, `"reason":1`)
	body := `"9d\u0034\r\nc=IN \/"`
	text := launchMessage(7, "seats", body)
	text = strings.Replace(text, `"left":`, `"idem":"e45e5817dae4","left":`, 1) // nodes deduplicate by it
	for _, piece := range []string{text[:10], text[10:50], text[50:]} {
		client.send(piece)
	}
	client.expect(`"running"`, `"0000000000000007"`, `"body":`+taskDescription)
	got := waitFor(t, "launch", node.received)
	if !containsAll(got, `"body":`+body, `"class":"seats"`, `"key":"0000000000000007"`, `"left":"`, `"idem":"e45e5817dae4"`) {
		t.Fatalf("the node received %s", got)
	}
	client.send(`{"kind":"stop","uid":"0000000000000007","meta":{},"reason":31}` + "\n")
	if got := waitFor(t, "stop", node.received); !containsAll(got, `"stop"`, `"reason":31`) {
		t.Fatalf("the node received %s", got)
	}
}

// TestNodeFaultMovesTaskToAnotherNode: whatever a node does wrong, its tasks are placed on another one.
func TestNodeFaultMovesTaskToAnotherNode(t *testing.T) {
	const incompleteAnswer = `{"kind":"running","uid":%q,"bo`
	for name, handle := range map[string]nodeHandler{
		"noise":   func(conn net.Conn, _ string) error { return respond(conn, "\x00\xff\x17 noise\n") },
		"endless": func(conn net.Conn, _ string) error { return respond(conn, "%s", strings.Repeat("x", 40<<10)) },
		"broken off": func(conn net.Conn, line string) error {
			if err := respond(conn, incompleteAnswer, taskUID(line)); err != nil {
				return err
			}
			return conn.Close()
		},
		"stops short": func(conn net.Conn, line string) error { return respond(conn, incompleteAnswer, taskUID(line)) },
		"silent":      ignoreMessages,
		"error": func(conn net.Conn, line string) error {
			return respond(conn, `{"kind":"stop","uid":%q,"reason":47}`+"\n", taskUID(line))
		},
		"full": func(conn net.Conn, line string) error {
			return respond(conn, `{"kind":"stop","uid":%q,"reason":34,"meta":{"note":"cpu_full"}}`+"\n", taskUID(line))
		},
		"closes": func(conn net.Conn, _ string) error { return conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := startNode(t, handle), startNode(t, acceptTask)
			server := startServer(t, 256, bad.addr, good.addr)
			client := server.connect()
			for i := range 6 {
				client.launch(i+1, "query")
				client.expect(`"running"`, fmt.Sprintf("%016x", i+1))
			}
			server.runOnLoop(func() {
				if counts := server.core.Counts; counts.Bound != 6 || counts.Attempts <= 6 {
					t.Errorf("%+v", counts)
				}
			})
		})
	}
}

// TestNoReachableNode: a request is rejected if no node can be connected to.
func TestNoReachableNode(t *testing.T) {
	node := startNode(t, acceptTask)
	closeNow(t, node.listener)
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.launch(1, "seats")
	client.expect(`"stop"`, `"reason":34`) // refused: nothing ran
	server.runOnLoop(func() {
		if counts := server.core.Counts; counts.ConnectFailures == 0 || counts.ConnectionsLost+counts.TimedOut > 0 {
			t.Errorf("%+v", counts)
		}
	})
}

// startConnectedServer returns a server with an open connection to its one node, which accepts only task 1, and the client of that task.
func startConnectedServer(t *testing.T) (*testServer, *testNode, *testClient) {
	t.Helper()
	node := startNode(t, func(conn net.Conn, line string) error {
		if taskUID(line) != "0000000000000001" {
			return nil
		}
		return acceptTask(conn, line)
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.runTask(1, "query")
	waitFor(t, "launch", node.received)
	return server, node, client
}

// TestNoAttemptAfterDisconnect: no attempt is sent for a request whose client has closed its connection or canceled the request before the first
// byte of the attempt goes out.
func TestNoAttemptAfterDisconnect(t *testing.T) {
	many := strings.Repeat(checkMessage, maxLinesPerIteration+10)
	launch, stop := launchMessage(2, "query", `"x"`), stopMessage(2, 16)
	for name, leave := range map[string]func(client *testClient){
		"closes behind its request":   func(client *testClient) { client.send(launch); client.close() },
		"cancels in the same segment": func(client *testClient) { client.send(launch + stop) },
		"cancels many lines later":    func(client *testClient) { client.send(launch + many + stop) },
		"closes behind many lines":    func(client *testClient) { client.send(many + launch + many); client.close() },
		"resets": func(client *testClient) {
			client.send(launch)
			if err := client.Conn.(*net.TCPConn).SetLinger(0); err != nil {
				client.t.Fatal(err)
			}
			client.close()
		},
		"sends single bytes, then cancels": func(client *testClient) {
			for _, letter := range []byte(launch + stop) {
				client.send(string([]byte{letter}))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server, node, client := startConnectedServer(t)
			leaving := server.connect()
			server.blockLoopDuring(func() { leave(leaving) }, nil)
			node.expectNoLaunch(client)
		})
	}
}

// TestDisconnectAndDialInSameIteration: the connection that an attempt waits for is established in the iteration of the loop in which the end of its
// client's connection is known, and is handled first.
func TestDisconnectAndDialInSameIteration(t *testing.T) {
	node := startNode(t, ignoreMessages)
	server := startServer(t, 256)
	client := server.connect()
	client.launch(2, "query")
	server.waitUntil("request", func() bool { return server.core.OpenRequests() == 1 })
	// The attempt begins long after the request was read, when the policy looks for a node again: so the client's connection becomes ready
	// after the one that is dialed.
	call := waitFor(t, "call", server.discovery.calls)
	call.text <- sseEvent(2, nodeEntry(1, node.addr, "in_service"))
	dialing, left := make(chan struct{}), make(chan struct{})
	var poll func()
	poll = func() {
		server.attempts.sendPending() // which would run at the end of this iteration
		for _, link := range server.nodes.byID {
			if link.dialing != nil {
				close(dialing)
				<-left
				return
			}
		}
		server.loop.AtIterationEnd(poll)
	}
	server.loop.Post(func() { server.loop.AtIterationEnd(poll) })
	waitFor(t, "dial", dialing)
	client.close()
	close(left)
	node.expectNoLaunch(server.connect())
}

// TestAdoptionPrecedesPlacement: hundreds of running tasks that clients report are adopted before a request that arrives beside them is placed.
func TestAdoptionPrecedesPlacement(t *testing.T) {
	const adopted = 350 // as many as the system buffers for a reader; read at maxLinesPerTurn they would take six iterations
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	frontend, client := server.connect(), server.connect()
	frontend.send(checkMessage)
	frontend.expect(`"checked"`)
	var adoptions strings.Builder
	for i := range adopted {
		adoptions.WriteString(adoptMessage(0x1000+i, 1))
	}
	server.blockLoopDuring(func() {
		frontend.send(adoptions.String())
		client.launch(1, "query")
	}, nil)
	running := -1
	server.waitUntil("attempt", func() bool {
		if server.core.Counts.Attempts > 0 && running < 0 {
			running = server.core.RunningTasks()
		}
		return running >= 0
	})
	if running < adopted {
		t.Errorf("an attempt was sent when %d of %d running tasks were known", running, adopted)
	}
	client.expect(`"running"`, "0000000000000001")
}

// TestTaskEndPrecedesAnswer: a node reports that it drained a task before it reports that it accepted it. The task is over for its client, and no other
// node gets it under that id.
func TestTaskEndPrecedesAnswer(t *testing.T) {
	node := startNode(t, func(conn net.Conn, line string) error {
		if !isLaunch(line) {
			return nil
		}
		drained := `{"kind":"stop","uid":%q,"reason":41,"meta":{"note":"drained"}}` + "\n"
		if err := respond(conn, drained, taskUID(line)); err != nil {
			return err
		}
		return acceptTask(conn, line)
	})
	otherNode := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr, otherNode.addr)
	client := server.connect()
	client.launch(1, "query")
	client.expectNext(`"stop"`, `"reason":41`)
	server.waitUntil("late answer", func() bool { return server.core.Counts.UnknownTasks == 1 })
	client.send(checkMessage)
	client.expectNext(`"checked"`)
}

// TestDuplicateAnswersIgnored: copies of answers, and answers under ids that were never sent, arrive before, with and after the good one.
func TestDuplicateAnswersIgnored(t *testing.T) {
	node := startNode(t, func(conn net.Conn, line string) error {
		if !isLaunch(line) {
			return nil
		}
		good := fmt.Sprintf(`{"kind":"running","uid":%q,"body":"y"}`+"\n", taskUID(line))
		other := fmt.Sprintf(`{"kind":"running","uid":%q,"body":"z"}`+"\n", taskUID(line))
		end := fmt.Sprintf(`{"kind":"stop","uid":%q,"reason":16}`+"\n", taskUID(line))
		unknown := `{"kind":"running","uid":"00000000000000ee","body":"y"}` + "\n" +
			`{"kind":"stop","uid":"00000000000000ee","reason":34}` + "\n"
		return respond(conn, "%s", unknown+good+good+other+end+end+other+unknown)
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	for i := range 5 {
		client.launch(i+1, "seats")
		id := fmt.Sprintf("%016x", i+1)
		client.expectNext(id, `"body":"y"`)
		client.expectNext(id, `"reason":16`)
		client.send(checkMessage)
		client.expectNext(`"checked"`)
	}
}

// TestNodeReportsEndBeforeAdoption: after a restart a node reports, on its first connection, tasks that ended while nobody was connected, before the
// client has had those tasks adopted.
func TestNodeReportsEndBeforeAdoption(t *testing.T) {
	listener := listenOn(t, "127.0.0.1:0")
	// The node reports each end once. If it did so on every connection, an end that the scheduler forgot would reach it again.
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if err := respond(conn, "%s", stopMessage(1, 16)+stopMessage(2, 41)); err == nil {
			readLinesOf(conn, func(string) error { return nil })
		}
	}()
	server := startServer(t, 256, listener.Addr().String())
	client := server.connect()
	client.send(checkMessage + adoptMessage(1, 1))
	client.expect(`"stop"`, "0000000000000001", `"reason":16`)
	server.waitUntil("both ends", func() bool { return server.core.Counts.UnknownTasks == 1 })
	client.send(adoptMessage(2, 1))
	client.expect(`"stop"`, "0000000000000002", `"reason":41`)
	server.runOnLoop(func() {
		if running := server.core.RunningTasks(); running != 0 {
			t.Errorf("%d tasks run", running)
		}
	})
}
