package placer

import "testing"

func TestSpreadRule(t *testing.T) {
	node := func(id NodeID, rack, zone int) *trackedNode {
		listed := newTrackedNode(id)
		listed.listed, listed.Rack, listed.Zone = true, rack, zone
		return listed
	}
	running, rackNeighbor, zoneNeighbor, elsewhere := node(1, 1, 1), node(2, 1, 1), node(3, 2, 1), node(4, 3, 2)
	for name, test := range map[string]struct {
		domain TopologyDomain
		on     *trackedNode // node on which two tasks of the service run
		node   *trackedNode
		want   bool
	}{
		"no spread domain":           {NoDomain, running, running, true},
		"same node":                  {NodeDomain, running, running, false},
		"another node":               {NodeDomain, running, rackNeighbor, true},
		"same rack":                  {RackDomain, running, rackNeighbor, false},
		"another rack":               {RackDomain, running, zoneNeighbor, true},
		"same zone":                  {ZoneDomain, running, zoneNeighbor, false},
		"another zone":               {ZoneDomain, running, elsewhere, true},
		"cluster":                    {ClusterDomain, running, elsewhere, false},
		"tasks on an unlisted node":  {RackDomain, newTrackedNode(5), elsewhere, false},
		"unlisted node, node domain": {NodeDomain, newTrackedNode(5), elsewhere, true},
	} {
		t.Run(name, func(t *testing.T) {
			const service = 7
			class := &Class{SpreadDomain: test.domain, MaxPerDomain: 2}
			first := &attempt{node: test.on, request: &placementRequest{Task: Task{Service: service}}}
			second := &attempt{node: test.on, request: &placementRequest{Task: Task{Service: service}}}
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
