package placer

import "math/rand/v2"

// Constants of node selection. The file docs/design.md explains the values.
const (
	// contenderFactor is the constant c of the k-COLLISION protocol. A node may have up to c times as many
	// contenders as there are pending requests per candidate.
	contenderFactor = 2.0
	// contenderWindow is the time for which a task counts as a contender after its node accepted it. After
	// this time, the node list is assumed to show the task.
	contenderWindow Seconds = 2
	// maxDraws is the maximum number of pairs that are drawn for one attempt. Another pair is drawn if both
	// nodes of a pair have too many contenders.
	maxDraws = 8
	// preferredNodeCount is the number of nodes that are chosen by hash for a service whose tasks arrive at
	// many schedulers.
	preferredNodeCount = 2
	// maxCachedPrograms is the number of programs that a node is assumed to keep in its cache after the last
	// tasks that run them have ended.
	maxCachedPrograms = 8
	// randomStream is the second half of the seed of the random number generator. It selects the stream.
	randomStream = 0x9e3779b97f4a7c15
)

// selector draws the nodes for the attempts of a request from the candidates that passed the filter.
type selector struct {
	peers    Peers
	nodes    *nodeTable
	requests *requestTable
	capacity *capacityModel
	latency  *latencyModel
	rng      *rand.Rand
}

// pair holds the two nodes that were drawn for a request. The emptier node comes first. One or both nodes are
// nil if too few nodes are available.
type pair struct {
	first, second *trackedNode
	ignoresCache  bool // the pair was drawn without regard to cached programs
}

// draw draws two nodes. If cold starts are slow, it first draws from the nodes that probably have the program
// of the service. If these have too many contenders, it draws again from all candidates. It changes the order
// of the candidates.
//
// Before the first draw, the saturated nodes with the program are filtered out in place, which overwrites
// part of the slice of all candidates. In the second draw, some of these nodes may be missing, and other
// nodes with the program may appear twice. This is a known fault, which docs/ROADMAP.md lists. It is kept for
// now because a correction would change placements.
func (s *selector) draw(now Seconds, request *placementRequest, candidates []candidate) pair {
	if s.latency.coldStartsAreSlow(request.Class) {
		preferred := prefer(s.programNodesFirst(request.Service, candidates), (*candidate).belowSaturation)
		if len(preferred) > 0 {
			drawn := s.drawPair(now, request, preferred)
			if s.contenders(now, drawn.first) <= s.contenderLimit(len(preferred)) {
				return drawn
			}
		}
	}
	drawn := s.drawPair(now, request, prefer(candidates, (*candidate).belowSaturation))
	drawn.ignoresCache = true
	return drawn
}

// drawPair draws two nodes uniformly at random. It repeats the draw if both nodes exceed the contender limit.
// If all maxDraws pairs exceed the limit, it returns the last pair, because a delay of the request would not
// help. The node with fewer contenders then comes first.
func (s *selector) drawPair(now Seconds, request *placementRequest, candidates []candidate) pair {
	if len(candidates) == 0 {
		return pair{}
	}
	limit := s.contenderLimit(len(candidates))
	var a, b *trackedNode
	for range maxDraws {
		a, b = s.drawTwo(candidates)
		aWithin := s.contenders(now, a) <= limit
		bWithin := b != nil && s.contenders(now, b) <= limit
		switch {
		case aWithin && bWithin:
			return s.emptierFirst(now, &request.Task, a, b)
		case aWithin:
			return pair{first: a}
		case bWithin:
			return pair{first: b}
		}
	}
	if b != nil && s.contenders(now, b) < s.contenders(now, a) {
		a, b = b, a
	}
	return pair{first: a, second: b}
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

// contenderLimit returns the limit k of the k-COLLISION protocol, which is contenderFactor times the number
// of pending requests per candidate, but at least 1. Unanswered requests and requests whose task was recently
// accepted by a node count as pending.
func (s *selector) contenderLimit(candidates int) float64 {
	pending := s.requests.unansweredRequests
	for _, node := range s.nodes.list {
		// An accepted task counts until dropOldChanges removes it from the load record of its node. The
		// filter calls dropOldChanges only for nodes that pass its other checks. A task on another node may
		// count for longer than contenderWindow.
		pending += node.load.retainedBoundTasks
	}
	return max(1, contenderFactor*float64(pending)/float64(candidates))
}

// contenders returns the number of unanswered attempts and recently accepted tasks of this scheduler on the
// node.
func (s *selector) contenders(now Seconds, node *trackedNode) float64 {
	return float64(node.tasks.unansweredAttempts + node.load.recentlyBoundTasks(now))
}

// emptierFirst returns two nodes as a pair with the emptier node first. If both are equally empty, the order
// is random.
func (s *selector) emptierFirst(now Seconds, task *Task, a, b *trackedNode) pair {
	freeA, freeB := s.freeFractionAfter(now, task, a), s.freeFractionAfter(now, task, b)
	if freeA == freeB && s.rng.IntN(2) == 0 || freeB > freeA {
		return pair{first: b, second: a}
	}
	return pair{first: a, second: b}
}

// freeFractionAfter returns the fraction of the node's cores or memory, whichever is smaller, that would be
// free if the task ran on the node.
func (s *selector) freeFractionAfter(now Seconds, task *Task, node *trackedNode) float64 {
	free := s.capacity.estimateFree(now, node)
	cores := (free.cores - task.Cores) / max(node.cores, 1e-9)
	memory := (free.memory - task.Memory) / max(node.memory, 1e-9)
	return min(cores, memory)
}

// placesByAffinity reports whether nodes with the cached program take precedence over nodes below saturation.
// They do if the scheduler knows the nodes that run the tasks of a service. It knows them if all tasks of the
// service arrive at this scheduler. It also knows them if there are more than twice preferredNodeCount
// schedulers, because all schedulers then choose the nodes of a service by the same hash.
func (p *Peers) placesByAffinity() bool {
	return p.StickyServices || p.Total > 2*preferredNodeCount
}

// programNodesFirst moves the candidates that probably have the program of the service to the front of the
// slice and returns them. Nodes on which this scheduler has placed tasks of the service come first. With many
// schedulers, each scheduler receives few tasks of a service. In this case, the preferredNodeCount nodes with
// the highest hash for the service follow. All schedulers compute the same hash and prefer the same nodes.
func (s *selector) programNodesFirst(service ServiceID, candidates []candidate) []candidate {
	count := 0
	for i := range candidates {
		if candidates[i].node.tasks.hasProgram(service) {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	if s.peers.StickyServices || !s.peers.placesByAffinity() {
		return candidates[:count]
	}
	for i := range candidates {
		candidates[i].affinityHash = hashToUnitInterval(uint64(service), uint64(candidates[i].node.ID))
	}
	for range min(preferredNodeCount, len(candidates)-count) {
		best := count
		for i := count + 1; i < len(candidates); i++ {
			if candidates[i].affinityHash > candidates[best].affinityHash {
				best = i
			}
		}
		candidates[count], candidates[best] = candidates[best], candidates[count]
		count++
	}
	return candidates[:count]
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
