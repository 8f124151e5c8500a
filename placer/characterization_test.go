package placer_test

// Characterization tests: they pin what a Placer does, to the last bit, so that a refactoring can be shown to
// change nothing. Each script drives one Placer through a seeded discrete-event simulation of a fleet and
// writes a running SHA-256 of all actions at fixed checkpoints. The first checkpoint that differs locates a
// change to within checkpointEvents events.
//
// The golden file holds numbers and digests only, never a Go identifier. A missing golden file fails the test.
// To accept an intended change of behaviour, regenerate it and commit it with the change:
//
//	HEATHSHED_UPDATE_GOLDEN=1 go test ./placer -run Characterization
//
// The digests cover floating-point bits. They were recorded on amd64; a compiler that fuses multiply and add
// on another architecture may round differently.

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathshed/placer"
)

// checkpointEvents is the number of events between two digests of a script.
const checkpointEvents = 500

// compareGolden compares text with a file in testdata line by line, or rewrites the file if asked to.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("HEATHSHED_UPDATE_GOLDEN") == "1" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s differs first at line %d of %d (now %d lines):\n got %q\nwant %q", name, i+1,
				len(wantLines), len(gotLines), lineAt(gotLines, i), lineAt(wantLines, i))
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// ---- the scripts ----

// script is a scheduler configuration with the fleet and the load that it meets.
type script struct {
	name   string
	seed   uint64
	events int
	config placer.Config

	nodes          int     // in the fleet at the start
	zones, racks   int     // over which they are spread
	services       int     // that tasks belong to
	arrivalsPerSec float64 // mean rate of new tasks
	lifetime       float64 // mean seconds for which a bound task runs
	task           float64 // cores of a typical task
	taskMemory     float64 // memory of a typical task
	churnEvery     float64 // mean seconds between changes of the fleet, 0 for none
	listEvery      float64 // seconds between pushed lists
	listFails      float64 // part of the list answers that are failures
	failing        float64 // part of the offers that end in an error before the bind
	brokenNodes    int     // machines that never start a task
	lateOutcomes   float64 // part of the offers whose outcome comes after the deadline
	lowLoadAfter   int     // events after which few tasks arrive, 0 for never
	withdrawn      float64 // part of the tasks that their owners withdraw early
	returnsAfter   float64 // seconds after which a machine that left comes back, 0 for never
	minUsageRatio  float64 // part of what is asked that is used at least
	firstSince     float64 // clock time of the machines' last start, 0 for long ago
}

func classes(apart ...placer.TopologyDomain) []placer.Class {
	all := []placer.Class{
		{Idempotency: placer.Idempotent, DedupDomain: placer.ClusterDomain, LatencyObjective: 1, Deadline: 6, Weight: 1, StartBonus: 5, NodeType: -1,
			SaturationThreshold: 1, DegradationRange: 1},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.RackDomain, DedupWindow: 3, LatencyObjective: 0.5, Deadline: 5, Weight: 2, LateWeight: 0.5, NodeType: -1,
			SaturationThreshold: 0.8, DegradationRange: 0.4},
		{Idempotency: placer.NonIdempotent, LatencyObjective: 1.5, Deadline: 8, Weight: 4, Priority: 2, NodeType: 1, SaturationThreshold: 0.9, DegradationRange: 0.2},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.ClusterDomain, DedupWindow: 2, LatencyObjective: 2, Deadline: 4, Weight: 1, NodeType: 0,
			SaturationThreshold: 0.7, DegradationRange: 0.5},
		{Idempotency: placer.Idempotent, DedupDomain: placer.ZoneDomain, LatencyObjective: 0.8, Deadline: 3, Weight: 1, NodeType: -1, SaturationThreshold: 0.95},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.NodeDomain, DedupWindow: 6, LatencyObjective: 0.7, Deadline: 7, Weight: 1, NodeType: -1,
			SaturationThreshold: 1, DegradationRange: 0.1},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.ZoneDomain, DedupWindow: 1, LatencyObjective: 1, Deadline: 6, Weight: 1, NodeType: -1, SaturationThreshold: 1},
	}
	for i := range all {
		all[i].SpreadDomain, all[i].MaxPerDomain = apart[i%len(apart)], 2+i%3
		if all[i].SpreadDomain == placer.ClusterDomain {
			all[i].MaxPerDomain = 12
		}
	}
	return all
}

