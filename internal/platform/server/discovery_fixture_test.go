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

// nodeEntry is a node in a discovery event. The node with number 1 is the emptiest.
func nodeEntry(number int, addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":0,"open":[%d,%d]}`,
		number, addr, state, 16/number, 24/number)
}

// discoveryEvent is an event with a number. Event 1 is a full list, others hold changes.
func discoveryEvent(number int, entries ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, number, number, number == 1, strings.Join(entries, ","))
}

// sseEvent is an event as it stands in the stream.
func sseEvent(number int, entries ...string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, discoveryEvent(number, entries...))
}

// sseFullList is a later event that holds a full list.
func sseFullList(number int, entries ...string) string {
	return strings.Replace(sseEvent(number, entries...), `"all":false`, `"all":true`, 1)
}

// discoveryServer is a discovery server. Each call is answered with what the test sends for it.
type discoveryServer struct {
	*httptest.Server
	calls chan *discoveryCall
}

type discoveryCall struct {
	lastEventID string
	text        chan string // closed where the stream ends
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
				return // the watch has ended the call
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (server *discoveryServer) addr() string { return strings.TrimPrefix(server.URL, "http://") }

// sseResponseHead is the head of a response of a rawDiscovery.
const sseResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n"

// rawDiscovery is a discovery server on whose connections the test writes the bytes itself.
type rawDiscovery struct {
	net.Listener
	calls chan *rawDiscoveryCall
}

type rawDiscoveryCall struct {
	net.Conn
	lastEventID string
	closed      chan struct{} // closed when the server under test has ended the call
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
					t.Errorf("close: %v", err)
				}
			default:
				return
			}
		}
	})
	return discovery
}

func (discovery *rawDiscovery) addr() string { return discovery.Addr().String() }

// serve reads the head of a call, hands the call to the test and waits for its end.
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
			return // in order or not, the call is over
		}
	}
}

// moveDiscovery reloads the server with another discovery address.
func (server *testServer) switchDiscovery(addr string) {
	server.t.Helper()
	next := server.configWithDiscovery(addr)
	server.runOnLoop(func() { server.Reload(next) })
}

// configWithDiscovery returns the server's configuration with another discovery address.
func (server *testServer) configWithDiscovery(addr string) *Config {
	next := *server.config
	next.Discovery = addr
	return &next
}
