// Package gate decides what is asked of the placer when more is asked than the fleet can start: how many asks are under way at a
// time, whose turn it is, what is refused early because it could no longer start in time, and how much may be asked again.
//
// It is pure: time is passed in, there is no randomness. It decides nothing about where a task goes.
package admission

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// Config sets the gate up. Times are in seconds.
type Config struct {
	Shares []float64 // of the tenants; one of share 0 counts as the smallest share there is, none at all is one tenant
	// MinInFlight and MaxInFlight bound the learned limit on asks under way; it begins at Start.
	MinInFlight, MaxInFlight, Start float64
	// Decrease is what the limit is multiplied by while more than LatePart of the asks come back late or not placed, at most once in a
	// Window. A lower part says nothing: there are always some that no machine may take.
	Decrease, Window, LateFraction float64
	// MaxWaiting bounds the asks that wait, over all tenants.
	MaxWaiting int
	// An ask again draws one from a budget of at most RetryBurst. It has it back, with RetryRatio more, when it is placed; a first ask that
	// is placed brings RetryRatio; time brings RetryRate a second.
	RetryRatio, RetryRate, RetryBurst float64
	// ShedDraws is a mistake that was made once and is kept for experiments: an item is shed at its Deadline, counts as asked again when it
	// comes back, and is shed at once if it is beyond the budget.
	ShedDraws bool
	// Additive keeps the limit from growing faster than by one for each time that all under way are answered.
	Additive bool
	// Disabled lets everything pass, and still counts.
	Disabled bool
}

// DefaultConfig has the figures of the docs.
func DefaultConfig() Config {
	return Config{MinInFlight: 4, MaxInFlight: 4096, Start: 64, Decrease: 0.85, Window: 0.25, LateFraction: 0.3, MaxWaiting: 100000, RetryRatio: 0.3, RetryRate: 2,
		RetryBurst: 100}
}

// Check names the first field that cannot be used.
func (c *Config) Check() error {
	for _, f := range []struct {
		name      string
		v, lo, hi float64
	}{{"min in flight", c.MinInFlight, 1, c.MaxInFlight}, {"max in flight", c.MaxInFlight, 1, 1e9}, {"start", c.Start, 1, 1e9},
		{"decrease", c.Decrease, 0.01, 0.99}, {"window", c.Window, 0, 60}, {"late part", c.LateFraction, 0, 1}, {"max waiting", float64(c.MaxWaiting), 1, 1e9},
		{"retry ratio", c.RetryRatio, 0, 100}, {"retry rate", c.RetryRate, 0, 1e9}, {"retry burst", c.RetryBurst, 0, 1e9}} {
		if !(f.v >= f.lo && f.v <= f.hi) {
			return fmt.Errorf("gate: %s %v: want %v to %v", f.name, f.v, f.lo, f.hi)
		}
	}
	return nil
}

// Request is an ask that wants to pass.
type Request struct {
	ID               uint64
	Tenant           int
	Priority         int     // higher goes first within its tenant
	Cost             float64 // what it takes of the fleet, such as cores; at least a small amount is counted
	Deadline         float64 // when this ask is of no more use; it may be made again until the next
	Until            float64 // when its owner stops waiting for good; no earlier than Deadline
	LatencyObjective float64 // how soon a start is worth most, from its arrival
	// IsRetry says that the machines had it before and did not keep it. One that was only ever shed here is a first ask.
	IsRetry bool
	// Shed says that it was shed here before.
	Shed bool
}

// Decision says what becomes of an item.
type Decision uint8

// The verdicts. Pass: ask now. Wait: it stands in line. Shed: refuse it; a new try does no harm, but not before the delay.
const (
	Admit Decision = iota
	Wait
	Shed
)

// Shedding is an item that is refused, with the seconds before which it should not come again.
type Shedding struct {
	ID    uint64
	Delay float64
	Why   string
}

// Controller is the state. The zero value is not usable; see New.
type Controller struct {
	cfg      Config
	limit    float64
	lowered  float64 // time of the last decrease
	late     float64 // part of the asks that came back late, smoothed
	quickly  bool    // the limit grows by one for each good answer
	sound    float64 // since when no answer was late
	inFlight map[uint64]*flying
	young    []*flying // those under way, oldest first; ended ones are skipped
	fresh    int       // those of young that still count
	waiting  map[uint64]*entry
	expiry   expiry
	tenants  []*tenant
	virtual  float64 // of the tenant served last, in cost over share
	passRate float64 // asks let pass a second, smoothed
	passAt   float64
	budget   float64 // asks that may be made again
	budgetAt float64

	// Passed, Queued, Overdue, ShedLate, ShedFull and ShedRetry count.
	Admitted, Queued, Overdue, ShedLate, ShedFull, ShedRetry uint64
}