func baseConfig() placer.Config {
	return placer.Config{
		Peers: 1, Classes: classes(placer.NoDomain, placer.NodeDomain, placer.RackDomain, placer.ZoneDomain, placer.ClusterDomain),
		NodeTypes:       []placer.NodeType{{Cores: 8, Memory: 16}, {Cores: 16, Memory: 32}, {Cores: 4, Memory: 64}},
		Tenants:         []placer.Tenant{{Share: 0.6, Cores: 100}, {Share: 0.4, Cores: 60}},
		OvercommitCores: 1.5, OvercommitMemory: 1.2, MaxAttempts: 4, ConnectTimeout: 0.2, AnswerGrace: 0.1, DrainGrace: 2, WarmupMinPace: 0.3,
		WarmupDuration: 6, OverloadMultiple: 2, OverloadWindow: 1, WarmupAttempts: 4, MaxPollInterval: 9, MaxRetryAfter: 5, UnknownOutcomeWait: 2, OverQuotaWeight: 0.2,
	}
}

func scripts() []script {
	stay := baseConfig()
	stay.StickyServices, stay.AcknowledgesOnStart, stay.Preempts = true, true, true

	fleet := baseConfig()
	fleet.Self, fleet.Peers, fleet.ListShowsCapacity, fleet.ReportsUsage = 1, 3, true, true
	fleet.NodeCost, fleet.MigrationCost, fleet.SendsRetryAfter = 0.3, 0.02, true
	fleet.Classes = classes(placer.NoDomain, placer.RackDomain)

	zones := baseConfig()
	zones.Self, zones.Peers, zones.Zone, zones.CrossZoneCost, zones.MustPollNodes = 2, 8, 1, 0.2, true
	zones.ListShowsCapacity, zones.WarmupAttempts, zones.AllowsHedging = true, 20, true
	zones.Classes = classes(placer.ZoneDomain, placer.NoDomain, placer.NodeDomain, placer.RackDomain)

	tight := baseConfig()
	tight.Self, tight.Peers, tight.ReportsUsage, tight.MaxAttempts = 0, 2, true, 6
	tight.MustPollNodes, tight.MaxPollInterval, tight.OvercommitCores, tight.OvercommitMemory = true, 3, 1, 1

	crowd := baseConfig()
	crowd.Peers, crowd.ListShowsCapacity, crowd.OvercommitCores, crowd.OvercommitMemory = 2, true, 20, 20
	crowd.Classes = classes(placer.NoDomain)
	for i := range crowd.Classes {
		crowd.Classes[i].Deadline += 8
		crowd.Classes[i].NodeType = -1
	}

	memory := baseConfig()
	memory.ListShowsCapacity, memory.ReportsUsage, memory.OvercommitCores, memory.OvercommitMemory = true, true, 2, 2

	dear := fleet // moves cost more than the machines that they free
	dear.NodeCost, dear.MigrationCost, dear.WarmupAttempts = 0.1, 0.2, 30

	deaf := zones // the list hardly ever comes
	deaf.MaxPollInterval, deaf.Peers = 400, 3

	return []script{
		{name: "stay", seed: 1, events: 12000, config: stay, nodes: 24, zones: 2, racks: 6, services: 9, arrivalsPerSec: 14,
			lifetime: 5, task: 0.9, taskMemory: 1.5, churnEvery: 1.5, listEvery: 0.7, listFails: 0.1, failing: 0.15, brokenNodes: 2,
			lateOutcomes: 0.03},
		{name: "fleet", seed: 2, events: 12000, config: fleet, nodes: 30, zones: 1, racks: 5, services: 30, arrivalsPerSec: 10,
			lifetime: 8, task: 0.7, taskMemory: 1.2, churnEvery: 6, listEvery: 0.5, failing: 0.05, brokenNodes: 1, lateOutcomes: 0.01,
			lowLoadAfter: 6000},
		{name: "zones", seed: 3, events: 12000, config: zones, nodes: 40, zones: 3, racks: 8, services: 40, arrivalsPerSec: 12,
			lifetime: 6, task: 1, taskMemory: 2, churnEvery: 0.3, listEvery: 0.6, listFails: 0.25, failing: 0.2, brokenNodes: 3,
			lateOutcomes: 0.02},
		{name: "tight", seed: 4, events: 12000, config: tight, nodes: 6, zones: 2, racks: 2, services: 5, arrivalsPerSec: 9,
			lifetime: 9, task: 2, taskMemory: 5, churnEvery: 5, listEvery: 1, listFails: 0.3, failing: 0.35, brokenNodes: 1, lateOutcomes: 0.05},
		{name: "slow", seed: 5, events: 6000, config: stay, nodes: 12, zones: 2, racks: 3, services: 4, arrivalsPerSec: 0.4,
			lifetime: 20, task: 1, taskMemory: 2, churnEvery: 8, listEvery: 3, listFails: 0.05, failing: 0.1, lateOutcomes: 0.01},
		{name: "crowd", seed: 6, events: 8000, config: crowd, nodes: 4, zones: 1, racks: 2, services: 200, arrivalsPerSec: 3,
			lifetime: 1, task: 0.05, taskMemory: 0.05, churnEvery: 4, listEvery: 0.5, failing: 0.02, lateOutcomes: 0.5, withdrawn: 0.6},
		{name: "memory", seed: 7, events: 6000, config: memory, nodes: 10, zones: 2, racks: 4, services: 40, arrivalsPerSec: 8,
			lifetime: 8, task: 0.3, taskMemory: 4, listEvery: 0.3, failing: 0.02, minUsageRatio: 0.35},
		{name: "return", seed: 8, events: 8000, config: fleet, nodes: 20, zones: 2, racks: 4, services: 15, arrivalsPerSec: 3,
			lifetime: 2, task: 1, taskMemory: 1, churnEvery: 5, listEvery: 0.5, failing: 0.05, returnsAfter: 59.5},
		{name: "dear", seed: 9, events: 4000, config: dear, nodes: 20, zones: 1, racks: 4, services: 15, arrivalsPerSec: 6,
			lifetime: 6, task: 1, taskMemory: 1, listEvery: 0.5, failing: 0.05, lowLoadAfter: 2000, firstSince: 998},
		{name: "deaf", seed: 10, events: 4000, config: deaf, nodes: 20, zones: 2, racks: 4, services: 15, arrivalsPerSec: 2,
			lifetime: 6, task: 1, taskMemory: 1, churnEvery: 5, listEvery: 4, listFails: 0.85, failing: 0.05},
	}
}

