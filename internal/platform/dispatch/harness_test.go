package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// coreHarness calls the methods of a core, records what each client sent and received, and checks that the
// core follows the rules of the protocol.
type coreHarness struct {
	t               rapid.TB
	core            *Core
	now             placer.Seconds
	lastEventNumber int // lastEventNumber is the number of the last discovery event.
	lastConn        ConnID
	conns           []ConnID
	lastID          uint64
	clientRecords   map[protocol.ID]*clientRecord
	pendingAttempts []*Attempt // These attempts wait for a connection to their node.
	sentAttempts    []*Attempt // These attempts were sent, and some of them have ended.
	runningAttempts []*Attempt // endAllTasks makes nodes report that these attempts have ended.
	checks          []Effect   // checks contains the effects StopTask and CheckNode that no node has read.
	// running says which nodes run which tasks of class "seats". Only what the nodes did changes it.
	running map[attemptKey]bool
}

// clientRecord records what the client of one task sent and received.
type clientRecord struct {
	// lastNotificationConn is the connection on which the last notification was sent. It is 0 if no
	// notification was sent or if the client has acknowledged the last one.
	lastNotificationConn ConnID
	connID               ConnID // connID identifies the client connection of the launch message.
	deadline             placer.Seconds
	// withdrawn is set if the client withdrew the request. adoptionRequested is set if the client requested
	// the adoption of the task.
	withdrawn, adoptionRequested   bool
	answerCount, notificationCount int
	knowsTaskRuns                  bool // The client knows that the task runs.
	acknowledges                   bool // The last notification is one that clients acknowledge.
	stopMayFollow                  bool // The client was asked to request the task again, and not told of its end yet.
}

// newHarness returns a harness for a core whose node registry contains the nodes 1 to 3. If the given policy
// is nil, the core uses a placer.Placer.
func newHarness(t rapid.TB, policy eventqueue.Placer) *coreHarness {
	settings, err := simconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	if policy == nil {
		if policy, err = placer.New(settings.Placer, 7); err != nil {
			t.Fatal(err)
		}
	}
	harness := &coreHarness{t: t, now: 1000, lastEventNumber: 1, clientRecords: map[protocol.ID]*clientRecord{}, running: map[attemptKey]bool{}}
	list := discoveryEventJSON(1, true, nodeJSON(1, "in_service", 0), nodeJSON(2, "in_service", 0), nodeJSON(3, "in_service", 0))
	initialEvents := `{"no":1,"items":[` + list + `]}`
	if harness.core, err = New(harness.now, settings, policy, []byte(initialEvents)); err != nil {
		t.Fatal(err)
	}
	harness.core.SetDiscoveryConnected(harness.now, true)
	harness.carryOutEffects()
	return harness
}

// sentAttempt creates a core and sends an attempt of a new request to node 1. The node does not answer yet.
// The function returns the harness of the core, the placer that the core uses, and the attempt.
func sentAttempt(t *testing.T, class string) (*coreHarness, *fixedNodePlacer, *Attempt) {
	t.Helper()
	policy := &fixedNodePlacer{node: nodeID(1)}
	harness := newHarness(t, policy)
	harness.sendLaunch(harness.connect(), class, 2000, "")
	harness.sendPendingAttempt(0)
	return harness, policy, harness.sentAttempts[0]
}

// runningAttempt creates a core and sends an attempt of a new request to node 1, which accepts the attempt.
// It returns the harness of the core, the placer that the core uses, and the attempt.
func runningAttempt(t *testing.T, class string) (*coreHarness, *fixedNodePlacer, *Attempt) {
	t.Helper()
	harness, policy, attempt := sentAttempt(t, class)
	harness.acceptAttempt(attempt)
	return harness, policy, attempt
}

func (harness *coreHarness) connect() ConnID {
	harness.lastConn++
	harness.core.ClientConnected(harness.now, harness.lastConn, "10.0.0.1")
	harness.conns = append(harness.conns, harness.lastConn)
	harness.carryOutEffects()
	return harness.lastConn
}

