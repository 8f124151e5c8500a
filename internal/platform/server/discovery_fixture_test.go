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

// nodeEntryJSON returns the JSON of a node in a discovery event. Nodes with lower numbers have more free
// resources.
func nodeEntryJSON(number int, addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":0,"open":[%d,%d]}`,
		number, addr, state, 16/number, 24/number)
}

// discoveryEventJSON returns the JSON of the discovery event with the given number. Event 1 is a full list of
// nodes; all other events contain only the nodes that have changed.
func discoveryEventJSON(number int, entries ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, number, number, number == 1, strings.Join(entries, ","))
}

// sseEvent returns the discovery event with the given number in the format of server-sent events.
func sseEvent(number int, entries ...string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, discoveryEventJSON(number, entries...))
}

// sseFullListEvent returns a discovery event that contains a full list of nodes, in the format of server-sent
// events. The number of the event need not be 1.
func sseFullListEvent(number int, entries ...string) string {
	return strings.Replace(sseEvent(number, entries...), `"all":false`, `"all":true`, 1)
}

// discoveryServer is a discovery server for tests. The test decides which events each response contains.
type discoveryServer struct {
	*httptest.Server
	requests chan *discoveryRequest
}

// discoveryRequest is a request that a discoveryServer has received from the server under test.
type discoveryRequest struct {
	lastEventID  string
	responseText chan string // responseText receives the text of the response; closing it ends the response.
}

func startDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	server := &discoveryServer{requests: make(chan *discoveryRequest, 100)}
	server.Server = httptest.NewServer(http.HandlerFunc(server.serve))
	t.Cleanup(server.Close)
	return server
}

func (server *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	request := &discoveryRequest{r.Header.Get("Last-Event-ID"), make(chan string)}
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	server.requests <- request
	for {
		select {
		case text, ok := <-request.responseText:
			if !ok {
				return
			}
			if _, err := io.WriteString(w, text); err != nil {
				return // The server under test has closed the discovery connection.
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (server *discoveryServer) addr() string { return strings.TrimPrefix(server.URL, "http://") }

// sseResponseHead is the header of a successful response of a rawDiscoveryServer.
const sseResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n"

// rawDiscoveryServer is a discovery server for tests. The test itself writes every byte of a response,
// including the header.
type rawDiscoveryServer struct {
	net.Listener
	requests chan *rawDiscoveryRequest
}

// rawDiscoveryRequest is a request that a rawDiscoveryServer has received from the server under test,
// together with the connection on which it arrived.
type rawDiscoveryRequest struct {
	net.Conn
	lastEventID string
	connClosed  chan struct{} // connClosed is closed once the server under test has closed the connection.
}

func startRawDiscoveryServer(t *testing.T, listener net.Listener) *rawDiscoveryServer {
	t.Helper()
	discovery := &rawDiscoveryServer{listener, make(chan *rawDiscoveryRequest, 100)}
	go acceptConns(listener, discovery.serve)
	t.Cleanup(func() {
		for {
			select {
			case request := <-discovery.requests:
				if err := request.Close(); err != nil {
					t.Errorf("closing the connection of a discovery request failed: %v", err)
				}
			default:
				return
			}
		}
	})
	return discovery
}

func (discovery *rawDiscoveryServer) addr() string { return discovery.Addr().String() }

// serve reads the header of a request, passes the request to the test and waits until the connection ends.
func (discovery *rawDiscoveryServer) serve(conn net.Conn) {
	request := &rawDiscoveryRequest{Conn: conn, connClosed: make(chan struct{})}
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if id, found := strings.CutPrefix(line, "Last-Event-ID: "); found {
			request.lastEventID = strings.TrimSpace(id)
		}
		if line == "\r\n" {
			break
		}
	}
	discovery.requests <- request
	defer close(request.connClosed)
	for {
		if _, err := reader.Discard(1); err != nil {
			return // The server under test has closed or reset the discovery connection.
		}
	}
}

// reloadWithDiscovery makes the server reload its configuration with another address of the discovery server.
func (server *testServer) reloadWithDiscovery(addr string) {
	server.t.Helper()
	newConfig := server.configWithDiscovery(addr)
	server.runOnLoop(func() { server.Reload(newConfig) })
}

// configWithDiscovery returns a copy of the server's configuration with another address of the discovery
// server.
func (server *testServer) configWithDiscovery(addr string) *Config {
	newConfig := *server.config
	newConfig.Discovery = addr
	return &newConfig
}
