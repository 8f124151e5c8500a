package engine

import (
	"fmt"
	"math"
	"slices"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/admission"
	"heathshed/internal/retry"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// phase of a task.
type phase uint8

const (
	asking  phase = iota // the placer has it
	waiting              // the owner waits before it asks again, or for a doubt
	running              // a machine holds it
	ending               // it is over, attempts may still be out
)

// task is one Pod: asked for until it is placed, refused or failed, then followed until it ends.
type task struct {
	seq             int
	uid             types.UID
	namespace, name string
	job             *job // nil for an orphan
	index           int
	class, tenant   int
	service         placer.ServiceID
	cores, memory   float64
	giveUp          float64
	budget          int  // times it may be asked again
	asked           int  // asks that reached the placer
	shed            bool // some ask was shed at the gate
	mayRan          bool
	everRan         bool // some attempt may have run, whatever was learned later
	phase           phase
	settled         bool
	ask             *ask
	attempts        int // sent so far, over all asks
	open            *attempt
	doubts          []*attempt
	holder          *attempt // the attempt that runs
	wait            *timer
	lastReason      string // what a machine last stated
	stopReason      string // why it is being stopped; "" if it is not
	deleted         bool   // the Pod goes once nothing is out
	started         bool   // it was seen running
	counted         bool   // the Job knows its end
}

// ask is one request to the placer.
type ask struct {
	id       placer.TaskID
	t        *task
	attempts []*attempt
	answered bool
	queued   bool // it stands in line at the gate; the placer does not know it
	again    bool
	deadline float64
}

// attempt is one offer, or a task found running.
type attempt struct {
	a        *ask
	t        *task
	seq      int // number within the ask
	number   int // number within the task; what machines are told
	n        *node
	last     *corev1.Pod // what the machine's watch showed while it was open
	lastGone bool
	sent     float64
	until    float64
	timer    *timer
	told     bool   // the placer has its outcome
	life     string // of the machine, as known at the offer
	boot     string // of the machine, where it accepted
	rev      int64  // the machine's revision at acceptance
	fence    *timer
	fencing  bool
	tries    int
}

func (t *task) inDoubt() bool { return len(t.doubts) > 0 }

func (t *task) effect(e *Engine) placer.Idempotency { return e.cfg.Placer.Classes[t.class].Idempotency }

// addTask enters a new Pod.
func (e *Engine) addTask(t *task, p *corev1.Pod) {
	t.seq = int(e.Stats.PodsCreated)
	e.Stats.PodsCreated++
	e.tasks[t.uid] = t
	e.unnamed++
	e.store.Put(store.Pods, p)
}

// begAsk brings a task to the gate under a new number. What it lets pass goes to the placer.
func (e *Engine) begAsk(t *task) {
	e.lastAsk++
	k := &e.cfg.Placer.Classes[t.class]
	a := &ask{id: e.lastAsk, t: t, again: t.asked > 0, deadline: min(t.giveUp, e.now+k.Deadline)}
	e.asks[a.id] = a
	t.ask, t.phase, t.wait = a, asking, nil
	e.Stats.PlacementRequests++
	if a.again || t.shed {
		e.Stats.Retries++
	}
	kind := &e.cfg.Placer.NodeTypes[0]
	v, shed := e.gate.Arrive(e.now, admission.Request{ID: uint64(a.id), Tenant: t.tenant, Priority: k.Priority, Cost: max(t.cores/kind.Cores, t.memory/kind.Memory),
		Deadline: a.deadline, Until: t.giveUp, LatencyObjective: k.LatencyObjective, IsRetry: a.again, Shed: t.shed})
	switch v {
	case admission.Admit:
		e.bring(a)
	case admission.Wait:
		a.queued = true
	case admission.Shed:
		e.shed(a, shed)
	}
}

// bring hands an ask to the placer.
func (e *Engine) bring(a *ask) {
	t := a.t
	a.queued = false
	a.deadline = min(t.giveUp, e.now+e.cfg.Placer.Classes[t.class].Deadline)
	t.asked++
	e.feed(placer.Event{Kind: placer.Arrived, Task: placer.Task{ID: a.id, Class: t.class, Tenant: t.tenant, Service: t.service, Cores: t.cores,
		Memory: t.memory, IsRetry: a.again, Deadline: a.deadline}})
}

// shed ends an ask that the gate refuses. Nothing of it ran.
func (e *Engine) shed(a *ask, s admission.Shedding) {
	e.Stats.Shed++
	a.answered, a.queued, a.t.shed = true, false, true
	e.forgetAsk(a)
	a.t.lastReason = "not asked for: " + s.Why
	e.decide(a.t, retry.Shed, s.Delay)
}

// openGate lets pass what may, and sees to it that it is looked at again in time.
func (e *Engine) openGate() {
	for {
		pass, shed := e.gate.Next(e.now)
		for _, id := range pass {
			e.bring(e.asks[placer.TaskID(id)])
		}
		for _, s := range shed {
			e.shed(e.asks[placer.TaskID(s.ID)], s)
		}
		e.drainQueue()
		if len(pass)+len(shed) == 0 {
			break
		}
	}
	at := max(e.gate.NextDeadline(), e.now+0.001)
	if !e.gateAt.Pending() || at < e.gateAt.At {
		e.stopTimer(e.gateAt)
		e.gateAt = nil
		if !math.IsInf(at, 1) {
			e.gateAt = e.at(at, func() {}) // the end of every call opens the gate
		}
	}
}

// offer carries out the placer's offer.
func (e *Engine) offer(act *placer.Action) {
	a, n := e.asks[act.Task], e.byID[act.Node]
	if a == nil || n == nil || a.answered {
		panic(fmt.Sprintf("engine: offer of ask %d to machine %d, which are not both open", act.Task, act.Node))
	}
	t := a.t
	if t.open != nil || t.holder != nil {
		panic(fmt.Sprintf("engine: task %s has an attempt out already", t.uid))
	}
	t.attempts++
	at := &attempt{a: a, t: t, seq: act.Attempt, number: t.attempts, n: n, sent: e.now, until: act.Until, life: n.boot}
	a.attempts = append(a.attempts, at)
	t.open = at
	e.Stats.Attempts++
	at.timer = e.at(act.Until, func() { e.timedOut(at) })
	e.effect(Effect{Kind: SendAttempt, Node: n.name, Address: n.address, Pod: e.offered(t), UID: t.uid,
		Namespace: t.namespace, Name: t.name, Attempt: at.number, Until: act.Until,
		Careful: t.effect(e) != placer.Idempotent})
}

// offered is the Pod as machines get it.
func (e *Engine) offered(t *task) *corev1.Pod {
	p := e.pod(t)
	if p == nil {
		panic("engine: task without a Pod: " + string(t.uid))
	}
	next := *p
	p.ObjectMeta.DeepCopyInto(&next.ObjectMeta)
	p = &next
	p.ResourceVersion = ""
	p.Labels[wellknown.Scheduler] = e.cfg.Name
	p.Labels[wellknown.Class] = e.cfg.Classes[t.class]
	if t.job != nil {
		p.Annotations[wellknown.Job] = t.job.carried()
	}
	p.Status = corev1.PodStatus{}
	return p
}

func (e *Engine) pod(t *task) *corev1.Pod {
	o := e.store.Get(store.Pods, t.namespace, t.name)
	if o == nil || o.GetUID() != t.uid {
		return nil
	}
	return o.(*corev1.Pod)
}

// change stores a changed copy of a task's Pod.
func (e *Engine) change(t *task, f func(p *corev1.Pod)) {
	p := e.pod(t)
	if p == nil {
		return
	}
	// A spec may be large, and all that ever changes in it is the name of the machine.
	next := *p
	p.ObjectMeta.DeepCopyInto(&next.ObjectMeta)
	p.Status.DeepCopyInto(&next.Status)
	f(&next)
	e.store.Put(store.Pods, &next)
}

// AttemptAnswer is how a machine answered an offer.
type AttemptAnswer struct {
	UID         types.UID
	Attempt     int
	Node        string
	Accepted    bool
	Result      placer.Result // where it was not accepted
	Reason      placer.Reason
	Stated      string // the machine's own words
	Report      *placer.Report
	Incarnation string      // identity of the machine's life
	Rev         int64       // the machine's revision of the Pod
	Pod         *corev1.Pod // as the machine shows it, where it was accepted
}

// AttemptDone takes the answer to an offer.
func (e *Engine) AttemptDone(now float64, ans AttemptAnswer) {
	e.begin(now)
	defer e.end()
	t := e.tasks[ans.UID]
	if t == nil {
		// The task is over. An acceptance then left a copy that nobody waits for.
		if n := e.nodes[ans.Node]; ans.Accepted && n != nil {
			e.Stats.LateAnswers++
			e.stopCopy(n, ans.UID, "", "", ans.Attempt)
		}
		return
	}
	if at := t.open; at != nil && at.number == ans.Attempt && at.n.name == ans.Node {
		e.learn(at.n, ans.Incarnation)
		if ans.Accepted {
			e.accepted(at, ans)
			return
		}
		t.lastReason = stated(ans)
		if ans.Result == placer.Rejected {
			e.Stats.Rejections++
		}
		e.failedAttempt(at, ans.Result, ans.Reason, ans.Report)
		return
	}
	// An answer that comes after the attempt was given up.
	for _, at := range t.doubts {
		if at.number != ans.Attempt || at.n.name != ans.Node {
			continue
		}
		e.Stats.LateAnswers++
		switch {
		case ans.Accepted:
			e.found(at, ans.Incarnation, ans.Rev)
		case ans.Result == placer.Rejected || ans.Result == placer.Unreachable:
			e.resolved(at, false)
		}
		return
	}
	if ans.Accepted {
		if n := e.nodes[ans.Node]; n != nil && (t.holder == nil || t.holder.n != n) {
			e.stopCopy(n, t.uid, t.namespace, t.name, ans.Attempt)
		}
	}
}

func stated(ans AttemptAnswer) string {
	if ans.Stated != "" {
		return ans.Node + ": " + ans.Stated
	}
	switch ans.Result {
	case placer.Unreachable:
		return ans.Node + ": no connection"
	case placer.TimedOut:
		return ans.Node + ": no answer in time"
	case placer.Lost:
		return ans.Node + ": the answer broke off"
	case placer.Errored:
		return ans.Node + ": answered with an error"
	}
	return ans.Node + ": refused"
}

// accepted places a task.
func (e *Engine) accepted(at *attempt, ans AttemptAnswer) {
	t := at.t
	e.Stats.Accepted++
	t.open = nil
	e.stopTimer(at.timer)
	if at.last == nil || at.boot != ans.Incarnation {
		at.last, at.rev = nil, 0
	}
	at.boot = ans.Incarnation
	e.feed(placer.Event{Kind: placer.Bound, TaskID: at.a.id, Attempt: at.seq, Node: at.n.id, Elapsed: e.now - at.sent})
	at.a.answered = true
	e.gate.Done(e.now, uint64(at.a.id), true)
	e.hold(t, at)
	// News that overtook the answer, or came with it.
	if p := at.last; p != nil && at.rev > ans.Rev {
		e.follow(t, p, at.lastGone)
	} else if p := ans.Pod; p != nil {
		e.follow(t, p, false)
	}
	at.last = nil
	at.rev = ans.Rev
}

// hold notes that a machine holds the task and settles it as placed.
func (e *Engine) hold(t *task, at *attempt) {
	t.holder, t.phase = at, running
	t.everRan = true
	at.n.held[t.uid] = t
	e.stopTimer(t.wait)
	t.wait = nil
	if t.deleted || t.stopReason != "" {
		e.stopHolder(t)
	}
	if t.settled {
		e.change(t, func(p *corev1.Pod) { p.Spec.NodeName = at.n.name })
		return
	}
	e.settle(t, wellknown.Placed, "accepted by "+at.n.name)
}

// failedAttempt tells the placer how the open attempt ended, keeping what it leaves in doubt.
func (e *Engine) failedAttempt(at *attempt, r placer.Result, why placer.Reason, rep *placer.Report) {
	t := at.t
	t.open = nil
	e.stopTimer(at.timer)
	switch r {
	case placer.Rejected, placer.Unreachable, placer.Expired:
	default:
		e.doubt(at)
	}
	at.told = true
	e.feed(placer.Event{Kind: placer.Ended, TaskID: at.a.id, Attempt: at.seq, Node: at.n.id, Result: r, Reason: why,
		Elapsed: e.now - at.sent, Final: at.a.answered, Report: rep})
	if at.a.answered || t.phase == ending {
		e.forgetAsk(at.a)
		e.tidyTask(t)
	}
}

// doubt keeps an attempt that may have been accepted. A copy of a task that may run twice is stopped; one that must not is
// looked for first, since it may be running.
func (e *Engine) doubt(at *attempt) {
	t := at.t
	e.Stats.UnknownOutcomes++
	t.everRan = true
	t.doubts = append(t.doubts, at)
	if at.n.doubts == nil {
		at.n.doubts = map[*attempt]struct{}{}
	}
	at.n.doubts[at] = struct{}{}
	if t.effect(e) == placer.Idempotent || t.phase == ending {
		e.fence(at)
		return
	}
	if at.last != nil {
		e.after(0, func() {
			if at.isDoubt() {
				e.doubtful(at, at.boot, at.last, at.lastGone)
				e.drainQueue()
			}
		})
	}
	at.fence = e.after(e.cfg.Retry.UnknownOutcomeTimeout, func() { at.fence = nil; e.fence(at); e.drainQueue() })
}

// timedOut gives up the open attempt.
func (e *Engine) timedOut(at *attempt) {
	t := at.t
	if t.open != at {
		return
	}
	t.lastReason = at.n.name + ": no answer in time"
	e.effect(Effect{Kind: AbandonAttempt, Node: at.n.name, UID: t.uid, Attempt: at.number})
	e.failedAttempt(at, placer.TimedOut, placer.NoReason, nil)
	e.drainQueue()
}

// fence asks a machine to stop the task if it has it, and never to take this attempt if it has not. It is repeated until the
// machine answers or is known to have begun a new life.
func (e *Engine) fence(at *attempt) {
	if !at.isDoubt() || at.fencing {
		return
	}
	at.fencing = true
	at.tries++
	e.Stats.Stops++
	e.effect(Effect{Kind: StopTask, Node: at.n.name, Address: at.n.address, UID: at.t.uid,
		Namespace: at.t.namespace, Name: at.t.name, Attempt: at.number})
}

func (at *attempt) isDoubt() bool { return slices.Contains(at.t.doubts, at) }

// StopAnswer is how a machine answered StopTask.
type StopAnswer struct {
	UID         types.UID
	Node        string
	Attempt     int
	Incarnation string // identity of the machine's life
	Known       bool   // the machine answered
	Had         bool   // it has or had the task under this attempt
	Ran         bool   // and the task may have run
}

// StopDone takes the answer to StopTask.
func (e *Engine) StopDone(now float64, ans StopAnswer) {
	e.begin(now)
	defer e.end()
	if n := e.nodes[ans.Node]; n != nil && ans.Known {
		e.learn(n, ans.Incarnation)
	}
	t := e.tasks[ans.UID]
	if t == nil {
		return
	}
	for _, at := range t.doubts {
		if at.number != ans.Attempt || at.n.name != ans.Node {
			continue
		}
		at.fencing = false
		if ans.Known {
			// A machine that does not have the task says so of its present life only.
			e.resolved(at, ans.Had && ans.Ran || !ans.Had && (at.life == "" || at.life != ans.Incarnation))
			return
		}
		e.stopTimer(at.fence)
		at.fence = e.after(min(0.25*float64(int(1)<<min(at.tries, 5)), 5), func() { at.fence = nil; e.fence(at); e.drainQueue() })
		return
	}
	if h := t.holder; h != nil && h.number == ans.Attempt && h.n.name == ans.Node && t.stopReason != "" {
		if ans.Known {
			e.heldEnded(t, placer.Cancelled, placer.NoReason, t.stopReason, "")
			return
		}
		h.tries++
		h.fence = e.after(min(0.25*float64(int(1)<<min(h.tries, 5)), 5), func() { h.fence = nil; e.stopHolder(t) })
	}
}

// undoubt takes an attempt from the doubts of its task and its machine.
func (e *Engine) undoubt(at *attempt) {
	if i := slices.Index(at.t.doubts, at); i >= 0 {
		at.t.doubts = slices.Delete(at.t.doubts, i, i+1)
		delete(at.n.doubts, at)
	}
	e.stopTimer(at.fence)
	at.fence = nil
}

// resolved ends a doubt: the attempt never ran, or it is over and may have.
func (e *Engine) resolved(at *attempt, ran bool) {
	t := at.t
	e.undoubt(at)
	t.mayRan = t.mayRan || ran
	e.forgetAsk(at.a)
	if t.phase == waiting && !t.inDoubt() && t.wait != nil && t.effect(e) != placer.Idempotent {
		e.stopTimer(t.wait)
		e.decide(t, retry.Failed, 0)
		return
	}
	e.tidyTask(t)
}

// found is a doubtful attempt that turns out to run.
func (e *Engine) found(at *attempt, boot string, rev int64) {
	t := at.t
	if t.phase == running || t.open != nil || t.phase == ending || t.settled || t.deleted || at.fencing {
		// Another attempt is out or nobody waits: the copy goes.
		e.fence(at)
		return
	}
	// The placer must not send it again: take the ask back, then hand it over as running.
	e.undoubt(at)
	e.Stats.Adopted++
	e.withdraw(t)
	e.adopt(t, at.n, at.number, boot, rev)
}

// adopt hands a task that runs to the placer, under a number of its own.
func (e *Engine) adopt(t *task, n *node, number int, boot string, rev int64) {
	e.lastAsk++
	a := &ask{id: e.lastAsk, t: t, answered: true}
	at := &attempt{a: a, t: t, n: n, number: number, sent: e.now, boot: boot, rev: rev}
	a.attempts = append(a.attempts, at)
	e.asks[a.id] = a
	t.ask = a
	t.attempts = max(t.attempts, number)
	e.feed(placer.Event{Kind: placer.Adopted, Node: n.id, Task: placer.Task{ID: a.id, Class: t.class, Tenant: t.tenant,
		Service: t.service, Cores: t.cores, Memory: t.memory, Deadline: t.giveUp}})
	e.hold(t, at)
}

// withdraw takes the present ask back from the placer.
func (e *Engine) withdraw(t *task) {
	if a := t.ask; a != nil && !a.answered {
		a.answered = true
		e.gate.Drop(uint64(a.id))
		if !a.queued {
			e.feed(placer.Event{Kind: placer.Withdrawn, TaskID: a.id})
		}
		a.queued = false
		e.forgetAsk(a)
	}
}

// answered takes the placer's final word on an ask that it did not place.
func (e *Engine) answered(id placer.TaskID, c retry.Cause, delay float64) {
	a := e.asks[id]
	if a == nil || a.answered {
		return
	}
	a.answered = true
	e.gate.Done(e.now, uint64(a.id), false)
	t := a.t
	if t.open != nil {
		// Its outcome did not come by the deadline.
		at := t.open
		e.effect(Effect{Kind: AbandonAttempt, Node: at.n.name, UID: t.uid, Attempt: at.number})
		e.failedAttempt(at, placer.TimedOut, placer.NoReason, nil)
	}
	e.forgetAsk(a)
	e.decide(t, c, delay)
}

// forgetAsk drops an ask of which the placer knows all there is.
func (e *Engine) forgetAsk(a *ask) {
	if !a.answered {
		return
	}
	for _, at := range a.attempts {
		if at.t.open == at || at.t.holder == at {
			return
		}
	}
	delete(e.asks, a.id)
}

// decide does what the owner does next with a task that is not placed.
func (e *Engine) decide(t *task, c retry.Cause, delay float64) {
	t.phase, t.ask, t.wait = waiting, nil, nil
	if t.deleted {
		e.finishTask(t)
		return
	}
	if e.stopping {
		t.budget = 0
	}
	v, at := e.cfg.Retry.Next(retry.State{Idempotency: t.effect(e), Cause: c, Now: e.now, Deadline: t.giveUp, Attempts: t.asked,
		Budget: t.budget, OutcomeUnknown: t.inDoubt(), MayHaveRun: t.mayRan, RetryAfter: delay, Jitter: e.rng.Float64()})
	switch v {
	case retry.RetryAt:
		t.budget--
		t.wait = e.at(at, func() { e.begAsk(t); e.drainQueue() })
	case retry.AwaitOutcome:
		t.wait = e.at(at, func() { e.decide(t, c, 0); e.drainQueue() })
	case retry.Reject:
		e.settle(t, wellknown.Rejected, t.why("no machine took it"))
	case retry.Fail:
		e.settle(t, wellknown.Failed, t.why("it could not be placed"))
	}
}

func (e *Engine) endOf(t *task) string {
	if t.mayRan || t.inDoubt() {
		return wellknown.Failed
	}
	return wellknown.Rejected
}

func (t *task) why(short string) string {
	if t.lastReason != "" {
		short += "; last: " + t.lastReason
	}
	if t.inDoubt() {
		short += "; an attempt may have been accepted by " + t.doubts[0].n.name
	}
	return short
}

// settle gives a task its one outcome.
func (e *Engine) settle(t *task, reason, message string) {
	if t.settled {
		return
	}
	t.settled = true
	e.unnamed--
	switch reason {
	case wellknown.Placed:
		e.Stats.Placed++
	case wellknown.Rejected:
		e.Stats.Rejected++
	default:
		e.Stats.Failed++
	}
	now := wellknown.Time(e.now)
	e.change(t, func(p *corev1.Pod) {
		p.Status.Conditions = setCondition(p.Status.Conditions, corev1.PodCondition{Type: wellknown.Settled,
			Status: corev1.ConditionTrue, Reason: reason, Message: message, LastTransitionTime: now, LastProbeTime: now})
		if reason == wellknown.Placed {
			p.Spec.NodeName = t.holder.n.name
			p.Status.Conditions = setCondition(p.Status.Conditions, corev1.PodCondition{Type: corev1.PodScheduled,
				Status: corev1.ConditionTrue, LastTransitionTime: now})
			return
		}
		p.Status.Phase, p.Status.Reason, p.Status.Message = corev1.PodFailed, reason, message
		p.Status.Conditions = setCondition(p.Status.Conditions, corev1.PodCondition{Type: corev1.PodScheduled,
			Status: corev1.ConditionFalse, Reason: corev1.PodReasonUnschedulable, Message: message, LastTransitionTime: now})
	})
	if t.job != nil {
		e.jobSettled(t, reason)
	}
	if reason != wellknown.Placed {
		e.stopTimer(t.wait)
		t.wait = nil
		e.finishTask(t)
	}
}

// finishTask ends a task that neither runs nor will be asked again; its attempts in doubt are still seen to.
func (e *Engine) finishTask(t *task) {
	if t.phase == ending {
		e.tidyTask(t)
		return
	}
	e.stopTimer(t.wait)
	t.wait = nil
	if !t.settled {
		// Only a deletion comes here with an open outcome: the owner gave it up.
		e.settle(t, wellknown.Failed, "deleted before it was placed")
		return
	}
	t.phase = ending
	for _, at := range append([]*attempt(nil), t.doubts...) {
		e.stopTimer(at.fence)
		at.fence = nil
		e.fence(at)
	}
	e.countEnd(t, false, retry.Rejected)
	e.tidyTask(t)
}

// tidyTask forgets a task when nothing of it is out, and takes its Pod away if it was deleted.
func (e *Engine) tidyTask(t *task) {
	if t.phase != ending || t.open != nil || t.holder != nil {
		return
	}
	if len(t.doubts) > 0 {
		return
	}
	delete(e.tasks, t.uid)
	if t.deleted && e.pod(t) != nil {
		e.store.Delete(store.Pods, t.namespace, t.name)
		e.podGone(t)
	}
}

// countEnd tells the Job once how one of its tasks ended.
func (e *Engine) countEnd(t *task, ok bool, c retry.Cause) {
	if !t.counted {
		t.counted = true
		if t.job != nil {
			e.jobTaskEnded(t, ok, c)
		}
	}
}

// stopHolder asks the machine that holds the task to stop it.
func (e *Engine) stopHolder(t *task) {
	h := t.holder
	if h == nil {
		return
	}
	e.Stats.Stops++
	e.effect(Effect{Kind: StopTask, Node: h.n.name, Address: h.n.address, UID: t.uid, Namespace: t.namespace,
		Name: t.name, Attempt: h.number})
}

// stopCopy asks a machine to stop a task that it should not hold.
func (e *Engine) stopCopy(n *node, uid types.UID, namespace, name string, number int) {
	e.Stats.Stops++
	e.effect(Effect{Kind: StopTask, Node: n.name, Address: n.address, UID: uid, Namespace: namespace, Name: name,
		Attempt: number})
}

// move carries out the placer's move: the task stops and is asked for again.
func (e *Engine) move(id placer.TaskID) {
	a := e.asks[id]
	if a == nil || a.t.holder == nil || a.t.holder.a != a || a.t.stopReason != "" {
		return
	}
	a.t.stopReason = "Moved"
	e.stopHolder(a.t)
}

// heldEnded takes the end of a task that ran. stated is the reason kept in the Pod, "" for an end in order.
func (e *Engine) heldEnded(t *task, r placer.Result, why placer.Reason, stated, message string) {
	at := t.holder
	if at == nil {
		return
	}
	t.holder = nil
	e.stopTimer(at.fence)
	delete(at.n.held, t.uid)
	at.told = true
	e.feed(placer.Event{Kind: placer.Ended, TaskID: at.a.id, Attempt: at.seq, Node: at.n.id, Result: r, Reason: why,
		Elapsed: e.now - at.sent, Final: true})
	e.forgetAsk(at.a)
	ok := r == placer.Finished && stated == ""
	cause := retry.Lost
	switch {
	case r == placer.Finished:
		cause = retry.Failed // of its own doing
	case why == placer.Evicted:
		cause = retry.Evicted
		e.Stats.EvictedTasks++
	case stated == "Moved" || stated == "Evicted" && r == placer.Cancelled:
		cause = retry.Migrated
		e.Stats.MigratedTasks++
	case r == placer.Lost:
		e.Stats.LostTasks++
	}
	now := wellknown.Time(e.now)
	e.change(t, func(p *corev1.Pod) {
		p.Status.Phase = corev1.PodFailed
		if ok {
			p.Status.Phase = corev1.PodSucceeded
		}
		p.Status.Reason, p.Status.Message = stated, message
		p.Status.Conditions = setCondition(p.Status.Conditions, corev1.PodCondition{Type: corev1.PodReady,
			Status: corev1.ConditionFalse, Reason: "PodCompleted", LastTransitionTime: now})
		for i := range p.Status.ContainerStatuses {
			c := &p.Status.ContainerStatuses[i]
			code := int32(0)
			if r == placer.Finished && !ok {
				code = 1
			} else if !ok {
				code = 137
			}
			c.Ready = false
			c.State = corev1.ContainerState{Terminated: &corev1.ContainerStateTerminated{ExitCode: code, Reason: stated,
				FinishedAt: now}}
		}
	})
	e.countEnd(t, ok, cause)
	e.finishTask(t)
}

// ran notes that a held task runs.
func (e *Engine) ran(t *task) {
	if t.started {
		return
	}
	t.started = true
	e.feed(placer.Event{Kind: placer.UsageReported, TaskID: t.holder.a.id, Attempt: t.holder.seq, Node: t.holder.n.id, Usage: placer.Started,
		Value: e.now - t.holder.sent})
	now := wellknown.Time(e.now)
	e.change(t, func(p *corev1.Pod) {
		p.Status.Phase = corev1.PodRunning
		p.Status.StartTime = &now
		yes := true
		p.Status.ContainerStatuses = nil
		for i := range p.Spec.Containers {
			c := &p.Spec.Containers[i]
			p.Status.ContainerStatuses = append(p.Status.ContainerStatuses, corev1.ContainerStatus{Name: c.Name, Image: c.Image,
				Ready: true, Started: &yes, State: corev1.ContainerState{Running: &corev1.ContainerStateRunning{StartedAt: now}}})
		}
		for _, kind := range []corev1.PodConditionType{corev1.PodInitialized, corev1.ContainersReady, corev1.PodReady} {
			p.Status.Conditions = setCondition(p.Status.Conditions, corev1.PodCondition{Type: kind,
				Status: corev1.ConditionTrue, LastTransitionTime: now})
		}
	})
}

// DeletePod has a Pod stopped and taken away. uid may be "".
func (e *Engine) DeletePod(now float64, namespace, name string, uid types.UID, rev string) (*corev1.Pod, error) {
	e.begin(now)
	defer e.end()
	o := e.store.Get(store.Pods, namespace, name)
	if o == nil {
		return nil, ErrNotFound
	}
	p := o.(*corev1.Pod)
	if uid != "" && uid != p.UID || rev != "" && rev != p.ResourceVersion {
		return nil, ErrConflict
	}
	e.deletePod(p, "Deleted")
	if o := e.store.Get(store.Pods, namespace, name); o != nil {
		return o.(*corev1.Pod), nil
	}
	return p, nil
}

func (e *Engine) deletePod(p *corev1.Pod, reason string) {
	t := e.tasks[p.UID]
	if t == nil {
		e.store.Delete(store.Pods, p.Namespace, p.Name)
		if j := e.jobOf(p); j != nil {
			j.dropPod(p.Name)
			e.jobEmptied(j)
		}
		return
	}
	if t.deleted {
		return
	}
	t.deleted = true
	stamp := metav1.NewTime(wellknown.Time(e.now).Time)
	grace := int64(30)
	e.change(t, func(p *corev1.Pod) { p.DeletionTimestamp, p.DeletionGracePeriodSeconds = &stamp, &grace })
	e.halt(t, reason)
}

// halt stops a task wherever it stands.
func (e *Engine) halt(t *task, reason string) {
	if t.stopReason == "" {
		t.stopReason = reason
	}
	switch {
	case t.holder != nil:
		e.stopHolder(t)
	case t.open != nil:
		// The offer cannot be called back: give it up, and see to it that no copy stays.
		at := t.open
		e.withdraw(t)
		t.phase = ending
		e.effect(Effect{Kind: AbandonAttempt, Node: at.n.name, UID: t.uid, Attempt: at.number})
		e.failedAttempt(at, placer.Cancelled, placer.NoReason, nil)
		t.phase = waiting
		e.finishTask(t)
	default:
		e.withdraw(t)
		t.phase = waiting
		e.finishTask(t)
	}
}

// EvictPod stops a Pod that runs; its owner asks for it again soon. One that does not run is deleted.
func (e *Engine) EvictPod(now float64, namespace, name string, uid types.UID) error {
	e.begin(now)
	defer e.end()
	o := e.store.Get(store.Pods, namespace, name)
	if o == nil {
		return ErrNotFound
	}
	p := o.(*corev1.Pod)
	if uid != "" && uid != p.UID {
		return ErrConflict
	}
	if t := e.tasks[p.UID]; t != nil && t.holder != nil {
		if t.stopReason == "" {
			t.stopReason = "Evicted"
			e.stopHolder(t)
		}
		return nil
	}
	e.deletePod(p, "Evicted")
	return nil
}
