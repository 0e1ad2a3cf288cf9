package instance

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"spindlehitch/internal/process/handover"
)

const (
	// killGrace is how long after the longest deadline the platform kills a process at the earliest, counted from SIGTERM.
	killGrace = 700 * time.Millisecond
	// exitMargin is how much later than that a process ends by itself.
	exitMargin = 100 * time.Millisecond
	// handoverTimeout bounds the stop of an instance whose successor serves. It is enough for the largest body and the largest response,
	// one after the other, of a client that moves 64,000 bytes a second.
	handoverTimeout = 20 * time.Minute
	// drainPollInterval is how often such an instance looks whether it still decides on requests.
	drainPollInterval = 100 * time.Millisecond
)

// stopTimeout bounds a stop, given the longest time that the client of an open request waits. It is longer than the
// platform lets the process run after SIGTERM. The process still waits for the response and may be killed while it waits: a
// request whose process exits before it is answered is a fault of this program, one whose process is killed is not.
func stopTimeout(maxWait time.Duration) time.Duration {
	return max(maxWait, 3*time.Second) + killGrace + exitMargin
}

// stopNow stops all components, since the process is about to be killed or can't serve.
func (in *instance) stopNow() error {
	return in.withStopTimeout(context.Background(), in.components.stop)
}

// withStopTimeout calls f with a context that ends after stopTimeout.
func (in *instance) withStopTimeout(parent context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(parent, stopTimeout(in.longestClientWait()))
	defer cancel()
	return f(ctx)
}

// stopAfterHandover stops all components, since a successor serves. Nothing kills the process soon, so its clients have the time that they
// need to send the requests that they have begun and to read their responses, up to handoverTimeout. Once ctx ends, which is SIGTERM, they
// have stopTimeout.
func (in *instance) stopAfterHandover(ctx context.Context) error {
	in.fronts.supersede()
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancelDrain()
	unwatch := context.AfterFunc(ctx, func() {
		in.fronts.terminate()
		time.AfterFunc(stopTimeout(in.longestClientWait()), cancelDrain)
	})
	defer unwatch()
	others := in.components.without(in.fronts)
	err := in.drain(drainCtx, others)
	return errors.Join(err, in.withStopTimeout(context.Background(), others.stop))
}

// drain stops the fronts, until ctx ends. Meanwhile it tells the other processes once all its requests are decided, and after stopTimeout
// it has the other components yield to the successor.
func (in *instance) drain(ctx context.Context, others components) (err error) {
	stopped := make(chan error, 1)
	go func() { stopped <- in.fronts.Stop(ctx) }()
	yield := time.After(stopTimeout(in.longestClientWait()))
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for {
		select {
		case frontsErr := <-stopped:
			return errors.Join(err, frontsErr)
		case <-poll.C:
			if in.fronts.delivering() {
				in.group.enterPhase(handover.Draining)
			}
		case <-yield:
			in.log.Info("still leaving", slog.Int("open", in.core.OpenCount()), slog.Bool("delivering", in.fronts.delivering()))
			err = in.withStopTimeout(ctx, others.yieldToSuccessor)
		}
	}
}
