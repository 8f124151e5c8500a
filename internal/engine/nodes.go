package engine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// node is a machine as this scheduler knows it.
type node struct {
	name                 string
	id                   placer.NodeID
	address              string
	inventory            *corev1.Node // as the inventory has it; nil once it left
	drainOrdered         bool         // ordered here
	customLabels         map[string]string
	hasCustomLabels      bool // labels were set here
	publishPending       bool // drained or labelled here since it was shown
	state                placer.NodeState
	incarnation          string
	pastIncarnations     []string // lives that are over: a late word of them says nothing
	podsWatched          bool     // its Pods are watched and heard of
	listedIncarnation    string   // the life that the list names
	startedAt            float64  // when that began by our clock, 0 is long ago
	running              map[types.UID]*task
	unknownOutcomes      map[*attempt]struct{} // attempts at it that may have been accepted
	absentSince          float64
	publishedAt          float64
	publishedFingerprint uint64 // what the inventory said but for the room, when it was shown
	reportedToPlacer     bool   // the placer knows it
}

// Listing is how the inventory's words are meant.
type Listing uint8

// A full list, or changes of single machines.
const (
	FullList Listing = iota
	Changes
	// ListUnavailable says that the inventory is out of reach; what is known stands.
	ListUnavailable
)

// NodesListed takes machines from the inventory. removed names those that a change takes away.
func (e *Engine) NodesListed(now float64, kind Listing, nodes []*corev1.Node, removed []string) {
	e.beginCall(now)
	defer e.endCall()
	if kind == ListUnavailable {
		// Where the list is pushed nobody asked for it, and the adapter sees to it that it comes again.
		if e.cfg.Placer.MustPollNodes {
			e.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
		return
	}
	seen := map[string]bool{}
	var changed []*node
	for _, object := range nodes {
		seen[object.Name] = true
		entry := e.nodes[object.Name]
		if entry == nil {
			entry = &node{name: object.Name, id: placer.NodeID(xxhash.Sum64String(object.Name)), running: map[types.UID]*task{}}
			if other := e.nodesByID[entry.id]; other != nil {
				continue // two names of one number: the second cannot be told apart
			}
			e.nodes[object.Name], e.nodesByID[entry.id] = entry, entry
		}
		if address := wellknown.NodeAddress(object); address != entry.address {
			if entry.address != "" {
				e.emit(Effect{Kind: UnwatchNode, Node: entry.name})
				entry.podsWatched = false
			}
			if entry.address = address; address != "" {
				e.emit(Effect{Kind: WatchNode, Node: entry.name, Address: address})
			}
		}
		// The list is late: it may name a life that is over. Which life a machine is in only the machine itself says.
		entry.inventory = object
		changed = append(changed, entry)
	}
	if kind == FullList {
		for name, entry := range e.nodes {
			if !seen[name] && entry.inventory != nil {
				removed = append(removed, name)
			}
		}
		slices.Sort(removed)
	}
	for _, name := range removed {
		if entry := e.nodes[name]; entry != nil && entry.inventory != nil {
			entry.inventory = nil
			changed = append(changed, entry)
		}
	}
	list := placer.Changes
	if kind == FullList {
		list = placer.FullList
	}
	observed := make([]placer.Node, 0, len(changed))
	for _, entry := range changed {
		observed = append(observed, e.placerNode(entry))
		e.publishNode(entry)
	}
	e.inventoryListed = true
	e.post(placer.Event{Kind: placer.NodesListed, List: list, Nodes: observed})
}

// placerNode turns what is known of a machine into the placer's terms.
func (e *Engine) placerNode(node *node) placer.Node {
	observed := placer.Node{ID: node.id, NodeType: -1, State: placer.Terminated}
	previousState := node.state
	node.state = placer.Terminated
	if object := node.inventory; object != nil {
		labels := object.Labels
		observed.Zone, observed.Rack = intern(e.zones, labels[wellknown.Zone]), intern(e.racks, labels[wellknown.Rack])
		observed.NodeType = slices.Index(e.cfg.NodeTypes, labels[wellknown.Kind])
		observed.StartedAt = e.incarnationStart(node, object)
		free, _ := wellknown.ParseDict(object.Annotations[wellknown.FreeCapacity])
		observed.FreeCores, observed.FreeMemory = free["cores"], free["memory"]
		switch {
		case node.drainOrdered || object.Spec.Unschedulable:
			node.state = placer.Draining
		case wellknown.NodeReady(object) && node.address != "":
			node.state = placer.Ready
		}
	}
	observed.State = node.state
	if node.state == placer.Terminated && (previousState != placer.Terminated || !node.reportedToPlacer) {
		node.absentSince = e.now
		e.scheduleLossCheck(node)
	}
	node.reportedToPlacer = true
	return observed
}

// incarnationStart is when the life that the list names began, by this scheduler's clock. Machines have clocks of their own: one that is
// behind would make a cold machine look warm. A life that begins under our eyes began when we first saw it, or at most the
// list's delay before, which only makes it count as cold for longer.
func (e *Engine) incarnationStart(node *node, object *corev1.Node) float64 {
	incarnation, statedStart := object.Status.NodeInfo.BootID, wellknown.ParseTimestamp(object.Annotations[wellknown.Started])
	if node.listedIncarnation != incarnation || incarnation == "" || !node.reportedToPlacer {
		switch {
		case statedStart == 0:
			node.startedAt = 0
		case e.inventoryListed:
			node.startedAt = e.now
		default:
			node.startedAt = min(statedStart, e.now) // it was there before us: there is only its own word
		}
		node.listedIncarnation = incarnation
	}
	return node.startedAt
}

// scheduleLossCheck sees to the tasks of a machine that stays out of the list and is not heard of.
func (e *Engine) scheduleLossCheck(node *node) {
	e.runAfter(e.cfg.NodeLossTimeout, func() {
		if node.state != placer.Terminated || node.podsWatched || e.now-node.absentSince < e.cfg.NodeLossTimeout {
			return
		}
		for _, task := range node.sortedTasks() {
			if task.idempotency(e) != placer.NonIdempotent {
				e.runningTaskEnded(task, placer.Lost, placer.NoReason, wellknown.NodeLost, node.name+" is gone")
			}
			// A task that must not run twice may run on a machine that is merely cut off: only the machine itself, or
			// its new life, can say that it ended.
		}
		e.drainEvents()
		e.discardNode(node)
	})
}

func (n *node) sortedTasks() []*task {
	tasks := make([]*task, 0, len(n.running))
	for _, task := range n.running {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].sequence < tasks[j].sequence })
	return tasks
}

