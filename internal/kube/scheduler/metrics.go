//go:build linux

package scheduler

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
)

const (
	// metricsNamespace is the prefix of all metric names. For example, this file registers
	// heathshed_attempts_total by the name attempts_total.
	metricsNamespace = "heathshed"
	attemptOutcomes  = "attempt_outcomes_total" // has the label outcome
)

// metrics holds the Prometheus metrics of a scheduler. It must be used on the event loop only.
//
// Metric names are part of the API. A renamed metric is also exported under its former name, which
// formerMetricNames contains.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
}

func newMetrics(s *Scheduler) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "api_requests_total",
			Help:      "API requests by method and status.",
		}, []string{"method", "code"}),
	}
	m.registry.MustRegister(m.requests)
	m.registerEngineCounters(&s.engine.Stats)
	m.registerEngineGauges(s)
	m.registerServerMetrics(s)
	return m
}

// addCounter registers a counter under its current name and under its former name, if it has one.
func (m *metrics) addCounter(name, help string, value func() uint64) {
	m.registerCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, value)
	if former, renamed := formerMetricNames[name]; renamed {
		m.registerCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: former, Help: deprecatedHelp(name, help)}, value)
	}
}

// addOutcomeCounter registers the counter of attempts with the given outcome, as a series with the label
// outcome. It also registers the counter of release 0.1 that the series replaces, which had no label.
func (m *metrics) addOutcomeCounter(outcome, help string, value func() uint64) {
	m.registerCounter(prometheus.CounterOpts{
		Namespace:   metricsNamespace,
		Name:        attemptOutcomes,
		Help:        "Attempts by what became of them: accepted or rejected by the node, or unknown.",
		ConstLabels: prometheus.Labels{"outcome": outcome},
	}, value)
	series := fmt.Sprintf("%s{outcome=%q}", attemptOutcomes, outcome)
	m.registerCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace,
		Name:      formerMetricNames[series],
		Help:      deprecatedHelp(series, help),
	}, value)
}

// addGauge registers a gauge under its current name and under its former name, if it has one.
func (m *metrics) addGauge(name, help string, value func() float64) {
	m.registerGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, value)
	if former, renamed := formerMetricNames[name]; renamed {
		m.registerGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: former, Help: deprecatedHelp(name, help)}, value)
	}
}

func (m *metrics) registerCounter(options prometheus.CounterOpts, value func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(value()) }))
}

func (m *metrics) registerGauge(options prometheus.GaugeOpts, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(options, value))
}

// deprecatedHelp returns the help text for the former name of a metric. The text names the series that
// replaces it.
func deprecatedHelp(series, help string) string {
	return fmt.Sprintf("Deprecated: use %s_%s. %s", metricsNamespace, series, help)
}

// registerEngineCounters registers the counters that the engine maintains. Each entry pairs a metric with
// the field of engine.Stats that it exports. To find the code that increments a counter, search for uses of
// the field.
func (m *metrics) registerEngineCounters(stats *engine.Stats) {
	for _, c := range []struct {
		name, help string
		value      *uint64
	}{
		{"placement_requests_total", "Placement requests submitted to admission control, those that it sheds included.", &stats.PlacementRequests},
		{"placement_retries_total", "Placement requests of a task after its first one.", &stats.Retries},
		{"placement_requests_shed_total", "Placement requests shed by admission control.", &stats.Shed},
		{"attempts_total", "Attempts sent to nodes.", &stats.Attempts},
		{"attempts_adopted_total", "Attempts with an unknown outcome that were found running.", &stats.Adopted},
		{"tasks_recovered_total", "Tasks adopted from nodes after a restart.", &stats.Recovered},
		{"stop_orders_total", "Stop orders sent to nodes.", &stats.Stops},
		{"foreign_node_answers_total", "Lists, changes and answers that another process sent from the address of a node.", &stats.ForeignNodeAnswers},
		{"tasks_placed_total", "Tasks settled as placed.", &stats.Placed},
		{"tasks_rejected_total", "Tasks settled as rejected.", &stats.Rejected},
		{"tasks_failed_total", "Tasks settled as failed.", &stats.Failed},
		{"tasks_lost_total", "Placed tasks lost with their node.", &stats.LostTasks},
		{"tasks_evicted_total", "Placed tasks evicted for memory.", &stats.EvictedTasks},
		{"tasks_migrated_total", "Placed tasks migrated or evicted by order.", &stats.MigratedTasks},
		{"jobs_created_total", "Jobs accepted.", &stats.JobsCreated},
		{"jobs_finished_total", "Jobs finished, as Complete or as Failed.", &stats.JobsFinished},
		{"jobs_rejected_total", "Jobs rejected because too many tasks are stored.", &stats.JobsRejected},
	} {
		m.addCounter(c.name, c.help, func() uint64 { return *c.value })
	}
	m.addOutcomeCounter("accepted", "Attempts that nodes accepted.", func() uint64 { return stats.Accepted })
	m.addOutcomeCounter("rejected", "Attempts that nodes rejected.", func() uint64 { return stats.Rejections })
	m.addOutcomeCounter("unknown", "Attempts with an unknown outcome.", func() uint64 { return stats.UnknownOutcomes })
}

