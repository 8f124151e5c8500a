//go:build linux

package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// Each test here forces one order of two events that cross. The loop is held in a posted function while the other side acts, so that the
// system knows of what happened, on loopback at once, and the loop does not.

// holdLoop runs act while the loop is held, then f on the loop, in the turn in which it was held.
func (server *testServer) holdLoop(act, afterwards func()) {
	held, released, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server.loop.Post(func() {
		close(held)
		<-released
		if afterwards != nil {
			afterwards()
		}
		close(done)
	})
	waitFor(server.t, "turn of the loop", held)
	act()
	close(released)
	waitFor(server.t, "end of the turn", done)
}

// waitUntil runs f on the loop turn by turn until it says true.
func (server *testServer) waitUntil(what string, condition func() bool) {
	done := make(chan struct{})
	var poll func()
	poll = func() {
		if condition() {
			close(done)
			return
		}
		server.loop.After(0.001, poll)
	}
	server.loop.Post(poll)
	waitFor(server.t, what, done)
}

func stopMessage(id, reason int) string {
	return fmt.Sprintf(`{"kind":"stop","uid":"%016x","meta":{},"reason":%d}`+"\n", id, reason)
}

const checkMessage = `{"kind":"check","uid":"00000000000000aa","meta":{},"reason":0}` + "\n"

