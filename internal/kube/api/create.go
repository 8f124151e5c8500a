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

// defaultSchedulerName is the default value of the field spec.schedulerName of a Pod.
const defaultSchedulerName = "heathshed"

// These constants are default values that the Kubernetes API specifies for fields of Jobs and their Pods.
const (
	defaultParallelism        int32 = 1
	defaultCompletions        int32 = 1
	defaultBackoffLimit       int32 = 6
	defaultGracePeriodSeconds int64 = 30
)

// createJob serves POST requests that create a Job.
func (s *Server) createJob(r *request) (http1.Response, error) {
	if err := s.readyError(); err != nil {
		return http1.Response{}, newServiceUnavailableError(err.Error())
	}
	if r.namespace == "" {
		return http1.Response{}, r.methodNotAllowedError()
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
	createdJob, err := s.Engine.CreateJob(s.now, job, dryRun)
	if err != nil {
		return http1.Response{}, r.toStatusError(err, job.Name)
	}
	return objectResponse(http.StatusCreated, createdJob)
}

// decodeNewJob decodes the Job in the request body. A Job that states no namespace gets the namespace in
// the request path.
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

// setDefault sets a pointer field to a default value if the field is nil.
func setDefault[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}

// setDefaultString sets a string field to a default value if the field is empty.
func setDefaultString[T ~string](field *T, value T) {
	if *field == "" {
		*field = value
	}
}

// setJobDefaults sets fields of a Job to the default values that the Kubernetes API specifies. It does not
// modify fields that the client has set.
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

// setPodDefaults sets fields of a Pod to the default values that the Kubernetes API specifies. It does not
// modify fields that the client has set.
func setPodDefaults(podSpec *corev1.PodSpec) {
	setDefaultString(&podSpec.DNSPolicy, corev1.DNSClusterFirst)
	setDefault(&podSpec.TerminationGracePeriodSeconds, defaultGracePeriodSeconds)
	setDefaultString(&podSpec.SchedulerName, defaultSchedulerName)
	setDefault(&podSpec.SecurityContext, corev1.PodSecurityContext{})
	for i := range podSpec.Containers {
		container := &podSpec.Containers[i]
		setDefaultString(&container.TerminationMessagePath, corev1.TerminationMessagePathDefault)
		setDefaultString(&container.TerminationMessagePolicy, corev1.TerminationMessageReadFile)
		setDefaultString(&container.ImagePullPolicy, corev1.PullIfNotPresent)
	}
}
