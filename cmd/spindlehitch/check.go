package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"spindlehitch/internal/process/instance"
)

func checkCommand() *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use:   "check [config.json]",
		Short: "Validate a configuration without starting anything",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			getenv := os.Getenv
			if len(args) == 1 {
				getenv = func(name string) string {
					if name == "PROXY_CONFIG" {
						return args[0]
					}
					return ""
				}
			}
			cfg, op, err := instance.Load(getenv, operator)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d classes, %d plans, listens at %s\n",
				cfg.Name, len(cfg.Policy.Classes), len(cfg.Policy.Plans), cfg.Listen)
			if op.NVMe != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "NVMe over TCP: %d namespaces, listens at %s\n",
					len(op.NVMe.Namespaces), op.NVMe.Listen)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "", "an operator's file (TOML) to validate as well")
	return cmd
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
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						version += " " + s.Value
					}
				}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "spindlehitch", version)
		},
	}
}
