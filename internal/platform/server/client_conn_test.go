//go:build linux

package server

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestMisbehavingClients: clients that send nothing, nonsense or too much are answered or disconnected, and harm no other client.
func TestMisbehavingClients(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	good := server.connect()
	good.runTask(1, "query")
	const id = 1000
	withdrawal := `{"kind":"stop","uid":"00000000000003ea","reason":16}` + "\n" // 1002
	var clientsDone sync.WaitGroup
	for name, send := range map[string]func(client *testClient){
		"sends nothing": func(*testClient) {},
		"noise":         func(client *testClient) { client.send("\xff\xfe\x00\n") },
		"half a line":   func(client *testClient) { client.send(`{"kind":"lau`) },
		"60 MB":         func(client *testClient) { go client.flood(60 << 20) },
		"unknown class": func(client *testClient) { client.launch(id, "gold") },
		"no id":         func(client *testClient) { client.send(`{"kind":"launch","meta":{}}` + "\n") },
		"unknown id":    func(client *testClient) { client.send(`{"kind":"stop","uid":"00000000000000ff","reason":16}` + "\n") },
		"one id twice": func(client *testClient) {
			client.send(launchMessage(id+1, "gold", `"x"`) + launchMessage(id+1, "gold", `"y"`))
		},
		"an id in use": func(client *testClient) { client.send(launchMessage(1, "query", `"other"`)) },
		"cancels":      func(client *testClient) { client.send(launchMessage(id+2, "gold", `"x"`) + withdrawal) },
	} {
		client := server.connect()
		start := time.Now()
		send(client)
		clientsDone.Add(1)
		go func() {
			defer clientsDone.Done()
			line, err := client.reader.ReadString('\n')
			unexpected := strings.Contains(line, `"running"`) || err == nil && !strings.Contains(line, `"stop"`)
			if took := time.Since(start); took > 3*time.Second || unexpected {
				t.Errorf("%s: after %v %q, %v", name, took, line, err)
			}
		}()
	}
	clientsDone.Wait()
	good.launch(2, "query")
	good.expect(`"running"`, "0000000000000002")
	server.runOnLoop(func() {
		counted := server.stats.InvalidFromClients
		for kind, count := range map[string]uint64{
			"unreadable": counted.Unreadable, "long line": counted.LineTooLong, "class": counted.Class, "id in use": counted.DuplicateID,
		} {
			if count == 0 {
				t.Errorf("no invalid input of kind %q was counted: %+v", kind, counted)
			}
		}
	})
}

// flood sends zeros until the server closes the connection.
func (client *testClient) flood(bytes int) {
	block := make([]byte, 32<<10)
	for sent := 0; sent < bytes; {
		written, err := client.Write(block)
		sent += written
		if err != nil {
			return
		}
	}
}

// TestIdleClientsLeaveConnectionSlots: hundreds of idle connections leave slots for other clients, within the limit of descriptors.
func TestIdleClientsLeaveConnectionSlots(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 64, node.addr)
	good := server.connect()
	good.runTask(1, "query")
	for range 300 {
		server.connect()
	}
	for i := range 20 {
		client := server.connect()
		client.runTask(10+i, "query")
	}
	server.runOnLoop(func() {
		if len(server.clients.byID) > server.clients.maxConns || server.clients.maxConns+server.nodes.maxConns+reservedOpenFiles > 64 {
			t.Errorf("%d client connections, %d allowed", len(server.clients.byID), server.clients.maxConns)
		}
	})
	good.launch(2, "query")
	good.expect(`"running"`, "0000000000000002")
}

