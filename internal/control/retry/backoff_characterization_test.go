package retry_test

import (
	"fmt"
	"math"
	"testing"

	"heathshed/internal/control/retry"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterizeBackoff compares the delays that Backoff.Next returns with a golden file. The delays must
// be equal bit for bit. The test covers several values of Backoff.Min, of Backoff.Max and of the jitter, and
// calls Backoff.Reset once for each combination of values.
//
// Regenerate the golden file with HEATHSHED_UPDATE_GOLDEN=1 only if the behaviour of package retry is meant to
// change; package goldentest describes how.
func TestCharacterizeBackoff(t *testing.T) {
	record := goldentest.NewRecorder()
	for _, bounds := range [][2]placer.Seconds{{0, 0}, {0.05, 1}, {0.2, 1}, {1, 1}, {2, 1}, {0.1, 1000}} {
		for _, jitter := range []float64{0, 0.25, 0.5, 1} {
			record.Line("%s", describeDelays(bounds, jitter))
		}
	}
	record.Check(t, "backoff")
}

func describeDelays(bounds [2]placer.Seconds, jitter float64) string {
	backoff := retry.Backoff{Min: bounds[0], Max: bounds[1]}
	line := fmt.Sprintf("%g %g %g:", bounds[0], bounds[1], jitter)
	for i := range 20 {
		if i == 14 {
			backoff.Reset()
		}
		line += fmt.Sprintf(" %x", math.Float64bits(float64(backoff.Next(jitter))))
	}
	return line
}
