package placer

import "math/rand/v2"

// Constants of node selection. The file docs/design.md explains the values.
const (
	// contenderFactor is the constant c of the k-COLLISION protocol. The maximum number of contenders on a
	// node is c times the number of pending requests divided by the number of candidates. The contenders on a
	// node are the unanswered attempts and the recently accepted tasks of this scheduler.
	contenderFactor = 2.0
	// contenderWindow is the time for which a task counts as a contender on its node after the node accepted
	// the task. After this time, the node list is assumed to show the task.
	contenderWindow Seconds = 2
	// maxDraws is the maximum number of times that two candidates are drawn at random for one attempt. The
	// draw is repeated if both candidates have too many contenders.
	maxDraws = 8
	// preferredNodeCount is the number of nodes that are chosen by hash for a service whose tasks arrive at
	// many schedulers.
	preferredNodeCount = 2
	// maxCachedPrograms is the number of programs that a node is assumed to keep in its cache after all tasks
	// that ran them on the node have ended.
	maxCachedPrograms = 8
	// randomStream is the second half of the seed of the random number generator. The first half is the seed
	// that the caller of New passes.
	randomStream = 0x9e3779b97f4a7c15
)

// selector draws the nodes for the attempts of a request at random from the candidates, which are the nodes
// that passed the filter.
type selector struct {
	peers    Peers
	nodes    *nodeTable
	requests *requestTable
	capacity *capacityModel
	latency  *latencyModel
	rng      *rand.Rand
}

// pair holds the two nodes that were drawn at random for a request. The request is attempted on the first
// node and then, if that node rejects it, on the second. One or both nodes are nil if too few nodes are
// available.
type pair struct {
	firstNode, secondNode *trackedNode
	ignoresCache          bool // the nodes were drawn without regard to cached programs
}

// drawNodes draws two nodes for a request at random. If cold starts are slow, it first draws from the nodes
// that probably have the program of the service in their cache. If these two nodes have too many contenders,
// it draws two nodes from all candidates. It changes the order of the candidates.
//
// Before the first draw, keepPreferred removes the saturated nodes from the nodes with the program. It does
// so in place and overwrites part of the slice of all candidates. When nodes are then drawn from all
// candidates, some of the nodes with the program may be missing, and others may appear twice. This is a known
// fault, which docs/ROADMAP.md lists. The fault is kept for now, because a correction would change
// placements.
func (s *selector) drawNodes(now Seconds, request *placementRequest, candidates []candidate) pair {
	if s.latency.coldStartsAreSlow(request.Class) {
		preferred := keepPreferred(s.programNodes(request.Service, candidates), (*candidate).belowSaturation)
		if len(preferred) > 0 {
			drawnPair := s.drawPair(now, request, preferred)
			if s.countContenders(now, drawnPair.firstNode) <= s.contenderLimit(len(preferred)) {
				return drawnPair
			}
		}
	}
	drawnPair := s.drawPair(now, request, keepPreferred(candidates, (*candidate).belowSaturation))
	drawnPair.ignoresCache = true
	return drawnPair
}

// drawPair draws two nodes uniformly at random. It repeats the draw if both nodes exceed the contender limit.
// If both nodes exceed the limit in all maxDraws draws, it returns the last two nodes, with the node that has
// fewer contenders first. It does not delay the request until the next draw in this case, because a delay
// would not help.
func (s *selector) drawPair(now Seconds, request *placementRequest, candidates []candidate) pair {
	if len(candidates) == 0 {
		return pair{}
	}
	limit := s.contenderLimit(len(candidates))
	var a, b *trackedNode
	for range maxDraws {
		a, b = s.drawTwo(candidates)
		aWithinLimit := s.countContenders(now, a) <= limit
		bWithinLimit := b != nil && s.countContenders(now, b) <= limit
		switch {
		case aWithinLimit && bWithinLimit:
			return s.emptierFirst(now, &request.Task, a, b)
		case aWithinLimit:
			return pair{firstNode: a}
		case bWithinLimit:
			return pair{firstNode: b}
		}
	}
	if b != nil && s.countContenders(now, b) < s.countContenders(now, a) {
		a, b = b, a
	}
	return pair{firstNode: a, secondNode: b}
}

// drawTwo draws two different candidates uniformly at random. The second is nil if there is only one
// candidate.
func (s *selector) drawTwo(candidates []candidate) (a, b *trackedNode) {
	i := s.rng.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[i].node, nil
	}
	j := s.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	return candidates[i].node, candidates[j].node
}

