package placer

// nodeFilter finds the nodes on which a request may be attempted.
type nodeFilter struct {
	cfg       *Config
	nodes     *nodeTable
	capacity  *capacityModel
	outliers  *outlierDetector
	slowStart *slowStart
	spread    *spreadRule
	retries   *retryRule
	standby   *consolidator

	buffer []candidate // reused for each request
}

// candidate is a node that passed the filter, with the values that are computed for the current request only.
type candidate struct {
	node             *trackedNode
	saturationExcess float64 // projected utilization of the cores beyond what the request's class tolerates
	affinity         float64 // hash of node and service, set by the selector if it is needed
}

// belowSaturation reports whether the utilization of the cores stays within what the request's class
// tolerates. Beyond it the service of all tasks on the node degrades.
func (c *candidate) belowSaturation() bool { return c.saturationExcess <= 0 }

// isOpen reports whether the node is not on standby.
func (c *candidate) isOpen() bool { return !c.node.standby.active }

// candidates returns the nodes that a request may be attempted on now, in the order of the node list. They
// are valid until the next call.
func (f *nodeFilter) candidates(now Seconds, request *placementRequest) []candidate {
	f.buffer = f.buffer[:0]
	if f.attemptAllowed(now, request) {
		f.collect(now, request)
	}
	f.standby.update(now)
	candidates := prefer(f.buffer, (*candidate).isOpen)
	if !f.cfg.Peers.placesByAffinity() {
		candidates = prefer(candidates, (*candidate).belowSaturation)
	}
	if !(f.cfg.Costs.CrossZone > 0) {
		return candidates
	}
	return prefer(candidates, func(c *candidate) bool { return c.node.Zone == f.cfg.Zone })
}

// collect fills the buffer with the nodes that pass the filter.
func (f *nodeFilter) collect(now Seconds, request *placementRequest) {
	class := f.cfg.class(request)
	usesEjected := f.outliers.tooFewHealthy(now, class, f.nodes.list)
	for _, node := range f.nodes.list {
		healthy := node.State == Ready && (usesEjected || f.outliers.permits(now, class, node))
		if !healthy || !f.nodeAllowed(now, request, node) {
			continue
		}
		if passed, fits := f.evaluate(now, request, node); fits {
			f.buffer = append(f.buffer, passed)
		}
	}
}

// recheck reports whether the request may still be attempted on a node that was drawn for it before.
func (f *nodeFilter) recheck(now Seconds, request *placementRequest, node *trackedNode) bool {
	if !f.attemptAllowed(now, request) || !f.nodeAllowed(now, request, node) {
		return false
	}
	_, fits := f.evaluate(now, request, node)
	return fits
}

// evaluate returns a node that the rules allow as a candidate, or false if it is known to lack capacity. It
// updates the record of the node's load.
func (f *nodeFilter) evaluate(now Seconds, request *placementRequest, node *trackedNode) (candidate, bool) {
	if node.load.rejects(now) {
		return candidate{}, false
	}
	node.load.dropOldChanges(now)
	load := f.capacity.project(now, f.cfg.class(request), &request.Task, node)
	node.load.setSaturation(load.saturationExcess)
	return candidate{node: node, saturationExcess: load.saturationExcess}, load.fits
}

// attemptAllowed reports whether the rules permit an attempt on any node. Every attempt passes this check and
// nodeAllowed. Rules 1 and 2: no attempt after the request is done or its deadline has passed, none while
// another is outstanding, and no more than the maximum.
func (f *nodeFilter) attemptAllowed(now Seconds, request *placementRequest) bool {
	exhausted := len(request.attempts) >= f.cfg.Attempts.Max
	return !request.done && request.Deadline > now && !exhausted && request.outstandingAttempt() == nil
}

// nodeAllowed reports whether the rules permit an attempt on this node. It assumes that attemptAllowed is
// true.
func (f *nodeFilter) nodeAllowed(now Seconds, request *placementRequest, node *trackedNode) bool {
	// Rule 3: a listed state takes effect at once; the drain grace is not used, so late lists cannot break
	// the rule.
	if !node.listed || node.State != Ready || node.cores <= 0 {
		return false
	}
	class := f.cfg.class(request)
	if class.NodeType >= 0 && class.NodeType != node.NodeType {
		return false
	}
	if request.unknownOutcome != nil && !f.retries.allowsOn(now, request, node) {
		return false
	}
	// Rules 4 and 5.
	return f.slowStart.allows(now, node) && f.spread.allows(class, request.Service, node)
}

// prefer returns the wanted candidates, or all if none is wanted. It filters in place: unless all or none are
// wanted, the contents of the caller's slice change.
func prefer(candidates []candidate, wanted func(*candidate) bool) []candidate {
	kept := 0
	for i := range candidates {
		if wanted(&candidates[i]) {
			candidates[kept] = candidates[i]
			kept++
		}
	}
	if kept > 0 {
		return candidates[:kept]
	}
	return candidates
}
