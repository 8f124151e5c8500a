package connpool_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/connpool"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterization compares the decisions of all policies with a golden file. The inputs form grids of
// connection states, and each decision is recorded as a number. Package goldentest describes how the golden
// file is regenerated.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	record.Line("%s", describeDefaults())
	shortPolicy := connpool.MultiplexedPolicy{MaxIdle: 2 * time.Second, HealthCheckAfter: 500 * time.Millisecond, HealthCheckTimeout: 250 * time.Millisecond}
	grids := []string{connectionChoices(), keepAliveActions(connpool.DefaultMultiplexedPolicy()), keepAliveActions(shortPolicy), usableStates()}
	for i, grid := range grids {
		record.Line("grid %d %d %s", i, len(grid), goldentest.Digest(grid))
	}
	for seed := uint64(1); seed <= 10; seed++ {
		record.Line("reach %d %s", seed, reachability(seed))
	}
	record.Check(t, "characterization")
}

func describeDefaults() string {
	policy, shared := connpool.DefaultPolicy(), connpool.DefaultMultiplexedPolicy()
	return fmt.Sprint("defaults ", policy.MaxConns, policy.MaxIdle.Seconds(), policy.MaxIdleNonIdempotent.Seconds(),
		shared.MaxIdle.Seconds(), shared.HealthCheckAfter.Seconds(), shared.HealthCheckTimeout.Seconds())
}

func connectionChoices() string {
	var decisions strings.Builder
	const second = time.Second
	ages := []time.Duration{0, second / 2, second, 1001 * time.Millisecond, 59 * second, 60 * second, 60*second + time.Millisecond}
	lists := [][]time.Duration{nil}
	for _, age := range ages {
		lists = append(lists, []time.Duration{age})
		for _, other := range ages {
			lists = append(lists,
				[]time.Duration{age, other},
				[]time.Duration{age, other, 700 * time.Millisecond},
				[]time.Duration{61 * second, age, other})
		}
	}
	for _, policy := range []connpool.Policy{connpool.DefaultPolicy(), {MaxConns: 2, MaxIdle: second, MaxIdleNonIdempotent: second / 2}, {}} {
		for _, idle := range lists {
			for open := range 5 {
				for _, nonIdempotent := range []bool{false, true} {
					fewOpen := policy.Choose(idle, open+len(idle)-1, nonIdempotent)
					manyOpen := policy.Choose(idle, 30+open, nonIdempotent)
					fmt.Fprintln(&decisions, uint8(fewOpen.Action), fewOpen.Index, fewOpen.Stale, uint8(manyOpen.Action), manyOpen.Index, manyOpen.Stale)
				}
			}
		}
	}
	return decisions.String()
}

func keepAliveActions(policy connpool.MultiplexedPolicy) string {
	var actions strings.Builder
	now := clock.FromUnixSeconds(10)
	var instants []clock.Instant
	for _, seconds := range []placer.Seconds{0, 8, 9, 9.25, 9.5, 9.75, 9.999, 10} {
		instants = append(instants, clock.FromUnixSeconds(seconds))
	}
	for _, sent := range instants {
		for _, received := range instants {
			for _, checked := range instants {
				for _, incomplete := range instants {
					for bits := range 8 {
						state := connpool.ConnState{
							PendingRequests: bits & 1,
							RunsTasks:       bits&2 > 0,
							HasAlternative:  bits&4 > 0,
							LastSent:        sent,
							LastReceived:    received,
							HealthCheckSent: checked,
							IncompleteSince: incomplete,
						}
						fmt.Fprintf(&actions, "%d%d", uint8(policy.KeepAlive(now, state)), uint8(policy.KeepAlive(now.Add(500*time.Millisecond), state)))
					}
				}
			}
		}
	}
	return actions.String()
}

func usableStates() string {
	var usable strings.Builder
	instants := []clock.Instant{0, clock.FromUnixSeconds(0.1)}
	for _, checked := range instants {
		for _, incomplete := range instants {
			for requests := range 3 {
				fmt.Fprintln(&usable, connpool.ConnState{HealthCheckSent: checked, IncompleteSince: incomplete, PendingRequests: requests}.Usable())
			}
		}
	}
	return usable.String()
}

// reachability records the status of a node after random messages and failed dials and returns a digest of
// the record.
func reachability(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 5))
	var statuses strings.Builder
	var now clock.Instant
	node := connpool.Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	for range 200 {
		now = now.Add([]time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second}[random.IntN(5)])
		switch random.IntN(8) {
		case 0:
			node.Received(now)
		case 1, 2:
			node.DialFailed(now, true)
		case 3, 4, 5:
			node.DialFailed(now, random.IntN(4) == 0)
		}
		later := func(d time.Duration) uint8 { return uint8(node.Status(now.Add(d))) }
		fmt.Fprint(&statuses, later(0), later(time.Second), later(1001*time.Millisecond), later(6*time.Second), later(6500*time.Millisecond), " ")
	}
	return goldentest.Digest(statuses.String())
}
