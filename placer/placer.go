package placer

import (
	"fmt"
	"math/rand/v2"
)

// Placer makes the placement decisions of one scheduler. It passes each event to its components, which hold
// the state and make the decisions. The fields of a component are changed only by its own methods. All
// decisions and tunable constants are in some of the source files, which are called policy files. The file
// deploy/balancer.toml lists them under the key policy.
//
// A request is placed as in the k-COLLISION protocol. The Placer filters the nodes and draws two of them
// uniformly at random. It skips nodes with too many contenders. The contenders on a node are the unanswered
// attempts and the recently accepted tasks of this scheduler. The Placer attempts the request on the emptier
// of the two nodes and then, if that node rejects it, on the other node. If both nodes reject the request,
// the Placer waits and then draws two nodes again. The file docs/design.md describes the algorithm.
type Placer struct {
	cfg     Config
	now     Seconds // time of the latest event
	started bool    // true from the first event on
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

// New returns a Placer, or an error that names the invalid part of the configuration. The seed initializes
// the random number generator.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	p := &Placer{cfg: cfg}
	rng := rand.New(rand.NewPCG(seed, randomStream))
	p.newStateTables(rng)
	p.newModels()
	p.newNodeSelection(rng)
	return p, nil
}

// newStateTables creates the components that hold the current actions, timers, nodes and requests.
func (p *Placer) newStateTables(rng *rand.Rand) {
	p.jitter = jitter{rng: rng}
	p.actions = &actionList{}
	p.timers = newTimerTable(p.actions)
	p.nodes = newNodeTable(p.cfg.NodeTypes)
	p.requests = newRequestTable(p.timers)
	p.poller = &nodeListPoller{
		maxInterval:       p.cfg.Discovery.MaxPollInterval,
		shortestObjective: p.cfg.shortestObjective(),
		actions:           p.actions,
		timers:            p.timers,
		jitter:            p.jitter,
	}
}

// newModels creates the components that learn from events and those that implement the placement rules.
func (p *Placer) newModels() {
	p.capacity = newCapacityModel(&p.cfg)
	p.latency = newLatencyModel(&p.cfg)
	p.outliers = &outlierDetector{shortestObjective: p.cfg.shortestObjective(), jitter: p.jitter}
	p.slowStart = &slowStart{limits: p.cfg.SlowStart, peers: p.cfg.Peers}
	p.spread = newSpreadRule()
	p.retries = &retryRule{cfg: &p.cfg}
}

// newNodeSelection creates the components that choose nodes: the consolidator, the filter and the selector.
func (p *Placer) newNodeSelection(rng *rand.Rand) {
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
		cfg:          &p.cfg,
		nodes:        p.nodes,
		capacity:     p.capacity,
		outliers:     p.outliers,
		slowStart:    p.slowStart,
		spread:       p.spread,
		retries:      p.retries,
		consolidator: p.consolidator,
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

// Handle processes one event that happens at the time now. It appends the resulting actions to the given
// slice and returns the extended slice.
func (p *Placer) Handle(now Seconds, ev Event, actions []Action) []Action {
	p.actions.collectInto(actions)
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
		p.handleUsageReported(ev)
	case Withdrawn:
		p.handleWithdrawn(ev.TaskID)
	case TimerFired:
		p.handleTimer(ev.Token)
	}
	return p.actions.takeActions()
}

// start prepares the Placer for its first event. Handle calls it before it sets p.now for the first time, so
// the time of the first poll is recorded as 0.
func (p *Placer) start(now Seconds) {
	p.started = true
	p.slowStart.schedulerStarted(now)
	if p.cfg.Discovery.MustPoll {
		p.poller.requestNodeList(p.now)
	}
	p.startConsolidationTimer()
}

func (p *Placer) startConsolidationTimer() {
	p.timers.startTimer(pendingTimer{kind: timerConsolidate}, p.jitter.randomize(migrationInterval))
}

func (p *Placer) handleTimer(token uint64) {
	timer, known := p.timers.removeTimer(token)
	if !known {
		return
	}
	request := timer.request
	switch timer.kind {
	case timerPollNodes:
		p.poller.handleTimer(p.now, token)
	case timerConsolidate:
		p.consolidator.migrateFromStandby(p.now)
		p.nodes.evictTerminated(p.now)
		p.startConsolidationTimer()
	case timerDeadline:
		// Most requests are answered before this timer fires, because each attempt times out at the deadline
		// at the latest. The remaining requests still wait for nodes to be drawn, or have an attempt whose
		// outcome does not arrive.
		if !request.done {
			p.rejectOrFail(request)
		}
	case timerRedraw:
		if request.redrawToken == token && !request.done && request.outstandingAttempt() == nil {
			p.place(request)
		}
	}
}

// handleNodesListed applies a node list, or schedules another poll if the request for the list failed.
func (p *Placer) handleNodesListed(ev Event) {
	if ev.List == ListFailed {
		p.poller.handleFailedPoll()
		return
	}
	if ev.List != CachedList {
		p.poller.recordNodeList(p.now)
	}
	p.nodes.applyList(ev.List, ev.Nodes)
}

// handleArrived starts to place a task, or sends the final answer immediately if the task is not valid.
func (p *Placer) handleArrived(task Task) {
	if p.requests.hasRequest(task.ID) {
		return
	}
	request := p.requests.addRequest(task, p.now)
	if !p.cfg.isValidTask(&task, p.now) {
		p.rejectOrFail(request)
		return
	}
	untilDeadline := task.Deadline + p.cfg.Attempts.AnswerGrace/2 - p.now
	deadlineTimer := pendingTimer{request: request, kind: timerDeadline}
	request.deadlineToken = p.timers.startTimer(deadlineTimer, untilDeadline)
	p.place(request)
}

// handleWithdrawn closes a request that its client withdrew.
func (p *Placer) handleWithdrawn(id TaskID) {
	if request := p.requests.byID[id]; request != nil {
		p.requests.close(request)
	}
}
