package placer

import "math"

// Constants of outlier detection. "Latency objective" means the shortest one of all task classes.
const (
	// baseEjection is the time for which a node is ejected after its first failure, as a multiple of the
	// latency objective. Each further failure doubles the time.
	baseEjection = 1.0
	// maxFailures is the maximum failure count of a node. It limits the ejection time, which doubles with
	// each failure.
	maxFailures = 5
	// failureWindowDivisor determines a time window, which is the latency objective divided by this number.
	// Several failures within one window count as one failure. Successes within one window cancel at most one
	// failure.
	failureWindowDivisor = 4
	// minHealthyDivisor limits the effect of ejections. Ejected nodes also get attempts if the number of
	// healthy nodes is less than the number of ready nodes divided by this number.
	minHealthyDivisor = 4
)

// outlierDetector ejects nodes on which attempts fail. An ejected node gets no attempts for some time.
type outlierDetector struct {
	shortestObjective Seconds // shortest latency objective of all task classes
	jitter            jitter
}

// nodeHealth is the part of a node's record that the outlier detector owns.
type nodeHealth struct {
	failures      int // failures that no success has canceled
	lastFailureAt Seconds
	ejectedUntil  Seconds
}

// reset clears the failures of a node that has restarted and ends its ejection.
func (h *nodeHealth) reset() {
	h.failures = 0
	h.ejectedUntil = 0
}

// recordError records that an attempt ended with an error, which counts as a failure of its node. If the task
// has also failed on another node, the task itself is the more likely cause. In this case, the error does not
// count, and the failure of the other node is canceled. This prevents a client whose tasks fail on every node
// from causing the ejection of all nodes.
func (d *outlierDetector) recordError(now Seconds, failed *attempt) {
	failed.errored = true
	failedElsewhere := false
	for _, other := range failed.request.attempts {
		if !other.errored || other.node == failed.node {
			continue
		}
		failedElsewhere = true
		if health := &other.node.health; other.countedFailure && health.failures > 0 {
			health.failures--
			health.ejectedUntil = min(health.ejectedUntil, now)
		}
		other.countedFailure = false
	}
	failed.countedFailure = !failedElsewhere && d.recordFailure(now, failed.node)
}

// recordFailure records a failure of a node and ejects the node. Each failure doubles the ejection time.
// Several failures within a short time, such as the loss of all tasks in a crash, count as one failure. The
// result reports whether the failure was counted.
func (d *outlierDetector) recordFailure(now Seconds, node *trackedNode) bool {
	health := &node.health
	if health.failures > 0 && now-health.lastFailureAt < d.shortestObjective/failureWindowDivisor {
		return false
	}
	health.failures = min(health.failures+1, maxFailures)
	health.lastFailureAt = now
	ejection := baseEjection * d.shortestObjective * Seconds(math.Exp2(float64(health.failures-1)))
	health.ejectedUntil = now + d.jitter.apply(ejection)
	return true
}

// recordSuccess cancels one failure of a node whose ejection has ended. It does not cancel all failures at
// once, because a node on which only some attempts fail would then count as healthy after each success.
func (d *outlierDetector) recordSuccess(now Seconds, node *trackedNode) {
	health := &node.health
	if health.failures > 0 && now >= health.ejectedUntil {
		health.failures--
		health.ejectedUntil = now + d.shortestObjective/failureWindowDivisor
	}
}

// permits reports whether a task of the given task class may be attempted on the node. After the ejection of
// a node ends, the node gets only one attempt at a time until successes have canceled its failures. A task
// that must not start twice is never attempted on a node with failures.
func (d *outlierDetector) permits(now Seconds, class *Class, node *trackedNode) bool {
	if node.health.failures == 0 {
		return true
	}
	return now >= node.health.ejectedUntil && node.tasks.unansweredAttempts == 0 &&
		class.Idempotency != NonIdempotent
}

// tooFewHealthy reports whether so few ready nodes are healthy for the task class that ejected nodes must be
// used as well. Nodes are no outliers if the same fault affects most of them. The count of healthy nodes
// ignores free capacity and the spread rule. If it considered either, all attempts could go to dead nodes. A
// dead node appears to have free capacity because its tasks are lost, and the spread rule may exclude all
// healthy nodes for a service.
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
