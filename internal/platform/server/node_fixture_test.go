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

// nodeHandler handles one line that a test node has received from the server, and may answer it. If it
// returns an error, the node closes the connection.
type nodeHandler func(conn net.Conn, line string) error

// testNode is a fake node to which the server under test connects.
type testNode struct {
	t             *testing.T
	addr          string
	listener      net.Listener
	receivedLines chan string // receivedLines contains a copy of every line that the node has received from the server.
}

// startNode starts a node that passes each line from the server to a handler.
func startNode(t *testing.T, handle nodeHandler) *testNode {
	t.Helper()
	listener := listenOn(t, "127.0.0.1:0")
	node := &testNode{t, listener.Addr().String(), listener, make(chan string, 1000)}
	go acceptConns(listener, func(conn net.Conn) {
		readLinesOf(conn, func(line string) error {
			node.receivedLines <- line
			return handle(conn, line)
		})
	})
	return node
}

// acceptConns accepts connections until the listener is closed, and calls serve for each of them on a new
// goroutine.
func acceptConns(listener net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// readLinesOf reads lines from a connection and passes each line to the function handle. When a read fails or
// handle returns an error, readLinesOf closes the connection and returns.
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

// respond formats a message like fmt.Sprintf and writes it to the connection between a test node and the
// server.
func respond(conn net.Conn, format string, args ...any) error {
	_, err := fmt.Fprintf(conn, format, args...)
	return err
}

func isLaunch(line string) bool { return strings.Contains(line, `"launch"`) }

// taskDescription is the body of the message with which a test node accepts a task. If the server decoded and
// encoded this body, its escape sequences would change.
const taskDescription = `"a\/b\u00e9\u0041\r\n"`

// acceptTask is a nodeHandler that accepts every requested task. It does not answer health checks.
func acceptTask(conn net.Conn, line string) error {
	if !isLaunch(line) {
		return nil
	}
	return respond(conn, `{"kind":"running","uid":%q,"body":%s}`+"\n", taskUID(line), taskDescription)
}

// acceptTaskAndSendConn returns a nodeHandler that accepts every requested task. After it has accepted a
// task, it sends the connection on which the request arrived to the channel conns.
func acceptTaskAndSendConn(conns chan<- net.Conn) nodeHandler {
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

// ignoreMessages is a nodeHandler that answers no message.
func ignoreMessages(net.Conn, string) error { return nil }

// expectNoLaunch fails the test if the server has sent the node a launch message that should not have been
// sent. To find such a message, it lets the client request one last task. The node must not receive a launch
// message for another task before it receives the launch message for this last task.
func (node *testNode) expectNoLaunch(client *testClient) {
	node.t.Helper()
	const lastTaskID = 0xff
	client.launch(lastTaskID, "query")
	for {
		line := waitFor(node.t, "the launch message for the last task at the node", node.receivedLines)
		if taskUID(line) == fmt.Sprintf("%016x", lastTaskID) {
			return
		}
		if isLaunch(line) {
			node.t.Fatalf("the server sent the node an attempt for a request whose client had disconnected or canceled it: %s", line)
		}
	}
}

// port returns the port on which the node listens.
func (node *testNode) port() int {
	node.t.Helper()
	_, portText, err := net.SplitHostPort(node.addr)
	if err != nil {
		node.t.Fatal(err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		node.t.Fatal(err)
	}
	return port
}

// listenUnresponsiveUntilCleanup calls listenUnresponsive and stops listening at the end of the test.
func listenUnresponsiveUntilCleanup(t *testing.T, port int) string {
	t.Helper()
	addr, stop := listenUnresponsive(t, port)
	t.Cleanup(stop)
	return addr
}

// listenUnresponsive listens on a port of 127.0.0.1 and fills the accept queue of the port. Further dials to
// the port then time out, as do dials to a node that has vanished from the network. If port is 0, the kernel
// selects a port.
func listenUnresponsive(t *testing.T, port int) (addr string, stop func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var queuedConns []net.Conn
	stop = func() {
		if err := unix.Close(fd); err != nil {
			t.Errorf("closing the unresponsive listener failed: %v", err)
		}
		for _, conn := range queuedConns {
			if err := conn.Close(); err != nil {
				t.Errorf("closing a connection in the accept queue failed: %v", err)
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
	socketAddr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", socketAddr.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		var netErr net.Error
		switch {
		case err == nil:
			queuedConns = append(queuedConns, conn)
		case errors.As(err, &netErr) && netErr.Timeout():
			return addr, stop
		default:
			t.Fatal(err)
		}
	}
}
