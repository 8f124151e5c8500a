package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Constants of consolidation: where nodes in use have a cost, unneeded nodes are kept on standby.
const (
	// consolidationTarget is the fraction of the open nodes' limits that is used before another node is
	// opened.
	consolidationTarget = 0.8
	// consolidationHysteresis is the fraction of consolidationTarget below which an open node is put on
	// standby.
	consolidationHysteresis = 0.95
	// minOpenNodes is the number of nodes that are never on standby.
	minOpenNodes = 2
	// standbyUpdateInterval is the shortest time between two choices of the standby nodes.
	standbyUpdateInterval = contenderWindow / 20
	// consolidationInterval is the mean time between two migrations by one scheduler.
	consolidationInterval = 0.1 * contenderWindow
	// minStandbyTime is the time after which the last tasks of a standby node are migrated.
	minStandbyTime = contenderWindow
	// nearlyEmptyShare is the fraction of a standby node that may be requested when its last tasks are
	// migrated.
	nearlyEmptyShare = 0.3
)

// consolidator puts nodes on standby where nodes in use have a cost and fewer nodes are sufficient.
type consolidator struct {
	cfg                 *Config
	nodes               *nodeTable
	capacity            *capacityModel
	slowStart           *slowStart
	actions             *actionList
	rng                 *rand.Rand
	saturationThreshold float64 // the lowest of all classes

	order     []*trackedNode // ready nodes, those that stay open first
	updated   bool           // the standby nodes were chosen at least once
	updatedAt Seconds
}

// standbyRecord is the part of a node's record that the consolidator owns.
type standbyRecord struct {
	active bool
	since  Seconds
}

// enabled reports whether unneeded nodes are put on standby at all.
func (c *consolidator) enabled() bool {
	return c.cfg.Costs.Node > 0 && c.cfg.NodeBehavior.ListShowsCapacity
}

// update chooses the standby nodes anew if they were chosen long enough ago. All schedulers see the same list
// and so choose the same nodes: large nodes stay open first, as each node costs the same, then those with low
// IDs. What is requested, at the learned usage, must fit on the open nodes with a margin.
func (c *consolidator) update(now Seconds) {
	tooSoon := c.updated && now-c.updatedAt < standbyUpdateInterval
	if !c.enabled() || tooSoon {
		return
	}
	c.updated = true
	c.updatedAt = now
	demand := c.collectDemand(now)
	slices.SortFunc(c.order, func(a, b *trackedNode) int {
		if a.cores != b.cores {
			return cmp.Compare(b.cores, a.cores)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var openCores, openMemory float64
	for i, node := range c.order {
		fill := consolidationTarget
		if !node.standby.active {
			// An open node stays open for a while: each change leaves tasks behind.
			fill *= consolidationHysteresis
		}
		node.standby.set(now, i >= minOpenNodes && c.demandFits(demand, openCores, openMemory, fill))
		// A warming node takes few tasks: counting it would put warm nodes on standby.
		if node.health.failures == 0 && !c.slowStart.warmingUp(now, node) {
			openCores += node.cores
			openMemory += node.memory
		}
	}
}

// set opens the node or puts it on standby, from now on if it was open.
func (s *standbyRecord) set(now Seconds, active bool) {
	if active && !s.active {
		s.since = now
	}
	s.active = active
}

// capacityDemand is the capacity that all tasks on the listed nodes request and use.
type capacityDemand struct {
	requestedCores, requestedMemory float64
	usedCores, usedMemory           float64
}

// collectDemand returns the demand on the listed nodes, and collects the ready nodes in c.order, in the order
// of the node list.
func (c *consolidator) collectDemand(now Seconds) capacityDemand {
	var demand capacityDemand
	c.order = c.order[:0]
	for _, node := range c.nodes.list {
		if !node.listed || node.State == Terminated || !(node.cores > 0) {
			continue
		}
		node.load.dropOldChanges(now)
		free := c.capacity.free(now, node)
		demand.requestedCores += node.cores - free.cores
		demand.requestedMemory += node.memory - free.memory
		if node.State == Ready {
			c.order = append(c.order, node)
		}
	}
	demand.usedCores = demand.requestedCores * c.capacity.coresUsage.mean
	demand.usedMemory = demand.requestedMemory * c.capacity.memoryUsage.mean
	return demand
}

// demandFits reports whether the demand fits in the fraction fill of each limit of the open nodes.
func (c *consolidator) demandFits(demand capacityDemand, openCores, openMemory, fill float64) bool {
	return demand.usedCores <= openCores*c.saturationThreshold*fill &&
		demand.usedMemory <= openMemory*memoryLimit*fill &&
		demand.requestedCores <= openCores*c.cfg.Overcommit.Cores*fill &&
		demand.requestedMemory <= openMemory*c.cfg.Overcommit.Memory*fill
}

// drain migrates one own task off a node that has been on standby for long: its last tasks would keep the
// node in use until the longest of them ends.
func (c *consolidator) drain(now Seconds) {
	c.update(now)
	if c.cfg.Costs.Node <= c.cfg.Costs.Migration {
		return
	}
	for _, node := range c.order {
		node.load.dropOldChanges(now)
		if !c.mayDrain(now, node) {
			continue
		}
		bound := node.tasks.bound
		request := bound[c.rng.IntN(len(bound))].request
		if request.migrated {
			continue
		}
		request.markMigrated()
		c.actions.add(Action{Kind: Migrate, Task: request.ID})
		return
	}
}

// mayDrain reports whether own tasks may be migrated off the node. It must be nearly empty, so that
// schedulers that do the same at once migrate few tasks.
func (c *consolidator) mayDrain(now Seconds, node *trackedNode) bool {
	free := c.capacity.free(now, node)
	requested := max((node.cores-free.cores)/node.cores, (node.memory-free.memory)/node.memory)
	tooFull := requested > nearlyEmptyShare
	tooRecent := now-node.standby.since < minStandbyTime
	return node.standby.active && len(node.tasks.bound) > 0 && !tooRecent && !tooFull
}

// lowestSaturationThreshold returns the lowest saturation threshold of all classes.
func lowestSaturationThreshold(classes []Class) float64 {
	lowest := math.Inf(1)
	for i := range classes {
		lowest = min(lowest, classes[i].SaturationThreshold)
	}
	return lowest
}
