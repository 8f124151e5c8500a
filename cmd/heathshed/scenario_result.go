package main

import (
	"io"
	"maps"
	"slices"
	"time"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/faultinjection"
)

// maxPrintedViolations bounds the violations that are printed one by one.
const maxPrintedViolations = 20

// printProgress prints a line of the client's figures up to now.
func printProgress(w io.Writer, elapsed time.Duration, f *faultinjection.Figures) {
	printf(w, "%5.0f s  jobs %d  tasks %d  settled %d  watches broken %d  schedulers killed %d  p50 %.3f s  p99 %.3f s\n",
		elapsed.Seconds(), f.Jobs, f.Tasks, f.Settled, f.WatchesDropped, f.SchedulerKills, f.P50, f.P99)
}

// printResult prints the result of a scenario as text.
func printResult(w io.Writer, result *faultinjection.Result) {
	report, figures := &result.Audit, &result.Figures
	printf(w, "scenario of %.0f s: %d schedulers, %d nodes\n", result.Seconds, result.Schedulers, result.Nodes)
	printf(w, "tasks submitted %d, placed %d, rejected %d, failed %d, without outcome as their scheduler was killed or their client deleted them %d\n",
		report.Tasks, report.Outcomes[wellknown.Placed], report.Outcomes[wellknown.Rejected], report.Outcomes[wellknown.Failed],
		report.WithoutOutcome)
	printf(w, "attempts %d, rejected %d, starts %d, node crashes %d, schedulers killed %d\n",
		report.Attempts, report.Rejections, report.Starts, report.Crashes, figures.SchedulerKills)
	printf(w, "client watches broken %d, relists %d, request retries %d\n", figures.WatchesDropped, figures.Relists, figures.Retries)
	printf(w, "submission to outcome: p50 %.4f s, p99 %.4f s, max %.4f s\n", figures.P50, figures.P99, figures.Max)
	printHostile(w, &figures.Hostile)
	printEnds(w, report.Ends)
	printViolations(w, report)
}

// printHostile prints the schedulers' memory, and the figures of the hostile clients if there were any.
func printHostile(w io.Writer, clients *faultinjection.Hostile) {
	if clients.MemoryPeak == 0 {
		return
	}
	printf(w, "memory of the schedulers: %d MiB in the second quarter, %d MiB in the last; one had %d MiB at most\n",
		clients.MemoryEarly, clients.MemoryLate, clients.MemoryPeak)
	if clients.StalledConnections > 0 {
		printf(w, "hostile clients: %d expensive requests, %d rejected, %d accepted; %d stalled connections\n",
			clients.ExpensiveRequests, clients.Rejected, clients.Accepted, clients.StalledConnections)
	}
}

// printEnds prints how many tasks ended for each reason.
func printEnds(w io.Writer, ends map[string]int) {
	printf(w, "ends:")
	for _, reason := range slices.Sorted(maps.Keys(ends)) {
		name := reason
		if reason == "" {
			name = "completed"
		}
		printf(w, " %s %d,", name, ends[reason])
	}
	printf(w, "\n")
}

// printViolations prints the number of violations and the first maxPrintedViolations of them.
func printViolations(w io.Writer, report *audit.Report) {
	printf(w, "rules: %d violations in %d events\n", len(report.Violations), report.Events)
	for i, violation := range report.Violations {
		if i == maxPrintedViolations {
			printf(w, "  and %d more\n", len(report.Violations)-i)
			break
		}
		printf(w, "  %s\n", violation)
	}
}
