package placer_test

import (
	"math"

	"heathshed/placer"
)

// simNode is the actual state of a simulated node. The Placer learns about it only from node lists and load
// reports.
type simNode struct {
	placer.Node
	requestedCores, requestedMemory float64
	broken                          bool // the node never starts a task
	removed                         bool // node lists do not contain the node
}

func (sim *simulation) addNode(startedAt placer.Seconds) {
	sim.nextNode += 7
	node := &simNode{Node: placer.Node{ID: sim.nextNode, Zone: sim.rng.IntN(sim.scenario.zoneCount), Rack: sim.rng.IntN(sim.scenario.rackCount),
		NodeType: sim.rng.IntN(len(sim.scenario.config.NodeTypes)), State: placer.Ready, StartedAt: startedAt}}
	if sim.withProbability(0.03) {
		node.NodeType = 9 // the configuration has no such node type
	}
	sim.nodes = append(sim.nodes, node)
}

// listEntry returns the entry of a node in a node list.
func (sim *simulation) listEntry(node *simNode) placer.Node {
	entry := node.Node
	size := sim.nodeSize(node)
	entry.FreeCores, entry.FreeMemory = size.Cores-node.requestedCores, size.Memory-node.requestedMemory
	return entry
}

func (sim *simulation) nodeSize(node *simNode) placer.NodeType {
	if node.NodeType < len(sim.scenario.config.NodeTypes) {
		return sim.scenario.config.NodeTypes[node.NodeType]
	}
	return placer.NodeType{Cores: 8, Memory: 16}
}

func (sim *simulation) sendNodeList(kind placer.ListKind) {
	event := placer.Event{Kind: placer.NodesListed, List: kind}
	for _, node := range sim.nodes {
		if node.removed || kind == placer.ListFailed || kind == placer.Changes && sim.withProbability(0.6) {
			continue
		}
		event.Nodes = append(event.Nodes, sim.listEntry(node))
	}
	sim.handle(event)
}

func (sim *simulation) pushNodeList() {
	sim.schedule(sim.scenario.listInterval, sim.pushNodeList)
	if !sim.subscribed {
		return
	}
	switch {
	case sim.withProbability(sim.scenario.listFailureProbability):
		sim.subscribed = !sim.scenario.config.Discovery.MustPoll
		sim.sendNodeList(placer.ListFailed)
	case sim.withProbability(0.2):
		sim.sendNodeList(placer.FullList)
	case sim.withProbability(0.2):
		sim.sendNodeList(placer.CachedList)
	default:
		sim.sendNodeList(placer.Changes)
	}
}

// answerPoll answers a request for the node list. The request fails at random, and about one in ten requests
// gets no answer.
func (sim *simulation) answerPoll() {
	switch {
	case sim.withProbability(sim.scenario.listFailureProbability):
		sim.sendNodeList(placer.ListFailed)
	case sim.withProbability(0.1): // the request gets no answer
	default:
		sim.subscribed = sim.withProbability(0.8)
		sim.sendNodeList(placer.FullList)
	}
}

// changeRandomNode changes a random node. The node drains, terminates, restarts, breaks, works again, is
// replaced, or is removed from the node lists for some time.
func (sim *simulation) changeRandomNode() {
	sim.schedule(sim.scenario.churnInterval*(0.5+sim.randomSecond()), sim.changeRandomNode)
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch randomNumber := sim.rng.Float64(); {
	case sim.scenario.relistDelay > 0:
		sim.removeTemporarily(node)
	case node.removed:
		if len(sim.nodes) < 4*sim.scenario.nodeCount {
			sim.addNode(sim.now)
		}
	case randomNumber < 0.2:
		node.State = placer.Draining
	case randomNumber < 0.35:
		node.State = placer.Terminated
	case randomNumber < 0.45:
		node.removed = true
		sim.addNode(sim.now)
	case randomNumber < 0.55:
		node.broken = !node.broken
	default:
		node.State, node.StartedAt = placer.Ready, sim.now-0.5*sim.randomSecond()
	}
}

// removeTemporarily removes a node from the node lists for some time. Later, the node is in the lists again,
// unchanged. It returns to the lists at about the time when the Placer evicts its record of the node.
func (sim *simulation) removeTemporarily(node *simNode) {
	if node.removed || node.State != placer.Ready {
		return
	}
	node.removed = true
	sim.schedule(sim.scenario.relistDelay+2*sim.randomSecond(), func() { node.removed = false })
}

// randomReport returns a load report that shows a random usage of a node. The result may be nil, and each of
// its values may be missing.
func (sim *simulation) randomReport(node *simNode) *placer.Report {
	if sim.withProbability(0.3) {
		return nil
	}
	size, usedFraction := sim.nodeSize(node), 0.5+sim.scenario.extraMinUsageRatio+(0.4-sim.scenario.extraMinUsageRatio)*sim.rng.Float64()
	if sim.withProbability(0.05) {
		usedFraction = 1.3
	}
	report := &placer.Report{FreeCores: size.Cores - node.requestedCores*usedFraction, FreeMemory: size.Memory - node.requestedMemory*usedFraction,
		Utilization: node.requestedCores * usedFraction / size.Cores, QueueLength: float64(sim.rng.IntN(4))}
	for _, field := range []*float64{&report.FreeCores, &report.FreeMemory, &report.Utilization, &report.QueueLength} {
		if sim.withProbability(0.25) {
			*field = math.NaN()
		}
	}
	return report
}
