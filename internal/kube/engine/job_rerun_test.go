package engine

import (
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/placer"
)

// TestRerunAfterAdoptedTask guards against a retry that comes too early: while a completion index waits for its
// next start, a stray task of the index is adopted and fails too. The index must wait for the delay after this
// second failure.
func TestRerunAfterAdoptedTask(t *testing.T) {
	engine := newEngine(t)
	createJobOnOneNode(t, engine, 1)
	var attempts []Effect
	now := tickUntil(engine, createdAt, createdAt+1, func() bool {
		attempts = append(attempts, takeAttempts(engine)...)
		return len(attempts) == 1
	})
	first := attempts[0]
	engine.AttemptDone(now, AttemptAnswer{UID: first.UID, Attempt: first.Attempt, Node: nodeName, Accepted: true, Incarnation: "a", Revision: 2})
	failed := func(pod *corev1.Pod) *corev1.Pod {
		pod = pod.DeepCopy()
		pod.Status = corev1.PodStatus{Phase: corev1.PodFailed, Reason: reasonError}
		return pod
	}
	engine.PodChanged(now, nodeName, failed(first.Pod), false)
	stray := first.Pod.DeepCopy()
	stray.UID, stray.Name = "stray", "stray"
	stray.Status.Phase = corev1.PodRunning
	engine.PodChanged(now+0.5, nodeName, stray, false)
	if engine.Stats.Recovered != 1 {
		t.Fatalf("the engine adopted %d tasks, want the stray task", engine.Stats.Recovered)
	}
	secondFailure := now + 1 // before the retry after the first failure, which is at least 1.05 s after it
	engine.PodChanged(secondFailure, nodeName, failed(stray), false)
	engine.Ready(nil)

	restartedAt := tickUntil(engine, secondFailure, secondFailure+10, func() bool { return len(takeAttempts(engine)) > 0 })

	const shortestSecondDelay placer.Seconds = 0.7 * 2.25 // the smallest random part of the second delay
	if restartedAt < secondFailure+shortestSecondDelay || restartedAt >= secondFailure+10 {
		t.Errorf("the index was started %.2f s after the second failure, want at least %.2f s and less than 10 s", restartedAt-secondFailure, shortestSecondDelay)
	}
}

// TestStrayTaskOfSucceededIndex guards against a Job whose count of failed indexes is wrong: a stray task of a
// completion index that has succeeded is found running.
func TestStrayTaskOfSucceededIndex(t *testing.T) {
	engine := newEngine(t)
	createJobOnOneNode(t, engine, 2) // The second task keeps the Job running.
	var attempts []Effect
	now := tickUntil(engine, createdAt, createdAt+1, func() bool {
		attempts = append(attempts, takeAttempts(engine)...)
		return len(attempts) == 2
	})
	first := attempts[0]
	for i, attempt := range attempts {
		engine.AttemptDone(now, AttemptAnswer{UID: attempt.UID, Attempt: attempt.Attempt, Node: nodeName, Accepted: true, Incarnation: "a", Revision: int64(2 + i)})
	}
	succeeded := first.Pod.DeepCopy()
	succeeded.Status.Phase = corev1.PodSucceeded
	engine.PodChanged(now, nodeName, succeeded, false)
	stray := first.Pod.DeepCopy()
	stray.UID, stray.Name = "stray", "stray"
	stray.Status.Phase = corev1.PodRunning

	engine.PodChanged(now+0.5, nodeName, stray, false)

	job := engine.jobs.get(defaultNamespace + "/" + jobName)
	if engine.Stats.Recovered != 1 || job.indexes.failedIndexes != 0 || job.indexes.succeededTasks != 1 || job.indexes.activeIndexes != 1 {
		t.Errorf("got %d adopted tasks, %d failed, %d succeeded and %d active indexes; want 1, 0, 1 and 1",
			engine.Stats.Recovered, job.indexes.failedIndexes, job.indexes.succeededTasks, job.indexes.activeIndexes)
	}
	if err := engine.CheckInvariants(); err != nil {
		t.Error(err)
	}
}