// discardNode drops a machine that has left the inventory and holds nothing.
func (e *Engine) discardNode(node *node) {
	if node.inventory != nil || len(node.running) > 0 || node.address == "" {
		return
	}
	e.emit(Effect{Kind: UnwatchNode, Node: node.name})
	node.address = ""
	node.podsWatched = false
}

const maxPastIncarnations = 16

// observeIncarnation notes the identity of a machine's life. In a new life nothing of the old one runs.
func (e *Engine) observeIncarnation(node *node, incarnation string) {
	if incarnation == "" || incarnation == node.incarnation || slices.Contains(node.pastIncarnations, incarnation) {
		return
	}
	previous := node.incarnation
	node.incarnation = incarnation
	if node.pastIncarnations = append(node.pastIncarnations, previous); len(node.pastIncarnations) > maxPastIncarnations {
		node.pastIncarnations = node.pastIncarnations[1:]
	}
	if previous == "" {
		return
	}
	for _, task := range node.sortedTasks() {
		if task.runningAttempt.acceptedIncarnation != incarnation {
			e.runningTaskEnded(task, placer.Lost, placer.NoReason, wellknown.NodeLost, node.name+" restarted")
		}
	}
	// By the machine's own list of doubts: a restart must not cost a look at every task there is.
	doubts := make([]*attempt, 0, len(node.unknownOutcomes))
	for attempt := range node.unknownOutcomes {
		doubts = append(doubts, attempt)
	}
	slices.SortFunc(doubts, func(left, right *attempt) int {
		return cmp.Or(cmp.Compare(left.task.sequence, right.task.sequence), cmp.Compare(left.number, right.number))
	})
	for _, attempt := range doubts {
		if attempt.outcomeUnknown() {
			e.resolveOutcome(attempt, true)
		}
	}
}

