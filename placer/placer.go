package placer

// The interface of this module (configuration, events, actions) stands in api.go; state.go only keeps books.
// All decisions are here. The ordinary path is an adaption of k-COLLISION: filter, draw two at random, skip
// crowded ones, offer the emptier, then the other, then wait and draw afresh. See docs/design.md.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	crowding    = 2.0  // c of the design: a machine may have c times its part of the pending tasks
	window      = 2.0  // seconds for which a bind counts as a contender; the design's own figure
	redraws     = 8    // draws at once when both of a pair are passed over
	wait        = 1.0  // seconds, mean, before a task that both refused draws afresh; the design's figure
	jitter      = 0.4  // part of every wait that is random, so that waves of tasks do not come back as waves
	memoryTight = 0.92 // of memory in use: beyond it machines slow down, at 1 they evict
	fewTrusted  = 4    // mistrust may leave one in so many of the machines with room, never fewer
	maxStrikes  = 5    // doubles the time a machine is avoided, at most so many times
	firstAvoid  = 1.0  // aims for which a machine is avoided after its first strike
	learn       = 0.1  // weight of a new reading in running means
	fadeBorne   = 0.25 // of the fade of a class's service that is borne before a machine counts as too full
	packTo      = 0.8  // of what open machines bear is used before one more is opened
	runPatience = 0.7  // of the deadline, where the answer is the start: one given up still holds its room
	packKeep    = 0.95 // of packTo, under which an open one is closed again
	tidyEvery   = 0.1  // of window, between moves of one scheduler
	nearlyEmpty = 0.3  // of a machine is asked for when moving its last tasks begins
	homes       = 2    // machines drawn by a service's number, where its tasks come to many schedulers
	keptOwn     = 8    // own programs that a machine is taken to keep after their last task
	inAimWait   = 0.15 // of wait, when no machine passes and the aim can be met: such a start is worth most
	lateWait    = 0.6  // and after it, so that late tasks leave new room to those in time
	enoughAsked = 0.2  // of a machine must be asked for before its use says what asks come to
	staleReport = 2.0  // windows after which a report says nothing
	forgetAfter = 60.0 // seconds for which a machine that has gone is remembered with what it did
	keepMargin  = 0.9  // part of a group's memory of a key that is relied on
	coldMargin  = 1.1  // fall windows over which own sends to a cold machine are counted: links jitter
)

// Placer decides for one scheduler.
type Placer struct {
	cfg       Config
	rng       *rand.Rand
	now       float64
	born      float64
	started   bool
	out       []Action
	machines  []*machine
	byID      map[NodeID]*machine
	tasks     map[TaskID]*ask
	byService map[ServiceID][]*attempt
	wakes     map[uint64]wakeup
	nextWake  uint64
	pending   int // tasks without an answer
	pool      []*machine
	sorted    []*machine
	packed    bool
	packedAt  float64
	answers   []average // time to an answer, per class
	fresh     []average // time to a start on a machine that held no own task of the service, per class
	useCores  average   // use over ask, all machines
	useMemory average
	shortAim  float64

	listAsked, listHeard float64
	listFails            int
	listWake             uint64
	subscribed           bool
}

// New returns a Placer, or an error that names what in the configuration cannot be used.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	p := &Placer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		byID: map[NodeID]*machine{}, tasks: map[TaskID]*ask{}, byService: map[ServiceID][]*attempt{},
		wakes: map[uint64]wakeup{}, answers: make([]average, len(cfg.Classes)),
		fresh:    make([]average, len(cfg.Classes)),
		useCores: average{mean: 1}, useMemory: average{mean: 1},
		shortAim: math.Inf(1),
	}
	for _, c := range cfg.Classes {
		p.shortAim = min(p.shortAim, c.LatencyObjective)
	}
	return p, nil
}

// ---- Handle ----

