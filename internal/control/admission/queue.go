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
	expiresAt placer.Seconds // expiresAt is when a first attempt is demoted, or when a demoted request or a retry is shed.
	tenant    *tenantQueue
	removed   bool // removed means that the request has left the queue; slices and heaps that still contain it skip it.
}

// tenantQueue holds the queued requests of one tenant.
type tenantQueue struct {
	share       float64
	virtualTime float64                      // virtualTime is the total admitted cost of the tenant divided by its share.
	byClass     [numClasses][]*priorityQueue // byClass holds the queues of each class, sorted by descending priority.
	queued      [numClasses]int
}

func (t *tenantQueue) totalQueued() int {
	return t.queued[classFirst] + t.queued[classDemoted] + t.queued[classRetry]
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
	t.queued[class]++
}

// remove marks an entry as removed. A later call of trimRemoved deletes the entry from its slice.
func (t *tenantQueue) remove(entry *queuedRequest) {
	class := entry.class()
	entry.removed = true
	t.queued[class]--
	for _, queue := range t.byClass[class] {
		if queue.priority == entry.Priority {
			queue.length--
		}
	}
}

// next returns the request to admit next, or nil if none is queued. Earlier classes come first, and higher
// priorities within a class; selectEntry selects among requests of equal class and priority.
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

// priorityQueue holds the requests of one tenant, class and priority in order of arrival.
type priorityQueue struct {
	priority int
	entries  []*queuedRequest // entries contains removed entries until they reach an end of the slice.
	length   int              // length is the number of entries that are not removed.
}

// compareDescending compares queues such that they are sorted by descending priority.
func compareDescending(queue *priorityQueue, priority int) int { return priority - queue.priority }

// fifoWaitFraction is the fraction of its latency objective that the oldest request may wait before the
// newest request is admitted instead of it.
const fifoWaitFraction = 0.4

// selectEntry returns the oldest request while that request has waited for less than fifoWaitFraction of its
// latency objective, and the newest request otherwise. Under overload, admission in order of arrival would
// make every request start late.
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

// expiryHeap orders the queued requests of all tenants by expiry time. Removed requests are skipped when they
// reach the top. It implements heap.Interface.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface by appending an element.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*queuedRequest)) }

// Pop implements heap.Interface by removing the last element.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// earliest returns the request with the earliest expiry time, or nil if there is none.
func (h *expiryHeap) earliest() *queuedRequest {
	for len(*h) > 0 && (*h)[0].removed {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}
