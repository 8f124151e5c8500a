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

// echoHandler sends back what it gets, a bounded amount at a time.
type echoHandler struct{ onClosed func(error) }

func (e *echoHandler) Opened(*Conn)               {}
func (e *echoHandler) Data(c *Conn, b []byte) int { c.Write(b); return len(b) }
func (e *echoHandler) Drained(*Conn)              {}
func (e *echoHandler) Closed(_ *Conn, err error)  { e.onClosed(err) }

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestEchoTimersAndPosts(t *testing.T) {
	l := newLoop(t)
	ends := make(chan error, 10)
	ln, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{func(err error) { ends <- err }} })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	c, err := net.Dial("tcp", ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	sent := make([]byte, 3<<20)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go func() { c.Write(sent); c.(*net.TCPConn).CloseWrite() }()
	got, err := io.ReadAll(c)
	if err != nil || string(got) != string(sent[:len(got)]) {
		t.Fatalf("%d bytes back, %v", len(got), err)
	}
	if err := <-ends; err != io.EOF {
		t.Errorf("ended with %v, want EOF", err)
	}
	order := make(chan int, 10)
	var ran atomic.Int32
	l.Post(func() {
		l.After(0.02, func() { order <- 2 })
		l.After(0.01, func() { order <- 1 })
		l.After(0.015, func() { ran.Add(1) }).Stop()
		l.After(0.03, func() { order <- 3 })
	})
	for want := 1; want <= 3; want++ {
		if n := <-order; n != want {
			t.Errorf("timer %d came where %d was due", n, want)
		}
	}
	if ran.Load() != 0 {
		t.Error("a stopped timer ran")
	}
	l.Stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	l.Post(func() { t.Error("ran after the end") })
}

func TestConnectionLimitAndDialErrors(t *testing.T) {
	l := newLoop(t)
	l.SetMaxConns(2)
	ln, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{func(error) {}} })
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 2)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closed.Addr().String()
	closed.Close()
	if _, err := l.Dial(addr, 1, &echoHandler{func(err error) { failed <- err }}); err != nil {
		failed <- err
	}
	if _, err := l.Dial("host:1", 1, &echoHandler{}); err == nil {
		t.Error("a name was dialled")
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	if err := <-failed; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("dial of a closed port: %v", err)
	}
	var conns []net.Conn
	refused := 0
	for range 5 {
		c, err := net.Dial("tcp", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		c.Write([]byte("x"))
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			refused++
		}
	}
	if refused != 3 {
		t.Errorf("%d of 5 connections refused, want 3", refused)
	}
	for _, c := range conns {
		c.Close()
	}
	l.Stop()
	<-done
}
