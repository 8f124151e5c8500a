package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runProgram runs this test binary as the program and returns its standard output, its standard error and its exit status.
func runProgram(t *testing.T, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "HEATHSHED_TEST_MAIN=1")
	var out, errOut bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}

// execute runs a command in this process. It returns its standard output, its standard error and its exit status. An error whose status is 1 is
// appended to the output.
func execute(t *testing.T, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	var out, errOut bytes.Buffer
	root := newRootCommand()
	root.SetOut(&out)
	root.SetErr(&errOut)
	root.SetArgs(args)
	err := root.ExecuteContext(t.Context())
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		status = exit.code
	case err != nil:
		status = 1
		fmt.Fprintf(&out, "error: %v\n", err)
	}
	return out.String(), errOut.String(), status
}

// writeTempFile writes a file of the given name to a directory of the test's own and returns its path.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	writeFile(t, path, text)
	return path
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// checkJSON checks the bytes of a value as JSON.
func checkJSON(t *testing.T, value any, want string) {
	t.Helper()
	got, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// TestDeprecatedNames checks that a command under its former name has the same output and exit status, and first prints a notice on standard error.
func TestDeprecatedNames(t *testing.T) {
	for _, test := range []struct {
		name        string
		former, now string // paths of commands
		args        string
		wantStatus  int
	}{
		{"result", "badday", "scenario", "--simulated --seconds 20 --json", 0},
		{"script", "badday", "scenario", "--print-script", 0},
		{"flag error", "badday", "scenario", "--nosuch", 1},
		{"trials", "recover", "metastability", "--trials 1 --all --json", 0},
		{"trials out of range", "recover", "metastability", "--trials 0", 1},
		{"node with a missing settings file", "standin node", "emulate node", "-c nosuch.json", 1},
		{"inventory with a missing settings file", "standin inventory", "emulate inventory", "-c nosuch.json", 1},
		{"group with an unknown flag", "standin", "emulate", "--nosuch", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			formerOut, formerErr, formerStatus := runProgram(t, strings.Fields(test.former+" "+test.args)...)
			nowOut, nowErr, nowStatus := runProgram(t, strings.Fields(test.now+" "+test.args)...)
			if formerStatus != test.wantStatus || nowStatus != test.wantStatus {
				t.Errorf("exit status %d under the former name, %d under the present one, want %d", formerStatus, nowStatus, test.wantStatus)
			}
			if formerOut != nowOut {
				t.Errorf("standard output differs:\n%.300s\n%.300s", formerOut, nowOut)
			}
			names := strings.Fields(test.former)
			wantNotice := fmt.Sprintf(`Command "%s" is deprecated, use "heathshed %s" instead`, names[len(names)-1], test.now)
			if notice, rest, _ := strings.Cut(formerErr, "\n"); notice != wantNotice || rest != nowErr {
				t.Errorf("standard error %q, want the notice %q and then %q", formerErr, wantNotice, nowErr)
			}
		})
	}
}

// TestDeprecatedNamesHaveTheSameHelp checks that commands have the same help under their former names.
func TestDeprecatedNamesHaveTheSameHelp(t *testing.T) {
	for _, test := range []struct{ former, now string }{
		{"badday", "scenario"},
		{"recover", "metastability"},
		{"standin node", "emulate node"},
		{"standin inventory", "emulate inventory"},
	} {
		t.Run(test.former, func(t *testing.T) {
			formerHelp, _, formerStatus := runProgram(t, append(strings.Fields(test.former), "--help")...)
			nowHelp, _, nowStatus := runProgram(t, append(strings.Fields(test.now), "--help")...)
			want := strings.ReplaceAll(nowHelp, "heathshed "+test.now, "heathshed "+test.former)
			want = strings.ReplaceAll(want, "help for "+test.now, "help for "+test.former)
			if formerHelp != want || !strings.Contains(formerHelp, "Flags:") {
				t.Errorf("%s\nwant\n%s", formerHelp, want)
			}
			if formerStatus != 0 || nowStatus != 0 {
				t.Errorf("exit status %d and %d, want 0", formerStatus, nowStatus)
			}
		})
	}
}
