package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"spindlehitch"
	"spindlehitch/internal/budget"
	"spindlehitch/internal/config"
	"spindlehitch/internal/control"
	"spindlehitch/internal/core"
	"spindlehitch/internal/discovery"
	"spindlehitch/internal/figures"
	"spindlehitch/internal/front"
	"spindlehitch/internal/handover"
	"spindlehitch/internal/keys"
	"spindlehitch/internal/listen"
	"spindlehitch/internal/nvme"
	"spindlehitch/internal/ration"
	"spindlehitch/internal/tasks"
	"spindlehitch/internal/upstream"
)

// answerMargin is how long before its client leaves a request's answer must be decided.
const answerMargin = 12 * time.Millisecond

func serveCommand() *cobra.Command {
	var operator string
	var agents []string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one initiator, as the environment and its configuration say",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log := slog.New(slog.NewTextHandler(os.Stderr, nil))
			stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			// Taken from the start on: a SIGHUP that nobody waits for would end the process.
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			if len(agents) > 0 {
				go func() {
					for range hup {
						log.Info("nothing to reload", slog.String("reason", "AGENTS_CONFIGURE"))
					}
				}()
				return follow(stop, agents, os.Getenv, operator, log)
			}
			cfg, op, err := load(os.Getenv, operator)
			if err != nil {
				return err
			}
			return serve(stop, cfg, op, log, nil, reloads(hup, os.Getenv, cfg.Discovery, operator, log))
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "", "an operator's file (TOML), such as deploy/nvme.toml")
	cmd.Flags().StringSliceVar(&agents, "agents", nil, "take the configuration of PROXY_NAME from these agents, and follow its changes")
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

// change is what a reload takes over.
type change struct {
	discovery string           // where it is now; empty: where it was
	spaces    []nvme.Namespace // in place of those there are; nil: as they were
}

// reloads reads the configuration and the operator's file again at each SIGHUP and passes on where discovery is and which
// namespaces there are from then on; the rest of them waits for the next start. What cannot be served changes nothing.
func reloads(hup <-chan os.Signal, getenv func(string) string, discovery, operator string, log *slog.Logger) <-chan change {
	changes := make(chan change)
	go func() {
		for range hup {
			cfg, err := config.Reload(getenv)
			op := &config.Operator{}
			if err == nil && operator != "" {
				op, err = config.ReadOperator(operator, cfg)
			}
			if err != nil {
				log.Error("configuration not taken", slog.String("reason", "BAD_CONFIG"), slog.Any("error", err))
				continue
			}
			log.Info("configuration taken", slog.String("discovery", cfg.Discovery))
			var c change
			if cfg.Discovery != discovery {
				discovery = cfg.Discovery
				c.discovery = discovery
			}
			if op.NVMe != nil {
				c.spaces = op.NVMe.Namespaces
			}
			if c.discovery != "" || c.spaces != nil {
				changes <- c
			}
		}
	}()
	return changes
}

// door is a front: it accepts until it is told to stop, and then finishes what it has taken.
type door interface {
	Serve(net.Listener) error
	Stop(context.Context) error
}