func TestCharacterizationOfScripts(t *testing.T) {
	var text strings.Builder
	for _, s := range scripts() {
		runScript(t, s, &text)
	}
	compareGolden(t, "characterization.golden", text.String())
}

// TestCharacterizationRunsAreEqual shows that two Placers in one process do the same for the same script.
func TestCharacterizationRunsAreEqual(t *testing.T) {
	var first, second strings.Builder
	s := scripts()[1]
	s.events = 2000
	runScript(t, s, &first)
	runScript(t, s, &second)
	if first.String() != second.String() {
		t.Fatalf("two runs of one script differ:\n%s\n%s", first.String(), second.String())
	}
}

// TestCharacterizationOfConfigChecks pins which configurations New accepts; one digit each, 1 for accepted.
func TestCharacterizationOfConfigChecks(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	changes := []func(*placer.Config){
		func(*placer.Config) {},
		func(c *placer.Config) { c.Classes = nil },
		func(c *placer.Config) { c.NodeTypes = nil },
		func(c *placer.Config) { c.Peers = 0 },
		func(c *placer.Config) { c.Self = -1 },
		func(c *placer.Config) { c.Self = 1 },
		func(c *placer.Config) { c.MaxAttempts = 0 },
		func(c *placer.Config) { c.WarmupDuration = -1 },
		func(c *placer.Config) { c.OverloadWindow = nan },
		func(c *placer.Config) { c.WarmupAttempts = -0.5 },
		func(c *placer.Config) { c.AnswerGrace = -1 },
		func(c *placer.Config) { c.DrainGrace = -1 },
		func(c *placer.Config) { c.MaxPollInterval = nan },
		func(c *placer.Config) { c.NodeCost = -1 },
		func(c *placer.Config) { c.CrossZoneCost = -1 },
		func(c *placer.Config) { c.MigrationCost = -1 },
		func(c *placer.Config) { c.MigrationCost = inf },
		func(c *placer.Config) { c.Classes[1].LatencyObjective = 0 },
		func(c *placer.Config) { c.Classes[1].Deadline = nan },
		func(c *placer.Config) { c.NodeTypes[0].Cores = 0 },
		func(c *placer.Config) { c.NodeTypes[1].Memory = -1 },
		func(c *placer.Config) { c.Tenants = nil },
		func(c *placer.Config) { c.OvercommitCores = -1 },
	}
	const want = "10000000000000001000011"
	var got strings.Builder
	for _, change := range changes {
		config := baseConfig()
		change(&config)
		if _, err := placer.New(config, 1); err != nil {
			got.WriteByte('0')
		} else {
			got.WriteByte('1')
		}
	}
	if got.String() != want {
		t.Fatalf("accepted configurations\n got %s\nwant %s", got.String(), want)
	}
}

