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
	MinInFlight, MaxInFlight, InitialInFlight float64
	// DecreaseFactor is what the limit is multiplied by while more than LatePart of the asks come back late or not placed, at most once in a
	// Window. A lower part says nothing: there are always some that no machine may take.
	DecreaseFactor, DecreaseInterval, LateFraction float64
	// MaxQueued bounds the asks that wait, over all tenants.
	MaxQueued int
	// An ask again draws one from a budget of at most RetryBurst. It has it back, with RetryRatio more, when it is placed; a first ask that
	// is placed brings RetryRatio; time brings RetryRate a second.
	RetryRatio, RetryRate, RetryBurst float64
	// ShedUsesRetryBudget is a mistake that was made once and is kept for experiments: an item is shed at its Deadline, counts as asked again when it
	// comes back, and is shed at once if it is beyond the budget.
	ShedUsesRetryBudget bool
	// AdditiveOnly keeps the limit from growing faster than by one for each time that all under way are answered.
	AdditiveOnly bool
	// Disabled lets everything pass, and still counts.
	Disabled bool
}

// DefaultConfig has the figures of the docs.
func DefaultConfig() Config {
	return Config{MinInFlight: 4, MaxInFlight: 4096, InitialInFlight: 64, DecreaseFactor: 0.85, DecreaseInterval: 0.25, LateFraction: 0.3, MaxQueued: 100000, RetryRatio: 0.3, RetryRate: 2,
		RetryBurst: 100}
}

