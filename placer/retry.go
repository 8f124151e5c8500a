package placer

// dedupMargin is the fraction of a class's deduplication window that is relied on.
const dedupMargin = 0.9

// retryRule decides what is permitted after an attempt whose outcome is unknown, since the task may be
// running (rule 2).
type retryRule struct {
	cfg *Config
}

// allows reports whether earlier attempts permit another one.
func (r *retryRule) allows(now Seconds, request *placementRequest) bool {
	if request.unknownOutcome == nil {
		return true
	}
	switch class := r.cfg.class(request); class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return now < request.unknownOutcome.sentAt+dedupMargin*class.DedupWindow
	}
	return false
}

// allowsOn reports whether a request with an unknown outcome may be retried on the node. With an
// idempotency key the node must be one of those that drop repeats of the earlier attempt.
func (r *retryRule) allowsOn(now Seconds, request *placementRequest, node *trackedNode) bool {
	if !r.allows(now, request) {
		return false
	}
	class, earlier := r.cfg.class(request), request.unknownOutcome.node
	return class.Idempotency == Idempotent || sharesDomain(class.DedupDomain, earlier, node)
}

// safeToReject reports whether the client may request the task again without a risk of two running copies.
func (r *retryRule) safeToReject(request *placementRequest) bool {
	if request.outstandingAttempt() != nil {
		return false
	}
	if request.unknownOutcome == nil {
		return true
	}
	class := r.cfg.class(request)
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupDomain == ClusterDomain
}
