package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"heathshed/internal/eventloop"
	"heathshed/internal/platform"
	"heathshed/placer"
)

func platformCommand() *cobra.Command {
	level := "info"
	c := &cobra.Command{Use: "platform", Short: "Run one scheduler on the shared platform, as LB_CONFIG says", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runPlatform(level) }}
	c.Flags().StringVar(&level, "log-level", level, "trace, debug, info, warn or error; trace logs every message")
	return c
}

// readPlatformConfig reads the file that LB_CONFIG names; the other variables must agree with it.
func readPlatformConfig() (*platform.Config, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	config, err := platform.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if v := os.Getenv("LB_NAME"); v != "" && v != config.Name {
		return nil, fmt.Errorf("LB_NAME: %q, the configuration's name is %q", v, config.Name)
	}
	if v := os.Getenv("LB_LISTEN"); v != "" && v != config.Listen {
		return nil, fmt.Errorf("LB_LISTEN: %q, the configuration's listen is %q", v, config.Listen)
	}
	return config, nil
}

func runPlatform(levelName string) error {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		return &exitError{2, fmt.Errorf("log-level: %w", err)}
	}
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config, err := readPlatformConfig()
	if err != nil {
		return &exitError{2, err}
	}
	// One loop does all work: a second scheduler thread would only take the core from it.
	runtime.GOMAXPROCS(1)
	if config.Memory > 0 {
		debug.SetMemoryLimit(config.Memory / 2)
	}
	policy, err := placer.New(config.Settings.Placer, config.Seed)
	if err != nil {
		return &exitError{2, fmt.Errorf("settings: %w", err)}
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	server, err := platform.New(loop, config, policy, log, loop.Stop)
	if err != nil {
		return &exitError{2, err}
	}
	log.Info().Str("name", config.Name).Str("listen", server.Addr()).Msg("serving")
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				loop.Post(server.Stop)
				continue
			}
			// The file is read here, beside the loop; a broken one leaves what is in force.
			next, err := readPlatformConfig()
			loop.Post(func() {
				if err != nil {
					log.Error().Err(err).Msg("configuration not taken over")
					return
				}
				server.Reload(next)
			})
		}
	}()
	return loop.Run()
}
