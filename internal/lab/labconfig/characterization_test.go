package labconfig

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterizeScenarioScripts pins scripts of days and the errors of bad ones.
func TestCharacterizeScenarioScripts(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, text := range []string{`{}`, `{"seed": 4, "seconds": 50, "calm": 10}`, `{"trouble": [{"kind": "crash", "at": 5, "for": 3, "part": 0.5}]}`,
		`{"trouble": [{"kind": "x"}]}`, `{"trouble": [{"kind": "crash", "at": -5}]}`, `{"nodes": 0}`, `{"schedulers": 0}`, `{"seconds": -1}`,
		`{"load": {"classes": {"web": 1}}}`, `{"load": {"classes": {"web": "x"}}}`, `{"load": {"tasksPerSecond": -1}}`, `{"calm": 1e9}`, `{`, `{"x": 1}`} {
		path := writeScript(t, []byte(text))
		script, err := LoadScript(path)
		message := ""
		if err != nil {
			message = strings.ReplaceAll(err.Error(), path, fmt.Sprintf("/script-%d", i))
		}
		encoded, _ := json.Marshal(script)
		record.Line("%s: %s %s", text, message, encoded)
	}
	record.Check(t, "scripts")
}
