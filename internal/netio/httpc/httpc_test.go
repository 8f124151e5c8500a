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

// callResult holds the response and the error that a call passed to OnDone.
type callResult struct {
	status int
	body   string
	err    error
}

// unusedAddress returns a TCP address at which no server listens.
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

// startFixedResponseServer starts a server that responds to the first request on each connection with fixed
// bytes. The server then closes the connection or, if keepOpen is set, waits until the client closes it.
// The function returns the address of the server.
func startFixedResponseServer(t *testing.T, response string, keepOpen bool) string {
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
				return // The listener is closed.
			}
			go serveFixedResponse(conn, response, keepOpen)
		}
	}()
	return listener.Addr().String()
}

func serveFixedResponse(conn net.Conn, response string, keepOpen bool) {
	defer func() { _ = conn.Close() }() // The error is ignored, because the client may have closed the connection already.
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	if keepOpen {
		_, _ = io.Copy(io.Discard, conn) // Copy blocks until the client closes the connection.
	}
}

// doAndWait sends a request with Client.Do on the goroutine of the loop, waits until the call has
// ended, and returns the response or error that OnDone received. If prepare is not nil, it is called on
// the same goroutine directly after Client.Do.
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
		t.Fatal("OnDone was not called within testTimeout")
		return callResult{}
	}
}

func TestResponses(t *testing.T) {
	loop := looptest.Start(t)
	for _, test := range []struct {
		name, method, response string
		keepOpen               bool
		status                 int
		body, wantErr          string
	}{
		{name: "body with Content-Length", method: "GET", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", keepOpen: true, status: 200, body: "ab"},
		{name: "chunked body", method: "GET", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", keepOpen: true, status: 200, body: "ab"},
		{name: "body that ends when the connection is closed", method: "GET", response: "HTTP/1.1 200 OK\r\n\r\nab", status: 200, body: "ab"},
		{name: "response to a HEAD request has no body", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", keepOpen: true, status: 200},
		{name: "interim response is followed by the final response", method: "POST", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx", keepOpen: true, status: 201, body: "x"},
		{name: "response with an error status", method: "GET", response: "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nbusy", keepOpen: true, status: 503, body: "busy"},
		{name: "server closes the connection within the body", method: "GET", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", wantErr: ": connection broke: EOF"},
		{name: "server closes the connection without a response", method: "GET", wantErr: ": connection broke: EOF"},
		{name: "status code that is not a number", method: "GET", response: "HTTP/1.1 2x0 OK\r\n\r\n", keepOpen: true, wantErr: ": http: malformed status"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := doAndWait(t, loop, startFixedResponseServer(t, test.response, test.keepOpen), test.method, 5*time.Second, nil)
			if test.wantErr != "" {
				var connectError *ConnectError
				if got.err == nil || !strings.Contains(got.err.Error(), test.wantErr) || errors.As(got.err, &connectError) {
					t.Fatalf("the call ended with error %v; want an error that contains %q and is not a *ConnectError", got.err, test.wantErr)
				}
				return
			}
			if got.err != nil || got.status != test.status || got.body != test.body {
				t.Fatalf("the call ended with status %d, body %q and error %v; want the status and body of the test case and no error", got.status, got.body, got.err)
			}
		})
	}
}

// TestStream checks that a streaming call passes the response body to OnBodyData, and that OnDone is called
// without a body when the response is complete.
func TestStream(t *testing.T) {
	loop := looptest.Start(t)
	var pieces strings.Builder
	headStatus := 0
	addr := startFixedResponseServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", true)
	results := make(chan callResult, 1)
	loop.Post(func() {
		New(loop, addr).Do("GET", "/", nil, nil, 0, &Call{
			OnResponseHead: func(head *http1.Head) { headStatus = head.Status },
			OnBodyData:     func(b []byte) { pieces.Write(b) },
			OnDone: func(_ *http1.Head, body []byte, err error) {
				results <- callResult{headStatus, pieces.String() + string(body), err}
			},
		})
	})
	if got := <-results; got.err != nil || got.status != 200 || got.body != "abc" {
		t.Errorf("the streaming call ended with status %d, body %q and error %v; want status 200, body \"abc\" and no error", got.status, got.body, got.err)
	}
}

// TestErrors checks that the error of a failed call is a *ConnectError exactly if the request was never
// sent. Callers use this to tell whether the server may have read the request.
func TestErrors(t *testing.T) {
	loop := looptest.Start(t)
	unusedAddr := unusedAddress(t)
	silentServer := startFixedResponseServer(t, "", true)
	cancelAfter := func(d time.Duration) func(*Call) {
		return func(call *Call) { loop.After(d, call.Cancel) }
	}
	for _, test := range []struct {
		name, addr string
		timeout    time.Duration
		prepare    func(*Call)
		// want is the error that the error of the call must wrap. If it is nil, any error is accepted.
		want      error
		neverSent bool
	}{
		{name: "no server listens at the address", addr: unusedAddr, timeout: 5 * time.Second, neverSent: true},
		{name: "host name instead of a literal IP address", addr: "host:1", timeout: 5 * time.Second, neverSent: true},
		{name: "call is cancelled before its connection is established", addr: silentServer, prepare: (*Call).Cancel, want: ErrCancelled, neverSent: true},
		{name: "call is cancelled after its request was sent", addr: silentServer, prepare: cancelAfter(200 * time.Millisecond), want: ErrCancelled},
		{name: "call is withdrawn before its request is sent", addr: silentServer, prepare: func(call *Call) { call.MaySend = func() bool { return false } }, want: ErrNotSent, neverSent: true},
		{name: "server sends no response within the timeout of the call", addr: silentServer, timeout: 200 * time.Millisecond, want: ErrTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := doAndWait(t, loop, test.addr, "GET", test.timeout, test.prepare)
			var connectError *ConnectError
			if neverSent := errors.As(got.err, &connectError); got.err == nil || neverSent != test.neverSent {
				t.Errorf("the call ended with error %v; got a *ConnectError: %t, want a *ConnectError: %t (a *ConnectError means that the request was never sent)", got.err, neverSent, test.neverSent)
			}
			if test.want != nil && !errors.Is(got.err, test.want) {
				t.Errorf("the call ended with error %v, want an error that wraps %v", got.err, test.want)
			}
		})
	}
}

// TestCloseFailsWaitingCalls checks that calls wait for a connection when the limit of the pool is reached,
// and that Client.Close ends the waiting calls with ErrCancelled. The call that has a connection continues
// until its timeout.
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
			t.Errorf("the call ended with error %v, want ErrCancelled or ErrTimeout", err)
		}
	}
	if cancelled != calls-1 {
		t.Errorf("Client.Close cancelled %d of %d calls, want all but the one call that has a connection", cancelled, calls)
	}
}
