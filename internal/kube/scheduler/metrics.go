//go:build linux

package scheduler

import (
	"bytes"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
)

const metricsNamespace = "heathshed"

// metrics are the scheduler's figures in Prometheus form. They are read and written on the loop.
//
// Names and help texts are part of the API and stay as they were first published, also where a term has changed since.
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

func (m *metrics) counter(name, help string, value func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help},
		func() float64 { return float64(value()) },
	))
}

func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help},
		value,
	))
}

func (m *metrics) registerEngineCounters(stats *engine.Stats) {
	for _, c := range []struct {
		name, help string
		value      *uint64
	}{
		{"asks_total", "Placement requests submitted to the placer.", &stats.PlacementRequests},
		{"asked_again_total", "Placement requests after the first of a task.", &stats.Retries},
		{"asks_shed_total", "Placement requests shed by admission control.", &stats.Shed},
		{"offers_total", "Attempts sent to nodes.", &stats.Attempts},
		{"offers_accepted_total", "Attempts that nodes accepted.", &stats.Accepted},
		{"offers_refused_total", "Attempts that nodes rejected.", &stats.Rejections},
		{"offers_in_doubt_total", "Attempts with an unknown outcome.", &stats.UnknownOutcomes},
		{"adopted_total", "Attempts with an unknown outcome that were found running.", &stats.Adopted},
		{"taken_over_total", "Tasks adopted from nodes after a restart.", &stats.Recovered},
		{"stops_total", "Stop orders sent to nodes.", &stats.Stops},
		{"tasks_placed_total", "Tasks settled as placed.", &stats.Placed},
		{"tasks_refused_total", "Tasks settled as rejected.", &stats.Rejected},
		{"tasks_failed_total", "Tasks settled as failed.", &stats.Failed},
		{"tasks_lost_total", "Placed tasks lost with their node.", &stats.LostTasks},
		{"tasks_evicted_total", "Placed tasks evicted for memory.", &stats.EvictedTasks},
		{"tasks_moved_total", "Placed tasks migrated or evicted by order.", &stats.MigratedTasks},
		{"jobs_created_total", "Jobs accepted.", &stats.JobsCreated},
		{"jobs_finished_total", "Jobs finished.", &stats.JobsFinished},
		{"jobs_turned_away_total", "Jobs rejected because too many tasks are held.", &stats.JobsRejected},
	} {
		m.counter(c.name, c.help, func() uint64 { return *c.value })
	}
}

func (m *metrics) registerEngineGauges(s *Scheduler) {
	core := s.engine
	m.gauge("tasks_open", "Tasks without a final answer.", func() float64 { return float64(core.OpenTasks()) })
	m.gauge("gate_limit", "Learned limit on concurrent placement requests.", func() float64 { return core.Admission().Limit() })
	m.gauge("gate_waiting", "Placement requests that wait for admission.", func() float64 { return float64(core.Admission().QueueLength()) })
	m.gauge("gate_budget", "Retries that the retry budget allows at once.", func() float64 { return core.Admission().RetryBudget() })
	m.gauge("machines_ready", "Nodes that the inventory lists as ready or draining.", func() float64 {
		listed, _ := core.NodeCounts()
		return float64(listed)
	})
	m.gauge("machines_heard", "Nodes whose tasks are being watched.", func() float64 {
		_, watched := core.NodeCounts()
		return float64(watched)
	})
	m.gauge("pods", "Pods held.", func() float64 { return float64(core.Store().Len(store.Pods)) })
	m.gauge("objects_bytes", "Memory of the objects held, counted high.", func() float64 { return float64(core.Store().ObjectCost()) })
	m.gauge("history_bytes", "Memory of the changes kept for watches, counted high.", func() float64 { return float64(core.Store().HistoryCost()) })
	m.gauge("revision", "Revision of the last change.", func() float64 { return float64(core.Store().Rev()) })
}

// registerServerMetrics reads the servers through s: the HTTP server listens only after the metrics are registered.
func (m *metrics) registerServerMetrics(s *Scheduler) {
	m.gauge("watches", "Open watches.", func() float64 { return float64(s.apiServer.Watchers()) })
	m.gauge("connections", "Open API connections.", func() float64 { return float64(s.httpServer.Conns()) })
	m.gauge("connections_bytes", "Memory that API connections hold: requests, bodies, answers that were not read.", func() float64 {
		return float64(s.httpServer.Memory().Used())
	})
	m.gauge("connections_bytes_limit", "Memory that they may hold.", func() float64 { return float64(s.httpServer.Memory().Total()) })
	m.counter("connections_cut_total", "API connections closed because they held too much memory.", func() uint64 { return s.httpServer.Memory().Evicted })
	m.counter("bad_requests_total", "Requests that could not be read.", func() uint64 { return s.httpServer.BadRequests })
	m.counter("loop_turns_total", "Turns of the event loop.", func() uint64 { return s.loop.Iterations })
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
