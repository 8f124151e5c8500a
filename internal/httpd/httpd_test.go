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

	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
)

// startServer runs a server whose answers tell the request; the path says what else it does.
func startServer(t *testing.T, o Options) (*eventloop.Loop, *Server, chan string) {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan string, 10)
	s, err := Listen(l, "127.0.0.1:0", o, func(x *Exchange) {
		target := x.Head.Target
		switch target {
		case "/later":
			l.After(0.01, func() { x.Respond(http1.Response{Status: 200, Body: []byte("later")}) })
		case "/never":
			x.OnDisconnect = func() { gone <- target }
		case "/stream":
			x.Respond(http1.Response{Status: 200, Stream: &numberStream{end: 1000}})
		default:
			x.Respond(http1.Response{Status: 200, Body: fmt.Appendf(nil, "%s %s %s", x.Head.Method, target, x.Body)})
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() { l.Stop(); <-done })
	return l, s, gone
}

// numberStream is a stream of numbers, one a line.
type numberStream struct{ next, end int }

func (c *numberStream) Pull(b []byte, room int) ([]byte, bool) {
	for limit := len(b) + room; c.next < c.end && len(b) < limit; c.next++ {
		b = fmt.Appendln(b, c.next)
	}
	return b, c.next == c.end
}
func (c *numberStream) Close() {}

func TestAgainstNetHTTPClient(t *testing.T) {
	o := DefaultOptions()
	o.Limits.Body = 100
	_, s, _ := startServer(t, o)
	base := "http://" + s.Addr()
	for _, c := range []struct {
		method, path, body string
		expect, chunked    bool
		code               int
		want               string
	}{
		{"GET", "/a", "", false, false, 200, "GET /a "}, {"POST", "/a", "xyz", false, false, 200, "POST /a xyz"},
		{"POST", "/a", "xyz", true, false, 200, "POST /a xyz"}, {"POST", "/a", "xyz", false, true, 200, "POST /a xyz"},
		{"HEAD", "/a", "", false, false, 200, ""}, {"GET", "/later", "", false, false, 200, "later"},
		{"POST", "/a", strings.Repeat("x", 100), false, false, 200, "POST /a " + strings.Repeat("x", 100)},
		{"POST", "/a", strings.Repeat("x", 101), false, false, 413, ""}, {"POST", "/a", strings.Repeat("x", 101), false, true, 413, ""},
	} {
		var body io.Reader
		if c.body != "" {
			body = strings.NewReader(c.body)
		}
		if c.chunked {
			body = io.MultiReader(body)
		}
		req, err := http.NewRequest(c.method, base+c.path, body)
		if err != nil {
			t.Fatal(err)
		}
		if c.expect {
			req.Header.Set("Expect", "100-continue")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s %s: %v", c.method, c.path, err)
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.code || c.want != "" && string(b) != c.want {
			t.Errorf("%s %s with %d bytes: %d %.200q", c.method, c.path, len(c.body), resp.StatusCode, b)
		}
	}
	resp, err := http.Get(base + "/stream")
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if lines := strings.Count(string(b), "\n"); err != nil || lines != 1000 {
		t.Errorf("stream: %d lines, %v", lines, err)
	}
}

// A peer that begins a request and does not end it is answered with 408; one that goes away is told of; HTTP/1.0 gets its stream to
// the end of the connection.
func TestTimeoutsAndEnds(t *testing.T) {
	o := DefaultOptions()
	o.RequestTimeoutSeconds = 0.1
	_, s, gone := startServer(t, o)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET / HT")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 408 {
		t.Errorf("half a request: %v, %v", resp, err)
	}
	c.Close()
	if c, err = net.Dial("tcp", s.Addr()); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /never HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(10 * time.Millisecond)
	c.Close()
	if got := <-gone; got != "/never" {
		t.Errorf("gone: %s", got)
	}
	if c, err = net.Dial("tcp", s.Addr()); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /stream HTTP/1.0\r\n\r\n")
	b, err := io.ReadAll(c)
	if err != nil || strings.Count(string(b), "\n") != 1000+strings.Count(string(b[:strings.Index(string(b), "\r\n\r\n")+4]), "\n") || strings.Contains(string(b), "chunked") {
		t.Errorf("stream to 1.0: %d bytes, %v", len(b), err)
	}
}

// With no descriptor left a connection is closed rather than left to spin on; those that are open go on.
func TestNoDescriptorsLeft(t *testing.T) {
	l, s, _ := startServer(t, DefaultOptions())
	open, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	r := bufio.NewReader(open)
	get := func() error {
		fmt.Fprint(open, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Skip(err)
	}
	// The client's sockets are made first: the limit then hits the accepting side.
	fds := make([]int, 0, 8)
	for range 8 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		fds = append(fds, fd)
	}
	restore := sync.OnceFunc(func() { unix.Setrlimit(unix.RLIMIT_NOFILE, &was) })
	defer restore()
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(fds[len(fds)-1]) + 1, Max: was.Max}); err != nil {
		t.Skip(err)
	}
	var port int
	fmt.Sscanf(s.Addr(), "127.0.0.1:%d", &port)
	for _, fd := range fds {
		if err := unix.Connect(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			t.Fatal(err)
		}
		if n, _ := unix.Read(fd, make([]byte, 1)); n > 0 {
			t.Error("an answer out of nothing")
		}
	}
	if err := get(); err != nil {
		t.Errorf("the open connection: %v", err)
	}
	restore()
	turns := make(chan uint64, 1)
	l.Post(func() { turns <- l.Iterations })
	if n := <-turns; n > 10000 {
		t.Errorf("%d turns of the loop: it spins", n)
	}
	for _, fd := range fds {
		unix.Close(fd)
	}
}
