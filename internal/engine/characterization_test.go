package engine_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/config"
	"heathshed/internal/engine"
	"heathshed/internal/golden"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// The characterization tests below pin every effect, every stored change and every error of an engine under seeded scripts. Regenerate
// their golden files with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package golden.

const scriptStart = 1.8e9 // Unix seconds

// fakeNode is a node of a script: it answers offers and stop orders at random, and holds the Pods that it accepted.
type fakeNode struct {
	name        string
	incarnation int
	revision    int64
	ready       bool
	removed     bool
	draining    bool
	pods        []*corev1.Pod // in order of acceptance
	floor       map[types.UID]int
}

func (n *fakeNode) incarnationID() string { return fmt.Sprintf("%s-life-%d", n.name, n.incarnation) }

func (n *fakeNode) find(uid types.UID) int {
	return slices.IndexFunc(n.pods, func(pod *corev1.Pod) bool { return pod.UID == uid })
}

// delayed is a call of the engine that is still on its way.
type delayed struct {
	at          float64
	sequence    int
	incarnation int
	call        func()
}

// script drives one engine through seeded calls and records all that is observable after each call.
type script struct {
	t           *testing.T
	rng         *rand.Rand
	config      engine.Config
	engine      *engine.Engine
	incarnation int
	now         float64
	nodes       []*fakeNode
	queue       []delayed
	sequence    int
	revision    int64
	jobs        []string
	record      *golden.Recorder
	kinds       [8]int64 // effects by kind
	changes     [4][3]int64
	failures    map[string]int64
}

func newScript(t *testing.T, seed uint64, change func(*engine.Config)) *script {
	defaults := config.Default()
	defaults.Tenants = []config.Tenant{{Name: "first", Share: 0.7}, {Name: "second", Share: 0.3}}
	defaults.Limits.FinishedTTL = 40
	config := defaults.Engine(seed, 1000)
	if change != nil {
		change(&config)
	}
	s := &script{t: t, rng: rand.New(rand.NewPCG(seed, 77)), config: config, now: scriptStart, record: golden.NewRecorder(),
		failures: map[string]int64{}}
	for i := range 10 {
		s.nodes = append(s.nodes, &fakeNode{name: fmt.Sprintf("node-%02d", i), incarnation: 1, ready: true, floor: map[types.UID]int{}})
	}
	s.restart()
	return s
}

// restart replaces the engine by a new one, as after a crash of the scheduler.
func (s *script) restart() {
	s.incarnation++
	config := s.config
	config.Seed += uint64(s.incarnation) * 7919
	config.BaseRevision = s.revision + 1000
	e, err := engine.New(config)
	if err != nil {
		s.t.Fatal(err)
	}
	s.engine, s.revision = e, config.BaseRevision
	s.observe()
	s.after(0.05, s.fullList)
}

// after makes a call of the present engine some seconds later.
func (s *script) after(seconds float64, call func()) {
	s.sequence++
	s.queue = append(s.queue, delayed{s.now + seconds, s.sequence, s.incarnation, call})
}

// observe records effects and changes, and lets the nodes react to effects.
func (s *script) observe() {
	for _, effect := range s.engine.Ready(nil) {
		s.recordEffect(&effect)
		s.carryOut(effect)
	}
	s.recordChanges()
	s.record.Floats(s.engine.NextWake(), s.engine.Admission().Limit(), s.engine.Admission().RetryBudget())
	listed, watched := s.engine.NodeCounts()
	s.record.Integers(int64(s.engine.OpenTasks()), int64(listed), int64(watched), s.engine.Store().ObjectCost(), s.engine.Store().HistoryCost())
}

func (s *script) recordEffect(effect *engine.Effect) {
	s.kinds[effect.Kind]++
	s.record.Integers(int64(effect.Kind), int64(effect.Attempt))
	s.record.Texts(effect.Node, effect.Address, string(effect.UID), effect.Namespace, effect.Name)
	s.record.Floats(effect.Deadline)
	s.record.Booleans(effect.AvoidUnknownOutcome, effect.Pod != nil)
	if effect.Pod != nil {
		s.recordObject(effect.Pod)
	}
}

func (s *script) recordObject(object interface{ Marshal() ([]byte, error) }) {
	binary, err := object.Marshal()
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := json.Marshal(object)
	if err != nil {
		s.t.Fatal(err)
	}
	s.record.Bytes(binary)
	s.record.Bytes(text)
}

