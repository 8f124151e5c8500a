package api

import (
	"fmt"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apivalidation "k8s.io/apimachinery/pkg/api/validation"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/apis/meta/v1/validation"
	utilvalidation "k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"
)

const notNegative = "must be greater than or equal to 0"

// validateLabelsAndAnnotations checks labels, and annotations, which the specification limits to 256 KiB together.
func validateLabelsAndAnnotations(o metav1.Object, at *field.Path) field.ErrorList {
	errs := validation.ValidateLabels(o.GetLabels(), at.Child("labels"))
	return append(errs, apivalidation.ValidateAnnotations(o.GetAnnotations(), at.Child("annotations"))...)
}

// validateJob checks a Job whose defaults are set.
func validateJob(job *batchv1.Job) field.ErrorList {
	metaPath := field.NewPath("metadata")
	errs := validateName(job, metaPath)
	errs = append(errs, validateLabelsAndAnnotations(job, metaPath)...)
	return append(errs, validateJobSpec(&job.Spec, field.NewPath("spec"))...)
}

// validateName checks a name or the prefix of a generated one.
func validateName(o metav1.Object, at *field.Path) field.ErrorList {
	name := o.GetName()
	prefix := o.GetGenerateName()
	switch {
	case name != "":
		return invalidEach(at.Child("name"), name, utilvalidation.IsDNS1123Subdomain(name))
	case prefix != "":
		// The generated part makes the name end with a letter or digit.
		return invalidEach(at.Child("generateName"), prefix, utilvalidation.IsDNS1123Subdomain(prefix+"x"))
	}
	return field.ErrorList{field.Required(at.Child("name"), "name or generateName is required")}
}

// invalidEach returns an error for each reason why a value is invalid.
func invalidEach(at *field.Path, value string, reasons []string) field.ErrorList {
	var errs field.ErrorList
	for _, reason := range reasons {
		errs = append(errs, field.Invalid(at, value, reason))
	}
	return errs
}

func validateJobSpec(spec *batchv1.JobSpec, at *field.Path) field.ErrorList {
	var errs field.ErrorList
	errs = append(errs, validateNotNegative(spec.Parallelism, at.Child("parallelism"))...)
	errs = append(errs, validateNotNegative(spec.Completions, at.Child("completions"))...)
	errs = append(errs, validateNotNegative(spec.BackoffLimit, at.Child("backoffLimit"))...)
	errs = append(errs, validateNotNegative(spec.TTLSecondsAfterFinished, at.Child("ttlSecondsAfterFinished"))...)
	errs = append(errs, validateNotNegative(spec.ActiveDeadlineSeconds, at.Child("activeDeadlineSeconds"))...)
	if mode := *spec.CompletionMode; mode != batchv1.NonIndexedCompletion && mode != batchv1.IndexedCompletion {
		errs = append(errs, field.NotSupported(at.Child("completionMode"), mode,
			[]batchv1.CompletionMode{batchv1.NonIndexedCompletion, batchv1.IndexedCompletion}))
	}
	if spec.ManualSelector != nil && *spec.ManualSelector || spec.Selector != nil {
		errs = append(errs, field.Forbidden(at.Child("selector"), "selectors are generated"))
	}
	template := at.Child("template")
	errs = append(errs, validateLabelsAndAnnotations(&spec.Template, template.Child("metadata"))...)
	return append(errs, validatePodSpec(&spec.Template.Spec, template.Child("spec"))...)
}

// validateNotNegative checks a number, which may be absent.
func validateNotNegative[T int32 | int64](value *T, at *field.Path) field.ErrorList {
	if value == nil || *value >= 0 {
		return nil
	}
	return field.ErrorList{field.Invalid(at, *value, notNegative)}
}

func validatePodSpec(pod *corev1.PodSpec, at *field.Path) field.ErrorList {
	errs := validateRestartPolicy(pod.RestartPolicy, at.Child("restartPolicy"))
	if len(pod.Containers) == 0 {
		errs = append(errs, field.Required(at.Child("containers"), ""))
	}
	names := map[string]bool{}
	errs = append(errs, validateContainers(pod.Containers, names, at.Child("containers"))...)
	return append(errs, validateContainers(pod.InitContainers, names, at.Child("initContainers"))...)
}

func validateRestartPolicy(policy corev1.RestartPolicy, at *field.Path) field.ErrorList {
	switch policy {
	case corev1.RestartPolicyNever, corev1.RestartPolicyOnFailure:
		return nil
	case "":
		return field.ErrorList{field.Required(at, `valid values: "OnFailure", "Never"`)}
	}
	supported := []corev1.RestartPolicy{corev1.RestartPolicyOnFailure, corev1.RestartPolicyNever}
	return field.ErrorList{field.NotSupported(at, policy, supported)}
}

// validateContainers checks containers. names collects their names, which are unique in a Pod.
func validateContainers(containers []corev1.Container, names map[string]bool, at *field.Path) field.ErrorList {
	var errs field.ErrorList
	for i := range containers {
		container := &containers[i]
		path := at.Index(i)
		errs = append(errs, validateContainerName(container.Name, names, path.Child("name"))...)
		names[container.Name] = true
		if container.Image == "" {
			errs = append(errs, field.Required(path.Child("image"), ""))
		}
		errs = append(errs, validateResources(&container.Resources, path.Child("resources"))...)
	}
	return errs
}

func validateContainerName(name string, taken map[string]bool, at *field.Path) field.ErrorList {
	switch {
	case name == "":
		return field.ErrorList{field.Required(at, "")}
	case taken[name]:
		return field.ErrorList{field.Duplicate(at, name)}
	}
	return invalidEach(at, name, utilvalidation.IsDNS1123Label(name))
}

// validateResources checks that no quantity is negative and no request is larger than its limit.
func validateResources(resources *corev1.ResourceRequirements, at *field.Path) field.ErrorList {
	errs := validateQuantities(resources.Requests, at.Child("requests"))
	errs = append(errs, validateQuantities(resources.Limits, at.Child("limits"))...)
	for name, request := range resources.Requests {
		limit, limited := resources.Limits[name]
		if limited && request.Cmp(limit) > 0 {
			message := fmt.Sprintf("must be less than or equal to %s limit of %s", name, limit.String())
			errs = append(errs, field.Invalid(at.Child("requests"), request.String(), message))
		}
	}
	return errs
}

func validateQuantities(quantities corev1.ResourceList, at *field.Path) field.ErrorList {
	var errs field.ErrorList
	for name, quantity := range quantities {
		if quantity.Sign() < 0 {
			errs = append(errs, field.Invalid(at.Key(string(name)), quantity.String(), notNegative))
		}
	}
	return errs
}
