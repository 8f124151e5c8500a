package memquota_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"heathshed/internal/memquota"
)

const (
	goldenPath   = "testdata/characterization.golden"
	goldenUpdate = "HEATHSHED_UPDATE_GOLDEN"
)

func compareGolden(t *testing.T, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	if os.Getenv(goldenUpdate) == "1" {
		if err := os.WriteFile(goldenPath, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	expected := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	if len(expected) != len(lines) {
		t.Errorf("%d lines, want %d", len(lines), len(expected))
	}
	for i := range min(len(expected), len(lines)) {
		if expected[i] != lines[i] {
			t.Errorf("line %d: got %s, want %s", i+1, lines[i], expected[i])
		}
	}
}

// TestCharacterization compares shares, rooms and who is cut off over seeded inputs with the golden file. Run with HEATHSHED_UPDATE_GOLDEN=1 to write the golden
// file anew; a missing file is a failure.
func TestCharacterization(t *testing.T) {
	lines := []string{fmt.Sprint("bounds ", memquota.MinAllowance, " ", memquota.MinMemory)}
	for _, memory := range []int64{-1, 0, 1, 64<<20 - 1, 64 << 20, 64<<20 + 7, 100_000_001, 1 << 30, 3<<30 + 5, 1 << 40} {
		s := memquota.Divide(memory)
		lines = append(lines, fmt.Sprint("shares ", memory, " ", s.Connections, " ", s.History, " ", s.Objects))
	}
	for _, total := range []int64{0, 1, 4095, 4096, 4097, 100_000, 1 << 20} {
		for seed := uint64(1); seed <= 5; seed++ {
			lines = append(lines, fmt.Sprintf("budget %d seed %d %s", total, seed, playBudget(total, seed)))
		}
	}
	for seed := uint64(1); seed <= 10; seed++ {
		lines = append(lines, fmt.Sprintf("seats %d %s", seed, evictions(seed)))
	}
	compareGolden(t, lines)
}

func playBudget(total int64, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, uint64(total)))
	budget := memquota.New(total)
	var text strings.Builder
	now := 0.0
	for range 300 {
		id := uint64(random.IntN(12))
		now += float64(random.IntN(2))
		switch random.IntN(8) {
		case 0, 1:
			budget.Remove(id) // a user joins once
			budget.Add(now, id)
		case 2:
			budget.Remove(id)
		case 3:
			over, is := budget.OverQuota()
			fmt.Fprint(&text, over, is, " ")
			if is {
				budget.Remove(over)
			}
		default:
			budget.SetUsed(now, id, []int64{0, 1, 4096, 5000, total / 4, total / 2, total}[random.IntN(7)])
		}
		fmt.Fprint(&text, budget.Used(), budget.Total(), budget.Users(), budget.Evicted, budget.Available(id), budget.Available(id+1), " ")
	}
	return fmt.Sprintf("%x", sha256.Sum256([]byte(text.String())))
}

func evictions(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 6))
	var text strings.Builder
	for range 300 {
		var all []memquota.Candidate
		for range random.IntN(8) {
			all = append(all, memquota.Candidate{Busy: random.IntN(3) == 0, Established: random.IntN(2) == 0, IdleSeconds: float64(random.IntN(4))})
		}
		fmt.Fprint(&text, memquota.SelectEviction(all), " ")
	}
	return fmt.Sprintf("%x", sha256.Sum256([]byte(text.String())))
}