// Validate names the first field that cannot be used.
func (c *Config) Validate() error {
	for _, f := range []struct {
		name      string
		v, lo, hi float64
	}{{"min in flight", c.MinInFlight, 1, c.MaxInFlight}, {"max in flight", c.MaxInFlight, 1, 1e9}, {"start", c.InitialInFlight, 1, 1e9},
		{"decrease", c.DecreaseFactor, 0.01, 0.99}, {"window", c.DecreaseInterval, 0, 60}, {"late part", c.LateFraction, 0, 1}, {"max waiting", float64(c.MaxQueued), 1, 1e9},
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
	FinalDeadline    float64 // when its owner stops waiting for good; no earlier than Deadline
	LatencyObjective float64 // how soon a start is worth most, from its arrival
	// IsRetry says that the machines had it before and did not keep it. One that was only ever shed here is a first ask.
	IsRetry bool
	// ShedBefore says that it was shed here before.
	ShedBefore bool
}

// Decision says what becomes of an item.
type Decision uint8

// The verdicts. Pass: ask now. Wait: it stands in line. Shed: refuse it; a new try does no harm, but not before the delay.
const (
	Admit Decision = iota
	Queue
	Shed
)

// ShedRequest is an item that is refused, with the seconds before which it should not come again.
type ShedRequest struct {
	ID         uint64
	RetryAfter float64
	Reason     string
}

// Controller is the state. The zero value is not usable; see New.
type Controller struct {
	cfg            Config
	limit          float64
	lastDecreaseAt float64 // time of the last decrease
	lateFraction   float64 // part of the asks that came back late, smoothed
	slowStart      bool    // the limit grows by one for each good answer
	lastLateAt     float64 // since when no answer was late
	inFlight       map[uint64]*inFlightRequest
	inFlightByAge  []*inFlightRequest // those under way, oldest first; ended ones are skipped
	counted        int                // those of young that still count
	queued         map[uint64]*queuedRequest
	expiry         expiryHeap
	tenants        []*tenantQueue
	virtualTime    float64 // of the tenant served last, in cost over share
	admitRate      float64 // asks let pass a second, smoothed
	lastAdmitAt    float64
	retryBudget    float64 // asks that may be made again
	retryBudgetAt  float64

	// Passed, Queued, Overdue, ShedLate, ShedFull and ShedRetry count.
	Admitted, Queued, Overdue, ShedLate, ShedFull, ShedRetry uint64
}

// inFlightRequest is an ask under way. Past its aim it is parked: it waits for a machine that may take it, keeps nobody busy, and does not
// count against the limit.
type inFlightRequest struct {
	admittedAt, latencyObjective float64
	counted                      bool
	usesRetryBudget              bool // on the budget
}

type tenantQueue struct {
	share       float64
	virtualTime float64                      // virtual time: cost let pass over share
	queues      [numClasses][]*priorityQueue // by priority, the highest first
	queued      [numClasses]int
}

// The kinds of items, in the order in which a tenant's go: those that may still be in time, those that waited or were shed here until they
// are late whatever comes, and those that draw on the budget.
const (
	classFirst = iota
	classDemoted
	classRetry
	numClasses
)

func (t *tenantQueue) totalQueued() int {
	return t.queued[classFirst] + t.queued[classDemoted] + t.queued[classRetry]
}

type queuedRequest struct {
	Request
	arrivedAt float64
	expiresAt float64 // when it is overdue or, if it is that already, shed
	tenant    *tenantQueue
	removed   bool
}

func (r *Request) class() int {
	switch {
	case r.IsRetry:
		return classRetry
	case r.ShedBefore:
		return classDemoted
	}
	return classFirst
}

// priorityQueue holds a tenant's items of one priority in order of arrival. Removed ones are skipped when they come to an end of it.
type priorityQueue struct {
	priority int
	entries  []*queuedRequest
	length   int
}

func (t *tenantQueue) enqueue(entry *queuedRequest) {
	queues := &t.queues[entry.class()]
	i, found := slices.BinarySearchFunc(*queues, entry.Priority, func(queue *priorityQueue, priority int) int { return priority - queue.priority })
	if !found {
		*queues = slices.Insert(*queues, i, &priorityQueue{priority: entry.Priority})
	}
	queue := (*queues)[i]
	queue.entries = append(queue.entries, entry)
	queue.length++
	t.queued[entry.class()]++
}

// trimRemoved takes removed items off both ends.
func (q *priorityQueue) trimRemoved() {
	for len(q.entries) > 0 && q.entries[0].removed {
		q.entries[0] = nil
		q.entries = q.entries[1:]
	}
	for n := len(q.entries); n > 0 && q.entries[n-1].removed; n = len(q.entries) {
		q.entries[n-1] = nil
		q.entries = q.entries[:n-1]
	}
}

// expiryHeap orders all that waits by when it must be looked at. Removed items are skipped when they come to the top.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*queuedRequest)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// first returns the item that expires first, or nil.
func (h *expiryHeap) first() *queuedRequest {
	for len(*h) > 0 && (*h)[0].removed {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

// next returns the item whose turn it is. While the line is short the oldest goes first. Once the oldest has waited for a good part of
// its aim, the newest does: serving in order would make every one late, and a start within the aim is worth most.
func (t *tenantQueue) next(now float64) *queuedRequest {
	for class := range numClasses {
		if entry := nextOf(t.queues[class], now); entry != nil {
			return entry
		}
	}
	return nil
}

func nextOf(queues []*priorityQueue, now float64) *queuedRequest {
	for _, queue := range queues {
		queue.trimRemoved()
		if queue.length == 0 {
			continue
		}
		if oldest := queue.entries[0]; now-oldest.arrivedAt < oldest.LatencyObjective*fifoFraction {
			return oldest
		}
		return queue.entries[len(queue.entries)-1]
	}
	return nil
}

const fifoFraction = 0.4 // of its aim that the oldest may have waited before the newest goes first

// New makes a gate.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	controller := &Controller{cfg: cfg, limit: min(max(cfg.InitialInFlight, cfg.MinInFlight), cfg.MaxInFlight), inFlight: map[uint64]*inFlightRequest{},
		queued: map[uint64]*queuedRequest{}, retryBudget: cfg.RetryBurst, slowStart: !cfg.AdditiveOnly}
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
		controller.tenants = append(controller.tenants, &tenantQueue{share: s})
	}
	if len(controller.tenants) == 0 {
		controller.tenants = []*tenantQueue{{share: 1}}
	}
	return controller, nil
}

