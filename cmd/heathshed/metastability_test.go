package main

import (
	"fmt"
	"math"
	"testing"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/internal/lab/metastability"
	"heathshed/internal/lab/scenario"
	"heathshed/placer"
)

// TestTrialJSON pins the keys and their order in what the search prints as JSON.
func TestTrialJSON(t *testing.T) {
	trial := metastability.Trial{
		Seed:    1,
		Trigger: scenario.Fault{Kind: "burst", At: 2, Duration: 3, Fraction: 4, Scale: 5, Class: "web", Name: "a"},
		Load:    6,
		Backoff: 7,
		Admission: admission.Config{
			Shares:              []float64{8},
			MinInFlight:         9,
			MaxInFlight:         10,
			InitialInFlight:     11,
			DecreaseFactor:      12,
			DecreaseInterval:    13,
			LateFraction:        14,
			MaxQueued:           15,
			RetryRatio:          16,
			RetryRate:           17,
			RetryBurst:          18,
			ShedUsesRetryBudget: true,
			AdditiveOnly:        true,
			Disabled:            true,
		},
		Retry: retry.Policy{Delay: 19, ShortDelay: 20, Multiplier: 21, MaxDelay: 22, UnknownOutcomeTimeout: 23},
	}
	const wantTrial = `{"trial":{"Seed":1,"Trigger":{"kind":"burst","at":2,"for":3,"part":4,"scale":5,"class":"web","name":"a"},` +
		`"Load":6,"Backoff":7,"Gate":{"Shares":[8],"MinInFlight":9,"MaxInFlight":10,"Start":11,"Decrease":12,"Window":13,"LatePart":14,` +
		`"MaxWaiting":15,"RetryRatio":16,"RetryRate":17,"RetryBurst":18,"ShedDraws":true,"Additive":true,"Off":true},` +
		`"Owner":{"Again":19,"Soon":20,"Growth":21,"Most":22,"Settle":23}},`
	const wantVerdict = `"verdict":{"Before":24,"Worst":25,"Back":%s,"Allowed":27,"Peak":28,"Left":29,"Asks":30,"Offers":31},"held":%v}`
	for _, test := range []struct {
		name         string
		recoveryTime placer.Seconds
		want         string
	}{
		{"recovered", 26, wantTrial + fmt.Sprintf(wantVerdict, "26", true)},
		{"never recovered", placer.Seconds(math.Inf(1)), wantTrial + fmt.Sprintf(wantVerdict, "-1", false)},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdict := metastability.Verdict{
				BaselineGoodput:   24,
				WorstGoodput:      25,
				RecoveryTime:      test.recoveryTime,
				AllowedTime:       27,
				PeakOpenTasks:     28,
				FinalOpenTasks:    29,
				PlacementRequests: 30,
				Attempts:          31,
			}
			checkJSON(t, newTrialJSON(&trial, &verdict), test.want)
		})
	}
}
