package main

import (
	"github.com/spf13/cobra"

	"heathshed/internal/config"
)

func configCommand() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Work with settings files"}
	command.AddCommand(configCheckCommand())
	return command
}

func configCheckCommand() *cobra.Command {
	var migrate bool
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long: "Check a settings file, and list the settings that it gives under their former names. Files with former names stay valid.\n" +
			"With --migrate, print the file in present names instead, with its comments.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			document, err := config.LoadDocument(args[0])
			if err != nil {
				return err
			}
			if migrate {
				printf(command.OutOrStdout(), "%s", document.MigratedText)
				return nil
			}
			for _, former := range document.FormerNames {
				printf(command.OutOrStdout(), "%s:%v\n", args[0], former)
			}
			printf(command.OutOrStdout(), "%s: ok\n", args[0])
			return nil
		},
	}
	command.Flags().BoolVar(&migrate, "migrate", false, "print the file in present names, with its comments")
	return command
}
