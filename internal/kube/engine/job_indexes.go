package engine

import (
	"fmt"
)

// indexState is the state of a completion index of a Job.
type indexState uint8

const (
	// indexPending means that the index has no task yet and waits until jobStarter starts one.
	indexPending indexState = iota
	// indexActive means that the index has a task.
	indexActive
	// indexRetrying means that the task of the index has ended and that the index is not finished. The
	// index gets another task later unless the Job stops.
	indexRetrying
	// indexFinished means that the index has succeeded or will not be started again.
	indexFinished

	indexStateCount
)

var indexStateNames = [indexStateCount]string{"pending", "active", "retrying", "finished"}

func (s indexState) String() string { return indexStateNames[s] }

// indexTransitions lists, for each state of a completion index, the states that may follow it. A finished
// index becomes active again if a task of the index still runs on a node and the engine adopts this task.
var indexTransitions = transitionTable[indexState]{
	indexPending:  {indexPending, indexActive, indexFinished},
	indexActive:   {indexRetrying},
	indexRetrying: {indexPending, indexActive, indexFinished},
	indexFinished: {indexActive},
}

// completionIndex is the state of one completion index of a Job.
type completionIndex struct {
	state       indexState
	task        *task  // the task that the index has at present; nil unless the index is active
	succeeded   bool   // set once a task of the index has succeeded
	settled     bool   // set once the final outcome of the index's first task has been counted
	retryBudget int    // number of retries that the next task of the index may use
	retryTimer  *timer // fires when the index must be started again
}

// completionIndexTable holds the completion indexes of a Job and counts them by state. Only its methods
// modify the indexes.
type completionIndexTable struct {
	jobKey      string // key of the Job, as returned by store.Key
	transitions *transitionCheck

	entries        []completionIndex
	nextUnstarted  int // number of the index that takeNext considers next
	activeIndexes  int // number of indexes that have a task
	succeededTasks int // number of tasks that succeeded
	failedTasks    int // number of tasks that ended without success
	failedIndexes  int // number of indexes that have failed and will not be started again

	outcomeCounts      map[taskOutcome]int // number of indexes for each final outcome of the first task of an index
	unplacedMayHaveRun bool                // set if a task that was not placed may have run
}

// newCompletionIndexTable returns a table of pending completion indexes. The first task of each index gets
// the given retry budget.
func newCompletionIndexTable(jobKey string, transitions *transitionCheck, count, retryBudget int) completionIndexTable {
	table := completionIndexTable{jobKey: jobKey, transitions: transitions, entries: make([]completionIndex, count), outcomeCounts: map[taskOutcome]int{}}
	for i := range table.entries {
		table.entries[i].retryBudget = retryBudget
	}
	return table
}

func (t *completionIndexTable) len() int { return len(t.entries) }

// at returns a completion index. The caller must not modify the index.
func (t *completionIndexTable) at(i int) *completionIndex { return &t.entries[i] }

// allEnded reports whether every completion index has succeeded or failed.
func (t *completionIndexTable) allEnded() bool {
	return t.succeededTasks+t.failedIndexes >= len(t.entries)
}

// unstarted returns the number of completion indexes that takeNext has yet to consider.
func (t *completionIndexTable) unstarted() int { return len(t.entries) - t.nextUnstarted }

// takeNext returns the completion index that is next in line for a start. ok is false if no index is left,
// or if the number of active indexes has reached the parallelism of the Job.
func (t *completionIndexTable) takeNext(parallelism int) (index int, ok bool) {
	if t.unstarted() <= 0 || t.activeIndexes >= parallelism {
		return 0, false
	}
	t.nextUnstarted++
	return t.nextUnstarted - 1, true
}

// preventStarts ensures that no completion index is started until restart is called for it.
func (t *completionIndexTable) preventStarts() { t.nextUnstarted = len(t.entries) }

// start assigns a new task to a completion index.
func (t *completionIndexTable) start(i int, task *task) {
	t.activate(i, task)
	t.entries[i].retryTimer = nil
}

// mayAdopt reports whether an adopted task may be assigned to a completion index: the index has no task and
// has not succeeded.
func (t *completionIndexTable) mayAdopt(i int) bool {
	return t.entries[i].task == nil && !t.entries[i].succeeded
}

