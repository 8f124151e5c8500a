package engine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/retry"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// job is a Job with its tasks, one for each index.
type job struct {
	key            string
	uid            types.UID
	obj            *batchv1.Job // the last stored state
	class, tenant  int
	service        placer.ServiceID
	cores, memory  float64
	slots          []slot
	next           int // first index not begun
	active         int
	ready          int
	succeeded      int
	failed         int // ends of tasks that were no success
	exhausted      int // indexes that will not be asked again
	settled        map[string]int
	mayRan         bool
	pods           map[string]struct{} // names of all Pods in the store
	dirty          bool
	queued         bool
	gone           bool // deleted; Pods may be left
	done           bool
	doneAt         float64
	podCost        int64 // of each of its Pods, as store.Cost counts
	suspended      bool
	foreground     bool
	takenOver      bool
	carriedText    string
	deadline, ttl  *timer
	failWhole      string // reason to fail the Job as a whole
	failWholeWords string
}

type slot struct {
	cur     *task
	done    bool
	settled bool
	budget  int
	begun   bool
	timer   *timer
}

func deref[T any](p *T, or T) T {
	if p == nil {
		return or
	}
	return *p
}

const defaultBackoff = 6

// count is the number of tasks of a Job.
func count(j *batchv1.Job) int {
	return int(deref(j.Spec.Completions, deref(j.Spec.Parallelism, 1)))
}

// classOf finds the class that a template names.
func (e *Engine) classOf(l map[string]string) (int, *InvalidError) {
	name, ok := l[wellknown.Class]
	if !ok {
		return e.cfg.DefaultClass, nil
	}
	if i := slices.Index(e.cfg.Classes, name); i >= 0 {
		return i, nil
	}
	return 0, &InvalidError{"spec.template.metadata.labels[" + wellknown.Class + "]", fmt.Sprintf("no such class; there are %v", e.cfg.Classes), name}
}

// describe fills in what a Job asks for, or says why it cannot be taken.
func (e *Engine) describe(o *batchv1.Job) (*job, error) {
	l := o.Spec.Template.Labels
	class, bad := e.classOf(l)
	if bad != nil {
		return nil, bad
	}
	tenant, ok := e.tenant(o.Namespace)
	if !ok {
		return nil, &InvalidError{"metadata.namespace", "no such tenant", o.Namespace}
	}
	n := count(o)
	if n < 0 || n > e.cfg.MaxPods {
		return nil, &InvalidError{"spec.completions", fmt.Sprintf("must be 0 to %d", e.cfg.MaxPods), n}
	}
	j := &job{key: jobKey(o), uid: o.UID, obj: o, class: class, tenant: tenant, settled: map[string]int{},
		pods: map[string]struct{}{}, slots: make([]slot, n)}
	j.cores, j.memory = wellknown.Requests(&o.Spec.Template.Spec)
	service := l[wellknown.Service]
	if service == "" {
		service = o.Name
	}
	j.service = serviceID(o.Namespace, service)
	j.suspended = deref(o.Spec.Suspend, false)
	budget := int(max(deref(o.Spec.BackoffLimit, defaultBackoff), 0))
	for i := range j.slots {
		j.slots[i].budget = budget
	}
	return j, nil
}

// CreateJob takes a Job that the API has checked and defaulted. With dry it only says what would come of it.
func (e *Engine) CreateJob(now float64, o *batchv1.Job, dry bool) (*batchv1.Job, error) {
	e.begin(now)
	defer e.end()
	o = o.DeepCopy()
	if o.Name == "" && o.GenerateName != "" {
		// The Kubernetes API server draws again when a name is taken.
		for range 8 {
			o.Name = fmt.Sprintf("%.248s", o.GenerateName) + e.suffix()
			if e.jobs[jobKey(o)] == nil {
				break
			}
		}
	}
	if e.jobs[jobKey(o)] != nil {
		return nil, ErrExists
	}
	if e.stopping {
		return nil, ErrStopping
	}
	o.UID = e.newUID()
	o.CreationTimestamp = wellknown.Time(e.now)
	o.Generation = 1
	o.Status = batchv1.JobStatus{}
	if o.Spec.Selector == nil {
		o.Spec.Selector = &metav1.LabelSelector{MatchLabels: map[string]string{wellknown.JobUID: string(o.UID)}}
	}
	if o.Spec.Template.Labels == nil {
		o.Spec.Template.Labels = map[string]string{}
	}
	for k, v := range map[string]string{wellknown.JobUID: string(o.UID), wellknown.JobName: o.Name, "controller-uid": string(o.UID),
		"job-name": o.Name} {
		o.Spec.Template.Labels[k] = v
	}
	j, err := e.describe(o)
	if err != nil {
		return nil, err
	}
	j.podCost = store.Cost(o)
	if need := j.podCost * int64(1+len(j.slots)); e.cfg.MaxObjects > 0 && need > e.cfg.MaxObjects {
		return nil, &InvalidError{"spec.template", fmt.Sprintf("%d tasks of this size take %d bytes: at most %d", len(j.slots), need, e.cfg.MaxObjects),
			len(j.slots)}
	}
	for e.full(j) {
		if !e.makeRoom(dry) {
			e.Stats.JobsRejected++
			return nil, ErrTooMany
		}
	}
	if dry {
		return o, nil
	}
	e.Stats.JobsCreated++
	e.jobs[j.key] = j
	e.store.Put(store.Jobs, o)
	j.obj = o
	e.startJob(j)
	return e.store.Get(store.Jobs, o.Namespace, o.Name).(*batchv1.Job), nil
}

