package placer_test

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/placer"
)

// simNode is the true state of a node, which the Placer sees through lists and reports only.
type simNode struct {
	placer.Node
	requestedCores, requestedMemory float64
	broken                          bool
	removed                         bool
}

// simTask is a task of the simulation.
type simTask struct {
	task     placer.Task
	nodes    []*simNode // by attempt
	ended    []bool     // by attempt
	bound    bool
	lifetime placer.Seconds
}

// pendingEvent is something that the simulation does at a later time.
type pendingEvent struct {
	at       placer.Seconds
	sequence int
	do       func()
}

type eventQueue []pendingEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(pendingEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs one script.
type simulation struct {
	script     script
	p          *placer.Placer
	rng        *rand.Rand
	now        placer.Seconds
	queue      eventQueue
	sequence   int
	nodes      []*simNode
	tasks      []*simTask
	byID       map[placer.TaskID]*simTask
	nextNode   placer.NodeID
	nextTask   placer.TaskID
	subscribed bool
	digest     hash.Hash
	events     int
	actions    [8]int // by the number of their kind
	out        *strings.Builder
	buffer     []placer.Action
}

func runScript(t *testing.T, s script, out *strings.Builder) {
	t.Helper()
	p, err := placer.New(s.config, s.seed)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{script: s, p: p, rng: rand.New(rand.NewPCG(s.seed, 77)), now: 1000, digest: sha256.New(),
		byID: map[placer.TaskID]*simTask{}, nextNode: 100, nextTask: 1, out: out, subscribed: !s.config.Discovery.MustPoll}
	sim.start()
	for sim.events < s.events {
		next := heap.Pop(&sim.queue).(pendingEvent)
		sim.now = next.at
		next.do()
	}
}

func (s *simulation) start() {
	for range s.script.nodes {
		s.addNode(s.script.firstSince)
	}
	for i := range s.script.brokenNodes {
		s.nodes[i*3%len(s.nodes)].broken = true
	}
	for i := range 8 {
		s.adopt(i)
	}
	s.pushNodes()
	s.arrivals()
	s.unmatchedEvents()
	if s.script.churnEvery > 0 {
		s.after(s.script.churnEvery, s.churn)
	}
}

func (s *simulation) after(delay placer.Seconds, do func()) {
	s.sequence++
	heap.Push(&s.queue, pendingEvent{s.now + delay, s.sequence, do})
}

// randomTime draws a time between 0 and 1 second.
func (s *simulation) randomTime() placer.Seconds { return placer.Seconds(s.rng.Float64()) }

// chance is true in the given part of all calls.
func (s *simulation) chance(part float64) bool { return s.rng.Float64() < part }

// handle hands an event to the Placer, adds the actions to the digest and carries them out.
func (s *simulation) handle(ev placer.Event) {
	s.handleAt(s.now, ev)
}

func (s *simulation) handleAt(now placer.Seconds, ev placer.Event) {
	prefix := placer.Action{Kind: 99, Token: uint64(s.events)} // the buffer must keep its content
	s.buffer = s.p.Handle(now, ev, append(s.buffer[:0], prefix))
	s.digestActions()
	s.events++
	if s.events%checkpointEvents == 0 && s.events <= s.script.events {
		fmt.Fprintf(s.out, "%s %d %v %x\n", s.script.name, s.events, s.actions[1:], s.digest.Sum(nil))
	}
	for _, a := range copyOfActions(s.buffer) {
		s.carryOut(a)
	}
}

// copyOfActions copies the actions of one event, for carrying them out may hand in the next event.
func copyOfActions(actions []placer.Action) []placer.Action {
	return append([]placer.Action(nil), actions[1:]...)
}

func (s *simulation) digestActions() {
	var b bytes.Buffer
	word := func(v uint64) { b.Write(binary.LittleEndian.AppendUint64(nil, v)) }
	word(uint64(len(s.buffer)))
	for _, a := range s.buffer {
		word(uint64(a.Kind))
		word(uint64(a.Task))
		word(uint64(a.Node))
		word(uint64(a.Attempt))
		word(math.Float64bits(float64(a.Until)))
		word(math.Float64bits(float64(a.After)))
		word(a.Token)
		if int(a.Kind) < len(s.actions) {
			s.actions[a.Kind]++
		}
	}
	s.digest.Write(b.Bytes())
}

func (s *simulation) carryOut(a placer.Action) {
	switch a.Kind {
	case placer.StartAttempt:
		s.attemptStarted(a)
	case placer.SetTimer:
		s.after(a.After, func() { s.handle(placer.Event{Kind: placer.TimerFired, Token: a.Token}) })
	case placer.WatchNodes, placer.ListNodes:
		s.after(0.05+0.1*s.randomTime(), s.answerPoll)
	case placer.Migrate:
		if task := s.byID[a.Task]; task != nil {
			s.after(0.3, func() { s.migrate(task) })
		}
	case placer.Reject, placer.Fail:
		if task := s.byID[a.Task]; task != nil && s.chance(0.3) {
			s.after(0.5+s.randomTime(), func() { s.resubmit(task) })
		}
	}
}

func (s *simulation) addNode(since placer.Seconds) {
	s.nextNode += 7
	node := &simNode{Node: placer.Node{ID: s.nextNode, Zone: s.rng.IntN(s.script.zones), Rack: s.rng.IntN(s.script.racks),
		NodeType: s.rng.IntN(len(s.script.config.NodeTypes)), State: placer.Ready, StartedAt: since}}
	if s.chance(0.03) {
		node.NodeType = 9 // a node type that the configuration does not have
	}
	s.nodes = append(s.nodes, node)
}

// entry returns the list entry of a node.
func (s *simulation) entry(node *simNode) placer.Node {
	entry := node.Node
	size := s.size(node)
	entry.FreeCores, entry.FreeMemory = size.Cores-node.requestedCores, size.Memory-node.requestedMemory
	return entry
}

func (s *simulation) size(node *simNode) placer.NodeType {
	if node.NodeType < len(s.script.config.NodeTypes) {
		return s.script.config.NodeTypes[node.NodeType]
	}
	return placer.NodeType{Cores: 8, Memory: 16}
}

func (s *simulation) sendNodes(kind placer.ListKind) {
	ev := placer.Event{Kind: placer.NodesListed, List: kind}
	for _, node := range s.nodes {
		if node.removed || kind == placer.ListFailed || kind == placer.Changes && s.chance(0.6) {
			continue
		}
		ev.Nodes = append(ev.Nodes, s.entry(node))
	}
	s.handle(ev)
}

func (s *simulation) pushNodes() {
	s.after(s.script.listEvery, s.pushNodes)
	if !s.subscribed {
		return
	}
	switch {
	case s.chance(s.script.listFails):
		s.subscribed = !s.script.config.Discovery.MustPoll
		s.sendNodes(placer.ListFailed)
	case s.chance(0.2):
		s.sendNodes(placer.FullList)
	case s.chance(0.2):
		s.sendNodes(placer.CachedList)
	default:
		s.sendNodes(placer.Changes)
	}
}

// answerPoll answers a request for the list in most cases.
func (s *simulation) answerPoll() {
	switch {
	case s.chance(s.script.listFails):
		s.sendNodes(placer.ListFailed)
	case s.chance(0.1): // no answer
	default:
		s.subscribed = s.chance(0.8)
		s.sendNodes(placer.FullList)
	}
}

// churn changes one node: it drains, terminates, restarts or is replaced.
func (s *simulation) churn() {
	s.after(s.script.churnEvery*(0.5+s.randomTime()), s.churn)
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	switch draw := s.rng.Float64(); {
	case s.script.returnsAfter > 0:
		s.removeForAWhile(node)
	case node.removed:
		if len(s.nodes) < 4*s.script.nodes {
			s.addNode(s.now)
		}
	case draw < 0.2:
		node.State = placer.Draining
	case draw < 0.35:
		node.State = placer.Terminated
	case draw < 0.45:
		node.removed = true
		s.addNode(s.now)
	case draw < 0.55:
		node.broken = !node.broken
	default:
		node.State, node.StartedAt = placer.Ready, s.now-0.5*s.randomTime()
	}
}

// removeForAWhile takes a node off the list and lists it again, unchanged, about when the Placer evicts it.
func (s *simulation) removeForAWhile(node *simNode) {
	if node.removed || node.State != placer.Ready {
		return
	}
	node.removed = true
	s.after(s.script.returnsAfter+2*s.randomTime(), func() { node.removed = false })
}

// report returns a node's load report; parts of it are missing at random.
func (s *simulation) report(node *simNode) *placer.Report {
	if s.chance(0.3) {
		return nil
	}
	size, use := s.size(node), 0.5+s.script.minUsageRatio+(0.4-s.script.minUsageRatio)*s.rng.Float64()
	if s.chance(0.05) {
		use = 1.3
	}
	r := &placer.Report{FreeCores: size.Cores - node.requestedCores*use, FreeMemory: size.Memory - node.requestedMemory*use,
		Utilization: node.requestedCores * use / size.Cores, QueueLength: float64(s.rng.IntN(4))}
	for _, field := range []*float64{&r.FreeCores, &r.FreeMemory, &r.Utilization, &r.QueueLength} {
		if s.chance(0.25) {
			*field = math.NaN()
		}
	}
	return r
}

func (s *simulation) newTask() placer.Task {
	class := s.rng.IntN(len(s.script.config.Classes))
	task := placer.Task{ID: s.nextTask, Class: class, Tenant: s.rng.IntN(2),
		Service: placer.ServiceID(1 + s.rng.IntN(s.script.services)),
		Cores:   s.script.task * (0.5 + s.rng.Float64()), Memory: s.script.taskMemory * (0.5 + s.rng.Float64()),
		Deadline: s.now + s.script.config.Classes[class].Deadline, IsRetry: s.chance(0.1)}
	s.nextTask++
	return task
}

func (s *simulation) arrivals() {
	rate := s.script.arrivalsPerSec
	if s.script.lowLoadAfter > 0 && s.events > s.script.lowLoadAfter {
		rate /= 8
	}
	s.after(placer.Seconds(-math.Log(1-s.rng.Float64())/rate), s.arrivals)
	task := s.newTask()
	if s.chance(0.02) {
		s.invalidate(&task)
	}
	s.arrive(task)
	if s.chance(0.01) { // a burst
		for range 15 {
			s.arrive(s.newTask())
		}
	}
}

// invalidate changes a task to one that can never be placed.
func (s *simulation) invalidate(task *placer.Task) {
	switch s.rng.IntN(9) {
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
		task.Deadline = s.now
	case 7:
		task.Deadline = placer.Seconds(math.NaN())
	case 8:
		task.Cores, task.Memory = 0, 0
	}
}

func (s *simulation) arrive(task placer.Task) {
	state := &simTask{task: task, lifetime: s.script.lifetime * 2 * s.randomTime()}
	s.tasks = append(s.tasks, state)
	s.byID[task.ID] = state
	s.handle(placer.Event{Kind: placer.Arrived, Task: task})
	if s.chance(0.02) {
		s.handle(placer.Event{Kind: placer.Arrived, Task: task}) // repeated
	}
	if s.chance(0.05 + s.script.withdrawn) {
		s.after(placer.Seconds(2*s.rng.Float64()*(1-s.script.withdrawn)), func() { s.withdraw(state) })
	}
}

func (s *simulation) withdraw(task *simTask) {
	s.handle(placer.Event{Kind: placer.Withdrawn, TaskID: task.task.ID})
	attempt := len(task.ended) - 1
	if attempt >= 0 && !task.ended[attempt] && s.chance(0.8-s.script.withdrawn) {
		s.end(task, attempt, placer.Cancelled, placer.NoReason, true)
	}
}

// resubmit requests a rejected task again.
func (s *simulation) resubmit(task *simTask) {
	again := task.task
	again.ID, again.IsRetry = s.nextTask, true
	again.Deadline = s.now + 4
	s.nextTask++
	s.arrive(again)
}

// migrate stops a task as the scheduler requested.
func (s *simulation) migrate(task *simTask) {
	attempt := len(task.ended) - 1
	if attempt < 0 || task.ended[attempt] {
		return
	}
	s.end(task, attempt, placer.Lost, placer.Drained, true)
	s.resubmit(task)
}

// adopt reports a task that runs already, for some on a node that no list has named.
func (s *simulation) adopt(i int) {
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	if i%4 == 3 {
		node = &simNode{Node: placer.Node{ID: placer.NodeID(900000 + i)}}
	}
	task := &simTask{task: s.newTask(), nodes: []*simNode{node}, ended: []bool{false}, bound: true}
	s.tasks = append(s.tasks, task)
	s.byID[task.task.ID] = task
	node.requestedCores += task.task.Cores
	node.requestedMemory += task.task.Memory
	for range 1 + i%2 { // some are repeated
		s.handle(placer.Event{Kind: placer.Adopted, Task: task.task, Node: node.ID})
	}
	s.after(3+20*s.randomTime(), func() { s.finish(task, 0) })
}

// attemptStarted draws the outcome of an attempt.
func (s *simulation) attemptStarted(a placer.Action) {
	task := s.byID[a.Task]
	var node *simNode
	for _, candidate := range s.nodes {
		if candidate.ID == a.Node {
			node = candidate
		}
	}
	task.nodes, task.ended = append(task.nodes, node), append(task.ended, false)
	attempt, sent := a.Attempt, s.now
	latency := 0.01 + 0.2*s.randomTime()
	later := func(delay placer.Seconds, result placer.Result, reason placer.Reason) {
		s.after(delay, func() { s.end(task, attempt, result, reason, s.chance(0.03)) })
	}
	size := s.size(node)
	switch {
	case s.chance(s.script.lateOutcomes): // the outcome comes too late
		later(task.task.Deadline-s.now+1, placer.TimedOut, placer.NoReason)
	case node.removed || node.State == placer.Terminated:
		later(latency, placer.Unreachable, placer.NoReason)
	case node.State == placer.Draining:
		later(latency, placer.Rejected, placer.WrongNode)
	case node.broken && s.chance(0.5):
		later(a.Until-s.now, placer.TimedOut, placer.NoReason)
	case node.broken:
		later(latency, placer.Errored, placer.NoReason)
	case node.requestedCores+task.task.Cores > size.Cores*s.script.config.Overcommit.Cores:
		later(latency, placer.Rejected, placer.InsufficientCores)
	case node.requestedMemory+task.task.Memory > size.Memory*s.script.config.Overcommit.Memory:
		later(latency, placer.Rejected, placer.InsufficientMemory)
	case s.chance(s.script.failing):
		outcome := s.drawFailure()
		later(latency, outcome.result, outcome.reason)
	default:
		s.after(latency+0.4*s.randomTime(), func() { s.bind(task, attempt, s.now-sent) })
	}
}

type outcome struct {
	result placer.Result
	reason placer.Reason
}

// drawFailure draws how an attempt may end before it is bound.
func (s *simulation) drawFailure() outcome {
	all := []outcome{
		{placer.Rejected, placer.InsufficientCores}, {placer.Rejected, placer.InsufficientMemory}, {placer.Rejected, placer.QueueFull},
		{placer.Rejected, placer.WrongNode}, {placer.Rejected, placer.NoReason}, {placer.Rejected, placer.QueueFull},
		{placer.Errored, placer.NoReason}, {placer.Errored, placer.NoReason}, {placer.TimedOut, placer.NoReason},
		{placer.Unreachable, placer.NoReason}, {placer.Lost, placer.NoReason}, {placer.Lost, placer.Evicted},
		{placer.Lost, placer.Preempted}, {placer.Lost, placer.Drained}, {placer.Cancelled, placer.NoReason},
		{placer.Expired, placer.NoReason}, {placer.Finished, placer.NoReason},
	}
	return all[s.rng.IntN(len(all))]
}

func (s *simulation) bind(task *simTask, attempt int, elapsed placer.Seconds) {
	if task.ended[attempt] {
		return
	}
	task.bound = true
	node := task.nodes[attempt]
	node.requestedCores += task.task.Cores
	node.requestedMemory += task.task.Memory
	ev := placer.Event{Kind: placer.Bound, TaskID: task.task.ID, Attempt: attempt, Node: node.ID, Elapsed: elapsed}
	s.handle(ev)
	if s.chance(0.02) {
		s.handle(ev) // repeated
	}
	for use := placer.Started; use <= placer.NodeMemory; use++ {
		if s.chance(0.5) {
			s.after(0.2+s.randomTime(), func() { s.reportUsage(task, attempt, use) })
		}
	}
	s.after(task.lifetime, func() { s.finish(task, attempt) })
}

func (s *simulation) reportUsage(task *simTask, attempt int, use placer.UsageKind) {
	value := 2 * s.rng.Float64() * task.task.Cores
	s.handle(placer.Event{Kind: placer.UsageReported, TaskID: task.task.ID, Attempt: attempt, Node: task.nodes[attempt].ID, Usage: use, Value: value})
}

// finish ends a bound task, in most cases with success.
func (s *simulation) finish(task *simTask, attempt int) {
	result := outcome{placer.Finished, placer.NoReason}
	if s.chance(0.25) {
		result = s.drawFailure()
	}
	s.end(task, attempt, result.result, result.reason, s.chance(0.9))
}

func (s *simulation) end(task *simTask, attempt int, result placer.Result, reason placer.Reason, over bool) {
	if task.ended[attempt] {
		return
	}
	task.ended[attempt] = true
	node := task.nodes[attempt]
	if task.bound && attempt == len(task.ended)-1 {
		node.requestedCores -= task.task.Cores
		node.requestedMemory -= task.task.Memory
	}
	ev := placer.Event{Kind: placer.Ended, TaskID: task.task.ID, Attempt: attempt, Node: node.ID, Result: result, Reason: reason,
		Elapsed: 0.1, Final: over, Report: s.report(node)}
	s.handle(ev)
	if s.chance(0.02) {
		s.handle(ev) // repeated
	}
}

// unmatchedEvents hands in events that match nothing, at a time slightly before the last event.
func (s *simulation) unmatchedEvents() {
	s.after(0.5+s.randomTime(), s.unmatchedEvents)
	id := placer.TaskID(1 + s.rng.IntN(int(s.nextTask)))
	node := s.nodes[s.rng.IntN(len(s.nodes))].ID
	kinds := []placer.Event{
		{Kind: placer.Bound, TaskID: id, Attempt: 50, Node: node},
		{Kind: placer.Bound, TaskID: 1 << 40, Node: node},
		{Kind: placer.Bound, TaskID: id, Attempt: -1, Node: node},
		{Kind: placer.Ended, TaskID: id, Attempt: 50, Node: node, Result: placer.Lost},
		{Kind: placer.Ended, TaskID: 1 << 40, Node: node},
		{Kind: placer.UsageReported, TaskID: id, Attempt: -1, Usage: placer.CoresUsed, Value: 1},
		{Kind: placer.UsageReported, TaskID: id, Attempt: 0, Usage: placer.UsageKind(77), Value: 1},
		{Kind: placer.Withdrawn, TaskID: 1 << 40},
		{Kind: placer.TimerFired, Token: 1 << 40},
		{Kind: placer.EventKind(200), TaskID: id},
	}
	s.handleAt(s.now-0.05, kinds[s.rng.IntN(len(kinds))])
}
