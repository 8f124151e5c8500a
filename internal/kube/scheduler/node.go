//go:build linux

package scheduler

import (
	"strconv"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/reflector"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
)

const (
	podListTimeout = 5 * time.Second

	// Bounds of the backoff before a failed list or watch of a node's Pods is retried.
	podWatchMinBackoff = 100 * time.Millisecond
	podWatchMaxBackoff = time.Second
)

// nodeClient sends attempts and stop requests to one node, and watches the Pods of this scheduler on the
// node.
type nodeClient struct {
	scheduler    *Scheduler
	name         string
	client       *httpc.Client
	podReflector *reflector.Reflector
}

// watchNode starts to list and watch the Pods of this scheduler on the node at the given address.
func (s *Scheduler) watchNode(name, address string) {
	s.unwatchNode(name)
	node := &nodeClient{scheduler: s, name: name, client: httpc.New(s.loop, address)}
	node.client.ConnectTimeout = s.options.ConnectTimeout
	node.podReflector = &reflector.Reflector{
		Loop:             s.loop,
		Client:           node.client,
		Path:             "/api/v1/pods",
		Rand:             s.rng,
		LabelSelector:    wellknown.Scheduler + "=" + s.options.Engine.Name,
		MinBackoff:       podWatchMinBackoff,
		MaxBackoff:       podWatchMaxBackoff,
		ListTimeout:      podListTimeout,
		WatchIdleTimeout: s.options.WatchIdleTimeout,
		OnList:           node.handlePodList,
		OnEvent:          node.handlePodEvent,
		OnError:          node.handlePodWatchError,
	}
	s.nodes[name] = node
	node.podReflector.Start()
}

// unwatchNode ends the watch of a node's Pods and closes the connections to the node.
func (s *Scheduler) unwatchNode(name string) {
	if node := s.nodes[name]; node != nil {
		delete(s.nodes, name)
		node.podReflector.Stop()
		node.client.Close()
	}
}

// handlePodList passes a complete list of the Pods on the node to the engine.
func (n *nodeClient) handlePodList(head *http1.Head, resourceVersion string, items []reflector.Object) {
	s := n.scheduler
	pods := make([]*corev1.Pod, 0, len(items))
	for _, item := range items {
		pod := &corev1.Pod{}
		if err := item.Decode(pod); err != nil {
			s.options.Log.Warn().Str("node", n.name).Err(err).Msg("pod in list cannot be decoded")
			continue
		}
		pods = append(pods, pod)
	}
	incarnation := head.Header.Get(wellknown.IncarnationHeader)
	s.engine.PodsListed(s.engineNow(), n.name, incarnation, parseRevision(resourceVersion), pods)
	s.processEffects()
}

// handlePodEvent passes a change of a Pod on the node to the engine.
func (n *nodeClient) handlePodEvent(kind string, object reflector.Object) {
	s := n.scheduler
	pod := &corev1.Pod{}
	if err := object.Decode(pod); err != nil {
		s.options.Log.Warn().Str("node", n.name).Err(err).Msg("pod event cannot be decoded")
		return
	}
	s.engine.PodChanged(s.engineNow(), n.name, pod, kind == eventDeleted)
	s.processEffects()
}

// handlePodWatchError tells the engine that a list or watch of the node's Pods has failed.
func (n *nodeClient) handlePodWatchError(err error) {
	s := n.scheduler
	s.options.Log.Debug().Str("node", n.name).Err(err).Msg("node unreachable")
	s.engine.NodeUnresponsive(s.engineNow(), n.name)
	s.processEffects()
}

// parseRevision parses the resource version of an object or list from a node. It returns 0, which is less
// than every valid revision, if the resource version is not an integer.
func parseRevision(resourceVersion string) int64 {
	revision, _ := strconv.ParseInt(resourceVersion, 10, 64) // on error, it is 0 or the nearest int64
	return revision
}
