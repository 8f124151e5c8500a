package placer

import "slices"

// trackedNode is what is known of one node.
type trackedNode struct {
	Node
	cores, memory    float64
	listed           bool    // named by a list
	unusedSince      float64 // since when it has been gone and empty, 0 if it is not
	unanswered       int     // own offers without an answer
	recentChanges    []capacityChange
	report           Report
	reportedAt       float64
	hasReport        bool
	warmupSends      []float64
	rejectsUntil     float64 // a refusal stands until then
	saturationExcess float64 // of its cores, beyond what the ask bears; scratch of the filter
	affinity         float64 // of the service at hand; scratch of the draw
	standby          bool
	healthy          bool // trusted with the ask at hand; scratch of the filter
	failures         int
	lastFailureAt    float64
	ejectedUntil     float64
	ownTasks         map[ServiceID]int // own tasks that run here or are offered
	cachedPrograms   []ServiceID       // services whose last own task left, the latest last
	boundAttempts    []*attempt        // own tasks bound here
	standbySince     float64
}

// capacityChange is an own change in what is asked of a machine that the list may not show yet.
type capacityChange struct {
	at            float64
	cores, memory float64
	isBind        bool
}

// dropChangesBefore forgets changes from before the given time.
func (n *trackedNode) dropChangesBefore(at float64) {
	i := 0
	for i < len(n.recentChanges) && n.recentChanges[i].at < at {
		i++
	}
	if i > 0 {
		n.recentChanges = n.recentChanges[:copy(n.recentChanges, n.recentChanges[i:])]
	}
}

// dropWarmupSendsBefore forgets sends to a cold machine from before the given time.
func (n *trackedNode) dropWarmupSendsBefore(at float64) {
	i := 0
	for i < len(n.warmupSends) && n.warmupSends[i] < at {
		i++
	}
	if i > 0 {
		n.warmupSends = n.warmupSends[:copy(n.warmupSends, n.warmupSends[i:])]
	}
}

// attempt is one offer of a task, or a task found running.
type attempt struct {
	node           *trackedNode
	request        *placementRequest
	boundIndex     int // in the machine's list of bound tasks
	sentAt         float64
	outstanding    bool // no outcome yet
	bound          bool
	coldStart      bool // the machine held no own task of the service at the bind
	errored        bool // it ended with an error
	countedFailure bool // and the machine was struck for it
}

// placementRequest is a task in hand.
type placementRequest struct {
	Task
	attempts       []*attempt
	alternative    *trackedNode // the second of the pair
	rejections     int          // of the present pair
	done           bool         // answered or ended
	placed         bool
	migrated       bool
	ignoresCache   bool     // drawn without regard to where the program is
	unknownOutcome *attempt // the first attempt that may have run and was not bound
	redrawToken    uint64
	arrivedAt      float64
}

func (r *placementRequest) outstandingAttempt() *attempt {
	for _, a := range r.attempts {
		if a.outstanding {
			return a
		}
	}
	return nil
}

// pendingTimer is what a timer is for.
type pendingTimer struct {
	request *placementRequest
	kind    timerKind
}

type timerKind uint8

const (
	timerRedraw timerKind = iota + 1
	timerDeadline
	timerPollNodes
	timerConsolidate
)

// runningAverage is a running mean and deviation. Until the first reading hints stand in, the mean that it begins with
// counting as one of them; readings then go on from there, by number while these are few.
type runningAverage struct {
	mean, deviation    float64
	samples, estimates int
}

func (a *runningAverage) add(value, weight float64) {
	if a.samples++; a.samples+a.estimates == 1 {
		a.mean, a.deviation = value, value/2
		return
	}
	if a.estimates > 0 {
		weight = max(weight, 1/float64(a.samples+a.estimates))
	}
	difference := value - a.mean
	a.mean += difference * weight
	a.deviation += (max(difference, -difference) - a.deviation) * weight
}

func (a *runningAverage) addEstimate(value, minWeight float64) {
	if a.samples == 0 {
		a.estimates++
		a.mean += (value - a.mean) * max(minWeight, 1/float64(a.estimates+1))
	}
}

// hasProgram says whether the machine holds or has just held an own task of the service, or is offered one.
func (n *trackedNode) hasProgram(service ServiceID) bool {
	return n.ownTasks[service] > 0 || slices.Contains(n.cachedPrograms, service)
}

