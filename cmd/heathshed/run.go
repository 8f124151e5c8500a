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

// common are flags that several commands share.
type common struct {
	file, listen, inventory, name, logLevel, logFormat string
	print                                              bool
}

func (f *common) add(c *cobra.Command) {
	c.Flags().StringVarP(&f.file, "config", "c", "", "settings file (JSON with comments); built-in settings if none")
	c.Flags().StringVar(&f.listen, "listen", "", "address of the API, such as 127.0.0.1:8480; port 0 chooses one")
	c.Flags().StringVar(&f.inventory, "inventory", "", "address of the inventory")
	c.Flags().StringVar(&f.name, "name", "", "name of this scheduler")
	c.Flags().StringVar(&f.logLevel, "log-level", "", "debug, info, warn or error; SIGUSR1 turns debug on and off")
	c.Flags().StringVar(&f.logFormat, "log-format", "json", "json or text")
	c.Flags().BoolVar(&f.print, "print-config", false, "print the settings in force and exit")
}

// settings reads the file and lays the flags over it.
func (f *common) settings() (config.Settings, error) {
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
	return s, s.Check()
}

func printSettings(w io.Writer, s *config.Settings) error {
	b, err := s.Text()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return err
}

func (f *common) logger(s *config.Settings) zerolog.Logger {
	var w io.Writer = os.Stderr
	if f.logFormat == "text" {
		w = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	setLevel(s.LogLevel)
	return zerolog.New(w).With().Timestamp().Logger()
}

func setLevel(name string) {
	if l, err := zerolog.ParseLevel(name); err == nil {
		zerolog.SetGlobalLevel(l)
	}
}

// onSignals posts stop to the loop at the first SIGINT or SIGTERM, ends the program at the second, and turns debug logs on and
// off at SIGUSR1.
func onSignals(l *eventloop.Loop, log zerolog.Logger, normal string, stop func()) {
	ch := make(chan os.Signal, 4)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM, syscall.SIGUSR1)
	go func() {
		stopping, debug := false, normal == "debug"
		for s := range ch {
			if s == syscall.SIGUSR1 {
				if debug = !debug; debug {
					setLevel("debug")
				} else {
					setLevel(normal)
				}
				log.Warn().Bool("debug", debug).Msg("log level changed")
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
	h.Limits.Body = s.Limits.Body
	memory := int64(s.Limits.Memory) << 20
	h.Memory = memquota.Divide(memory).Connections
	debug.SetMemoryLimit(memory) // the collector works harder near it; what is held is bounded by the shares
	l.SetMaxConns(s.Limits.Connections)
	return scheduler.Options{Engine: s.Engine(seed, int64(l.Now()*1e6)), Listen: s.Listen, Inventory: s.Inventory, Version: version, HTTP: h,
		ConnectWithin: s.ConnectWithin, HeardWithin: s.HeardWithin, MaxList: s.Limits.Page, WatchQuiet: 90, Log: log}
}

func serveCommand() *cobra.Command {
	var f common
	var seed uint64
	c := &cobra.Command{Use: "serve", Short: "Run one scheduler", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := f.settings()
		if err != nil {
			return err
		}
		if f.print {
			return printSettings(c.OutOrStdout(), &s)
		}
		if seed == 0 {
			seed = randomSeed()
		}
		log := f.logger(&s)
		l, err := eventloop.New()
		if err != nil {
			return err
		}
		sch, err := scheduler.New(l, schedulerOptions(&s, l, seed, log))
		if err != nil {
			return err
		}
		log.Info().Str("api", "http://"+sch.Addr()).Str("inventory", s.Inventory).Str("name", s.Name).Msg("scheduler listens")
		fmt.Fprintf(c.OutOrStdout(), "api http://%s\n", sch.Addr())
		onSignals(l, log, s.LogLevel, func() { sch.Stop(s.StopWithin, l.Stop) })
		return l.Run()
	}}
	f.add(c)
	c.Flags().Uint64Var(&seed, "seed", 0, "seed of all random numbers; 0 draws one")
	return c
}

func upCommand() *cobra.Command {
	var f common
	var nodes int
	c := &cobra.Command{Use: "up", Short: "Run a scheduler with stand-in machines and an inventory, all in one process",
		Long: "Run a scheduler with stand-in machines and an inventory on loopback, all in this one process. It is ready when\n" +
			"/readyz says 200. Ctrl-C stops it in order.", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := f.settings()
			if err != nil {
				return err
			}
			if nodes > 0 {
				s.Emulator.Nodes = nodes
			}
			if err := s.Check(); err != nil {
				return err
			}
			if f.print {
				return printSettings(c.OutOrStdout(), &s)
			}
			log := f.logger(&s)
			l, err := eventloop.New()
			if err != nil {
				return err
			}
			// The stand-ins have a loop of their own, so that they do not share the scheduler's time.
			sl, err := eventloop.New()
			if err != nil {
				return err
			}
			inv, err := startStandIns(sl, &s, f.inventory)
			if err != nil {
				return err
			}
			s.Inventory = inv.Addr()
			sch, err := scheduler.New(l, schedulerOptions(&s, l, randomSeed(), log))
			if err != nil {
				return err
			}
			log.Info().Str("api", "http://"+sch.Addr()).Str("inventory", "http://"+inv.Addr()).Int("machines", s.Emulator.Nodes).
				Msg("scheduler, inventory and stand-in machines listen")
			fmt.Fprintf(c.OutOrStdout(), "api http://%s\n", sch.Addr())
			done := make(chan error, 1)
			go func() { done <- sl.Run() }()
			onSignals(l, log, s.LogLevel, func() { sch.Stop(s.StopWithin, l.Stop) })
			err = l.Run()
			sl.Stop()
			<-done
			return err
		}}
	f.add(c)
	c.Flags().IntVar(&nodes, "nodes", 0, "number of stand-in machines")
	return c
}

// startStandIns starts an inventory and machines that report to it.
func startStandIns(l *eventloop.Loop, s *config.Settings, listen string) (*emulator.Inventory, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	inv, err := emulator.StartInventory(l, emulator.InventoryOptions{Listen: listen, Late: s.Emulator.Late, SilentAfter: s.Emulator.SilentAfter,
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
	cfg, kind, rack, zone := s.Machine(i)
	return emulator.NodeOptions{Name: fmt.Sprintf("node-%02d", i+1), Zone: zone, Rack: rack, Kind: kind, Listen: "127.0.0.1:0", Sim: cfg,
		Priorities: s.Priorities(), Lives: s.Lives()}
}

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in of a machine or of the inventory"}
	var f common
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
			tap, err := tapTo(tapFile)
			if err != nil {
				return err
			}
			o.Tap = tap
			n, err := emulator.StartNode(l, o)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "node %s http://%s\n", n.Name(), n.Addr())
			onSignals(l, f.logger(&s), s.LogLevel, l.Stop)
			return l.Run()
		}}
	f.add(node)
	node.Flags().IntVar(&index, "index", 0, "number of the machine: gives its kind, rack and seed")
	node.Flags().StringVar(&tapFile, "tap", "", "file that gets a line for each thing that passes")
	var g common
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
		tap, err := tapTo(invTap)
		if err != nil {
			return err
		}
		v, err := emulator.StartInventory(l, emulator.InventoryOptions{Listen: s.Inventory, Late: s.Emulator.Late, SilentAfter: s.Emulator.SilentAfter,
			RemoveAfter: s.Emulator.RemoveAfter, Tap: tap})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "inventory http://%s\n", v.Addr())
		onSignals(l, g.logger(&s), s.LogLevel, l.Stop)
		return l.Run()
	}}
	g.add(inv)
	inv.Flags().StringVar(&invTap, "tap", "", "file that gets a line for each thing that passes")
	c.AddCommand(node, inv)
	return c
}

// tapTo writes what passes to a file, a line each; nil for no file. Each line is written at once: the process may be killed.
func tapTo(file string) (func(audit.Event), error) {
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
