package dispatch_test

import (
	"fmt"
	"math"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// runDirectedScripts runs short scripts for situations that random scripts rarely reach. In some, many nodes
// and tasks end at the same time; the core promises no order among them, so the recorder sorts the effects.
// Others cover notifications and adoptions close to their time limits, and the limits on stored records.
func runDirectedScripts(t *testing.T) []string {
	t.Helper()
	var lines []string
	for settingsIndex := range settingsVariants {
		recorder := newRecorder(t, settingsIndex, 50, "", false)
		recorder.label = fmt.Sprintf("directed shape %d", settingsIndex)
		recorder.sortEffects = true
		recorder.openConnection()
		recorder.core.SetDiscoveryConnected(recorder.now, true)
		recorder.listAllNodes("in_service", 0)
		recorder.adoptTasks(24, 1)
		recorder.recordCheckpoint(1)
		recorder.listAllNodes("in_service", 1010_000) // the new incarnations end the running tasks
		recorder.recordCheckpoint(2)
		recorder.adoptTasks(24, 101)
		recorder.listAllNodes("terminated", 0)
		recorder.recordCheckpoint(3)
		recorder.advanceInOneCall(1.5, 0)
		recorder.recordCheckpoint(4)
		recorder.advanceInOneCall(61, 0)
		recorder.recordCheckpoint(5)
		lines = append(lines, recorder.recordedLines...)
	}
	lines = append(lines, runRedelivery(t)...)
	lines = append(lines, runAdoptionWait(t)...)
	lines = append(lines, runNewIncarnation(t)...)
	lines = append(lines, runLateStart(t)...)
	lines = append(lines, runLateAnswer(t)...)
	return append(lines, runEarlyTerminations(t)...)
}

// directedScript specifies how a directed script starts: its settings, its seed and its number of client
// connections.
type directedScript struct {
	settingsIndex   int
	seed            uint64
	label           string
	connections     int
	useRandomPlacer bool // whether a randomPlacer makes the decisions
}

// start returns a recorder whose core has the connections and whose nodes are all in service.
func (script directedScript) start(t *testing.T) *scriptRecorder {
	t.Helper()
	recorder := newRecorder(t, script.settingsIndex, script.seed, "", script.useRandomPlacer)
	recorder.label = script.label
	for range script.connections {
		recorder.openConnection()
	}
	recorder.listAllNodes("in_service", 0)
	return recorder
}

// startWithRequest is like start, but uses a randomPlacer and sends a first request.
func (script directedScript) startWithRequest(t *testing.T) *scriptRecorder {
	t.Helper()
	script.useRandomPlacer = true
	recorder := script.start(t)
	recorder.sendLaunch("")
	recorder.digestEffectsAndState(0)
	return recorder
}

func (recorder *scriptRecorder) listAllNodes(state string, bootMS int64) {
	recorder.eventNumber = int(recorder.core.LastDiscoveryEvent()) + 1
	var all []string
	for i := 1; i <= scriptNodes; i++ {
		all = append(all, recorder.nodeJSON(i, state, bootMS))
	}
	ok, err := recorder.core.ReceiveDiscoveryEvent(recorder.now, []byte(dispatch.DiscoveryEventJSON(recorder.eventNumber, false, all...)))
	recorder.digestBool(ok)
	recorder.digestError(err)
	recorder.digestEffectsAndState(0)
}

// advanceInOneCall advances the clock and runs all timers that are due in one call at the new time.
func (recorder *scriptRecorder) advanceInOneCall(by placer.Seconds, step int) {
	recorder.now += by
	recorder.core.Advance(recorder.now)
	recorder.digestEffectsAndState(step)
}

// adoptTasks lists running tasks for adoption, distributed over the nodes.
func (recorder *scriptRecorder) adoptTasks(count int, first uint64) {
	for i := range count {
		recorder.receiveFromClient(recorder.conns[0], recorder.newLaunchMessage(first+uint64(i), ";at:"+dispatch.NodeUID(1+i%scriptNodes)))
		recorder.digestEffectsAndState(0)
	}
}

// runRedelivery closes connections on which notifications were sent. The variants cover clients that do and
// do not acknowledge notifications, intervals around each time limit, and the case that no client is left.
func runRedelivery(t *testing.T) []string {
	t.Helper()
	start := func(variant int) *scriptRecorder {
		return directedScript{seed: uint64(100 + variant), label: fmt.Sprintf("redelivery %d", variant), connections: 2}.start(t)
	}
	return runVariants(24, start, func(recorder *scriptRecorder, variant int) {
		recorder.adoptTasks(6, 1)
		if variant%2 == 1 {
			recorder.receiveFromClient(1, wireMessage(protocol.Stopped, 77))
		}
		recorder.endTasks(1, 4)
		recorder.now += []placer.Seconds{0.5, 0.999, 1.001, 7.9, 8, 8.1}[variant/2%6]
		recorder.receiveFromClient(1, wireMessage(protocol.Stopped, 2))
		recorder.core.ClientDisconnected(recorder.now, 1)
		if variant >= 12 {
			recorder.core.ClientDisconnected(recorder.now, 2)
		}
		recorder.conns = nil
		recorder.endTasks(5, 6)
		recorder.now += []placer.Seconds{0.5, 7.9, 8.1}[variant%3]
		recorder.openConnection()
		recorder.receiveFromClient(recorder.lastConn, wireMessage(protocol.Check, 78))
		recorder.digestEffectsAndState(0)
	})
}

// endTasks makes nodes report the ends of tasks that adoptTasks listed.
func (recorder *scriptRecorder) endTasks(first, last uint64) {
	for id := first; id <= last; id++ {
		msg := wireMessage(protocol.Stop, id)
		msg.Cause, msg.HasCause = []protocol.Cause{16, 41}[id%2], true
		recorder.core.ReceiveFromNode(recorder.now, nodeID(1+int(id-1)%scriptNodes), &msg)
		recorder.digestEffectsAndState(0)
	}
}

// runAdoptionWait sends requests while running tasks are still being adopted, until after the longest time
// for which requests wait.
func runAdoptionWait(t *testing.T) []string {
	t.Helper()
	recorder := directedScript{seed: 300, label: "handover", connections: 2}.start(t)
	recorder.receiveFromClient(1, wireMessage(protocol.Check, 78))
	for i := range uint64(40) {
		recorder.advanceInOneCall(0.03, int(i))
		recorder.adoptTasks(1, 1000+i)
		recorder.receiveFromClient(2, recorder.newLaunchMessage(2000+i, ""))
		recorder.digestEffectsAndState(int(i))
		if i%5 == 4 {
			recorder.recordCheckpoint(int(i))
		}
	}
	for range 30 {
		recorder.now = max(recorder.now, min(recorder.core.NextTimer(), recorder.now+10))
		recorder.core.Advance(recorder.now)
		recorder.digestEffectsAndState(0)
	}
	recorder.recordCheckpoint(40)
	return recorder.recordedLines
}

// runNewIncarnation starts a new incarnation of a node on which one task runs, at times around the tolerance.
func runNewIncarnation(t *testing.T) []string {
	t.Helper()
	incarnationDelayMS := []int64{0, 990, 999, 1000, 1001, 1005, 1010, 1100}
	start := func(variant int) *scriptRecorder {
		label := fmt.Sprintf("new life after %d", incarnationDelayMS[variant]) // as in the golden file
		return directedScript{seed: 400, label: label, connections: 1}.start(t)
	}
	return runVariants(len(incarnationDelayMS), start, func(recorder *scriptRecorder, variant int) {
		recorder.adoptTasks(1, 1)
		recorder.listAllNodes("in_service", 1000_000+incarnationDelayMS[variant])
	})
}

// runVariants runs a directed script once for each variant and returns the recorded lines.
func runVariants(count int, start func(variant int) *scriptRecorder, run func(recorder *scriptRecorder, variant int)) (lines []string) {
	for variant := range count {
		recorder := start(variant)
		run(recorder, variant)
		recorder.recordCheckpoint(1)
		lines = append(lines, recorder.recordedLines...)
	}
	return lines
}

// runLateStart sends attempts just before, at and just after their expiry time, before the expiry timer has
// run.
func runLateStart(t *testing.T) []string {
	t.Helper()
	start := func(variant int) *scriptRecorder {
		label := fmt.Sprintf("late start %d", variant)
		return directedScript{settingsIndex: variant / 10, seed: uint64(500 + variant), label: label, connections: 1}.startWithRequest(t)
	}
	return runVariants(30, start, func(recorder *scriptRecorder, variant int) {
		if due := recorder.core.NextTimer(); !math.IsInf(float64(due), 1) {
			recorder.now = max(recorder.now, due+[]placer.Seconds{-0.001, 0, 0.001}[variant%3])
		}
		recorder.sendPendingAttempt()
		recorder.digestEffectsAndState(1)
	})
}

// runLateAnswer makes a node answer an attempt around its expiry time, either before the expiry timer has run
// or after the connection was lost. The client then lists the task for adoption from that node.
func runLateAnswer(t *testing.T) []string {
	t.Helper()
	start := func(variant int) *scriptRecorder {
		label := fmt.Sprintf("late answer %d", variant)
		return directedScript{settingsIndex: variant / 16, seed: uint64(600 + variant), label: label, connections: 1}.startWithRequest(t)
	}
	return runVariants(48, start, func(recorder *scriptRecorder, variant int) {
		due := recorder.core.NextTimer()
		recorder.sendPendingAttempt()
		recorder.digestEffectsAndState(1)
		if len(recorder.sent) > 0 {
			recorder.answerLate(due+[]placer.Seconds{-0.001, 0.005, 0.02, 0.3}[variant%4], variant/4%2 == 1)
		}
		open, placed := recorder.core.ClientRequests(99)
		recorder.digestNumbers(uint64(open))
		recorder.digestBool(placed)
	})
}

// answerLate makes a node accept the first attempt at the given time, after its connection was lost if broken
// is set. The client then lists the task for adoption.
func (recorder *scriptRecorder) answerLate(at placer.Seconds, broken bool) {
	attempt := recorder.sent[0]
	recorder.now = max(recorder.now, at)
	if broken {
		recorder.core.ConnectionLost(recorder.now, attempt)
		recorder.digestEffectsAndState(2)
	}
	msg := wireMessage(protocol.Running, uint64(attempt.Message.ID))
	msg.Body = `"out"`
	recorder.receiveFromNode(attempt, &msg)
	recorder.digestEffectsAndState(3)
	stop := wireMessage(protocol.Stop, uint64(attempt.Message.ID))
	if len(recorder.pending) > 0 { // another attempt was started, and the client withdraws the request
		recorder.receiveFromClient(1, stop)
		recorder.digestEffectsAndState(4)
	}
	for i := 1; i <= 4; i++ {
		if nodeID(i) == attempt.Node {
			recorder.receiveFromClient(1, recorder.newLaunchMessage(uint64(attempt.Message.ID), ";at:"+dispatch.NodeUID(i)))
			recorder.digestEffectsAndState(5)
		}
	}
}

// runEarlyTerminations exceeds the maximum numbers of early terminations and of tasks.
func runEarlyTerminations(t *testing.T) []string {
	t.Helper()
	const aboveLimit = 20010
	recorder := directedScript{seed: 200, label: "bounds", connections: 1}.start(t)
	for id := uint64(1); id <= aboveLimit; id++ {
		msg := wireMessage(protocol.Stop, id)
		msg.Cause = 41
		recorder.core.ReceiveFromNode(recorder.now, nodeID(1), &msg)
	}
	for _, id := range []uint64{1, 9, 10, 11, 12, aboveLimit} {
		recorder.receiveFromClient(1, recorder.newLaunchMessage(id, ";at:"+dispatch.NodeUID(1)))
		recorder.digestEffectsAndState(0)
	}
	recorder.recordCheckpoint(1)
	for id := uint64(aboveLimit + 1); id <= 2*aboveLimit; id++ {
		recorder.receiveFromClient(1, recorder.newLaunchMessage(id, ";at:"+dispatch.NodeUID(2)))
	}
	recorder.digestEffectsAndState(0)
	recorder.recordCheckpoint(2)
	return recorder.recordedLines
}
