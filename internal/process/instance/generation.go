package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/datapath/requestid"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/config"
)

// ServeFromAgents runs an instance with the configuration that the agents store for it, and follows its changes until ctx ends. A new
// configuration is checked and then applied to the running generation. If it changes a field that needs a restart, a successor starts at the
// same addresses, and once it listens the predecessor stops gracefully, as at SIGTERM, so that no accepted request is lost. A configuration
// that can't be served is logged and changes nothing.
func ServeFromAgents(ctx context.Context, agents []string, getenv func(string) string, operator string, log *slog.Logger) error {
	name := getenv("PROXY_NAME")
	if name == "" {
		return config.MissingField("PROXY_NAME")
	}
	return serveGenerations(ctx, operator, log, nil, func(sourceCtx context.Context, offers chan<- configOffer) {
		client := &agent.Client{Addrs: agents}
		client.FollowConfig(sourceCtx, name, log, func(e agent.Entry) {
			select {
			case offers <- configOffer{Entry: e}:
			case <-sourceCtx.Done():
			}
		})
	})
}

// configOffer is a configuration from a source.
type configOffer struct {
	agent.Entry
	result chan<- error // receives nil once the configuration is in force, or else the reason; nil: no result is wanted
}

// serveGenerations serves the configurations that source sends: each is applied to the current generation or starts a successor that
// replaces it. It returns once all generations have ended, after ctx has ended or the current generation has ended by itself. Source runs on
// a goroutine until its context ends. ProcessFeed is shared by all generations; nil: the process has none.
func serveGenerations(ctx context.Context, operator string, log *slog.Logger, processFeed *feedStream, source func(context.Context, chan<- configOffer)) error {
	// The environment only names the instance; the addresses come from the configuration.
	noEnv := func(string) string { return "" }
	requestIDs := requestid.New(0) // generations set for how long
	offers := make(chan configOffer)
	sourceCtx, stopSource := context.WithCancel(ctx)
	var sourceDone sync.WaitGroup
	defer sourceDone.Wait()
	defer stopSource()
	sourceDone.Go(func() { source(sourceCtx, offers) })
	var current *generation
	var predecessors sync.WaitGroup // that still finish their open requests
	defer predecessors.Wait()
	processCtx, endProcess := context.WithCancel(ctx) // ends with the current generation, too: predecessors then stop as at SIGTERM
	defer endProcess()
	for {
		var done chan error
		if current != nil {
			done = current.done
		}
		select {
		case <-ctx.Done():
			if current == nil {
				return nil
			}
			return <-current.done
		case err := <-done:
			return err
		case offered := <-offers:
			next, reason := current, ""
			cfg, op, err := parseEntry(offered.Entry, noEnv, operator)
			switch {
			case err != nil:
			case current == nil:
				next, err = startGeneration(processCtx, cfg, op, Options{Log: log, feed: processFeed, requestIDs: requestIDs, targets: targetlist.NewLatest(nil)})
			default:
				if reason = restartReason(current.cfg, cfg, current.op, op); reason == "" {
					err = current.applyConfig(cfg)
				} else {
					next, err = startGeneration(processCtx, cfg, op, Options{Log: log, feed: processFeed, requestIDs: requestIDs, targets: targetlist.NewLatest(current.targets)})
				}
			}
			if offered.result != nil {
				offered.result <- err
			}
			if err != nil {
				logRejected(log, slog.Uint64("version", offered.Version), slog.Any("error", err))
				continue
			}
			log.Info("configuration taken", slog.Uint64("version", offered.Version), slog.Bool("started", next != current), slog.String("for", reason))
			if old := current; old != nil && old != next {
				close(old.superseded)
				predecessors.Go(func() { <-old.done }) //nolint:errcheck // Serve has logged its end
			}
			current = next
		}
	}
}

// generation is a running initiator with the configuration that is in force there.
type generation struct {
	cfg        *config.Config
	op         *config.OperatorFile
	targets    *targetlist.Latest // what discovery has told it, or its predecessor
	changes    chan Change        // never closed
	superseded chan struct{}      // closed once a successor serves
	done       chan error         // receives the result of Serve; never closed
}

// parseEntry parses and checks an agent's entry, and the operator's file against it.
func parseEntry(entry agent.Entry, getenv func(string) string, operator string) (*config.Config, *config.OperatorFile, error) {
	cfg, err := config.Parse(entry.Config, getenv)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Name != entry.Name {
		return nil, nil, errors.New("name: it belongs to another instance")
	}
	op := &config.OperatorFile{}
	if operator != "" {
		if op, err = config.ReadOperatorFile(operator, cfg); err != nil {
			return nil, nil, err
		}
	}
	return cfg, op, nil
}

// applyConfig applies a configuration to the running generation, and returns once it is in force.
func (g *generation) applyConfig(cfg *config.Config) error {
	applied := make(chan error, 1)
	c := Change{Config: cfg, applied: applied}
	if cfg.Discovery != g.cfg.Discovery {
		c.Discovery = cfg.Discovery
	}
	select {
	case g.changes <- c:
	case err := <-g.done:
		g.done <- err // for the other receivers
		return errStopping
	}
	err := <-applied
	if err == nil {
		g.cfg = cfg
	}
	return err
}

// startGeneration starts a generation and waits until it listens at all its addresses. Opt has what the generations of a process share.
func startGeneration(ctx context.Context, cfg *config.Config, op *config.OperatorFile, opt Options) (*generation, error) {
	g := &generation{cfg, op, opt.targets, make(chan Change), make(chan struct{}), make(chan error, 1)}
	listening := make(chan struct{})
	go func() {
		opt.OnListening, opt.Changes, opt.superseded = func() { close(listening) }, g.changes, g.superseded
		g.done <- Serve(ctx, cfg, op, opt)
	}()
	select {
	case <-listening:
		return g, nil
	case err := <-g.done:
		return nil, err
	}
}
