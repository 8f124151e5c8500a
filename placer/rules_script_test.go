package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// randomDriver is a test driver that sends a seeded random sequence of events to a Placer. It sends only
// events that can occur in practice. It checks each action of the Placer against the five placement rules,
// which concern final answers, retries, node states, slow start and spread.
type randomDriver struct {
	t                 *testing.T
	config            Config
	placer            *Placer
	rng               *rand.Rand
	now               Seconds
	nodes             map[NodeID]Node
	nodeIDs           []NodeID
	tasks             map[TaskID]*taskState
	taskOrder         []TaskID
	timers            []scheduledTimer
	slowStartAttempts map[NodeID][]Seconds
	actionLog         []string
	correlatedFaults  bool // the driver injects faults that affect many nodes at once
}

// scheduledTimer is a timer that the Placer has started and that has not fired.
type scheduledTimer struct {
	firesAt Seconds
	token   uint64
}

// driverAttempt is the test driver's record of an attempt that the Placer has started, or of a task that was
// found running.
type driverAttempt struct {
	node               Node
	sentAt, timesOutAt Seconds
	outstanding, bound bool
	mayHaveRun         bool // the attempt failed, but the task may have started
}

// taskState is the test driver's record of a task that was requested or found running, with its attempts.
type taskState struct {
	Task
	attempts []*driverAttempt
	done     bool // the request was answered, placed or withdrawn
	answers  int  // number of final answers that the client received
}

func (driver *randomDriver) handleEvent(event Event) {
	for _, action := range driver.placer.Handle(driver.now, event, nil) {
		driver.checkAction(action)
	}
}

// failOnAction ends the test because of an action that violates a rule. The failure message contains the time
// and the action.
func (driver *randomDriver) failOnAction(action Action, format string, args ...any) {
	driver.t.Helper()
	driver.t.Fatalf("at the time %.3f, action %+v: %s", driver.now, action, fmt.Sprintf(format, args...))
}

// checkAction checks an action of the Placer against the placement rules and carries it out.
func (driver *randomDriver) checkAction(action Action) {
	driver.actionLog = append(driver.actionLog, fmt.Sprintf("%.3f %+v", driver.now, action))
	switch action.Kind {
	case SetTimer:
		driver.timers = append(driver.timers, scheduledTimer{driver.now + action.After, action.Token})
		return
	case WatchNodes, ListNodes:
		return
	}
	task := driver.tasks[action.Task]
	if task == nil {
		driver.failOnAction(action, "the action is for a task that was neither requested nor found running")
	}
	if action.Kind == Migrate {
		if len(task.attempts) == 0 || !task.attempts[len(task.attempts)-1].bound {
			driver.failOnAction(action, "the task to migrate does not run on a node")
		}
		return
	}
	if task.done || task.answers > 0 {
		driver.failOnAction(action, "the rule on final answers is violated, because the request is already done")
	}
	for _, attempt := range task.attempts {
		if attempt.outstanding && action.Kind != Fail {
			driver.failOnAction(action, "the rule on retries is violated, because another attempt is outstanding")
		}
	}
	if action.Kind == Reject || action.Kind == Fail {
		driver.checkAnswer(action, task)
	} else {
		driver.checkAttempt(action, task)
	}
}

// unknownOutcomeAttempt returns the first failed attempt that may have started the task, or nil if there is
// none.
func (task *taskState) unknownOutcomeAttempt() *driverAttempt {
	for _, attempt := range task.attempts {
		if attempt.mayHaveRun {
			return attempt
		}
	}
	return nil
}

// checkAnswer checks a final answer against the rules on final answers and retries.
func (driver *randomDriver) checkAnswer(action Action, task *taskState) {
	task.answers++
	task.done = true
	if driver.now > task.Deadline+driver.config.Attempts.AnswerGrace {
		driver.failOnAction(action, "the rule on final answers is violated, because the final answer is sent %.3f s after the deadline", driver.now-task.Deadline)
	}
	class := driver.config.Classes[task.Class]
	dedupInCluster := class.Idempotency == IdempotentByKey && class.DedupDomain == ClusterDomain
	rejectIsUnsafe := class.Idempotency != Idempotent && !dedupInCluster
	if action.Kind == Reject && task.unknownOutcomeAttempt() != nil && rejectIsUnsafe {
		driver.failOnAction(action, "the rule on retries is violated, because the final answer is Reject although the task may be running and must not start twice")
	}
}

