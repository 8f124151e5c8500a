package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestRandomEventOrders passes messages of clients and nodes, and events of connections and of discovery, to
// a core in random order. Each request must be answered once and in time unless its client withdrew it, and
// at most one attempt of a request may be live. A client must be notified once of the end of its running
// task, and must not be asked to request a task again that a node runs. After all tasks have ended, the core must contain no request and no attempt.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		driver := &randomDriver{newHarness(t, nil), t}
		driver.connect()
		for range rapid.IntRange(1, 120).Draw(t, "number of steps") {
			driver.makeRandomStep()
			driver.requireInvariants()
		}
		driver.endAllTasks()
	})
}

// randomDriver calls the methods of a core in random order.
type randomDriver struct {
	*coreHarness
	t *rapid.T
}

// draw returns a random number from 0 to n-1.
func (driver *randomDriver) draw(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(driver.t, label)
}

func (driver *randomDriver) makeRandomStep() {
	switch driver.draw(20, "kind of step") {
	case 0, 1, 2:
		driver.launchRandomTask()
	case 3, 4, 5:
		if len(driver.pendingAttempts) > 0 {
			driver.sendPendingAttempt(driver.draw(len(driver.pendingAttempts), "pending attempt"))
		}
	case 6:
		driver.failRandomConnect()
	case 7, 8:
		driver.acceptRandomAttempt()
	case 9:
		driver.stopRandomTask()
	case 10:
		if len(driver.sentAttempts) > 0 {
			driver.core.ConnectionLost(driver.now, driver.sentAttempts[driver.draw(len(driver.sentAttempts), "sent attempt")])
			driver.carryOutEffects()
		}
	case 11:
		driver.withdrawRandomRequest()
	case 12:
		driver.makeRandomConnOrDiscoveryEvent()
	case 13:
		if driver.lastID > 0 {
			driver.acknowledgeNotification(protocol.ID(1 + driver.draw(int(driver.lastID), "task ID")))
		}
	case 14:
		driver.requestAdoptionOfEndingTask()
	case 15, 16:
		driver.migrateRandomTask()
	case 17, 18:
		driver.readRandomCheck()
	default:
		driver.advanceClock(placer.Seconds(driver.draw(2000, "milliseconds")) / 1000)
	}
}

func (driver *randomDriver) launchRandomTask() {
	if len(driver.conns) > 0 {
		class := []string{"query", "seats"}[driver.draw(2, "task class")]
		driver.sendLaunch(driver.conns[driver.draw(len(driver.conns), "connection")], class, float64(driver.draw(4000, "remaining milliseconds")), "")
	}
}

func (driver *randomDriver) failRandomConnect() {
	if len(driver.pendingAttempts) > 0 {
		i := driver.draw(len(driver.pendingAttempts), "pending attempt")
		driver.core.ConnectFailed(driver.now, driver.pendingAttempts[i])
		driver.pendingAttempts = slices.Delete(driver.pendingAttempts, i, i+1)
		driver.carryOutEffects()
	}
}

func (driver *randomDriver) acceptRandomAttempt() {
	if len(driver.sentAttempts) == 0 {
		return
	}
	driver.acceptAttempt(driver.sentAttempts[driver.draw(len(driver.sentAttempts), "sent attempt")])
	// All attempts of a request have the same ID in messages. If two of them were sent to the same node, the
	// core assigns the node's answer to the attempt that was sent later.
	for _, attempt := range driver.sentAttempts {
		if attempt.state == attemptRunning && !slices.Contains(driver.runningAttempts, attempt) {
			driver.runningAttempts = append(driver.runningAttempts, attempt)
		}
	}
}

// stopRandomTask makes a node report the end of a random task with a random cause, even if the task runs on
// another node.
func (driver *randomDriver) stopRandomTask() {
	if len(driver.sentAttempts) > 0 {
		attempt := driver.sentAttempts[driver.draw(len(driver.sentAttempts), "sent attempt")]
		id := driver.sentAttempts[driver.draw(len(driver.sentAttempts), "attempt of the task")].Message.ID
		cause := []protocol.Cause{16, 31, 34, 41, 47, 102, 5}[driver.draw(7, "cause")]
		driver.receiveFromNode(attempt, newMessage(protocol.Stop, id, cause))
	}
}

// migrateRandomTask executes a Migrate action of the placer for a random running task.
func (driver *randomDriver) migrateRandomTask() {
	if len(driver.runningAttempts) > 0 {
		driver.migrateTask(driver.runningAttempts[driver.draw(len(driver.runningAttempts), "running attempt")])
		driver.carryOutEffects()
	}
}

