// Package retry decides how a client continues after a placement request for a task did not lead to a running
// task. A Policy decides whether and when the client requests placement again after a rejection, a failure or
// an eviction. A Backoff computes the delay before a failed call is repeated.
//
// Package engine, which schedules for the Kubernetes API, follows a Policy. Package server of the platform
// protocol delays its dials by a Backoff.
//
// The package reads no clock and draws no random numbers: callers pass in both. It does not decide on which
// node a task runs, which package placer does.
package retry