// checkAttempt checks an attempt against the placement rules and adds it to its task.
func (driver *randomDriver) checkAttempt(action Action, task *taskState) {
	class, node := driver.config.Classes[task.Class], driver.nodes[action.Node]
	if earlierAttempt := task.unknownOutcomeAttempt(); earlierAttempt != nil {
		outsideDedup := node.Rack != earlierAttempt.node.Rack || driver.now > earlierAttempt.sentAt+class.DedupWindow
		if class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && outsideDedup {
			driver.failOnAction(action, "the rule on retries is violated, because another attempt is made although the task may be running")
		}
	}
	wrongType := class.NodeType >= 0 && class.NodeType != node.NodeType
	if node.State != Ready || len(task.attempts) >= driver.config.Attempts.Max || wrongType {
		driver.failOnAction(action, "the attempt is on the node %+v, want a ready node of the type that the task class requires, and at most Attempts.Max attempts", node)
	}
	if node.StartedAt > 0 && driver.now-node.StartedAt < driver.config.SlowStart.Duration {
		driver.checkSlowStart(action, node)
	}
	if class.SpreadDomain != NoDomain {
		driver.checkSpread(action, task, node)
	}
	task.attempts = append(task.attempts, &driverAttempt{node: node, sentAt: driver.now, timesOutAt: action.Until, outstanding: true})
}

// checkSlowStart checks an attempt on a node in slow start against the slow-start rule. The rule limits the
// attempts of each scheduler on such a node to the scheduler's share.
func (driver *randomDriver) checkSlowStart(action Action, node Node) {
	attemptCount := 1
	for _, at := range driver.slowStartAttempts[node.ID] {
		if driver.now-at <= driver.config.SlowStart.OverloadWindow {
			attemptCount++
		}
	}
	if float64(attemptCount) > math.Ceil(driver.config.SlowStart.MaxAttempts/float64(driver.config.Peers.Total)) {
		driver.failOnAction(action, "the slow-start rule is violated, because this scheduler made %d attempts on the node within the time OverloadWindow, which is more than the share of the scheduler", attemptCount)
	}
	driver.slowStartAttempts[node.ID] = append(driver.slowStartAttempts[node.ID], driver.now)
}

// checkSpread checks an attempt against the spread rule, which limits the number of tasks of a service in one
// failure domain.
func (driver *randomDriver) checkSpread(action Action, task *taskState, node Node) {
	class := driver.config.Classes[task.Class]
	taskCount := 1
	for _, otherTask := range driver.tasks {
		for _, attempt := range otherTask.attempts {
			countsForService := otherTask.Service == task.Service && (attempt.outstanding || attempt.bound)
			inSameDomain := attempt.node.ID == node.ID || class.SpreadDomain == RackDomain && attempt.node.Rack == node.Rack
			if countsForService && inSameDomain {
				taskCount++
			}
		}
	}
	if taskCount > class.MaxPerDomain {
		driver.failOnAction(action, "the spread rule is violated, because the failure domain of the node would have %d tasks of the service, which is more than MaxPerDomain permits", taskCount)
	}
}

func (driver *randomDriver) endAttempt(task *taskState, attemptIndex int, result Result, reason Reason) {
	attempt := task.attempts[attemptIndex]
	final := task.done || attempt.bound
	if !attempt.bound && result != Rejected && result != Unreachable && result != Expired {
		attempt.mayHaveRun = true
	}
	attempt.outstanding, attempt.bound = false, false
	if final {
		task.done = true
	}
	event := Event{Kind: Ended, TaskID: task.ID, Attempt: attemptIndex, Node: attempt.node.ID, Result: result, Reason: reason, Final: final,
		Elapsed: driver.now - attempt.sentAt}
	if driver.rng.IntN(2) == 0 {
		event.Report = &Report{driver.rng.Float64() * 16, driver.rng.Float64() * 32, driver.rng.Float64(), math.NaN()}
	}
	driver.handleEvent(event)
}

