//go:build linux

package server

import (
	"fmt"
	"net"
	"testing"
)

// heldLaunch is a launch that a node has not answered.
type unansweredLaunch struct {
	conn net.Conn
	line string
}

func (launch unansweredLaunch) accept(t *testing.T) {
	t.Helper()
	if err := acceptTask(launch.conn, launch.line); err != nil {
		t.Fatal(err)
	}
}

// TestStopAnswersAcceptedRequests: requests that arrive before and shortly after the signal to stop are answered, and while the server waits
// for running tasks their end is still reported.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	launches := make(chan unansweredLaunch, 10)
	node := startNode(t, func(conn net.Conn, line string) error {
		if isLaunch(line) {
			launches <- unansweredLaunch{conn, line}
		}
		return nil
	})
	server := startServer(t, 256, node.addr)
	before := server.connect()
	before.launch(1, "seats")
	first := waitFor(t, "launch", launches)
	server.runOnLoop(func() { server.Stop(); server.Stop() })
	after := server.connect() // accepted for some time yet
	after.launch(2, "seats")
	second := waitFor(t, "launch after the signal", launches)
	first.accept(t)
	second.accept(t)
	before.expect(`"running"`)
	after.expect(`"running"`)
	// While a task runs, and nothing else is open, its end is still reported.
	server.waitUntil("end of listening", func() bool { return server.listener.Closed() })
	uid := taskUID(first.line)
	sendTo(t, first.conn, fmt.Sprintf(`{"kind":"stop","uid":%q,"reason":16}`+"\n", uid))
	before.expect(`"stop"`, uid, `"reason":16`)
	waitFor(t, "end", server.stopped)
}

// TestStopServesAcceptBacklog: clients whose connections and requests the system accepted before the listener closes get their answers.
func TestStopServesAcceptBacklog(t *testing.T) {
	server := startServer(t, 2000, startNode(t, acceptTask).addr)
	var all []*testClient
	server.blockLoopDuring(func() {
		for i := range 150 { // more than are accepted in one iteration of the loop
			client := server.connect()
			client.launch(i+1, "query")
			all = append(all, client)
		}
	}, server.finishStopNow)
	for i, client := range all {
		client.expect(fmt.Sprintf("%016x", i+1)) // many are rejected, since there is one node
	}
}

// TestStopServesIncompleteRequest: a request that has arrived in part when the server is stopped is answered once the rest arrives.
func TestStopServesIncompleteRequest(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	client := server.connect()
	text := launchMessage(1, "query", `"x"`)
	client.send(text[:40])
	server.waitUntil("half a line", func() bool { return server.incompleteClients() == 1 })
	server.runOnLoop(server.finishStopNow)
	client.send(text[40:])
	client.expect(`"running"`)
}

// TestStopFlushesAnswers: bytes of a client that arrive at the very end would have the end of the process reset its connection, and destroy the
// answers that it has not read yet.
func TestStopFlushesAnswers(t *testing.T) {
	node := startNode(t, func(conn net.Conn, line string) error {
		if !isLaunch(line) {
			return nil
		}
		return respond(conn, `{"kind":"stop","uid":%q,"reason":47}`+"\n", taskUID(line))
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.launch(1, "seats")
	server.waitUntil("answer", func() bool { return server.core.Counts.Failed+server.core.Counts.Rejected == 1 })
	decided, sent := make(chan struct{}), make(chan struct{})
	server.loop.Post(func() {
		server.finishStopNow()
		close(decided) // to stop, with nothing unread
		<-sent
	})
	waitFor(t, "end", decided)
	client.send(`{"kind":"stopped","uid":"0000000000000001","meta":{}}` + "\n")
	close(sent)
	client.expect(`"stop"`, "0000000000000001")
	client.expectClosed()
	client.close()
	waitFor(t, "end", server.stopped)
}
