// Package budget divides memory: among the parts of the program, and among the connections of one part, none of which is trusted to ask
// for little. It decides how much more each may take on, and who is cut off when it was too much all the same.
//
// It is pure and imports nothing of the project: time is passed in, there is no randomness.
//
// A user that takes of its own accord, such as a watch that is told of changes, may hold as much as is still free, and no more (the dynamic
// threshold of Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998). However many do so,
// something stays free for the next: n of them hold a part of 1/(n+1) each. What cannot be taken in parts, such as the body of a request, is
// taken and told; then the largest holder, and of holders of about the same size the one that has stood still the longest, is cut off
// until the rest fits. So a user is never cut off because of one smaller than half of it.
package memquota

import "math"

// Shares is how memory is divided, in bytes.
type Shares struct {
	Connections int64 // what connections hold: requests, bodies, answers and watches that were not read
	History     int64 // changes kept for watches
	Objects     int64 // jobs, tasks and machines, with their encodings
}

// MinMemory is the smallest memory that can be divided.
const MinMemory = 64 << 20

// Divide splits memory into shares whose sum never exceeds it.
func Divide(memory int64) Shares {
	memory = max(memory, MinMemory)
	s := Shares{Connections: memory / 16, History: memory / 8}
	s.Objects = memory - s.Connections - s.History - memory/4 // a quarter is left to what has no share of its own
	return s
}

// Budget is memory shared by connections. The zero value is not usable; see New.
type Budget struct {
	total, used int64
	users       map[uint64]*user

	// Evicted counts users that were cut off.
	Evicted uint64
}

type user struct {
	used         int64
	lastShrunkAt float64 // when it last held less than before, or joined
}

// MinAllowance is what a user that holds nothing may always take, so that one small event or answer never waits for others.
const MinAllowance = 4 << 10

// New makes a budget of so many bytes.
func New(total int64) *Budget {
	return &Budget{total: max(total, MinAllowance), users: map[uint64]*user{}}
}

// Used is what all users hold, Total what they may; Users is how many there are.
func (b *Budget) Used() int64 { return b.used }

// Total is what all users together may hold.
func (b *Budget) Total() int64 { return b.total }

// Users is the number of users.
func (b *Budget) Users() int { return len(b.users) }

// Add adds a user that holds nothing.
func (b *Budget) Add(now float64, id uint64) { b.users[id] = &user{lastShrunkAt: now} }

// Remove takes a user away with all that it holds.
func (b *Budget) Remove(id uint64) {
	if holder := b.users[id]; holder != nil {
		b.used -= holder.used
		delete(b.users, id)
	}
}

// Available is how many more bytes a user may take on of its own accord.
func (b *Budget) Available(id uint64) int64 {
	holder := b.users[id]
	if holder == nil {
		return 0
	}
	available := b.total - b.used - holder.used
	if holder.used == 0 {
		available = max(available, min(MinAllowance, b.total))
	}
	return max(available, 0)
}

// SetUsed tells what a user holds now.
func (b *Budget) SetUsed(now float64, id uint64, used int64) {
	holder := b.users[id]
	if holder == nil {
		return
	}
	if used < holder.used {
		holder.lastShrunkAt = now
	}
	b.used += used - holder.used
	holder.used = used
}

// OverQuota returns a user that must be cut off because more is held than there is, and false if all fits. The caller has it leave and asks
// again.
func (b *Budget) OverQuota() (id uint64, over bool) {
	if b.used <= b.total {
		return 0, false
	}
	var largest int64
	for _, holder := range b.users {
		largest = max(largest, holder.used)
	}
	oldest := math.Inf(1)
	for candidate, holder := range b.users {
		if holder.used > largest/2 && (holder.lastShrunkAt < oldest || holder.lastShrunkAt == oldest && candidate < id) {
			id, oldest, over = candidate, holder.lastShrunkAt, true
		}
	}
	if over {
		b.Evicted++
	}
	return id, over
}