// full says whether a Job is too much beside what is held.
func (e *Engine) full(j *job) bool {
	pods, bytes := e.waitingPods()
	return e.store.Len(store.Pods)+pods+len(j.slots) > e.cfg.MaxPods ||
		e.cfg.MaxObjects > 0 && e.store.Live()+bytes+j.podCost*int64(1+len(j.slots)) > e.cfg.MaxObjects
}

// keptLeast is how long a finished Job stays, so that its outcome can be read, even if room is wanted.
const keptLeast = 30.0 // seconds

// makeRoom takes away the Job that finished first, and says whether there was one. A limit that is full of what is over must let go.
func (e *Engine) makeRoom(dry bool) bool {
	for len(e.finished) > 0 {
		j := e.finished[0]
		if !j.gone && e.jobs[j.key] == j {
			if dry || e.now-j.doneAt < keptLeast {
				return false
			}
			e.removeJob(j, metav1.DeletePropagationBackground)
			e.finished = e.finished[1:]
			return true
		}
		e.finished = e.finished[1:]
	}
	return false
}

// ended notes that a Job has finished.
func (e *Engine) ended(j *job) {
	j.done, j.doneAt = true, e.now
	e.Stats.JobsFinished++
	if len(e.finished) > 2*len(e.jobs)+16 {
		e.finished = slices.DeleteFunc(e.finished, func(j *job) bool { return j.gone })
	}
	e.finished = append(e.finished, j)
}

// waitingPods is the number of tasks that were taken and have no Pod yet, and what they will take.
func (e *Engine) waitingPods() (n int, bytes int64) {
	for _, j := range e.backlog {
		n += len(j.slots) - j.next
		bytes += j.podCost * int64(len(j.slots)-j.next)
	}
	return n, bytes
}

func (e *Engine) startJob(j *job) {
	if s := j.obj.Spec.ActiveDeadlineSeconds; s != nil && !j.suspended {
		e.stopTimer(j.deadline)
		j.deadline = e.after(float64(*s), func() { e.failJob(j, "DeadlineExceeded", "Job was active longer than specified deadline") })
	}
	e.enqueue(j)
	e.touchJob(j)
}

func (e *Engine) enqueue(j *job) {
	if !j.queued && !j.gone && !j.suspended && j.failWhole == "" && j.next < len(j.slots) {
		j.queued = true
		e.backlog = append(e.backlog, j)
	}
	if len(e.backlog) > 0 && !e.admits {
		e.admits = true
		e.after(0, e.admit)
	}
}

const turn = 32 // tasks that a Job may begin before the next Job's turn

// admit begins tasks of Jobs in turn, a bounded number in one call, so that a large Job holds up nobody.
func (e *Engine) admit() {
	e.admits = false
	left := e.cfg.AdmitBatch
	for left > 0 && len(e.backlog) > 0 {
		j := e.backlog[0]
		e.backlog = e.backlog[1:]
		j.queued = false
		if j.gone || j.suspended || j.failWhole != "" {
			continue
		}
		limit := int(deref(j.obj.Spec.Parallelism, 1))
		for n := 0; n < turn && left > 0 && j.next < len(j.slots) && j.active < limit; n++ {
			i := j.next
			j.next++
			if j.slots[i].begun || j.slots[i].done {
				continue
			}
			e.spawn(j, i)
			left--
		}
		e.drainQueue()
		if j.next < len(j.slots) && j.active < limit {
			e.enqueue(j)
		}
	}
	if len(e.backlog) > 0 && !e.admits {
		e.admits = true
		e.after(0, e.admit)
	}
}