// recordChanges records the changes of all tables since the last call, in order of revision.
func (s *script) recordChanges() {
	type entry struct {
		table  store.Resource
		change *store.Change
	}
	var entries []entry
	for _, table := range []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces} {
		changes, err := s.engine.Store().Since(table, s.revision, math.MaxInt32)
		s.record.Error(err)
		for _, change := range changes {
			entries = append(entries, entry{table, change})
		}
	}
	slices.SortFunc(entries, func(left, right entry) int { return cmp.Compare(left.change.Rev, right.change.Rev) })
	for _, e := range entries {
		s.changes[e.table][e.change.Op]++
		s.record.Integers(int64(e.table), int64(e.change.Op), e.change.Rev)
		s.recordObject(e.change.Object.(interface{ Marshal() ([]byte, error) }))
		s.record.Booleans(e.change.Prev != nil)
		if e.change.Prev != nil {
			s.record.Texts(e.change.Prev.GetResourceVersion())
		}
	}
	s.revision = s.engine.Store().Rev()
}

// result records what a call returned.
func (s *script) result(object interface{ Marshal() ([]byte, error) }, err error) {
	s.record.Error(err)
	if err != nil {
		s.failures[err.Error()]++
		return
	}
	if object != nil {
		s.recordObject(object)
	}
}

func (s *script) node(name string) *fakeNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

func (s *script) carryOut(effect engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.answerAttempt(effect)
	case engine.StopTask:
		s.answerStop(effect)
	case engine.WatchNode:
		s.after(0.02+0.1*s.rng.Float64(), func() { s.listPods(s.node(effect.Node)) })
	case engine.RelistNodes:
		s.after(0.05, s.fullList)
	}
}

// answerAttempt lets a node accept, refuse, lose or ignore an offer.
func (s *script) answerAttempt(effect engine.Effect) {
	node := s.node(effect.Node)
	answer := engine.AttemptAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node, Incarnation: node.incarnationID()}
	delay := 0.005 + 0.05*s.rng.Float64()
	accept := node.ready && !node.removed && effect.Attempt > node.floor[effect.UID]
	switch draw := s.rng.IntN(100); {
	case !accept || draw < 6:
		answer.Result, answer.Incarnation = placer.Unreachable, ""
	case draw < 16:
		answer.Result, answer.Reason = placer.Rejected, placer.InsufficientCores
		answer.Report = &placer.Report{FreeCores: 1, FreeMemory: 2, Utilization: 0.9, QueueLength: 3}
	case draw < 20:
		answer.Result, answer.Message = placer.Errored, "internal error"
	case draw < 24:
		answer.Result = placer.Lost
	case draw < 30:
		return // no answer ever
	case draw < 38: // the node takes the task, the answer is lost
		s.accept(node, effect)
		answer.Result, answer.Incarnation = placer.Lost, ""
	case draw < 46: // the answer comes too late
		answer.Accepted, answer.Revision, delay = true, s.accept(node, effect), 3+8*s.rng.Float64()
	default:
		answer.Accepted, answer.Revision = true, s.accept(node, effect)
		if draw > 90 {
			answer.Pod = node.pods[node.find(effect.UID)]
		}
	}
	s.after(delay, func() { s.engine.AttemptDone(s.now, answer) })
}

// accept has a node hold a task, start it and end it later, and returns the node's revision.
func (s *script) accept(node *fakeNode, effect engine.Effect) int64 {
	node.revision++
	pod := effect.Pod.DeepCopy()
	pod.Annotations[wellknown.AttemptAnnotation] = strconv.Itoa(effect.Attempt)
	pod.ResourceVersion = strconv.FormatInt(node.revision, 10)
	pod.Status.Phase = corev1.PodPending
	if i := node.find(pod.UID); i >= 0 {
		node.pods[i] = pod
		return node.revision
	}
	node.pods = append(node.pods, pod)
	s.plan(node, pod.UID)
	return node.revision
}

