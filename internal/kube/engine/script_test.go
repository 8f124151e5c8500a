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

const scriptStartTime placer.Seconds = 1.8e9

// delayedCall is a call of the engine that is due later.
type delayedCall struct {
	at          placer.Seconds
	sequence    int // number of the call; calls that are due at the same time are made in the order of this number
	incarnation int // number of the engine for which the call is made; 0 means that any engine gets the call
	call        func()
}

// script makes seeded random calls of one engine, and records everything that is observable after each
// call.
type script struct {
	t            *testing.T
	rng          *rand.Rand
	config       engine.Config
	engine       *engine.Engine
	incarnation  int // number of the present engine; each restart increases it by one
	now          placer.Seconds
	nodes        []*fakeNode
	delayedCalls []delayedCall
	sequence     int      // number of the latest delayed call
	revision     int64    // all changes of the store up to this revision have been recorded
	jobs         []string // namespaces and names of the created Jobs
	recorder     *goldentest.Recorder
	effectCounts [8]int64         // number of effects by kind of effect
	changeCounts [4][3]int64      // number of stored changes by table and by kind of change
	errorCounts  map[string]int64 // number of errors by error text
}

// newScript returns a script with ten nodes and a new engine. If configure is not nil, it modifies the
// configuration of the engine first.
func newScript(t *testing.T, seed uint64, configure func(*engine.Config)) *script {
	t.Helper()
	defaults := config.Default()
	defaults.Tenants = []config.Tenant{{Name: "first", Share: 0.7}, {Name: "second", Share: 0.3}}
	defaults.Limits.FinishedTTL = 40
	config := defaults.EngineConfig(seed, 1000)
	if configure != nil {
		configure(&config)
	}
	s := &script{t: t, rng: rand.New(rand.NewPCG(seed, 77)), config: config, now: scriptStartTime, recorder: goldentest.NewRecorder(),
		errorCounts: map[string]int64{}}
	for i := range 10 {
		s.nodes = append(s.nodes, &fakeNode{name: fmt.Sprintf("node-%02d", i), incarnation: 1, ready: true, fencedUpTo: map[types.UID]int{}})
	}
	s.restart()
	return s
}

// restart replaces the engine by a new one. This is what happens when the scheduler crashes and is started
// again.
func (s *script) restart() {
	s.incarnation++
	config := s.config
	config.Seed += uint64(s.incarnation) * 7919
	config.BaseRevision = s.revision + 1000
	newEngine, err := engine.New(config)
	if err != nil {
		s.t.Fatal(err)
	}
	s.engine, s.revision = newEngine, config.BaseRevision
	s.recordState()
	s.schedule(0.05, s.sendFullList)
}

// randomDelay returns a random delay between minDelay and minDelay + delayRange.
func (s *script) randomDelay(minDelay, delayRange float64) placer.Seconds {
	return placer.Seconds(minDelay + delayRange*s.rng.Float64())
}

// schedule schedules a call of the present engine. The call is not made if the engine is replaced before
// the call is due.
func (s *script) schedule(delay placer.Seconds, call func()) {
	s.sequence++
	s.delayedCalls = append(s.delayedCalls, delayedCall{s.now + delay, s.sequence, s.incarnation, call})
}

// recordState checks the invariants of the engine. It then records and carries out the pending effects,
// and records the changes of the store.
func (s *script) recordState() {
	if err := s.engine.CheckInvariants(); err != nil {
		s.t.Fatal(err)
	}
	for _, effect := range s.engine.Ready(nil) {
		s.recordEffect(&effect)
		s.handleEffect(effect)
	}
	s.recordChanges()
	s.recorder.Floats(float64(s.engine.NextWake()), s.engine.Admission().Limit(), s.engine.Admission().RetryBudget())
	listedCount, watchedCount := s.engine.NodeCounts()
	s.recorder.Integers(int64(s.engine.OpenTasks()), int64(listedCount), int64(watchedCount), s.engine.Store().ObjectCost(), s.engine.Store().HistoryCost())
}

// recordEffect records all fields of an effect.
func (s *script) recordEffect(effect *engine.Effect) {
	s.effectCounts[effect.Kind]++
	s.recorder.Integers(int64(effect.Kind), int64(effect.Attempt))
	s.recorder.Texts(effect.Node, effect.Address, string(effect.UID), effect.Namespace, effect.Name)
	s.recorder.Floats(float64(effect.Deadline))
	s.recorder.Booleans(effect.AvoidUnknownOutcome, effect.Pod != nil)
	if effect.Pod != nil {
		s.recordObject(effect.Pod)
	}
}

// recordObject records the binary encoding and the JSON encoding of an object.
func (s *script) recordObject(object interface{ Marshal() ([]byte, error) }) {
	encodedBinary, err := object.Marshal()
	if err != nil {
		s.t.Fatal(err)
	}
	encodedJSON, err := json.Marshal(object)
	if err != nil {
		s.t.Fatal(err)
	}
	s.recorder.Bytes(encodedBinary)
	s.recorder.Bytes(encodedJSON)
}

