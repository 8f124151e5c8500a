package placer

import "math"

// Constants of the capacity model.
const (
	// reportMaxAge is the time after which a node's report of free capacity is ignored.
	reportMaxAge = 2.0 * contenderWindow
	// minRequestedShare is the fraction of a node's capacity that must be requested for its usage to be
	// learned from.
	minRequestedShare = 0.2
	// usageLearningRate is the weight of a new usage ratio in the running averages.
	usageLearningRate = learningRate / 2
	// memoryLimit is the fraction of a node's memory that may be in use. Beyond it nodes slow down; at 1 they
	// evict tasks.
	memoryLimit = 0.92
	// degradationTolerance is the fraction of a class's degradation range that is tolerated before the cores
	// of a node count as saturated.
	degradationTolerance = 0.25
)

// capacityModel estimates the free capacity and the load of nodes from the node list, from their reports,
// from own changes that neither shows yet, and from the learned ratio of used to requested capacity on all
// nodes.
type capacityModel struct {
	behavior    NodeBehavior
	overcommit  Overcommit
	coresUsage  runningAverage // cores in use per core requested, on all nodes
	memoryUsage runningAverage
}

func newCapacityModel(cfg *Config) *capacityModel {
	return &capacityModel{
		behavior:    cfg.NodeBehavior,
		overcommit:  cfg.Overcommit,
		coresUsage:  runningAverage{mean: 1},
		memoryUsage: runningAverage{mean: 1},
	}
}

// freeCapacity is the capacity of a node that no task has requested.
type freeCapacity struct {
	cores, memory float64
	known         bool // if not, the amounts are half of the node
}

// free returns the free capacity of a node, less own changes that the node list does not show yet.
func (m *capacityModel) free(now Seconds, node *trackedNode) freeCapacity {
	load := &node.load
	free := freeCapacity{known: true}
	switch {
	case m.behavior.ListShowsCapacity && node.listed:
		free.cores, free.memory = node.FreeCores, node.FreeMemory
	case load.hasReport && !m.behavior.ReportsUsage && now-load.reportedAt < reportMaxAge:
		free.cores, free.memory = load.report.FreeCores, load.report.FreeMemory
	default:
		return freeCapacity{cores: node.cores / 2, memory: node.memory / 2}
	}
	recent := load.changesSince(now - contenderWindow)
	for i := range recent {
		free.cores -= recent[i].cores
		free.memory -= recent[i].memory
	}
	return free
}

// usage returns the cores and memory in use on a node, estimated from a recent report and what was requested
// since, or from what is requested and the learned usage ratios.
func (m *capacityModel) usage(now Seconds, node *trackedNode, free freeCapacity) (cores, memory float64) {
	cores = (node.cores - free.cores) * m.coresUsage.mean
	memory = (node.memory - free.memory) * m.memoryUsage.mean
	load := &node.load
	hasRecentReport := load.hasReport && now-load.reportedAt < contenderWindow
	if !hasRecentReport {
		return cores, memory
	}
	recentCores, recentMemory := 0.0, 0.0
	recent := load.changesSince(now - contenderWindow)
	for i := range recent {
		if change := &recent[i]; change.at > load.reportedAt-contenderWindow/2 {
			recentCores += change.cores * m.coresUsage.mean
			recentMemory += change.memory * m.memoryUsage.mean
		}
	}
	if !math.IsNaN(load.report.Utilization) {
		cores = load.report.Utilization*node.cores + recentCores
	} else if m.behavior.ReportsUsage && !math.IsNaN(load.report.FreeCores) {
		cores = node.cores - load.report.FreeCores + recentCores
	}
	if m.behavior.ReportsUsage && !math.IsNaN(load.report.FreeMemory) {
		// Recently started tasks still grow.
		memory = max(memory, node.memory-load.report.FreeMemory+recentMemory)
	}
	return cores, memory
}

// projection is the expected load of a node with one more task.
type projection struct {
	fits             bool
	saturationExcess float64 // utilization of the cores beyond what the task's class tolerates
}

// project returns the load of a node with one more task of a class. Where too little is known to project the
// cores, the saturation is that of the last task for which it was projected.
func (m *capacityModel) project(now Seconds, class *Class, task *Task, node *trackedNode) projection {
	last := node.load.saturationExcess
	free := m.free(now, node)
	if !free.known {
		return projection{fits: true, saturationExcess: last}
	}
	if free.cores+(m.overcommit.Cores-1)*node.cores < task.Cores ||
		free.memory+(m.overcommit.Memory-1)*node.memory < task.Memory {
		return projection{fits: false, saturationExcess: last}
	}
	// A node may accept more than it can run well: close to full memory it slows down or evicts tasks, which
	// are then placed again and evict others.
	usedCores, usedMemory := m.usage(now, node, free)
	threshold := class.SaturationThreshold + class.DegradationRange*degradationTolerance
	memoryFits := usedMemory+task.Memory*m.memoryUsage.mean <= memoryLimit*node.memory
	return projection{
		fits:             memoryFits || !m.behavior.ReportsUsage,
		saturationExcess: (usedCores+task.Cores*m.coresUsage.mean)/node.cores - threshold,
	}
}

// observeUsage learns from the usage of an own task. A scheduler with few tasks may get the first report of a
// node late; until then the usage of its own tasks is an estimate for all tasks.
func (m *capacityModel) observeUsage(task *Task, kind UsageKind, value float64) {
	switch kind {
	case CoresUsed:
		addUsageEstimate(&m.coresUsage, value, task.Cores)
	case MemoryUsed:
		addUsageEstimate(&m.memoryUsage, value, task.Memory)
	}
}

func addUsageEstimate(average *runningAverage, used, requested float64) {
	if requested > 0 {
		average.addEstimate(min(used/requested, 1), usageLearningRate)
	}
}

// observeReport records a node's report and learns from it which fraction of the requested cores and memory
// is in use.
func (m *capacityModel) observeReport(now Seconds, node *trackedNode, report *Report) {
	node.load.setReport(now, report)
	node.load.dropOldChanges(now)
	free := m.free(now, node)
	requestedCores, requestedMemory := node.cores-free.cores, node.memory-free.memory
	if !free.known || requestedCores < node.cores*minRequestedShare ||
		requestedMemory < node.memory*minRequestedShare {
		return
	}
	if !math.IsNaN(report.Utilization) {
		m.coresUsage.add(report.Utilization*node.cores/requestedCores, usageLearningRate)
	} else if m.behavior.ReportsUsage && !math.IsNaN(report.FreeCores) {
		m.coresUsage.add((node.cores-report.FreeCores)/requestedCores, usageLearningRate)
	}
	if m.behavior.ReportsUsage && !math.IsNaN(report.FreeMemory) {
		m.memoryUsage.add((node.memory-report.FreeMemory)/requestedMemory, usageLearningRate)
	}
}
