package labconfig

import (
	"fmt"

	"heathshed/internal/config"
	"heathshed/internal/lab/nodesim"
	"heathshed/placer"
)

const (
	// terminatedRetention is the time for which emulated nodes list terminated tasks.
	terminatedRetention placer.Seconds = 60
	// nodeSeedStride is the difference between the seeds of consecutive emulated nodes.
	nodeSeedStride = 104729
)

// EmulatedNode describes one emulated node.
type EmulatedNode struct {
	Sim      nodesim.Config
	NodeType string
	Rack     string
	Zone     string
}

// NodeAt returns the i-th emulated node. Node types are assigned round-robin; each sequence of all types gets the next rack, and each rack the
// next zone.
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
		Cores:      nodeType.Cores,
		Memory:     nodeType.Memory,
		Overcommit: nodesim.Overcommit{Cores: s.NodePolicy.OvercommitCores, Memory: s.NodePolicy.OvercommitMemory},
		Decisions: nodesim.Decisions{
			DelayMin:  placer.Seconds(e.DecisionDelayMin),
			DelayMax:  placer.Seconds(e.DecisionDelayMax),
			MaxQueued: e.MaxQueued,
		},
		Starts: nodesim.Starts{
			MaxConcurrent:    e.MaxConcurrentStarts,
			Duration:         placer.Seconds(e.StartDuration),
			UncachedFactor:   e.UncachedStartFactor,
			ProgramCacheSize: e.ProgramCacheSize,
		},
		WarmUp: nodesim.WarmUp{InitialPace: s.Timing.WarmupMinPace, Duration: placer.Seconds(s.Timing.WarmupDuration)},
		Overload: nodesim.Overload{
			Factor:      s.Timing.OverloadMultiple,
			Window:      placer.Seconds(s.Timing.OverloadWindow),
			MinRequests: s.Timing.WarmupAttempts,
		},
		Usage:               nodesim.Usage{Min: e.UsageMin, Max: e.UsageMax},
		AnswerWhenRunning:   s.NodePolicy.AcknowledgesOnStart,
		Preempts:            s.NodePolicy.Preempts,
		LifetimeMean:        placer.Seconds(e.MeanLifetime),
		DrainGrace:          placer.Seconds(e.DrainGrace),
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

// Lifetimes returns the mean lifetime in seconds of emulated tasks, for each class that has one.
func Lifetimes(s *config.Settings) map[string]float64 {
	lifetimes := map[string]float64{}
	for i := range s.Classes {
		if lifetime := s.Classes[i].MeanLifetime.Seconds(); lifetime > 0 {
			lifetimes[s.Classes[i].Name] = lifetime
		}
	}
	return lifetimes
}
