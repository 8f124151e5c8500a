// Command heathshed is the scheduler, the emulator and their tools in one binary. It only wires packages together.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "0.2.0"

// Exit statuses other than 0 and 1.
const (
	exitNotPlaced      = 2 // submit --wait: the job was not placed
	exitInvalidConfig  = 2 // platform: the configuration or a flag cannot be used
	exitRulesViolated  = 3 // scenario: a placement rule was violated
	exitNotRecovered   = 3 // metastability: a trial did not recover in time
	exitEntriesSkipped = 4 // load inspect: entries could not be read
)

// exitError carries an exit status other than 1.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	printf(os.Stderr, "heathshed: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.code)
	}
	os.Exit(1)
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "heathshed",
		Short:         "Places long-running tasks on the nodes of a cluster",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		upCommand(),
		serveCommand(),
		platformCommand(),
		emulateCommand(),
		scenarioCommand(),
		metastabilityCommand(),
		loadCommand(),
		configCommand(),
		versionCommand(),
		getCommand(),
		watchCommand(),
		submitCommand(),
		drainCommand(),
		undrainCommand(),
	)
	root.AddCommand(deprecatedCommands()...)
	return root
}

// deprecatedCommands returns the commands under their former names. They do the same and print on standard error what to use instead.
func deprecatedCommands() []*cobra.Command {
	return []*cobra.Command{
		deprecatedAlias("standin", emulateCommand()),
		deprecatedAlias("badday", scenarioCommand()),
		deprecatedAlias("recover", metastabilityCommand()),
	}
}

// deprecatedAlias gives a command and its subcommands a former name.
func deprecatedAlias(formerName string, c *cobra.Command) *cobra.Command {
	deprecate(c, "heathshed "+c.Name())
	c.Use = formerName
	return c
}

func deprecate(c *cobra.Command, replacement string) {
	c.Deprecated = fmt.Sprintf("use %q instead", replacement)
	for _, subcommand := range c.Commands() {
		deprecate(subcommand, replacement+" "+subcommand.Name())
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { printf(c.OutOrStdout(), "heathshed %s\n", version) },
	}
}

// printf writes a command's output. A failed write is no error of the command: its reader is gone.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
