package placer

import (
	"cmp"
	"math"
	"slices"
)

// Constants of consolidation: where nodes in use have a cost, unneeded nodes are kept on standby.
const (
	// consolidationTarget is the part of the open nodes' limits that is used before another node is opened.
	consolidationTarget = 0.8
	// consolidationHysteresis is the part of consolidationTarget below which an open node becomes a standby.
	consolidationHysteresis = 0.95
	// minOpenNodes is the number of nodes that are never on standby.
	minOpenNodes = 2
	// standbyUpdateInterval is the least time between two choices of the standby nodes.
	standbyUpdateInterval = contenderWindow / 20
	// consolidationInterval is the mean time between two migrations by one scheduler.
	consolidationInterval = 0.1 * contenderWindow
	// minStandbyTime is the time after which the last tasks of a standby node are migrated.
	minStandbyTime = contenderWindow
	// nearlyEmptyShare is the part of a standby node that may be requested when its last tasks are migrated.
	nearlyEmptyShare = 0.3
)

// updateStandby puts nodes on standby where nodes in use have a cost and fewer are enough. All schedulers see
// the same list and so choose the same nodes: large nodes stay open first, as each node costs the same, then
// those with low IDs. What is requested, at the learned usage, must fit on the open nodes with a margin.
func (p *Placer) updateStandby() {
	if !(p.cfg.Costs.Node > 0) || !p.cfg.NodeBehavior.ListShowsCapacity {
		return
	}
	if p.standbyKnown && p.now-p.standbyUpdatedAt < standbyUpdateInterval {
		return
	}
	p.standbyKnown = true
	p.standbyUpdatedAt = p.now
	demand := p.collectDemand()
	slices.SortFunc(p.standbyOrder, func(a, b *trackedNode) int {
		if a.cores != b.cores {
			return cmp.Compare(b.cores, a.cores)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var openCores, openMemory float64
	for i, node := range p.standbyOrder {
		fill := consolidationTarget
		if !node.standby {
			// An open node stays open for a while: each change leaves tasks behind.
			fill *= consolidationHysteresis
		}
		wasStandby := node.standby
		node.standby = i >= minOpenNodes && p.demandFits(demand, openCores, openMemory, fill)
		if node.standby && !wasStandby {
			node.standbySince = p.now
		}
		// A warming node takes few tasks: counting it would put warm nodes on standby.
		if node.failures == 0 && !p.warmingUp(node) {
			openCores += node.cores
			openMemory += node.memory
		}
	}
}

// capacityDemand is what all tasks on the listed nodes need.
type capacityDemand struct {
	requestedCores, requestedMemory float64
	usedCores, usedMemory           float64
	saturationThreshold             float64 // the lowest of all classes
}

// collectDemand sums up what is requested on the listed nodes, and collects the ready ones in standbyOrder.
func (p *Placer) collectDemand() capacityDemand {
	demand := capacityDemand{saturationThreshold: math.Inf(1)}
	p.standbyOrder = p.standbyOrder[:0]
	for _, node := range p.nodes {
		if !node.listed || node.State == Terminated || !(node.cores > 0) {
			continue
		}
		freeCores, freeMemory, _ := p.freeCapacity(node)
		demand.requestedCores += node.cores - freeCores
		demand.requestedMemory += node.memory - freeMemory
		if node.State == Ready {
			p.standbyOrder = append(p.standbyOrder, node)
		}
	}
	for i := range p.cfg.Classes {
		demand.saturationThreshold = min(demand.saturationThreshold, p.cfg.Classes[i].SaturationThreshold)
	}
	demand.usedCores = demand.requestedCores * p.coresUsage.mean
	demand.usedMemory = demand.requestedMemory * p.memoryUsage.mean
	return demand
}

// demandFits reports whether the demand fits in the part fill of all limits of the open nodes.
func (p *Placer) demandFits(demand capacityDemand, openCores, openMemory, fill float64) bool {
	return demand.usedCores <= openCores*demand.saturationThreshold*fill &&
		demand.usedMemory <= openMemory*memoryLimit*fill &&
		demand.requestedCores <= openCores*p.cfg.Overcommit.Cores*fill &&
		demand.requestedMemory <= openMemory*p.cfg.Overcommit.Memory*fill
}

// drainStandby migrates one own task off a node that has been on standby for long: its last tasks would keep
// the node in use until the longest of them ends.
func (p *Placer) drainStandby() {
	p.updateStandby()
	if p.cfg.Costs.Node <= p.cfg.Costs.Migration {
		return
	}
	for _, node := range p.standbyOrder {
		if !p.mayDrain(node) {
			continue
		}
		request := node.boundAttempts[p.rng.IntN(len(node.boundAttempts))].request
		if request.migrated {
			continue
		}
		request.migrated = true
		p.actions = append(p.actions, Action{Kind: Migrate, Task: request.ID})
		return
	}
}

// mayDrain reports whether own tasks may be migrated off the node. It must be nearly empty, so that
// schedulers that do the same at once migrate few tasks.
func (p *Placer) mayDrain(node *trackedNode) bool {
	freeCores, freeMemory, _ := p.freeCapacity(node)
	requested := max((node.cores-freeCores)/node.cores, (node.memory-freeMemory)/node.memory)
	tooFull := requested > nearlyEmptyShare
	tooRecent := p.now-node.standbySince < minStandbyTime
	return node.standby && len(node.boundAttempts) > 0 && !tooRecent && !tooFull
}
