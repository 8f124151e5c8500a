package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"heathshed/internal/workload"
)

func loadCommand() *cobra.Command {
	c := &cobra.Command{Use: "load", Short: "Work with recorded load"}
	c.AddCommand(inspectCommand())
	return c
}

// sourceFlags is how recorded files are read.
type sourceFlags struct {
	format string
	window float64
	strict bool
	report string
}

func (s *sourceFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&s.format, "format", "auto", "har, jsonl, common, combined, or an Apache LogFormat or nginx log_format; auto looks at the first bytes")
	c.Flags().Float64Var(&s.window, "window", 5, "seconds within which entries that are out of order are put in order")
	c.Flags().BoolVar(&s.strict, "strict", false, "stop at the first entry that cannot be read")
	c.Flags().StringVar(&s.report, "report", "", "file that gets a JSON line for each entry that was skipped")
}

// open makes a reader for one file; - is standard input.
func (s *sourceFlags) open(name string) (workload.Reader, io.Closer, error) {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return nil, nil, err
		}
	}
	r, err := workload.Decompress(f)
	if err != nil {
		return nil, f, fmt.Errorf("%s: %w", name, err)
	}
	format := s.format
	if format == "auto" {
		if format, r, err = workload.DetectFormat(r); err != nil {
			return nil, f, fmt.Errorf("%s: %w", name, err)
		}
	}
	switch format {
	case "har":
		return workload.NewHAR(r, name), f, nil
	case "jsonl":
		return workload.NewJSONLines(r, name, workload.DefaultJSONFields()), f, nil
	case "common":
		format = workload.Common
	case "combined":
		format = workload.Combined
	}
	lf, err := workload.ParseFormat(format)
	if err != nil {
		return nil, f, err
	}
	return workload.NewLog(r, name, lf), f, nil
}

// inspection is what inspect tells.
type inspection struct {
	Entries int            `json:"entries"`
	Skipped map[string]int `json:"skipped"`
	First   string         `json:"first,omitempty"`
	Last    string         `json:"last,omitempty"`
	Methods map[string]int `json:"methods"`
	Status  map[string]int `json:"status"`
	Curve   []int          `json:"curve"` // entries in each of up to sixty equal parts of the time
	first   float64
	last    float64
	times   []float32 // since the first, in seconds; four bytes an entry
}

func (i *inspection) add(entry *workload.Entry) {
	if i.Entries == 0 {
		i.first = entry.At
	}
	i.Entries++
	i.last = max(i.last, entry.At)
	if len(i.Methods) < 100 || i.Methods[entry.Method] > 0 {
		i.Methods[entry.Method]++
	}
	if entry.Status > 0 {
		i.Status[fmt.Sprintf("%dxx", entry.Status/100)]++
	}
	i.times = append(i.times, float32(entry.At-i.first))
}

func (i *inspection) finish() {
	if i.Entries == 0 {
		return
	}
	stamp := func(s float64) string { return time.UnixMicro(int64(s * 1e6)).UTC().Format(time.RFC3339Nano) }
	i.First, i.Last = stamp(i.first), stamp(i.last)
	i.Curve = make([]int, 60)
	duration := max(i.last-i.first, 1e-9)
	for _, t := range i.times {
		i.Curve[min(59, int(float64(t)/duration*60))]++
	}
}

func inspectCommand() *cobra.Command {
	var s sourceFlags
	var asJSON bool
	c := &cobra.Command{Use: "inspect FILE...", Short: "Show what recorded files hold, and what of them cannot be read",
		Long: "Read access logs, JSON lines or HAR files (gzip and zstd too) and show counts, the arrival curve and what was skipped.\nExit code 4 says that entries were skipped.",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			result := inspection{Skipped: map[string]int{}, Methods: map[string]int{}, Status: map[string]int{}}
			var report *json.Encoder
			if s.report != "" {
				w, err := os.Create(s.report)
				if err != nil {
					return err
				}
				defer w.Close()
				report = json.NewEncoder(w)
			}
			shown := 0
			skip := func(p *workload.EntryError) error {
				result.Skipped[string(p.Kind)]++
				if report != nil {
					if err := report.Encode(p); err != nil {
						return err
					}
				}
				if shown++; shown <= 10 && !asJSON {
					fmt.Fprintf(c.ErrOrStderr(), "%v: %q\n", p, p.Text)
				}
				if s.strict {
					return p
				}
				return nil
			}
			for _, name := range args {
				if err := s.read(name, result.add, skip); err != nil {
					return err
				}
			}
			result.finish()
			if asJSON {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(&result); err != nil {
					return err
				}
			} else {
				printInspection(c.OutOrStdout(), &result)
			}
			if len(result.Skipped) > 0 {
				return &exitError{4, errors.New("some entries were skipped")}
			}
			return nil
		}}
	s.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// read gives the entries of one file in order of time.
func (s *sourceFlags) read(name string, handle func(*workload.Entry), skip func(*workload.EntryError) error) error {
	r, closer, err := s.open(name)
	if closer != nil {
		defer closer.Close()
	}
	if err != nil {
		return err
	}
	sorter := workload.Sorter{Window: s.window}
	var out []workload.Entry
	emit := func() {
		for i := range out {
			handle(&out[i])
		}
		out = out[:0]
	}
	for {
		entry, err := r.Next()
		var problem *workload.EntryError
		switch {
		case errors.Is(err, io.EOF):
			out = sorter.Flush(out)
			emit()
			return nil
		case errors.As(err, &problem):
		case err != nil:
			return fmt.Errorf("%s: %w", name, err)
		default:
			out, problem = sorter.Add(entry, out)
			emit()
		}
		if problem != nil {
			if err := skip(problem); err != nil {
				return err
			}
		}
	}
}

func printInspection(w io.Writer, x *inspection) {
	fmt.Fprintf(w, "entries %d\n", x.Entries)
	if x.Entries > 0 {
		fmt.Fprintf(w, "first   %s\nlast    %s\n", x.First, x.Last)
	}
	counts := func(name string, m map[string]int) {
		var parts []string
		for _, k := range slices.Sorted(maps.Keys(m)) {
			parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
		}
		if len(parts) > 0 {
			fmt.Fprintf(w, "%-7s %s\n", name, strings.Join(parts, ", "))
		}
	}
	counts("methods", x.Methods)
	counts("status", x.Status)
	counts("skipped", x.Skipped)
	if len(x.Curve) > 0 {
		const bars = " ▁▂▃▄▅▆▇█"
		top := max(slices.Max(x.Curve), 1)
		line := ""
		for _, n := range x.Curve {
			line += string([]rune(bars)[(n*8+top-1)/top])
		}
		fmt.Fprintf(w, "curve   |%s|\n", line)
	}
}
