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
	// metricsNamespace begins the name of every metric: heathshed_attempts_total is "attempts_total" in this file.
	metricsNamespace = "heathshed"
	attemptOutcomes  = "attempt_outcomes_total" // with the label outcome
)

// metrics are the scheduler's figures in Prometheus form. They are read and written on the loop.
//
// Names are part of the API: a metric that got another name is exported under its former one as well, see formerMetricNames.
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

// counter registers a counter under its present name and its former one, if it has one.
func (m *metrics) counter(name, help string, value func() uint64) {
	m.registerCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, value)
	if former, renamed := formerMetricNames[name]; renamed {
		m.registerCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: former, Help: deprecatedHelp(name, help)}, value)
	}
}

// outcomeCounter registers the counter of attempts with an outcome, and the counter of this outcome alone that it replaces.
func (m *metrics) outcomeCounter(outcome, help string, value func() uint64) {
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

// gauge registers a gauge under its present name and its former one, if it has one.
func (m *metrics) gauge(name, help string, value func() float64) {
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

// deprecatedHelp returns the help text of a metric under its former name.
func deprecatedHelp(series, help string) string {
	return fmt.Sprintf("Deprecated: use %s_%s. %s", metricsNamespace, series, help)
}

// registerEngineCounters registers the counters that the engine keeps: each metric beside the field of engine.Stats that it exports. The
// functions that count are found by a search for the field.
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
		m.counter(c.name, c.help, func() uint64 { return *c.value })
	}
	m.outcomeCounter("accepted", "Attempts that nodes accepted.", func() uint64 { return stats.Accepted })
	m.outcomeCounter("rejected", "Attempts that nodes rejected.", func() uint64 { return stats.Rejections })
	m.outcomeCounter("unknown", "Attempts with an unknown outcome.", func() uint64 { return stats.UnknownOutcomes })
}

func (m *metrics) registerEngineGauges(s *Scheduler) {
	core := s.engine
	m.gauge("tasks_open", "Tasks without a final answer.", func() float64 { return float64(core.OpenTasks()) })
	m.gauge("admission_limit", "Learned limit on concurrent placement requests.", func() float64 { return core.Admission().Limit() })
	m.gauge("admission_queued", "Placement requests that wait for admission.", func() float64 { return float64(core.Admission().QueueLength()) })
	m.gauge("retry_budget", "Retries that the retry budget allows at once.", func() float64 { return core.Admission().RetryBudget() })
	m.gauge("nodes_ready", "Nodes that the inventory lists as ready or draining.", func() float64 {
		listed, _ := core.NodeCounts()
		return float64(listed)
	})
	m.gauge("nodes_watched", "Nodes whose tasks are being watched.", func() float64 {
		_, watched := core.NodeCounts()
		return float64(watched)
	})
	m.gauge("pods", "Pods stored.", func() float64 { return float64(core.Store().Len(store.Pods)) })
	m.gauge("objects_bytes", "Memory of the objects stored, counted high.", func() float64 { return float64(core.Store().ObjectCost()) })
	m.gauge("history_bytes", "Memory of the changes kept for watches, counted high.", func() float64 { return float64(core.Store().HistoryCost()) })
	m.gauge("revision", "Revision of the store after its last change.", func() float64 { return float64(core.Store().Revision()) })
}

// registerServerMetrics reads the servers through s: the HTTP server listens only after the metrics are registered.
func (m *metrics) registerServerMetrics(s *Scheduler) {
	m.gauge("watches", "Open watches.", func() float64 { return float64(s.apiServer.OpenWatches()) })
	m.gauge("connections", "Open API connections.", func() float64 { return float64(s.httpServer.Conns()) })
	m.gauge("connections_bytes", "Memory that API connections hold: requests, bodies, answers that were not read.", func() float64 {
		return float64(s.httpServer.MemoryQuota().Used())
	})
	m.gauge("connections_bytes_limit", "Memory that API connections may hold.", func() float64 { return float64(s.httpServer.MemoryQuota().Total()) })
	m.counter("connections_evicted_total", "API connections closed because they held too much memory.", func() uint64 { return s.httpServer.MemoryQuota().Evicted })
	m.counter("bad_requests_total", "API requests that could not be parsed.", func() uint64 { return s.httpServer.BadRequests })
	m.counter("event_loop_iterations_total", "Iterations of the event loop.", func() uint64 { return s.loop.Iterations })
}

// countRequest counts a request. Methods that the API does not know share one series, so that a peer cannot make any.
func (m *metrics) countRequest(method string, code int) {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		method = "other"
	}
	m.requests.WithLabelValues(method, strconv.Itoa(code)).Inc()
}

// exposition is the text that Prometheus reads. An error is a comment in it, which Prometheus ignores.
func (m *metrics) exposition() []byte {
	families, err := m.registry.Gather()
	if err != nil {
		return []byte("# " + err.Error() + "\n")
	}
	var b bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&b, family); err != nil {
			break // a buffer takes everything; a family without name or type is not registered
		}
	}
	return b.Bytes()
}
