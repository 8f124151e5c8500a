package engine

import (
	"github.com/cespare/xxhash/v2"
	batchv1 "k8s.io/api/batch/v1"

	"heathshed/internal/kube/store"
	"heathshed/placer"
)

// serviceID returns the ID of a service for the placer. All schedulers compute the same ID for the same
// service.
func serviceID(namespace, service string) placer.ServiceID {
	return placer.ServiceID(xxhash.Sum64String(namespace + "/" + service))
}

// intern returns the index that the map assigns to a name. If the map does not contain the name, intern
// adds the name with the next free index.
func intern(indexByName map[string]int, name string) int {
	index, ok := indexByName[name]
	if !ok {
		index = len(indexByName)
		indexByName[name] = index
	}
	return index
}

// jobKey returns the key under which jobTable stores a Job.
func jobKey(object *batchv1.Job) string { return store.Key(object.Namespace, object.Name) }

// defaultNamespace is a namespace in which Jobs are permitted even if no tenant owns the namespace.
const defaultNamespace = "default"
