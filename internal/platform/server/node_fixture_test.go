//go:build linux

package server

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// nodeHandler handles one line that a node has received, and may answer it. An error means that the server
// has closed the connection.
type nodeHandler func(conn net.Conn, line string) error

// testNode is a node for tests.
type testNode struct {
	t        *testing.T
	addr     string
	listener net.Listener
	received chan string // received contains every line that the node has received.
}

// startNode starts a node that passes each line to a handler.
func startNode(t *testing.T, handle nodeHandler) *testNode {
	t.Helper()
	listener := listenOn(t, "127.0.0.1:0")
	node := &testNode{t, listener.Addr().String(), listener, make(chan string, 1000)}
	go acceptConns(listener, func(conn net.Conn) {
		readLinesOf(conn, func(line string) error {
			node.received <- line
			return handle(conn, line)
		})
	})
	return node
}

// acceptConns calls serve on a new goroutine for each connection until the listener is closed.
func acceptConns(listener net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// readLinesOf passes each line of a connection to handle until reading or handle fails, and then closes the
// connection.
func readLinesOf(conn net.Conn, handle func(line string) error) {
	defer conn.Close() //nolint:errcheck // the server may have closed it first
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if err := handle(line); err != nil {
			return
		}
	}
}

// respond writes a formatted message to the server.
func respond(conn net.Conn, format string, args ...any) error {
	_, err := fmt.Fprintf(conn, format, args...)
	return err
}

func isLaunch(line string) bool { return strings.Contains(line, `"launch"`) }

// taskDescription is the body of a node's answer. Its escapes would change if the server decoded and encoded
// it.
const taskDescription = `"a\/b\u00e9\u0041\r\n"`

// acceptTask accepts every task. It does not answer health checks.
func acceptTask(conn net.Conn, line string) error {
	if !isLaunch(line) {
		return nil
	}
	return respond(conn, `{"kind":"running","uid":%q,"body":%s}`+"\n", taskUID(line), taskDescription)
}

// acceptTaskAndSendConn accepts every task and sends the connection on which the task arrived to a channel.
func acceptTaskAndReport(conns chan<- net.Conn) nodeHandler {
	return func(conn net.Conn, line string) error {
		if err := acceptTask(conn, line); err != nil {
			return err
		}
		if isLaunch(line) {
			conns <- conn
		}
		return nil
	}
}

// ignoreMessages answers no message.
func ignoreMessages(net.Conn, string) error { return nil }

// expectNoLaunch lets the client request another task and fails the test if the node receives a different
// launch before the one of that task.
func (node *testNode) expectNoLaunch(client *testClient) {
	node.t.Helper()
	const laterTask = 0xff
	client.launch(laterTask, "query")
	for {
		line := waitFor(node.t, "the launch of a later task", node.received)
		if taskUID(line) == fmt.Sprintf("%016x", laterTask) {
			return
		}
		if isLaunch(line) {
			node.t.Fatalf("an attempt was sent for a client that had disconnected or canceled: %s", line)
		}
	}
}

// port returns the port on which the node listens.
func (node *testNode) port() int {
	node.t.Helper()
	_, text, err := net.SplitHostPort(node.addr)
	if err != nil {
		node.t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		node.t.Fatal(err)
	}
	return port
}

// unresponsivePort calls listenUnresponsive and stops listening at the end of the test.
func unresponsivePort(t *testing.T, port int) string {
	t.Helper()
	addr, stop := listenUnresponsive(t, port)
	t.Cleanup(stop)
	return addr
}

// listenUnresponsive listens on a port of 127.0.0.1 whose accept queue is full. The port neither accepts nor
// refuses connections, like a node that has vanished. If port is 0, the kernel selects one.
func listenUnresponsive(t *testing.T, port int) (addr string, stop func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	stop = func() {
		if err := unix.Close(fd); err != nil {
			t.Errorf("closing a socket failed: %v", err)
		}
		for _, conn := range conns {
			if err := conn.Close(); err != nil {
				t.Errorf("closing a socket failed: %v", err)
			}
		}
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	address, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", address.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		var timeout net.Error
		switch {
		case err == nil:
			conns = append(conns, conn)
		case errors.As(err, &timeout) && timeout.Timeout():
			return addr, stop
		default:
			t.Fatal(err)
		}
	}
}