// publishNode stores a machine as the API shows it. Changes of its room alone are shown every few seconds.
func (e *Engine) publishNode(node *node) {
	if node.inventory == nil {
		e.store.Delete(store.Nodes, "", node.name)
		return
	}
	digest, known := fingerprint(node.inventory)
	if stored, _ := e.store.Get(store.Nodes, "", node.name).(*corev1.Node); known && stored != nil && digest == node.publishedFingerprint && !node.publishPending &&
		(e.now-node.publishedAt < 5 || stored.Annotations[wellknown.FreeCapacity] == node.inventory.Annotations[wellknown.FreeCapacity]) {
		return // most news are of room alone, and come often
	}
	node.publishedFingerprint, node.publishPending = digest, false
	published := node.inventory.DeepCopy()
	if node.hasCustomLabels {
		published.Labels = maps.Clone(node.customLabels)
		for _, key := range []string{wellknown.Zone, wellknown.Rack, wellknown.Kind} {
			if v, ok := node.inventory.Labels[key]; ok {
				published.Labels[key] = v
			}
		}
	}
	published.Spec.Unschedulable = published.Spec.Unschedulable || node.drainOrdered
	var since *corev1.Taint
	for i := range published.Spec.Taints {
		if published.Spec.Taints[i].Key == corev1.TaintNodeUnschedulable {
			since = &published.Spec.Taints[i]
		}
	}
	if published.Spec.Unschedulable && since == nil {
		published.Spec.Taints = append(published.Spec.Taints, corev1.Taint{Key: corev1.TaintNodeUnschedulable, Effect: corev1.TaintEffectNoSchedule})
	}
	if stored := e.store.Get(store.Nodes, "", node.name); stored != nil {
		storedNode := stored.(*corev1.Node)
		published.ResourceVersion = storedNode.ResourceVersion
		if equality.Semantic.DeepEqual(storedNode, published) {
			return
		}
		if e.now-node.publishedAt < 5 {
			free := published.Annotations[wellknown.FreeCapacity]
			if published.Annotations != nil {
				published.Annotations[wellknown.FreeCapacity] = storedNode.Annotations[wellknown.FreeCapacity]
			}
			if equality.Semantic.DeepEqual(storedNode, published) {
				return
			}
			published.Annotations[wellknown.FreeCapacity] = free
		}
	}
	node.publishedAt = e.now
	e.store.Put(store.Nodes, published)
}

// fingerprint is a number of all that the inventory says of a machine but its room and revision, and whether it could be made.
func fingerprint(object *corev1.Node) (uint64, bool) {
	stripped := *object
	stripped.ResourceVersion = ""
	if _, ok := stripped.Annotations[wellknown.FreeCapacity]; ok {
		stripped.Annotations = maps.Clone(stripped.Annotations)
		delete(stripped.Annotations, wellknown.FreeCapacity)
	}
	encoded, err := stripped.Marshal()
	return xxhash.Sum64(encoded), err == nil
}

