package admission

import (
	"fmt"

	"heathshed/placer"
)

// Config holds the settings of a Controller.
type Config struct {
	// Shares contains the weight of each tenant, by tenant number. A weight that is not positive counts as
	// the smallest positive weight. If Shares is empty, there is a single tenant.
	Shares []float64
	// MinInFlight and MaxInFlight are the bounds of the adaptive limit on concurrent placement requests.
	// InitialInFlight is the initial value of that limit.
	MinInFlight, MaxInFlight, InitialInFlight float64
	// The limit is multiplied by DecreaseFactor when the fraction of requests that complete late or are not
	// placed exceeds LateFraction, at most once per DecreaseInterval. LateFraction is above zero because some
	// requests fit no node at any load.
	DecreaseFactor, LateFraction float64
	DecreaseInterval             placer.Seconds
	// MaxQueued is the largest number of requests that may be queued, over all tenants.
	MaxQueued int
	// A retry takes one token from a budget that holds at most RetryBurst tokens. When a retry is placed, its
	// token is returned together with RetryRatio more. A placed first attempt adds RetryRatio tokens.
	// RetryRate tokens are added per second.
	RetryRatio, RetryRate, RetryBurst float64
	// ShedUsesRetryBudget restores a former, faulty behaviour for experiments. A request is then shed at its
	// Deadline, it counts as a retry when it is submitted again, and it is shed at once if the retry budget
	// is used up.
	ShedUsesRetryBudget bool
	// AdditiveOnly disables slow start, so the limit grows by at most one for each round of completed
	// requests.
	AdditiveOnly bool
	// Disabled makes the Controller admit every request at once. The counters of the Controller are still
	// updated.
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

// ConfigError reports a field of a Config that is out of range.
type ConfigError struct {
	Field    string // Field is the name of the field in the configuration file.
	Value    float64
	Min, Max float64
}

// Error implements the error interface.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: %s %v: want %v to %v", e.Field, e.Value, e.Min, e.Max)
}

// Validate returns a *ConfigError for the first field that is out of range, or nil.
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
		inRange := field.Value >= field.Min && field.Value <= field.Max // The comparison is false for NaN.
		if !inRange {
			return field
		}
	}
	return nil
}
