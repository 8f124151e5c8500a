package placer_test

import (
	"math"

	"heathshed/placer"
)

// simTask is a task of the simulation with its attempts.
type simTask struct {
	placerTask placer.Task
	nodes      []*simNode // node of each attempt, by the index of the attempt
	ended      []bool     // whether each attempt has ended, by the index of the attempt
	bound      bool
	lifetime   placer.Seconds
}

func (sim *simulation) newTask() placer.Task {
	class := sim.rng.IntN(len(sim.scenario.config.Classes))
	task := placer.Task{ID: sim.nextTask, Class: class, Tenant: sim.rng.IntN(2),
		Service: placer.ServiceID(1 + sim.rng.IntN(sim.scenario.serviceCount)),
		Cores:   sim.scenario.taskCores * (0.5 + sim.rng.Float64()), Memory: sim.scenario.taskMemory * (0.5 + sim.rng.Float64()),
		Deadline: sim.now + sim.scenario.config.Classes[class].Deadline, IsRetry: sim.withProbability(0.1)}
	sim.nextTask++
	return task
}

func (sim *simulation) generateArrivals() {
	rate := sim.scenario.arrivalsPerSecond
	if sim.scenario.lowLoadAfterEvents > 0 && sim.eventCount > sim.scenario.lowLoadAfterEvents {
		rate /= 8
	}
	sim.schedule(placer.Seconds(-math.Log(1-sim.rng.Float64())/rate), sim.generateArrivals)
	task := sim.newTask()
	if sim.withProbability(0.02) {
		sim.invalidate(&task)
	}
	sim.sendRequest(task)
	if sim.withProbability(0.01) { // a burst of tasks arrives
		for range 15 {
			sim.sendRequest(sim.newTask())
		}
	}
}

// invalidate makes a task invalid. In one of nine cases, it instead sets the requested capacity to zero.
func (sim *simulation) invalidate(task *placer.Task) {
	switch sim.rng.IntN(9) {
	case 0:
		task.Class = -1
	case 1:
		task.Class = 99
	case 2:
		task.Cores = math.NaN()
	case 3:
		task.Cores = math.Inf(1)
	case 4:
		task.Memory = -1
	case 5:
		task.Memory = math.Inf(1)
	case 6:
		task.Deadline = sim.now
	case 7:
		task.Deadline = placer.Seconds(math.NaN())
	case 8:
		task.Cores, task.Memory = 0, 0
	}
}

func (sim *simulation) sendRequest(task placer.Task) {
	state := &simTask{placerTask: task, lifetime: sim.scenario.lifetime * 2 * sim.randomSecond()}
	sim.tasks = append(sim.tasks, state)
	sim.byID[task.ID] = state
	sim.handle(placer.Event{Kind: placer.Arrived, Task: task})
	if sim.withProbability(0.02) {
		sim.handle(placer.Event{Kind: placer.Arrived, Task: task}) // the same request arrives again
	}
	if sim.withProbability(0.05 + sim.scenario.withdrawalProbability) {
		sim.schedule(placer.Seconds(2*sim.rng.Float64()*(1-sim.scenario.withdrawalProbability)), func() { sim.withdraw(state) })
	}
}

func (sim *simulation) withdraw(task *simTask) {
	sim.handle(placer.Event{Kind: placer.Withdrawn, TaskID: task.placerTask.ID})
	attemptIndex := len(task.ended) - 1
	if attemptIndex >= 0 && !task.ended[attemptIndex] && sim.withProbability(0.8-sim.scenario.withdrawalProbability) {
		sim.endAttempt(task, attemptIndex, placer.Cancelled, placer.NoReason, true)
	}
}

// resubmit requests a task again under a new task ID.
func (sim *simulation) resubmit(task *simTask) {
	retryTask := task.placerTask
	retryTask.ID, retryTask.IsRetry = sim.nextTask, true
	retryTask.Deadline = sim.now + 4
	sim.nextTask++
	sim.sendRequest(retryTask)
}

// migrate stops a running task and requests it again, as the Migrate action specifies.
func (sim *simulation) migrate(task *simTask) {
	attemptIndex := len(task.ended) - 1
	if attemptIndex < 0 || task.ended[attemptIndex] {
		return
	}
	sim.endAttempt(task, attemptIndex, placer.Lost, placer.Drained, true)
	sim.resubmit(task)
}

// adoptTask tells the Placer that a task was found running on a node. In one of four cases, no node list has
// named this node.
func (sim *simulation) adoptTask(number int) {
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if number%4 == 3 {
		node = &simNode{Node: placer.Node{ID: placer.NodeID(900000 + number)}}
	}
	task := &simTask{placerTask: sim.newTask(), nodes: []*simNode{node}, ended: []bool{false}, bound: true}
	sim.tasks = append(sim.tasks, task)
	sim.byID[task.placerTask.ID] = task
	node.requestedCores += task.placerTask.Cores
	node.requestedMemory += task.placerTask.Memory
	for range 1 + number%2 { // every second task is reported twice
		sim.handle(placer.Event{Kind: placer.Adopted, Task: task.placerTask, Node: node.ID})
	}
	sim.schedule(3+20*sim.randomSecond(), func() { sim.finishTask(task, 0) })
}

