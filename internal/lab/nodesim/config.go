package nodesim

import "heathshed/placer"

// Config describes a node.
type Config struct {
	Cores, Memory float64 // memory in GiB
	Overcommit    Overcommit
	Decisions     Decisions
	Starts        Starts
	WarmUp        WarmUp
	Overload      Overload
	Usage         Usage

	AnswerWhenRunning   bool           // a request is answered when its task starts to run instead of when it is accepted
	Preempts            bool           // tasks of lower priority are terminated for a request that would not fit
	LifetimeMean        placer.Seconds // of tasks whose request states no lifetime
	DrainGrace          placer.Seconds // from the start of a drain to the end of the tasks; below 0 they run on
	TerminatedRetention placer.Seconds // how long a task is still reported after its end
	Cold                bool           // the node starts cold, and warms up
	Seed                uint64
}

// Overcommit bounds the sum of all requests to these multiples of the node's size.
type Overcommit struct{ Cores, Memory float64 }

// Decisions says how a node decides on requests.
type Decisions struct {
	DelayMin, DelayMax placer.Seconds // bounds of the time that one decision takes
	MaxQueued          int            // requests that may wait for a decision
}

// Starts says how a node starts tasks.
type Starts struct {
	MaxConcurrent    int
	Duration         placer.Seconds // of one start on a warm node with the program cached
	UncachedFactor   float64        // multiplies Duration if the program is not cached
	ProgramCacheSize int            // cached programs in addition to those that run
}

// WarmUp says how a node that started cold warms up: it starts tasks at InitialPace, a fraction of the full pace, and reaches the full pace
// after Duration.
type WarmUp struct {
	InitialPace float64
	Duration    placer.Seconds
}

// Overload says when a node that warms up fails: if it receives, within Window, more than MinRequests requests and more than Factor times
// what it can start in that time.
type Overload struct {
	Factor      float64
	Window      placer.Seconds
	MinRequests float64
}

// Usage bounds the fraction of its request that a task uses.
type Usage struct{ Min, Max float64 }

// DefaultConfig returns a warm node of 32 cores and 64 GiB.
func DefaultConfig() Config {
	return Config{
		Cores:               32,
		Memory:              64,
		Overcommit:          Overcommit{Cores: 2, Memory: 1.5},
		Decisions:           Decisions{DelayMin: 0.002, DelayMax: 0.006, MaxQueued: 64},
		Starts:              Starts{MaxConcurrent: 4, Duration: 0.03, UncachedFactor: 6, ProgramCacheSize: 8},
		WarmUp:              WarmUp{InitialPace: 0.2, Duration: 15},
		Overload:            Overload{Factor: 4, Window: 3, MinRequests: 8},
		Usage:               Usage{Min: 0.4, Max: 0.8},
		Preempts:            true,
		LifetimeMean:        20,
		DrainGrace:          0,
		TerminatedRetention: 60,
	}
}

// OverloadDowntime is the time from a failure by overload to the next start of the node.
const OverloadDowntime placer.Seconds = 30

// seedStride separates the random sequences of the incarnations of one node.
const seedStride = 7919

// ForIncarnation returns the configuration of the given start of the node, counted from 1, with a random sequence of its own.
func (c Config) ForIncarnation(number int, cold bool) Config {
	c.Cold = cold
	c.Seed += uint64(number) * seedStride
	return c
}
