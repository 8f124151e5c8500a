package placer

import "testing"

// Without migration, the last tasks on an unneeded node would keep the node in use until the longest of them
// ends. A standby node must get no attempts, and its last task must be migrated exactly once.
func TestStandbyNodesGetNoAttemptsAndLastTaskIsMigrated(t *testing.T) {
	config := testConfig()
	config.Costs.Node, config.Costs.Migration = 0.2, 0.05
	nodes := testNodes(6)
	placer := newTestPlacer(t, config, 1, nodes)
	adoptTask(placer, 900, 1, 0)
	for i := range 20 {
		if attempt := requireOneAttempt(t, requestPlacement(placer, 100.1+Seconds(i)/100, newTestTask(i+1, 0))); placer.nodes.byID[attempt.Node].standby.onStandby {
			t.Fatalf("an attempt was made on node %d, which is on standby", attempt.Node)
		} else {
			bindAttempt(placer, 100.1+Seconds(i)/100, attempt)
		}
	}
	migrated := false
	for i := range 40 {
		placer.consolidator.migrateFromStandby(101 + Seconds(i)/10)
		for _, action := range actionsOfKind(placer.actions.takeActions(), Migrate) {
			if action.Task != 900 || migrated {
				t.Fatalf("got action %+v, want exactly one migration, which must be of task 900", action)
			}
			migrated = true
		}
	}
	if !migrated {
		t.Fatal("the last task on a standby node was not migrated")
	}
}

// If nodes acknowledge a task only when it starts, some attempt is almost always unanswered. An unanswered
// attempt must not prevent the migration of the last tasks off a standby node.
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
		t.Fatal("no task was migrated off the standby node while another task was starting")
	}
}

// A node in slow start can take only a few tasks. If its capacity counted as active capacity, the active
// nodes would appear sufficient for all tasks. Nodes that are no longer in slow start would then be put on
// standby, although they could take more tasks.
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
			t.Fatalf("node %d was put on standby, although it is not in slow start and half of the nodes are", node.ID)
		}
	}
}

func TestMayMigrateFrom(t *testing.T) {
	const now = 100
	for name, test := range map[string]struct {
		standby   standbyRecord
		freeCores float64 // free cores of the node, which has 16; its free memory is twice this amount
		ownTasks  int
		want      bool
	}{
		"standby node is nearly empty":            {standbyRecord{onStandby: true, standbySince: 98}, 12, 1, true},
		"standby node is not nearly empty":        {standbyRecord{onStandby: true, standbySince: 98}, 11, 1, false},
		"node is on standby for too short a time": {standbyRecord{onStandby: true, standbySince: 98.1}, 12, 1, false},
		"node is active":                          {standbyRecord{standbySince: 98}, 12, 1, false},
		"node has no task of this scheduler":      {standbyRecord{onStandby: true, standbySince: 98}, 12, 0, false},
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
				t.Errorf("migration off the node is allowed: got %v, want %v", got, test.want)
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
		"demand within all limits":  {capacityDemand{160, 120, 72, 73.6}, true},
		"too many cores requested":  {capacityDemand{161, 120, 72, 73.6}, false},
		"too much memory requested": {capacityDemand{160, 121, 72, 73.6}, false},
		"too many cores in use":     {capacityDemand{160, 120, 73, 73.6}, false},
		"too much memory in use":    {capacityDemand{160, 120, 72, 73.7}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := consolidation.demandFits(test.demand, 100, 100, 0.8); got != test.want {
				t.Errorf("demand fits on 100 cores and 100 units of memory: got %v, want %v", got, test.want)
			}
		})
	}
}
