package placer

import "slices"

// nodeLoad is the part of a node's record that the capacity model owns. It holds the information about the
// load of the node that does not come from the node list.
type nodeLoad struct {
	recentChanges       []capacityChange // changes of the requested capacity that node lists may not show yet, oldest first
	retainedBoundTasks  int              // number of elements of recentChanges with isBoundTask set
	rejectionValidUntil Seconds          // end of the time without attempts that follows a rejection by the node
	saturationExcess    float64          // excess utilization of the cores in the latest projection of the load
	reportedAt          Seconds
	hasReport           bool
	report              Report
}

// capacityChange is a change of the requested capacity on a node. This scheduler caused the change, and the
// node list may not show it yet.
type capacityChange struct {
	changedAt     Seconds
	cores, memory float64
	isBoundTask   bool // true if the node accepted a task; false for a pending attempt or the end of a task
}

// reset clears the information about the load that a restart of the node makes obsolete.
func (l *nodeLoad) reset() {
	l.rejectionValidUntil = 0
	l.recentChanges = l.recentChanges[:0]
	l.retainedBoundTasks = 0
	l.hasReport = false
}

func (l *nodeLoad) setReport(now Seconds, report *Report) {
	l.report, l.reportedAt, l.hasReport = *report, now, true
}

// rejectedRecently reports whether the node has recently rejected an attempt for lack of capacity.
func (l *nodeLoad) rejectedRecently(now Seconds) bool { return l.rejectionValidUntil > now }

// recordRejection records that the node rejected an attempt for lack of capacity.
func (l *nodeLoad) recordRejection(now Seconds) { l.rejectionValidUntil = now + redrawWait }

// setSaturation records the saturation excess from the latest projection of the node's load.
func (l *nodeLoad) setSaturation(excess float64) { l.saturationExcess = excess }

// attemptSent records that an attempt was sent and may now occupy capacity on the node.
func (l *nodeLoad) attemptSent(now Seconds, task *Task) {
	l.addChange(capacityChange{changedAt: now, cores: task.Cores, memory: task.Memory})
}

// attemptBound records that the node accepted the task of an attempt.
func (l *nodeLoad) attemptBound(now Seconds, acceptedAttempt *attempt) {
	l.removePendingChange(acceptedAttempt)
	task := &acceptedAttempt.request.Task
	l.addChange(capacityChange{changedAt: now, cores: task.Cores, memory: task.Memory, isBoundTask: true})
}

// attemptFailed records that an attempt ended before the node accepted it, and no longer occupies capacity.
func (l *nodeLoad) attemptFailed(failedAttempt *attempt) { l.removePendingChange(failedAttempt) }

// taskEnded records that a task released its capacity on the node.
func (l *nodeLoad) taskEnded(now Seconds, task *Task) {
	l.addChange(capacityChange{changedAt: now, cores: -task.Cores, memory: -task.Memory})
}

func (l *nodeLoad) addChange(change capacityChange) {
	l.recentChanges = append(l.recentChanges, change)
	if change.isBoundTask {
		l.retainedBoundTasks++
	}
}

// removePendingChange removes the capacity change that was recorded when an attempt was sent.
func (l *nodeLoad) removePendingChange(pendingAttempt *attempt) {
	task := &pendingAttempt.request.Task
	for i, change := range l.recentChanges {
		sameAmounts := change.cores == task.Cores && change.memory == task.Memory
		if change.changedAt == pendingAttempt.sentAt && !change.isBoundTask && sameAmounts {
			l.recentChanges = slices.Delete(l.recentChanges, i, i+1)
			return
		}
	}
}

// dropOldChanges removes the changes that are older than contenderWindow. The node list is assumed to show
// such changes. Capacity estimates ignore old changes in any case, but the number retainedBoundTasks includes
// a task until its change is removed here.
func (l *nodeLoad) dropOldChanges(now Seconds) {
	keptChanges := l.changesSince(now - contenderWindow)
	if len(keptChanges) < len(l.recentChanges) {
		l.recentChanges = l.recentChanges[:copy(l.recentChanges, keptChanges)]
		l.retainedBoundTasks = countBoundTasks(l.recentChanges)
	}
}

// changesSince returns the changes at or after the given time, in chronological order.
func (l *nodeLoad) changesSince(earliest Seconds) []capacityChange {
	firstIndex := 0
	for firstIndex < len(l.recentChanges) && l.recentChanges[firstIndex].changedAt < earliest {
		firstIndex++
	}
	return l.recentChanges[firstIndex:]
}

// countRecentlyBoundTasks returns the number of tasks that the node accepted within contenderWindow. The node
// list may not show these tasks yet.
func (l *nodeLoad) countRecentlyBoundTasks(now Seconds) int {
	return countBoundTasks(l.changesSince(now - contenderWindow))
}

func countBoundTasks(changes []capacityChange) int {
	count := 0
	for i := range changes {
		if changes[i].isBoundTask {
			count++
		}
	}
	return count
}