// handleStartAttempt chooses the outcome of an attempt at random and schedules the event that reports it.
func (sim *simulation) handleStartAttempt(action placer.Action) {
	task := sim.byID[action.Task]
	var node *simNode
	for _, candidate := range sim.nodes {
		if candidate.ID == action.Node {
			node = candidate
		}
	}
	task.nodes, task.ended = append(task.nodes, node), append(task.ended, false)
	attemptIndex, sentAt := action.Attempt, sim.now
	latency := 0.01 + 0.2*sim.randomSecond()
	endAfter := func(delay placer.Seconds, result placer.Result, reason placer.Reason) {
		sim.schedule(delay, func() { sim.endAttempt(task, attemptIndex, result, reason, sim.withProbability(0.03)) })
	}
	size := sim.nodeSize(node)
	switch {
	case sim.withProbability(sim.scenario.lateOutcomeProbability): // the outcome arrives after the deadline
		endAfter(task.placerTask.Deadline-sim.now+1, placer.TimedOut, placer.NoReason)
	case node.removed || node.State == placer.Terminated:
		endAfter(latency, placer.Unreachable, placer.NoReason)
	case node.State == placer.Draining:
		endAfter(latency, placer.Rejected, placer.WrongNode)
	case node.broken && sim.withProbability(0.5):
		endAfter(action.Until-sim.now, placer.TimedOut, placer.NoReason)
	case node.broken:
		endAfter(latency, placer.Errored, placer.NoReason)
	case node.requestedCores+task.placerTask.Cores > size.Cores*sim.scenario.config.Overcommit.Cores:
		endAfter(latency, placer.Rejected, placer.InsufficientCores)
	case node.requestedMemory+task.placerTask.Memory > size.Memory*sim.scenario.config.Overcommit.Memory:
		endAfter(latency, placer.Rejected, placer.InsufficientMemory)
	case sim.withProbability(sim.scenario.failureProbability):
		outcome := sim.randomFailure()
		endAfter(latency, outcome.result, outcome.reason)
	default:
		sim.schedule(latency+0.4*sim.randomSecond(), func() { sim.bindAttempt(task, attemptIndex, sim.now-sentAt) })
	}
}

type outcome struct {
	result placer.Result
	reason placer.Reason
}

// randomFailure returns a random result and reason for the end of an attempt.
func (sim *simulation) randomFailure() outcome {
	outcomes := []outcome{
		{placer.Rejected, placer.InsufficientCores}, {placer.Rejected, placer.InsufficientMemory}, {placer.Rejected, placer.QueueFull},
		{placer.Rejected, placer.WrongNode}, {placer.Rejected, placer.NoReason}, {placer.Rejected, placer.QueueFull},
		{placer.Errored, placer.NoReason}, {placer.Errored, placer.NoReason}, {placer.TimedOut, placer.NoReason},
		{placer.Unreachable, placer.NoReason}, {placer.Lost, placer.NoReason}, {placer.Lost, placer.Evicted},
		{placer.Lost, placer.Preempted}, {placer.Lost, placer.Drained}, {placer.Cancelled, placer.NoReason},
		{placer.Expired, placer.NoReason}, {placer.Finished, placer.NoReason},
	}
	return outcomes[sim.rng.IntN(len(outcomes))]
}

func (sim *simulation) bindAttempt(task *simTask, attemptIndex int, elapsed placer.Seconds) {
	if task.ended[attemptIndex] {
		return
	}
	task.bound = true
	node := task.nodes[attemptIndex]
	node.requestedCores += task.placerTask.Cores
	node.requestedMemory += task.placerTask.Memory
	event := placer.Event{Kind: placer.Bound, TaskID: task.placerTask.ID, Attempt: attemptIndex, Node: node.ID, Elapsed: elapsed}
	sim.handle(event)
	if sim.withProbability(0.02) {
		sim.handle(event) // the Placer receives the same event twice
	}
	for kind := placer.Started; kind <= placer.NodeMemory; kind++ {
		if sim.withProbability(0.5) {
			sim.schedule(0.2+sim.randomSecond(), func() { sim.reportUsage(task, attemptIndex, kind) })
		}
	}
	sim.schedule(task.lifetime, func() { sim.finishTask(task, attemptIndex) })
}

func (sim *simulation) reportUsage(task *simTask, attemptIndex int, kind placer.UsageKind) {
	value := 2 * sim.rng.Float64() * task.placerTask.Cores
	sim.handle(placer.Event{Kind: placer.UsageReported, TaskID: task.placerTask.ID, Attempt: attemptIndex, Node: task.nodes[attemptIndex].ID, Usage: kind, Value: value})
}

// finishTask ends a bound task. In three of four cases, the task has run to completion.
func (sim *simulation) finishTask(task *simTask, attemptIndex int) {
	result := outcome{placer.Finished, placer.NoReason}
	if sim.withProbability(0.25) {
		result = sim.randomFailure()
	}
	sim.endAttempt(task, attemptIndex, result.result, result.reason, sim.withProbability(0.9))
}

func (sim *simulation) endAttempt(task *simTask, attemptIndex int, result placer.Result, reason placer.Reason, final bool) {
	if task.ended[attemptIndex] {
		return
	}
	task.ended[attemptIndex] = true
	node := task.nodes[attemptIndex]
	if task.bound && attemptIndex == len(task.ended)-1 {
		node.requestedCores -= task.placerTask.Cores
		node.requestedMemory -= task.placerTask.Memory
	}
	event := placer.Event{Kind: placer.Ended, TaskID: task.placerTask.ID, Attempt: attemptIndex, Node: node.ID, Result: result, Reason: reason,
		Elapsed: 0.1, Final: final, Report: sim.randomReport(node)}
	sim.handle(event)
	if sim.withProbability(0.02) {
		sim.handle(event) // the Placer receives the same event twice
	}
}
