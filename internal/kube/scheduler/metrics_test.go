//go:build linux

package scheduler

import (
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"heathshed/internal/config"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/httpd"
)

// metricsOfRelease01 are the names of all metrics of release 0.1, with the series that has the value now. heathshed_api_requests_total, which
// has labels, is not among them; it has its name still, and no series before the first request.
var metricsOfRelease01 = map[string]string{
	"heathshed_adopted_total":           "heathshed_attempts_adopted_total",
	"heathshed_asked_again_total":       "heathshed_placement_retries_total",
	"heathshed_asks_shed_total":         "heathshed_placement_requests_shed_total",
	"heathshed_asks_total":              "heathshed_placement_requests_total",
	"heathshed_bad_requests_total":      "heathshed_bad_requests_total",
	"heathshed_connections":             "heathshed_connections",
	"heathshed_connections_bytes":       "heathshed_connections_bytes",
	"heathshed_connections_bytes_limit": "heathshed_connections_bytes_limit",
	"heathshed_connections_cut_total":   "heathshed_connections_evicted_total",
	"heathshed_gate_budget":             "heathshed_retry_budget",
	"heathshed_gate_limit":              "heathshed_admission_limit",
	"heathshed_gate_waiting":            "heathshed_admission_queued",
	"heathshed_history_bytes":           "heathshed_history_bytes",
	"heathshed_jobs_created_total":      "heathshed_jobs_created_total",
	"heathshed_jobs_finished_total":     "heathshed_jobs_finished_total",
	"heathshed_jobs_turned_away_total":  "heathshed_jobs_rejected_total",
	"heathshed_loop_turns_total":        "heathshed_event_loop_iterations_total",
	"heathshed_machines_heard":          "heathshed_nodes_watched",
	"heathshed_machines_ready":          "heathshed_nodes_ready",
	"heathshed_objects_bytes":           "heathshed_objects_bytes",
	"heathshed_offers_accepted_total":   `heathshed_attempt_outcomes_total{outcome="accepted"}`,
	"heathshed_offers_in_doubt_total":   `heathshed_attempt_outcomes_total{outcome="unknown"}`,
	"heathshed_offers_refused_total":    `heathshed_attempt_outcomes_total{outcome="rejected"}`,
	"heathshed_offers_total":            "heathshed_attempts_total",
	"heathshed_pods":                    "heathshed_pods",
	"heathshed_revision":                "heathshed_revision",
	"heathshed_stops_total":             "heathshed_stop_orders_total",
	"heathshed_taken_over_total":        "heathshed_tasks_recovered_total",
	"heathshed_tasks_evicted_total":     "heathshed_tasks_evicted_total",
	"heathshed_tasks_failed_total":      "heathshed_tasks_failed_total",
	"heathshed_tasks_lost_total":        "heathshed_tasks_lost_total",
	"heathshed_tasks_moved_total":       "heathshed_tasks_migrated_total",
	"heathshed_tasks_open":              "heathshed_tasks_open",
	"heathshed_tasks_placed_total":      "heathshed_tasks_placed_total",
	"heathshed_tasks_refused_total":     "heathshed_tasks_rejected_total",
	"heathshed_watches":                 "heathshed_watches",
}

// exposedMetrics are the metrics in an exposition.
type exposedMetrics struct {
	values map[string]string // by series
	help   map[string]string // by name
	types  map[string]string // by name
}

func parseExposition(t *testing.T, text string) exposedMetrics {
	t.Helper()
	exposed := exposedMetrics{values: map[string]string{}, help: map[string]string{}, types: map[string]string{}}
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		switch fields := strings.SplitN(line, " ", 4); {
		case len(fields) == 4 && fields[1] == "HELP":
			exposed.help[fields[2]] = strings.ReplaceAll(fields[3], `\"`, `"`)
		case len(fields) == 4 && fields[1] == "TYPE":
			exposed.types[fields[2]] = fields[3]
		case len(fields) == 2:
			exposed.values[fields[0]] = fields[1]
		default:
			t.Fatalf("line %q", line)
		}
	}
	return exposed
}

