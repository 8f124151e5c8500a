package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"heathshed/internal/config"
	"heathshed/internal/netio/eventloop"
)

// exitInterrupted is the exit status after a second signal to stop.
const exitInterrupted = 130

// logger returns a logger to standard error with the configured level and format.
func (f *commonFlags) logger(settings *config.Settings) zerolog.Logger {
	var w io.Writer = os.Stderr
	if f.logFormat == "text" {
		w = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	setLogLevel(settings.LogLevel)
	return zerolog.New(w).With().Timestamp().Logger()
}

// setLogLevel sets the level of all loggers; an unknown name leaves it as it is.
func setLogLevel(name string) {
	if level, err := zerolog.ParseLevel(name); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

// handleSignals posts stop to the loop at the first SIGINT or SIGTERM, exits at the second, and turns debug logs on and off at SIGUSR1.
func handleSignals(loop *eventloop.Loop, log zerolog.Logger, configuredLevel string, stop func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGUSR1)
	go func() {
		debug := configuredLevel == "debug"
		stopping := false
		for received := range signals {
			if received == syscall.SIGUSR1 {
				debug = !debug
				setDebug(debug, configuredLevel)
				log.Warn().Bool("debug", debug).Msg("log level changed")
				continue
			}
			if stopping {
				os.Exit(exitInterrupted)
			}
			stopping = true
			loop.Post(stop)
		}
	}()
}

// setDebug sets the log level to debug, or back to the configured level.
func setDebug(debug bool, configuredLevel string) {
	if debug {
		setLogLevel("debug")
	} else {
		setLogLevel(configuredLevel)
	}
}