// spawn makes the Pod of an index and begins to ask for it.
func (e *Engine) spawn(j *job, i int) {
	s := &j.slots[i]
	s.begun, s.timer = true, nil
	t := &task{uid: e.newUID(), namespace: j.obj.Namespace, job: j, index: i, class: j.class, tenant: j.tenant,
		service: j.service, cores: j.cores, memory: j.memory, budget: s.budget}
	t.name = fmt.Sprintf("%.52s-%d-%s", j.obj.Name, i, e.suffix())
	t.giveUp = e.now + e.cfg.Retry.MaxWait(e.cfg.Placer.Classes[j.class].Deadline, t.budget)
	if j.deadline.Pending() {
		t.giveUp = min(t.giveUp, j.deadline.At)
	}
	s.cur = t
	j.active++
	p := &corev1.Pod{Spec: j.obj.Spec.Template.Spec} // shared: what is in the store is never changed
	p.Name, p.Namespace, p.UID = t.name, t.namespace, t.uid
	p.GenerateName = fmt.Sprintf("%s-%d-", j.obj.Name, i)
	p.Labels = maps.Clone(j.obj.Spec.Template.Labels)
	p.Annotations = maps.Clone(j.obj.Spec.Template.Annotations)
	if p.Labels == nil {
		p.Labels = map[string]string{}
	}
	if p.Annotations == nil {
		p.Annotations = map[string]string{}
	}
	p.Labels[wellknown.Index] = strconv.Itoa(i)
	p.Annotations[wellknown.Index] = strconv.Itoa(i)
	p.Annotations[wellknown.GiveUpAt] = wellknown.Instant(t.giveUp)
	p.CreationTimestamp = wellknown.Time(e.now)
	p.OwnerReferences = []metav1.OwnerReference{ownedBy(j)}
	p.Status.Phase = corev1.PodPending
	p.Status.QOSClass = corev1.PodQOSBurstable
	j.pods[t.name] = struct{}{}
	e.addTask(t, p)
	if e.stopping {
		// Never requested: the placer would handle the request and make an attempt before it handled a withdrawal of it.
		t.phase = waiting
		e.settle(t, wellknown.Rejected, "the scheduler stops")
	} else {
		e.begAsk(t)
	}
	e.touchJob(j)
}

func ownedBy(j *job) metav1.OwnerReference {
	yes := true
	return metav1.OwnerReference{APIVersion: "batch/v1", Kind: "Job", Name: j.obj.Name, UID: j.uid, Controller: &yes,
		BlockOwnerDeletion: &yes}
}

// carried is the Job as machines keep it with each Pod, so that a scheduler that starts anew finds out what it is for.
func (j *job) carried() string {
	if j.carriedText == "" {
		o := batchv1.Job{ObjectMeta: metav1.ObjectMeta{Name: j.obj.Name, Namespace: j.obj.Namespace, UID: j.uid,
			Labels: j.obj.Labels, CreationTimestamp: j.obj.CreationTimestamp}, Spec: j.obj.Spec}
		b, err := json.Marshal(&o)
		if err != nil {
			return ""
		}
		j.carriedText = string(b)
	}
	return j.carriedText
}

// jobSettled counts the first outcome of each index.
func (e *Engine) jobSettled(t *task, reason string) {
	j := t.job
	s := &j.slots[t.index]
	if s.settled || t.stopReason == "Suspended" || s.cur != t {
		return
	}
	s.settled = true
	j.settled[reason]++
	j.mayRan = j.mayRan || t.everRan
	e.touchJob(j)
}

// jobTaskEnded counts the end of a task and has it asked for again where the Job wants that.
func (e *Engine) jobTaskEnded(t *task, ok bool, c retry.Cause) {
	j := t.job
	s := &j.slots[t.index]
	if s.cur != t {
		return
	}
	s.cur = nil
	j.active--
	e.touchJob(j)
	switch {
	case ok:
		j.succeeded++
		s.done = true
	case j.gone:
	case j.suspended && t.stopReason == "Suspended":
		s.begun = false
		j.next = min(j.next, t.index)
	default:
		j.failed++
		again := e.againAfterRun(j, s, t, c)
		if !again {
			s.done = true
			j.exhausted++
		}
	}
	e.enqueue(j)
	e.checkJob(j)
}

