package engine_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/config"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

const scriptStart placer.Seconds = 1.8e9

// delayed is a call of the engine that is due later.
type delayed struct {
	at          placer.Seconds
	sequence    int
	incarnation int
	call        func()
}

// script drives one engine through seeded calls and records all that is observable after each call.
type script struct {
	t           *testing.T
	rng         *rand.Rand
	config      engine.Config
	engine      *engine.Engine
	incarnation int
	now         placer.Seconds
	nodes       []*fakeNode
	queue       []delayed
	sequence    int
	revision    int64
	jobs        []string
	record      *goldentest.Recorder
	kinds       [8]int64 // effects by kind
	changes     [4][3]int64
	failures    map[string]int64
}

func newScript(t *testing.T, seed uint64, change func(*engine.Config)) *script {
	t.Helper()
	defaults := config.Default()
	defaults.Tenants = []config.Tenant{{Name: "first", Share: 0.7}, {Name: "second", Share: 0.3}}
	defaults.Limits.FinishedTTL = 40
	config := defaults.Engine(seed, 1000)
	if change != nil {
		change(&config)
	}
	s := &script{t: t, rng: rand.New(rand.NewPCG(seed, 77)), config: config, now: scriptStart, record: goldentest.NewRecorder(),
		failures: map[string]int64{}}
	for i := range 10 {
		s.nodes = append(s.nodes, &fakeNode{name: fmt.Sprintf("node-%02d", i), incarnation: 1, ready: true, fencedUpTo: map[types.UID]int{}})
	}
	s.restart()
	return s
}

// restart replaces the engine by a new one, as after a crash of the scheduler.
func (s *script) restart() {
	s.incarnation++
	config := s.config
	config.Seed += uint64(s.incarnation) * 7919
	config.BaseRevision = s.revision + 1000
	created, err := engine.New(config)
	if err != nil {
		s.t.Fatal(err)
	}
	s.engine, s.revision = created, config.BaseRevision
	s.observe()
	s.after(0.05, s.sendFullList)
}

// delay draws a delay from least up to least and spread.
func (s *script) delay(least, spread float64) placer.Seconds {
	return placer.Seconds(least + spread*s.rng.Float64())
}

// after schedules a call of the present engine. It is not made if that engine is replaced before.
func (s *script) after(delay placer.Seconds, call func()) {
	s.sequence++
	s.queue = append(s.queue, delayed{s.now + delay, s.sequence, s.incarnation, call})
}

// observe records effects and changes, checks the engine's invariants, and lets the nodes react to effects.
func (s *script) observe() {
	if err := s.engine.CheckInvariants(); err != nil {
		s.t.Fatal(err)
	}
	for _, effect := range s.engine.Ready(nil) {
		s.recordEffect(&effect)
		s.carryOut(effect)
	}
	s.recordChanges()
	s.record.Floats(float64(s.engine.NextWake()), s.engine.Admission().Limit(), s.engine.Admission().RetryBudget())
	listed, watched := s.engine.NodeCounts()
	s.record.Integers(int64(s.engine.OpenTasks()), int64(listed), int64(watched), s.engine.Store().ObjectCost(), s.engine.Store().HistoryCost())
}

func (s *script) recordEffect(effect *engine.Effect) {
	s.kinds[effect.Kind]++
	s.record.Integers(int64(effect.Kind), int64(effect.Attempt))
	s.record.Texts(effect.Node, effect.Address, string(effect.UID), effect.Namespace, effect.Name)
	s.record.Floats(float64(effect.Deadline))
	s.record.Booleans(effect.AvoidUnknownOutcome, effect.Pod != nil)
	if effect.Pod != nil {
		s.recordObject(effect.Pod)
	}
}

func (s *script) recordObject(object interface{ Marshal() ([]byte, error) }) {
	binary, err := object.Marshal()
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := json.Marshal(object)
	if err != nil {
		s.t.Fatal(err)
	}
	s.record.Bytes(binary)
	s.record.Bytes(text)
}

// recordChanges records the changes of all tables since the last call, in order of revision.
func (s *script) recordChanges() {
	type tableChange struct {
		table  store.Resource
		change *store.Change
	}
	var entries []tableChange
	for _, table := range []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces} {
		changes, err := s.engine.Store().ChangesSince(table, s.revision, math.MaxInt32)
		s.record.Error(err)
		for _, change := range changes {
			entries = append(entries, tableChange{table, change})
		}
	}
	slices.SortFunc(entries, func(left, right tableChange) int { return cmp.Compare(left.change.Revision, right.change.Revision) })
	for _, entry := range entries {
		s.changes[entry.table][entry.change.Op]++
		s.record.Integers(int64(entry.table), int64(entry.change.Op), entry.change.Revision)
		s.recordObject(entry.change.Object.(interface{ Marshal() ([]byte, error) }))
		s.record.Booleans(entry.change.Previous != nil)
		if entry.change.Previous != nil {
			s.record.Texts(entry.change.Previous.GetResourceVersion())
		}
	}
	s.revision = s.engine.Store().Revision()
}

