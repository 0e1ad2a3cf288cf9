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
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/datapath/discovery"
)

func publishCommand() *cobra.Command {
	var opts publishOptions
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Put what a discovery's list of targets says into the feed of changes, and follow it",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if opts.fleet == "" || opts.discovery == "" {
				return errors.New("--fleet and --discovery are required")
			}
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			opts.run(ctx, slog.New(slog.NewTextHandler(os.Stderr, nil)))
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&opts.agents, "agents", []string{"127.0.0.1:7701"}, "where the agents answer")
	cmd.Flags().StringVar(&opts.fleet, "fleet", "", "the fleet whose feed it is")
	cmd.Flags().StringVar(&opts.discovery, "discovery", "", "where the list of targets is told")
	cmd.Flags().BoolVar(&opts.allowShrink, "shed", false, "take a list at its word that takes away more than half of the targets")
	return cmd
}

// publishOptions are the flags of the publish command.
type publishOptions struct {
	agents           []string
	fleet, discovery string
	allowShrink      bool // accept a list that removes more than half of the targets
}

// run publishes the targets that discovery lists until runCtx is cancelled.
func (o *publishOptions) run(runCtx context.Context, log *slog.Logger) {
	client := &agent.Client{Addrs: o.agents}
	p := distribution.NewPublisher(distribution.PublisherOptions{Fleet: o.fleet, Put: client.PutChange, AllowShrink: o.allowShrink, Log: log,
		Records: func(ctx context.Context) ([]watchstream.Record, error) {
			return client.Records(ctx, watchstream.Targets, "")
		}})
	var wg sync.WaitGroup
	wg.Go(func() { discovery.New(discovery.Options{Addr: o.discovery, Seed: 1, Log: log}, p.SetList).Run(runCtx) })
	p.Run(runCtx)
	wg.Wait()
}
