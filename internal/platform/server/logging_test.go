//go:build linux

package server

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// captureLog makes the server write its log, at every level, to a buffer and returns this buffer. The buffer
// may be read only on the event loop.
func (server *testServer) captureLog() *bytes.Buffer {
	server.t.Helper()
	var log bytes.Buffer
	server.runOnLoop(func() { server.log = zerolog.New(&log) })
	return &log
}

// expectLogLine waits until one line of the log contains all of the given parts.
func (server *testServer) expectLogLine(log *bytes.Buffer, parts ...string) {
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

// TestLogOfUnreadableMessage checks that the server logs a warning with the reason when it closes a client
// connection because of a line that is not a valid message.
func TestLogOfUnreadableMessage(t *testing.T) {
	server := startServer(t, 64)
	log := server.captureLog()
	sendTo(t, server.connect(), "no message\n")
	server.expectLogLine(log, `"level":"warn"`, `"message":"client connection closed: message cannot be read"`)
}

// TestLogOfUnreadOutput checks that the server logs a warning with the reason when it closes a client
// connection because the client does not read the messages that the server sends.
func TestLogOfUnreadOutput(t *testing.T) {
	server := startServer(t, 64)
	log := server.captureLog()
	client := server.connect()
	healthChecks := strings.Repeat(`{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n", 1000)
	server.runOnLoop(func() { server.log = server.log.Level(zerolog.WarnLevel) }) // At the warn level, the server does not log each message.
	for sentBytes := 0; sentBytes < 1<<30; {
		writtenBytes, err := client.Write([]byte(healthChecks))
		if err != nil {
			break
		}
		sentBytes += writtenBytes
	}
	server.expectLogLine(log, `"level":"warn"`, `"message":"client connection closed: output not read"`)
}

// TestHealthCheckIsTraced checks that a health check on a node connection and the node's answer are logged at
// trace level.
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
	server.expectLogLine(log, `"kind":"check"`, `"message":">node"`)
	server.expectLogLine(log, `"kind":"checked"`, `"message":"node>"`)
}
