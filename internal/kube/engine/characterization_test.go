package engine_test

import (
	"fmt"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
)

// The characterization tests below pin every effect, every stored change and every error of an engine under seeded scripts. Regenerate
// their golden files with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.

// TestCharacterizeMoves pins how tasks are migrated off nearly empty nodes where the cost of nodes is high and that of migrations low.
func TestCharacterizeMoves(t *testing.T) {
	s := newScript(t, 6, func(c *engine.Config) {
		c.Placer.Costs.Node, c.Placer.Costs.Migration, c.Placer.Costs.CrossZone = 5, 0.01, 0
	})
	s.advance(s.now + 5)
	for i, n := range s.nodes {
		pod := &corev1.Pod{}
		pod.Name, pod.Namespace, pod.UID = fmt.Sprintf("found-%d", i), "default", types.UID(fmt.Sprintf("found-uid-%d", i))
		pod.Labels = map[string]string{wellknown.Scheduler: s.config.Name, wellknown.Class: "batch", wellknown.Service: "service"}
		pod.Annotations = map[string]string{wellknown.AttemptAnnotation: "2"}
		pod.ResourceVersion, pod.Status.Phase = "9", corev1.PodRunning
		n.pods = append(n.pods, pod)
		s.engine.NodePod(s.now, n.name, pod, false)
		s.observe()
	}
	for i := range 20 {
		s.create(false)
		s.observe()
		s.advance(s.now + 2)
		if i%5 == 4 {
			s.checkpoint(fmt.Sprintf("step %d", i+1))
		}
	}
	if s.engine.Stats.MigratedTasks == 0 {
		t.Error("nothing was moved")
	}
	s.finish()
	s.record.Check(t, "script-moves")
}

// TestCharacterizeEngineUnderScripts pins what an engine does, byte for byte, under seeded calls with faults: lost and late answers,
// nodes that restart, vanish, become unresponsive and drain, and schedulers that are killed and start anew.
func TestCharacterizeEngineUnderScripts(t *testing.T) {
	for _, run := range []struct {
		name     string
		seed     uint64
		steps    int
		restarts bool
		change   func(*engine.Config)
	}{
		{"faults", 1, 400, false, nil},
		{"restarts", 2, 400, true, nil},
		{"small-limits", 3, 300, false, func(c *engine.Config) {
			c.MaxPods, c.MaxObjects, c.History, c.MaxStartsPerCall, c.NodeLossTimeout = 90, 600000, 5000, 3, 2
		}},
		{"narrow-gate", 4, 300, true, func(c *engine.Config) {
			c.Admission.MinInFlight, c.Admission.MaxInFlight, c.Admission.InitialInFlight, c.Admission.MaxQueued, c.FinishedTTL = 1, 3, 2, 12, 0
		}},
		{"pull-list", 5, 200, true, func(c *engine.Config) {
			c.Placer.Discovery.MustPoll, c.Placer.NodeBehavior.AcknowledgesOnStart = true, true
		}},
	} {
		t.Run(run.name, func(t *testing.T) {
			s := newScript(t, run.seed, run.change)
			for i := range run.steps {
				s.step()
				s.advance(s.now + s.delay(0, 0.3))
				if run.restarts && i%60 == 59 {
					s.restart()
				}
				if i%25 == 24 {
					s.checkpoint(fmt.Sprintf("step %d", i+1))
				}
			}
			s.finish()
			s.record.Check(t, "script-"+run.name)
		})
	}
}
