package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// ownerConn is a connection from an owner, or from the front, to the scheduler. It records what it receives.
type ownerConn struct {
	world *world
	name  string
	conn  net.Conn

	mu       sync.Mutex
	received []receivedMessage
	closedAt time.Time
	quiet    bool
}

type receivedMessage struct {
	message
	at time.Time
}

// connect opens a connection to the scheduler.
func (w *world) connect(name string) *ownerConn {
	conn, err := net.DialTimeout("tcp", w.scheduler.listen, 2*time.Second)
	if err != nil {
		w.logf(name, "cannot connect: %v", err)
		return nil
	}
	c := &ownerConn{world: w, name: name, conn: conn}
	w.logf(name, "connected from %s", conn.LocalAddr())
	go c.read()
	return c
}

func (c *ownerConn) read() {
	reader := bufio.NewReaderSize(c.conn, 64<<10)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			c.mu.Lock()
			c.closedAt = time.Now()
			c.mu.Unlock()
			c.world.logf(c.name, "connection ended: %v", err)
			_ = c.conn.Close()
			return
		}
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			c.world.logf(c.name, "cannot read %.80q", line)
			continue
		}
		c.mu.Lock()
		c.received = append(c.received, receivedMessage{m, time.Now()})
		c.mu.Unlock()
		if !c.quiet {
			c.world.logf(c.name, "got %s", &m)
		}
	}
}

func (c *ownerConn) send(m *message) error {
	c.world.logf(c.name, "sends %s", m)
	_, err := c.conn.Write(m.line())
	return err
}

// reset resets the connection.
func (c *ownerConn) reset() {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
	c.world.logf(c.name, "the connection was reset")
}

// closed reports whether the connection has ended.
func (c *ownerConn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closedAt.IsZero()
}

// find returns the first message of the given kind about a task that arrived after the given time.
func (c *ownerConn) find(kind, uid string, after time.Time) (receivedMessage, bool) {
	if c == nil {
		return receivedMessage{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.received {
		if m.Kind == kind && m.UID == uid && m.at.After(after) {
			return m, true
		}
	}
	return receivedMessage{}, false
}

// count returns how many messages of the given kind have arrived.
func (c *ownerConn) count(kind string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, m := range c.received {
		if m.Kind == kind {
			count++
		}
	}
	return count
}

// await waits for a message of the given kind about a task.
func (c *ownerConn) await(kind, uid string, timeout time.Duration) (receivedMessage, bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if m, found := c.find(kind, uid, time.Time{}); found {
			return m, true
		}
	}
	return receivedMessage{}, false
}

// launchMessage returns a set-up.
func launchMessage(uid, key, class string, left time.Duration, extras string) *message {
	return &message{
		Kind: "launch", UID: uid,
		Meta: map[string]string{
			"class": class, "left": fmt.Sprint(left.Milliseconds()), "tenant": "north", "key": key,
			"extras": "cores:0.5;memory:1;service:00000000b4d65521" + extras,
		},
		Body: "description of " + uid,
	}
}
