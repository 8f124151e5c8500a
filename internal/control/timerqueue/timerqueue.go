// Package timerqueue implements a queue of timers, which are functions that run at given times. The timer with
// the earliest time comes first, and timers with equal times keep the order in which they were added.
//
// The package reads no clock: the owner of a queue passes in the time and chooses the type of the time. Package
// platform/dispatch, package kube/engine and the simulated nodes use placer.Seconds, and the event loop of the
// network code uses clock.Instant.
package timerqueue

import (
	"cmp"
	"container/heap"
)

// notQueued is the value of Timer.index for a timer that is not in a queue.
const notQueued = -1

// Queue is a queue of timers whose times have the type Time. The zero value is empty and ready to use. A Queue
// is not safe for concurrent use.
type Queue[Time cmp.Ordered] struct {
	timers       timerHeap[Time]
	lastSequence uint64 // lastSequence is the sequence of the timer that was added last.
}

// Timer is a function together with the time at which the function is to run.
type Timer[Time cmp.Ordered] struct {
	At       Time   // At is the time at which Run is to be called.
	Run      func() // Run is the function of the timer. The owner of the queue calls it.
	sequence uint64 // sequence determines the order of timers with equal times; a timer that is added later has a greater sequence.
	index    int    // index is the position of the timer in the heap, or notQueued.
}

// Pending reports whether the timer is still in its queue. It returns false for a nil timer.
func (t *Timer[Time]) Pending() bool { return t != nil && t.index != notQueued }

// Add adds a timer that runs the given function at the given time, and returns the timer.
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

// Pop removes and returns the earliest timer if its time is not later than now. Otherwise, it returns nil. The
// caller is responsible for calling the function Run of the returned timer.
func (q *Queue[Time]) Pop(now Time) *Timer[Time] {
	if len(q.timers) == 0 || q.timers[0].At > now {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer[Time])
}

// timerHeap implements heap.Interface. It orders timers by time, and timers with equal times by sequence.
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
