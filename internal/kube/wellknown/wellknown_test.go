package wellknown

import (
	"maps"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
)

// TestTextsOnTheWire pins the texts that programs of different versions exchange.
func TestTextsOnTheWire(t *testing.T) {
	for _, test := range []struct{ got, want string }{
		{Class, "heathshed.io/class"},
		{Service, "heathshed.io/service"},
		{Scheduler, "heathshed.io/scheduler"},
		{JobName, "batch.kubernetes.io/job-name"},
		{JobUID, "batch.kubernetes.io/controller-uid"},
		{CompletionIndex, "batch.kubernetes.io/job-completion-index"},
		{Zone, "topology.kubernetes.io/zone"},
		{Rack, "heathshed.io/rack"},
		{NodeType, "node.kubernetes.io/instance-type"},
		{OutcomeDeadline, "heathshed.io/give-up-at"},
		{JobManifest, "heathshed.io/job"},
		{AttemptAnnotation, "heathshed.io/attempt"},
		{Usage, "heathshed.io/use"},
		{Lifetime, "heathshed.io/lifetime"},
		{FreeCapacity, "heathshed.io/free"},
		{StartedAt, "heathshed.io/started"},
		{Settled, "heathshed.io/Settled"},
		{Placed, "Placed"},
		{Rejected, "Refused"},
		{Failed, "Failed"},
		{AttemptHeader, "Heathshed-Attempt"},
		{LoadHeader, "Heathshed-Load"},
		{IncarnationHeader, "Heathshed-Boot"},
		{OutOfCPU, "OutOfcpu"},
		{OutOfMemory, "OutOfmemory"},
		{QueueFull, "TooManyWaiting"},
		{WrongNode, "NotHere"},
		{Evicted, "Evicted"},
		{Preempted, "Preempting"},
		{Drained, "NodeShutdown"},
		{NeverStarted, "NeverStarted"},
		{Stopped, "Stopped"},
		{NodeLost, "NodeLost"},
		{FormatCapacity(0.5, 1.25), "cores=0.500, memory=1.250"},
		{FormatDict(), ""},
		{FormatDict(Member{"queue", 3}), "queue=3.000"},
		{FormatTimestamp(1.8e9 + 0.25), "2027-01-15T08:00:00.250000Z"},
	} {
		if test.got != test.want {
			t.Errorf("text is %q, want %q", test.got, test.want)
		}
	}
}

func TestParseDict(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Dict
		fails      bool
	}{
		{"empty", "", nil, false},
		{"numbers", "cores=0.5, memory=2", Dict{"cores": 0.5, "memory": 2}, false},
		{"negative", "cores=-1.250", Dict{"cores": -1.25}, false},
		{"members that are not numbers", `cores=1, kind="large", busy, list=(1 2)`, Dict{"cores": 1}, false},
		{"not a dictionary", "cores=", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := ParseDict(test.text)
			if (err != nil) != test.fails || !maps.Equal(got, test.want) {
				t.Errorf("ParseDict returned %v, error %v; want %v", got, err, test.want)
			}
		})
	}
}

func TestTimestamps(t *testing.T) {
	const seconds = 1.8e9 + 0.75
	if got := ParseTimestamp(FormatTimestamp(seconds)); got != seconds {
		t.Errorf("formatted and parsed timestamp is %v, want %v", got, seconds)
	}
	if got := ParseTimestamp("yesterday"); got != 0 {
		t.Errorf("invalid timestamp was parsed as %v, want 0", got)
	}
	if got := APITime(seconds).Unix(); got != 1.8e9 {
		t.Errorf("time of the API is %v, want it in whole seconds", got)
	}
}

func TestResourceRequests(t *testing.T) {
	container := func(requests, limits corev1.ResourceList) corev1.Container {
		return corev1.Container{Resources: corev1.ResourceRequirements{Requests: requests, Limits: limits}}
	}
	resources := func(cpu, memory string) corev1.ResourceList {
		return corev1.ResourceList{corev1.ResourceCPU: resource.MustParse(cpu), corev1.ResourceMemory: resource.MustParse(memory)}
	}
	for _, test := range []struct {
		name          string
		spec          corev1.PodSpec
		cores, memory float64
	}{
		{"no containers", corev1.PodSpec{}, 0, 0},
		{"containers add up", corev1.PodSpec{Containers: []corev1.Container{
			container(resources("500m", "1Gi"), nil), container(resources("1", "512Mi"), nil)}}, 1.5, 1.5},
		{"limits in place of requests", corev1.PodSpec{Containers: []corev1.Container{container(nil, resources("2", "4Gi"))}}, 2, 4},
		{"the largest init container", corev1.PodSpec{
			Containers:     []corev1.Container{container(resources("1", "1Gi"), nil)},
			InitContainers: []corev1.Container{container(resources("3", "512Mi"), nil), container(resources("2", "2Gi"), nil)},
		}, 3, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			cores, memory := ResourceRequests(&test.spec)
			if cores != test.cores || memory != test.memory {
				t.Errorf("requests are %v cores and %v GiB, want %v and %v", cores, memory, test.cores, test.memory)
			}
		})
	}
}
