package placer

import "math"

// Constants of the capacity model.
const (
	// reportMaxAge is an age in seconds. The free capacity in a node's load report is ignored if the report
	// is at least this old.
	reportMaxAge = 2.0 * contenderWindow
	// minRequestedFraction is the minimum fraction of a node's cores and of its memory that tasks must
	// request. If they request less, the node's load reports do not update the learned ratios of used to
	// requested capacity.
	minRequestedFraction = 0.2
	// usageLearningRate is the weight of a new measurement in the running averages of the ratios of used to
	// requested capacity.
	usageLearningRate = learningRate / 2
	// maxMemoryUtilization is the fraction of a node's memory that may be in use. Nodes slow down beyond this
	// fraction, and evict tasks when all memory is in use.
	maxMemoryUtilization = 0.92
	// degradationTolerance is a fraction of the DegradationRange of a task class. The cores of a node count
	// as saturated if their utilization exceeds SaturationThreshold by more than this fraction of the range.
	degradationTolerance = 0.25
)

// capacityModel estimates the free capacity and the load of nodes. It starts from the node list and from the
// load reports of the nodes. It then adds the recent changes of the requested capacity that this scheduler
// has caused, because the list and the reports may not show them yet. The model also learns the ratios of
// used to requested capacity, as averages over all nodes.
type capacityModel struct {
	behavior         NodeBehavior
	overcommit       Overcommit
	coresUsageRatio  runningAverage // cores in use per requested core, on all nodes
	memoryUsageRatio runningAverage // memory in use per unit of requested memory, on all nodes
}

func newCapacityModel(cfg *Config) *capacityModel {
	return &capacityModel{
		behavior:         cfg.NodeBehavior,
		overcommit:       cfg.Overcommit,
		coresUsageRatio:  runningAverage{mean: 1},
		memoryUsageRatio: runningAverage{mean: 1},
	}
}

// freeCapacity is the capacity of a node that no task has requested.
type freeCapacity struct {
	cores, memory float64
	known         bool // if false, cores and memory are set to half of the node's total capacity
}

// estimateFree returns the estimated free capacity of a node. It starts from the node list or from the load
// report of the node. It then subtracts the capacity of recently placed tasks and adds that of recently ended
// tasks of this scheduler, which the list or the report may not show yet.
func (m *capacityModel) estimateFree(now Seconds, node *trackedNode) freeCapacity {
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
	recentChanges := load.changesSince(now - contenderWindow)
	for i := range recentChanges {
		free.cores -= recentChanges[i].cores
		free.memory -= recentChanges[i].memory
	}
	return free
}

// usage returns the estimated cores and memory in use on a node. If the node has sent a recent report, the
// estimate is the reported usage plus the expected usage of the tasks placed since the report. Otherwise, it
// is the requested capacity multiplied by the learned ratio of used to requested capacity.
func (m *capacityModel) usage(now Seconds, node *trackedNode, free freeCapacity) (cores, memory float64) {
	cores = (node.cores - free.cores) * m.coresUsageRatio.mean
	memory = (node.memory - free.memory) * m.memoryUsageRatio.mean
	load := &node.load
	hasRecentReport := load.hasReport && now-load.reportedAt < contenderWindow
	if !hasRecentReport {
		return cores, memory
	}
	recentCores, recentMemory := 0.0, 0.0
	recentChanges := load.changesSince(now - contenderWindow)
	for i := range recentChanges {
		if change := &recentChanges[i]; change.changedAt > load.reportedAt-contenderWindow/2 {
			recentCores += change.cores * m.coresUsageRatio.mean
			recentMemory += change.memory * m.memoryUsageRatio.mean
		}
	}
	if !math.IsNaN(load.report.Utilization) {
		cores = load.report.Utilization*node.cores + recentCores
	} else if m.behavior.ReportsUsage && !math.IsNaN(load.report.FreeCores) {
		cores = node.cores - load.report.FreeCores + recentCores
	}
	if m.behavior.ReportsUsage && !math.IsNaN(load.report.FreeMemory) {
		// Recently started tasks do not use all their memory yet, so the node may report less memory in use
		// than its tasks will need. The model uses the reported memory only if it exceeds the memory that the
		// tasks are expected to use.
		memory = max(memory, node.memory-load.report.FreeMemory+recentMemory)
	}
	return cores, memory
}

