package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/process/config"
)

// Follow serves what the agents say of this instance. A new configuration is checked, then taken over by what runs. Where it names what needs a
// new start, a successor listens at the same addresses, and the predecessor leaves once that one is up, as at SIGTERM, so that nothing taken is
// lost. One that cannot be served changes nothing.
func Follow(stop context.Context, agents []string, getenv func(string) string, operator string, log *slog.Logger) error {
	name := getenv("PROXY_NAME")
	if name == "" {
		return config.Missing("PROXY_NAME")
	}
	return succession(stop, operator, log, nil, func(watch context.Context, offers chan<- offer) {
		client := &agent.Client{Addrs: agents}
		client.FollowConfig(watch, name, log, func(e agent.Entry) {
			select {
			case offers <- offer{Entry: e}:
			case <-watch.Done():
			}
		})
	})
}

// offer is a configuration that may be served; answer, where somebody waits for it, is told what became of it.
type offer struct {
	agent.Entry
	answer chan<- error
}

// succession serves what is offered: what runs takes it over, or a successor takes its place, until stop ends or one in force ends by itself. Of is the process's
// feed; nil: there is none.
func succession(stop context.Context, operator string, log *slog.Logger, of *stream, offering func(context.Context, chan<- offer)) error {
	// The environment names the instance alone: where it listens is for those who configure it to say.
	nothing := func(string) string { return "" }
	offers := make(chan offer)
	watch, unwatch := context.WithCancel(stop)
	var watching sync.WaitGroup
	defer watching.Wait()
	defer unwatch()
	watching.Go(func() { offering(watch, offers) })
	var now *generation
	var leaving sync.WaitGroup // predecessors with requests open
	defer leaving.Wait()
	for {
		var ended chan error
		if now != nil {
			ended = now.ended
		}
		select {
		case <-stop.Done():
			if now == nil {
				return nil
			}
			return <-now.ended
		case err := <-ended:
			return err
		case e := <-offers:
			next, why := now, ""
			cfg, op, err := accept(e.Entry, nothing, operator)
			switch {
			case err != nil:
			case now == nil:
				next, err = begin(stop, cfg, op, log, of)
			default:
				if why = needsStart(now.cfg, cfg, now.op, op); why == "" {
					err = now.adopt(cfg)
				} else {
					next, err = begin(stop, cfg, op, log, of)
				}
			}
			if e.answer != nil {
				e.answer <- err
			}
			if err != nil {
				notTaken(log, slog.Uint64("version", e.Version), slog.Any("error", err))
				continue
			}
			log.Info("configuration taken", slog.Uint64("version", e.Version), slog.Bool("started", next != now), slog.String("for", why))
			if old := now; old != nil && old != next {
				old.leave()
				leaving.Go(func() { <-old.ended }) //nolint:errcheck // its end was logged by itself
			}
			now = next
		}
	}
}

// generation is a running initiator, and the configuration that it has in force.
type generation struct {
	cfg     *config.Config
	op      *config.Operator
	changes chan Change
	leave   context.CancelFunc
	ended   chan error
}

// accept checks a configuration, and the operator's file beside it.
func accept(e agent.Entry, getenv func(string) string, operator string) (*config.Config, *config.Operator, error) {
	cfg, err := config.Parse(e.Config, getenv)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Name != e.Name {
		return nil, nil, errors.New("name: it is another instance's")
	}
	op := &config.Operator{}
	if operator != "" {
		if op, err = config.ReadOperator(operator, cfg); err != nil {
			return nil, nil, err
		}
	}
	return cfg, op, nil
}

// adopt has a generation take a configuration over, and returns once it is in force.
func (g *generation) adopt(cfg *config.Config) error {
	taken := make(chan error, 1)
	c := Change{Config: cfg, taken: taken}
	if cfg.Discovery != g.cfg.Discovery {
		c.Discovery = cfg.Discovery
	}
	select {
	case g.changes <- c:
	case err := <-g.ended:
		g.ended <- err // for whoever waits for it
		return errLeaving
	}
	err := <-taken
	if err == nil {
		g.cfg = cfg
	}
	return err
}

// begin starts a generation and waits until it listens.
func begin(stop context.Context, cfg *config.Config, op *config.Operator, log *slog.Logger, of *stream) (*generation, error) {
	ctx, leave := context.WithCancel(stop)
	g := &generation{cfg, op, make(chan Change), leave, make(chan error, 1)}
	up := make(chan struct{})
	go func() {
		g.ended <- Serve(ctx, cfg, op, Options{Log: log, Listening: func() { close(up) }, Changes: g.changes, feed: of})
	}()
	select {
	case <-up:
		return g, nil
	case err := <-g.ended:
		leave()
		return nil, err
	}
}
