package engine_test

import (
	"fmt"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
)

// pointerTo returns a pointer to a copy of a value.
func pointerTo[T any](value T) *T { return &value }

// randomJob returns a random Job. The Job is sometimes invalid.
func (s *script) randomJob() *batchv1.Job {
	job := &batchv1.Job{}
	job.Namespace = []string{"default", "first", "second"}[s.rng.IntN(3)]
	job.Name = fmt.Sprintf("job-%03d", len(s.jobs))
	tasks := int32(s.rng.IntN(7))
	job.Spec.Completions, job.Spec.Parallelism = &tasks, pointerTo(tasks)
	job.Spec.BackoffLimit = pointerTo(int32(s.rng.IntN(4)))
	job.Spec.Template.Labels = map[string]string{wellknown.Service: fmt.Sprintf("service-%d", s.rng.IntN(8))}
	class := []string{"web", "batch", "once", "keyed", "spread", ""}[s.rng.IntN(6)]
	if class != "" {
		job.Spec.Template.Labels[wellknown.Class] = class
	}
	job.Spec.Template.Annotations = map[string]string{wellknown.Lifetime: "5"}
	job.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	job.Spec.Template.Spec.Containers = []corev1.Container{{Name: "main", Image: "image", Resources: corev1.ResourceRequirements{
		Requests: corev1.ResourceList{corev1.ResourceCPU: *resource.NewMilliQuantity(int64(500+250*s.rng.IntN(6)), resource.DecimalSI),
			corev1.ResourceMemory: *resource.NewQuantity(int64(1+s.rng.IntN(4))<<30, resource.BinarySI)}}}}
	s.varyJob(job)
	return job
}

// varyJob gives some of the Jobs a rare or invalid setting, at random.
func (s *script) varyJob(job *batchv1.Job) {
	switch s.rng.IntN(24) {
	case 0:
		job.Name, job.GenerateName = "", "generated-"
	case 1:
		job.Spec.Suspend = pointerTo(true)
	case 2:
		job.Spec.ActiveDeadlineSeconds = pointerTo(int64(4))
	case 3:
		job.Spec.TTLSecondsAfterFinished = pointerTo(int32(3))
	case 4:
		job.Spec.Parallelism = pointerTo(int32(1))
	case 5:
		job.Namespace = "unknown"
	case 6:
		job.Spec.Template.Labels[wellknown.Class] = "unknown"
	case 7:
		job.Spec.Completions = pointerTo(int32(1 << 30))
	case 8:
		job.Spec.Completions, job.Spec.Parallelism, job.Spec.BackoffLimit = nil, nil, nil
	case 9:
		job.Spec.Template.Labels, job.Spec.Template.Annotations = nil, nil
	case 10:
		job.Labels, job.Annotations = map[string]string{"team": "a"}, map[string]string{"note": "b"}
	}
}

// createJob creates a random Job.
func (s *script) createJob(dryRun bool) {
	job := s.randomJob()
	createdJob, err := s.engine.CreateJob(s.now, job, dryRun)
	s.recordResult(createdJob, err)
	if err == nil && !dryRun {
		s.jobs = append(s.jobs, createdJob.Namespace+"/"+createdJob.Name)
	}
}

// randomObject returns a random object of a table, or nil if the table is empty.
func (s *script) randomObject(table store.Resource) store.Object {
	snapshot := s.engine.Store().Snapshot(table)
	if snapshot.Len() == 0 {
		return nil
	}
	skipCount := s.rng.IntN(snapshot.Len())
	var picked store.Object
	snapshot.Scan("", "", func(_ string, change *store.Change) bool {
		picked = change.Object
		skipCount--
		return skipCount >= 0
	})
	return picked
}

// updateJob updates a random Job in a random way. The update is sometimes invalid.
func (s *script) updateJob() {
	object := s.randomObject(store.Jobs)
	if object == nil {
		return
	}
	update := object.DeepCopyObject().(*batchv1.Job)
	dryRun := s.rng.IntN(8) == 0
	switch s.rng.IntN(14) {
	case 0, 1, 2:
		update.Spec.Suspend = pointerTo(true)
	case 3, 4, 5, 6:
		update.Spec.Suspend = nil
	case 7:
		update.Spec.Parallelism = pointerTo(int32(s.rng.IntN(5)))
	case 8:
		update.Labels = map[string]string{"changed": strconv.Itoa(s.rng.IntN(5))}
	case 9:
		update.ResourceVersion = "1"
	case 10:
		update.Spec.Template.Spec.Containers[0].Image = "other"
	case 11:
		update.Spec.Completions = pointerTo(int32(77))
	case 12:
		update.Spec.Parallelism = pointerTo(int32(-1))
	case 13:
		update.Name += "-missing"
	}
	s.recordResult(s.engine.UpdateJob(s.now, update, dryRun))
}

// deleteJob deletes a random Job with a random propagation policy. The name, the UID or the resource
// version that it passes to the engine is sometimes wrong.
func (s *script) deleteJob() {
	object := s.randomObject(store.Jobs)
	if object == nil {
		return
	}
	propagation := []metav1.DeletionPropagation{"", metav1.DeletePropagationBackground, metav1.DeletePropagationForeground,
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
	s.recordResult(s.engine.DeleteJob(s.now, object.GetNamespace(), name, uid, revision, propagation))
}

// stopPod evicts or deletes a random Pod. The name or the UID that it passes to the engine is sometimes
// wrong.
func (s *script) stopPod(evict bool) {
	object := s.randomObject(store.Pods)
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
		s.recordResult(nil, s.engine.EvictPod(s.now, object.GetNamespace(), name, uid, false))
		return
	}
	s.recordResult(s.engine.DeletePod(s.now, object.GetNamespace(), name, uid, ""))
}

// updateNode updates a random Node in a random way. The update is sometimes invalid.
func (s *script) updateNode() {
	object := s.randomObject(store.Nodes)
	if object == nil {
		return
	}
	update := object.DeepCopyObject().(*corev1.Node)
	var drain *bool
	dryRun := s.rng.IntN(6) == 0
	switch s.rng.IntN(10) {
	case 0, 1:
		drain = pointerTo(true)
	case 2, 3, 4, 5:
		drain = pointerTo(false)
	case 6:
		update.Labels["extra"] = strconv.Itoa(s.rng.IntN(3))
	case 7:
		update.Labels[wellknown.Rack] = "elsewhere"
	case 8:
		update.ResourceVersion = "1"
	case 9:
		update.Name = "missing"
	}
	s.recordResult(s.engine.UpdateNode(s.now, update, drain, dryRun))
}