// flying is an ask under way. Past its aim it is parked: it waits for a machine that may take it, keeps nobody busy, and does not
// count against the limit.
type flying struct {
	at, aim float64
	counted bool
	draws   bool // on the budget
}

type tenant struct {
	share  float64
	passed float64        // virtual time: cost let pass over share
	lines  [kinds][]*line // by priority, the highest first
	n      [kinds]int
}

// The kinds of items, in the order in which a tenant's go: those that may still be in time, those that waited or were shed here until they
// are late whatever comes, and those that draw on the budget.
const (
	fresh = iota
	returned
	again
	kinds
)

func (t *tenant) waits() int { return t.n[fresh] + t.n[returned] + t.n[again] }

type entry struct {
	Request
	at     float64
	latest float64 // when it is overdue or, if it is that already, shed
	t      *tenant
	gone   bool
}

func (e *Request) kind() int {
	switch {
	case e.IsRetry:
		return again
	case e.Shed:
		return returned
	}
	return fresh
}

// line holds a tenant's items of one priority in order of arrival. Removed ones are skipped when they come to an end of it.
type line struct {
	priority int
	items    []*entry
	n        int
}

func (t *tenant) add(e *entry) {
	lines := &t.lines[e.kind()]
	i, found := slices.BinarySearchFunc(*lines, e.Priority, func(l *line, p int) int { return p - l.priority })
	if !found {
		*lines = slices.Insert(*lines, i, &line{priority: e.Priority})
	}
	l := (*lines)[i]
	l.items = append(l.items, e)
	l.n++
	t.n[e.kind()]++
}

// trim takes removed items off both ends.
func (l *line) trim() {
	for len(l.items) > 0 && l.items[0].gone {
		l.items[0] = nil
		l.items = l.items[1:]
	}
	for n := len(l.items); n > 0 && l.items[n-1].gone; n = len(l.items) {
		l.items[n-1] = nil
		l.items = l.items[:n-1]
	}
}

// expiry orders all that waits by when it must be looked at. Removed items are skipped when they come to the top.
type expiry []*entry

func (h expiry) Len() int           { return len(h) }
func (h expiry) Less(i, j int) bool { return h[i].latest < h[j].latest }
func (h expiry) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiry) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *expiry) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// first returns the item that expires first, or nil.
func (h *expiry) first() *entry {
	for len(*h) > 0 && (*h)[0].gone {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

// next returns the item whose turn it is. While the line is short the oldest goes first. Once the oldest has waited for a good part of
// its aim, the newest does: serving in order would make every one late, and a start within the aim is worth most.
func (t *tenant) next(now float64) *entry {
	for k := range kinds {
		if e := next(t.lines[k], now); e != nil {
			return e
		}
	}
	return nil
}

func next(lines []*line, now float64) *entry {
	for _, l := range lines {
		l.trim()
		if l.n == 0 {
			continue
		}
		if e := l.items[0]; now-e.at < e.LatencyObjective*patient {
			return e
		}
		return l.items[len(l.items)-1]
	}
	return nil
}

const patient = 0.4 // of its aim that the oldest may have waited before the newest goes first

// New makes a gate.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	g := &Controller{cfg: cfg, limit: min(max(cfg.Start, cfg.MinInFlight), cfg.MaxInFlight), inFlight: map[uint64]*flying{},
		waiting: map[uint64]*entry{}, budget: cfg.RetryBurst, quickly: !cfg.Additive}
	least := math.Inf(1)
	for _, s := range cfg.Shares {
		if s > 0 {
			least = min(least, s)
		}
	}
	if math.IsInf(least, 1) {
		least = 1
	}
	for _, s := range cfg.Shares {
		if !(s > 0) {
			s = least
		}
		g.tenants = append(g.tenants, &tenant{share: s})
	}
	if len(g.tenants) == 0 {
		g.tenants = []*tenant{{share: 1}}
	}
	return g, nil
}

// Budget is how many asks may be made again at once.
func (g *Controller) Budget() float64 { return g.budget }

// Limit is the present limit on asks under way.
func (g *Controller) Limit() float64 { return g.limit }

// InFlight is the number of asks under way.
func (g *Controller) InFlight() int { return len(g.inFlight) }

// Waiting is the number of items in line.
func (g *Controller) Waiting() int { return len(g.waiting) }