// contenderLimit returns the maximum number of contenders on a node, which is the limit k of the k-COLLISION
// protocol. It is contenderFactor times the number of pending requests per candidate, but at least 1. A
// request is pending if it has no final answer yet, or if a node has accepted its task recently.
func (s *selector) contenderLimit(candidateCount int) float64 {
	pendingRequests := s.requests.unansweredRequests
	for _, node := range s.nodes.allNodes {
		// The number retainedBoundTasks includes an accepted task until dropOldChanges removes the task from
		// the load record of its node. The filter calls dropOldChanges only for nodes that pass its other
		// checks. On the remaining nodes, a task may count as a pending request for longer than
		// contenderWindow.
		pendingRequests += node.load.retainedBoundTasks
	}
	return max(1, contenderFactor*float64(pendingRequests)/float64(candidateCount))
}

// countContenders returns the number of unanswered attempts and recently accepted tasks of this scheduler on
// the node.
func (s *selector) countContenders(now Seconds, node *trackedNode) float64 {
	return float64(node.tasks.unansweredAttempts + node.load.countRecentlyBoundTasks(now))
}

// emptierFirst returns two nodes as a pair with the emptier node first. If both are equally empty, the order
// is random.
func (s *selector) emptierFirst(now Seconds, task *Task, a, b *trackedNode) pair {
	freeFractionA, freeFractionB := s.freeFractionAfter(now, task, a), s.freeFractionAfter(now, task, b)
	if freeFractionA == freeFractionB && s.rng.IntN(2) == 0 || freeFractionB > freeFractionA {
		return pair{firstNode: b, secondNode: a}
	}
	return pair{firstNode: a, secondNode: b}
}

// freeFractionAfter returns the fraction of the node's cores or memory, whichever is smaller, that would be
// free if the task ran on the node.
func (s *selector) freeFractionAfter(now Seconds, task *Task, node *trackedNode) float64 {
	free := s.capacity.estimateFree(now, node)
	cores := (free.cores - task.Cores) / max(node.cores, 1e-9)
	memory := (free.memory - task.Memory) / max(node.memory, 1e-9)
	return min(cores, memory)
}

// placesByAffinity reports whether a saturated node with the cached program is preferred to an unsaturated
// node without it. This is useful only if the scheduler knows which nodes run the tasks of a service. It
// knows them if all tasks of the service arrive at this scheduler. It also knows them if there are more than
// twice preferredNodeCount schedulers, because all schedulers then choose the nodes of a service by the same
// hash.
func (p *Peers) placesByAffinity() bool {
	return p.StickyServices || p.Total > 2*preferredNodeCount
}

// programNodes moves the candidates that probably have the program of the service to the front of the slice
// and returns them. Nodes on which this scheduler has placed tasks of the service come first. If many
// schedulers share the tasks of each service, the preferredNodeCount nodes with the highest hash for the
// service follow. All schedulers compute the same hash and prefer the same nodes.
func (s *selector) programNodes(service ServiceID, candidates []candidate) []candidate {
	nodeCount := 0
	for i := range candidates {
		if candidates[i].node.tasks.hasProgram(service) {
			candidates[nodeCount], candidates[i] = candidates[i], candidates[nodeCount]
			nodeCount++
		}
	}
	if s.peers.StickyServices || !s.peers.placesByAffinity() {
		return candidates[:nodeCount]
	}
	for i := range candidates {
		candidates[i].affinityHash = hashToUnitInterval(uint64(service), uint64(candidates[i].node.ID))
	}
	for range min(preferredNodeCount, len(candidates)-nodeCount) {
		bestIndex := nodeCount
		for i := nodeCount + 1; i < len(candidates); i++ {
			if candidates[i].affinityHash > candidates[bestIndex].affinityHash {
				bestIndex = i
			}
		}
		candidates[nodeCount], candidates[bestIndex] = candidates[bestIndex], candidates[nodeCount]
		nodeCount++
	}
	return candidates[:nodeCount]
}

// hashToUnitInterval returns a hash of two numbers, greater than 0 and less than 1. It uses the mixing
// function of SplitMix64.
func hashToUnitInterval(a, b uint64) float64 {
	x := a*0x9e3779b97f4a7c15 + b
	for range 2 {
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return (float64(x>>12) + 0.5) / (1 << 52)
}
