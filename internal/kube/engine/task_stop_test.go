package engine

import (
	"errors"
	"testing"
)

// TestNoRestartDuringShutdown guards against a task that is stopped to be started elsewhere while the
// scheduler stops: no Job starts it again. A migration must not begin then, and an eviction must be refused.
func TestNoRestartDuringShutdown(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart func(engine *Engine, task *task) error
		wantErr error
	}{
		{"placer migrates the task", func(engine *Engine, task *task) error {
			engine.lifecycle.migrate(task.attempts.runningAttempt.request.id)
			return nil
		}, nil},
		{"API client evicts the Pod", func(engine *Engine, task *task) error {
			return engine.EvictPod(createdAt+2, task.namespace, task.name, task.uid, false)
		}, ErrStopping},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t)
			createJobOnOneNode(t, engine, 1)
			var attempts []Effect
			now := tickUntil(engine, createdAt, createdAt+1, func() bool {
				attempts = append(attempts, takeAttempts(engine)...)
				return len(attempts) > 0
			})
			if len(attempts) != 1 {
				t.Fatalf("the engine sent %d attempts, want 1", len(attempts))
			}
			engine.AttemptDone(now, AttemptAnswer{UID: attempts[0].UID, Attempt: attempts[0].Attempt, Node: nodeName, Accepted: true, Incarnation: "a", Revision: 2})
			engine.Stop(now)
			engine.Ready(nil)

			err := test.restart(engine, engine.tasks.get(attempts[0].UID))

			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
			for _, effect := range engine.Ready(nil) {
				if effect.Kind == StopTask {
					t.Error("the engine ordered the node to stop the task, want no order")
				}
			}
		})
	}
}
