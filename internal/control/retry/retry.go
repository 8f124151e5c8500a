// Package retry holds what a client of a task does between its placement requests: a Policy decides whether and when to request placement
// again after a rejection, a failure or an eviction, and a Backoff spaces repeated calls that fail.
//
// It is pure: time and randomness are passed in. Where a task runs is decided by package placer.
package retry
