package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["useless"] = uselessCase }

// uselessCase checks that the ends of tasks reach their owner when answers of a node never arrive and their
// connections are of no further use, twice, some seconds apart. The first time, the scheduler opens two connections
// in place of the one. The second time, the newer one of these is of no further use.
func uselessCase(w *world) verdict {
	var entries []rosterEntry
	for i := range 3 {
		entries = append(entries, w.startNode(fmt.Sprintf("s-%08x", i+1), "").entry("in_service", 0))
	}
	n := w.nodes[0]
	w.startBulletin(entries)
	w.startScheduler(schedulerOptions{memoryMB: 192, sockets: 256, known: entries})
	owner := w.connect("owner")
	end := make(chan struct{})
	defer close(end)
	go w.sendWebRequests(owner, end)

	newest := n.awaitTasks(3, 20*time.Second, func(*nodeConn) bool { return true })
	if newest == nil {
		giveUp("the node got no tasks")
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		n.spoilNext(newest, 20*time.Second)
		time.Sleep(5 * time.Second)
		// The scheduler replaces the connection; the task to be observed is set up on the newest one.
		newest = n.awaitTasks(1, 40*time.Second, func(c *nodeConn) bool {
			return len(n.conns) >= 2 && c == n.conns[len(n.conns)-1] && !c.useless.Load() && !n.conns[0].useless.Load()
		})
		if newest == nil {
			giveUp("no task was set up on the newest of two connections")
		}
		n.spoilNext(newest, 30*time.Second)
	}
	w.logf("owner", "%d of its tasks were placed so far", owner.count("running"))
	time.Sleep(3 * time.Second)
	uid := n.taskOn(newest)
	n.endTask(uid)
	endedAt := n.task(uid).endedAt
	time.Sleep(time.Until(endedAt.Add(releaseLimit)) + 500*time.Millisecond)
	if m, found := owner.find("stop", uid, endedAt); found {
		after := m.at.Sub(endedAt)
		return verdict{after > releaseLimit, fmt.Sprintf("the owner was released %.2f s after the end of its task", after.Seconds())}
	}
	return verdict{true, fmt.Sprintf("the owner was not released within %.1f s of the end of its task %s; the node has reported it, and %d connections to the node were opened since", time.Since(endedAt).Seconds(), uid, n.openedSince(endedAt))}
}

// sendWebRequests sends a request every 0.05 to 0.15 s.
func (w *world) sendWebRequests(owner *ownerConn, end chan struct{}) {
	for {
		if owner.send(launchMessage(newID(), newID(), "web", 5*time.Second, "")) != nil {
			return
		}
		select {
		case <-end:
			return
		case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
		}
	}
}

// awaitTasks waits until the node holds the given number of tasks that were set up on one open connection that
// suits, and returns the connection, or nil.
func (n *node) awaitTasks(count int, timeout time.Duration, suits func(*nodeConn) bool) *nodeConn {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		n.mu.Lock()
		tasks := map[*nodeConn]int{}
		for _, task := range n.tasks {
			if task.stands {
				tasks[task.conn]++
			}
		}
		var found *nodeConn
		for _, c := range n.conns {
			if tasks[c] >= count && suits(c) {
				found = c
			}
		}
		n.mu.Unlock()
		if found != nil {
			return found
		}
	}
	return nil
}

// spoilNext makes the answer to the next set-up on a connection get lost, and waits for that.
func (n *node) spoilNext(conn *nodeConn, timeout time.Duration) {
	n.mu.Lock()
	n.spoil = func(c *nodeConn, _ *message) bool { return c == conn && !c.useless.Load() }
	n.mu.Unlock()
	for deadline := time.Now().Add(timeout); !conn.useless.Load(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			giveUp("no further set-up came on the connection")
		}
	}
}

// taskOn returns a standing task that was set up on a connection and whose answer was sent.
func (n *node) taskOn(conn *nodeConn) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	oldest := ""
	for uid, task := range n.tasks {
		if task.conn == conn && task.stands && (oldest == "" || task.acceptedAt.Before(n.tasks[oldest].acceptedAt)) {
			oldest = uid
		}
	}
	return oldest
}

// openedSince returns how many of the open connections to the node were opened after the given time.
func (n *node) openedSince(since time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, c := range n.conns {
		if c.openedAt.After(since) {
			count++
		}
	}
	return count
}
