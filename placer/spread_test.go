package placer

import "testing"

func TestSpreadRule(t *testing.T) {
	node := func(id NodeID, rack, zone int) *trackedNode {
		created := newTrackedNode(id)
		created.listed, created.Rack, created.Zone = true, rack, zone
		return created
	}
	occupiedNode, sameRackNode, sameZoneNode, otherZoneNode := node(1, 1, 1), node(2, 1, 1), node(3, 2, 1), node(4, 3, 2)
	for name, test := range map[string]struct {
		domain   TopologyDomain
		occupied *trackedNode // node that has two attempts for the service
		node     *trackedNode
		want     bool
	}{
		"no limit for any domain":                      {NoDomain, occupiedNode, occupiedNode, true},
		"limit per node, same node":                    {NodeDomain, occupiedNode, occupiedNode, false},
		"limit per node, another node":                 {NodeDomain, occupiedNode, sameRackNode, true},
		"limit per rack, same rack":                    {RackDomain, occupiedNode, sameRackNode, false},
		"limit per rack, another rack":                 {RackDomain, occupiedNode, sameZoneNode, true},
		"limit per zone, same zone":                    {ZoneDomain, occupiedNode, sameZoneNode, false},
		"limit per zone, another zone":                 {ZoneDomain, occupiedNode, otherZoneNode, true},
		"limit per cluster":                            {ClusterDomain, occupiedNode, otherZoneNode, false},
		"limit per rack, rack of the tasks is unknown": {RackDomain, newTrackedNode(5), otherZoneNode, false},
		"limit per node, rack of the tasks is unknown": {NodeDomain, newTrackedNode(5), otherZoneNode, true},
	} {
		t.Run(name, func(t *testing.T) {
			const service = 7
			class := &Class{SpreadDomain: test.domain, MaxPerDomain: 2}
			first := &attempt{node: test.occupied, request: &placementRequest{Task: Task{Service: service}}}
			second := &attempt{node: test.occupied, request: &placementRequest{Task: Task{Service: service}}}
			rule := newSpreadRule()
			rule.add(first)
			rule.add(second)
			if got := rule.allows(class, service, test.node); got != test.want {
				t.Errorf("a third task of the service is allowed: got %v, want %v", got, test.want)
			}
			if !rule.allows(class, service+1, test.node) {
				t.Error("the spread rule counts tasks of another service")
			}
			rule.remove(first)
			if !rule.allows(class, service, test.node) {
				t.Error("the spread rule still counts a task after its end")
			}
			rule.remove(second)
			if len(rule.attempts) != 0 {
				t.Error("the spread rule keeps a service that has no tasks")
			}
		})
	}
}
