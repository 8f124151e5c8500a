package dispatch_test

import (
	"fmt"
	"slices"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	scriptSteps        = 600 // scriptSteps is the number of random steps in each script.
	checkpointInterval = 50  // checkpointInterval is the number of steps between two checkpoints.
	scriptNodeCount    = 6   // scriptNodeCount is the number of nodes that a script uses.
)

func (recorder *scriptRecorder) nodeJSON(number int, state string, startedAtMS int64) string {
	recorder.nodeStates[number] = state
	return fmt.Sprintf(`{"uid":%q,"endpoint":"10.0.0.%d:%d","az":%q,"model":%q,"pod_group":%d,"state":%q,"boot_ms":%d,"open":[%d,24]}`,
		dispatch.NodeUID(number), number, 1+recorder.eventNumber%3, string("ab"[number%2]), []string{"std", "big"}[number%2], number/2, state, startedAtMS, 4+number)
}

// randomChoice returns one of the choices, selected by the recorder's random number generator.
func randomChoice[T any](recorder *scriptRecorder, choices ...T) T {
	return choices[recorder.random.IntN(len(choices))]
}

// wireMessage returns a message that contains only a kind and an ID.
func wireMessage(kind protocol.Kind, id uint64) protocol.Message {
	return protocol.Message{Kind: kind, ID: protocol.ID(id), UID: fmt.Sprintf("%016x", id)}
}

// runRandomScript runs one random script to its end and returns the recorded lines.
func runRandomScript(t *testing.T, settingsIndex int, seed uint64, useRandomPlacer bool) []string {
	t.Helper()
	nodeEncoder := &scriptRecorder{nodeStates: map[int]string{}}
	initialEvents := `{"no":1,"items":[` + dispatch.DiscoveryEventJSON(1, true, nodeEncoder.nodeJSON(1, "in_service", 0), nodeEncoder.nodeJSON(2, "in_service", 0),
		nodeEncoder.nodeJSON(3, "in_service", 0)) + `]}`
	recorder := newRecorder(t, settingsIndex, seed, initialEvents, useRandomPlacer)
	for i := 1; i <= 3; i++ {
		recorder.nodeStates[i] = "in_service"
	}
	if seed%2 == 0 {
		recorder.core.SetDiscoveryConnected(recorder.now, true)
		recorder.digestEffectsAndState(0)
	}
	recorder.openConnection()
	for step := 1; step <= scriptSteps; step++ {
		recorder.makeRandomStep()
		recorder.digestEffectsAndState(step)
		if step%checkpointInterval == 0 {
			recorder.recordCheckpoint(step)
		}
	}
	recorder.advanceClock(70)
	recorder.recordCheckpoint(scriptSteps + 1)
	return recorder.recordedLines
}

// makeRandomStep makes one random step of a script. In a step, a message, an event of a connection or a
// discovery event arrives, an attempt is sent, an attempt or a node fails, or the clock advances.
func (recorder *scriptRecorder) makeRandomStep() {
	switch recorder.random.IntN(30) {
	case 0, 1, 2, 3, 4, 5:
		recorder.sendLaunch("")
	case 6, 7, 8, 9, 10:
		recorder.sendPendingAttempt()
	case 11, 12, 13, 14:
		recorder.acceptSentAttempt()
	case 15, 16, 17:
		recorder.sendNodeMessage()
	case 18:
		recorder.sendInvalidLaunch()
	case 19:
		recorder.sendLaunch(";at:" + randomChoice(recorder, dispatch.NodeUID(1), dispatch.NodeUID(2), dispatch.NodeUID(3), dispatch.NodeUID(4)))
	case 20, 21:
		recorder.sendClientMessage()
	case 22:
		recorder.openOrCloseConnection()
	case 23, 24:
		recorder.deliverDiscoveryEvent()
	case 25:
		recorder.failRandomAttempt()
	case 26:
		recorder.failRandomNode()
	case 27:
		recorder.core.SetDiscoveryConnected(recorder.now, recorder.random.IntN(2) == 0)
	default:
		recorder.advanceClock(randomChoice[placer.Seconds](recorder, 0, 0.01, 0.06, 0.3, 0.5, 1.1, 1.7, 4, 9))
	}
}

func (recorder *scriptRecorder) openConnection() {
	recorder.lastConn++
	recorder.core.ClientConnected(recorder.now, recorder.lastConn, "10.0.0.1")
	recorder.conns = append(recorder.conns, recorder.lastConn)
	recorder.digestEffectsAndState(0)
}

