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

// nodeHandler handles one line that a node receives and may answer it. An error ends the connection: the server has closed it.
type nodeHandler func(conn net.Conn, line string) error

// testNode is a node.
type testNode struct {
	t        *testing.T
	addr     string
	listener net.Listener
	received chan string // every line
}

// startNode starts a node that hands each line to a handler.
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

// acceptConns serves each connection to a listener on a goroutine of its own until the listener is closed.
func acceptConns(listener net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// readLinesOf hands each line of a connection to a function until either fails, and closes the connection.
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

// respond writes to the server.
func respond(conn net.Conn, format string, args ...any) error {
	_, err := fmt.Fprintf(conn, format, args...)
	return err
}

func isLaunch(line string) bool { return strings.Contains(line, `"launch"`) }

// taskDescription is returned by nodes for each task. A careless codec would change it.
const taskDescription = `"a\/b\u00e9\u0041\r\n"`

// acceptTask accepts every task. It leaves health checks unanswered.
func acceptTask(conn net.Conn, line string) error {
	if !isLaunch(line) {
		return nil
	}
	return respond(conn, `{"kind":"running","uid":%q,"body":%s}`+"\n", taskUID(line), taskDescription)
}

// acceptTaskAndReport accepts every task and reports the connection that it came on.
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

// ignoreMessages answers nothing.
func ignoreMessages(net.Conn, string) error { return nil }

// expectNoLaunch fails the test if the node receives the launch of another task before that of a later one, which the client requests.
func (node *testNode) expectNoLaunch(client *testClient) {
	node.t.Helper()
	const laterTask = 0xff
	client.launch(laterTask, "query")
	for {
		line := waitFor(node.t, "launch of a later task", node.received)
		if taskUID(line) == fmt.Sprintf("%016x", laterTask) {
			return
		}
		if isLaunch(line) {
			node.t.Fatalf("an attempt was sent for a client that had left: %s", line)
		}
	}
}

// port returns the port of the node.
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

// unresponsivePort listens as listenUnresponsive until the end of the test.
func unresponsivePort(t *testing.T, port int) string {
	t.Helper()
	addr, stop := listenUnresponsive(t, port)
	t.Cleanup(stop)
	return addr
}

// listenUnresponsive listens on a port of 127.0.0.1, any if 0, that neither accepts nor refuses connections, as a node that has vanished: its
// accept queue is full.
func listenUnresponsive(t *testing.T, port int) (addr string, stop func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	stop = func() {
		if err := unix.Close(fd); err != nil {
			t.Errorf("close: %v", err)
		}
		for _, conn := range conns {
			if err := conn.Close(); err != nil {
				t.Errorf("close: %v", err)
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
