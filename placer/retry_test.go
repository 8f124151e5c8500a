package placer

import "testing"

func TestRetryRule(t *testing.T) {
	const sentAt, dedupWindow = 100, 10
	node := func(id NodeID, rack int) *trackedNode {
		newNode := newTrackedNode(id)
		newNode.listed, newNode.Rack = true, rack
		return newNode
	}
	earlierNode, sameRackNode, otherRackNode := node(1, 1), node(2, 1), node(3, 2)
	idempotentByKey := func(domain TopologyDomain) Class {
		return Class{Idempotency: IdempotentByKey, DedupDomain: domain, DedupWindow: dedupWindow}
	}
	for name, test := range map[string]struct {
		class             Class
		outcomeIsKnown    bool
		now               Seconds
		allowsRetry       bool
		allowsOnSameRack  bool
		allowsOnOtherRack bool
		safeToReject      bool
	}{
		"no attempt has an unknown outcome":                           {Class{Idempotency: NonIdempotent}, true, 101, true, true, true, true},
		"task class is not idempotent":                                {Class{Idempotency: NonIdempotent}, false, 101, false, false, false, false},
		"task class is idempotent":                                    {Class{Idempotency: Idempotent}, false, 500, true, true, true, true},
		"task class is idempotent by key, DedupDomain is the rack":    {idempotentByKey(RackDomain), false, 108.9, true, true, false, false},
		"task class is idempotent by key, DedupDomain is the cluster": {idempotentByKey(ClusterDomain), false, 108.9, true, true, true, true},
		"task class is idempotent by key, DedupDomain is the node":    {idempotentByKey(NodeDomain), false, 108.9, true, false, false, false},
		"task class is idempotent by key, DedupWindow has ended":      {idempotentByKey(ClusterDomain), false, 109, false, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			rule := &retryRule{cfg: &Config{Classes: []Class{test.class}}}
			request := &placementRequest{}
			if !test.outcomeIsKnown {
				request.recordUnknownOutcome(&attempt{node: earlierNode, sentAt: sentAt})
			}
			if got := rule.allowsRetry(test.now, request); got != test.allowsRetry {
				t.Errorf("allowsRetry returned %v, want %v", got, test.allowsRetry)
			}
			if got := rule.safeToReject(request); got != test.safeToReject {
				t.Errorf("safeToReject returned %v, want %v", got, test.safeToReject)
			}
			if test.outcomeIsKnown {
				return // allowsRetryOn is called only after an unknown outcome
			}
			if got := rule.allowsRetryOn(test.now, request, sameRackNode); got != test.allowsOnSameRack {
				t.Errorf("allowsRetryOn returned %v for a node in the same rack, want %v", got, test.allowsOnSameRack)
			}
			if got := rule.allowsRetryOn(test.now, request, otherRackNode); got != test.allowsOnOtherRack {
				t.Errorf("allowsRetryOn returned %v for a node in another rack, want %v", got, test.allowsOnOtherRack)
			}
		})
	}
}

func TestRequestWithOutstandingAttemptIsNotRejected(t *testing.T) {
	rule := &retryRule{cfg: &Config{Classes: []Class{{}}}}
	request := &placementRequest{attempts: []*attempt{{state: attemptPending}}}
	if rule.safeToReject(request) {
		t.Error("safeToReject returned true while an attempt is outstanding, want false")
	}
	request.attempts[0].setState(attemptEnded)
	if !rule.safeToReject(request) {
		t.Error("safeToReject returned false after all attempts have ended, want true")
	}
}
