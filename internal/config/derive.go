package config

import (
	"fmt"
	"slices"

	"heathshed/internal/admission"
	"heathshed/internal/engine"
	"heathshed/internal/memquota"
	"heathshed/internal/nodesim"
	"heathshed/internal/retry"
	"heathshed/placer"
)

const (
	// overQuotaWeight is the factor on the weight of tasks beyond their tenant's quota.
	overQuotaWeight = 0.2
	// terminatedRetention is how long emulated nodes list terminated tasks, in seconds.
	terminatedRetention = 60
	// nodeSeedStride separates the seeds of emulated nodes.
	nodeSeedStride = 104729
)

// Engine returns the configuration of a scheduler's engine. baseRev is the store's first revision.
func (s *Settings) Engine(seed uint64, baseRev int64) engine.Config {
	memory := memquota.Divide(int64(s.Limits.MemoryMiB) << 20)
	cfg := engine.Config{
		MaxHistory:      memory.History,
		MaxObjects:      memory.Objects,
		Name:            s.Name,
		Zone:            s.Zone,
		Seed:            seed,
		BaseRevision:    baseRev,
		History:         s.Limits.History,
		MaxPods:         s.Limits.MaxPods,
		FinishedTTL:     s.Limits.FinishedTTL,
		NodeLossTimeout: s.Limits.NodeLossTimeout,
		Admission:       s.Admission.controllerConfig(),
		Retry:           s.Retry.policy(),
		Placer:          s.placerConfig(),
	}
	for i := range s.Classes {
		cfg.Classes = append(cfg.Classes, s.Classes[i].Name)
		if s.Classes[i].Name == s.DefaultClass {
			cfg.DefaultClass = i
		}
	}
	for _, nodeType := range s.NodeTypes {
		cfg.NodeTypes = append(cfg.NodeTypes, nodeType.Name)
	}
	for _, tenant := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, tenant.Name)
	}
	return cfg
}

func (a *Admission) controllerConfig() admission.Config {
	return admission.Config{
		MinInFlight:      a.MinInFlight,
		MaxInFlight:      a.MaxInFlight,
		InitialInFlight:  a.InitialInFlight,
		DecreaseFactor:   a.DecreaseFactor,
		DecreaseInterval: a.DecreaseInterval,
		LateFraction:     a.LateFraction,
		MaxQueued:        a.MaxQueued,
		RetryRatio:       a.RetryRatio,
		RetryRate:        a.RetryRate,
		RetryBurst:       a.RetryBurst,
		Disabled:         !a.Enabled,
	}
}

func (r *Retry) policy() retry.Policy {
	return retry.Policy{
		Delay:                 r.Delay,
		ShortDelay:            r.ShortDelay,
		Multiplier:            r.Multiplier,
		MaxDelay:              r.MaxDelay,
		UnknownOutcomeTimeout: r.UnknownOutcomeTimeout,
	}
}

func (s *Settings) placerConfig() placer.Config {
	cfg := placer.Config{
		Self:                s.Self,
		Peers:               s.Peers,
		OvercommitCores:     s.NodePolicy.OvercommitCores,
		OvercommitMemory:    s.NodePolicy.OvercommitMemory,
		AcknowledgesOnStart: s.NodePolicy.AcknowledgesOnStart,
		ListShowsCapacity:   s.NodePolicy.ListShowsCapacity,
		ReportsUsage:        true,
		Preempts:            s.NodePolicy.Preempts,
		MaxAttempts:         s.NodePolicy.MaxAttempts,
		ConnectTimeout:      s.ConnectTimeout,
		AnswerGrace:         s.Rules.AnswerGrace,
		DrainGrace:          s.Rules.DrainGrace,
		WarmupMinPace:       s.Rules.WarmupMinPace,
		WarmupDuration:      s.Rules.WarmupDuration,
		OverloadMultiple:    s.Rules.OverloadMultiple,
		OverloadWindow:      s.Rules.OverloadWindow,
		WarmupAttempts:      s.Rules.WarmupAttempts,
		UnknownOutcomeWait:  s.Retry.UnknownOutcomeTimeout,
		NodeCost:            s.Costs.Node,
		CrossZoneCost:       s.Costs.CrossZone,
		MigrationCost:       s.Costs.Migration,
		OverQuotaWeight:     overQuotaWeight,
	}
	for i := range s.Classes {
		cfg.Classes = append(cfg.Classes, s.placerClass(&s.Classes[i]))
	}
	for _, nodeType := range s.NodeTypes {
		cfg.NodeTypes = append(cfg.NodeTypes, placer.NodeType{Cores: nodeType.Cores, Memory: nodeType.Memory})
	}
	for _, tenant := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, placer.Tenant{Share: tenant.Share, Cores: tenant.Cores})
	}
	return cfg
}

