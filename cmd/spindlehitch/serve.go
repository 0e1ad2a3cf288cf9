package main

import (
	"context"
	"errors"
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
	"spindlehitch/internal/nvme"
	"spindlehitch/internal/upstream"
)

// answerMargin is how long before its client leaves a request's answer must be decided.
const answerMargin = 12 * time.Millisecond

func serveCommand() *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one initiator, as the environment and its configuration say",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, op, err := load(os.Getenv, operator)
			if err != nil {
				return err
			}
			return serve(cfg, op, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "", "an operator's file (TOML), such as deploy/nvme.toml")
	return cmd
}

// load reads the platform's configuration and, where one is named, the operator's file.
func load(getenv func(string) string, operator string) (*config.Config, *config.Operator, error) {
	cfg, err := config.Load(getenv)
	if err != nil || operator == "" {
		return cfg, &config.Operator{}, err
	}
	op, err := config.ReadOperator(operator, cfg)
	return cfg, op, err
}

// door is a front: it accepts until it is told to stop, and then finishes what it has taken.
type door interface {
	Serve(net.Listener) error
	Stop(context.Context) error
}

// serve runs until SIGTERM or SIGINT, and then until everything taken is answered.
func serve(cfg *config.Config, op *config.Operator, log *slog.Logger) error {
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
	var wire upstream.Wire = upstream.HTTP{}
	if op.NVMe != nil {
		wire = nvme.NewHost(op.NVMe.Host())
	}
	var c *core.Core
	up := upstream.NewRegistry(upstream.Options{Wire: wire, Dial: cfg.Dial, Idle: cfg.ConnIdle * 4 / 5,
		MostConn: cfg.TargetConns(), Log: log}, func(r core.Result) { c.Report(r) })
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

	// With NVMe the platform's front stays for its ready page alone: a target speaks one wire.
	doors := map[string]door{cfg.Listen: front.New(c, front.Options{Classes: cfg.Classes(), Plans: cfg.Plans(),
		MostConn: cfg.ClientConns(), ReadyOnly: op.NVMe != nil, Log: log})}
	if op.NVMe != nil {
		o := op.NVMe.Controller(cfg)
		o.Log = log
		doors[op.NVMe.Listen] = nvme.New(c, o)
	}
	failed := make(chan error, len(doors))
	for addr, d := range doors {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go func() { failed <- d.Serve(l) }()
		log.Info("serving", slog.String("name", cfg.Name), slog.String("listen", addr))
	}
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	log.Info("leaving", slog.String("reason", "SIGTERM"), slog.Int("open", c.Open()))
	bound, done := context.WithTimeout(context.Background(), longest(cfg)+600*time.Millisecond)
	defer done()
	ended := make(chan error, len(doors))
	for _, d := range doors {
		go func() { ended <- d.Stop(bound) }()
	}
	for range doors {
		err = errors.Join(err, <-ended)
	}
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
