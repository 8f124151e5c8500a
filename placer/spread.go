package placer

import "slices"

// spreadRule implements the spread rule, which limits the number of tasks of a service in one failure domain.
// It counts the outstanding attempts of this scheduler for the service, including those whose tasks run.
type spreadRule struct {
	attemptsByService map[ServiceID][]*attempt // outstanding attempts by service
}

func newSpreadRule() *spreadRule { return &spreadRule{attemptsByService: map[ServiceID][]*attempt{}} }

// addAttempt adds an attempt to the outstanding attempts of its service.
func (r *spreadRule) addAttempt(newAttempt *attempt) {
	service := newAttempt.request.Service
	r.attemptsByService[service] = append(r.attemptsByService[service], newAttempt)
}

// removeAttempt removes an attempt from the outstanding attempts of its service. It moves the last attempt of
// the service to the index of the removed attempt.
func (r *spreadRule) removeAttempt(endedAttempt *attempt) {
	service := endedAttempt.request.Service
	attempts := r.attemptsByService[service]
	if i := slices.Index(attempts, endedAttempt); i >= 0 {
		last := len(attempts) - 1
		attempts[i] = attempts[last]
		attempts[last] = nil
		attempts = attempts[:last]
	}
	if len(attempts) == 0 {
		delete(r.attemptsByService, service)
		return
	}
	r.attemptsByService[service] = attempts
}

// allowsTask reports whether one more task of the service may run in the failure domain of the node. The task
// class determines the kind of domain and the maximum number of tasks. A node that no node list has named
// could be in any rack or zone. Its tasks are thus included in the number of tasks in every rack and zone.
func (r *spreadRule) allowsTask(class *Class, service ServiceID, node *trackedNode) bool {
	if class.SpreadDomain == NoDomain {
		return true
	}
	taskCount := 1
	for _, otherAttempt := range r.attemptsByService[service] {
		if otherAttempt.node == node || mayShareDomain(class.SpreadDomain, otherAttempt.node, node) {
			taskCount++
		}
	}
	return taskCount <= class.MaxPerDomain
}

// sharesDomain reports whether two nodes are known to be in the same domain of the given kind.
func sharesDomain(domain TopologyDomain, a, b *trackedNode) bool {
	switch domain {
	case ClusterDomain:
		return true
	case ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	case RackDomain:
		return a.listed && b.listed && a.Rack == b.Rack
	}
	return a == b
}

// mayShareDomain reports whether two different nodes are, or could be, in the same rack, zone or cluster.
func mayShareDomain(domain TopologyDomain, a, b *trackedNode) bool {
	return domain != NodeDomain && (!a.listed || sharesDomain(domain, a, b))
}
