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
	// watchBatch is the number of changes that the client reads at a time.
	watchBatch = 1000
)

// record keeps an event for the auditor.
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

// watchPods lets a client that watches Pods see what has changed.
func (s *scheduler) watchPods() {
	pods := s.engine.Store()
	for s.watchedRev < pods.Rev() {
		changes, err := pods.Since(store.Pods, s.watchedRev, watchBatch)
		if err != nil {
			panic("simulation: the watch fell behind: " + err.Error())
		}
		if len(changes) == 0 {
			s.watchedRev = pods.Rev()
			break
		}
		for i := range changes {
			s.watchedRev = changes[i].Rev
			s.observe(changes[i].Op, changes[i].Object.(*corev1.Pod))
		}
	}
}

// observe records what a client sees of a changed Pod: the submission of its task, the outcome, and the withdrawal of a task without one.
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

func (s *scheduler) observeCreated(pod *corev1.Pod) {
	w := s.world
	s.created[pod.UID] = w.now
	w.CreatedAt = append(w.CreatedAt, w.now)
	if wellknown.SettledReason(pod) != "" {
		// Found running after a restart: its outcome was recorded before.
		s.settled[pod.UID] = true
		return
	}
	submitted := s.taskEvent(audit.Submitted, pod)
	submitted.Class = pod.Labels[wellknown.Class]
	submitted.Deadline = wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])
	w.record(submitted)
}

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
