package wellknown

import (
	"maps"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
)

// TestTextsOnTheWire checks that texts that schedulers, nodes and clients exchange have not changed.
// Programs of different versions must be able to exchange them.
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
			t.Errorf("the text that programs exchange is %q, want %q", test.got, test.want)
		}
	}
}

func TestParseDict(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Dict
		fails      bool
	}{
		{"empty text is an empty dictionary", "", nil, false},
		{"decimal and integer members are parsed", "cores=0.5, memory=2", Dict{"cores": 0.5, "memory": 2}, false},
		{"negative member is parsed", "cores=-1.250", Dict{"cores": -1.25}, false},
		{"members that are not numbers are skipped", `cores=1, kind="large", busy, list=(1 2)`, Dict{"cores": 1}, false},
		{"text that is not a dictionary is an error", "cores=", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := ParseDict(test.text)
			if (err != nil) != test.fails || !maps.Equal(got, test.want) {
				t.Errorf("ParseDict returned the numbers %v and error %v, want the numbers %v and an error only for an invalid text", got, err, test.want)
			}
		})
	}
}

func TestTimestamps(t *testing.T) {
	const seconds = 1.8e9 + 0.75
	if got := ParseTimestamp(FormatTimestamp(seconds)); got != seconds {
		t.Errorf("the Unix time is %v after it was formatted and parsed, want %v", got, seconds)
	}
	if got := ParseTimestamp("yesterday"); got != 0 {
		t.Errorf("ParseTimestamp returned %v for an invalid timestamp, want 0", got)
	}
	if got := APITime(seconds).Unix(); got != 1.8e9 {
		t.Errorf("APITime returned the Unix time %v, want the given time rounded down to a whole second", got)
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
		{"Pod without containers requests nothing", corev1.PodSpec{}, 0, 0},
		{"requests of containers are added up", corev1.PodSpec{Containers: []corev1.Container{
			container(resources("500m", "1Gi"), nil), container(resources("1", "512Mi"), nil)}}, 1.5, 1.5},
		{"limits replace requests that are not set", corev1.PodSpec{Containers: []corev1.Container{container(nil, resources("2", "4Gi"))}}, 2, 4},
		{"request of the largest init container exceeds that of the other containers", corev1.PodSpec{
			Containers:     []corev1.Container{container(resources("1", "1Gi"), nil)},
			InitContainers: []corev1.Container{container(resources("3", "512Mi"), nil), container(resources("2", "2Gi"), nil)},
		}, 3, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			cores, memory := ResourceRequests(&test.spec)
			if cores != test.cores || memory != test.memory {
				t.Errorf("ResourceRequests returned %v cores and %v GiB of memory, want %v cores and %v GiB", cores, memory, test.cores, test.memory)
			}
		})
	}
}
