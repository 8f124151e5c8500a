//go:build linux

package server

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestMisbehavingClients checks that clients that send nothing, invalid data or too much data are answered or
// disconnected, and that other clients are still served.
func TestMisbehavingClients(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	good := server.connect()
	good.runTask(1, "query")
	const id = 1000
	withdrawal := `{"kind":"stop","uid":"00000000000003ea","reason":16}` + "\n" // 0x3ea is 1002, the ID of the canceled task.
	var clientsDone sync.WaitGroup
	for name, send := range map[string]func(client *testClient){
		"sends nothing":             func(*testClient) {},
		"sends invalid data":        func(client *testClient) { client.send("\xff\xfe\x00\n") },
		"sends half a line":         func(client *testClient) { client.send(`{"kind":"lau`) },
		"sends 60 MB":               func(client *testClient) { go client.flood(60 << 20) },
		"requests an unknown class": func(client *testClient) { client.launch(id, "gold") },
		"omits the id":              func(client *testClient) { client.send(`{"kind":"launch","meta":{}}` + "\n") },
		"stops an unknown task":     func(client *testClient) { client.send(`{"kind":"stop","uid":"00000000000000ff","reason":16}` + "\n") },
		"uses one id twice": func(client *testClient) {
			client.send(launchMessage(id+1, "gold", `"x"`) + launchMessage(id+1, "gold", `"y"`))
		},
		"uses the id of another client": func(client *testClient) { client.send(launchMessage(1, "query", `"other"`)) },
		"cancels its request":           func(client *testClient) { client.send(launchMessage(id+2, "gold", `"x"`) + withdrawal) },
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
				t.Errorf("client that %s: after %v, got line %q and error %v", name, took, line, err)
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

// flood sends zero bytes until the server closes the connection or the given number of bytes has been sent.
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

// TestIdleClientsDoNotExhaustConnectionSlots checks that hundreds of idle connections leave slots for other clients,
// and that all connections stay within the limit on file descriptors.
func TestIdleClientsDoNotExhaustConnectionSlots(t *testing.T) {
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
		if len(server.clients.byID) > server.clients.maxConns || server.clients.maxConns+server.nodes.maxConns+reservedDescriptors > 64 {
			t.Errorf("%d client connections are open, at most %d are allowed", len(server.clients.byID), server.clients.maxConns)
		}
	})
	good.launch(2, "query")
	good.expect(`"running"`, "0000000000000002")
}

// TestClientThatDoesNotRead checks that a client that does not read its messages is disconnected before its
// unsent output grows without bound.
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
		t.Fatal("the server did not close the connection of a client that does not read")
	}
	server.runOnLoop(func() {
		if len(server.clients.byID) != 0 {
			t.Errorf("%d client connections are open, want none", len(server.clients.byID))
		}
	})
}

// TestClientConnectionReadBeforeClose checks that a request is served if the kernel has received it on a connection
// that the server is about to close, either because the connection is idle or to free its slot.
func TestClientConnectionReadBeforeClose(t *testing.T) {
	for name, closing := range map[string]func(server *testServer){
		"as idle":          func(server *testServer) { server.clients.closeIdle() },
		"to free its slot": func(server *testServer) { server.clients.evict() },
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, 256, startNode(t, acceptTask).addr)
			client := server.connect()
			server.waitUntil("the client connection", func() bool { return len(server.clients.byID) == 1 })
			server.blockLoopDuring(func() { client.launch(1, "query") }, func() {
				server.backdateClients()
				closing(server)
			})
			client.expect(`"running"`)
		})
	}
}

// TestIdleClientWithIncompleteMessage checks that a connection on which part of a message has arrived is not
// closed as idle at once, and that it is closed if the message stays incomplete.
func TestIdleClientWithIncompleteMessage(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	slow, incomplete := server.connect(), server.connect()
	text := launchMessage(1, "query", `"x"`)
	slow.send(text[:40])
	incomplete.send(text[:40])
	server.waitUntil("two incomplete messages", func() bool { return server.incompleteClients() == 2 })
	server.runOnLoop(func() {
		server.backdateClients() // The clients appear to have been silent for long before the incomplete message.
		server.clients.closeIdle()
	})
	slow.send(text[40:])
	slow.expect(`"running"`)
	incomplete.expectClosed()
}

