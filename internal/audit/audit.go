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
	What      string  `json:"what"`
	Node      string  `json:"node,omitempty"`
	Scheduler string  `json:"scheduler,omitempty"`
	UID       string  `json:"uid,omitempty"`
	Attempt   int     `json:"attempt,omitempty"`
	Class     string  `json:"class,omitempty"`
	Service   string  `json:"service,omitempty"`
	Rack      string  `json:"rack,omitempty"`
	Zone      string  `json:"zone,omitempty"`
	Reason    string  `json:"reason,omitempty"`
	GiveUp    float64 `json:"giveUp,omitempty"`
}

// What can pass. At machines: Up, Offered, Accepted, Refused, HungUp (the scheduler stopped waiting before the answer), Started,
// Ended (Reason), Sealed (an order to stop that found nothing: the attempt will not be taken), Crashed, Fell. At the inventory:
// ListedReady, ListedDraining, ListedGone, CutOff and CutOver. At clients: Told (a drain order was answered), Asked (a task was
// taken, with GiveUp), Settled (Reason is its outcome), Withdrawn (its owner took it back). Of schedulers: Killed.
const (
	Up             = "up"
	Offered        = "offer"
	Accepted       = "accept"
	Refused        = "refuse"
	HungUp         = "hangup"
	Started        = "start"
	Ended          = "end"
	Sealed         = "seal"
	Crashed        = "crash"
	Fell           = "fall"
	ListedReady    = "listed-ready"
	ListedDraining = "listed-draining"
	ListedGone     = "listed-gone"
	CutOff         = "cut-off"
	CutOver        = "cut-over"
	Told           = "told"
	Undrained      = "undrained"
	Asked          = "asked"
	Settled        = "settled"
	Withdrawn      = "withdrawn"
	Killed         = "killed"
)

// NeverRan is the reason of an end that proves that the task never ran.
const NeverRan = "NeverStarted"

// Class is what the rules say of a class.
type Class struct {
	Once   bool
	Keyed  bool
	Group  string // Keyed: machine, rack, zone or all
	TTL    float64
	Apart  string // machine, rack, zone or ""
	AtMost int
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
	Violations []Violation    `json:"Violations"`
	Events     int            `json:"Events"`
	Tasks      int            `json:"Tasks"`     // asked
	Outcomes   map[string]int `json:"Outcomes"`  // of tasks, by reason
	Forgotten  int            `json:"Forgotten"` // without outcome because their scheduler was killed or their owner withdrew
	Offers     int            `json:"Offers"`
	Refusals   int            `json:"Refusals"`
	Starts     int            `json:"Starts"`
	Ends       map[string]int `json:"Ends"` // by reason
	Crashes    int            `json:"Crashes"`
}

type offer struct {
	attempt          int
	node, rack, zone string
	at, closed       float64 // closed: answered or hung up; 0 while open
	refused, sealed  bool
	accepted         bool
	started          bool
	ended            bool
	neverRan         bool
	unheard          bool // the scheduler never got the answer: to it the attempt is over
}

// safe says whether it is shown that the attempt never ran and will not.
func (o *offer) safe() bool { return o.refused || o.sealed || o.neverRan }

type task struct {
	uid, class, service, scheduler string
	giveUp                         float64
	asked, forgotten               bool
	outcome                        string
	settledAt                      float64
	offers                         []*offer
	starts                         int
}

type audit struct {
	cfg    Config
	rep    Report
	tasks  map[string]*task
	order  []string
	crowd  map[string][]*task // of classes that spread, by scheduler and service
	shut   map[string]float64 // machine: since when schedulers are told of drain or absence by the list
	told   map[string]float64 // scheduler and machine: since when it is told by an order
	cut    bool
	cutEnd float64
}

