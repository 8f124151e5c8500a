package placer_test

import (
	"math"

	"heathshed/placer"
)

// simTask is a task of the simulation.
type simTask struct {
	task     placer.Task
	nodes    []*simNode // by attempt
	ended    []bool     // by attempt
	bound    bool
	lifetime placer.Seconds
}

func (sim *simulation) newTask() placer.Task {
	class := sim.rng.IntN(len(sim.script.config.Classes))
	task := placer.Task{ID: sim.nextTask, Class: class, Tenant: sim.rng.IntN(2),
		Service: placer.ServiceID(1 + sim.rng.IntN(sim.script.services)),
		Cores:   sim.script.task * (0.5 + sim.rng.Float64()), Memory: sim.script.taskMemory * (0.5 + sim.rng.Float64()),
		Deadline: sim.now + sim.script.config.Classes[class].Deadline, IsRetry: sim.chance(0.1)}
	sim.nextTask++
	return task
}

func (sim *simulation) arrivals() {
	rate := sim.script.arrivalsPerSec
	if sim.script.lowLoadAfter > 0 && sim.events > sim.script.lowLoadAfter {
		rate /= 8
	}
	sim.after(placer.Seconds(-math.Log(1-sim.rng.Float64())/rate), sim.arrivals)
	task := sim.newTask()
	if sim.chance(0.02) {
		sim.invalidate(&task)
	}
	sim.arrive(task)
	if sim.chance(0.01) { // a burst
		for range 15 {
			sim.arrive(sim.newTask())
		}
	}
}

// invalidate changes a task to one that can never be placed.
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

func (sim *simulation) arrive(task placer.Task) {
	state := &simTask{task: task, lifetime: sim.script.lifetime * 2 * sim.randomTime()}
	sim.tasks = append(sim.tasks, state)
	sim.byID[task.ID] = state
	sim.handle(placer.Event{Kind: placer.Arrived, Task: task})
	if sim.chance(0.02) {
		sim.handle(placer.Event{Kind: placer.Arrived, Task: task}) // repeated
	}
	if sim.chance(0.05 + sim.script.withdrawn) {
		sim.after(placer.Seconds(2*sim.rng.Float64()*(1-sim.script.withdrawn)), func() { sim.withdraw(state) })
	}
}

func (sim *simulation) withdraw(task *simTask) {
	sim.handle(placer.Event{Kind: placer.Withdrawn, TaskID: task.task.ID})
	attempt := len(task.ended) - 1
	if attempt >= 0 && !task.ended[attempt] && sim.chance(0.8-sim.script.withdrawn) {
		sim.end(task, attempt, placer.Cancelled, placer.NoReason, true)
	}
}

// resubmit requests a rejected task again.
func (sim *simulation) resubmit(task *simTask) {
	again := task.task
	again.ID, again.IsRetry = sim.nextTask, true
	again.Deadline = sim.now + 4
	sim.nextTask++
	sim.arrive(again)
}

// migrate stops a task as the scheduler requested.
func (sim *simulation) migrate(task *simTask) {
	attempt := len(task.ended) - 1
	if attempt < 0 || task.ended[attempt] {
		return
	}
	sim.end(task, attempt, placer.Lost, placer.Drained, true)
	sim.resubmit(task)
}

// adopt reports a task that runs already, for some on a node that no list has named.
func (sim *simulation) adopt(i int) {
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if i%4 == 3 {
		node = &simNode{Node: placer.Node{ID: placer.NodeID(900000 + i)}}
	}
	task := &simTask{task: sim.newTask(), nodes: []*simNode{node}, ended: []bool{false}, bound: true}
	sim.tasks = append(sim.tasks, task)
	sim.byID[task.task.ID] = task
	node.requestedCores += task.task.Cores
	node.requestedMemory += task.task.Memory
	for range 1 + i%2 { // some are repeated
		sim.handle(placer.Event{Kind: placer.Adopted, Task: task.task, Node: node.ID})
	}
	sim.after(3+20*sim.randomTime(), func() { sim.finish(task, 0) })
}

