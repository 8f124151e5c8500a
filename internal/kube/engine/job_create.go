package engine

import (
	"fmt"

	batchv1 "k8s.io/api/batch/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// newJob returns the state of a Job for which no tasks have been started. If the Job is invalid, the error
// is an *InvalidError.
func (c *jobController) newJob(object *batchv1.Job) (*job, error) {
	labels := object.Spec.Template.Labels
	class, invalidErr := c.cfg.classFromLabels(labels)
	if invalidErr != nil {
		return nil, invalidErr
	}
	tenant, ok := c.cfg.tenantOf(object.Namespace)
	if !ok {
		return nil, &InvalidError{Field: "metadata.namespace", Detail: "no such tenant", Value: object.Namespace}
	}
	tasks := taskCount(object)
	if tasks < 0 || tasks > c.cfg.MaxPods {
		return nil, &InvalidError{Field: "spec.completions", Detail: fmt.Sprintf("must be 0 to %d", c.cfg.MaxPods), Value: tasks}
	}
	service := labels[wellknown.Service]
	if service == "" {
		service = object.Name
	}
	newJob := &job{
		key:         jobKey(object),
		uid:         object.UID,
		object:      object,
		suspended:   valueOrDefault(object.Spec.Suspend, false),
		transitions: &c.transitions,
		pods:        map[string]struct{}{},
	}
	newJob.placementSpec = newPlacementSpec(class, tenant, serviceID(object.Namespace, service), &object.Spec.Template.Spec)
	newJob.indexes = newCompletionIndexTable(newJob.key, &c.transitions, tasks, max(newJob.backoffLimit(), 0))
	return newJob, nil
}

// create implements Engine.CreateJob.
func (c *jobController) create(object *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	object = object.DeepCopy()
	c.generateName(object)
	if c.jobs.get(jobKey(object)) != nil {
		return nil, ErrExists
	}
	if c.stopping {
		return nil, ErrStopping
	}
	c.initialize(object)
	newJob, err := c.newJob(object)
	if err != nil {
		return nil, err
	}
	newJob.podCost = store.Cost(object)
	if cost := newJob.cost(); c.cfg.MaxObjectBytes > 0 && cost > c.cfg.MaxObjectBytes {
		tasks := newJob.indexes.len()
		detail := fmt.Sprintf("%d tasks of this size take %d bytes, but the limit is %d bytes", tasks, cost, c.cfg.MaxObjectBytes)
		return nil, &InvalidError{Field: "spec.template", Detail: detail, Value: tasks}
	}
	for c.exceedsLimits(newJob) {
		if !c.evictFinished(dryRun) {
			c.stats.JobsRejected++
			return nil, ErrTooMany
		}
	}
	if dryRun {
		return object, nil
	}
	c.stats.JobsCreated++
	c.jobs.add(newJob)
	c.publisher.putJob(object)
	c.jobStarter.start(newJob)
	return c.publisher.storedJob(object.Namespace, object.Name), nil
}

// These constants limit how the engine generates the names of Jobs.
const (
	maxGenerateNameLength = 248 // maximum number of characters of generateName that are used
	maxNameTries          = 8   // maximum number of names tried for one Job; the Kubernetes API server uses the same number
)

// generateName chooses a name for a Job that has only a generateName.
func (c *jobController) generateName(object *batchv1.Job) {
	if object.Name != "" || object.GenerateName == "" {
		return
	}
	for range maxNameTries {
		object.Name = fmt.Sprintf("%.*s", maxGenerateNameLength, object.GenerateName) + c.randomNameSuffix()
		if c.jobs.get(jobKey(object)) == nil {
			return
		}
	}
}

// initialize sets the fields that a Kubernetes API server sets when it stores a new Job: the UID, the
// creation time, the generation, the status, the selector and the labels of the Pods.
func (c *jobController) initialize(object *batchv1.Job) {
	object.UID = c.newUID()
	object.CreationTimestamp = c.apiNow()
	object.Generation = 1
	object.Status = batchv1.JobStatus{}
	uid := string(object.UID)
	if object.Spec.Selector == nil {
		object.Spec.Selector = &metav1.LabelSelector{MatchLabels: map[string]string{wellknown.JobUID: uid}}
	}
	if object.Spec.Template.Labels == nil {
		object.Spec.Template.Labels = map[string]string{}
	}
	labels := object.Spec.Template.Labels
	labels[wellknown.JobUID] = uid
	labels[wellknown.JobName] = object.Name
	labels["controller-uid"] = uid   // key of this label in older Kubernetes versions
	labels["job-name"] = object.Name // key of this label in older Kubernetes versions
}

// exceedsLimits reports whether a new Job would exceed MaxPods or MaxObjectBytes. It counts the stored
// objects, and the Pods of other Jobs that have yet to be created.
func (c *jobController) exceedsLimits(newJob *job) bool {
	pods, bytes := c.jobStarter.pendingPods()
	if c.publisher.podCount()+pods+newJob.indexes.len() > c.cfg.MaxPods {
		return true
	}
	return c.cfg.MaxObjectBytes > 0 && c.publisher.objectCost()+bytes+newJob.cost() > c.cfg.MaxObjectBytes
}

// minFinishedRetention is the shortest time for which a finished Job is kept. Clients need this time to read
// the outcome of the Job.
const minFinishedRetention placer.Seconds = 30

// evictFinished removes the Job that finished first in order to make room for a new Job. It does not
// remove the Job if less than minFinishedRetention has passed since its end. evictFinished reports whether
// it removed a Job. A dry run removes nothing.
func (c *jobController) evictFinished(dryRun bool) bool {
	oldestJob := c.jobs.oldestFinished()
	if oldestJob == nil || dryRun || c.now-oldestJob.finishedAt < minFinishedRetention {
		return false
	}
	c.remove(oldestJob, metav1.DeletePropagationBackground)
	c.jobs.dropOldestFinished()
	return true
}
