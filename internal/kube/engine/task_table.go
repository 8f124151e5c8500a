package engine

import (
	"fmt"

	"k8s.io/apimachinery/pkg/types"
)

// taskTable holds the tasks of an Engine. Only its methods modify the state of a task.
type taskTable struct {
	*environment
	byUID     map[types.UID]*task
	openCount int // number of tasks without a final outcome
}

// get returns the task whose Pod has the given UID, or nil if there is none.
func (t *taskTable) get(uid types.UID) *task { return t.byUID[uid] }

// tasksInCreationOrder returns all tasks in the order of their creation.
func (t *taskTable) tasksInCreationOrder() []*task { return inCreationOrder(t.byUID) }

// add gives a task the next sequence number and adds the task to the table.
func (t *taskTable) add(task *task) {
	task.sequence = int(t.stats.PodsCreated)
	t.stats.PodsCreated++
	t.byUID[task.uid] = task
	if !task.settled {
		t.openCount++
	}
}

// settle records that a task has its final outcome.
func (t *taskTable) settle(task *task) {
	task.settled = true
	t.openCount--
}

// remove removes a task from the table after the task has ended.
func (t *taskTable) remove(task *task) {
	t.setState(task, taskRemoved)
	delete(t.byUID, task.uid)
}

// setState is the only function that changes the state of a task. It makes the transition even if the
// transition is illegal; CheckInvariants then reports an error.
func (t *taskTable) setState(task *task, next taskState) {
	if !taskTransitions.permits(task.state, next) {
		t.transitions.recordIllegal("task %s made an illegal transition from %s to %s", task.uid, task.state, next)
	}
	task.state = next
}

// checkInvariants returns an error if the state of a task contradicts its other fields, or if the number of
// tasks without a final outcome is wrong.
func (t *taskTable) checkInvariants() error {
	openCount := 0
	for _, task := range t.tasksInCreationOrder() {
		if violation := task.invariantViolation(); violation != "" {
			return fmt.Errorf("engine: %s task %s: %s", task.state, task.uid, violation)
		}
		if !task.settled {
			openCount++
		}
	}
	if openCount != t.openCount {
		return fmt.Errorf("engine: %d tasks have no final outcome, but the engine has counted %d", openCount, t.openCount)
	}
	return nil
}
