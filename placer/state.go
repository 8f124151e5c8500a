package placer

import "slices"

// machine is what is known of one node.
type machine struct {
	Node
	cores, memory float64
	known         bool    // named by a list
	goneAt        float64 // since when it has been gone and empty, 0 if it is not
	open          int     // own offers without an answer
	pending       []delta
	report        Report
	reportAt      float64
	reported      bool
	coldSends     []float64
	fullUntil     float64 // a refusal stands until then
	busyAfter     float64 // of its cores, beyond what the ask bears; scratch of the filter
	pull          float64 // of the service at hand; scratch of the draw
	reserve       bool
	sound         bool // trusted with the ask at hand; scratch of the filter
	strikes       int
	struckAt      float64
	avoidUntil    float64
	services      map[ServiceID]int // own tasks that run here or are offered
	kept          []ServiceID       // services whose last own task left, the latest last
	held          []*attempt        // own tasks bound here
	reserveSince  float64
}

// delta is an own change in what is asked of a machine that the list may not show yet.
type delta struct {
	at            float64
	cores, memory float64
	bind          bool
}

// dropBefore forgets changes from before the given time.
func (m *machine) dropBefore(at float64) {
	i := 0
	for i < len(m.pending) && m.pending[i].at < at {
		i++
	}
	if i > 0 {
		m.pending = m.pending[:copy(m.pending, m.pending[i:])]
	}
}

// dropSends forgets sends to a cold machine from before the given time.
func (m *machine) dropSends(at float64) {
	i := 0
	for i < len(m.coldSends) && m.coldSends[i] < at {
		i++
	}
	if i > 0 {
		m.coldSends = m.coldSends[:copy(m.coldSends, m.coldSends[i:])]
	}
}

// attempt is one offer of a task, or a task found running.
type attempt struct {
	m      *machine
	t      *ask
	slot   int // in the machine's list of bound tasks
	sent   float64
	out    bool // no outcome yet
	bound  bool
	fresh  bool // the machine held no own task of the service at the bind
	erred  bool // it ended with an error
	struck bool // and the machine was struck for it
}

// ask is a task in hand.
type ask struct {
	Task
	attempts []*attempt
	other    *machine // the second of the pair
	refusals int      // of the present pair
	over     bool     // answered or ended
	placed   bool
	moved    bool
	fresh    bool     // drawn without regard to where the program is
	doubt    *attempt // the first attempt that may have run and was not bound
	wake     uint64
	arrived  float64
}

func (t *ask) outstanding() *attempt {
	for _, a := range t.attempts {
		if a.out {
			return a
		}
	}
	return nil
}

// wakeup is what a timer is for.
type wakeup struct {
	t    *ask
	kind wakeKind
}

type wakeKind uint8

const (
	wakeRedraw wakeKind = iota + 1
	wakeDeadline
	wakeList
	wakeTidy
)

// average is a running mean and deviation. Until the first reading hints stand in, the mean that it begins with
// counting as one of them; readings then go on from there, by number while these are few.
type average struct {
	mean, dev float64
	n, hints  int
}

func (a *average) add(x, weight float64) {
	if a.n++; a.n+a.hints == 1 {
		a.mean, a.dev = x, x/2
		return
	}
	if a.hints > 0 {
		weight = max(weight, 1/float64(a.n+a.hints))
	}
	d := x - a.mean
	a.mean += d * weight
	a.dev += (max(d, -d) - a.dev) * weight
}

func (a *average) hint(x, least float64) {
	if a.n == 0 {
		a.hints++
		a.mean += (x - a.mean) * max(least, 1/float64(a.hints+1))
	}
}

// runs says whether the machine holds or has just held an own task of the service, or is offered one.
func (m *machine) runs(s ServiceID) bool { return m.services[s] > 0 || slices.Contains(m.kept, s) }

// keep notes that the program of a service is on the machine though no own task of it is left.
func (m *machine) keep(s ServiceID, most int) {
	if i := slices.Index(m.kept, s); i >= 0 {
		m.kept = slices.Delete(m.kept, i, i+1)
	}
	if m.kept = append(m.kept, s); len(m.kept) > most {
		m.kept = slices.Delete(m.kept, 0, 1)
	}
}

// hold and release keep the list of own tasks bound to a machine.
func (m *machine) hold(a *attempt) {
	a.slot = len(m.held)
	m.held = append(m.held, a)
}

func (m *machine) release(a *attempt) {
	last := m.held[len(m.held)-1]
	m.held[a.slot], last.slot = last, a.slot
	m.held = m.held[:len(m.held)-1]
}

func (p *Placer) addService(a *attempt) {
	a.m.services[a.t.Service]++
	p.byService[a.t.Service] = append(p.byService[a.t.Service], a)
}

func (p *Placer) dropService(a *attempt) {
	if a.m.services[a.t.Service]--; a.m.services[a.t.Service] <= 0 {
		delete(a.m.services, a.t.Service)
	}
	s := p.byService[a.t.Service]
	for i, b := range s {
		if b == a {
			s[i] = s[len(s)-1]
			s[len(s)-1] = nil
			s = s[:len(s)-1]
			break
		}
	}
	if len(s) == 0 {
		delete(p.byService, a.t.Service)
		return
	}
	p.byService[a.t.Service] = s
}

// machine finds or makes the record of a node.
func (p *Placer) machine(id NodeID) *machine {
	m := p.byID[id]
	if m == nil {
		m = &machine{Node: Node{ID: id, NodeType: -1, Rack: -1, Zone: -1}, services: map[ServiceID]int{}}
		p.byID[id] = m
		p.machines = append(p.machines, m)
	}
	return m
}

// forget drops a task that is over and has no attempt without an outcome.
func (p *Placer) forget(t *ask) {
	if t.over && t.outstanding() == nil {
		delete(p.tasks, t.ID)
	}
}

// rebook replaces the entry of an open offer by a bind of now, or takes it out.
func (p *Placer) rebook(m *machine, sent float64, t *ask, bind bool) {
	for i, d := range m.pending {
		if d.at == sent && !d.bind && d.cores == t.Cores && d.memory == t.Memory {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			break
		}
	}
	if bind {
		m.pending = append(m.pending, delta{at: p.now, cores: t.Cores, memory: t.Memory, bind: true})
	}
}

// together says whether two machines share a place of the given kind.
func together(where TopologyDomain, a, b *machine) bool {
	switch where {
	case ClusterDomain:
		return true
	case ZoneDomain:
		return a.known && b.known && a.Node.Zone == b.Node.Zone
	case RackDomain:
		return a.known && b.known && a.Node.Rack == b.Node.Rack
	}
	return a == b
}

// prefer keeps those of the set that are wanted, or all if none is.
func prefer(set []*machine, want func(*machine) bool) []*machine {
	n := 0
	for _, m := range set {
		if want(m) {
			set[n] = m
			n++
		}
	}
	if n > 0 {
		return set[:n]
	}
	return set
}

func (p *Placer) wakeIn(t *ask, kind wakeKind, after float64) {
	p.nextWake++
	p.wakes[p.nextWake] = wakeup{t, kind}
	switch kind {
	case wakeRedraw:
		t.wake = p.nextWake
	case wakeList:
		p.listWake = p.nextWake
	}
	p.out = append(p.out, Action{Kind: SetTimer, Token: p.nextWake, After: max(after, 0)})
}

// chance is a fixed number between 0 and 1, both left out, for a pair of numbers.
func chance(a, b uint64) float64 {
	x := a*0x9e3779b97f4a7c15 + b
	for range 2 {
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return (float64(x>>12) + 0.5) / (1 << 52)
}
