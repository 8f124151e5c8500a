// Package machine is a model of one machine of the cluster as the schedulers meet it: it looks at one offer at a time,
// accepts within limits, starts a few tasks at a time, slowly while it is cold or has not the program, keeps programs, evicts
// when memory runs out, pushes out lower priorities, sends tasks away when it drains, and falls over when pushed while cold.
//
// It is pure: time is passed in, randomness comes from its seed, what happens comes out as effects. The stand-in puts it on a
// socket.
package nodesim

import (
	"math/rand/v2"
	"slices"
	"sort"

	"heathshed/internal/timerqueue"
)

// Config is a machine. Times are in seconds, memory in GiB.
type Config struct {
	Cores, Memory         float64
	BookCores, BookMemory float64 // accepts asks up to these multiples of its size
	LookMin, LookMax      float64 // time to look at an offer
	MaxWaiting            int     // offers that may wait
	StartsAtOnce          int
	StartWork             float64 // time of a start with the program at hand, when warm
	FreshFactor           float64 // and this many times it without
	KeepPrograms          int
	ColdFrom, WarmWithin  float64 // pace of starts after it came up, and until it is whole
	FallMultiple          float64 // falls over at this many times what it can start
	FallWindow            float64
	ColdAlways            float64 // offers in a window that it always bears
	AnswersWhenRunning    bool
	PushesOut             bool
	LifeMean              float64 // of tasks that name none
	UseMin, UseMax        float64 // part of what a task asks that it uses
	Grace                 float64 // a draining machine sends its tasks away after this; below 0 never
	KeepEnded             float64 // how long ended tasks are shown
	Cold                  bool    // it comes up cold
	Seed                  uint64
}

// DefaultConfig is a mid-sized warm machine.
func DefaultConfig() Config {
	return Config{Cores: 32, Memory: 64, BookCores: 2, BookMemory: 1.5, LookMin: 0.002, LookMax: 0.006, MaxWaiting: 64,
		StartsAtOnce: 4, StartWork: 0.03, FreshFactor: 6, KeepPrograms: 8, ColdFrom: 0.2, WarmWithin: 15, FallMultiple: 4,
		FallWindow: 3, ColdAlways: 8, PushesOut: true, LifeMean: 20, UseMin: 0.4, UseMax: 0.8, Grace: 0, KeepEnded: 60}
}

// Reason of a refusal or an end.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode
	Evicted
	Preempted
	Drained
	Stopped
	NeverRan // stopped or sent away before it ran
)

// Phase of a task.
type Phase uint8

// The phases.
const (
	Accepted Phase = iota
	Running
	Succeeded
	Ended // see Reason
)

// Offer is what a scheduler asks.
type Offer struct {
	UID           string
	Attempt       int
	Service       string
	Cores, Memory float64
	Priority      int
	Life          float64 // 0 draws one
	Payload       any
}

// Task is an accepted offer.
type Task struct {
	Offer
	Phase                  Phase
	Reason                 Reason
	UseCores, UseMemory    float64
	ran                    bool
	answered               bool
	factorCores, factorMem float64
	startedAt, endedAt     float64
	seq                    int
}

// Ran says whether the task ever ran.
func (t *Task) Ran() bool { return t.ran }

// EffectKind selects what an effect says.
type EffectKind uint8

// The effects: Answered has UID, Attempt and either Task or Reason; Changed has Task; Forgotten has Task; Fell: the machine
// fell over and is gone.
const (
	Answered EffectKind = iota + 1
	Changed
	Forgotten
	Fell
)

// Effect is something that others see.
type Effect struct {
	Kind    EffectKind
	UID     string
	Attempt int
	Task    *Task
	Reason  Reason
}

// Node is one machine in one life.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	now      float64
	born     float64
	queue    []Offer
	looking  bool
	tasks    map[string]*Task
	held     []*Task        // in order of acceptance; ended ones are taken out at the next breath
	running  map[string]int // tasks that run, by service
	sealed   map[string]int // attempts up to this are not taken any more
	order    []string       // of sealed, oldest first
	programs []string
	starting int
	toStart  []*Task
	asked    struct{ cores, memory float64 }
	used     struct{ cores, memory float64 }
	sends    []send
	draining bool
	fell     bool
	seq      int
	timers   timerqueue.Queue
	effects  []Effect

	// Refuse, when set, refuses offers of its choice; Stall holds decisions back until then. For fault injection.
	Refuse func(o *Offer) Reason
	stall  float64
	// Starts and Duplicates count begun starts, and starts of a uid that had begun before in this life: always 0.
	Starts, Duplicates int
	begun              map[string]bool
}

type send struct{ at, weight float64 }

