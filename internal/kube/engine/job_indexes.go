package engine

import (
	"fmt"
)

// indexState is the state of a completion index.
type indexState uint8

const (
	// indexPending: it is to be started.
	indexPending indexState = iota
	// indexActive: it has a task.
	indexActive
	// indexRetrying: its task ended, and another is started later unless the Job stops.
	indexRetrying
	// indexFinished: it has succeeded, or is not started again.
	indexFinished

	indexStates
)

var indexStateNames = [indexStates]string{"pending", "active", "retrying", "finished"}

func (s indexState) String() string { return indexStateNames[s] }

// indexTransitions lists the states that may follow each state. A finished index is active again if a copy of its task is adopted.
var indexTransitions = transitionTable[indexState]{
	indexPending:  {indexPending, indexActive, indexFinished},
	indexActive:   {indexRetrying},
	indexRetrying: {indexPending, indexActive, indexFinished},
	indexFinished: {indexActive},
}

// jobIndex is a completion index of a Job.
type jobIndex struct {
	state       indexState
	task        *task // while active
	settled     bool  // the outcome of its first task is counted
	retryBudget int   // of the next task
	retryTimer  *timer
}

// indexTable owns the completion indexes of a Job and their counts. Only its methods change them.
type indexTable struct {
	ownerKey    string // store.Key of the Job
	transitions *transitionCheck

	entries        []jobIndex
	nextUnstarted  int // all indexes below were started
	active         int // indexes with a task
	succeededTasks int // tasks that succeeded
	failedTasks    int // tasks that ended without success
	failedIndexes  int // indexes that are not started again

	outcomeCounts      map[taskOutcome]int // indexes by the final outcome of their first task
	unplacedMayHaveRun bool                // a task without placement may have run
}

// newIndexTable returns a table of pending indexes, whose first tasks have the given retry budget.
func newIndexTable(job string, transitions *transitionCheck, count, retryBudget int) indexTable {
	table := indexTable{ownerKey: job, transitions: transitions, entries: make([]jobIndex, count), outcomeCounts: map[taskOutcome]int{}}
	for i := range table.entries {
		table.entries[i].retryBudget = retryBudget
	}
	return table
}

func (t *indexTable) len() int { return len(t.entries) }

// at returns an index, which the caller must not change.
func (t *indexTable) at(i int) *jobIndex { return &t.entries[i] }

// allEnded reports whether no index has a task that is still to succeed.
func (t *indexTable) allEnded() bool { return t.succeededTasks+t.failedIndexes >= len(t.entries) }

// unstarted returns the number of indexes that takeNext has yet to return.
func (t *indexTable) unstarted() int { return len(t.entries) - t.nextUnstarted }

// takeNext returns the next index to consider for a start, unless the parallelism is reached.
func (t *indexTable) takeNext(parallelism int) (index int, ok bool) {
	if t.unstarted() <= 0 || t.active >= parallelism {
		return 0, false
	}
	t.nextUnstarted++
	return t.nextUnstarted - 1, true
}

// skipAll keeps every index from being started until restart is called for it.
func (t *indexTable) preventStarts() { t.nextUnstarted = len(t.entries) }

// start assigns a new task to an index.
func (t *indexTable) start(i int, task *task) {
	t.activate(i, task)
	t.entries[i].retryTimer = nil
}

// adopt assigns a task that was found running to an index that has none.
func (t *indexTable) adopt(i int, task *task) {
	if t.entries[i].state == indexFinished {
		t.failedIndexes--
	}
	t.settle(i, outcomePlaced)
	t.activate(i, task)
}

// activate assigns a task to an index.
func (t *indexTable) activate(i int, task *task) {
	t.setState(i, indexActive)
	t.entries[i].task = task
	t.active++
}

// settle counts an outcome if it is the first final one of an index, and reports whether it is.
func (t *indexTable) settle(i int, outcome taskOutcome) bool {
	index := &t.entries[i]
	if index.settled {
		return false
	}
	index.settled = true
	t.outcomeCounts[outcome]++
	return true
}

// settleTask counts the final outcome of a task if it is the first one of its index, and reports whether it is.
func (t *indexTable) settleTask(task *task, outcome taskOutcome) bool {
	if !t.settle(task.index, outcome) {
		return false
	}
	t.unplacedMayHaveRun = t.unplacedMayHaveRun || task.attempts.evidence != neverAccepted
	return true
}

// end records that an index's task has ended. One of succeed, fail and restart follows unless the Job is deleted.
func (t *indexTable) end(i int) {
	t.entries[i].task = nil
	t.setState(i, indexRetrying)
	t.active--
}

// succeed finishes an index whose task has succeeded.
func (t *indexTable) succeed(i int) {
	t.succeededTasks++
	t.setState(i, indexFinished)
}

// fail counts a task that ended without success, and finishes its index unless the index is started again.
func (t *indexTable) fail(i int, startedAgain bool) {
	t.failedTasks++
	if !startedAgain {
		t.failedIndexes++
		t.setState(i, indexFinished)
	}
}

// failUnseen fails an index of a rebuilt Job whose task may have run.
func (t *indexTable) failUnreported(i int) {
	t.fail(i, false)
	if t.settle(i, outcomeFailed) {
		t.unplacedMayHaveRun = true
	}
}

// restart makes an index pending again, so that it is started when the Job is next served from the backlog.
func (t *indexTable) restart(i int) {
	t.setState(i, indexPending)
	t.nextUnstarted = min(t.nextUnstarted, i)
}

// retryLater sets the timer that starts an index again, and the retry budget of its next task.
func (t *indexTable) setRetry(i, retryBudget int, retryTimer *timer) {
	t.entries[i].retryBudget = retryBudget
	t.entries[i].retryTimer = retryTimer
}

// setState is the only place where an index changes its state. It makes an illegal transition too, which CheckInvariants reports.
func (t *indexTable) setState(i int, next indexState) {
	index := &t.entries[i]
	if !indexTransitions.permits(index.state, next) {
		t.transitions.recordIllegal("index %d of Job %s goes from %s to %s", i, t.ownerKey, index.state, next)
	}
	index.state = next
}

// violatedInvariant describes the first inconsistency between a Job's indexes and their tasks, "" if there is none.
func (t *indexTable) violatedInvariant(owner *job) string {
	active := 0
	for i := range t.entries {
		index := &t.entries[i]
		if (index.task != nil) != (index.state == indexActive) {
			return fmt.Sprintf("violated: index %d has a task only while it is active", i)
		}
		if index.task == nil {
			continue
		}
		active++
		if index.task.job != owner || index.task.index != i {
			return fmt.Sprintf("violated: the task of index %d knows its Job and its index", i)
		}
	}
	if active != t.active {
		return fmt.Sprintf("violated: %d indexes are active, %d are counted", active, t.active)
	}
	return ""
}
