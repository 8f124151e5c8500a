package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// node stands for one node. It accepts tasks, holds them until they are ended, and reports their ends on the
// connection of their set-up, otherwise on any open one, and on the next one that is opened as well.
type node struct {
	world *world
	name  string
	addr  string

	mu       sync.Mutex
	listener *net.TCPListener
	conns    []*nodeConn
	tasks    map[string]*nodeTask
	unsent   []*message      // unsent holds the ends that are reported on the next connection as well.
	refuse   bool            // refuse makes the node answer each set-up with cause 34.
	fail     bool            // fail makes the node answer each set-up with cause 47.
	asked    map[string]bool // asked holds the ids of all set-ups that came.
	full     bool            // full makes the node answer each set-up with cause 34.
	// lookTime is how long the node looks at one set-up, if it looks at one at a time. It then answers with
	// cause 47, since it cannot use the description.
	lookTime time.Duration
	waiting  map[string]waitingAsk
	asks     chan string
	// spoil, if it is set, chooses the set-ups whose answers never arrive; their connections are of no further use.
	spoil func(c *nodeConn, m *message) bool
	quiet bool // quiet keeps set-ups and their answers out of the record.
}

// waitingAsk is a set-up at which the node has not looked yet.
type waitingAsk struct {
	conn *nodeConn
	m    message
}

type nodeTask struct {
	uid, key   string
	conn       *nodeConn
	stands     bool
	endedAt    time.Time
	endedBy    string // endedBy says who ended the task: "itself" or "scheduler".
	acceptedAt time.Time
}

type nodeConn struct {
	openedAt time.Time
	node     *node
	conn     net.Conn
	output   chan []byte
	// useless makes what is sent on the connection, in either direction, get lost, while it stays open.
	useless atomic.Bool
}

// startNode starts a node at a free loopback address, or at the given one.
func (w *world) startNode(name, addr string) *node {
	if addr == "" {
		addr = freeAddress()
	}
	n := &node{world: w, name: name, addr: addr, tasks: map[string]*nodeTask{}, asked: map[string]bool{}}
	n.listen()
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) listen() {
	listener, err := net.Listen("tcp", n.addr)
	if err != nil {
		giveUp("node %s: %v", n.name, err)
	}
	n.mu.Lock()
	n.listener = listener.(*net.TCPListener)
	n.mu.Unlock()
	n.world.logf(n.name, "listens on %s", n.addr)
	go n.accept(n.listener)
}

func (n *node) entry(state string, bootMS int64) rosterEntry {
	return rosterEntry{UID: n.name, Endpoint: n.addr, Zone: "room-a", Model: "standard", PodGroup: 1, State: state, CapacityHint: 4, BootMS: bootMS, Open: [2]float64{60, 100}}
}

func (n *node) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		c := &nodeConn{node: n, conn: conn, openedAt: time.Now(), output: make(chan []byte, 100000)}
		n.conns = append(n.conns, c)
		reports := n.unsent
		n.unsent = nil
		n.mu.Unlock()
		n.world.logf(n.name, "connection from %s", conn.RemoteAddr())
		for _, report := range reports {
			c.send(report)
		}
		go c.write()
		go c.read()
	}
}

func (c *nodeConn) send(m *message) {
	if !c.node.quiet {
		c.node.world.logf(c.node.name, "sends %s", m)
	}
	select {
	case c.output <- m.line():
	default:
	}
}

func (c *nodeConn) write() {
	for line := range c.output {
		if c.useless.Load() {
			continue
		}
		if _, err := c.conn.Write(line); err != nil {
			return
		}
	}
}

func (c *nodeConn) read() {
	reader := bufio.NewReaderSize(c.conn, 64<<10)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			c.closed(err)
			return
		}
		if c.useless.Load() {
			continue
		}
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			c.node.world.logf(c.node.name, "cannot read %.80q: %v", line, err)
			_ = c.conn.Close()
			continue
		}
		c.node.handle(c, &m)
	}
}

func (c *nodeConn) closed(err error) {
	n := c.node
	n.mu.Lock()
	for i, other := range n.conns {
		if other == c {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			break
		}
	}
	n.mu.Unlock()
	_ = c.conn.Close()
	n.world.logf(n.name, "connection from %s ended: %v", c.conn.RemoteAddr(), err)
}