// againAfterRun has an index asked for again after its task ended without success.
func (e *Engine) againAfterRun(j *job, s *slot, t *task, c retry.Cause) bool {
	if j.failWhole != "" || c == retry.Rejected && t.stopReason == "" || e.stopping {
		return false // the owner asked as often as it may before it settled
	}
	effect := e.cfg.Placer.Classes[j.class].Idempotency
	if effect == placer.NonIdempotent && (c == retry.Failed || t.mayRan) {
		return false // it ran to its end, or may still have a copy that nobody knows of
	}
	budget := t.budget
	if c == retry.Migrated || t.stopReason != "" {
		budget = max(budget, 1) // moves on our own order cost nothing
	}
	// The end is known, so there is no doubt left; the owner only chooses the wait.
	v, at := e.cfg.Retry.Next(retry.State{Idempotency: placer.Idempotent, Cause: c, Now: e.now, Deadline: e.now + 3600,
		Attempts: max(int(deref(j.obj.Spec.BackoffLimit, defaultBackoff))-t.budget+1, 1), Budget: budget, Jitter: e.rng.Float64()})
	if v != retry.RetryAt {
		return false
	}
	if effect != placer.Idempotent {
		at = max(at, e.now+e.cfg.Retry.UnknownOutcomeTimeout)
	}
	s.budget = t.budget
	if budget == t.budget {
		s.budget--
	}
	i := t.index
	s.timer = e.at(at, func() {
		if !j.gone && !j.suspended && j.failWhole == "" && j.slots[i].cur == nil {
			e.spawn(j, i)
			e.drainQueue()
		}
	})
	return true
}

