//go:build linux

package httpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/looptest"
)

const testTimeout = 10 * time.Second

// result is what a call's Done got.
type callResult struct {
	status int
	body   string
	err    error
}

// unusedAddress is an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startRaw starts a server that sends each connection the same bytes after a request, and then ends it unless it is to stay
// open. It returns its address.
func startFixedResponseServer(t *testing.T, response string, staysOpen bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			go serveFixedResponse(conn, response, staysOpen)
		}
	}()
	return listener.Addr().String()
}

func serveFixedResponse(conn net.Conn, response string, staysOpen bool) {
	defer func() { _ = conn.Close() }() // the client may have closed it already
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	if staysOpen {
		_, _ = io.Copy(io.Discard, conn) // until the client ends the connection
	}
}

// do makes a call on the loop and returns what its Done gets.
func doAndWait(t *testing.T, loop *eventloop.Loop, addr, method string, timeout time.Duration, prepare func(*Call)) callResult {
	t.Helper()
	results := make(chan callResult, 2)
	call := &Call{OnDone: func(head *http1.Head, body []byte, err error) {
		got := callResult{body: string(body), err: err}
		if head != nil {
			got.status = head.Status
		}
		results <- got
	}}
	loop.Post(func() {
		New(loop, addr).Do(method, "/", nil, nil, timeout, call)
		if prepare != nil {
			prepare(call)
		}
	})
	select {
	case got := <-results:
		return got
	case <-time.After(testTimeout):
		t.Fatal("no result")
		return callResult{}
	}
}

func TestResponses(t *testing.T) {
	loop := looptest.Start(t)
	for _, test := range []struct {
		name, method, response string
		staysOpen              bool
		status                 int
		body, wantErr          string
	}{
		{name: "length", method: "GET", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", staysOpen: true, status: 200, body: "ab"},
		{name: "chunked", method: "GET", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", staysOpen: true, status: 200, body: "ab"},
		{name: "until close", method: "GET", response: "HTTP/1.1 200 OK\r\n\r\nab", status: 200, body: "ab"},
		{name: "no body to HEAD", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", staysOpen: true, status: 200},
		{name: "after an interim response", method: "POST", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx", staysOpen: true, status: 201, body: "x"},
		{name: "error status", method: "GET", response: "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nbusy", staysOpen: true, status: 503, body: "busy"},
		{name: "cut short", method: "GET", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", wantErr: ": connection broke: EOF"},
		{name: "nothing", method: "GET", wantErr: ": connection broke: EOF"},
		{name: "malformed", method: "GET", response: "HTTP/1.1 2x0 OK\r\n\r\n", staysOpen: true, wantErr: ": http: malformed status"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := doAndWait(t, loop, startFixedResponseServer(t, test.response, test.staysOpen), test.method, 5*time.Second, nil)
			if test.wantErr != "" {
				var connectError *ConnectError
				if got.err == nil || !strings.Contains(got.err.Error(), test.wantErr) || errors.As(got.err, &connectError) {
					t.Fatalf("error %v, want %q", got.err, test.wantErr)
				}
				return
			}
			if got.err != nil || got.status != test.status || got.body != test.body {
				t.Fatalf("got %d %q, %v", got.status, got.body, got.err)
			}
		})
	}
}

// A stream's pieces go to Data as they come, and its end to Done.
func TestStream(t *testing.T) {
	loop := looptest.Start(t)
	var pieces strings.Builder
	started := 0
	addr := startFixedResponseServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", true)
	results := make(chan callResult, 1)
	loop.Post(func() {
		New(loop, addr).Do("GET", "/", nil, nil, 0, &Call{
			OnResponseHead: func(head *http1.Head) { started = head.Status },
			OnBodyData:     func(b []byte) { pieces.Write(b) },
			OnDone: func(_ *http1.Head, body []byte, err error) {
				results <- callResult{started, pieces.String() + string(body), err}
			},
		})
	})
	if got := <-results; got.err != nil || got.status != 200 || got.body != "abc" {
		t.Errorf("started with %d, got %q, %v", got.status, got.body, got.err)
	}
}

// The error tells whether the request may have been read.
func TestErrors(t *testing.T) {
	loop := looptest.Start(t)
	unused := unusedAddress(t)
	silent := startFixedResponseServer(t, "", true)
	cancelAfter := func(d time.Duration) func(*Call) {
		return func(call *Call) { loop.After(d, call.Cancel) }
	}
	for _, test := range []struct {
		name, addr string
		timeout    time.Duration
		prepare    func(*Call)
		want       error // nil: any
		neverSent  bool
	}{
		{name: "nothing listens", addr: unused, timeout: 5 * time.Second, neverSent: true},
		{name: "no address", addr: "host:1", timeout: 5 * time.Second, neverSent: true},
		{name: "cancelled at once", addr: silent, prepare: (*Call).Cancel, want: ErrCancelled, neverSent: true},
		{name: "cancelled after it was sent", addr: silent, prepare: cancelAfter(200 * time.Millisecond), want: ErrCancelled},
		{name: "timeout", addr: silent, timeout: 200 * time.Millisecond, want: ErrTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := doAndWait(t, loop, test.addr, "GET", test.timeout, test.prepare)
			var connectError *ConnectError
			if neverSent := errors.As(got.err, &connectError); got.err == nil || neverSent != test.neverSent {
				t.Errorf("error %v, never sent: %t, want %t", got.err, neverSent, test.neverSent)
			}
			if test.want != nil && !errors.Is(got.err, test.want) {
				t.Errorf("error %v, want %v", got.err, test.want)
			}
		})
	}
}

// Calls beyond the pool's limit wait for a connection, and Close fails those that still wait.
func TestCloseFailsWaitingCalls(t *testing.T) {
	loop := looptest.Start(t)
	addr := startFixedResponseServer(t, "", true)
	const calls = 40
	results := make(chan error, calls)
	loop.Post(func() {
		client := New(loop, addr)
		client.PoolPolicy.MaxConns = 1
		for i := range calls {
			call := &Call{OnDone: func(_ *http1.Head, _ []byte, err error) { results <- err }}
			client.Do("GET", fmt.Sprint("/", i), nil, nil, 300*time.Millisecond, call)
		}
		client.Close()
	})
	cancelled := 0
	for range calls {
		if err := <-results; errors.Is(err, ErrCancelled) {
			cancelled++
		} else if !errors.Is(err, ErrTimeout) {
			t.Errorf("error %v", err)
		}
	}
	if cancelled != calls-1 {
		t.Errorf("%d of %d calls cancelled, want all but the one with a connection", cancelled, calls)
	}
}
