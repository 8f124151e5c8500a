package admission

import (
	"container/heap"
	"math"
)

// minCost is the smallest cost that a request is charged, so that requests without a cost are also divided by
// shares.
const minCost = 0.01

// fairQueue holds all queued requests and divides admissions among tenants in proportion to their shares. It
// implements weighted fair queueing, in which the virtual time of a tenant is its admitted cost divided by
// its share.
type fairQueue struct {
	byID        map[uint64]*queuedRequest
	expiry      expiryHeap
	tenants     []*tenantQueue
	virtualTime float64 // virtualTime is the virtual time of the last admitted tenant before the tenant was charged.
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

// tenantByNumber returns the queue of the tenant with the given number. An unknown number counts as tenant 0.
func (q *fairQueue) tenantByNumber(number int) *tenantQueue {
	if number < 0 || number >= len(q.tenants) {
		number = 0
	}
	return q.tenants[number]
}

// enqueue adds an entry to the queue of its tenant.
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
// These are the requests of the same class and of earlier classes.
func (q *fairQueue) queuedAhead(arriving requestClass) int {
	ahead := 0
	for _, tenant := range q.tenants {
		for class := range arriving + 1 {
			ahead += tenant.queued[class]
		}
	}
	return ahead
}

// nextTenant returns the tenant from which the next request is admitted, or nil if there is none. It selects
// the tenant with the lowest virtual time among those with requests that may be admitted, so that the unused
// share of one tenant is divided among the others.
func (q *fairQueue) nextTenant(retriesAllowed bool) *tenantQueue {
	var selected *tenantQueue
	for _, candidate := range q.tenants {
		firstAttempts := candidate.queued[classFirst] + candidate.queued[classDemoted]
		if firstAttempts == 0 && (candidate.queued[classRetry] == 0 || !retriesAllowed) {
			continue
		}
		if selected == nil || candidate.virtualTime < selected.virtualTime {
			selected = candidate
		}
	}
	return selected
}

// advanceVirtualTime advances a tenant to the current virtual time, so that an idle tenant does not
// accumulate unused shares.
func (q *fairQueue) advanceVirtualTime(tenant *tenantQueue) {
	tenant.virtualTime = max(tenant.virtualTime, q.virtualTime)
}

// chargeTenant adds the cost of an admitted request to the virtual time of its tenant.
func (q *fairQueue) chargeTenant(tenant *tenantQueue, cost float64) {
	q.advanceVirtualTime(tenant)
	q.virtualTime = tenant.virtualTime
	tenant.virtualTime += max(cost, minCost) / tenant.share
}
