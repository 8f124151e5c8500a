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

// callResult holds the arguments that OnDone received.
type callResult struct {
	status int
	body   string
	err    error
}

// unusedAddress returns an address at which nothing listens.
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

// startFixedResponseServer starts a server that answers the first request on each connection with fixed
// bytes. It then closes the connection, or keeps it open until the client closes it. It returns the address
// of the server.
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
	defer func() { _ = conn.Close() }() // The client may have closed the connection already.
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	if keepOpen {
		_, _ = io.Copy(io.Discard, conn) // This blocks until the client closes the connection.
	}
}

// doAndWait makes a call on the loop and returns the result that OnDone receives.
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
		t.Fatal("OnDone was not called within the test timeout")
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
		{name: "body that ends with the connection", method: "GET", response: "HTTP/1.1 200 OK\r\n\r\nab", status: 200, body: "ab"},
		{name: "response to HEAD has no body", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", keepOpen: true, status: 200},
		{name: "final response after an interim response", method: "POST", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx", keepOpen: true, status: 201, body: "x"},
		{name: "response with an error status", method: "GET", response: "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nbusy", keepOpen: true, status: 503, body: "busy"},
		{name: "connection closed within the body", method: "GET", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", wantErr: ": connection broke: EOF"},
		{name: "connection closed without a response", method: "GET", wantErr: ": connection broke: EOF"},
		{name: "malformed status line", method: "GET", response: "HTTP/1.1 2x0 OK\r\n\r\n", keepOpen: true, wantErr: ": http: malformed status"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := doAndWait(t, loop, startFixedResponseServer(t, test.response, test.keepOpen), test.method, 5*time.Second, nil)
			if test.wantErr != "" {
				var connectError *ConnectError
				if got.err == nil || !strings.Contains(got.err.Error(), test.wantErr) || errors.As(got.err, &connectError) {
					t.Fatalf("call failed with error %v, want one that contains %q and is no *ConnectError", got.err, test.wantErr)
				}
				return
			}
			if got.err != nil || got.status != test.status || got.body != test.body {
				t.Fatalf("got status %d, body %q and error %v; want the status and body that the server sent and no error", got.status, got.body, got.err)
			}
		})
	}
}

// TestStream checks that OnBodyData receives the body in pieces and that OnDone is called at its end
// without a body.
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
		t.Errorf("got status %d, body %q and error %v; want status 200, body \"abc\" and no error", got.status, got.body, got.err)
	}
}

// TestErrors checks that the error is a *ConnectError exactly if the request was never sent. Callers rely
// on this to know whether the server may have read the request.
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
		// want is the error that the result must wrap. If it is nil, any error will do.
		want      error
		neverSent bool
	}{
		{name: "nothing listens at the address", addr: unusedAddr, timeout: 5 * time.Second, neverSent: true},
		{name: "host name instead of a literal address", addr: "host:1", timeout: 5 * time.Second, neverSent: true},
		{name: "cancelled before the connection is established", addr: silentServer, prepare: (*Call).Cancel, want: ErrCancelled, neverSent: true},
		{name: "cancelled after the request was sent", addr: silentServer, prepare: cancelAfter(200 * time.Millisecond), want: ErrCancelled},
		{name: "no response within the timeout", addr: silentServer, timeout: 200 * time.Millisecond, want: ErrTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := doAndWait(t, loop, test.addr, "GET", test.timeout, test.prepare)
			var connectError *ConnectError
			if neverSent := errors.As(got.err, &connectError); got.err == nil || neverSent != test.neverSent {
				t.Errorf("call failed with error %v, which says that the request was never sent: %t, want %t", got.err, neverSent, test.neverSent)
			}
			if test.want != nil && !errors.Is(got.err, test.want) {
				t.Errorf("call failed with error %v, want %v", got.err, test.want)
			}
		})
	}
}

// TestCloseFailsWaitingCalls checks that calls over the connection limit of the pool wait, and that Close
// fails those that wait. The call that has a connection continues until its timeout.
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
			t.Errorf("call failed with %v, want ErrCancelled or ErrTimeout", err)
		}
	}
	if cancelled != calls-1 {
		t.Errorf("Close cancelled %d of %d calls, want all but the one that has a connection", cancelled, calls)
	}
}
