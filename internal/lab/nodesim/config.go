package nodesim

// Config describes a node. Times are in seconds, memory is in GiB.
type Config struct {
	Cores, Memory float64
	// OvercommitCores and OvercommitMemory bound the sum of all requests to these multiples of the node's size.
	OvercommitCores, OvercommitMemory float64

	// DecisionDelayMin and DecisionDelayMax bound the time that the decision on one request takes.
	DecisionDelayMin, DecisionDelayMax float64
	MaxQueued                          int // requests that may wait for a decision
	MaxConcurrentStarts                int
	StartSeconds                       float64 // time of one start on a warm node with the program cached
	UncachedStartFactor                float64 // multiplies StartSeconds if the program is not cached
	ProgramCacheSize                   int     // programs cached beside those that run

	// A node that came up cold starts tasks at InitialPace, a fraction of the full pace, and at full pace after WarmUpSeconds.
	InitialPace, WarmUpSeconds float64
	// A node that warms up fails if it receives, within OverloadWindow, more than OverloadMinRequests requests and more than
	// OverloadFactor times what it can start in that time.
	OverloadFactor, OverloadWindow, OverloadMinRequests float64

	AnswerWhenRunning   bool    // a request is answered when its task runs, not when it is accepted
	Preempts            bool    // tasks of lower priority are terminated for a request that would not fit
	LifetimeMean        float64 // of tasks whose request states no lifetime
	UsageMin, UsageMax  float64 // bounds of the fraction of its request that a task uses
	DrainGrace          float64 // time from the start of a drain to the end of the tasks; below 0 they run on
	TerminatedRetention float64 // how long a task is still reported after its end
	Cold                bool    // the node comes up cold
	Seed                uint64
}

// DefaultConfig returns a warm node of 32 cores and 64 GiB.
func DefaultConfig() Config {
	return Config{
		Cores: 32, Memory: 64, OvercommitCores: 2, OvercommitMemory: 1.5,
		DecisionDelayMin: 0.002, DecisionDelayMax: 0.006, MaxQueued: 64,
		MaxConcurrentStarts: 4, StartSeconds: 0.03, UncachedStartFactor: 6, ProgramCacheSize: 8,
		InitialPace: 0.2, WarmUpSeconds: 15, OverloadFactor: 4, OverloadWindow: 3, OverloadMinRequests: 8,
		Preempts: true, LifetimeMean: 20, UsageMin: 0.4, UsageMax: 0.8, DrainGrace: 0, TerminatedRetention: 60,
	}
}

// OverloadDowntime is the time in seconds from a failure by overload to the next start of the node.
const OverloadDowntime = 30

// seedStride separates the random sequences of the incarnations of one node.
const seedStride = 7919

// ForIncarnation returns the configuration of the given start of the node, counted from 1, with a random sequence of its own.
func (c Config) ForIncarnation(number int, cold bool) Config {
	c.Cold = cold
	c.Seed += uint64(number) * seedStride
	return c
}
