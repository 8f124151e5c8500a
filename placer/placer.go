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
	// c of the design: a machine may have c times its part of the pending tasks
	contenderFactor = 2.0
	contenderWindow = 2.0 // seconds for which a bind counts as a contender; the design's own figure
	maxDraws        = 8   // draws at once when both of a pair are passed over
	// seconds, mean, before a task that both refused draws afresh; the design's figure
	redrawWait = 1.0
	// part of every wait that is random, so that waves of tasks do not come back as waves
	jitterFraction    = 0.4
	memoryLimit       = 0.92 // of memory in use: beyond it machines slow down, at 1 they evict
	minHealthyDivisor = 4    // mistrust may leave one in so many of the machines with room, never fewer
	maxFailures       = 5    // doubles the time a machine is avoided, at most so many times
	baseEjection      = 1.0  // aims for which a machine is avoided after its first strike
	learningRate      = 0.1  // weight of a new reading in running means
	// of the fade of a class's service that is borne before a machine counts as too full
	degradationTolerance = 0.25
	consolidationTarget  = 0.8 // of what open machines bear is used before one more is opened
	// of the deadline, where the answer is the start: one given up still holds its room
	startTimeoutFraction    = 0.7
	consolidationHysteresis = 0.95 // of packTo, under which an open one is closed again
	consolidationInterval   = 0.1  // of window, between moves of one scheduler
	nearlyEmptyShare        = 0.3  // of a machine is asked for when moving its last tasks begins
	// machines drawn by a service's number, where its tasks come to many schedulers
	preferredNodeCount = 2
	maxCachedPrograms  = 8 // own programs that a machine is taken to keep after their last task
	// of wait, when no machine passes and the aim can be met: such a start is worth most
	inTimeWaitFactor  = 0.15
	lateWaitFactor    = 0.6  // and after it, so that late tasks leave new room to those in time
	minRequestedShare = 0.2  // of a machine must be asked for before its use says what asks come to
	reportMaxAge      = 2.0  // windows after which a report says nothing
	nodeRetention     = 60.0 // seconds for which a machine that has gone is remembered with what it did
	dedupMargin       = 0.9  // part of a group's memory of a key that is relied on
	// fall windows over which own sends to a cold machine are counted: links jitter
	warmupWindowMargin = 1.1
)

// Placer decides for one scheduler.
type Placer struct {
	cfg               Config
	rng               *rand.Rand
	now               float64
	startedAt         float64
	started           bool
	actions           []Action
	nodes             []*trackedNode
	nodesByID         map[NodeID]*trackedNode
	requests          map[TaskID]*placementRequest
	attemptsByService map[ServiceID][]*attempt
	timers            map[uint64]pendingTimer
	lastToken         uint64
	unanswered        int // tasks without an answer
	candidates        []*trackedNode
	standbyOrder      []*trackedNode
	standbyKnown      bool
	standbyUpdatedAt  float64
	answerTimes       []runningAverage // time to an answer, per class
	// time to a start on a machine that held no own task of the service, per class
	coldStartTimes    []runningAverage
	coresUsage        runningAverage // use over ask, all machines
	memoryUsage       runningAverage
	shortestObjective float64

	lastPollAt, lastListAt float64
	pollFailures           int
	pollToken              uint64
	watching               bool
}

// New returns a Placer, or an error that names what in the configuration cannot be used.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	p := &Placer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		nodesByID: map[NodeID]*trackedNode{}, requests: map[TaskID]*placementRequest{},
		attemptsByService: map[ServiceID][]*attempt{},
		timers:            map[uint64]pendingTimer{}, answerTimes: make([]runningAverage, len(cfg.Classes)),
		coldStartTimes: make([]runningAverage, len(cfg.Classes)),
		coresUsage:     runningAverage{mean: 1}, memoryUsage: runningAverage{mean: 1},
		shortestObjective: math.Inf(1),
	}
	for _, class := range cfg.Classes {
		p.shortestObjective = min(p.shortestObjective, class.LatencyObjective)
	}
	return p, nil
}

// ---- Handle ----

// Handle takes one event and appends what to do now to actions.
func (p *Placer) Handle(now float64, ev Event, actions []Action) []Action {
	p.actions = actions
	if !p.started {
		p.started, p.startedAt = true, now
		if p.cfg.MustPollNodes {
			p.watchNodes()
		}
		p.startTimer(nil, timerConsolidate, p.withJitter(consolidationInterval*contenderWindow))
	}
	p.now = max(now, p.now)
	switch ev.Kind {
	case NodesListed:
		p.handleNodesListed(ev)
	case Arrived:
		p.handleArrived(ev.Task)
	case Adopted:
		p.handleAdopted(ev)
	case Bound:
		p.handleBound(ev)
	case Ended:
		p.handleEnded(ev)
	case UsageReported:
		p.handleUsage(ev)
	case Withdrawn:
		if request := p.requests[ev.TaskID]; request != nil {
			p.closeRequest(request)
		}
	case TimerFired:
		p.handleTimer(ev.Token)
	}
	out := p.actions
	p.actions = nil
	return out
}

