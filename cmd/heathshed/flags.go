package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"heathshed/internal/config"
)

// commonFlags are the flags that the commands which run schedulers or the emulator share.
type commonFlags struct {
	file, listen, inventory, name, logLevel, logFormat string
	printConfig                                        bool
}

func (f *commonFlags) register(c *cobra.Command) {
	flags := c.Flags()
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
	return settings, settings.Validate()
}

func printSettings(w io.Writer, settings *config.Settings) error {
	text, err := settings.Text()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
