package engine_test

import (
	"fmt"
	"slices"
	"strconv"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// fakeNode is an emulated node. It gives random answers to attempts and stop orders, and runs the Pods that
// it has accepted.
type fakeNode struct {
	name        string
	incarnation int
	revision    int64
	ready       bool
	removed     bool
	draining    bool
	pods        []*corev1.Pod     // Pods that the node has accepted, in the order of acceptance
	fencedUpTo  map[types.UID]int // for the UID of each Pod, the highest attempt number that the node rejects
}

func (n *fakeNode) incarnationID() string { return fmt.Sprintf("%s-life-%d", n.name, n.incarnation) }

// podIndex returns the index of a Pod in the list of accepted Pods, or -1 if the node does not have the
// Pod.
func (n *fakeNode) podIndex(uid types.UID) int {
	return slices.IndexFunc(n.pods, func(pod *corev1.Pod) bool { return pod.UID == uid })
}

// answerAttempt makes a node accept, reject or ignore an attempt at random, and schedules the answer of
// the node. The answer may be lost or late.
func (s *script) answerAttempt(effect engine.Effect) {
	node := s.nodeByName(effect.Node)
	answer := engine.AttemptAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node, Incarnation: node.incarnationID()}
	delay := s.randomDelay(0.005, 0.05)
	accept := node.ready && !node.removed && effect.Attempt > node.fencedUpTo[effect.UID]
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
		return // The node never answers.
	case draw < 38: // The node accepts the task, but the answer of the node is lost.
		s.accept(node, effect)
		answer.Result, answer.Incarnation = placer.Lost, ""
	case draw < 46: // The node accepts the task, but the answer of the node arrives too late.
		answer.Accepted, answer.Revision, delay = true, s.accept(node, effect), s.randomDelay(3, 8)
	default:
		answer.Accepted, answer.Revision = true, s.accept(node, effect)
		if draw > 90 {
			answer.Pod = node.pods[node.podIndex(effect.UID)]
		}
	}
	s.schedule(delay, func() { s.engine.AttemptDone(s.now, answer) })
}

// accept makes a node accept a Pod, and schedules the start and the end of the Pod's task. It returns the
// revision of the Pod at the node.
func (s *script) accept(node *fakeNode, effect engine.Effect) int64 {
	node.revision++
	pod := effect.Pod.DeepCopy()
	pod.Annotations[wellknown.AttemptAnnotation] = strconv.Itoa(effect.Attempt)
	pod.ResourceVersion = strconv.FormatInt(node.revision, 10)
	pod.Status.Phase = corev1.PodPending
	if i := node.podIndex(pod.UID); i >= 0 {
		node.pods[i] = pod
		return node.revision
	}
	node.pods = append(node.pods, pod)
	s.scheduleTaskRun(node, pod.UID)
	return node.revision
}

// scheduleTaskRun schedules the changes of the Pod that a node reports while the Pod's task runs: the task
// starts, the task ends, and sometimes the Pod is deleted early.
func (s *script) scheduleTaskRun(node *fakeNode, uid types.UID) {
	incarnation := node.incarnation
	reasons := []string{
		"", "", "", "", wellknown.Evicted, wellknown.Preempted, wellknown.Drained, "Error", wellknown.NeverStarted, wellknown.Stopped,
	}
	reason := reasons[s.rng.IntN(len(reasons))]
	vanishes := s.rng.IntN(12) == 0
	startDelay := s.randomDelay(0.02, 0.3)
	endDelay := startDelay + 1 + placer.Seconds(15*s.rng.Float64())
	s.schedulePodChange(startDelay, node, incarnation, uid, func(pod *corev1.Pod) {
		pod.Status.Phase = corev1.PodRunning
		pod.Annotations[wellknown.Usage] = wellknown.FormatCapacity(0.5, 1.25)
	}, false)
	s.schedulePodChange(endDelay, node, incarnation, uid, func(pod *corev1.Pod) {
		pod.Status.Phase = corev1.PodSucceeded
		if reason != "" {
			pod.Status.Phase, pod.Status.Reason, pod.Status.Message = corev1.PodFailed, reason, "stated by the node"
		}
	}, false)
	if vanishes {
		s.schedulePodChange(startDelay+0.5, node, incarnation, uid, func(*corev1.Pod) {}, true)
	}
}

// schedulePodChange schedules a change of a Pod at a node. The node reports the change to the engine that
// is present at that time.
func (s *script) schedulePodChange(delay placer.Seconds, node *fakeNode, incarnation int, uid types.UID, change func(*corev1.Pod), remove bool) {
	s.schedule(delay, func() {
		i := node.podIndex(uid)
		if node.incarnation != incarnation || i < 0 {
			return
		}
		node.revision++
		pod := node.pods[i].DeepCopy()
		change(pod)
		pod.ResourceVersion = strconv.FormatInt(node.revision, 10)
		node.pods[i] = pod
		if remove || wellknown.PodFinished(pod) {
			node.pods = slices.Delete(node.pods, i, i+1)
		}
		s.engine.PodChanged(s.now, node.name, pod, remove)
	})
	s.delayedCalls[len(s.delayedCalls)-1].incarnation = 0 // A restart of the scheduler does not cancel the call.
}