func (e *Engine) touchJob(j *job) {
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// checkJob ends a Job whose tasks have all ended.
func (e *Engine) checkJob(j *job) {
	if j.done || j.gone || j.active > 0 || j.suspended && j.failWhole == "" {
		return
	}
	if j.failWhole == "" && j.succeeded+j.exhausted < len(j.slots) {
		return
	}
	e.ended(j)
	e.stopTimer(j.deadline)
	e.touchJob(j)
	keep := e.cfg.FinishedTTL
	if s := j.obj.Spec.TTLSecondsAfterFinished; s != nil {
		keep = float64(*s)
	} else if keep <= 0 {
		return
	}
	j.ttl = e.after(keep, func() {
		if e.jobs[j.key] == j {
			e.removeJob(j, metav1.DeletePropagationBackground)
		}
	})
}

// failJob ends a Job as a whole: what is active is stopped.
func (e *Engine) failJob(j *job, reason, words string) {
	if j.done || j.gone || j.failWhole != "" {
		return
	}
	j.failWhole, j.failWholeWords = reason, words
	for i := range j.slots {
		e.stopTimer(j.slots[i].timer)
		if t := j.slots[i].cur; t != nil {
			e.halt(t, reason)
		}
	}
	e.drainQueue()
	e.checkJob(j)
	e.touchJob(j)
}

// flushJob writes a Job's status if it changed.
func (e *Engine) flushJob(j *job) {
	if j.gone || e.jobs[j.key] != j {
		return
	}
	if len(j.slots) == 0 && !j.done && !j.suspended {
		e.ended(j)
	}
	// A spec may be large, and is not changed here.
	next := *j.obj
	o := &next
	j.obj.ObjectMeta.DeepCopyInto(&o.ObjectMeta)
	j.obj.Status.DeepCopyInto(&o.Status)
	s := &o.Status
	now := wellknown.Time(e.now)
	if s.StartTime == nil && !j.suspended {
		s.StartTime = &now
	}
	s.Active, s.Succeeded, s.Failed = int32(j.active), int32(j.succeeded), int32(j.failed)
	s.CompletedIndexes = ""
	total := 0
	for _, n := range j.settled {
		total += n
	}
	if total == len(j.slots) {
		reason := wellknown.Failed
		switch {
		case j.settled[wellknown.Placed] == total:
			reason = wellknown.Placed
		case j.settled[wellknown.Placed] == 0 && j.settled[wellknown.Failed] == 0 && !j.mayRan:
			reason = wellknown.Rejected
		}
		setJobCondition(s, wellknown.Settled, reason, fmt.Sprintf("%d placed, %d refused, %d failed", j.settled[wellknown.Placed],
			j.settled[wellknown.Rejected], j.settled[wellknown.Failed]), now, true)
	}
	if j.suspended {
		setJobCondition(s, batchv1.JobSuspended, "JobSuspended", "Job suspended", now, false)
	} else {
		for i := range s.Conditions {
			if c := &s.Conditions[i]; c.Type == batchv1.JobSuspended && c.Status == corev1.ConditionTrue {
				c.Status, c.Reason, c.Message, c.LastTransitionTime = corev1.ConditionFalse, "JobResumed", "Job resumed", now
			}
		}
	}
	if j.done {
		switch {
		case j.failWhole != "":
			setJobCondition(s, batchv1.JobFailed, j.failWhole, j.failWholeWords, now, true)
		case j.exhausted > 0:
			setJobCondition(s, batchv1.JobFailed, "FailedIndexes", fmt.Sprintf("%d of %d tasks did not succeed", j.exhausted,
				len(j.slots)), now, true)
		default:
			setJobCondition(s, batchv1.JobComplete, "CompletionsReached", "Reached expected number of succeeded pods", now, true)
			if s.CompletionTime == nil {
				s.CompletionTime = &now
			}
		}
	}
	if equality.Semantic.DeepEqual(&o.Status, &j.obj.Status) {
		return
	}
	j.obj = o
	e.store.Put(store.Jobs, o)
}

// setJobCondition sets a condition. One that is final is never changed once it stands.
func setJobCondition(s *batchv1.JobStatus, kind batchv1.JobConditionType, reason, message string, now metav1.Time, final bool) {
	c := batchv1.JobCondition{Type: kind, Status: corev1.ConditionTrue, Reason: reason, Message: message,
		LastProbeTime: now, LastTransitionTime: now}
	for i := range s.Conditions {
		if s.Conditions[i].Type == kind {
			if !final && s.Conditions[i].Status != corev1.ConditionTrue {
				s.Conditions[i] = c
			}
			return
		}
	}
	s.Conditions = append(s.Conditions, c)
}

// UpdateJob replaces the parts of a Job that may change: labels, annotations, suspend, parallelism, time to live and active
// deadline. o.ResourceVersion, if set, must be the present one.
func (e *Engine) UpdateJob(now float64, o *batchv1.Job, dry bool) (*batchv1.Job, error) {
	e.begin(now)
	defer e.end()
	j := e.jobs[jobKey(o)]
	if j == nil {
		return nil, ErrNotFound
	}
	if o.ResourceVersion != "" && o.ResourceVersion != j.obj.ResourceVersion || o.UID != "" && o.UID != j.uid {
		return nil, ErrConflict
	}
	was := j.obj
	next := was.DeepCopy()
	next.Labels, next.Annotations = maps.Clone(o.Labels), maps.Clone(o.Annotations)
	next.Spec.Suspend, next.Spec.Parallelism = o.Spec.Suspend, o.Spec.Parallelism
	next.Spec.TTLSecondsAfterFinished, next.Spec.ActiveDeadlineSeconds = o.Spec.TTLSecondsAfterFinished, o.Spec.ActiveDeadlineSeconds
	// What is left may not differ.
	rest := o.Spec
	rest.Suspend, rest.Parallelism = next.Spec.Suspend, next.Spec.Parallelism
	rest.TTLSecondsAfterFinished, rest.ActiveDeadlineSeconds = next.Spec.TTLSecondsAfterFinished, next.Spec.ActiveDeadlineSeconds
	for _, f := range []struct {
		name string
		same bool
	}{
		{"spec.template", equality.Semantic.DeepEqual(&rest.Template, &was.Spec.Template)},
		{"spec.completions", equality.Semantic.DeepEqual(rest.Completions, was.Spec.Completions)},
		{"spec.selector", equality.Semantic.DeepEqual(rest.Selector, was.Spec.Selector)},
		{"spec.completionMode", equality.Semantic.DeepEqual(rest.CompletionMode, was.Spec.CompletionMode)},
		{"spec.backoffLimit", equality.Semantic.DeepEqual(rest.BackoffLimit, was.Spec.BackoffLimit)},
	} {
		if !f.same {
			return nil, &InvalidError{f.name, "field is immutable", "changed"}
		}
	}
	if p := next.Spec.Parallelism; p != nil && *p < 0 {
		return nil, &InvalidError{"spec.parallelism", "must be 0 or more", *p}
	}
	if equality.Semantic.DeepEqual(next, was) {
		return was, nil
	}
	if !equality.Semantic.DeepEqual(&next.Spec, &was.Spec) {
		next.Generation++
	}
	if dry {
		return next, nil
	}
	j.obj, j.carriedText = next, ""
	e.store.Put(store.Jobs, next)
	suspend := deref(next.Spec.Suspend, false)
	switch {
	case suspend && !j.suspended && !j.done:
		j.suspended = true
		e.stopTimer(j.deadline)
		for i := range j.slots {
			e.stopTimer(j.slots[i].timer)
			t := j.slots[i].cur
			if t == nil {
				if j.slots[i].begun && !j.slots[i].done {
					j.slots[i].begun = false
					j.next = min(j.next, i)
				}
				continue
			}
			e.deletePodOf(t, "Suspended")
		}
	case !suspend && j.suspended:
		j.suspended = false
		e.startJob(j)
	default:
		e.enqueue(j)
	}
	e.touchJob(j)
	return e.jobs[j.key].obj, nil
}

func (e *Engine) deletePodOf(t *task, reason string) {
	if p := e.pod(t); p != nil {
		e.deletePod(p, reason)
	}
}

// DeleteJob takes a Job away, with its Pods as the policy says; "" is Background.
func (e *Engine) DeleteJob(now float64, namespace, name string, uid types.UID, rev string, how metav1.DeletionPropagation) (*batchv1.Job, error) {
	e.begin(now)
	defer e.end()
	j := e.jobs[store.Key(namespace, name)]
	if j == nil {
		return nil, ErrNotFound
	}
	if uid != "" && uid != j.uid || rev != "" && rev != j.obj.ResourceVersion {
		return nil, ErrConflict
	}
	e.removeJob(j, how)
	return j.obj, nil
}

func (e *Engine) removeJob(j *job, how metav1.DeletionPropagation) {
	if j.gone {
		return
	}
	j.gone = true
	e.stopTimer(j.deadline)
	e.stopTimer(j.ttl)
	for i := range j.slots {
		e.stopTimer(j.slots[i].timer)
	}
	names := slices.Sorted(maps.Keys(j.pods))
	if how == metav1.DeletePropagationOrphan {
		for _, name := range names {
			o := e.store.Get(store.Pods, j.obj.Namespace, name)
			if o == nil {
				continue
			}
			p := o.(*corev1.Pod).DeepCopy()
			p.OwnerReferences = nil
			e.store.Put(store.Pods, p)
			if t := e.tasks[p.UID]; t != nil {
				t.job = nil
			}
		}
		j.pods = nil
	}
	if how == metav1.DeletePropagationForeground && len(names) > 0 {
		j.foreground = true
		o := j.obj.DeepCopy()
		stamp := wellknown.Time(e.now)
		o.DeletionTimestamp = &stamp
		o.Finalizers = append(o.Finalizers, metav1.FinalizerDeleteDependents)
		e.store.Put(store.Jobs, o)
		j.obj = o
	} else {
		e.dropJob(j)
	}
	if how != metav1.DeletePropagationOrphan {
		for _, name := range names {
			if o := e.store.Get(store.Pods, j.obj.Namespace, name); o != nil {
				e.deletePod(o.(*corev1.Pod), "Deleted")
			}
		}
	}
	e.drainQueue()
}

func (e *Engine) dropJob(j *job) {
	if e.jobs[j.key] == j {
		delete(e.jobs, j.key)
		e.store.Delete(store.Jobs, j.obj.Namespace, j.obj.Name)
	}
}

func (j *job) dropPod(name string) { delete(j.pods, name) }

func (e *Engine) podGone(t *task) {
	if t.job != nil {
		t.job.dropPod(t.name)
		e.jobEmptied(t.job)
	}
}

// jobEmptied finishes a foreground deletion when the last Pod is gone.
func (e *Engine) jobEmptied(j *job) {
	if j.foreground && len(j.pods) == 0 {
		j.foreground = false
		e.dropJob(j)
	}
}

func (e *Engine) jobOf(p *corev1.Pod) *job {
	for i := range p.OwnerReferences {
		r := &p.OwnerReferences[i]
		if r.Kind == "Job" {
			if j := e.jobs[store.Key(p.Namespace, r.Name)]; j != nil && j.uid == r.UID {
				return j
			}
		}
	}
	return nil
}
