package memquota

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "300") }

// Any users that take what they are granted, and some that take more: what is held never exceeds the budget once those told to go have
// gone, nobody goes because of one smaller than half of it, one that holds nothing has room, and all is free when all have left.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(MinAllowance, 1<<20).Draw(t, "total")
		budget := New(total)
		used := map[uint64]int64{}
		now, next := 0.0, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.Float64Range(0, 1).Draw(t, "dt")
			if len(used) == 0 || rapid.IntRange(0, 3).Draw(t, "join") == 0 {
				next++
				budget.Add(now, next)
				used[next] = 0
				continue
			}
			id := uint64(rapid.IntRange(1, int(next)).Draw(t, "who"))
			was, ok := used[id]
			if !ok {
				if budget.Available(id) != 0 {
					t.Fatal("room for one that left")
				}
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // it takes what it may
				available := budget.Available(id)
				if was == 0 && available < min(MinAllowance, total) {
					t.Fatalf("no room for one that holds nothing: %d", available)
				}
				before := budget.Used()
				budget.SetUsed(now, id, was+available)
				used[id] = was + available
				if was > 0 && before <= total && budget.Used() > total {
					t.Fatalf("granted %d of %d", budget.Used(), total)
				}
			case 1: // it takes more
				used[id] = was + rapid.Int64Range(0, total).Draw(t, "bytes")
				budget.SetUsed(now, id, used[id])
			case 2: // it is read
				used[id] = was / 2
				budget.SetUsed(now, id, was/2)
			case 3:
				budget.Remove(id)
				delete(used, id)
			}
			for user, over := budget.OverQuota(); over; user, over = budget.OverQuota() {
				for other, h := range used {
					if h > 2*used[user]+1 {
						t.Fatalf("%d goes with %d while %d holds %d", user, used[user], other, h)
					}
				}
				budget.Remove(user)
				delete(used, user)
			}
			sum := int64(0)
			for _, h := range used {
				sum += h
			}
			if sum != budget.Used() || sum > total || len(used) != budget.Users() {
				t.Fatalf("%d held, counted %d of %d", sum, budget.Used(), total)
			}
		}
		for id := range used {
			budget.Remove(id)
		}
		if budget.Used() != 0 {
			t.Fatalf("%d held by nobody", budget.Used())
		}
	})
}

// However many take all that they may, something stays free for the next, and nobody is cut off.
func TestLargeUsersShare(t *testing.T) {
	budget := New(128 << 20)
	for id := range uint64(4000) {
		budget.Add(0, id)
	}
	for range 50 {
		for id := range uint64(4000) {
			if r := budget.Available(id); r >= MinAllowance {
				budget.SetUsed(1, id, budget.users[id].used+MinAllowance)
			}
		}
	}
	if _, over := budget.OverQuota(); over || budget.Used() < 100<<20 {
		t.Errorf("%d held of %d, over %v", budget.Used(), budget.Total(), over)
	}
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.Int64Range(MinMemory, 1<<50).Draw(t, "memory")
		s := Divide(m)
		if s.Connections <= 0 || s.History <= 0 || s.Objects <= 0 || s.Connections+s.History+s.Objects > m {
			t.Fatalf("%+v of %d", s, m)
		}
	})
}
