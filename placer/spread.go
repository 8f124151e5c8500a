package placer

import "slices"

// spreadRule implements the spread rule (rule 5), which limits the number of tasks of a service in one
// failure domain. It counts the outstanding attempts of this scheduler for the service, including those whose
// tasks run.
type spreadRule struct {
	attempts map[ServiceID][]*attempt // outstanding attempts by service
}

func newSpreadRule() *spreadRule { return &spreadRule{attempts: map[ServiceID][]*attempt{}} }

// add adds an attempt to the attempts that count for its service.
func (r *spreadRule) add(started *attempt) {
	service := started.request.Service
	r.attempts[service] = append(r.attempts[service], started)
}

// remove removes an attempt from the attempts that count for its service. It moves the last attempt of the
// service to the index of the removed attempt.
func (r *spreadRule) remove(ended *attempt) {
	service := ended.request.Service
	attempts := r.attempts[service]
	if i := slices.Index(attempts, ended); i >= 0 {
		last := len(attempts) - 1
		attempts[i] = attempts[last]
		attempts[last] = nil
		attempts = attempts[:last]
	}
	if len(attempts) == 0 {
		delete(r.attempts, service)
		return
	}
	r.attempts[service] = attempts
}

// allows reports whether one more task of the service may run in the failure domain of the node. The task
// class of the service determines the kind of domain and the maximum. A node that no node list has named
// could be in any rack or zone, so its tasks count in every rack and zone.
func (r *spreadRule) allows(class *Class, service ServiceID, node *trackedNode) bool {
	if class.SpreadDomain == NoDomain {
		return true
	}
	count := 1
	for _, other := range r.attempts[service] {
		if other.node == node || mayShareDomain(class.SpreadDomain, other.node, node) {
			count++
		}
	}
	return count <= class.MaxPerDomain
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
func mayShareDomain(domain TopologyDomain, other, node *trackedNode) bool {
	return domain != NodeDomain && (!other.listed || sharesDomain(domain, other, node))
}
