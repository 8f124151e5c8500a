package labconfig_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathshed/internal/lab/labconfig"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterizeScenarioScripts pins scripts of days and the errors of bad ones.
func TestCharacterizeScenarioScripts(t *testing.T) {
	record := goldentest.NewRecorder()
	directory := t.TempDir()
	for i, text := range []string{`{}`, `{"seed": 4, "seconds": 50, "calm": 10}`, `{"trouble": [{"kind": "crash", "at": 5, "for": 3, "part": 0.5}]}`,
		`{"trouble": [{"kind": "x"}]}`, `{"trouble": [{"kind": "crash", "at": -5}]}`, `{"nodes": 0}`, `{"schedulers": 0}`, `{"seconds": -1}`,
		`{"load": {"classes": {"web": 1}}}`, `{"load": {"classes": {"web": "x"}}}`, `{"load": {"tasksPerSecond": -1}}`, `{"calm": 1e9}`, `{`, `{"x": 1}`} {
		path := filepath.Join(directory, fmt.Sprintf("script-%d", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		script, err := labconfig.LoadScript(path)
		message := ""
		if err != nil {
			message = strings.ReplaceAll(err.Error(), directory, "")
		}
		encoded, _ := json.Marshal(script)
		record.Line("%s: %s %s", text, message, encoded)
	}
	record.Check(t, "scripts")
}
