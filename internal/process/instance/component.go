// Package instance assembles one initiator from its components and runs it. Each component has a start and a stop, and may
// listen to target lists, apply configuration changes and emit metrics. The list of components is private to this package.
package instance

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/config"
)

// Component is one function of an instance. Components are started in order and stopped in reverse.
type Component interface {
	// Start returns once the component works. A component that returns an error has released what it had acquired; its
	// Stop is not called. The end of ctx cancels the start; it does not stop a component that has started.
	Start(ctx context.Context) error
	// Stop shuts the component down gracefully; it gives up when ctx ends.
	Stop(ctx context.Context) error
}

// Optional interfaces of a component, found by type assertion and called in the order of the components: for each target
// list, for each configuration change, and for each read of the metrics; a yielder's once, while the instance still serves clients of before
// its successor.
type (
	targetListener interface{ OnTargetList(*targetlist.List) }
	changeApplier  interface{ ApplyChange(Change) error }
	metricsEmitter interface {
		EmitMetrics(statsd.ExtendedStatSender)
	}
	// yielder gives up what its successor has too, such as an address: the kernel divides the connections between two listeners.
	yielder interface {
		YieldToSuccessor(context.Context) error
	}
)

// Change is a configuration change for a running instance.
type Change struct {
	Discovery  string             // new address of the discovery service; empty: unchanged
	Namespaces []config.Namespace // replace the current ones; nil: unchanged
	Config     *config.Config     // replaces the one in force as a whole; nil: unchanged
	applied    chan<- error       // receives nil once the change is in force, or else the reason; nil: no result is wanted
}

// errStopped is returned by a start that was cancelled.
var errStopped = errors.New("stopped during the start")

// components are an instance's components in the order of their start.
type components []Component

// start starts all components or none: if one fails, or ctx ends in between, those already started are stopped again, with
// undoCtx as the bound.
func (p components) start(ctx, undoCtx context.Context) error {
	for i, x := range p {
		err := context.Cause(ctx)
		if err != nil {
			err = errStopped
		} else {
			err = x.Start(ctx)
		}
		if err != nil {
			return errors.Join(err, p[:i].stop(undoCtx))
		}
	}
	return nil
}

// stop stops all components in reverse order, even if one of them returns an error.
func (p components) stop(ctx context.Context) (err error) {
	for i := len(p) - 1; i >= 0; i-- {
		err = errors.Join(err, p[i].Stop(ctx))
	}
	return err
}

// yieldToSuccessor has all yielders yield, even if one of them returns an error.
func (p components) yieldToSuccessor(ctx context.Context) (err error) {
	for _, x := range p {
		if x, ok := x.(yielder); ok {
			err = errors.Join(err, x.YieldToSuccessor(ctx))
		}
	}
	return err
}

// without returns the components but one, in the order of their start.
func (p components) without(c Component) components {
	return slices.DeleteFunc(slices.Clone(p), func(x Component) bool { return x == c })
}

// onTargetList passes a target list to all targetListeners.
func (p components) onTargetList(l *targetlist.List) {
	for _, x := range p {
		if x, ok := x.(targetListener); ok {
			x.OnTargetList(l)
		}
	}
}

// applyChange passes a change to all changeAppliers, even if one of them returns an error.
func (p components) applyChange(c Change) (err error) {
	for _, x := range p {
		if x, ok := x.(changeApplier); ok {
			err = errors.Join(err, x.ApplyChange(c))
		}
	}
	return err
}

// emitMetrics writes the metrics of all metricsEmitters.
func (p components) emitMetrics(to statsd.ExtendedStatSender) {
	for _, x := range p {
		if x, ok := x.(metricsEmitter); ok {
			x.EmitMetrics(to)
		}
	}
}

// loop is a component that runs a function on its own goroutine, which ends when Stop cancels the function's context.
type loop struct {
	run  func(context.Context)
	stop context.CancelFunc
	done chan struct{} // closed when run has returned
}

// Start implements Component.
func (l *loop) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	l.stop, l.done = stop, make(chan struct{})
	go func() {
		defer close(l.done)
		l.run(ctx)
	}()
	return nil
}

// Stop implements Component.
func (l *loop) Stop(ctx context.Context) error {
	l.stop()
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("a component's goroutine has not ended: %w", context.Cause(ctx))
	}
}