// readRandomCheck makes the node of a random check read all messages up to this check, or lose them. The
// connection may break before the node's answer arrives; the checks are then repeated.
func (driver *randomDriver) readRandomCheck() {
	if len(driver.checks) == 0 {
		return
	}
	last := driver.draw(len(driver.checks), "check")
	node := driver.checks[last].Attempt.Node
	lost, answered := driver.draw(3, "messages are lost") == 0, driver.draw(3, "answers arrive") > 0
	var unread, read []Effect
	for i, effect := range driver.checks {
		if i > last || effect.Attempt.Node != node {
			unread = append(unread, effect)
			continue
		}
		read = append(read, effect)
	}
	driver.checks = unread
	for _, effect := range read {
		if lost {
			continue
		}
		if effect.Kind == StopTask {
			delete(driver.running, effect.Attempt.key())
		}
		if answered {
			driver.core.CheckAnswered(driver.now, effect.Attempt, effect.Check)
			driver.carryOutEffects()
		}
	}
	if lost || !answered {
		driver.core.RepeatChecks(driver.now, node)
		driver.carryOutEffects()
	}
}

func (driver *randomDriver) withdrawRandomRequest() {
	if driver.lastID == 0 {
		return
	}
	id := protocol.ID(1 + driver.draw(int(driver.lastID), "task ID"))
	record := driver.clientRecords[id]
	if driver.core.clients.get(record.connID) == nil {
		return
	}
	record.withdrawn = record.withdrawn || record.answerCount == 0
	driver.receiveFromClient(record.connID, newMessage(protocol.Stop, id, protocol.CauseEnd))
	driver.carryOutEffects()
}

func (driver *randomDriver) makeRandomConnOrDiscoveryEvent() {
	switch driver.draw(4, "kind of event") {
	case 0:
		if len(driver.conns) < 5 {
			driver.connect()
		}
	case 1:
		driver.disconnectRandomClient()
	case 2: // Nodes that are missing from a complete node list count as terminated.
		var nodes []string
		for i := range 5 {
			if driver.draw(3, "node is in the complete node list") > 0 {
				nodes = append(nodes, nodeJSON(1+i, []string{"in_service", "terminating"}[driver.draw(2, "node state")], 0))
			}
		}
		driver.deliverDiscoveryEvent(true, nodes...)
		driver.carryOutEffects()
	default:
		node := 1 + driver.draw(5, "node")
		state := []string{"in_service", "terminating", "terminated"}[driver.draw(3, "node state")]
		startedAtMS := int64(driver.draw(3, "start time")) * int64(driver.now*1000)
		driver.deliverDiscoveryEvent(false, nodeJSON(node, state, startedAtMS))
		driver.carryOutEffects()
	}
}

func (driver *randomDriver) disconnectRandomClient() {
	if len(driver.conns) == 0 {
		return
	}
	i := driver.draw(len(driver.conns), "connection")
	for _, record := range driver.clientRecords {
		record.withdrawn = record.withdrawn || record.connID == driver.conns[i] && record.answerCount == 0
	}
	driver.core.ClientDisconnected(driver.now, driver.conns[i])
	driver.conns = slices.Delete(driver.conns, i, i+1)
	driver.carryOutEffects()
}

// requestAdoptionOfEndingTask sends an adoption request of a client for a task, and a report of the node that
// the task has ended. The report arrives either before or after the adoption request.
func (driver *randomDriver) requestAdoptionOfEndingTask() {
	if len(driver.conns) == 0 {
		return
	}
	conn := driver.conns[driver.draw(len(driver.conns), "connection")]
	nextID := protocol.ID(driver.lastID + 1)
	endReportedFirst := driver.draw(2, "end is reported before the adoption request") == 0
	if endReportedFirst {
		driver.reportEnd(nodeID(1), nextID, protocol.CauseEnd)
	}
	id := driver.requestAdoption(conn, 1)
	if !endReportedFirst {
		driver.reportEnd(nodeID(1), nextID, protocol.CauseEnd)
		driver.carryOutEffects()
	}
	if notifications := driver.clientRecords[id].notificationCount; notifications != 1 {
		driver.t.Fatalf("client received %d notifications of the end of its task, want 1", notifications)
	}
}

// TestAdoptionInRandomOrder simulates a scheduler start after which a client requests the adoption of its
// running tasks. The adoption requests, the ends of the tasks and the changes of client connections occur in
// random order. The client must be notified of the end of each task, and no task that has ended may count as
// running.
func TestAdoptionInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		driver := &adoptionDriver{randomDriver: randomDriver{newHarness(t, nil), t}, adoptionRequested: map[int]bool{}, endReported: map[int]bool{}}
		driver.conn = driver.connect()
		for range rapid.IntRange(1, 80).Draw(t, "number of steps") {
			driver.makeRandomAdoptionStep()
			driver.requireInvariants()
		}
		for id := range driver.adoptionRequested {
			if record := driver.clientRecords[protocol.ID(id)]; driver.endReported[id] && record.notificationCount == 0 {
				t.Fatalf("client was not notified of the end of task %d, although it requested the adoption of the task; want a notification", id)
			}
		}
		for id := 1; id <= adoptableTasks; id++ {
			driver.endTask(id, protocol.CauseEnd)
		}
		driver.endAllTasks()
		earlyTerminations := driver.core.nodeMessages.earlyTerminations
		if len(earlyTerminations.records) != 0 || len(earlyTerminations.keysOldestFirst) != 0 {
			t.Fatalf("after the retention time, the early termination log has %d records; want 0 records and 0 keys in keysOldestFirst", len(earlyTerminations.records))
		}
	})
}

