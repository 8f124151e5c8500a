package apiclient

import "net/url"

// JobsPath returns the path of the Jobs in a namespace, or of all Jobs if namespace is "".
func JobsPath(namespace string) string {
	return "/apis/batch/v1" + namespaceSegment(namespace) + "/jobs"
}

// PodsPath returns the path of the Pods in a namespace, or of all Pods if namespace is "".
func PodsPath(namespace string) string { return "/api/v1" + namespaceSegment(namespace) + "/pods" }

// NodesPath is the path of the collection of Nodes.
const NodesPath = "/api/v1/nodes"

// NodePath returns the path of the Node with the given name.
func NodePath(name string) string { return ObjectPath(NodesPath, name) }

// ObjectPath returns the path of the object with the given name in the collection at the given path.
func ObjectPath(collection, name string) string { return collection + "/" + url.PathEscape(name) }

// EvictionPath returns the path to which an Eviction of a Pod is posted.
func EvictionPath(namespace, pod string) string {
	return ObjectPath(PodsPath(namespace), pod) + "/eviction"
}

// namespaceSegment returns the part of a path that selects a namespace, or "" for all namespaces.
func namespaceSegment(namespace string) string {
	if namespace == "" {
		return ""
	}
	return "/namespaces/" + url.PathEscape(namespace)
}
