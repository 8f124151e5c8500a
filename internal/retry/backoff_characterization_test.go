package retry_test

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"heathshed/internal/retry"
)

const (
	goldenPath   = "testdata/backoff.golden"
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

// TestCharacterization compares waits, as float bits, with the golden file: for a grid of bounds and jitters, before and after a reset. Run with HEATHSHED_UPDATE_GOLDEN=1 to write the golden
// file anew; a missing file is a failure.
func TestCharacterizeBackoff(t *testing.T) {
	var lines []string
	for _, bounds := range [][2]float64{{0, 0}, {0.05, 1}, {0.2, 1}, {1, 1}, {2, 1}, {0.1, 1000}} {
		for _, jitter := range []float64{0, 0.25, 0.5, 1} {
			lines = append(lines, delays(bounds, jitter))
		}
	}
	compareGolden(t, lines)
}

func delays(bounds [2]float64, jitter float64) string {
	backoff := retry.Backoff{Min: bounds[0], Max: bounds[1]}
	line := fmt.Sprintf("%g %g %g:", bounds[0], bounds[1], jitter)
	for i := range 20 {
		if i == 14 {
			backoff.Reset()
		}
		line += fmt.Sprintf(" %x", math.Float64bits(backoff.Next(jitter)))
	}
	return line
}
