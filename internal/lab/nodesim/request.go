package nodesim

import (
	"sort"

	"heathshed/placer"
)

// Submit handles a request. The answer is an effect: at once for a duplicate request or if the queue is full, otherwise after the decision.
func (n *Node) Submit(now placer.Seconds, request Request) {
	n.Tick(now)
	if n.overloaded {
		return
	}
	n.recordRequest()
	if n.overloaded {
		return
	}
	if task := n.tasks[request.UID]; task.isRepeatedBy(&request) {
		n.emit(Effect{Kind: Answered, UID: request.UID, Attempt: request.Attempt, Task: task})
		return
	}
	if len(n.queue) >= n.cfg.Decisions.MaxQueued {
		n.reject(&request, QueueFull)
		return
	}
	n.queue = append(n.queue, request)
	n.decideNext()
}

// recordRequest counts a request, and fails the node if it is overloaded while it warms up.
func (n *Node) recordRequest() {
	if n.warmUp.over(n.now) || n.cfg.Overload.Window <= 0 {
		n.overload.reset()
		return
	}
	startsAtOnce := n.warmUp.pace(n.now) * float64(n.cfg.Starts.MaxConcurrent)
	if n.overload.requestReceived(n.now, startsAtOnce, n.cfg.Starts.Duration) {
		n.overloaded = true
		n.emit(Effect{Kind: Overloaded})
	}
}

// reject answers a request with a rejection.
func (n *Node) reject(request *Request, reason Reason) {
	n.emit(Effect{Kind: Answered, UID: request.UID, Attempt: request.Attempt, Reason: reason})
}

// decideNext schedules the decision on the first request of the queue.
func (n *Node) decideNext() {
	if n.deciding || len(n.queue) == 0 {
		return
	}
	n.deciding = true
	delay := n.cfg.Decisions.DelayMin + (n.cfg.Decisions.DelayMax-n.cfg.Decisions.DelayMin)*placer.Seconds(n.rng.Float64())
	n.schedule(max(n.now, n.stalledUntil)+delay, func() {
		n.deciding = false
		if n.now < n.stalledUntil {
			n.decideNext()
			return
		}
		request := n.queue[0]
		n.queue = n.queue[1:]
		n.decide(&request)
		n.decideNext()
	})
}

// decide accepts a request, or rejects it.
func (n *Node) decide(request *Request) {
	if task := n.tasks[request.UID]; task.isRepeatedBy(request) {
		n.emit(Effect{Kind: Answered, UID: request.UID, Attempt: request.Attempt, Task: task})
		return
	}
	if n.RejectHook != nil {
		if reason := n.RejectHook(request); reason != None {
			n.reject(request, reason)
			return
		}
	}
	if n.draining || n.fences.forbids(request.UID, request.Attempt) {
		n.reject(request, WrongNode)
		return
	}
	if reason := n.shortage(request); reason != None {
		if !n.cfg.Preempts || !n.preemptFor(request) {
			n.reject(request, reason)
			return
		}
	}
	n.accept(request)
}

// accept creates the task of a request and queues its start.
func (n *Node) accept(request *Request) {
	n.sequence++
	task := &Task{Request: *request, sequence: n.sequence}
	usageSpan := n.cfg.Usage.Max - n.cfg.Usage.Min
	task.coresFactor = n.cfg.Usage.Min + usageSpan*n.rng.Float64()
	task.memoryFactor = n.cfg.Usage.Min + usageSpan*n.rng.Float64()
	n.tasks[request.UID] = task
	n.active = append(n.active, task)
	n.requested.add(request.Cores, request.Memory)
	n.emit(Effect{Kind: Changed, Task: task})
	if !n.cfg.AnswerWhenRunning {
		n.answer(task)
	}
	n.startQueue = append(n.startQueue, task)
	n.startQueued()
}

// answer answers the request of an accepted task, unless it was answered before.
func (n *Node) answer(task *Task) {
	if !task.answered {
		task.answered = true
		n.emit(Effect{Kind: Answered, UID: task.UID, Attempt: task.Attempt, Task: task})
	}
}

// shortage returns which resource a request exceeds, None if it fits.
func (n *Node) shortage(request *Request) Reason {
	const tolerance = 1e-9 // of rounding in the running sums
	switch {
	case n.requested.cores+request.Cores > n.cfg.Cores*n.cfg.Overcommit.Cores+tolerance:
		return InsufficientCores
	case n.requested.memory+request.Memory > n.cfg.Memory*n.cfg.Overcommit.Memory+tolerance:
		return InsufficientMemory
	}
	return None
}

// preemptFor terminates tasks of lower priority, the lowest and youngest first, until a request fits. It terminates none, and reports
// false, if all of them together are not enough.
func (n *Node) preemptFor(request *Request) bool {
	var candidates []*Task
	var preemptable amount
	for _, task := range n.activeTasks() {
		if task.Priority < request.Priority {
			candidates = append(candidates, task)
			preemptable.add(task.Cores, task.Memory)
		}
	}
	if n.requested.cores-preemptable.cores+request.Cores > n.cfg.Cores*n.cfg.Overcommit.Cores ||
		n.requested.memory-preemptable.memory+request.Memory > n.cfg.Memory*n.cfg.Overcommit.Memory {
		return false
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		if candidates[i].Priority != candidates[j].Priority {
			return candidates[i].Priority < candidates[j].Priority
		}
		return candidates[i].sequence > candidates[j].sequence
	})
	for _, task := range candidates {
		if n.shortage(request) == None {
			break
		}
		n.terminate(task, Terminated, Preempted)
	}
	return n.shortage(request) == None
}
