//go:build linux

package server

import (
	"fmt"
	"net"
	"testing"
)

// unansweredLaunch is a launch message that a test node has received but not answered, with the connection on
// which it arrived.
type unansweredLaunch struct {
	conn net.Conn
	line string
}

// accept makes the node accept the task of the launch message.
func (launch unansweredLaunch) accept(t *testing.T) {
	t.Helper()
	if err := acceptTask(launch.conn, launch.line); err != nil {
		t.Fatal(err)
	}
}

// TestStopAnswersAcceptedRequests checks that the server answers placement requests that arrive before or
// shortly after a graceful shutdown begins. While the server then waits for running tasks, it must still
// notify a client whose task ends.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	launches := make(chan unansweredLaunch, 10)
	node := startNode(t, func(conn net.Conn, line string) error {
		if isLaunch(line) {
			launches <- unansweredLaunch{conn, line}
		}
		return nil
	})
	server := startServer(t, 256, node.addr)
	earlyClient := server.connect()
	earlyClient.launch(1, "seats")
	earlyLaunch := waitFor(t, "the launch message for the first task at the node", launches)
	server.runOnLoop(func() { server.Stop(); server.Stop() })
	lateClient := server.connect() // After the shutdown begins, the server accepts connections for acceptGrace.
	lateClient.launch(2, "seats")
	lateLaunch := waitFor(t, "the launch message for the task that the client requested after the shutdown began", launches)
	earlyLaunch.accept(t)
	lateLaunch.accept(t)
	earlyClient.expectMessage(`"running"`)
	lateClient.expectMessage(`"running"`)
	// Both requests are answered, but the tasks still run. The server must not stop yet after it has closed the
	// listener, because it must still notify the clients when their tasks end.
	server.waitUntil("the listener to close", func() bool { return server.listener.Closed() })
	uid := taskUID(earlyLaunch.line)
	sendTo(t, earlyLaunch.conn, fmt.Sprintf(`{"kind":"stop","uid":%q,"reason":16}`+"\n", uid))
	earlyClient.expectMessage(`"stop"`, uid, `"reason":16`)
	waitFor(t, "the server to stop", server.loopStopped)
}

// TestStopServesAcceptBacklog checks client connections that the kernel has accepted, but the server has not,
// when a graceful shutdown closes the listener. The server must still answer the clients of these connections.
func TestStopServesAcceptBacklog(t *testing.T) {
	server := startServer(t, 2000, startNode(t, acceptTask).addr)
	var clients []*testClient
	server.blockLoopDuring(func() {
		for i := range 150 { // The event loop accepts fewer connections than this number in one iteration.
			client := server.connect()
			client.launch(i+1, "query")
			clients = append(clients, client)
		}
	}, server.finishStopNow)
	for i, client := range clients {
		client.expectMessage(fmt.Sprintf("%016x", i+1)) // The answer may be a rejection, because there is only one node.
	}
}

// TestStopServesIncompleteRequest checks a placement request of which only a part has arrived when the final
// phase of a graceful shutdown begins. The server must answer the request after the rest has arrived.
func TestStopServesIncompleteRequest(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	client := server.connect()
	launch := launchMessage(1, "query", `"x"`)
	client.send(launch[:40])
	server.waitUntil("the server to receive a part of the message", func() bool { return server.clientsWithIncompleteMessage() == 1 })
	server.runOnLoop(server.finishStopNow)
	client.send(launch[40:])
	client.expectMessage(`"running"`)
}

// TestStopFlushesAnswers checks that answers reach a client that sends data in the final phase of a graceful
// shutdown. If the process ended before the server had read this data, the kernel would reset the client
// connection. The client would then lose the answers that it has not read yet.
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
	server.waitUntil("the server to answer the request", func() bool { return server.core.Counts.Failed+server.core.Counts.Rejected == 1 })
	finalPhase, dataSent := make(chan struct{}), make(chan struct{})
	server.loop.Post(func() {
		server.finishStopNow()
		close(finalPhase) // The server has begun the final phase and has read all data that has arrived so far.
		<-dataSent
	})
	waitFor(t, "the final phase of the shutdown to begin", finalPhase)
	client.send(`{"kind":"stopped","uid":"0000000000000001","meta":{}}` + "\n")
	close(dataSent)
	client.expectMessage(`"stop"`, "0000000000000001")
	client.expectClosed()
	client.close()
	waitFor(t, "the server to stop", server.loopStopped)
}
