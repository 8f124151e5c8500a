package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Limits of the platform's pages that the cases judge by.
const (
	socketSlack   = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
	releaseWithin = 8 * time.Second       // a release that could not be sent at once, counted from the end of the task
	// runsTwice is how long two nodes may run one task of a class that must never be started twice, so that a
	// stop order may be on its way. The pages allow no time at all.
	runsTwice = time.Second
)

const (
	unsafeClass = "asignacion-cupos"
	safeClass   = "web-consulta"
)

// deployment is one scheduler with its owner, its nodes and its discovery service.
type deployment struct {
	*world
	owner *owner
	nodes []*node
}

// deploy starts large nodes in the scheduler's room, which the list shows as full if largeFull is set, and one
// small node in the other room, and the scheduler. It ends the case if that fails.
func deploy(w *world, largeNodes int, largeFull bool) *deployment {
	d := &deployment{world: w, owner: &owner{w: w, name: "owner", acknowledges: true}}
	for i := range largeNodes {
		d.must(d.addNode(fmt.Sprintf("s-%08x", i+1), "sala-norte", "nodo-grande", i+1))
	}
	d.must(d.addNode("s-000000ff", "sala-sur", "nodo-estandar", largeNodes+1))
	var err error
	w.bulletin, err = startBulletin(w, d.entries(largeFull)...)
	d.must(err)
	d.must(w.startScheduler())
	return d
}

func (d *deployment) addNode(uid, zone, kind string, rack int) error {
	n, err := startNode(d.world, uid, zone, kind, rack)
	if err == nil {
		d.nodes = append(d.nodes, n)
	}
	return err
}

// entries returns the list of nodes. Nodes accept 2.5 times their cores and twice their memory.
func (d *deployment) entries(largeFull bool) []string {
	var entries []string
	for _, n := range d.nodes {
		switch {
		case n.kind == "nodo-estandar":
			entries = append(entries, n.entry(32, 59))
		case largeFull:
			entries = append(entries, n.entry(54-2.5*54, 127-2*127))
		default:
			entries = append(entries, n.entry(54, 127))
		}
	}
	return entries
}

// small returns the small node.
func (d *deployment) small() *node { return d.nodes[len(d.nodes)-1] }

// must ends the case if something that is not under test failed.
func (d *deployment) must(err error) {
	if err != nil {
		d.note("the case could not run: %v", err)
		d.finish(couldNotRun)
	}
}

func (d *deployment) mustHold(condition bool, what string) {
	if !condition {
		d.note("the case could not run: %s", what)
		d.finish(couldNotRun)
	}
}

func (d *deployment) connect(addr string) *ownerConn {
	c, err := d.owner.dial(addr)
	d.must(err)
	return c
}

const (
	taskKey   = "7f3a9c21e0b4d655"
	firstUID  = "9b1f03aa5c7e2d41"
	secondUID = "9b1f03aa5c7e2d42"
	thirdUID  = "9b1f03aa5c7e2d43"
)

// playMove: a node is cut off, and the scheduler moves a task off it that must never run twice.
func playMove(w *world) int {
	d := deploy(w, 2, true)
	conn := d.connect(w.listen)
	begin := time.Now()
	conn.launch(firstUID, unsafeClass, taskKey, 6*time.Second)
	_, placed := d.owner.await("running", firstUID, begin, begin.Add(3*time.Second))
	d.mustHold(placed && d.small().holds(firstUID), "the task was not placed at the small node")
	at(begin, 500*time.Millisecond)
	w.bulletin.publish(false, d.entries(false)...) // the tasks at the large nodes have ended
	at(begin, 1500*time.Millisecond)
	if w.trouble {
		d.must(d.small().cutOff(10 * time.Second))
	}
	_, moved := d.owner.await("migrate", firstUID, begin, begin.Add(10*time.Second))
	if moved {
		time.Sleep(100 * time.Millisecond)
		again := time.Now()
		conn.launch(secondUID, unsafeClass, taskKey, 6*time.Second)
		_, placedAgain := d.owner.await("running", secondUID, again, again.Add(7*time.Second))
		w.note("owner: moved, came again; placed again: %v", placedAgain)
	} else {
		w.note("owner: the task was not moved")
		d.mustHold(w.trouble, "the scheduler moved no task")
	}
	at(begin, 14*time.Second)
	return d.judgeRunsTwice()
}

// judgeRunsTwice returns whether two nodes ran one task at the same time for longer than runsTwice.
func (d *deployment) judgeRunsTwice() int {
	now := time.Now()
	var runs []run
	for _, n := range d.nodes {
		runs = append(runs, n.runsSoFar()...)
	}
	status := ruleHeld
	for i := range runs {
		if runs[i].end.IsZero() {
			runs[i].end = now
		}
		d.note("judge: task %s (key %s) ran at node %s from %.3f to %.3f", runs[i].uid, runs[i].key, runs[i].node.uid,
			runs[i].start.Sub(d.startedAt).Seconds(), runs[i].end.Sub(d.startedAt).Seconds())
		for _, other := range runs[:i] {
			if other.key != runs[i].key || runs[i].class != unsafeClass {
				continue
			}
			from, to := runs[i].start, runs[i].end
			if other.start.After(from) {
				from = other.start
			}
			if other.end.Before(to) {
				to = other.end
			}
			d.note("judge: nodes %s and %s ran key %s together for %.3f s", other.node.uid, runs[i].node.uid, other.key, max(to.Sub(from), 0).Seconds())
			if to.Sub(from) > runsTwice {
				status = ruleBroken
			}
		}
	}
	return status
}

