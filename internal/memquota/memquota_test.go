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
		total := rapid.Int64Range(Floor, 1<<20).Draw(t, "total")
		b := New(total)
		held := map[uint64]int64{}
		now, next := 0.0, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.Float64Range(0, 1).Draw(t, "dt")
			if len(held) == 0 || rapid.IntRange(0, 3).Draw(t, "join") == 0 {
				next++
				b.Join(now, next)
				held[next] = 0
				continue
			}
			id := uint64(rapid.IntRange(1, int(next)).Draw(t, "who"))
			was, ok := held[id]
			if !ok {
				if b.Room(id) != 0 {
					t.Fatal("room for one that left")
				}
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // it takes what it may
				room := b.Room(id)
				if was == 0 && room < min(Floor, total) {
					t.Fatalf("no room for one that holds nothing: %d", room)
				}
				before := b.Held()
				b.Hold(now, id, was+room)
				held[id] = was + room
				if was > 0 && before <= total && b.Held() > total {
					t.Fatalf("granted %d of %d", b.Held(), total)
				}
			case 1: // it takes more
				held[id] = was + rapid.Int64Range(0, total).Draw(t, "bytes")
				b.Hold(now, id, held[id])
			case 2: // it is read
				held[id] = was / 2
				b.Hold(now, id, was/2)
			case 3:
				b.Leave(id)
				delete(held, id)
			}
			for who, over := b.Over(); over; who, over = b.Over() {
				for other, h := range held {
					if h > 2*held[who]+1 {
						t.Fatalf("%d goes with %d while %d holds %d", who, held[who], other, h)
					}
				}
				b.Leave(who)
				delete(held, who)
			}
			sum := int64(0)
			for _, h := range held {
				sum += h
			}
			if sum != b.Held() || sum > total || len(held) != b.Users() {
				t.Fatalf("%d held, counted %d of %d", sum, b.Held(), total)
			}
		}
		for id := range held {
			b.Leave(id)
		}
		if b.Held() != 0 {
			t.Fatalf("%d held by nobody", b.Held())
		}
	})
}

// However many take all that they may, something stays free for the next, and nobody is cut off.
func TestGreedyUsersShare(t *testing.T) {
	b := New(128 << 20)
	for id := range uint64(4000) {
		b.Join(0, id)
	}
	for range 50 {
		for id := range uint64(4000) {
			if r := b.Room(id); r >= Floor {
				b.Hold(1, id, b.users[id].held+Floor)
			}
		}
	}
	if _, over := b.Over(); over || b.Held() < 100<<20 {
		t.Errorf("%d held of %d, over %v", b.Held(), b.Total(), over)
	}
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.Int64Range(Least, 1<<50).Draw(t, "memory")
		s := Divide(m)
		if s.Connections <= 0 || s.History <= 0 || s.Objects <= 0 || s.Connections+s.History+s.Objects > m {
			t.Fatalf("%+v of %d", s, m)
		}
	})
}
