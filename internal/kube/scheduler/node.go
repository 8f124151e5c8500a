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

	// Bounds of the backoff between attempts to watch a node.
	podWatchMinBackoff = 100 * time.Millisecond
	podWatchMaxBackoff = time.Second
)

// nodeClient is the connections to one node: for attempts and stops, and the watch of the Pods that it runs.
type nodeClient struct {
	scheduler *Scheduler
	name      string
	client    *httpc.Client
	pods      *reflector.Reflector
}

// watchNode begins to follow the tasks of a node.
func (s *Scheduler) watchNode(name, address string) {
	s.unwatchNode(name)
	node := &nodeClient{scheduler: s, name: name, client: httpc.New(s.loop, address)}
	node.client.ConnectTimeout = s.options.ConnectTimeout
	node.pods = &reflector.Reflector{
		Loop:             s.loop,
		Client:           node.client,
		Path:             "/api/v1/pods",
		Rand:             s.random,
		Labels:           wellknown.Scheduler + "=" + s.options.Engine.Name,
		MinBackoff:       podWatchMinBackoff,
		MaxBackoff:       podWatchMaxBackoff,
		ListTimeout:      podListTimeout,
		WatchIdleTimeout: s.options.WatchIdleTimeout,
		OnList:           node.handlePodList,
		OnEvent:          node.handlePodEvent,
		OnError:          node.handlePodsError,
	}
	s.nodes[name] = node
	node.pods.Start()
}

func (s *Scheduler) unwatchNode(name string) {
	if node := s.nodes[name]; node != nil {
		delete(s.nodes, name)
		node.pods.Stop()
		node.client.Close()
	}
}

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

func (n *nodeClient) handlePodsError(err error) {
	s := n.scheduler
	s.options.Log.Debug().Str("node", n.name).Err(err).Msg("node unreachable")
	s.engine.NodeUnresponsive(s.engineNow(), n.name)
	s.processEffects()
}

// parseRevision parses a node's resource version. One that is not a number counts as 0, older than any.
func parseRevision(resourceVersion string) int64 {
	revision, _ := strconv.ParseInt(resourceVersion, 10, 64) // on error it is 0, or the end of the range
	return revision
}
