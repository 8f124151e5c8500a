package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["memory"] = memoryCase }

// These figures stay inside the limits of the page on the days that count: 32 to 192 MB, bad clients that take back
// hundreds of requests at once and come again at once, at full speed, and messages of at most 16 KiB.
const (
	memoryLimitMB   = 64
	requestsAtOnce  = 300
	descriptionSize = 15 << 10
	memoryCaseTime  = 12 * time.Second
)

// memoryCase checks that the scheduler stays within its limit on memory while one bad client sends hundreds of
// requests at once, takes them back, and does the same again.
func memoryCase(w *world) verdict {
	var entries []rosterEntry
	for i := range 8 {
		n := w.startNode(fmt.Sprintf("s-%08x", i+1), "")
		n.lookAtOneAtATime(20 * time.Millisecond)
		entries = append(entries, n.entry("in_service", 0))
	}
	w.startBulletin(entries)
	s := w.startScheduler(schedulerOptions{memoryMB: memoryLimitMB, sockets: 256, known: entries})
	end := time.Now().Add(memoryCaseTime)
	usual := w.connect("owner")
	go w.sendUsualRequests(usual, end)
	if w.trouble {
		time.Sleep(time.Second)
		go w.takeBackRequests(end)
	}
	highest, over := 0.0, time.Time{}
	for start := time.Now(); time.Now().Before(end) && over.IsZero(); time.Sleep(100 * time.Millisecond) {
		now, err := s.ownMemoryMB()
		if err != nil {
			giveUp("memory of the process: %v", err)
		}
		highest = max(highest, now)
		w.logf("platform", "after %4.1f s the process has %.1f MB", time.Since(start).Seconds(), now)
		if now > memoryLimitMB {
			over = time.Now()
			w.logf("platform", "over the limit of %d MB: the scheduler is killed", memoryLimitMB)
			s.kill()
		}
	}
	placed := usual.count("running")
	w.logf("owner", "%d of its tasks were placed", placed)
	if placed == 0 {
		giveUp("no task of the usual owner was placed")
	}
	if !over.IsZero() {
		return verdict{true, fmt.Sprintf("the scheduler was killed: it had %.1f MB without the pages of its program, its limit is %d MB", highest, memoryLimitMB)}
	}
	return verdict{false, fmt.Sprintf("the scheduler had at most %.1f MB, its limit is %d MB", highest, memoryLimitMB)}
}

// takeBackRequests plays a bad client: it sends hundreds of requests at once, takes them back 0.2 s later, and
// comes again on a new connection.
func (w *world) takeBackRequests(end time.Time) {
	for round := 1; time.Now().Before(end) && !w.scheduler.hasExited(); round++ {
		client := w.connect(fmt.Sprintf("bad-%d", round))
		if client == nil {
			return
		}
		client.quiet = true
		uids := make([]string, requestsAtOnce)
		for i := range uids {
			uids[i] = newID()
			m := launchMessage(uids[i], newID(), "web", 5*time.Second, "")
			m.Body = strings.Repeat("x", descriptionSize)
			if _, err := client.conn.Write(m.line()); err != nil {
				break
			}
		}
		w.logf(client.name, "sent %d requests with descriptions of %d bytes", requestsAtOnce, descriptionSize)
		time.Sleep(200 * time.Millisecond)
		for _, uid := range uids {
			if _, err := client.conn.Write(stopMessage(uid, causeEnd).line()); err != nil {
				break
			}
		}
		w.logf(client.name, "took them back")
		time.Sleep(50 * time.Millisecond)
		_ = client.conn.Close()
	}
}

// sendUsualRequests plays a usual owner: it sends five requests a second.
func (w *world) sendUsualRequests(owner *ownerConn, end time.Time) {
	for time.Now().Before(end) && !w.scheduler.hasExited() {
		if owner.send(launchMessage(newID(), newID(), "web", 5*time.Second, "")) != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