// Handle takes one event and appends what to do now to actions.
func (p *Placer) Handle(now float64, ev Event, actions []Action) []Action {
	p.out = actions
	if !p.started {
		p.started, p.born = true, now
		if p.cfg.MustPollNodes {
			p.askList()
		}
		p.wakeIn(nil, wakeTidy, p.jittered(tidyEvery*window))
	}
	p.now = max(now, p.now)
	switch ev.Kind {
	case NodesListed:
		p.listed(ev)
	case Arrived:
		p.arrived(ev.Task)
	case Adopted:
		p.running(ev)
	case Bound:
		p.bound(ev)
	case Ended:
		p.ended(ev)
	case UsageReported:
		p.noted(ev)
	case Withdrawn:
		if t := p.tasks[ev.TaskID]; t != nil {
			p.close(t)
		}
	case TimerFired:
		p.woken(ev.Token)
	}
	out := p.out
	p.out = nil
	return out
}

func (p *Placer) arrived(task Task) {
	if _, twice := p.tasks[task.ID]; twice {
		return
	}
	t := &ask{Task: task, arrived: p.now}
	p.tasks[task.ID] = t
	p.pending++
	// Asks that are no numbers, or name no class, could never be kept books on: an answer at once, never
	// sent.
	if task.Class < 0 || task.Class >= len(p.cfg.Classes) || !(task.Cores >= 0) || !(task.Memory >= 0) ||
		math.IsInf(task.Cores, 0) || math.IsInf(task.Memory, 0) || !(task.Deadline > p.now) {
		p.answer(t)
		return
	}
	p.wakeIn(t, wakeDeadline, task.Deadline+p.cfg.AnswerGrace/2-p.now)
	p.place(t)
}

// running takes over a task that runs already. It counts for spread, and its loss is news of its machine.
func (p *Placer) running(ev Event) {
	if _, twice := p.tasks[ev.Task.ID]; twice {
		return
	}
	m := p.machine(ev.Node)
	t := &ask{Task: ev.Task, over: true, placed: true, arrived: p.now}
	a := &attempt{m: m, t: t, sent: p.now, out: true, bound: true}
	t.attempts = append(t.attempts, a)
	p.tasks[t.ID] = t
	m.hold(a)
	p.addService(a)
}

func (p *Placer) woken(token uint64) {
	w, ok := p.wakes[token]
	if !ok {
		return
	}
	delete(p.wakes, token)
	switch w.kind {
	case wakeList:
		if token == p.listWake {
			p.checkList()
		}
	case wakeTidy:
		p.tidy()
		p.forgetGone()
		p.wakeIn(nil, wakeTidy, p.jittered(tidyEvery*window))
	case wakeDeadline:
		// The time-out of an attempt is cut to the deadline and is answered when it comes; this is for
		// attempts whose outcome does not come, and for tasks that still wait.
		if !w.t.over {
			p.answer(w.t)
		}
	case wakeRedraw:
		if w.t.wake == token && !w.t.over && w.t.outstanding() == nil {
			p.place(w.t)
		}
	}
}

// ---- filter ----

// listed brings the books in line with the list. A machine that a full list leaves out is gone; one with a
// new start time has forgotten what we held against it.
func (p *Placer) listed(ev Event) {
	if ev.List == ListFailed {
		p.subscribed = false
		p.listFails++
		back := min(p.cfg.MaxPollInterval/2, p.shortAim*math.Exp2(float64(min(p.listFails, 6))))
		p.wakeIn(nil, wakeList, p.jittered(back))
		return
	}
	if ev.List != CachedList {
		p.subscribed, p.listFails, p.listHeard = true, 0, p.now
	}
	if ev.List != Changes {
		for _, m := range p.machines {
			m.State = Gone
		}
	}
	for _, n := range ev.Nodes {
		m := p.machine(n.ID)
		if m.known && n.StartedAt != m.StartedAt {
			m.strikes, m.avoidUntil, m.fullUntil, m.kept = 0, 0, 0, m.kept[:0]
			m.pending, m.reported = m.pending[:0], false
		}
		m.Node, m.known = n, true
		if n.NodeType >= 0 && n.NodeType < len(p.cfg.NodeTypes) {
			m.cores, m.memory = p.cfg.NodeTypes[n.NodeType].Cores, p.cfg.NodeTypes[n.NodeType].Memory
		}
	}
}

