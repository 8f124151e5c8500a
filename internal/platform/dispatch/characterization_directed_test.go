package dispatch_test

import (
	"fmt"
	"math"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// playDirected plays short scripts that random ones seldom meet: many nodes and tasks that end at one time (among which the core promises no
// order, so effects are sorted), notifications and adoptions around their time limits, and the bounds on what is kept.
func playDirected(t *testing.T) []string {
	t.Helper()
	var lines []string
	for shape := range settingsShapes {
		r := newRecorder(t, shape, 50, "", false)
		r.labelStart = fmt.Sprintf("directed shape %d", shape)
		r.unordered = true
		r.openConnection()
		r.core.SetDiscoveryConnected(r.now, true)
		r.listAll("in_service", 0)
		r.adoptTasks(24, 1)
		r.checkpoint(1)
		r.listAll("in_service", 1010_000) // a new incarnation ends the running tasks
		r.checkpoint(2)
		r.adoptTasks(24, 101)
		r.listAll("terminated", 0)
		r.checkpoint(3)
		r.now += 1.5
		r.core.Advance(r.now)
		r.observe(0)
		r.checkpoint(4)
		r.now += 61
		r.core.Advance(r.now)
		r.observe(0)
		r.checkpoint(5)
		lines = append(lines, r.lines...)
	}
	lines = append(lines, playRedelivery(t)...)
	lines = append(lines, playAdoptionWait(t)...)
	lines = append(lines, playNewIncarnation(t)...)
	lines = append(lines, playLateStart(t)...)
	lines = append(lines, playLateAnswer(t)...)
	return append(lines, playEarlyTerminations(t)...)
}

func (r *recorder) listAll(state string, bootMS int64) {
	r.eventNo = int(r.core.LastDiscoveryEvent()) + 1
	var all []string
	for i := 1; i <= scriptNodes; i++ {
		all = append(all, r.nodeJSON(i, state, bootMS))
	}
	ok, err := r.core.ReceiveDiscoveryEvent(r.now, []byte(discoveryEventJSON(r.eventNo, false, all...)))
	r.flag(ok)
	r.verdict(err)
	r.observe(0)
}

// adoptTasks lists running tasks for adoption, spread over the nodes.
func (r *recorder) adoptTasks(count int, first uint64) {
	for i := range count {
		msg := r.validLaunch(first+uint64(i), ";at:"+nodeName(1+i%scriptNodes))
		r.verdict(r.core.ReceiveFromClient(r.now, r.conns[0], &msg))
		r.observe(0)
	}
}

// playRedelivery has notifications cross the end of their connection, with clients that acknowledge notifications and clients that do not, at
// intervals around each time limit, and with no client left to be notified.
func playRedelivery(t *testing.T) []string {
	t.Helper()
	var lines []string
	for variant := range 24 {
		r := newRecorder(t, 0, uint64(100+variant), "", false)
		r.labelStart = fmt.Sprintf("redelivery %d", variant)
		r.openConnection()
		r.openConnection()
		r.listAll("in_service", 0)
		r.adoptTasks(6, 1)
		if variant%2 == 1 {
			confirm := wireMessage(protocol.Stopped, 77)
			r.verdict(r.core.ReceiveFromClient(r.now, 1, &confirm))
		}
		r.endTasks(1, 4)
		r.now += []placer.Seconds{0.5, 0.999, 1.001, 7.9, 8, 8.1}[variant/2%6]
		acknowledgement := wireMessage(protocol.Stopped, 2)
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &acknowledgement))
		r.core.ClientDisconnected(r.now, 1)
		if variant >= 12 {
			r.core.ClientDisconnected(r.now, 2)
		}
		r.conns = nil
		r.endTasks(5, 6)
		r.now += []placer.Seconds{0.5, 7.9, 8.1}[variant%3]
		r.openConnection()
		check := wireMessage(protocol.Check, 78)
		r.verdict(r.core.ReceiveFromClient(r.now, r.lastConn, &check))
		r.observe(0)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// endTasks has nodes report the end of tasks that adoptTasks listed.
func (r *recorder) endTasks(first, last uint64) {
	for id := first; id <= last; id++ {
		msg := wireMessage(protocol.Stop, id)
		msg.Cause, msg.HasCause = []int{16, 41}[id%2], true
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(nodeName(1+int(id-1)%scriptNodes)), &msg)
		r.observe(0)
	}
}