// RetryBudget is how many asks may be made again at once.
func (c *Controller) RetryBudget() float64 { return c.retryBudget }

// Limit is the present limit on asks under way.
func (c *Controller) Limit() float64 { return c.limit }

// InFlight is the number of asks under way.
func (c *Controller) InFlight() int { return len(c.inFlight) }

// QueueLength is the number of items in line.
func (c *Controller) QueueLength() int { return len(c.queued) }

// Submit takes an item. One that waits comes out of Next later; its delay says when to come again if it is shed.
func (c *Controller) Submit(now float64, request Request) (Decision, ShedRequest) {
	if c.cfg.Disabled {
		c.admit(now, request.ID, request.LatencyObjective, false) // nothing draws on a budget that bounds nothing
		return Admit, ShedRequest{}
	}
	c.refillRetryBudget(now)
	if c.cfg.ShedUsesRetryBudget {
		request.IsRetry = request.IsRetry || request.ShedBefore
		if request.IsRetry && c.retryBudget < 1 {
			c.ShedRetry++
			return Shed, ShedRequest{request.ID, c.retryAfter(), "too much is asked again"}
		}
		if !request.IsRetry {
			c.retryBudget = min(c.retryBudget+c.cfg.RetryRatio, c.cfg.RetryBurst)
		}
	}
	if request.Tenant < 0 || request.Tenant >= len(c.tenants) {
		request.Tenant = 0
	}
	tenant := c.tenants[request.Tenant]
	// What waits of a later kind holds up no earlier one.
	if c.queuedAhead(request.class()) == 0 && c.hasCapacity(now) && (!request.IsRetry || c.retryBudget >= 1) {
		c.charge(tenant, request.Cost)
		c.admit(now, request.ID, request.LatencyObjective, request.IsRetry)
		return Admit, ShedRequest{}
	}
	if len(c.queued) >= c.cfg.MaxQueued {
		c.ShedFull++
		return Shed, ShedRequest{request.ID, c.retryAfter(), "too many asks wait"}
	}
	entry := &queuedRequest{Request: request, arrivedAt: now, tenant: tenant}
	entry.expiresAt = request.Deadline - request.LatencyObjective/2
	if !c.cfg.ShedUsesRetryBudget && request.class() != classFirst {
		entry.expiresAt = request.FinalDeadline - request.LatencyObjective/2
	}
	if tenant.totalQueued() == 0 {
		// A tenant that comes back does not make up for the time that it asked nothing.
		tenant.virtualTime = max(tenant.virtualTime, c.virtualTime)
	}
	c.enqueue(entry)
	c.Queued++
	return Queue, ShedRequest{}
}

// enqueue puts an entry in line.
func (c *Controller) enqueue(entry *queuedRequest) {
	c.queued[entry.ID] = entry
	entry.tenant.enqueue(entry)
	heap.Push(&c.expiry, entry)
}

// queuedAhead is how many wait that an arrival of a kind may not overtake.
func (c *Controller) queuedAhead(class int) (n int) {
	for _, tenant := range c.tenants {
		for other := range class + 1 {
			n += tenant.queued[other]
		}
	}
	return n
}

// hasCapacity says whether one more may be under way.
func (c *Controller) hasCapacity(now float64) bool {
	for len(c.inFlightByAge) > 0 {
		request := c.inFlightByAge[0]
		if request.counted && now-request.admittedAt < max(request.latencyObjective, 0.001) {
			break
		}
		c.stopCounting(request)
		c.inFlightByAge[0] = nil
		c.inFlightByAge = c.inFlightByAge[1:]
	}
	return float64(c.counted) < math.Floor(c.limit)
}