// startServerWithTask starts a server and a node on which task 1 runs. It returns the server, the client of
// the task and the node's end of the connection.
func startServerWithTask(t *testing.T) (*testServer, *testClient, net.Conn) {
	t.Helper()
	conns := make(chan net.Conn, 1)
	node := startNode(t, acceptTaskAndReport(conns))
	server := startServer(t, 256, node.addr)
	client := server.connect()
	client.runTask(1, "query")
	return server, client, waitFor(t, "the connection of the task", conns)
}

// TestNoNotificationOnClosingConnection checks that the end of a task is reported on the client's next
// connection if the connection of the client is closing when the task ends.
func TestNoNotificationOnClosingConnection(t *testing.T) {
	server, closing, nodeConn := startServerWithTask(t)
	closing.send("noise\n") // An invalid line makes the server close the connection, which ends when the client closes it too.
	server.waitUntil("the invalid message", func() bool { return server.stats.InvalidFromClients.Unreadable > 0 })
	sendTo(t, nodeConn, stopMessage(1, 16))
	server.waitUntil("the end of the task", func() bool { return server.core.RunningTasks() == 0 })
	next := server.connect()
	next.send(checkMessage)
	next.expect(`"stop"`, "0000000000000001", `"reason":16`)
	server.runOnLoop(func() {
		if server.core.Counts.Redeliveries > 0 {
			t.Error("the end of the task was sent on the closing connection first")
		}
	})
}

// TestNotificationRedeliveredWhenClientCloses checks that a notification is sent again on the client's next
// connection if the client closes the connection at the moment at which the notification is sent.
func TestNotificationRedeliveredWhenClientCloses(t *testing.T) {
	server, closed, nodeConn := startServerWithTask(t)
	server.blockLoopDuring(func() {
		sendTo(t, nodeConn, stopMessage(1, 16)) // The event loop handles the connection to the node first, because it is ready first.
		closed.close()
	}, nil)
	server.waitUntil("the end of the task", func() bool { return server.core.RunningTasks() == 0 && len(server.clients.byID) == 0 })
	next := server.connect()
	next.send(checkMessage)
	next.expect(`"stop"`, "0000000000000001", `"reason":16`)
}

// TestLastClientConnectionIsKept checks that the only connection with a client is not closed as idle while a
// task runs, even if only adoptions or rejected requests arrived on it. The end of the task must be reported
// on it at once.
func TestLastClientConnectionIsKept(t *testing.T) {
	conns := make(chan net.Conn, 1)
	node := startNode(t, acceptTaskAndReport(conns))
	server := startServer(t, 256, node.addr)
	placed, idle, adopter := server.connect(), server.connect(), server.connect()
	placed.runTask(1, "query")
	idle.send(checkMessage)
	idle.expect(`"checked"`)
	adopter.send(adoptMessage(2, 1))
	nodeConn := waitFor(t, "the connection of the task", conns)
	server.waitUntil("three client connections and two running tasks", func() bool { return len(server.clients.byID) == 3 && server.core.RunningTasks() == 2 })
	closeIdle := func() {
		server.runOnLoop(func() {
			server.backdateClients()
			server.clients.closeIdle()
		})
	}
	closeIdle()
	idle.expectClosed() // It is not the only connection, and no task was placed for it.
	idle.close()
	placed.close()
	server.waitUntil("one client connection", func() bool { return len(server.clients.byID) == 1 })
	closeIdle()
	sendTo(t, nodeConn, stopMessage(1, 16))
	adopter.expect(`"stop"`, "0000000000000001")

	next := server.connect()
	next.send(checkMessage)
	next.expect(`"checked"`)
	adopter.close()
	server.waitUntil("one client connection", func() bool { return len(server.clients.byID) == 1 })
	closeIdle()
	sendTo(t, nodeConn, stopMessage(2, 16))
	next.expect(`"stop"`, "0000000000000002")
}
