package admission

import (
	"fmt"

	"heathshed/placer"
)

// Config holds the settings of a Controller.
type Config struct {
	// Shares contains the share of each tenant; Request.Tenant is an index into it. Admissions are divided in
	// proportion to the shares. A share that is not positive counts as the smallest positive share. If Shares
	// is empty, there is a single tenant.
	Shares []float64
	// MinInFlight and MaxInFlight are the bounds of the adaptive concurrency limit, which limits the number
	// of placement requests in flight. InitialInFlight is the initial value of the concurrency limit.
	MinInFlight, MaxInFlight, InitialInFlight float64
	// An admitted request counts as late if its task is not placed, or if it completes more than half of its
	// latency objective after its admission. The concurrency limit is multiplied by DecreaseFactor when the
	// fraction of late requests exceeds LateFraction, but at most once per DecreaseInterval. The default of
	// LateFraction is above zero, because some tasks fit on no node even at low load.
	DecreaseFactor, LateFraction float64
	DecreaseInterval             placer.Seconds
	// MaxQueued is the largest number of requests that may be queued, over all tenants.
	MaxQueued int
	// Each admitted retry takes one token from the retry budget, which holds at most RetryBurst tokens. When
	// the task of a retry is placed, the token is returned together with RetryRatio more tokens. When the task
	// of a first attempt is placed, RetryRatio tokens are added. RetryRate tokens are added per second.
	RetryRatio, RetryRate, RetryBurst float64
	// ShedUsesRetryBudget restores a former, faulty behaviour for experiments: when the task of a queued first
	// attempt can no longer start before Request.Deadline, the request is shed instead of being moved behind
	// the other first attempts. A new request for the same task then counts as a retry, and it is shed at once
	// if the retry budget is used up.
	ShedUsesRetryBudget bool
	// AdditiveOnly disables slow start. The concurrency limit then grows by at most one per round. A round is
	// over when as many requests have completed as the limit allows in flight.
	AdditiveOnly bool
	// Disabled makes the Controller admit every request at once. The Controller still updates its counters.
	Disabled bool
}

// DefaultConfig returns the documented default settings.
func DefaultConfig() Config {
	return Config{
		MinInFlight:      4,
		MaxInFlight:      4096,
		InitialInFlight:  64,
		DecreaseFactor:   0.85,
		DecreaseInterval: 0.25,
		LateFraction:     0.3,
		MaxQueued:        100000,
		RetryRatio:       0.3,
		RetryRate:        2,
		RetryBurst:       100,
	}
}

// ConfigError reports a setting whose value is out of range.
type ConfigError struct {
	Field    string // Field is the key of the setting in the configuration file.
	Value    float64
	Min, Max float64
}

// Error implements the error interface.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: %s %v: want %v to %v", e.Field, e.Value, e.Min, e.Max)
}

// Validate returns a *ConfigError for the first setting that is out of range, or nil if there is none.
func (c *Config) Validate() error {
	possibleErrors := []ConfigError{
		{"minInFlight", c.MinInFlight, 1, c.MaxInFlight},
		{"maxInFlight", c.MaxInFlight, 1, 1e9},
		{"initialInFlight", c.InitialInFlight, 1, 1e9},
		{"decreaseFactor", c.DecreaseFactor, 0.01, 0.99},
		{"decreaseInterval", float64(c.DecreaseInterval), 0, 60},
		{"lateFraction", c.LateFraction, 0, 1},
		{"maxQueued", float64(c.MaxQueued), 1, 1e9},
		{"retryRatio", c.RetryRatio, 0, 100},
		{"retryRate", c.RetryRate, 0, 1e9},
		{"retryBurst", c.RetryBurst, 0, 1e9},
	}
	for i := range possibleErrors {
		possibleError := &possibleErrors[i]
		inRange := possibleError.Value >= possibleError.Min && possibleError.Value <= possibleError.Max // A comparison with NaN is false.
		if !inRange {
			return possibleError
		}
	}
	return nil
}
