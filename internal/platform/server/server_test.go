//go:build linux

package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestRequestEndToEnd checks that a request and its stop are forwarded from a client to a node, and the
// answers back, with all fields of the protocol.
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
	text = strings.Replace(text, `"left":`, `"idem":"e45e5817dae4","left":`, 1) // Nodes deduplicate requests by this field.
	for _, piece := range []string{text[:10], text[10:50], text[50:]} {
		client.send(piece)
	}
	client.expect(`"running"`, `"0000000000000007"`, `"body":`+taskDescription)
	got := waitFor(t, "the launch", node.received)
	if !containsAll(got, `"body":`+body, `"class":"seats"`, `"key":"0000000000000007"`, `"left":"`, `"idem":"e45e5817dae4"`) {
		t.Fatalf("the node received an unexpected message: %s", got)
	}
	client.send(`{"kind":"stop","uid":"0000000000000007","meta":{},"reason":31}` + "\n")
	if got := waitFor(t, "the stop", node.received); !containsAll(got, `"stop"`, `"reason":31`) {
		t.Fatalf("the node received an unexpected message: %s", got)
	}
}

// TestNodeFaultMovesTaskToAnotherNode checks that a task is placed on another node whatever a faulty node
// does.
func TestNodeFaultMovesTaskToAnotherNode(t *testing.T) {
	const incompleteAnswer = `{"kind":"running","uid":%q,"bo`
	for name, handle := range map[string]nodeHandler{
		"sends invalid data":    func(conn net.Conn, _ string) error { return respond(conn, "\x00\xff\x17 noise\n") },
		"sends an endless line": func(conn net.Conn, _ string) error { return respond(conn, "%s", strings.Repeat("x", 40<<10)) },
		"closes within an answer": func(conn net.Conn, line string) error {
			if err := respond(conn, incompleteAnswer, taskUID(line)); err != nil {
				return err
			}
			return conn.Close()
		},
		"stalls within an answer": func(conn net.Conn, line string) error { return respond(conn, incompleteAnswer, taskUID(line)) },
		"does not answer":         ignoreMessages,
		"reports an error": func(conn net.Conn, line string) error {
			return respond(conn, `{"kind":"stop","uid":%q,"reason":47}`+"\n", taskUID(line))
		},
		"has no capacity": func(conn net.Conn, line string) error {
			return respond(conn, `{"kind":"stop","uid":%q,"reason":34,"meta":{"note":"cpu_full"}}`+"\n", taskUID(line))
		},
		"closes the connection": func(conn net.Conn, _ string) error { return conn.Close() },
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
					t.Errorf("want 6 tasks bound after more than 6 attempts, got %+v", counts)
				}
			})
		})
	}
}

// TestNoReachableNode checks that a request is rejected if no node accepts connections.
func TestNoReachableNode(t *testing.T) {
	node := startNode(t, acceptTask)
	closeNow(t, node.listener)
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.launch(1, "seats")
	client.expect(`"stop"`, `"reason":34`) // Refused connections prove that the task did not start.
	server.runOnLoop(func() {
		if counts := server.core.Counts; counts.ConnectFailures == 0 || counts.ConnectionsLost+counts.TimedOut > 0 {
			t.Errorf("want only failures to connect, got %+v", counts)
		}
	})
}

// startConnectedServer returns a server with an open connection to its one node, the node, which accepts only
// task 1, and the client of that task.
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
	waitFor(t, "the launch", node.received)
	return server, node, client
}