// New makes a machine that comes up now.
func New(cfg Config, now float64) *Node {
	m := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d616368)), now: now, born: now, tasks: map[string]*Task{},
		sealed: map[string]int{}, begun: map[string]bool{}, running: map[string]int{}}
	if !cfg.Cold {
		m.born = now - cfg.WarmWithin
	}
	m.at(now+1, m.breathe)
	return m
}

// Ready takes the effects that have come up.
func (m *Node) Ready() []Effect {
	x := m.effects
	m.effects = nil
	return x
}

// NextWake is when Tick wants to be called.
func (m *Node) NextWake() float64 { return m.timers.Next() }

// Tick lets due timers run.
func (m *Node) Tick(now float64) {
	for !m.fell {
		t := m.timers.Pop(now)
		if t == nil {
			break
		}
		m.now = max(m.now, t.At)
		t.Run()
	}
	m.now = max(m.now, now)
}

// Free is what nobody asked for.
func (m *Node) Free() (cores, memory float64) {
	return m.cfg.Cores - m.asked.cores, m.cfg.Memory - m.asked.memory
}

// Unused is what is not in use.
func (m *Node) Unused() (cores, memory float64) {
	return max(m.cfg.Cores-m.used.cores, 0), max(m.cfg.Memory-m.used.memory, 0)
}

// Busy is the part of the cores in use, Waiting the offers and starts that wait.
func (m *Node) Busy() float64 { return min(m.used.cores/m.cfg.Cores, 1) }

// Waiting is the number of offers and starts that wait.
func (m *Node) Waiting() int { return len(m.queue) + len(m.toStart) }

// Holds is the number of tasks held.
func (m *Node) Holds() int {
	n := 0
	for _, t := range m.held {
		if t.Phase <= Running {
			n++
		}
	}
	return n
}

// Config is what the machine was made with.
func (m *Node) Config() Config { return m.cfg }

// Draining says whether it drains.
func (m *Node) Draining() bool { return m.draining }

func (m *Node) emit(x Effect) { m.effects = append(m.effects, x) }

// pace is the part of its full pace at which the machine starts tasks now.
func (m *Node) pace() float64 {
	if m.cfg.WarmWithin <= 0 || m.now >= m.born+m.cfg.WarmWithin {
		return 1
	}
	return m.cfg.ColdFrom + (1-m.cfg.ColdFrom)*(m.now-m.born)/m.cfg.WarmWithin
}

// Offer takes an offer. The answer comes as an effect, for a repeat or a full line at once.
func (m *Node) Offer(now float64, o Offer) {
	m.Tick(now)
	if m.fell {
		return
	}
	m.push(o)
	if m.fell {
		return
	}
	if t := m.tasks[o.UID]; t.repeats(&o) {
		// A repeat starts nothing.
		m.emit(Effect{Kind: Answered, UID: o.UID, Attempt: o.Attempt, Task: t})
		return
	}
	if len(m.queue) >= m.cfg.MaxWaiting {
		m.refuse(&o, QueueFull)
		return
	}
	m.queue = append(m.queue, o)
	m.look()
}

// push counts an offer against what a cold machine bears.
func (m *Node) push(o Offer) {
	if m.now >= m.born+m.cfg.WarmWithin || m.cfg.FallWindow <= 0 {
		m.sends = nil
		return
	}
	for len(m.sends) > 0 && m.sends[0].at < m.now-m.cfg.FallWindow {
		m.sends = m.sends[1:]
	}
	m.sends = append(m.sends, send{m.now, 1})
	sum := 0.0
	for _, s := range m.sends {
		sum += s.weight
	}
	can := m.pace() * float64(m.cfg.StartsAtOnce) / max(m.cfg.StartWork, 1e-6) * m.cfg.FallWindow
	if sum > m.cfg.ColdAlways && sum > m.cfg.FallMultiple*can {
		m.fell = true
		m.emit(Effect{Kind: Fell})
	}
}

func (m *Node) refuse(o *Offer, r Reason) {
	m.emit(Effect{Kind: Answered, UID: o.UID, Attempt: o.Attempt, Reason: r})
}

// look takes the next offer in hand.
func (m *Node) look() {
	if m.looking || len(m.queue) == 0 {
		return
	}
	m.looking = true
	d := m.cfg.LookMin + (m.cfg.LookMax-m.cfg.LookMin)*m.rng.Float64()
	m.at(max(m.now, m.stall)+d, func() {
		if m.now < m.stall {
			m.looking = false
			m.look()
			return
		}
		m.looking = false
		o := m.queue[0]
		m.queue = m.queue[1:]
		m.decide(&o)
		m.look()
	})
}

// StallUntil holds every decision and start back until then.
func (m *Node) StallUntil(t float64) { m.stall = t }