func (p *Placer) handleArrived(task Task) {
	if _, twice := p.requests[task.ID]; twice {
		return
	}
	request := &placementRequest{Task: task, arrivedAt: p.now}
	p.requests[task.ID] = request
	p.unanswered++
	// Asks that are no numbers, or name no class, could never be kept books on: an answer at once, never
	// sent.
	if task.Class < 0 || task.Class >= len(p.cfg.Classes) || !(task.Cores >= 0) || !(task.Memory >= 0) ||
		math.IsInf(task.Cores, 0) || math.IsInf(task.Memory, 0) || !(task.Deadline > p.now) {
		p.answerUnplaced(request)
		return
	}
	p.startTimer(request, timerDeadline, task.Deadline+p.cfg.AnswerGrace/2-p.now)
	p.place(request)
}

// handleAdopted takes over a task that runs already. It counts for spread, and its loss is news of its
// machine.
func (p *Placer) handleAdopted(ev Event) {
	if _, twice := p.requests[ev.Task.ID]; twice {
		return
	}
	node := p.ensureNode(ev.Node)
	request := &placementRequest{Task: ev.Task, done: true, placed: true, arrivedAt: p.now}
	attempt := &attempt{node: node, request: request, sentAt: p.now, outstanding: true, bound: true}
	request.attempts = append(request.attempts, attempt)
	p.requests[request.ID] = request
	node.addBound(attempt)
	p.trackAttempt(attempt)
}

func (p *Placer) handleTimer(token uint64) {
	timer, ok := p.timers[token]
	if !ok {
		return
	}
	delete(p.timers, token)
	switch timer.kind {
	case timerPollNodes:
		if token == p.pollToken {
			p.checkWatch()
		}
	case timerConsolidate:
		p.drainStandby()
		p.evictTerminated()
		p.startTimer(nil, timerConsolidate, p.withJitter(consolidationInterval*contenderWindow))
	case timerDeadline:
		// The time-out of an attempt is cut to the deadline and is answered when it comes; this is for
		// attempts whose outcome does not come, and for tasks that still wait.
		if !timer.request.done {
			p.answerUnplaced(timer.request)
		}
	case timerRedraw:
		if timer.request.redrawToken == token && !timer.request.done &&
			timer.request.outstandingAttempt() == nil {
			p.place(timer.request)
		}
	}
}

// ---- filter ----

// handleNodesListed brings the books in line with the list. A machine that a full list leaves out is
// gone; one with a
// new start time has forgotten what we held against it.
func (p *Placer) handleNodesListed(ev Event) {
	if ev.List == ListFailed {
		p.watching = false
		p.pollFailures++
		backoff := min(p.cfg.MaxPollInterval/2, p.shortestObjective*math.Exp2(float64(min(p.pollFailures,
			6))))
		p.startTimer(nil, timerPollNodes, p.withJitter(backoff))
		return
	}
	if ev.List != CachedList {
		p.watching, p.pollFailures, p.lastListAt = true, 0, p.now
	}
	if ev.List != Changes {
		for _, node := range p.nodes {
			node.State = Terminated
		}
	}
	for _, entry := range ev.Nodes {
		node := p.ensureNode(entry.ID)
		if node.listed && entry.StartedAt != node.StartedAt {
			node.failures, node.ejectedUntil, node.rejectsUntil, node.cachedPrograms = 0, 0, 0,
				node.cachedPrograms[:0]
			node.recentChanges, node.hasReport = node.recentChanges[:0], false
		}
		node.Node, node.listed = entry, true
		if entry.NodeType >= 0 && entry.NodeType < len(p.cfg.NodeTypes) {
			node.cores, node.memory = p.cfg.NodeTypes[entry.NodeType].Cores,
				p.cfg.NodeTypes[entry.NodeType].Memory
		}
	}
}

