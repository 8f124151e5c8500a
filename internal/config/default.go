package config

import (
	"time"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/internal/kube/engine"
)

// Default returns the default settings. A setting in a settings file replaces its default value.
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
		Timing: Timing{
			AnswerGrace:      DurationOf(250 * time.Millisecond),
			DrainGrace:       DurationOf(500 * time.Millisecond),
			WarmupMinPace:    0.2,
			WarmupDuration:   DurationOf(15 * time.Second),
			OverloadMultiple: 4,
			OverloadWindow:   DurationOf(3 * time.Second),
			WarmupAttempts:   8,
		},
		Retry:           defaultRetry(),
		Admission:       defaultAdmission(),
		NodeSyncTimeout: DurationOf(5 * time.Second),
		ConnectTimeout:  DurationOf(time.Second),
		ShutdownTimeout: DurationOf(30 * time.Second),
		Limits: Limits{
			MemoryMiB:       2048,
			Connections:     16384,
			MaxBodyBytes:    3 << 20,
			MaxPods:         engine.DefaultMaxPods,
			History:         engine.DefaultHistoryEntries,
			FinishedTTL:     DurationOf(time.Hour),
			NodeLossTimeout: Duration(engine.DefaultNodeLossTimeout),
		},
		Emulator: defaultEmulator(),
	}
}

// defaultClasses returns the default task classes. Each of them differs from the task class batch in a few
// settings.
func defaultClasses() []Class {
	batch := Class{
		Name:                "batch",
		Idempotency:         "idempotent",
		LatencyObjective:    DurationOf(4 * time.Second),
		Deadline:            DurationOf(10 * time.Second),
		Weight:              1,
		LateWeight:          0.2,
		StartBonus:          8,
		SaturationThreshold: 1,
		DegradationRange:    0.5,
	}

	web := batch
	web.Name = "web"
	web.LatencyObjective = DurationOf(time.Second)
	web.Deadline = DurationOf(8 * time.Second)
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
	keyed.DedupWindow = DurationOf(5 * time.Second)
	keyed.LatencyObjective = DurationOf(time.Second)
	keyed.Deadline = DurationOf(8 * time.Second)
	keyed.Priority = 1
	keyed.Weight = 3
	keyed.SaturationThreshold = 0.9

	spread := batch
	spread.Name = "spread"
	spread.SpreadDomain = "rack"
	spread.MaxPerDomain = 3

	return []Class{web, batch, once, keyed, spread}
}

// defaultRetry returns the retry settings whose values equal those of retry.DefaultPolicy.
func defaultRetry() Retry {
	policy := retry.DefaultPolicy()
	return Retry{
		Delay:                 Duration(policy.Delay),
		ShortDelay:            Duration(policy.ShortDelay),
		Multiplier:            policy.Multiplier,
		MaxDelay:              Duration(policy.MaxDelay),
		UnknownOutcomeTimeout: Duration(policy.UnknownOutcomeTimeout),
	}
}

// defaultAdmission returns the admission settings whose values equal those of admission.DefaultConfig.
func defaultAdmission() Admission {
	controllerDefaults := admission.DefaultConfig()
	return Admission{
		Enabled:          true,
		MinInFlight:      controllerDefaults.MinInFlight,
		MaxInFlight:      controllerDefaults.MaxInFlight,
		InitialInFlight:  controllerDefaults.InitialInFlight,
		DecreaseFactor:   controllerDefaults.DecreaseFactor,
		DecreaseInterval: Duration(controllerDefaults.DecreaseInterval),
		LateFraction:     controllerDefaults.LateFraction,
		MaxQueued:        controllerDefaults.MaxQueued,
		RetryRatio:       controllerDefaults.RetryRatio,
		RetryRate:        controllerDefaults.RetryRate,
		RetryBurst:       controllerDefaults.RetryBurst,
	}
}
