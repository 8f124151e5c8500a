package placer

import (
	"math"
	"slices"
)

// Constants of the node list.
const (
	// nodeRetention is the time for which a terminated node without own tasks is remembered.
	nodeRetention Seconds = 60
	// maxPollBackoffDoublings bounds the backoff after failed polls, which is doubled for each failure.
	maxPollBackoffDoublings = 6
	// pollIntervalDivisor divides MaxPollInterval into the time after which an unanswered poll is repeated,
	// and the longest backoff; watchCheckDivisor divides it into the time that a watch may be quiet.
	pollIntervalDivisor = 2
	watchCheckDivisor   = 3
)

// handleNodesListed applies a node list. Nodes that a full list leaves out have terminated.
func (p *Placer) handleNodesListed(ev Event) {
	if ev.List == ListFailed {
		p.retryPoll()
		return
	}
	if ev.List != CachedList {
		p.watching = true
		p.pollFailures = 0
		p.lastListAt = p.now
	}
	if ev.List != Changes {
		for _, node := range p.nodes {
			node.State = Terminated
		}
	}
	for _, entry := range ev.Nodes {
		p.updateNode(entry)
	}
}

// updateNode applies one entry of the list. A node with a new start time has restarted: what was known of its
// load and health is dropped.
func (p *Placer) updateNode(entry Node) {
	node := p.ensureNode(entry.ID)
	if node.listed && entry.StartedAt != node.StartedAt {
		node.resetAfterRestart()
	}
	node.Node = entry
	node.listed = true
	if entry.NodeType >= 0 && entry.NodeType < len(p.cfg.NodeTypes) {
		size := p.cfg.NodeTypes[entry.NodeType]
		node.cores, node.memory = size.Cores, size.Memory
	}
}

// evictTerminated removes nodes that terminated long ago and hold no own task, so that memory does not grow
// as nodes are replaced.
func (p *Placer) evictTerminated() {
	p.nodes = slices.DeleteFunc(p.nodes, func(node *trackedNode) bool {
		if node.State != Terminated || !node.listed || node.inUse() {
			node.unusedSince = 0
			return false
		}
		if node.unusedSince == 0 {
			node.unusedSince = p.now
		}
		if p.now-node.unusedSince < nodeRetention {
			return false
		}
		delete(p.nodesByID, node.ID)
		return true
	})
}

// watchNodes requests the list with later changes, and sets a timer in case that no answer comes.
func (p *Placer) watchNodes() {
	p.lastPollAt = p.now
	p.actions = append(p.actions, Action{Kind: WatchNodes})
	p.startTimer(nil, timerPollNodes, p.withJitter(p.cfg.Discovery.MaxPollInterval/pollIntervalDivisor))
}

// retryPoll schedules the next poll after a failed one, with exponential backoff.
func (p *Placer) retryPoll() {
	p.watching = false
	p.pollFailures++
	doublings := float64(min(p.pollFailures, maxPollBackoffDoublings))
	longest := p.cfg.Discovery.MaxPollInterval / pollIntervalDivisor
	backoff := min(longest, p.shortestObjective*Seconds(math.Exp2(doublings)))
	p.startTimer(nil, timerPollNodes, p.withJitter(backoff))
}

// checkWatch polls again after a failure, or when the watch has been quiet for long.
func (p *Placer) checkWatch() {
	interval := p.cfg.Discovery.MaxPollInterval / watchCheckDivisor
	failed := !p.watching && p.now-p.lastPollAt > p.shortestObjective
	quiet := p.now-max(p.lastListAt, p.lastPollAt) > interval
	if failed || quiet {
		p.watchNodes()
		return
	}
	p.startTimer(nil, timerPollNodes, p.withJitter(interval))
}
