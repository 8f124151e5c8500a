package placer

import (
	"math"
	"testing"
)

// newHalfFreeNode returns a ready node with 16 cores and 32 units of memory. In the node list, half of the
// cores and half of the memory are free.
func newHalfFreeNode() *trackedNode {
	node := newTrackedNode(1)
	node.State, node.listed = Ready, true
	node.cores, node.memory = 16, 32
	node.FreeCores, node.FreeMemory = 8, 16
	return node
}

func TestFreeCapacityEstimate(t *testing.T) {
	const now = 100
	change := func(at Seconds) []capacityChange { return []capacityChange{{changedAt: at, cores: 2, memory: 3}} }
	report := func(at Seconds) nodeLoad {
		return nodeLoad{hasReport: true, reportedAt: at, report: Report{FreeCores: 4, FreeMemory: 5}}
	}
	for name, test := range map[string]struct {
		behavior NodeBehavior
		load     nodeLoad
		changes  []capacityChange
		want     freeCapacity
	}{
		"node list shows free capacity":                             {NodeBehavior{ListShowsCapacity: true}, nodeLoad{}, nil, freeCapacity{8, 16, true}},
		"node list does not show a recent change yet":               {NodeBehavior{ListShowsCapacity: true}, nodeLoad{}, change(98), freeCapacity{6, 13, true}},
		"node list already shows an old change":                     {NodeBehavior{ListShowsCapacity: true}, nodeLoad{}, change(97.9), freeCapacity{8, 16, true}},
		"load report shows free capacity":                           {NodeBehavior{}, report(97), nil, freeCapacity{4, 5, true}},
		"load report does not show a recent change yet":             {NodeBehavior{}, report(97), change(99), freeCapacity{2, 2, true}},
		"outdated load report is ignored":                           {NodeBehavior{}, report(96), change(99), freeCapacity{8, 16, false}},
		"load report shows capacity in use, not requested capacity": {NodeBehavior{ReportsUsage: true}, report(99), nil, freeCapacity{8, 16, false}},
		"neither node list nor load report shows free capacity":     {NodeBehavior{}, nodeLoad{}, nil, freeCapacity{8, 16, false}},
	} {
		t.Run(name, func(t *testing.T) {
			model := &capacityModel{behavior: test.behavior}
			node := newHalfFreeNode()
			node.load = test.load
			node.load.recentChanges = test.changes
			if got := model.estimateFree(now, node); got != test.want {
				t.Errorf("the estimated free capacity of the node is %+v, want %+v", got, test.want)
			}
			if len(node.load.recentChanges) != len(test.changes) {
				t.Error("estimateFree changed the load record of the node, want no change")
			}
		})
	}
}

func TestProjectedLoad(t *testing.T) {
	const now = 100
	loadWithReport := func(report Report) nodeLoad { return nodeLoad{hasReport: true, reportedAt: now, report: report} }
	notReported := math.NaN()
	listOnly, listAndUsage := NodeBehavior{ListShowsCapacity: true}, NodeBehavior{ListShowsCapacity: true, ReportsUsage: true}
	for name, test := range map[string]struct {
		behavior NodeBehavior
		load     nodeLoad
		task     Task
		want     projection
	}{
		// Tasks on the node request 8 of its 16 cores. The tolerated utilization is SaturationThreshold (1)
		// plus degradationTolerance (0.25) times DegradationRange (1), that is, 1.25.
		"utilization is estimated from requested cores": {listOnly, nodeLoad{}, Task{Cores: 4}, projection{true, 12.0/16 - 1.25}},
		"requested cores exceed overcommit limit":       {listOnly, nodeLoad{}, Task{Cores: 25}, projection{false, 0}},
		"requested memory exceeds overcommit limit":     {listOnly, nodeLoad{}, Task{Memory: 49}, projection{false, 0}},
		"load report contains utilization":              {listOnly, loadWithReport(Report{notReported, notReported, 1.5, 0}), Task{Cores: 4}, projection{true, 28.0/16 - 1.25}},
		"load report contains cores in use":             {listAndUsage, loadWithReport(Report{2, notReported, notReported, 0}), Task{Cores: 1}, projection{true, 15.0/16 - 1.25}},
		"load report shows almost all memory in use":    {listAndUsage, loadWithReport(Report{notReported, 2, notReported, 0}), Task{Memory: 1}, projection{false, 8.0/16 - 1.25}},
		"free capacity of the node is unknown":          {NodeBehavior{}, nodeLoad{saturationExcess: 7}, Task{Cores: 99}, projection{true, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &Config{NodeBehavior: test.behavior, Overcommit: Overcommit{Cores: 2, Memory: 2}}
			class := &Class{SaturationThreshold: 1, DegradationRange: 1}
			node := newHalfFreeNode()
			node.load = test.load
			if got := newCapacityModel(cfg).projectLoad(now, class, &test.task, node); got != test.want {
				t.Errorf("the projected load of the node is %+v, want %+v", got, test.want)
			}
			if node.load.saturationExcess != test.load.saturationExcess {
				t.Error("projectLoad changed the load record of the node, want no change")
			}
		})
	}
}

