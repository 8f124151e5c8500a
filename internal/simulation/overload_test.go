package simulation

import (
	"fmt"
	"testing"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/scenario"
)

// overload plays a steady load of so many times what the machines can hold, and counts tasks placed within a second of their making.
func overload(t testing.TB, on bool, times, seconds float64) (good, late int, r audit.Report) {
	d := scenario.Default()
	d.Nodes, d.Schedulers, d.Trouble, d.Seconds, d.Calm = 6, 2, nil, seconds+10, 10
	d.Load.Classes = map[string]float64{"web": 1}
	d.Load.Cores, d.Load.Memory, d.Load.Life, d.Load.Backoff = 1, 1, 5, 2
	// Booked cores of the fleet over the mean of what a task takes: 6 machines of 32 and 64 cores, booked twice.
	d.Load.TasksPerSecond = times * 6 * 48 * 2 / (1.33 * 5)
	w := play(t, d, func(c *Config) {
		for i := range c.Schedulers {
			c.Schedulers[i].Admission.Disabled = !on
		}
	})
	for _, l := range w.Latency {
		if l <= 1 {
			good++
		} else {
			late++
		}
	}
	r = w.Audit()
	if n := len(r.Violations); n > 0 {
		t.Fatal(n, "violations, first", r.Violations[0])
	}
	return good, late, r
}

// BenchmarkOverload asks for multiples of what a fleet of six machines can hold, with the gate and without, in simulated time. Goodput is
// tasks placed within a second of their making, for each second; late are those placed after it.
func BenchmarkOverload(b *testing.B) {
	for _, on := range []bool{false, true} {
		for _, times := range []float64{0.5, 1, 2, 5, 10} {
			b.Run(fmt.Sprintf("gate=%v/load=%vx", on, times), func(b *testing.B) {
				good, late, r := overload(b, on, times, 60)
				b.ReportMetric(float64(good)/60, "good/s")
				b.ReportMetric(float64(late)/60, "late/s")
				b.ReportMetric(float64(r.Offers)/max(float64(r.Tasks), 1), "offers/task")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Ten times too much: the gate keeps nine tenths of the goodput that there is at half the load, and half as much again as there is
// without it, though the first seconds, in which the machines fill, are the same. Simulated time: the same figures on any machine.
func TestOverload(t *testing.T) {
	half, _, _ := overload(t, true, 0.5, 30)
	with, _, _ := overload(t, true, 10, 30)
	without, _, _ := overload(t, false, 10, 30)
	if float64(with) < 0.9*float64(half) || 2*with < 3*without {
		t.Errorf("in time: %d at half the load, %d at ten times with the gate, %d without", half, with, without)
	}
}

// BenchmarkColdStart brings a line of short tasks, 100 for each machine, to a scheduler that has just begun, and tells how soon it places
// nine tenths as many a second as in its best fifth of a second, with slow start and with a limit that grows by a constant step only.
func BenchmarkColdStart(b *testing.B) {
	for _, additive := range []bool{false, true} {
		for _, machines := range []int{8, 50, 500} {
			b.Run(fmt.Sprintf("additive=%v/machines=%d", additive, machines), func(b *testing.B) {
				d := scenario.Default()
				d.Nodes, d.Schedulers, d.Trouble, d.Seconds, d.Calm = machines, 1, nil, 60, 60
				d.Load.TasksPerSecond = 0
				s := config.Default()
				c := FromSettings(&s, &d)
				c.Schedulers[0].Admission.Additive, c.Schedulers[0].History = additive, 1<<20
				w, err := New(c)
				if err != nil {
					b.Fatal(err)
				}
				var plan []scenario.Action
				n := machines * 100
				for i := range 10 {
					plan = append(plan, scenario.Action{At: 2, Do: scenario.Submit, Job: &scenario.Job{Name: fmt.Sprint("j", i), Namespace: "default", Class: "batch",
						Service: fmt.Sprint("s", i), Tasks: n / 10, Cores: 0.01, Memory: 0.01, Life: 2, Backoff: 1000}})
				}
				w.Run(plan, 60)
				rate := make([]int, 8000) // placed in each hundredth of a second from the submission on
				for i, at := range w.Asked {
					rate[min(int((at+w.Latency[i]-c.Start-2)*100), len(rate)-1)]++
				}
				best := 0
				fifth := func(i int) (n int) {
					for _, k := range rate[i:min(i+20, len(rate))] {
						n += k
					}
					return n
				}
				for i := range rate {
					best = max(best, fifth(i))
				}
				for i := range rate {
					if 10*fifth(i) >= 9*best {
						b.ReportMetric(float64(i)*10, "ms-to-90%")
						break
					}
				}
				b.ReportMetric(float64(best)*5, "best/s")
				b.ReportMetric(float64(len(w.Asked))/float64(n), "placed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
