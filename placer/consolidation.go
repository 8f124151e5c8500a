package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Constants of consolidation, which concentrates the tasks on few nodes if nodes in use have a cost. Each
// ready node is either active or on standby. A node on standby gets a task only if no active node can take
// the task.
const (
	// consolidationTarget is the fraction of the active nodes' capacity limits that must be in use before
	// another node is made active.
	consolidationTarget = 0.8
	// consolidationHysteresisFactor is the factor by which consolidationTarget is lowered for nodes that are
	// active. An active node is put on standby only if the nodes before it in the order of activation can
	// take all tasks at the lower target.
	consolidationHysteresisFactor = 0.95
	// minActiveNodes is the number of nodes that are always active. They are never put on standby, that is,
	// in reserve.
	minActiveNodes = 2
	// standbyUpdateInterval is the shortest time between two decisions about which nodes are active and which
	// are on standby, that is, in reserve.
	standbyUpdateInterval = contenderWindow / 20
	// migrationInterval is the mean time between two checks by one scheduler whether it can migrate a task
	// off a node on standby, that is, in reserve. Each check migrates at most one task.
	migrationInterval = 0.1 * contenderWindow
	// minStandbyTime is the time that a node must have been on standby, that is, in reserve, before its last
	// tasks are migrated to other nodes.
	minStandbyTime = contenderWindow
	// nearlyEmptyFraction defines when a node counts as nearly empty: its tasks request at most this fraction
	// of its cores and at most this fraction of its memory. A node on standby, that is, in reserve, must be
	// nearly empty before tasks are migrated off it.
	nearlyEmptyFraction = 0.3
)

// consolidator puts nodes on standby if nodes in use have a cost and fewer nodes are sufficient for the
// tasks. A node on standby gets a task only if no active node can take the task.
type consolidator struct {
	cfg                 *Config
	nodes               *nodeTable
	capacity            *capacityModel
	slowStart           *slowStart
	actions             *actionList
	rng                 *rand.Rand
	saturationThreshold float64 // lowest SaturationThreshold of all task classes

	readyNodes        []*trackedNode // ready nodes, in the order in which they are made active
	standbyComputed   bool           // the set of standby nodes has been computed at least once
	standbyComputedAt Seconds
}

// standbyRecord is the part of a node's record that only the consolidator changes.
type standbyRecord struct {
	onStandby    bool
	standbySince Seconds // time at which the node was last put on standby (in reserve)
}

// enabled reports whether consolidation is enabled. It requires a node cost and node lists that show the free
// capacity.
func (c *consolidator) enabled() bool {
	return c.cfg.Costs.Node > 0 && c.cfg.NodeBehavior.ListShowsCapacity
}

