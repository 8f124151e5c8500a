package nodesim

import "heathshed/placer"

// usageInterval is the time between updates of the resources that tasks use.
const usageInterval placer.Seconds = 1

const (
	// usageDrift is the range in which the fraction of its cores that a task uses changes at random from one update to the next.
	usageDrift = 0.04
	// A task starts with the fraction initialMemory of its final memory usage, and gains the fraction memoryGrowth per second.
	initialMemory = 0.4
	memoryGrowth  = 0.2
)

// updateUsage lets the usage of cores drift at random, and evicts tasks while memory is short.
func (n *Node) updateUsage() {
	for _, task := range n.activeTasks() {
		if task.Phase == Running {
			task.coresFactor = min(max(task.coresFactor+usageDrift*(n.rng.Float64()-0.5), n.cfg.Usage.Min), n.cfg.Usage.Max)
		}
	}
	n.sumUsage()
	for n.used.memory > n.cfg.Memory {
		victim := n.evictionCandidate()
		if victim == nil {
			break
		}
		n.terminate(victim, Terminated, Evicted)
	}
	n.schedule(n.now+usageInterval, n.updateUsage)
}

// evictionCandidate returns the running task of the lowest priority, and of several the one that exceeds its memory request by most. It returns nil
// if no task runs.
func (n *Node) evictionCandidate() *Task {
	var candidate *Task
	for _, task := range n.activeTasks() {
		if task.Phase == Running && (candidate == nil || evictedBefore(task, candidate)) {
			candidate = task
		}
	}
	return candidate
}

// evictedBefore reports whether task a is evicted before task b.
func evictedBefore(a, b *Task) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.UsedMemory-a.Memory > b.UsedMemory-b.Memory
}

// sumUsage computes the usage of the node anew, so that rounding errors of the running sums do not add up.
func (n *Node) sumUsage() {
	n.used = amount{}
	for _, task := range n.activeTasks() {
		if task.Phase == Running {
			task.UsedCores, task.UsedMemory = 0, 0
			n.measureTask(task)
		}
	}
}

// measureTask updates the usage of a task and the node's sum. Memory usage grows for three seconds after the start.
func (n *Node) measureTask(task *Task) {
	n.used.subtract(task.UsedCores, task.UsedMemory)
	task.UsedCores = task.Cores * task.coresFactor
	task.UsedMemory = task.Memory * task.memoryFactor * min(1, initialMemory+memoryGrowth*float64(n.now-task.startedAt))
	n.used.add(task.UsedCores, task.UsedMemory)
}
