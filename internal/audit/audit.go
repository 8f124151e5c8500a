// Package audit checks the five rules from what passed between the parties: offers as they arrived at machines and what became
// of them, the list as it was shown, and outcomes as a client saw them. It knows nothing of what a scheduler thinks.
//
// It is pure: events in, violations out.
package audit

import (
	"fmt"
	"sort"
	"strings"
)

// Event is one thing that passed.
type Event struct {
	At        float64 `json:"at"` // Unix seconds
	Kind      string  `json:"what"`
	Node      string  `json:"node,omitempty"`
	Scheduler string  `json:"scheduler,omitempty"`
	UID       string  `json:"uid,omitempty"`
	Attempt   int     `json:"attempt,omitempty"`
	Class     string  `json:"class,omitempty"`
	Service   string  `json:"service,omitempty"`
	Rack      string  `json:"rack,omitempty"`
	Zone      string  `json:"zone,omitempty"`
	Reason    string  `json:"reason,omitempty"`
	Deadline  float64 `json:"giveUp,omitempty"`
}

// What can pass. At machines: Up, Offered, Accepted, Refused, HungUp (the scheduler stopped waiting before the answer), Started,
// Ended (Reason), Sealed (an order to stop that found nothing: the attempt will not be taken), Crashed, Fell. At the inventory:
// ListedReady, ListedDraining, ListedGone, CutOff and CutOver. At clients: Told (a drain order was answered), Asked (a task was
// taken, with GiveUp), Settled (Reason is its outcome), Withdrawn (its owner took it back). Of schedulers: Killed.
const (
	NodeUp            = "up"
	AttemptReceived   = "offer"
	Accepted          = "accept"
	Rejected          = "refuse"
	Abandoned         = "hangup"
	Started           = "start"
	Ended             = "end"
	Fenced            = "seal"
	Crashed           = "crash"
	Overloaded        = "fall"
	ListedReady       = "listed-ready"
	ListedDraining    = "listed-draining"
	ListedUnavailable = "listed-gone"
	DiscoveryLost     = "cut-off"
	DiscoveryRestored = "cut-over"
	DrainOrdered      = "told"
	DrainCancelled    = "undrained"
	Submitted         = "asked"
	Settled           = "settled"
	Withdrawn         = "withdrawn"
	Killed            = "killed"
)

// NeverRan is the reason of an end that proves that the task never ran.
const NeverRan = "NeverStarted"

// Class is what the rules say of a class.
type Class struct {
	AtMostOnce   bool
	Idempotent   bool
	KeyScope     string // Keyed: machine, rack, zone or all
	KeyTTL       float64
	SpreadBy     string // machine, rack, zone or ""
	MaxPerDomain int
}

// Config is what the auditor checks by.
type Config struct {
	Classes    map[string]Class
	DrainGrace float64
	Slack      float64 // for clocks and the way between parties, in seconds
}

// Violation is a rule found broken.
type Violation struct {
	Rule int     `json:"Rule"` // 1 to 5
	At   float64 `json:"At"`
	Text string  `json:"Text"`
}

func (v Violation) String() string { return fmt.Sprintf("rule %d at %.3f: %s", v.Rule, v.At, v.Text) }

// Report is what an audit found.
type Report struct {
	Violations     []Violation    `json:"Violations"`
	Events         int            `json:"Events"`
	Tasks          int            `json:"Tasks"`     // asked
	Outcomes       map[string]int `json:"Outcomes"`  // of tasks, by reason
	WithoutOutcome int            `json:"Forgotten"` // without outcome because their scheduler was killed or their owner withdrew
	Attempts       int            `json:"Offers"`
	Rejections     int            `json:"Refusals"`
	Starts         int            `json:"Starts"`
	Ends           map[string]int `json:"Ends"` // by reason
	Crashes        int            `json:"Crashes"`
}

type attemptState struct {
	number           int
	node, rack, zone string
	sentAt, closedAt float64 // closed: answered or hung up; 0 while open
	rejected, fenced bool
	accepted         bool
	started          bool
	ended            bool
	neverRan         bool
	answerLost       bool // the scheduler never got the answer: to it the attempt is over
}

// provenNotRun says whether it is shown that the attempt never ran and will not.
func (attempt *attemptState) provenNotRun() bool {
	return attempt.rejected || attempt.fenced || attempt.neverRan
}

type taskState struct {
	uid, class, service, scheduler string
	deadline                       float64
	submitted, excused             bool
	outcome                        string
	settledAt                      float64
	attempts                       []*attemptState
	starts                         int
}

type auditor struct {
	config              Config
	report              Report
	tasks               map[string]*taskState
	uids                []string
	spreadTasks         map[string][]*taskState // of classes that spread, by scheduler and service
	unavailableSince    map[string]float64      // machine: since when schedulers are told of drain or absence by the list
	drainOrderedAt      map[string]float64      // scheduler and machine: since when it is told by an order
	discoveryLost       bool
	discoveryRestoredAt float64
}