// sendLaunch makes a client send a launch message with a new task ID, and returns that ID. The parameter
// extras is empty for a new placement request. For an adoption request, it is the result of adoptionExtras.
func (harness *coreHarness) sendLaunch(conn ConnID, class string, leftMS float64, extras string) protocol.ID {
	harness.lastID++
	msg := launchMessage(protocol.ID(harness.lastID))
	msg.Set(protocol.Class, class)
	msg.Set(protocol.TimeLeft, fmt.Sprint(leftMS))
	msg.Set(protocol.Extras, "cores:1;memory:1;service:0000000000000009"+extras)
	isAdoption := extras != ""
	deadline := harness.now + placer.Seconds(leftMS/1000)
	harness.clientRecords[msg.ID] = &clientRecord{connID: conn, deadline: deadline, adoptionRequested: isAdoption, knowsTaskRuns: isAdoption}
	harness.receiveFromClient(conn, msg)
	harness.carryOutEffects()
	return msg.ID
}

// requestAdoption sends an adoption request of a client for a task that runs on the given node, and returns
// the ID of the task.
func (harness *coreHarness) requestAdoption(conn ConnID, node int) protocol.ID {
	return harness.sendLaunch(conn, "seats", longRunningMS, adoptionExtras(node))
}

// withdrawRequest makes the client of an open request withdraw the request.
func (harness *coreHarness) withdrawRequest(id protocol.ID) {
	record := harness.clientRecords[id]
	record.withdrawn = true
	harness.receiveFromClient(record.connID, newMessage(protocol.Stop, id, protocol.CauseEnd))
	harness.carryOutEffects()
}

// sendHealthCheck makes a client send a health check, and returns the ID of that message.
func (harness *coreHarness) sendHealthCheck(conn ConnID) protocol.ID {
	healthCheck := newMessage(protocol.Check, 1<<60, 0)
	harness.clientRecords[healthCheck.ID] = &clientRecord{knowsTaskRuns: true}
	harness.receiveFromClient(conn, healthCheck)
	harness.carryOutEffects()
	return healthCheck.ID
}

// receiveFromClient passes a valid message of a client to the core. It does not call carryOutEffects.
func (harness *coreHarness) receiveFromClient(conn ConnID, msg protocol.Message) {
	if err := harness.core.ReceiveFromClient(harness.now, conn, &msg); err != nil {
		harness.t.Fatalf("core rejected the valid message %v on client connection %d with error %v, want no error", msg, conn, err)
	}
}

func (harness *coreHarness) receiveFromNode(attempt *Attempt, msg protocol.Message) []Effect {
	harness.receiveNodeMessage(attempt.Node, &msg)
	return harness.carryOutEffects()
}

// acceptAttempt makes a node accept an attempt that was sent to the node, and returns the effects.
func (harness *coreHarness) acceptAttempt(attempt *Attempt) []Effect {
	if attempt.Message.Get(protocol.Class) == "seats" && attempt.Unanswered() {
		harness.running[attempt.key()] = true
	}
	return harness.receiveFromNode(attempt, runningMessage(attempt.Message.ID))
}

// reportEnd makes a node report the end of a task. It does not call carryOutEffects.
func (harness *coreHarness) reportEnd(node placer.NodeID, id protocol.ID, cause protocol.Cause) {
	msg := newMessage(protocol.Stop, id, cause)
	harness.receiveNodeMessage(node, &msg)
}

// receiveNodeMessage passes a message of a node, all figures of which are valid, to the core.
func (harness *coreHarness) receiveNodeMessage(node placer.NodeID, msg *protocol.Message) {
	if msg.Kind == protocol.Stop {
		delete(harness.running, attemptKey{node, msg.ID})
	}
	if err := harness.core.ReceiveFromNode(harness.now, node, msg); err != nil {
		harness.t.Fatalf("core left out a part of message %v of a node: %v, want no error", msg, err)
	}
}

// migrateTask executes a Migrate action of the placer for a running task. It does not call carryOutEffects.
func (harness *coreHarness) migrateTask(attempt *Attempt) {
	harness.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
}

// answerCheck makes the node of an attempt answer the last check that was sent for the attempt, after it has
// read the order to stop the task, if there is one. It does not call carryOutEffects.
func (harness *coreHarness) answerCheck(attempt *Attempt) {
	if attempt.stopOrdered {
		delete(harness.running, attempt.key())
	}
	harness.core.CheckAnswered(harness.now, attempt, attempt.awaitedCheck)
}

