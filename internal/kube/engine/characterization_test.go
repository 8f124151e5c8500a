package engine_test

import (
	"fmt"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
)

// The characterization tests run an engine under seeded scripts, and compare every effect, every change of
// the store and every error with golden files. The golden files may be regenerated with
// HEATHSHED_UPDATE_GOLDEN=1 only if behavior is meant to change. Package goldentest describes how.

// TestCharacterizeMigrations compares the migrations of tasks with a golden file. The configured costs of
// nodes are high and the costs of migrations are low, so the engine moves tasks away from nearly empty
// nodes.
func TestCharacterizeMigrations(t *testing.T) {
	script := newScript(t, 6, func(config *engine.Config) {
		config.Placer.Costs.Node, config.Placer.Costs.Migration, config.Placer.Costs.CrossZone = 5, 0.01, 0
	})
	script.advance(script.now + 5)
	for i, node := range script.nodes {
		pod := runningPod(script.config.Name, i)
		node.pods = append(node.pods, pod)
		script.engine.PodChanged(script.now, node.name, pod, false)
		script.recordState()
	}
	for i := range 20 {
		script.createJob(false)
		script.recordState()
		script.advance(script.now + 2)
		if i%5 == 4 {
			script.checkpoint(fmt.Sprintf("step %d", i+1))
		}
	}
	if script.engine.Stats.MigratedTasks == 0 {
		t.Error("the engine migrated no task under the script, want at least one migration")
	}
	script.finish()
	script.recorder.Check(t, "script-moves")
}

// runningPod returns a running Pod that an earlier process of the given scheduler has placed.
func runningPod(scheduler string, number int) *corev1.Pod {
	pod := &corev1.Pod{}
	pod.Name = fmt.Sprintf("found-%d", number)
	pod.Namespace = "default"
	pod.UID = types.UID(fmt.Sprintf("found-uid-%d", number))
	pod.Labels = map[string]string{wellknown.Scheduler: scheduler, wellknown.Class: "batch", wellknown.Service: "service"}
	pod.Annotations = map[string]string{wellknown.AttemptAnnotation: "2"}
	pod.ResourceVersion = "9"
	pod.Status.Phase = corev1.PodRunning
	return pod
}

// TestCharacterizeEngineUnderScripts compares the output of an engine with golden files. The engine gets
// seeded random calls and these faults: lost answers, late answers, nodes that restart, disappear, become
// unresponsive or drain, and schedulers that are killed and restarted.
func TestCharacterizeEngineUnderScripts(t *testing.T) {
	for _, run := range []struct {
		name      string // part of the name of the golden file
		seed      uint64
		steps     int  // number of random calls
		restarts  bool // whether the scheduler is restarted every 60 steps
		configure func(config *engine.Config)
	}{
		{"faults", 1, 400, false, nil},
		{"restarts", 2, 400, true, nil},
		{"small-limits", 3, 300, false, func(config *engine.Config) {
			config.MaxPods, config.MaxObjectBytes, config.HistoryEntries = 90, 600000, 5000
			config.MaxStartsPerCall, config.NodeLossTimeout = 3, 2
		}},
		{"narrow-gate", 4, 300, true, func(config *engine.Config) {
			limits := &config.Admission
			limits.MinInFlight, limits.MaxInFlight, limits.InitialInFlight, limits.MaxQueued = 1, 3, 2, 12
			config.FinishedTTL = 0
		}},
		{"pull-list", 5, 200, true, func(config *engine.Config) {
			config.Placer.Discovery.MustPoll, config.Placer.NodeBehavior.AcknowledgesOnStart = true, true
		}},
	} {
		t.Run(run.name, func(t *testing.T) {
			script := newScript(t, run.seed, run.configure)
			for i := range run.steps {
				script.makeRandomCall()
				script.advance(script.now + script.randomDelay(0, 0.3))
				if run.restarts && i%60 == 59 {
					script.restart()
				}
				if i%25 == 24 {
					script.checkpoint(fmt.Sprintf("step %d", i+1))
				}
			}
			script.finish()
			script.recorder.Check(t, "script-"+run.name)
		})
	}
}