// TestClientThatDoesNotRead: a client that does not read is disconnected before its answers grow without bound.
func TestClientThatDoesNotRead(t *testing.T) {
	server := startServer(t, 256)
	client := server.connect()
	lines := []byte(strings.Repeat(`{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n", 1000))
	var sent int64
	for sent < 1<<30 {
		written, err := client.Write(lines)
		if sent += int64(written); err != nil {
			break
		}
	}
	if sent >= 1<<30 {
		t.Fatal("never disconnected")
	}
	server.runOnLoop(func() {
		if len(server.clients.byID) != 0 {
			t.Errorf("%d connections", len(server.clients.byID))
		}
	})
}

// TestReadBeforeClosingClient: a request that the system has received on a connection about to be closed, as idle or for its slot, is served.
func TestReadBeforeClosingClient(t *testing.T) {
	for name, closing := range map[string]func(server *testServer){
		"idle":         func(server *testServer) { server.clients.closeIdle() },
		"for its slot": func(server *testServer) { server.clients.evict() },
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, 256, startNode(t, acceptTask).addr)
			client := server.connect()
			server.waitUntil("client", func() bool { return len(server.clients.byID) == 1 })
			server.blockLoopDuring(func() { client.launch(1, "query") }, func() {
				server.backdateClients()
				closing(server)
			})
			client.expect(`"running"`)
		})
	}
}

// TestIdleClientWithIncompleteMessage: a connection on which a message has arrived in part is not idle yet; one on which it stays incomplete is.
func TestIdleClientWithIncompleteMessage(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	slow, incomplete := server.connect(), server.connect()
	text := launchMessage(1, "query", `"x"`)
	slow.send(text[:40])
	incomplete.send(text[:40])
	server.waitUntil("half a line", func() bool { return server.incompleteClients() == 2 })
	server.runOnLoop(func() {
		server.backdateClients() // silent for long, and then half a line
		server.clients.closeIdle()
	})
	slow.send(text[40:])
	slow.expect(`"running"`)
	incomplete.expectClosed()
}

// startServerWithTask returns a server on whose one node task 1 runs, the client of that task and the node's end of the connection to it.
func startServerWithTask(t *testing.T) (*testServer, *testClient, net.Conn) {
	t.Helper()
	conns := make(chan net.Conn, 1)
	node := startNode(t, acceptTaskAndReport(conns))
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.runTask(1, "query")
	return server, client, waitFor(t, "task", conns)
}

// TestNoNotificationOnClosingConnection: the end of a task while the connection of its client is closing is reported on the next connection.
func TestNoNotificationOnClosingConnection(t *testing.T) {
	server, closing, nodeConn := startServerWithTask(t)
	closing.send("noise\n") // ends the connection, which stays open for reading until the client closes it too
	server.waitUntil("closing", func() bool { return server.stats.InvalidFromClients.Unreadable > 0 })
	sendTo(t, nodeConn, stopMessage(1, 16))
	server.waitUntil("end", func() bool { return server.core.RunningTasks() == 0 })
	next := server.connect()
	next.send(checkMessage)
	next.expect(`"stop"`, "0000000000000001", `"reason":16`)
	server.runOnLoop(func() {
		if server.core.Counts.Redeliveries > 0 {
			t.Error("the end was sent on the closing connection first")
		}
	})
}

// TestNotificationRedeliveredWhenClientCloses: a notification sent at the moment at which its client closes the connection is sent once more, on the
// next one.
func TestNotificationRedeliveredWhenClientCloses(t *testing.T) {
	server, closed, nodeConn := startServerWithTask(t)
	server.blockLoopDuring(func() {
		sendTo(t, nodeConn, stopMessage(1, 16)) // is ready first
		closed.close()
	}, nil)
	server.waitUntil("end", func() bool { return server.core.RunningTasks() == 0 && len(server.clients.byID) == 0 })
	next := server.connect()
	next.send(checkMessage)
	next.expect(`"stop"`, "0000000000000001", `"reason":16`)
}

// TestLastClientConnectionIsKept: a connection on which only adoptions or rejected requests arrived is not closed as idle while it is the only one: the
// end of a running task is reported on it at once.
func TestLastClientConnectionIsKept(t *testing.T) {
	conns := make(chan net.Conn, 1)
	node := startNode(t, acceptTaskAndReport(conns))
	server := startServer(t, 256, node.addr)
	placed, idle, adopter := server.connect(), server.connect(), server.connect()
	placed.runTask(1, "query")
	idle.send(checkMessage)
	idle.expect(`"checked"`)
	adopter.send(adoptMessage(2, 1))
	nodeConn := waitFor(t, "task", conns)
	server.waitUntil("three clients and two tasks", func() bool { return len(server.clients.byID) == 3 && server.core.RunningTasks() == 2 })
	closeIdle := func() {
		server.runOnLoop(func() {
			server.backdateClients()
			server.clients.closeIdle()
		})
	}
	closeIdle()
	idle.expectClosed() // not the only one, and no task was placed on it
	idle.close()
	placed.close()
	server.waitUntil("one client", func() bool { return len(server.clients.byID) == 1 })
	closeIdle()
	sendTo(t, nodeConn, stopMessage(1, 16))
	adopter.expect(`"stop"`, "0000000000000001")

	next := server.connect()
	next.send(checkMessage)
	next.expect(`"checked"`)
	adopter.close()
	server.waitUntil("one client", func() bool { return len(server.clients.byID) == 1 })
	closeIdle()
	sendTo(t, nodeConn, stopMessage(2, 16))
	next.expect(`"stop"`, "0000000000000002")
}
