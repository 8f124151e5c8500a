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
		occupied *trackedNode // node on which two tasks of the service run
		node     *trackedNode
		want     bool
	}{
		"no spread domain":           {NoDomain, occupiedNode, occupiedNode, true},
		"same node":                  {NodeDomain, occupiedNode, occupiedNode, false},
		"another node":               {NodeDomain, occupiedNode, sameRackNode, true},
		"same rack":                  {RackDomain, occupiedNode, sameRackNode, false},
		"another rack":               {RackDomain, occupiedNode, sameZoneNode, true},
		"same zone":                  {ZoneDomain, occupiedNode, sameZoneNode, false},
		"another zone":               {ZoneDomain, occupiedNode, otherZoneNode, true},
		"cluster":                    {ClusterDomain, occupiedNode, otherZoneNode, false},
		"tasks on an unlisted node":  {RackDomain, newTrackedNode(5), otherZoneNode, false},
		"unlisted node, node domain": {NodeDomain, newTrackedNode(5), otherZoneNode, true},
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
				t.Errorf("another task is allowed beside two tasks: got %v, want %v", got, test.want)
			}
			if !rule.allows(class, service+1, test.node) {
				t.Error("tasks of another service count for the spread rule")
			}
			rule.remove(first)
			if !rule.allows(class, service, test.node) {
				t.Error("a task still counts for the spread rule after its end")
			}
			rule.remove(second)
			if len(rule.attempts) != 0 {
				t.Error("the spread rule keeps a service that has no tasks")
			}
		})
	}
}