// ---- the simulated fleet ----

// simNode is the true state of a machine, which the Placer sees through lists and reports only.
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
	lifetime float64
}

// pendingEvent is something that the simulation does at a later time.
type pendingEvent struct {
	at       float64
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
	now        float64
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
		byID: map[placer.TaskID]*simTask{}, nextNode: 100, nextTask: 1, out: out, subscribed: !s.config.MustPollNodes}
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

func (s *simulation) after(seconds float64, do func()) {
	s.sequence++
	heap.Push(&s.queue, pendingEvent{s.now + seconds, s.sequence, do})
}

// chance is true in the given part of all calls.
func (s *simulation) chance(part float64) bool { return s.rng.Float64() < part }

// handle hands an event to the Placer, digests what it answers and carries that out.
func (s *simulation) handle(ev placer.Event) {
	s.handleAt(s.now, ev)
}

func (s *simulation) handleAt(now float64, ev placer.Event) {
	prefix := placer.Action{Kind: 99, Token: uint64(s.events)} // what stands in the buffer must stay there
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
		word(math.Float64bits(a.Until))
		word(math.Float64bits(a.After))
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
		s.after(0.05+0.1*s.rng.Float64(), s.answerPoll)
	case placer.Migrate:
		if t := s.byID[a.Task]; t != nil {
			s.after(0.3, func() { s.migrate(t) })
		}
	case placer.Reject, placer.Fail:
		if t := s.byID[a.Task]; t != nil && s.chance(0.3) {
			s.after(0.5+s.rng.Float64(), func() { s.resubmit(t) })
		}
	}
}

// ---- lists and the fleet ----

func (s *simulation) addNode(since float64) {
	s.nextNode += 7
	m := &simNode{Node: placer.Node{ID: s.nextNode, Zone: s.rng.IntN(s.script.zones), Rack: s.rng.IntN(s.script.racks),
		NodeType: s.rng.IntN(len(s.script.config.NodeTypes)), State: placer.Ready, StartedAt: since}}
	if s.chance(0.03) {
		m.NodeType = 9 // a kind that the configuration does not know
	}
	s.nodes = append(s.nodes, m)
}