// filterNodes returns the machines that t may be offered to now, in list order: those with room that are
// trusted,
// or all with room where these are too few.
func (p *Placer) filterNodes(request *placementRequest) []*trackedNode {
	ready, healthy := 0, 0
	for _, node := range p.nodes {
		if node.State == Ready {
			ready++
			if node.healthy = p.isHealthyFor(request, node); node.healthy {
				healthy++
			}
		}
	}
	// Mistrust must not leave so few machines that these drown: a cause common to many is no machine's fault.
	// Neither room nor spread counts here: a dead machine shows the room of the tasks it lost, and those that
	// a service may still use can all be dead; they would draw all offers.
	all := healthy*minHealthyDivisor < ready
	p.candidates = p.candidates[:0]
	for _, node := range p.nodes {
		if node.State == Ready && (node.healthy || all) && p.allowed(request, node) &&
			p.hasCapacity(request, node) {
			p.candidates = append(p.candidates, node)
		}
	}
	// Machines held in reserve are passed over while others have room.
	p.updateStandby()
	p.candidates = preferNodes(p.candidates, func(node *trackedNode) bool { return !node.standby })
	if !p.hasAffinity() {
		p.candidates = preferNodes(p.candidates, belowSaturation)
	}
	if !(p.cfg.CrossZoneCost > 0) {
		return p.candidates
	}
	// Tasks in another zone have a price here: own machines first, while they have room.
	return preferNodes(p.candidates, func(node *trackedNode) bool { return node.Node.Zone == p.cfg.Zone })
}

