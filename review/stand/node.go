package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// admitDelay is how long a node looks at one set-up.
const admitDelay = 20 * time.Millisecond

// nodeIdle is permissions.connIdleS of the settings.
const nodeIdle = 15 * time.Second

// run is a task that a node has started.
type run struct {
	node       *node
	uid, key   string
	class      string
	conn       *nodeConn // the connection of its set-up
	start, end time.Time // end is zero while the task runs
}

// node is a node of the platform. It accepts every set-up and runs each task until it is told to stop it or
// until endTask is called. It can be cut off from the scheduler: then open connections stay open and silent,
// and new ones never come up. Its tasks run on meanwhile.
type node struct {
	w         *world
	uid, addr string
	zone      string
	kind      string
	rack      int
	listener  *net.TCPListener

	mu    sync.Mutex
	joins *sync.Cond // signals the end of a cut
	cut   bool
	conns []*nodeConn
	runs  []*run
	owed  []*message // releases that are sent on the next connection opened as well

	life time.Duration // how long a task runs; 0 if it runs until endTask is called
}

type nodeConn struct {
	node *node
	net.Conn
	writing sync.Mutex
}

func startNode(w *world, uid, zone, kind string, rack int) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{w: w, uid: uid, addr: listener.Addr().String(), zone: zone, kind: kind, rack: rack, listener: listener.(*net.TCPListener)}
	n.joins = sync.NewCond(&n.mu)
	go n.accept()
	return n, nil
}

// entry returns the node's entry in an event of the bulletin.
func (n *node) entry(freeCores, freeMemory float64) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":%d,"state":"in_service","capacity_hint":1,"boot_ms":0,"open":[%g,%g]}`,
		n.uid, n.addr, n.zone, n.kind, n.rack, freeCores, freeMemory)
}

// awaitJoined blocks while the node is cut off.
func (n *node) awaitJoined() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut {
		n.joins.Wait()
	}
}

// cutOff cuts the node off from the scheduler for the given time. So that new connections never come up, the
// node accepts none and fills its own short queue of them: the kernel then drops what asks for a connection.
func (n *node) cutOff(length time.Duration) error {
	n.mu.Lock()
	n.cut = true
	n.mu.Unlock()
	n.w.note("network: node %s is cut off for %v", n.uid, length)
	if err := n.setBacklog(0); err != nil {
		return err
	}
	var fillers []net.Conn
	full := false
	for range 20 {
		filler, err := net.DialTimeout("tcp", n.addr, 150*time.Millisecond)
		if err != nil {
			full = true
			break
		}
		fillers = append(fillers, filler)
	}
	if !full {
		return fmt.Errorf("the queue of connections of node %s does not fill", n.uid)
	}
	time.AfterFunc(length, func() {
		for _, filler := range fillers {
			filler.Close()
		}
		_ = n.setBacklog(128)
		n.mu.Lock()
		n.cut = false
		n.joins.Broadcast()
		n.mu.Unlock()
		n.w.note("network: node %s can be reached again", n.uid)
	})
	return nil
}

func (n *node) setBacklog(length int) error {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}

func (n *node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.awaitJoined()
		n.w.note("node %s: connection from %s is opened", n.uid, conn.RemoteAddr())
		nc := &nodeConn{node: n, Conn: conn}
		n.mu.Lock()
		n.conns = append(n.conns, nc)
		owed := n.owed
		n.owed = nil
		n.mu.Unlock()
		for _, release := range owed {
			nc.send(release)
		}
		go nc.read()
	}
}

func (nc *nodeConn) read() {
	n := nc.node
	defer nc.forget()
	reader := bufio.NewReader(nc.Conn)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(nodeIdle))
		line, err := reader.ReadBytes('\n')
		n.awaitJoined()
		if err != nil {
			n.w.note("node %s, connection from %s: ended (%v)", n.uid, nc.RemoteAddr(), err)
			return
		}
		var msg message
		if json.Unmarshal(line, &msg) != nil {
			return
		}
		n.w.note("scheduler > node %s, connection from %s: %s", n.uid, nc.RemoteAddr(), line[:len(line)-1])
		nc.handle(&msg)
	}
}

func (nc *nodeConn) forget() {
	nc.Close()
	n := nc.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, other := range n.conns {
		if other == nc {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			return
		}
	}
}

func (nc *nodeConn) handle(msg *message) {
	n := nc.node
	switch msg.Kind {
	case "check":
		one := 1
		nc.send(&message{Kind: "checked", UID: msg.UID, Reason: &one})
	case "launch":
		time.Sleep(admitDelay)
		started := &run{node: n, uid: msg.UID, key: msg.Meta["key"], class: msg.Meta["class"], conn: nc, start: time.Now()}
		n.mu.Lock()
		n.runs = append(n.runs, started)
		n.mu.Unlock()
		n.w.note("node %s runs task %s (key %s, class %s)", n.uid, started.uid, started.key, started.class)
		if n.life > 0 {
			time.AfterFunc(n.life, func() { n.endTask(msg.UID, 16) })
		}
		body := "placed at " + n.uid + " for " + msg.UID
		nc.send(&message{Kind: "running", UID: msg.UID, Body: &body})
	case "stop":
		n.endTask(msg.UID, 31)
	}
}

// endTask ends a task and reports its end with the given cause. It returns false if the task does not run.
func (n *node) endTask(uid string, cause int) bool {
	n.mu.Lock()
	var ended *run
	for _, r := range n.runs {
		if r.uid == uid && r.end.IsZero() {
			ended = r
		}
	}
	if ended == nil {
		n.mu.Unlock()
		return false
	}
	ended.end = time.Now()
	release := stopMessage(uid, cause)
	n.owed = append(n.owed, release)
	var conn *nodeConn
	for _, open := range n.conns {
		if conn == nil || open == ended.conn {
			conn = open
		}
	}
	n.mu.Unlock()
	n.w.note("node %s: task %s (key %s) has ended, cause %d", n.uid, uid, ended.key, cause)
	if conn != nil {
		conn.write(release)
	}
	return true
}

// holds reports whether a task runs at the node.
func (n *node) holds(uid string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		if r.uid == uid && r.end.IsZero() {
			return true
		}
	}
	return false
}

// endOf returns when a task ended at the node.
func (n *node) endOf(uid string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		if r.uid == uid {
			return r.end
		}
	}
	return time.Time{}
}

func (n *node) runsSoFar() []run {
	n.mu.Lock()
	defer n.mu.Unlock()
	var runs []run
	for _, r := range n.runs {
		runs = append(runs, *r)
	}
	return runs
}

func (nc *nodeConn) send(msg *message) {
	nc.node.awaitJoined()
	nc.write(msg)
}

// write writes a message at once, also while the node is cut off or stands still.
func (nc *nodeConn) write(msg *message) {
	nc.writing.Lock()
	defer nc.writing.Unlock()
	n := nc.node
	text := msg.line()
	n.w.note("node %s, connection from %s > scheduler: %s", n.uid, nc.RemoteAddr(), text[:len(text)-1])
	if _, err := io.WriteString(nc.Conn, text); err != nil {
		n.w.note("node %s, connection from %s: %v", n.uid, nc.RemoteAddr(), err)
	}
}
