package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"heathshed/internal/config"
	"heathshed/internal/control/clock"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/lab/simulation"
	"heathshed/internal/netio/eventloop"
)

// anyLoopbackPort lets the system choose a port.
const anyLoopbackPort = "127.0.0.1:0"

func emulateCommand() *cobra.Command {
	command := &cobra.Command{Use: "emulate", Short: "Run an emulated node or inventory"}
	command.AddCommand(emulateNodeCommand(), emulateInventoryCommand())
	return command
}

func emulateNodeCommand() *cobra.Command {
	var flags commonFlags
	var index int
	start := func(loop *eventloop.Loop, settings *config.Settings, onEvent func(audit.Event)) (announcement string, err error) {
		options := nodeOptions(settings, index)
		options.Inventory = settings.Inventory
		options.OnEvent = onEvent
		if flags.listen != "" {
			options.Listen = flags.listen
		}
		if flags.name != "" {
			options.Name = flags.name
		}
		node, err := emulator.StartNode(loop, options)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("node %s http://%s", node.Name(), node.Addr()), nil
	}
	command := newEmulatorCommand("node", "Run one emulated node that reports to an inventory", &flags, start)
	command.Flags().IntVar(&index, "index", 0, "number of the node: decides its type, rack and seed")
	return command
}

func emulateInventoryCommand() *cobra.Command {
	var flags commonFlags
	start := func(loop *eventloop.Loop, settings *config.Settings, onEvent func(audit.Event)) (announcement string, err error) {
		options := inventoryOptions(settings)
		options.Listen = settings.Inventory
		options.OnEvent = onEvent
		inventory, err := emulator.StartInventory(loop, options)
		if err != nil {
			return "", err
		}
		return "inventory http://" + inventory.Addr(), nil
	}
	return newEmulatorCommand("inventory", "Run an emulated inventory", &flags, start)
}

// startEmulated starts an emulated node or inventory on a loop. It returns the line by which the process announces its address on standard
// output.
type startEmulated func(loop *eventloop.Loop, settings *config.Settings, onEvent func(audit.Event)) (announcement string, err error)

// newEmulatorCommand returns a command that runs an emulated node or inventory until a signal stops it.
func newEmulatorCommand(use, short string, flags *commonFlags, start startEmulated) *cobra.Command {
	var tap string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := flags.settings()
			if err != nil {
				return err
			}
			loop, err := eventloop.New()
			if err != nil {
				return err
			}
			onEvent, err := auditLog(tap)
			if err != nil {
				return err
			}
			announcement, err := start(loop, &settings, onEvent)
			if err != nil {
				return err
			}
			printf(command.OutOrStdout(), "%s\n", announcement)
			handleSignals(loop, flags.logger(&settings), settings.LogLevel, loop.Stop)
			return loop.Run()
		},
	}
	flags.register(command)
	command.Flags().StringVar(&tap, "tap", "", "file that gets a line for each audit event")
	return command
}

// nodeOptions returns the options of the i-th emulated node, which reports to no inventory yet.
func nodeOptions(settings *config.Settings, i int) emulator.NodeOptions {
	emulated := labconfig.NodeAt(settings, i)
	return emulator.NodeOptions{
		Name:       simulation.NodeName(i),
		Zone:       emulated.Zone,
		Rack:       emulated.Rack,
		Kind:       emulated.NodeType,
		Listen:     anyLoopbackPort,
		Sim:        emulated.Sim,
		Priorities: labconfig.Priorities(settings),
		Lifetimes:  labconfig.Lifetimes(settings),
	}
}

// inventoryOptions returns the options of an inventory without its address.
func inventoryOptions(settings *config.Settings) emulator.InventoryOptions {
	return emulator.InventoryOptions{
		PublishDelay:      clock.Duration(settings.Emulator.ReportDelay),
		UnresponsiveAfter: clock.Duration(settings.Emulator.UnresponsiveAfter),
		RemoveAfter:       clock.Duration(settings.Emulator.RemoveAfter),
	}
}

// auditLog returns a function that appends audit events to a file, one JSON object a line; nil if no file is given. Each event is written
// at once, as the process may be killed.
func auditLog(file string) (func(audit.Event), error) {
	if file == "" {
		return nil, nil
	}
	w, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	enc := json.NewEncoder(w)
	// A failed write does not stop the emulator: the audit detects the missing event.
	return func(event audit.Event) { _ = enc.Encode(&event) }, nil
}
