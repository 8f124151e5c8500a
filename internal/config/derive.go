package config

import (
	"slices"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/memquota"
	"heathshed/internal/control/retry"
	"heathshed/internal/kube/engine"
	"heathshed/placer"
)

// overQuotaWeight is the factor by which the weight of a task is multiplied if the task exceeds the quota of
// its tenant.
const overQuotaWeight = 0.2

// EngineConfig returns the configuration of the engine of a scheduler. The engine assigns resource versions
// greater than baseRevision to stored objects. The random numbers of the engine depend on seed.
func (s *Settings) EngineConfig(seed uint64, baseRevision int64) engine.Config {
	memory := memquota.Divide(int64(s.Limits.MemoryMiB) << 20)
	cfg := engine.Config{
		MaxHistoryBytes: memory.History,
		MaxObjectBytes:  memory.Objects,
		Name:            s.Name,
		Zone:            s.Zone,
		Seed:            seed,
		BaseRevision:    baseRevision,
		HistoryEntries:  s.Limits.History,
		MaxPods:         s.Limits.MaxPods,
		FinishedTTL:     placer.Seconds(s.Limits.FinishedTTL),
		NodeLossTimeout: placer.Seconds(s.Limits.NodeLossTimeout),
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

// controllerConfig returns the configuration of the admission controller that results from the settings.
func (a *Admission) controllerConfig() admission.Config {
	return admission.Config{
		MinInFlight:      a.MinInFlight,
		MaxInFlight:      a.MaxInFlight,
		InitialInFlight:  a.InitialInFlight,
		DecreaseFactor:   a.DecreaseFactor,
		DecreaseInterval: placer.Seconds(a.DecreaseInterval),
		LateFraction:     a.LateFraction,
		MaxQueued:        a.MaxQueued,
		RetryRatio:       a.RetryRatio,
		RetryRate:        a.RetryRate,
		RetryBurst:       a.RetryBurst,
		Disabled:         !a.Enabled,
	}
}

// policy returns the retry policy for the engine, which results from the retry settings.
func (r *Retry) policy() retry.Policy {
	return retry.Policy{
		Delay:                 placer.Seconds(r.Delay),
		ShortDelay:            placer.Seconds(r.ShortDelay),
		Multiplier:            r.Multiplier,
		MaxDelay:              placer.Seconds(r.MaxDelay),
		UnknownOutcomeTimeout: placer.Seconds(r.UnknownOutcomeTimeout),
	}
}

// placerConfig returns the configuration of package placer that results from the settings.
func (s *Settings) placerConfig() placer.Config {
	cfg := placer.Config{
		Peers:           placer.Peers{Self: s.Self, Total: s.Peers},
		OverQuotaWeight: overQuotaWeight,
		NodeBehavior: placer.NodeBehavior{
			AcknowledgesOnStart: s.NodePolicy.AcknowledgesOnStart,
			ListShowsCapacity:   s.NodePolicy.ListShowsCapacity,
			ReportsUsage:        true,
			Preempts:            s.NodePolicy.Preempts,
		},
		Overcommit: placer.Overcommit{Cores: s.NodePolicy.OvercommitCores, Memory: s.NodePolicy.OvercommitMemory},
		SlowStart: placer.SlowStart{
			MinPace:          s.Timing.WarmupMinPace,
			Duration:         placer.Seconds(s.Timing.WarmupDuration),
			OverloadMultiple: s.Timing.OverloadMultiple,
			OverloadWindow:   placer.Seconds(s.Timing.OverloadWindow),
			MaxAttempts:      s.Timing.WarmupAttempts,
		},
		Attempts: placer.Attempts{
			Max:            s.NodePolicy.MaxAttempts,
			ConnectTimeout: placer.Seconds(s.ConnectTimeout),
			AnswerGrace:    placer.Seconds(s.Timing.AnswerGrace),
			DrainGrace:     placer.Seconds(s.Timing.DrainGrace),
		},
		Retry: placer.Retry{UnknownOutcomeWait: placer.Seconds(s.Retry.UnknownOutcomeTimeout)},
		Costs: placer.Costs{Node: s.Costs.Node, CrossZone: s.Costs.CrossZone, Migration: s.Costs.Migration},
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

// placerClass returns the configuration of a task class for package placer.
func (s *Settings) placerClass(class *Class) placer.Class {
	return placer.Class{
		Idempotency:         idempotencies[class.Idempotency],
		DedupDomain:         topologyDomains[class.DedupDomain],
		DedupWindow:         placer.Seconds(class.DedupWindow),
		LatencyObjective:    placer.Seconds(class.LatencyObjective),
		Deadline:            placer.Seconds(class.Deadline),
		Weight:              class.Weight,
		LateWeight:          class.LateWeight,
		StartBonus:          placer.Seconds(class.StartBonus),
		Priority:            class.Priority,
		NodeType:            slices.IndexFunc(s.NodeTypes, func(t NodeType) bool { return t.Name == class.NodeType }),
		SpreadDomain:        topologyDomains[class.SpreadDomain],
		MaxPerDomain:        class.MaxPerDomain,
		SaturationThreshold: class.SaturationThreshold,
		DegradationRange:    class.DegradationRange,
	}
}
