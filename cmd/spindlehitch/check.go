package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"spindlehitch/internal/config"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [config.json]",
		Short: "Validate a configuration without starting anything",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			get := os.Getenv
			if len(args) == 1 {
				get = func(name string) string {
					if name == "PROXY_CONFIG" {
						return args[0]
					}
					return ""
				}
			}
			cfg, err := config.Load(get)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d classes, %d plans, listens at %s\n",
				cfg.Name, len(cfg.Module.Classes), len(cfg.Module.Plans), cfg.Listen)
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			fmt.Fprintln(cmd.OutOrStdout(), "spindlehitch", version)
		},
	}
}