// plan has the task run and end, as the node's watch tells it.
func (s *script) plan(node *fakeNode, uid types.UID) {
	life := node.incarnation
	reasons := []string{"", "", "", "", wellknown.Evicted, wellknown.Preempted, wellknown.Drained, "Error", wellknown.NeverStarted, wellknown.Stopped}
	reason := reasons[s.rng.IntN(len(reasons))]
	vanishes := s.rng.IntN(12) == 0
	start := 0.02 + 0.3*s.rng.Float64()
	end := start + 1 + 15*s.rng.Float64()
	s.onNode(start, node, life, uid, func(pod *corev1.Pod) {
		pod.Status.Phase = corev1.PodRunning
		pod.Annotations[wellknown.Usage] = wellknown.FormatDict("cores", 0.5, "memory", 1.25)
	}, false)
	s.onNode(end, node, life, uid, func(pod *corev1.Pod) {
		pod.Status.Phase = corev1.PodSucceeded
		if reason != "" {
			pod.Status.Phase, pod.Status.Reason, pod.Status.Message = corev1.PodFailed, reason, "stated by the node"
		}
	}, false)
	if vanishes {
		s.onNode(start+0.5, node, life, uid, func(pod *corev1.Pod) {}, true)
	}
}

// onNode changes a Pod at a node some time later, whatever scheduler life there is, and tells the engine.
func (s *script) onNode(seconds float64, node *fakeNode, life int, uid types.UID, change func(*corev1.Pod), remove bool) {
	s.after(seconds, func() {
		i := node.find(uid)
		if node.incarnation != life || i < 0 {
			return
		}
		node.revision++
		pod := node.pods[i].DeepCopy()
		change(pod)
		pod.ResourceVersion = strconv.FormatInt(node.revision, 10)
		node.pods[i] = pod
		if remove || wellknown.Finished(pod) {
			node.pods = slices.Delete(node.pods, i, i+1)
		}
		s.engine.NodePod(s.now, node.name, pod, remove)
	})
	s.queue[len(s.queue)-1].incarnation = 0 // of the node, not of the scheduler
}

func (s *script) answerStop(effect engine.Effect) {
	node := s.node(effect.Node)
	answer := engine.StopAnswer{UID: effect.UID, Node: effect.Node, Attempt: effect.Attempt}
	if node.ready && !node.removed && s.rng.IntN(10) > 1 {
		answer.Answered, answer.Incarnation = true, node.incarnationID()
		node.floor[effect.UID] = max(node.floor[effect.UID], effect.Attempt)
		if i := node.find(effect.UID); i >= 0 {
			answer.HadTask, answer.MayHaveRun = true, node.pods[i].Status.Phase == corev1.PodRunning
			node.pods = slices.Delete(node.pods, i, i+1)
		}
	}
	s.after(0.005+0.2*s.rng.Float64(), func() { s.engine.StopDone(s.now, answer) })
}

// listPods tells the engine all Pods of a node.
func (s *script) listPods(node *fakeNode) {
	if node.ready && !node.removed {
		s.engine.NodePods(s.now, node.name, node.incarnationID(), node.revision, slices.Clone(node.pods))
	}
}

func (s *script) object(node *fakeNode) *corev1.Node {
	index := slices.Index(s.nodes, node)
	object := &corev1.Node{}
	object.Name, object.UID = node.name, types.UID("uid-"+node.name)
	object.Labels = map[string]string{wellknown.Kind: []string{"standard", "large"}[index%2], wellknown.Zone: "zone-" + string(rune('a'+index%3)),
		wellknown.Rack: fmt.Sprintf("rack-%d", index%4)}
	object.Annotations = map[string]string{wellknown.FreeCapacity: wellknown.FormatDict("cores", max(32-float64(len(node.pods)), 1), "memory", 60.5)}
	if node.incarnation > 1 {
		object.Annotations[wellknown.Started] = wellknown.FormatTimestamp(s.now - 1)
	}
	object.Spec.Unschedulable = node.draining
	object.Status.NodeInfo.BootID = node.incarnationID()
	status := corev1.ConditionTrue
	if !node.ready {
		status = corev1.ConditionUnknown
	}
	object.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: status}}
	object.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: fmt.Sprintf("127.0.0.%d", index+node.incarnation)}}
	object.Status.DaemonEndpoints.KubeletEndpoint.Port = 10250
	return object
}

func (s *script) fullList() {
	var list []*corev1.Node
	for _, node := range s.nodes {
		if !node.removed {
			list = append(list, s.object(node))
		}
	}
	s.engine.NodesListed(s.now, engine.FullList, list, nil)
}

