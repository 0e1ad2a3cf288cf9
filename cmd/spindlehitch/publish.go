package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/datapath/discovery"
)

func publishCommand() *cobra.Command {
	var set publishing
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Put what a discovery's list of targets says into the feed of changes, and follow it",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if set.fleet == "" || set.discovery == "" {
				return errors.New("--fleet and --discovery are required")
			}
			stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			set.run(stop, slog.New(slog.NewTextHandler(os.Stderr, nil)))
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&set.agents, "agents", []string{"127.0.0.1:7701"}, "where the agents answer")
	cmd.Flags().StringVar(&set.fleet, "fleet", "", "the fleet whose feed it is")
	cmd.Flags().StringVar(&set.discovery, "discovery", "", "where the list of targets is told")
	cmd.Flags().BoolVar(&set.shed, "shed", false, "take a list at its word that takes away more than half of the targets")
	return cmd
}

// publishing is what flags of publish say.
type publishing struct {
	agents           []string
	fleet, discovery string
	shed             bool
}

func (s *publishing) run(stop context.Context, log *slog.Logger) {
	client := &agent.Client{Addrs: s.agents}
	p := edge.NewPublisher(edge.PublisherOptions{Fleet: s.fleet, Put: client.PutChange, AllowShrink: s.shed, Log: log,
		Records: func(ctx context.Context) ([]watchstream.Record, error) {
			return client.Records(ctx, watchstream.Targets, "")
		}})
	var work sync.WaitGroup
	work.Go(func() { discovery.New(discovery.Options{Addr: s.discovery, Seed: 1, Log: log}, p.SetList).Run(stop) })
	p.Run(stop)
	work.Wait()
}
