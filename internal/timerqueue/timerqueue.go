// Package timers is a queue of functions to run at given times: the earliest first, those of equal time in the order in which they were
// added. It is pure: whoever holds the queue knows the time.
package timerqueue

import (
	"container/heap"
	"math"
)

// Queue is a set of timers. The zero value is empty and ready to use.
type Queue struct {
	timers       timerHeap
	lastSequence uint64
}

// Timer is one function in a queue.
type Timer struct {
	At       float64
	Run      func()
	sequence uint64
	index    int
}

// Pending says whether the timer still stands in its queue. It may be asked of nil.
func (t *Timer) Pending() bool { return t != nil && t.index >= 0 }

// Add puts a function in.
func (q *Queue) Add(at float64, run func()) *Timer {
	q.lastSequence++
	timer := &Timer{At: at, Run: run, sequence: q.lastSequence}
	heap.Push(&q.timers, timer)
	return timer
}

// Stop takes a timer out; nil or one that has run does nothing.
func (q *Queue) Stop(timer *Timer) {
	if timer.Pending() {
		heap.Remove(&q.timers, timer.index)
	}
}

// Len is the number of timers.
func (q *Queue) Len() int { return len(q.timers) }

// Next is the earliest time, infinity if there is none.
func (q *Queue) Next() float64 {
	if len(q.timers) == 0 {
		return math.Inf(1)
	}
	return q.timers[0].At
}

// Pop takes out the earliest timer that is due, nil if none is.
func (q *Queue) Pop(now float64) *Timer {
	if len(q.timers) == 0 || q.timers[0].At > now {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer)
}

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
	timer := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	timer.index = -1
	return timer
}