func (recorder *scriptRecorder) openOrCloseConnection() {
	if len(recorder.conns) < 2 || len(recorder.conns) < 5 && recorder.random.IntN(2) == 0 {
		recorder.openConnection()
		return
	}
	i := recorder.random.IntN(len(recorder.conns))
	id := recorder.conns[i]
	recorder.conns = slices.Delete(recorder.conns, i, i+1)
	recorder.core.ClientDisconnected(recorder.now, id)
	if recorder.random.IntN(4) == 0 {
		recorder.core.ClientDisconnected(recorder.now, id) // A repeated call must have no effect.
	}
}

func (recorder *scriptRecorder) newLaunchMessage(id uint64, extras string) protocol.Message {
	msg := wireMessage(protocol.Launch, id)
	msg.Body = randomChoice(recorder, `"in"`, `"\u00e9\n"`, `""`)
	msg.Set(protocol.Class, randomChoice(recorder, "query", "seats"))
	if tenant := randomChoice(recorder, scriptTenants[recorder.settingsIndex]...); tenant != "" {
		msg.Set(protocol.Tenant, tenant)
	}
	msg.Set(protocol.Key, fmt.Sprintf("%016x", recorder.random.IntN(9)))
	if recorder.random.IntN(3) == 0 {
		msg.Set(protocol.IdempotencyKey, randomChoice(recorder, "", "copy", `odd "name"`))
	}
	msg.Set(protocol.TimeLeft, randomChoice(recorder, "0", "120", "900", "1000", "2e3"))
	if extras != "" {
		msg.Set(protocol.TimeLeft, randomChoice(recorder, "4294967", "1000"))
	}
	msg.Set(protocol.Extras, randomChoice(recorder, "cores:1;memory:1", "memory:0.5;cores:2;again:1", "cores:0.25;memory:3;zzz:9;again:0")+
		randomChoice(recorder, "", ";service:0000000000000009", ";service:00000000000000AA")+extras)
	return msg
}

func (recorder *scriptRecorder) receiveFromAnyClient(msg protocol.Message) {
	conn := dispatch.ConnID(99) // This connection was never opened.
	if len(recorder.conns) > 0 && recorder.random.IntN(40) > 0 {
		conn = randomChoice(recorder, recorder.conns...)
	}
	recorder.receiveFromClient(conn, msg)
}

// receiveFromClient passes a message of a client to the core and adds the returned error to the digest.
func (recorder *scriptRecorder) receiveFromClient(conn dispatch.ConnID, msg protocol.Message) {
	recorder.digestError(recorder.core.ReceiveFromClient(recorder.now, conn, &msg))
}

func (recorder *scriptRecorder) sendLaunch(extras string) {
	recorder.lastID++
	id := recorder.lastID
	if recorder.random.IntN(12) == 0 {
		id = recorder.drawID() // This ID may already be in use.
	}
	recorder.receiveFromAnyClient(recorder.newLaunchMessage(id, extras))
}

func (recorder *scriptRecorder) drawID() uint64 {
	return 1 + recorder.random.Uint64N(recorder.lastID+1)
}

// launchCorruptions are changes to a valid launch message. Most of them make the message invalid.
var launchCorruptions = []func(*protocol.Message){
	func(msg *protocol.Message) { msg.Body = "" },
	func(msg *protocol.Message) { msg.Set(protocol.Class, "none") },
	func(msg *protocol.Message) { msg.Set(protocol.Tenant, "nobody") },
	func(msg *protocol.Message) { msg.Set(protocol.Key, "12") },
	func(msg *protocol.Message) { msg.Set(protocol.Key, "000000000000000g") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "-1") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "NaN") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "16000") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "16001") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "6000") },
	func(msg *protocol.Message) { msg.Set(protocol.TimeLeft, "4000.5") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:1;cores:1") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:-1;memory:1") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:1e9") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:1000000001") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:NaN") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:;memory:1") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:1;service:9") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:1;at:") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;memory:1;at:s-77777777") },
	func(msg *protocol.Message) { msg.Set(protocol.Extras, "cores:1;;memory:1;at:s-00000001;") },
}

func (recorder *scriptRecorder) sendInvalidLaunch() {
	recorder.lastID++
	id := randomChoice(recorder, recorder.lastID, recorder.drawID())
	msg := recorder.newLaunchMessage(id, "")
	randomChoice(recorder, launchCorruptions...)(&msg)
	recorder.receiveFromAnyClient(msg)
}

func (recorder *scriptRecorder) sendClientMessage() {
	kind := randomChoice(recorder, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Stopped, protocol.Stopped,
		protocol.Check, protocol.Staging, protocol.Running, protocol.Checked, protocol.Update, protocol.Migrate,
		protocol.Kind(0))
	msg := wireMessage(kind, recorder.drawID())
	msg.Cause, msg.HasCause = randomChoice[protocol.Cause](recorder, 0, 16, 31, 41), recorder.random.IntN(3) > 0
	recorder.receiveFromAnyClient(msg)
}

