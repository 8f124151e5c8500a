package simulation

import (
	"errors"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/scenario"
	"heathshed/placer"
)

// How the simulated client retries the submission of a job.
const (
	maxSubmitRetries = 100

	downRetryDelay placer.Seconds = 0.5 // while the scheduler is down or not ready
	fullRetryDelay placer.Seconds = 1   // while the scheduler has too many Pods
)

// perform performs an action of a plan.
func (w *World) perform(action *scenario.Action) {
	switch action.Kind {
	case scenario.SubmitJob:
		w.submit(action.Job, 0)
	case scenario.DeleteJob:
		w.deleteJob(action.Job)
	case scenario.InjectNodeFault:
		w.nodesByName[action.Node].injectFault(action.NodeFault)
	case scenario.CutInventory:
		w.inventory.cut(action.Outage)
	case scenario.KillScheduler:
		w.schedulers[action.Scheduler].restart(action.Downtime)
	case scenario.DrainNode, scenario.UndrainNode:
		w.setUnschedulable(action.Node, action.Kind == scenario.DrainNode)
	}
}

// submit creates a Job. The client retries while the scheduler is down, not ready or has too many Pods.
func (w *World) submit(job *scenario.Job, retries int) {
	retryAfter := func(delay placer.Seconds) {
		if retries < maxSubmitRetries {
			w.after(delay, func() { w.submit(job, retries+1) })
		}
	}
	s := w.schedulers[job.Scheduler]
	if s.engine == nil || !s.ready() {
		retryAfter(downRetryDelay)
		return
	}
	_, err := s.engine.CreateJob(w.now, NewJob(job), false)
	if errors.Is(err, engine.ErrTooMany) {
		retryAfter(fullRetryDelay)
	}
	s.process()
}

// deleteJob deletes a Job if its scheduler runs.
func (w *World) deleteJob(job *scenario.Job) {
	s := w.schedulers[job.Scheduler]
	if s.engine == nil {
		return
	}
	// The error means that the Job has finished and was removed.
	_, _ = s.engine.DeleteJob(w.now, job.Namespace, job.Name, "", "", "")
	s.process()
}

// setUnschedulable marks a node as unschedulable or schedulable at every scheduler.
func (w *World) setUnschedulable(name string, unschedulable bool) {
	kind := audit.DrainCancelled
	if unschedulable {
		kind = audit.DrainOrdered
	}
	for _, s := range w.schedulers {
		if s.engine == nil {
			continue
		}
		object, ok := s.engine.Store().Get(store.Nodes, "", name).(*corev1.Node)
		if !ok {
			continue
		}
		requested := unschedulable
		if _, err := s.engine.UpdateNode(w.now, object.DeepCopy(), &requested, false); err == nil {
			w.record(audit.Event{Kind: kind, Scheduler: s.cfg.Name, Node: name})
		}
		s.process()
	}
}

// NewJob returns a planned job as an object of the API.
func NewJob(planned *scenario.Job) *batchv1.Job {
	tasks, backoffLimit := int32(planned.Tasks), int32(planned.BackoffLimit)
	job := &batchv1.Job{}
	job.Name = planned.Name
	job.Namespace = planned.Namespace
	job.Spec.Parallelism = &tasks
	job.Spec.Completions = &tasks
	job.Spec.BackoffLimit = &backoffLimit
	template := &job.Spec.Template
	template.Labels = map[string]string{wellknown.Class: planned.Class, wellknown.Service: planned.Service}
	template.Annotations = map[string]string{wellknown.Lifetime: strconv.FormatFloat(float64(planned.Lifetime), 'f', 3, 64)}
	template.Spec.RestartPolicy = corev1.RestartPolicyNever
	requests := corev1.ResourceList{
		corev1.ResourceCPU:    *resource.NewMilliQuantity(int64(planned.Cores*1000), resource.DecimalSI),
		corev1.ResourceMemory: *resource.NewQuantity(int64(planned.Memory*wellknown.Gibibyte), resource.BinarySI),
	}
	template.Spec.Containers = []corev1.Container{{
		Name:      "main",
		Image:     "stand-in",
		Resources: corev1.ResourceRequirements{Requests: requests},
	}}
	return job
}
