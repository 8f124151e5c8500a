//go:build linux

package server

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// captureLog returns a buffer to which the server logs from now on, at every level. The buffer must be read
// on the event loop.
func (server *testServer) captureLog() *bytes.Buffer {
	server.t.Helper()
	var log bytes.Buffer
	server.runOnLoop(func() { server.log = zerolog.New(&log) })
	return &log
}

// expectLogged waits until one line of the log contains all parts.
func (server *testServer) expectLogged(log *bytes.Buffer, parts ...string) {
	server.t.Helper()
	server.waitUntil("a log line with "+strings.Join(parts, " and "), func() bool {
		for line := range strings.Lines(log.String()) {
			if containsAll(line, parts...) {
				return true
			}
		}
		return false
	})
}

// TestLogOfUnreadableMessage checks that the warning states why the connection was closed.
func TestLogOfUnreadableMessage(t *testing.T) {
	server := startServer(t, 64)
	log := server.captureLog()
	sendTo(t, server.connect(), "no message\n")
	server.expectLogged(log, `"level":"warn"`, `"message":"client connection closed: message cannot be read"`)
}

// TestLogOfUnreadOutput checks that the warning for unread output differs from the one for an unreadable
// message.
func TestLogOfUnreadOutput(t *testing.T) {
	server := startServer(t, 64)
	log := server.captureLog()
	client := server.connect()
	checks := strings.Repeat(`{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n", 1000)
	server.runOnLoop(func() { server.log = server.log.Level(zerolog.WarnLevel) }) // The log level excludes the trace of each message.
	for sent := 0; sent < 1<<30; {
		written, err := client.Write([]byte(checks))
		if err != nil {
			break
		}
		sent += written
	}
	server.expectLogged(log, `"level":"warn"`, `"message":"client connection closed: output not read"`)
}

// TestHealthCheckIsTraced checks that a health check of a node and its answer are both logged.
func TestHealthCheckIsTraced(t *testing.T) {
	node := startNode(t, func(conn net.Conn, line string) error {
		if strings.Contains(line, `"check"`) {
			return respond(conn, `{"kind":"checked","uid":"0000000000000001","reason":1}`+"\n")
		}
		return acceptTask(conn, line)
	})
	server := startServer(t, 64, node.addr)
	server.connect().runTask(1, "query")
	log := server.captureLog()
	server.runOnLoop(func() {
		for _, link := range server.nodes.byID {
			link.conns[0].sendHealthCheck()
		}
	})
	server.expectLogged(log, `"kind":"check"`, `"message":">node"`)
	server.expectLogged(log, `"kind":"checked"`, `"message":"node>"`)
}
