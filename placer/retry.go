package placer

// dedupMargin is a fraction of Class.DedupWindow. After an attempt with an unknown outcome, another attempt
// is permitted only within this fraction of the window. The rest of the window is a safety margin.
const dedupMargin = 0.9

// retryRule implements the rule on retries. After an attempt with an unknown outcome, the task may be
// running. The rule then determines which further attempts and which final answers are permitted.
type retryRule struct {
	cfg *Config
}

// allowsRetry reports whether the outcomes of the earlier attempts permit another attempt.
func (r *retryRule) allowsRetry(now Seconds, request *placementRequest) bool {
	if request.unknownOutcomeAttempt == nil {
		return true
	}
	switch class := r.cfg.classOf(request); class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return now < request.unknownOutcomeAttempt.sentAt+dedupMargin*class.DedupWindow
	}
	return false
}

// allowsRetryOn reports whether a request may be retried on the node after an attempt with an unknown
// outcome. If the task class is idempotent by key, the node must be in the same DedupDomain as the node of
// that attempt.
func (r *retryRule) allowsRetryOn(now Seconds, request *placementRequest, node *trackedNode) bool {
	if !r.allowsRetry(now, request) {
		return false
	}
	class, earlierNode := r.cfg.classOf(request), request.unknownOutcomeAttempt.node
	return class.Idempotency == Idempotent || sharesDomain(class.DedupDomain, earlierNode, node)
}

// safeToReject reports whether Reject is a permitted final answer for the request. A client that receives
// Reject requests the task again. If an earlier attempt has started the task, the task then starts twice.
// Reject is safe if no attempt can have started the task, if its task class is idempotent, or if all nodes of
// the cluster ignore an idempotency key that one of them has received. While an attempt is outstanding,
// Reject is never permitted.
func (r *retryRule) safeToReject(request *placementRequest) bool {
	if request.outstandingAttempt() != nil {
		return false
	}
	if request.unknownOutcomeAttempt == nil {
		return true
	}
	class := r.cfg.classOf(request)
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupDomain == ClusterDomain
}