// sendPendingAttempt sends a random attempt from pendingAttempts, unless the core has ended the attempt in
// the meantime.
func (recorder *scriptRecorder) sendPendingAttempt() {
	if len(recorder.pendingAttempts) == 0 {
		return
	}
	i := recorder.random.IntN(len(recorder.pendingAttempts))
	attempt := recorder.pendingAttempts[i]
	recorder.pendingAttempts = slices.Delete(recorder.pendingAttempts, i, i+1)
	maySend := recorder.core.PrepareSend(recorder.now, attempt)
	recorder.digestBool(maySend)
	recorder.digestText(string(attempt.Message.Append(nil)))
	if maySend {
		recorder.sentAttempts = append(recorder.sentAttempts, attempt)
	}
}

func (recorder *scriptRecorder) receiveFromNode(attempt *dispatch.Attempt, msg *protocol.Message) {
	recorder.receiveNodeMessage(attempt.Node, msg)
}

// receiveNodeMessage passes a message of a node to the core. If the core leaves out a part of the message, the
// error is added to the digest.
func (recorder *scriptRecorder) receiveNodeMessage(node placer.NodeID, msg *protocol.Message) {
	if err := recorder.core.ReceiveFromNode(recorder.now, node, msg); err != nil {
		recorder.digestError(err)
	}
}

// acceptSentAttempt makes a node accept a random attempt that was sent to the node. The attempt may already
// have ended.
func (recorder *scriptRecorder) acceptSentAttempt() {
	choices := recorder.sentAttempts
	unansweredAttempts := slices.DeleteFunc(slices.Clone(recorder.sentAttempts), func(attempt *dispatch.Attempt) bool { return !attempt.Unanswered() })
	if len(unansweredAttempts) > 0 && recorder.random.IntN(6) > 0 {
		choices = unansweredAttempts
	}
	if len(choices) == 0 {
		return
	}
	attempt := randomChoice(recorder, choices...)
	msg := wireMessage(protocol.Running, uint64(attempt.Message.ID))
	msg.Body = randomChoice(recorder, `"out"`, `"out"`, `"out"`, `"\t"`, "")
	recorder.receiveFromNode(attempt, &msg)
}

// sendNodeMessage makes a node send a random message about a random task.
func (recorder *scriptRecorder) sendNodeMessage() {
	kind := randomChoice(recorder, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Update,
		protocol.Update, protocol.Update, protocol.Launch, protocol.Staging, protocol.Stopped, protocol.Check,
		protocol.Checked, protocol.Migrate)
	if kind == protocol.Checked && len(recorder.checks) > 0 {
		recorder.answerOldestCheck()
		return
	}
	msg := wireMessage(kind, recorder.drawID())
	msg.Cause, msg.HasCause = randomChoice[protocol.Cause](recorder, 16, 31, 34, 34, 41, 42, 47, 102, 5, 0), recorder.random.IntN(8) > 0
	msg.Set(protocol.Note, randomChoice(recorder, "", "cpu_full", "mem_full", "busy", "wrong_host", "oom", "preempted", "drained", "other"))
	msg.Set(protocol.LoadReport, randomChoice(recorder, "", "x0:1.5;x1:2", "x0:bad;x1:3", "zzz:1", "utilization:0.5;backlog:7", "x0", ";"))
	if kind == protocol.Update {
		msg.Set(protocol.Note, randomChoice(recorder, "up", "cpu", "mem", "share", "tight", "", "other"))
		msg.Set(protocol.Value, randomChoice(recorder, "0.5", "1", "3.75", "x", ""))
	}
	if len(recorder.sentAttempts) == 0 || recorder.random.IntN(8) == 0 {
		recorder.receiveNodeMessage(nodeID(1+recorder.random.IntN(4)), &msg)
		return
	}
	choices := recorder.sentAttempts[max(0, len(recorder.sentAttempts)-12):]
	liveAttempts := slices.DeleteFunc(slices.Clone(recorder.sentAttempts), func(attempt *dispatch.Attempt) bool { return !attempt.Live() })
	if len(liveAttempts) > 0 && recorder.random.IntN(4) > 0 {
		choices = liveAttempts
	}
	attempt := randomChoice(recorder, choices...)
	msg.UID, msg.ID = attempt.Message.UID, attempt.Message.ID
	recorder.receiveFromNode(attempt, &msg)
}

// answerOldestCheck makes a node answer the check that was sent first of those that no node has answered. The
// core may no longer wait for the answer.
func (recorder *scriptRecorder) answerOldestCheck() {
	effect := recorder.checks[0]
	recorder.checks = recorder.checks[1:]
	recorder.core.CheckAnswered(recorder.now, effect.Attempt, effect.Check)
}

