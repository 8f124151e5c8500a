package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/server"
	"heathshed/placer"
)

// Environment variables that the platform sets.
const (
	platformConfigVariable = "LB_CONFIG" // path of the configuration file
	platformNameVariable   = "LB_NAME"   // optional; must agree with the configuration
	platformListenVariable = "LB_LISTEN" // optional; must agree with the configuration
)

// signalBacklog is how many signals may wait to be handled.
const signalBacklog = 16

func platformCommand() *cobra.Command {
	level := "info"
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run one scheduler on the shared platform, as LB_CONFIG says",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runPlatform(level) },
	}
	command.Flags().StringVar(&level, "log-level", level, "trace, debug, info, warn or error; trace logs every message")
	return command
}

// readPlatformConfig reads the file that LB_CONFIG names and checks that the other variables agree with it.
func readPlatformConfig() (*server.Config, error) {
	path := os.Getenv(platformConfigVariable)
	if path == "" {
		return nil, fmt.Errorf("%s: not set", platformConfigVariable)
	}
	config, err := server.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if name := os.Getenv(platformNameVariable); name != "" && name != config.Name {
		return nil, fmt.Errorf("%s: %q, the configuration's name is %q", platformNameVariable, name, config.Name)
	}
	if listen := os.Getenv(platformListenVariable); listen != "" && listen != config.Listen {
		return nil, fmt.Errorf("%s: %q, the configuration's listen is %q", platformListenVariable, listen, config.Listen)
	}
	return config, nil
}

// runPlatform runs the scheduler until a signal stops it.
func runPlatform(levelName string) error {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		return &exitError{exitInvalidConfig, fmt.Errorf("log-level: %w", err)}
	}
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config, err := readPlatformConfig()
	if err != nil {
		return &exitError{exitInvalidConfig, err}
	}
	// A single event loop does all the work; a second processor would only add context switches.
	runtime.GOMAXPROCS(1)
	if config.MemoryLimit > 0 {
		debug.SetMemoryLimit(config.MemoryLimit / 2)
	}
	policy, err := placer.New(config.Settings.Placer, config.Seed)
	if err != nil {
		return &exitError{exitInvalidConfig, fmt.Errorf("settings: %w", err)}
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	frontend, err := server.New(loop, config, policy, log, loop.Stop)
	if err != nil {
		return &exitError{exitInvalidConfig, err}
	}
	log.Info().Str("name", config.Name).Str("listen", frontend.Addr()).Msg("serving")
	go handlePlatformSignals(signals, loop, frontend, log)
	return loop.Run()
}

// handlePlatformSignals reloads the configuration on SIGHUP and stops the server on any other signal.
func handlePlatformSignals(signals <-chan os.Signal, loop *eventloop.Loop, frontend *server.Server, log zerolog.Logger) {
	for received := range signals {
		if received != syscall.SIGHUP {
			loop.Post(frontend.Stop)
			continue
		}
		// The file is read outside the event loop. If it is invalid, the present configuration stays in force.
		next, err := readPlatformConfig()
		loop.Post(func() {
			if err != nil {
				log.Error().Err(err).Msg("configuration reload failed")
				return
			}
			frontend.Reload(next)
		})
	}
}
