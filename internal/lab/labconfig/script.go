package labconfig

import (
	"errors"
	"fmt"
	"os"

	"heathshed/internal/config"
	"heathshed/internal/lab/scenario"
)

// formerScriptNames are the names of a script's fields in release 0.1.
var formerScriptNames = config.Renames{Keys: []config.RenamedKey{
	{Section: "", Former: "trouble", Current: "faults"},
	{Section: "", Former: "calm", Current: "cooldown"},
	{Section: "load", Former: "life", Current: "lifetime"},
	{Section: "load", Former: "backoff", Current: "backoffLimit"},
	{Section: "faults", Former: "for", Current: "duration"},
	{Section: "faults", Former: "part", Current: "fraction"},
}}

// LoadScript reads the script of a fault scenario. Fields that are absent from the file have the values of the built-in script, except for its
// faults, of which there are none. The file may use the former names of fields.
func LoadScript(file string) (scenario.Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return scenario.Script{}, fmt.Errorf("script: %w", err)
	}
	script := scenario.Default()
	script.Faults = nil
	if err := config.Decode(file, text, &script, &formerScriptNames, func() error { return validateScript(&script) }); err != nil {
		return scenario.Script{}, err
	}
	return script, nil
}

// validateScript checks a script. An error about a field is a *config.FieldError.
func validateScript(script *scenario.Script) error {
	err := script.Validate()
	var invalid *scenario.FieldError
	if errors.As(err, &invalid) {
		return &config.FieldError{Path: invalid.Path, Reason: invalid.Reason}
	}
	return err
}
