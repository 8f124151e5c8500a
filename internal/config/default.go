package config

import (
	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/internal/kube/engine"
)

// Default returns the settings of a program that is given none.
func Default() Settings {
	return Settings{
		Name:         "heathshed",
		Listen:       "127.0.0.1:8480",
		Inventory:    "127.0.0.1:8481",
		Zone:         "zone-a",
		LogLevel:     "info",
		Peers:        1,
		Tenants:      []Tenant{},
		Classes:      defaultClasses(),
		DefaultClass: "batch",
		NodeTypes: []NodeType{
			{Name: "standard", Cores: 32, Memory: 64},
			{Name: "large", Cores: 64, Memory: 128},
		},
		NodePolicy: NodePolicy{
			OvercommitCores:   2,
			OvercommitMemory:  1.5,
			ListShowsCapacity: true,
			Preempts:          true,
			MaxAttempts:       4,
		},
		Rules: Rules{
			AnswerGrace:      0.25,
			DrainGrace:       0.5,
			WarmupMinPace:    0.2,
			WarmupDuration:   15,
			OverloadMultiple: 4,
			OverloadWindow:   3,
			WarmupAttempts:   8,
		},
		Retry:           defaultRetry(),
		Admission:       defaultAdmission(),
		NodeSyncTimeout: 5,
		ConnectTimeout:  1,
		ShutdownTimeout: 30,
		Limits: Limits{
			MemoryMiB:       2048,
			Connections:     16384,
			MaxBodyBytes:    3 << 20,
			MaxPods:         engine.DefaultMaxPods,
			History:         engine.DefaultHistory,
			FinishedTTL:     3600,
			NodeLossTimeout: engine.DefaultNodeLossTimeout,
		},
		Emulator: defaultEmulator(),
	}
}

func defaultClasses() []Class {
	batch := Class{
		Name:                "batch",
		Idempotency:         "idempotent",
		LatencyObjective:    4,
		Deadline:            10,
		Weight:              1,
		LateWeight:          0.2,
		StartBonus:          8,
		SaturationThreshold: 1,
		DegradationRange:    0.5,
	}

	web := batch
	web.Name = "web"
	web.LatencyObjective = 1
	web.Deadline = 8
	web.Priority = 1
	web.Weight = 2
	web.SaturationThreshold = 0.8

	once := batch
	once.Name = "once"
	once.Idempotency = "at_most_once"
	once.Priority = 2
	once.Weight = 2

	keyed := batch
	keyed.Name = "keyed"
	keyed.Idempotency = "deduplicated"
	keyed.DedupDomain = "rack"
	keyed.DedupWindow = 5
	keyed.LatencyObjective = 1
	keyed.Deadline = 8
	keyed.Priority = 1
	keyed.Weight = 3
	keyed.SaturationThreshold = 0.9

	spread := batch
	spread.Name = "spread"
	spread.SpreadDomain = "rack"
	spread.MaxPerDomain = 3

	return []Class{web, batch, once, keyed, spread}
}

func defaultRetry() Retry {
	policy := retry.DefaultPolicy()
	return Retry{
		Delay:                 policy.Delay,
		ShortDelay:            policy.ShortDelay,
		Multiplier:            policy.Multiplier,
		MaxDelay:              policy.MaxDelay,
		UnknownOutcomeTimeout: policy.UnknownOutcomeTimeout,
	}
}

func defaultAdmission() Admission {
	controller := admission.DefaultConfig()
	return Admission{
		Enabled:          true,
		MinInFlight:      controller.MinInFlight,
		MaxInFlight:      controller.MaxInFlight,
		InitialInFlight:  controller.InitialInFlight,
		DecreaseFactor:   controller.DecreaseFactor,
		DecreaseInterval: controller.DecreaseInterval,
		LateFraction:     controller.LateFraction,
		MaxQueued:        controller.MaxQueued,
		RetryRatio:       controller.RetryRatio,
		RetryRate:        controller.RetryRate,
		RetryBurst:       controller.RetryBurst,
	}
}

// defaultEmulator returns the emulated cluster of the commands up and emulate. Its nodes are those of nodesim.DefaultConfig, which this package
// does not import; a test of package labconfig compares them.
func defaultEmulator() Emulator {
	return Emulator{
		Nodes:               8,
		Racks:               2,
		Zones:               1,
		ReportDelay:         1,
		UnresponsiveAfter:   2,
		RemoveAfter:         60,
		DecisionDelayMin:    0.002,
		DecisionDelayMax:    0.006,
		MaxQueued:           64,
		MaxConcurrentStarts: 4,
		StartSeconds:        0.03,
		UncachedStartFactor: 6,
		ProgramCacheSize:    8,
		UsageMin:            0.4,
		UsageMax:            0.8,
		LifetimeMean:        20,
		DrainGrace:          0,
		Seed:                1,
	}
}
