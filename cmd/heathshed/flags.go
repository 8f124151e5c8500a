package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"heathshed/internal/config"
)

// commonFlags are the flags shared by the commands that run schedulers or the emulator: serve, up, emulate and scenario.
type commonFlags struct {
	file, listen, inventory, name, logLevel, logFormat string
	printConfig                                        bool
	nodes                                              int // emulated nodes, a flag of up alone; 0 keeps the settings'
}

func (f *commonFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVarP(&f.file, "config", "c", "", "settings file (JSON with comments); built-in settings if none")
	flags.StringVar(&f.listen, "listen", "", "address of the API, such as 127.0.0.1:8480; port 0 chooses one")
	flags.StringVar(&f.inventory, "inventory", "", "address of the inventory")
	flags.StringVar(&f.name, "name", "", "name of this scheduler")
	flags.StringVar(&f.logLevel, "log-level", "", "debug, info, warn or error; SIGUSR1 turns debug on and off")
	flags.StringVar(&f.logFormat, "log-format", "json", "json or text")
	flags.BoolVar(&f.printConfig, "print-config", false, "print the settings in force and exit")
}

// settings reads the settings file, if one is given, and applies the flags to it.
func (f *commonFlags) settings() (config.Settings, error) {
	settings := config.Default()
	if f.file != "" {
		var err error
		if settings, err = config.Load(f.file); err != nil {
			return settings, err
		}
	}
	for _, override := range []struct {
		flag    string
		setting *string
	}{
		{f.listen, &settings.Listen},
		{f.inventory, &settings.Inventory},
		{f.name, &settings.Name},
		{f.logLevel, &settings.LogLevel},
	} {
		if override.flag != "" {
			*override.setting = override.flag
		}
	}
	if f.nodes > 0 {
		settings.Emulator.Nodes = f.nodes
	}
	return settings, settings.Validate()
}

// runOrPrint calls run with the settings, or prints them if --print-config is given.
func (f *commonFlags) runOrPrint(command *cobra.Command, run func(*config.Settings) error) error {
	settings, err := f.settings()
	if err != nil {
		return err
	}
	if f.printConfig {
		return printSettings(command.OutOrStdout(), &settings)
	}
	return run(&settings)
}

// printSettings prints settings in the form of a settings file.
func printSettings(w io.Writer, settings *config.Settings) error {
	text, err := settings.Text()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