// attemptStarted draws the outcome of an attempt.
func (sim *simulation) attemptStarted(action placer.Action) {
	task := sim.byID[action.Task]
	var node *simNode
	for _, candidate := range sim.nodes {
		if candidate.ID == action.Node {
			node = candidate
		}
	}
	task.nodes, task.ended = append(task.nodes, node), append(task.ended, false)
	attempt, sent := action.Attempt, sim.now
	latency := 0.01 + 0.2*sim.randomTime()
	later := func(delay placer.Seconds, result placer.Result, reason placer.Reason) {
		sim.after(delay, func() { sim.end(task, attempt, result, reason, sim.chance(0.03)) })
	}
	size := sim.size(node)
	switch {
	case sim.chance(sim.script.lateOutcomes): // the outcome comes too late
		later(task.task.Deadline-sim.now+1, placer.TimedOut, placer.NoReason)
	case node.removed || node.State == placer.Terminated:
		later(latency, placer.Unreachable, placer.NoReason)
	case node.State == placer.Draining:
		later(latency, placer.Rejected, placer.WrongNode)
	case node.broken && sim.chance(0.5):
		later(action.Until-sim.now, placer.TimedOut, placer.NoReason)
	case node.broken:
		later(latency, placer.Errored, placer.NoReason)
	case node.requestedCores+task.task.Cores > size.Cores*sim.script.config.Overcommit.Cores:
		later(latency, placer.Rejected, placer.InsufficientCores)
	case node.requestedMemory+task.task.Memory > size.Memory*sim.script.config.Overcommit.Memory:
		later(latency, placer.Rejected, placer.InsufficientMemory)
	case sim.chance(sim.script.failing):
		outcome := sim.drawFailure()
		later(latency, outcome.result, outcome.reason)
	default:
		sim.after(latency+0.4*sim.randomTime(), func() { sim.bind(task, attempt, sim.now-sent) })
	}
}

type outcome struct {
	result placer.Result
	reason placer.Reason
}

// drawFailure draws how an attempt may end before it is bound.
func (sim *simulation) drawFailure() outcome {
	all := []outcome{
		{placer.Rejected, placer.InsufficientCores}, {placer.Rejected, placer.InsufficientMemory}, {placer.Rejected, placer.QueueFull},
		{placer.Rejected, placer.WrongNode}, {placer.Rejected, placer.NoReason}, {placer.Rejected, placer.QueueFull},
		{placer.Errored, placer.NoReason}, {placer.Errored, placer.NoReason}, {placer.TimedOut, placer.NoReason},
		{placer.Unreachable, placer.NoReason}, {placer.Lost, placer.NoReason}, {placer.Lost, placer.Evicted},
		{placer.Lost, placer.Preempted}, {placer.Lost, placer.Drained}, {placer.Cancelled, placer.NoReason},
		{placer.Expired, placer.NoReason}, {placer.Finished, placer.NoReason},
	}
	return all[sim.rng.IntN(len(all))]
}

func (sim *simulation) bind(task *simTask, attempt int, elapsed placer.Seconds) {
	if task.ended[attempt] {
		return
	}
	task.bound = true
	node := task.nodes[attempt]
	node.requestedCores += task.task.Cores
	node.requestedMemory += task.task.Memory
	event := placer.Event{Kind: placer.Bound, TaskID: task.task.ID, Attempt: attempt, Node: node.ID, Elapsed: elapsed}
	sim.handle(event)
	if sim.chance(0.02) {
		sim.handle(event) // repeated
	}
	for use := placer.Started; use <= placer.NodeMemory; use++ {
		if sim.chance(0.5) {
			sim.after(0.2+sim.randomTime(), func() { sim.reportUsage(task, attempt, use) })
		}
	}
	sim.after(task.lifetime, func() { sim.finish(task, attempt) })
}

func (sim *simulation) reportUsage(task *simTask, attempt int, use placer.UsageKind) {
	value := 2 * sim.rng.Float64() * task.task.Cores
	sim.handle(placer.Event{Kind: placer.UsageReported, TaskID: task.task.ID, Attempt: attempt, Node: task.nodes[attempt].ID, Usage: use, Value: value})
}

// finish ends a bound task, in most cases with success.
func (sim *simulation) finish(task *simTask, attempt int) {
	result := outcome{placer.Finished, placer.NoReason}
	if sim.chance(0.25) {
		result = sim.drawFailure()
	}
	sim.end(task, attempt, result.result, result.reason, sim.chance(0.9))
}

func (sim *simulation) end(task *simTask, attempt int, result placer.Result, reason placer.Reason, over bool) {
	if task.ended[attempt] {
		return
	}
	task.ended[attempt] = true
	node := task.nodes[attempt]
	if task.bound && attempt == len(task.ended)-1 {
		node.requestedCores -= task.task.Cores
		node.requestedMemory -= task.task.Memory
	}
	event := placer.Event{Kind: placer.Ended, TaskID: task.task.ID, Attempt: attempt, Node: node.ID, Result: result, Reason: reason,
		Elapsed: 0.1, Final: over, Report: sim.report(node)}
	sim.handle(event)
	if sim.chance(0.02) {
		sim.handle(event) // repeated
	}
}
