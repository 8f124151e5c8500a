package config

import (
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
	if path, reason := script.Validate(); reason != "" {
		return scenario.Script{}, dec.locate(&FieldError{Path: path, Reason: reason})
	}
	return script, nil
}
