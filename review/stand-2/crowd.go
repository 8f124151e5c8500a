package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = crowdCase }

const (
	crowdSize     = 300 // crowdSize is how many silent clients there are at a time.
	crowdNodes    = 14
	crowdRequests = 420
	requestEvery  = 200 * time.Millisecond
)

// crowdCase checks that each request that was read gets an answer while clients connect by hundreds and say
// nothing. All nodes are full, so that requests are refused after three attempts.
func crowdCase(w *world) verdict {
	w.settings = strings.Replace(settingsText, `"mostTries": 4`, `"mostTries": 3`, 1)
	var entries []rosterEntry
	for i := range crowdNodes {
		n := w.startNode(fmt.Sprintf("s-%08x", i+1), "")
		n.full, n.quiet = true, true
		entries = append(entries, n.entry("in_service", 0))
	}
	w.startBulletin(entries)
	w.startScheduler(schedulerOptions{memoryMB: 192, sockets: 256, known: entries})
	end := make(chan struct{})
	var silent, owners sync.WaitGroup
	var connected atomic.Int64
	if w.trouble {
		for range crowdSize {
			silent.Add(1)
			go func() {
				defer silent.Done()
				w.connectAndSayNothing(end, &connected)
			}()
		}
	}
	var answered, crossed, lost atomic.Int64
	for i := range crowdRequests {
		owners.Add(1)
		go func() {
			defer owners.Done()
			switch w.askOnce(fmt.Sprintf("owner-%d", i)) {
			case requestAnswered:
				answered.Add(1)
			case requestCrossed:
				crossed.Add(1)
			case requestLost:
				lost.Add(1)
			}
		}()
		time.Sleep(requestEvery)
	}
	owners.Wait()
	close(end)
	silent.Wait()
	return verdict{lost.Load() > 0, fmt.Sprintf("of %d requests that nodes were asked for, %d were answered, and %d connections were closed without an answer; %d more set-ups may have crossed a close; %d silent connections",
		answered.Load()+lost.Load(), answered.Load(), lost.Load(), crossed.Load(), connected.Load())}
}

// connectAndSayNothing plays a silent client: it connects, waits until it is turned away, and connects again.
func (w *world) connectAndSayNothing(end chan struct{}, connected *atomic.Int64) {
	for {
		select {
		case <-end:
			return
		case <-time.After(50 * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", w.scheduler.listen, time.Second)
		if err != nil {
			continue
		}
		connected.Add(1)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
}

type requestResult int

const (
	requestAnswered requestResult = iota
	requestCrossed
	requestLost
)

// askOnce plays an owner with one request on a connection of its own. A request is lost if a node was asked for its
// task and the connection ends without an answer, or if no answer has come 0.55 s after its time.
func (w *world) askOnce(name string) requestResult {
	owner := w.connect(name)
	if owner == nil {
		return requestCrossed
	}
	defer owner.conn.Close()
	uid := newID()
	m := launchMessage(uid, newID(), "web", 5*time.Second, "")
	if owner.send(m) != nil {
		return requestCrossed
	}
	sentAt := time.Now()
	for time.Since(sentAt) < 5550*time.Millisecond {
		time.Sleep(2 * time.Millisecond)
		closed := owner.closed()
		if _, found := owner.find("stop", uid, time.Time{}); found {
			return requestAnswered
		}
		if closed {
			if !w.forwarded(uid) {
				return requestCrossed
			}
			w.logf(name, "LOST: the connection was closed %.2f s after the request %s, without an answer", time.Since(sentAt).Seconds(), uid)
			return requestLost
		}
	}
	w.logf(name, "LOST: no answer to %s in time", uid)
	return requestLost
}

// forwarded reports whether a node was asked for a task.
func (w *world) forwarded(uid string) bool {
	for _, n := range w.nodes {
		n.mu.Lock()
		asked := n.asked[uid]
		n.mu.Unlock()
		if asked {
			return true
		}
	}
	return false
}