// updateStandby decides again which nodes are active and which are on standby, unless the last decision was
// made less than standbyUpdateInterval ago. It makes nodes active until the active nodes can take all tasks
// with a margin, and puts the other nodes on standby. Large nodes are made active first, because a large node
// costs no more than a small one. Among nodes of equal size, those with low IDs come first. All schedulers
// receive the same node list and use the same order, so they make the same nodes active.
func (c *consolidator) updateStandby(now Seconds) {
	tooSoon := c.standbyComputed && now-c.standbyComputedAt < standbyUpdateInterval
	if !c.enabled() || tooSoon {
		return
	}
	c.standbyComputed = true
	c.standbyComputedAt = now
	demand := c.collectDemand(now)
	slices.SortFunc(c.readyNodes, func(a, b *trackedNode) int {
		if a.cores != b.cores {
			return cmp.Compare(b.cores, a.cores)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var activeCores, activeMemory float64
	for i, node := range c.readyNodes {
		targetFraction := consolidationTarget
		if !node.standby.onStandby {
			// The lower target applies to a node that is active now. It is put on standby only if all tasks
			// fit, with a larger margin, on the nodes before it in the order of activation. A node that is on
			// standby needs only a smaller margin to stay on standby. Without this difference, small changes
			// of the demand would repeatedly switch a node between active and standby. Each switch to standby
			// is costly, because the tasks on the node must end or be migrated before the node is no longer
			// in use.
			targetFraction *= consolidationHysteresisFactor
		}
		node.standby.setStandby(now, i >= minActiveNodes &&
			c.demandFits(demand, activeCores, activeMemory, targetFraction))
		// A node in slow start can take only a few tasks. If its capacity were added to the active capacity,
		// the active capacity would appear sufficient too early, and nodes that can take more tasks would be
		// put on standby.
		if node.health.failures == 0 && !c.slowStart.appliesTo(now, node) {
			activeCores += node.cores
			activeMemory += node.memory
		}
	}
}

// setStandby puts the node on standby (in reserve) or makes it active. It records the time at which an active
// node is put on standby.
func (s *standbyRecord) setStandby(now Seconds, onStandby bool) {
	if onStandby && !s.onStandby {
		s.standbySince = now
	}
	s.onStandby = onStandby
}

// capacityDemand holds the total capacity that all tasks on the listed nodes request, and the capacity that
// they are estimated to use.
type capacityDemand struct {
	requestedCores, requestedMemory float64
	usedCores, usedMemory           float64
}

// collectDemand returns the demand of all tasks on the listed nodes. It also stores the ready nodes in
// c.readyNodes, in the order of the node list.
func (c *consolidator) collectDemand(now Seconds) capacityDemand {
	var demand capacityDemand
	c.readyNodes = c.readyNodes[:0]
	for _, node := range c.nodes.allNodes {
		if !node.listed || node.State == Terminated || !(node.cores > 0) {
			continue
		}
		node.load.dropOldChanges(now)
		free := c.capacity.estimateFree(now, node)
		demand.requestedCores += node.cores - free.cores
		demand.requestedMemory += node.memory - free.memory
		if node.State == Ready {
			c.readyNodes = append(c.readyNodes, node)
		}
	}
	demand.usedCores = demand.requestedCores * c.capacity.coresUsageRatio.mean
	demand.usedMemory = demand.requestedMemory * c.capacity.memoryUsageRatio.mean
	return demand
}

// demandFits reports whether the demand is at most the given fraction of each capacity limit of the active
// nodes.
func (c *consolidator) demandFits(demand capacityDemand, activeCores, activeMemory, fraction float64) bool {
	return demand.usedCores <= activeCores*c.saturationThreshold*fraction &&
		demand.usedMemory <= activeMemory*maxMemoryUtilization*fraction &&
		demand.requestedCores <= activeCores*c.cfg.Overcommit.Cores*fraction &&
		demand.requestedMemory <= activeMemory*c.cfg.Overcommit.Memory*fraction
}

// migrateFromStandby migrates one task of this scheduler off a node that has been on standby (in reserve) for
// at least minStandbyTime. Without migration, the last tasks on the node would keep it in use until the
// longest of them ends.
func (c *consolidator) migrateFromStandby(now Seconds) {
	c.updateStandby(now)
	if c.cfg.Costs.Node <= c.cfg.Costs.Migration {
		return
	}
	for _, node := range c.readyNodes {
		node.load.dropOldChanges(now)
		if !c.mayMigrateFrom(now, node) {
			continue
		}
		boundAttempts := node.tasks.boundAttempts
		request := boundAttempts[c.rng.IntN(len(boundAttempts))].request
		if request.migrated {
			continue
		}
		request.markMigrated()
		c.actions.addAction(Action{Kind: Migrate, Task: request.ID})
		return
	}
}

// mayMigrateFrom reports whether a task of this scheduler may be migrated off the node. The node must be
// nearly empty and must have been on standby (in reserve) for minStandbyTime. Several schedulers may migrate
// tasks off the same node at the same time. If many tasks were on the node, the schedulers together would
// migrate many tasks at once.
func (c *consolidator) mayMigrateFrom(now Seconds, node *trackedNode) bool {
	free := c.capacity.estimateFree(now, node)
	requestedFraction := max((node.cores-free.cores)/node.cores, (node.memory-free.memory)/node.memory)
	nodeTooFull := requestedFraction > nearlyEmptyFraction
	standbyTooRecent := now-node.standby.standbySince < minStandbyTime
	return node.standby.onStandby && len(node.tasks.boundAttempts) > 0 && !standbyTooRecent && !nodeTooFull
}

// lowestSaturationThreshold returns the lowest saturation threshold of all task classes.
func lowestSaturationThreshold(classes []Class) float64 {
	lowest := math.Inf(1)
	for i := range classes {
		lowest = min(lowest, classes[i].SaturationThreshold)
	}
	return lowest
}
