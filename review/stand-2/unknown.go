package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["unknown"] = unknownCase }

// unknownCase checks what the owner of a running task is told when it hands the task to a scheduler to which
// discovery has not told the node yet.
func unknownCase(w *world) verdict {
	first := w.startNode("s-00000001", "")
	entries := []rosterEntry{first.entry("in_service", 0)}
	w.startBulletin(entries)
	w.settings = strings.NewReplacer(`"bound": true`, `"bound": false`, `"discovery": "ask"`, `"discovery": "push"`).Replace(settingsText)
	w.startScheduler(schedulerOptions{memoryMB: 192, sockets: 256, known: entries})
	time.Sleep(500 * time.Millisecond)
	const outage = 10000 * time.Millisecond
	outageAt := time.Now()
	if w.trouble {
		w.bulletin.goDown()
		w.logf("discovery", "is out of reach")
	}
	joined := w.startNode("s-00000002", "")
	w.bulletin.tell(false, []rosterEntry{joined.entry("in_service", time.Now().UnixMilli())})
	uid, key := newID(), newID() // The hand-over has an id of its own, under which the node reports the end.
	joined.hold(uid, key)
	time.Sleep(3 * time.Second)
	owner := w.connect("owner")
	_ = owner.send(launchMessage(uid, key, "seat", 6*time.Second, ";at:"+joined.name))
	time.Sleep(500 * time.Millisecond)
	wrong, told := owner.find("stop", uid, time.Time{})
	toldWhileStanding := told && joined.stands(uid)
	if w.trouble {
		time.Sleep(time.Until(outageAt.Add(outage)))
		w.bulletin.up()
		w.logf("discovery", "can be reached again")
	}
	time.Sleep(4 * time.Second)
	joined.endTask(uid)
	endedAt := time.Now()
	time.Sleep(time.Until(endedAt.Add(releaseLimit)))
	if toldWhileStanding {
		return verdict{true, fmt.Sprintf("the owner was told with cause %d that its task is over while the node held it", wrong.cause())}
	}
	if _, found := owner.find("stop", uid, endedAt.Add(-time.Second)); !found {
		return verdict{true, "the task ended and its owner was not released within 8 s"}
	}
	return verdict{false, "the owner was released after the end of its task"}
}