// startConnectedServer is a scheduler with an open connection to its one machine, which says nothing but to task 1.
func startConnectedServer(t *testing.T) (*testServer, *testNode, *testClient) {
	node := startNode(t, func(c net.Conn, line string) {
		if taskUID(line) == "0000000000000001" {
			acceptTask(c, line)
		}
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	io.WriteString(client, launchMessage(1, "query", `"x"`))
	client.expect(`"running"`)
	waitFor(t, "launch", node.received)
	return server, node, client
}

// expectNoLaunch sees that the machine got no launch but that of a later task, which is sent for it.
func (node *testNode) expectNoLaunch(t *testing.T, client *testClient) {
	t.Helper()
	io.WriteString(client, launchMessage(0xff, "query", `"x"`))
	for {
		switch line := waitFor(t, "launch of a later task", node.received); {
		case taskUID(line) == "00000000000000ff":
			return
		case strings.Contains(line, `"launch"`):
			t.Fatalf("an attempt was made for one who has left: %s", line)
		}
	}
}

// TestDeparturesComeBeforeAttempts: no attempt is made for a set-up whose owner has closed its connection, or cancelled, before its first byte
// goes out.
func TestDisconnectPrecedesAttempt(t *testing.T) {
	many := strings.Repeat(checkMessage, maxLinesPerTurn+10)
	for name, leave := range map[string]func(c *testClient){
		"closes behind its set-up":    func(c *testClient) { io.WriteString(c, launchMessage(2, "query", `"x"`)); c.Close() },
		"cancels in the same segment": func(c *testClient) { io.WriteString(c, launchMessage(2, "query", `"x"`)+stopMessage(2, 16)) },
		"cancels many lines on":       func(c *testClient) { io.WriteString(c, launchMessage(2, "query", `"x"`)+many+stopMessage(2, 16)) },
		"closes behind many lines":    func(c *testClient) { io.WriteString(c, many+launchMessage(2, "query", `"x"`)+many); c.Close() },
		"resets": func(c *testClient) {
			io.WriteString(c, launchMessage(2, "query", `"x"`))
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"sends single bytes, then takes it back": func(c *testClient) {
			for _, b := range []byte(launchMessage(2, "query", `"x"`) + stopMessage(2, 16)) {
				c.Write([]byte{b})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server, node, client := startConnectedServer(t)
			c := server.connect()
			server.holdLoop(func() { leave(c) }, nil)
			node.expectNoLaunch(t, client)
		})
	}
}

// TestDepartureAndDialInOneTurn: the connection that an attempt waits for comes up in the turn in which its owner's end is known, and is told
// of first.
func TestDisconnectAndDialInOneTurn(t *testing.T) {
	node := startNode(t, func(net.Conn, string) {})
	server := startServer(t, 256)
	c := server.connect()
	io.WriteString(c, launchMessage(2, "query", `"x"`))
	server.waitUntil("set-up", func() bool { return server.core.OpenRequests() == 1 })
	// The attempt begins long after the set-up was read, when the module looks again for a machine: the owner's connection is ready only
	// after the one that is dialled.
	waitFor(t, "call", server.discovery.calls).text <- fmt.Sprintf("id: 2\ndata: %s\n\n", discoveryEvent(2, nodeEntry(1, node.addr, "in_service")))
	dialled, left := make(chan struct{}), make(chan struct{})
	var look func()
	look = func() {
		server.sendPendingAttempts() // what is to be begun at the end of this turn
		for _, link := range server.links {
			if link.dialing != nil {
				close(dialled)
				<-left
				return
			}
		}
		server.loop.AtIterationEnd(look)
	}
	server.loop.Post(func() { server.loop.AtIterationEnd(look) })
	waitFor(t, "dial", dialled)
	c.Close()
	close(left)
	node.expectNoLaunch(t, server.connect())
}

// TestBacklogAtTheEndIsServed: owners whose connections were taken in by the system, with their set-ups, before the listener closes get their
// answers.
func TestStopServesAcceptBacklog(t *testing.T) {
	server := startServer(t, 2000, startNode(t, acceptTask).addr)
	var all []*testClient
	server.holdLoop(func() {
		for i := range 150 { // more than are accepted in a turn
			c := server.connect()
			io.WriteString(c, launchMessage(i+1, "query", `"x"`))
			all = append(all, c)
		}
	}, func() {
		server.stopping, server.stopRequestedAt = true, server.loop.Now()-1
		server.finishStop()
	})
	for i, c := range all {
		c.expect(fmt.Sprintf("%016x", i+1)) // many are refused, since there is one machine
	}
}

// TestHalfARequestAtTheEnd: a set-up of which a part had come when the scheduler was told to stop is answered once its rest comes.
func TestStopServesIncompleteRequest(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	c := server.connect()
	text := launchMessage(1, "query", `"x"`)
	io.WriteString(c, text[:40])
	server.waitUntil("half a line", func() bool {
		for _, conn := range server.clients {
			return conn.incompleteSince > 0
		}
		return false
	})
	server.runOnLoop(func() {
		server.stopping, server.stopRequestedAt = true, server.loop.Now()-1
		server.finishStop()
	})
	io.WriteString(c, text[40:])
	c.expect(`"running"`)
}

// TestEndDestroysNoAnswer: bytes of an owner that come at the very end would have the end of the process reset its connection, and destroy the
// answers that it has not read yet.
func TestStopFlushesAnswers(t *testing.T) {
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":47}`+"\n", taskUID(line))
		}
	})
	server := startServer(t, 256, node.addr)
	c := server.connect()
	io.WriteString(c, launchMessage(1, "seats", `"x"`))
	server.waitUntil("answer", func() bool { return server.core.Counts.Failed+server.core.Counts.Rejected == 1 })
	decided, sent := make(chan struct{}), make(chan struct{})
	server.loop.Post(func() {
		server.stopping, server.stopRequestedAt = true, server.loop.Now()-1
		server.finishStop()
		close(decided) // to end, with nothing unread
		<-sent
	})
	waitFor(t, "end", decided)
	io.WriteString(c, `{"kind":"stopped","uid":"0000000000000001","meta":{}}`+"\n")
	close(sent)
	c.expect(`"stop"`, "0000000000000001")
	if line, err := c.reader.ReadString('\n'); err != io.EOF {
		t.Fatalf("%q, %v", line, err)
	}
	c.Close()
	waitFor(t, "end", server.stopped)
}