// adoptableTasks is the number of tasks for which an adoptionDriver sends adoption requests. The IDs of these
// tasks start at 1.
const adoptableTasks = 12

// adoptionDriver sends adoption requests and makes nodes report the ends of tasks, in random order.
type adoptionDriver struct {
	randomDriver
	conn                           ConnID
	adoptionRequested, endReported map[int]bool
}

// nodeOf returns the number of the node that runs the task with the given ID.
func (driver *adoptionDriver) nodeOf(id int) int { return 1 + id%3 }

func (driver *adoptionDriver) makeRandomAdoptionStep() {
	id := 1 + driver.draw(adoptableTasks, "task ID")
	switch driver.draw(6, "kind of step") {
	case 0, 1:
		driver.requestAdoptionOf(id)
	case 2, 3:
		driver.endReported[id] = true
		driver.endTask(id, []protocol.Cause{protocol.CauseEnd, protocol.CauseLost}[driver.draw(2, "cause")])
	case 4:
		driver.core.ClientDisconnected(driver.now, driver.conn)
		driver.carryOutEffects()
		driver.conn = driver.connect()
		driver.sendHealthCheck(driver.conn)
	default:
		driver.advanceClock(placer.Seconds(driver.draw(300, "milliseconds")) / 1000)
	}
}

// requestAdoptionOf sends the client's adoption request for a task on the current client connection, unless
// the client was already notified of the end of the task.
func (driver *adoptionDriver) requestAdoptionOf(number int) {
	id := protocol.ID(number)
	record := driver.clientRecords[id]
	if record == nil {
		record = &clientRecord{connID: driver.conn, adoptionRequested: true, knowsTaskRuns: true}
		driver.clientRecords[id] = record
	}
	if driver.adoptionRequested[number] {
		record.connID = driver.conn
	}
	if record.notificationCount > 0 {
		return
	}
	msg := launchMessage(id)
	msg.Set(protocol.Extras, "cores:1;memory:1"+adoptionExtras(driver.nodeOf(number)))
	msg.Set(protocol.TimeLeft, fmt.Sprint(longRunningMS))
	driver.receiveFromClient(driver.conn, msg)
	driver.adoptionRequested[number] = true
	driver.carryOutEffects()
}

// endTask makes the node that runs a task report that the task has ended.
func (driver *adoptionDriver) endTask(number int, cause protocol.Cause) {
	driver.reportEnd(nodeID(driver.nodeOf(number)), protocol.ID(number), cause)
	driver.carryOutEffects()
}

// TestChurn adds and removes thousands of nodes, connections and tasks. It then checks that the core contains
// no data of the removed nodes, connections and tasks.
func TestChurn(t *testing.T) {
	harness := newHarness(t, nil)
	for i := range 3000 {
		conn := harness.connect()
		harness.sendLaunch(conn, "query", 500, "")
		for len(harness.pendingAttempts) > 0 {
			harness.sendPendingAttempt(0)
		}
		for _, attempt := range harness.sentAttempts {
			harness.acceptAttempt(attempt)
			if i%2 == 0 {
				harness.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd))
			}
		}
		// At the end of the test, only tasks of the last step can run. Earlier tasks have ended, or their nodes
		// have terminated.
		harness.sentAttempts, harness.runningAttempts = nil, harness.sentAttempts
		harness.deliverDiscoveryEvent(false, nodeJSON(i+4, "in_service", 0), nodeJSON(i+1, "terminated", 0))
		harness.advanceClock(0.2)
		harness.core.ClientDisconnected(harness.now, conn)
		harness.carryOutEffects()
	}
	harness.conns = nil
	harness.endAllTasks()
	harness.advanceClock(terminatedNodeRetention)
	if nodes := len(harness.core.nodes.nodes); nodes > 4 {
		t.Errorf("node registry contains %d nodes after the terminated nodes were removed, want at most 4", nodes)
	}
	if timers := harness.core.timers.Len(); timers > 20 {
		t.Errorf("core has %d timers after all tasks and terminated nodes were removed, want at most 20", timers)
	}
}