// cacheProgram notes that the program of a service is on the machine though no own task of it is left.
func (n *trackedNode) cacheProgram(service ServiceID, limit int) {
	if i := slices.Index(n.cachedPrograms, service); i >= 0 {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, i, i+1)
	}
	if n.cachedPrograms = append(n.cachedPrograms, service); len(n.cachedPrograms) > limit {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, 0, 1)
	}
}

// addBound and release keep the list of own tasks bound to a machine.
func (n *trackedNode) addBound(a *attempt) {
	a.boundIndex = len(n.boundAttempts)
	n.boundAttempts = append(n.boundAttempts, a)
}

func (n *trackedNode) removeBound(a *attempt) {
	last := n.boundAttempts[len(n.boundAttempts)-1]
	n.boundAttempts[a.boundIndex], last.boundIndex = last, a.boundIndex
	n.boundAttempts = n.boundAttempts[:len(n.boundAttempts)-1]
}

func (p *Placer) trackAttempt(attempt *attempt) {
	attempt.node.ownTasks[attempt.request.Service]++
	p.attemptsByService[attempt.request.Service] = append(p.attemptsByService[attempt.request.Service], attempt)
}

func (p *Placer) untrackAttempt(attempt *attempt) {
	if attempt.node.ownTasks[attempt.request.Service]--; attempt.node.ownTasks[attempt.request.Service] <= 0 {
		delete(attempt.node.ownTasks, attempt.request.Service)
	}
	attempts := p.attemptsByService[attempt.request.Service]
	for i, other := range attempts {
		if other == attempt {
			attempts[i] = attempts[len(attempts)-1]
			attempts[len(attempts)-1] = nil
			attempts = attempts[:len(attempts)-1]
			break
		}
	}
	if len(attempts) == 0 {
		delete(p.attemptsByService, attempt.request.Service)
		return
	}
	p.attemptsByService[attempt.request.Service] = attempts
}

// ensureNode finds or makes the record of a node.
func (p *Placer) ensureNode(id NodeID) *trackedNode {
	node := p.nodesByID[id]
	if node == nil {
		node = &trackedNode{Node: Node{ID: id, NodeType: -1, Rack: -1, Zone: -1}, ownTasks: map[ServiceID]int{}}
		p.nodesByID[id] = node
		p.nodes = append(p.nodes, node)
	}
	return node
}

// removeIfDone drops a task that is over and has no attempt without an outcome.
func (p *Placer) removeIfDone(request *placementRequest) {
	if request.done && request.outstandingAttempt() == nil {
		delete(p.requests, request.ID)
	}
}

// replaceChange replaces the entry of an open offer by a bind of now, or takes it out.
func (p *Placer) replaceChange(node *trackedNode, sentAt float64, request *placementRequest, isBind bool) {
	for i, change := range node.recentChanges {
		if change.at == sentAt && !change.isBind && change.cores == request.Cores && change.memory == request.Memory {
			node.recentChanges = append(node.recentChanges[:i], node.recentChanges[i+1:]...)
			break
		}
	}
	if isBind {
		node.recentChanges = append(node.recentChanges, capacityChange{at: p.now, cores: request.Cores, memory: request.Memory, isBind: true})
	}
}

// sharesDomain says whether two machines share a place of the given kind.
func sharesDomain(domain TopologyDomain, a, b *trackedNode) bool {
	switch domain {
	case ClusterDomain:
		return true
	case ZoneDomain:
		return a.listed && b.listed && a.Node.Zone == b.Node.Zone
	case RackDomain:
		return a.listed && b.listed && a.Node.Rack == b.Node.Rack
	}
	return a == b
}

// preferNodes keeps those of the set that are wanted, or all if none is.
func preferNodes(nodes []*trackedNode, wanted func(*trackedNode) bool) []*trackedNode {
	n := 0
	for _, node := range nodes {
		if wanted(node) {
			nodes[n] = node
			n++
		}
	}
	if n > 0 {
		return nodes[:n]
	}
	return nodes
}

func (p *Placer) startTimer(request *placementRequest, kind timerKind, after float64) {
	p.lastToken++
	p.timers[p.lastToken] = pendingTimer{request, kind}
	switch kind {
	case timerRedraw:
		request.redrawToken = p.lastToken
	case timerPollNodes:
		p.pollToken = p.lastToken
	}
	p.actions = append(p.actions, Action{Kind: SetTimer, Token: p.lastToken, After: max(after, 0)})
}

// hashUnit is a fixed number between 0 and 1, both left out, for a pair of numbers.
func hashUnit(a, b uint64) float64 {
	x := a*0x9e3779b97f4a7c15 + b
	for range 2 {
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return (float64(x>>12) + 0.5) / (1 << 52)
}
