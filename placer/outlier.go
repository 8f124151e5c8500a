package placer

import "math"

// Constants of outlier detection.
const (
	// baseEjection is the time for which a node is ejected after its first failure, as a multiple of the
	// shortest latency objective of all task classes. Each further failure doubles the time.
	baseEjection = 1.0
	// maxFailures is the maximum failure count of a node. It limits the ejection time, which doubles with
	// each failure.
	maxFailures = 5
	// failureWindowDivisor determines the length of a time window, which is the shortest latency objective of
	// all task classes divided by this number. Several failures of a node within one window count as one
	// failure. Successes within one window cancel at most one failure.
	failureWindowDivisor = 4
	// minHealthyDivisor determines the minimum number of healthy nodes, which is the number of ready nodes
	// divided by this number. If fewer nodes are healthy, ejected nodes also get attempts.
	minHealthyDivisor = 4
)

// outlierDetector ejects nodes on which attempts fail. An ejected node gets no attempts for some time.
type outlierDetector struct {
	shortestObjective Seconds // shortest latency objective of all task classes
	jitter            jitter
}

// nodeHealth is the part of a node's record that the outlier detector owns.
type nodeHealth struct {
	failures      int // number of failures that were recorded and not canceled yet
	lastFailureAt Seconds
	ejectedUntil  Seconds
}

// reset clears the failures of a node that has restarted and ends its ejection.
func (h *nodeHealth) reset() {
	h.failures = 0
	h.ejectedUntil = 0
}

// recordError records that an attempt ended with an error. The error counts as a failure of the node, unless
// the task has also failed on another node. If it has, the task itself is the more likely cause of both
// errors. The new error then does not count as a failure, and the earlier failure of the other node is
// canceled. Without this rule, one client whose tasks fail on every node could cause the ejection of all
// nodes.
func (d *outlierDetector) recordError(now Seconds, failedAttempt *attempt) {
	failedAttempt.errored = true
	failedElsewhere := false
	for _, otherAttempt := range failedAttempt.request.attempts {
		if !otherAttempt.errored || otherAttempt.node == failedAttempt.node {
			continue
		}
		failedElsewhere = true
		if health := &otherAttempt.node.health; otherAttempt.countedFailure && health.failures > 0 {
			health.failures--
			health.ejectedUntil = min(health.ejectedUntil, now)
		}
		otherAttempt.countedFailure = false
	}
	failedAttempt.countedFailure = !failedElsewhere && d.recordFailure(now, failedAttempt.node)
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
	ejectionTime := baseEjection * d.shortestObjective * Seconds(math.Exp2(float64(health.failures-1)))
	health.ejectedUntil = now + d.jitter.randomize(ejectionTime)
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

// allowsAttempt reports whether a task of the given task class may be attempted on the node. After its
// ejection, a node gets only one attempt at a time until successes have canceled its failures. A task of a
// class that is not idempotent is never attempted on a node with failures.
func (d *outlierDetector) allowsAttempt(now Seconds, class *Class, node *trackedNode) bool {
	if node.health.failures == 0 {
		return true
	}
	return now >= node.health.ejectedUntil && node.tasks.unansweredAttempts == 0 &&
		class.Idempotency != NonIdempotent
}

// tooFewHealthy reports whether so few ready nodes are healthy for the task class that ejected nodes must be
// used as well. If the same fault affects most nodes, the affected nodes are not outliers, and their ejection
// would leave too few nodes for the tasks.
//
// A node counts as healthy even if it is full or the spread rule excludes it. If such nodes counted as
// unhealthy, ejected nodes would be used whenever all healthy nodes are full or excluded. Many ejected nodes
// are dead, and dead nodes appear to have free capacity because their tasks are lost. The attempts would then
// go to dead nodes.
func (d *outlierDetector) tooFewHealthy(now Seconds, class *Class, nodes []*trackedNode) bool {
	readyCount, healthyCount := 0, 0
	for _, node := range nodes {
		if node.State != Ready {
			continue
		}
		readyCount++
		if d.allowsAttempt(now, class, node) {
			healthyCount++
		}
	}
	return healthyCount*minHealthyDivisor < readyCount
}