// TestLookBeforeClosing: a set-up that the system has received on a connection about to be closed, as a stranger's or for its seat, is served.
func TestReadBeforeClosingClient(t *testing.T) {
	for name, closing := range map[string]func(server *testServer){
		"a stranger's": func(server *testServer) { server.closeIdleClients() },
		"for its seat": func(server *testServer) { server.evictClient() },
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, 256, startNode(t, acceptTask).addr)
			c := server.connect()
			server.waitUntil("owner", func() bool { return len(server.clients) == 1 })
			server.holdLoop(func() { io.WriteString(c, launchMessage(1, "query", `"x"`)) }, func() {
				for _, conn := range server.clients {
					conn.openedAt, conn.lastMessageAt = conn.openedAt-10, conn.lastMessageAt-10
				}
				closing(server)
			})
			c.expect(`"running"`)
		})
	}
}

// TestStrangerInPieces: a connection on which a message has come in part is no silent one yet; one that stays so is.
func TestIdleClientWithIncompleteMessage(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	slow, half := server.connect(), server.connect()
	text := launchMessage(1, "query", `"x"`)
	io.WriteString(slow, text[:40])
	io.WriteString(half, text[:40])
	server.waitUntil("half a line", func() bool {
		n := 0
		for _, conn := range server.clients {
			if conn.incompleteSince > 0 {
				n++
			}
		}
		return n == 2
	})
	server.runOnLoop(func() {
		for _, conn := range server.clients {
			conn.openedAt, conn.lastMessageAt = conn.openedAt-10, conn.lastMessageAt-10 // silent for long, and then half a line
		}
		server.closeIdleClients()
	})
	io.WriteString(slow, text[40:])
	slow.expect(`"running"`)
	if line, err := half.reader.ReadString('\n'); err != io.EOF {
		t.Fatalf("%q, %v", line, err)
	}
}

// TestNothingIsToldOnAClosingConnection: the end of a task that comes while its owner's connection is being closed goes to the next one.
func TestNoNotificationOnClosingConnection(t *testing.T) {
	conns := make(chan net.Conn, 1)
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			acceptTask(c, line)
			conns <- c
		}
	})
	server := startServer(t, 256, node.addr)
	a := server.connect()
	io.WriteString(a, launchMessage(1, "query", `"x"`))
	a.expect(`"running"`)
	io.WriteString(a, "noise\n") // ends the connection, which lingers for its owner to close it too
	server.waitUntil("closing", func() bool { return server.stats.InvalidFromClients["unreadable"] > 0 })
	io.WriteString(<-conns, stopMessage(1, 16))
	server.waitUntil("end", func() bool { return server.core.RunningTasks() == 0 })
	b := server.connect()
	io.WriteString(b, checkMessage)
	b.expect(`"stop"`, "0000000000000001", `"reason":16`)
	server.runOnLoop(func() {
		if server.core.Counts.Redeliveries > 0 {
			t.Error("told on the closing connection first")
		}
	})
}

// TestReleaseOnAConnectionThatIsClosing: a release sent at the moment at which its owner closes the connection goes out once more, on the next.
func TestNotificationRedeliveredWhenClientCloses(t *testing.T) {
	conns := make(chan net.Conn, 1)
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			acceptTask(c, line)
			conns <- c
		}
	})
	server := startServer(t, 256, node.addr)
	a := server.connect()
	io.WriteString(a, launchMessage(1, "query", `"x"`))
	a.expect(`"running"`)
	c := <-conns
	server.holdLoop(func() {
		io.WriteString(c, stopMessage(1, 16)) // the machine's word is ready first
		a.Close()
	}, nil)
	server.waitUntil("end", func() bool { return server.core.RunningTasks() == 0 && len(server.clients) == 0 })
	b := server.connect()
	io.WriteString(b, checkMessage)
	b.expect(`"stop"`, "0000000000000001", `"reason":16`)
}

