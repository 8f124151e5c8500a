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

func (q *eventQueue) Push(x any) { *q = append(*q, x.(pendingEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs one script.
type simulation struct {
	script     script
	placer     *placer.Placer
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

func runScript(t *testing.T, input script, out *strings.Builder) {
	t.Helper()
	target, err := placer.New(input.config, input.seed)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{script: input, placer: target, rng: rand.New(rand.NewPCG(input.seed, 77)), now: 1000, digest: sha256.New(),
		byID: map[placer.TaskID]*simTask{}, nextNode: 100, nextTask: 1, out: out, subscribed: !input.config.Discovery.MustPoll}
	sim.start()
	for sim.events < input.events {
		next := heap.Pop(&sim.queue).(pendingEvent)
		sim.now = next.at
		next.do()
	}
}

func (sim *simulation) start() {
	for range sim.script.nodes {
		sim.addNode(sim.script.firstSince)
	}
	for i := range sim.script.brokenNodes {
		sim.nodes[i*3%len(sim.nodes)].broken = true
	}
	for i := range 8 {
		sim.adopt(i)
	}
	sim.pushNodes()
	sim.arrivals()
	sim.unmatchedEvents()
	if sim.script.churnEvery > 0 {
		sim.after(sim.script.churnEvery, sim.churn)
	}
}

func (sim *simulation) after(delay placer.Seconds, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, pendingEvent{sim.now + delay, sim.sequence, do})
}

// randomTime draws a time between 0 and 1 second.
func (sim *simulation) randomTime() placer.Seconds { return placer.Seconds(sim.rng.Float64()) }

// chance is true in the given part of all calls.
func (sim *simulation) chance(part float64) bool { return sim.rng.Float64() < part }

// handle passes an event to the Placer, adds the actions to the digest and carries them out.
func (sim *simulation) handle(event placer.Event) {
	sim.handleAt(sim.now, event)
}

func (sim *simulation) handleAt(now placer.Seconds, event placer.Event) {
	prefix := placer.Action{Kind: 99, Token: uint64(sim.events)} // the buffer must keep its content
	sim.buffer = sim.placer.Handle(now, event, append(sim.buffer[:0], prefix))
	sim.digestActions()
	sim.events++
	if sim.events%checkpointEvents == 0 && sim.events <= sim.script.events {
		fmt.Fprintf(sim.out, "%s %d %v %x\n", sim.script.name, sim.events, sim.actions[1:], sim.digest.Sum(nil))
	}
	for _, action := range copyOfActions(sim.buffer) {
		sim.carryOut(action)
	}
}

// copyOfActions copies the actions of one event, since carrying them out may pass the next event.
func copyOfActions(actions []placer.Action) []placer.Action {
	return append([]placer.Action(nil), actions[1:]...)
}

func (sim *simulation) digestActions() {
	var words bytes.Buffer
	word := func(value uint64) { words.Write(binary.LittleEndian.AppendUint64(nil, value)) }
	word(uint64(len(sim.buffer)))
	for _, action := range sim.buffer {
		word(uint64(action.Kind))
		word(uint64(action.Task))
		word(uint64(action.Node))
		word(uint64(action.Attempt))
		word(math.Float64bits(float64(action.Until)))
		word(math.Float64bits(float64(action.After)))
		word(action.Token)
		if int(action.Kind) < len(sim.actions) {
			sim.actions[action.Kind]++
		}
	}
	sim.digest.Write(words.Bytes())
}

func (sim *simulation) carryOut(action placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		sim.attemptStarted(action)
	case placer.SetTimer:
		sim.after(action.After, func() { sim.handle(placer.Event{Kind: placer.TimerFired, Token: action.Token}) })
	case placer.WatchNodes, placer.ListNodes:
		sim.after(0.05+0.1*sim.randomTime(), sim.answerPoll)
	case placer.Migrate:
		if task := sim.byID[action.Task]; task != nil {
			sim.after(0.3, func() { sim.migrate(task) })
		}
	case placer.Reject, placer.Fail:
		if task := sim.byID[action.Task]; task != nil && sim.chance(0.3) {
			sim.after(0.5+sim.randomTime(), func() { sim.resubmit(task) })
		}
	}
}

// unmatchedEvents passes events that match nothing, at a time slightly before the last event.
func (sim *simulation) unmatchedEvents() {
	sim.after(0.5+sim.randomTime(), sim.unmatchedEvents)
	id := placer.TaskID(1 + sim.rng.IntN(int(sim.nextTask)))
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))].ID
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
	sim.handleAt(sim.now-0.05, kinds[sim.rng.IntN(len(kinds))])
}
