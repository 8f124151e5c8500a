package main

import (
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
)

// TestSecondsFlag checks that a flag that gives seconds is read and shown as a floating point flag is.
func TestSecondsFlag(t *testing.T) {
	const outOfRange = `invalid argument "1e999" for "--seconds" flag: strconv.ParseFloat: parsing "1e999": value out of range`
	const invalid = `invalid argument "1s" for "--seconds" flag: strconv.ParseFloat: parsing "1s": invalid syntax`
	for _, test := range []struct {
		argument          string
		want              time.Duration
		wantText, wantErr string
	}{
		{"0", 0, "0", ""},
		{"7", 7 * time.Second, "7", ""},
		{"20.1", 20100 * time.Millisecond, "20.1", ""},
		{"1e-3", time.Millisecond, "0.001", ""},
		{"-2.5", -2500 * time.Millisecond, "-2.5", ""},
		{"86400.25", 24*time.Hour + 250*time.Millisecond, "86400.25", ""},
		{"inf", 1<<63 - 1, "9.223372036854776e+09", ""},
		{"nan", 0, "0", ""},
		{"1e999", 0, "", outOfRange},
		{"1s", 0, "", invalid},
	} {
		t.Run(test.argument, func(t *testing.T) {
			var got time.Duration
			command := &cobra.Command{}
			command.Flags().Var(newSecondsValue(&got, time.Minute), "seconds", "length")
			err := command.Flags().Set("seconds", test.argument)
			if test.wantErr != "" {
				if err == nil || err.Error() != test.wantErr {
					t.Errorf("error %v, want %s", err, test.wantErr)
				}
				return
			}
			if err != nil || got != test.want {
				t.Errorf("%v, %v, want %v", got, err, test.want)
			}
			if text := command.Flag("seconds").Value.String(); text != test.wantText {
				t.Errorf("shown as %s, want %s", text, test.wantText)
			}
		})
	}
}

// TestSecondsFlagHelp pins the help of the flags that give seconds.
func TestSecondsFlagHelp(t *testing.T) {
	for _, test := range []struct {
		command []string
		want    string
	}{
		{[]string{"scenario"}, "--seconds float       length of the scenario; the script's times are stretched to it\n"},
		{[]string{"scenario"}, "--drop-watch float    seconds between deliberate breaks of the client's watches; 0 is none (default 7)\n"},
		{[]string{"load", "inspect"}, "--window float    seconds within which entries that are out of order are put in order (default 5)\n"},
		{[]string{"submit"}, "--lifetime float     seconds that emulated nodes let each task run\n"},
	} {
		command, _, err := newRootCommand().Find(test.command)
		if err != nil {
			t.Fatal(err)
		}
		if usages := command.Flags().FlagUsages(); !strings.Contains(usages, test.want) {
			t.Errorf("%v: help\n%s\nwant in it\n%s", test.command, usages, test.want)
		}
	}
}
