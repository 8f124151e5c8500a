package nodesim

import (
	"slices"

	"heathshed/placer"
)

// A random lifetime is the mean times the sum of lifetimeBase and an exponentially distributed number whose mean is lifetimeSpread.
const (
	lifetimeBase   = 0.3
	lifetimeSpread = 0.7
)

// startQueued starts queued tasks, up to the number of concurrent starts.
func (n *Node) startQueued() {
	for n.starting < n.cfg.Starts.MaxConcurrent && len(n.startQueue) > 0 {
		task := n.startQueue[0]
		n.startQueue = n.startQueue[1:]
		if task.Phase != Accepted {
			continue
		}
		n.starting++
		n.Starts++
		if n.started[task.UID] {
			n.DuplicateStarts++
		}
		n.started[task.UID] = true
		work := n.cfg.Starts.Duration
		if !n.programs.has(task.Service) {
			work *= placer.Seconds(max(n.cfg.Starts.UncachedFactor, 1))
		}
		n.schedule(max(n.now, n.stalledUntil)+work/placer.Seconds(n.warmUp.pace(n.now)), func() {
			n.starting--
			n.taskStarted(task)
			n.startQueued()
		})
	}
}

// taskStarted moves a task from Accepted to Running and schedules its end. It does nothing if the task has ended during its start.
func (n *Node) taskStarted(task *Task) {
	if task.Phase != Accepted {
		return
	}
	task.Phase = Running
	task.ran = true
	task.startedAt = n.now
	n.programs.taskStarted(task.Service)
	n.measureTask(task)
	n.emit(Effect{Kind: Changed, Task: task})
	n.answer(task)
	lifetime := task.Lifetime
	if lifetime <= 0 {
		lifetime = n.cfg.LifetimeMean * placer.Seconds(lifetimeBase+n.rng.ExpFloat64()*lifetimeSpread)
	}
	n.schedule(n.now+lifetime, func() {
		if task.Phase == Running {
			n.terminate(task, Succeeded, None)
		}
	})
}

// terminate moves an active task to the given final phase. It does nothing if the task has ended.
func (n *Node) terminate(task *Task, phase Phase, reason Reason) {
	if task.ended() {
		return
	}
	n.used.subtract(task.UsedCores, task.UsedMemory)
	switch {
	case task.Phase == Running:
		n.programs.taskEnded(task.Service)
	case phase == Terminated && endsBeforeStart(reason):
		reason = NeverRan
	}
	task.Phase = phase
	task.Reason = reason
	n.requested.subtract(task.Cores, task.Memory)
	if !task.answered {
		task.answered = true
		n.emit(Effect{Kind: Answered, UID: task.UID, Attempt: task.Attempt, Reason: WrongNode})
	}
	n.emit(Effect{Kind: Changed, Task: task})
	n.fences.add(task.UID, task.Attempt)
	n.schedule(n.now+n.cfg.TerminatedRetention, func() {
		if n.tasks[task.UID] == task {
			delete(n.tasks, task.UID)
			n.emit(Effect{Kind: Removed, Task: task})
		}
	})
}

// endsBeforeStart reports whether a termination for this reason may happen before the task has started.
func endsBeforeStart(reason Reason) bool {
	return reason == Stopped || reason == Drained || reason == Preempted
}

// Stop terminates a task if the node has it, and fences its attempts up to the given number in any case. had reports whether the node has
// or recently had the task, ran whether the task ran; without had, ran reports whether a start of it ever began.
func (n *Node) Stop(now placer.Seconds, uid string, attempt int) (had, ran bool) {
	n.Tick(now)
	n.fences.add(uid, attempt)
	i := slices.IndexFunc(n.queue, func(request Request) bool { return request.UID == uid && request.Attempt <= attempt })
	if underDecision := i == 0 && n.deciding; i >= 0 && !underDecision {
		request := n.queue[i]
		n.queue = slices.Delete(n.queue, i, i+1)
		n.reject(&request, WrongNode)
	}
	task := n.tasks[uid]
	if task == nil {
		return false, n.started[uid]
	}
	n.terminate(task, Terminated, Stopped)
	return true, task.ran
}
