package main

import (
	"crypto/rand"
	"encoding/binary"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"heathshed/internal/config"
	"heathshed/internal/control/clock"
	"heathshed/internal/control/memquota"
	"heathshed/internal/kube/scheduler"
	"heathshed/internal/lab/emulator"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/httpd"
)

// watchIdleTimeout is how long a watch on the inventory may be silent.
const watchIdleTimeout = 90 * time.Second

func serveCommand() *cobra.Command {
	var flags commonFlags
	var seed uint64
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run one scheduler",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.runOrPrint(command, func(settings *config.Settings) error {
				if seed == 0 {
					seed = randomSeed()
				}
				return serve(command, &flags, settings, seed)
			})
		},
	}
	flags.register(command)
	command.Flags().Uint64Var(&seed, "seed", 0, "seed of all random numbers; 0 draws one")
	return command
}

// serve runs a scheduler until it is stopped by a signal.
func serve(command *cobra.Command, flags *commonFlags, settings *config.Settings, seed uint64) error {
	log := flags.logger(settings)
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	server, err := scheduler.New(loop, schedulerOptions(settings, loop, seed, log))
	if err != nil {
		return err
	}
	log.Info().Str("api", "http://"+server.Addr()).Str("inventory", settings.Inventory).Str("name", settings.Name).Msg("scheduler listens")
	printf(command.OutOrStdout(), "api http://%s\n", server.Addr())
	handleSignals(loop, log, settings.LogLevel, func() { server.Stop(clock.Duration(settings.ShutdownTimeout), loop.Stop) })
	return loop.Run()
}

// randomSeed returns a seed from the system's random source.
func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	return binary.LittleEndian.Uint64(seed[:])
}

// schedulerOptions returns the options of a scheduler, and sets the limits of the process and of the loop that it runs on.
func schedulerOptions(settings *config.Settings, loop *eventloop.Loop, seed uint64, log zerolog.Logger) scheduler.Options {
	memory := int64(settings.Limits.MemoryMiB) << 20
	debug.SetMemoryLimit(memory) // makes the garbage collector run more often near the limit; memquota bounds the use
	loop.SetMaxConns(settings.Limits.Connections)
	http := httpd.DefaultOptions()
	http.Limits.BodyBytes = settings.Limits.MaxBodyBytes
	http.MemoryQuotaBytes = memquota.Divide(memory).Connections
	return scheduler.Options{
		// Revisions begin at the time in microseconds, so that they continue to grow over restarts.
		Engine:           settings.EngineConfig(seed, loop.Now().UnixMicro()),
		ListenAddress:    settings.Listen,
		InventoryAddress: settings.Inventory,
		Version:          version,
		HTTP:             http,
		ConnectTimeout:   clock.Duration(settings.ConnectTimeout),
		NodeSyncTimeout:  clock.Duration(settings.NodeSyncTimeout),
		DefaultListLimit: settings.Limits.MaxPage,
		WatchIdleTimeout: watchIdleTimeout,
		Log:              log,
	}
}

func upCommand() *cobra.Command {
	var flags commonFlags
	command := &cobra.Command{
		Use:   "up",
		Short: "Run a scheduler with emulated nodes and an inventory, all in one process",
		Long: "Run a scheduler with emulated nodes and an inventory on loopback, all in this one process. It is ready when\n" +
			"/readyz returns 200. Ctrl-C shuts it down gracefully.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.runOrPrint(command, func(settings *config.Settings) error { return up(command, &flags, settings) })
		},
	}
	flags.register(command)
	command.Flags().IntVar(&flags.nodes, "nodes", 0, "number of emulated nodes")
	return command
}

// up runs a scheduler and the emulator until they are stopped by a signal.
func up(command *cobra.Command, flags *commonFlags, settings *config.Settings) error {
	log := flags.logger(settings)
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	// The emulator has a loop of its own, so that it does not delay the scheduler.
	emulatorLoop, err := eventloop.New()
	if err != nil {
		return err
	}
	inventory, err := startEmulator(emulatorLoop, settings, flags.inventory)
	if err != nil {
		return err
	}
	settings.Inventory = inventory.Addr()
	server, err := scheduler.New(loop, schedulerOptions(settings, loop, randomSeed(), log))
	if err != nil {
		return err
	}
	log.Info().Str("api", "http://"+server.Addr()).Str("inventory", "http://"+inventory.Addr()).Int("nodes", settings.Emulator.Nodes).
		Msg("scheduler, inventory and emulated nodes listen")
	printf(command.OutOrStdout(), "api http://%s\n", server.Addr())
	emulatorDone := make(chan error, 1)
	go func() { emulatorDone <- emulatorLoop.Run() }()
	handleSignals(loop, log, settings.LogLevel, func() { server.Stop(clock.Duration(settings.ShutdownTimeout), loop.Stop) })
	err = loop.Run()
	emulatorLoop.Stop()
	if emulatorErr := <-emulatorDone; emulatorErr != nil {
		log.Error().Err(emulatorErr).Msg("emulator failed")
	}
	return err
}

// startEmulator starts an inventory and the nodes that report to it.
func startEmulator(loop *eventloop.Loop, settings *config.Settings, listen string) (*emulator.Inventory, error) {
	options := inventoryOptions(settings)
	options.Listen = listen
	if listen == "" {
		options.Listen = anyLoopbackPort
	}
	inventory, err := emulator.StartInventory(loop, options)
	if err != nil {
		return nil, err
	}
	for i := range settings.Emulator.Nodes {
		options := nodeOptions(settings, i)
		options.Inventory = inventory.Addr()
		if _, err := emulator.StartNode(loop, options); err != nil {
			return nil, err
		}
	}
	return inventory, nil
}
