package connpool_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"heathshed/internal/connpool"
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

// TestCharacterization compares decisions over grids of inputs, as numbers, with the golden file. Run with HEATHSHED_UPDATE_GOLDEN=1 to write the golden
// file anew; a missing file is a failure.
func TestCharacterization(t *testing.T) {
	lines := []string{defaults()}
	for name, text := range []string{choices(), upkeep(connpool.DefaultShared()), upkeep(connpool.Shared{MaxIdle: 2, TestAfter: 0.5, TestFor: 0.25}), usable()} {
		lines = append(lines, fmt.Sprintf("grid %d %d %x", name, len(text), sha256.Sum256([]byte(text))))
	}
	for seed := uint64(1); seed <= 10; seed++ {
		lines = append(lines, fmt.Sprintf("reach %d %s", seed, reach(seed)))
	}
	compareGolden(t, lines)
}

func defaults() string {
	p, s := connpool.DefaultPolicy(), connpool.DefaultShared()
	return fmt.Sprint("defaults ", p.Max, p.MaxIdle, p.Fresh, s.MaxIdle, s.TestAfter, s.TestFor)
}

func choices() string {
	var b strings.Builder
	ages := []float64{0, 0.5, 1, 1.001, 59, 60, 60.001}
	lists := [][]float64{nil}
	for _, x := range ages {
		lists = append(lists, []float64{x})
		for _, y := range ages {
			lists = append(lists, []float64{x, y}, []float64{x, y, 0.7}, []float64{61, x, y})
		}
	}
	for _, p := range []connpool.Policy{connpool.DefaultPolicy(), {Max: 2, MaxIdle: 1, Fresh: 0.5}, {}} {
		for _, idle := range lists {
			for open := range 5 {
				for _, careful := range []bool{false, true} {
					d := p.Choose(idle, open+len(idle)-1, careful)
					d32 := p.Choose(idle, 30+open, careful)
					fmt.Fprintln(&b, uint8(d.Choice), d.Index, d.Stale, uint8(d32.Choice), d32.Index, d32.Stale)
				}
			}
		}
	}
	return b.String()
}

func upkeep(p connpool.Shared) string {
	var b strings.Builder
	moments := []float64{0, 8, 9, 9.25, 9.5, 9.75, 9.999, 10}
	for _, used := range moments {
		for _, heard := range moments {
			for _, tested := range moments {
				for _, cut := range moments {
					for bits := range 8 {
						s := connpool.State{Requests: bits & 1, Held: bits&2 > 0, Spare: bits&4 > 0, Used: used, Heard: heard, Tested: tested, Cut: cut}
						fmt.Fprintf(&b, "%d%d", uint8(p.KeepAlive(10, s)), uint8(p.KeepAlive(10.5, s)))
					}
				}
			}
		}
	}
	return b.String()
}

func usable() string {
	var b strings.Builder
	for _, tested := range []float64{0, 0.1} {
		for _, cut := range []float64{0, 0.1} {
			for requests := range 3 {
				fmt.Fprintln(&b, connpool.State{Tested: tested, Cut: cut, Requests: requests}.Usable())
			}
		}
	}
	return b.String()
}

// reach gives the verdicts on a machine through seeded words and failed dials.
func reach(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 5))
	var b strings.Builder
	now := 0.0
	r := connpool.Reach{SilentFor: 6, RefusedFor: 1}
	for range 200 {
		now += []float64{0, 0.5, 1, 1.5, 3}[random.IntN(5)]
		switch random.IntN(8) {
		case 0:
			r.Heard(now)
		case 1, 2:
			r.Failed(now, true)
		case 3, 4, 5:
			r.Failed(now, random.IntN(4) == 0)
		}
		fmt.Fprint(&b, uint8(r.Lost(now)), uint8(r.Lost(now+1)), uint8(r.Lost(now+1.001)), uint8(r.Lost(now+6)), uint8(r.Lost(now+6.5)), " ")
	}
	return fmt.Sprintf("%x", sha256.Sum256([]byte(b.String())))
}
