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

	candidateBuffer []candidate // slice that is reused for each request to avoid allocations
}

// candidate is a node that passed the filter, with values that were computed for the current request.
type candidate struct {
	node             *trackedNode
	saturationExcess float64 // projected utilization of the cores minus the limit of the task class
	affinityHash     float64 // hash of the node and the service; the selector computes it when needed
}

// belowSaturation reports whether the projected utilization of the node's cores is within the limit that the
// task class tolerates. Beyond this limit, all tasks on the node run more slowly.
func (c *candidate) belowSaturation() bool { return c.saturationExcess <= 0 }

// isActive reports whether the node is active, that is, not on standby (in reserve).
func (c *candidate) isActive() bool { return !c.node.standby.onStandby }

// candidates returns the nodes on which a request may be attempted now, in the order of the node list. The
// result is valid until the next call.
func (f *nodeFilter) candidates(now Seconds, request *placementRequest) []candidate {
	f.candidateBuffer = f.candidateBuffer[:0]
	if f.attemptAllowed(now, request) {
		f.collectCandidates(now, request)
	}
	f.consolidator.updateStandby(now)
	candidates := keepPreferred(f.candidateBuffer, (*candidate).isActive)
	if !f.cfg.Peers.placesByAffinity() {
		candidates = keepPreferred(candidates, (*candidate).belowSaturation)
	}
	if !(f.cfg.Costs.CrossZone > 0) {
		return candidates
	}
	return keepPreferred(candidates, func(c *candidate) bool { return c.node.Zone == f.cfg.Zone })
}

// collectCandidates appends the nodes that pass the filter to candidateBuffer.
func (f *nodeFilter) collectCandidates(now Seconds, request *placementRequest) {
	class := f.cfg.classOf(request)
	includesEjected := f.outliers.tooFewHealthy(now, class, f.nodes.allNodes)
	for _, node := range f.nodes.allNodes {
		healthy := node.State == Ready && (includesEjected || f.outliers.allowsAttempt(now, class, node))
		if !healthy || !f.nodeAllowed(now, request, node) {
			continue
		}
		if newCandidate, fits := f.evaluate(now, request, node); fits {
			f.candidateBuffer = append(f.candidateBuffer, newCandidate)
		}
	}
}

// recheckNode reports whether a request may still be attempted on a node that was drawn at random for it
// earlier.
func (f *nodeFilter) recheckNode(now Seconds, request *placementRequest, node *trackedNode) bool {
	if !f.attemptAllowed(now, request) || !f.nodeAllowed(now, request, node) {
		return false
	}
	_, fits := f.evaluate(now, request, node)
	return fits
}

// evaluate projects the load of a node on which the placement rules permit an attempt, and returns the node
// as a candidate. The second result is false if the node is known to lack capacity. The method also updates
// the load record of the node.
func (f *nodeFilter) evaluate(now Seconds, request *placementRequest, node *trackedNode) (candidate, bool) {
	if node.load.rejectedRecently(now) {
		return candidate{}, false
	}
	node.load.dropOldChanges(now)
	projectedLoad := f.capacity.projectLoad(now, f.cfg.classOf(request), &request.Task, node)
	node.load.setSaturation(projectedLoad.saturationExcess)
	return candidate{node: node, saturationExcess: projectedLoad.saturationExcess}, projectedLoad.fits
}

// attemptAllowed reports whether the state of the request permits another attempt. No attempt is permitted if
// the request is done, its deadline has passed, another attempt is outstanding, or Attempts.Max attempts were
// made. The caller must also check each node with nodeAllowed.
func (f *nodeFilter) attemptAllowed(now Seconds, request *placementRequest) bool {
	attemptsSpent := len(request.attempts) >= f.cfg.Attempts.Max
	return !request.done && request.Deadline > now && !attemptsSpent && request.outstandingAttempt() == nil
}

// nodeAllowed reports whether the placement rules permit an attempt for the request on this node. The caller
// must have checked attemptAllowed.
func (f *nodeFilter) nodeAllowed(now Seconds, request *placementRequest, node *trackedNode) bool {
	// This check implements the rule on node states. The rule permits attempts on a draining node for the
	// time DrainGrace after the start of its drain. The filter is stricter and excludes every node that is
	// known to be draining. The scheduler can still break the rule if the news of a drain takes longer than
	// DrainGrace to arrive.
	if !node.listed || node.State != Ready || node.cores <= 0 {
		return false
	}
	class := f.cfg.classOf(request)
	if class.NodeType >= 0 && class.NodeType != node.NodeType {
		return false
	}
	if request.unknownOutcomeAttempt != nil && !f.retries.allowsRetryOn(now, request, node) {
		return false
	}
	// These calls check the slow-start rule, which protects new nodes from too many attempts, and the spread
	// rule, which limits the tasks of a service in one failure domain.
	return f.slowStart.allowsAttempt(now, node) && f.spread.allowsTask(class, request.Service, node)
}

// keepPreferred returns the preferred candidates, or all candidates if none is preferred. It moves the
// preferred candidates to the front of the caller's slice and overwrites other candidates there.
func keepPreferred(candidates []candidate, isPreferred func(*candidate) bool) []candidate {
	keptCount := 0
	for i := range candidates {
		if isPreferred(&candidates[i]) {
			candidates[keptCount] = candidates[i]
			keptCount++
		}
	}
	if keptCount > 0 {
		return candidates[:keptCount]
	}
	return candidates
}
