//go:build linux

package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// nodeEntry returns the JSON of a node in a discovery event. Nodes with lower numbers have more free
// resources.
func nodeEntry(number int, addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":0,"open":[%d,%d]}`,
		number, addr, state, 16/number, 24/number)
}

// discoveryEvent returns the JSON of the discovery event with a number. Event 1 is a full list; other events
// contain changes.
func discoveryEvent(number int, entries ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, number, number, number == 1, strings.Join(entries, ","))
}

// sseEvent returns a discovery event in the format of server-sent events.
func sseEvent(number int, entries ...string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, discoveryEvent(number, entries...))
}

// sseFullList returns a server-sent event that contains a full list although its number is not 1.
func sseFullList(number int, entries ...string) string {
	return strings.Replace(sseEvent(number, entries...), `"all":false`, `"all":true`, 1)
}

// discoveryServer is a discovery server for tests. The test decides what each call is answered with.
type discoveryServer struct {
	*httptest.Server
	calls chan *discoveryCall
}

type discoveryCall struct {
	lastEventID string
	text        chan string // text is closed to end the stream.
}

func startDiscovery(t *testing.T) *discoveryServer {
	t.Helper()
	server := &discoveryServer{calls: make(chan *discoveryCall, 100)}
	server.Server = httptest.NewServer(http.HandlerFunc(server.serve))
	t.Cleanup(server.Close)
	return server
}

func (server *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	call := &discoveryCall{r.Header.Get("Last-Event-ID"), make(chan string)}
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	server.calls <- call
	for {
		select {
		case text, ok := <-call.text:
			if !ok {
				return
			}
			if _, err := io.WriteString(w, text); err != nil {
				return // The server under test has ended the call.
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (server *discoveryServer) addr() string { return strings.TrimPrefix(server.URL, "http://") }

// sseResponseHead is the header of a successful response of a rawDiscovery.
const sseResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n"

// rawDiscovery is a discovery server for tests that write the bytes of each response themselves.
type rawDiscovery struct {
	net.Listener
	calls chan *rawDiscoveryCall
}

type rawDiscoveryCall struct {
	net.Conn
	lastEventID string
	closed      chan struct{} // closed is closed when the server under test has ended the call.
}

func startRawDiscovery(t *testing.T, listener net.Listener) *rawDiscovery {
	t.Helper()
	discovery := &rawDiscovery{listener, make(chan *rawDiscoveryCall, 100)}
	go acceptConns(listener, discovery.serve)
	t.Cleanup(func() {
		for {
			select {
			case call := <-discovery.calls:
				if err := call.Close(); err != nil {
					t.Errorf("closing the connection of a call failed: %v", err)
				}
			default:
				return
			}
		}
	})
	return discovery
}

func (discovery *rawDiscovery) addr() string { return discovery.Addr().String() }

// serve reads the header of a call, passes the call to the test and waits until the call ends.
func (discovery *rawDiscovery) serve(conn net.Conn) {
	call := &rawDiscoveryCall{Conn: conn, closed: make(chan struct{})}
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if id, found := strings.CutPrefix(line, "Last-Event-ID: "); found {
			call.lastEventID = strings.TrimSpace(id)
		}
		if line == "\r\n" {
			break
		}
	}
	discovery.calls <- call
	defer close(call.closed)
	for {
		if _, err := reader.Discard(1); err != nil {
			return // The call is over, whether or not the connection was closed gracefully.
		}
	}
}

// switchDiscovery reloads the server with another discovery address.
func (server *testServer) switchDiscovery(addr string) {
	server.t.Helper()
	next := server.configWithDiscovery(addr)
	server.runOnLoop(func() { server.Reload(next) })
}

// configWithDiscovery returns the configuration of the server with another discovery address.
func (server *testServer) configWithDiscovery(addr string) *Config {
	next := *server.config
	next.Discovery = addr
	return &next
}
