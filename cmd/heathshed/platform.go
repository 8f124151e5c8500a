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

// platformConfig reads the file that LB_CONFIG names; the other variables must agree with it.
func platformConfig() (*platform.Config, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	cfg, err := platform.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if v := os.Getenv("LB_NAME"); v != "" && v != cfg.Name {
		return nil, fmt.Errorf("LB_NAME: %q, the configuration's name is %q", v, cfg.Name)
	}
	if v := os.Getenv("LB_LISTEN"); v != "" && v != cfg.Listen {
		return nil, fmt.Errorf("LB_LISTEN: %q, the configuration's listen is %q", v, cfg.Listen)
	}
	return cfg, nil
}

func runPlatform(levelName string) error {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		return &exitError{2, fmt.Errorf("log-level: %w", err)}
	}
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := platformConfig()
	if err != nil {
		return &exitError{2, err}
	}
	// One loop does all work: a second scheduler thread would only take the core from it.
	runtime.GOMAXPROCS(1)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(cfg.Memory / 2)
	}
	p, err := placer.New(cfg.Settings.Placer, cfg.Seed)
	if err != nil {
		return &exitError{2, fmt.Errorf("settings: %w", err)}
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	l, err := eventloop.New()
	if err != nil {
		return err
	}
	s, err := platform.New(l, cfg, p, log, l.Stop)
	if err != nil {
		return &exitError{2, err}
	}
	log.Info().Str("name", cfg.Name).Str("listen", s.Addr()).Msg("serving")
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				l.Post(s.Stop)
				continue
			}
			// The file is read here, beside the loop; a broken one leaves what is in force.
			next, err := platformConfig()
			l.Post(func() {
				if err != nil {
					log.Error().Err(err).Msg("configuration not taken over")
					return
				}
				s.Reload(next)
			})
		}
	}()
	return l.Run()
}
