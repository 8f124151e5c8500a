package main

import (
	"path/filepath"
	"strings"
	"testing"
)

const recordedLoad = `10.0.0.1 - - [10/Oct/2026:13:55:36 +0000] "GET /a HTTP/1.1" 200 23
10.0.0.1 - - [10/Oct/2026:13:55:39 +0000] "GET /b HTTP/1.1" 404 23
10.0.0.1 - - [10/Oct/2026:13:55:37 +0000] "POST /c HTTP/1.1" 201 23
broken
10.0.0.1 - - [10/Oct/2026:13:55:46 +0000] "GET /d HTTP/1.1" 200 23
`

// TestInspect checks what the inspection of recorded load prints, as text and as JSON, and that skipped entries decide the exit status.
func TestInspect(t *testing.T) {
	const (
		textOutput = "entries 4\nfirst   2026-10-10T13:55:36Z\nlast    2026-10-10T13:55:46Z\nmethods GET 3, POST 1\nstatus  2xx 3, 4xx 1\n" +
			"skipped malformed 1\ncurve   |█     █           █                                        █|\n"
		warning   = `log:4: malformed: addr has no end: "broken"` + "\n"
		jsonStart = `{"entries":4,"skipped":{"malformed":1},"first":"2026-10-10T13:55:36Z","last":"2026-10-10T13:55:46Z",` +
			`"methods":{"GET":3,"POST":1},"status":{"2xx":3,"4xx":1},"curve":[1,0,0,0,0,0,1,`
	)
	file := writeTempFile(t, "log", recordedLoad)
	for _, test := range []struct {
		name        string
		args        []string
		want        string // output, or its beginning
		wantWarning string // on standard error
	}{
		{"text", nil, textOutput, warning},
		{"JSON", []string{"--json"}, jsonStart, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			output, warnings, status := execute(t, append([]string{"load", "inspect", file}, test.args...)...)
			if status != exitEntriesSkipped {
				t.Errorf("exit status %d, want %d", status, exitEntriesSkipped)
			}
			if !strings.HasPrefix(output, test.want) {
				t.Errorf("output\n%s\nwant\n%s", output, test.want)
			}
			if got := strings.ReplaceAll(warnings, filepath.Dir(file)+"/", ""); got != test.wantWarning {
				t.Errorf("warnings %q, want %q", got, test.wantWarning)
			}
		})
	}
}
