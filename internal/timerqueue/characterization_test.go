package timerqueue_test

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"heathshed/internal/timerqueue"
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

// TestCharacterization compares the order in which a queue gives out timers, many of equal time, with the golden file. Some are stopped, some
// are added while others run. Run with HEATHSHED_UPDATE_GOLDEN=1 to write the golden
// file anew; a missing file is a failure.
func TestCharacterization(t *testing.T) {
	var lines []string
	for seed := uint64(1); seed <= 20; seed++ {
		order := playQueue(seed)
		lines = append(lines, fmt.Sprintf("seed %d %x %.120s", seed, sha256.Sum256([]byte(order)), order))
	}
	compareGolden(t, lines)
}

func playQueue(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 3))
	var queue timerqueue.Queue
	var b strings.Builder
	var added []*timerqueue.Timer
	add := func(at float64) {
		number := len(added)
		added = append(added, queue.Add(at, func() { fmt.Fprintf(&b, "r%d ", number) }))
	}
	now := 0.0
	for range 600 {
		switch random.IntN(5) {
		case 0, 1, 2:
			add(now + float64(random.IntN(5)-1))
		case 3:
			if len(added) > 0 {
				i := random.IntN(len(added))
				fmt.Fprintf(&b, "p%t ", added[i].Pending())
				queue.Stop(added[i])
				fmt.Fprintf(&b, "p%t ", added[i].Pending())
			}
		default:
			now += float64(random.IntN(2))
			for timer := queue.Pop(now); timer != nil; timer = queue.Pop(now) {
				fmt.Fprintf(&b, "p%t %x ", timer.Pending(), math.Float64bits(timer.At))
				timer.Run()
				if random.IntN(4) == 0 {
					add(now + float64(random.IntN(3)))
				}
			}
		}
		fmt.Fprintf(&b, "%d %x ", queue.Len(), math.Float64bits(queue.Next()))
	}
	queue.Stop(nil)
	return b.String()
}
