// Package timerqueue holds functions that are to be run at given times. The function with the earliest time
// comes first, and functions with equal times keep the order in which they were added.
//
// The package reads no clock: the owner of a queue passes in the time and chooses its type. Package dispatch,
// package engine and the simulated nodes use placer.Seconds, and the event loop of the network code uses
// clock.Instant.
package timerqueue

import (
	"cmp"
	"container/heap"
)

// notQueued is the heap index of a timer that is not in a queue.
const notQueued = -1

// Queue is a set of timers on a clock whose readings have type Time. The zero value is empty and ready to
// use. A Queue is not safe for concurrent use.
type Queue[Time cmp.Ordered] struct {
	timers       timerHeap[Time]
	lastSequence uint64
}

// Timer is a function that a Queue holds until its time.
type Timer[Time cmp.Ordered] struct {
	At       Time
	Run      func()
	sequence uint64 // sequence orders timers of equal time.
	index    int    // index is the position of the timer in the heap, or notQueued.
}

// Pending reports whether the timer is still in its queue. It returns false for a nil timer.
func (t *Timer[Time]) Pending() bool { return t != nil && t.index != notQueued }

// Add schedules a function for the given clock time and returns its timer.
func (q *Queue[Time]) Add(at Time, run func()) *Timer[Time] {
	q.lastSequence++
	timer := &Timer[Time]{At: at, Run: run, sequence: q.lastSequence}
	heap.Push(&q.timers, timer)
	return timer
}

// Stop removes a timer from the queue. It does nothing if the timer is nil or no longer in the queue.
func (q *Queue[Time]) Stop(timer *Timer[Time]) {
	if timer.Pending() {
		heap.Remove(&q.timers, timer.index)
	}
}

// Len returns the number of timers in the queue.
func (q *Queue[Time]) Len() int { return len(q.timers) }

// NextTimeOr returns the time of the earliest timer, or fallback if the queue is empty.
func (q *Queue[Time]) NextTimeOr(fallback Time) Time {
	if len(q.timers) == 0 {
		return fallback
	}
	return q.timers[0].At
}

// Pop removes the earliest timer if it is due at the given time and returns it, or returns nil otherwise. The
// caller runs the function of the timer.
func (q *Queue[Time]) Pop(now Time) *Timer[Time] {
	if len(q.timers) == 0 || q.timers[0].At > now {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer[Time])
}

// timerHeap orders timers by time and then by sequence number. It implements heap.Interface.
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
