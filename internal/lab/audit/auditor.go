package audit

import (
	"fmt"

	"heathshed/placer"
)

// attemptRecord is what is known of one attempt at one node. The auditor writes it, and its state only in setState.
type attemptRecord struct {
	number           int
	node, rack, zone string
	receivedAt       placer.Seconds
	closedAt         placer.Seconds // when it was answered or abandoned; 0 while it is in flight
	state            attemptState
	answerLost       bool // the scheduler never received the answer and counts the attempt as ended
}

// occupies reports whether, as far as its scheduler can know, the attempt runs the task or may still do so.
func (attempt *attemptRecord) occupies() bool { return attempt.state.open() && !attempt.answerLost }

// close records that the attempt is no longer in flight.
func (attempt *attemptRecord) close(at placer.Seconds) {
	if attempt.closedAt == 0 {
		attempt.closedAt = at
	}
}

// taskRecord is what is known of one task. The auditor writes it.
type taskRecord struct {
	uid, class, service, scheduler string
	submitted                      bool
	deadline                       placer.Seconds // for the outcome
	outcome                        string         // "" while there is none
	excused                        bool           // no outcome is due: the scheduler was killed, or the client withdrew the task
	attempts                       []*attemptRecord
	starts                         int
}

// findAttempt returns the latest attempt with the number and node of an event, nil if there is none.
func (task *taskRecord) findAttempt(event *Event) *attemptRecord {
	for i := len(task.attempts) - 1; i >= 0; i-- {
		attempt := task.attempts[i]
		if attempt.number == event.Attempt && attempt.node == event.Node {
			return attempt
		}
	}
	return nil
}

// drainOrder identifies a request to one scheduler to drain one node.
type drainOrder struct{ scheduler, node string }

// serviceKey identifies a service of one scheduler.
type serviceKey struct{ scheduler, service string }

// auditor is the state of one audit. handle applies the events to it in order of time, and finish completes the report.
type auditor struct {
	config      Config
	report      Report
	tasks       map[string]*taskRecord
	uids        []string                     // keys of tasks, in order of their first event
	spreadTasks map[serviceKey][]*taskRecord // of classes that are spread

	unavailableSince    map[string]placer.Seconds // by node: since when the inventory shows it as draining or unavailable
	drainOrderedAt      map[drainOrder]placer.Seconds
	discoveryLost       bool
	discoveryRestoredAt placer.Seconds

	badTransition error // the first illegal change of an attempt's state
}

func newAuditor(config Config) *auditor {
	return &auditor{
		config:           config,
		report:           Report{Outcomes: map[string]int{}, Ends: map[string]int{}},
		tasks:            map[string]*taskRecord{},
		spreadTasks:      map[serviceKey][]*taskRecord{},
		unavailableSince: map[string]placer.Seconds{},
		drainOrderedAt:   map[drainOrder]placer.Seconds{},
	}
}

