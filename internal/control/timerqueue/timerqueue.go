// Package timerqueue is a queue of functions to be run at given times: the earliest first, those of equal time in the order in which they were
// added. It is pure: its owner passes the time in, and chooses the type of the clock. The cores keep their timers in placer.Seconds, the event
// loop in clock.Instant.
package timerqueue

import (
	"cmp"
	"container/heap"
)

// notQueued is the index of a timer that is in no queue.
const notQueued = -1

// Queue is a set of timers on a clock whose readings are of type Time. The zero value is empty and ready to use. It is to be used by one
// goroutine at a time.
type Queue[Time cmp.Ordered] struct {
	timers       timerHeap[Time]
	lastSequence uint64
}

// Timer is one function in a queue.
type Timer[Time cmp.Ordered] struct {
	At       Time
	Run      func()
	sequence uint64 // orders timers of equal time
	index    int    // in the heap, or notQueued
}

// Pending reports whether the timer is still in its queue. A nil timer is not.
func (t *Timer[Time]) Pending() bool { return t != nil && t.index != notQueued }

// Add adds a function to be run at the given clock time.
func (q *Queue[Time]) Add(at Time, run func()) *Timer[Time] {
	q.lastSequence++
	timer := &Timer[Time]{At: at, Run: run, sequence: q.lastSequence}
	heap.Push(&q.timers, timer)
	return timer
}

// Stop removes a timer. It does nothing if the timer is nil or no longer in the queue.
func (q *Queue[Time]) Stop(timer *Timer[Time]) {
	if timer.Pending() {
		heap.Remove(&q.timers, timer.index)
	}
}

// Len returns the number of timers.
func (q *Queue[Time]) Len() int { return len(q.timers) }

// NextTimeOr returns the earliest time of a timer, or the given one if there is no timer.
func (q *Queue[Time]) NextTimeOr(fallback Time) Time {
	if len(q.timers) == 0 {
		return fallback
	}
	return q.timers[0].At
}

// Pop removes and returns the earliest timer that is due, or nil. The caller runs it.
func (q *Queue[Time]) Pop(now Time) *Timer[Time] {
	if len(q.timers) == 0 || q.timers[0].At > now {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer[Time])
}

// timerHeap implements heap.Interface.
type timerHeap[Time cmp.Ordered] []*Timer[Time]

func (h timerHeap[Time]) Len() int { return len(h) }

func (h timerHeap[Time]) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap[Time]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap[Time]) Push(element any) {
	timer := element.(*Timer[Time])
	timer.index = len(*h)
	*h = append(*h, timer)
}

func (h *timerHeap[Time]) Pop() any {
	old := *h
	last := len(old) - 1
	timer := old[last]
	old[last] = nil
	*h = old[:last]
	timer.index = notQueued
	return timer
}
