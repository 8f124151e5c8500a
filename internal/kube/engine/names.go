package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
	"heathshed/placer"
)

// newUID draws a version 4 UUID from the engine's own random source.
func (e *Engine) newUID() types.UID {
	first, second := e.rng.Uint64(), e.rng.Uint64()
	return types.UID(fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x", uint32(first), uint16(first>>32), first>>52,
		0x8000|uint16(second)&0x3fff, second>>16))
}

const (
	suffixLetters = "bcdfghjklmnpqrstvwxz2456789"
	suffixLength  = 5
)

// randomSuffix draws the end of a generated name, in the form that the Kubernetes API uses.
func (e *Engine) randomSuffix() string {
	letters := make([]byte, suffixLength)
	for i := range letters {
		letters[i] = suffixLetters[e.rng.IntN(len(suffixLetters))]
	}
	return string(letters)
}

// serviceID returns the placer's identity of a service. Every scheduler computes the same.
func serviceID(namespace, service string) placer.ServiceID {
	return placer.ServiceID(xxhash.Sum64String(namespace + "/" + service))
}

// intern returns the index of a name, which it adds to the indexes if it is new.
func intern(indexes map[string]int, name string) int {
	index, ok := indexes[name]
	if !ok {
		index = len(indexes)
		indexes[name] = index
	}
	return index
}

func jobKey(object *batchv1.Job) string { return store.Key(object.Namespace, object.Name) }

const defaultNamespace = "default"

// tenantOf returns the index of a namespace's tenant, and whether the namespace is accepted.
func (e *Engine) tenantOf(namespace string) (int, bool) {
	for i, name := range e.cfg.Tenants {
		if name == namespace {
			return i, true
		}
	}
	return 0, len(e.cfg.Tenants) == 0 || namespace == defaultNamespace
}

// addNamespaces stores the Namespace objects of the default namespace and the tenants.
func (e *Engine) addNamespaces() {
	for _, name := range append([]string{defaultNamespace}, e.cfg.Tenants...) {
		if e.store.Get(store.Namespaces, "", name) != nil {
			continue
		}
		namespace := &corev1.Namespace{}
		namespace.Name = name
		namespace.UID = e.newUID()
		namespace.Labels = map[string]string{corev1.LabelMetadataName: name}
		namespace.Status.Phase = corev1.NamespaceActive
		e.store.Put(store.Namespaces, namespace)
	}
}
