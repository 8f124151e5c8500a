package placer

// nodeFilter selects the nodes on which a request may be attempted.
type nodeFilter struct {
	cfg          *Config
	nodes        *nodeTable
	capacity     *capacityModel
	outliers     *outlierDetector
	slowStart    *slowStart
	spread       *spreadRule
	retries      *retryRule
	consolidator *consolidator

	buffer []candidate // reused for each request to avoid allocations
}

// candidate is a node that passed the filter, together with values that are valid for the current request
// only.
type candidate struct {
	node             *trackedNode
	saturationExcess float64 // projected utilization of the cores minus the limit of the task class
	affinityHash     float64 // hash of node and service, which the selector computes when needed
}

// belowSaturation reports whether the projected utilization of the node's cores is within the limit of the
// task class. Beyond this limit, all tasks on the node get less than full service.
func (c *candidate) belowSaturation() bool { return c.saturationExcess <= 0 }

// isActive reports whether the node is active, that is, not on standby.
func (c *candidate) isActive() bool { return !c.node.standby.onStandby }

// candidates returns the nodes on which a request may be attempted now, in the order of the node list. The
// result is valid until the next call.
func (f *nodeFilter) candidates(now Seconds, request *placementRequest) []candidate {
	f.buffer = f.buffer[:0]
	if f.attemptAllowed(now, request) {
		f.collectCandidates(now, request)
	}
	f.consolidator.updateStandby(now)
	candidates := prefer(f.buffer, (*candidate).isActive)
	if !f.cfg.Peers.placesByAffinity() {
		candidates = prefer(candidates, (*candidate).belowSaturation)
	}
	if !(f.cfg.Costs.CrossZone > 0) {
		return candidates
	}
	return prefer(candidates, func(c *candidate) bool { return c.node.Zone == f.cfg.Zone })
}

// collectCandidates appends the nodes that pass the filter to the buffer.
func (f *nodeFilter) collectCandidates(now Seconds, request *placementRequest) {
	class := f.cfg.class(request)
	includesEjected := f.outliers.tooFewHealthy(now, class, f.nodes.list)
	for _, node := range f.nodes.list {
		healthy := node.State == Ready && (includesEjected || f.outliers.permits(now, class, node))
		if !healthy || !f.nodeAllowed(now, request, node) {
			continue
		}
		if accepted, fits := f.evaluate(now, request, node); fits {
			f.buffer = append(f.buffer, accepted)
		}
	}
}

// recheck reports whether a request may still be attempted on a node that was drawn for it earlier.
func (f *nodeFilter) recheck(now Seconds, request *placementRequest, node *trackedNode) bool {
	if !f.attemptAllowed(now, request) || !f.nodeAllowed(now, request, node) {
		return false
	}
	_, fits := f.evaluate(now, request, node)
	return fits
}

// evaluate projects the load of a node on which the rules permit an attempt, and returns the node as a
// candidate. It returns false if the node is known to lack capacity. It updates the load record of the node.
func (f *nodeFilter) evaluate(now Seconds, request *placementRequest, node *trackedNode) (candidate, bool) {
	if node.load.rejectedRecently(now) {
		return candidate{}, false
	}
	node.load.dropOldChanges(now)
	load := f.capacity.project(now, f.cfg.class(request), &request.Task, node)
	node.load.setSaturation(load.saturationExcess)
	return candidate{node: node, saturationExcess: load.saturationExcess}, load.fits
}

// attemptAllowed reports whether the rules on final answers and retries (rules 1 and 2) permit another
// attempt for the request. They permit none if the request is done, its deadline has passed, another attempt
// is outstanding, or Attempts.Max attempts were made. The node of the attempt must also pass nodeAllowed.
func (f *nodeFilter) attemptAllowed(now Seconds, request *placementRequest) bool {
	exhausted := len(request.attempts) >= f.cfg.Attempts.Max
	return !request.done && request.Deadline > now && !exhausted && request.outstandingAttempt() == nil
}

// nodeAllowed reports whether the rules permit an attempt on this node. The caller must have checked
// attemptAllowed.
func (f *nodeFilter) nodeAllowed(now Seconds, request *placementRequest, node *trackedNode) bool {
	// The rule on node states (rule 3) permits attempts during DrainGrace after a node starts to drain. The
	// filter permits no attempt on a node that is known to drain. DrainGrace remains as a margin for node
	// lists that arrive late.
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
	// The last two checks are the slow-start rule (rule 4) and the spread rule (rule 5).
	return f.slowStart.allows(now, node) && f.spread.allows(class, request.Service, node)
}

// prefer returns the preferred candidates, or all candidates if none is preferred. It moves the preferred
// candidates to the front of the caller's slice and overwrites other candidates there.
func prefer(candidates []candidate, isPreferred func(*candidate) bool) []candidate {
	kept := 0
	for i := range candidates {
		if isPreferred(&candidates[i]) {
			candidates[kept] = candidates[i]
			kept++
		}
	}
	if kept > 0 {
		return candidates[:kept]
	}
	return candidates
}
