package labconfig

import (
	"errors"
	"fmt"
	"os"

	"heathshed/internal/config"
	"heathshed/internal/lab/scenario"
)

// LoadScript reads the script of a fault scenario. What the file does not give is that of the built-in script, but for its faults.
func LoadScript(file string) (scenario.Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return scenario.Script{}, fmt.Errorf("script: %w", err)
	}
	script := scenario.Default()
	script.Faults = nil
	if err := config.Decode(file, text, &script, &config.Renames{}, func() error { return validateScript(&script) }); err != nil {
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
