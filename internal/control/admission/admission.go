// Package admission decides which placement requests are passed on to the placer when clients request more
// tasks than the cluster can start. It decides four things: how many requests may be in flight (an adaptive
// concurrency limit), which request is admitted next (by tenant shares, then by request class, then by
// priority), which requests are shed because their tasks could no longer start in time, and how many retries
// are admitted (a retry budget).
//
// Package engine, the core of the scheduler behind the Kubernetes API, owns a Controller. Controller.Submit
// and Controller.Poll use three unexported types: a fairQueue orders the waiting requests, a limiter holds the
// concurrency limit, and a retryBudget limits the retries.
//
// The package reads no clock and draws no random numbers: callers pass in the time. It does not decide on
// which node a task runs. A Controller is not safe for concurrent use.
package admission

import "heathshed/placer"

// Decision states what happens to a placement request that was submitted to a Controller.
type Decision uint8

// The constants of type Decision are the results of Controller.Submit.
const (
	Admit Decision = iota // Admit means that the caller passes the request on to the placer now.
	Queue                 // Queue means that the request waits until a later call of Poll admits or sheds it.
	Shed                  // Shed means that the request is rejected; after ShedRequest.RetryAfter, the client may submit a new request.
)

// Controller is an admission controller for placement requests. The zero value is not usable; New creates a
// Controller.
type Controller struct {
	cfg     Config
	limiter limiter
	queue   fairQueue
	budget  retryBudget
	rate    admissionRate

	// Admitted is the number of requests that were admitted, either at submission or from the queue.
	Admitted uint64
	// Queued is the number of requests that were queued at submission.
	Queued uint64
	// Demoted is the number of queued first attempts that were moved behind all other first attempts, because
	// their tasks could no longer start before Request.Deadline.
	Demoted uint64
	// ShedLate is the number of requests that were shed because their tasks could no longer start in time.
	ShedLate uint64
	// ShedFull is the number of requests that were shed because the queue was full.
	ShedFull uint64
	// ShedRetry is the number of retries that were shed because the retry budget was used up.
	ShedRetry uint64
}

// New returns a Controller with the given settings, or a *ConfigError if a setting is out of range.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	controller := &Controller{cfg: cfg, queue: newFairQueue(cfg.Shares), budget: newRetryBudget(&cfg)}
	controller.limiter = newLimiter(&controller.cfg)
	return controller, nil
}

// RetryBudget returns the number of tokens in the retry budget. Each token allows the admission of one retry.
func (c *Controller) RetryBudget() float64 { return c.budget.tokens }

// Limit returns the current concurrency limit, which is the largest allowed number of requests in flight.
func (c *Controller) Limit() float64 { return c.limiter.limit }

// InFlight returns the number of admitted requests that have not completed.
func (c *Controller) InFlight() int { return len(c.limiter.inFlight) }

// QueueLength returns the number of requests that wait for admission.
func (c *Controller) QueueLength() int { return c.queue.len() }

// Submit decides whether a new request is admitted, queued or shed. If the request is queued, a later call of
// Poll admits or sheds it. If the request is shed, the returned ShedRequest states the reason.
func (c *Controller) Submit(now placer.Seconds, request Request) (Decision, ShedRequest) {
	if c.cfg.Disabled {
		c.admit(now, &request, false) // The retry budget does not apply while admission control is disabled.
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

// canAdmitNow reports whether a new request can be admitted without waiting in the queue.
func (c *Controller) canAdmitNow(now placer.Seconds, request *Request) bool {
	if c.queue.queuedAhead(request.class()) > 0 || !c.limiter.hasCapacity(now) {
		return false
	}
	return !request.IsRetry || c.budget.hasToken()
}

func (c *Controller) enqueue(now placer.Seconds, request Request, tenant *tenantQueue) {
	deadline := request.Deadline
	if !c.cfg.ShedUsesRetryBudget && request.class() != classFirst {
		deadline = request.ClientDeadline
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
	c.rate.recordAdmission(now)
	c.Admitted++
}

// Complete records the outcome of the admitted request with the given ID. The argument placed is true if the
// task was placed on a node. The outcome changes the concurrency limit and the retry budget. Complete does
// nothing if no request with this ID is in flight.
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

// Cancel removes the request with the given ID if it is queued or in flight. It does not change the
// concurrency limit or the retry budget. Cancel does nothing if there is no such request.
func (c *Controller) Cancel(id uint64) {
	if request := c.limiter.inFlight[id]; request != nil {
		c.limiter.remove(id, request)
	}
	if entry := c.queue.byID[id]; entry != nil {
		c.queue.remove(entry)
	}
}

// Poll returns the IDs of the queued requests that it admits, in order of admission. It also returns the queued
// requests that it sheds because their tasks could no longer start before the client stops waiting.
func (c *Controller) Poll(now placer.Seconds) (admitted []uint64, shed []ShedRequest) {
	c.budget.refill(now)
	shed = c.processExpired(now)
	for c.queue.len() > 0 && c.limiter.hasCapacity(now) {
		tenant := c.queue.nextTenant(c.budget.hasToken())
		if tenant == nil {
			break // All queued requests are retries, and the retry budget is used up.
		}
		entry := tenant.next(now)
		c.queue.remove(entry)
		c.queue.chargeTenant(tenant, entry.Cost)
		c.admit(now, &entry.Request, entry.IsRetry)
		admitted = append(admitted, entry.ID)
	}
	return admitted, shed
}

// processExpired demotes or sheds each queued request whose expiry time has passed. It returns a ShedRequest
// for each request that it sheds.
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

// demoteExpired handles a queued request whose task can no longer start before Request.Deadline. While the
// client still waits, demoteExpired moves the request behind the requests whose tasks can start in time, and
// returns true. Otherwise it returns false, and the caller sheds the request.
func (c *Controller) demoteExpired(now placer.Seconds, entry *queuedRequest) bool {
	latestStart := entry.latestStart(entry.ClientDeadline)
	clientWaits := latestStart > now
	if !clientWaits || c.cfg.ShedUsesRetryBudget {
		return false
	}
	c.queue.remove(entry)
	demotedRequest := &queuedRequest{Request: entry.Request, arrivedAt: entry.arrivedAt, expiresAt: latestStart, tenant: entry.tenant}
	demotedRequest.ShedBefore = true
	c.queue.enqueue(demotedRequest)
	c.Demoted++
	return true
}

// recordExpired counts an expired queued request that the caller is about to shed, and returns the reason for
// shedding it.
func (c *Controller) recordExpired(entry *queuedRequest) string {
	if entry.IsRetry && !c.budget.hasToken() {
		c.ShedRetry++
		return ReasonRetryBudget
	}
	c.ShedLate++
	return ReasonLate
}

// NextDeadline returns the time by which the caller has to call Poll again, even if no request completes
// earlier. It returns infinity if no request is queued.
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