// projection is the expected load of a node with one more task.
type projection struct {
	fits             bool    // the node has capacity for the task, or its free capacity is unknown
	saturationExcess float64 // utilization of the cores minus the utilization that the task class tolerates
}

// projectLoad returns the expected load of a node with one more task of the given task class. If the free
// capacity of the node is unknown or insufficient, it does not compute the saturation excess. The result then
// contains the saturation excess that was last recorded for the node.
func (m *capacityModel) projectLoad(now Seconds, class *Class, task *Task, node *trackedNode) projection {
	lastExcess := node.load.saturationExcess
	free := m.estimateFree(now, node)
	if !free.known {
		return projection{fits: true, saturationExcess: lastExcess}
	}
	if free.cores+(m.overcommit.Cores-1)*node.cores < task.Cores ||
		free.memory+(m.overcommit.Memory-1)*node.memory < task.Memory {
		return projection{fits: false, saturationExcess: lastExcess}
	}
	// A node may accept tasks that need more memory than it has. When its memory is almost full, the node
	// slows down or evicts tasks. The evicted tasks are then placed on other nodes, where they cause further
	// evictions. To avoid this, the task does not fit if too much memory would be in use.
	usedCores, usedMemory := m.usage(now, node, free)
	threshold := class.SaturationThreshold + class.DegradationRange*degradationTolerance
	memoryFits := usedMemory+task.Memory*m.memoryUsageRatio.mean <= maxMemoryUtilization*node.memory
	return projection{
		fits:             memoryFits || !m.behavior.ReportsUsage,
		saturationExcess: (usedCores+task.Cores*m.coresUsageRatio.mean)/node.cores - threshold,
	}
}

// observeUsage updates the ratios of used to requested capacity from the usage of one task of this scheduler.
// A scheduler with few tasks may wait long for its first load report of a node. Until then, it estimates the
// ratios for all tasks from the usage of its own tasks.
func (m *capacityModel) observeUsage(task *Task, kind UsageKind, value float64) {
	switch kind {
	case CoresUsed:
		addUsageEstimate(&m.coresUsageRatio, value, task.Cores)
	case MemoryUsed:
		addUsageEstimate(&m.memoryUsageRatio, value, task.Memory)
	}
}

func addUsageEstimate(average *runningAverage, used, requested float64) {
	if requested > 0 {
		average.addEstimate(min(used/requested, 1), usageLearningRate)
	}
}

// observeReport records the load report of a node. It also uses the report to update the ratio of used to
// requested cores and the ratio of used to requested memory.
func (m *capacityModel) observeReport(now Seconds, node *trackedNode, report *Report) {
	node.load.setReport(now, report)
	node.load.dropOldChanges(now)
	free := m.estimateFree(now, node)
	requestedCores, requestedMemory := node.cores-free.cores, node.memory-free.memory
	if !free.known || requestedCores < node.cores*minRequestedFraction ||
		requestedMemory < node.memory*minRequestedFraction {
		return
	}
	if !math.IsNaN(report.Utilization) {
		m.coresUsageRatio.addSample(report.Utilization*node.cores/requestedCores, usageLearningRate)
	} else if m.behavior.ReportsUsage && !math.IsNaN(report.FreeCores) {
		m.coresUsageRatio.addSample((node.cores-report.FreeCores)/requestedCores, usageLearningRate)
	}
	if m.behavior.ReportsUsage && !math.IsNaN(report.FreeMemory) {
		m.memoryUsageRatio.addSample((node.memory-report.FreeMemory)/requestedMemory, usageLearningRate)
	}
}
