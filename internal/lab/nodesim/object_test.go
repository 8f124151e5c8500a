package nodesim

import (
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"

	"heathshed/internal/kube/wellknown"
)

func testPod(labels map[string]string) *corev1.Pod {
	pod := &corev1.Pod{}
	pod.Name, pod.Namespace, pod.UID, pod.Labels = "p", "team", "uid-1", labels
	pod.Spec.Containers = []corev1.Container{{Resources: corev1.ResourceRequirements{Requests: corev1.ResourceList{
		corev1.ResourceCPU: resource.MustParse("1500m"), corev1.ResourceMemory: resource.MustParse("2Gi")}}}}
	return pod
}

func TestPodRequest(t *testing.T) {
	for _, test := range []struct {
		name, service string
		labels        map[string]string
	}{
		{"service", "team/front", map[string]string{wellknown.Service: "front", wellknown.JobName: "job-1"}},
		{"job without a service", "team/job-1", map[string]string{wellknown.JobName: "job-1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			pod := testPod(test.labels)
			got := PodRequest(pod, 3, 2)
			want := Request{UID: "uid-1", Attempt: 3, Service: test.service, Cores: 1.5, Memory: 2, Priority: 2, Payload: pod}
			if got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}

func TestPod(t *testing.T) {
	requested := testPod(nil)
	for _, test := range []struct {
		name   string
		task   Task
		phase  corev1.PodPhase
		reason string
		usage  string
	}{
		{"accepted", Task{Phase: Accepted}, corev1.PodPending, "", ""},
		{"running", Task{Phase: Running, UsedCores: 0.5, UsedMemory: 1.25}, corev1.PodRunning, "", "cores=0.500, memory=1.250"},
		{"succeeded", Task{Phase: Succeeded}, corev1.PodSucceeded, "", ""},
		{"evicted", Task{Phase: Terminated, Reason: Evicted}, corev1.PodFailed, wellknown.Evicted, ""},
		{"never ran", Task{Phase: Terminated, Reason: NeverRan}, corev1.PodFailed, wellknown.NeverStarted, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.task.Request = PodRequest(requested, 7, 0)
			pod := Pod(&test.task, "node-1")
			if pod.Status.Phase != test.phase || pod.Status.Reason != test.reason || pod.Annotations[wellknown.Usage] != test.usage {
				t.Errorf("status %+v, annotations %v", pod.Status, pod.Annotations)
			}
			if pod.Spec.NodeName != "node-1" || pod.Annotations[wellknown.AttemptAnnotation] != "7" {
				t.Errorf("node %q, annotations %v", pod.Spec.NodeName, pod.Annotations)
			}
		})
	}
	if requested.Spec.NodeName != "" || requested.Annotations != nil {
		t.Errorf("the Pod of the request was changed: %+v", requested)
	}
}

// TestEffectsEndWithTheNode checks that no effect is passed on after the one that took the node down.
func TestEffectsEndWithTheNode(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Decisions.MaxQueued = 0
	n := New(cfg, 0)
	for _, uid := range []string{"a", "b", "c"} {
		n.Submit(0, Request{UID: uid, Attempt: 1})
	}
	var seen []string
	if n.DispatchEffects(func(effect *Effect) bool { seen = append(seen, effect.UID); return len(seen) < 2 }) {
		t.Error("reported that all effects were handled")
	}
	if len(seen) != 2 || seen[0] != "a" || seen[1] != "b" {
		t.Errorf("effects of %v", seen)
	}
}