// TestMachineQuickerThanItsTasksOwner: after a start a machine tells, on its first connection, what ended while nobody was connected, before
// the owner has named that task as one that stands there.
func TestNodeReportsEndBeforeAdoption(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if c, err := listener.Accept(); err == nil {
			io.WriteString(c, stopMessage(1, 16)+stopMessage(2, 41))
			io.Copy(io.Discard, c)
		}
	}()
	server := startServer(t, 256, listener.Addr().String())
	client := server.connect()
	adoption := func(id int) string {
		return strings.Replace(launchMessage(id, "query", `"x"`), "service:", "at:s-00000001;service:", 1)
	}
	io.WriteString(client, checkMessage+adoption(1))
	client.expect(`"stop"`, "0000000000000001", `"reason":16`)
	server.waitUntil("both ends", func() bool { return server.core.Counts.UnknownTasks == 1 })
	io.WriteString(client, adoption(2))
	client.expect(`"stop"`, "0000000000000002", `"reason":41`)
	server.runOnLoop(func() {
		if server.core.RunningTasks() != 0 {
			t.Errorf("%d stand", server.core.RunningTasks())
		}
	})
}

// TestNamedTasksComeBeforeSetUps: what stands already is taken in whole, though it is hundreds of lines, before a set-up that came beside it is
// placed.
func TestAdoptionPrecedesPlacement(t *testing.T) {
	const adopted = 350 // as many as the system takes without a reader; without the mend that is six turns
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	frontend, client := server.connect(), server.connect()
	io.WriteString(frontend, checkMessage)
	frontend.expect(`"checked"`)
	var b strings.Builder
	for i := range adopted {
		b.WriteString(strings.Replace(launchMessage(0x1000+i, "query", `"x"`), "service:", "at:s-00000001;service:", 1))
	}
	server.holdLoop(func() {
		io.WriteString(frontend, b.String())
		io.WriteString(client, launchMessage(1, "query", `"x"`))
	}, nil)
	running := -1
	server.waitUntil("attempt", func() bool {
		if server.core.Counts.Attempts > 0 && running < 0 {
			running = server.core.RunningTasks()
		}
		return running >= 0
	})
	if running < adopted {
		t.Errorf("an attempt was made when %d of %d tasks that stand were known", running, adopted)
	}
	client.expect(`"running"`, "0000000000000001")
}

// TestTheLastWayToOwnersIsKept: a connection that named a task as standing, or on which all was refused, is not closed as a stranger's while it
// is the only one: the end of a task that stands goes out on it at once.
func TestLastClientConnectionIsKept(t *testing.T) {
	conns := make(chan net.Conn, 1)
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			acceptTask(c, line)
			conns <- c
		}
	})
	server := startServer(t, 256, node.addr)
	a, b, adopter := server.connect(), server.connect(), server.connect()
	io.WriteString(a, launchMessage(1, "query", `"x"`))
	a.expect(`"running"`)
	io.WriteString(b, checkMessage)
	b.expect(`"checked"`)
	io.WriteString(adopter, strings.Replace(launchMessage(2, "query", `"x"`), "service:", "at:s-00000001;service:", 1))
	c := waitFor(t, "task", conns)
	server.waitUntil("three owners and two tasks", func() bool { return len(server.clients) == 3 && server.core.RunningTasks() == 2 })
	sweep := func() {
		server.runOnLoop(func() {
			for _, conn := range server.clients {
				conn.openedAt, conn.lastMessageAt = conn.openedAt-10, conn.lastMessageAt-10
			}
			server.closeIdleClients()
		})
	}
	sweep()
	if line, err := b.reader.ReadString('\n'); err != io.EOF { // not the only one: nothing came to stand on it
		t.Fatalf("%q, %v", line, err)
	}
	b.Close()
	a.Close()
	server.waitUntil("one owner", func() bool { return len(server.clients) == 1 })
	sweep()
	io.WriteString(c, stopMessage(1, 16))
	adopter.expect(`"stop"`, "0000000000000001")

	d := server.connect()
	io.WriteString(d, checkMessage)
	d.expect(`"checked"`)
	adopter.Close()
	server.waitUntil("one owner", func() bool { return len(server.clients) == 1 })
	sweep()
	io.WriteString(c, stopMessage(2, 16))
	d.expect(`"stop"`, "0000000000000002")
}
