package simulation

import (
	"sort"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

const (
	// reconnectDelay is the time from the loss of a watch until the scheduler reconnects.
	reconnectDelay placer.Seconds = 0.1
	// A scheduler reconnects to an unreachable node after connectRetryMin and a random part of connectRetrySpread.
	connectRetryMin    placer.Seconds = 0.1
	connectRetrySpread placer.Seconds = 0.9
)

// podWatch is a scheduler's watch on the Pods of a node, over all its connections. The scheduler keeps it in watches, and the node as well while
// it is established; kill and unwatchNode cancel it.
type podWatch struct {
	scheduler   *scheduler
	node        *node
	lastArrival placer.Seconds // arrival time of the last event; events arrive in the order in which they were sent
	established bool
	cancelled   bool
}

// watchNode starts a watch on a node.
func (s *scheduler) watchNode(name string) {
	watch := &podWatch{scheduler: s, node: s.world.nodesByName[name]}
	s.watches[name] = watch
	watch.connect()
}

// unwatchNode cancels the watch on a node, if there is one.
func (s *scheduler) unwatchNode(name string) {
	if watch := s.watches[name]; watch != nil {
		watch.cancelled = true
		delete(s.watches, name)
	}
}

// connect establishes the watch after a round trip, and sends the scheduler its Pods on the node. It retries while the node is unreachable.
func (p *podWatch) connect() {
	s, n := p.scheduler, p.node
	w := s.world
	alive := s.aliveCheck()
	w.after(w.latency()*2, func() {
		if p.cancelled || !alive() {
			return
		}
		if !n.reachable() {
			w.after(connectRetryMin+connectRetrySpread*placer.Seconds(w.rng.Float64()), p.connect)
			return
		}
		p.established = true
		n.watches = append(n.watches, p)
		pods := n.podsOf(s.cfg.Name)
		bootID, rev := n.bootID, n.rev
		p.send(func() { s.engine.PodsListed(w.now, n.cfg.Name, bootID, rev, pods) })
	})
}

// podsOf returns the Pods of a scheduler on the node, ordered by UID.
func (n *node) podsOf(schedulerName string) []*corev1.Pod {
	uids := make([]string, 0, len(n.pods))
	for uid, pod := range n.pods {
		if pod.Labels[wellknown.Scheduler] == schedulerName {
			uids = append(uids, uid)
		}
	}
	sort.Strings(uids)
	var pods []*corev1.Pod
	for _, uid := range uids {
		pods = append(pods, n.pods[uid])
	}
	return pods
}

// send delivers an event to the scheduler, after the events that were sent before.
func (p *podWatch) send(receive func()) {
	s := p.scheduler
	w := s.world
	alive := s.aliveCheck()
	p.lastArrival = max(p.lastArrival, w.now+w.latency())
	w.at(p.lastArrival, func() {
		if !p.cancelled && alive() {
			receive()
			s.process()
		}
	})
}

// lost handles the loss of the connection. The scheduler marks the node as unresponsive and reconnects.
func (p *podWatch) lost() {
	s := p.scheduler
	w := s.world
	p.established = false
	p.send(func() {
		s.engine.NodeUnresponsive(w.now, p.node.cfg.Name)
		w.after(reconnectDelay, p.connect)
	})
}

// notifyWatches sends a change of a Pod to the scheduler that owns it.
func (n *node) notifyWatches(pod *corev1.Pod, deleted bool) {
	for _, watch := range n.watches {
		s := watch.scheduler
		if watch.established && !watch.cancelled && s.cfg.Name == pod.Labels[wellknown.Scheduler] {
			watch.send(func() { s.engine.PodChanged(n.world.now, n.cfg.Name, pod, deleted) })
		}
	}
}

// breakWatches breaks the connections of all watches on the node.
func (n *node) breakWatches() {
	watches := n.watches
	n.watches = nil
	for _, watch := range watches {
		if !watch.cancelled {
			watch.lost()
		}
	}
}