func (recorder *scriptRecorder) failRandomAttempt() {
	if len(recorder.pendingAttempts) > 0 && recorder.random.IntN(2) == 0 {
		recorder.core.ConnectFailed(recorder.now, randomChoice(recorder, recorder.pendingAttempts...))
	} else if len(recorder.sentAttempts) > 0 {
		recorder.core.ConnectionLost(recorder.now, randomChoice(recorder, recorder.sentAttempts...))
	}
}

func (recorder *scriptRecorder) failRandomNode() {
	id := nodeID(1 + recorder.random.IntN(scriptNodeCount))
	if recorder.random.IntN(2) == 0 {
		recorder.core.NodeDead(recorder.now, id)
	} else {
		recorder.digestNumbers(uint64(recorder.core.NodeUnresponsive(recorder.now, id)))
		recorder.core.RepeatChecks(recorder.now, id)
	}
}

// deliverDiscoveryEvent passes one discovery event to the core. The event may be invalid. An event changes at
// most one node, because the core handles nodes that terminate at the same time in no defined order. The core
// also ends the tasks of a restarted node in no defined order, so a node starts a new incarnation only while
// it runs at most one task.
func (recorder *scriptRecorder) deliverDiscoveryEvent() {
	recorder.eventNumber++
	i := 1 + recorder.random.IntN(scriptNodeCount)
	state := randomChoice(recorder, "in_service", "in_service", "terminating", "terminated")
	var event string
	switch recorder.random.IntN(12) {
	case 0, 1, 2:
		event = dispatch.DiscoveryEventJSON(recorder.eventNumber, true, recorder.completeNodeList(i, state)...)
	case 3:
		event = fmt.Sprintf(`{"no":%d}`, recorder.eventNumber)
	case 4:
		recorder.eventNumber--
		event = randomChoice(recorder, "", "{", `{"no":-1}`, `{"no":"x"}`,
			dispatch.DiscoveryEventJSON(recorder.eventNumber, true),
			dispatch.DiscoveryEventJSON(recorder.eventNumber+2, true),
			dispatch.DiscoveryEventJSON(recorder.eventNumber+1, false, `{"uid":"","state":"in_service"}`),
			dispatch.DiscoveryEventJSON(recorder.eventNumber+1, false, `{"uid":"s-00000001","state":"asleep"}`))
	default:
		event = dispatch.DiscoveryEventJSON(recorder.eventNumber, false, recorder.nodeJSON(i, state, recorder.drawStartTime(i)))
	}
	ok, err := recorder.core.ReceiveDiscoveryEvent(recorder.now, []byte(event))
	recorder.digestBool(ok)
	recorder.digestError(err)
}

// drawStartTime returns a random start time, in milliseconds, for the node with the given number. The core
// ends a running task if the start time of the node is later than the start of the task by more than
// incarnationTolerance. The returned time is less than incarnationTolerance in the future, so the core does
// not end tasks that start from now on. With a later time, a later node list could end several tasks of the
// node at once, and the order of these ends is not defined.
func (recorder *scriptRecorder) drawStartTime(number int) int64 {
	node := recorder.core.Node(nodeID(number))
	if node == nil || node.RunningTasks() > 1 {
		return 0
	}
	return randomChoice(recorder, 0, 0, int64(recorder.now*1000), int64(recorder.now*1000)-1000, int64(recorder.now*1000)+900)
}

// completeNodeList returns the entries of a complete node list. The entry of the node with the number
// changedNode has the state newState. If newState is "terminated", the list contains no entry for this node.
// The entries of all other nodes repeat the states that nodeStates contains.
func (recorder *scriptRecorder) completeNodeList(changedNode int, newState string) (list []string) {
	for i := 1; i <= scriptNodeCount; i++ {
		switch {
		case i == changedNode && newState == "terminated":
			delete(recorder.nodeStates, i)
		case i == changedNode:
			list = append(list, recorder.nodeJSON(i, newState, 0))
		case recorder.nodeStates[i] != "":
			list = append(list, recorder.nodeJSON(i, recorder.nodeStates[i], 0))
		}
	}
	return list
}

// advanceClock advances the clock by the given duration. It usually fires each timer at the time for which the
// timer is set. Sometimes it fires all due timers at the end of the duration instead.
func (recorder *scriptRecorder) advanceClock(duration placer.Seconds) {
	endTime := recorder.now + duration
	if recorder.random.IntN(5) == 0 {
		recorder.now = endTime
		recorder.core.Advance(recorder.now)
		return
	}
	for recorder.core.NextTimer() <= endTime {
		recorder.now = max(recorder.now, recorder.core.NextTimer())
		recorder.core.Advance(recorder.now)
		recorder.digestEffectsAndState(0)
	}
	recorder.now = endTime
}