// newIdleScheduler returns a scheduler whose loop does not run. Each of its counters has a value of its own.
func newIdleScheduler(t *testing.T) *Scheduler {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	settings := config.Default()
	s, err := New(loop, Options{
		Engine:           settings.Engine(7, 1000),
		ListenAddress:    "127.0.0.1:0",
		InventoryAddress: "127.0.0.1:1",
		HTTP:             httpd.DefaultOptions(),
		Log:              zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.httpServer.Close)
	counters := reflect.ValueOf(&s.engine.Stats).Elem()
	for i := range counters.NumField() {
		counters.Field(i).SetUint(uint64(1000 + i))
	}
	s.httpServer.MemoryQuota().Evicted = 2001
	s.httpServer.BadRequests = 2002
	s.loop.Iterations = 2003
	return s
}

// Each metric of release 0.1 is exported under its name, with the value that it has under its present one.
func TestFormerMetricsAreExported(t *testing.T) {
	exposed := parseExposition(t, string(newIdleScheduler(t).metrics.exposition()))
	for former, present := range metricsOfRelease01 {
		presentName, _, _ := strings.Cut(present, "{")
		formerValue, formerFound := exposed.values[former]
		presentValue, presentFound := exposed.values[present]
		if !formerFound || !presentFound || formerValue != presentValue {
			t.Errorf("%s is %q and %s is %q, want the same value", former, formerValue, present, presentValue)
		}
		if exposed.types[former] != exposed.types[presentName] {
			t.Errorf("%s is a %s and %s a %s", former, exposed.types[former], presentName, exposed.types[presentName])
		}
		deprecated := strings.HasPrefix(exposed.help[former], "Deprecated: use "+present+". ")
		if renamed := former != present; deprecated != renamed {
			t.Errorf("help of %s: %q, renamed to %s", former, exposed.help[former], present)
		}
	}
}

// Each counter is exported under the name that it had in release 0.1.
func TestCountersAreExported(t *testing.T) {
	s := newIdleScheduler(t)
	exposed := parseExposition(t, string(s.metrics.exposition()))
	stats := &s.engine.Stats
	for name, value := range map[string]uint64{
		"asks_total":             stats.PlacementRequests,
		"asked_again_total":      stats.Retries,
		"asks_shed_total":        stats.Shed,
		"offers_total":           stats.Attempts,
		"offers_accepted_total":  stats.Accepted,
		"offers_refused_total":   stats.Rejections,
		"offers_in_doubt_total":  stats.UnknownOutcomes,
		"adopted_total":          stats.Adopted,
		"taken_over_total":       stats.Recovered,
		"stops_total":            stats.Stops,
		"tasks_placed_total":     stats.Placed,
		"tasks_refused_total":    stats.Rejected,
		"tasks_failed_total":     stats.Failed,
		"tasks_lost_total":       stats.LostTasks,
		"tasks_evicted_total":    stats.EvictedTasks,
		"tasks_moved_total":      stats.MigratedTasks,
		"jobs_created_total":     stats.JobsCreated,
		"jobs_finished_total":    stats.JobsFinished,
		"jobs_turned_away_total": stats.JobsRejected,
		"connections_cut_total":  s.httpServer.MemoryQuota().Evicted,
		"bad_requests_total":     s.httpServer.BadRequests,
		"loop_turns_total":       s.loop.Iterations,
	} {
		if got, want := exposed.values["heathshed_"+name], strconv.FormatUint(value, 10); got != want {
			t.Errorf("heathshed_%s is %s, want %s", name, got, want)
		}
	}
}

// Beside the metrics of release 0.1 there are only those that replace them, and no present name is deprecated.
func TestPresentMetricsReplaceFormerOnes(t *testing.T) {
	exposed := parseExposition(t, string(newIdleScheduler(t).metrics.exposition()))
	want := map[string]bool{}
	for former, present := range metricsOfRelease01 {
		want[former], want[present] = true, true
		name, _, _ := strings.Cut(present, "{")
		if strings.HasPrefix(exposed.help[name], "Deprecated") {
			t.Errorf("%s is deprecated", name)
		}
	}
	for series := range exposed.values {
		if !want[series] {
			t.Errorf("%s is neither a metric of release 0.1 nor one that replaces it", series)
		}
	}
}

// The table of former names is complete and one to one.
func TestFormerMetricNames(t *testing.T) {
	want := map[string]string{}
	for former, present := range metricsOfRelease01 {
		if former != present {
			want[strings.TrimPrefix(present, "heathshed_")] = strings.TrimPrefix(former, "heathshed_")
		}
	}
	if !maps.Equal(formerMetricNames, want) {
		t.Errorf("%v, want %v", formerMetricNames, want)
	}
	formerNames := slices.Sorted(maps.Values(formerMetricNames))
	if unique := slices.Compact(slices.Clone(formerNames)); len(unique) != len(formerNames) {
		t.Errorf("%v: a name stands twice", formerNames)
	}
	for _, former := range formerNames {
		if _, isPresent := formerMetricNames[former]; isPresent {
			t.Errorf("%s is a former and a present name", former)
		}
	}
}

// The page for operators lists each former name with the present one.
func TestFormerMetricNamesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	for present, former := range formerMetricNames {
		row := "| `heathshed_" + former + "` | `heathshed_" + present + "` |"
		if !strings.Contains(string(page), row) {
			t.Errorf("operations.md has no row %s", row)
		}
	}
}
