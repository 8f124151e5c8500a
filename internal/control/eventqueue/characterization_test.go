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

// TestCharacterization checks the order in which a queue passes events to the placer and executes actions,
// and the results of TimerDelay. It compares both with a golden file. For some actions, Queue.Execute posts
// further events and calls Queue.Run. Package goldentest describes how the golden file is regenerated.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	for seed := uint64(1); seed <= 10; seed++ {
		order := runRandomEvents(seed)
		record.Line("seed %d %s %.120s", seed, goldentest.Digest(order), order)
	}
	for _, requestedDelay := range []placer.Seconds{placer.Seconds(math.Inf(-1)), -1, 0, 1e-7, 9.9e-7, 1e-6, 1.1e-6, 1, 1e9, placer.Seconds(math.Inf(1))} {
		record.Line("wait %x %x", math.Float64bits(float64(requestedDelay)), math.Float64bits(float64(eventqueue.TimerDelay(requestedDelay))))
	}
	record.Check(t, "characterization")
}

// fakePlacer returns up to three actions for each event. The token of each action is computed from the token of
// the event.
type fakePlacer struct {
	rng *rand.Rand
	log *strings.Builder
}

func (fake *fakePlacer) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	fmt.Fprintf(fake.log, "e%d@%g/%d ", event.Token, now, len(actions))
	for i := range fake.rng.IntN(4) {
		actions = append(actions, placer.Action{Kind: placer.SetTimer, Token: event.Token*10 + uint64(i)})
	}
	return actions
}

// runRandomEvents posts a random number of events in each of 40 steps. It returns a text that lists all
// events and actions in the order in which the queue passed the events to the placer and executed the
// actions.
func runRandomEvents(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 4))
	var order strings.Builder
	queue := eventqueue.Queue{Placer: &fakePlacer{rng, &order}}
	queue.Execute = func(action *placer.Action) {
		fmt.Fprintf(&order, "a%d ", action.Token)
		if action.Token < 100000 && rng.IntN(2) == 0 {
			queue.Post(placer.Event{Kind: placer.TimerFired, Token: action.Token})
			queue.Run(-1) // This call does nothing, because an outer call of Run is executing an action.
		}
	}
	for step := range 40 {
		for range rng.IntN(4) {
			queue.Post(placer.Event{Kind: placer.TimerFired, Token: uint64(step + 1)})
		}
		queue.Run(placer.Seconds(step))
		order.WriteString("| ")
	}
	return order.String()
}
