// Package audit checks the five rules of the scheduler from events that nodes, the inventory and clients recorded: attempts as they arrived at
// nodes and how they ended, nodes as the inventory listed them, and outcomes as a client saw them. It uses nothing that a scheduler reports of
// itself.
//
// Packages simulation and faultinjection collect the events of a run and call Check. Begin reading there: it passes the events to
// auditor.handle (auditor.go), which updates the records of tasks and attempts and calls the checks of the rules (rules.go). The states of an
// attempt are in attempt_state.go.
//
// The package is pure: events in, violations out.
package audit

import (
	"cmp"
	"fmt"
	"slices"

	"heathshed/placer"
)

// EventKind says what happened. The values are part of the form in which events are recorded, and do not change.
type EventKind string

// Event is something that a node, the inventory, a client or an operator observed. Fields that a kind does not use are empty.
type Event struct {
	At        placer.Seconds `json:"at"` // Unix time
	Kind      EventKind      `json:"what"`
	Node      string         `json:"node,omitempty"`
	Scheduler string         `json:"scheduler,omitempty"`
	UID       string         `json:"uid,omitempty"`
	Attempt   int            `json:"attempt,omitempty"`
	Class     string         `json:"class,omitempty"`
	Service   string         `json:"service,omitempty"`
	Rack      string         `json:"rack,omitempty"`
	Zone      string         `json:"zone,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	Deadline  placer.Seconds `json:"giveUp,omitempty"` // Unix time
}

// The kinds of events at nodes.
const (
	NodeUp          EventKind = "up"
	AttemptReceived EventKind = "offer"
	Accepted        EventKind = "accept"
	Rejected        EventKind = "refuse"
	Abandoned       EventKind = "hangup" // the connection closed before the answer was sent
	Started         EventKind = "start"
	Ended           EventKind = "end"  // Reason says why
	Fenced          EventKind = "seal" // a request to stop found no task: the node will reject attempts up to this one
	Crashed         EventKind = "crash"
	Overloaded      EventKind = "fall" // the node failed under load while it warmed up
)

// The kinds of events at the inventory.
const (
	ListedReady       EventKind = "listed-ready"
	ListedDraining    EventKind = "listed-draining"
	ListedUnavailable EventKind = "listed-gone" // not ready, or removed
	DiscoveryLost     EventKind = "cut-off"     // schedulers cannot reach the inventory
	DiscoveryRestored EventKind = "cut-over"
)

// The kinds of events at clients and operators.
const (
	Submitted      EventKind = "asked"     // a task was accepted by a scheduler, with a Deadline for its outcome
	Settled        EventKind = "settled"   // Reason is the outcome of a task
	Withdrawn      EventKind = "withdrawn" // the client deleted a task that had no outcome
	DrainOrdered   EventKind = "told"      // a scheduler acknowledged the request to drain a node
	DrainCancelled EventKind = "undrained"
	Killed         EventKind = "killed" // a scheduler process
)

// NeverRan is the reason of an end that proves that the task never ran.
const NeverRan = "NeverStarted"

// Domain is a part of the cluster that a rule refers to.
type Domain string

// The domains.
const (
	NoDomain      Domain = ""
	NodeDomain    Domain = "node"
	RackDomain    Domain = "rack"
	ZoneDomain    Domain = "zone"
	ClusterDomain Domain = "cluster"
)

// Class is what the rules require for a class of tasks.
type Class struct {
	AtMostOnce   bool
	Idempotent   bool
	DedupDomain  Domain         // of Idempotent: the nodes that drop duplicates of a task
	DedupWindow  placer.Seconds // of Idempotent: how long nodes remember the idempotency key
	SpreadDomain Domain         // or NoDomain
	MaxPerDomain int            // tasks of one service of one scheduler in one SpreadDomain
}

// Config configures an audit.
type Config struct {
	Classes    map[string]Class
	DrainGrace placer.Seconds // from a drain until a scheduler must respect it
	Slack      placer.Seconds // tolerance for clock differences and network latency; 0 or less is the default
}

const defaultSlack placer.Seconds = 0.1

// Rule is the number of a placement rule, 1 to 5.
type Rule int

// The rules.
const (
	ruleOutcome Rule = 1 // each task gets one outcome, by its deadline
	ruleRetry   Rule = 2 // a task is retried only where that is safe, and has one attempt at a time
	ruleDrain   Rule = 3 // a draining or unavailable node receives no attempts
	ruleWarmUp  Rule = 4 // a node that warms up is not overloaded
	ruleSpread  Rule = 5 // tasks of a service are spread over domains
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule           `json:"Rule"`
	At   placer.Seconds `json:"At"` // Unix time
	Text string         `json:"Text"`
}

func (v Violation) String() string { return fmt.Sprintf("rule %d at %.3f: %s", v.Rule, v.At, v.Text) }

// Report holds the violations and counts of an audit.
type Report struct {
	Violations     []Violation    `json:"Violations"` // in order of time
	Events         int            `json:"Events"`
	Tasks          int            `json:"Tasks"`     // submitted
	Outcomes       map[string]int `json:"Outcomes"`  // tasks by outcome
	WithoutOutcome int            `json:"Forgotten"` // tasks for which none is due: their scheduler was killed, or their client withdrew them
	Attempts       int            `json:"Offers"`
	Rejections     int            `json:"Refusals"`
	Starts         int            `json:"Starts"`
	Ends           map[string]int `json:"Ends"` // by reason
	Crashes        int            `json:"Crashes"`
}

// Check audits events. It sorts them by time; events of the same time keep their order.
func Check(config Config, events []Event) Report { return auditEvents(config, events).report }

// auditEvents audits events and returns the auditor in its final state, which tests inspect.
func auditEvents(config Config, events []Event) *auditor {
	if config.Slack <= 0 {
		config.Slack = defaultSlack
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	auditor := newAuditor(config)
	lastEvent := placer.Seconds(0)
	for i := range events {
		auditor.handle(&events[i])
		lastEvent = max(lastEvent, events[i].At)
	}
	auditor.finish(lastEvent)
	auditor.report.Events = len(events)
	slices.SortStableFunc(auditor.report.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return auditor
}
