// Command heathshed is the scheduler, its stand-ins and its tools in one binary. It only wires packages together.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "0.2.0"

// exitError carries an exit code other than 1.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func main() {
	root := &cobra.Command{Use: "heathshed", Short: "Places long-running work on the machines of a cluster", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(upCommand(), serveCommand(), emulateCommand(), configCommand(), versionCommand(), scenarioCommand(), metastabilityCommand(), loadCommand(), platformCommand())
	root.AddCommand(clientCommands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "heathshed:", err)
		var e *exitError
		if errors.As(err, &e) {
			os.Exit(e.code)
		}
		os.Exit(1)
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		fmt.Fprintln(c.OutOrStdout(), "heathshed", version)
	}}
}
