package placer

// Constants of the draw. The design's figures are explained in docs/design.md.
const (
	// contenderFactor is c of the design: a node may have c times its part of the pending requests.
	contenderFactor = 2.0
	// contenderWindow is the time for which a bind counts as a contender. The node list is taken
	// to show a change after this time.
	contenderWindow Seconds = 2
	// maxDraws is the number of immediate draws when both nodes of a pair have too many contenders.
	maxDraws = 8
	// preferredNodeCount is the number of nodes chosen by hash for a service whose tasks arrive at many
	// schedulers.
	preferredNodeCount = 2
	// maxCachedPrograms is the number of own programs that a node is taken to keep after their last task.
	maxCachedPrograms = 8
	// seedStream is the stream of the random number generator.
	seedStream = 0x9e3779b97f4a7c15
)

// drawNodes draws two nodes, the emptier first; one or both are nil if too few pass the filter. Where cold
// starts are slow it first draws among the nodes that are likely to have the service's program.
func (p *Placer) drawNodes(request *placementRequest) (first, second *trackedNode) {
	nodes := p.filterNodes(request)
	if p.coldStartsSlow(request) {
		preferred := preferNodes(p.preferredNodes(request, nodes), belowSaturation)
		if len(preferred) > 0 {
			first, second = p.drawPair(request, preferred)
			if p.contenders(first) <= p.contenderLimit(len(preferred)) {
				request.ignoresCache = false
				return first, second
			}
		}
	}
	request.ignoresCache = true
	return p.drawPair(request, preferNodes(nodes, belowSaturation))
}

// drawPair draws two nodes uniformly, again while both exceed the contender limit. If all draws do, the last
// pair stays, that with fewer contenders first: delaying the request would help nobody.
func (p *Placer) drawPair(request *placementRequest, nodes []*trackedNode) (a, b *trackedNode) {
	if len(nodes) == 0 {
		return nil, nil
	}
	limit := p.contenderLimit(len(nodes))
	for range maxDraws {
		a, b = p.drawTwo(nodes)
		aWithin := p.contenders(a) <= limit
		bWithin := b != nil && p.contenders(b) <= limit
		switch {
		case aWithin && bWithin:
			return p.emptierFirst(request, a, b)
		case aWithin:
			return a, nil
		case bWithin:
			return b, nil
		}
	}
	if b != nil && p.contenders(b) < p.contenders(a) {
		a, b = b, a
	}
	return a, b
}

// drawTwo draws two different nodes uniformly; b is nil if there is only one.
func (p *Placer) drawTwo(nodes []*trackedNode) (a, b *trackedNode) {
	i := p.rng.IntN(len(nodes))
	if len(nodes) == 1 {
		return nodes[i], nil
	}
	j := p.rng.IntN(len(nodes) - 1)
	if j >= i {
		j++
	}
	return nodes[i], nodes[j]
}

// contenderLimit is k of the design: c times the pending requests per candidate, at least 1. Pending are
// unanswered requests and the binds that still count as contenders.
func (p *Placer) contenderLimit(candidates int) float64 {
	pending := p.unanswered
	for _, node := range p.nodes {
		pending += node.recentBinds()
	}
	return max(1, contenderFactor*float64(pending)/float64(candidates))
}

// contenders counts own unanswered attempts and recent binds on the node.
func (p *Placer) contenders(node *trackedNode) float64 {
	node.dropChangesBefore(p.now - contenderWindow)
	return float64(node.unanswered + node.recentBinds())
}

func (p *Placer) emptierFirst(request *placementRequest, a, b *trackedNode) (first, second *trackedNode) {
	freeA, freeB := p.freeShareAfter(request, a), p.freeShareAfter(request, b)
	if freeA == freeB && p.rng.IntN(2) == 0 || freeB > freeA {
		return b, a
	}
	return a, b
}

// freeShareAfter is the smaller of the free shares of cores and memory once the task runs on the node.
func (p *Placer) freeShareAfter(request *placementRequest, node *trackedNode) float64 {
	cores, memory, _ := p.freeCapacity(node)
	return min((cores-request.Cores)/max(node.cores, 1e-9), (memory-request.Memory)/max(node.memory, 1e-9))
}

// coldStartsSlow reports whether a start on a node without the service's program is likely to miss the
// latency objective. Nodes without the program are then passed over like nodes beyond the contender limit.
func (p *Placer) coldStartsSlow(request *placementRequest) bool {
	times := &p.coldStartTimes[request.Class]
	return times.samples == 0 || Seconds(times.mean+times.deviation) > p.class(request).LatencyObjective/2
}

// hasAffinity reports whether it is known where a service runs: its tasks arrive at one scheduler, or at so
// many that its nodes are chosen by hash. A cached program then takes precedence over unsaturated cores.
func (p *Placer) hasAffinity() bool {
	return p.cfg.Peers.StickyServices || p.cfg.Peers.Total > 2*preferredNodeCount
}

// preferredNodes moves the nodes that are likely to have the service's program to the front of nodes and
// returns them: those with own tasks of the service, and where each of many schedulers sees few of these
// tasks, those with the highest hash for the service, which are the same for all schedulers.
func (p *Placer) preferredNodes(request *placementRequest, nodes []*trackedNode) []*trackedNode {
	count := 0
	for i, node := range nodes {
		if node.hasProgram(request.Service) {
			nodes[count], nodes[i] = node, nodes[count]
			count++
		}
	}
	if p.cfg.Peers.StickyServices || !p.hasAffinity() {
		return nodes[:count]
	}
	for _, node := range nodes {
		node.affinity = hashUnit(uint64(request.Service), uint64(node.ID))
	}
	for range min(preferredNodeCount, len(nodes)-count) {
		best := count
		for i := count + 1; i < len(nodes); i++ {
			if nodes[i].affinity > nodes[best].affinity {
				best = i
			}
		}
		nodes[count], nodes[best] = nodes[best], nodes[count]
		count++
	}
	return nodes[:count]
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