// serve runs until stop ends, and then until everything taken is answered. Where listening is given, it is called once
// all addresses are listened at, and they may be listened at by a predecessor that is about to leave. Discovery is
// asked at the addresses that come by changes, also while the program leaves.
func serve(stop context.Context, cfg *config.Config, op *config.Operator, log *slog.Logger, listening func(),
	changes <-chan change) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores+0.99)))

	var part *ration.Ration
	var duties *duty
	settings := cfg.Module
	if op.Fleet != nil {
		about := ration.Options{Name: cfg.Name, Addr: cfg.Listen, Agents: op.Fleet.Agents, Weight: op.Fleet.Weight, Uses: op.Fleet.Uses, Log: log}
		if op.Accounts != nil {
			about.Tells = op.Accounts.Listen
		}
		if len(op.Fleet.Tasks) > 0 {
			duties = newDuty(cfg, op, log, func() { part.Hurry() })
			about.Duties = duties.runner
		}
		part = ration.New(about)
		settings.Ration = part
		if duties != nil {
			duties.probe.Stock = part
		}
	}
	module, err := spindlehitch.New(settings, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	room := budget.New(0) // until it is shared out
	var wire upstream.Wire = upstream.NewHTTP(room)
	var certs *keys.Keys
	if op.NVMe != nil {
		if op.NVMe.TLS != nil {
			if certs, err = keys.Load(*op.NVMe.TLS); err != nil {
				return fmt.Errorf("operator's file: nvme.tls.%w", err)
			}
		}
		h := op.NVMe.Host()
		h.Keys = certs
		wire = nvme.NewHost(h)
	}
	numbers := figures.New(slices.Collect(maps.Keys(cfg.Classes())))
	var c *core.Core
	out := upstream.Options{Wire: wire, Dial: cfg.Dial, Idle: cfg.ConnIdle * 4 / 5, Sent: numbers.Dispatched, Log: log}
	if part != nil {
		out.Stock = part
	}
	up := upstream.NewRegistry(out, func(r core.Result) { c.Report(r) })
	leave := core.LeaveWithin(longest(cfg))
	bounds := core.Options{MostHeld: cfg.MostHeld, Margin: answerMargin, Avoided: numbers.Avoided}
	if duties != nil {
		bounds.Avoids = duties.runner.Avoid
	}
	var book *ledger
	if op.Accounts != nil {
		book = newLedger(*op.Accounts, cfg.Name, log)
		bounds.Observer = book.book
	}
	c = core.New(module, up, core.NewClock(), bounds)
	shared := listening != nil || cfg.Inherited != "" // all other addresses: a predecessor may still listen at each
	if book != nil {
		book.core = c
		if duties != nil {
			book.kept = tasks.Kept
		}
		if err := book.serve(work, shared); err != nil {
			return fmt.Errorf("operator's file: accounts.listen: %w", err)
		}
		go book.run(work)
	}
	var listed atomic.Bool
	known := make(chan struct{}) // closed with the first list
	clients := front.New(c, front.Options{Classes: cfg.Classes(), Plans: cfg.Plans(), Ready: listed.Load,
		ReadyOnly: op.NVMe != nil, Figures: numbers, Leave: leave, Room: room, Ahead: up.Ahead, Log: log})
	// What there may be of connections and bytes is set here alone, now and whenever the processes become more or fewer.
	limits := &shares{cfg: cfg, room: room, up: up, clients: clients, core: c}
	limits.divide(1)
	// The targets' actors hear before the module does: a send decided on the older list meets the newer one.
	tell := func(l *discovery.List) {
		numbers.Listed(up.Apply(targets(l), l.Full))
		c.List(nodes(l))
		if !listed.Swap(true) {
			close(known)
		}
		if book != nil {
			book.forget(l)
		}
		if duties != nil {
			duties.listed(l)
		}
	}
	go c.Run(work)
	if duties != nil {
		duties.run(work, c)
	}
	leaveFleet := func(context.Context) {}
	if part != nil {
		leaveFleet = joinFleet(work, part, c, up)
	}
	about := discovery.Options{Addr: cfg.Discovery, Known: cfg.Known, Seed: cfg.Seed, Log: log}
	if cfg.Module.AskForList {
		about.Crowd = cfg.Module.Initiators
	}
	list := discovery.New(about, tell)
	go list.Run(work)
	update := func([]nvme.Namespace) {} // of the front that has namespaces
	// With NVMe the platform's front stays for its ready page alone: a target speaks one wire.
	doors := map[string]door{cfg.Listen: clients}
	if op.NVMe != nil {
		o := op.NVMe.Controller(cfg)
		o.Log, o.Keys, o.Figures, o.Leave = log, certs, numbers, leave
		controller := nvme.New(c, o)
		doors[op.NVMe.Listen], update = controller, controller.Update
	}
	go func() {
		for {
			select {
			case <-work.Done():
				return
			case next := <-changes:
				if next.discovery != "" {
					list.Move(next.discovery)
				}
				if next.spaces != nil {
					update(next.spaces)
				}
				if certs == nil {
					continue
				}
				if err := certs.Reload(); err != nil {
					log.Error("configuration not taken", slog.String("reason", "BAD_CONFIG"), slog.Any("error", fmt.Errorf("nvme.tls.%w", err)))
				}
			}
		}
	}()
	crew := joinCrew(cfg, log)
	defer crew.close()
	go crew.watch(work, limits.divide)
	failed := make(chan error, len(doors))
	ls := map[string]net.Listener{}
	for addr := range doors {
		var l net.Listener
		if addr == cfg.Listen && cfg.Inherited != "" {
			l, err = listen.Inherited(cfg.Inherited)
		} else if l, err = listen.Bound(stop, addr, shared); err != nil {
			err = fmt.Errorf("listen: %w", err)
		}
		if err != nil {
			for _, l := range ls {
				l.Close()
			}
			return err
		}
		ls[addr] = l
	}
	if cfg.Control != "" {
		at, err := listen.Bound(stop, cfg.Control, shared)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		figures := numbers.Render
		if part != nil {
			figures = func() []byte { return append(numbers.Render(), part.Render()...) }
			if duties != nil {
				figures = func() []byte { return slices.Concat(numbers.Render(), part.Render(), duties.runner.Render()) }
			}
		}
		pages := control.New(control.Options{Ready: clients.Ready, Figures: figures, Log: log})
		defer pages.Close()
		go pages.Serve(at)
		log.Info("serving", slog.String("name", cfg.Name), slog.String("control", cfg.Control))
	}
	for addr, d := range doors {
		go func() { failed <- d.Serve(ls[addr]) }()
		log.Info("serving", slog.String("name", cfg.Name), slog.String("listen", addr))
	}
	go func() {
		select {
		case <-known: // what is taken before would wait
			crew.enter(handover.Serving)
		case <-work.Done():
		}
	}()
	if listening != nil {
		listening()
	}
	reason := "STOPPED"
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	case <-crew.succeeded:
		reason = "SUCCEEDED"
	}
	crew.enter(handover.Leaving)
	if cfg.Inherited != "" {
		clients.HandOver() // the socket stays, and whoever has it takes what comes
	}
	log.Info("leaving", slog.String("reason", reason), slog.Int("open", c.Open()), slog.Duration("within", leave.Answer))
	// What was taken early may wait for longer than the platform lets the process live. To be killed with it is then no
	// fault of this program; to end before it is answered would be.
	bound, done := context.WithTimeout(context.Background(), max(longest(cfg), 3*time.Second)+600*time.Millisecond)
	defer done()
	ended := make(chan error, len(doors))
	for _, d := range doors {
		go func() { ended <- d.Stop(bound) }()
	}
	for range doors {
		err = errors.Join(err, <-ended)
	}
	if book != nil {
		window := time.Duration(op.Accounts.WindowS) * time.Second
		book.save(bound, time.Now().Truncate(window))
	}
	leaveFleet(bound)
	log.Info("left", slog.Int("open", c.Open()))
	return err
}

// joinFleet has the instance keep a seat in the fleet, and tells how it is given back once nothing is served any more.
func joinFleet(work context.Context, part *ration.Ration, c *core.Core, up *upstream.Registry) (leave func(context.Context)) {
	part.OnMove(func() {
		c.Rationed()
		up.Review()
	})
	ctx, stop := context.WithCancel(work)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		part.Run(ctx)
	}()
	return func(within context.Context) {
		stop()
		<-ended
		up.Retire()
		part.Leave(within)
	}
}

// longest is the longest any client waits.
func longest(cfg *config.Config) (d time.Duration) {
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
