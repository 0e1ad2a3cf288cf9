// Package instance puts one initiator together from its parts: each with its start and its stop, what it wants to hear and
// what it tells of itself. Nothing else knows which parts there are.
package instance

import (
	"context"
	"errors"
	"fmt"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/process/config"
)

// Part is one thing that an instance does. Parts are started in order and stopped in reverse.
type Component interface {
	// Start returns once it does it. A part that fails has undone what it had begun; Stop is not called.
	Start(stop context.Context) error
	// Stop ends it in order, until within ends.
	Stop(within context.Context) error
}

// What a part may want besides: lists as they come, in the order of the parts; what a reload changes; a place among the numbers.
type (
	listener interface{ OnTargetList(*listing.List) }
	reloader interface{ Reload(Change) error }
	teller   interface {
		EmitMetrics(statsd.ExtendedStatSender)
	}
)

// Change is what a reload takes over.
type Change struct {
	Discovery  string             // where it is now; empty: where it was
	Namespaces []config.Namespace // in place of those there are; nil: as they were
	Config     *config.Config     // in place of the one in force, taken over whole; nil: as it was
	taken      chan<- error       // told once it is in force, or why it isn't; nil: nobody waits
}

// errStopped ends a start that is not wanted any more.
var errStopped = errors.New("stopped while it started")

// parts is an instance's parts in the order of their start.
type parts []Component

// start starts all, or none: where one fails, or stop ends meanwhile, those before it are stopped again until within ends.
func (p parts) start(stop, within context.Context) error {
	for i, x := range p {
		err := context.Cause(stop)
		if err != nil {
			err = errStopped
		} else {
			err = x.Start(stop)
		}
		if err != nil {
			return errors.Join(err, p[:i].stop(within))
		}
	}
	return nil
}

// stop stops all in reverse, also where one does not end in order.
func (p parts) stop(within context.Context) (err error) {
	for i := len(p) - 1; i >= 0; i-- {
		err = errors.Join(err, p[i].Stop(within))
	}
	return err
}

func (p parts) listed(l *listing.List) {
	for _, x := range p {
		if x, ok := x.(listener); ok {
			x.OnTargetList(l)
		}
	}
}

// reload passes a change to all, also where one of them cannot take it over.
func (p parts) reload(c Change) (err error) {
	for _, x := range p {
		if x, ok := x.(reloader); ok {
			err = errors.Join(err, x.Reload(c))
		}
	}
	return err
}

// tell tells the numbers of all.
func (p parts) tell(to statsd.ExtendedStatSender) {
	for _, x := range p {
		if x, ok := x.(teller); ok {
			x.EmitMetrics(to)
		}
	}
}

// loop is a part that runs on a goroutine of its own until it is stopped.
type loop struct {
	run   func(context.Context)
	stop  context.CancelFunc
	ended chan struct{}
}

// Start implements Part.
func (l *loop) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	l.stop, l.ended = stop, make(chan struct{})
	go func() {
		defer close(l.ended)
		l.run(ctx)
	}()
	return nil
}

// Stop implements Part.
func (l *loop) Stop(within context.Context) error {
	l.stop()
	select {
	case <-l.ended:
		return nil
	case <-within.Done():
		return fmt.Errorf("a part has not ended: %w", context.Cause(within))
	}
}