// recordChanges records all changes of the store since the last call of recordChanges, in the order of
// their revisions.
func (s *script) recordChanges() {
	type tableChange struct {
		table  store.Resource
		change *store.Change
	}
	var entries []tableChange
	for _, table := range []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces} {
		changes, err := s.engine.Store().ChangesSince(table, s.revision, math.MaxInt32)
		s.recorder.Error(err)
		for _, change := range changes {
			entries = append(entries, tableChange{table, change})
		}
	}
	slices.SortFunc(entries, func(left, right tableChange) int { return cmp.Compare(left.change.Revision, right.change.Revision) })
	for _, entry := range entries {
		s.changeCounts[entry.table][entry.change.Op]++
		s.recorder.Integers(int64(entry.table), int64(entry.change.Op), entry.change.Revision)
		s.recordObject(entry.change.Object.(interface{ Marshal() ([]byte, error) }))
		s.recorder.Booleans(entry.change.Previous != nil)
		if entry.change.Previous != nil {
			s.recorder.Texts(entry.change.Previous.GetResourceVersion())
		}
	}
	s.revision = s.engine.Store().Revision()
}

// recordResult records the object or the error that a call of the engine has returned.
func (s *script) recordResult(object interface{ Marshal() ([]byte, error) }, err error) {
	s.recorder.Error(err)
	if err != nil {
		s.errorCounts[err.Error()]++
		return
	}
	if object != nil {
		s.recordObject(object)
	}
}

func (s *script) nodeByName(name string) *fakeNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// handleEffect carries out an effect of the engine with the emulated nodes and the emulated inventory.
func (s *script) handleEffect(effect engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.answerAttempt(effect)
	case engine.StopTask:
		s.answerStop(effect)
	case engine.WatchNode:
		s.schedule(s.randomDelay(0.02, 0.1), func() { s.reportPodList(s.nodeByName(effect.Node)) })
	case engine.RelistNodes:
		s.schedule(0.05, s.sendFullList)
	}
}

// makeRandomCall makes one random call of the engine.
func (s *script) makeRandomCall() {
	switch draw := s.rng.IntN(100); {
	case draw < 50:
		s.createJob(s.rng.IntN(10) == 0)
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
		s.injectNodeFault()
	}
	s.recordState()
}

// advance moves the time forward to the given time. It runs the timers of the engine and the delayed calls
// that are due by then, in the order of their times.
func (s *script) advance(until placer.Seconds) {
	for {
		nextTime := s.engine.NextWake()
		slices.SortStableFunc(s.delayedCalls, func(left, right delayedCall) int {
			return cmp.Or(cmp.Compare(left.at, right.at), cmp.Compare(left.sequence, right.sequence))
		})
		callIsNext := len(s.delayedCalls) > 0 && s.delayedCalls[0].at < nextTime
		if callIsNext {
			nextTime = s.delayedCalls[0].at
		}
		if nextTime > until {
			break
		}
		s.now = max(s.now, nextTime)
		if !callIsNext {
			s.engine.Tick(s.now)
			s.recordState()
			continue
		}
		dueCall := s.delayedCalls[0]
		s.delayedCalls = s.delayedCalls[1:]
		if dueCall.incarnation == 0 || dueCall.incarnation == s.incarnation {
			dueCall.call()
			s.recordState()
		}
	}
	s.now = until
}

// checkpoint adds the counters of the engine to the record. It then writes two lines to the record: one
// with the counters, and one with the digest of everything recorded so far. In the line with the counters,
// the number after "open" is the number of tasks without a final outcome.
func (s *script) checkpoint(label string) {
	stats := s.engine.Stats
	counters := []uint64{
		stats.PlacementRequests, stats.Attempts, stats.Accepted, stats.Rejections, stats.UnknownOutcomes, stats.Adopted, stats.Stops,
		stats.Placed, stats.Rejected, stats.Failed, stats.Shed, stats.Retries, stats.LostTasks, stats.EvictedTasks, stats.MigratedTasks,
		stats.Recovered, stats.JobsCreated, stats.JobsFinished, stats.PodsCreated, stats.JobsRejected, stats.LateAnswers,
	}
	for _, counter := range counters {
		s.recorder.Integers(int64(counter))
	}
	s.recorder.Line("%s: effects %v; changes %v; open %d; revision %d; counters %v",
		label, s.effectCounts, s.changeCounts, s.engine.OpenTasks(), s.revision, counters)
	s.recorder.Checkpoint(label)
}

// finish waits until all tasks have ended, and stops the engine while new tasks are waiting. It then
// records the errors that occurred and the final state of all Pods. When finish stops the engine, no
// completion index waits for a new start after its task has ended; TestStopWhileTaskAwaitsRerun covers
// this case.
func (s *script) finish() {
	s.advance(s.now + 90)
	s.checkpoint("before the stop")
	for range 12 {
		s.createJob(false)
		s.recordState()
	}
	s.advance(s.now + 0.002)
	s.engine.Stop(s.now)
	s.recordState()
	s.createJob(false)
	s.recordState()
	s.advance(s.now + 60)
	s.checkpoint("after the stop")
	s.engine.Store().Snapshot(store.Pods).Scan("", "", func(key string, change *store.Change) bool {
		pod := change.Object.(*corev1.Pod)
		s.recorder.Texts(key, string(pod.Status.Phase), pod.Status.Reason, wellknown.SettledReason(pod))
		return true
	})
	s.checkpoint("final tasks")
	for _, text := range slices.Sorted(maps.Keys(s.errorCounts)) {
		s.recorder.Line("error %d times: %s", s.errorCounts[text], text)
	}
}
