package labconfig

import (
	"fmt"

	"heathshed/internal/config"
	"heathshed/internal/lab/nodesim"
)

const (
	// terminatedRetention is how long emulated nodes list terminated tasks, in seconds.
	terminatedRetention = 60
	// nodeSeedStride separates the seeds of emulated nodes.
	nodeSeedStride = 104729
)

// EmulatedNode describes one emulated node.
type EmulatedNode struct {
	Sim      nodesim.Config
	NodeType string
	Rack     string
	Zone     string
}

// NodeAt returns the i-th emulated node. Node types take turns, then racks; racks are assigned to zones in turn.
func NodeAt(s *config.Settings, i int) EmulatedNode {
	nodeType := &s.NodeTypes[i%len(s.NodeTypes)]
	rack := (i / len(s.NodeTypes)) % max(s.Emulator.Racks, 1)
	zone := s.Zone
	if zoneIndex := rack % max(s.Emulator.Zones, 1); zoneIndex > 0 {
		zone = fmt.Sprintf("zone-%c", 'a'+zoneIndex)
	}
	return EmulatedNode{
		Sim:      simulatedNode(s, nodeType, i),
		NodeType: nodeType.Name,
		Rack:     fmt.Sprintf("rack-%d", rack+1),
		Zone:     zone,
	}
}

// simulatedNode returns the configuration of the i-th node, which is of the given type.
func simulatedNode(s *config.Settings, nodeType *config.NodeType, i int) nodesim.Config {
	e := &s.Emulator
	return nodesim.Config{
		Cores:               nodeType.Cores,
		Memory:              nodeType.Memory,
		OvercommitCores:     s.NodePolicy.OvercommitCores,
		OvercommitMemory:    s.NodePolicy.OvercommitMemory,
		DecisionDelayMin:    e.DecisionDelayMin.Seconds(),
		DecisionDelayMax:    e.DecisionDelayMax.Seconds(),
		MaxQueued:           e.MaxQueued,
		MaxConcurrentStarts: e.MaxConcurrentStarts,
		StartSeconds:        e.StartDuration.Seconds(),
		UncachedStartFactor: e.UncachedStartFactor,
		ProgramCacheSize:    e.ProgramCacheSize,
		InitialPace:         s.Timing.WarmupMinPace,
		WarmUpSeconds:       s.Timing.WarmupDuration.Seconds(),
		OverloadFactor:      s.Timing.OverloadMultiple,
		OverloadWindow:      s.Timing.OverloadWindow.Seconds(),
		OverloadMinRequests: s.Timing.WarmupAttempts,
		AnswerWhenRunning:   s.NodePolicy.AcknowledgesOnStart,
		Preempts:            s.NodePolicy.Preempts,
		LifetimeMean:        e.MeanLifetime.Seconds(),
		UsageMin:            e.UsageMin,
		UsageMax:            e.UsageMax,
		DrainGrace:          e.DrainGrace.Seconds(),
		TerminatedRetention: terminatedRetention,
		Seed:                e.Seed + uint64(i)*nodeSeedStride,
	}
}

// Priorities returns the priority of each class, for emulated nodes.
func Priorities(s *config.Settings) map[string]int {
	priorities := map[string]int{}
	for i := range s.Classes {
		priorities[s.Classes[i].Name] = s.Classes[i].Priority
	}
	return priorities
}

// Lifetimes returns the mean lifetime in seconds of emulated tasks, for each class that gives one.
func Lifetimes(s *config.Settings) map[string]float64 {
	lifetimes := map[string]float64{}
	for i := range s.Classes {
		if lifetime := s.Classes[i].MeanLifetime.Seconds(); lifetime > 0 {
			lifetimes[s.Classes[i].Name] = lifetime
		}
	}
	return lifetimes
}
