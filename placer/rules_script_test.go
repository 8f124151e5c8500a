package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// randomScript sends a seeded random sequence of events to a Placer. It sends only events that can occur in
// practice. The script checks each action against the five placement rules, which are the rules on final
// answers (1), retries (2), node states (3), slow start (4) and spread (5).
type randomScript struct {
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
	correlatedFaults  bool // the script injects faults that affect many nodes at once
}

// scheduledTimer is a timer that the Placer has started and that has not fired.
type scheduledTimer struct {
	firesAt Seconds
	token   uint64
}

// scriptAttempt is an attempt that the Placer has started, or a task that was found running.
type scriptAttempt struct {
	node               Node
	sentAt, timesOutAt Seconds
	outstanding, bound bool
	mayHaveRun         bool // the attempt failed, but the task may have started
}

// taskState is a task that was requested or found running, with its attempts.
type taskState struct {
	Task
	attempts []*scriptAttempt
	done     bool
	answers  int // number of final answers that the client received
}

func (script *randomScript) handleEvent(event Event) {
	for _, action := range script.placer.Handle(script.now, event, nil) {
		script.checkAction(action)
	}
}

// failOnAction ends the test because of an action that violates a rule. The failure message contains the time
// and the action.
func (script *randomScript) failOnAction(action Action, format string, args ...any) {
	script.t.Helper()
	script.t.Fatalf("at the time %.3f, action %+v: %s", script.now, action, fmt.Sprintf(format, args...))
}

// checkAction checks an action against the placement rules and carries it out.
func (script *randomScript) checkAction(action Action) {
	script.actionLog = append(script.actionLog, fmt.Sprintf("%.3f %+v", script.now, action))
	switch action.Kind {
	case SetTimer:
		script.timers = append(script.timers, scheduledTimer{script.now + action.After, action.Token})
		return
	case WatchNodes, ListNodes:
		return
	}
	task := script.tasks[action.Task]
	if task == nil {
		script.failOnAction(action, "the action is for a task that was never requested")
	}
	if action.Kind == Migrate {
		if len(task.attempts) == 0 || !task.attempts[len(task.attempts)-1].bound {
			script.failOnAction(action, "the task to migrate is not bound to a node")
		}
		return
	}
	if task.done || task.answers > 0 {
		script.failOnAction(action, "rule 1 (final answers): the request is already done")
	}
	for _, attempt := range task.attempts {
		if attempt.outstanding && action.Kind != Fail {
			script.failOnAction(action, "rule 2 (retries): another attempt is outstanding")
		}
	}
	if action.Kind == Reject || action.Kind == Fail {
		script.checkAnswer(action, task)
	} else {
		script.checkAttempt(action, task)
	}
}

// unknownOutcomeAttempt returns the first failed attempt that may have started the task, or nil if there is
// none.
func (task *taskState) unknownOutcomeAttempt() *scriptAttempt {
	for _, attempt := range task.attempts {
		if attempt.mayHaveRun {
			return attempt
		}
	}
	return nil
}

// checkAnswer checks a final answer against the rules on final answers and retries.
func (script *randomScript) checkAnswer(action Action, task *taskState) {
	task.answers++
	task.done = true
	if script.now > task.Deadline+script.config.Attempts.AnswerGrace {
		script.failOnAction(action, "rule 1 (final answers): the answer is sent %.3f s after the deadline", script.now-task.Deadline)
	}
	class := script.config.Classes[task.Class]
	dedupInCluster := class.Idempotency == IdempotentByKey && class.DedupDomain == ClusterDomain
	rejectIsUnsafe := class.Idempotency != Idempotent && !dedupInCluster
	if action.Kind == Reject && task.unknownOutcomeAttempt() != nil && rejectIsUnsafe {
		script.failOnAction(action, "rule 2 (retries): the answer is Reject although the task may be running and must not start twice")
	}
}

// checkAttempt checks an attempt against all rules and adds it to its task.
func (script *randomScript) checkAttempt(action Action, task *taskState) {
	class, node := script.config.Classes[task.Class], script.nodes[action.Node]
	if earlierAttempt := task.unknownOutcomeAttempt(); earlierAttempt != nil {
		outsideDedup := node.Rack != earlierAttempt.node.Rack || script.now > earlierAttempt.sentAt+class.DedupWindow
		if class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && outsideDedup {
			script.failOnAction(action, "rule 2 (retries): another attempt is made although the task may be running")
		}
	}
	wrongType := class.NodeType >= 0 && class.NodeType != node.NodeType
	if node.State != Ready || len(task.attempts) >= script.config.Attempts.Max || wrongType {
		script.failOnAction(action, "rule 3 (node states): the node is not ready or has the wrong type, or too many attempts were made; the node is %+v", node)
	}
	if node.StartedAt > 0 && script.now-node.StartedAt < script.config.SlowStart.Duration {
		script.checkSlowStart(action, node)
	}
	if class.SpreadDomain != NoDomain {
		script.checkSpread(action, task, node)
	}
	task.attempts = append(task.attempts, &scriptAttempt{node: node, sentAt: script.now, timesOutAt: action.Until, outstanding: true})
}

