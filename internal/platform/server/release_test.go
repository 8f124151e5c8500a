//go:build linux

package server

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"heathshed/internal/control/connpool"
)

// releasingNode is a node that runs one task and reports its end as the protocol says: on the connection on
// which the task was requested, and again on the next connection that the node accepts. It can hang: then it
// accepts nothing and reads nothing, but the kernel still completes new connections.
type releasingNode struct {
	t        *testing.T
	listener net.Listener
	hang     sync.RWMutex // hang is locked while the node hangs.

	mu       sync.Mutex
	taskConn net.Conn // taskConn is the connection on which the task was requested.
	taskUID  string
	owed     bool // owed is set if the end is to be reported on the next connection that the node accepts.
	accepted int  // accepted is the number of connections that the node has accepted.
}

func startReleasingNode(t *testing.T) *releasingNode {
	t.Helper()
	node := &releasingNode{t: t, listener: listenOn(t, "127.0.0.1:0")}
	go func() {
		for {
			conn, err := node.listener.Accept()
			if err != nil {
				return
			}
			node.serve(conn)
		}
	}()
	return node
}

// serve reports the end of the task on an accepted connection, if that is owed, and starts to read.
func (node *releasingNode) serve(conn net.Conn) {
	node.hang.RLock()
	defer node.hang.RUnlock()
	node.mu.Lock()
	defer node.mu.Unlock()
	node.accepted++
	if node.owed {
		node.owed = false
		_ = respond(conn, "%s", stopMessage(1, 16)) // the server may have closed the connection
	}
	go node.read(conn)
}

func (node *releasingNode) read(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		node.hang.RLock()
		if err == nil {
			err = node.handle(conn, line)
		}
		node.hang.RUnlock()
		if err != nil {
			return // The node does not close the connection, as it has not noticed yet that the server did.
		}
	}
}

func (node *releasingNode) handle(conn net.Conn, line string) error {
	if isLaunch(line) {
		node.mu.Lock()
		node.taskConn, node.taskUID = conn, taskUID(line)
		node.mu.Unlock()
		return acceptTask(conn, line)
	}
	if strings.Contains(line, `"check"`) {
		return respond(conn, `{"kind":"checked","uid":%q,"reason":1}`+"\n", taskUID(line))
	}
	return nil
}

// endTask reports the end of the task on its connection, and owes a second report.
func (node *releasingNode) endTask() {
	node.mu.Lock()
	defer node.mu.Unlock()
	_ = respond(node.taskConn, "%s", stopMessage(1, 16)) // the server may have closed the connection
	node.owed = true
}

// acceptedConns returns the number of connections that the node has accepted.
func (node *releasingNode) acceptedConns() int {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.accepted
}

// startServerWithReleasingNode starts a releasingNode that runs task 1. The server checks idle connections to
// it often.
func startServerWithReleasingNode(t *testing.T) (*releasingNode, *testServer, *testClient) {
	t.Helper()
	node := startReleasingNode(t)
	server := startServer(t, 256, node.listener.Addr().String())
	server.runOnLoop(func() {
		server.nodes.keepAlive.HealthCheckAfter = 200 * time.Millisecond
		server.nodes.keepAlive.HealthCheckTimeout = 100 * time.Millisecond
	})
	client := server.connect()
	client.runTask(1, "seats")
	return node, server, client
}

// TestEndReportedByNodeThatHung guards against an end that no client learns of: a node hangs while health
// checks pass, and reports the end of its task when it goes on, on connections that the server may have given
// up meanwhile.
func TestEndReportedByNodeThatHung(t *testing.T) {
	for name, length := range map[string]time.Duration{"for one health check": 500 * time.Millisecond, "for several health checks": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node, server, client := startServerWithReleasingNode(t)
			node.hang.Lock()
			time.Sleep(length)
			node.endTask()
			node.hang.Unlock()
			client.expectMessage(`"stop"`, "0000000000000001", `"reason":16`)
			server.runOnLoop(func() {
				if open := server.nodes.openConns; open > connpool.MaxSilentConns+1 {
					t.Errorf("the server has %d connections to the node, want at most %d", open, connpool.MaxSilentConns+1)
				}
			})
		})
	}
}

// TestEndReportedOnResetConnection guards against an end that no client learns of: the connection on which the
// node reports it is reset, while another connection to the node is open. The node reports the end again on
// the next connection that is opened, so the server has to open one.
func TestEndReportedOnResetConnection(t *testing.T) {
	node, server, client := startServerWithReleasingNode(t)
	server.runOnLoop(func() {
		for _, link := range server.nodes.byID {
			link.dial()
		}
	})
	server.waitUntil("the node to accept a second connection", func() bool { return node.acceptedConns() == 2 })
	node.mu.Lock()
	node.owed = true
	if err := node.taskConn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	closeNow(t, node.taskConn)
	node.mu.Unlock()
	client.expectMessage(`"stop"`, "0000000000000001", `"reason":16`)
}
