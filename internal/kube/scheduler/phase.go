//go:build linux

package scheduler

import (
	"errors"
	"fmt"
)

// phase is where a scheduler is between its start and its end. It only moves forward.
type phase uint8

const (
	// phaseAwaitingInventory: the inventory has not been listed yet.
	phaseAwaitingInventory phase = iota
	// phaseSyncingNodes: the nodes are being asked for the tasks that run there.
	phaseSyncingNodes
	// phaseReady: new tasks are accepted.
	phaseReady
	// phaseStopping: no new tasks are accepted.
	phaseStopping
)

var phaseNames = [...]string{"awaiting inventory", "syncing nodes", "ready", "stopping"}

func (p phase) String() string { return phaseNames[p] }

// setPhase is the only place where the phase changes. A scheduler may stop in any phase; the others follow in order.
func (s *Scheduler) setPhase(next phase) {
	if next != s.phase+1 && (next != phaseStopping || s.phase == phaseStopping) {
		panic(fmt.Sprintf("scheduler goes from %s to %s", s.phase, next))
	}
	s.phase = next
}

// Reasons why no tasks are accepted. Their texts are in responses of the API.
var (
	errStopping           = errors.New("the scheduler stops")
	errAwaitingInventory  = errors.New("the inventory has not been listed yet")
	errInventoryHasNoNode = errors.New("the inventory lists no node that is ready")
)

// nodesSyncingError says that not all nodes have listed their tasks yet.
type nodesSyncingError struct{ listed, watched int }

func (e *nodesSyncingError) Error() string {
	return fmt.Sprintf("%d of %d nodes have listed their tasks", e.watched, e.listed)
}

// readinessError returns why no tasks are accepted, or nil. A scheduler that has just started first learns what runs on the
// nodes, or it might start the same tasks again.
func (s *Scheduler) readinessError() error {
	switch s.phase {
	case phaseAwaitingInventory:
		return errAwaitingInventory
	case phaseStopping:
		return errStopping
	case phaseReady:
		return nil
	}
	listed, watched := s.engine.NodeCounts()
	if listed == 0 {
		return errInventoryHasNoNode
	}
	if watched < listed && s.loop.Now().Sub(s.startedAt) < s.options.NodeSyncTimeout {
		return &nodesSyncingError{listed: listed, watched: watched}
	}
	s.setPhase(phaseReady)
	return nil
}
