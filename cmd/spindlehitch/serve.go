package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"spindlehitch/internal/process/instance"
)

func serveCommand() *cobra.Command {
	var operator string
	var agents []string
	var fromFeed bool
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one initiator, as the environment and its configuration say",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log := slog.New(slog.NewTextHandler(os.Stderr, nil))
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			// Registered before anything else: an unhandled SIGHUP would terminate the process.
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			if len(agents) > 0 || fromFeed {
				go func() {
					for range hup {
						log.Info("nothing to reload", slog.String("reason", "AGENTS_CONFIGURE"))
					}
				}()
			}
			if fromFeed {
				return instance.ServeFromFeed(ctx, os.Getenv, operator, log)
			}
			if len(agents) > 0 {
				return instance.ServeFromAgents(ctx, agents, os.Getenv, operator, log)
			}
			cfg, op, err := instance.Load(os.Getenv, operator)
			if err != nil {
				return err
			}
			changes := instance.ReloadOnSignal(hup, os.Getenv, cfg.Discovery, operator, log)
			return instance.Serve(ctx, cfg, op, instance.Options{Log: log, Changes: changes})
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "", "an operator's file (TOML), such as deploy/nvme.toml")
	cmd.Flags().StringSliceVar(&agents, "agents", nil, "take the configuration of PROXY_NAME from these agents, and follow its changes")
	cmd.Flags().BoolVar(&fromFeed, "config-from-feed", false, "take the configuration of PROXY_NAME from the feed in the operator's file, and follow its changes")
	cmd.MarkFlagsMutuallyExclusive("agents", "config-from-feed")
	return cmd
}
