package admission

import (
	"fmt"

	"heathshed/placer"
)

// Config holds the settings of a Controller.
type Config struct {
	// Shares are the quota weights of the tenants, by tenant number. A share that is not positive counts as the smallest positive one; no
	// shares at all mean a single tenant.
	Shares []float64
	// MinInFlight and MaxInFlight bound the learned limit on concurrent placement requests; InitialInFlight is its initial value.
	MinInFlight, MaxInFlight, InitialInFlight float64
	// DecreaseFactor is the factor by which the limit decreases while more than LateFraction of the requests complete late or are not placed, at
	// most once in a DecreaseInterval. LateFraction is above zero because some requests fit no node at any load.
	DecreaseFactor, LateFraction float64
	DecreaseInterval             placer.Seconds
	// MaxQueued bounds the requests that wait in the queue, over all tenants.
	MaxQueued int
	// A retry takes one token from a budget of at most RetryBurst. The token is returned, with RetryRatio more, when the retry is placed; a
	// first attempt that is placed adds RetryRatio; RetryRate tokens are added per second.
	RetryRatio, RetryRate, RetryBurst float64
	// ShedUsesRetryBudget restores a former, faulty behaviour for experiments: a request is shed at its Deadline, counts as a retry when it
	// is submitted again, and is shed at once if the budget is used up.
	ShedUsesRetryBudget bool
	// AdditiveOnly switches slow start off: the limit grows by at most one for each round of completed requests.
	AdditiveOnly bool
	// Disabled admits every request at once. The counters still count.
	Disabled bool
}

// DefaultConfig returns the documented defaults.
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

// ConfigError reports a field of a Config that is out of range.
type ConfigError struct {
	Field    string // as the settings name it
	Value    float64
	Min, Max float64
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: %s %v: want %v to %v", e.Field, e.Value, e.Min, e.Max)
}

// Validate returns a *ConfigError for the first field that is out of range.
func (c *Config) Validate() error {
	ranges := []ConfigError{
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
	for i := range ranges {
		field := &ranges[i]
		inRange := field.Value >= field.Min && field.Value <= field.Max // false for NaN
		if !inRange {
			return field
		}
	}
	return nil
}