// filter returns the machines that t may be offered to now, in list order: those with room that are trusted,
// or all with room where these are too few.
func (p *Placer) filter(t *ask) []*machine {
	ready, sound := 0, 0
	for _, m := range p.machines {
		if m.State == Ready {
			ready++
			if m.sound = p.trusted(t, m); m.sound {
				sound++
			}
		}
	}
	// Mistrust must not leave so few machines that these drown: a cause common to many is no machine's fault.
	// Neither room nor spread counts here: a dead machine shows the room of the tasks it lost, and those that
	// a service may still use can all be dead; they would draw all offers.
	all := sound*fewTrusted < ready
	p.pool = p.pool[:0]
	for _, m := range p.machines {
		if m.State == Ready && (m.sound || all) && p.legal(t, m) && p.fits(t, m) {
			p.pool = append(p.pool, m)
		}
	}
	// Machines held in reserve are passed over while others have room.
	p.pack()
	p.pool = prefer(p.pool, func(m *machine) bool { return !m.reserve })
	if !p.agreed() {
		p.pool = prefer(p.pool, calm)
	}
	if !(p.cfg.CrossZoneCost > 0) {
		return p.pool
	}
	// Tasks in another zone have a price here: own machines first, while they have room.
	return prefer(p.pool, func(m *machine) bool { return m.Node.Zone == p.cfg.Zone })
}