// answerStop makes a node carry out or ignore a stop order at random, and schedules the answer of the
// node.
func (s *script) answerStop(effect engine.Effect) {
	node := s.nodeByName(effect.Node)
	answer := engine.StopAnswer{UID: effect.UID, Node: effect.Node, Attempt: effect.Attempt}
	if node.ready && !node.removed && s.rng.IntN(10) > 1 {
		answer.Answered, answer.Incarnation = true, node.incarnationID()
		node.fencedUpTo[effect.UID] = max(node.fencedUpTo[effect.UID], effect.Attempt)
		if i := node.podIndex(effect.UID); i >= 0 {
			answer.HadTask, answer.MayHaveRun = true, node.pods[i].Status.Phase == corev1.PodRunning
			node.pods = slices.Delete(node.pods, i, i+1)
		}
	}
	s.schedule(s.randomDelay(0.005, 0.2), func() { s.engine.StopDone(s.now, answer) })
}

// reportPodList reports the complete list of a node's Pods to the engine.
func (s *script) reportPodList(node *fakeNode) {
	if node.ready && !node.removed {
		s.engine.PodsListed(s.now, node.name, node.incarnationID(), node.revision, slices.Clone(node.pods))
	}
}

// nodeObject returns the Node object of an emulated node, as the emulated inventory lists it.
func (s *script) nodeObject(node *fakeNode) *corev1.Node {
	nodeIndex := slices.Index(s.nodes, node)
	object := &corev1.Node{}
	object.Name, object.UID = node.name, types.UID("uid-"+node.name)
	object.Labels = map[string]string{wellknown.NodeType: []string{"standard", "large"}[nodeIndex%2], wellknown.Zone: "zone-" + string(rune('a'+nodeIndex%3)),
		wellknown.Rack: fmt.Sprintf("rack-%d", nodeIndex%4)}
	object.Annotations = map[string]string{wellknown.FreeCapacity: wellknown.FormatCapacity(max(32-float64(len(node.pods)), 1), 60.5)}
	if node.incarnation > 1 {
		object.Annotations[wellknown.StartedAt] = wellknown.FormatTimestamp(s.now - 1)
	}
	object.Spec.Unschedulable = node.draining
	object.Status.NodeInfo.BootID = node.incarnationID()
	status := corev1.ConditionTrue
	if !node.ready {
		status = corev1.ConditionUnknown
	}
	object.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: status}}
	object.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: fmt.Sprintf("127.0.0.%d", nodeIndex+node.incarnation)}}
	object.Status.DaemonEndpoints.KubeletEndpoint.Port = 10250
	return object
}

// sendFullList reports all nodes of the inventory to the engine.
func (s *script) sendFullList() {
	var listedNodes []*corev1.Node
	for _, node := range s.nodes {
		if !node.removed {
			listedNodes = append(listedNodes, s.nodeObject(node))
		}
	}
	s.engine.NodesListed(s.now, engine.FullList, listedNodes, nil)
}

// sendNodeChange reports to the engine that the entry of a node in the inventory has changed.
func (s *script) sendNodeChange(node *fakeNode) {
	if node.removed {
		s.engine.NodesListed(s.now, engine.Changes, nil, []string{node.name})
		return
	}
	s.engine.NodesListed(s.now, engine.Changes, []*corev1.Node{s.nodeObject(node)}, nil)
}

// injectNodeFault restarts, disconnects, removes, drains or restores a random node, or sends the engine an
// unusual report of the inventory or of a node.
func (s *script) injectNodeFault() {
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(12) {
	case 0, 1:
		node.incarnation, node.pods, node.fencedUpTo = node.incarnation+1, nil, map[types.UID]int{}
		s.schedule(0.3, func() { s.reportPodList(node) })
		s.sendNodeChange(node)
	case 2:
		node.ready = false
		s.schedule(0.5, func() { s.engine.NodeUnresponsive(s.now, node.name) })
		s.sendNodeChange(node)
	case 3:
		node.removed = true
		s.engine.NodeUnresponsive(s.now, node.name)
		s.recordState()
		s.sendNodeChange(node)
	case 4:
		node.draining = !node.draining
		s.sendNodeChange(node)
	case 5:
		s.engine.NodesListed(s.now, engine.ListUnavailable, nil, nil)
	case 6:
		s.sendFullList()
	case 7, 8:
		s.reportPodList(node)
	case 9:
		s.engine.PodChanged(s.now, "missing", &corev1.Pod{}, true)
	default:
		node.ready, node.removed, node.draining = true, false, false
		s.schedule(0.1, func() { s.reportPodList(node) })
		s.sendNodeChange(node)
	}
}
