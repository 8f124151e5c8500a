package placer

import "testing"

// A node stays in use until its last task has ended or was migrated. A node on standby (in reserve) must thus
// get no attempts, and its last task must be migrated. Without migration, the node would stay in use until
// the longest of its tasks ends. The task must be migrated only once.
func TestStandbyNodesGetNoAttemptsAndLastTaskIsMigrated(t *testing.T) {
	config := testConfig()
	config.Costs.Node, config.Costs.Migration = 0.2, 0.05
	nodes := testNodes(6)
	placer := newTestPlacer(t, config, 1, nodes)
	adoptTask(placer, 900, 1, 0)
	for i := range 20 {
		if attempt := requireOneAttempt(t, requestPlacement(placer, 100.1+Seconds(i)/100, newTestTask(i+1, 0))); placer.nodes.byID[attempt.Node].standby.onStandby {
			t.Fatalf("an attempt was made on node %d, which is on standby (in reserve); want attempts only on active nodes", attempt.Node)
		} else {
			bindAttempt(placer, 100.1+Seconds(i)/100, attempt)
		}
	}
	migrated := false
	for i := range 40 {
		placer.consolidator.migrateFromStandby(101 + Seconds(i)/10)
		for _, action := range actionsOfKind(placer.actions.takeActions(), Migrate) {
			if action.Task != 900 || migrated {
				t.Fatalf("got action %+v, want exactly one Migrate action, which must be for task 900", action)
			}
			migrated = true
		}
	}
	if !migrated {
		t.Fatal("the last task on a node on standby (in reserve) was not migrated, want one Migrate action for task 900")
	}
}

// If nodes acknowledge a task only when it starts, an attempt is unanswered until then, and a busy scheduler
// almost always has an unanswered attempt. If an unanswered attempt prevented migrations, the last tasks on a
// node on standby (in reserve) would almost never be migrated.
func TestMigrationFromStandbyWhileTasksStart(t *testing.T) {
	config := testConfig()
	config.Costs.Node, config.Costs.Migration = 0.2, 0.05
	placer := newTestPlacer(t, config, 1, testNodes(6))
	adoptTask(placer, 900, 1, 0)
	requireOneAttempt(t, requestPlacement(placer, 100.1, newTaskWithDeadline(1, 0, 110)))
	for _, at := range []Seconds{101, 103.5, 104} {
		placer.consolidator.migrateFromStandby(at)
	}
	if len(actionsOfKind(placer.actions.takeActions(), Migrate)) == 0 && !placer.requests.byID[900].migrated {
		t.Fatal("no task was migrated off the node on standby while an attempt on another node was unanswered, want one migration")
	}
}

// A node in slow start can take only a few tasks. If its capacity were added to the capacity of the active
// nodes, the active nodes would appear sufficient for all tasks. The nodes that are not in slow start would
// then be put on standby (in reserve), although only they can take many tasks.
func TestNodesInSlowStartDoNotCountAsActiveCapacity(t *testing.T) {
	config := testConfig()
	config.Costs.Node = 0.2
	nodes := testNodes(12)
	for i := range nodes {
		nodes[i].FreeCores *= 0.5
		nodes[i].FreeMemory *= 0.5
		if i%2 > 0 {
			nodes[i].StartedAt = 99.5
		}
	}
	placer := newTestPlacer(t, config, 1, nodes)
	requestPlacement(placer, 100.1, newTestTask(1, 0))
	for _, node := range placer.nodes.allNodes {
		if node.standby.onStandby && node.StartedAt == 0 {
			t.Fatalf("node %d, which is not in slow start, was put on standby; want it to stay active, because half of the nodes are in slow start", node.ID)
		}
	}
}

func TestMayMigrateFrom(t *testing.T) {
	const now = 100
	for name, test := range map[string]struct {
		standby   standbyRecord
		freeCores float64 // free cores of the node, which has 16; its free memory is twice this amount
		ownTasks  int     // number of tasks of this scheduler that run on the node
		want      bool
	}{
		"node on standby is nearly empty":           {standbyRecord{onStandby: true, standbySince: 98}, 12, 1, true},
		"node on standby is not nearly empty":       {standbyRecord{onStandby: true, standbySince: 98}, 11, 1, false},
		"node was put on standby less than 2 s ago": {standbyRecord{onStandby: true, standbySince: 98.1}, 12, 1, false},
		"node is active":                            {standbyRecord{standbySince: 98}, 12, 1, false},
		"node has no task of this scheduler":        {standbyRecord{onStandby: true, standbySince: 98}, 12, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			consolidation := &consolidator{capacity: newCapacityModel(&Config{NodeBehavior: NodeBehavior{ListShowsCapacity: true}})}
			node := newHalfFreeNode()
			node.standby = test.standby
			node.FreeCores, node.FreeMemory = test.freeCores, 2*test.freeCores
			for range test.ownTasks {
				node.tasks.addAdopted(&attempt{request: &placementRequest{}})
			}
			if got := consolidation.mayMigrateFrom(now, node); got != test.want {
				t.Errorf("mayMigrateFrom returned %v for the node, want %v", got, test.want)
			}
		})
	}
}

func TestDemandFits(t *testing.T) {
	consolidation := &consolidator{cfg: &Config{Overcommit: Overcommit{Cores: 2, Memory: 1.5}}, saturationThreshold: 0.9}
	for name, test := range map[string]struct {
		demand capacityDemand
		want   bool
	}{
		"demand is at most 80% of all limits":       {capacityDemand{160, 120, 72, 73.6}, true},
		"requested cores exceed 80% of the limit":   {capacityDemand{161, 120, 72, 73.6}, false},
		"requested memory exceeds 80% of the limit": {capacityDemand{160, 121, 72, 73.6}, false},
		"cores in use exceed 80% of the limit":      {capacityDemand{160, 120, 73, 73.6}, false},
		"memory in use exceeds 80% of the limit":    {capacityDemand{160, 120, 72, 73.7}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := consolidation.demandFits(test.demand, 100, 100, 0.8); got != test.want {
				t.Errorf("demandFits returned %v for the fraction 0.8 and active nodes with 100 cores and 100 units of memory, want %v", got, test.want)
			}
		})
	}
}
