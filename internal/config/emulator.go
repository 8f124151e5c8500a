package config

import "time"

// Emulator configures the emulated nodes and the inventory of the commands up, emulate and scenario. A scheduler does not read it; package
// labconfig derives from it what the emulator needs.
type Emulator struct {
	Nodes               int      `json:"nodes"`
	Racks               int      `json:"racks"`
	Zones               int      `json:"zones"`
	ReportDelay         Duration `json:"reportDelay"`         // after which the inventory shows a report
	UnresponsiveAfter   Duration `json:"unresponsiveAfter"`   // without a report, a node is shown as not ready
	RemoveAfter         Duration `json:"removeAfter"`         // without a report, a node is removed; 0 for never
	DecisionDelayMin    Duration `json:"decisionDelayMin"`    // of a node on a request
	DecisionDelayMax    Duration `json:"decisionDelayMax"`    //
	MaxQueued           int      `json:"maxQueued"`           // requests at a node
	MaxConcurrentStarts int      `json:"maxConcurrentStarts"` // of tasks on a node
	StartDuration       Duration `json:"startDuration"`       // of a start with the program cached, on a warm node
	UncachedStartFactor float64  `json:"uncachedStartFactor"` // on StartDuration without the program cached
	ProgramCacheSize    int      `json:"programCacheSize"`    // programs cached on a node
	UsageMin            float64  `json:"usageMin"`            // fraction of its request that a task uses
	UsageMax            float64  `json:"usageMax"`
	MeanLifetime        Duration `json:"meanLifetime"` // of tasks whose class has no mean lifetime
	DrainGrace          Duration `json:"drainGrace"`   // after which a draining node terminates its tasks; below 0 for never
	Seed                uint64   `json:"seed"`
}

// defaultEmulator returns the emulated cluster of the commands up and emulate. Its nodes equal nodesim.DefaultConfig, which this package must not
// import; a test of package labconfig compares them.
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

func (e *Emulator) bounds() []bounds {
	return []bounds{
		number("emulator.nodes", float64(e.Nodes), 1, 10000),
		number("emulator.racks", float64(e.Racks), 1, 10000),
		number("emulator.zones", float64(e.Zones), 1, 100),
		duration("emulator.reportDelay", e.ReportDelay, 0, 600),
		duration("emulator.unresponsiveAfter", e.UnresponsiveAfter, 0.5, 600),
		duration("emulator.removeAfter", e.RemoveAfter, 0, 1e6),
		duration("emulator.decisionDelayMin", e.DecisionDelayMin, 0, 10),
		duration("emulator.decisionDelayMax", e.DecisionDelayMax, e.DecisionDelayMin, 10),
		number("emulator.maxQueued", float64(e.MaxQueued), 1, 1e6),
		number("emulator.maxConcurrentStarts", float64(e.MaxConcurrentStarts), 1, 1e6),
		duration("emulator.startDuration", e.StartDuration, 0.0001, 600),
		number("emulator.uncachedStartFactor", e.UncachedStartFactor, 1, 1000),
		number("emulator.programCacheSize", float64(e.ProgramCacheSize), 0, 1000),
		number("emulator.usageMin", e.UsageMin, 0, 10),
		number("emulator.usageMax", e.UsageMax, e.UsageMin, 10),
		duration("emulator.meanLifetime", e.MeanLifetime, 0.01, 1e7),
		duration("emulator.drainGrace", e.DrainGrace, -1, 3600),
	}
}
