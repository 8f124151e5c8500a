package placer

import "slices"

// nodeLoad is the part of a node's record that the capacity model owns: what is known about the node's load
// beside its entry in the node list.
type nodeLoad struct {
	recentChanges    []capacityChange // by time
	retainedBinds    int              // binds among recentChanges
	rejectsUntil     Seconds          // time until which the last rejection for lack of capacity counts
	saturationExcess float64          // the latest projection, for any task
	reportedAt       Seconds
	hasReport        bool
	report           Report
}

// capacityChange is an own change of what is requested of a node, which the node list may not show yet.
type capacityChange struct {
	at            Seconds
	cores, memory float64
	isBind        bool
}

// reset clears what a restart of the node makes obsolete.
func (l *nodeLoad) reset() {
	l.rejectsUntil = 0
	l.recentChanges = l.recentChanges[:0]
	l.retainedBinds = 0
	l.hasReport = false
}

func (l *nodeLoad) setReport(now Seconds, report *Report) {
	l.report, l.reportedAt, l.hasReport = *report, now, true
}

// rejects reports whether the node has just rejected a request for lack of capacity.
func (l *nodeLoad) rejects(now Seconds) bool { return l.rejectsUntil > now }

// rejected records a rejection for lack of capacity.
func (l *nodeLoad) rejected(now Seconds) { l.rejectsUntil = now + redrawWait }

// setSaturation records the latest projection of the node's cores.
func (l *nodeLoad) setSaturation(excess float64) { l.saturationExcess = excess }

// attemptSent records that an attempt may occupy capacity.
func (l *nodeLoad) attemptSent(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory})
}

// attemptBound records that the task of an attempt was accepted.
func (l *nodeLoad) attemptBound(now Seconds, accepted *attempt) {
	l.removePendingChange(accepted)
	task := &accepted.request.Task
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory, isBind: true})
}

// attemptFailed records that an attempt occupies no capacity any more.
func (l *nodeLoad) attemptFailed(failed *attempt) { l.removePendingChange(failed) }

// taskEnded records that a task frees its capacity.
func (l *nodeLoad) taskEnded(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: -task.Cores, memory: -task.Memory})
}

func (l *nodeLoad) addChange(change capacityChange) {
	l.recentChanges = append(l.recentChanges, change)
	if change.isBind {
		l.retainedBinds++
	}
}

// removePendingChange removes the change that was recorded when an attempt was sent.
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

// dropOldChanges removes the changes that the node list is assumed to show. Estimates of capacity ignore
// these changes anyway; retainedBinds counts them until they are removed.
func (l *nodeLoad) dropOldChanges(now Seconds) {
	recent := l.changesSince(now - contenderWindow)
	if len(recent) < len(l.recentChanges) {
		l.recentChanges = l.recentChanges[:copy(l.recentChanges, recent)]
		l.retainedBinds = countBinds(l.recentChanges)
	}
}

// changesSince returns the changes at or after a time. They are in the order of their times.
func (l *nodeLoad) changesSince(at Seconds) []capacityChange {
	first := 0
	for first < len(l.recentChanges) && l.recentChanges[first].at < at {
		first++
	}
	return l.recentChanges[first:]
}

// recentBinds counts the binds that the node list may not show yet.
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
