package admission

import (
	"container/heap"
	"math"
)

// minCost replaces a smaller Request.Cost. Without it, requests whose cost is zero would not raise the virtual
// time of their tenant, and the shares of the tenants would not apply to these requests.
const minCost = 0.01

// fairQueue holds all queued requests and divides admissions among tenants in proportion to their shares. It
// implements weighted fair queueing. The virtual time of a tenant is the total cost of the tenant's admitted
// requests divided by the tenant's share. The tenant with the lowest virtual time has its next request admitted
// first.
type fairQueue struct {
	byID        map[uint64]*queuedRequest
	expiry      expiryHeap
	tenants     []*tenantQueue
	virtualTime float64 // virtualTime is the virtual time that the tenant of the last admitted request had before this admission.
}

func newFairQueue(shares []float64) fairQueue {
	queue := fairQueue{byID: map[uint64]*queuedRequest{}}
	smallest := smallestShare(shares)
	for _, share := range shares {
		if !(share > 0) {
			share = smallest
		}
		queue.tenants = append(queue.tenants, &tenantQueue{share: share})
	}
	if len(queue.tenants) == 0 {
		queue.tenants = []*tenantQueue{{share: 1}}
	}
	return queue
}

// smallestShare returns the smallest positive share, or 1 if no share is positive.
func smallestShare(shares []float64) float64 {
	smallest := math.Inf(1)
	for _, share := range shares {
		if share > 0 {
			smallest = min(smallest, share)
		}
	}
	if math.IsInf(smallest, 1) {
		return 1
	}
	return smallest
}

func (q *fairQueue) len() int { return len(q.byID) }

// tenantByNumber returns the queue of the tenant with the given number. If the number is out of range, it
// returns the queue of tenant 0.
func (q *fairQueue) tenantByNumber(number int) *tenantQueue {
	if number < 0 || number >= len(q.tenants) {
		number = 0
	}
	return q.tenants[number]
}

// enqueue adds a request to the queue of its tenant and to the heap of expiry times.
func (q *fairQueue) enqueue(entry *queuedRequest) {
	q.byID[entry.ID] = entry
	entry.tenant.enqueue(entry)
	heap.Push(&q.expiry, entry)
}

func (q *fairQueue) remove(entry *queuedRequest) {
	delete(q.byID, entry.ID)
	entry.tenant.remove(entry)
}

// queuedAhead returns the number of queued requests that a new request of the given class must not overtake.
// These are the requests of the same class and of earlier classes, over all tenants.
func (q *fairQueue) queuedAhead(arrivingClass requestClass) int {
	ahead := 0
	for _, tenant := range q.tenants {
		for class := range arrivingClass + 1 {
			ahead += tenant.queuedByClass[class]
		}
	}
	return ahead
}

// nextTenant returns the tenant whose request is to be admitted next, or nil if no request can be admitted. The
// argument retriesAllowed is false if the retry budget is used up. nextTenant skips each tenant that has no
// request that can be admitted. The share of a skipped tenant is thus divided among the other tenants.
func (q *fairQueue) nextTenant(retriesAllowed bool) *tenantQueue {
	var selected *tenantQueue
	for _, tenant := range q.tenants {
		firstAttempts := tenant.queuedByClass[classFirst] + tenant.queuedByClass[classDemoted]
		if firstAttempts == 0 && (tenant.queuedByClass[classRetry] == 0 || !retriesAllowed) {
			continue
		}
		if selected == nil || tenant.virtualTime < selected.virtualTime {
			selected = tenant
		}
	}
	return selected
}

// advanceVirtualTime raises the virtual time of a tenant to at least the virtual time of the queue. Otherwise a
// tenant could save up its share while it is idle, and later delay the requests of all other tenants.
func (q *fairQueue) advanceVirtualTime(tenant *tenantQueue) {
	tenant.virtualTime = max(tenant.virtualTime, q.virtualTime)
}

// chargeTenant adds the cost of an admitted request to the virtual time of its tenant.
func (q *fairQueue) chargeTenant(tenant *tenantQueue, cost float64) {
	q.advanceVirtualTime(tenant)
	q.virtualTime = tenant.virtualTime
	tenant.virtualTime += max(cost, minCost) / tenant.share
}
