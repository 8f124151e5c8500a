package placer

// dedupMargin is the fraction of a task class's DedupWindow within which another attempt is permitted.
const dedupMargin = 0.9

// retryRule implements the rule on retries (rule 2). After an attempt with an unknown outcome, the task may
// be running. The rule decides which further attempts and which answers are then permitted.
type retryRule struct {
	cfg *Config
}

// allows reports whether the outcomes of the earlier attempts permit another attempt.
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

// allowsOn reports whether a request with an unknown outcome may be retried on the node. If the task class is
// idempotent by key, the node must be in the same DedupDomain as the node of the earlier attempt.
func (r *retryRule) allowsOn(now Seconds, request *placementRequest, node *trackedNode) bool {
	if !r.allows(now, request) {
		return false
	}
	class, earlier := r.cfg.class(request), request.unknownOutcome.node
	return class.Idempotency == Idempotent || sharesDomain(class.DedupDomain, earlier, node)
}

// safeToReject reports whether the client may request the task again without the risk that two copies run.
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
