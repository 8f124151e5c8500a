// Package retry decides what a client does next if its task does not run after a placement request. A Policy
// decides whether and when the client requests placement again, for example after a rejection, a failure or an
// eviction. A Backoff computes the delay before a failed call is repeated.
//
// Package kube/engine, the core of the scheduler behind the Kubernetes API, follows a Policy. Package
// platform/server delays its dials by a Backoff.
//
// The package reads no clock and draws no random numbers: callers pass in the time and the random numbers.
// Package placer, not this package, decides on which node a task runs.
package retry