// UpdateNode takes the drain order and labels of a Node from the API; the drain counts as told at once.
// The argument order is the drain order, nil if the call gives none: a machine that the inventory drains shows as unschedulable without one.
func (e *Engine) UpdateNode(now float64, update *corev1.Node, order *bool, dry bool) (*corev1.Node, error) {
	e.beginCall(now)
	defer e.endCall()
	node := e.nodes[update.Name]
	current, _ := e.store.Get(store.Nodes, "", update.Name).(*corev1.Node)
	if node == nil || current == nil {
		return nil, ErrNotFound
	}
	if update.ResourceVersion != "" && update.ResourceVersion != current.ResourceVersion || update.UID != "" && update.UID != current.UID {
		return nil, ErrConflict
	}
	for _, key := range []string{wellknown.Zone, wellknown.Rack, wellknown.Kind} {
		if update.Labels[key] != current.Labels[key] {
			return nil, &InvalidError{"metadata.labels[" + key + "]", "the inventory says where a machine stands; it cannot be changed here", update.Labels[key]}
		}
	}
	if dry {
		next := current.DeepCopy()
		next.Labels = update.Labels
		if order != nil {
			next.Spec.Unschedulable = *order || node.inventory != nil && node.inventory.Spec.Unschedulable
		}
		return next, nil
	}
	if !maps.Equal(update.Labels, current.Labels) {
		node.customLabels, node.hasCustomLabels, node.publishPending = maps.Clone(update.Labels), true, true
	}
	if order != nil && *order != node.drainOrdered {
		node.drainOrdered, node.publishPending = *order, true
		e.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes, Nodes: []placer.Node{e.placerNode(node)}})
		e.drainEvents()
	}
	e.publishNode(node)
	return e.store.Get(store.Nodes, "", update.Name).(*corev1.Node), nil
}

// NodePods takes the whole list of own Pods at a machine, with the machine's revision and the identity of its life.
func (e *Engine) NodePods(now float64, name, incarnation string, revision int64, pods []*corev1.Pod) {
	e.beginCall(now)
	defer e.endCall()
	node := e.nodes[name]
	if node == nil {
		return
	}
	node.podsWatched = true
	e.observeIncarnation(node, incarnation)
	seen := map[types.UID]bool{}
	for _, pod := range pods {
		seen[pod.UID] = true
		e.observePod(node, pod, false)
	}
	for _, task := range node.sortedTasks() {
		// One accepted after the list was made is not in it.
		if !seen[task.uid] && task.runningAttempt.revision <= revision {
			e.runningTaskMissing(task, node)
		}
	}
}

// runningTaskMissing ends a task that its machine does not show any more.
func (e *Engine) runningTaskMissing(task *task, node *node) {
	if task.stopReason != "" {
		e.runningTaskEnded(task, placer.Cancelled, placer.NoReason, task.stopReason, "")
		return
	}
	e.runningTaskEnded(task, placer.Lost, placer.NoReason, wellknown.NodeLost, node.name+" does not hold it any more")
}

// NodePod takes a change of one own Pod at a machine.
func (e *Engine) NodePod(now float64, name string, pod *corev1.Pod, deleted bool) {
	e.beginCall(now)
	defer e.endCall()
	if node := e.nodes[name]; node != nil {
		e.observePod(node, pod, deleted)
	}
}

// NodeUnresponsive says that a machine's Pods can no longer be watched.
func (e *Engine) NodeUnresponsive(now float64, name string) {
	e.beginCall(now)
	defer e.endCall()
	if node := e.nodes[name]; node != nil && node.podsWatched {
		node.podsWatched = false
		if node.state == placer.Terminated {
			node.absentSince = e.now
			e.scheduleLossCheck(node)
		}
	}
}

func podRevision(pod *corev1.Pod) int64 {
	v, _ := strconv.ParseInt(pod.ResourceVersion, 10, 64)
	return v
}

// observePod brings a task in line with what a machine shows of it.
func (e *Engine) observePod(node *node, pod *corev1.Pod, deleted bool) {
	task := e.tasks[pod.UID]
	over := deleted || wellknown.Finished(pod)
	if task == nil {
		if !over && pod.Labels[wellknown.Scheduler] == e.cfg.Name {
			e.adoptPod(node, pod)
		}
		return
	}
	if attempt := task.inFlight; attempt != nil && attempt.node == node {
		// Its answer is on the way, or is about to be lost: what the watch says meanwhile counts once that is known.
		attempt.acceptedIncarnation, attempt.revision, attempt.lastPod, attempt.lastPodDeleted = node.incarnation, podRevision(pod), pod, deleted
		return
	}
	if running := task.runningAttempt; running != nil && running.node == node {
		e.observeRunning(task, pod, deleted)
		return
	}
	for _, attempt := range task.unknownOutcomes {
		if attempt.node != node {
			continue
		}
		e.observeUnknownOutcome(attempt, node.incarnation, pod, deleted)
		return
	}
	if !over {
		e.stopStrayCopy(node, task.uid, task.namespace, task.name, task.attemptCount)
	}
}

