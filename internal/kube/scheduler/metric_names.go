//go:build linux

package scheduler

// formerMetricNames maps current names of metrics to the names that they had in release 0.1. Each metric is
// exported under both names, which both have the prefix heathshed_.
var formerMetricNames = map[string]string{
	"placement_requests_total":                   "asks_total",
	"placement_retries_total":                    "asked_again_total",
	"placement_requests_shed_total":              "asks_shed_total",
	"attempts_total":                             "offers_total",
	`attempt_outcomes_total{outcome="accepted"}`: "offers_accepted_total",
	`attempt_outcomes_total{outcome="rejected"}`: "offers_refused_total",
	`attempt_outcomes_total{outcome="unknown"}`:  "offers_in_doubt_total",
	"attempts_adopted_total":                     "adopted_total",
	"tasks_recovered_total":                      "taken_over_total",
	"stop_orders_total":                          "stops_total",
	"tasks_rejected_total":                       "tasks_refused_total",
	"tasks_migrated_total":                       "tasks_moved_total",
	"jobs_rejected_total":                        "jobs_turned_away_total",
	"admission_limit":                            "gate_limit",
	"admission_queued":                           "gate_waiting",
	"retry_budget":                               "gate_budget",
	"nodes_ready":                                "machines_ready",
	"nodes_watched":                              "machines_heard",
	"connections_evicted_total":                  "connections_cut_total",
	"event_loop_iterations_total":                "loop_turns_total",
}
