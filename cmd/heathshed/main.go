// Command heathshed is the scheduler, the emulator of nodes, and the tools for both in one binary. It only parses flags and wires packages
// together.
//
// Begin reading at newRootCommand in this file, which lists the commands. docs/architecture.md names the file of each.
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

// exitError is an error of a command that ends the program with an exit status other than 1.
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

// newRootCommand returns the command line of the program.
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
func deprecatedAlias(formerName string, command *cobra.Command) *cobra.Command {
	deprecate(command, "heathshed "+command.Name())
	command.Use = formerName
	return command
}

// deprecate marks a command and its subcommands as deprecated in favour of a command path.
func deprecate(command *cobra.Command, replacement string) {
	command.Deprecated = fmt.Sprintf("use %q instead", replacement)
	for _, subcommand := range command.Commands() {
		deprecate(subcommand, replacement+" "+subcommand.Name())
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(command *cobra.Command, _ []string) { printf(command.OutOrStdout(), "heathshed %s\n", version) },
	}
}

// printf writes output of a command. It ignores a write error: whoever read the output has closed it.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
