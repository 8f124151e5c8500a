//go:build linux

package scheduler

import (
	"bytes"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"heathshed/internal/store"
)

// metrics are the scheduler's figures in Prometheus form. They are read and written on the loop.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
}

func newMetrics(s *Scheduler) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "heathshed", Name: "api_requests_total",
		Help: "API requests by method and status."}, []string{"method", "code"})
	m.registry.MustRegister(m.requests)
	counter := func(name, help string, f func() uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "heathshed", Name: name, Help: help},
			func() float64 { return float64(f()) }))
	}
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "heathshed", Name: name, Help: help}, f))
	}
	stats := &s.engine.Stats
	for _, c := range []struct {
		name, help string
		v          *uint64
	}{
		{"asks_total", "Asks brought to the placer.", &stats.PlacementRequests},
		{"asked_again_total", "Asks after the first of a task.", &stats.Retries},
		{"asks_shed_total", "Asks that the gate refused.", &stats.Shed},
		{"offers_total", "Offers sent to machines.", &stats.Attempts},
		{"offers_accepted_total", "Offers that machines accepted.", &stats.Accepted},
		{"offers_refused_total", "Offers that machines refused.", &stats.Rejections},
		{"offers_in_doubt_total", "Offers that ended without word whether they were accepted.", &stats.UnknownOutcomes},
		{"adopted_total", "Doubtful attempts found running.", &stats.Adopted},
		{"taken_over_total", "Tasks found on machines after a restart.", &stats.Recovered},
		{"stops_total", "Orders to stop sent to machines.", &stats.Stops},
		{"tasks_placed_total", "Tasks settled as placed.", &stats.Placed},
		{"tasks_refused_total", "Tasks settled as refused.", &stats.Rejected},
		{"tasks_failed_total", "Tasks settled as failed.", &stats.Failed},
		{"tasks_lost_total", "Placed tasks lost with their machine.", &stats.LostTasks},
		{"tasks_evicted_total", "Placed tasks evicted for memory.", &stats.EvictedTasks},
		{"tasks_moved_total", "Placed tasks moved or evicted by order.", &stats.MigratedTasks},
		{"jobs_created_total", "Jobs taken.", &stats.JobsCreated},
		{"jobs_finished_total", "Jobs finished.", &stats.JobsFinished},
		{"jobs_turned_away_total", "Jobs turned away because too many tasks are held.", &stats.JobsRejected},
	} {
		v := c.v
		counter(c.name, c.help, func() uint64 { return *v })
	}
	gauge("tasks_open", "Tasks without a final answer.", func() float64 { return float64(s.engine.OpenTasks()) })
	gauge("gate_limit", "Learned limit on asks under way.", func() float64 { return s.engine.Admission().Limit() })
	gauge("gate_waiting", "Asks that stand in line at the gate.", func() float64 { return float64(s.engine.Admission().QueueLength()) })
	gauge("pods", "Pods held.", func() float64 { return float64(s.engine.Store().Len(store.Pods)) })
	gauge("machines_ready", "Machines that the inventory lists as ready or draining.", func() float64 { n, _ := s.engine.NodeCounts(); return float64(n) })
	gauge("machines_heard", "Machines whose tasks are being watched.", func() float64 { _, n := s.engine.NodeCounts(); return float64(n) })
	gauge("watches", "Open watches.", func() float64 { return float64(s.apiServer.Watchers()) })
	gauge("connections", "Open API connections.", func() float64 { return float64(s.httpServer.Conns()) })
	gauge("connections_bytes", "Memory that API connections hold: requests, bodies, answers that were not read.",
		func() float64 { return float64(s.httpServer.Memory().Used()) })
	gauge("connections_bytes_limit", "Memory that they may hold.", func() float64 { return float64(s.httpServer.Memory().Total()) })
	counter("connections_cut_total", "API connections cut off because they held too much.", func() uint64 { return s.httpServer.Memory().Evicted })
	gauge("objects_bytes", "Memory of the objects held, counted high.", func() float64 { return float64(s.engine.Store().ObjectCost()) })
	gauge("history_bytes", "Memory of the changes kept for watches, counted high.", func() float64 { return float64(s.engine.Store().HistoryCost()) })
	gauge("gate_budget", "Asks that may be made again at once.", func() float64 { return s.engine.Admission().RetryBudget() })
	gauge("revision", "Revision of the last change.", func() float64 { return float64(s.engine.Store().Rev()) })
	counter("bad_requests_total", "Requests that could not be read.", func() uint64 { return s.httpServer.BadRequests })
	counter("loop_turns_total", "Turns of the event loop.", func() uint64 { return s.loop.Iterations })
	return m
}

func (m *metrics) countRequest(method string, code int) {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		method = "other" // a peer must not make series
	}
	m.requests.WithLabelValues(method, strconv.Itoa(code)).Inc()
}

func (m *metrics) exposition() []byte {
	var b bytes.Buffer
	families, err := m.registry.Gather()
	if err != nil {
		return []byte("# " + err.Error() + "\n")
	}
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			break
		}
	}
	return b.Bytes()
}