// observeUnknownOutcome takes what a machine shows of an attempt in doubt.
func (e *Engine) observeUnknownOutcome(attempt *attempt, incarnation string, pod *corev1.Pod, deleted bool) {
	if deleted || wellknown.Finished(pod) {
		e.resolveOutcome(attempt, pod.Status.Reason != wellknown.NeverStarted)
		return
	}
	task := attempt.task
	e.attemptFoundRunning(attempt, incarnation, podRevision(pod))
	if task.runningAttempt != nil && task.runningAttempt.node == attempt.node {
		e.observeRunning(task, pod, false)
	}
}

// observeRunning takes news of a held task.
func (e *Engine) observeRunning(task *task, pod *corev1.Pod, deleted bool) {
	switch {
	case pod.Status.Phase == corev1.PodSucceeded:
		e.taskStarted(task)
		e.runningTaskEnded(task, placer.Finished, placer.NoReason, "", "")
	case pod.Status.Phase == corev1.PodFailed:
		e.runningTaskFailed(task, pod)
	case deleted:
		e.runningTaskMissing(task, task.runningAttempt.node)
	default:
		if pod.Status.Phase == corev1.PodRunning {
			e.taskStarted(task)
		}
		used, _ := wellknown.ParseDict(pod.Annotations[wellknown.Usage])
		for _, usage := range []struct {
			name string
			kind placer.UsageKind
		}{{"cores", placer.CoresUsed}, {"memory", placer.MemoryUsed}} {
			if value, ok := used[usage.name]; ok && task.runningAttempt != nil {
				e.post(placer.Event{Kind: placer.UsageReported, TaskID: task.runningAttempt.request.id, Attempt: task.runningAttempt.requestSequence, Node: task.runningAttempt.node.id,
					Usage: usage.kind, Value: value})
			}
		}
	}
}

// runningTaskFailed ends a held task for the reason that its machine states.
func (e *Engine) runningTaskFailed(task *task, pod *corev1.Pod) {
	result, reason := placer.Lost, placer.NoReason
	switch pod.Status.Reason {
	case wellknown.Evicted:
		reason = placer.Evicted
	case wellknown.Preempted:
		reason = placer.Preempted
	case wellknown.Drained:
		reason = placer.Drained
	case wellknown.Stopped, wellknown.NeverStarted:
		result = placer.Cancelled
		if task.stopReason != "" {
			e.runningTaskEnded(task, result, reason, task.stopReason, pod.Status.Message)
			return
		}
	case "Error":
		result = placer.Finished
	}
	e.runningTaskEnded(task, result, reason, pod.Status.Reason, pod.Status.Message)
}

