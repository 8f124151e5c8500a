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

// TestCharacterization checks the decisions of Policy and MultiplexedPolicy, and the node statuses that
// Reachability determines. It compares them with a golden file. The policies receive all combinations of
// selected values, and Reachability receives random events. Package goldentest describes how the golden file
// is regenerated.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	record.Line("%s", describeDefaults())
	shortPolicy := connpool.MultiplexedPolicy{MaxIdle: 2 * time.Second, HealthCheckAfter: 500 * time.Millisecond, HealthCheckTimeout: 250 * time.Millisecond}
	descriptions := []string{describeChoices(), describeKeepAliveActions(connpool.DefaultMultiplexedPolicy()), describeKeepAliveActions(shortPolicy), describeUsability()}
	for i, description := range descriptions {
		record.Line("grid %d %d %s", i, len(description), goldentest.Digest(description))
	}
	for seed := uint64(1); seed <= 10; seed++ {
		record.Line("reach %d %s", seed, digestNodeStatuses(seed))
	}
	record.Check(t, "characterization")
}

func describeDefaults() string {
	policy, multiplexedPolicy := connpool.DefaultPolicy(), connpool.DefaultMultiplexedPolicy()
	return fmt.Sprint("defaults ", policy.MaxConns, policy.MaxIdle.Seconds(), policy.MaxIdleNonIdempotent.Seconds(),
		multiplexedPolicy.MaxIdle.Seconds(), multiplexedPolicy.HealthCheckAfter.Seconds(), multiplexedPolicy.HealthCheckTimeout.Seconds())
}

func describeChoices() string {
	var decisions strings.Builder
	const second = time.Second
	idleTimes := []time.Duration{0, second / 2, second, 1001 * time.Millisecond, 59 * second, 60 * second, 60*second + time.Millisecond}
	idleLists := [][]time.Duration{nil}
	for _, idleTime := range idleTimes {
		idleLists = append(idleLists, []time.Duration{idleTime})
		for _, otherIdleTime := range idleTimes {
			idleLists = append(idleLists,
				[]time.Duration{idleTime, otherIdleTime},
				[]time.Duration{idleTime, otherIdleTime, 700 * time.Millisecond},
				[]time.Duration{61 * second, idleTime, otherIdleTime})
		}
	}
	for _, policy := range []connpool.Policy{connpool.DefaultPolicy(), {MaxConns: 2, MaxIdle: second, MaxIdleNonIdempotent: second / 2}, {}} {
		for _, idleList := range idleLists {
			for extraConns := range 5 {
				for _, nonIdempotent := range []bool{false, true} {
					fewOpenDecision := policy.Choose(idleList, extraConns+len(idleList)-1, nonIdempotent)
					manyOpenDecision := policy.Choose(idleList, 30+extraConns, nonIdempotent)
					fmt.Fprintln(&decisions, uint8(fewOpenDecision.Action), fewOpenDecision.Index, fewOpenDecision.Stale, uint8(manyOpenDecision.Action), manyOpenDecision.Index, manyOpenDecision.Stale)
				}
			}
		}
	}
	return decisions.String()
}

func describeKeepAliveActions(policy connpool.MultiplexedPolicy) string {
	var actions strings.Builder
	now := clock.FromUnixSeconds(10)
	var instants []clock.Instant
	for _, seconds := range []placer.Seconds{0, 8, 9, 9.25, 9.5, 9.75, 9.999, 10} {
		instants = append(instants, clock.FromUnixSeconds(seconds))
	}
	for _, sentAt := range instants {
		for _, receivedAt := range instants {
			for _, healthCheckSentAt := range instants {
				for _, incompleteSince := range instants {
					for stateBits := range 8 {
						state := connpool.ConnState{
							PendingRequests: stateBits & 1,
							RunsTasks:       stateBits&2 > 0,
							HasAlternative:  stateBits&4 > 0,
							LastSent:        sentAt,
							LastReceived:    receivedAt,
							HealthCheckSent: healthCheckSentAt,
							IncompleteSince: incompleteSince,
						}
						fmt.Fprintf(&actions, "%d%d", uint8(policy.KeepAlive(now, state)), uint8(policy.KeepAlive(now.Add(500*time.Millisecond), state)))
					}
				}
			}
		}
	}
	return actions.String()
}

func describeUsability() string {
	var results strings.Builder
	instants := []clock.Instant{0, clock.FromUnixSeconds(0.1)}
	for _, healthCheckSentAt := range instants {
		for _, incompleteSince := range instants {
			for pendingRequests := range 3 {
				fmt.Fprintln(&results, connpool.ConnState{HealthCheckSent: healthCheckSentAt, IncompleteSince: incompleteSince, PendingRequests: pendingRequests}.Usable())
			}
		}
	}
	return results.String()
}

// digestNodeStatuses records random messages and failed dials in a Reachability. After each step, it
// determines the node status for several later times. It returns a digest of all these node statuses.
func digestNodeStatuses(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 5))
	var statuses strings.Builder
	var now clock.Instant
	reachability := connpool.Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	for range 200 {
		now = now.Add([]time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second}[rng.IntN(5)])
		switch rng.IntN(8) {
		case 0:
			reachability.Received(now)
		case 1, 2:
			reachability.DialFailed(now, true)
		case 3, 4, 5:
			reachability.DialFailed(now, rng.IntN(4) == 0)
		}
		statusAfter := func(d time.Duration) uint8 { return uint8(reachability.Status(now.Add(d))) }
		fmt.Fprint(&statuses, statusAfter(0), statusAfter(time.Second), statusAfter(1001*time.Millisecond), statusAfter(6*time.Second), statusAfter(6500*time.Millisecond), " ")
	}
	return goldentest.Digest(statuses.String())
}
