package eventqueue_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterization compares the order of events and actions, and the timer delays for a range of values,
// with a golden file. Some actions post further events and call Run again. Package goldentest describes how
// the golden file is regenerated.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	for seed := uint64(1); seed <= 10; seed++ {
		order := runRandomEvents(seed)
		record.Line("seed %d %s %.120s", seed, goldentest.Digest(order), order)
	}
	for _, after := range []placer.Seconds{placer.Seconds(math.Inf(-1)), -1, 0, 1e-7, 9.9e-7, 1e-6, 1.1e-6, 1, 1e9, placer.Seconds(math.Inf(1))} {
		record.Line("wait %x %x", math.Float64bits(float64(after)), math.Float64bits(float64(eventqueue.TimerDelay(after))))
	}
	record.Check(t, "characterization")
}

// fakePlacer answers each event with up to three actions whose tokens are derived from the token of the
// event.
type fakePlacer struct {
	random *rand.Rand
	log    *strings.Builder
}

func (fake *fakePlacer) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	fmt.Fprintf(fake.log, "e%d@%g/%d ", event.Token, now, len(actions))
	for i := range fake.random.IntN(4) {
		actions = append(actions, placer.Action{Kind: placer.SetTimer, Token: event.Token*10 + uint64(i)})
	}
	return actions
}

// runRandomEvents posts random events and returns the order in which the queue passed events and executed
// actions.
func runRandomEvents(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 4))
	var order strings.Builder
	queue := eventqueue.Queue{Placer: &fakePlacer{random, &order}}
	queue.Execute = func(action *placer.Action) {
		fmt.Fprintf(&order, "a%d ", action.Token)
		if action.Token < 100000 && random.IntN(2) == 0 {
			queue.Post(placer.Event{Kind: placer.TimerFired, Token: action.Token})
			queue.Run(-1) // A call of Run within an action does nothing.
		}
	}
	for step := range 40 {
		for range random.IntN(4) {
			queue.Post(placer.Event{Kind: placer.TimerFired, Token: uint64(step + 1)})
		}
		queue.Run(placer.Seconds(step))
		order.WriteString("| ")
	}
	return order.String()
}
