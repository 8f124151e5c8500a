// Package timerqueue is a queue of functions to be run at given times: the earliest first, those of equal time in the order in which they were
// added. It is pure: whoever holds the queue knows the time.
package timerqueue

import (
	"container/heap"
	"math"
)

// notQueued is the index of a timer that is in no queue.
const notQueued = -1

// Queue is a set of timers. The zero value is empty and ready to use. It is to be used by one goroutine at a time.
type Queue struct {
	timers       timerHeap
	lastSequence uint64
}

// Timer is one function in a queue.
type Timer struct {
	At       float64 // clock time in seconds
	Run      func()
	sequence uint64 // orders timers of equal time
	index    int    // in the heap, or notQueued
}

// Pending reports whether the timer is still in its queue. A nil timer is not.
func (t *Timer) Pending() bool { return t != nil && t.index != notQueued }

// Add adds a function to be run at the given clock time.
func (q *Queue) Add(at float64, run func()) *Timer {
	q.lastSequence++
	timer := &Timer{At: at, Run: run, sequence: q.lastSequence}
	heap.Push(&q.timers, timer)
	return timer
}

// Stop removes a timer. It does nothing if the timer is nil or no longer in the queue.
func (q *Queue) Stop(timer *Timer) {
	if timer.Pending() {
		heap.Remove(&q.timers, timer.index)
	}
}

// Len returns the number of timers.
func (q *Queue) Len() int { return len(q.timers) }

// Next returns the earliest time of a timer, infinity if there is none.
func (q *Queue) Next() float64 {
	if len(q.timers) == 0 {
		return math.Inf(1)
	}
	return q.timers[0].At
}

// Pop removes and returns the earliest timer that is due, nil if none is. The caller runs it.
func (q *Queue) Pop(now float64) *Timer {
	if len(q.timers) == 0 || q.timers[0].At > now {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer)
}

// timerHeap implements heap.Interface.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(element any) {
	timer := element.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	timer := old[last]
	old[last] = nil
	*h = old[:last]
	timer.index = notQueued
	return timer
}