// carryOutEffects takes the effects from the core and returns them. It records each attempt that is to be
// sent, and passes each message for a client to receiveAsClient.
func (harness *coreHarness) carryOutEffects() []Effect {
	if illegalTransitions := harness.core.IllegalTransitions(); illegalTransitions != 0 {
		harness.t.Fatalf("the core made %d illegal state transitions, want 0", illegalTransitions)
	}
	effects := harness.core.Ready()
	for _, effect := range effects {
		switch effect.Kind {
		case SendAttempt:
			harness.pendingAttempts = append(harness.pendingAttempts, effect.Attempt)
		case SendToClient:
			harness.receiveAsClient(effect.Conn, effect.Message)
		case StopTask, CheckNode:
			harness.checks = append(harness.checks, effect)
		}
	}
	return effects
}

// receiveAsClient records a message that the core sent to a client, and checks the message. A request must
// be answered at most once and in time, and it must not be answered after its client withdrew it. A client
// must be notified only once of the end of its running task.
func (harness *coreHarness) receiveAsClient(connID ConnID, msg protocol.Message) {
	record := harness.clientRecords[msg.ID]
	if record == nil {
		harness.t.Fatalf("core sent message %v to a client, but no client has sent a request with the ID of the message", msg)
	}
	switch {
	case msg.Kind == protocol.Running:
		record.answerCount++
		isUnexpected := record.withdrawn || record.adoptionRequested || connID != record.connID || msg.Body != `"out"`
		if isUnexpected || harness.now > record.deadline+0.01 {
			harness.t.Fatalf("got Running message %v at time %v, client record %+v, and client connection %d; want a Running message only for an open request, with body \"out\", before the deadline, and on the connection of the request", msg, harness.now, record, connID)
		}
		record.knowsTaskRuns = true
	case record.knowsTaskRuns:
		harness.receiveNotification(record, connID, msg)
	default:
		record.answerCount++
		if record.withdrawn || harness.now > record.deadline+0.011 {
			harness.t.Fatalf("got rejection %v at time %v and client record %+v; want a rejection only before the deadline, and none after the client withdrew the request", msg, harness.now, record)
		}
	}
	if record.answerCount > 1 {
		harness.t.Fatalf("client received message %v as a second answer to its request, want 1 answer", msg)
	}
}

// receiveNotification records a notification about a running task, and checks it. A second notification is
// allowed only if the connection of the first notification closed before the client acknowledged the first
// notification, or if that connection was not an owner's. One Stop message may follow a Migrate message, in case the client ignores the Migrate message.
func (harness *coreHarness) receiveNotification(record *clientRecord, connID ConnID, msg protocol.Message) {
	record.notificationCount++
	lastConn := harness.core.clients.get(record.lastNotificationConn)
	lastMayBeLost := record.lastNotificationConn != 0 && (lastConn == nil || lastConn.identity != clientOwner)
	isRepeated := record.notificationCount > 1 && !lastMayBeLost
	switch {
	case isRepeated && record.stopMayFollow && msg.Kind == protocol.Stop:
		record.stopMayFollow = false
	case isRepeated:
		harness.t.Fatalf("client received message %v as a second notification of the end of its task; want no second notification, unless the connection of the first one closed before the client acknowledged it", msg)
	case msg.Kind == protocol.Migrate:
		harness.requireNotRunning(msg.ID)
		record.stopMayFollow = true
	}
	record.lastNotificationConn = connID
	record.acknowledges = msg.Kind != protocol.Migrate
}

// requireNotRunning fails the test if any node runs the task with the given ID.
func (harness *coreHarness) requireNotRunning(id protocol.ID) {
	for key := range harness.running {
		if key.id == id {
			harness.t.Fatalf("client was asked to request task %x again while node %x runs it, want no node to run it", uint64(id), key.node)
		}
	}
}

