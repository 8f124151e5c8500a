// Command simadapter answers the simulator on standard input and output with heathshed's placement decisions. Benchmarks start it; the work is
// done by package simadapter.
package main

import (
	"fmt"
	"os"

	"heathshed/internal/simbridge/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "simadapter:", err) // a failure to report an error cannot be reported
		os.Exit(1)
	}
}