// entry is the line that the list shows for a machine.
func (s *simulation) entry(m *simNode) placer.Node {
	n := m.Node
	size := s.size(m)
	n.FreeCores, n.FreeMemory = size.Cores-m.requestedCores, size.Memory-m.requestedMemory
	return n
}

func (s *simulation) size(m *simNode) placer.NodeType {
	if m.NodeType < len(s.script.config.NodeTypes) {
		return s.script.config.NodeTypes[m.NodeType]
	}
	return placer.NodeType{Cores: 8, Memory: 16}
}

func (s *simulation) sendNodes(kind placer.ListKind) {
	ev := placer.Event{Kind: placer.NodesListed, List: kind}
	for _, m := range s.nodes {
		if m.removed || kind == placer.ListFailed || kind == placer.Changes && s.chance(0.6) {
			continue
		}
		ev.Nodes = append(ev.Nodes, s.entry(m))
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
		s.subscribed = !s.script.config.MustPollNodes
		s.sendNodes(placer.ListFailed)
	case s.chance(0.2):
		s.sendNodes(placer.FullList)
	case s.chance(0.2):
		s.sendNodes(placer.CachedList)
	default:
		s.sendNodes(placer.Changes)
	}
}

// answerPoll answers a request for the list, if it does so at all.
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

// churn changes one machine: it drains, leaves, restarts or is replaced.
func (s *simulation) churn() {
	s.after(s.script.churnEvery*(0.5+s.rng.Float64()), s.churn)
	m := s.nodes[s.rng.IntN(len(s.nodes))]
	switch draw := s.rng.Float64(); {
	case s.script.returnsAfter > 0:
		s.removeForAWhile(m)
	case m.removed:
		if len(s.nodes) < 4*s.script.nodes {
			s.addNode(s.now)
		}
	case draw < 0.2:
		m.State = placer.Draining
	case draw < 0.35:
		m.State = placer.Terminated
	case draw < 0.45:
		m.removed = true
		s.addNode(s.now)
	case draw < 0.55:
		m.broken = !m.broken
	default:
		m.State, m.StartedAt = placer.Ready, s.now-0.5*s.rng.Float64()
	}
}

// removeForAWhile takes a machine off the list and brings it back, as it was, about when it is forgotten.
func (s *simulation) removeForAWhile(m *simNode) {
	if m.removed || m.State != placer.Ready {
		return
	}
	m.removed = true
	s.after(s.script.returnsAfter+2*s.rng.Float64(), func() { m.removed = false })
}

// report is what a machine tells of its load; parts of it are missing at random.
func (s *simulation) report(m *simNode) *placer.Report {
	if s.chance(0.3) {
		return nil
	}
	size, use := s.size(m), 0.5+s.script.minUsageRatio+(0.4-s.script.minUsageRatio)*s.rng.Float64()
	if s.chance(0.05) {
		use = 1.3
	}
	r := &placer.Report{FreeCores: size.Cores - m.requestedCores*use, FreeMemory: size.Memory - m.requestedMemory*use,
		Utilization: m.requestedCores * use / size.Cores, QueueLength: float64(s.rng.IntN(4))}
	for _, field := range []*float64{&r.FreeCores, &r.FreeMemory, &r.Utilization, &r.QueueLength} {
		if s.chance(0.25) {
			*field = math.NaN()
		}
	}
	return r
}

// ---- tasks ----

func (s *simulation) newTask() placer.Task {
	class := s.rng.IntN(len(s.script.config.Classes))
	t := placer.Task{ID: s.nextTask, Class: class, Tenant: s.rng.IntN(2),
		Service: placer.ServiceID(1 + s.rng.IntN(s.script.services)),
		Cores:   s.script.task * (0.5 + s.rng.Float64()), Memory: s.script.taskMemory * (0.5 + s.rng.Float64()),
		Deadline: s.now + s.script.config.Classes[class].Deadline, IsRetry: s.chance(0.1)}
	s.nextTask++
	return t
}

