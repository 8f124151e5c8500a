//go:build linux

package scheduler

import (
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/reflector"
	"heathshed/internal/netio/http1"
)

// eventDeleted is the type of a watch event for an object that was deleted.
const eventDeleted = "DELETED"

// handleNodeList passes a complete list of the inventory's nodes to the engine.
func (s *Scheduler) handleNodeList(_ *http1.Head, _ string, items []reflector.Object) {
	nodes := make([]*corev1.Node, 0, len(items))
	for _, item := range items {
		node := &corev1.Node{}
		if err := item.Decode(node); err != nil {
			s.options.Log.Warn().Err(err).Msg("node in list cannot be decoded")
			continue
		}
		nodes = append(nodes, node)
	}
	if !s.inventoryReachable {
		s.inventoryReachable = true
		s.options.Log.Info().Int("nodes", len(nodes)).Str("inventory", s.options.InventoryAddress).Msg("inventory listed")
	}
	if s.phase == phaseAwaitingInventory {
		s.setPhase(phaseSyncingNodes)
	}
	s.engine.NodesListed(s.engineNow(), engine.FullList, nodes, nil)
	s.processEffects()
}

// handleNodeEvent passes a change of a node in the inventory to the engine.
func (s *Scheduler) handleNodeEvent(kind string, object reflector.Object) {
	node := &corev1.Node{}
	if err := object.Decode(node); err != nil {
		s.options.Log.Warn().Err(err).Msg("node event cannot be decoded")
		return
	}
	if kind == eventDeleted {
		s.engine.NodesListed(s.engineNow(), engine.Changes, nil, []string{node.Name})
	} else {
		s.engine.NodesListed(s.engineNow(), engine.Changes, []*corev1.Node{node}, nil)
	}
	s.processEffects()
}

// handleInventoryError tells the engine that the inventory could not be listed or watched. The engine
// continues with the nodes that it knows.
func (s *Scheduler) handleInventoryError(err error) {
	if s.inventoryReachable {
		s.inventoryReachable = false
		s.options.Log.Warn().Err(err).Msg("inventory unreachable")
	}
	s.engine.NodesListed(s.engineNow(), engine.ListUnavailable, nil, nil)
	s.processEffects()
}
