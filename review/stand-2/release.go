package main

import (
	"fmt"
	"time"
)

func init() { cases["release"] = releaseCase }

// releaseCase checks that the end of a task reaches its owner after the owner's connection was reset while idle.
func releaseCase(w *world) verdict {
	n := w.startNode("s-00000001", "")
	other := w.startNode("s-00000002", "")
	entries := []rosterEntry{n.entry("in_service", 0), other.entry("in_service", 0)}
	w.startBulletin(entries)
	w.startScheduler(schedulerOptions{memoryMB: 192, sockets: 256, known: entries})

	owner := w.connect("owner-1")
	uid := newID()
	_ = owner.send(launchMessage(uid, newID(), "web", 5*time.Second, ""))
	if _, found := owner.await("running", uid, 5*time.Second); !found {
		giveUp("the task was not placed")
	}
	holder := n
	if other.stands(uid) {
		holder = other
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		owner.reset()
	}
	// The front tests the scheduler on a connection of its own, which it keeps.
	front := w.connect("front")
	_ = front.send(checkMessage(newID()))
	time.Sleep(300 * time.Millisecond)
	holder.endTask(uid)
	endedAt := time.Now()

	// The owner comes again 4 s after the end of the task, with a set-up of another task.
	time.Sleep(4 * time.Second)
	second := w.connect("owner-2")
	if second != nil {
		_ = second.send(launchMessage(newID(), newID(), "web", 5*time.Second, ""))
	}
	limit := endedAt.Add(releaseLimit)
	time.Sleep(time.Until(limit) + time.Second)
	for _, conn := range []*ownerConn{owner, second} {
		if m, found := conn.find("stop", uid, time.Time{}); found {
			after := m.at.Sub(endedAt)
			return verdict{m.at.After(limit), fmt.Sprintf("the owner was released %.2f s after the end of its task", after.Seconds())}
		}
	}
	return verdict{true, fmt.Sprintf("the task %s ended at its node, the owner had a connection from 4 s afterwards, and was not released within 9 s of the end", uid)}
}
