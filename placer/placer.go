package placer

import (
	"fmt"
	"math/rand/v2"
)

// Placer decides for one scheduler. It passes the events to the parts that own its state and make its
// decisions; only a part itself writes its fields. Decisions and tuned values are in the files that the
// deploy file names as the policy.
//
// A request is placed as in the k-COLLISION protocol: filter the nodes, draw two uniformly, skip those with
// too many contenders, attempt the emptier node, then the other, then wait and redraw. See docs/design.md.
type Placer struct {
	cfg     Config
	now     Seconds // the latest time of an event
	started bool    // an event has been handled
	actions *actionList
	timers  *timerTable
	jitter  jitter

	nodes    *nodeTable
	poller   *nodeListPoller
	requests *requestTable

	capacity     *capacityModel
	latency      *latencyModel
	outliers     *outlierDetector
	slowStart    *slowStart
	spread       *spreadRule
	retries      *retryRule
	consolidator *consolidator
	filter       *nodeFilter
	selector     *selector
}

// New returns a Placer, or an error that names the invalid part of the configuration.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	p := &Placer{cfg: cfg}
	rng := rand.New(rand.NewPCG(seed, seedStream))
	p.newTables(rng)
	p.newModels()
	p.newStages(rng)
	return p, nil
}

// newTables creates the parts that record what the events report: actions, timers, nodes and requests.
func (p *Placer) newTables(rng *rand.Rand) {
	p.jitter = jitter{rng: rng}
	p.actions = &actionList{}
	p.timers = newTimerTable(p.actions)
	p.nodes = newNodeTable(p.cfg.NodeTypes)
	p.requests = newRequestTable()
	p.poller = &nodeListPoller{
		maxInterval: p.cfg.Discovery.MaxPollInterval,
		objective:   p.cfg.shortestObjective(),
		actions:     p.actions,
		timers:      p.timers,
		jitter:      p.jitter,
	}
}

// newModels creates the parts that learn from events, and the rules.
func (p *Placer) newModels() {
	p.capacity = newCapacityModel(&p.cfg)
	p.latency = newLatencyModel(&p.cfg)
	p.outliers = &outlierDetector{objective: p.cfg.shortestObjective(), jitter: p.jitter}
	p.slowStart = &slowStart{limits: p.cfg.SlowStart, peers: p.cfg.Peers}
	p.spread = newSpreadRule()
	p.retries = &retryRule{cfg: &p.cfg}
}

// newStages creates the parts that choose nodes: standby nodes, filter and selection.
func (p *Placer) newStages(rng *rand.Rand) {
	p.consolidator = &consolidator{
		cfg:                 &p.cfg,
		nodes:               p.nodes,
		capacity:            p.capacity,
		slowStart:           p.slowStart,
		actions:             p.actions,
		rng:                 rng,
		saturationThreshold: lowestSaturationThreshold(p.cfg.Classes),
	}
	p.filter = &nodeFilter{
		cfg:       &p.cfg,
		nodes:     p.nodes,
		capacity:  p.capacity,
		outliers:  p.outliers,
		slowStart: p.slowStart,
		spread:    p.spread,
		retries:   p.retries,
		standby:   p.consolidator,
	}
	p.selector = &selector{
		peers:    p.cfg.Peers,
		nodes:    p.nodes,
		requests: p.requests,
		capacity: p.capacity,
		latency:  p.latency,
		rng:      rng,
	}
}

// Handle processes one event at the time now, and appends the resulting actions to actions.
func (p *Placer) Handle(now Seconds, ev Event, actions []Action) []Action {
	p.actions.begin(actions)
	if !p.started {
		p.start(now)
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
		p.handleWithdrawn(ev.TaskID)
	case TimerFired:
		p.handleTimer(ev.Token)
	}
	return p.actions.take()
}

// start prepares for the first event. The poller's first request counts as made at p.now, which is still 0.
func (p *Placer) start(now Seconds) {
	p.started = true
	p.slowStart.schedulerStarted(now)
	if p.cfg.Discovery.MustPoll {
		p.poller.poll(p.now)
	}
	p.startConsolidationTimer()
}

func (p *Placer) startConsolidationTimer() {
	p.timers.start(pendingTimer{kind: timerConsolidate}, p.jitter.apply(consolidationInterval))
}

func (p *Placer) handleTimer(token uint64) {
	timer, known := p.timers.take(token)
	if !known {
		return
	}
	request := timer.request
	switch timer.kind {
	case timerPollNodes:
		p.poller.timerFired(p.now, token)
	case timerConsolidate:
		p.consolidator.drain(p.now)
		p.nodes.evictTerminated(p.now)
		p.startConsolidationTimer()
	case timerDeadline:
		// An attempt times out at the deadline at the latest. This timer is for attempts whose outcome does
		// not arrive and for requests that wait for a redraw.
		if !request.done {
			p.answerUnplaced(request)
		}
	case timerRedraw:
		if request.redrawToken == token && !request.done && request.outstandingAttempt() == nil {
			p.place(request)
		}
	}
}

// handleNodesListed applies a node list, or polls again after a failure.
func (p *Placer) handleNodesListed(ev Event) {
	if ev.List == ListFailed {
		p.poller.pollFailed()
		return
	}
	if ev.List != CachedList {
		p.poller.listArrived(p.now)
	}
	p.nodes.apply(ev.List, ev.Nodes)
}

// handleArrived places a task, or answers at once if it cannot be placed.
func (p *Placer) handleArrived(task Task) {
	if p.requests.known(task.ID) {
		return
	}
	request := p.requests.open(task, p.now)
	if !p.cfg.accepts(&task, p.now) {
		p.answerUnplaced(request)
		return
	}
	untilDeadline := task.Deadline + p.cfg.Attempts.AnswerGrace/2 - p.now
	p.timers.start(pendingTimer{request: request, kind: timerDeadline}, untilDeadline)
	p.place(request)
}

// handleWithdrawn closes a request that the client withdrew.
func (p *Placer) handleWithdrawn(id TaskID) {
	if request := p.requests.byID[id]; request != nil {
		p.requests.close(request)
	}
}