func (c *Controller) stopCounting(request *inFlightRequest) {
	if request.counted {
		request.counted = false
		c.counted--
	}
}

func (c *Controller) charge(tenant *tenantQueue, cost float64) {
	tenant.virtualTime = max(tenant.virtualTime, c.virtualTime)
	c.virtualTime = tenant.virtualTime
	tenant.virtualTime += max(cost, 0.01) / tenant.share
}

func (c *Controller) admit(now float64, id uint64, latencyObjective float64, usesRetryBudget bool) {
	admitted := &inFlightRequest{now, latencyObjective, true, usesRetryBudget}
	if usesRetryBudget {
		c.retryBudget--
	}
	c.inFlight[id] = admitted
	c.inFlightByAge = append(c.inFlightByAge, admitted)
	c.counted++
	c.Admitted++
	// A rate smoothed over about a second.
	elapsed := max(now-c.lastAdmitAt, 0)
	c.admitRate = c.admitRate*math.Exp(-elapsed) + 1
	c.lastAdmitAt = now
}

// refillRetryBudget lets asks again accrue.
func (c *Controller) refillRetryBudget(now float64) {
	c.retryBudget = min(c.retryBudget+max(now-c.retryBudgetAt, 0)*c.cfg.RetryRate, c.cfg.RetryBurst)
	c.retryBudgetAt = max(c.retryBudgetAt, now)
}

// retryAfter is the advice to those refused: as long as the line takes, spread by how many were refused before, so that they do not come
// back as a wave.
func (c *Controller) retryAfter() float64 {
	wait := 1 + float64(len(c.queued))/max(c.admitRate, 1)
	n := float64((c.ShedLate+c.ShedFull+c.ShedRetry)%16) / 16
	return min(wait, maxRetryAfter) * (0.75 + 0.5*n)
}

// maxRetryAfter bounds the advice: the rate in a bad minute says nothing of the time after it, and who was told to stay away for long would
// come back long after there is room.
const maxRetryAfter = 15.0 // seconds

// Complete takes the end of an ask: placed says that it was, at a time when it had been under way so long. The limit learns from it.
func (c *Controller) Complete(now float64, id uint64, placed bool) {
	request, ok := c.inFlight[id]
	if !ok {
		return
	}
	delete(c.inFlight, id)
	inFlight := float64(c.counted)
	c.stopCounting(request)
	if placed && !c.cfg.ShedUsesRetryBudget {
		// What the machines take is no waste: only an ask again that failed stays paid for.
		refund := c.cfg.RetryRatio
		if request.usesRetryBudget {
			refund++
		}
		c.retryBudget = min(c.retryBudget+refund, c.cfg.RetryBurst)
	}
	late := 0.0
	if !placed || now-request.admittedAt > max(request.latencyObjective, 0.001)/2 {
		late = 1
	}
	c.lateFraction += (late - c.lateFraction) * 0.05
	if late > 0 {
		c.lastLateAt = now
	}
	switch {
	case c.lateFraction > c.cfg.LateFraction && late > 0 && now-c.lastDecreaseAt >= c.cfg.DecreaseInterval:
		// Additive increase, multiplicative decrease: what was under way when it got late is the measure, not a limit that was never
		// reached.
		c.limit = max(min(c.limit, inFlight+1)*c.cfg.DecreaseFactor, c.cfg.MinInFlight)
		c.lastDecreaseAt, c.slowStart = now, false
	case late == 0 && inFlight >= math.Floor(c.limit)/2:
		// Slow start: from the beginning, and again once nothing has been late for a while, the limit doubles with each round of answers.
		// A limit that fell in a bad minute must not stay down for long after it.
		if !c.slowStart && !c.cfg.AdditiveOnly && now-c.lastLateAt >= slowStartWindows*max(c.cfg.DecreaseInterval, 0.05) {
			c.slowStart = true
		}
		step := 1 / max(c.limit, 1)
		if c.slowStart && now-request.admittedAt <= max(request.latencyObjective, 0.001)/promptDivisor {
			step = 1
		}
		c.limit = min(c.limit+step, c.cfg.MaxInFlight)
	}
}

