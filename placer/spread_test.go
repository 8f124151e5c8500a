package placer

import "testing"

func TestSpreadRule(t *testing.T) {
	node := func(id NodeID, rack, zone int) *trackedNode {
		newNode := newTrackedNode(id)
		newNode.listed, newNode.Rack, newNode.Zone = true, rack, zone
		return newNode
	}
	occupiedNode, sameRackNode, sameZoneNode, otherZoneNode := node(1, 1, 1), node(2, 1, 1), node(3, 2, 1), node(4, 3, 2)
	for name, test := range map[string]struct {
		domain           TopologyDomain
		nodeWithAttempts *trackedNode // node on which the service has two attempts
		candidateNode    *trackedNode
		want             bool
	}{
		"there is no limit for any domain":                         {NoDomain, occupiedNode, occupiedNode, true},
		"limit is per node, candidate is the node of the tasks":    {NodeDomain, occupiedNode, occupiedNode, false},
		"limit is per node, candidate is another node":             {NodeDomain, occupiedNode, sameRackNode, true},
		"limit is per rack, candidate is in the rack of the tasks": {RackDomain, occupiedNode, sameRackNode, false},
		"limit is per rack, candidate is in another rack":          {RackDomain, occupiedNode, sameZoneNode, true},
		"limit is per zone, candidate is in the zone of the tasks": {ZoneDomain, occupiedNode, sameZoneNode, false},
		"limit is per zone, candidate is in another zone":          {ZoneDomain, occupiedNode, otherZoneNode, true},
		"limit is per cluster, candidate is in another zone":       {ClusterDomain, occupiedNode, otherZoneNode, false},
		"limit is per rack, rack of the tasks is unknown":          {RackDomain, newTrackedNode(5), otherZoneNode, false},
		"limit is per node, rack of the tasks is unknown":          {NodeDomain, newTrackedNode(5), otherZoneNode, true},
	} {
		t.Run(name, func(t *testing.T) {
			const service = 7
			class := &Class{SpreadDomain: test.domain, MaxPerDomain: 2}
			firstAttempt := &attempt{node: test.nodeWithAttempts, request: &placementRequest{Task: Task{Service: service}}}
			secondAttempt := &attempt{node: test.nodeWithAttempts, request: &placementRequest{Task: Task{Service: service}}}
			rule := newSpreadRule()
			rule.addAttempt(firstAttempt)
			rule.addAttempt(secondAttempt)
			if got := rule.allowsTask(class, service, test.candidateNode); got != test.want {
				t.Errorf("allowsTask returned %v for a third task of the service, want %v", got, test.want)
			}
			if !rule.allowsTask(class, service+1, test.candidateNode) {
				t.Error("the spread rule counts tasks of another service, want it to count only tasks of the same service")
			}
			rule.removeAttempt(firstAttempt)
			if !rule.allowsTask(class, service, test.candidateNode) {
				t.Error("the spread rule still counts an attempt after a call of removeAttempt, want it not to count the attempt")
			}
			rule.removeAttempt(secondAttempt)
			if len(rule.attemptsByService) != 0 {
				t.Error("the spread rule keeps a service that has no attempts left, want the service removed")
			}
		})
	}
}
