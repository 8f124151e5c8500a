package audit

import "heathshed/placer"

// discoveryRecovery is how long after the end of an inventory outage schedulers may take to read the list of nodes.
const discoveryRecovery placer.Seconds = 1

// taskSettled records the outcome of a task, and checks that it is the only one and in time.
func (a *auditor) taskSettled(event *Event, task *taskRecord) {
	switch task.outcome {
	case "":
	case event.Reason:
		a.violation(ruleOutcome, event.At, "task %s was notified as %s twice", task.uid, event.Reason)
		return
	default:
		a.violation(ruleOutcome, event.At, "task %s was %s and is now %s", task.uid, task.outcome, event.Reason)
		return
	}
	task.outcome = event.Reason
	a.report.Outcomes[event.Reason]++
	if task.submitted && event.At > task.deadline+a.config.Slack {
		a.violation(ruleOutcome, event.At, "task %s was settled as %s %.3f s after its deadline", task.uid, event.Reason,
			event.At-task.deadline)
	}
}

// taskStarted counts a start, and checks that a task that must run at most once is not started again.
func (a *auditor) taskStarted(event *Event, task *taskRecord) {
	task.starts++
	if task.starts > 1 && a.config.Classes[task.class].AtMostOnce {
		a.violation(ruleRetry, event.At, "task %s, which must not run twice, was started %d times, now on %s", task.uid, task.starts, event.Node)
	}
}

// attemptReceived records a new attempt and checks whether the rules permit it.
func (a *auditor) attemptReceived(event *Event) {
	task := a.taskOf(event)
	class := a.config.Classes[task.class]
	a.report.Attempts++
	attempt := &attemptRecord{number: event.Attempt, node: event.Node, rack: event.Rack, zone: event.Zone, receivedAt: event.At}
	a.checkDrain(event, task)
	for _, earlier := range task.attempts {
		a.checkRetry(task, class, earlier, attempt)
	}
	task.attempts = append(task.attempts, attempt)
	if class.SpreadDomain != NoDomain {
		a.checkSpread(task, attempt, class)
	}
}

// checkDrain checks that an attempt was not sent to a node that the inventory listed as draining or unavailable, or that its scheduler was
// requested to drain.
func (a *auditor) checkDrain(event *Event, task *taskRecord) {
	// respectedFrom is when a scheduler that learned of a drain at the given time must respect it.
	respectedFrom := func(at placer.Seconds) placer.Seconds { return at + a.config.DrainGrace + a.config.Slack }
	since, unavailable := a.unavailableSince[event.Node]
	// During an outage of the inventory a scheduler cannot know.
	if unavailable && !a.discoveryLost && event.At > respectedFrom(max(since, a.discoveryRestoredAt+discoveryRecovery)) {
		a.violation(ruleDrain, event.At, "task %s was attempted at %s, shown as draining or unavailable for %.3f s", task.uid, event.Node, event.At-since)
	}
	orderedAt, ordered := a.drainOrderedAt[drainOrder{event.Scheduler, event.Node}]
	if ordered && event.At > respectedFrom(orderedAt) {
		a.violation(ruleDrain, event.At, "task %s was attempted at %s %.3f s after its drain was ordered at %s", task.uid, event.Node,
			event.At-orderedAt, event.Scheduler)
	}
}

// checkRetry checks an attempt against an earlier one of its task.
func (a *auditor) checkRetry(task *taskRecord, class Class, earlier, attempt *attemptRecord) {
	at := attempt.receivedAt
	if earlier.number >= attempt.number {
		if earlier.number == attempt.number && (class.AtMostOnce || earlier.node != attempt.node) {
			a.violation(ruleRetry, at, "task %s: attempt %d was sent twice", task.uid, attempt.number)
		}
		return
	}
	switch {
	case earlier.state.provenNotRun():
	case class.AtMostOnce:
		a.violation(ruleRetry, at, "task %s must not run twice: attempted at %s while attempt %d at %s may have run", task.uid, attempt.node,
			earlier.number, earlier.node)
	case class.Idempotent:
		if !sameDomain(class.DedupDomain, earlier, attempt) || at > earlier.receivedAt+class.DedupWindow+a.config.Slack {
			a.violation(ruleRetry, at,
				"task %s: attempted at %s %.3f s after an attempt with an unknown outcome at %s, outside the scope of its idempotency key",
				task.uid, attempt.node, at-earlier.receivedAt, earlier.node)
		}
	}
}

// sameDomain reports whether two attempts are in the same domain of the given kind; NoDomain counts as the node.
func sameDomain(domain Domain, a, b *attemptRecord) bool {
	switch domain {
	case ClusterDomain:
		return true
	case ZoneDomain:
		return a.zone == b.zone
	case RackDomain:
		return a.rack == b.rack
	}
	return a.node == b.node
}

// checkSpread checks that an attempt does not exceed the number of tasks of its service that may run in one domain.
func (a *auditor) checkSpread(task *taskRecord, attempt *attemptRecord, class Class) {
	key := serviceKey{task.scheduler, task.service}
	if len(task.attempts) == 1 {
		a.spreadTasks[key] = append(a.spreadTasks[key], task)
	}
	count := 0
	for _, other := range a.spreadTasks[key] {
		for _, placed := range other.attempts {
			if placed.occupies() && sameDomain(class.SpreadDomain, placed, attempt) {
				count++
			}
		}
	}
	if count > class.MaxPerDomain {
		a.violation(ruleSpread, attempt.receivedAt, "service %s of %s has %d tasks in one %s (%s), %d are allowed", task.service, task.scheduler,
			count, class.SpreadDomain, attempt.rack, class.MaxPerDomain)
	}
}

// finish makes the checks that need all events, and completes the report.
func (a *auditor) finish(end placer.Seconds) {
	for _, uid := range a.uids {
		task := a.tasks[uid]
		if task.submitted {
			a.report.Tasks++
			a.checkOutcome(task, end)
		}
		a.checkConcurrentAttempts(task, end)
	}
}

// checkOutcome checks that a task has an outcome if one is due.
func (a *auditor) checkOutcome(task *taskRecord, end placer.Seconds) {
	switch {
	case task.outcome != "":
	case task.excused:
		a.report.WithoutOutcome++
	case end > task.deadline+a.config.Slack:
		a.violation(ruleOutcome, task.deadline, "task %s has no outcome at its deadline", task.uid)
	}
}

// checkConcurrentAttempts checks that no attempt of a task was made while an earlier one was in flight.
func (a *auditor) checkConcurrentAttempts(task *taskRecord, end placer.Seconds) {
	for i, attempt := range task.attempts {
		closedAt := attempt.closedAt
		if closedAt == 0 {
			closedAt = end
		}
		for _, later := range task.attempts[i+1:] {
			if later.number > attempt.number && later.receivedAt < closedAt-a.config.Slack {
				a.violation(ruleRetry, later.receivedAt, "task %s: attempt %d at %s was made while attempt %d at %s was in flight", task.uid, later.number,
					later.node, attempt.number, attempt.node)
			}
		}
	}
}