func TestUsageRatiosAreLearnedFromReports(t *testing.T) {
	const now = 100
	for name, test := range map[string]struct {
		freeCores                       float64 // free cores of the node; its free memory is twice this amount
		report                          Report
		wantCoresRatio, wantMemoryRatio float64 // ratios of used to requested capacity that the model must learn
	}{
		"report contains only utilization of cores":     {8, Report{math.NaN(), math.NaN(), 0.25, 0}, 0.5, 1},
		"report contains free cores and memory":         {8, Report{12, 28, math.NaN(), 0}, 0.5, 0.25},
		"requested capacity is too small to learn from": {15, Report{16, 32, 0, 0}, 1, 1},
		"report contains no values":                     {8, Report{math.NaN(), math.NaN(), math.NaN(), 0}, 1, 1},
		"more cores in use than requested":              {8, Report{math.NaN(), math.NaN(), 0.75, 0}, 1.5, 1},
		"neither cores nor memory are in use":           {8, Report{16, 32, 0, 0}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			model := newCapacityModel(&Config{NodeBehavior: NodeBehavior{ListShowsCapacity: true, ReportsUsage: true}})
			node := newHalfFreeNode()
			node.FreeCores, node.FreeMemory = test.freeCores, 2*test.freeCores
			model.observeReport(now, node, &test.report)
			if got := model.coresUsageRatio.mean; got != test.wantCoresRatio {
				t.Errorf("the learned ratio of used to requested cores is %v, want %v", got, test.wantCoresRatio)
			}
			if got := model.memoryUsageRatio.mean; got != test.wantMemoryRatio {
				t.Errorf("the learned ratio of used to requested memory is %v, want %v", got, test.wantMemoryRatio)
			}
			if !node.load.hasReport || node.load.reportedAt != now {
				t.Error("the load report of the node was not recorded or has a wrong time, want it recorded with the time at which it arrived")
			}
		})
	}
}

// The load record of a node has an entry for each pending attempt. When the node accepts an attempt, only the
// entry for this attempt must be removed. Another attempt may have been sent to the same node at the same
// time, so the time alone does not identify the entry.
func TestNodeLoadRecordsAttempts(t *testing.T) {
	request := &placementRequest{Task: Task{Cores: 2, Memory: 3}}
	sentAttempt := &attempt{request: request, sentAt: 100}
	var load nodeLoad
	load.attemptSent(100, &Task{Cores: 1, Memory: 1})
	load.attemptSent(100, &request.Task)
	load.attemptBound(101, sentAttempt)
	if load.countRecentlyBoundTasks(101) != 1 || len(load.recentChanges) != 2 || load.recentChanges[0].cores != 1 {
		t.Fatalf("after a node accepted one of two attempts, the load record contains %+v, want one entry for the pending attempt and one for the bound task", load.recentChanges)
	}
	load.taskEnded(102, &request.Task)
	if lastChange := load.recentChanges[2]; lastChange.cores != -2 || lastChange.memory != -3 || lastChange.isBoundTask {
		t.Fatalf("after the end of the task, the last entry of the load record is %+v, want an entry with -2 cores and -3 units of memory that is not for a bound task", lastChange)
	}
	if load.countRecentlyBoundTasks(103.1) != 0 || load.retainedBoundTasks != 1 {
		t.Error("after the contender window of 2 s and before a call of dropOldChanges, the bound task still counts as recently accepted, or its entry was removed; want it not to count as recently accepted, and its entry to be retained")
	}
	load.dropOldChanges(103.1)
	if load.retainedBoundTasks != 0 || len(load.recentChanges) != 1 {
		t.Errorf("after dropOldChanges, the load record contains %+v, want only the entry for the end of the task", load.recentChanges)
	}
}
