package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"spindlehitch/internal/agent"
	"spindlehitch/internal/config"
)

// Follow serves what the agents say of this instance. A new configuration is checked, then served by a
// successor that listens at the same addresses; the predecessor leaves once that one is up, as at SIGTERM, so
// that nothing taken is lost. One that cannot be served changes nothing.
func Follow(stop context.Context, agents []string, getenv func(string) string, operator string, log *slog.Logger) error {
	name := getenv("PROXY_NAME")
	if name == "" {
		return config.Missing("PROXY_NAME")
	}
	return succession(stop, operator, log, nil, func(watch context.Context, offers chan<- offer) {
		client := &agent.Client{Addrs: agents}
		client.Follow(watch, name, log, func(e agent.Entry) {
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

// succession serves what is offered, each in place of the one before, until stop ends or one in force ends by itself. Of is the process's
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
			next, err := succeed(stop, e.Entry, nothing, operator, log, of)
			if e.answer != nil {
				e.answer <- err
			}
			if err != nil {
				notTaken(log, slog.Uint64("version", e.Version), slog.Any("error", err))
				continue
			}
			log.Info("configuration taken", slog.Uint64("version", e.Version))
			if old := now; old != nil {
				old.leave()
				leaving.Go(func() { <-old.ended })
			}
			now = next
		}
	}
}

// generation is a running initiator of one configuration.
type generation struct {
	leave context.CancelFunc
	ended chan error
}

// succeed starts a generation and waits until it listens.
func succeed(stop context.Context, e agent.Entry, getenv func(string) string, operator string, log *slog.Logger, of *stream) (*generation, error) {
	cfg, err := config.Parse(e.Config, getenv)
	if err != nil {
		return nil, err
	}
	if cfg.Name != e.Name {
		return nil, errors.New("name: it is another instance's")
	}
	op := &config.Operator{}
	if operator != "" {
		if op, err = config.ReadOperator(operator, cfg); err != nil {
			return nil, err
		}
	}
	ctx, leave := context.WithCancel(stop)
	g := &generation{leave, make(chan error, 1)}
	up := make(chan struct{})
	go func() { g.ended <- Serve(ctx, cfg, op, Options{Log: log, Listening: func() { close(up) }, feed: of}) }()
	select {
	case <-up:
		return g, nil
	case err := <-g.ended:
		leave()
		return nil, err
	}
}
