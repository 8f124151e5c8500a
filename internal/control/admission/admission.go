// Package admission decides which placement requests are passed on to the placer when clients request more than the fleet can start: how
// many requests may be in flight (a learned concurrency limit), whose request is next (tenant shares, then priority), which requests are
// shed because they could no longer start in time, and how many may be retries (a retry budget).
//
// The engine of the Kubernetes front owns the Controller. Begin with Controller.Submit and Controller.Poll, which take a request through the
// fairQueue, the limiter and the retryBudget.
//
// It is pure: time is passed in, and there is no randomness. It does not decide where a task runs. A Controller is not safe for concurrent
// use.
package admission

import "heathshed/placer"

// Decision is what becomes of a submitted request.
type Decision uint8

// The decisions.
const (
	Admit Decision = iota // send it to the placer now
	Queue                 // it is queued; a later Poll admits or sheds it
	Shed                  // it is rejected; the client may submit another one after ShedRequest.RetryAfter
)

// Controller is an admission controller. The zero value is not usable; see New.
type Controller struct {
	cfg     Config
	limiter limiter
	queue   fairQueue
	budget  retryBudget
	rate    admissionRate

	// Admitted counts requests that were admitted, at once or from the queue.
	Admitted uint64
	// Queued counts requests that were queued when they were submitted.
	Queued uint64
	// Demoted counts queued requests that were demoted at their Deadline.
	Demoted uint64
	// ShedLate counts requests that were shed because they could no longer start in time.
	ShedLate uint64
	// ShedFull counts requests that were shed because the queue was full.
	ShedFull uint64
	// ShedRetry counts retries that were shed because the retry budget was used up.
	ShedRetry uint64
}

// New returns a controller, or a *ConfigError.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	controller := &Controller{cfg: cfg, queue: newFairQueue(cfg.Shares), budget: newRetryBudget(&cfg)}
	controller.limiter = newLimiter(&controller.cfg)
	return controller, nil
}

// RetryBudget returns how many retries may be admitted at once.
func (c *Controller) RetryBudget() float64 { return c.budget.tokens }

// Limit returns the current limit on requests in flight.
func (c *Controller) Limit() float64 { return c.limiter.limit }

// InFlight returns the number of admitted requests that have not completed.
func (c *Controller) InFlight() int { return len(c.limiter.inFlight) }

// QueueLength returns the number of requests that wait for admission.
func (c *Controller) QueueLength() int { return c.queue.len() }

// Submit decides about a new request. If it is queued, a later Poll returns it; if it is shed, the ShedRequest says why.
func (c *Controller) Submit(now placer.Seconds, request Request) (Decision, ShedRequest) {
	if c.cfg.Disabled {
		c.admit(now, &request, false) // the retry budget does not apply
		return Admit, ShedRequest{}
	}
	c.budget.refill(now)
	if c.cfg.ShedUsesRetryBudget {
		request.IsRetry = request.IsRetry || request.ShedBefore
		if request.IsRetry && !c.budget.hasToken() {
			c.ShedRetry++
			return Shed, c.newShedRequest(request.ID, ReasonRetryBudget)
		}
		if !request.IsRetry {
			c.budget.addTokens(c.cfg.RetryRatio)
		}
	}
	tenant := c.queue.tenantByNumber(request.Tenant)
	if c.canAdmitNow(now, &request) {
		c.queue.chargeTenant(tenant, request.Cost)
		c.admit(now, &request, request.IsRetry)
		return Admit, ShedRequest{}
	}
	if c.queue.len() >= c.cfg.MaxQueued {
		c.ShedFull++
		return Shed, c.newShedRequest(request.ID, ReasonQueueFull)
	}
	c.enqueue(now, request, tenant)
	return Queue, ShedRequest{}
}

// admissible reports whether an arriving request may be admitted at once.
func (c *Controller) canAdmitNow(now placer.Seconds, request *Request) bool {
	if c.queue.queuedAhead(request.class()) > 0 || !c.limiter.hasCapacity(now) {
		return false
	}
	return !request.IsRetry || c.budget.hasToken()
}

