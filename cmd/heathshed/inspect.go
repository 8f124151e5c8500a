package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"heathshed/internal/lab/workload"
	"heathshed/placer"
)

const (
	maxShownErrors = 10  // skipped entries that are printed one by one
	maxMethods     = 100 // different methods that are counted
	curveParts     = 60  // equal intervals of the arrival curve
)

func loadCommand() *cobra.Command {
	command := &cobra.Command{Use: "load", Short: "Work with recorded load"}
	command.AddCommand(inspectCommand())
	return command
}

func inspectCommand() *cobra.Command {
	var source sourceFlags
	var report string
	var asJSON bool
	command := &cobra.Command{
		Use:   "inspect FILE...",
		Short: "Show what recorded files contain, and which entries cannot be read",
		Long: "Read access logs, JSON lines or HAR files (gzip and zstd too) and show counts, the arrival curve and what was skipped.\n" +
			"Exit status 4 means that entries were skipped.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			inspector := newInspector(&source, asJSON, command.ErrOrStderr())
			return inspector.run(command.OutOrStdout(), args, report)
		},
	}
	source.register(command)
	command.Flags().StringVar(&report, "report", "", "file that gets a JSON line for each entry that was skipped")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// inspector is one run of the command load inspect: it reads files and collects their inspection.
type inspector struct {
	source     *sourceFlags
	asJSON     bool
	warnings   io.Writer     // gets the first skipped entries, unless the inspection is printed as JSON
	report     *json.Encoder // gets all skipped entries; may be nil
	skipped    int
	inspection inspection
}

func newInspector(source *sourceFlags, asJSON bool, warnings io.Writer) *inspector {
	empty := inspection{Skipped: map[workload.ErrorKind]int{}, Methods: map[string]int{}, Status: map[string]int{}}
	return &inspector{source: source, asJSON: asJSON, warnings: warnings, inspection: empty}
}

// run reads the files, prints the inspection, and writes the skipped entries to reportFile unless that is empty.
func (i *inspector) run(out io.Writer, files []string, reportFile string) error {
	if reportFile != "" {
		w, err := os.Create(reportFile)
		if err != nil {
			return err
		}
		defer func() { _ = w.Close() }() // its lines are written without a buffer
		i.report = json.NewEncoder(w)
	}
	for _, file := range files {
		if err := i.source.read(file, i.inspection.add, i.skip); err != nil {
			return err
		}
	}
	i.inspection.finish()
	if !i.asJSON {
		i.inspection.print(out)
	} else if err := json.NewEncoder(out).Encode(&i.inspection); err != nil {
		return err
	}
	if len(i.inspection.Skipped) > 0 {
		return &exitError{exitEntriesSkipped, errors.New("some entries were skipped")}
	}
	return nil
}

// skip counts and reports a skipped entry. With --strict it returns the entry's error.
func (i *inspector) skip(skipped *workload.EntryError) error {
	i.inspection.Skipped[skipped.Kind]++
	if i.report != nil {
		if err := i.report.Encode(skipped); err != nil {
			return err
		}
	}
	i.skipped++
	if i.skipped <= maxShownErrors && !i.asJSON {
		printf(i.warnings, "%v: %q\n", skipped, skipped.Text)
	}
	if i.source.strict {
		return skipped
	}
	return nil
}

// inspection is the summary of recorded files.
type inspection struct {
	Entries int                        `json:"entries"`
	Skipped map[workload.ErrorKind]int `json:"skipped"`
	First   string                     `json:"first,omitempty"`
	Last    string                     `json:"last,omitempty"`
	Methods map[string]int             `json:"methods"`
	Status  map[string]int             `json:"status"`
	Curve   []int                      `json:"curve"` // number of entries in each interval
	first   placer.Seconds
	last    placer.Seconds
	times   []float32 // of all entries since the first, in seconds; four bytes suffice for the curve
}

// add counts an entry.
func (i *inspection) add(entry *workload.Entry) {
	if i.Entries == 0 {
		i.first = entry.At
	}
	i.Entries++
	i.last = max(i.last, entry.At)
	if len(i.Methods) < maxMethods || i.Methods[entry.Method] > 0 {
		i.Methods[entry.Method]++
	}
	if entry.Status > 0 {
		i.Status[fmt.Sprintf("%dxx", entry.Status/100)]++
	}
	i.times = append(i.times, float32(entry.At-i.first))
}

// finish computes the first and last time and the arrival curve after all entries were added.
func (i *inspection) finish() {
	if i.Entries == 0 {
		return
	}
	i.First = formatTime(i.first)
	i.Last = formatTime(i.last)
	i.Curve = make([]int, curveParts)
	duration := max(i.last-i.first, 1e-9)
	for _, since := range i.times {
		part := int(placer.Seconds(since) / duration * curveParts)
		i.Curve[min(curveParts-1, part)]++
	}
}

func formatTime(at placer.Seconds) string {
	return time.UnixMicro(int64(at * 1e6)).UTC().Format(time.RFC3339Nano)
}