// Arrive takes an item. One that waits comes out of Next later; its delay says when to come again if it is shed.
func (g *Controller) Arrive(now float64, it Request) (Decision, Shedding) {
	if g.cfg.Disabled {
		g.pass(now, it.ID, it.LatencyObjective, false) // nothing draws on a budget that bounds nothing
		return Admit, Shedding{}
	}
	g.refill(now)
	if g.cfg.ShedDraws {
		it.IsRetry = it.IsRetry || it.Shed
		if it.IsRetry && g.budget < 1 {
			g.ShedRetry++
			return Shed, Shedding{it.ID, g.delay(), "too much is asked again"}
		}
		if !it.IsRetry {
			g.budget = min(g.budget+g.cfg.RetryRatio, g.cfg.RetryBurst)
		}
	}
	if it.Tenant < 0 || it.Tenant >= len(g.tenants) {
		it.Tenant = 0
	}
	t := g.tenants[it.Tenant]
	// What waits of a later kind holds up no earlier one.
	if g.ahead(it.kind()) == 0 && g.room(now) && (!it.IsRetry || g.budget >= 1) {
		g.charge(t, it.Cost)
		g.pass(now, it.ID, it.LatencyObjective, it.IsRetry)
		return Admit, Shedding{}
	}
	if len(g.waiting) >= g.cfg.MaxWaiting {
		g.ShedFull++
		return Shed, Shedding{it.ID, g.delay(), "too many asks wait"}
	}
	e := &entry{Request: it, at: now, t: t}
	e.latest = it.Deadline - it.LatencyObjective/2
	if !g.cfg.ShedDraws && it.kind() != fresh {
		e.latest = it.Until - it.LatencyObjective/2
	}
	if t.waits() == 0 {
		// A tenant that comes back does not make up for the time that it asked nothing.
		t.passed = max(t.passed, g.virtual)
	}
	g.stand(e)
	g.Queued++
	return Wait, Shedding{}
}

// stand puts an entry in line.
func (g *Controller) stand(e *entry) {
	g.waiting[e.ID] = e
	e.t.add(e)
	heap.Push(&g.expiry, e)
}

// ahead is how many wait that an arrival of a kind may not overtake.
func (g *Controller) ahead(kind int) (n int) {
	for _, t := range g.tenants {
		for k := range kind + 1 {
			n += t.n[k]
		}
	}
	return n
}

// room says whether one more may be under way.
func (g *Controller) room(now float64) bool {
	for len(g.young) > 0 {
		f := g.young[0]
		if f.counted && now-f.at < max(f.aim, 0.001) {
			break
		}
		g.settle(f)
		g.young[0] = nil
		g.young = g.young[1:]
	}
	return float64(g.fresh) < math.Floor(g.limit)
}

func (g *Controller) settle(f *flying) {
	if f.counted {
		f.counted = false
		g.fresh--
	}
}

func (g *Controller) charge(t *tenant, cost float64) {
	t.passed = max(t.passed, g.virtual)
	g.virtual = t.passed
	t.passed += max(cost, 0.01) / t.share
}

func (g *Controller) pass(now float64, id uint64, aim float64, draws bool) {
	f := &flying{now, aim, true, draws}
	if draws {
		g.budget--
	}
	g.inFlight[id] = f
	g.young = append(g.young, f)
	g.fresh++
	g.Admitted++
	// A rate smoothed over about a second.
	d := max(now-g.passAt, 0)
	g.passRate = g.passRate*math.Exp(-d) + 1
	g.passAt = now
}

// refill lets asks again accrue.
func (g *Controller) refill(now float64) {
	g.budget = min(g.budget+max(now-g.budgetAt, 0)*g.cfg.RetryRate, g.cfg.RetryBurst)
	g.budgetAt = max(g.budgetAt, now)
}

// delay is the advice to those refused: as long as the line takes, spread by how many were refused before, so that they do not come
// back as a wave.
func (g *Controller) delay() float64 {
	wait := 1 + float64(len(g.waiting))/max(g.passRate, 1)
	n := float64((g.ShedLate+g.ShedFull+g.ShedRetry)%16) / 16
	return min(wait, longestDelay) * (0.75 + 0.5*n)
}

// longestDelay bounds the advice: the rate in a bad minute says nothing of the time after it, and who was told to stay away for long would
// come back long after there is room.
const longestDelay = 15.0 // seconds

