package main

import (
	"bytes"
	"testing"

	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/faultinjection"
	"heathshed/internal/lab/metastability"
	"heathshed/internal/lab/scenario"
)

// TestPrintResult pins what a scenario prints of its result.
func TestPrintResult(t *testing.T) {
	hostile := faultinjection.Hostile{ExpensiveRequests: 1, Rejected: 2, Accepted: 3, StalledConnections: 4, MemoryEarly: 5, MemoryLate: 6,
		MemoryPeak: 7}
	result := faultinjection.Result{
		Seconds:    60,
		Schedulers: 2,
		Nodes:      24,
		Figures: faultinjection.Figures{WatchesDropped: 10, Relists: 11, SchedulerKills: 12, Retries: 13, P50: 0.5, P99: 1.5, Max: 2.5,
			Hostile: hostile},
		Audit: audit.Report{
			Violations:     []audit.Violation{{Rule: 4, At: 8, Text: "node a was overloaded while warming up"}},
			Events:         20,
			Tasks:          21,
			Outcomes:       map[string]int{"Placed": 22, "Refused": 23, "Failed": 24},
			WithoutOutcome: 25,
			Attempts:       26,
			Rejections:     27,
			Starts:         28,
			Ends:           map[string]int{"": 29, audit.NeverRan: 30},
			Crashes:        31,
		},
	}
	const want = `scenario of 60 s: 2 schedulers, 24 nodes
tasks submitted 21, placed 22, rejected 23, failed 24, without outcome as their scheduler was killed or their client deleted them 25
attempts 26, rejected 27, starts 28, node crashes 31, schedulers killed 12
client watches broken 10, relists 11, request retries 13
submission to outcome: p50 0.5000 s, p99 1.5000 s, max 2.5000 s
memory of the schedulers: 5 MiB in the second quarter, 6 MiB in the last; one had 7 MiB at most
hostile clients: 1 expensive requests, 2 rejected, 3 accepted; 4 stalled connections
ends: completed 29, NeverStarted 30,
rules: 1 violations in 20 events
  rule 4 at 8.000: node a was overloaded while warming up
`
	var out bytes.Buffer
	printResult(&out, &result)
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

// TestPrintTrial pins what the search for metastable failures prints of a trial.
func TestPrintTrial(t *testing.T) {
	played := playedTrial{
		trial: metastability.Trial{Seed: 1, Trigger: scenario.Fault{Kind: "burst", Duration: 3}, Load: 6, Backoff: 7},
		verdict: metastability.Verdict{BaselineGoodput: 0.9, WorstGoodput: 0.25, RecoveryTime: 26, AllowedTime: 27, PeakOpenTasks: 28,
			FinalOpenTasks: 29},
	}
	const want = "seed 1  recovered true  burst for 3.0 s  load 6.00  backoff 7  goodput 0.90, lowest 0.25  recovery after 26 s of 27  " +
		"open tasks 28 at most, 29 at the end\n"
	var out bytes.Buffer
	if err := printTrial(&out, &played, false); err != nil {
		t.Fatal(err)
	}
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}
