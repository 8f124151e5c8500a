package memquota

import "heathshed/internal/control/clock"

// MinAllowance is the number of bytes that a user without memory may always allocate, so that one small event
// or response never waits for other users.
const MinAllowance = 4 << 10

// Budget is an amount of memory, in bytes, that several users share. The zero value is not usable; New
// creates a Budget.
type Budget struct {
	total, used int64
	users       map[uint64]*userState

	// EvictedConnections is the number of users that ConnectionToEvict has returned.
	EvictedConnections uint64
}

type userState struct {
	used         int64
	lastShrunkAt clock.Instant // lastShrunkAt is when the user's memory last decreased, or when the user was added.
}

// New returns a budget with the given number of bytes and without users. A value below MinAllowance counts as
// MinAllowance.
func New(total int64) *Budget {
	return &Budget{total: max(total, MinAllowance), users: map[uint64]*userState{}}
}

// Used returns the number of bytes that all users together use.
func (b *Budget) Used() int64 { return b.used }

// Total returns the number of bytes that all users together may use.
func (b *Budget) Total() int64 { return b.total }

// Connections returns the number of users.
func (b *Budget) Connections() int { return len(b.users) }

// Add adds a user that uses no memory yet. The id must not be in use.
func (b *Budget) Add(now clock.Instant, id uint64) { b.users[id] = &userState{lastShrunkAt: now} }

// Remove removes a user and frees its memory. It ignores an unknown user.
func (b *Budget) Remove(id uint64) {
	if user := b.users[id]; user != nil {
		b.used -= user.used
		delete(b.users, id)
	}
}

// Available returns how many more bytes a user may allocate, if it can defer the allocation. It returns 0 for
// an unknown user.
func (b *Budget) Available(id uint64) int64 {
	user := b.users[id]
	if user == nil {
		return 0
	}
	available := b.total - b.used - user.used
	if user.used == 0 {
		available = max(available, min(MinAllowance, b.total))
	}
	return max(available, 0)
}

// SetUsed records how many bytes a user currently uses. It ignores an unknown user.
func (b *Budget) SetUsed(now clock.Instant, id uint64, used int64) {
	user := b.users[id]
	if user == nil {
		return
	}
	if used < user.used {
		user.lastShrunkAt = now
	}
	b.used += used - user.used
	user.used = used
}

// ConnectionToEvict selects a user to evict if more memory is used than the total, and returns false otherwise. The
// caller removes the selected user and calls ConnectionToEvict again.
func (b *Budget) ConnectionToEvict() (id uint64, over bool) {
	if b.used <= b.total {
		return 0, false
	}
	largest := b.largestUsage()
	var oldest clock.Instant
	for candidate, user := range b.users {
		if user.used <= largest/2 {
			continue
		}
		// Among users whose memory last decreased at the same time, the one with the lowest id is selected,
		// so that the selection does not depend on the iteration order of the map.
		shrankEarlier := user.lastShrunkAt < oldest || user.lastShrunkAt == oldest && candidate < id
		if !over || shrankEarlier {
			id = candidate
			oldest = user.lastShrunkAt
			over = true
		}
	}
	if over {
		b.EvictedConnections++
	}
	return id, over
}

func (b *Budget) largestUsage() int64 {
	var largest int64
	for _, user := range b.users {
		largest = max(largest, user.used)
	}
	return largest
}
