package placer

import "math/rand/v2"

// Constants of the draw. The design's figures are explained in docs/design.md.
const (
	// contenderFactor is c of the design: a node may have c times its share of the pending requests.
	contenderFactor = 2.0
	// contenderWindow is the time for which a bind counts as a contender. The node list is assumed to show
	// a change after this time.
	contenderWindow Seconds = 2
	// maxDraws is the number of immediate draws when both nodes of a pair have too many contenders.
	maxDraws = 8
	// preferredNodeCount is the number of nodes chosen by hash for a service whose tasks arrive at many
	// schedulers.
	preferredNodeCount = 2
	// maxCachedPrograms is the number of own programs that a node is assumed to keep after their last task.
	maxCachedPrograms = 8
	// seedStream is the stream of the random number generator.
	seedStream = 0x9e3779b97f4a7c15
)

// selector draws the nodes on which a request is attempted among the candidates that passed the filter.
type selector struct {
	peers    Peers
	nodes    *nodeTable
	requests *requestTable
	capacity *capacityModel
	latency  *latencyModel
	rng      *rand.Rand
}

// pair is two nodes that were drawn for a request, the emptier first. One or both are nil if too few nodes
// passed the filter.
type pair struct {
	first, second *trackedNode
	ignoresCache  bool // it was drawn without regard to cached programs
}

// draw draws two nodes. If cold starts are slow, it first draws among the nodes that are likely to have the
// service's program. It changes the order of the candidates.
//
// Both preferences work in place, so the second draw sees what the first one left of the candidates: where
// some preferred nodes are saturated, the others appear twice and the saturated ones are missing. That
// affects placements and is kept for now; docs/ROADMAP.md lists it among the known faults.
func (s *selector) draw(now Seconds, request *placementRequest, candidates []candidate) pair {
	if s.latency.coldStartsSlow(request.Class) {
		preferred := prefer(s.withProgram(request.Service, candidates), (*candidate).belowSaturation)
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

// drawPair draws two nodes uniformly, and again while both exceed the contender limit. If they do in all
// draws, it returns the last pair, the node with fewer contenders first: delaying the request would not help.
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

// drawTwo draws two different candidates uniformly; the second is nil if there is only one.
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

// contenderLimit returns k of the design: c times the pending requests per candidate, at least 1. Unanswered
// requests and the binds that still count as contenders are pending.
func (s *selector) contenderLimit(candidates int) float64 {
	pending := s.requests.unanswered
	for _, node := range s.nodes.list {
		// Binds older than the window count until they are removed, which happens when the node's capacity is
		// evaluated. On nodes that do not pass the filter they count for longer.
		pending += node.load.retainedBinds
	}
	return max(1, contenderFactor*float64(pending)/float64(candidates))
}

// contenders counts own unanswered attempts and recent binds on the node.
func (s *selector) contenders(now Seconds, node *trackedNode) float64 {
	return float64(node.tasks.unanswered + node.load.recentBinds(now))
}

// emptierFirst returns two nodes as a pair, the emptier one first. If both are equally empty, the order is
// random.
func (s *selector) emptierFirst(now Seconds, task *Task, a, b *trackedNode) pair {
	freeA, freeB := s.freeShareAfter(now, task, a), s.freeShareAfter(now, task, b)
	if freeA == freeB && s.rng.IntN(2) == 0 || freeB > freeA {
		return pair{first: b, second: a}
	}
	return pair{first: a, second: b}
}

// freeShareAfter returns the smaller of the free shares of cores and memory once the task runs on the node.
func (s *selector) freeShareAfter(now Seconds, task *Task, node *trackedNode) float64 {
	free := s.capacity.free(now, node)
	cores := (free.cores - task.Cores) / max(node.cores, 1e-9)
	memory := (free.memory - task.Memory) / max(node.memory, 1e-9)
	return min(cores, memory)
}

// placesByAffinity reports whether this scheduler knows on which nodes a service runs: all its tasks arrive
// here, or there are so many schedulers that its nodes are chosen by hash. A cached program then takes
// precedence over unsaturated cores.
func (p *Peers) placesByAffinity() bool {
	return p.StickyServices || p.Total > 2*preferredNodeCount
}

// withProgram moves the candidates that are likely to have the service's program to the front and returns
// them: those with own tasks of the service, and if there are so many schedulers that each sees few of these
// tasks, those with the highest hash for the service, which are the same for all schedulers.
func (s *selector) withProgram(service ServiceID, candidates []candidate) []candidate {
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
		candidates[i].affinity = hashUnit(uint64(service), uint64(candidates[i].node.ID))
	}
	for range min(preferredNodeCount, len(candidates)-count) {
		best := count
		for i := count + 1; i < len(candidates); i++ {
			if candidates[i].affinity > candidates[best].affinity {
				best = i
			}
		}
		candidates[count], candidates[best] = candidates[best], candidates[count]
		count++
	}
	return candidates[:count]
}

// hashUnit is a hash of two numbers, between 0 and 1 exclusive. It mixes like SplitMix64.
func hashUnit(a, b uint64) float64 {
	x := a*0x9e3779b97f4a7c15 + b
	for range 2 {
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return (float64(x>>12) + 0.5) / (1 << 52)
}