func (s *script) changed(node *fakeNode) {
	if node.removed {
		s.engine.NodesListed(s.now, engine.Changes, nil, []string{node.name})
		return
	}
	s.engine.NodesListed(s.now, engine.Changes, []*corev1.Node{s.object(node)}, nil)
}

func pointer[T any](value T) *T { return &value }

// job draws a Job, now and then one that must be turned away.
func (s *script) job() *batchv1.Job {
	drawn := &batchv1.Job{}
	drawn.Namespace = []string{"default", "first", "second"}[s.rng.IntN(3)]
	drawn.Name = fmt.Sprintf("job-%03d", len(s.jobs))
	tasks := int32(s.rng.IntN(7))
	drawn.Spec.Completions, drawn.Spec.Parallelism = &tasks, pointer(tasks)
	drawn.Spec.BackoffLimit = pointer(int32(s.rng.IntN(4)))
	drawn.Spec.Template.Labels = map[string]string{wellknown.Service: fmt.Sprintf("service-%d", s.rng.IntN(8))}
	class := []string{"web", "batch", "once", "keyed", "spread", ""}[s.rng.IntN(6)]
	if class != "" {
		drawn.Spec.Template.Labels[wellknown.Class] = class
	}
	drawn.Spec.Template.Annotations = map[string]string{wellknown.Lifetime: "5"}
	drawn.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	drawn.Spec.Template.Spec.Containers = []corev1.Container{{Name: "main", Image: "image", Resources: corev1.ResourceRequirements{
		Requests: corev1.ResourceList{corev1.ResourceCPU: *resource.NewMilliQuantity(int64(500+250*s.rng.IntN(6)), resource.DecimalSI),
			corev1.ResourceMemory: *resource.NewQuantity(int64(1+s.rng.IntN(4))<<30, resource.BinarySI)}}}}
	s.vary(drawn)
	return drawn
}

// vary draws the rarer settings of a Job.
func (s *script) vary(drawn *batchv1.Job) {
	switch s.rng.IntN(24) {
	case 0:
		drawn.Name, drawn.GenerateName = "", "generated-"
	case 1:
		drawn.Spec.Suspend = pointer(true)
	case 2:
		drawn.Spec.ActiveDeadlineSeconds = pointer(int64(4))
	case 3:
		drawn.Spec.TTLSecondsAfterFinished = pointer(int32(3))
	case 4:
		drawn.Spec.Parallelism = pointer(int32(1))
	case 5:
		drawn.Namespace = "unknown"
	case 6:
		drawn.Spec.Template.Labels[wellknown.Class] = "unknown"
	case 7:
		drawn.Spec.Completions = pointer(int32(1 << 30))
	case 8:
		drawn.Spec.Completions, drawn.Spec.Parallelism, drawn.Spec.BackoffLimit = nil, nil, nil
	case 9:
		drawn.Spec.Template.Labels, drawn.Spec.Template.Annotations = nil, nil
	case 10:
		drawn.Labels, drawn.Annotations = map[string]string{"team": "a"}, map[string]string{"note": "b"}
	}
}

func (s *script) create(dry bool) {
	job := s.job()
	created, err := s.engine.CreateJob(s.now, job, dry)
	if err != nil {
		s.result(nil, err)
		return
	}
	s.result(created, nil)
	if !dry {
		s.jobs = append(s.jobs, created.Namespace+"/"+created.Name)
	}
}

// pick draws a stored object of a table, the n-th in order of key.
func (s *script) pick(table store.Resource) store.Object {
	snapshot := s.engine.Store().Snapshot(table)
	if snapshot.Len() == 0 {
		return nil
	}
	skip := s.rng.IntN(snapshot.Len())
	var picked store.Object
	snapshot.Scan("", "", func(_ string, change *store.Change) bool {
		picked = change.Object
		skip--
		return skip >= 0
	})
	return picked
}

func (s *script) updateJob() {
	object := s.pick(store.Jobs)
	if object == nil {
		return
	}
	update := object.DeepCopyObject().(*batchv1.Job)
	dry := s.rng.IntN(8) == 0
	switch s.rng.IntN(14) {
	case 0, 1, 2:
		update.Spec.Suspend = pointer(true)
	case 3, 4, 5, 6:
		update.Spec.Suspend = nil
	case 7:
		update.Spec.Parallelism = pointer(int32(s.rng.IntN(5)))
	case 8:
		update.Labels = map[string]string{"changed": strconv.Itoa(s.rng.IntN(5))}
	case 9:
		update.ResourceVersion = "1"
	case 10:
		update.Spec.Template.Spec.Containers[0].Image = "other"
	case 11:
		update.Spec.Completions = pointer(int32(77))
	case 12:
		update.Spec.Parallelism = pointer(int32(-1))
	case 13:
		update.Name += "-missing"
	}
	updated, err := s.engine.UpdateJob(s.now, update, dry)
	if err != nil {
		s.result(nil, err)
		return
	}
	s.result(updated, nil)
}