// TestNoAttemptAfterDisconnect checks that no attempt is sent for a request if its client closed the
// connection or canceled the request before the first byte of the attempt was sent.
func TestNoAttemptAfterDisconnect(t *testing.T) {
	many := strings.Repeat(checkMessage, maxLinesPerIteration+10)
	launch, stop := launchMessage(2, "query", `"x"`), stopMessage(2, 16)
	for name, leave := range map[string]func(client *testClient){
		"closes after its request":    func(client *testClient) { client.send(launch); client.close() },
		"cancels in the same segment": func(client *testClient) { client.send(launch + stop) },
		"cancels many lines later":    func(client *testClient) { client.send(launch + many + stop) },
		"closes after many lines":     func(client *testClient) { client.send(many + launch + many); client.close() },
		"resets the connection": func(client *testClient) {
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

// TestDisconnectAndDialInSameIteration covers the case that a dialed connection for an attempt is established
// in the same iteration of the event loop in which the client of the attempt disconnects, and that the dialed
// connection is handled first. The attempt must not be sent.
func TestDisconnectAndDialInSameIteration(t *testing.T) {
	node := startNode(t, ignoreMessages)
	server := startServer(t, 256)
	client := server.connect()
	client.launch(2, "query")
	server.waitUntil("the open request", func() bool { return server.core.OpenRequests() == 1 })
	// The attempt starts long after the request was read, when the policy tries again to find a node.
	// Therefore the event loop handles the client's connection after the dialed one.
	call := waitFor(t, "a call to the discovery server", server.discovery.calls)
	call.text <- sseEvent(2, nodeEntry(1, node.addr, "in_service"))
	dialing, clientClosed := make(chan struct{}), make(chan struct{})
	var poll func()
	poll = func() {
		server.attemptSender.sendPending() // Otherwise sendPending would run at the end of this iteration.
		for _, link := range server.nodes.byID {
			if link.dialing != nil {
				close(dialing)
				<-clientClosed
				return
			}
		}
		server.loop.AtIterationEnd(poll)
	}
	server.loop.Post(func() { server.loop.AtIterationEnd(poll) })
	waitFor(t, "the dial", dialing)
	client.close()
	close(clientClosed)
	node.expectNoLaunch(server.connect())
}

// TestAdoptionPrecedesPlacement checks that hundreds of running tasks that clients report are adopted before
// a request that arrives at the same time is placed.
func TestAdoptionPrecedesPlacement(t *testing.T) {
	// The kernel buffers about this number of reports for a reader. Limited to maxLinesPerIteration, reading
	// them would take six iterations.
	const adoptedTasks = 350
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	frontend, client := server.connect(), server.connect()
	frontend.send(checkMessage)
	frontend.expect(`"checked"`)
	var adoptions strings.Builder
	for i := range adoptedTasks {
		adoptions.WriteString(adoptMessage(0x1000+i, 1))
	}
	server.blockLoopDuring(func() {
		frontend.send(adoptions.String())
		client.launch(1, "query")
	}, nil)
	running := -1
	server.waitUntil("an attempt", func() bool {
		if server.core.Counts.Attempts > 0 && running < 0 {
			running = server.core.RunningTasks()
		}
		return running >= 0
	})
	if running < adoptedTasks {
		t.Errorf("an attempt was sent when only %d of %d running tasks were adopted", running, adoptedTasks)
	}
	client.expect(`"running"`, "0000000000000001")
}

// TestTaskEndReportedBeforeAcceptance covers a node that reports that it drained a task before it reports that it
// accepted the task. The task has ended for its client, and no other node may get it under the same ID.
func TestTaskEndReportedBeforeAcceptance(t *testing.T) {
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
	server.waitUntil("the late answer", func() bool { return server.core.Counts.UnknownTasks == 1 })
	client.send(checkMessage)
	client.expectNext(`"checked"`)
}

// TestDuplicateAnswersIgnored checks that duplicate answers, and answers with IDs that were never sent, are
// ignored before, together with and after the valid answer.
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

// TestNodeReportsEndBeforeAdoption covers a node that reports, on its first connection after a restart of the
// scheduler, the end of tasks that ended meanwhile. The client requests the adoption of these tasks only
// afterwards and must be told that they have ended.
func TestNodeReportsEndBeforeAdoption(t *testing.T) {
	listener := listenOn(t, "127.0.0.1:0")
	// The node reports each end only once. If it reported them on every connection, the test would not notice
	// that the scheduler forgets them.
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
	server.waitUntil("the report of a task that is not adopted yet", func() bool { return server.core.Counts.UnknownTasks == 1 })
	client.send(adoptMessage(2, 1))
	client.expect(`"stop"`, "0000000000000002", `"reason":41`)
	server.runOnLoop(func() {
		if running := server.core.RunningTasks(); running != 0 {
			t.Errorf("%d tasks run, want none", running)
		}
	})
}