// checkSlowStart checks an attempt on a node in slow start against the slow-start rule (rule 4).
func (script *randomScript) checkSlowStart(action Action, node Node) {
	attemptCount := 1
	for _, at := range script.slowStartAttempts[node.ID] {
		if script.now-at <= script.config.SlowStart.OverloadWindow {
			attemptCount++
		}
	}
	if float64(attemptCount) > math.Ceil(script.config.SlowStart.MaxAttempts/float64(script.config.Peers.Total)) {
		script.failOnAction(action, "rule 4 (slow start): this scheduler made %d attempts on the node within the overload window, which exceeds its share", attemptCount)
	}
	script.slowStartAttempts[node.ID] = append(script.slowStartAttempts[node.ID], script.now)
}

// checkSpread checks an attempt against the spread rule (rule 5).
func (script *randomScript) checkSpread(action Action, task *taskState, node Node) {
	class := script.config.Classes[task.Class]
	taskCount := 1
	for _, otherTask := range script.tasks {
		for _, attempt := range otherTask.attempts {
			countsForService := otherTask.Service == task.Service && (attempt.outstanding || attempt.bound)
			inSameDomain := attempt.node.ID == node.ID || class.SpreadDomain == RackDomain && attempt.node.Rack == node.Rack
			if countsForService && inSameDomain {
				taskCount++
			}
		}
	}
	if taskCount > class.MaxPerDomain {
		script.failOnAction(action, "rule 5 (spread): the failure domain of the node would have %d tasks of the service, which exceeds MaxPerDomain", taskCount)
	}
}

func (script *randomScript) endAttempt(task *taskState, attemptIndex int, result Result, reason Reason) {
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
		Elapsed: script.now - attempt.sentAt}
	if script.rng.IntN(2) == 0 {
		event.Report = &Report{script.rng.Float64() * 16, script.rng.Float64() * 32, script.rng.Float64(), math.NaN()}
	}
	script.handleEvent(event)
}

// step advances the time by 5 ms and sends random events to the Placer.
func (script *randomScript) step(number int) {
	script.now += 0.005
	script.fireTimers()
	for _, id := range script.taskOrder {
		state := script.tasks[id]
		for i := range state.attempts {
			script.advanceAttempt(state, i)
		}
		if !state.done && script.rng.IntN(2000) == 0 {
			state.done = true
			script.handleEvent(Event{Kind: Withdrawn, TaskID: id})
		}
		if !state.done && script.now > state.Deadline+script.config.Attempts.AnswerGrace {
			script.t.Fatalf("rule 1 (final answers): the request for task %d has no final answer after its deadline", id)
		}
	}
	if script.rng.IntN(8) == 0 {
		script.addTask(TaskID(number + 1))
	}
	if script.rng.IntN(150) == 0 {
		script.changeNode()
	}
	if script.correlatedFaults && script.rng.IntN(300) == 0 {
		script.injectCorrelatedFault()
	}
	if script.rng.IntN(900) == 0 {
		script.listAllNodes()
	}
	if script.rng.IntN(500) == 0 {
		script.handleEvent(Event{Kind: NodesListed, List: ListFailed})
	}
	if number%400 == 0 {
		script.removeDoneTasks()
	}
}

func (script *randomScript) fireTimers() {
	for i := 0; i < len(script.timers); {
		timer := script.timers[i]
		if timer.firesAt > script.now {
			i++
			continue
		}
		script.timers = append(script.timers[:i], script.timers[i+1:]...)
		script.handleEvent(Event{Kind: TimerFired, Token: timer.token})
	}
}

// advanceAttempt randomly decides whether an outstanding attempt gets an answer or a running task ends.
func (script *randomScript) advanceAttempt(task *taskState, attemptIndex int) {
	attempt := task.attempts[attemptIndex]
	switch {
	case attempt.outstanding && script.now >= attempt.timesOutAt:
		script.endAttempt(task, attemptIndex, TimedOut, NoReason)
	case attempt.outstanding && script.rng.IntN(12) == 0:
		script.drawAttemptAnswer(task, attemptIndex)
	case attempt.bound && script.rng.IntN(400) == 0:
		script.endAttempt(task, attemptIndex, []Result{Finished, Lost, Cancelled}[script.rng.IntN(3)], Reason(script.rng.IntN(8)))
	}
}