// repeats says whether an offer repeats one that was accepted: a later attempt of a task that ended here does not.
func (t *Task) repeats(o *Offer) bool {
	return t != nil && (t.Phase <= Running || o.Attempt <= t.Attempt)
}

func (m *Node) decide(o *Offer) {
	if t := m.tasks[o.UID]; t.repeats(o) {
		m.emit(Effect{Kind: Answered, UID: o.UID, Attempt: o.Attempt, Task: t})
		return
	}
	if m.Refuse != nil {
		if r := m.Refuse(o); r != None {
			m.refuse(o, r)
			return
		}
	}
	if m.draining || o.Attempt <= m.sealed[o.UID] {
		m.refuse(o, WrongNode)
		return
	}
	if r := m.short(o); r != None {
		if !m.cfg.PushesOut || !m.makeRoom(o) {
			m.refuse(o, r)
			return
		}
	}
	m.seq++
	span := m.cfg.UseMax - m.cfg.UseMin
	t := &Task{Offer: *o, factorCores: m.cfg.UseMin + span*m.rng.Float64(), factorMem: m.cfg.UseMin + span*m.rng.Float64(), seq: m.seq}
	m.tasks[o.UID] = t
	m.held = append(m.held, t)
	m.asked.cores += o.Cores
	m.asked.memory += o.Memory
	m.emit(Effect{Kind: Changed, Task: t})
	if !m.cfg.AnswersWhenRunning {
		m.answer(t)
	}
	m.toStart = append(m.toStart, t)
	m.start()
}

func (m *Node) answer(t *Task) {
	if !t.answered {
		t.answered = true
		m.emit(Effect{Kind: Answered, UID: t.UID, Attempt: t.Attempt, Task: t})
	}
}

func (m *Node) short(o *Offer) Reason {
	const grain = 1e-9
	switch {
	case m.asked.cores+o.Cores > m.cfg.Cores*m.cfg.BookCores+grain:
		return InsufficientCores
	case m.asked.memory+o.Memory > m.cfg.Memory*m.cfg.BookMemory+grain:
		return InsufficientMemory
	}
	return None
}

// makeRoom pushes out tasks of lower priority, the lowest and youngest first, if that is enough.
func (m *Node) makeRoom(o *Offer) bool {
	var low []*Task
	var c, mem float64
	for _, t := range m.live() {
		if t.Priority < o.Priority {
			low = append(low, t)
			c += t.Cores
			mem += t.Memory
		}
	}
	if m.asked.cores-c+o.Cores > m.cfg.Cores*m.cfg.BookCores || m.asked.memory-mem+o.Memory > m.cfg.Memory*m.cfg.BookMemory {
		return false
	}
	sort.SliceStable(low, func(i, j int) bool {
		if low[i].Priority != low[j].Priority {
			return low[i].Priority < low[j].Priority
		}
		return low[i].seq > low[j].seq
	})
	for _, t := range low {
		if m.short(o) == None {
			break
		}
		m.end(t, Ended, Preempted)
	}
	return m.short(o) == None
}

// live returns the tasks held, oldest first.
func (m *Node) live() []*Task {
	m.held = slices.DeleteFunc(m.held, func(t *Task) bool { return t.Phase > Running })
	return slices.Clone(m.held)
}

// start begins as many starts as may go on at a time.
func (m *Node) start() {
	for m.starting < m.cfg.StartsAtOnce && len(m.toStart) > 0 {
		t := m.toStart[0]
		m.toStart = m.toStart[1:]
		if t.Phase != Accepted {
			continue
		}
		m.starting++
		m.Starts++
		if m.begun[t.UID] {
			m.Duplicates++
		}
		m.begun[t.UID] = true
		work := m.cfg.StartWork
		if !m.has(t) {
			work *= max(m.cfg.FreshFactor, 1)
		}
		m.at(max(m.now, m.stall)+work/m.pace(), func() {
			m.starting--
			m.runs(t)
			m.start()
		})
	}
}

// has says whether the program of the task's service is at hand.
func (m *Node) has(t *Task) bool {
	return m.running[t.Service] > 0 || slices.Contains(m.programs, t.Service)
}

func (m *Node) runs(t *Task) {
	if t.Phase != Accepted {
		return
	}
	t.Phase, t.ran, t.startedAt = Running, true, m.now
	m.running[t.Service]++
	m.use(t)
	m.emit(Effect{Kind: Changed, Task: t})
	m.answer(t)
	life := t.Life
	if life <= 0 {
		life = m.cfg.LifeMean * (0.3 + m.rng.ExpFloat64()*0.7)
	}
	m.at(m.now+life, func() {
		if t.Phase == Running {
			m.end(t, Succeeded, None)
		}
	})
}