func (n *node) handle(c *nodeConn, m *message) {
	switch m.Kind {
	case "check":
		select {
		case c.output <- checkedMessage(m.UID).line():
		default:
		}
		return
	case "launch":
		n.handleLaunch(c, m)
	case "stop":
		if !n.quiet {
			n.world.logf(n.name, "got %s", m)
		}
		n.handleStop(c, m)
	}
}

func (n *node) handleLaunch(c *nodeConn, m *message) {
	if !n.quiet {
		n.world.logf(n.name, "got %s class %s", m, m.Meta["class"])
	}
	n.mu.Lock()
	n.asked[m.UID] = true
	if n.full {
		n.mu.Unlock()
		answer := stopMessage(m.UID, causeFull)
		answer.Meta = map[string]string{"note": "cpu_full"}
		c.send(answer)
		return
	}
	if n.lookTime > 0 {
		n.waiting[m.UID] = waitingAsk{c, *m}
		n.mu.Unlock()
		n.asks <- m.UID
		return
	}
	n.mu.Unlock()
	n.acceptTask(c, m)
}

// lookAtOneAtATime makes the node look at one set-up at a time. It answers those with a description that it cannot
// use with cause 47, and accepts the others.
func (n *node) lookAtOneAtATime(lookTime time.Duration) {
	n.quiet = true
	n.lookTime, n.waiting, n.asks = lookTime, map[string]waitingAsk{}, make(chan string, 1000000)
	go func() {
		for uid := range n.asks {
			n.mu.Lock()
			ask, waits := n.waiting[uid]
			delete(n.waiting, uid)
			n.mu.Unlock()
			if !waits {
				continue // The set-up was given up.
			}
			time.Sleep(lookTime)
			if strings.HasPrefix(ask.m.Body, unusable) {
				ask.conn.send(stopMessage(uid, 47))
				continue
			}
			n.acceptTask(ask.conn, &ask.m)
		}
	}()
}

// unusable is how descriptions begin that no node can use.
const unusable = "xxxx"

// acceptTask holds a task and answers its set-up.
func (n *node) acceptTask(c *nodeConn, m *message) {
	n.mu.Lock()
	n.tasks[m.UID] = &nodeTask{uid: m.UID, key: m.Meta["key"], conn: c, stands: true, acceptedAt: time.Now()}
	if n.spoil != nil && n.spoil(c, m) {
		n.world.logf(n.name, "the answer to %s never arrives; the connection from %s stays open and is of no further use", m.UID, c.conn.RemoteAddr())
		c.useless.Store(true)
	}
	n.mu.Unlock()
	c.send(&message{Kind: "running", UID: m.UID, Body: "answer of " + n.name + " for " + m.UID})
}

// handleStop handles a release by the scheduler: the task is cut, and the node reports that.
func (n *node) handleStop(c *nodeConn, m *message) {
	n.mu.Lock()
	delete(n.waiting, m.UID)
	n.mu.Unlock()
	n.end(m.UID, causeCancelled, "scheduler")
}

// endTask ends a task by itself.
func (n *node) endTask(uid string) { n.end(uid, causeEnd, "itself") }

func (n *node) end(uid string, cause int, by string) {
	n.mu.Lock()
	task := n.tasks[uid]
	if task == nil || !task.stands {
		n.mu.Unlock()
		return
	}
	task.stands, task.endedAt, task.endedBy = false, time.Now(), by
	report := stopMessage(task.uid, cause)
	var conn *nodeConn
	for _, c := range n.conns {
		if conn == nil || c == task.conn {
			conn = c
		}
	}
	n.unsent = append(n.unsent, report)
	n.mu.Unlock()
	n.world.logf(n.name, "task %s is over (ended by %s)", uid, by)
	if conn != nil {
		conn.send(report)
	}
}

// stands reports whether the node holds a task.
func (n *node) stands(uid string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	task := n.tasks[uid]
	return task != nil && task.stands
}

func (n *node) task(uid string) nodeTask {
	n.mu.Lock()
	defer n.mu.Unlock()
	if task := n.tasks[uid]; task != nil {
		return *task
	}
	return nodeTask{}
}

// hold adds a task that another scheduler has placed on the node.
func (n *node) hold(uid, key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tasks[uid] = &nodeTask{uid: uid, key: key, stands: true, acceptedAt: time.Now()}
	n.world.logf(n.name, "holds task %s, which another scheduler has placed", uid)
}

func (n *node) String() string { return fmt.Sprint(n.name, " at ", n.addr) }
