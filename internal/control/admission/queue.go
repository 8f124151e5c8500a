package admission

import (
	"container/heap"
	"slices"

	"heathshed/placer"
)

// queuedRequest is a request that waits for admission.
type queuedRequest struct {
	Request
	arrivedAt placer.Seconds
	expiresAt placer.Seconds // expiresAt is when a request of classFirst is moved to classDemoted, and when any other request is shed.
	tenant    *tenantQueue
	removed   bool // removed means that the request has left the queue; a slice or the heap can still contain it, but it is skipped there.
}

// tenantQueue holds the queued requests of one tenant.
type tenantQueue struct {
	share         float64
	virtualTime   float64                      // virtualTime is the total cost of the tenant's admitted requests divided by share; advanceVirtualTime can raise it.
	byClass       [numClasses][]*priorityQueue // byClass holds the queues of each request class, sorted by descending priority.
	queuedByClass [numClasses]int
}

func (t *tenantQueue) totalQueued() int {
	return t.queuedByClass[classFirst] + t.queuedByClass[classDemoted] + t.queuedByClass[classRetry]
}

func (t *tenantQueue) enqueue(entry *queuedRequest) {
	class := entry.class()
	queues := &t.byClass[class]
	i, found := slices.BinarySearchFunc(*queues, entry.Priority, compareDescending)
	if !found {
		*queues = slices.Insert(*queues, i, &priorityQueue{priority: entry.Priority})
	}
	queue := (*queues)[i]
	queue.entries = append(queue.entries, entry)
	queue.length++
	t.queuedByClass[class]++
}

// remove marks a queued request as removed. A later call of trimRemoved deletes the request from
// priorityQueue.entries.
func (t *tenantQueue) remove(entry *queuedRequest) {
	class := entry.class()
	entry.removed = true
	t.queuedByClass[class]--
	for _, queue := range t.byClass[class] {
		if queue.priority == entry.Priority {
			queue.length--
		}
	}
}

// next returns the tenant's queued request that is to be admitted before the tenant's other queued requests. It
// returns nil if the tenant has no queued request. Earlier request classes come first, and higher priorities
// come first within a request class. The method selectEntry selects among requests of equal class and priority.
func (t *tenantQueue) next(now placer.Seconds) *queuedRequest {
	for _, queues := range t.byClass {
		for _, queue := range queues {
			if entry := queue.selectEntry(now); entry != nil {
				return entry
			}
		}
	}
	return nil
}

// priorityQueue holds the queued requests of one tenant that have the same request class and priority, in
// order of arrival.
type priorityQueue struct {
	priority int
	entries  []*queuedRequest // entries also contains removed requests, until trimRemoved deletes them.
	length   int              // length is the number of requests in entries that are not removed.
}

// compareDescending compares the priority of a queue with the given priority. The method enqueue uses it for a
// binary search in queues that are sorted by descending priority.
func compareDescending(queue *priorityQueue, priority int) int { return priority - queue.priority }

// fifoWaitFraction is a fraction of the latency objective. In a priorityQueue, the oldest request is
// admitted first if it has waited for less than this fraction of its latency objective. Otherwise, the newest
// request is admitted first.
const fifoWaitFraction = 0.4

// selectEntry returns the oldest request in the queue if that request has waited for less than
// fifoWaitFraction of its latency objective. Otherwise it returns the newest request, because admission in
// order of arrival would make every task start late under overload. It returns nil if the queue is empty.
func (q *priorityQueue) selectEntry(now placer.Seconds) *queuedRequest {
	q.trimRemoved()
	if q.length == 0 {
		return nil
	}
	oldest := q.entries[0]
	if now-oldest.arrivedAt < oldest.LatencyObjective*fifoWaitFraction {
		return oldest
	}
	return q.entries[len(q.entries)-1]
}

// trimRemoved deletes the removed requests at both ends of the slice q.entries.
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

// expiryHeap implements heap.Interface and orders the queued requests of all tenants by expiry time. A removed
// request stays in the heap until it reaches the top.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a *queuedRequest, as heap.Interface requires.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*queuedRequest)) }

// Pop removes and returns the last element, as heap.Interface requires.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// earliest returns the queued request with the earliest expiry time, or nil if no request is queued.
func (h *expiryHeap) earliest() *queuedRequest {
	for len(*h) > 0 && (*h)[0].removed {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}
