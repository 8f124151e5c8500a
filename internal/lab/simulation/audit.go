package simulation

import (
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/placer"
)

const (
	// auditSlack is the tolerance of the auditor for times.
	auditSlack placer.Seconds = 0.1
	// watchBatch is the largest number of changes that the client reads in one call.
	watchBatch = 1000
)

// record records an event for the auditor, at the present time.
func (w *World) record(event audit.Event) {
	if w.cfg.KeepEvents {
		event.At = w.now
		w.Events = append(w.Events, event)
	}
}

// Audit checks the recorded events against the placement rules.
func (w *World) Audit() audit.Report {
	return audit.Check(w.cfg.Rules, w.Events)
}

// watchPods passes the changes of Pods since the last call to the scheduler's client.
func (s *scheduler) watchPods() {
	pods := s.engine.Store()
	for s.watchedRev < pods.Revision() {
		changes, err := pods.ChangesSince(store.Pods, s.watchedRev, watchBatch)
		if err != nil {
			panic("simulation: the watch fell behind: " + err.Error())
		}
		if len(changes) == 0 {
			s.watchedRev = pods.Revision()
			break
		}
		for i := range changes {
			s.watchedRev = changes[i].Revision
			s.observe(changes[i].Op, changes[i].Object.(*corev1.Pod))
		}
	}
}

// observe records what a change of a Pod shows to the client: the submission of its task, the outcome, or the withdrawal of a task without one.
func (s *scheduler) observe(op store.Op, pod *corev1.Pod) {
	uid := pod.UID
	if _, known := s.created[uid]; !known && op == store.Added {
		s.observeCreated(pod)
	}
	if reason := wellknown.SettledReason(pod); reason != "" && !s.settled[uid] {
		s.observeSettled(pod, reason)
	}
	if op == store.Deleted {
		if !s.settled[uid] {
			s.world.record(s.taskEvent(audit.Withdrawn, pod))
		}
		delete(s.created, uid)
		delete(s.settled, uid)
	}
}

// observeCreated records that the client has received a new Pod.
func (s *scheduler) observeCreated(pod *corev1.Pod) {
	w := s.world
	s.created[pod.UID] = w.now
	w.CreatedAt = append(w.CreatedAt, w.now)
	if wellknown.SettledReason(pod) != "" {
		// The Pod was adopted after a restart. Its outcome was recorded before.
		s.settled[pod.UID] = true
		return
	}
	submitted := s.taskEvent(audit.Submitted, pod)
	submitted.Class = pod.Labels[wellknown.Class]
	submitted.Deadline = wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])
	w.record(submitted)
}

// observeSettled records the outcome of a task, and the latency of a placement.
func (s *scheduler) observeSettled(pod *corev1.Pod, reason string) {
	w := s.world
	s.settled[pod.UID] = true
	settled := s.taskEvent(audit.Settled, pod)
	settled.Reason = reason
	w.record(settled)
	if reason == wellknown.Placed {
		created := s.created[pod.UID]
		w.Placements = append(w.Placements, Placement{CreatedAt: created, Latency: w.now - created})
	}
}

// taskEvent returns an audit event of the scheduler's client about a task.
func (s *scheduler) taskEvent(kind audit.EventKind, pod *corev1.Pod) audit.Event {
	return audit.Event{Kind: kind, UID: string(pod.UID), Scheduler: s.cfg.Name}
}