// result records what a call returned.
func (s *script) result(object interface{ Marshal() ([]byte, error) }, err error) {
	s.record.Error(err)
	if err != nil {
		s.failures[err.Error()]++
		return
	}
	if object != nil {
		s.recordObject(object)
	}
}

func (s *script) node(name string) *fakeNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

func (s *script) carryOut(effect engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.answerAttempt(effect)
	case engine.StopTask:
		s.answerStop(effect)
	case engine.WatchNode:
		s.after(s.delay(0.02, 0.1), func() { s.listPods(s.node(effect.Node)) })
	case engine.RelistNodes:
		s.after(0.05, s.sendFullList)
	}
}

// step makes one random call.
func (s *script) step() {
	switch draw := s.rng.IntN(100); {
	case draw < 50:
		s.create(s.rng.IntN(10) == 0)
	case draw < 58:
		s.updateJob()
	case draw < 63:
		s.deleteJob()
	case draw < 68:
		s.stopPod(false)
	case draw < 73:
		s.stopPod(true)
	case draw < 80:
		s.updateNode()
	default:
		s.nodeFault()
	}
	s.observe()
}

// advance goes on to a time, with all timers and delayed calls up to it in order.
func (s *script) advance(until placer.Seconds) {
	for {
		next := s.engine.NextWake()
		slices.SortStableFunc(s.queue, func(left, right delayed) int {
			return cmp.Or(cmp.Compare(left.at, right.at), cmp.Compare(left.sequence, right.sequence))
		})
		queued := len(s.queue) > 0 && s.queue[0].at < next
		if queued {
			next = s.queue[0].at
		}
		if next > until {
			break
		}
		s.now = max(s.now, next)
		if !queued {
			s.engine.Tick(s.now)
			s.observe()
			continue
		}
		due := s.queue[0]
		s.queue = s.queue[1:]
		if due.incarnation == 0 || due.incarnation == s.incarnation {
			due.call()
			s.observe()
		}
	}
	s.now = until
}

// checkpoint writes the digest so far with the counters of the engine in a fixed order.
func (s *script) checkpoint(label string) {
	stats := s.engine.Stats
	counters := []uint64{
		stats.PlacementRequests, stats.Attempts, stats.Accepted, stats.Rejections, stats.UnknownOutcomes, stats.Adopted, stats.Stops,
		stats.Placed, stats.Rejected, stats.Failed, stats.Shed, stats.Retries, stats.LostTasks, stats.EvictedTasks, stats.MigratedTasks,
		stats.Recovered, stats.JobsCreated, stats.JobsFinished, stats.PodsCreated, stats.JobsRejected, stats.LateAnswers,
	}
	for _, counter := range counters {
		s.record.Integers(int64(counter))
	}
	s.record.Line("%s: effects %v; changes %v; open %d; revision %d; counters %v",
		label, s.kinds, s.changes, s.engine.OpenTasks(), s.revision, counters)
	s.record.Checkpoint(label)
}

// finish lets everything end, stops the engine while new tasks wait, and records the errors that occurred and the final state of all
// Pods. No task that ran waits for its next start then; TestStopWhileTaskAwaitsRerun covers that.
func (s *script) finish() {
	s.advance(s.now + 90)
	s.checkpoint("before the stop")
	for range 12 {
		s.create(false)
		s.observe()
	}
	s.advance(s.now + 0.002)
	s.engine.Stop(s.now)
	s.observe()
	s.create(false)
	s.observe()
	s.advance(s.now + 60)
	s.checkpoint("after the stop")
	s.engine.Store().Snapshot(store.Pods).Scan("", "", func(key string, change *store.Change) bool {
		pod := change.Object.(*corev1.Pod)
		s.record.Texts(key, string(pod.Status.Phase), pod.Status.Reason, wellknown.SettledReason(pod))
		return true
	})
	s.checkpoint("final tasks")
	for _, text := range slices.Sorted(maps.Keys(s.failures)) {
		s.record.Line("error %d times: %s", s.failures[text], text)
	}
}