func (c *Controller) enqueue(now placer.Seconds, request Request, tenant *tenantQueue) {
	deadline := request.Deadline
	if !c.cfg.ShedUsesRetryBudget && request.class() != classFirst {
		deadline = request.FinalDeadline
	}
	if tenant.totalQueued() == 0 {
		c.queue.advanceVirtualTime(tenant)
	}
	c.queue.enqueue(&queuedRequest{Request: request, arrivedAt: now, expiresAt: request.latestStart(deadline), tenant: tenant})
	c.Queued++
}

func (c *Controller) admit(now placer.Seconds, request *Request, usesRetryBudget bool) {
	if usesRetryBudget {
		c.budget.takeToken()
	}
	c.limiter.add(request.ID, &inFlightRequest{
		admittedAt:       now,
		latencyObjective: request.LatencyObjective,
		usedRetryBudget:  usesRetryBudget,
	})
	c.rate.record(now)
	c.Admitted++
}

// Complete records the outcome of an admitted request: whether its task was placed. The concurrency limit and the retry budget adapt to it.
// An unknown request is ignored.
func (c *Controller) Complete(now placer.Seconds, id uint64, placed bool) {
	request, ok := c.limiter.inFlight[id]
	if !ok {
		return
	}
	if placed && !c.cfg.ShedUsesRetryBudget {
		c.budget.recordPlaced(request.usedRetryBudget)
	}
	c.limiter.complete(now, id, request, placed)
}

// Cancel removes a request, queued or in flight. The concurrency limit and the retry budget do not adapt to it. An unknown request is ignored.
func (c *Controller) Cancel(id uint64) {
	if request := c.limiter.inFlight[id]; request != nil {
		c.limiter.remove(id, request)
	}
	if entry := c.queue.byID[id]; entry != nil {
		c.queue.remove(entry)
	}
}

// Poll returns the queued requests that are admitted now, in order, and those that are shed because they could no longer start before their
// final deadline.
func (c *Controller) Poll(now placer.Seconds) (admitted []uint64, shed []ShedRequest) {
	c.budget.refill(now)
	shed = c.processExpired(now)
	for c.queue.len() > 0 && c.limiter.hasCapacity(now) {
		tenant := c.queue.nextTenant(c.budget.hasToken())
		if tenant == nil {
			break // only retries are queued, and the budget is used up
		}
		entry := tenant.next(now)
		c.queue.remove(entry)
		c.queue.chargeTenant(tenant, entry.Cost)
		c.admit(now, &entry.Request, entry.IsRetry)
		admitted = append(admitted, entry.ID)
	}
	return admitted, shed
}

// expire demotes or sheds the queued requests that have expired.
func (c *Controller) processExpired(now placer.Seconds) []ShedRequest {
	var shed []ShedRequest
	for entry := c.queue.expiry.earliest(); entry != nil && entry.expiresAt <= now; entry = c.queue.expiry.earliest() {
		if c.demoteExpired(now, entry) {
			continue
		}
		reason := c.recordExpired(entry)
		c.queue.remove(entry)
		shed = append(shed, c.newShedRequest(entry.ID, reason))
	}
	return shed
}

// demote queues a request that can no longer start in time, but whose client still waits, behind those that can. It returns false if the
// client no longer waits.
func (c *Controller) demoteExpired(now placer.Seconds, entry *queuedRequest) bool {
	latest := entry.latestStart(entry.FinalDeadline)
	clientWaits := latest > now
	if !clientWaits || c.cfg.ShedUsesRetryBudget {
		return false
	}
	c.queue.remove(entry)
	demoted := &queuedRequest{Request: entry.Request, arrivedAt: entry.arrivedAt, expiresAt: latest, tenant: entry.tenant}
	demoted.ShedBefore = true
	c.queue.enqueue(demoted)
	c.Demoted++
	return true
}

// countExpired counts a request that is about to be shed and returns the reason.
func (c *Controller) recordExpired(entry *queuedRequest) string {
	if entry.IsRetry && !c.budget.hasToken() {
		c.ShedRetry++
		return ReasonRetryBudget
	}
	c.ShedLate++
	return ReasonLate
}

// NextDeadline returns the time by which Poll should be called even if no request completes: infinity if nothing is queued.
func (c *Controller) NextDeadline() placer.Seconds {
	next := never
	if c.queue.len() > 0 {
		next = min(c.limiter.nextSlotExpiry(), c.budget.nextTokenAt())
	}
	if entry := c.queue.expiry.earliest(); entry != nil {
		next = min(next, entry.expiresAt)
	}
	return next
}