func (script *randomScript) drawAttemptAnswer(task *taskState, attemptIndex int) {
	attempt := task.attempts[attemptIndex]
	switch draw := script.rng.IntN(12); {
	case draw < 5 && !task.done:
		attempt.outstanding, attempt.bound, task.done = false, true, true
		script.handleEvent(Event{Kind: Bound, TaskID: task.ID, Attempt: attemptIndex, Node: attempt.node.ID, Elapsed: script.now - attempt.sentAt})
	case draw < 8:
		script.endAttempt(task, attemptIndex, Rejected, Reason(1+script.rng.IntN(4)))
	case draw < 9:
		script.endAttempt(task, attemptIndex, Unreachable, NoReason)
	case draw < 10:
		script.endAttempt(task, attemptIndex, Errored, NoReason)
	case draw < 11:
		script.endAttempt(task, attemptIndex, Lost, NoReason)
	}
}

// addTask requests the placement of a random task. In one of ten cases, it instead reports that the task was
// found running on a node.
func (script *randomScript) addTask(id TaskID) {
	task := Task{ID: id, Class: script.rng.IntN(len(script.config.Classes)), Service: ServiceID(script.rng.IntN(9)),
		Cores: script.rng.Float64() * 3, Memory: script.rng.Float64() * 6,
		Deadline: script.now + 0.5 + Seconds(5*script.rng.Float64())}
	task.Service = ServiceID(uint64(task.Class)*100 + uint64(task.Service))
	state := &taskState{Task: task}
	script.tasks[id] = state
	script.taskOrder = append(script.taskOrder, id)
	if script.rng.IntN(10) != 0 {
		script.handleEvent(Event{Kind: Arrived, Task: task})
		return
	}
	node := script.randomNode()
	state.done = true
	state.attempts = []*scriptAttempt{{node: node, sentAt: script.now, bound: true}}
	script.handleEvent(Event{Kind: Adopted, Task: task, Node: node.ID})
}

func (script *randomScript) randomNode() Node {
	return script.nodes[script.nodeIDs[script.rng.IntN(len(script.nodeIDs))]]
}

// changeNode changes the state or the free capacity of a random node and sends the change to the Placer.
func (script *randomScript) changeNode() {
	node := script.randomNode()
	switch script.rng.IntN(4) {
	case 0:
		node.State = Draining
	case 1:
		node.State = Terminated
	case 2:
		node.State, node.StartedAt = Ready, script.now-Seconds(script.rng.Float64())
	case 3:
		node.State = Ready
		node.FreeCores = script.rng.Float64() * 32
	}
	script.nodes[node.ID] = node
	script.handleEvent(Event{Kind: NodesListed, List: Changes, Nodes: []Node{node}})
}

// listAllNodes terminates some nodes and sends a full node list without the terminated nodes.
func (script *randomScript) listAllNodes() {
	var all []Node
	for _, id := range script.nodeIDs {
		node := script.nodes[id]
		if script.rng.IntN(9) == 0 {
			node.State = Terminated
			script.nodes[id] = node
		}
		if node.State != Terminated {
			all = append(all, node)
		}
	}
	script.handleEvent(Event{Kind: NodesListed, List: FullList, Nodes: all})
}

// removeDoneTasks removes the tasks that are done and have neither an outstanding nor a bound attempt.
func (script *randomScript) removeDoneTasks() {
	keptTasks := script.taskOrder[:0]
	for _, id := range script.taskOrder {
		state, hasLiveAttempt := script.tasks[id], false
		for _, attempt := range state.attempts {
			hasLiveAttempt = hasLiveAttempt || attempt.outstanding || attempt.bound
		}
		if !hasLiveAttempt && state.done {
			delete(script.tasks, id)
		} else {
			keptTasks = append(keptTasks, id)
		}
	}
	script.taskOrder = keptTasks
}

// injectCorrelatedFault injects a fault that affects many nodes at once. In half of the cases, all nodes of
// one type restart. In the other half, a third of the nodes change their state: ready nodes start to drain,
// and draining nodes terminate and are replaced by new nodes in slow start.
func (script *randomScript) injectCorrelatedFault() {
	var affected []Node
	nodeType, firstIndex := script.rng.IntN(2), script.rng.IntN(3)
	restart := script.rng.IntN(2) == 0
	for i, id := range script.nodeIDs {
		node := script.nodes[id]
		switch {
		case restart && node.NodeType == nodeType:
			node.State, node.StartedAt = Ready, script.now-Seconds(script.rng.Float64()/2)
		case !restart && i%3 == firstIndex && node.State == Ready:
			node.State = Draining
		case !restart && i%3 == firstIndex && node.State == Draining:
			node.State = Terminated
			replacement := node
			replacement.ID, replacement.State, replacement.StartedAt = NodeID(len(script.nodes)+1), Ready, script.now
			script.nodes[replacement.ID] = replacement
			script.nodeIDs[i] = replacement.ID
			affected = append(affected, replacement)
		default:
			continue
		}
		script.nodes[id] = node
		affected = append(affected, node)
	}
	script.handleEvent(Event{Kind: NodesListed, List: Changes, Nodes: affected})
}
