//go:build linux

package faultinjection

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
)

// observedPod returns a Pod of the class web, with an outcome unless that is "".
func observedPod(outcome string) *corev1.Pod {
	pod := &corev1.Pod{}
	pod.UID = "uid"
	pod.Labels = map[string]string{wellknown.Class: "web"}
	pod.Annotations = map[string]string{wellknown.OutcomeDeadline: "2026-10-10T13:55:36.000000Z"}
	if outcome != "" {
		pod.Status.Conditions = []corev1.PodCondition{{Type: wellknown.Settled, Status: corev1.ConditionTrue, Reason: outcome}}
	}
	return pod
}

// TestObservePod checks what the client records of the states of one Pod, one second apart.
func TestObservePod(t *testing.T) {
	type observation struct {
		eventType watch.EventType
		outcome   string
	}
	for _, test := range []struct {
		name         string
		observations []observation
		wantKinds    []audit.EventKind
		wantTasks    int
		wantSettled  int
		wantLatency  bool // of one second
	}{
		{
			"submitted and placed",
			[]observation{{watch.Added, ""}, {watch.Modified, wellknown.Placed}, {watch.Modified, wellknown.Placed}, {watch.Deleted, wellknown.Placed}},
			[]audit.EventKind{audit.Submitted, audit.Settled}, 1, 1, true,
		},
		{"submitted and withdrawn", []observation{{watch.Added, ""}, {watch.Deleted, ""}}, []audit.EventKind{audit.Submitted, audit.Withdrawn}, 1, 0, false},
		{
			"placed, as a list shows",
			[]observation{{watch.Added, ""}, {eventListed, wellknown.Placed}},
			[]audit.EventKind{audit.Submitted, audit.Settled}, 1, 1, false,
		},
		{"known again after a restart", []observation{{watch.Added, wellknown.Placed}}, []audit.EventKind{audit.Settled}, 0, 1, false},
		{"first seen when it is deleted", []observation{{watch.Deleted, ""}}, nil, 0, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				observer := newObserver()
				for _, observed := range test.observations {
					observer.observePod("scheduler-1", observedPod(observed.outcome), observed.eventType)
					time.Sleep(time.Second)
				}
				var kinds []audit.EventKind
				for _, event := range observer.recordedEvents() {
					kinds = append(kinds, event.Kind)
					if event.UID != "uid" || event.Scheduler != "scheduler-1" || event.Class != "web" {
						t.Errorf("event %+v", event)
					}
					if event.Kind == audit.Submitted && event.Deadline != 1791640536 {
						t.Errorf("deadline %v", event.Deadline)
					}
				}
				if !slices.Equal(kinds, test.wantKinds) {
					t.Errorf("recorded %v, want %v", kinds, test.wantKinds)
				}
				figures := observer.snapshot()
				if figures.Tasks != test.wantTasks || figures.Settled != test.wantSettled {
					t.Errorf("%d tasks, %d settled, want %d, %d", figures.Tasks, figures.Settled, test.wantTasks, test.wantSettled)
				}
				if measured := figures.Max > 0.99 && figures.Max < 1.01; measured != test.wantLatency {
					t.Errorf("latency %v, measured: %v, want %v", figures.Max, measured, test.wantLatency)
				}
			})
		})
	}
}