func (s *script) deleteJob() {
	object := s.pick(store.Jobs)
	if object == nil {
		return
	}
	how := []metav1.DeletionPropagation{"", metav1.DeletePropagationBackground, metav1.DeletePropagationForeground,
		metav1.DeletePropagationOrphan}[s.rng.IntN(4)]
	name, uid, revision := object.GetName(), object.GetUID(), object.GetResourceVersion()
	switch s.rng.IntN(12) {
	case 0:
		name += "-missing"
	case 1:
		uid = "other"
	case 2:
		revision = "1"
	case 3, 4, 5, 6:
		uid, revision = "", ""
	}
	deleted, err := s.engine.DeleteJob(s.now, object.GetNamespace(), name, uid, revision, how)
	if err != nil {
		s.result(nil, err)
		return
	}
	s.result(deleted, nil)
}

func (s *script) stopPod(evict bool) {
	object := s.pick(store.Pods)
	if object == nil {
		return
	}
	name, uid := object.GetName(), object.GetUID()
	switch s.rng.IntN(10) {
	case 0:
		name += "-missing"
	case 1:
		uid = "other"
	}
	if evict {
		s.result(nil, s.engine.EvictPod(s.now, object.GetNamespace(), name, uid))
		return
	}
	deleted, err := s.engine.DeletePod(s.now, object.GetNamespace(), name, uid, "")
	if err != nil {
		s.result(nil, err)
		return
	}
	s.result(deleted, nil)
}

func (s *script) updateNode() {
	object := s.pick(store.Nodes)
	if object == nil {
		return
	}
	update := object.DeepCopyObject().(*corev1.Node)
	var order *bool
	dry := s.rng.IntN(6) == 0
	switch s.rng.IntN(10) {
	case 0, 1:
		order = pointer(true)
	case 2, 3, 4, 5:
		order = pointer(false)
	case 6:
		update.Labels["extra"] = strconv.Itoa(s.rng.IntN(3))
	case 7:
		update.Labels[wellknown.Rack] = "elsewhere"
	case 8:
		update.ResourceVersion = "1"
	case 9:
		update.Name = "missing"
	}
	updated, err := s.engine.UpdateNode(s.now, update, order, dry)
	if err != nil {
		s.result(nil, err)
		return
	}
	s.result(updated, nil)
}

// nodeFault restarts, silences, removes or drains a node, or brings one back.
func (s *script) nodeFault() {
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(12) {
	case 0, 1:
		node.incarnation, node.pods, node.floor = node.incarnation+1, nil, map[types.UID]int{}
		s.after(0.3, func() { s.listPods(node) })
		s.changed(node)
	case 2:
		node.ready = false
		s.after(0.5, func() { s.engine.NodeUnresponsive(s.now, node.name) })
		s.changed(node)
	case 3:
		node.removed = true
		s.engine.NodeUnresponsive(s.now, node.name)
		s.observe()
		s.changed(node)
	case 4:
		node.draining = !node.draining
		s.changed(node)
	case 5:
		s.engine.NodesListed(s.now, engine.ListUnavailable, nil, nil)
	case 6:
		s.fullList()
	case 7, 8:
		s.listPods(node)
	case 9:
		s.engine.NodePod(s.now, "missing", &corev1.Pod{}, true)
	default:
		node.ready, node.removed, node.draining = true, false, false
		s.after(0.1, func() { s.listPods(node) })
		s.changed(node)
	}
}

// step makes one random call.
func (s *script) step() {
	switch draw := s.rng.IntN(100); {
	case draw < 50:
		s.create(s.rng.IntN(10) == 0)
	case draw < 58:
		s.updateJob()
	case draw < 63:
		s.deleteJob()
	case draw < 68:
		s.stopPod(false)
	case draw < 73:
		s.stopPod(true)
	case draw < 80:
		s.updateNode()
	default:
		s.nodeFault()
	}
	s.observe()
}

