package engine

import (
	"github.com/cespare/xxhash/v2"
	batchv1 "k8s.io/api/batch/v1"

	"heathshed/internal/kube/store"
	"heathshed/placer"
)

// serviceID returns the ID by which the placer knows a service. All schedulers compute the same ID.
func serviceID(namespace, service string) placer.ServiceID {
	return placer.ServiceID(xxhash.Sum64String(namespace + "/" + service))
}

// intern returns the index of a name. A new name gets the next free index.
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

// defaultNamespace is accepted even if no tenant owns it.
const defaultNamespace = "default"
