package main

import (
	"math"

	"heathshed/internal/control/admission"
	"heathshed/internal/lab/metastability"
	"heathshed/placer"
)

// trialResultJSON is one trial of the search in the JSON form that the command prints. Its keys are part of the command's output and do not follow
// renamed fields.
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

// faultJSON has the fields of scenario.Fault.
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
	Shares       []float64      `json:"Shares"`
	MinInFlight  float64        `json:"MinInFlight"`
	MaxInFlight  float64        `json:"MaxInFlight"`
	Start        float64        `json:"Start"`
	Decrease     float64        `json:"Decrease"`
	Window       placer.Seconds `json:"Window"`
	LateFraction float64        `json:"LatePart"`
	MaxWaiting   int            `json:"MaxWaiting"`
	RetryRatio   float64        `json:"RetryRatio"`
	RetryRate    float64        `json:"RetryRate"`
	RetryBurst   float64        `json:"RetryBurst"`
	ShedDraws    bool           `json:"ShedDraws"`
	Additive     bool           `json:"Additive"`
	Disabled     bool           `json:"Off"`
}

// retryJSON has the fields of retry.Policy.
type retryJSON struct {
	Delay                 placer.Seconds `json:"Again"`
	ShortDelay            placer.Seconds `json:"Soon"`
	Multiplier            float64        `json:"Growth"`
	MaxDelay              placer.Seconds `json:"Most"`
	UnknownOutcomeTimeout placer.Seconds `json:"Settle"`
}

type verdictJSON struct {
	BaselineGoodput   float64        `json:"Before"`
	WorstGoodput      float64        `json:"Worst"`
	RecoveryTime      placer.Seconds `json:"Back"` // -1 if the system did not recover: JSON has no infinity
	AllowedTime       placer.Seconds `json:"Allowed"`
	PeakOpenTasks     int            `json:"Peak"`
	FinalOpenTasks    int            `json:"Left"`
	PlacementRequests uint64         `json:"Asks"`
	Attempts          uint64         `json:"Offers"`
}

func newTrialJSON(trial *metastability.Trial, verdict *metastability.Verdict) trialResultJSON {
	return trialResultJSON{
		Trial: trialJSON{
			Seed:      trial.Seed,
			Trigger:   faultJSON(trial.Trigger),
			Load:      trial.Load,
			Backoff:   trial.Backoff,
			Admission: newAdmissionJSON(&trial.Admission),
			Retry:     retryJSON(trial.Retry),
		},
		Verdict: newVerdictJSON(verdict),
		Held:    verdict.Recovered(),
	}
}

func newVerdictJSON(verdict *metastability.Verdict) verdictJSON {
	recoveryTime := verdict.RecoveryTime
	if math.IsInf(float64(recoveryTime), 1) {
		recoveryTime = -1
	}
	return verdictJSON{
		BaselineGoodput:   verdict.BaselineGoodput,
		WorstGoodput:      verdict.WorstGoodput,
		RecoveryTime:      recoveryTime,
		AllowedTime:       verdict.AllowedTime,
		PeakOpenTasks:     verdict.PeakOpenTasks,
		FinalOpenTasks:    verdict.FinalOpenTasks,
		PlacementRequests: verdict.PlacementRequests,
		Attempts:          verdict.Attempts,
	}
}

func newAdmissionJSON(c *admission.Config) admissionJSON {
	return admissionJSON{
		Shares:       c.Shares,
		MinInFlight:  c.MinInFlight,
		MaxInFlight:  c.MaxInFlight,
		Start:        c.InitialInFlight,
		Decrease:     c.DecreaseFactor,
		Window:       c.DecreaseInterval,
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
