package placer

import "slices"

// nodeLoad is the part of a node's record that the capacity model owns. It holds the information about the
// load of the node that does not come from the node list.
type nodeLoad struct {
	recentChanges       []capacityChange // in chronological order
	retainedBoundTasks  int              // number of accepted tasks among recentChanges
	rejectionValidUntil Seconds          // time until which the last rejection for lack of capacity counts
	saturationExcess    float64          // result of the latest projection, which may belong to any task
	reportedAt          Seconds
	hasReport           bool
	report              Report
}

// capacityChange is a change of the requested capacity on a node that this scheduler caused. The node list
// may not show the change yet.
type capacityChange struct {
	at            Seconds
	cores, memory float64
	isBoundTask   bool // the node accepted a task; false for a pending attempt or the end of a task
}

// reset clears the information that a restart of the node makes obsolete.
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

// setSaturation records the saturation excess that the latest projection returned.
func (l *nodeLoad) setSaturation(excess float64) { l.saturationExcess = excess }

// attemptSent records that an attempt may occupy capacity on the node.
func (l *nodeLoad) attemptSent(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory})
}

// attemptBound records that the node accepted the task of an attempt.
func (l *nodeLoad) attemptBound(now Seconds, accepted *attempt) {
	l.removePendingChange(accepted)
	task := &accepted.request.Task
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory, isBoundTask: true})
}

// attemptFailed records that an attempt no longer occupies capacity on the node.
func (l *nodeLoad) attemptFailed(failed *attempt) { l.removePendingChange(failed) }

// taskEnded records that a task released its capacity on the node.
func (l *nodeLoad) taskEnded(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: -task.Cores, memory: -task.Memory})
}

func (l *nodeLoad) addChange(change capacityChange) {
	l.recentChanges = append(l.recentChanges, change)
	if change.isBoundTask {
		l.retainedBoundTasks++
	}
}

// removePendingChange removes the capacity change that was recorded when an attempt was sent.
func (l *nodeLoad) removePendingChange(pending *attempt) {
	task := &pending.request.Task
	for i, change := range l.recentChanges {
		sameAmounts := change.cores == task.Cores && change.memory == task.Memory
		if change.at == pending.sentAt && !change.isBoundTask && sameAmounts {
			l.recentChanges = slices.Delete(l.recentChanges, i, i+1)
			return
		}
	}
}

// dropOldChanges removes the changes that are so old that the node list is assumed to show them. Capacity
// estimates ignore old changes in any case, but retainedBoundTasks counts tasks until they are removed here.
func (l *nodeLoad) dropOldChanges(now Seconds) {
	recent := l.changesSince(now - contenderWindow)
	if len(recent) < len(l.recentChanges) {
		l.recentChanges = l.recentChanges[:copy(l.recentChanges, recent)]
		l.retainedBoundTasks = countBoundTasks(l.recentChanges)
	}
}

// changesSince returns the changes at or after the given time, in chronological order.
func (l *nodeLoad) changesSince(at Seconds) []capacityChange {
	first := 0
	for first < len(l.recentChanges) && l.recentChanges[first].at < at {
		first++
	}
	return l.recentChanges[first:]
}

// recentlyBoundTasks returns the number of tasks that the node accepted so recently that the node list may
// not show them yet.
func (l *nodeLoad) recentlyBoundTasks(now Seconds) int {
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
