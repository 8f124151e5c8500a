package simulation_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/golden"
	"heathshed/internal/scenario"
	"heathshed/internal/simulation"
	"heathshed/internal/store"
)

// TestCharacterizeDays pins simulated days with every kind of trouble: plans, what passed between the parties, the stored changes of every
// scheduler, its counters, and the report of the auditor, checked by the rules as they are and by rules that are broken on purpose.
// Regenerate the golden files with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package golden.
func TestCharacterizeDays(t *testing.T) {
	for _, run := range []struct {
		name       string
		seed       uint64
		schedulers int
		loss       float64
	}{{"one-scheduler", 3, 1, 0}, {"three-schedulers", 4, 3, 0.02}} {
		t.Run(run.name, func(t *testing.T) {
			script := scenario.Default()
			script.Seed, script.Schedulers, script.Nodes = run.seed, run.schedulers, 10
			script.Load.TasksPerSecond = 8
			script.Stretch(70)
			day := newDay(t, script, run.loss)
			day.run()
			day.report()
			day.record.Check(t, "day-"+run.name)
		})
	}
}

// day is one run with its record.
type day struct {
	t         *testing.T
	script    scenario.Script
	config    simulation.Config
	world     *simulation.World
	revisions []int64
	calls     int
	record    *golden.Recorder
}

func newDay(t *testing.T, script scenario.Script, loss float64) *day {
	defaults := config.Default()
	d := &day{t: t, script: script, config: simulation.FromSettings(&defaults, &script), record: golden.NewRecorder()}
	d.config.KeepEvents, d.config.LoseAnswer, d.config.LoseOffer = true, loss, loss
	d.config.Each = d.observe
	d.revisions = make([]int64, script.Schedulers)
	world, err := simulation.New(d.config)
	if err != nil {
		t.Fatal(err)
	}
	d.world = world
	return d
}

// observe records what changed in the store of a scheduler.
func (d *day) observe(w *simulation.World, scheduler int) {
	d.calls++
	e := w.Engine(scheduler)
	d.record.Integers(int64(scheduler), int64(e.OpenTasks()))
	d.record.Floats(w.Now(), e.NextWake())
	for _, table := range []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces} {
		from := d.revisions[scheduler]
		changes, err := e.Store().Since(table, from, math.MaxInt32)
		if err != nil { // a new life of the scheduler: its revisions begin higher
			changes, _ = e.Store().Since(table, e.Config().BaseRev, math.MaxInt32)
		}
		for _, change := range changes {
			d.record.Integers(int64(table), int64(change.Op), change.Rev)
			d.record.Bytes(d.encode(change.Object))
		}
	}
	d.revisions[scheduler] = e.Store().Rev()
	if d.calls%2000 == 0 {
		d.record.Checkpoint(fmt.Sprintf("call %d at %016x", d.calls, math.Float64bits(w.Now())))
	}
}

func (d *day) encode(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		d.t.Fatal(err)
	}
	return b
}

func (d *day) run() {
	plan := d.script.Plan(d.config.NodesOf())
	for _, action := range plan {
		d.record.Floats(action.At, action.Cut, action.For)
		d.record.Integers(int64(action.Do), int64(action.Scheduler))
		d.record.Texts(action.Node)
		if j := action.Job; j != nil {
			d.record.Texts(j.Name, j.Namespace, j.Class, j.Service)
			d.record.Integers(int64(j.Scheduler), int64(j.Tasks), int64(j.Backoff))
			d.record.Floats(j.Cores, j.Memory, j.Life)
		}
	}
	d.record.Checkpoint(fmt.Sprintf("plan of %d actions", len(plan)))
	d.world.Run(plan, d.script.Seconds)
}

func (d *day) report() {
	w := d.world
	d.record.Checkpoint(fmt.Sprintf("end: %d calls, %d steps", d.calls, w.Steps()))
	for i, event := range w.Events {
		d.record.Bytes(d.encode(event))
		if i%3000 == 2999 {
			d.record.Checkpoint(fmt.Sprintf("event %d", i+1))
		}
	}
	d.record.Floats(w.Latency...)
	d.record.Floats(w.Asked...)
	d.record.Floats(w.Created...)
	d.record.Checkpoint(fmt.Sprintf("%d events, %d placed, %d created", len(w.Events), len(w.Latency), len(w.Created)))
	d.verdicts("rules as they are", w.Audit())
	broken := audit.Config{Classes: map[string]audit.Class{}, DrainGrace: -1, Slack: -1}
	for _, name := range slices.Sorted(maps.Keys(d.config.Classes)) {
		broken.Classes[name] = audit.Class{Once: true, Apart: "machine", AtMost: 1}
	}
	d.verdicts("rules broken on purpose", audit.Check(broken, w.Events))
	for i := range d.script.Schedulers {
		if e := w.Engine(i); e != nil {
			c := e.Stats
			d.record.Line("scheduler %d: revision %d, counters %v", i, e.Store().Rev(), []uint64{c.PlacementRequests, c.Attempts, c.Accepted, c.Rejections,
				c.UnknownOutcomes, c.Adopted, c.Stops, c.Placed, c.Rejected, c.Failed, c.Shed, c.Retries, c.LostTasks, c.EvictedTasks,
				c.MigratedTasks, c.Recovered, c.JobsCreated, c.JobsFinished, c.PodsCreated, c.JobsRejected, c.LateAnswers})
		}
	}
}

// verdicts writes a report of the auditor.
func (d *day) verdicts(label string, r audit.Report) {
	for _, v := range r.Violations {
		d.record.Integers(int64(v.Rule))
		d.record.Floats(v.At)
		d.record.Texts(v.Text)
	}
	d.record.Line("%s: %d violations, %d events, %d tasks, outcomes %s, %d forgotten, %d offers, %d refusals, %d starts, ends %s, %d crashes", label,
		len(r.Violations), r.Events, r.Tasks, d.encode(r.Outcomes), r.Forgotten, r.Offers, r.Refusals, r.Starts, d.encode(r.Ends), r.Crashes)
	d.record.Checkpoint(label)
}