// advance goes on to a time, with all timers and delayed calls up to it in order.
func (s *script) advance(until float64) {
	for {
		next := s.engine.NextWake()
		slices.SortStableFunc(s.queue, func(left, right delayed) int {
			return cmp.Or(cmp.Compare(left.at, right.at), cmp.Compare(left.sequence, right.sequence))
		})
		queued := len(s.queue) > 0 && s.queue[0].at < next
		if queued {
			next = s.queue[0].at
		}
		if next > until {
			break
		}
		s.now = max(s.now, next)
		if !queued {
			s.engine.Tick(s.now)
			s.observe()
			continue
		}
		due := s.queue[0]
		s.queue = s.queue[1:]
		if due.incarnation == 0 || due.incarnation == s.incarnation {
			due.call()
			s.observe()
		}
	}
	s.now = until
}

// checkpoint writes the digest so far with the counters of the engine in a fixed order.
func (s *script) checkpoint(label string) {
	stats := s.engine.Stats
	for _, counter := range []uint64{stats.PlacementRequests, stats.Attempts, stats.Accepted, stats.Rejections, stats.UnknownOutcomes, stats.Adopted, stats.Stops, stats.Placed, stats.Rejected, stats.Failed, stats.Shed,
		stats.Retries, stats.LostTasks, stats.EvictedTasks, stats.MigratedTasks, stats.Recovered, stats.JobsCreated, stats.JobsFinished, stats.PodsCreated,
		stats.JobsRejected, stats.LateAnswers} {
		s.record.Integers(int64(counter))
	}
	s.record.Line("%s: effects %v; changes %v; open %d; revision %d; counters %v", label, s.kinds, s.changes, s.engine.OpenTasks(), s.revision,
		[]uint64{stats.PlacementRequests, stats.Attempts, stats.Accepted, stats.Rejections, stats.UnknownOutcomes, stats.Adopted, stats.Stops, stats.Placed, stats.Rejected, stats.Failed, stats.Shed, stats.Retries,
			stats.LostTasks, stats.EvictedTasks, stats.MigratedTasks, stats.Recovered, stats.JobsCreated, stats.JobsFinished, stats.PodsCreated, stats.JobsRejected, stats.LateAnswers})
	s.record.Checkpoint(label)
}

// finish lets everything end, stops the engine while new tasks wait, and records the errors that occurred and the final state of all
// Pods. The engine is not stopped while a task that ran waits to be asked for again: its timer would panic in the engine.
func (s *script) finish() {
	s.advance(s.now + 90)
	s.checkpoint("before the stop")
	for range 12 {
		s.create(false)
		s.observe()
	}
	s.advance(s.now + 0.002)
	s.engine.Stop(s.now)
	s.observe()
	s.create(false)
	s.observe()
	s.advance(s.now + 60)
	s.checkpoint("after the stop")
	s.engine.Store().Snapshot(store.Pods).Scan("", "", func(key string, change *store.Change) bool {
		pod := change.Object.(*corev1.Pod)
		s.record.Texts(key, string(pod.Status.Phase), pod.Status.Reason, wellknown.SettledReason(pod))
		return true
	})
	s.checkpoint("final tasks")
	for _, text := range slices.Sorted(func(yield func(string) bool) {
		for text := range s.failures {
			if !yield(text) {
				return
			}
		}
	}) {
		s.record.Line("error %d times: %s", s.failures[text], text)
	}
}

// TestCharacterizeMoves pins how tasks are moved off nearly empty nodes where nodes in use are dear and moves are not.
func TestCharacterizeMoves(t *testing.T) {
	s := newScript(t, 6, func(c *engine.Config) { c.Placer.NodeCost, c.Placer.MigrationCost, c.Placer.CrossZoneCost = 5, 0.01, 0 })
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
// nodes that restart, vanish, fall silent and drain, and schedulers that are killed and start anew.
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
		{"pull-list", 5, 200, true, func(c *engine.Config) { c.Placer.MustPollNodes, c.Placer.AcknowledgesOnStart = true, true }},
	} {
		t.Run(run.name, func(t *testing.T) {
			s := newScript(t, run.seed, run.change)
			for i := range run.steps {
				s.step()
				s.advance(s.now + 0.3*s.rng.Float64())
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
