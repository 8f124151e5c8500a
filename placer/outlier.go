package placer

import "math"

// Constants of outlier detection. Its times are in latency objectives, the shortest of all classes.
const (
	// baseEjection is the time for which a node is ejected after its first failure, in latency objectives.
	// Each further failure doubles it.
	baseEjection = 1.0
	// maxFailures bounds the failure count, and so the number of times that the ejection is doubled.
	maxFailures = 5
	// failureStepDivisor divides the latency objective into the time within which several failures count as
	// one, and the time between two successes that each cancel a failure.
	failureStepDivisor = 4
	// minHealthyDivisor bounds outlier detection: ejected nodes are used as well when fewer than one in this
	// many ready nodes are healthy.
	minHealthyDivisor = 4
)

// outlierDetector ejects nodes on which attempts fail.
type outlierDetector struct {
	objective Seconds // shortest latency objective of all classes
	jitter    jitter
}

// nodeHealth is the part of a node's record that the outlier detector owns.
type nodeHealth struct {
	failures      int // that have not been cancelled
	lastFailureAt Seconds
	ejectedUntil  Seconds
}

// reset readmits a node that has restarted.
func (h *nodeHealth) reset() {
	h.failures = 0
	h.ejectedUntil = 0
}

// recordError counts an error as a failure of the node, unless the task has failed on another node as well:
// the task is then more likely at fault than both nodes, and the failure of the other is cancelled.
// Otherwise a client whose tasks no node can run would cause all nodes to be ejected.
func (d *outlierDetector) recordError(now Seconds, failed *attempt) {
	failed.errored = true
	elsewhere := false
	for _, other := range failed.request.attempts {
		if !other.errored || other.node == failed.node {
			continue
		}
		elsewhere = true
		if health := &other.node.health; other.countedFailure && health.failures > 0 {
			health.failures--
			health.ejectedUntil = min(health.ejectedUntil, now)
		}
		other.countedFailure = false
	}
	failed.countedFailure = !elsewhere && d.recordFailure(now, failed.node)
}

// recordFailure ejects a node, for twice as long after each failure. It reports whether the failure counted:
// several within a short time, such as the tasks lost in a crash, count as one.
func (d *outlierDetector) recordFailure(now Seconds, node *trackedNode) bool {
	health := &node.health
	if health.failures > 0 && now-health.lastFailureAt < d.objective/failureStepDivisor {
		return false
	}
	health.failures = min(health.failures+1, maxFailures)
	health.lastFailureAt = now
	ejection := baseEjection * d.objective * Seconds(math.Exp2(float64(health.failures-1)))
	health.ejectedUntil = now + d.jitter.apply(ejection)
	return true
}

// recordSuccess cancels one failure at a time: a node that fails only some attempts would otherwise be
// readmitted after each success.
func (d *outlierDetector) recordSuccess(now Seconds, node *trackedNode) {
	health := &node.health
	if health.failures > 0 && now >= health.ejectedUntil {
		health.failures--
		health.ejectedUntil = now + d.objective/failureStepDivisor
	}
}

// permits reports whether a task of the class may be attempted on the node. A node that was ejected is probed
// with one attempt at a time, and not with tasks that must never start twice.
func (d *outlierDetector) permits(now Seconds, class *Class, node *trackedNode) bool {
	if node.health.failures == 0 {
		return true
	}
	return now >= node.health.ejectedUntil && node.tasks.unanswered == 0 && class.Idempotency != NonIdempotent
}

// tooFewHealthy reports whether so few of the ready nodes are healthy for the class that ejected nodes must
// be used as well: a fault common to many nodes is no outlier. Neither capacity nor spread counts here. A
// dead node appears to have the capacity of the tasks that it lost, and all nodes that the spread rule leaves
// to a service may be dead; they would attract all attempts.
func (d *outlierDetector) tooFewHealthy(now Seconds, class *Class, nodes []*trackedNode) bool {
	ready, healthy := 0, 0
	for _, node := range nodes {
		if node.State != Ready {
			continue
		}
		ready++
		if d.permits(now, class, node) {
			healthy++
		}
	}
	return healthy*minHealthyDivisor < ready
}
