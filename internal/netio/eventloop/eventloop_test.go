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

// echoHandler sends back what it receives.
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

// runLoop runs the loop until stop is called, which also reports the loop's error.
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
	t.Cleanup(func() { _ = conn.Close() }) // only frees the descriptor
	return conn
}

// sendAll writes b and ends the sending side; the peer reports what arrived.
func sendAll(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Errorf("write: %v", err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Errorf("close write: %v", err)
	}
}

func TestEchoTimersAndPosts(t *testing.T) {
	loop := newLoop(t)
	ends := make(chan error, 10)
	listener, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{func(err error) { ends <- err }} })
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
		t.Fatalf("%d bytes back, %v", len(got), err)
	}
	// io.EOF itself, not an error that wraps it.
	if err := <-ends; !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil {
		t.Errorf("ended with %v, want EOF", err)
	}
	order := make(chan int, 10)
	var ran atomic.Int32
	loop.Post(func() {
		loop.After(20*time.Millisecond, func() { order <- 2 })
		loop.After(10*time.Millisecond, func() { order <- 1 })
		loop.After(15*time.Millisecond, func() { ran.Add(1) }).Stop()
		loop.After(30*time.Millisecond, func() { order <- 3 })
	})
	for want := 1; want <= 3; want++ {
		if got := <-order; got != want {
			t.Errorf("timer %d ran when %d was due", got, want)
		}
	}
	if ran.Load() != 0 {
		t.Error("a stopped timer ran")
	}
	stop()
	loop.Post(func() { t.Error("ran after the end") })
}

func TestConnectionLimitAndDialErrors(t *testing.T) {
	loop := newLoop(t)
	loop.SetMaxConns(2)
	listener, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{func(error) {}} })
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 2)
	if _, err := loop.Dial(unusedAddress(t), time.Second, &echoHandler{func(err error) { failed <- err }}); err != nil {
		failed <- err
	}
	if _, err := loop.Dial("host:1", time.Second, &echoHandler{}); err == nil {
		t.Error("a name was dialed")
	}
	stop := startLoop(t, loop)
	if err := <-failed; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("dial of a closed port: %v", err)
	}
	rejected := 0
	for range 5 {
		if !receivesEcho(t, dial(t, listener.Addr())) {
			rejected++
		}
	}
	if rejected != 3 {
		t.Errorf("%d of 5 connections rejected, want 3", rejected)
	}
	stop()
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

// echoes reports whether a byte sent on the connection comes back, rather than the connection's end.
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

// TestConnStates checks that a connection only takes the transitions of the table, and that none leaves the closed state.
func TestConnStates(t *testing.T) {
	legal := map[connState][]connState{
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
			for _, next := range legal[from] {
				want = want || next == to
			}
			if got := transitionAllowed(from, to); got != want {
				t.Errorf("from %s to %s: taken %t, want %t", from, to, got, want)
			}
		}
	}
}

// transitions reports whether a connection goes from one state to another without panic.
func transitionAllowed(from, to connState) (taken bool) {
	defer func() { taken = recover() == nil }()
	(&Conn{state: from}).setState(to)
	return true
}
