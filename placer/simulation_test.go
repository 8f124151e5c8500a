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

// scheduledEvent is a function that the simulation runs at a later time.
type scheduledEvent struct {
	at       placer.Seconds
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a discrete-event simulation of one scenario. It passes events to a Placer and carries out the
// returned actions.
type simulation struct {
	scenario     scenario
	placer       *placer.Placer
	rng          *rand.Rand
	now          placer.Seconds
	queue        eventQueue
	lastSequence int
	nodes        []*simNode
	tasks        []*simTask
	byID         map[placer.TaskID]*simTask
	nextNode     placer.NodeID
	nextTask     placer.TaskID
	subscribed   bool // the Placer receives node lists without a request
	digest       hash.Hash
	eventCount   int
	actionCounts [8]int // number of actions by kind
	checkpoints  *strings.Builder
	actionBuffer []placer.Action
}

func runScenario(t *testing.T, testScenario scenario, out *strings.Builder) {
	t.Helper()
	testPlacer, err := placer.New(testScenario.config, testScenario.seed)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{scenario: testScenario, placer: testPlacer, rng: rand.New(rand.NewPCG(testScenario.seed, 77)), now: 1000, digest: sha256.New(),
		byID: map[placer.TaskID]*simTask{}, nextNode: 100, nextTask: 1, checkpoints: out, subscribed: !testScenario.config.Discovery.MustPoll}
	sim.start()
	for sim.eventCount < testScenario.eventCount {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
}

func (sim *simulation) start() {
	for range sim.scenario.nodeCount {
		sim.addNode(sim.scenario.nodesStartedAt)
	}
	for i := range sim.scenario.brokenNodes {
		sim.nodes[i*3%len(sim.nodes)].broken = true
	}
	for i := range 8 {
		sim.adoptTask(i)
	}
	sim.pushNodeList()
	sim.generateArrivals()
	sim.sendUnmatchedEvents()
	if sim.scenario.churnInterval > 0 {
		sim.schedule(sim.scenario.churnInterval, sim.changeRandomNode)
	}
}

func (sim *simulation) schedule(delay placer.Seconds, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, scheduledEvent{sim.now + delay, sim.lastSequence, run})
}

// randomSecond returns a random duration between 0 and 1 s.
func (sim *simulation) randomSecond() placer.Seconds { return placer.Seconds(sim.rng.Float64()) }

// withProbability returns true with the given probability.
func (sim *simulation) withProbability(probability float64) bool {
	return sim.rng.Float64() < probability
}

// handle passes an event to the Placer. It adds the resulting actions to the digest and carries them out.
func (sim *simulation) handle(event placer.Event) {
	sim.handleAt(sim.now, event)
}

func (sim *simulation) handleAt(now placer.Seconds, event placer.Event) {
	// Handle must append its actions after this action.
	prefix := placer.Action{Kind: 99, Token: uint64(sim.eventCount)}
	sim.actionBuffer = sim.placer.Handle(now, event, append(sim.actionBuffer[:0], prefix))
	sim.digestActions()
	sim.eventCount++
	if sim.eventCount%checkpointEvents == 0 && sim.eventCount <= sim.scenario.eventCount {
		fmt.Fprintf(sim.checkpoints, "%s %d %v %x\n", sim.scenario.name, sim.eventCount, sim.actionCounts[1:], sim.digest.Sum(nil))
	}
	for _, action := range copyActions(sim.actionBuffer) {
		sim.performAction(action)
	}
}

// copyActions returns a copy of the actions of one event. The copy is needed, because performing an action
// may pass another event to the Placer, whose actions overwrite the buffer.
func copyActions(actions []placer.Action) []placer.Action {
	return append([]placer.Action(nil), actions[1:]...)
}

func (sim *simulation) digestActions() {
	var words bytes.Buffer
	word := func(value uint64) { words.Write(binary.LittleEndian.AppendUint64(nil, value)) }
	word(uint64(len(sim.actionBuffer)))
	for _, action := range sim.actionBuffer {
		word(uint64(action.Kind))
		word(uint64(action.Task))
		word(uint64(action.Node))
		word(uint64(action.Attempt))
		word(math.Float64bits(float64(action.Until)))
		word(math.Float64bits(float64(action.After)))
		word(action.Token)
		if int(action.Kind) < len(sim.actionCounts) {
			sim.actionCounts[action.Kind]++
		}
	}
	sim.digest.Write(words.Bytes())
}

func (sim *simulation) performAction(action placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		sim.handleStartAttempt(action)
	case placer.SetTimer:
		sim.schedule(action.After, func() { sim.handle(placer.Event{Kind: placer.TimerFired, Token: action.Token}) })
	case placer.WatchNodes, placer.ListNodes:
		sim.schedule(0.05+0.1*sim.randomSecond(), sim.answerPoll)
	case placer.Migrate:
		if task := sim.byID[action.Task]; task != nil {
			sim.schedule(0.3, func() { sim.migrate(task) })
		}
	case placer.Reject, placer.Fail:
		if task := sim.byID[action.Task]; task != nil && sim.withProbability(0.3) {
			sim.schedule(0.5+sim.randomSecond(), func() { sim.resubmit(task) })
		}
	}
}

// sendUnmatchedEvents repeatedly passes an unmatched event to the Placer. Such an event refers to an unknown
// task, attempt or timer, or has an unknown kind. The time of the event is 0.05 s before the current time of
// the simulation, so the times that the Placer receives are not always in order.
func (sim *simulation) sendUnmatchedEvents() {
	sim.schedule(0.5+sim.randomSecond(), sim.sendUnmatchedEvents)
	id := placer.TaskID(1 + sim.rng.IntN(int(sim.nextTask)))
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))].ID
	events := []placer.Event{
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
	sim.handleAt(sim.now-0.05, events[sim.rng.IntN(len(events))])
}
