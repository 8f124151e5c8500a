package engine

import (
	"fmt"

	"k8s.io/apimachinery/pkg/types"
)

// taskTable owns the tasks of an Engine and their count. Only it changes the state of a task.
type taskTable struct {
	*environment
	byUID     map[types.UID]*task
	openCount int // tasks without a final outcome
}

// get returns the task with a Pod's UID, nil if there is none.
func (t *taskTable) get(uid types.UID) *task { return t.byUID[uid] }

// inOrder returns the tasks in the order of their creation.
func (t *taskTable) inOrder() []*task { return inCreationOrder(t.byUID) }

// add assigns the next sequence number to a task and adds it to the table.
func (t *taskTable) add(task *task) {
	task.sequence = int(t.stats.PodsCreated)
	t.stats.PodsCreated++
	t.byUID[task.uid] = task
	if !task.settled {
		t.openCount++
	}
}

// settle records that the final outcome of a task is known.
func (t *taskTable) settle(task *task) {
	task.settled = true
	t.openCount--
}

// remove removes a task that has ended.
func (t *taskTable) remove(task *task) {
	t.setState(task, taskRemoved)
	delete(t.byUID, task.uid)
}

// setState is the only place where a task changes its state. It makes an illegal transition too, which CheckInvariants reports.
func (t *taskTable) setState(task *task, next taskState) {
	if !taskTransitions.permits(task.state, next) {
		t.transitions.recordIllegal("task %s goes from %s to %s", task.uid, task.state, next)
	}
	task.state = next
}

// checkInvariants returns an error if a task's state is inconsistent with its other fields.
func (t *taskTable) checkInvariants() error {
	open := 0
	for _, task := range t.inOrder() {
		if violated := task.violatedInvariant(); violated != "" {
			return fmt.Errorf("engine: %s task %s: %s", task.state, task.uid, violated)
		}
		if !task.settled {
			open++
		}
	}
	if open != t.openCount {
		return fmt.Errorf("engine: %d tasks have no final outcome, %d are counted", open, t.openCount)
	}
	return nil
}
