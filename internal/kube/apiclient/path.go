package apiclient

import "net/url"

// JobsPath is the path of the Jobs of a namespace, or of all if it is "".
func JobsPath(namespace string) string { return "/apis/batch/v1" + inNamespace(namespace) + "/jobs" }

// PodsPath is the path of the Pods of a namespace, or of all if it is "".
func PodsPath(namespace string) string { return "/api/v1" + inNamespace(namespace) + "/pods" }

// NodesPath is the path of the Nodes.
const NodesPath = "/api/v1/nodes"

// NodePath is the path of a Node.
func NodePath(name string) string { return ObjectPath(NodesPath, name) }

// ObjectPath is the path of an object in a collection.
func ObjectPath(collection, name string) string { return collection + "/" + url.PathEscape(name) }

// EvictionPath is the path at which the eviction of a Pod is created.
func EvictionPath(namespace, pod string) string {
	return ObjectPath(PodsPath(namespace), pod) + "/eviction"
}

func inNamespace(namespace string) string {
	if namespace == "" {
		return ""
	}
	return "/namespaces/" + url.PathEscape(namespace)
}
