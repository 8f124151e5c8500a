package connpool_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/control/connpool"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization compares decisions over grids of inputs, as numbers, with the golden file; see package goldentest.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	record.Line("%s", defaults())
	shortPolicy := connpool.SharedPolicy{MaxIdle: 2, HealthCheckAfter: 0.5, HealthCheckTimeout: 0.25}
	grids := []string{connectionChoices(), keepAliveActions(connpool.DefaultSharedPolicy()), keepAliveActions(shortPolicy), usableStates()}
	for i, grid := range grids {
		record.Line("grid %d %d %x", i, len(grid), sha256.Sum256([]byte(grid)))
	}
	for seed := uint64(1); seed <= 10; seed++ {
		record.Line("reach %d %s", seed, reachability(seed))
	}
	record.Check(t, "characterization")
}

func defaults() string {
	p, s := connpool.DefaultPolicy(), connpool.DefaultSharedPolicy()
	return fmt.Sprint("defaults ", p.MaxConns, p.MaxIdle, p.MaxIdleNonIdempotent, s.MaxIdle, s.HealthCheckAfter, s.HealthCheckTimeout)
}

func connectionChoices() string {
	var b strings.Builder
	ages := []float64{0, 0.5, 1, 1.001, 59, 60, 60.001}
	lists := [][]float64{nil}
	for _, x := range ages {
		lists = append(lists, []float64{x})
		for _, y := range ages {
			lists = append(lists, []float64{x, y}, []float64{x, y, 0.7}, []float64{61, x, y})
		}
	}
	for _, p := range []connpool.Policy{connpool.DefaultPolicy(), {MaxConns: 2, MaxIdle: 1, MaxIdleNonIdempotent: 0.5}, {}} {
		for _, idle := range lists {
			for open := range 5 {
				for _, nonIdempotent := range []bool{false, true} {
					d := p.Choose(idle, open+len(idle)-1, nonIdempotent)
					d32 := p.Choose(idle, 30+open, nonIdempotent)
					fmt.Fprintln(&b, uint8(d.Action), d.Index, d.Stale, uint8(d32.Action), d32.Index, d32.Stale)
				}
			}
		}
	}
	return b.String()
}

func keepAliveActions(p connpool.SharedPolicy) string {
	var b strings.Builder
	moments := []float64{0, 8, 9, 9.25, 9.5, 9.75, 9.999, 10}
	for _, sent := range moments {
		for _, received := range moments {
			for _, checked := range moments {
				for _, incomplete := range moments {
					for bits := range 8 {
						s := connpool.ConnState{
							PendingRequests: bits & 1,
							RunsTasks:       bits&2 > 0,
							HasAlternative:  bits&4 > 0,
							LastSent:        sent,
							LastReceived:    received,
							HealthCheckSent: checked,
							IncompleteSince: incomplete,
						}
						fmt.Fprintf(&b, "%d%d", uint8(p.KeepAlive(10, s)), uint8(p.KeepAlive(10.5, s)))
					}
				}
			}
		}
	}
	return b.String()
}

func usableStates() string {
	var b strings.Builder
	for _, checked := range []float64{0, 0.1} {
		for _, incomplete := range []float64{0, 0.1} {
			for requests := range 3 {
				fmt.Fprintln(&b, connpool.ConnState{HealthCheckSent: checked, IncompleteSince: incomplete, PendingRequests: requests}.Usable())
			}
		}
	}
	return b.String()
}

// reachability returns a digest of the verdicts on a node through random messages and failed dials.
func reachability(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 5))
	var b strings.Builder
	now := 0.0
	r := connpool.Reachability{UnresponsiveAfter: 6, RefusedAfter: 1}
	for range 200 {
		now += []float64{0, 0.5, 1, 1.5, 3}[random.IntN(5)]
		switch random.IntN(8) {
		case 0:
			r.Received(now)
		case 1, 2:
			r.DialFailed(now, true)
		case 3, 4, 5:
			r.DialFailed(now, random.IntN(4) == 0)
		}
		fmt.Fprint(&b, uint8(r.Status(now)), uint8(r.Status(now+1)), uint8(r.Status(now+1.001)), uint8(r.Status(now+6)),
			uint8(r.Status(now+6.5)), " ")
	}
	return fmt.Sprintf("%x", sha256.Sum256([]byte(b.String())))
}