func (s *simulation) arrivals() {
	rate := s.script.arrivalsPerSec
	if s.script.lowLoadAfter > 0 && s.events > s.script.lowLoadAfter {
		rate /= 8
	}
	s.after(-math.Log(1-s.rng.Float64())/rate, s.arrivals)
	t := s.newTask()
	if s.chance(0.02) {
		s.invalidate(&t)
	}
	s.arrive(t)
	if s.chance(0.01) { // a burst
		for range 15 {
			s.arrive(s.newTask())
		}
	}
}

// invalidate makes a task one that can never be placed.
func (s *simulation) invalidate(t *placer.Task) {
	switch s.rng.IntN(9) {
	case 0:
		t.Class = -1
	case 1:
		t.Class = 99
	case 2:
		t.Cores = math.NaN()
	case 3:
		t.Cores = math.Inf(1)
	case 4:
		t.Memory = -1
	case 5:
		t.Memory = math.Inf(1)
	case 6:
		t.Deadline = s.now
	case 7:
		t.Deadline = math.NaN()
	case 8:
		t.Cores, t.Memory = 0, 0
	}
}

func (s *simulation) arrive(task placer.Task) {
	t := &simTask{task: task, lifetime: s.script.lifetime * 2 * s.rng.Float64()}
	s.tasks = append(s.tasks, t)
	s.byID[task.ID] = t
	s.handle(placer.Event{Kind: placer.Arrived, Task: task})
	if s.chance(0.02) {
		s.handle(placer.Event{Kind: placer.Arrived, Task: task}) // told twice
	}
	if s.chance(0.05 + s.script.withdrawn) {
		s.after(2*s.rng.Float64()*(1-s.script.withdrawn), func() { s.withdraw(t) })
	}
}

func (s *simulation) withdraw(t *simTask) {
	s.handle(placer.Event{Kind: placer.Withdrawn, TaskID: t.task.ID})
	attempt := len(t.ended) - 1
	if attempt >= 0 && !t.ended[attempt] && s.chance(0.8-s.script.withdrawn) {
		s.end(t, attempt, placer.Cancelled, placer.NoReason, true)
	}
}

// resubmit lets the owner of a task that was turned away ask for it again.
func (s *simulation) resubmit(t *simTask) {
	again := t.task
	again.ID, again.IsRetry = s.nextTask, true
	again.Deadline = s.now + 4
	s.nextTask++
	s.arrive(again)
}

// migrate stops a task at the scheduler's wish.
func (s *simulation) migrate(t *simTask) {
	attempt := len(t.ended) - 1
	if attempt < 0 || t.ended[attempt] {
		return
	}
	s.end(t, attempt, placer.Lost, placer.Drained, true)
	s.resubmit(t)
}

// adopt tells of a task that runs already; some stand on machines that no list has named.
func (s *simulation) adopt(i int) {
	m := s.nodes[s.rng.IntN(len(s.nodes))]
	if i%4 == 3 {
		m = &simNode{Node: placer.Node{ID: placer.NodeID(900000 + i)}}
	}
	t := &simTask{task: s.newTask(), nodes: []*simNode{m}, ended: []bool{false}, bound: true}
	s.tasks = append(s.tasks, t)
	s.byID[t.task.ID] = t
	m.requestedCores += t.task.Cores
	m.requestedMemory += t.task.Memory
	for range 1 + i%2 { // some are told twice
		s.handle(placer.Event{Kind: placer.Adopted, Task: t.task, Node: m.ID})
	}
	s.after(3+20*s.rng.Float64(), func() { s.finish(t, 0) })
}