// step advances the time by 5 ms and sends random events to the Placer.
func (driver *randomDriver) step(number int) {
	driver.now += 0.005
	driver.fireTimers()
	for _, id := range driver.taskOrder {
		state := driver.tasks[id]
		for i := range state.attempts {
			driver.advanceAttempt(state, i)
		}
		if !state.done && driver.rng.IntN(2000) == 0 {
			state.done = true
			driver.handleEvent(Event{Kind: Withdrawn, TaskID: id})
		}
		if !state.done && driver.now > state.Deadline+driver.config.Attempts.AnswerGrace {
			driver.t.Fatalf("the rule on final answers is violated, because the request for task %d has no final answer after its deadline", id)
		}
	}
	if driver.rng.IntN(8) == 0 {
		driver.addTask(TaskID(number + 1))
	}
	if driver.rng.IntN(150) == 0 {
		driver.changeNode()
	}
	if driver.correlatedFaults && driver.rng.IntN(300) == 0 {
		driver.injectCorrelatedFault()
	}
	if driver.rng.IntN(900) == 0 {
		driver.listAllNodes()
	}
	if driver.rng.IntN(500) == 0 {
		driver.handleEvent(Event{Kind: NodesListed, List: ListFailed})
	}
	if number%400 == 0 {
		driver.removeDoneTasks()
	}
}

func (driver *randomDriver) fireTimers() {
	for i := 0; i < len(driver.timers); {
		timer := driver.timers[i]
		if timer.firesAt > driver.now {
			i++
			continue
		}
		driver.timers = append(driver.timers[:i], driver.timers[i+1:]...)
		driver.handleEvent(Event{Kind: TimerFired, Token: timer.token})
	}
}

// advanceAttempt decides at random whether an outstanding attempt gets an answer, or whether the running task
// of the attempt ends.
func (driver *randomDriver) advanceAttempt(task *taskState, attemptIndex int) {
	attempt := task.attempts[attemptIndex]
	switch {
	case attempt.outstanding && driver.now >= attempt.timesOutAt:
		driver.endAttempt(task, attemptIndex, TimedOut, NoReason)
	case attempt.outstanding && driver.rng.IntN(12) == 0:
		driver.answerAttemptRandomly(task, attemptIndex)
	case attempt.bound && driver.rng.IntN(400) == 0:
		driver.endAttempt(task, attemptIndex, []Result{Finished, Lost, Cancelled}[driver.rng.IntN(3)], Reason(driver.rng.IntN(8)))
	}
}

func (driver *randomDriver) answerAttemptRandomly(task *taskState, attemptIndex int) {
	attempt := task.attempts[attemptIndex]
	switch randomNumber := driver.rng.IntN(12); {
	case randomNumber < 5 && !task.done:
		attempt.outstanding, attempt.bound, task.done = false, true, true
		driver.handleEvent(Event{Kind: Bound, TaskID: task.ID, Attempt: attemptIndex, Node: attempt.node.ID, Elapsed: driver.now - attempt.sentAt})
	case randomNumber < 8:
		driver.endAttempt(task, attemptIndex, Rejected, Reason(1+driver.rng.IntN(4)))
	case randomNumber < 9:
		driver.endAttempt(task, attemptIndex, Unreachable, NoReason)
	case randomNumber < 10:
		driver.endAttempt(task, attemptIndex, Errored, NoReason)
	case randomNumber < 11:
		driver.endAttempt(task, attemptIndex, Lost, NoReason)
	}
}

