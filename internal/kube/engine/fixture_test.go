package engine

import (
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// The tests in this package use one node, one Job, one task class and one node type. These are their
// names.
const (
	nodeName     = "n"
	jobName      = "j"
	className    = "c"
	nodeTypeName = "k"
)

// The tests report the node to the engine at listedAt and create the Job at createdAt, in Unix seconds.
const (
	listedAt  placer.Seconds = 1000
	createdAt placer.Seconds = 1001
)

// testConfig returns the settings of an engine with one task class and one node type. The tasks of the
// class are idempotent.
func testConfig() Config {
	return Config{
		Name:      "s",
		Classes:   []string{className},
		NodeTypes: []string{nodeTypeName},
		Placer: placer.Config{
			Peers:        placer.Peers{Total: 1},
			Classes:      []placer.Class{{LatencyObjective: 1, Deadline: 8, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1}},
			NodeTypes:    []placer.NodeType{{Cores: 8, Memory: 8}},
			NodeBehavior: placer.NodeBehavior{ListShowsCapacity: true},
			Overcommit:   placer.Overcommit{Cores: 1, Memory: 1},
			SlowStart:    placer.SlowStart{Duration: 15},
			Attempts:     placer.Attempts{Max: 3, AnswerGrace: 0.1},
		},
	}
}

// newEngine returns an engine with the settings of testConfig. The functions in changes modify these
// settings first.
func newEngine(t *testing.T, changes ...func(config *Config)) *Engine {
	t.Helper()
	config := testConfig()
	for _, change := range changes {
		change(&config)
	}
	engine, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return engine
}

// listedNode returns the Node object of a ready node, as listed by the inventory (the server that lists
// all nodes). If startedAt is not 0, the Node object states it as the start time of the node.
func listedNode(incarnation string, startedAt placer.Seconds) *corev1.Node {
	node := &corev1.Node{}
	node.Name = nodeName
	node.Labels = map[string]string{wellknown.NodeType: nodeTypeName}
	node.Annotations = map[string]string{}
	if startedAt > 0 {
		node.Annotations[wellknown.StartedAt] = wellknown.FormatTimestamp(startedAt)
	}
	node.Status.NodeInfo.BootID = incarnation
	node.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	node.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: "127.0.0.1"}}
	node.Status.DaemonEndpoints.KubeletEndpoint.Port = 1
	return node
}

// newJob returns a Job with the given number of tasks, all of which may run at once.
func newJob(name string, tasks int32) *batchv1.Job {
	job := &batchv1.Job{}
	job.Name = name
	job.Namespace = defaultNamespace
	job.Spec.Completions = &tasks
	job.Spec.Parallelism = &tasks
	return job
}

// createJobOnOneNode reports one node to the engine and then creates a Job with the given number of tasks.
// The node has free capacity and runs no tasks.
func createJobOnOneNode(t *testing.T, engine *Engine, tasks int32) {
	t.Helper()
	node := listedNode("a", 0)
	node.Annotations[wellknown.FreeCapacity] = "cores=8.0, memory=8.0"
	engine.NodesListed(listedAt, FullList, []*corev1.Node{node}, nil)
	engine.PodsListed(listedAt, nodeName, "a", 1, nil)
	if _, err := engine.CreateJob(createdAt, newJob(jobName, tasks), false); err != nil {
		t.Fatal(err)
	}
}

// takeAttempts takes all pending effects of the engine and returns the SendAttempt effects among them.
func takeAttempts(engine *Engine) []Effect {
	var attempts []Effect
	for _, effect := range engine.Ready(nil) {
		if effect.Kind == SendAttempt {
			attempts = append(attempts, effect)
		}
	}
	return attempts
}

// tickUntil runs the timers of the engine until a condition holds or the end time is reached. It returns
// the time of the last call of Tick.
func tickUntil(engine *Engine, from, end placer.Seconds, condition func() bool) placer.Seconds {
	now := from
	for now < end && !condition() {
		now = min(engine.NextWake(), end)
		engine.Tick(now)
	}
	return now
}
