//go:build linux

package scheduler

import (
	"errors"
	"fmt"
)

// phase is the lifecycle phase of a scheduler. A scheduler never returns to an earlier phase.
type phase uint8

const (
	// phaseAwaitingInventory lasts until the inventory has been listed for the first time.
	phaseAwaitingInventory phase = iota
	// phaseSyncingNodes lasts while the scheduler waits for nodes to list their running tasks.
	phaseSyncingNodes
	// phaseReady is the phase in which the scheduler accepts new tasks.
	phaseReady
	// phaseStopping begins with the call of Stop. The scheduler accepts no new tasks.
	phaseStopping
)

var phaseNames = [...]string{"awaiting inventory", "syncing nodes", "ready", "stopping"}

func (p phase) String() string { return phaseNames[p] }

// setPhase changes the phase, and panics if the transition is not allowed. Each phase may be followed by
// the next one or by phaseStopping. No other code may write Scheduler.phase.
func (s *Scheduler) setPhase(next phase) {
	if next != s.phase+1 && (next != phaseStopping || s.phase == phaseStopping) {
		panic(fmt.Sprintf("illegal transition of the scheduler from phase %q to phase %q", s.phase, next))
	}
	s.phase = next
}

// Reasons why the scheduler accepts no tasks. API responses contain their texts.
var (
	errStopping          = errors.New("the scheduler stops")
	errAwaitingInventory = errors.New("the inventory has not been listed yet")
	errNoReadyNodes      = errors.New("the inventory lists no node that is ready")
)

// nodesSyncingError reports that some nodes have not listed their tasks yet. It is a reason why the
// scheduler accepts no tasks.
type nodesSyncingError struct{ listed, watched int }

func (e *nodesSyncingError) Error() string {
	return fmt.Sprintf("%d of %d nodes have listed their tasks", e.watched, e.listed)
}

// readinessError returns the reason why the scheduler accepts no tasks, or nil if it does. A scheduler that
// has just started must first learn which tasks run on the nodes, because it could start them a second time
// otherwise.
//
// In phaseSyncingNodes, readinessError changes the phase to phaseReady if at least one node is listed and
// either all nodes have listed their tasks or NodeSyncTimeout has passed since the start.
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
		return errNoReadyNodes
	}
	if watched < listed && s.loop.Now().Sub(s.startedAt) < s.options.NodeSyncTimeout {
		return &nodesSyncingError{listed: listed, watched: watched}
	}
	s.setPhase(phaseReady)
	return nil
}
