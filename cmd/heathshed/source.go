package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"heathshed/internal/lab/workload"
	"heathshed/placer"
)

// defaultSortingWindow is the default of the flag --window.
const defaultSortingWindow = 5 * time.Second

// sourceFlags are the flags of the command load inspect that say how recorded files are read.
type sourceFlags struct {
	format string
	window time.Duration // within which entries are put in order
	strict bool
}

func (s *sourceFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&s.format, "format", "auto",
		"har, jsonl, common, combined, or an Apache LogFormat or nginx log_format; auto looks at the first bytes")
	flags.Var(newSecondsValue(&s.window, defaultSortingWindow), "window", "seconds within which entries that are out of order are put in order")
	flags.BoolVar(&s.strict, "strict", false, "stop at the first entry that cannot be read")
}

// read passes the entries of a file to handle in order of time, and the entries that cannot be read to skip. An error returned by skip ends the
// reading. The file name - stands for standard input.
func (s *sourceFlags) read(name string, handle func(*workload.Entry), skip func(*workload.EntryError) error) error {
	file := os.Stdin
	if name != "-" {
		var err error
		if file, err = os.Open(name); err != nil {
			return err
		}
	}
	defer func() { _ = file.Close() }() // only read
	reader, err := s.newReader(file, name)
	if err != nil {
		return err
	}
	sorter := workload.Sorter{Window: placer.SecondsOf(s.window)}
	var sorted []workload.Entry
	emit := func() {
		for i := range sorted {
			handle(&sorted[i])
		}
		sorted = sorted[:0]
	}
	for {
		entry, err := reader.Next()
		if errors.Is(err, io.EOF) {
			sorted = sorter.Flush(sorted)
			emit()
			return nil
		}
		var skipped *workload.EntryError
		if err == nil {
			sorted, skipped = sorter.Add(entry, sorted)
			emit()
		} else if !errors.As(err, &skipped) {
			return fmt.Errorf("%s: %w", name, err)
		}
		if skipped != nil {
			if err := skip(skipped); err != nil {
				return err
			}
		}
	}
}

// newReader returns a reader of the entries of a file.
func (s *sourceFlags) newReader(file io.Reader, name string) (workload.Reader, error) {
	source, err := workload.Decompress(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	format := s.format
	if format == "auto" {
		if format, source, err = workload.DetectFormat(source); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	switch format {
	case "har":
		return workload.NewHAR(source, name), nil
	case "jsonl":
		return workload.NewJSONLines(source, name, workload.DefaultJSONFields()), nil
	case "common":
		format = workload.Common
	case "combined":
		format = workload.Combined
	}
	logFormat, err := workload.ParseFormat(format)
	if err != nil {
		return nil, err
	}
	return workload.NewLog(source, name, logFormat), nil
}
