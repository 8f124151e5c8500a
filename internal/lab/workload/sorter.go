package workload

import (
	"container/heap"
	"fmt"
	"math"

	"heathshed/placer"
)

// Sorter puts entries in order of time within a window. It owns the entries that it has not yet emitted. It is not safe for concurrent use.
//
// Entries of equal time keep the order in which they were added. Entries of the same second whose times have no fractions are spread evenly over
// that second.
type Sorter struct {
	Window      placer.Seconds
	pending     entryHeap
	added       int64
	newest      placer.Seconds
	emittedUpTo placer.Seconds // entries before this time are too late
	group       []Entry        // reused between calls of emit
}

// Add adds an entry, and appends to out the entries that are older than the window and so can no longer be preceded by another one. For an entry
// older than the window it returns an error of kind OutOfOrder instead of moving the entry to another time.
func (s *Sorter) Add(entry Entry, out []Entry) ([]Entry, *EntryError) {
	if s.added > 0 && entry.At < s.emittedUpTo {
		reason := fmt.Sprintf("%.3f s older than what was given out, the window is %v s", s.emittedUpTo-entry.At, s.Window)
		return out, &EntryError{Kind: OutOfOrder, File: entry.File, Line: entry.Line, Text: excerpt(entry.Method + " " + entry.Path), Reason: reason}
	}
	s.added++
	entry.order = s.added
	s.newest = max(s.newest, entry.At)
	heap.Push(&s.pending, entry)
	return s.emit(out, s.newest-s.Window), nil
}

// Flush appends all remaining entries to out.
func (s *Sorter) Flush(out []Entry) []Entry { return s.emit(out, placer.Seconds(math.Inf(1))) }

// emit appends the groups of equal time before the limit to out.
func (s *Sorter) emit(out []Entry, before placer.Seconds) []Entry {
	for len(s.pending) > 0 && s.pending[0].At < before {
		at := s.pending[0].At
		wholeSeconds := s.popGroup(at)
		s.emittedUpTo = placer.Seconds(math.Nextafter(float64(at), math.Inf(1)))
		if !wholeSeconds || len(s.group) == 1 {
			out = append(out, s.group...)
			continue
		}
		// The spread entries return to the heap at their new times, since others may lie between them.
		for i, entry := range s.group {
			entry.WholeSeconds = false
			entry.At = at + placer.Seconds(float64(i)/float64(len(s.group)))
			if i == 0 {
				out = append(out, entry)
			} else {
				heap.Push(&s.pending, entry)
			}
		}
	}
	return out
}

// popGroup moves the pending entries of a time to s.group and reports whether all of them have whole seconds only.
func (s *Sorter) popGroup(at placer.Seconds) (wholeSeconds bool) {
	s.group = s.group[:0]
	wholeSeconds = true
	for len(s.pending) > 0 && s.pending[0].At == at {
		entry := heap.Pop(&s.pending).(Entry)
		wholeSeconds = wholeSeconds && entry.WholeSeconds
		s.group = append(s.group, entry)
	}
	return wholeSeconds
}

// entryHeap is a container/heap of entries by time, then by arrival.
type entryHeap []Entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].order < h[j].order
}

func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *entryHeap) Push(x any) { *h = append(*h, x.(Entry)) }

func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