func (m *metrics) registerEngineGauges(s *Scheduler) {
	eng := s.engine
	m.addGauge("tasks_open", "Tasks without a final answer.", func() float64 { return float64(eng.OpenTasks()) })
	m.addGauge("admission_limit", "Learned limit on concurrent placement requests.", func() float64 { return eng.Admission().Limit() })
	m.addGauge("admission_queued", "Placement requests that wait for admission.", func() float64 { return float64(eng.Admission().QueueLength()) })
	m.addGauge("retry_budget", "Retries that the retry budget allows at once.", func() float64 { return eng.Admission().RetryBudget() })
	m.addGauge("nodes_ready", "Nodes that the inventory lists as ready or draining.", func() float64 {
		listed, _ := eng.NodeCounts()
		return float64(listed)
	})
	m.addGauge("nodes_watched", "Nodes whose tasks are being watched.", func() float64 {
		_, watched := eng.NodeCounts()
		return float64(watched)
	})
	m.addGauge("pods", "Pods stored.", func() float64 { return float64(eng.Store().Len(store.Pods)) })
	m.addGauge("objects_bytes", "Memory of the objects stored, counted high.", func() float64 { return float64(eng.Store().ObjectCost()) })
	m.addGauge("history_bytes", "Memory of the changes kept for watches, counted high.", func() float64 { return float64(eng.Store().HistoryCost()) })
	m.addGauge("revision", "Revision of the store after its last change.", func() float64 { return float64(eng.Store().Revision()) })
}

// registerServerMetrics registers the metrics of the API server, the HTTP server and the event loop. The
// functions access the HTTP server through s, because s.httpServer is set only after the metrics are
// registered.
func (m *metrics) registerServerMetrics(s *Scheduler) {
	m.addGauge("watches", "Open watches.", func() float64 { return float64(s.apiServer.OpenWatches()) })
	m.addGauge("connections", "Open API connections.", func() float64 { return float64(s.httpServer.Conns()) })
	m.addGauge("connections_bytes", "Memory that API connections hold: requests, bodies, answers that were not read.", func() float64 {
		return float64(s.httpServer.MemoryQuota().Used())
	})
	m.addGauge("connections_bytes_limit", "Memory that API connections may hold.", func() float64 { return float64(s.httpServer.MemoryQuota().Total()) })
	m.addCounter("connections_evicted_total", "API connections closed because they held too much memory.", func() uint64 { return s.httpServer.MemoryQuota().EvictedConnections })
	m.addCounter("bad_requests_total", "API requests that could not be parsed.", func() uint64 { return s.httpServer.BadRequests })
	m.addCounter("event_loop_iterations_total", "Iterations of the event loop.", func() uint64 { return s.loop.Iterations })
}

// countRequest counts an API request. All unknown methods share one series, so that a client cannot create an
// unlimited number of series.
func (m *metrics) countRequest(method string, code int) {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		method = "other"
	}
	m.requests.WithLabelValues(method, strconv.Itoa(code)).Inc()
}

// exposition returns all metrics in the Prometheus text format. If the metrics cannot be gathered, it
// returns the error as a comment, which Prometheus ignores.
func (m *metrics) exposition() []byte {
	families, err := m.registry.Gather()
	if err != nil {
		return []byte("# " + err.Error() + "\n")
	}
	var b bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&b, family); err != nil {
			break // unreachable: writes to a buffer do not fail, and every registered family has a name and a type
		}
	}
	return b.Bytes()
}
