package api

import (
	"net/http"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	"k8s.io/apimachinery/pkg/runtime/schema"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

// schedulerName is the default of spec.schedulerName.
const schedulerName = "heathshed"

// The defaults of a Job and its Pods, by the specification.
const (
	defaultParallelism  int32 = 1
	defaultCompletions  int32 = 1
	defaultBackoffLimit int32 = 6
	defaultGracePeriod  int64 = 30 // seconds
)

// createJob serves POST of a Job.
func (s *Server) createJob(r *request) (http1.Response, error) {
	if err := s.readyError(); err != nil {
		return http1.Response{}, newServiceUnavailable(err.Error())
	}
	if r.namespace == "" {
		return http1.Response{}, r.methodNotAllowed()
	}
	job, err := r.decodeNewJob()
	if err != nil {
		return http1.Response{}, err
	}
	if s.Store.Get(store.Namespaces, "", r.namespace) == nil {
		return http1.Response{}, apierrors.NewNotFound(schema.GroupResource{Resource: "namespaces"}, r.namespace)
	}
	setJobDefaults(job)
	if errs := validateJob(job); len(errs) > 0 {
		return http1.Response{}, apierrors.NewInvalid(r.groupKind(), job.Name, errs)
	}
	dryRun, err := r.dryRun(nil)
	if err != nil {
		return http1.Response{}, err
	}
	created, err := s.Engine.CreateJob(s.now, job, dryRun)
	if err != nil {
		return http1.Response{}, r.statusError(err, job.Name)
	}
	return objectResponse(http.StatusCreated, created)
}

// decodeNewJob reads the Job in the body, in the namespace of the request.
func (r *request) decodeNewJob() (*batchv1.Job, error) {
	job := &batchv1.Job{}
	if err := r.decode(job, r.resourceType.kind); err != nil {
		return nil, err
	}
	if job.Namespace == "" {
		job.Namespace = r.namespace
	}
	if job.Namespace != r.namespace {
		return nil, apierrors.NewBadRequest("the namespace of the provided object does not match the namespace sent on the request")
	}
	if job.ResourceVersion != "" {
		return nil, apierrors.NewBadRequest("resourceVersion should not be set on objects to be created")
	}
	return job, nil
}

// setDefault sets a field that is nil.
func setDefault[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}

// setDefaultText sets a text that is empty.
func setDefaultText[T ~string](field *T, value T) {
	if *field == "" {
		*field = value
	}
}

// setJobDefaults sets the defaults of the specification in the fields that are not set.
func setJobDefaults(job *batchv1.Job) {
	spec := &job.Spec
	if spec.Parallelism == nil {
		setDefault(&spec.Parallelism, defaultParallelism)
		setDefault(&spec.Completions, defaultCompletions)
	}
	setDefault(&spec.BackoffLimit, defaultBackoffLimit)
	setDefault(&spec.CompletionMode, batchv1.NonIndexedCompletion)
	setDefault(&spec.Suspend, false)
	setDefault(&spec.PodReplacementPolicy, batchv1.TerminatingOrFailed)
	setPodDefaults(&spec.Template.Spec)
}

func setPodDefaults(pod *corev1.PodSpec) {
	setDefaultText(&pod.DNSPolicy, corev1.DNSClusterFirst)
	setDefault(&pod.TerminationGracePeriodSeconds, defaultGracePeriod)
	setDefaultText(&pod.SchedulerName, schedulerName)
	setDefault(&pod.SecurityContext, corev1.PodSecurityContext{})
	for i := range pod.Containers {
		container := &pod.Containers[i]
		setDefaultText(&container.TerminationMessagePath, corev1.TerminationMessagePathDefault)
		setDefaultText(&container.TerminationMessagePolicy, corev1.TerminationMessageReadFile)
		setDefaultText(&container.ImagePullPolicy, corev1.PullIfNotPresent)
	}
}
