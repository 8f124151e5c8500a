// Package timers is a queue of functions to run at given times: the earliest first, those of equal time in the order in which they were
// added. It is pure: whoever holds the queue knows the time.
package timerqueue

import (
	"container/heap"
	"math"
)

// Queue is a set of timers. The zero value is empty and ready to use.
type Queue struct {
	h   timerHeap
	seq uint64
}

// Timer is one function in a queue.
type Timer struct {
	At    float64
	Run   func()
	seq   uint64
	index int
}

// Pending says whether the timer still stands in its queue. It may be asked of nil.
func (t *Timer) Pending() bool { return t != nil && t.index >= 0 }

// Add puts a function in.
func (q *Queue) Add(at float64, run func()) *Timer {
	q.seq++
	t := &Timer{At: at, Run: run, seq: q.seq}
	heap.Push(&q.h, t)
	return t
}

// Stop takes a timer out; nil or one that has run does nothing.
func (q *Queue) Stop(t *Timer) {
	if t.Pending() {
		heap.Remove(&q.h, t.index)
	}
}

// Len is the number of timers.
func (q *Queue) Len() int { return len(q.h) }

// Next is the earliest time, infinity if there is none.
func (q *Queue) Next() float64 {
	if len(q.h) == 0 {
		return math.Inf(1)
	}
	return q.h[0].At
}

// Pop takes out the earliest timer that is due, nil if none is.
func (q *Queue) Pop(now float64) *Timer {
	if len(q.h) == 0 || q.h[0].At > now {
		return nil
	}
	return heap.Pop(&q.h).(*Timer)
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
