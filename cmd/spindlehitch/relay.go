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
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/config"
)

func relayCommand() *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Run one of the relays that carry the feed of changes from the agents to the initiators of a region",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			set, err := config.ReadRelay(operator)
			if err != nil {
				return err
			}
			stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return runRelay(stop, set, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "deploy/relay.toml", "the operator's file (TOML) with the relay")
	return cmd
}

func runRelay(stop context.Context, set *config.Relay, log *slog.Logger) error {
	l, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return fmt.Errorf("relay.listen: %w", err)
	}
	leader := &agent.Client{Addrs: set.Agents}
	r, err := edge.NewRelay(edge.RelayOptions{ID: set.ID, Fleet: set.Fleet, Region: set.Region, Agents: set.Agents, Dir: set.Dir, Report: leader.SendReport, Log: log,
		Source: watchstream.SourceOptions{ReaderRate: float64(*set.Rate), ReaderBurst: float64(*set.Burst), AdmitRate: float64(*set.Admit), AdmitBurst: float64(2 * *set.Admit),
			MaxReaders: *set.Readers}})
	if err != nil {
		l.Close()
		return fmt.Errorf("relay: %w", err)
	}
	log.Info("relay up", slog.String("id", set.ID), slog.String("region", set.Region), slog.String("listen", set.Listen))
	ctx, end := context.WithCancel(stop)
	defer end()
	failed := make(chan error, 1)
	go func() {
		failed <- r.Serve(l)
		end() // without a listener it is of no use
	}()
	r.Run(ctx)
	return <-failed
}
