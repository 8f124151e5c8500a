package config

import "time"

// Emulator is the configuration of the emulated nodes and the emulated inventory that the commands "up",
// "emulate" and "scenario" start. Schedulers do not use these settings. Package labconfig derives the
// configuration of the emulated nodes from the settings.
type Emulator struct {
	Nodes               int      `json:"nodes"`               // number of emulated nodes
	Racks               int      `json:"racks"`               // number of racks over which the nodes are distributed
	Zones               int      `json:"zones"`               // number of topology zones over which the nodes are distributed
	ReportDelay         Duration `json:"reportDelay"`         // delay after which the inventory shows the state that a node has reported
	UnresponsiveAfter   Duration `json:"unresponsiveAfter"`   // time without a report from a node after which the inventory shows the node as not ready
	RemoveAfter         Duration `json:"removeAfter"`         // time without a report from a node after which the inventory removes the node; 0 means never
	DecisionDelayMin    Duration `json:"decisionDelayMin"`    // minimum time that a node takes to accept or reject an attempt
	DecisionDelayMax    Duration `json:"decisionDelayMax"`    // maximum time that a node takes to accept or reject an attempt
	MaxQueued           int      `json:"maxQueued"`           // maximum number of attempts that wait until a node accepts or rejects them
	MaxConcurrentStarts int      `json:"maxConcurrentStarts"` // maximum number of tasks that a node starts at the same time
	StartDuration       Duration `json:"startDuration"`       // duration of a task start if the program of the task is cached and the node is not in slow start
	UncachedStartFactor float64  `json:"uncachedStartFactor"` // factor by which StartDuration is multiplied if the program of the task is not cached
	ProgramCacheSize    int      `json:"programCacheSize"`    // number of programs that a node caches in addition to the programs of its running tasks
	UsageMin            float64  `json:"usageMin"`            // minimum fraction of the requested resources that a task uses
	UsageMax            float64  `json:"usageMax"`            // maximum fraction of the requested resources that a task uses
	MeanLifetime        Duration `json:"meanLifetime"`        // mean lifetime of tasks for which Class.MeanLifetime is 0
	DrainGrace          Duration `json:"drainGrace"`          // time from the start of a drain until the node terminates its tasks; a negative value means never
	Seed                uint64   `json:"seed"`                // seed of the random number generators of the nodes
}

// defaultEmulator returns the default settings of the emulated cluster for the commands "up" and "emulate". The
// settings of the emulated nodes equal those of nodesim.DefaultConfig. Package config must not import package
// nodesim, so a test of package labconfig checks that they are equal.
func defaultEmulator() Emulator {
	return Emulator{
		Nodes:               8,
		Racks:               2,
		Zones:               1,
		ReportDelay:         DurationOf(time.Second),
		UnresponsiveAfter:   DurationOf(2 * time.Second),
		RemoveAfter:         DurationOf(time.Minute),
		DecisionDelayMin:    DurationOf(2 * time.Millisecond),
		DecisionDelayMax:    DurationOf(6 * time.Millisecond),
		MaxQueued:           64,
		MaxConcurrentStarts: 4,
		StartDuration:       DurationOf(30 * time.Millisecond),
		UncachedStartFactor: 6,
		ProgramCacheSize:    8,
		UsageMin:            0.4,
		UsageMax:            0.8,
		MeanLifetime:        DurationOf(20 * time.Second),
		DrainGrace:          0,
		Seed:                1,
	}
}

// boundedSettings returns the settings of the emulator with their smallest and largest permitted values.
func (e *Emulator) boundedSettings() []boundedSetting {
	return []boundedSetting{
		boundedNumber("emulator.nodes", float64(e.Nodes), 1, 10000),
		boundedNumber("emulator.racks", float64(e.Racks), 1, 10000),
		boundedNumber("emulator.zones", float64(e.Zones), 1, 100),
		boundedDuration("emulator.reportDelay", e.ReportDelay, 0, 600),
		boundedDuration("emulator.unresponsiveAfter", e.UnresponsiveAfter, 0.5, 600),
		boundedDuration("emulator.removeAfter", e.RemoveAfter, 0, 1e6),
		boundedDuration("emulator.decisionDelayMin", e.DecisionDelayMin, 0, 10),
		boundedDuration("emulator.decisionDelayMax", e.DecisionDelayMax, e.DecisionDelayMin, 10),
		boundedNumber("emulator.maxQueued", float64(e.MaxQueued), 1, 1e6),
		boundedNumber("emulator.maxConcurrentStarts", float64(e.MaxConcurrentStarts), 1, 1e6),
		boundedDuration("emulator.startDuration", e.StartDuration, 0.0001, 600),
		boundedNumber("emulator.uncachedStartFactor", e.UncachedStartFactor, 1, 1000),
		boundedNumber("emulator.programCacheSize", float64(e.ProgramCacheSize), 0, 1000),
		boundedNumber("emulator.usageMin", e.UsageMin, 0, 10),
		boundedNumber("emulator.usageMax", e.UsageMax, e.UsageMin, 10),
		boundedDuration("emulator.meanLifetime", e.MeanLifetime, 0.01, 1e7),
		boundedDuration("emulator.drainGrace", e.DrainGrace, -1, 3600),
	}
}
