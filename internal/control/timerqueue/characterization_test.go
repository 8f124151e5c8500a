package timerqueue_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/control/timerqueue"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization checks the order in which a queue returns random timers, and compares it with a golden
// file. Many timers have equal times, some timers are stopped, and some timers are added between two calls of
// Queue.Pop. Package goldentest describes how the golden file is regenerated.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	for seed := uint64(1); seed <= 20; seed++ {
		order := runRandomTimers(seed)
		record.Line("seed %d %s %.120s", seed, goldentest.Digest(order), order)
	}
	record.Check(t, "characterization")
}

func runRandomTimers(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	var queue timerqueue.Queue[float64]
	var order strings.Builder
	var timers []*timerqueue.Timer[float64]
	addTimer := func(at float64) {
		timerNumber := len(timers)
		timers = append(timers, queue.Add(at, func() { fmt.Fprintf(&order, "r%d ", timerNumber) }))
	}
	now := 0.0
	for range 600 {
		switch rng.IntN(5) {
		case 0, 1, 2:
			addTimer(now + float64(rng.IntN(5)-1))
		case 3:
			if len(timers) > 0 {
				i := rng.IntN(len(timers))
				fmt.Fprintf(&order, "p%t ", timers[i].Pending())
				queue.Stop(timers[i])
				fmt.Fprintf(&order, "p%t ", timers[i].Pending())
			}
		default:
			now += float64(rng.IntN(2))
			for timer := queue.Pop(now); timer != nil; timer = queue.Pop(now) {
				fmt.Fprintf(&order, "p%t %x ", timer.Pending(), math.Float64bits(timer.At))
				timer.Run()
				if rng.IntN(4) == 0 {
					addTimer(now + float64(rng.IntN(3)))
				}
			}
		}
		fmt.Fprintf(&order, "%d %x ", queue.Len(), math.Float64bits(queue.NextTimeOr(math.Inf(1))))
	}
	queue.Stop(nil)
	return order.String()
}
