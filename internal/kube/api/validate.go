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

// nonNegativeMessage is the detail text of the error for a negative number or a negative quantity.
const nonNegativeMessage = "must be greater than or equal to 0"

// validateLabelsAndAnnotations checks the labels and annotations of an object, including the total size of
// the annotations, which the Kubernetes API limits to 256 KiB.
func validateLabelsAndAnnotations(o metav1.Object, fieldPath *field.Path) field.ErrorList {
	errs := validation.ValidateLabels(o.GetLabels(), fieldPath.Child("labels"))
	return append(errs, apivalidation.ValidateAnnotations(o.GetAnnotations(), fieldPath.Child("annotations"))...)
}

// validateJob checks a Job. The caller must have called setJobDefaults for the Job before.
func validateJob(job *batchv1.Job) field.ErrorList {
	metaPath := field.NewPath("metadata")
	errs := validateName(job, metaPath)
	errs = append(errs, validateLabelsAndAnnotations(job, metaPath)...)
	return append(errs, validateJobSpec(&job.Spec, field.NewPath("spec"))...)
}

// validateName checks the name of an object or, if the name is still to be generated, the prefix of the name.
func validateName(o metav1.Object, fieldPath *field.Path) field.ErrorList {
	name := o.GetName()
	prefix := o.GetGenerateName()
	switch {
	case name != "":
		return invalidErrors(fieldPath.Child("name"), name, utilvalidation.IsDNS1123Subdomain(name))
	case prefix != "":
		// The prefix is checked with the letter x in place of the suffix, which will consist of letters and
		// digits. Without a suffix, a prefix that ends with a hyphen would be invalid.
		return invalidErrors(fieldPath.Child("generateName"), prefix, utilvalidation.IsDNS1123Subdomain(prefix+"x"))
	}
	return field.ErrorList{field.Required(fieldPath.Child("name"), "name or generateName is required")}
}

// invalidErrors returns one error for each reason why a value is invalid.
func invalidErrors(fieldPath *field.Path, value string, reasons []string) field.ErrorList {
	var errs field.ErrorList
	for _, reason := range reasons {
		errs = append(errs, field.Invalid(fieldPath, value, reason))
	}
	return errs
}

func validateJobSpec(spec *batchv1.JobSpec, fieldPath *field.Path) field.ErrorList {
	var errs field.ErrorList
	errs = append(errs, validateNonNegative(spec.Parallelism, fieldPath.Child("parallelism"))...)
	errs = append(errs, validateNonNegative(spec.Completions, fieldPath.Child("completions"))...)
	errs = append(errs, validateNonNegative(spec.BackoffLimit, fieldPath.Child("backoffLimit"))...)
	errs = append(errs, validateNonNegative(spec.TTLSecondsAfterFinished, fieldPath.Child("ttlSecondsAfterFinished"))...)
	errs = append(errs, validateNonNegative(spec.ActiveDeadlineSeconds, fieldPath.Child("activeDeadlineSeconds"))...)
	if mode := *spec.CompletionMode; mode != batchv1.NonIndexedCompletion && mode != batchv1.IndexedCompletion {
		errs = append(errs, field.NotSupported(fieldPath.Child("completionMode"), mode,
			[]batchv1.CompletionMode{batchv1.NonIndexedCompletion, batchv1.IndexedCompletion}))
	}
	if spec.ManualSelector != nil && *spec.ManualSelector || spec.Selector != nil {
		errs = append(errs, field.Forbidden(fieldPath.Child("selector"), "selectors are generated"))
	}
	template := fieldPath.Child("template")
	errs = append(errs, validateLabelsAndAnnotations(&spec.Template, template.Child("metadata"))...)
	return append(errs, validatePodSpec(&spec.Template.Spec, template.Child("spec"))...)
}

// validateNonNegative rejects a negative number. A nil value is valid.
func validateNonNegative[T int32 | int64](value *T, fieldPath *field.Path) field.ErrorList {
	if value == nil || *value >= 0 {
		return nil
	}
	return field.ErrorList{field.Invalid(fieldPath, *value, nonNegativeMessage)}
}

func validatePodSpec(podSpec *corev1.PodSpec, fieldPath *field.Path) field.ErrorList {
	errs := validateRestartPolicy(podSpec.RestartPolicy, fieldPath.Child("restartPolicy"))
	if len(podSpec.Containers) == 0 {
		errs = append(errs, field.Required(fieldPath.Child("containers"), ""))
	}
	containerNames := map[string]bool{}
	errs = append(errs, validateContainers(podSpec.Containers, containerNames, fieldPath.Child("containers"))...)
	return append(errs, validateContainers(podSpec.InitContainers, containerNames, fieldPath.Child("initContainers"))...)
}

func validateRestartPolicy(policy corev1.RestartPolicy, fieldPath *field.Path) field.ErrorList {
	switch policy {
	case corev1.RestartPolicyNever, corev1.RestartPolicyOnFailure:
		return nil
	case "":
		return field.ErrorList{field.Required(fieldPath, `valid values: "OnFailure", "Never"`)}
	}
	supportedPolicies := []corev1.RestartPolicy{corev1.RestartPolicyOnFailure, corev1.RestartPolicyNever}
	return field.ErrorList{field.NotSupported(fieldPath, policy, supportedPolicies)}
}

// validateContainers checks a list of containers. It adds the names of the containers to usedNames, because a
// name may be used only once in a Pod.
func validateContainers(containers []corev1.Container, usedNames map[string]bool, fieldPath *field.Path) field.ErrorList {
	var errs field.ErrorList
	for i := range containers {
		container := &containers[i]
		path := fieldPath.Index(i)
		errs = append(errs, validateContainerName(container.Name, usedNames, path.Child("name"))...)
		usedNames[container.Name] = true
		if container.Image == "" {
			errs = append(errs, field.Required(path.Child("image"), ""))
		}
		errs = append(errs, validateResources(&container.Resources, path.Child("resources"))...)
	}
	return errs
}

func validateContainerName(name string, usedNames map[string]bool, fieldPath *field.Path) field.ErrorList {
	switch {
	case name == "":
		return field.ErrorList{field.Required(fieldPath, "")}
	case usedNames[name]:
		return field.ErrorList{field.Duplicate(fieldPath, name)}
	}
	return invalidErrors(fieldPath, name, utilvalidation.IsDNS1123Label(name))
}

// validateResources checks that no quantity is negative and that no resource request exceeds the limit of the
// same resource.
func validateResources(resources *corev1.ResourceRequirements, fieldPath *field.Path) field.ErrorList {
	errs := validateQuantities(resources.Requests, fieldPath.Child("requests"))
	errs = append(errs, validateQuantities(resources.Limits, fieldPath.Child("limits"))...)
	for resourceName, request := range resources.Requests {
		limit, hasLimit := resources.Limits[resourceName]
		if hasLimit && request.Cmp(limit) > 0 {
			message := fmt.Sprintf("must be less than or equal to %s limit of %s", resourceName, limit.String())
			errs = append(errs, field.Invalid(fieldPath.Child("requests"), request.String(), message))
		}
	}
	return errs
}

func validateQuantities(quantities corev1.ResourceList, fieldPath *field.Path) field.ErrorList {
	var errs field.ErrorList
	for resourceName, quantity := range quantities {
		if quantity.Sign() < 0 {
			errs = append(errs, field.Invalid(fieldPath.Key(string(resourceName)), quantity.String(), nonNegativeMessage))
		}
	}
	return errs
}
