package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Placer decides for one scheduler. The files that the deploy file names as the policy hold its decisions and tuned
// values; state.go, node.go, request.go and timer.go hold its state, and api.go its interface.
//
// A request is placed as in the k-COLLISION protocol: filter the nodes, draw two uniformly, skip those with too many
// contenders, attempt the emptier node, then the other, then wait and redraw. See docs/design.md.
type Placer struct {
	cfg       Config
	rng       *rand.Rand
	now       Seconds // the latest time of an event
	started   bool    // an event has been handled
	startedAt Seconds
	actions   []Action // the result of the event being handled

	nodes      []*trackedNode // in the order in which they became known
	nodesByID  map[NodeID]*trackedNode
	candidates []*trackedNode // reused by the filter

	requests          map[TaskID]*placementRequest
	attemptsByService map[ServiceID][]*attempt // those without an outcome
	unanswered        int                      // requests without an answer

	timers    map[uint64]pendingTimer // by token
	lastToken uint64
	pollToken uint64 // of the latest poll timer

	standbyOrder     []*trackedNode // ready nodes, those that stay open first
	standbyKnown     bool
	standbyUpdatedAt Seconds

	answerTimes       []runningAverage // seconds from an attempt to its acceptance, by class
	coldStartTimes    []runningAverage // seconds to a start without the service's program, by class
	coresUsage        runningAverage   // cores in use per core requested, on all nodes
	memoryUsage       runningAverage
	shortestObjective Seconds // shortest latency objective of all classes

	lastPollAt   Seconds
	lastListAt   Seconds
	pollFailures int  // since the last list
	watching     bool // the last poll was answered
}

// New returns a Placer, or an error that names the invalid part of the configuration.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	p := &Placer{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(seed, seedStream)),
		nodesByID:         map[NodeID]*trackedNode{},
		requests:          map[TaskID]*placementRequest{},
		attemptsByService: map[ServiceID][]*attempt{},
		timers:            map[uint64]pendingTimer{},
		answerTimes:       make([]runningAverage, len(cfg.Classes)),
		coldStartTimes:    make([]runningAverage, len(cfg.Classes)),
		coresUsage:        runningAverage{mean: 1},
		memoryUsage:       runningAverage{mean: 1},
		shortestObjective: Seconds(math.Inf(1)),
	}
	for i := range cfg.Classes {
		p.shortestObjective = min(p.shortestObjective, cfg.Classes[i].LatencyObjective)
	}
	return p, nil
}

// class returns the class of a request.
func (p *Placer) class(request *placementRequest) *Class { return &p.cfg.Classes[request.Class] }

// findAttempt returns the attempt that an event names, or nil if it is not known.
func (p *Placer) findAttempt(ev Event) *attempt {
	request := p.requests[ev.TaskID]
	if request == nil || ev.Attempt < 0 || ev.Attempt >= len(request.attempts) {
		return nil
	}
	return request.attempts[ev.Attempt]
}

// ensureNode finds or creates the record of a node.
func (p *Placer) ensureNode(id NodeID) *trackedNode {
	node := p.nodesByID[id]
	if node == nil {
		node = newTrackedNode(id)
		p.nodesByID[id] = node
		p.nodes = append(p.nodes, node)
	}
	return node
}

// removeIfDone removes a request that is done and has no outstanding attempt.
func (p *Placer) removeIfDone(request *placementRequest) {
	if request.done && request.outstandingAttempt() == nil {
		delete(p.requests, request.ID)
	}
}
