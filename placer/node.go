package placer

import "slices"

// trackedNode is what is known of one node. The fields that the filter reads come first, close together.
type trackedNode struct {
	Node // the latest list entry

	cores, memory    float64 // the size of the node, 0 if its type is not known
	listed           bool    // a list has named the node
	hasReport        bool
	standby          bool
	healthy          bool             // outlier detection permits the request at hand
	failures         int              // that count for outlier detection
	unanswered       int              // own attempts without an answer
	recentChanges    []capacityChange // by time
	rejectsUntil     Seconds          // a rejection for capacity counts until then
	saturationExcess float64          // projected utilization beyond what the class of the request at hand tolerates

	report         Report
	reportedAt     Seconds
	lastFailureAt  Seconds
	ejectedUntil   Seconds
	affinity       float64 // hash of the node and the service of the request at hand
	standbySince   Seconds
	unusedSince    Seconds           // time since which it is terminated and not in use, or 0
	warmupSends    []Seconds         // times of own attempts while it warms up
	ownTasks       map[ServiceID]int // own tasks that run or are attempted
	boundAttempts  []*attempt        // own tasks that run
	cachedPrograms []ServiceID       // services whose last own task left, the latest last
}

// capacityChange is an own change of what is requested of a node, which the node list may not show yet.
type capacityChange struct {
	at            Seconds
	cores, memory float64
	isBind        bool
}

func newTrackedNode(id NodeID) *trackedNode {
	return &trackedNode{Node: Node{ID: id, NodeType: -1, Rack: -1, Zone: -1}, ownTasks: map[ServiceID]int{}}
}

// resetAfterRestart drops what was known of the load and health of a node that has restarted.
func (n *trackedNode) resetAfterRestart() {
	n.failures = 0
	n.ejectedUntil = 0
	n.rejectsUntil = 0
	n.cachedPrograms = n.cachedPrograms[:0]
	n.recentChanges = n.recentChanges[:0]
	n.hasReport = false
}

// inUse reports whether the node holds own tasks or attempts.
func (n *trackedNode) inUse() bool {
	return n.unanswered > 0 || len(n.boundAttempts) > 0 || len(n.ownTasks) > 0
}

func (n *trackedNode) addChange(change capacityChange) {
	n.recentChanges = append(n.recentChanges, change)
}

// removePendingChange removes the change that stands for an attempt without an answer.
func (n *trackedNode) removePendingChange(pending *attempt) {
	request := pending.request
	for i, change := range n.recentChanges {
		sameAmounts := change.cores == request.Cores && change.memory == request.Memory
		if change.at == pending.sentAt && !change.isBind && sameAmounts {
			n.recentChanges = slices.Delete(n.recentChanges, i, i+1)
			return
		}
	}
}

// dropChangesBefore drops the changes from before the given time.
func (n *trackedNode) dropChangesBefore(at Seconds) {
	i := 0
	for i < len(n.recentChanges) && n.recentChanges[i].at < at {
		i++
	}
	if i > 0 {
		n.recentChanges = n.recentChanges[:copy(n.recentChanges, n.recentChanges[i:])]
	}
}

// recentBinds counts the binds among the recent changes.
func (n *trackedNode) recentBinds() int {
	count := 0
	for i := range n.recentChanges {
		if n.recentChanges[i].isBind {
			count++
		}
	}
	return count
}

// dropWarmupSendsBefore drops the attempts on a warming node from before the given time.
func (n *trackedNode) dropWarmupSendsBefore(at Seconds) {
	i := 0
	for i < len(n.warmupSends) && n.warmupSends[i] < at {
		i++
	}
	if i > 0 {
		n.warmupSends = n.warmupSends[:copy(n.warmupSends, n.warmupSends[i:])]
	}
}

// hasProgram reports whether the program of a service is likely to be on the node: an own task of it runs there, is
// attempted, or has run last.
func (n *trackedNode) hasProgram(service ServiceID) bool {
	return n.ownTasks[service] > 0 || slices.Contains(n.cachedPrograms, service)
}

// cacheProgram notes that the program of a service stays on the node after its last own task. The node is taken to keep
// up to limit programs, the latest ones.
func (n *trackedNode) cacheProgram(service ServiceID, limit int) {
	if i := slices.Index(n.cachedPrograms, service); i >= 0 {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, i, i+1)
	}
	n.cachedPrograms = append(n.cachedPrograms, service)
	if len(n.cachedPrograms) > limit {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, 0, 1)
	}
}

// addBound adds an attempt to those bound to the node.
func (n *trackedNode) addBound(bound *attempt) {
	bound.boundIndex = len(n.boundAttempts)
	n.boundAttempts = append(n.boundAttempts, bound)
}

// removeBound removes an attempt from those bound to the node. The last one takes its place.
func (n *trackedNode) removeBound(bound *attempt) {
	last := n.boundAttempts[len(n.boundAttempts)-1]
	n.boundAttempts[bound.boundIndex] = last
	last.boundIndex = bound.boundIndex
	n.boundAttempts = n.boundAttempts[:len(n.boundAttempts)-1]
}

// preferNodes keeps the wanted nodes, or all if none is wanted. It works in place.
func preferNodes(nodes []*trackedNode, wanted func(*trackedNode) bool) []*trackedNode {
	n := 0
	for _, node := range nodes {
		if wanted(node) {
			nodes[n] = node
			n++
		}
	}
	if n > 0 {
		return nodes[:n]
	}
	return nodes
}

// sharesDomain reports whether two nodes are known to be in the same domain.
func sharesDomain(domain TopologyDomain, a, b *trackedNode) bool {
	switch domain {
	case ClusterDomain:
		return true
	case ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	case RackDomain:
		return a.listed && b.listed && a.Rack == b.Rack
	}
	return a == b
}
