package nodesim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"heathshed/internal/lab/nodesim"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterizeNodes pins the effects and figures of a simulated node under seeded requests, stops, drains and stalls. Regenerate the
// golden file with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.
func TestCharacterizeNodes(t *testing.T) {
	recorder := goldentest.NewRecorder()
	for i, run := range []struct {
		change  func(*nodesim.Config)
		meanGap placer.Seconds // between calls
	}{
		{func(*nodesim.Config) {}, 0.15},
		{func(config *nodesim.Config) { config.Cold, config.Cores = true, 64 }, 0.6},
		{func(config *nodesim.Config) { config.Cold = true }, 0.02},
		{func(config *nodesim.Config) {
			config.Usage = nodesim.Usage{Min: 0.7, Max: 1.2}
			config.Overcommit.Memory, config.DrainGrace = 2, 1.5
		}, 0.1},
		{func(config *nodesim.Config) {
			config.AnswerWhenRunning, config.Preempts = true, false
			config.Decisions.MaxQueued, config.Starts.MaxConcurrent = 3, 1
		}, 0.05},
		{func(config *nodesim.Config) {
			config.DrainGrace, config.TerminatedRetention, config.Starts.ProgramCacheSize = -1, 2, 1
			config.Cores, config.Memory = 4, 8
		}, 0.2},
	} {
		config := nodesim.DefaultConfig()
		config.Seed = uint64(i)
		run.change(&config)
		operate(recorder, fmt.Sprintf("machine %d", i), config, run.meanGap)
	}
	recorder.Check(t, "machines")
}

func operate(recorder *goldentest.Recorder, name string, config nodesim.Config, meanGap placer.Seconds) {
	rng := rand.New(rand.NewPCG(31, config.Seed))
	now, next := placer.Seconds(50), 0
	node := nodesim.New(config, now)
	node.RejectHook = func(request *nodesim.Request) nodesim.Reason {
		if request.Service == "service-9" {
			return nodesim.WrongNode
		}
		return nodesim.None
	}
	var kinds [5]int
	var reasons [10]int
	for step := range 1500 {
		due := now + placer.Seconds(rng.ExpFloat64())*meanGap
		for range 10000 {
			if now = min(node.NextWake(), due); now >= due {
				break
			}
			node.Tick(now)
			observe(recorder, node, &kinds, &reasons)
		}
		now = due
		act(recorder, node, rng, now, &next)
		observe(recorder, node, &kinds, &reasons)
		if step%250 == 249 {
			recorder.Checkpoint(fmt.Sprintf("%s, step %d", name, step+1))
		}
	}
	recorder.Line("%s: effects %v, reasons %v, %d starts, %d duplicates", name, kinds, reasons, node.Starts, node.DuplicateStarts)
}

func act(recorder *goldentest.Recorder, node *nodesim.Node, rng *rand.Rand, now placer.Seconds, next *int) {
	switch draw := rng.IntN(100); {
	case draw < 75:
		*next++
		node.Submit(now, nodesim.Request{UID: fmt.Sprint(*next), Attempt: 1, Service: fmt.Sprintf("service-%d", rng.IntN(10)), Priority: rng.IntN(3),
			Cores: 0.5 + 3*rng.Float64(), Memory: 0.5 + 6*rng.Float64(), Lifetime: placer.Seconds(float64(rng.IntN(2)) * 9 * rng.Float64())})
	case draw < 83:
		node.Submit(now, nodesim.Request{UID: fmt.Sprint(*next - rng.IntN(9)), Attempt: rng.IntN(4), Service: "service-1", Cores: 1, Memory: 1})
	case draw < 92:
		had, ran := node.Stop(now, fmt.Sprint(*next-rng.IntN(15)), rng.IntN(3))
		recorder.Booleans(had, ran)
	case draw < 93:
		node.Drain(now)
	case draw < 98:
		node.Undrain(now)
	default:
		node.StallUntil(now + placer.Seconds(rng.Float64()))
	}
}

func observe(recorder *goldentest.Recorder, node *nodesim.Node, kinds *[5]int, reasons *[10]int) {
	for _, effect := range node.Ready() {
		kinds[effect.Kind]++
		reasons[effect.Reason]++
		recorder.Integers(int64(effect.Kind), int64(effect.Attempt), int64(effect.Reason))
		recorder.Texts(effect.UID)
		recorder.Booleans(effect.Task != nil)
		if task := effect.Task; task != nil {
			recorder.Texts(task.UID)
			recorder.Integers(int64(task.Attempt), int64(task.Phase), int64(task.Reason))
			recorder.Floats(task.UsedCores, task.UsedMemory, float64(task.Lifetime))
			recorder.Booleans(task.Ran())
		}
	}
	freeCores, freeMemory := node.Free()
	unusedCores, unusedMemory := node.Unused()
	recorder.Floats(freeCores, freeMemory, unusedCores, unusedMemory, node.Utilization(), float64(node.NextWake()))
	recorder.Integers(int64(node.QueueLength()), int64(node.ActiveTasks()), int64(node.Starts), int64(node.DuplicateStarts))
	recorder.Booleans(node.Draining())
}
