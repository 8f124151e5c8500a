package simulation

import (
	"fmt"

	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/engine"
	"heathshed/internal/lab/audit"
	"heathshed/placer"
)

const (
	// nodeSyncTimeout is how long after its first list a scheduler waits for the tasks of all listed nodes.
	nodeSyncTimeout placer.Seconds = 5
	// schedulerSeedStride separates the seeds of a scheduler's incarnations.
	schedulerSeedStride = 1000003
	// revisionsPerSecond is the number of revisions by which each second raises the first revision of an incarnation, so that revisions grow
	// across restarts.
	revisionsPerSecond = 1e6
)

// scheduler runs the incarnations of one scheduler. It owns engine, the present incarnation, which is nil while the scheduler is down.
type scheduler struct {
	world       *World
	index       int
	cfg         engine.Config
	engine      *engine.Engine
	incarnation int
	wakeAt      placer.Seconds // time of the earliest timer set for the engine, infinity if none is set
	synced      bool           // it has received the list of nodes
	syncedAt    placer.Seconds // when it first received the list
	watches     map[string]*podWatch
	attempts    map[string]attemptState // attempts in flight, by nodesim.AttemptKey

	// The state of the scheduler's client, which watches Pods; see audit.go.
	watchedRev int64
	created    map[types.UID]placer.Seconds // when the client first received a task
	settled    map[types.UID]bool           // tasks whose outcome the client has received
}

// start starts a new incarnation.
func (s *scheduler) start() error {
	s.incarnation++
	cfg := s.cfg
	cfg.Seed += uint64(s.incarnation) * schedulerSeedStride
	cfg.BaseRevision = int64(s.world.now * revisionsPerSecond)
	started, err := engine.New(cfg)
	if err != nil {
		return fmt.Errorf("scheduler %s: %w", cfg.Name, err)
	}
	s.engine = started
	s.wakeAt = never
	s.synced = false
	s.watches = map[string]*podWatch{}
	s.attempts = map[string]attemptState{}
	s.watchedRev = cfg.BaseRevision
	s.created = map[types.UID]placer.Seconds{}
	s.settled = map[types.UID]bool{}
	s.process()
	s.relist()
	return nil
}

// kill ends the incarnation at once.
func (s *scheduler) kill() {
	if s.engine == nil {
		return
	}
	s.world.record(audit.Event{Kind: audit.Killed, Scheduler: s.cfg.Name})
	s.engine = nil
	for _, watch := range s.watches {
		watch.cancelled = true
	}
}

// restart kills the scheduler and starts it again after the downtime.
func (s *scheduler) restart(downtime placer.Seconds) {
	s.kill()
	s.world.after(downtime, func() {
		if s.engine != nil {
			return
		}
		if err := s.start(); err != nil {
			panic("simulation: a configuration that was valid at the start is not any more: " + err.Error())
		}
	})
}

// aliveCheck returns a function that reports whether the present incarnation still runs.
func (s *scheduler) aliveCheck() func() bool {
	incarnation := s.incarnation
	return func() bool { return s.engine != nil && s.incarnation == incarnation }
}

// ready reports whether a running scheduler accepts Jobs: it has received the list of nodes, and the tasks of all listed nodes or has waited
// nodeSyncTimeout for them.
func (s *scheduler) ready() bool {
	listed, synced := s.engine.NodeCounts()
	waited := s.world.now > s.syncedAt+nodeSyncTimeout
	return s.synced && listed > 0 && (synced == listed || waited)
}

// relist requests the full list of nodes, which arrives after a round trip.
func (s *scheduler) relist() {
	w := s.world
	alive := s.aliveCheck()
	w.after(w.latency()*2, func() {
		if !alive() || !w.inventory.reachable() {
			return // the end of an inventory outage triggers another list
		}
		if !s.synced {
			s.synced = true
			s.syncedAt = w.now
		}
		s.engine.NodesListed(w.now, engine.FullList, w.inventory.list(), nil)
		s.process()
	})
}

// process applies the engine's effects, passes changes to the client, and sets a timer for the engine's next wake-up.
func (s *scheduler) process() {
	w := s.world
	for s.engine != nil {
		effects := s.engine.Ready(nil)
		if len(effects) == 0 {
			break
		}
		for i := range effects {
			s.apply(&effects[i])
		}
	}
	if s.engine == nil {
		return
	}
	if w.cfg.AfterEngineCall != nil {
		w.cfg.AfterEngineCall(w, s.index)
	}
	s.watchPods()
	s.scheduleWake()
}

// scheduleWake sets a timer for the engine's next wake-up, unless one is set for an earlier time.
func (s *scheduler) scheduleWake() {
	at := s.engine.NextWake()
	if at >= s.wakeAt {
		return
	}
	w := s.world
	s.wakeAt = at
	alive := s.aliveCheck()
	w.at(at, func() {
		if alive() && s.wakeAt <= w.now {
			s.wakeAt = never
			s.engine.Tick(w.now)
			s.process()
		}
	})
}

// apply applies one effect of the engine.
func (s *scheduler) apply(effect *engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.sendAttempt(effect)
	case engine.AbandonAttempt:
		s.abandonAttempt(effect)
	case engine.StopTask:
		s.stopTask(effect)
	case engine.WatchNode:
		s.unwatchNode(effect.Node)
		s.watchNode(effect.Node)
	case engine.UnwatchNode:
		s.unwatchNode(effect.Node)
	case engine.RelistNodes:
		s.relist()
	}
}