// violation adds a violation to the report.
func (a *auditor) violation(rule Rule, at placer.Seconds, format string, args ...any) {
	a.report.Violations = append(a.report.Violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// taskOf returns the record of an event's task, which it creates if there is none, and copies the event's class, service and scheduler to it.
func (a *auditor) taskOf(event *Event) *taskRecord {
	task := a.tasks[event.UID]
	if task == nil {
		task = &taskRecord{uid: event.UID}
		a.tasks[event.UID] = task
		a.uids = append(a.uids, event.UID)
	}
	if event.Class != "" {
		task.class = event.Class
	}
	if event.Service != "" {
		task.service = event.Service
	}
	if event.Scheduler != "" {
		task.scheduler = event.Scheduler
	}
	return task
}

// handle applies an event.
func (a *auditor) handle(event *Event) {
	switch event.Kind {
	case Submitted, Settled, Withdrawn:
		a.handleClient(event)
	case DrainOrdered, DrainCancelled, Killed:
		a.handleScheduler(event)
	case ListedReady, ListedDraining, ListedUnavailable, DiscoveryLost, DiscoveryRestored:
		a.handleInventory(event)
	case AttemptReceived:
		a.attemptReceived(event)
	case Rejected, Abandoned, Accepted, Started, Ended, Fenced:
		a.handleAttempt(event)
	case Crashed:
		a.report.Crashes++
		a.nodeLost(event)
	case Overloaded:
		a.violation(ruleWarmUp, event.At, "node %s was overloaded while warming up", event.Node)
		a.nodeLost(event)
	}
}

// handleClient applies an event of a client about a task.
func (a *auditor) handleClient(event *Event) {
	task := a.taskOf(event)
	switch event.Kind {
	case Submitted:
		task.submitted = true
		task.deadline = event.Deadline
	case Settled:
		a.taskSettled(event, task)
	case Withdrawn:
		task.excused = true
	}
}

// handleScheduler applies an event about a scheduler.
func (a *auditor) handleScheduler(event *Event) {
	order := drainOrder{event.Scheduler, event.Node}
	switch event.Kind {
	case DrainOrdered:
		a.drainOrderedAt[order] = event.At
	case DrainCancelled:
		delete(a.drainOrderedAt, order)
	case Killed:
		a.schedulerKilled(event.Scheduler)
	}
}

// schedulerKilled drops what a scheduler process knew: the drains that it was requested to make, and its tasks without an outcome.
func (a *auditor) schedulerKilled(scheduler string) {
	for order := range a.drainOrderedAt {
		if order.scheduler == scheduler {
			delete(a.drainOrderedAt, order)
		}
	}
	for _, uid := range a.uids {
		task := a.tasks[uid]
		if task.scheduler != scheduler || task.outcome != "" {
			continue
		}
		task.excused = true
		for _, attempt := range task.attempts {
			attempt.answerLost = true
		}
	}
}

// handleInventory applies an event about the inventory.
func (a *auditor) handleInventory(event *Event) {
	switch event.Kind {
	case ListedReady:
		delete(a.unavailableSince, event.Node)
	case ListedDraining, ListedUnavailable:
		if _, ok := a.unavailableSince[event.Node]; !ok {
			a.unavailableSince[event.Node] = event.At
		}
	case DiscoveryLost:
		a.discoveryLost = true
	case DiscoveryRestored:
		a.discoveryLost = false
		a.discoveryRestoredAt = event.At
	}
}

// nodeLost ends all attempts at a node that has failed.
func (a *auditor) nodeLost(event *Event) {
	for _, uid := range a.uids {
		for _, attempt := range a.tasks[uid].attempts {
			if attempt.node != event.Node {
				continue
			}
			a.attemptOver(attempt, false)
			attempt.close(event.At)
		}
	}
}

// handleAttempt applies an event about an attempt that its node has received.
func (a *auditor) handleAttempt(event *Event) {
	task := a.tasks[event.UID]
	if task == nil {
		return
	}
	switch event.Kind {
	case Rejected:
		a.report.Rejections++
	case Started:
		a.report.Starts++
		a.taskStarted(event, task)
	case Ended:
		a.report.Ends[event.Reason]++
	case Fenced:
		a.fence(task, event)
	}
	if attempt := task.findAttempt(event); attempt != nil {
		a.updateAttempt(task, attempt, event)
	}
}

// fence marks the attempts that a fence covers: those at its node, up to its number, that are not answered.
func (a *auditor) fence(task *taskRecord, event *Event) {
	for _, attempt := range task.attempts {
		if attempt.node == event.Node && attempt.number <= event.Attempt && attempt.state.unanswered() {
			a.setState(attempt, attemptFenced)
		}
	}
}

// updateAttempt changes the state of an attempt by an event about it.
func (a *auditor) updateAttempt(task *taskRecord, attempt *attemptRecord, event *Event) {
	switch event.Kind {
	case Abandoned:
		attempt.close(event.At)
		attempt.answerLost = true
	case Rejected, Accepted:
		attempt.close(event.At)
		a.attemptAnswered(attempt, event.Kind == Accepted)
	case Ended:
		a.endAll(task, event)
	}
}

// endAll ends all open attempts of a task at a node: those after the accepted one were duplicates of it.
func (a *auditor) endAll(task *taskRecord, event *Event) {
	for _, attempt := range task.attempts {
		if attempt.node == event.Node {
			a.attemptOver(attempt, event.Reason == NeverRan)
		}
	}
}