// attemptStarted draws what becomes of an offer.
func (s *simulation) attemptStarted(a placer.Action) {
	t := s.byID[a.Task]
	var m *simNode
	for _, candidate := range s.nodes {
		if candidate.ID == a.Node {
			m = candidate
		}
	}
	t.nodes, t.ended = append(t.nodes, m), append(t.ended, false)
	attempt, sent := a.Attempt, s.now
	latency := 0.01 + 0.2*s.rng.Float64()
	later := func(seconds float64, result placer.Result, reason placer.Reason) {
		s.after(seconds, func() { s.end(t, attempt, result, reason, s.chance(0.03)) })
	}
	size := s.size(m)
	switch {
	case s.chance(s.script.lateOutcomes): // the outcome comes too late
		later(t.task.Deadline-s.now+1, placer.TimedOut, placer.NoReason)
	case m.removed || m.State == placer.Terminated:
		later(latency, placer.Unreachable, placer.NoReason)
	case m.State == placer.Draining:
		later(latency, placer.Rejected, placer.WrongNode)
	case m.broken && s.chance(0.5):
		later(a.Until-s.now, placer.TimedOut, placer.NoReason)
	case m.broken:
		later(latency, placer.Errored, placer.NoReason)
	case m.requestedCores+t.task.Cores > size.Cores*s.script.config.OvercommitCores:
		later(latency, placer.Rejected, placer.InsufficientCores)
	case m.requestedMemory+t.task.Memory > size.Memory*s.script.config.OvercommitMemory:
		later(latency, placer.Rejected, placer.InsufficientMemory)
	case s.chance(s.script.failing):
		outcome := s.drawFailure()
		later(latency, outcome.result, outcome.reason)
	default:
		s.after(latency+0.4*s.rng.Float64(), func() { s.bind(t, attempt, s.now-sent) })
	}
}

type outcome struct {
	result placer.Result
	reason placer.Reason
}

// drawFailure is how an attempt may end before its bind.
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

func (s *simulation) bind(t *simTask, attempt int, elapsed float64) {
	if t.ended[attempt] {
		return
	}
	t.bound = true
	m := t.nodes[attempt]
	m.requestedCores += t.task.Cores
	m.requestedMemory += t.task.Memory
	ev := placer.Event{Kind: placer.Bound, TaskID: t.task.ID, Attempt: attempt, Node: m.ID, Elapsed: elapsed}
	s.handle(ev)
	if s.chance(0.02) {
		s.handle(ev) // told twice
	}
	for use := placer.Started; use <= placer.NodeMemory; use++ {
		if s.chance(0.5) {
			s.after(0.2+s.rng.Float64(), func() { s.reportUsage(t, attempt, use) })
		}
	}
	s.after(t.lifetime, func() { s.finish(t, attempt) })
}

func (s *simulation) reportUsage(t *simTask, attempt int, use placer.UsageKind) {
	value := 2 * s.rng.Float64() * t.task.Cores
	s.handle(placer.Event{Kind: placer.UsageReported, TaskID: t.task.ID, Attempt: attempt, Node: t.nodes[attempt].ID, Usage: use, Value: value})
}

// finish ends a bound task, mostly well.
func (s *simulation) finish(t *simTask, attempt int) {
	o := outcome{placer.Finished, placer.NoReason}
	if s.chance(0.25) {
		o = s.drawFailure()
	}
	s.end(t, attempt, o.result, o.reason, s.chance(0.9))
}

func (s *simulation) end(t *simTask, attempt int, result placer.Result, reason placer.Reason, over bool) {
	if t.ended[attempt] {
		return
	}
	t.ended[attempt] = true
	m := t.nodes[attempt]
	if t.bound && attempt == len(t.ended)-1 {
		m.requestedCores -= t.task.Cores
		m.requestedMemory -= t.task.Memory
	}
	ev := placer.Event{Kind: placer.Ended, TaskID: t.task.ID, Attempt: attempt, Node: m.ID, Result: result, Reason: reason,
		Elapsed: 0.1, Final: over, Report: s.report(m)}
	s.handle(ev)
	if s.chance(0.02) {
		s.handle(ev) // told twice
	}
}

// unmatchedEvents hands in events that match nothing, and clocks that go back a little.
func (s *simulation) unmatchedEvents() {
	s.after(0.5+s.rng.Float64(), s.unmatchedEvents)
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
