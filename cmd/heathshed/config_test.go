package main

import (
	"strings"
	"testing"
)

// TestConfigCheck checks what the command config check prints for files with present and former names, and its exit status.
func TestConfigCheck(t *testing.T) {
	const formerFile = "{\n  // Kept.\n  \"rules\": {\"answerSlack\": 0.3},\n  \"stopWithin\": 5,\n}\n"
	const presentFile = "{\n  // Kept.\n  \"timing\": {\"answerGrace\": 0.3},\n  \"shutdownTimeout\": 5,\n}\n"
	for _, test := range []struct {
		name, text string
		flags      []string
		wantOut    string // FILE stands for the path of the file
		wantErr    string
		wantStatus int
	}{
		{name: "present names", text: presentFile, wantOut: "FILE: ok\n"},
		{name: "former names", text: formerFile, wantOut: "FILE:3:3: rules is now timing\n" +
			"FILE:3:13: rules.answerSlack is now timing.answerGrace\n" +
			"FILE:4:3: stopWithin is now shutdownTimeout\n" +
			"FILE: ok\n"},
		{name: "migration", text: formerFile, flags: []string{"--migrate"}, wantOut: presentFile},
		{name: "migration of present names", text: presentFile, flags: []string{"--migrate"}, wantOut: presentFile},
		{name: "both names", text: "{\"stopWithin\": 5,\n\"shutdownTimeout\": 5}",
			wantErr:    "heathshed: FILE:2:1: shutdownTimeout: given twice, as \"stopWithin\" in line 1 and as \"shutdownTimeout\" in line 2\n",
			wantStatus: 1},
		{name: "migration of a bad file", text: "{\"stopWithin\": true}", flags: []string{"--migrate"},
			wantErr:    "heathshed: FILE:1:16: shutdownTimeout (given as stopWithin): true, want a duration such as \"250ms\", or a number of seconds\n",
			wantStatus: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := writeTempFile(t, "settings.json", test.text)
			stdout, stderr, status := runProgram(t, append([]string{"config", "check", file}, test.flags...)...)
			if got := strings.ReplaceAll(stdout, file, "FILE"); got != test.wantOut {
				t.Errorf("standard output:\n%s\nwant\n%s", got, test.wantOut)
			}
			if got := strings.ReplaceAll(stderr, file, "FILE"); got != test.wantErr {
				t.Errorf("standard error:\n%s\nwant\n%s", got, test.wantErr)
			}
			if status != test.wantStatus {
				t.Errorf("exit status %d, want %d", status, test.wantStatus)
			}
		})
	}
}

// TestFormerNamesAreReadSilently checks that a file with former names is read, and that no notice of them is printed.
func TestFormerNamesAreReadSilently(t *testing.T) {
	file := writeTempFile(t, "settings.json", `{"stopWithin": 5, "gate": {"on": false}}`)
	stdout, stderr, status := runProgram(t, "serve", "-c", file, "--print-config")
	if !strings.Contains(stdout, `"shutdownTimeout": "5s"`) || !strings.Contains(stdout, `"enabled": false`) {
		t.Errorf("printed settings:\n%s\nwant those of the file under present names", stdout)
	}
	if stderr != "" || status != 0 {
		t.Errorf("standard error %q, exit status %d; want none and 0", stderr, status)
	}
}
