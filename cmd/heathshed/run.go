package main

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/emulator"
	"heathshed/internal/eventloop"
	"heathshed/internal/httpd"
	"heathshed/internal/memquota"
	"heathshed/internal/scheduler"
)

// commonFlags are flags that several commands share.
type commonFlags struct {
	file, listen, inventory, name, logLevel, logFormat string
	printConfig                                        bool
}

func (f *commonFlags) register(c *cobra.Command) {
	c.Flags().StringVarP(&f.file, "config", "c", "", "settings file (JSON with comments); built-in settings if none")
	c.Flags().StringVar(&f.listen, "listen", "", "address of the API, such as 127.0.0.1:8480; port 0 chooses one")
	c.Flags().StringVar(&f.inventory, "inventory", "", "address of the inventory")
	c.Flags().StringVar(&f.name, "name", "", "name of this scheduler")
	c.Flags().StringVar(&f.logLevel, "log-level", "", "debug, info, warn or error; SIGUSR1 turns debug on and off")
	c.Flags().StringVar(&f.logFormat, "log-format", "json", "json or text")
	c.Flags().BoolVar(&f.printConfig, "print-config", false, "print the settings in force and exit")
}

// settings reads the file and lays the flags over it.
func (f *commonFlags) settings() (config.Settings, error) {
	s := config.Default()
	if f.file != "" {
		var err error
		if s, err = config.Load(f.file); err != nil {
			return s, err
		}
	}
	for _, o := range []struct {
		flag string
		to   *string
	}{{f.listen, &s.Listen}, {f.inventory, &s.Inventory}, {f.name, &s.Name}, {f.logLevel, &s.LogLevel}} {
		if o.flag != "" {
			*o.to = o.flag
		}
	}
	return s, s.Validate()
}

func printSettings(w io.Writer, s *config.Settings) error {
	b, err := s.Text()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return err
}

func (f *commonFlags) logger(s *config.Settings) zerolog.Logger {
	var w io.Writer = os.Stderr
	if f.logFormat == "text" {
		w = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	setLogLevel(s.LogLevel)
	return zerolog.New(w).With().Timestamp().Logger()
}

func setLogLevel(name string) {
	if l, err := zerolog.ParseLevel(name); err == nil {
		zerolog.SetGlobalLevel(l)
	}
}

// handleSignals posts stop to the loop at the first SIGINT or SIGTERM, ends the program at the second, and turns debug logs on and
// off at SIGUSR1.
func handleSignals(l *eventloop.Loop, log zerolog.Logger, configuredLevel string, stop func()) {
	ch := make(chan os.Signal, 4)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM, syscall.SIGUSR1)
	go func() {
		stopping, debugEnabled := false, configuredLevel == "debug"
		for sig := range ch {
			if sig == syscall.SIGUSR1 {
				if debugEnabled = !debugEnabled; debugEnabled {
					setLogLevel("debug")
				} else {
					setLogLevel(configuredLevel)
				}
				log.Warn().Bool("debug", debugEnabled).Msg("log level changed")
				continue
			}
			if stopping {
				os.Exit(130)
			}
			stopping = true
			l.Post(stop)
		}
	}()
}

func randomSeed() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// schedulerOptions turns settings into what a scheduler is run with. Revisions begin at the microsecond of the start, so that
// they go on growing over restarts.
func schedulerOptions(s *config.Settings, l *eventloop.Loop, seed uint64, log zerolog.Logger) scheduler.Options {
	h := httpd.DefaultOptions()
	h.Limits.Body = s.Limits.MaxBodyBytes
	memory := int64(s.Limits.MemoryMiB) << 20
	h.MemoryBytes = memquota.Divide(memory).Connections
	debug.SetMemoryLimit(memory) // the collector works harder near it; what is held is bounded by the shares
	l.SetMaxConns(s.Limits.Connections)
	return scheduler.Options{Engine: s.Engine(seed, int64(l.Now()*1e6)), ListenAddress: s.Listen, InventoryAddress: s.Inventory, Version: version, HTTP: h,
		ConnectTimeoutSeconds: s.ConnectTimeout, NodeSyncTimeoutSeconds: s.NodeSyncTimeout, MaxListItems: s.Limits.MaxPage, WatchIdleTimeoutSeconds: 90, Log: log}
}

func serveCommand() *cobra.Command {
	var flags commonFlags
	var seed uint64
	c := &cobra.Command{Use: "serve", Short: "Run one scheduler", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		settings, err := flags.settings()
		if err != nil {
			return err
		}
		if flags.printConfig {
			return printSettings(c.OutOrStdout(), &settings)
		}
		if seed == 0 {
			seed = randomSeed()
		}
		log := flags.logger(&settings)
		loop, err := eventloop.New()
		if err != nil {
			return err
		}
		sch, err := scheduler.New(loop, schedulerOptions(&settings, loop, seed, log))
		if err != nil {
			return err
		}
		log.Info().Str("api", "http://"+sch.Addr()).Str("inventory", settings.Inventory).Str("name", settings.Name).Msg("scheduler listens")
		fmt.Fprintf(c.OutOrStdout(), "api http://%s\n", sch.Addr())
		handleSignals(loop, log, settings.LogLevel, func() { sch.Stop(settings.ShutdownTimeout, loop.Stop) })
		return loop.Run()
	}}
	flags.register(c)
	c.Flags().Uint64Var(&seed, "seed", 0, "seed of all random numbers; 0 draws one")
	return c
}

