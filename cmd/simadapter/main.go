// Command simadapter answers the simulator on standard input and output with heathshed's placement decisions.
package main

import (
	"fmt"
	"os"

	"heathshed/internal/simbridge/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "simadapter:", err) // nobody is left to tell if this fails
		os.Exit(1)
	}
}