// promptDivisor is the part of its aim within which an answer must come for the limit to grow quickly: what takes longer stands in a line
// somewhere already, and doubling would only make that longer.
const promptDivisor = 16.0

const slowStartWindows = 4.0 // windows without a late answer until the limit grows quickly again

// Cancel forgets an item wherever it is, with no lesson.
func (c *Controller) Cancel(id uint64) {
	if request := c.inFlight[id]; request != nil {
		c.stopCounting(request)
		delete(c.inFlight, id)
	}
	if entry := c.queued[id]; entry != nil {
		c.dequeue(entry)
	}
}

func (c *Controller) dequeue(entry *queuedRequest) {
	delete(c.queued, entry.ID)
	entry.removed = true
	entry.tenant.queued[entry.class()]--
	for _, queue := range entry.tenant.queues[entry.class()] {
		if queue.priority == entry.Priority {
			queue.length--
		}
	}
}

// Poll says which items pass now and which are refused because they could no longer start before their owner gives up.
func (c *Controller) Poll(now float64) (admitted []uint64, shed []ShedRequest) {
	c.refillRetryBudget(now)
	for entry := c.expiry.first(); entry != nil && entry.expiresAt <= now; entry = c.expiry.first() {
		if last := entry.FinalDeadline - entry.LatencyObjective/2; last > now && !c.cfg.ShedUsesRetryBudget {
			// It is late whatever comes, but its owner still wants it: it steps back behind those that are not.
			c.dequeue(entry)
			requeued := &queuedRequest{Request: entry.Request, arrivedAt: entry.arrivedAt, expiresAt: last, tenant: entry.tenant}
			requeued.ShedBefore = true
			c.enqueue(requeued)
			c.Overdue++
			continue
		}
		reason := "it waited until it could no longer start in time"
		if entry.IsRetry && c.retryBudget < 1 {
			reason = "too much is asked again"
			c.ShedRetry++
		} else {
			c.ShedLate++
		}
		c.dequeue(entry)
		shed = append(shed, ShedRequest{entry.ID, c.retryAfter(), reason})
	}
	for len(c.queued) > 0 && c.hasCapacity(now) {
		// The tenant that has had least for its share is next; what one does not use the others have.
		var selected *tenantQueue
		for _, candidate := range c.tenants {
			if candidate.queued[classFirst]+candidate.queued[classDemoted] == 0 && (candidate.queued[classRetry] == 0 || c.retryBudget < 1) {
				continue
			}
			if selected == nil || candidate.virtualTime < selected.virtualTime {
				selected = candidate
			}
		}
		if selected == nil {
			break // asks again that wait for the budget
		}
		entry := selected.next(now)
		c.dequeue(entry)
		c.charge(selected, entry.Cost)
		c.admit(now, entry.ID, entry.LatencyObjective, entry.IsRetry)
		admitted = append(admitted, entry.ID)
	}
	return admitted, shed
}

// NextDeadline is when Next should be called at the latest although nothing ends: infinity if nothing waits.
func (c *Controller) NextDeadline() float64 {
	at := math.Inf(1)
	if len(c.queued) > 0 && len(c.inFlightByAge) > 0 {
		at = c.inFlightByAge[0].admittedAt + max(c.inFlightByAge[0].latencyObjective, 0.001)
	}
	if entry := c.expiry.first(); entry != nil {
		at = min(at, entry.expiresAt)
	}
	if c.retryBudget < 1 && c.cfg.RetryRate > 0 && len(c.queued) > 0 {
		at = min(at, c.retryBudgetAt+(1-c.retryBudget)/c.cfg.RetryRate)
	}
	return at
}
