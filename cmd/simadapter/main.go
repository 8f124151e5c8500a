// Command simhost plays heathshed's decisions on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"heathshed/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
