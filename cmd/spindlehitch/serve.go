package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"spindlehitch"
	"spindlehitch/internal/config"
	"spindlehitch/internal/core"
	"spindlehitch/internal/discovery"
	"spindlehitch/internal/front"
	"spindlehitch/internal/upstream"
)

const (
	// answerMargin is how long before its client leaves a request's answer must be decided.
	answerMargin = 12 * time.Millisecond
	// connPerTarget is above what the module ever has out at a target, attempts overdue included.
	connPerTarget = 40
	// spareFiles are descriptors kept for discovery, the listener, logs and the runtime.
	spareFiles = 48
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run one initiator, as the environment and its configuration say",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := config.Load(os.Getenv)
			if err != nil {
				return err
			}
			return serve(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
}

// serve runs until SIGTERM or SIGINT, and then until everything taken is answered.
func serve(cfg *config.Config, log *slog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores+0.99)))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 7 / 10)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	module, err := spindlehitch.New(cfg.Module, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	var c *core.Core
	up := upstream.NewRegistry(upstream.Options{Wire: upstream.HTTP{}, Dial: cfg.Dial, Idle: cfg.ConnIdle * 4 / 5,
		MostConn: connPerTarget, Log: log}, func(r core.Result) { c.Report(r) })
	c = core.New(module, up, core.NewClock(), core.Options{MostHeld: cfg.MostHeld, Margin: answerMargin})
	tell := func(l *discovery.List) {
		up.Apply(targets(l), l.Full)
		c.List(nodes(l))
	}
	if cfg.Known != nil {
		known := *cfg.Known
		known.Full = true
		tell(&known)
	}
	go c.Run(work)
	go discovery.New(cfg.Discovery, cfg.Known, tell, log).Run(work)

	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f := front.New(c, front.Options{Classes: classes(cfg), Plans: plans(cfg), Log: log,
		MostConn: max(cfg.Limits.Sockets*6/10-spareFiles, 16)})
	failed := make(chan error, 1)
	go func() { failed <- f.Serve(l) }()
	log.Info("serving", slog.String("name", cfg.Name), slog.String("listen", cfg.Listen))
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	log.Info("leaving", slog.String("reason", "SIGTERM"), slog.Int("open", c.Open()))
	bound, done := context.WithTimeout(context.Background(), longest(cfg)+600*time.Millisecond)
	defer done()
	err = f.Stop(bound)
	log.Info("left", slog.Int("open", c.Open()))
	return err
}

// longest is the longest any client waits.
func longest(cfg *config.Config) time.Duration {
	d := 3 * time.Second
	for _, c := range cfg.Module.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

func classes(cfg *config.Config) map[string]bool {
	m := map[string]bool{}
	for _, c := range cfg.Module.Classes {
		m[c.Name] = true
	}
	return m
}

func plans(cfg *config.Config) map[string]bool {
	m := map[string]bool{}
	for _, p := range cfg.Module.Plans {
		m[p.Name] = true
	}
	return m
}

func targets(l *discovery.List) []upstream.Target {
	out := make([]upstream.Target, 0, len(l.Servers))
	for _, e := range l.Servers {
		out = append(out, upstream.Target{ID: e.ID, Addr: e.Addr, State: e.Node().State})
	}
	return out
}

func nodes(l *discovery.List) spindlehitch.NodeList {
	out := spindlehitch.NodeList{Whole: l.Full}
	for _, e := range l.Servers {
		out.Nodes = append(out.Nodes, e.Node())
	}
	return out
}
