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
	}{
		{"one-scheduler", 3, 1, 0},
		{"three-schedulers", 4, 3, 0.02},
	} {
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
	run.config.Links.AnswerLossRate = loss
	run.config.Links.AttemptLossRate = loss
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
func (run *scenarioRun) observe(world *simulation.World, scheduler int) {
	run.calls++
	engine := world.Engine(scheduler)
	if err := engine.CheckInvariants(); err != nil {
		run.t.Fatal(err)
	}
	run.record.Integers(int64(scheduler), int64(engine.OpenTasks()))
	run.recordTimes(world.Now(), engine.NextWake())
	for _, table := range []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces} {
		from := run.revisions[scheduler]
		changes, err := engine.Store().ChangesSince(table, from, math.MaxInt32)
		if err != nil { // a new incarnation of the scheduler: its revisions begin higher
			changes, _ = engine.Store().ChangesSince(table, engine.Config().BaseRevision, math.MaxInt32)
		}
		for _, change := range changes {
			run.record.Integers(int64(table), int64(change.Op), change.Revision)
			run.record.Bytes(run.encode(change.Object))
		}
	}
	run.revisions[scheduler] = engine.Store().Revision()
	if run.calls%2000 == 0 {
		run.record.Checkpoint(fmt.Sprintf("call %d at %016x", run.calls, math.Float64bits(float64(world.Now()))))
	}
}

func (run *scenarioRun) recordTimes(times ...placer.Seconds) {
	for _, at := range times {
		run.record.Floats(float64(at))
	}
}

func (run *scenarioRun) encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		run.t.Fatal(err)
	}
	return encoded
}

func (run *scenarioRun) run() {
	plan := run.script.Plan(run.config.ScenarioNodes())
	for _, action := range plan {
		run.record.Floats(float64(action.At), float64(action.Outage), float64(action.Downtime))
		run.record.Integers(int64(action.Kind), int64(action.Scheduler))
		run.record.Texts(action.Node)
		if job := action.Job; job != nil {
			run.record.Texts(job.Name, job.Namespace, job.Class, job.Service)
			run.record.Integers(int64(job.Scheduler), int64(job.Tasks), int64(job.BackoffLimit))
			run.record.Floats(job.Cores, job.Memory, float64(job.Lifetime))
		}
	}
	run.record.Checkpoint(fmt.Sprintf("plan of %d actions", len(plan)))
	run.world.Run(plan, placer.Seconds(run.script.Seconds))
}

func (run *scenarioRun) recordWorld() {
	world := run.world
	run.record.Checkpoint(fmt.Sprintf("end: %d calls, %d steps", run.calls, world.Steps()))
	for i, event := range world.Events {
		run.record.Bytes(run.encode(event))
		if i%3000 == 2999 {
			run.record.Checkpoint(fmt.Sprintf("event %d", i+1))
		}
	}
	for _, placement := range world.Placements {
		run.recordTimes(placement.Latency)
	}
	for _, placement := range world.Placements {
		run.recordTimes(placement.CreatedAt)
	}
	run.recordTimes(world.CreatedAt...)
	run.record.Checkpoint(fmt.Sprintf("%d events, %d placed, %d created", len(world.Events), len(world.Placements), len(world.CreatedAt)))
	run.recordReport("rules as they are", world.Audit())
	broken := audit.Config{Classes: map[string]audit.Class{}, DrainGrace: -1, Slack: -1}
	for _, name := range slices.Sorted(maps.Keys(run.config.Rules.Classes)) {
		broken.Classes[name] = audit.Class{AtMostOnce: true, SpreadDomain: audit.NodeDomain, MaxPerDomain: 1}
	}
	run.recordReport("rules broken on purpose", audit.Check(broken, world.Events))
	for i := range run.script.Schedulers {
		if engine := world.Engine(i); engine != nil {
			stats := engine.Stats
			counters := []uint64{
				stats.PlacementRequests, stats.Attempts, stats.Accepted, stats.Rejections, stats.UnknownOutcomes, stats.Adopted, stats.Stops,
				stats.Placed, stats.Rejected, stats.Failed, stats.Shed, stats.Retries, stats.LostTasks, stats.EvictedTasks, stats.MigratedTasks,
				stats.Recovered, stats.JobsCreated, stats.JobsFinished, stats.PodsCreated, stats.JobsRejected, stats.LateAnswers,
			}
			run.record.Line("scheduler %d: revision %d, counters %v", i, engine.Store().Revision(), counters)
		}
	}
}

// recordReport writes a report of the auditor.
func (run *scenarioRun) recordReport(label string, report audit.Report) {
	for _, violation := range report.Violations {
		run.record.Integers(int64(violation.Rule))
		run.recordTimes(violation.At)
		run.record.Texts(violation.Text)
	}
	run.record.Line("%s: %d violations, %d events, %d tasks, outcomes %s, %d forgotten, %d offers, %d refusals, %d starts, ends %s, %d crashes", label,
		len(report.Violations), report.Events, report.Tasks, run.encode(report.Outcomes), report.WithoutOutcome, report.Attempts,
		report.Rejections, report.Starts, run.encode(report.Ends), report.Crashes)
	run.record.Checkpoint(label)
}