// pack holds machines in reserve where machines in use have a price and the list shows that fewer would do.
// All schedulers see the same list and agree without a word: large machines first, for one costs as much as a
// small one, then by number. What the list shows as asked, at the learned use, must fit the open ones with
// some room.
func (p *Placer) pack() {
	if !(p.cfg.NodeCost > 0) || !p.cfg.ListShowsCapacity || p.packed && p.now-p.packedAt < window/20 {
		return
	}
	p.packed, p.packedAt = true, p.now
	p.sorted = p.sorted[:0]
	var uc, um, ac, am float64
	for _, m := range p.machines {
		if m.known && m.State != Gone && m.cores > 0 {
			c, mem, _ := p.room(m)
			ac += m.cores - c
			am += m.memory - mem
			if m.State == Ready {
				p.sorted = append(p.sorted, m)
			}
		}
	}
	calm := math.Inf(1)
	for _, k := range p.cfg.Classes {
		calm = min(calm, k.SaturationThreshold)
	}
	uc, um = ac*p.useCores.mean, am*p.useMemory.mean
	slices.SortFunc(p.sorted, func(a, b *machine) int {
		if a.cores != b.cores {
			return cmp.Compare(b.cores, a.cores)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var c, mem float64
	for i, m := range p.sorted {
		to := packTo
		if !m.reserve {
			to *= packKeep // what is open stays open for a while: each change leaves tasks behind on machines
		}
		was := m.reserve
		m.reserve = i > 1 && uc <= c*calm*to && um <= mem*memoryTight*to &&
			ac <= c*p.cfg.OvercommitCores*to && am <= mem*p.cfg.OvercommitMemory*to
		if m.reserve && !was {
			m.reserveSince = p.now
		}
		if m.strikes == 0 && !p.cold(m) { // a cold one takes few: counted in, it would close warm ones
			c += m.cores
			mem += m.memory
		}
	}
}

// tidy moves the last own tasks off a machine that has been in reserve for long: they would keep it in use
// until the longest of them ends. It must be nearly empty, so that peers who do the same move few tasks.
func (p *Placer) tidy() {
	p.pack()
	if p.cfg.NodeCost <= p.cfg.MigrationCost {
		return
	}
	for _, m := range p.sorted {
		c, mem, _ := p.room(m)
		asked := max((m.cores-c)/m.cores, (m.memory-mem)/m.memory)
		if !m.reserve || len(m.held) == 0 || p.now-m.reserveSince < window || asked > nearlyEmpty {
			continue
		}
		a := m.held[p.rng.IntN(len(m.held))]
		if a.t.moved {
			continue
		}
		a.t.moved = true
		p.out = append(p.out, Action{Kind: Migrate, Task: a.t.ID})
		return
	}
}

// forgetGone drops machines that left the list long ago and hold nothing of ours, so that a fleet whose
// machines are replaced for days does not grow the books.
func (p *Placer) forgetGone() {
	p.machines = slices.DeleteFunc(p.machines, func(m *machine) bool {
		if m.State != Gone || !m.known || m.open > 0 || len(m.held) > 0 || len(m.services) > 0 {
			m.goneAt = 0
			return false
		}
		if m.goneAt == 0 {
			m.goneAt = p.now
		}
		if p.now-m.goneAt < forgetAfter {
			return false
		}
		delete(p.byID, m.ID)
		return true
	})
}

// fits says whether neither list nor report nor a fresh refusal shows m as too full for the ask.
func (p *Placer) fits(t *ask, m *machine) bool {
	if m.fullUntil > p.now {
		return false
	}
	c, mem, heard := p.room(m)
	if !heard {
		return true
	}
	if c+(p.cfg.OvercommitCores-1)*m.cores < t.Cores || mem+(p.cfg.OvercommitMemory-1)*m.memory < t.Memory {
		return false
	}
	// Accepting is not serving: memory in use near the size slows all tasks or evicts them, and these come
	// again and push out others. What is asked stands for what will be used.
	uc, um := (m.cores-c)*p.useCores.mean, (m.memory-mem)*p.useMemory.mean
	if m.reported && p.now-m.reportAt < window {
		rc, rm := 0.0, 0.0
		for _, d := range m.pending {
			if d.at > m.reportAt-window/2 {
				rc += d.cores * p.useCores.mean
				rm += d.memory * p.useMemory.mean
			}
		}
		if !math.IsNaN(m.report.Utilization) {
			uc = m.report.Utilization*m.cores + rc
		} else if p.cfg.ReportsUsage && !math.IsNaN(m.report.FreeCores) {
			uc = m.cores - m.report.FreeCores + rc
		}
		if p.cfg.ReportsUsage && !math.IsNaN(m.report.FreeMemory) {
			um = max(um, m.memory-m.report.FreeMemory+rm) // memory of young tasks still grows
		}
	}
	k := &p.cfg.Classes[t.Class]
	threshold := k.SaturationThreshold + k.DegradationRange*fadeBorne
	m.busyAfter = (uc+t.Cores*p.useCores.mean)/m.cores - threshold
	return !p.cfg.ReportsUsage || um+t.Memory*p.useMemory.mean <= memoryTight*m.memory
}

// noted learns from news of an own task. What it uses of what it asked stands for all tasks until a machine
// has told: with few tasks a scheduler waits long for that and would take too many machines for needed.
func (p *Placer) noted(ev Event) {
	t := p.tasks[ev.TaskID]
	if t == nil || ev.Attempt < 0 || ev.Attempt >= len(t.attempts) {
		return
	}
	switch use := &p.useCores; ev.Usage {
	case Started:
		if t.attempts[ev.Attempt].fresh {
			p.fresh[t.Class].add(p.now-t.attempts[ev.Attempt].sent, learn)
		}
	case MemoryUsed:
		use = &p.useMemory
		fallthrough
	case CoresUsed:
		asked := t.Cores
		if ev.Usage == MemoryUsed {
			asked = t.Memory
		}
		if asked > 0 {
			use.hint(min(ev.Value/asked, 1), learn/2)
		}
	}
}

// learnUse keeps how much of what is asked is used, over all machines heard from.
func (p *Placer) learnUse(m *machine) {
	c, mem, heard := p.room(m)
	if !heard || m.cores-c < m.cores*enoughAsked || m.memory-mem < m.memory*enoughAsked {
		return
	}
	if r := m.report.Utilization; !math.IsNaN(r) {
		p.useCores.add(r*m.cores/(m.cores-c), learn/2)
	} else if r := m.report.FreeCores; p.cfg.ReportsUsage && !math.IsNaN(r) {
		p.useCores.add((m.cores-r)/(m.cores-c), learn/2)
	}
	if r := m.report.FreeMemory; p.cfg.ReportsUsage && !math.IsNaN(r) {
		p.useMemory.add((m.memory-r)/(m.memory-mem), learn/2)
	}
}

// room returns cores and memory of m that nobody asked for, own changes that the list cannot show yet
// included.
func (p *Placer) room(m *machine) (cores, memory float64, heard bool) {
	m.dropBefore(p.now - window)
	switch {
	case p.cfg.ListShowsCapacity && m.known:
		cores, memory = m.FreeCores, m.FreeMemory
	case m.reported && !p.cfg.ReportsUsage && p.now-m.reportAt < staleReport*window:
		cores, memory = m.report.FreeCores, m.report.FreeMemory
	default:
		return m.cores / 2, m.memory / 2, false
	}
	for _, d := range m.pending {
		cores -= d.cores
		memory -= d.memory
	}
	return cores, memory, true
}

// ---- draw ----

// draw picks two machines uniformly and puts the emptier first. Crowded ones are passed over. Where fresh
// starts are slow it draws among the machines that are likely to have the program first.
func (p *Placer) draw(t *ask) (first, second *machine) {
	set := p.filter(t)
	t.fresh = !p.slowFresh(t)
	if !t.fresh {
		if likely := prefer(p.likely(t, set), calm); len(likely) > 0 {
			if first, second = p.pair(t, likely); p.contenders(first) <= p.limit(len(likely)) {
				return first, second
			}
		}
		t.fresh = true
	}
	return p.pair(t, prefer(set, calm))
}

// calm says whether the cores are not used beyond what the class of the task at hand bears: that spoils the
// service of all that run there.
func calm(m *machine) bool { return m.busyAfter <= 0 }

// agreed says whether it is known where a service runs: its tasks come to one scheduler, or to so many that
// they go by its number. Then the program comes before calm cores, else the other way round.
func (p *Placer) agreed() bool { return p.cfg.StickyServices || p.cfg.Peers > 2*homes }

// pair draws two of the set at random, again while both are crowded. If every pair was crowded the last
// stands, less crowded first: holding the task back helps nobody.
func (p *Placer) pair(t *ask, set []*machine) (a, b *machine) {
	if len(set) == 0 {
		return nil, nil
	}
	k := p.limit(len(set))
	for range redraws {
		i := p.rng.IntN(len(set))
		a, b = set[i], nil
		if len(set) > 1 {
			j := p.rng.IntN(len(set) - 1)
			if j >= i {
				j++
			}
			b = set[j]
		}
		aIn := p.contenders(a) <= k
		bIn := b != nil && p.contenders(b) <= k
		switch {
		case aIn && bIn:
			return p.emptier(t, a, b)
		case aIn:
			return a, nil
		case bIn:
			return b, nil
		}
	}
	if b != nil && p.contenders(b) < p.contenders(a) {
		a, b = b, a
	}
	return a, b
}

// slowFresh says whether a start on a machine without the service's program is likely to miss the aim, as far
// as seen. Bins are then not equal, as the paper has them: those without the program are passed over like
// crowded ones. What is drawn stays uniform over all that passed.
func (p *Placer) slowFresh(t *ask) bool {
	f := &p.fresh[t.Class]
	return f.n == 0 || f.mean+f.dev > p.cfg.Classes[t.Class].LatencyObjective/2
}

// likely moves the machines that are likely to have the service's program to the front of the set and returns
// them: those that run own tasks of it, and where its tasks come to more schedulers than it needs machines,
// so that each sees too few of them, those that the service's number picks, the same for all without a word.
func (p *Placer) likely(t *ask, set []*machine) []*machine {
	n := 0
	for i, m := range set {
		if m.runs(t.Service) {
			set[n], set[i] = m, set[n]
			n++
		}
	}
	if p.cfg.StickyServices || !p.agreed() {
		return set[:n]
	}
	for _, m := range set {
		m.pull = chance(uint64(t.Service), uint64(m.ID))
	}
	for range homes {
		best := -1
		for i := n; i < len(set); i++ {
			if best < 0 || set[i].pull > set[best].pull {
				best = i
			}
		}
		if best < 0 {
			break
		}
		set[n], set[best] = set[best], set[n]
		n++
	}
	return set[:n]
}

// limit is k of the design: c times the pending tasks per machine that passed, at least 1. Pending are tasks
// without an answer and the binds that still count as contenders.
func (p *Placer) limit(n int) float64 {
	m := p.pending
	for _, x := range p.machines {
		for _, d := range x.pending {
			if d.bind {
				m++
			}
		}
	}
	return max(1, crowding*float64(m)/float64(n))
}

// contenders counts own open offers to m and own binds within the window.
func (p *Placer) contenders(m *machine) float64 {
	m.dropBefore(p.now - window)
	n := m.open
	for _, d := range m.pending {
		if d.bind {
			n++
		}
	}
	return float64(n)
}

func (p *Placer) emptier(t *ask, a, b *machine) (first, second *machine) {
	ra, rb := p.freeAfter(t, a), p.freeAfter(t, b)
	if ra == rb && p.rng.IntN(2) == 0 || rb > ra {
		return b, a
	}
	return a, b
}

// freeAfter is the smaller of the free shares of cores and memory once the ask is on m.
func (p *Placer) freeAfter(t *ask, m *machine) float64 {
	c, mem, _ := p.room(m)
	return min((c-t.Cores)/max(m.cores, 1e-9), (mem-t.Memory)/max(m.memory, 1e-9))
}

// ---- offer ----

// place takes the next step for a task that has no offer out: the other of the pair, a fresh pair, or a wait.
func (p *Placer) place(t *ask) {
	if len(t.attempts) >= p.cfg.MaxAttempts || !p.mayRetry(t) || t.Deadline-p.now <= p.cfg.AnswerGrace {
		p.answer(t)
		return
	}
	if o := t.other; o != nil {
		t.other = nil
		if p.legal(t, o) && p.fits(t, o) {
			p.offer(t, o)
			return
		}
	}
	first, second := p.draw(t)
	if first == nil {
		about := lateWait * wait
		if p.now < t.arrived+p.cfg.Classes[t.Class].LatencyObjective {
			about = inAimWait * wait
		}
		p.hold(t, about)
		return
	}
	t.refusals, t.other = 0, second
	p.offer(t, first)
}

func (p *Placer) offer(t *ask, m *machine) {
	a := &attempt{m: m, t: t, sent: p.now, out: true, fresh: t.fresh && !m.runs(t.Service)}
	t.attempts = append(t.attempts, a)
	m.open++
	m.pending = append(m.pending, delta{at: p.now, cores: t.Cores, memory: t.Memory})
	if p.cold(m) {
		m.coldSends = append(m.coldSends, p.now)
	}
	p.addService(a)
	p.out = append(p.out, Action{Kind: StartAttempt, Task: t.ID, Node: m.ID, Attempt: len(t.attempts) - 1,
		Until: min(t.Deadline, p.now+p.patience(t))})
}

// patience is how long an offer may go unanswered.
func (p *Placer) patience(t *ask) float64 {
	c, seen := &p.cfg.Classes[t.Class], &p.answers[t.Class]
	least := c.LatencyObjective / 2
	if p.cfg.AcknowledgesOnStart {
		return c.Deadline * runPatience
	} else if c.Idempotency == NonIdempotent {
		least = 2 * c.LatencyObjective
	}
	if seen.n == 0 {
		return max(least, c.Deadline/4)
	}
	return max(least, seen.mean+4*seen.dev)
}

// hold waits about so long and then draws afresh; too near the deadline it answers instead.
func (p *Placer) hold(t *ask, about float64) {
	after := min(p.jittered(about), t.Deadline-p.cfg.AnswerGrace-p.now)
	if after <= 0 {
		p.answer(t)
		return
	}
	t.other = nil
	p.wakeIn(t, wakeRedraw, after)
}

func (p *Placer) jittered(about float64) float64 {
	return about * (1 - jitter/2 + jitter*p.rng.Float64())
}

// ---- outcome ----

func (p *Placer) bound(ev Event) {
	t := p.tasks[ev.TaskID]
	if t == nil || ev.Attempt < 0 || ev.Attempt >= len(t.attempts) {
		return
	}
	a := t.attempts[ev.Attempt]
	if !a.out || a.bound {
		return
	}
	a.bound = true
	m := a.m
	m.open--
	p.rebook(m, a.sent, t, true)
	m.hold(a)
	p.answers[t.Class].add(ev.Elapsed, learn)
	if p.cfg.AcknowledgesOnStart && a.fresh {
		p.fresh[t.Class].add(ev.Elapsed, learn)
	}
	p.worked(m)
	t.placed = true
	p.close(t)
}

func (p *Placer) ended(ev Event) {
	t := p.tasks[ev.TaskID]
	if t == nil || ev.Attempt < 0 || ev.Attempt >= len(t.attempts) || !t.attempts[ev.Attempt].out {
		return
	}
	a := t.attempts[ev.Attempt]
	m := a.m
	a.out = false
	p.dropService(a)
	if ev.Report != nil {
		m.report, m.reportAt, m.reported = *ev.Report, p.now, true
		p.learnUse(m)
	}
	if a.bound {
		m.release(a)
		if m.services[t.Service] == 0 {
			m.keep(t.Service, keptOwn)
		}
		m.pending = append(m.pending, delta{at: p.now, cores: -t.Cores, memory: -t.Memory})
	} else {
		m.open--
		p.rebook(m, a.sent, t, false)
	}
	p.judge(ev, a)
	switch ev.Result {
	case Rejected, Unreachable, Expired:
	default:
		if !a.bound && t.doubt == nil {
			t.doubt = a
		}
	}
	if ev.Final || a.bound {
		p.close(t)
	}
	if t.over {
		p.forget(t)
		return
	}
	p.next(t, ev)
}

// next decides what follows an attempt that did not place the task.
func (p *Placer) next(t *ask, ev Event) {
	if ev.Result == Rejected && ev.Reason != WrongNode {
		t.refusals++
		if t.other == nil && t.refusals >= 2 {
			p.hold(t, wait)
			return
		}
	}
	p.place(t)
}

// ---- health ----

// judge draws what an outcome says of the machine, whatever the cause.
func (p *Placer) judge(ev Event, a *attempt) {
	m := a.m
	switch ev.Result {
	case Rejected:
		if ev.Reason != WrongNode {
			m.fullUntil = p.now + wait
		} else if p.cfg.Classes[a.t.Class].Idempotency != IdempotentByKey {
			p.strike(m) // it drains, before the list says so; of a keyed task a copy may stand
		}
	case Errored:
		p.erred(a)
	case Unreachable, TimedOut:
		p.strike(m)
	case Lost:
		if ev.Reason == NoReason || ev.Reason == Drained {
			p.strike(m)
		}
	}
}

// erred strikes the machine that answered with an error, unless the task has erred elsewhere: it is then more
// likely at fault itself than both machines, and neither is held to it. Else owners that ask for what no
// machine can run would have all of them mistrusted.
func (p *Placer) erred(a *attempt) {
	a.erred = true
	elsewhere := false
	for _, b := range a.t.attempts {
		if b.erred && b.m != a.m {
			elsewhere = true
			if b.struck && b.m.strikes > 0 {
				b.m.strikes--
				b.m.avoidUntil = min(b.m.avoidUntil, p.now)
			}
			b.struck = false
		}
	}
	a.struck = !elsewhere && p.strike(a.m)
}

// strike avoids a machine for a while, twice as long each time. Strikes of one moment count once, and the
// first returns true: a crash that loses twenty tasks is one event.
func (p *Placer) strike(m *machine) bool {
	if m.strikes > 0 && p.now-m.struckAt < p.shortAim/4 {
		return false
	}
	m.strikes = min(m.strikes+1, maxStrikes)
	m.struckAt = p.now
	m.avoidUntil = p.now + p.jittered(firstAvoid*p.shortAim*math.Exp2(float64(m.strikes-1)))
	return true
}

// worked takes a strike back, slowly: machines that fail only some starts would else be trusted at each
// success.
func (p *Placer) worked(m *machine) {
	if m.strikes > 0 && p.now >= m.avoidUntil {
		m.strikes--
		m.avoidUntil = p.now + p.shortAim/4
	}
}

// trusted says whether t may be tried on m: struck machines are tested one offer at a time, and not with
// tasks whose loss is dearer than a wait.
func (p *Placer) trusted(t *ask, m *machine) bool {
	if m.strikes == 0 {
		return true
	}
	return p.now >= m.avoidUntil && m.open == 0 && p.cfg.Classes[t.Class].Idempotency != NonIdempotent
}

// ---- rule guards ----

// legal is the one gate of every offer: it says whether the five rules allow t on m now.
func (p *Placer) legal(t *ask, m *machine) bool {
	c := &p.cfg.Classes[t.Class]
	// Rules 1 and 2: no offer after the end, none beside another, none too many.
	if t.over || t.Deadline <= p.now || len(t.attempts) >= p.cfg.MaxAttempts || t.outstanding() != nil {
		return false
	}
	// Rule 3: stop at the word of the list; the grace is not used, so late batches cannot break it.
	if !m.known || m.State != Ready || m.cores <= 0 {
		return false
	}
	if c.NodeType >= 0 && c.NodeType != m.NodeType ||
		t.doubt != nil && !(p.mayRetry(t) &&
			(c.Idempotency == Idempotent || together(c.DedupDomain, t.doubt.m, m))) {
		return false
	}
	return p.coldAllows(m) && p.spreadAllows(t, m)
}

// mayRetry says whether any further attempt may be made, as far as earlier ones go.
func (p *Placer) mayRetry(t *ask) bool {
	if t.doubt == nil {
		return true
	}
	switch c := &p.cfg.Classes[t.Class]; c.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return p.now < t.doubt.sent+keepMargin*c.DedupWindow
	}
	return false
}

func (p *Placer) cold(m *machine) bool {
	return m.StartedAt > 0 && p.now-m.StartedAt < p.cfg.WarmupDuration
}

// coldAllows keeps this scheduler within its part of the offers that a cold machine always bears. All parts
// add up to exactly that, however uneven the traffic. What does not divide goes to other peers at each
// machine, so that each of many has some cold machines open to it. A scheduler that has just started does not
// know what it sent before: it sends nothing cold until that is out of the window.
func (p *Placer) coldAllows(m *machine) bool {
	if !p.cold(m) {
		return true
	}
	span := coldMargin * p.cfg.OverloadWindow
	if p.now-p.born < span && p.born-m.StartedAt < p.cfg.WarmupDuration && p.born > m.StartedAt {
		return false
	}
	m.dropSends(p.now - span)
	all, peers := max(p.cfg.WarmupAttempts, 0), float64(p.cfg.Peers)
	part := math.Floor(all / peers)
	place := math.Floor(chance(uint64(m.ID), 0) * peers)
	if math.Mod(place+float64(p.cfg.Self), peers) < math.Floor(all-part*peers) {
		part++
	}
	return float64(len(m.coldSends)) < part
}

// spreadAllows counts all own attempts and running tasks of the service without an outcome. One on a machine
// that no list has named might stand anywhere, so it counts everywhere.
func (p *Placer) spreadAllows(t *ask, m *machine) bool {
	c := &p.cfg.Classes[t.Class]
	if c.SpreadDomain == NoDomain {
		return true
	}
	n := 1
	for _, a := range p.byService[t.Service] {
		if a.m == m || c.SpreadDomain != NodeDomain && (!a.m.known || together(c.SpreadDomain, a.m, m)) {
			n++
		}
	}
	return n <= c.MaxPerDomain
}

// askList asks for the list with changes from now on, and sees to it that it is asked again if nothing comes.
func (p *Placer) askList() {
	p.listAsked = p.now
	p.out = append(p.out, Action{Kind: WatchNodes})
	p.wakeIn(nil, wakeList, p.jittered(p.cfg.MaxPollInterval/2))
}

// checkList asks again after a failure, or when a subscription has been silent for long.
func (p *Placer) checkList() {
	quiet := p.cfg.MaxPollInterval / 3
	if !p.subscribed && p.now-p.listAsked > p.shortAim || p.now-max(p.listHeard, p.listAsked) > quiet {
		p.askList()
	} else {
		p.wakeIn(nil, wakeList, p.jittered(quiet))
	}
}

// ---- deadline ----

// answer gives the final answer to a task that is not placed: a refusal where it is known to do no harm, else
// a failure.
func (p *Placer) answer(t *ask) {
	ok := t.outstanding() == nil
	if ok && t.doubt != nil {
		c := &p.cfg.Classes[t.Class]
		ok = c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupDomain == ClusterDomain
	}
	if ok {
		p.out = append(p.out, Action{Kind: Reject, Task: t.ID})
	} else {
		p.out = append(p.out, Action{Kind: Fail, Task: t.ID})
	}
	p.close(t)
}

// close ends a task: nothing is sent for it any more.
func (p *Placer) close(t *ask) {
	if !t.over {
		t.over = true
		p.pending--
	}
	t.other = nil
	p.forget(t)
}
