package placer

import "math"

// Constants of what is learned of times and capacity.
const (
	// learningRate is the weight of a new time in the running averages.
	learningRate = 0.1
	// initialDeviationDivisor divides the first sample into the first deviation.
	initialDeviationDivisor = 2
	// reportMaxAge is the time after which a node's report of free capacity is ignored.
	reportMaxAge = 2.0 * contenderWindow
	// minRequestedShare is the part of a node that must be requested before its usage is learned from.
	minRequestedShare = 0.2
	// usageLearningRate is the weight of a new usage ratio in the running averages.
	usageLearningRate = learningRate / 2
)

// freeCapacity returns the cores and memory of a node that no task has requested, less own changes that the
// node list does not show yet. If nothing is known it returns half of the node and false.
func (p *Placer) freeCapacity(node *trackedNode) (cores, memory float64, known bool) {
	node.dropChangesBefore(p.now - contenderWindow)
	switch {
	case p.cfg.NodeBehavior.ListShowsCapacity && node.listed:
		cores, memory = node.FreeCores, node.FreeMemory
	case node.hasReport && !p.cfg.NodeBehavior.ReportsUsage && p.now-node.reportedAt < reportMaxAge:
		cores, memory = node.report.FreeCores, node.report.FreeMemory
	default:
		return node.cores / 2, node.memory / 2, false
	}
	for _, change := range node.recentChanges {
		cores -= change.cores
		memory -= change.memory
	}
	return cores, memory, true
}

// projectedUsage is the cores and memory in use on a node: by a recent report and what was requested since,
// or by what is requested and the learned usage ratios.
func (p *Placer) projectedUsage(node *trackedNode, freeCores, freeMemory float64) (cores, memory float64) {
	cores = (node.cores - freeCores) * p.coresUsage.mean
	memory = (node.memory - freeMemory) * p.memoryUsage.mean
	hasRecentReport := node.hasReport && p.now-node.reportedAt < contenderWindow
	if !hasRecentReport {
		return cores, memory
	}
	recentCores, recentMemory := 0.0, 0.0
	for _, change := range node.recentChanges {
		if change.at > node.reportedAt-contenderWindow/2 {
			recentCores += change.cores * p.coresUsage.mean
			recentMemory += change.memory * p.memoryUsage.mean
		}
	}
	if !math.IsNaN(node.report.Utilization) {
		cores = node.report.Utilization*node.cores + recentCores
	} else if p.cfg.NodeBehavior.ReportsUsage && !math.IsNaN(node.report.FreeCores) {
		cores = node.cores - node.report.FreeCores + recentCores
	}
	if p.cfg.NodeBehavior.ReportsUsage && !math.IsNaN(node.report.FreeMemory) {
		// Recently started tasks still grow.
		memory = max(memory, node.memory-node.report.FreeMemory+recentMemory)
	}
	return cores, memory
}

// handleUsage learns from the usage of an own task. A scheduler with few tasks waits long for the first
// report of a node; until then the usage of its own tasks is an estimate for all.
func (p *Placer) handleUsage(ev Event) {
	measured := p.findAttempt(ev)
	if measured == nil {
		return
	}
	request := measured.request
	switch ev.Usage {
	case Started:
		if measured.coldStart {
			p.coldStartTimes[request.Class].add(float64(p.now-measured.sentAt), learningRate)
		}
	case CoresUsed:
		addUsageEstimate(&p.coresUsage, ev.Value, request.Cores)
	case MemoryUsed:
		addUsageEstimate(&p.memoryUsage, ev.Value, request.Memory)
	}
}

func addUsageEstimate(average *runningAverage, used, requested float64) {
	if requested > 0 {
		average.addEstimate(min(used/requested, 1), usageLearningRate)
	}
}

// learnUsage learns from a node's report which part of the requested cores and memory is in use.
func (p *Placer) learnUsage(node *trackedNode) {
	freeCores, freeMemory, known := p.freeCapacity(node)
	if !known || node.cores-freeCores < node.cores*minRequestedShare ||
		node.memory-freeMemory < node.memory*minRequestedShare {
		return
	}
	report := &node.report
	if !math.IsNaN(report.Utilization) {
		p.coresUsage.add(report.Utilization*node.cores/(node.cores-freeCores), usageLearningRate)
	} else if p.cfg.NodeBehavior.ReportsUsage && !math.IsNaN(report.FreeCores) {
		p.coresUsage.add((node.cores-report.FreeCores)/(node.cores-freeCores), usageLearningRate)
	}
	if p.cfg.NodeBehavior.ReportsUsage && !math.IsNaN(report.FreeMemory) {
		p.memoryUsage.add((node.memory-report.FreeMemory)/(node.memory-freeMemory), usageLearningRate)
	}
}
