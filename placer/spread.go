package placer

// spreadAllows reports whether one more task of the service may run in the node's domain (rule 5). It counts
// all own attempts and running tasks of the service without an outcome. A node that no list has named could
// be in any domain, so its tasks count in each.
func (p *Placer) spreadAllows(request *placementRequest, node *trackedNode) bool {
	class := p.class(request)
	if class.SpreadDomain == NoDomain {
		return true
	}
	count := 1
	for _, other := range p.attemptsByService[request.Service] {
		if other.node == node || mayShareDomain(class.SpreadDomain, other.node, node) {
			count++
		}
	}
	return count <= class.MaxPerDomain
}

// mayShareDomain reports whether a different node is or could be in the same rack, zone or cluster.
func mayShareDomain(domain TopologyDomain, other, node *trackedNode) bool {
	return domain != NodeDomain && (!other.listed || sharesDomain(domain, other, node))
}
