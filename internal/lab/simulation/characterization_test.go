package simulation_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/kube/store"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterizeScenarios pins simulated scenarios with every kind of fault: plans, audit events, the stored changes of every
// scheduler, its counters, and the report of the auditor, checked by the rules as they are and by rules that are broken on purpose.
// Regenerate the golden files with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.
func TestCharacterizeScenarios(t *testing.T) {
	for _, run := range []struct {
		name       string
		seed       uint64
		schedulers int
		loss       float64
	}{{"one-scheduler", 3, 1, 0}, {"three-schedulers", 4, 3, 0.02}} {
		t.Run(run.name, func(t *testing.T) {
			script := scenario.Default()
			script.Seed = run.seed
			script.Schedulers = run.schedulers
			script.Nodes = 10
			script.Load.TasksPerSecond = 8
			script.Stretch(70)
			scenarioRun := newScenarioRun(t, script, run.loss)
			scenarioRun.run()
			scenarioRun.recordWorld()
			scenarioRun.record.Check(t, "day-"+run.name)
		})
	}
}

// scenarioRun is a run of a scenario with its record.
type scenarioRun struct {
	t         *testing.T
	script    scenario.Script
	config    simulation.Config
	world     *simulation.World
	revisions []int64
	calls     int
	record    *goldentest.Recorder
}

func newScenarioRun(t *testing.T, script scenario.Script, loss float64) *scenarioRun {
	t.Helper()
	defaults := config.Default()
	run := &scenarioRun{t: t, script: script, config: simulation.FromSettings(&defaults, &script), record: goldentest.NewRecorder()}
	run.config.KeepEvents = true
	run.config.AnswerLossRate = loss
	run.config.AttemptLossRate = loss
	run.config.AfterEngineCall = run.observe
	run.revisions = make([]int64, script.Schedulers)
	world, err := simulation.New(run.config)
	if err != nil {
		t.Fatal(err)
	}
	run.world = world
	return run
}

// observe records what changed in the store of a scheduler.
func (r *scenarioRun) observe(w *simulation.World, scheduler int) {
	r.calls++
	engine := w.Engine(scheduler)
	if err := engine.CheckInvariants(); err != nil {
		r.t.Fatal(err)
	}
	r.record.Integers(int64(scheduler), int64(engine.OpenTasks()))
	r.recordTimes(w.Now(), engine.NextWake())
	for _, table := range []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces} {
		from := r.revisions[scheduler]
		changes, err := engine.Store().Since(table, from, math.MaxInt32)
		if err != nil { // a new incarnation of the scheduler: its revisions begin higher
			changes, _ = engine.Store().Since(table, engine.Config().BaseRevision, math.MaxInt32)
		}
		for _, change := range changes {
			r.record.Integers(int64(table), int64(change.Op), change.Rev)
			r.record.Bytes(r.encode(change.Object))
		}
	}
	r.revisions[scheduler] = engine.Store().Rev()
	if r.calls%2000 == 0 {
		r.record.Checkpoint(fmt.Sprintf("call %d at %016x", r.calls, math.Float64bits(float64(w.Now()))))
	}
}

func (r *scenarioRun) recordTimes(times ...placer.Seconds) {
	for _, at := range times {
		r.record.Floats(float64(at))
	}
}

func (r *scenarioRun) encode(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		r.t.Fatal(err)
	}
	return b
}

func (r *scenarioRun) run() {
	plan := r.script.Plan(r.config.ScenarioNodes())
	for _, action := range plan {
		r.record.Floats(action.At, action.OutageSeconds, action.DowntimeSeconds)
		r.record.Integers(int64(action.Kind), int64(action.Scheduler))
		r.record.Texts(action.Node)
		if j := action.Job; j != nil {
			r.record.Texts(j.Name, j.Namespace, j.Class, j.Service)
			r.record.Integers(int64(j.Scheduler), int64(j.Tasks), int64(j.BackoffLimit))
			r.record.Floats(j.Cores, j.Memory, j.Lifetime)
		}
	}
	r.record.Checkpoint(fmt.Sprintf("plan of %d actions", len(plan)))
	r.world.Run(plan, placer.Seconds(r.script.Seconds))
}

func (r *scenarioRun) recordWorld() {
	world := r.world
	r.record.Checkpoint(fmt.Sprintf("end: %d calls, %d steps", r.calls, world.Steps()))
	for i, event := range world.Events {
		r.record.Bytes(r.encode(event))
		if i%3000 == 2999 {
			r.record.Checkpoint(fmt.Sprintf("event %d", i+1))
		}
	}
	r.recordTimes(world.PlacementLatency...)
	r.recordTimes(world.PlacedCreatedAt...)
	r.recordTimes(world.CreatedAt...)
	r.record.Checkpoint(fmt.Sprintf("%d events, %d placed, %d created", len(world.Events), len(world.PlacementLatency), len(world.CreatedAt)))
	r.recordReport("rules as they are", world.Audit())
	broken := audit.Config{Classes: map[string]audit.Class{}, DrainGrace: -1, Slack: -1}
	for _, name := range slices.Sorted(maps.Keys(r.config.Classes)) {
		broken.Classes[name] = audit.Class{AtMostOnce: true, SpreadDomain: audit.NodeDomain, MaxPerDomain: 1}
	}
	r.recordReport("rules broken on purpose", audit.Check(broken, world.Events))
	for i := range r.script.Schedulers {
		if engine := world.Engine(i); engine != nil {
			stats := engine.Stats
			r.record.Line("scheduler %d: revision %d, counters %v", i, engine.Store().Rev(), []uint64{stats.PlacementRequests, stats.Attempts, stats.Accepted, stats.Rejections,
				stats.UnknownOutcomes, stats.Adopted, stats.Stops, stats.Placed, stats.Rejected, stats.Failed, stats.Shed, stats.Retries, stats.LostTasks, stats.EvictedTasks,
				stats.MigratedTasks, stats.Recovered, stats.JobsCreated, stats.JobsFinished, stats.PodsCreated, stats.JobsRejected, stats.LateAnswers})
		}
	}
}

// recordReport writes a report of the auditor.
func (r *scenarioRun) recordReport(label string, report audit.Report) {
	for _, v := range report.Violations {
		r.record.Integers(int64(v.Rule))
		r.recordTimes(v.At)
		r.record.Texts(v.Text)
	}
	r.record.Line("%s: %d violations, %d events, %d tasks, outcomes %s, %d forgotten, %d offers, %d refusals, %d starts, ends %s, %d crashes", label,
		len(report.Violations), report.Events, report.Tasks, r.encode(report.Outcomes), report.WithoutOutcome, report.Attempts, report.Rejections, report.Starts, r.encode(report.Ends), report.Crashes)
	r.record.Checkpoint(label)
}