// addTask requests the placement of a random task. In one of ten cases, it instead reports that the task was
// found running on a node.
func (driver *randomDriver) addTask(id TaskID) {
	task := Task{ID: id, Class: driver.rng.IntN(len(driver.config.Classes)), Service: ServiceID(driver.rng.IntN(9)),
		Cores: driver.rng.Float64() * 3, Memory: driver.rng.Float64() * 6,
		Deadline: driver.now + 0.5 + Seconds(5*driver.rng.Float64())}
	task.Service = ServiceID(uint64(task.Class)*100 + uint64(task.Service))
	state := &taskState{Task: task}
	driver.tasks[id] = state
	driver.taskOrder = append(driver.taskOrder, id)
	if driver.rng.IntN(10) != 0 {
		driver.handleEvent(Event{Kind: Arrived, Task: task})
		return
	}
	node := driver.randomNode()
	state.done = true
	state.attempts = []*driverAttempt{{node: node, sentAt: driver.now, bound: true}}
	driver.handleEvent(Event{Kind: Adopted, Task: task, Node: node.ID})
}

func (driver *randomDriver) randomNode() Node {
	return driver.nodes[driver.nodeIDs[driver.rng.IntN(len(driver.nodeIDs))]]
}

// changeNode changes the state or the free capacity of a random node and sends the change to the Placer.
func (driver *randomDriver) changeNode() {
	node := driver.randomNode()
	switch driver.rng.IntN(4) {
	case 0:
		node.State = Draining
	case 1:
		node.State = Terminated
	case 2:
		node.State, node.StartedAt = Ready, driver.now-Seconds(driver.rng.Float64())
	case 3:
		node.State = Ready
		node.FreeCores = driver.rng.Float64() * 32
	}
	driver.nodes[node.ID] = node
	driver.handleEvent(Event{Kind: NodesListed, List: Changes, Nodes: []Node{node}})
}

// listAllNodes terminates some nodes and sends a full node list without the terminated nodes.
func (driver *randomDriver) listAllNodes() {
	var listedNodes []Node
	for _, id := range driver.nodeIDs {
		node := driver.nodes[id]
		if driver.rng.IntN(9) == 0 {
			node.State = Terminated
			driver.nodes[id] = node
		}
		if node.State != Terminated {
			listedNodes = append(listedNodes, node)
		}
	}
	driver.handleEvent(Event{Kind: NodesListed, List: FullList, Nodes: listedNodes})
}

// removeDoneTasks removes the tasks whose request is done and that have neither an outstanding nor a bound
// attempt.
func (driver *randomDriver) removeDoneTasks() {
	keptTasks := driver.taskOrder[:0]
	for _, id := range driver.taskOrder {
		state, hasLiveAttempt := driver.tasks[id], false
		for _, attempt := range state.attempts {
			hasLiveAttempt = hasLiveAttempt || attempt.outstanding || attempt.bound
		}
		if !hasLiveAttempt && state.done {
			delete(driver.tasks, id)
		} else {
			keptTasks = append(keptTasks, id)
		}
	}
	driver.taskOrder = keptTasks
}

// injectCorrelatedFault injects a fault that affects many nodes at once. In half of the cases, all nodes of
// one type restart. In the other half, a third of the nodes change their state: ready nodes start to drain,
// and draining nodes terminate and are replaced by new nodes in slow start.
func (driver *randomDriver) injectCorrelatedFault() {
	var affectedNodes []Node
	nodeType, firstIndex := driver.rng.IntN(2), driver.rng.IntN(3)
	restart := driver.rng.IntN(2) == 0
	for i, id := range driver.nodeIDs {
		node := driver.nodes[id]
		switch {
		case restart && node.NodeType == nodeType:
			node.State, node.StartedAt = Ready, driver.now-Seconds(driver.rng.Float64()/2)
		case !restart && i%3 == firstIndex && node.State == Ready:
			node.State = Draining
		case !restart && i%3 == firstIndex && node.State == Draining:
			node.State = Terminated
			replacement := node
			replacement.ID, replacement.State, replacement.StartedAt = NodeID(len(driver.nodes)+1), Ready, driver.now
			driver.nodes[replacement.ID] = replacement
			driver.nodeIDs[i] = replacement.ID
			affectedNodes = append(affectedNodes, replacement)
		default:
			continue
		}
		driver.nodes[id] = node
		affectedNodes = append(affectedNodes, node)
	}
	driver.handleEvent(Event{Kind: NodesListed, List: Changes, Nodes: affectedNodes})
}