func (s *Settings) placerClass(class *Class) placer.Class {
	return placer.Class{
		Idempotency:         idempotencies[class.Idempotency],
		DedupDomain:         topologyDomains[class.DedupDomain],
		DedupWindow:         class.DedupWindow,
		LatencyObjective:    class.LatencyObjective,
		Deadline:            class.Deadline,
		Weight:              class.Weight,
		LateWeight:          class.LateWeight,
		StartBonus:          class.StartBonus,
		Priority:            class.Priority,
		NodeType:            slices.IndexFunc(s.NodeTypes, func(t NodeType) bool { return t.Name == class.NodeType }),
		SpreadDomain:        topologyDomains[class.SpreadDomain],
		MaxPerDomain:        class.MaxPerDomain,
		SaturationThreshold: class.SaturationThreshold,
		DegradationRange:    class.DegradationRange,
	}
}

// EmulatedNode describes one emulated node.
type EmulatedNode struct {
	Sim      nodesim.Config
	NodeType string
	Rack     string
	Zone     string
}

// EmulatedNode returns the i-th emulated node. Node types take turns, then racks; racks are assigned to zones in turn.
func (s *Settings) EmulatedNode(i int) EmulatedNode {
	nodeType := &s.NodeTypes[i%len(s.NodeTypes)]
	rack := (i / len(s.NodeTypes)) % max(s.Emulator.Racks, 1)
	zone := s.Zone
	if zoneIndex := rack % max(s.Emulator.Zones, 1); zoneIndex > 0 {
		zone = fmt.Sprintf("zone-%c", 'a'+zoneIndex)
	}
	return EmulatedNode{
		Sim:      s.nodesimConfig(nodeType, i),
		NodeType: nodeType.Name,
		Rack:     fmt.Sprintf("rack-%d", rack+1),
		Zone:     zone,
	}
}

func (s *Settings) nodesimConfig(nodeType *NodeType, i int) nodesim.Config {
	e := &s.Emulator
	return nodesim.Config{
		Cores:               nodeType.Cores,
		Memory:              nodeType.Memory,
		OvercommitCores:     s.NodePolicy.OvercommitCores,
		OvercommitMemory:    s.NodePolicy.OvercommitMemory,
		DecisionDelayMin:    e.DecisionDelayMin,
		DecisionDelayMax:    e.DecisionDelayMax,
		MaxQueued:           e.MaxQueued,
		MaxConcurrentStarts: e.MaxConcurrentStarts,
		StartSeconds:        e.StartSeconds,
		UncachedStartFactor: e.UncachedStartFactor,
		ProgramCacheSize:    e.ProgramCacheSize,
		InitialPace:         s.Rules.WarmupMinPace,
		WarmUpSeconds:       s.Rules.WarmupDuration,
		OverloadFactor:      s.Rules.OverloadMultiple,
		OverloadWindow:      s.Rules.OverloadWindow,
		OverloadMinRequests: s.Rules.WarmupAttempts,
		AnswerWhenRunning:   s.NodePolicy.AcknowledgesOnStart,
		Preempts:            s.NodePolicy.Preempts,
		LifetimeMean:        e.LifetimeMean,
		UsageMin:            e.UsageMin,
		UsageMax:            e.UsageMax,
		DrainGrace:          e.DrainGrace,
		TerminatedRetention: terminatedRetention,
		Seed:                e.Seed + uint64(i)*nodeSeedStride,
	}
}

// Priorities returns the priority of each class, for emulated nodes.
func (s *Settings) Priorities() map[string]int {
	priorities := map[string]int{}
	for i := range s.Classes {
		priorities[s.Classes[i].Name] = s.Classes[i].Priority
	}
	return priorities
}

// Lifetimes returns the mean lifetime in seconds of emulated tasks, for each class that gives one.
func (s *Settings) Lifetimes() map[string]float64 {
	lifetimes := map[string]float64{}
	for i := range s.Classes {
		if lifetime := s.Classes[i].MeanLifetime; lifetime > 0 {
			lifetimes[s.Classes[i].Name] = lifetime
		}
	}
	return lifetimes
}
