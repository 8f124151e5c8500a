package memquota

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/testsupport/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "300") }

// TestBudget plays users that allocate what is available, and some that allocate more: what is used never exceeds the total once those over
// quota are removed, none is removed because of one that holds less than half as much, a user that holds nothing may always allocate, and all
// is free when all are removed.
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
					t.Fatal("memory available to a user that was removed")
				}
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // it allocates what is available
				available := budget.Available(id)
				if was == 0 && available < min(MinAllowance, total) {
					t.Fatalf("only %d bytes available to a user that holds nothing", available)
				}
				before := budget.Used()
				budget.SetUsed(now, id, was+available)
				used[id] = was + available
				if was > 0 && before <= total && budget.Used() > total {
					t.Fatalf("granted %d of %d", budget.Used(), total)
				}
			case 1: // it allocates more
				used[id] = was + rapid.Int64Range(0, total).Draw(t, "bytes")
				budget.SetUsed(now, id, used[id])
			case 2: // half of it is read
				used[id] = was / 2
				budget.SetUsed(now, id, was/2)
			case 3:
				budget.Remove(id)
				delete(used, id)
			}
			for user, over := budget.OverQuota(); over; user, over = budget.OverQuota() {
				for other, h := range used {
					if h > 2*used[user]+1 {
						t.Fatalf("user %d is evicted with %d bytes while user %d holds %d", user, used[user], other, h)
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
				t.Fatalf("%d used, budget says %d of %d", sum, budget.Used(), total)
			}
		}
		for id := range used {
			budget.Remove(id)
		}
		if budget.Used() != 0 {
			t.Fatalf("%d used without users", budget.Used())
		}
	})
}

// TestLargeUsersShare checks that however many users allocate all that is available, none has to be evicted.
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
		t.Errorf("%d used of %d, over %v", budget.Used(), budget.Total(), over)
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
