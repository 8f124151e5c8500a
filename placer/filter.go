package placer

// Limits of the filter.
const (
	// memoryLimit is the part of a node's memory that may be in use. Beyond it nodes slow down; at 1 they
	// evict tasks.
	memoryLimit = 0.92
	// degradationTolerance is the part of a class's degradation range that is tolerated before the cores of a
	// node count as saturated.
	degradationTolerance = 0.25
	// minHealthyDivisor bounds outlier detection: ejected nodes are used as well when fewer than one in this
	// many ready nodes are healthy.
	minHealthyDivisor = 4
)

// filterNodes returns the nodes that a request may be attempted on now, in the order of the node list.
func (p *Placer) filterNodes(request *placementRequest) []*trackedNode {
	useEjected := p.tooFewHealthy(request)
	p.candidates = p.candidates[:0]
	for _, node := range p.nodes {
		if node.State == Ready && (node.healthy || useEjected) &&
			p.allowed(request, node) && p.hasCapacity(request, node) {
			p.candidates = append(p.candidates, node)
		}
	}
	p.updateStandby()
	p.candidates = preferNodes(p.candidates, func(node *trackedNode) bool { return !node.standby })
	if !p.hasAffinity() {
		p.candidates = preferNodes(p.candidates, belowSaturation)
	}
	if !(p.cfg.Costs.CrossZone > 0) {
		return p.candidates
	}
	return preferNodes(p.candidates, func(node *trackedNode) bool { return node.Zone == p.cfg.Zone })
}

// tooFewHealthy marks the ready nodes that are healthy for the request and reports whether these are so few
// that ejected nodes must be used as well: a fault common to many nodes is no outlier. Neither capacity nor
// spread counts here. A dead node shows the capacity of the tasks it lost, and all nodes that the spread rule
// leaves to a service may be dead; they would attract all attempts.
func (p *Placer) tooFewHealthy(request *placementRequest) bool {
	ready, healthy := 0, 0
	for _, node := range p.nodes {
		if node.State != Ready {
			continue
		}
		ready++
		node.healthy = p.isHealthyFor(request, node)
		if node.healthy {
			healthy++
		}
	}
	return healthy*minHealthyDivisor < ready
}

// allowed reports whether the rules permit an attempt on the node now. Every attempt passes this check.
func (p *Placer) allowed(request *placementRequest, node *trackedNode) bool {
	// Rules 1 and 2: no attempt after the end, none beside another, and no more than permitted.
	exhausted := len(request.attempts) >= p.cfg.Attempts.Max
	if request.done || request.Deadline <= p.now || exhausted || request.outstandingAttempt() != nil {
		return false
	}
	// Rule 3: the list decides at once; the drain grace is not used, so late lists cannot break the rule.
	if !node.listed || node.State != Ready || node.cores <= 0 {
		return false
	}
	class := p.class(request)
	if class.NodeType >= 0 && class.NodeType != node.NodeType {
		return false
	}
	if request.unknownOutcome != nil && !p.mayRetryOn(request, node) {
		return false
	}
	// Rules 4 and 5.
	return p.warmupAllows(node) && p.spreadAllows(request, node)
}

// hasCapacity reports whether the list, the node's report and its recent rejections leave room for the
// request, as far as known. It notes the projected saturation of the cores for belowSaturation.
func (p *Placer) hasCapacity(request *placementRequest, node *trackedNode) bool {
	if node.rejectsUntil > p.now {
		return false
	}
	freeCores, freeMemory, known := p.freeCapacity(node)
	if !known {
		return true
	}
	if freeCores+(p.cfg.Overcommit.Cores-1)*node.cores < request.Cores ||
		freeMemory+(p.cfg.Overcommit.Memory-1)*node.memory < request.Memory {
		return false
	}
	// A node may accept more than it can run well: close to full memory it slows down or evicts tasks, which
	// are then placed again and evict others.
	usedCores, usedMemory := p.projectedUsage(node, freeCores, freeMemory)
	class := p.class(request)
	threshold := class.SaturationThreshold + class.DegradationRange*degradationTolerance
	node.saturationExcess = (usedCores+request.Cores*p.coresUsage.mean)/node.cores - threshold
	memoryFits := usedMemory+request.Memory*p.memoryUsage.mean <= memoryLimit*node.memory
	return memoryFits || !p.cfg.NodeBehavior.ReportsUsage
}

// belowSaturation reports whether the cores stay within what the class of the present request tolerates.
// Beyond it the service of all tasks on the node degrades.
func belowSaturation(node *trackedNode) bool { return node.saturationExcess <= 0 }