// Check audits events. They are put in order of time first; those of one time keep their order.
func Check(config Config, events []Event) Report {
	if config.Slack <= 0 {
		config.Slack = 0.1
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	auditor := &auditor{config: config, tasks: map[string]*taskState{}, spreadTasks: map[string][]*taskState{}, unavailableSince: map[string]float64{}, drainOrderedAt: map[string]float64{}}
	auditor.report.Outcomes, auditor.report.Ends = map[string]int{}, map[string]int{}
	lastEvent := 0.0
	for i := range events {
		auditor.handle(&events[i])
		lastEvent = max(lastEvent, events[i].At)
	}
	auditor.finish(lastEvent)
	auditor.report.Events = len(events)
	sort.SliceStable(auditor.report.Violations, func(i, j int) bool { return auditor.report.Violations[i].At < auditor.report.Violations[j].At })
	return auditor.report
}

func (a *auditor) violation(rule int, at float64, format string, args ...any) {
	a.report.Violations = append(a.report.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

func (a *auditor) taskOf(event *Event) *taskState {
	task := a.tasks[event.UID]
	if task == nil {
		task = &taskState{uid: event.UID}
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

// findAttempt returns the offer that an event at a machine belongs to.
func (task *taskState) findAttempt(event *Event) *attemptState {
	for i := len(task.attempts) - 1; i >= 0; i-- {
		if attempt := task.attempts[i]; attempt.number == event.Attempt && attempt.node == event.Node {
			return attempt
		}
	}
	return nil
}

func (a *auditor) handle(event *Event) {
	switch event.Kind {
	case Submitted:
		task := a.taskOf(event)
		task.submitted, task.deadline = true, event.Deadline
	case Settled:
		a.taskSettled(event)
	case Withdrawn:
		a.taskOf(event).excused = true
	case Killed:
		// Orders to a scheduler end with its life.
		for key := range a.drainOrderedAt {
			if strings.HasPrefix(key, event.Scheduler+" ") {
				delete(a.drainOrderedAt, key)
			}
		}
		for _, uid := range a.uids {
			task := a.tasks[uid]
			if task.scheduler != event.Scheduler {
				continue
			}
			task.excused = task.excused || task.outcome == ""
			for _, attempt := range task.attempts {
				attempt.answerLost = attempt.answerLost || task.outcome == ""
			}
		}
	case ListedReady:
		delete(a.unavailableSince, event.Node)
	case ListedDraining, ListedUnavailable:
		if _, ok := a.unavailableSince[event.Node]; !ok {
			a.unavailableSince[event.Node] = event.At
		}
	case DiscoveryLost:
		a.discoveryLost = true
	case DiscoveryRestored:
		a.discoveryLost, a.discoveryRestoredAt = false, event.At
	case DrainOrdered:
		a.drainOrderedAt[event.Scheduler+" "+event.Node] = event.At
	case DrainCancelled:
		delete(a.drainOrderedAt, event.Scheduler+" "+event.Node)
	case AttemptReceived:
		a.attemptReceived(event)
	case Rejected, Abandoned, Accepted, Started, Ended, Fenced:
		a.attemptProgressed(event)
	case Crashed:
		a.report.Crashes++
		a.nodeLost(event)
	case Overloaded:
		a.violation(4, event.At, "machine %s was pushed over while cold", event.Node)
		a.nodeLost(event)
	}
}

// nodeLost ends all that a machine held.
func (a *auditor) nodeLost(event *Event) {
	for _, uid := range a.uids {
		for _, attempt := range a.tasks[uid].attempts {
			if attempt.node == event.Node {
				attempt.ended = true
				if attempt.closedAt == 0 {
					attempt.closedAt = event.At
				}
			}
		}
	}
}

func (a *auditor) taskSettled(event *Event) {
	task := a.taskOf(event)
	if task.outcome != "" {
		if task.outcome != event.Reason {
			a.violation(1, event.At, "task %s was %s and is now %s", task.uid, task.outcome, event.Reason)
		} else {
			a.violation(1, event.At, "task %s was told as %s twice", task.uid, event.Reason)
		}
		return
	}
	task.outcome, task.settledAt = event.Reason, event.At
	a.report.Outcomes[event.Reason]++
	if task.submitted && event.At > task.deadline+a.config.Slack {
		a.violation(1, event.At, "task %s was settled as %s %.3f s after its owner gave up", task.uid, event.Reason, event.At-task.deadline)
	}
}

func (a *auditor) attemptReceived(event *Event) {
	task := a.taskOf(event)
	class := a.config.Classes[task.class]
	a.report.Attempts++
	attempt := &attemptState{number: event.Attempt, node: event.Node, rack: event.Rack, zone: event.Zone, sentAt: event.At}
	if since, ok := a.unavailableSince[event.Node]; ok && !a.discoveryLost && event.At > max(since, a.discoveryRestoredAt+1)+a.config.DrainGrace+a.config.Slack {
		a.violation(3, event.At, "task %s was offered to %s, shown as draining or gone for %.3f s", task.uid, event.Node, event.At-since)
	}
	if since, ok := a.drainOrderedAt[event.Scheduler+" "+event.Node]; ok && event.At > since+a.config.DrainGrace+a.config.Slack {
		a.violation(3, event.At, "task %s was offered to %s %.3f s after its drain was ordered at %s", task.uid, event.Node, event.At-since, event.Scheduler)
	}
	for _, earlier := range task.attempts {
		if earlier.number >= attempt.number {
			if earlier.number == attempt.number && (class.AtMostOnce || earlier.node != attempt.node) {
				a.violation(2, event.At, "task %s: attempt %d was sent twice", task.uid, attempt.number)
			}
			continue
		}
		switch {
		case earlier.provenNotRun():
		case class.AtMostOnce:
			a.violation(2, event.At, "task %s must not run twice: offered to %s while attempt %d at %s may have run", task.uid, attempt.node, earlier.number, earlier.node)
		case class.Idempotent:
			if !sameDomain(class.KeyScope, earlier, attempt) || event.At > earlier.sentAt+class.KeyTTL+a.config.Slack {
				a.violation(2, event.At, "task %s: offered to %s %.3f s after a doubtful attempt at %s, outside what its key covers", task.uid, attempt.node, event.At-earlier.sentAt, earlier.node)
			}
		}
	}
	task.attempts = append(task.attempts, attempt)
	if class.SpreadBy != "" {
		a.checkSpread(event, task, attempt, class)
	}
}

func sameDomain(scope string, a, b *attemptState) bool {
	switch scope {
	case "all":
		return true
	case "zone":
		return a.zone == b.zone
	case "rack":
		return a.rack == b.rack
	}
	return a.node == b.node
}

// checkSpread counts what one scheduler has of a service in one place, as the machines see it.
func (a *auditor) checkSpread(event *Event, task *taskState, attempt *attemptState, class Class) {
	count := 0
	key := task.scheduler + " " + task.service
	if len(task.attempts) == 1 {
		a.spreadTasks[key] = append(a.spreadTasks[key], task)
	}
	for _, other := range a.spreadTasks[key] {
		for _, placed := range other.attempts {
			if placed.rejected || placed.fenced || placed.ended || placed.answerLost || !sameDomain(class.SpreadBy, placed, attempt) {
				continue
			}
			if placed.accepted || placed.closedAt == 0 {
				count++
			}
		}
	}
	if count > class.MaxPerDomain {
		a.violation(5, event.At, "service %s of %s has %d tasks in one %s (%s), %d are allowed", task.service, task.scheduler, count, class.SpreadBy, attempt.rack, class.MaxPerDomain)
	}
}

func (a *auditor) attemptProgressed(event *Event) {
	task := a.tasks[event.UID]
	if task == nil {
		return
	}
	attempt := task.findAttempt(event)
	switch event.Kind {
	case Rejected:
		a.report.Rejections++
	case Started:
		a.report.Starts++
		task.starts++
		if task.starts > 1 && a.config.Classes[task.class].AtMostOnce {
			a.violation(2, event.At, "task %s, which must not run twice, was started %d times, now on %s", task.uid, task.starts, event.Node)
		}
	case Ended:
		a.report.Ends[event.Reason]++
	case Fenced:
		// It covers every attempt up to this one at the machine.
		for _, other := range task.attempts {
			if other.node == event.Node && other.number <= event.Attempt && !other.accepted {
				other.fenced = true
			}
		}
	}
	if attempt == nil {
		return
	}
	if attempt.closedAt == 0 && event.Kind != Started && event.Kind != Ended && event.Kind != Fenced {
		attempt.closedAt = event.At
	}
	switch event.Kind {
	case Abandoned:
		attempt.answerLost = true
	case Rejected:
		attempt.rejected = !attempt.accepted
	case Accepted:
		attempt.accepted = true
	case Started:
		attempt.started = true
	case Ended:
		// It ends what later attempts of the task at this machine repeated as well.
		for _, other := range task.attempts {
			if other.node == event.Node && !other.rejected && !other.fenced && !other.ended {
				other.ended, other.neverRan = true, event.Reason == NeverRan
			}
		}
	}
}

func (a *auditor) finish(end float64) {
	for _, uid := range a.uids {
		task := a.tasks[uid]
		if task.submitted {
			a.report.Tasks++
			switch {
			case task.outcome != "":
			case task.excused:
				a.report.WithoutOutcome++
			case end > task.deadline+a.config.Slack:
				a.violation(1, task.deadline, "task %s has no outcome, its owner gave up", task.uid)
			}
		}
		for i, attempt := range task.attempts {
			closed := attempt.closedAt
			if closed == 0 {
				closed = end
			}
			for _, later := range task.attempts[i+1:] {
				if later.number > attempt.number && later.sentAt < closed-a.config.Slack {
					a.violation(2, later.sentAt, "task %s: attempt %d at %s went out while attempt %d at %s was out", task.uid, later.number, later.node, attempt.number, attempt.node)
				}
			}
		}
	}
}
