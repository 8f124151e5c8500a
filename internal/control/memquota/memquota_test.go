package memquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathshed/internal/control/clock"
	"heathshed/internal/testsupport/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "300") }

// TestBudget simulates connections that allocate the memory available to them and connections that allocate
// more. It checks that:
//   - the connections use at most the total after the selected connections are evicted,
//   - no connection is evicted while another connection uses more than twice as much memory,
//   - memory is always available to a connection that uses no memory,
//   - no memory counts as used after all connections are removed.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newBudgetModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "number of steps") {
			model.step()
			model.evict()
			model.checkSums()
		}
		for id := range model.usedByID {
			model.budget.Remove(id)
		}
		if model.budget.Used() != 0 {
			t.Fatalf("budget counts %d bytes as used after all connections were removed, want 0 bytes", model.budget.Used())
		}
	})
}

// budgetModel is a budget whose connections allocate random amounts of memory. It also records, independently
// of the budget, how much memory each connection uses.
type budgetModel struct {
	*rapid.T
	budget   *Budget
	total    int64
	now      clock.Instant
	lastID   uint64
	usedByID map[uint64]int64
}

func newBudgetModel(t *rapid.T) *budgetModel {
	total := rapid.Int64Range(MinAllowance, 1<<20).Draw(t, "total bytes")
	return &budgetModel{T: t, budget: New(total), total: total, usedByID: map[uint64]int64{}}
}

// step adds a connection, removes a connection, or changes how much memory a connection uses.
func (model *budgetModel) step() {
	model.now += clock.Instant(rapid.Int64Range(0, int64(time.Second)).Draw(model.T, "elapsed nanoseconds"))
	if len(model.usedByID) == 0 || rapid.IntRange(0, 3).Draw(model.T, "add a connection if 0") == 0 {
		model.lastID++
		model.budget.Add(model.now, model.lastID)
		model.usedByID[model.lastID] = 0
		return
	}
	id := uint64(rapid.IntRange(1, int(model.lastID)).Draw(model.T, "connection ID"))
	used, ok := model.usedByID[id]
	if !ok {
		if model.budget.Available(id) != 0 {
			model.Fatal("Available returned a number other than 0 for a connection that is not in the budget")
		}
		return
	}
	switch rapid.IntRange(0, 3).Draw(model.T, "operation: 0 or 1 allocates, 2 frees half, 3 removes the connection") {
	case 0:
		model.allocateAvailable(id, used)
	case 1: // The connection may exceed the memory that is available to it.
		model.setUsed(id, used+rapid.Int64Range(0, model.total).Draw(model.T, "additional bytes"))
	case 2: // The connection frees about half of its memory.
		model.setUsed(id, used/2)
	case 3:
		model.remove(id)
	}
}

func (model *budgetModel) allocateAvailable(id uint64, used int64) {
	available := model.budget.Available(id)
	if used == 0 && available < min(MinAllowance, model.total) {
		model.Fatalf("only %d bytes are available to a connection that uses no memory, want at least the smaller of MinAllowance and the total", available)
	}
	usedBefore := model.budget.Used()
	model.setUsed(id, used+available)
	if used > 0 && usedBefore <= model.total && model.budget.Used() > model.total {
		model.Fatalf("after a connection has allocated the memory available to it, all connections use %d bytes, which exceeds the total of %d bytes", model.budget.Used(), model.total)
	}
}

func (model *budgetModel) setUsed(id uint64, bytes int64) {
	model.usedByID[id] = bytes
	model.budget.SetUsed(model.now, id, bytes)
}

func (model *budgetModel) remove(id uint64) {
	model.budget.Remove(id)
	delete(model.usedByID, id)
}

// evict removes the connections that the budget selects for eviction. It checks that no other connection uses
// more than twice as much memory as a selected connection.
func (model *budgetModel) evict() {
	for id, overLimit := model.budget.ConnectionToEvict(); overLimit; id, overLimit = model.budget.ConnectionToEvict() {
		for otherID, used := range model.usedByID {
			if used > 2*model.usedByID[id]+1 {
				model.Fatalf("connection %d, which uses %d bytes, is selected for eviction although connection %d uses %d bytes, which is more than twice as much", id, model.usedByID[id], otherID, used)
			}
		}
		model.remove(id)
	}
}

func (model *budgetModel) checkSums() {
	sum := int64(0)
	for _, used := range model.usedByID {
		sum += used
	}
	if sum != model.budget.Used() || sum > model.total || len(model.usedByID) != model.budget.Connections() {
		model.Fatalf("connections use %d bytes and the budget reports %d bytes, want equal numbers of at most %d bytes; if these are right, the number of connections in the budget is wrong", sum, model.budget.Used(), model.total)
	}
}

// TestDynamicThresholdAvoidsEvictions simulates 4000 connections that repeatedly allocate memory while memory
// is available to them. It checks that the connections use most of the total, and that none has to be
// evicted.
func TestDynamicThresholdAvoidsEvictions(t *testing.T) {
	const connectionCount = uint64(4000)
	budget := New(128 << 20)
	for id := range connectionCount {
		budget.Add(0, id)
	}
	for range 50 {
		for id := range connectionCount {
			if budget.Available(id) >= MinAllowance {
				budget.SetUsed(1, id, budget.connections[id].used+MinAllowance)
			}
		}
	}
	if _, overLimit := budget.ConnectionToEvict(); overLimit || budget.Used() < 100<<20 {
		t.Errorf("connections use %d bytes of a total of %d bytes, want at least 100 MiB; ConnectionToEvict returned overLimit %v, want false", budget.Used(), budget.Total(), overLimit)
	}
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(MinMemory, 1<<50).Draw(t, "memory in bytes")
		shares := Divide(memory)
		isPositive := shares.Connections > 0 && shares.History > 0 && shares.Objects > 0
		if sum := shares.Connections + shares.History + shares.Objects; !isPositive || sum > memory {
			t.Fatalf("Divide returned %+v, want only positive shares, whose sum is at most %d bytes", shares, memory)
		}
	})
}
