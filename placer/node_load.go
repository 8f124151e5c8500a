package placer

import "slices"

// nodeLoad is what is known of the load of one node, beside its entry in the node list.
type nodeLoad struct {
	recentChanges    []capacityChange // by time
	rejectsUntil     Seconds          // a rejection for capacity counts until then
	saturationExcess float64          // projected last, for whichever task
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

// reset drops what a restart of the node makes obsolete.
func (l *nodeLoad) reset() {
	l.rejectsUntil = 0
	l.recentChanges = l.recentChanges[:0]
	l.hasReport = false
}

func (l *nodeLoad) setReport(now Seconds, report *Report) {
	l.report, l.reportedAt, l.hasReport = *report, now, true
}

// rejects reports whether the node has just rejected a request for lack of capacity.
func (l *nodeLoad) rejects(now Seconds) bool { return l.rejectsUntil > now }

// rejected notes a rejection for lack of capacity.
func (l *nodeLoad) rejected(now Seconds) { l.rejectsUntil = now + redrawWait }

// setSaturation notes the latest projection of the node's cores.
func (l *nodeLoad) setSaturation(excess float64) { l.saturationExcess = excess }

// attemptSent notes that an attempt may take up capacity.
func (l *nodeLoad) attemptSent(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory})
}

// attemptBound notes that the task of an attempt was accepted.
func (l *nodeLoad) attemptBound(now Seconds, accepted *attempt) {
	l.removePendingChange(accepted)
	task := &accepted.request.Task
	l.addChange(capacityChange{at: now, cores: task.Cores, memory: task.Memory, isBind: true})
}

// attemptFailed notes that an attempt takes up no capacity.
func (l *nodeLoad) attemptFailed(failed *attempt) { l.removePendingChange(failed) }

// taskEnded notes that a task frees its capacity.
func (l *nodeLoad) taskEnded(now Seconds, task *Task) {
	l.addChange(capacityChange{at: now, cores: -task.Cores, memory: -task.Memory})
}

func (l *nodeLoad) addChange(change capacityChange) {
	l.recentChanges = append(l.recentChanges, change)
}

// removePendingChange removes the change that stands for an attempt without an answer.
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

// dropOldChanges drops the changes that the node list is taken to show. Estimates of capacity ignore these
// changes anyway; heldBinds counts them until they are dropped.
func (l *nodeLoad) dropOldChanges(now Seconds) {
	old := 0
	for old < len(l.recentChanges) && l.recentChanges[old].at < now-contenderWindow {
		old++
	}
	if old > 0 {
		l.recentChanges = l.recentChanges[:copy(l.recentChanges, l.recentChanges[old:])]
	}
}

// recentBinds counts the binds that the node list may not show yet.
func (l *nodeLoad) recentBinds(now Seconds) int {
	count := 0
	for i := range l.recentChanges {
		if change := &l.recentChanges[i]; change.isBind && change.at >= now-contenderWindow {
			count++
		}
	}
	return count
}

// heldBinds counts the binds that have not been dropped.
func (l *nodeLoad) heldBinds() int {
	count := 0
	for i := range l.recentChanges {
		if l.recentChanges[i].isBind {
			count++
		}
	}
	return count
}