// playAdoptionWait has requests arrive while running tasks are still being adopted, up to and beyond the longest time for which requests wait.
func playAdoptionWait(t *testing.T) []string {
	t.Helper()
	r := newRecorder(t, 0, 300, "", false)
	r.labelStart = "handover"
	r.openConnection()
	r.openConnection()
	r.listAll("in_service", 0)
	check := wireMessage(protocol.Check, 78)
	r.verdict(r.core.ReceiveFromClient(r.now, 1, &check))
	for i := range uint64(40) {
		r.now += 0.03
		r.core.Advance(r.now)
		r.observe(int(i))
		r.adoptTasks(1, 1000+i)
		msg := r.validLaunch(2000+i, "")
		r.verdict(r.core.ReceiveFromClient(r.now, 2, &msg))
		r.observe(int(i))
		if i%5 == 4 {
			r.checkpoint(int(i))
		}
	}
	for range 30 {
		r.now = max(r.now, min(r.core.NextTimer(), r.now+10))
		r.core.Advance(r.now)
		r.observe(0)
	}
	r.checkpoint(40)
	return r.lines
}

// playNewIncarnation lets a node begin a new incarnation at times around the tolerance, with one task that runs on it.
func playNewIncarnation(t *testing.T) []string {
	t.Helper()
	var lines []string
	for _, after := range []int64{0, 990, 999, 1000, 1001, 1005, 1010, 1100} {
		r := newRecorder(t, 0, 400, "", false)
		r.labelStart = fmt.Sprintf("new life after %d", after)
		r.openConnection()
		r.listAll("in_service", 0)
		r.adoptTasks(1, 1)
		r.listAll("in_service", 1000_000+after)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// playLateStart sends attempts just before, at and just after the time at which they expire, with the timer of that time not yet run.
func playLateStart(t *testing.T) []string {
	t.Helper()
	var lines []string
	for variant := range 30 {
		r := newRecorder(t, variant/10, uint64(500+variant), "", true)
		r.labelStart = fmt.Sprintf("late start %d", variant)
		r.openConnection()
		r.listAll("in_service", 0)
		r.launch("")
		r.observe(0)
		if due := r.core.NextTimer(); !math.IsInf(float64(due), 1) {
			r.now = max(r.now, due+[]placer.Seconds{-0.001, 0, 0.001}[variant%3])
		}
		r.send()
		r.observe(1)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// playLateAnswer has a node answer around the time at which the attempt expires, with the timer of that time not yet run, or after its connection
// was lost; then the client lists the task for adoption from that node.
func playLateAnswer(t *testing.T) []string {
	t.Helper()
	var lines []string
	for variant := range 48 {
		r := newRecorder(t, variant/16, uint64(600+variant), "", true)
		r.labelStart = fmt.Sprintf("late answer %d", variant)
		r.openConnection()
		r.listAll("in_service", 0)
		r.launch("")
		r.observe(0)
		due := r.core.NextTimer()
		r.send()
		r.observe(1)
		if len(r.sent) > 0 {
			r.answerLate(due+[]placer.Seconds{-0.001, 0.005, 0.02, 0.3}[variant%4], variant/4%2 == 1)
		}
		open, placed := r.core.ClientRequests(99)
		r.number(uint64(open))
		r.flag(placed)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// answerLate answers the first attempt at the given time, after its connection was lost if broken is set, and lists its task for adoption.
func (r *recorder) answerLate(at placer.Seconds, broken bool) {
	attempt := r.sent[0]
	r.now = max(r.now, at)
	if broken {
		r.core.ConnectionLost(r.now, attempt)
		r.observe(2)
	}
	msg := wireMessage(protocol.Running, uint64(attempt.Message.ID))
	msg.Body = `"out"`
	r.fromNode(attempt, &msg)
	r.observe(3)
	stop := wireMessage(protocol.Stop, uint64(attempt.Message.ID))
	if len(r.pending) > 0 { // the next attempt: its client withdraws the request
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &stop))
		r.observe(4)
	}
	for i := 1; i <= 4; i++ {
		if dispatch.NodeIDOf(nodeName(i)) == attempt.Node {
			adoption := r.validLaunch(uint64(attempt.Message.ID), ";at:"+nodeName(i))
			r.verdict(r.core.ReceiveFromClient(r.now, 1, &adoption))
			r.observe(5)
		}
	}
}

// playEarlyTerminations fills the records of early terminations and the table of tasks beyond their bounds.
func playEarlyTerminations(t *testing.T) []string {
	t.Helper()
	const beyond = 20010
	r := newRecorder(t, 0, 200, "", false)
	r.labelStart = "bounds"
	r.openConnection()
	r.listAll("in_service", 0)
	for id := uint64(1); id <= beyond; id++ {
		msg := wireMessage(protocol.Stop, id)
		msg.Cause = 41
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(nodeName(1)), &msg)
	}
	for _, id := range []uint64{1, 9, 10, 11, 12, beyond} {
		msg := r.validLaunch(id, ";at:"+nodeName(1))
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &msg))
		r.observe(0)
	}
	r.checkpoint(1)
	for id := uint64(beyond + 1); id <= 2*beyond; id++ {
		msg := r.validLaunch(id, ";at:"+nodeName(2))
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &msg))
	}
	r.observe(0)
	r.checkpoint(2)
	return r.lines
}
