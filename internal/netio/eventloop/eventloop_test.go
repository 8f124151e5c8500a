//go:build linux

package eventloop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

const readTimeout = 10 * time.Second

// echoHandler sends back the bytes that it receives.
type echoHandler struct{ onClosed func(error) }

func (e *echoHandler) Opened(*Conn)               {}
func (e *echoHandler) Data(c *Conn, b []byte) int { c.Write(b); return len(b) }
func (e *echoHandler) Drained(*Conn)              {}
func (e *echoHandler) Closed(_ *Conn, err error)  { e.onClosed(err) }

func newLoop(t *testing.T) *Loop {
	t.Helper()
	loop, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return loop
}

// startLoop runs the loop in the background until stop is called. stop fails the test if Run returned an
// error.
func startLoop(t *testing.T, loop *Loop) (stop func()) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	return func() {
		t.Helper()
		loop.Stop()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // Close only frees the descriptor, so its error does not matter.
	return conn
}

// sendAll writes b to the connection and shuts down the write side of the connection. The caller checks
// which bytes the server sends back.
func sendAll(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Errorf("writing to the connection failed: %v", err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Errorf("shutting down the write side of the connection failed: %v", err)
	}
}

func TestEchoTimersAndPosts(t *testing.T) {
	loop := newLoop(t)
	closeErrors := make(chan error, 10)
	listener, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{func(err error) { closeErrors <- err }} })
	if err != nil {
		t.Fatal(err)
	}
	stop := startLoop(t, loop)
	conn := dial(t, listener.Addr())
	sent := make([]byte, 3<<20)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go sendAll(t, conn, sent)
	got, err := io.ReadAll(conn)
	if err != nil || string(got) != string(sent[:len(got)]) {
		t.Fatalf("received an echo of %d bytes and error %v; want bytes equal to those that were sent, and no error", len(got), err)
	}
	// The error must be io.EOF itself, not an error that wraps it.
	if err := <-closeErrors; !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil {
		t.Errorf("Handler.Closed received error %v, want io.EOF itself because the client closed the connection", err)
	}
	timerOrder := make(chan int, 10)
	var stoppedTimerRuns atomic.Int32
	loop.Post(func() {
		loop.After(20*time.Millisecond, func() { timerOrder <- 2 })
		loop.After(10*time.Millisecond, func() { timerOrder <- 1 })
		loop.After(15*time.Millisecond, func() { stoppedTimerRuns.Add(1) }).Stop()
		loop.After(30*time.Millisecond, func() { timerOrder <- 3 })
	})
	for want := 1; want <= 3; want++ {
		if got := <-timerOrder; got != want {
			t.Errorf("timer %d ran, want timer %d because timers run in the order of their due times", got, want)
		}
	}
	if stoppedTimerRuns.Load() != 0 {
		t.Error("a timer ran although Timer.Stop had been called on it")
	}
	stop()
	loop.Post(func() { t.Error("the loop ran a function that was posted after the loop had stopped") })
}

func TestConnectionLimitAndDialErrors(t *testing.T) {
	loop := newLoop(t)
	loop.SetMaxConns(2)
	listener, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{func(error) {}} })
	if err != nil {
		t.Fatal(err)
	}
	dialErrors := make(chan error, 2)
	if _, err := loop.Dial(unusedAddress(t), time.Second, &echoHandler{func(err error) { dialErrors <- err }}); err != nil {
		dialErrors <- err
	}
	if _, err := loop.Dial("host:1", time.Second, &echoHandler{}); err == nil {
		t.Error("Dial accepted the host name in host:1, want an error because Dial takes only literal IP addresses")
	}
	stop := startLoop(t, loop)
	if err := <-dialErrors; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("dialing a port where nothing listens ended with error %v, want an error other than io.EOF", err)
	}
	rejected := 0
	for range 5 {
		if !receivesEcho(t, dial(t, listener.Addr())) {
			rejected++
		}
	}
	if rejected != 3 {
		t.Errorf("%d of 5 connections were closed without an echo at a limit of 2 open connections, want 3", rejected)
	}
	stop()
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

// receivesEcho sends a byte on the connection and reports whether the byte comes back. It reports false if
// the connection is closed instead.
func receivesEcho(t *testing.T, conn net.Conn) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

// TestConnStates checks that setState makes the transitions that the table in this test lists, and
// panics at all other transitions. No transition leaves the closed state.
func TestConnStates(t *testing.T) {
	allowed := map[connState][]connState{
		stateDialing:          {stateDialingThenClose, stateOpen, stateClosed},
		stateDialingThenClose: {stateClosing, stateClosed},
		stateOpen:             {stateClosing, stateClosed},
		stateClosing:          {stateLingering, stateClosed},
		stateLingering:        {stateClosed},
		stateClosed:           nil,
	}
	for from := stateDialing; from <= stateClosed; from++ {
		for to := stateDialing; to <= stateClosed; to++ {
			want := false
			for _, next := range allowed[from] {
				want = want || next == to
			}
			if got := transitionAllowed(from, to); got != want {
				t.Errorf("setState allows the transition from state %q to state %q: got %t, want %t", from, to, got, want)
			}
		}
	}
}

// transitionAllowed reports whether setState makes a transition without a panic.
func transitionAllowed(from, to connState) (allowed bool) {
	defer func() { allowed = recover() == nil }()
	(&Conn{state: from}).setState(to)
	return true
}
