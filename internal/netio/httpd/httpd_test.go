//go:build linux

package httpd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/looptest"
)

// startServer runs a server whose responses repeat the request; the path says what else it does. disconnects gets the path
// of each request whose peer went away before the response, and "handled" with the path when such a request has come.
func startServer(t *testing.T, options Options) (loop *eventloop.Loop, server *Server, disconnects chan string) {
	t.Helper()
	loop = looptest.New(t)
	disconnects = make(chan string, 10)
	server, err := Listen(loop, "127.0.0.1:0", options, func(e *Exchange) {
		target := e.Head.Target
		switch target {
		case "/later":
			loop.After(10*time.Millisecond, func() { e.Respond(http1.Response{Status: 200, Body: []byte("later")}) })
		case "/never":
			e.OnDisconnect = func() { disconnects <- target }
			disconnects <- "handled " + target
		case "/stream":
			e.Respond(http1.Response{Status: 200, Stream: &numberStream{end: 1000}})
		default:
			e.Respond(http1.Response{Status: 200, Body: fmt.Appendf(nil, "%s %s %s", e.Head.Method, target, e.Body)})
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	stop := looptest.Run(t, loop)
	t.Cleanup(func() {
		stop()
		if illegal := server.IllegalTransitions; illegal != 0 {
			t.Errorf("%d illegal transitions of connections' states, want none", illegal)
		}
	})
	return loop, server, disconnects
}

// numberStream is a stream of numbers, one a line.
type numberStream struct{ next, end int }

func (s *numberStream) Pull(b []byte, room int) ([]byte, bool) {
	for limit := len(b) + room; s.next < s.end && len(b) < limit; s.next++ {
		b = fmt.Appendln(b, s.next)
	}
	return b, s.next == s.end
}
func (s *numberStream) Close() {}

// openConn connects to the server and sends text.
func openConn(t *testing.T, server *Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // only frees the descriptor: the test may have closed it
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readBody(t *testing.T, resp *http.Response) []byte {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
	return body
}

func TestAgainstNetHTTPClient(t *testing.T) {
	options := DefaultOptions()
	options.Limits.BodyBytes = 100
	_, server, _ := startServer(t, options)
	base := "http://" + server.Addr()
	fits := strings.Repeat("x", 100)
	for _, test := range []struct {
		name, method, path, body string
		expect, chunked          bool
		code                     int
		want                     string
	}{
		{name: "get", method: "GET", path: "/a", code: 200, want: "GET /a "},
		{name: "post", method: "POST", path: "/a", body: "xyz", code: 200, want: "POST /a xyz"},
		{name: "post with expectation", method: "POST", path: "/a", body: "xyz", expect: true, code: 200, want: "POST /a xyz"},
		{name: "post in chunks", method: "POST", path: "/a", body: "xyz", chunked: true, code: 200, want: "POST /a xyz"},
		{name: "head", method: "HEAD", path: "/a", code: 200},
		{name: "later response", method: "GET", path: "/later", code: 200, want: "later"},
		{name: "body of the limit", method: "POST", path: "/a", body: fits, code: 200, want: "POST /a " + fits},
		{name: "body over the limit", method: "POST", path: "/a", body: fits + "x", code: 413},
		{name: "chunks over the limit", method: "POST", path: "/a", body: fits + "x", chunked: true, code: 413},
	} {
		t.Run(test.name, func(t *testing.T) {
			var body io.Reader
			if test.body != "" {
				body = strings.NewReader(test.body)
			}
			if test.chunked {
				body = io.MultiReader(body) // of a length that the client does not know
			}
			req, err := http.NewRequestWithContext(t.Context(), test.method, base+test.path, body)
			if err != nil {
				t.Fatal(err)
			}
			if test.expect {
				req.Header.Set("Expect", "100-continue")
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			answer := readBody(t, resp)
			if resp.StatusCode != test.code || test.want != "" && string(answer) != test.want {
				t.Errorf("%d bytes: %d %.200q", len(test.body), resp.StatusCode, answer)
			}
		})
	}
	resp, err := http.Get(base + "/stream")
	if err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(string(readBody(t, resp)), "\n"); lines != 1000 {
		t.Errorf("stream: %d lines", lines)
	}
}

// A peer that begins a request and does not end it gets a 408.
func TestRequestTimeout(t *testing.T) {
	options := DefaultOptions()
	options.RequestTimeout = 100 * time.Millisecond
	_, server, _ := startServer(t, options)
	conn := openConn(t, server, "GET / HT")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 408 {
		t.Errorf("half a request: %v, %v", resp, err)
	}
}

// The handler is told of a peer that goes away before the response.
func TestDisconnectBeforeResponse(t *testing.T) {
	_, server, disconnects := startServer(t, DefaultOptions())
	conn := openConn(t, server, "GET /never HTTP/1.1\r\nHost: a\r\n\r\n")
	if got := <-disconnects; got != "handled /never" {
		t.Fatalf("got %s, want the request handled", got)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if got := <-disconnects; got != "/never" {
		t.Errorf("disconnected: %s", got)
	}
}

// A stream to HTTP/1.0 ends with the connection, without chunks.
func TestStreamToHTTP10(t *testing.T) {
	_, server, _ := startServer(t, DefaultOptions())
	conn := openConn(t, server, "GET /stream HTTP/1.0\r\n\r\n")
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	head, body, ok := strings.Cut(string(response), "\r\n\r\n")
	if !ok || strings.Count(body, "\n") != 1000 || strings.Contains(head+body, "chunked") {
		t.Errorf("%d bytes, %d lines, head %q", len(response), strings.Count(body, "\n"), head)
	}
}

// With no descriptor left a connection is closed rather than left to spin on; those that are open go on.
func TestNoDescriptorsLeft(t *testing.T) {
	loop, server, _ := startServer(t, DefaultOptions())
	open := openConn(t, server, "")
	reader := bufio.NewReader(open)
	get := func() error {
		if _, err := io.WriteString(open, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	var former unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &former); err != nil {
		t.Skip(err)
	}
	// The client's sockets are made first: the limit then hits the accepting side.
	fds := openSockets(t, 8)
	restore := sync.OnceFunc(func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &former); err != nil {
			t.Error(err)
		}
	})
	defer restore()
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(fds[len(fds)-1]) + 1, Max: former.Max}); err != nil {
		t.Skip(err)
	}
	var port int
	if _, err := fmt.Sscanf(server.Addr(), "127.0.0.1:%d", &port); err != nil {
		t.Fatal(err)
	}
	for _, fd := range fds {
		if err := unix.Connect(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			t.Fatal(err)
		}
		// The end of the connection or a reset, either will do.
		if n, _ := unix.Read(fd, make([]byte, 1)); n > 0 {
			t.Error("an answer out of nothing")
		}
	}
	if err := get(); err != nil {
		t.Errorf("the open connection: %v", err)
	}
	restore()
	iterations := make(chan uint64, 1)
	loop.Post(func() { iterations <- loop.Iterations })
	if count := <-iterations; count > 10000 {
		t.Errorf("%d iterations of the loop: it spins", count)
	}
}

// openSockets makes sockets that are not connected.
func openSockets(t *testing.T, count int) []int {
	t.Helper()
	fds := make([]int, 0, count)
	for range count {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := unix.Close(fd); err != nil {
				t.Error(err)
			}
		})
		fds = append(fds, fd)
	}
	return fds
}
