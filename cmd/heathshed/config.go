package main

import (
	"github.com/spf13/cobra"

	"heathshed/internal/config"
)

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Work with settings files"}
	c.AddCommand(configCheckCommand())
	return c
}

func configCheckCommand() *cobra.Command {
	var migrate bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long: "Check a settings file, and list the settings that it gives under their former names. Files with former names stay valid.\n" +
			"With --migrate, print the file in present names instead, with its comments.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			document, err := config.LoadDocument(args[0])
			if err != nil {
				return err
			}
			if migrate {
				printf(c.OutOrStdout(), "%s", document.Migrated)
				return nil
			}
			for _, former := range document.Former {
				printf(c.OutOrStdout(), "%s:%v\n", args[0], former)
			}
			printf(c.OutOrStdout(), "%s: ok\n", args[0])
			return nil
		},
	}
	c.Flags().BoolVar(&migrate, "migrate", false, "print the file in present names, with its comments")
	return c
}
