package main

import (
	"math"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/internal/lab/metastability"
	"heathshed/internal/lab/scenario"
)

// trialResultJSON is one trial of the search as it is printed as JSON. Its keys are part of the command's output: they stay as they are when the
// fields that they are filled from get other names.
type trialResultJSON struct {
	Trial   trialJSON   `json:"trial"`
	Verdict verdictJSON `json:"verdict"`
	Held    bool        `json:"held"`
}

type trialJSON struct {
	Seed      uint64        `json:"Seed"`
	Trigger   faultJSON     `json:"Trigger"`
	Load      float64       `json:"Load"`
	Backoff   int           `json:"Backoff"`
	Admission admissionJSON `json:"Gate"`
	Retry     retryJSON     `json:"Owner"`
}

type faultJSON struct {
	Kind     string  `json:"kind"`
	At       float64 `json:"at"`
	Duration float64 `json:"for"`
	Fraction float64 `json:"part"`
	Scale    float64 `json:"scale"`
	Class    string  `json:"class"`
	Name     string  `json:"name"`
}

type admissionJSON struct {
	Shares       []float64 `json:"Shares"`
	MinInFlight  float64   `json:"MinInFlight"`
	MaxInFlight  float64   `json:"MaxInFlight"`
	Start        float64   `json:"Start"`
	Decrease     float64   `json:"Decrease"`
	Window       float64   `json:"Window"`
	LateFraction float64   `json:"LatePart"`
	MaxWaiting   int       `json:"MaxWaiting"`
	RetryRatio   float64   `json:"RetryRatio"`
	RetryRate    float64   `json:"RetryRate"`
	RetryBurst   float64   `json:"RetryBurst"`
	ShedDraws    bool      `json:"ShedDraws"`
	Additive     bool      `json:"Additive"`
	Disabled     bool      `json:"Off"`
}

type retryJSON struct {
	Delay                 float64 `json:"Again"`
	ShortDelay            float64 `json:"Soon"`
	Multiplier            float64 `json:"Growth"`
	MaxDelay              float64 `json:"Most"`
	UnknownOutcomeTimeout float64 `json:"Settle"`
}

type verdictJSON struct {
	BaselineGoodput   float64 `json:"Before"`
	WorstGoodput      float64 `json:"Worst"`
	RecoveryTime      float64 `json:"Back"` // -1 if the system did not recover: JSON has no infinity
	AllowedTime       float64 `json:"Allowed"`
	PeakOpenTasks     int     `json:"Peak"`
	FinalOpenTasks    int     `json:"Left"`
	PlacementRequests uint64  `json:"Asks"`
	Attempts          uint64  `json:"Offers"`
}

func newTrialJSON(trial *metastability.Trial, verdict *metastability.Verdict) trialResultJSON {
	return trialResultJSON{
		Trial: trialJSON{
			Seed:      trial.Seed,
			Trigger:   newFaultJSON(&trial.Trigger),
			Load:      trial.Load,
			Backoff:   trial.Backoff,
			Admission: newAdmissionJSON(&trial.Admission),
			Retry:     newRetryJSON(&trial.Retry),
		},
		Verdict: newVerdictJSON(verdict),
		Held:    verdict.Recovered(),
	}
}

func newVerdictJSON(verdict *metastability.Verdict) verdictJSON {
	recoveryTime := float64(verdict.RecoveryTime)
	if math.IsInf(recoveryTime, 1) {
		recoveryTime = -1
	}
	return verdictJSON{
		BaselineGoodput:   verdict.BaselineGoodput,
		WorstGoodput:      verdict.WorstGoodput,
		RecoveryTime:      recoveryTime,
		AllowedTime:       float64(verdict.AllowedTime),
		PeakOpenTasks:     verdict.PeakOpenTasks,
		FinalOpenTasks:    verdict.FinalOpenTasks,
		PlacementRequests: verdict.PlacementRequests,
		Attempts:          verdict.Attempts,
	}
}

func newFaultJSON(fault *scenario.Fault) faultJSON {
	return faultJSON{
		Kind:     fault.Kind,
		At:       fault.At,
		Duration: fault.Duration,
		Fraction: fault.Fraction,
		Scale:    fault.Scale,
		Class:    fault.Class,
		Name:     fault.Name,
	}
}

func newAdmissionJSON(c *admission.Config) admissionJSON {
	return admissionJSON{
		Shares:       c.Shares,
		MinInFlight:  c.MinInFlight,
		MaxInFlight:  c.MaxInFlight,
		Start:        c.InitialInFlight,
		Decrease:     c.DecreaseFactor,
		Window:       float64(c.DecreaseInterval),
		LateFraction: c.LateFraction,
		MaxWaiting:   c.MaxQueued,
		RetryRatio:   c.RetryRatio,
		RetryRate:    c.RetryRate,
		RetryBurst:   c.RetryBurst,
		ShedDraws:    c.ShedUsesRetryBudget,
		Additive:     c.AdditiveOnly,
		Disabled:     c.Disabled,
	}
}

func newRetryJSON(p *retry.Policy) retryJSON {
	return retryJSON{
		Delay:                 float64(p.Delay),
		ShortDelay:            float64(p.ShortDelay),
		Multiplier:            p.Multiplier,
		MaxDelay:              float64(p.MaxDelay),
		UnknownOutcomeTimeout: float64(p.UnknownOutcomeTimeout),
	}
}
