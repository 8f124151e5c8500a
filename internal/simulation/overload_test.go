package simulation

import (
	"fmt"
	"testing"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/scenario"
)

// runOverload plays a steady load of so many times what the machines can hold, and counts tasks placed within a second of their making.
func runOverload(t testing.TB, admission bool, multiple, seconds float64) (good, late int, r audit.Report) {
	script := scenario.Default()
	script.Nodes, script.Schedulers, script.Faults, script.Seconds, script.Cooldown = 6, 2, nil, seconds+10, 10
	script.Load.Classes = map[string]float64{"web": 1}
	script.Load.Cores, script.Load.Memory, script.Load.Lifetime, script.Load.BackoffLimit = 1, 1, 5, 2
	// Booked cores of the fleet over the mean of what a task takes: 6 machines of 32 and 64 cores, booked twice.
	script.Load.TasksPerSecond = multiple * 6 * 48 * 2 / (1.33 * 5)
	world := runScenario(t, script, func(c *Config) {
		for i := range c.Schedulers {
			c.Schedulers[i].Admission.Disabled = !admission
		}
	})
	for _, latency := range world.PlacementLatency {
		if latency <= 1 {
			good++
		} else {
			late++
		}
	}
	r = world.Audit()
	if n := len(r.Violations); n > 0 {
		t.Fatal(n, "violations, first", r.Violations[0])
	}
	return good, late, r
}

// BenchmarkOverload asks for multiples of what a fleet of six machines can hold, with the gate and without, in simulated time. Goodput is
// tasks placed within a second of their making, for each second; late are those placed after it.
func BenchmarkOverload(b *testing.B) {
	for _, admission := range []bool{false, true} {
		for _, multiple := range []float64{0.5, 1, 2, 5, 10} {
			b.Run(fmt.Sprintf("gate=%v/load=%vx", admission, multiple), func(b *testing.B) {
				good, late, r := runOverload(b, admission, multiple, 60)
				b.ReportMetric(float64(good)/60, "good/s")
				b.ReportMetric(float64(late)/60, "late/s")
				b.ReportMetric(float64(r.Attempts)/max(float64(r.Tasks), 1), "offers/task")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Ten times too much: the gate keeps nine tenths of the goodput that there is at half the load, and half as much again as there is
// without it, though the first seconds, in which the machines fill, are the same. Simulated time: the same figures on any machine.
func TestOverload(t *testing.T) {
	half, _, _ := runOverload(t, true, 0.5, 30)
	with, _, _ := runOverload(t, true, 10, 30)
	without, _, _ := runOverload(t, false, 10, 30)
	if float64(with) < 0.9*float64(half) || 2*with < 3*without {
		t.Errorf("in time: %d at half the load, %d at ten times with the gate, %d without", half, with, without)
	}
}

// BenchmarkColdStart brings a line of short tasks, 100 for each machine, to a scheduler that has just begun, and tells how soon it places
// nine tenths as many a second as in its best fifth of a second, with slow start and with a limit that grows by a constant step only.
func BenchmarkColdStart(b *testing.B) {
	for _, additive := range []bool{false, true} {
		for _, nodes := range []int{8, 50, 500} {
			b.Run(fmt.Sprintf("additive=%v/machines=%d", additive, nodes), func(b *testing.B) {
				script := scenario.Default()
				script.Nodes, script.Schedulers, script.Faults, script.Seconds, script.Cooldown = nodes, 1, nil, 60, 60
				script.Load.TasksPerSecond = 0
				settings := config.Default()
				cfg := FromSettings(&settings, &script)
				cfg.Schedulers[0].Admission.AdditiveOnly, cfg.Schedulers[0].History = additive, 1<<20
				world, err := New(cfg)
				if err != nil {
					b.Fatal(err)
				}
				var plan []scenario.Action
				tasks := nodes * 100
				for i := range 10 {
					plan = append(plan, scenario.Action{At: 2, Kind: scenario.SubmitJob, Job: &scenario.Job{Name: fmt.Sprint("j", i), Namespace: "default", Class: "batch",
						Service: fmt.Sprint("s", i), Tasks: tasks / 10, Cores: 0.01, Memory: 0.01, Lifetime: 2, BackoffLimit: 1000}})
				}
				world.Run(plan, 60)
				placed := make([]int, 8000) // placed in each hundredth of a second from the submission on
				for i, at := range world.PlacedCreatedAt {
					placed[min(int((at+world.PlacementLatency[i]-cfg.StartTime-2)*100), len(placed)-1)]++
				}
				best := 0
				placedInFifth := func(i int) (tasks int) {
					for _, count := range placed[i:min(i+20, len(placed))] {
						tasks += count
					}
					return tasks
				}
				for i := range placed {
					best = max(best, placedInFifth(i))
				}
				for i := range placed {
					if 10*placedInFifth(i) >= 9*best {
						b.ReportMetric(float64(i)*10, "ms-to-90%")
						break
					}
				}
				b.ReportMetric(float64(best)*5, "best/s")
				b.ReportMetric(float64(len(world.PlacedCreatedAt))/float64(tasks), "placed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