// adoptPod adopts a task that an earlier life of this scheduler placed. Its Job is rebuilt from what the machine kept.
func (e *Engine) adoptPod(node *node, pod *corev1.Pod) {
	class, invalid := e.classFromLabels(pod.Labels)
	tenant, _ := e.tenantOf(pod.Namespace)
	if invalid != nil || e.store.Get(store.Pods, pod.Namespace, pod.Name) != nil {
		e.stopStrayCopy(node, pod.UID, pod.Namespace, pod.Name, 1<<30)
		return
	}
	e.Stats.Recovered++
	task := &task{uid: pod.UID, namespace: pod.Namespace, name: pod.Name, class: class, tenant: tenant, phase: phaseRunning, everMayHaveRun: true,
		requestsSubmitted: 1, settled: true, deadline: e.now}
	task.cores, task.memory = wellknown.Requests(&pod.Spec)
	service := pod.Labels[wellknown.Service]
	if service == "" {
		service = pod.Labels[wellknown.JobName]
	}
	task.service = serviceID(pod.Namespace, service)
	task.sequence = int(e.Stats.PodsCreated)
	e.Stats.PodsCreated++
	e.tasks[task.uid] = task

	adopted := pod.DeepCopy()
	adopted.Labels[wellknown.Scheduler] = e.cfg.Name
	delete(adopted.Annotations, wellknown.JobManifest)
	delete(adopted.Annotations, wellknown.Usage)
	adopted.Spec.NodeName = node.name
	now := wellknown.APITime(e.now)
	phase := adopted.Status.Phase
	adopted.Status = corev1.PodStatus{Phase: corev1.PodPending}
	for _, condition := range []corev1.PodCondition{{Type: wellknown.Settled, Reason: wellknown.Placed, Message: "found running on " + node.name +
		" after the scheduler's restart"}, {Type: corev1.PodScheduled}} {
		condition.Status, condition.LastTransitionTime = corev1.ConditionTrue, now
		adopted.Status.Conditions = setCondition(adopted.Status.Conditions, condition)
	}
	e.adoptJob(task, pod)
	e.store.Put(store.Pods, adopted)
	if task.job != nil {
		task.job.pods[task.name] = struct{}{}
	}
	number, _ := strconv.Atoi(pod.Annotations[wellknown.AttemptAnnotation])
	e.adoptTask(task, node, max(number, 1), node.incarnation, podRevision(pod))
	if phase == corev1.PodRunning {
		e.taskStarted(task)
	}
	if task.job != nil && task.job.deleted {
		e.deleteTaskPod(task, "Deleted")
	}
}

// adoptJob joins a task that was taken over to its Job, which it rebuilds if it is not there.
func (e *Engine) adoptJob(task *task, pod *corev1.Pod) {
	var object batchv1.Job
	if json.Unmarshal([]byte(pod.Annotations[wellknown.JobManifest]), &object) != nil || object.Name == "" || object.Namespace != pod.Namespace {
		return
	}
	index, err := strconv.Atoi(pod.Labels[wellknown.Index])
	job := e.jobs[jobKey(&object)]
	if job == nil {
		object.Generation = 1
		job, _ = e.newJob(&object)
		if job == nil {
			return
		}
		job.adopted = true
		job.nextIndex = len(job.indexes) // nothing of it is begun before the machines have been heard
		e.jobs[job.key] = job
		e.store.Put(store.Jobs, &object)
		e.runAfter(e.cfg.NodeLossTimeout, func() { e.finishJobAdoption(job) })
	}
	if job.uid != object.UID || err != nil || index < 0 || index >= len(job.indexes) || job.indexes[index].task != nil {
		return
	}
	state := &job.indexes[index]
	if state.done {
		state.done = false
		job.exhausted--
	}
	if !state.settled {
		state.settled = true
		job.settled[wellknown.Placed]++
	}
	state.task, state.started = task, true
	task.job, task.index, task.retryBudget = job, index, state.retryBudget
	job.active++
	e.markJobDirty(job)
}

// finishJobAdoption decides on the indexes of a rebuilt Job that no machine showed: they may have ended, or never begun. What may
// run twice is asked for again; the rest is not.
func (e *Engine) finishJobAdoption(job *job) {
	if job.deleted || e.jobs[job.key] != job {
		return
	}
	for i := range job.indexes {
		state := &job.indexes[i]
		if state.started {
			continue
		}
		if e.cfg.Placer.Classes[job.class].Idempotency == placer.Idempotent {
			job.nextIndex = min(job.nextIndex, i)
			continue
		}
		state.started, state.done = true, true
		job.exhausted++
		job.failed++
		if !state.settled {
			state.settled = true
			job.settled[wellknown.Failed]++
			job.mayHaveRun = true
		}
	}
	e.enqueueJob(job)
	e.markJobDirty(job)
	e.finishJobIfDone(job)
}

// NodeCounts says how many machines the inventory lists as ready, and of how many the Pods are known.
func (e *Engine) NodeCounts() (listed, watched int) {
	for _, node := range e.nodes {
		if node.state != placer.Terminated {
			listed++
			if node.podsWatched {
				watched++
			}
		}
	}
	return listed, watched
}
