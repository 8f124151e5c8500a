package placer

import "slices"

// nodeLoad is the part of a node's record that the capacity model owns. It holds the information about the
// load of the node that does not come from the node list.
type nodeLoad struct {
	recentChanges       []capacityChange // in chronological order
	retainedBinds       int              // number of binds among recentChanges
	rejectionValidUntil Seconds          // time until which the last rejection for lack of capacity counts
	saturationExcess    float64          // result of the latest projection, for whichever task it was made
	reportedAt          Seconds
	hasReport           bool
	report              Report
}

// capacityChange is a change of the requested capacity of a node by this scheduler. The node list may not
// show it yet.
type capacityChange struct {
	at            Seconds
	cores, memory float64
	isBind        bool
}

// reset clears the information that a restart of the node makes obsolete.
func (l *nodeLoad) reset() {
	l.rejectionValidUntil = 0
	l.recentChanges = l.recentChanges[:0]
	l.retainedBinds = 0
	l.hasReport = false
}

func (l *nodeLoad) setReport(now Seconds, report *Report) {
	l.report, l.reportedAt, l.hasReport = *report, now, true
}

// rejectedRecently reports whether the node has recently rejected a request for lack of capacity.
func (l *nodeLoad) rejectedRecently(now Seconds) bool { return l.rejectionValidUntil > now }

// recordRejection records that the node rejected a request for lack of capacity.
func (l *nodeLoad) recordRejection(now Seconds) { l.rejectionValidUntil = now + redrawWait }

// setSaturation records the latest projection of the utilization of the node's cores.
func (l *nodeLoad) setSaturation(excess float64) { l.saturationExcess = excess }

// attemptSent records that an attempt may occupy capacity on the node.
func (l *nodeLoad) attemptSent(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory})
}

// attemptBound records that the node accepted the task of an attempt.
func (l *nodeLoad) attemptBound(now Seconds, accepted *attempt) {
	l.removePendingChange(accepted)
	task := &accepted.request.Task
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory, isBind: true})
}

// attemptFailed records that an attempt no longer occupies capacity on the node.
func (l *nodeLoad) attemptFailed(failed *attempt) { l.removePendingChange(failed) }

// taskEnded records that a task released its capacity on the node.
func (l *nodeLoad) taskEnded(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: -task.Cores, memory: -task.Memory})
}

func (l *nodeLoad) addChange(change capacityChange) {
	l.recentChanges = append(l.recentChanges, change)
	if change.isBind {
		l.retainedBinds++
	}
}

// removePendingChange removes the capacity change that was recorded when an attempt was sent.
func (l *nodeLoad) removePendingChange(pending *attempt) {
	task := &pending.request.Task
	for i, change := range l.recentChanges {
		sameAmounts := change.cores == task.Cores && change.memory == task.Memory
		if change.at == pending.sentAt && !change.isBind && sameAmounts {
			l.recentChanges = slices.Delete(l.recentChanges, i, i+1)
			return
		}
	}
}

// dropOldChanges removes the changes that are so old that the node list is assumed to show them. Capacity
// estimates ignore old changes in any case, but retainedBinds counts old binds until they are removed.
func (l *nodeLoad) dropOldChanges(now Seconds) {
	recent := l.changesSince(now - contenderWindow)
	if len(recent) < len(l.recentChanges) {
		l.recentChanges = l.recentChanges[:copy(l.recentChanges, recent)]
		l.retainedBinds = countBinds(l.recentChanges)
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

// recentBinds returns the number of binds that the node list may not show yet.
func (l *nodeLoad) recentBinds(now Seconds) int {
	return countBinds(l.changesSince(now - contenderWindow))
}

func countBinds(changes []capacityChange) int {
	count := 0
	for i := range changes {
		if changes[i].isBind {
			count++
		}
	}
	return count
}
