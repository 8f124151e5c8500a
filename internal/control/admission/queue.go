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
	expiresAt placer.Seconds // expiresAt is the time at which a first attempt is demoted, or a demoted request or a retry is shed.
	tenant    *tenantQueue
	removed   bool // removed means that the request has left the queue; code that finds it in a slice or the heap skips it.
}

// tenantQueue holds the queued requests of one tenant.
type tenantQueue struct {
	share         float64
	virtualTime   float64                      // virtualTime is the tenant's total admitted cost divided by its share; advanceVirtualTime can raise it.
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

// remove marks a queued request as removed. A later call of trimRemoved deletes it from its slice.
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

// next returns the request of the tenant that is admitted next, or nil if the tenant has no queued request.
// Earlier request classes come first. Within a class, higher priorities come first. The method selectEntry
// selects among requests of equal class and priority.
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
	entries  []*queuedRequest // entries also contains removed requests until they reach an end of the slice.
	length   int              // length is the number of requests in entries that are not removed.
}

// compareDescending compares a queue with a priority for a binary search in queues that are sorted by
// descending priority.
func compareDescending(queue *priorityQueue, priority int) int { return priority - queue.priority }

// fifoWaitFraction is the fraction of its latency objective that the oldest request may wait before the
// newest request is admitted instead of it.
const fifoWaitFraction = 0.4

// selectEntry returns the oldest request if that request has waited for less than fifoWaitFraction of its
// latency objective, and the newest request otherwise. Under overload, admission in order of arrival would
// make every task start late.
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

// trimRemoved deletes removed entries from both ends of the slice.
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
