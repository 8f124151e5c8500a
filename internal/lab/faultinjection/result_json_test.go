//go:build linux

package faultinjection

import (
	"encoding/json"
	"testing"

	"heathshed/internal/lab/audit"
)

// TestResultJSONKeys pins the keys that scripts read from the JSON form of a result: they do not follow renamed fields.
func TestResultJSONKeys(t *testing.T) {
	const want = `{"Seconds":0,"Schedulers":0,"Nodes":0,"Figures":{"Jobs":0,"JobsLate":0,"Tasks":0,"Settled":0,"Dropped":0,"Relisted":0,` +
		`"Kills":0,"Errors":0,"P50":0,"P99":0,"Max":0,"Hostile":{"Bombs":0,"Refused":0,"Taken":0,"Silent":0,"Early":0,"Late":0,"MostHeld":0}},` +
		`"Audit":{"Violations":[{"Rule":0,"At":0,"Text":""}],"Events":0,"Tasks":0,"Outcomes":null,"Forgotten":0,"Offers":0,"Refusals":0,` +
		`"Starts":0,"Ends":null,"Crashes":0}}`
	got, err := json.Marshal(Result{Audit: audit.Report{Violations: make([]audit.Violation, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("result as JSON:\n%s\nwant\n%s", got, want)
	}
}