// Done takes the end of an ask: placed says that it was, at a time when it had been under way so long. The limit learns from it.
func (g *Controller) Done(now float64, id uint64, placed bool) {
	f, ok := g.inFlight[id]
	if !ok {
		return
	}
	delete(g.inFlight, id)
	under := float64(g.fresh)
	g.settle(f)
	if placed && !g.cfg.ShedDraws {
		// What the machines take is no waste: only an ask again that failed stays paid for.
		back := g.cfg.RetryRatio
		if f.draws {
			back++
		}
		g.budget = min(g.budget+back, g.cfg.RetryBurst)
	}
	late := 0.0
	if !placed || now-f.at > max(f.aim, 0.001)/2 {
		late = 1
	}
	g.late += (late - g.late) * 0.05
	if late > 0 {
		g.sound = now
	}
	switch {
	case g.late > g.cfg.LateFraction && late > 0 && now-g.lowered >= g.cfg.Window:
		// Additive increase, multiplicative decrease: what was under way when it got late is the measure, not a limit that was never
		// reached.
		g.limit = max(min(g.limit, under+1)*g.cfg.Decrease, g.cfg.MinInFlight)
		g.lowered, g.quickly = now, false
	case late == 0 && under >= math.Floor(g.limit)/2:
		// Slow start: from the beginning, and again once nothing has been late for a while, the limit doubles with each round of answers.
		// A limit that fell in a bad minute must not stay down for long after it.
		if !g.quickly && !g.cfg.Additive && now-g.sound >= soundFor*max(g.cfg.Window, 0.05) {
			g.quickly = true
		}
		step := 1 / max(g.limit, 1)
		if g.quickly && now-f.at <= max(f.aim, 0.001)/promptly {
			step = 1
		}
		g.limit = min(g.limit+step, g.cfg.MaxInFlight)
	}
}

// promptly is the part of its aim within which an answer must come for the limit to grow quickly: what takes longer stands in a line
// somewhere already, and doubling would only make that longer.
const promptly = 16.0

const soundFor = 4.0 // windows without a late answer until the limit grows quickly again

// Drop forgets an item wherever it is, with no lesson.
func (g *Controller) Drop(id uint64) {
	if f := g.inFlight[id]; f != nil {
		g.settle(f)
		delete(g.inFlight, id)
	}
	if e := g.waiting[id]; e != nil {
		g.remove(e)
	}
}

func (g *Controller) remove(e *entry) {
	delete(g.waiting, e.ID)
	e.gone = true
	e.t.n[e.kind()]--
	for _, l := range e.t.lines[e.kind()] {
		if l.priority == e.Priority {
			l.n--
		}
	}
}

// Next says which items pass now and which are refused because they could no longer start before their owner gives up.
func (g *Controller) Next(now float64) (pass []uint64, shed []Shedding) {
	g.refill(now)
	for e := g.expiry.first(); e != nil && e.latest <= now; e = g.expiry.first() {
		if last := e.Until - e.LatencyObjective/2; last > now && !g.cfg.ShedDraws {
			// It is late whatever comes, but its owner still wants it: it steps back behind those that are not.
			g.remove(e)
			back := &entry{Request: e.Request, at: e.at, latest: last, t: e.t}
			back.Shed = true
			g.stand(back)
			g.Overdue++
			continue
		}
		why := "it waited until it could no longer start in time"
		if e.IsRetry && g.budget < 1 {
			why = "too much is asked again"
			g.ShedRetry++
		} else {
			g.ShedLate++
		}
		g.remove(e)
		shed = append(shed, Shedding{e.ID, g.delay(), why})
	}
	for len(g.waiting) > 0 && g.room(now) {
		// The tenant that has had least for its share is next; what one does not use the others have.
		var t *tenant
		for _, x := range g.tenants {
			if x.n[fresh]+x.n[returned] == 0 && (x.n[again] == 0 || g.budget < 1) {
				continue
			}
			if t == nil || x.passed < t.passed {
				t = x
			}
		}
		if t == nil {
			break // asks again that wait for the budget
		}
		e := t.next(now)
		g.remove(e)
		g.charge(t, e.Cost)
		g.pass(now, e.ID, e.LatencyObjective, e.IsRetry)
		pass = append(pass, e.ID)
	}
	return pass, shed
}

// NextDeadline is when Next should be called at the latest although nothing ends: infinity if nothing waits.
func (g *Controller) NextDeadline() float64 {
	at := math.Inf(1)
	if len(g.waiting) > 0 && len(g.young) > 0 {
		at = g.young[0].at + max(g.young[0].aim, 0.001)
	}
	if e := g.expiry.first(); e != nil {
		at = min(at, e.latest)
	}
	if g.budget < 1 && g.cfg.RetryRate > 0 && len(g.waiting) > 0 {
		at = min(at, g.budgetAt+(1-g.budget)/g.cfg.RetryRate)
	}
	return at
}
