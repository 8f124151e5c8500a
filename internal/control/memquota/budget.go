package memquota

import "heathshed/internal/control/clock"

// MinAllowance is the number of bytes that may always be allocated for a connection that uses no memory yet.
// One small event or response is therefore sent without waiting until other connections free memory.
const MinAllowance = 4 << 10

// Budget is an amount of memory, in bytes, that several connections share. The zero value is not usable; New
// creates a Budget.
type Budget struct {
	total, used int64
	connections map[uint64]*connectionState

	// EvictedConnections is the number of connections that ConnectionToEvict has selected so far.
	EvictedConnections uint64
}

type connectionState struct {
	used         int64
	lastShrunkAt clock.Instant // lastShrunkAt is when the memory of the connection last decreased, or when the connection was added if it never did.
}

// New returns a budget with the given number of bytes and without connections. A number below MinAllowance
// counts as MinAllowance.
func New(total int64) *Budget {
	return &Budget{total: max(total, MinAllowance), connections: map[uint64]*connectionState{}}
}

// Used returns the number of bytes that all connections together use.
func (b *Budget) Used() int64 { return b.used }

// Total returns the number of bytes that all connections together may use.
func (b *Budget) Total() int64 { return b.total }

// Connections returns the number of connections that share the budget.
func (b *Budget) Connections() int { return len(b.connections) }

// Add adds a connection that uses no memory yet. No other connection of the budget may have the same id.
func (b *Budget) Add(now clock.Instant, id uint64) {
	b.connections[id] = &connectionState{lastShrunkAt: now}
}

// Remove removes a connection and returns its memory to the budget. It ignores an unknown id.
func (b *Budget) Remove(id uint64) {
	if connection := b.connections[id]; connection != nil {
		b.used -= connection.used
		delete(b.connections, id)
	}
}

// Available returns how many more bytes may be allocated for a connection if the allocation can be deferred. It
// returns 0 for an unknown id.
func (b *Budget) Available(id uint64) int64 {
	connection := b.connections[id]
	if connection == nil {
		return 0
	}
	available := b.total - b.used - connection.used
	if connection.used == 0 {
		available = max(available, min(MinAllowance, b.total))
	}
	return max(available, 0)
}

// SetUsed records how many bytes a connection currently uses. It ignores an unknown id.
func (b *Budget) SetUsed(now clock.Instant, id uint64, used int64) {
	connection := b.connections[id]
	if connection == nil {
		return
	}
	if used < connection.used {
		connection.lastShrunkAt = now
	}
	b.used += used - connection.used
	connection.used = used
}

// ConnectionToEvict selects a connection to evict if all connections together use more memory than the budget
// allows. Otherwise overLimit is false. The caller removes the selected connection and then calls
// ConnectionToEvict again.
func (b *Budget) ConnectionToEvict() (id uint64, overLimit bool) {
	if b.used <= b.total {
		return 0, false
	}
	largest := b.largestUse()
	var earliestShrink clock.Instant
	for candidateID, connection := range b.connections {
		if connection.used <= largest/2 {
			continue
		}
		// If the memory of several connections last decreased at the same time, the connection with the lowest
		// id is selected. The selection therefore does not depend on the iteration order of the map.
		shrankEarlier := connection.lastShrunkAt < earliestShrink || connection.lastShrunkAt == earliestShrink && candidateID < id
		if !overLimit || shrankEarlier {
			id = candidateID
			earliestShrink = connection.lastShrunkAt
			overLimit = true
		}
	}
	if overLimit {
		b.EvictedConnections++
	}
	return id, overLimit
}

func (b *Budget) largestUse() int64 {
	var largest int64
	for _, connection := range b.connections {
		largest = max(largest, connection.used)
	}
	return largest
}
