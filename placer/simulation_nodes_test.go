package placer_test

import (
	"math"

	"heathshed/placer"
)

// simNode is the true state of a node, which the Placer sees through lists and reports only.
type simNode struct {
	placer.Node
	requestedCores, requestedMemory float64
	broken                          bool
	removed                         bool
}

func (sim *simulation) addNode(since placer.Seconds) {
	sim.nextNode += 7
	node := &simNode{Node: placer.Node{ID: sim.nextNode, Zone: sim.rng.IntN(sim.script.zones), Rack: sim.rng.IntN(sim.script.racks),
		NodeType: sim.rng.IntN(len(sim.script.config.NodeTypes)), State: placer.Ready, StartedAt: since}}
	if sim.chance(0.03) {
		node.NodeType = 9 // a node type that the configuration does not have
	}
	sim.nodes = append(sim.nodes, node)
}

// entry returns the list entry of a node.
func (sim *simulation) entry(node *simNode) placer.Node {
	entry := node.Node
	size := sim.size(node)
	entry.FreeCores, entry.FreeMemory = size.Cores-node.requestedCores, size.Memory-node.requestedMemory
	return entry
}

func (sim *simulation) size(node *simNode) placer.NodeType {
	if node.NodeType < len(sim.script.config.NodeTypes) {
		return sim.script.config.NodeTypes[node.NodeType]
	}
	return placer.NodeType{Cores: 8, Memory: 16}
}

func (sim *simulation) sendNodes(kind placer.ListKind) {
	event := placer.Event{Kind: placer.NodesListed, List: kind}
	for _, node := range sim.nodes {
		if node.removed || kind == placer.ListFailed || kind == placer.Changes && sim.chance(0.6) {
			continue
		}
		event.Nodes = append(event.Nodes, sim.entry(node))
	}
	sim.handle(event)
}

func (sim *simulation) pushNodes() {
	sim.after(sim.script.listEvery, sim.pushNodes)
	if !sim.subscribed {
		return
	}
	switch {
	case sim.chance(sim.script.listFails):
		sim.subscribed = !sim.script.config.Discovery.MustPoll
		sim.sendNodes(placer.ListFailed)
	case sim.chance(0.2):
		sim.sendNodes(placer.FullList)
	case sim.chance(0.2):
		sim.sendNodes(placer.CachedList)
	default:
		sim.sendNodes(placer.Changes)
	}
}

// answerPoll answers a request for the list in most cases.
func (sim *simulation) answerPoll() {
	switch {
	case sim.chance(sim.script.listFails):
		sim.sendNodes(placer.ListFailed)
	case sim.chance(0.1): // no answer
	default:
		sim.subscribed = sim.chance(0.8)
		sim.sendNodes(placer.FullList)
	}
}

// churn changes one node: it drains, terminates, restarts or is replaced.
func (sim *simulation) churn() {
	sim.after(sim.script.churnEvery*(0.5+sim.randomTime()), sim.churn)
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch draw := sim.rng.Float64(); {
	case sim.script.returnsAfter > 0:
		sim.removeForAWhile(node)
	case node.removed:
		if len(sim.nodes) < 4*sim.script.nodes {
			sim.addNode(sim.now)
		}
	case draw < 0.2:
		node.State = placer.Draining
	case draw < 0.35:
		node.State = placer.Terminated
	case draw < 0.45:
		node.removed = true
		sim.addNode(sim.now)
	case draw < 0.55:
		node.broken = !node.broken
	default:
		node.State, node.StartedAt = placer.Ready, sim.now-0.5*sim.randomTime()
	}
}

// removeForAWhile takes a node off the list and lists it again, unchanged, about when the Placer evicts it.
func (sim *simulation) removeForAWhile(node *simNode) {
	if node.removed || node.State != placer.Ready {
		return
	}
	node.removed = true
	sim.after(sim.script.returnsAfter+2*sim.randomTime(), func() { node.removed = false })
}

// report returns a node's load report; parts of it are missing at random.
func (sim *simulation) report(node *simNode) *placer.Report {
	if sim.chance(0.3) {
		return nil
	}
	size, use := sim.size(node), 0.5+sim.script.minUsageRatio+(0.4-sim.script.minUsageRatio)*sim.rng.Float64()
	if sim.chance(0.05) {
		use = 1.3
	}
	report := &placer.Report{FreeCores: size.Cores - node.requestedCores*use, FreeMemory: size.Memory - node.requestedMemory*use,
		Utilization: node.requestedCores * use / size.Cores, QueueLength: float64(sim.rng.IntN(4))}
	for _, field := range []*float64{&report.FreeCores, &report.FreeMemory, &report.Utilization, &report.QueueLength} {
		if sim.chance(0.25) {
			*field = math.NaN()
		}
	}
	return report
}
