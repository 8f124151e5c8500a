package simulation

import (
	"fmt"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/scenario"
)

// runOverload runs a steady load, a multiple of what the nodes can run, and counts the tasks placed within a second of their creation, and
// those placed later.
func runOverload(tb testing.TB, admission bool, multiple, seconds float64) (good, late int, report audit.Report) {
	tb.Helper()
	script := newScript(6, 2, seconds+10, 10)
	script.Load.Classes = map[string]float64{"web": 1}
	script.Load.Cores = 1
	script.Load.Memory = 1
	script.Load.Lifetime = 5
	script.Load.BackoffLimit = 2
	// Overcommitted cores over the mean of what a task uses: 6 nodes of 32 and 64 cores, overcommitted twice.
	script.Load.TasksPerSecond = multiple * 6 * 48 * 2 / (1.33 * 5)
	world := runScenario(tb, script, func(config *Config) {
		for i := range config.Schedulers {
			config.Schedulers[i].Admission.Disabled = !admission
		}
	})
	for _, placement := range world.Placements {
		if placement.Latency <= 1 {
			good++
		} else {
			late++
		}
	}
	report = world.Audit()
	if count := len(report.Violations); count > 0 {
		tb.Fatal(count, "violations, first", report.Violations[0])
	}
	return good, late, report
}

// BenchmarkOverload requests multiples of what six nodes can run, with admission control and without, in simulated time. good/s are the
// tasks placed within a second of their creation, late/s those placed later.
func BenchmarkOverload(b *testing.B) {
	for _, admission := range []bool{false, true} {
		for _, multiple := range []float64{0.5, 1, 2, 5, 10} {
			b.Run(fmt.Sprintf("admission=%v/load=%vx", admission, multiple), func(b *testing.B) {
				good, late, report := runOverload(b, admission, multiple, 60)
				b.ReportMetric(float64(good)/60, "good/s")
				b.ReportMetric(float64(late)/60, "late/s")
				b.ReportMetric(float64(report.Attempts)/max(float64(report.Tasks), 1), "attempts/task")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestOverload checks that at ten times the capacity, admission control keeps nine tenths of the goodput at half the load, and half as much
// again as without it, though the first seconds, in which the nodes fill, are the same. Time is simulated: the figures are the same on any
// machine.
func TestOverload(t *testing.T) {
	half, _, _ := runOverload(t, true, 0.5, 30)
	with, _, _ := runOverload(t, true, 10, 30)
	without, _, _ := runOverload(t, false, 10, 30)
	if float64(with) < 0.9*float64(half) || 2*with < 3*without {
		t.Errorf("in time: %d at half the load, %d at ten times with admission control, %d without", half, with, without)
	}
}

// BenchmarkColdStart submits short tasks, 100 for each node, to a scheduler that has just started, and reports how soon it places nine
// tenths as many per second as in its best fifth of a second, with slow start and with a limit that only grows additively.
func BenchmarkColdStart(b *testing.B) {
	for _, additive := range []bool{false, true} {
		for _, nodes := range []int{8, 50, 500} {
			b.Run(fmt.Sprintf("additive=%v/nodes=%d", additive, nodes), func(b *testing.B) {
				placed := runColdStart(b, nodes, additive)
				best := 0
				for i := range placed {
					best = max(best, placedInFifth(placed, i))
				}
				for i := range placed {
					if 10*placedInFifth(placed, i) >= 9*best {
						b.ReportMetric(float64(i)*10, "ms-to-90%")
						break
					}
				}
				b.ReportMetric(float64(best)*5, "best/s")
				b.ReportMetric(float64(sum(placed))/float64(nodes*coldStartTasksPerNode), "placed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

const (
	coldStartTasksPerNode = 100
	coldStartJobs         = 10
	coldStartSubmission   = 2 // seconds after the start of the run
	coldStartSeconds      = 60
)

// runColdStart returns how many tasks a scheduler places in each hundredth of a second from the submission on. The last number has all that
// are placed later.
func runColdStart(b *testing.B, nodes int, additive bool) []int {
	b.Helper()
	script := newScript(nodes, 1, coldStartSeconds, coldStartSeconds)
	script.Load.TasksPerSecond = 0
	settings := config.Default()
	cfg := FromSettings(&settings, &script)
	cfg.Schedulers[0].Admission.AdditiveOnly = additive
	cfg.Schedulers[0].HistoryEntries = 1 << 20
	world, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	var plan []scenario.Action
	for i := range coldStartJobs {
		plan = append(plan, scenario.Action{At: coldStartSubmission, Kind: scenario.SubmitJob, Job: &scenario.Job{
			Name:         fmt.Sprint("j", i),
			Namespace:    "default",
			Class:        "batch",
			Service:      fmt.Sprint("s", i),
			Tasks:        nodes * coldStartTasksPerNode / coldStartJobs,
			Cores:        0.01,
			Memory:       0.01,
			Lifetime:     2,
			BackoffLimit: 1000,
		}})
	}
	world.Run(plan, coldStartSeconds)
	placed := make([]int, 8000)
	for _, placement := range world.Placements {
		sinceSubmission := placement.CreatedAt + placement.Latency - cfg.StartTime - coldStartSubmission
		placed[min(int(sinceSubmission*100), len(placed)-1)]++
	}
	return placed
}

// placedInFifth returns how many tasks are placed in the fifth of a second that begins with the i-th hundredth.
func placedInFifth(placed []int, i int) int { return sum(placed[i:min(i+20, len(placed))]) }

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
