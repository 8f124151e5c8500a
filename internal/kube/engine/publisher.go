package engine

import (
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
)

// publisher owns the store and writes the Jobs, Pods, Nodes and Namespaces of the API into it. No other
// component of the engine writes to the store.
type publisher struct {
	*environment
	store *store.Store
}

func (p *publisher) putJob(object *batchv1.Job) { p.store.Put(store.Jobs, object) }

func (p *publisher) deleteJob(object *batchv1.Job) {
	p.store.Delete(store.Jobs, object.Namespace, object.Name)
}

// storedJob returns the stored Job with the given name. The Job must exist.
func (p *publisher) storedJob(namespace, name string) *batchv1.Job {
	return p.store.Get(store.Jobs, namespace, name).(*batchv1.Job)
}

// storedNode returns the stored Node with the given name, or nil if there is none.
func (p *publisher) storedNode(name string) *corev1.Node {
	storedNode, _ := p.store.Get(store.Nodes, "", name).(*corev1.Node)
	return storedNode
}

func (p *publisher) putPod(pod *corev1.Pod) { p.store.Put(store.Pods, pod) }

func (p *publisher) deletePod(namespace, name string) { p.store.Delete(store.Pods, namespace, name) }

// storedPod returns the stored Pod with the given name, or nil if there is none.
func (p *publisher) storedPod(namespace, name string) *corev1.Pod {
	storedPod, _ := p.store.Get(store.Pods, namespace, name).(*corev1.Pod)
	return storedPod
}

// podOfTask returns the stored Pod of a task, or nil if the Pod was removed.
func (p *publisher) podOfTask(task *task) *corev1.Pod {
	object := p.store.Get(store.Pods, task.namespace, task.name)
	if object == nil || object.GetUID() != task.uid {
		return nil
	}
	return object.(*corev1.Pod)
}

// updatePod stores a modified copy of a task's Pod. The function mutate modifies the copy. updatePod does
// nothing if the Pod is not stored. In the Spec, mutate may change only the name of the node, because the
// old Pod and the copy share the rest of the Spec.
func (p *publisher) updatePod(task *task, mutate func(pod *corev1.Pod)) {
	storedPod := p.podOfTask(task)
	if storedPod == nil {
		return
	}
	updatedPod := *storedPod
	storedPod.ObjectMeta.DeepCopyInto(&updatedPod.ObjectMeta)
	storedPod.Status.DeepCopyInto(&updatedPod.Status)
	mutate(&updatedPod)
	p.putPod(&updatedPod)
}

// addNamespaces stores a Namespace for the default namespace and for each tenant.
func (p *publisher) addNamespaces() {
	for _, name := range append([]string{defaultNamespace}, p.cfg.Tenants...) {
		if p.store.Get(store.Namespaces, "", name) != nil {
			continue
		}
		namespace := &corev1.Namespace{}
		namespace.Name = name
		namespace.UID = p.newUID()
		namespace.Labels = map[string]string{corev1.LabelMetadataName: name}
		namespace.Status.Phase = corev1.NamespaceActive
		p.store.Put(store.Namespaces, namespace)
	}
}

func (p *publisher) podCount() int { return p.store.Len(store.Pods) }

// objectCost returns the cost of all stored objects in bytes, as estimated by store.Cost.
func (p *publisher) objectCost() int64 { return p.store.ObjectCost() }

// publishPlaced records in the stored Pod of a task that a node has accepted the task.
func (p *publisher) publishPlaced(task *task, message string) {
	nodeName := task.attempts.runningAttempt.node.name
	p.updatePod(task, func(pod *corev1.Pod) { setPodPlaced(pod, p.apiNow(), nodeName, message) })
}

// publishUnplaced records in the stored Pod of a task that the task has ended and was not placed.
func (p *publisher) publishUnplaced(task *task, outcome taskOutcome, message string) {
	p.updatePod(task, func(pod *corev1.Pod) { setPodUnplaced(pod, p.apiNow(), outcome, message) })
}

// publishNodeName records in the stored Pod of a task the name of the node that runs the task. It does not
// change the final outcome that the Pod already states.
func (p *publisher) publishNodeName(task *task, nodeName string) {
	p.updatePod(task, func(pod *corev1.Pod) { pod.Spec.NodeName = nodeName })
}

// publishStarted records in the stored Pod of a task that the containers of the Pod are running.
func (p *publisher) publishStarted(task *task) {
	p.updatePod(task, func(pod *corev1.Pod) { setPodStarted(pod, p.apiNow()) })
}

// publishEnded records in the stored Pod of a task how the task has ended.
func (p *publisher) publishEnded(task *task, end *taskEnd) {
	p.updatePod(task, func(pod *corev1.Pod) { setPodEnded(pod, p.apiNow(), end) })
}

// publishDeleted records in the stored Pod of a task that the Pod is being deleted.
func (p *publisher) publishDeleted(task *task) {
	p.updatePod(task, func(pod *corev1.Pod) { setPodDeleted(pod, p.apiNow()) })
}
