package api

import (
	"slices"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/fields"
	"k8s.io/apimachinery/pkg/runtime/schema"

	"heathshed/internal/kube/store"
)

// resourceType describes a resource of the API: its names, its verbs and the fields that a field selector may
// use.
type resourceType struct {
	resource     store.Resource
	groupVersion schema.GroupVersion
	kind         string
	namespaced   bool
	verbs        []string
	shortNames   []string
	// newObject returns a new object of the resource with empty fields.
	newObject func() store.Object
	// selectableFields contains the fields that a field selector may use in addition to metadata.name and
	// metadata.namespace.
	selectableFields []string
	// selectableValues returns the values that the fields in selectableFields have in an object.
	selectableValues func(o store.Object) fields.Set
}

// resourceTypes contains a description of each resource that the server serves.
var resourceTypes = map[store.Resource]*resourceType{
	store.Jobs: {
		resource:         store.Jobs,
		groupVersion:     batchv1.SchemeGroupVersion,
		kind:             "Job",
		namespaced:       true,
		verbs:            []string{"create", "delete", "deletecollection", "get", "list", "patch", "update", "watch"},
		newObject:        func() store.Object { return &batchv1.Job{} },
		selectableFields: []string{"status.successful"},
		selectableValues: func(o store.Object) fields.Set {
			job := o.(*batchv1.Job)
			return fields.Set{"status.successful": strconv.Itoa(int(job.Status.Succeeded))}
		},
	},
	store.Pods: {
		resource:         store.Pods,
		groupVersion:     corev1.SchemeGroupVersion,
		kind:             "Pod",
		namespaced:       true,
		verbs:            []string{"delete", "deletecollection", "get", "list", "watch"},
		shortNames:       []string{"po"},
		newObject:        func() store.Object { return &corev1.Pod{} },
		selectableFields: []string{"spec.nodeName", "spec.restartPolicy", "spec.schedulerName", "status.phase"},
		selectableValues: func(o store.Object) fields.Set {
			pod := o.(*corev1.Pod)
			return fields.Set{
				"spec.nodeName":      pod.Spec.NodeName,
				"spec.restartPolicy": string(pod.Spec.RestartPolicy),
				"spec.schedulerName": pod.Spec.SchedulerName,
				"status.phase":       string(pod.Status.Phase),
			}
		},
	},
	store.Nodes: {
		resource:         store.Nodes,
		groupVersion:     corev1.SchemeGroupVersion,
		kind:             "Node",
		verbs:            []string{"get", "list", "patch", "update", "watch"},
		shortNames:       []string{"no"},
		newObject:        func() store.Object { return &corev1.Node{} },
		selectableFields: []string{"spec.unschedulable"},
		selectableValues: func(o store.Object) fields.Set {
			node := o.(*corev1.Node)
			return fields.Set{"spec.unschedulable": strconv.FormatBool(node.Spec.Unschedulable)}
		},
	},
	store.Namespaces: {
		resource:         store.Namespaces,
		groupVersion:     corev1.SchemeGroupVersion,
		kind:             "Namespace",
		verbs:            []string{"get", "list", "watch"},
		shortNames:       []string{"ns"},
		newObject:        func() store.Object { return &corev1.Namespace{} },
		selectableFields: []string{"status.phase"},
		selectableValues: func(o store.Object) fields.Set {
			namespace := o.(*corev1.Namespace)
			return fields.Set{"status.phase": string(namespace.Status.Phase)}
		},
	},
}

// supports reports whether the resource supports an API verb, such as "create".
func (t *resourceType) supports(verb string) bool { return slices.Contains(t.verbs, verb) }

// findResourceType returns the resource type with the given plural name. It searches the core group of the
// API if inCoreGroup is true, and the batch group otherwise. The result is nil if the group has no such
// resource type.
func findResourceType(name string, inCoreGroup bool) *resourceType {
	for _, servedType := range resourceTypes {
		typeInCoreGroup := servedType.groupVersion.Group == ""
		if servedType.resource.String() == name && typeInCoreGroup == inCoreGroup {
			return servedType
		}
	}
	return nil
}