func upCommand() *cobra.Command {
	var flags commonFlags
	var nodes int
	c := &cobra.Command{Use: "up", Short: "Run a scheduler with stand-in machines and an inventory, all in one process",
		Long: "Run a scheduler with stand-in machines and an inventory on loopback, all in this one process. It is ready when\n" +
			"/readyz says 200. Ctrl-C stops it in order.", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := flags.settings()
			if err != nil {
				return err
			}
			if nodes > 0 {
				settings.Emulator.Nodes = nodes
			}
			if err := settings.Validate(); err != nil {
				return err
			}
			if flags.printConfig {
				return printSettings(c.OutOrStdout(), &settings)
			}
			log := flags.logger(&settings)
			loop, err := eventloop.New()
			if err != nil {
				return err
			}
			// The stand-ins have a loop of their own, so that they do not share the scheduler's time.
			emulatorLoop, err := eventloop.New()
			if err != nil {
				return err
			}
			inventory, err := startEmulator(emulatorLoop, &settings, flags.inventory)
			if err != nil {
				return err
			}
			settings.Inventory = inventory.Addr()
			sch, err := scheduler.New(loop, schedulerOptions(&settings, loop, randomSeed(), log))
			if err != nil {
				return err
			}
			log.Info().Str("api", "http://"+sch.Addr()).Str("inventory", "http://"+inventory.Addr()).Int("machines", settings.Emulator.Nodes).
				Msg("scheduler, inventory and stand-in machines listen")
			fmt.Fprintf(c.OutOrStdout(), "api http://%s\n", sch.Addr())
			done := make(chan error, 1)
			go func() { done <- emulatorLoop.Run() }()
			handleSignals(loop, log, settings.LogLevel, func() { sch.Stop(settings.ShutdownTimeout, loop.Stop) })
			err = loop.Run()
			emulatorLoop.Stop()
			<-done
			return err
		}}
	flags.register(c)
	c.Flags().IntVar(&nodes, "nodes", 0, "number of stand-in machines")
	return c
}

// startEmulator starts an inventory and machines that report to it.
func startEmulator(l *eventloop.Loop, s *config.Settings, listen string) (*emulator.Inventory, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	inv, err := emulator.StartInventory(l, emulator.InventoryOptions{Listen: listen, PublishDelay: s.Emulator.ReportDelay, UnresponsiveAfter: s.Emulator.UnresponsiveAfter,
		RemoveAfter: s.Emulator.RemoveAfter})
	if err != nil {
		return nil, err
	}
	for i := range s.Emulator.Nodes {
		o := nodeOptions(s, i)
		o.Inventory = inv.Addr()
		if _, err := emulator.StartNode(l, o); err != nil {
			return nil, err
		}
	}
	return inv, nil
}

func nodeOptions(s *config.Settings, i int) emulator.NodeOptions {
	emulated := s.EmulatedNode(i)
	return emulator.NodeOptions{Name: fmt.Sprintf("node-%02d", i+1), Zone: emulated.Zone, Rack: emulated.Rack, Kind: emulated.NodeType, Listen: "127.0.0.1:0", Sim: emulated.Sim,
		Priorities: s.Priorities(), Lifetimes: s.Lifetimes()}
}

func emulateCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in of a machine or of the inventory"}
	var f commonFlags
	var index int
	var tapFile string
	node := &cobra.Command{Use: "node", Short: "Run one stand-in machine that reports to an inventory", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := f.settings()
			if err != nil {
				return err
			}
			l, err := eventloop.New()
			if err != nil {
				return err
			}
			o := nodeOptions(&s, index)
			o.Inventory = s.Inventory
			if f.listen != "" {
				o.Listen = f.listen
			}
			if f.name != "" {
				o.Name = f.name
			}
			tap, err := auditLog(tapFile)
			if err != nil {
				return err
			}
			o.OnEvent = tap
			n, err := emulator.StartNode(l, o)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "node %s http://%s\n", n.Name(), n.Addr())
			handleSignals(l, f.logger(&s), s.LogLevel, l.Stop)
			return l.Run()
		}}
	f.register(node)
	node.Flags().IntVar(&index, "index", 0, "number of the machine: gives its kind, rack and seed")
	node.Flags().StringVar(&tapFile, "tap", "", "file that gets a line for each thing that passes")
	var g commonFlags
	var invTap string
	inv := &cobra.Command{Use: "inventory", Short: "Run a stand-in inventory", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := g.settings()
		if err != nil {
			return err
		}
		l, err := eventloop.New()
		if err != nil {
			return err
		}
		tap, err := auditLog(invTap)
		if err != nil {
			return err
		}
		v, err := emulator.StartInventory(l, emulator.InventoryOptions{Listen: s.Inventory, PublishDelay: s.Emulator.ReportDelay, UnresponsiveAfter: s.Emulator.UnresponsiveAfter,
			RemoveAfter: s.Emulator.RemoveAfter, OnEvent: tap})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "inventory http://%s\n", v.Addr())
		handleSignals(l, g.logger(&s), s.LogLevel, l.Stop)
		return l.Run()
	}}
	g.register(inv)
	inv.Flags().StringVar(&invTap, "tap", "", "file that gets a line for each thing that passes")
	c.AddCommand(node, inv)
	return c
}

// auditLog writes what passes to a file, a line each; nil for no file. Each line is written at once: the process may be killed.
func auditLog(file string) (func(audit.Event), error) {
	if file == "" {
		return nil, nil
	}
	w, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	enc := json.NewEncoder(w)
	return func(t audit.Event) { enc.Encode(&t) }, nil
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Work with settings files"}
	c.AddCommand(&cobra.Command{Use: "check FILE", Short: "Check a settings file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := config.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), args[0]+": ok")
			return nil
		}})
	return c
}
