package memquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathshed/internal/control/clock"
	"heathshed/internal/testsupport/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "300") }

// TestBudget plays users that allocate what is available, and some that allocate more: what is used never exceeds the total once those over
// quota are removed, none is removed because of one that uses less than half as much, a user without memory may always allocate, and nothing is
// used when all are removed.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := newBudgetPlay(t)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			play.step()
			play.evict()
			play.checkSums()
		}
		for id := range play.used {
			play.budget.Remove(id)
		}
		if play.budget.Used() != 0 {
			t.Fatalf("%d used without users", play.budget.Used())
		}
	})
}

// budgetPlay is a budget with users that allocate at random, and a record of what each of them uses.
type budgetPlay struct {
	*rapid.T
	budget *Budget
	total  int64
	now    clock.Instant
	lastID uint64
	used   map[uint64]int64
}

func newBudgetPlay(t *rapid.T) *budgetPlay {
	total := rapid.Int64Range(MinAllowance, 1<<20).Draw(t, "total")
	return &budgetPlay{T: t, budget: New(total), total: total, used: map[uint64]int64{}}
}

// step adds a user, or has one that was added do something.
func (play *budgetPlay) step() {
	play.now += clock.Instant(rapid.Int64Range(0, int64(time.Second)).Draw(play.T, "dt"))
	if len(play.used) == 0 || rapid.IntRange(0, 3).Draw(play.T, "join") == 0 {
		play.lastID++
		play.budget.Add(play.now, play.lastID)
		play.used[play.lastID] = 0
		return
	}
	id := uint64(rapid.IntRange(1, int(play.lastID)).Draw(play.T, "who"))
	held, ok := play.used[id]
	if !ok {
		if play.budget.Available(id) != 0 {
			play.Fatal("memory available to a user that was removed")
		}
		return
	}
	switch rapid.IntRange(0, 3).Draw(play.T, "what") {
	case 0:
		play.allocateAvailable(id, held)
	case 1: // it allocates more
		play.setUsed(id, held+rapid.Int64Range(0, play.total).Draw(play.T, "bytes"))
	case 2: // half of it is read
		play.setUsed(id, held/2)
	case 3:
		play.remove(id)
	}
}

func (play *budgetPlay) allocateAvailable(id uint64, held int64) {
	available := play.budget.Available(id)
	if held == 0 && available < min(MinAllowance, play.total) {
		play.Fatalf("only %d bytes available to a user that holds nothing", available)
	}
	before := play.budget.Used()
	play.setUsed(id, held+available)
	if held > 0 && before <= play.total && play.budget.Used() > play.total {
		play.Fatalf("granted %d of %d", play.budget.Used(), play.total)
	}
}

func (play *budgetPlay) setUsed(id uint64, bytes int64) {
	play.used[id] = bytes
	play.budget.SetUsed(play.now, id, bytes)
}

func (play *budgetPlay) remove(id uint64) {
	play.budget.Remove(id)
	delete(play.used, id)
}

// evict removes the users over quota, none of which may use less than half as much as another.
func (play *budgetPlay) evict() {
	for id, over := play.budget.OverQuota(); over; id, over = play.budget.OverQuota() {
		for other, held := range play.used {
			if held > 2*play.used[id]+1 {
				play.Fatalf("user %d is evicted with %d bytes while user %d holds %d", id, play.used[id], other, held)
			}
		}
		play.remove(id)
	}
}

func (play *budgetPlay) checkSums() {
	sum := int64(0)
	for _, held := range play.used {
		sum += held
	}
	if sum != play.budget.Used() || sum > play.total || len(play.used) != play.budget.Users() {
		play.Fatalf("%d used, budget says %d of %d", sum, play.budget.Used(), play.total)
	}
}

// TestLargeUsersShare checks that however many users allocate all that is available, none has to be evicted.
func TestLargeUsersShare(t *testing.T) {
	const users = uint64(4000)
	budget := New(128 << 20)
	for id := range users {
		budget.Add(0, id)
	}
	for range 50 {
		for id := range users {
			if budget.Available(id) >= MinAllowance {
				budget.SetUsed(1, id, budget.users[id].used+MinAllowance)
			}
		}
	}
	if _, over := budget.OverQuota(); over || budget.Used() < 100<<20 {
		t.Errorf("%d used of %d, over %v", budget.Used(), budget.Total(), over)
	}
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(MinMemory, 1<<50).Draw(t, "memory")
		shares := Divide(memory)
		isPositive := shares.Connections > 0 && shares.History > 0 && shares.Objects > 0
		if sum := shares.Connections + shares.History + shares.Objects; !isPositive || sum > memory {
			t.Fatalf("%+v of %d", shares, memory)
		}
	})
}