// updateStandby holds machines in reserve where machines in use have a price and the list shows that
// fewer would do.
// All schedulers see the same list and agree without a word: large machines first, for one costs as much as a
// small one, then by number. What the list shows as asked, at the learned use, must fit the open ones with
// some room.
func (p *Placer) updateStandby() {
	if !(p.cfg.NodeCost > 0) || !p.cfg.ListShowsCapacity || p.standbyKnown &&
		p.now-p.standbyUpdatedAt < contenderWindow/20 {
		return
	}
	p.standbyKnown, p.standbyUpdatedAt = true, p.now
	p.standbyOrder = p.standbyOrder[:0]
	var usedCores, usedMemory, requestedCores, requestedMemory float64
	for _, node := range p.nodes {
		if node.listed && node.State != Terminated && node.cores > 0 {
			openCores, mem, _ := p.freeCapacity(node)
			requestedCores += node.cores - openCores
			requestedMemory += node.memory - mem
			if node.State == Ready {
				p.standbyOrder = append(p.standbyOrder, node)
			}
		}
	}
	threshold := math.Inf(1)
	for _, class := range p.cfg.Classes {
		threshold = min(threshold, class.SaturationThreshold)
	}
	usedCores, usedMemory = requestedCores*p.coresUsage.mean, requestedMemory*p.memoryUsage.mean
	slices.SortFunc(p.standbyOrder, func(a, b *trackedNode) int {
		if a.cores != b.cores {
			return cmp.Compare(b.cores, a.cores)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var openCores, mem float64
	for i, node := range p.standbyOrder {
		fill := consolidationTarget
		if !node.standby {
			// what is open stays open for a while: each change leaves tasks behind on machines
			fill *= consolidationHysteresis
		}
		wasStandby := node.standby
		node.standby = i > 1 && usedCores <= openCores*threshold*fill && usedMemory <= mem*memoryLimit*fill &&
			requestedCores <= openCores*p.cfg.OvercommitCores*fill &&
			requestedMemory <= mem*p.cfg.OvercommitMemory*fill
		if node.standby && !wasStandby {
			node.standbySince = p.now
		}
		// a cold one takes few: counted in, it would close warm ones
		if node.failures == 0 && !p.warmingUp(node) {
			openCores += node.cores
			mem += node.memory
		}
	}
}

// drainStandby moves the last own tasks off a machine that has been in reserve for long: they would keep
// it in use
// until the longest of them ends. It must be nearly empty, so that peers who do the same move few tasks.
func (p *Placer) drainStandby() {
	p.updateStandby()
	if p.cfg.NodeCost <= p.cfg.MigrationCost {
		return
	}
	for _, node := range p.standbyOrder {
		freeCores, freeMemory, _ := p.freeCapacity(node)
		requested := max((node.cores-freeCores)/node.cores, (node.memory-freeMemory)/node.memory)
		if !node.standby || len(node.boundAttempts) == 0 || p.now-node.standbySince < contenderWindow ||
			requested > nearlyEmptyShare {
			continue
		}
		attempt := node.boundAttempts[p.rng.IntN(len(node.boundAttempts))]
		if attempt.request.migrated {
			continue
		}
		attempt.request.migrated = true
		p.actions = append(p.actions, Action{Kind: Migrate, Task: attempt.request.ID})
		return
	}
}

// evictTerminated drops machines that left the list long ago and hold nothing of ours, so that a fleet whose
// machines are replaced for days does not grow the books.
func (p *Placer) evictTerminated() {
	p.nodes = slices.DeleteFunc(p.nodes, func(node *trackedNode) bool {
		if node.State != Terminated || !node.listed || node.unanswered > 0 ||
			len(node.boundAttempts) > 0 || len(node.ownTasks) > 0 {
			node.unusedSince = 0
			return false
		}
		if node.unusedSince == 0 {
			node.unusedSince = p.now
		}
		if p.now-node.unusedSince < nodeRetention {
			return false
		}
		delete(p.nodesByID, node.ID)
		return true
	})
}

// hasCapacity says whether neither list nor report nor a fresh refusal shows m as too full for the ask.
func (p *Placer) hasCapacity(request *placementRequest, node *trackedNode) bool {
	if node.rejectsUntil > p.now {
		return false
	}
	freeCores, freeMemory, known := p.freeCapacity(node)
	if !known {
		return true
	}
	if freeCores+(p.cfg.OvercommitCores-1)*node.cores < request.Cores ||
		freeMemory+(p.cfg.OvercommitMemory-1)*node.memory < request.Memory {
		return false
	}
	// Accepting is not serving: memory in use near the size slows all tasks or evicts them, and these come
	// again and push out others. What is asked stands for what will be used.
	usedCores, usedMemory := (node.cores-freeCores)*p.coresUsage.mean,
		(node.memory-freeMemory)*p.memoryUsage.mean
	if node.hasReport && p.now-node.reportedAt < contenderWindow {
		recentCores, recentMemory := 0.0, 0.0
		for _, change := range node.recentChanges {
			if change.at > node.reportedAt-contenderWindow/2 {
				recentCores += change.cores * p.coresUsage.mean
				recentMemory += change.memory * p.memoryUsage.mean
			}
		}
		if !math.IsNaN(node.report.Utilization) {
			usedCores = node.report.Utilization*node.cores + recentCores
		} else if p.cfg.ReportsUsage && !math.IsNaN(node.report.FreeCores) {
			usedCores = node.cores - node.report.FreeCores + recentCores
		}
		if p.cfg.ReportsUsage && !math.IsNaN(node.report.FreeMemory) {
			// memory of young tasks still grows
			usedMemory = max(usedMemory, node.memory-node.report.FreeMemory+recentMemory)
		}
	}
	class := &p.cfg.Classes[request.Class]
	threshold := class.SaturationThreshold + class.DegradationRange*degradationTolerance
	node.saturationExcess = (usedCores+request.Cores*p.coresUsage.mean)/node.cores - threshold
	return !p.cfg.ReportsUsage || usedMemory+request.Memory*p.memoryUsage.mean <= memoryLimit*node.memory
}

// handleUsage learns from news of an own task. What it uses of what it asked stands for all tasks until
// a machine
// has told: with few tasks a scheduler waits long for that and would take too many machines for needed.
func (p *Placer) handleUsage(ev Event) {
	request := p.requests[ev.TaskID]
	if request == nil || ev.Attempt < 0 || ev.Attempt >= len(request.attempts) {
		return
	}
	switch ratio := &p.coresUsage; ev.Usage {
	case Started:
		if request.attempts[ev.Attempt].coldStart {
			p.coldStartTimes[request.Class].add(p.now-request.attempts[ev.Attempt].sentAt, learningRate)
		}
	case MemoryUsed:
		ratio = &p.memoryUsage
		fallthrough
	case CoresUsed:
		requested := request.Cores
		if ev.Usage == MemoryUsed {
			requested = request.Memory
		}
		if requested > 0 {
			ratio.addEstimate(min(ev.Value/requested, 1), learningRate/2)
		}
	}
}

// learnUsage keeps how much of what is asked is used, over all machines heard from.
func (p *Placer) learnUsage(node *trackedNode) {
	freeCores, freeMemory, known := p.freeCapacity(node)
	if !known || node.cores-freeCores < node.cores*minRequestedShare ||
		node.memory-freeMemory < node.memory*minRequestedShare {
		return
	}
	if r := node.report.Utilization; !math.IsNaN(r) {
		p.coresUsage.add(r*node.cores/(node.cores-freeCores), learningRate/2)
	} else if r := node.report.FreeCores; p.cfg.ReportsUsage && !math.IsNaN(r) {
		p.coresUsage.add((node.cores-r)/(node.cores-freeCores), learningRate/2)
	}
	if r := node.report.FreeMemory; p.cfg.ReportsUsage && !math.IsNaN(r) {
		p.memoryUsage.add((node.memory-r)/(node.memory-freeMemory), learningRate/2)
	}
}

// freeCapacity returns cores and memory of m that nobody asked for, own changes that the list cannot show yet
// included.
func (p *Placer) freeCapacity(node *trackedNode) (cores, memory float64, known bool) {
	node.dropChangesBefore(p.now - contenderWindow)
	switch {
	case p.cfg.ListShowsCapacity && node.listed:
		cores, memory = node.FreeCores, node.FreeMemory
	case node.hasReport && !p.cfg.ReportsUsage && p.now-node.reportedAt < reportMaxAge*contenderWindow:
		cores, memory = node.report.FreeCores, node.report.FreeMemory
	default:
		return node.cores / 2, node.memory / 2, false
	}
	for _, change := range node.recentChanges {
		cores -= change.cores
		memory -= change.memory
	}
	return cores, memory, true
}

// ---- draw ----

// drawNodes picks two machines uniformly and puts the emptier first. Crowded ones are passed over. Where
// fresh
// starts are slow it draws among the machines that are likely to have the program first.
func (p *Placer) drawNodes(request *placementRequest) (first, second *trackedNode) {
	nodes := p.filterNodes(request)
	request.ignoresCache = !p.coldStartsSlow(request)
	if !request.ignoresCache {
		if preferred := preferNodes(p.preferredNodes(request, nodes), belowSaturation); len(preferred) > 0 {
			if first, second = p.drawPair(request,
				preferred); p.contenders(first) <= p.contenderLimit(len(preferred)) {
				return first, second
			}
		}
		request.ignoresCache = true
	}
	return p.drawPair(request, preferNodes(nodes, belowSaturation))
}

// belowSaturation says whether the cores are not used beyond what the class of the task at hand bears:
// that spoils the
// service of all that run there.
func belowSaturation(m *trackedNode) bool { return m.saturationExcess <= 0 }

// hasAffinity says whether it is known where a service runs: its tasks come to one scheduler, or to so
// many that
// they go by its number. Then the program comes before calm cores, else the other way round.
func (p *Placer) hasAffinity() bool {
	return p.cfg.StickyServices || p.cfg.Peers > 2*preferredNodeCount
}

// drawPair draws two of the set at random, again while both are crowded. If every pair was crowded the last
// stands, less crowded first: holding the task back helps nobody.
func (p *Placer) drawPair(request *placementRequest, nodes []*trackedNode) (a, b *trackedNode) {
	if len(nodes) == 0 {
		return nil, nil
	}
	limit := p.contenderLimit(len(nodes))
	for range maxDraws {
		i := p.rng.IntN(len(nodes))
		a, b = nodes[i], nil
		if len(nodes) > 1 {
			j := p.rng.IntN(len(nodes) - 1)
			if j >= i {
				j++
			}
			b = nodes[j]
		}
		aUncrowded := p.contenders(a) <= limit
		bUncrowded := b != nil && p.contenders(b) <= limit
		switch {
		case aUncrowded && bUncrowded:
			return p.emptierFirst(request, a, b)
		case aUncrowded:
			return a, nil
		case bUncrowded:
			return b, nil
		}
	}
	if b != nil && p.contenders(b) < p.contenders(a) {
		a, b = b, a
	}
	return a, b
}

// coldStartsSlow says whether a start on a machine without the service's program is likely to miss the
// aim, as far
// as seen. Bins are then not equal, as the paper has them: those without the program are passed over like
// crowded ones. What is drawn stays uniform over all that passed.
func (p *Placer) coldStartsSlow(request *placementRequest) bool {
	times := &p.coldStartTimes[request.Class]
	return times.samples == 0 || times.mean+times.deviation > p.cfg.Classes[request.Class].LatencyObjective/2
}

// preferredNodes moves the machines that are likely to have the service's program to the front of the
// set and returns
// them: those that run own tasks of it, and where its tasks come to more schedulers than it needs machines,
// so that each sees too few of them, those that the service's number picks, the same for all without a word.
func (p *Placer) preferredNodes(request *placementRequest, nodes []*trackedNode) []*trackedNode {
	count := 0
	for i, node := range nodes {
		if node.hasProgram(request.Service) {
			nodes[count], nodes[i] = node, nodes[count]
			count++
		}
	}
	if p.cfg.StickyServices || !p.hasAffinity() {
		return nodes[:count]
	}
	for _, node := range nodes {
		node.affinity = hashUnit(uint64(request.Service), uint64(node.ID))
	}
	for range preferredNodeCount {
		best := -1
		for i := count; i < len(nodes); i++ {
			if best < 0 || nodes[i].affinity > nodes[best].affinity {
				best = i
			}
		}
		if best < 0 {
			break
		}
		nodes[count], nodes[best] = nodes[best], nodes[count]
		count++
	}
	return nodes[:count]
}

// contenderLimit is k of the design: c times the pending tasks per machine that passed, at least 1.
// Pending are tasks
// without an answer and the binds that still count as contenders.
func (p *Placer) contenderLimit(candidates int) float64 {
	pending := p.unanswered
	for _, node := range p.nodes {
		for _, change := range node.recentChanges {
			if change.isBind {
				pending++
			}
		}
	}
	return max(1, contenderFactor*float64(pending)/float64(candidates))
}

// contenders counts own open offers to m and own binds within the window.
func (p *Placer) contenders(node *trackedNode) float64 {
	node.dropChangesBefore(p.now - contenderWindow)
	count := node.unanswered
	for _, change := range node.recentChanges {
		if change.isBind {
			count++
		}
	}
	return float64(count)
}

func (p *Placer) emptierFirst(request *placementRequest, a, b *trackedNode) (first, second *trackedNode) {
	freeA, freeB := p.freeShareAfter(request, a), p.freeShareAfter(request, b)
	if freeA == freeB && p.rng.IntN(2) == 0 || freeB > freeA {
		return b, a
	}
	return a, b
}

// freeShareAfter is the smaller of the free shares of cores and memory once the ask is on m.
func (p *Placer) freeShareAfter(request *placementRequest, node *trackedNode) float64 {
	cores, memory, _ := p.freeCapacity(node)
	return min((cores-request.Cores)/max(node.cores, 1e-9), (memory-request.Memory)/max(node.memory, 1e-9))
}

// ---- offer ----

// place takes the next step for a task that has no offer out: the other of the pair, a fresh pair, or a wait.
func (p *Placer) place(request *placementRequest) {
	if len(request.attempts) >= p.cfg.MaxAttempts || !p.mayRetry(request) ||
		request.Deadline-p.now <= p.cfg.AnswerGrace {
		p.answerUnplaced(request)
		return
	}
	if alternative := request.alternative; alternative != nil {
		request.alternative = nil
		if p.allowed(request, alternative) && p.hasCapacity(request, alternative) {
			p.startAttempt(request, alternative)
			return
		}
	}
	first, second := p.drawNodes(request)
	if first == nil {
		delay := lateWaitFactor * redrawWait
		if p.now < request.arrivedAt+p.cfg.Classes[request.Class].LatencyObjective {
			delay = inTimeWaitFactor * redrawWait
		}
		p.redrawLater(request, delay)
		return
	}
	request.rejections, request.alternative = 0, second
	p.startAttempt(request, first)
}

func (p *Placer) startAttempt(request *placementRequest, node *trackedNode) {
	attempt := &attempt{node: node, request: request, sentAt: p.now, outstanding: true,
		coldStart: request.ignoresCache && !node.hasProgram(request.Service)}
	request.attempts = append(request.attempts, attempt)
	node.unanswered++
	node.recentChanges = append(node.recentChanges, capacityChange{at: p.now, cores: request.Cores,
		memory: request.Memory})
	if p.warmingUp(node) {
		node.warmupSends = append(node.warmupSends, p.now)
	}
	p.trackAttempt(attempt)
	p.actions = append(p.actions, Action{Kind: StartAttempt, Task: request.ID, Node: node.ID,
		Attempt: len(request.attempts) - 1,
		Until:   min(request.Deadline, p.now+p.attemptTimeout(request))})
}

// attemptTimeout is how long an offer may go unanswered.
func (p *Placer) attemptTimeout(request *placementRequest) float64 {
	class, times := &p.cfg.Classes[request.Class], &p.answerTimes[request.Class]
	minimum := class.LatencyObjective / 2
	if p.cfg.AcknowledgesOnStart {
		return class.Deadline * startTimeoutFraction
	} else if class.Idempotency == NonIdempotent {
		minimum = 2 * class.LatencyObjective
	}
	if times.samples == 0 {
		return max(minimum, class.Deadline/4)
	}
	return max(minimum, times.mean+4*times.deviation)
}

// redrawLater waits about so long and then draws afresh; too near the deadline it answers instead.
func (p *Placer) redrawLater(request *placementRequest, delay float64) {
	after := min(p.withJitter(delay), request.Deadline-p.cfg.AnswerGrace-p.now)
	if after <= 0 {
		p.answerUnplaced(request)
		return
	}
	request.alternative = nil
	p.startTimer(request, timerRedraw, after)
}

func (p *Placer) withJitter(duration float64) float64 {
	return duration * (1 - jitterFraction/2 + jitterFraction*p.rng.Float64())
}

// ---- outcome ----

func (p *Placer) handleBound(ev Event) {
	request := p.requests[ev.TaskID]
	if request == nil || ev.Attempt < 0 || ev.Attempt >= len(request.attempts) {
		return
	}
	attempt := request.attempts[ev.Attempt]
	if !attempt.outstanding || attempt.bound {
		return
	}
	attempt.bound = true
	node := attempt.node
	node.unanswered--
	p.replaceChange(node, attempt.sentAt, request, true)
	node.addBound(attempt)
	p.answerTimes[request.Class].add(ev.Elapsed, learningRate)
	if p.cfg.AcknowledgesOnStart && attempt.coldStart {
		p.coldStartTimes[request.Class].add(ev.Elapsed, learningRate)
	}
	p.recordSuccess(node)
	request.placed = true
	p.closeRequest(request)
}

func (p *Placer) handleEnded(ev Event) {
	request := p.requests[ev.TaskID]
	if request == nil || ev.Attempt < 0 || ev.Attempt >= len(request.attempts) ||
		!request.attempts[ev.Attempt].outstanding {
		return
	}
	attempt := request.attempts[ev.Attempt]
	node := attempt.node
	attempt.outstanding = false
	p.untrackAttempt(attempt)
	if ev.Report != nil {
		node.report, node.reportedAt, node.hasReport = *ev.Report, p.now, true
		p.learnUsage(node)
	}
	if attempt.bound {
		node.removeBound(attempt)
		if node.ownTasks[request.Service] == 0 {
			node.cacheProgram(request.Service, maxCachedPrograms)
		}
		node.recentChanges = append(node.recentChanges, capacityChange{at: p.now, cores: -request.Cores,
			memory: -request.Memory})
	} else {
		node.unanswered--
		p.replaceChange(node, attempt.sentAt, request, false)
	}
	p.observeOutcome(ev, attempt)
	switch ev.Result {
	case Rejected, Unreachable, Expired:
	default:
		if !attempt.bound && request.unknownOutcome == nil {
			request.unknownOutcome = attempt
		}
	}
	if ev.Final || attempt.bound {
		p.closeRequest(request)
	}
	if request.done {
		p.removeIfDone(request)
		return
	}
	p.retryAfterOutcome(request, ev)
}

// retryAfterOutcome decides what follows an attempt that did not place the task.
func (p *Placer) retryAfterOutcome(request *placementRequest, ev Event) {
	if ev.Result == Rejected && ev.Reason != WrongNode {
		request.rejections++
		if request.alternative == nil && request.rejections >= 2 {
			p.redrawLater(request, redrawWait)
			return
		}
	}
	p.place(request)
}

// ---- health ----

// observeOutcome draws what an outcome says of the machine, whatever the cause.
func (p *Placer) observeOutcome(ev Event, attempt *attempt) {
	node := attempt.node
	switch ev.Result {
	case Rejected:
		if ev.Reason != WrongNode {
			node.rejectsUntil = p.now + redrawWait
		} else if p.cfg.Classes[attempt.request.Class].Idempotency != IdempotentByKey {
			p.recordFailure(node) // it drains, before the list says so; of a keyed task a copy may stand
		}
	case Errored:
		p.recordError(attempt)
	case Unreachable, TimedOut:
		p.recordFailure(node)
	case Lost:
		if ev.Reason == NoReason || ev.Reason == Drained {
			p.recordFailure(node)
		}
	}
}

// recordError strikes the machine that answered with an error, unless the task has erred elsewhere: it
// is then more
// likely at fault itself than both machines, and neither is held to it. Else owners that ask for what no
// machine can run would have all of them mistrusted.
func (p *Placer) recordError(attempt *attempt) {
	attempt.errored = true
	elsewhere := false
	for _, other := range attempt.request.attempts {
		if other.errored && other.node != attempt.node {
			elsewhere = true
			if other.countedFailure && other.node.failures > 0 {
				other.node.failures--
				other.node.ejectedUntil = min(other.node.ejectedUntil, p.now)
			}
			other.countedFailure = false
		}
	}
	attempt.countedFailure = !elsewhere && p.recordFailure(attempt.node)
}

// recordFailure avoids a machine for a while, twice as long each time. Strikes of one moment count once,
// and the
// first returns true: a crash that loses twenty tasks is one event.
func (p *Placer) recordFailure(node *trackedNode) bool {
	if node.failures > 0 && p.now-node.lastFailureAt < p.shortestObjective/4 {
		return false
	}
	node.failures = min(node.failures+1, maxFailures)
	node.lastFailureAt = p.now
	node.ejectedUntil = p.now + p.withJitter(baseEjection*p.shortestObjective*math.Exp2(float64(
		node.failures-1)))
	return true
}

// recordSuccess takes a strike back, slowly: machines that fail only some starts would else be trusted
// at each
// success.
func (p *Placer) recordSuccess(node *trackedNode) {
	if node.failures > 0 && p.now >= node.ejectedUntil {
		node.failures--
		node.ejectedUntil = p.now + p.shortestObjective/4
	}
}

// isHealthyFor says whether t may be tried on m: struck machines are tested one offer at a time, and not with
// tasks whose loss is dearer than a wait.
func (p *Placer) isHealthyFor(request *placementRequest, node *trackedNode) bool {
	if node.failures == 0 {
		return true
	}
	return p.now >= node.ejectedUntil && node.unanswered == 0 &&
		p.cfg.Classes[request.Class].Idempotency != NonIdempotent
}

// ---- rule guards ----

// allowed is the one gate of every offer: it says whether the five rules allow t on m now.
func (p *Placer) allowed(request *placementRequest, node *trackedNode) bool {
	class := &p.cfg.Classes[request.Class]
	// Rules 1 and 2: no offer after the end, none beside another, none too many.
	if request.done || request.Deadline <= p.now || len(request.attempts) >= p.cfg.MaxAttempts ||
		request.outstandingAttempt() != nil {
		return false
	}
	// Rule 3: stop at the word of the list; the grace is not used, so late batches cannot break it.
	if !node.listed || node.State != Ready || node.cores <= 0 {
		return false
	}
	if class.NodeType >= 0 && class.NodeType != node.NodeType ||
		request.unknownOutcome != nil && !(p.mayRetry(request) &&
			(class.Idempotency == Idempotent || sharesDomain(class.DedupDomain,
				request.unknownOutcome.node, node))) {
		return false
	}
	return p.warmupAllows(node) && p.spreadAllows(request, node)
}

// mayRetry says whether any further attempt may be made, as far as earlier ones go.
func (p *Placer) mayRetry(request *placementRequest) bool {
	if request.unknownOutcome == nil {
		return true
	}
	switch class := &p.cfg.Classes[request.Class]; class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return p.now < request.unknownOutcome.sentAt+dedupMargin*class.DedupWindow
	}
	return false
}

func (p *Placer) warmingUp(node *trackedNode) bool {
	return node.StartedAt > 0 && p.now-node.StartedAt < p.cfg.WarmupDuration
}

// warmupAllows keeps this scheduler within its part of the offers that a cold machine always bears. All parts
// add up to exactly that, however uneven the traffic. What does not divide goes to other peers at each
// machine, so that each of many has some cold machines open to it. A scheduler that has just started does not
// know what it sent before: it sends nothing cold until that is out of the window.
func (p *Placer) warmupAllows(node *trackedNode) bool {
	if !p.warmingUp(node) {
		return true
	}
	span := warmupWindowMargin * p.cfg.OverloadWindow
	if p.now-p.startedAt < span && p.startedAt-node.StartedAt < p.cfg.WarmupDuration &&
		p.startedAt > node.StartedAt {
		return false
	}
	node.dropWarmupSendsBefore(p.now - span)
	total, peers := max(p.cfg.WarmupAttempts, 0), float64(p.cfg.Peers)
	share := math.Floor(total / peers)
	offset := math.Floor(hashUnit(uint64(node.ID), 0) * peers)
	if math.Mod(offset+float64(p.cfg.Self), peers) < math.Floor(total-share*peers) {
		share++
	}
	return float64(len(node.warmupSends)) < share
}

// spreadAllows counts all own attempts and running tasks of the service without an outcome. One on a machine
// that no list has named might stand anywhere, so it counts everywhere.
func (p *Placer) spreadAllows(request *placementRequest, node *trackedNode) bool {
	class := &p.cfg.Classes[request.Class]
	if class.SpreadDomain == NoDomain {
		return true
	}
	count := 1
	for _, attempt := range p.attemptsByService[request.Service] {
		if attempt.node == node || class.SpreadDomain != NodeDomain && (!attempt.node.listed ||
			sharesDomain(class.SpreadDomain, attempt.node, node)) {
			count++
		}
	}
	return count <= class.MaxPerDomain
}

// watchNodes asks for the list with changes from now on, and sees to it that it is asked again if
// nothing comes.
func (p *Placer) watchNodes() {
	p.lastPollAt = p.now
	p.actions = append(p.actions, Action{Kind: WatchNodes})
	p.startTimer(nil, timerPollNodes, p.withJitter(p.cfg.MaxPollInterval/2))
}

// checkWatch asks again after a failure, or when a subscription has been silent for long.
func (p *Placer) checkWatch() {
	interval := p.cfg.MaxPollInterval / 3
	if !p.watching && p.now-p.lastPollAt > p.shortestObjective || p.now-max(p.lastListAt,
		p.lastPollAt) > interval {
		p.watchNodes()
	} else {
		p.startTimer(nil, timerPollNodes, p.withJitter(interval))
	}
}

// ---- deadline ----

// answerUnplaced gives the final answer to a task that is not placed: a refusal where it is known to do
// no harm, else
// a failure.
func (p *Placer) answerUnplaced(request *placementRequest) {
	harmless := request.outstandingAttempt() == nil
	if harmless && request.unknownOutcome != nil {
		class := &p.cfg.Classes[request.Class]
		harmless = class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey &&
			class.DedupDomain == ClusterDomain
	}
	if harmless {
		p.actions = append(p.actions, Action{Kind: Reject, Task: request.ID})
	} else {
		p.actions = append(p.actions, Action{Kind: Fail, Task: request.ID})
	}
	p.closeRequest(request)
}

// closeRequest ends a task: nothing is sent for it any more.
func (p *Placer) closeRequest(request *placementRequest) {
	if !request.done {
		request.done = true
		p.unanswered--
	}
	request.alternative = nil
	p.removeIfDone(request)
}
