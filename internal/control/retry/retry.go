// Package retry decides what happens between the placement requests for one task: a Policy decides whether and when to request placement
// again after a rejection, a failure or an eviction, and a Backoff delays repeated calls that fail.
//
// The Kubernetes front's engine follows a Policy. The platform's package server delays its dials by a Backoff.
//
// It is pure: time and randomness are passed in. Where a task runs is decided by package placer.
package retry