// judgeReleased returns whether the owner was told, after since, that a task is over, within releaseWithin of
// its end.
func (d *deployment) judgeReleased(uid string, since, end time.Time) int {
	d.mustHold(!end.IsZero(), "the task has not ended")
	until := end.Add(releaseWithin + socketSlack)
	release, released := d.owner.await("stop", uid, since, until)
	if !released {
		d.note("judge: task %s ended at %.3f, and its owner was not told by %.3f", uid, end.Sub(d.startedAt).Seconds(), until.Sub(d.startedAt).Seconds())
		return ruleBroken
	}
	d.note("judge: task %s ended at %.3f, its owner was told %.3f s later", uid, end.Sub(d.startedAt).Seconds(), release.at.Sub(end).Seconds())
	return ruleHeld
}

// taskEndsUnattended places a task, lets the owner close its connection 4 s after its last set-up, and ends
// the task a second later.
func (d *deployment) taskEndsUnattended(addr string) (begin time.Time) {
	conn := d.connect(addr)
	begin = time.Now()
	conn.launch(firstUID, safeClass, taskKey, 5*time.Second)
	_, placed := d.owner.await("running", firstUID, begin, begin.Add(3*time.Second))
	d.mustHold(placed && d.small().holds(firstUID), "the task was not placed at the small node")
	at(begin, 4100*time.Millisecond)
	d.note("%s: closes, as no set-up was open on it for 4 s", conn.name)
	conn.Close()
	at(begin, 5*time.Second)
	d.small().endTask(firstUID, 16)
	return begin
}

// playReset: the connection on which a pending release is sent is reset at once.
func playReset(w *world) int {
	d := deploy(w, 1, true)
	front := startProxy(d)
	begin := d.taskEndsUnattended(front.addr)
	at(begin, 7500*time.Millisecond)
	front.resetNext.Store(w.trouble)
	conn := d.connect(front.addr)
	conn.launch(secondUID, safeClass, "7f3a9c21e0b4d656", 5*time.Second)
	if w.trouble {
		select {
		case <-conn.closed:
		case <-time.After(3 * time.Second):
			d.mustHold(false, "the connection was not reset")
		}
		time.Sleep(200 * time.Millisecond)
		conn = d.connect(front.addr)
		conn.launch(thirdUID, safeClass, "7f3a9c21e0b4d656", 5*time.Second)
	}
	return d.judgeReleased(firstUID, begin, d.small().endOf(firstUID))
}

// playHang: one of twenty nodes stands still for some seconds, and a task of it ends meanwhile.
func playHang(w *world) int {
	d := &deployment{world: w, owner: &owner{w: w, name: "owner", acknowledges: true}}
	for i := range 19 {
		d.must(d.addNode(fmt.Sprintf("s-%08x", i+1), "sala-norte", "nodo-grande", i+1))
	}
	hanging, err := startNodeProcess(w, "s-000000ff", "sala-sur", "nodo-estandar", 20, 6*time.Second)
	d.must(err)
	d.nodes = append(d.nodes, hanging.node)
	w.bulletin, err = startBulletin(w, d.entries(true)...)
	d.must(err)
	d.must(w.startScheduler())
	conn := d.connect(w.listen)
	begin := time.Now()
	conn.launch(firstUID, unsafeClass, taskKey, 6*time.Second)
	_, placed := d.owner.await("running", firstUID, begin, begin.Add(3*time.Second))
	d.mustHold(placed && hanging.runs(firstUID), "the task was not placed at the small node")
	at(begin, 2*time.Second)
	if w.trouble {
		hanging.hang(5 * time.Second)
	}
	return d.judgeReleased(firstUID, begin, hanging.awaitEnd(firstUID, begin.Add(12*time.Second)))
}

// playForeign: a bad client has a connection open when a task of the owner ends.
func playForeign(w *world) int {
	d := deploy(w, 1, true)
	if w.trouble {
		time.AfterFunc(3*time.Second, func() {
			bad := &owner{w: w, name: "bad client"}
			conn, err := bad.dial(w.listen)
			d.must(err)
			conn.send(stopMessage("00000000deadbeef", 16)) // an id that nobody knows
		})
	}
	first := d.connect(w.listen)
	first.launch(thirdUID, safeClass, "7f3a9c21e0b4d657", 5*time.Second) // runs on
	time.AfterFunc(4*time.Second, func() { first.Close() })
	begin := d.taskEndsUnattended(w.listen)
	at(begin, 7500*time.Millisecond)
	conn := d.connect(w.listen)
	conn.launch(secondUID, safeClass, "7f3a9c21e0b4d656", 5*time.Second)
	return d.judgeReleased(firstUID, begin, d.small().endOf(firstUID))
}

// proxy passes connections on to the scheduler. If resetNext is set, the next connection is reset as soon as
// the scheduler writes to it; what the scheduler wrote is lost.
type proxy struct {
	d         *deployment
	addr      string
	resetNext atomic.Bool
}

func startProxy(d *deployment) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	d.must(err)
	p := &proxy{d: d, addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn.(*net.TCPConn), p.resetNext.Swap(false))
		}
	}()
	return p
}

func (p *proxy) pass(client *net.TCPConn, reset bool) {
	conn, err := net.Dial("tcp", p.d.listen)
	if err != nil {
		client.Close()
		return
	}
	scheduler := conn.(*net.TCPConn)
	go func() {
		_, _ = io.Copy(scheduler, client)
		_ = scheduler.CloseWrite()
	}()
	if reset {
		first := make([]byte, 4096)
		n, _ := scheduler.Read(first)
		p.d.note("network: resets a connection of the owner; lost on it: %q", first[:n])
		_ = client.SetLinger(0)
		_ = scheduler.SetLinger(0)
		client.Close()
		scheduler.Close()
		return
	}
	_, _ = io.Copy(client, scheduler)
	client.Close()
	scheduler.Close()
}