func (m *Node) end(t *Task, p Phase, r Reason) {
	if t.Phase > Running {
		return
	}
	m.used.cores -= t.UseCores
	m.used.memory -= t.UseMemory
	if t.Phase == Running {
		if m.running[t.Service]--; m.running[t.Service] <= 0 {
			delete(m.running, t.Service)
		}
		if i := slices.Index(m.programs, t.Service); i >= 0 {
			m.programs = slices.Delete(m.programs, i, i+1)
		}
		if m.programs = append(m.programs, t.Service); len(m.programs) > m.cfg.KeepPrograms {
			m.programs = m.programs[1:]
		}
	} else if p == Ended && (r == Stopped || r == Drained || r == Preempted) {
		r = NeverRan
	}
	t.Phase, t.Reason, t.endedAt = p, r, m.now
	m.asked.cores -= t.Cores
	m.asked.memory -= t.Memory
	if !t.answered {
		t.answered = true
		m.emit(Effect{Kind: Answered, UID: t.UID, Attempt: t.Attempt, Reason: WrongNode})
	}
	m.emit(Effect{Kind: Changed, Task: t})
	m.seal(t.UID, t.Attempt)
	m.at(m.now+m.cfg.KeepEnded, func() {
		if m.tasks[t.UID] == t {
			delete(m.tasks, t.UID)
			m.emit(Effect{Kind: Forgotten, Task: t})
		}
	})
}

const maxSealed = 100000

// seal forbids attempts of a task up to the given number.
func (m *Node) seal(uid string, attempt int) {
	if _, ok := m.sealed[uid]; !ok {
		m.order = append(m.order, uid)
		if len(m.order) > maxSealed {
			delete(m.sealed, m.order[0])
			m.order = m.order[1:]
		}
	}
	m.sealed[uid] = max(m.sealed[uid], attempt)
}

// Stop stops a task if the machine has it, and forbids attempts up to the given number if not. had says that it has or had
// the task, ran that it ran.
func (m *Node) Stop(now float64, uid string, attempt int) (had, ran bool) {
	m.Tick(now)
	m.seal(uid, attempt)
	i := slices.IndexFunc(m.queue, func(o Offer) bool { return o.UID == uid && o.Attempt <= attempt })
	if i >= 0 && !(i == 0 && m.looking) {
		o := m.queue[i]
		m.queue = slices.Delete(m.queue, i, i+1)
		m.refuse(&o, WrongNode)
	}
	t := m.tasks[uid]
	if t == nil {
		return false, m.begun[uid]
	}
	m.end(t, Ended, Stopped)
	return true, t.ran
}

// Drain takes no more tasks, and sends those that it holds away after its grace.
func (m *Node) Drain(now float64) {
	m.Tick(now)
	if m.draining {
		return
	}
	m.draining = true
	if m.cfg.Grace < 0 {
		return
	}
	m.at(m.now+m.cfg.Grace, func() {
		if m.draining {
			for _, t := range m.live() {
				m.end(t, Ended, Drained)
			}
		}
	})
}

// Undrain takes tasks again.
func (m *Node) Undrain(now float64) {
	m.Tick(now)
	m.draining = false
}

// breathe lets use wander and evicts when memory runs out.
func (m *Node) breathe() {
	for _, t := range m.live() {
		if t.Phase == Running {
			t.factorCores = min(max(t.factorCores+0.04*(m.rng.Float64()-0.5), m.cfg.UseMin), m.cfg.UseMax)
		}
	}
	m.measure()
	for m.used.memory > m.cfg.Memory {
		l := m.live()
		var worst *Task
		for _, t := range l {
			if t.Phase == Running && (worst == nil || t.Priority < worst.Priority ||
				t.Priority == worst.Priority && t.UseMemory-t.Memory > worst.UseMemory-worst.Memory) {
				worst = t
			}
		}
		if worst == nil {
			break
		}
		m.end(worst, Ended, Evicted)
	}
	m.at(m.now+1, m.breathe)
}

// measure adds up what is in use.
func (m *Node) measure() {
	m.used.cores, m.used.memory = 0, 0
	for _, t := range m.live() {
		if t.Phase == Running {
			t.UseCores, t.UseMemory = 0, 0
			m.use(t)
		}
	}
}

// use brings what a task uses up to date. Memory grows over three seconds after a start.
func (m *Node) use(t *Task) {
	m.used.cores -= t.UseCores
	m.used.memory -= t.UseMemory
	t.UseCores = t.Cores * t.factorCores
	t.UseMemory = t.Memory * t.factorMem * min(1, 0.4+0.2*(m.now-t.startedAt))
	m.used.cores += t.UseCores
	m.used.memory += t.UseMemory
}

func (m *Node) at(at float64, fn func()) { m.timers.Add(at, fn) }