// adopt assigns an adopted task to a completion index for which mayAdopt returns true.
func (t *completionIndexTable) adopt(i int, task *task) {
	if t.entries[i].state == indexFinished {
		t.failedIndexes--
	}
	t.countOutcome(i, outcomePlaced)
	t.activate(i, task)
}

// activate assigns a task to a completion index and marks the index as active.
func (t *completionIndexTable) activate(i int, task *task) {
	t.setState(i, indexActive)
	t.entries[i].task = task
	t.activeIndexes++
}

// countOutcome counts a final outcome for a completion index if it is the first final outcome of the
// index. It reports whether it has counted the outcome.
func (t *completionIndexTable) countOutcome(i int, outcome taskOutcome) bool {
	index := &t.entries[i]
	if index.settled {
		return false
	}
	index.settled = true
	t.outcomeCounts[outcome]++
	return true
}

// countTaskOutcome counts the final outcome of a task if it is the first final outcome of the task's
// completion index. It reports whether it has counted the outcome.
func (t *completionIndexTable) countTaskOutcome(task *task, outcome taskOutcome) bool {
	if !t.countOutcome(task.index, outcome) {
		return false
	}
	t.unplacedMayHaveRun = t.unplacedMayHaveRun || task.attempts.evidence != neverAccepted
	return true
}

// recordTaskEnd records that the task of a completion index has ended. Unless the Job is deleted, the
// caller must then call succeed, fail or restart for the index.
func (t *completionIndexTable) recordTaskEnd(i int) {
	t.entries[i].task = nil
	t.setState(i, indexRetrying)
	t.activeIndexes--
}

// succeed finishes a completion index whose task has succeeded.
func (t *completionIndexTable) succeed(i int) {
	t.succeededTasks++
	t.entries[i].succeeded = true
	t.setState(i, indexFinished)
}

// fail counts a task that ended without success. If the index will not be started again, fail also
// finishes the index.
func (t *completionIndexTable) fail(i int, willRerun bool) {
	t.failedTasks++
	if !willRerun {
		t.failedIndexes++
		t.setState(i, indexFinished)
	}
}

// failUnreported fails a completion index of a rebuilt Job. It is called if no node has reported a task
// of the index. The index may have had a task before the restart of the scheduler, and this task may have
// run.
func (t *completionIndexTable) failUnreported(i int) {
	t.fail(i, false)
	if t.countOutcome(i, outcomeFailed) {
		t.unplacedMayHaveRun = true
	}
}

// restart makes a completion index pending again. When jobStarter next takes the Job from the backlog, it
// may start the index.
func (t *completionIndexTable) restart(i int) {
	t.setState(i, indexPending)
	t.nextUnstarted = min(t.nextUnstarted, i)
}

// setRetry records the timer that starts a completion index again, and the retry budget of the next task.
func (t *completionIndexTable) setRetry(i, retryBudget int, retryTimer *timer) {
	t.entries[i].retryBudget = retryBudget
	t.entries[i].retryTimer = retryTimer
}

// setState is the only function that changes the state of a completion index. It makes the transition even
// if the transition is illegal; CheckInvariants then reports an error.
func (t *completionIndexTable) setState(i int, next indexState) {
	index := &t.entries[i]
	if !indexTransitions.permits(index.state, next) {
		t.transitions.recordIllegal("completion index %d of Job %s made an illegal transition from %s to %s", i, t.jobKey, index.state, next)
	}
	index.state = next
}

// invariantViolation describes the first contradiction between the completion indexes of a Job and their
// tasks. It returns "" if there is no contradiction.
func (t *completionIndexTable) invariantViolation(job *job) string {
	activeCount := 0
	for i := range t.entries {
		index := &t.entries[i]
		if (index.task != nil) != (index.state == indexActive) {
			return fmt.Sprintf("invariant violated: completion index %d must have a task if and only if it is active", i)
		}
		if index.task == nil {
			continue
		}
		activeCount++
		if index.task.job != job || index.task.index != i {
			return fmt.Sprintf("invariant violated: the task of completion index %d must refer to this index and to its Job", i)
		}
	}
	if activeCount != t.activeIndexes {
		return fmt.Sprintf("invariant violated: %d completion indexes are active, but the count of active indexes is %d", activeCount, t.activeIndexes)
	}
	return ""
}
