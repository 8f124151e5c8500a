package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
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

// A command's former name does the same as the command: the same standard output and exit status. On standard error it says first what to
// use instead.
func TestDeprecatedNames(t *testing.T) {
	for _, c := range []struct {
		name        string
		former, now []string
		wantNotice  string
		wantStatus  int
	}{
		{
			name:       "result",
			former:     []string{"badday", "--simulated", "--seconds", "20", "--json"},
			now:        []string{"scenario", "--simulated", "--seconds", "20", "--json"},
			wantNotice: `Command "badday" is deprecated, use "heathshed scenario" instead`,
		},
		{
			name:       "script",
			former:     []string{"badday", "--print-script"},
			now:        []string{"scenario", "--print-script"},
			wantNotice: `Command "badday" is deprecated, use "heathshed scenario" instead`,
		},
		{
			name:       "flag error",
			former:     []string{"badday", "--nosuch"},
			now:        []string{"scenario", "--nosuch"},
			wantNotice: `Command "badday" is deprecated, use "heathshed scenario" instead`,
			wantStatus: 1,
		},
		{
			name:       "trials",
			former:     []string{"recover", "--trials", "1", "--all", "--json"},
			now:        []string{"metastability", "--trials", "1", "--all", "--json"},
			wantNotice: `Command "recover" is deprecated, use "heathshed metastability" instead`,
		},
		{
			name:       "trials out of range",
			former:     []string{"recover", "--trials", "0"},
			now:        []string{"metastability", "--trials", "0"},
			wantNotice: `Command "recover" is deprecated, use "heathshed metastability" instead`,
			wantStatus: 1,
		},
		{
			name:       "node with a missing settings file",
			former:     []string{"standin", "node", "-c", "nosuch.json"},
			now:        []string{"emulate", "node", "-c", "nosuch.json"},
			wantNotice: `Command "node" is deprecated, use "heathshed emulate node" instead`,
			wantStatus: 1,
		},
		{
			name:       "inventory with a missing settings file",
			former:     []string{"standin", "inventory", "-c", "nosuch.json"},
			now:        []string{"emulate", "inventory", "-c", "nosuch.json"},
			wantNotice: `Command "inventory" is deprecated, use "heathshed emulate inventory" instead`,
			wantStatus: 1,
		},
		{
			name:       "group with an unknown flag",
			former:     []string{"standin", "--nosuch"},
			now:        []string{"emulate", "--nosuch"},
			wantNotice: `Command "standin" is deprecated, use "heathshed emulate" instead`,
			wantStatus: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			formerOut, formerErr, formerStatus := runProgram(t, c.former...)
			nowOut, nowErr, nowStatus := runProgram(t, c.now...)
			if formerStatus != c.wantStatus || nowStatus != c.wantStatus {
				t.Errorf("exit status %d under the former name, %d under the present one, want %d", formerStatus, nowStatus, c.wantStatus)
			}
			if formerOut != nowOut {
				t.Errorf("standard output differs:\n%.300s\n%.300s", formerOut, nowOut)
			}
			notice, rest, _ := strings.Cut(formerErr, "\n")
			if notice != c.wantNotice || rest != nowErr {
				t.Errorf("standard error %q, want the notice %q and then %q", formerErr, c.wantNotice, nowErr)
			}
		})
	}
}

// The former names have the flags of the present ones.
func TestDeprecatedNamesHaveTheSameHelp(t *testing.T) {
	for _, c := range []struct{ former, now string }{
		{"badday", "scenario"},
		{"recover", "metastability"},
		{"standin node", "emulate node"},
		{"standin inventory", "emulate inventory"},
	} {
		t.Run(c.former, func(t *testing.T) {
			formerHelp, _, formerStatus := runProgram(t, append(strings.Fields(c.former), "--help")...)
			nowHelp, _, nowStatus := runProgram(t, append(strings.Fields(c.now), "--help")...)
			want := strings.ReplaceAll(nowHelp, "heathshed "+c.now, "heathshed "+c.former)
			want = strings.ReplaceAll(want, "help for "+c.now, "help for "+c.former)
			if formerHelp != want || !strings.Contains(formerHelp, "Flags:") {
				t.Errorf("%s\nwant\n%s", formerHelp, want)
			}
			if formerStatus != 0 || nowStatus != 0 {
				t.Errorf("exit status %d and %d, want 0", formerStatus, nowStatus)
			}
		})
	}
}
