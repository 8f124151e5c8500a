package memquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathshed/internal/control/clock"
	"heathshed/internal/testsupport/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "300") }

// TestBudget simulates users that allocate the memory available to them and users that allocate more. It
// checks four properties: the memory of all users fits into the total once the selected users are evicted, no
// user is evicted while another user has more than twice its memory, a user without memory can always
// allocate, and no memory counts as used after all users are removed.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newBudgetModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			model.step()
			model.evict()
			model.checkSums()
		}
		for id := range model.used {
			model.budget.Remove(id)
		}
		if model.budget.Used() != 0 {
			t.Fatalf("%d bytes count as used although there are no users", model.budget.Used())
		}
	})
}

// budgetModel is a budget with users that allocate at random, together with a record of the memory of each
// user.
type budgetModel struct {
	*rapid.T
	budget *Budget
	total  int64
	now    clock.Instant
	lastID uint64
	used   map[uint64]int64
}

func newBudgetModel(t *rapid.T) *budgetModel {
	total := rapid.Int64Range(MinAllowance, 1<<20).Draw(t, "total")
	return &budgetModel{T: t, budget: New(total), total: total, used: map[uint64]int64{}}
}

// step adds a user, or lets an existing user change its memory or leave.
func (model *budgetModel) step() {
	model.now += clock.Instant(rapid.Int64Range(0, int64(time.Second)).Draw(model.T, "elapsed"))
	if len(model.used) == 0 || rapid.IntRange(0, 3).Draw(model.T, "add user") == 0 {
		model.lastID++
		model.budget.Add(model.now, model.lastID)
		model.used[model.lastID] = 0
		return
	}
	id := uint64(rapid.IntRange(1, int(model.lastID)).Draw(model.T, "user"))
	used, ok := model.used[id]
	if !ok {
		if model.budget.Available(id) != 0 {
			model.Fatal("memory is available to a user that was removed")
		}
		return
	}
	switch rapid.IntRange(0, 3).Draw(model.T, "operation") {
	case 0:
		model.allocateAvailable(id, used)
	case 1: // The user allocates more than is available.
		model.setUsed(id, used+rapid.Int64Range(0, model.total).Draw(model.T, "bytes"))
	case 2: // Half of the user's memory is freed.
		model.setUsed(id, used/2)
	case 3:
		model.remove(id)
	}
}

func (model *budgetModel) allocateAvailable(id uint64, used int64) {
	available := model.budget.Available(id)
	if used == 0 && available < min(MinAllowance, model.total) {
		model.Fatalf("only %d bytes are available to a user without memory", available)
	}
	before := model.budget.Used()
	model.setUsed(id, used+available)
	if used > 0 && before <= model.total && model.budget.Used() > model.total {
		model.Fatalf("users with deferrable allocations use %d bytes of a total of %d", model.budget.Used(), model.total)
	}
}

func (model *budgetModel) setUsed(id uint64, bytes int64) {
	model.used[id] = bytes
	model.budget.SetUsed(model.now, id, bytes)
}

func (model *budgetModel) remove(id uint64) {
	model.budget.Remove(id)
	delete(model.used, id)
}

// evict removes the users that the budget selects. It checks that no other user has more than twice the
// memory of a selected user.
func (model *budgetModel) evict() {
	for id, over := model.budget.ConnectionToEvict(); over; id, over = model.budget.ConnectionToEvict() {
		for other, used := range model.used {
			if used > 2*model.used[id]+1 {
				model.Fatalf("user %d is evicted with %d bytes while user %d uses %d bytes", id, model.used[id], other, used)
			}
		}
		model.remove(id)
	}
}

func (model *budgetModel) checkSums() {
	sum := int64(0)
	for _, used := range model.used {
		sum += used
	}
	if sum != model.budget.Used() || sum > model.total || len(model.used) != model.budget.Connections() {
		model.Fatalf("users use %d bytes, but the budget reports %d of a total of %d", sum, model.budget.Used(), model.total)
	}
}

// TestDynamicThresholdAvoidsEvictions checks that no user has to be evicted, however many users allocate all
// the memory available to them.
func TestDynamicThresholdAvoidsEvictions(t *testing.T) {
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
	if _, over := budget.ConnectionToEvict(); over || budget.Used() < 100<<20 {
		t.Errorf("%d bytes used of a total of %d, user to evict: %v", budget.Used(), budget.Total(), over)
	}
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(MinMemory, 1<<50).Draw(t, "memory")
		shares := Divide(memory)
		isPositive := shares.Connections > 0 && shares.History > 0 && shares.Objects > 0
		if sum := shares.Connections + shares.History + shares.Objects; !isPositive || sum > memory {
			t.Fatalf("shares %+v must be positive and fit into %d bytes", shares, memory)
		}
	})
}
