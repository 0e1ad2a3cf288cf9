package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/config"
)

func relayCommand() *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Run one of the relays that carry the feed of changes from the agents to the initiators of a region",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := config.ReadRelay(operator)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return runRelay(ctx, cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "deploy/relay.toml", "the operator's file (TOML) with the relay")
	return cmd
}

// runRelay runs a relay until parent is cancelled or its HTTP server fails.
func runRelay(parent context.Context, cfg *config.Relay, log *slog.Logger) error {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("relay.listen: %w", err)
	}
	client := &agent.Client{Addrs: cfg.Agents}
	r, err := distribution.NewRelay(distribution.RelayOptions{ID: cfg.ID, Fleet: cfg.Fleet, Region: cfg.Region, Agents: cfg.Agents, Dir: cfg.Dir, Report: client.SendReport, Log: log,
		Source: watchstream.SourceOptions{ReaderRate: float64(*cfg.Rate), ReaderBurst: float64(*cfg.Burst), AdmitRate: float64(*cfg.Admit), AdmitBurst: float64(2 * *cfg.Admit),
			MaxReaders: *cfg.Readers}})
	if err != nil {
		l.Close()
		return fmt.Errorf("relay: %w", err)
	}
	log.Info("relay up", slog.String("id", cfg.ID), slog.String("region", cfg.Region), slog.String("listen", cfg.Listen))
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- r.Serve(l)
		cancel() // ends Run: the relay cannot serve without its listener
	}()
	r.Run(ctx)
	return <-serveErr
}