// acknowledgeNotification makes the client of a task acknowledge the last notification about that task. It
// does nothing if there is no such notification, if the connection of the notification is closed, or if the
// notification is a Migrate message, which clients never acknowledge.
func (harness *coreHarness) acknowledgeNotification(id protocol.ID) {
	record := harness.clientRecords[id]
	if !record.acknowledges || record.lastNotificationConn == 0 || harness.core.clients.get(record.lastNotificationConn) == nil {
		return
	}
	harness.receiveFromClient(record.lastNotificationConn, newMessage(protocol.Stopped, id, noCause))
	record.lastNotificationConn = 0
	harness.carryOutEffects()
}

// sendPendingAttempt sends the attempt with the given index in pendingAttempts. It fails the test if another
// attempt of the same request is live.
func (harness *coreHarness) sendPendingAttempt(index int) {
	attempt := harness.pendingAttempts[index]
	harness.pendingAttempts = slices.Delete(harness.pendingAttempts, index, index+1)
	if !harness.core.PrepareSend(harness.now, attempt) {
		harness.carryOutEffects()
		return
	}
	for _, other := range slices.Concat(harness.sentAttempts, harness.runningAttempts) {
		if other != attempt && other.request == attempt.request && other.Live() {
			harness.t.Fatalf("two attempts of request %s are live at the same time, want at most 1", attempt.Message.UID)
		}
	}
	if node := harness.core.Node(attempt.Node); node.State != placer.Ready || harness.now >= attempt.expiresAt {
		harness.t.Fatalf("attempt was sent to a node in state %d at time %v, want a node in state Ready and a time before the expiry time %v", node.State, harness.now, attempt.expiresAt)
	}
	harness.sentAttempts = append(harness.sentAttempts, attempt)
	harness.carryOutEffects()
}

func (harness *coreHarness) advanceClock(duration placer.Seconds) {
	endTime := harness.now + duration
	for harness.core.NextTimer() <= endTime {
		harness.now = max(harness.now, harness.core.NextTimer())
		harness.core.Advance(harness.now)
		harness.carryOutEffects()
	}
	harness.now = endTime
}

// deliverDiscoveryEvent delivers the next discovery event.
func (harness *coreHarness) deliverDiscoveryEvent(complete bool, nodes ...string) {
	harness.lastEventNumber++
	ok, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(discoveryEventJSON(harness.lastEventNumber, complete, nodes...)))
	if !ok || err != nil {
		harness.t.Fatalf("discovery event %d was not applied: ReceiveDiscoveryEvent returned ok %v and error %v, want ok and no error", harness.lastEventNumber, ok, err)
	}
}

// endAllTasks ends all running tasks and advances the clock until all retention times have passed. It then
// checks that each request was answered and that the core contains no request and no attempt.
func (harness *coreHarness) endAllTasks() {
	harness.advanceClock(10)
	for _, attempt := range slices.Clone(harness.runningAttempts) {
		harness.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd))
	}
	healthCheckID := harness.sendHealthCheck(harness.connect())
	harness.advanceClock(30)
	for id, record := range harness.clientRecords {
		if record.answerCount == 0 && !record.withdrawn && !record.adoptionRequested && id != healthCheckID {
			harness.t.Fatalf("request %x was not answered, client record is %+v; want 1 answer", uint64(id), record)
		}
	}
	harness.requireEmpty()
	harness.requireInvariants()
	if pendingCount := len(harness.core.notifier.pendingNotifications); pendingCount != 0 {
		harness.t.Fatalf("core has %d pending notifications after all retention times have passed, want 0", pendingCount)
	}
}

// requireInvariants fails the test if an invariant of the core does not hold.
func (harness *coreHarness) requireInvariants() {
	if err := harness.core.CheckInvariants(); err != nil {
		harness.t.Fatal(err)
	}
}

// requireEmpty fails the test if the core contains any request or attempt.
func (harness *coreHarness) requireEmpty() {
	core := harness.core
	remainingCounts := []int{core.OpenRequests(), core.RunningTasks(), len(core.requests.byTask), len(core.requests.byID), len(core.attempts.byKey)}
	if slices.ContainsFunc(remainingCounts, func(count int) bool { return count != 0 }) {
		harness.t.Fatalf("core is not empty: the numbers of open requests, running tasks, requests by task ID, requests by message ID and attempts are %v, want 0 for each", remainingCounts)
	}
}
