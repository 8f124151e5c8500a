//go:build linux

package server

import (
	"fmt"
	"net"
	"testing"
)

// unansweredLaunch is a launch that a node has received but not answered.
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

// TestStopAnswersAcceptedRequests checks that requests that arrive before and shortly after the signal to
// stop are answered, and that the end of a task is still reported while the server waits for running tasks.
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
	first := waitFor(t, "the first launch", launches)
	server.runOnLoop(func() { server.Stop(); server.Stop() })
	after := server.connect() // The server still accepts connections for acceptGrace.
	after.launch(2, "seats")
	second := waitFor(t, "the launch after the signal", launches)
	first.accept(t)
	second.accept(t)
	before.expect(`"running"`)
	after.expect(`"running"`)
	// The end of a task is reported even if nothing else is open.
	server.waitUntil("the listener to close", func() bool { return server.listener.Closed() })
	uid := taskUID(first.line)
	sendTo(t, first.conn, fmt.Sprintf(`{"kind":"stop","uid":%q,"reason":16}`+"\n", uid))
	before.expect(`"stop"`, uid, `"reason":16`)
	waitFor(t, "the end of the server", server.stopped)
}

// TestStopServesAcceptBacklog checks that clients are answered if the kernel accepted their connections and
// requests before the listener was closed.
func TestStopServesAcceptBacklog(t *testing.T) {
	server := startServer(t, 2000, startNode(t, acceptTask).addr)
	var all []*testClient
	server.blockLoopDuring(func() {
		for i := range 150 { // This number exceeds what one iteration of the event loop accepts.
			client := server.connect()
			client.launch(i+1, "query")
			all = append(all, client)
		}
	}, server.finishStopNow)
	for i, client := range all {
		client.expect(fmt.Sprintf("%016x", i+1)) // Many requests are rejected, because there is only one node.
	}
}

// TestStopServesIncompleteRequest checks that a request of which only a part has arrived when the server is
// stopped is answered once the rest arrives.
func TestStopServesIncompleteRequest(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	client := server.connect()
	text := launchMessage(1, "query", `"x"`)
	client.send(text[:40])
	server.waitUntil("an incomplete message", func() bool { return server.incompleteClients() == 1 })
	server.runOnLoop(server.finishStopNow)
	client.send(text[40:])
	client.expect(`"running"`)
}

// TestStopFlushesAnswers checks that answers reach a client that sends data at the very end of a stop. If the
// process ended with this data unread, the kernel would reset the connection and discard answers that the
// client has not read yet.
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
	server.waitUntil("the answer", func() bool { return server.core.Counts.Failed+server.core.Counts.Rejected == 1 })
	decided, sent := make(chan struct{}), make(chan struct{})
	server.loop.Post(func() {
		server.finishStopNow()
		close(decided) // The server has decided to stop, and no data is unread.
		<-sent
	})
	waitFor(t, "the final phase of the stop", decided)
	client.send(`{"kind":"stopped","uid":"0000000000000001","meta":{}}` + "\n")
	close(sent)
	client.expect(`"stop"`, "0000000000000001")
	client.expectClosed()
	client.close()
	waitFor(t, "the end of the server", server.stopped)
}