// Check audits events. They are put in order of time first; those of one time keep their order.
func Check(cfg Config, events []Event) Report {
	if cfg.Slack <= 0 {
		cfg.Slack = 0.1
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	a := &audit{cfg: cfg, tasks: map[string]*task{}, crowd: map[string][]*task{}, shut: map[string]float64{}, told: map[string]float64{}}
	a.rep.Outcomes, a.rep.Ends = map[string]int{}, map[string]int{}
	end := 0.0
	for i := range events {
		a.event(&events[i])
		end = max(end, events[i].At)
	}
	a.finish(end)
	a.rep.Events = len(events)
	sort.SliceStable(a.rep.Violations, func(i, j int) bool { return a.rep.Violations[i].At < a.rep.Violations[j].At })
	return a.rep
}

func (a *audit) broken(rule int, at float64, format string, args ...any) {
	a.rep.Violations = append(a.rep.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

func (a *audit) task(ev *Event) *task {
	t := a.tasks[ev.UID]
	if t == nil {
		t = &task{uid: ev.UID}
		a.tasks[ev.UID] = t
		a.order = append(a.order, ev.UID)
	}
	if ev.Class != "" {
		t.class = ev.Class
	}
	if ev.Service != "" {
		t.service = ev.Service
	}
	if ev.Scheduler != "" {
		t.scheduler = ev.Scheduler
	}
	return t
}

// find returns the offer that an event at a machine belongs to.
func (t *task) find(ev *Event) *offer {
	for i := len(t.offers) - 1; i >= 0; i-- {
		if o := t.offers[i]; o.attempt == ev.Attempt && o.node == ev.Node {
			return o
		}
	}
	return nil
}

func (a *audit) event(ev *Event) {
	switch ev.What {
	case Asked:
		t := a.task(ev)
		t.asked, t.giveUp = true, ev.GiveUp
	case Settled:
		a.settled(ev)
	case Withdrawn:
		a.task(ev).forgotten = true
	case Killed:
		// Orders to a scheduler end with its life.
		for k := range a.told {
			if strings.HasPrefix(k, ev.Scheduler+" ") {
				delete(a.told, k)
			}
		}
		for _, uid := range a.order {
			t := a.tasks[uid]
			if t.scheduler != ev.Scheduler {
				continue
			}
			t.forgotten = t.forgotten || t.outcome == ""
			for _, o := range t.offers {
				o.unheard = o.unheard || t.outcome == ""
			}
		}
	case ListedReady:
		delete(a.shut, ev.Node)
	case ListedDraining, ListedGone:
		if _, ok := a.shut[ev.Node]; !ok {
			a.shut[ev.Node] = ev.At
		}
	case CutOff:
		a.cut = true
	case CutOver:
		a.cut, a.cutEnd = false, ev.At
	case Told:
		a.told[ev.Scheduler+" "+ev.Node] = ev.At
	case Undrained:
		delete(a.told, ev.Scheduler+" "+ev.Node)
	case Offered:
		a.offered(ev)
	case Refused, HungUp, Accepted, Started, Ended, Sealed:
		a.answered(ev)
	case Crashed:
		a.rep.Crashes++
		a.lost(ev)
	case Fell:
		a.broken(4, ev.At, "machine %s was pushed over while cold", ev.Node)
		a.lost(ev)
	}
}

// lost ends all that a machine held.
func (a *audit) lost(ev *Event) {
	for _, uid := range a.order {
		for _, o := range a.tasks[uid].offers {
			if o.node == ev.Node {
				o.ended = true
				if o.closed == 0 {
					o.closed = ev.At
				}
			}
		}
	}
}

func (a *audit) settled(ev *Event) {
	t := a.task(ev)
	if t.outcome != "" {
		if t.outcome != ev.Reason {
			a.broken(1, ev.At, "task %s was %s and is now %s", t.uid, t.outcome, ev.Reason)
		} else {
			a.broken(1, ev.At, "task %s was told as %s twice", t.uid, ev.Reason)
		}
		return
	}
	t.outcome, t.settledAt = ev.Reason, ev.At
	a.rep.Outcomes[ev.Reason]++
	if t.asked && ev.At > t.giveUp+a.cfg.Slack {
		a.broken(1, ev.At, "task %s was settled as %s %.3f s after its owner gave up", t.uid, ev.Reason, ev.At-t.giveUp)
	}
}

func (a *audit) offered(ev *Event) {
	t := a.task(ev)
	c := a.cfg.Classes[t.class]
	a.rep.Offers++
	o := &offer{attempt: ev.Attempt, node: ev.Node, rack: ev.Rack, zone: ev.Zone, at: ev.At}
	if since, ok := a.shut[ev.Node]; ok && !a.cut && ev.At > max(since, a.cutEnd+1)+a.cfg.DrainGrace+a.cfg.Slack {
		a.broken(3, ev.At, "task %s was offered to %s, shown as draining or gone for %.3f s", t.uid, ev.Node, ev.At-since)
	}
	if since, ok := a.told[ev.Scheduler+" "+ev.Node]; ok && ev.At > since+a.cfg.DrainGrace+a.cfg.Slack {
		a.broken(3, ev.At, "task %s was offered to %s %.3f s after its drain was ordered at %s", t.uid, ev.Node, ev.At-since, ev.Scheduler)
	}
	for _, p := range t.offers {
		if p.attempt >= o.attempt {
			if p.attempt == o.attempt && (c.Once || p.node != o.node) {
				a.broken(2, ev.At, "task %s: attempt %d was sent twice", t.uid, o.attempt)
			}
			continue
		}
		switch {
		case p.safe():
		case c.Once:
			a.broken(2, ev.At, "task %s must not run twice: offered to %s while attempt %d at %s may have run", t.uid, o.node, p.attempt, p.node)
		case c.Keyed:
			if !sameGroup(c.Group, p, o) || ev.At > p.at+c.TTL+a.cfg.Slack {
				a.broken(2, ev.At, "task %s: offered to %s %.3f s after a doubtful attempt at %s, outside what its key covers", t.uid, o.node, ev.At-p.at, p.node)
			}
		}
	}
	t.offers = append(t.offers, o)
	if c.Apart != "" {
		a.spread(ev, t, o, c)
	}
}

func sameGroup(group string, a, b *offer) bool {
	switch group {
	case "all":
		return true
	case "zone":
		return a.zone == b.zone
	case "rack":
		return a.rack == b.rack
	}
	return a.node == b.node
}

// spread counts what one scheduler has of a service in one place, as the machines see it.
func (a *audit) spread(ev *Event, t *task, o *offer, c Class) {
	n := 0
	key := t.scheduler + " " + t.service
	if len(t.offers) == 1 {
		a.crowd[key] = append(a.crowd[key], t)
	}
	for _, u := range a.crowd[key] {
		for _, p := range u.offers {
			if p.refused || p.sealed || p.ended || p.unheard || !sameGroup(c.Apart, p, o) {
				continue
			}
			if p.accepted || p.closed == 0 {
				n++
			}
		}
	}
	if n > c.AtMost {
		a.broken(5, ev.At, "service %s of %s has %d tasks in one %s (%s), %d are allowed", t.service, t.scheduler, n, c.Apart, o.rack, c.AtMost)
	}
}

func (a *audit) answered(ev *Event) {
	t := a.tasks[ev.UID]
	if t == nil {
		return
	}
	o := t.find(ev)
	switch ev.What {
	case Refused:
		a.rep.Refusals++
	case Started:
		a.rep.Starts++
		t.starts++
		if t.starts > 1 && a.cfg.Classes[t.class].Once {
			a.broken(2, ev.At, "task %s, which must not run twice, was started %d times, now on %s", t.uid, t.starts, ev.Node)
		}
	case Ended:
		a.rep.Ends[ev.Reason]++
	case Sealed:
		// It covers every attempt up to this one at the machine.
		for _, p := range t.offers {
			if p.node == ev.Node && p.attempt <= ev.Attempt && !p.accepted {
				p.sealed = true
			}
		}
	}
	if o == nil {
		return
	}
	if o.closed == 0 && ev.What != Started && ev.What != Ended && ev.What != Sealed {
		o.closed = ev.At
	}
	switch ev.What {
	case HungUp:
		o.unheard = true
	case Refused:
		o.refused = !o.accepted
	case Accepted:
		o.accepted = true
	case Started:
		o.started = true
	case Ended:
		// It ends what later attempts of the task at this machine repeated as well.
		for _, p := range t.offers {
			if p.node == ev.Node && !p.refused && !p.sealed && !p.ended {
				p.ended, p.neverRan = true, ev.Reason == NeverRan
			}
		}
	}
}

func (a *audit) finish(end float64) {
	for _, uid := range a.order {
		t := a.tasks[uid]
		if t.asked {
			a.rep.Tasks++
			switch {
			case t.outcome != "":
			case t.forgotten:
				a.rep.Forgotten++
			case end > t.giveUp+a.cfg.Slack:
				a.broken(1, t.giveUp, "task %s has no outcome, its owner gave up", t.uid)
			}
		}
		for i, o := range t.offers {
			closed := o.closed
			if closed == 0 {
				closed = end
			}
			for _, p := range t.offers[i+1:] {
				if p.attempt > o.attempt && p.at < closed-a.cfg.Slack {
					a.broken(2, p.at, "task %s: attempt %d at %s went out while attempt %d at %s was out", t.uid, p.attempt, p.node, o.attempt, o.node)
				}
			}
		}
	}
}
