package config

import (
	"errors"
	"fmt"
	"os"

	"heathshed/internal/scenario"
)

// LoadScript reads the script of a fault scenario. What the file does not give is that of the built-in script, but for its faults.
func LoadScript(file string) (scenario.Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return scenario.Script{}, fmt.Errorf("script: %w", err)
	}
	script := scenario.Default()
	script.Faults = nil
	dec := decoder{file: file, text: text}
	if err := dec.decode(&script); err != nil {
		return scenario.Script{}, err
	}
	var invalid *scenario.FieldError
	if err := script.Validate(); errors.As(err, &invalid) {
		return scenario.Script{}, dec.locate(&FieldError{Path: invalid.Path, Reason: invalid.Reason})
	} else if err != nil {
		return scenario.Script{}, err
	}
	return script, nil
}
