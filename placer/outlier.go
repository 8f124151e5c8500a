package placer

import "math"

// Constants of outlier detection. Its times are in latency objectives, the shortest of all classes.
const (
	// baseEjection is the time for which a node is ejected after its first failure, in latency objectives.
	// Each further failure doubles it.
	baseEjection = 1.0
	// maxFailures bounds the failure count, and so the number of times that the ejection is doubled.
	maxFailures = 5
	// failureStepDivisor divides the latency objective into the time within which failures count once, and
	// after which one success takes back a failure.
	failureStepDivisor = 4
)

// observeOutcome updates the health of a node by the outcome of an attempt.
func (p *Placer) observeOutcome(ev Event, ended *attempt) {
	node := ended.node
	switch ev.Result {
	case Rejected:
		if ev.Reason != WrongNode {
			node.rejectsUntil = p.now + redrawWait
		} else if p.class(ended.request).Idempotency != IdempotentByKey {
			// The node drains before the list shows it. With a key, it may instead hold an earlier copy.
			p.recordFailure(node)
		}
	case Errored:
		p.recordError(ended)
	case Unreachable, TimedOut:
		p.recordFailure(node)
	case Lost:
		if ev.Reason == NoReason || ev.Reason == Drained {
			p.recordFailure(node)
		}
	}
}

// recordError counts an error as a failure of the node, unless the task has failed on another node as well:
// the task is then more likely at fault than both nodes, and the failure of the other is taken back.
// Otherwise clients with tasks that no node can run would have all nodes ejected.
func (p *Placer) recordError(failed *attempt) {
	failed.errored = true
	elsewhere := false
	for _, other := range failed.request.attempts {
		if !other.errored || other.node == failed.node {
			continue
		}
		elsewhere = true
		if other.countedFailure && other.node.failures > 0 {
			other.node.failures--
			other.node.ejectedUntil = min(other.node.ejectedUntil, p.now)
		}
		other.countedFailure = false
	}
	failed.countedFailure = !elsewhere && p.recordFailure(failed.node)
}

// recordFailure ejects a node, twice as long for each failure. It reports whether the failure counted:
// several at one moment, such as the tasks lost in a crash, are one failure.
func (p *Placer) recordFailure(node *trackedNode) bool {
	if node.failures > 0 && p.now-node.lastFailureAt < p.shortestObjective/failureStepDivisor {
		return false
	}
	node.failures = min(node.failures+1, maxFailures)
	node.lastFailureAt = p.now
	ejection := baseEjection * p.shortestObjective * Seconds(math.Exp2(float64(node.failures-1)))
	node.ejectedUntil = p.now + p.withJitter(ejection)
	return true
}

// recordSuccess takes back one failure at a time: a node that fails only some attempts would otherwise be
// readmitted after each success.
func (p *Placer) recordSuccess(node *trackedNode) {
	if node.failures > 0 && p.now >= node.ejectedUntil {
		node.failures--
		node.ejectedUntil = p.now + p.shortestObjective/failureStepDivisor
	}
}

// isHealthyFor reports whether outlier detection permits the request on the node. A node that was ejected is
// probed with one attempt at a time, and not with tasks that must never start twice.
func (p *Placer) isHealthyFor(request *placementRequest, node *trackedNode) bool {
	if node.failures == 0 {
		return true
	}
	return p.now >= node.ejectedUntil && node.unanswered == 0 && p.class(request).Idempotency != NonIdempotent
}
