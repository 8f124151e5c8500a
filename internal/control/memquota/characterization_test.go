package memquota_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/memquota"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization compares the results of Divide, of SelectEviction and of the methods of Budget with a
// golden file. Random generators with fixed seeds choose the method calls and the candidates for eviction.
//
// Regenerate the golden file with HEATHSHED_UPDATE_GOLDEN=1 only if the behaviour of package memquota is
// meant to change; package goldentest describes how.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	record.Line("bounds %d %d", memquota.MinAllowance, memquota.MinMemory)
	for _, memory := range []int64{-1, 0, 1, 64<<20 - 1, 64 << 20, 64<<20 + 7, 100_000_001, 1 << 30, 3<<30 + 5, 1 << 40} {
		shares := memquota.Divide(memory)
		record.Line("shares %d %d %d %d", memory, shares.Connections, shares.History, shares.Objects)
	}
	for _, total := range []int64{0, 1, 4095, 4096, 4097, 100_000, 1 << 20} {
		for seed := uint64(1); seed <= 5; seed++ {
			record.Line("budget %d seed %d %s", total, seed, runRandomBudget(total, seed))
		}
	}
	for seed := uint64(1); seed <= 10; seed++ {
		record.Line("seats %d %s", seed, selectRandomEvictions(seed))
	}
	record.Check(t, "characterization")
}

func runRandomBudget(total int64, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, uint64(total)))
	budget := memquota.New(total)
	var text strings.Builder
	now := clock.Instant(0)
	for range 300 {
		id := uint64(rng.IntN(12))
		now += clock.Instant(rng.IntN(2))
		switch rng.IntN(8) {
		case 0, 1:
			budget.Remove(id) // The connection is removed first, because an id must not be added twice.
			budget.Add(now, id)
		case 2:
			budget.Remove(id)
		case 3:
			evictedID, overLimit := budget.ConnectionToEvict()
			fmt.Fprint(&text, evictedID, overLimit, " ")
			if overLimit {
				budget.Remove(evictedID)
			}
		default:
			budget.SetUsed(now, id, []int64{0, 1, 4096, 5000, total / 4, total / 2, total}[rng.IntN(7)])
		}
		fmt.Fprint(&text, budget.Used(), budget.Total(), budget.Connections(), budget.EvictedConnections, budget.Available(id), budget.Available(id+1), " ")
	}
	return goldentest.Digest(text.String())
}

func selectRandomEvictions(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 6))
	var text strings.Builder
	for range 300 {
		var candidates []memquota.EvictionCandidate
		for range rng.IntN(8) {
			candidates = append(candidates, memquota.EvictionCandidate{
				Busy:        rng.IntN(3) == 0,
				Established: rng.IntN(2) == 0,
				IdleTime:    time.Duration(rng.IntN(4)),
			})
		}
		fmt.Fprint(&text, memquota.SelectEviction(candidates), " ")
	}
	return goldentest.Digest(text.String())
}
