package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// owner is a client of the scheduler. It keeps all that it received on any of its connections.
type owner struct {
	w    *world
	name string
	// acknowledges is set if the owner answers each stop with stopped, which is free.
	acknowledges bool

	mu       sync.Mutex
	received []receipt
	conns    int
}

// receipt is a message that an owner received.
type receipt struct {
	message
	at time.Time
}

// ownerConn is one connection of an owner.
type ownerConn struct {
	owner *owner
	name  string
	net.Conn
	closed chan struct{}
}

// dial opens a connection to the scheduler, or to a proxy before it.
func (o *owner) dial(addr string) (*ownerConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	o.conns++
	c := &ownerConn{owner: o, name: fmt.Sprintf("%s, connection %d", o.name, o.conns), Conn: conn, closed: make(chan struct{})}
	o.mu.Unlock()
	o.w.note("%s: open", c.name)
	go c.read()
	return c, nil
}

func (c *ownerConn) read() {
	defer close(c.closed)
	reader := bufio.NewReader(c.Conn)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			c.owner.w.note("%s: ended (%v)", c.name, err)
			c.Close()
			return
		}
		var msg message
		if err := json.Unmarshal(line, &msg); err != nil {
			c.owner.w.note("%s: cannot be read: %q", c.name, line)
			continue
		}
		c.owner.w.note("scheduler > %s: %s", c.name, line[:len(line)-1])
		c.owner.mu.Lock()
		c.owner.received = append(c.owner.received, receipt{msg, time.Now()})
		c.owner.mu.Unlock()
		if msg.Kind == "stop" && c.owner.acknowledges {
			c.send(&message{Kind: "stopped", UID: msg.UID})
		}
	}
}

func (c *ownerConn) send(msg *message) {
	text := msg.line()
	c.owner.w.note("%s > scheduler: %s", c.name, text[:len(text)-1])
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.owner.w.note("%s: %v", c.name, err)
	}
}

// launch sends a set-up.
func (c *ownerConn) launch(uid, class, key string, left time.Duration) {
	body := "description of " + key
	c.send(&message{Kind: "launch", UID: uid, Body: &body, Meta: map[string]string{
		"class": class, "left": fmt.Sprint(left.Milliseconds()), "tenant": "localidad-norte", "key": key,
		"extras": "cores:0.5;memory:1;service:00000000b4d65521",
	}})
}

// find returns the first message of a kind about a task that was received at or after the given time.
func (o *owner) find(kind, uid string, since time.Time) (receipt, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.received {
		if r.Kind == kind && r.UID == uid && !r.at.Before(since) {
			return r, true
		}
	}
	return receipt{}, false
}

// await waits for a message of a kind about a task until the given time.
func (o *owner) await(kind, uid string, since, until time.Time) (receipt, bool) {
	for {
		if r, found := o.find(kind, uid, since); found {
			return r, true
		}
		if !time.Now().Before(until) {
			return receipt{}, false
		}
		time.Sleep(5 * time.Millisecond)
	}
}
