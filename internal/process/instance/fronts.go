package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"spindlehitch/internal/observability/control"
	"spindlehitch/internal/process/handover"
	"spindlehitch/internal/process/listen"
)

// frontServer accepts connections until Stop, which finishes the requests that were accepted.
type frontServer interface {
	Serve(net.Listener) error
	Supersede()       // the next Stop begins since a successor serves: nothing will kill the process soon
	Terminate()       // SIGTERM has come, also during a Stop after Supersede
	Delivering() bool // Stop only waits for clients that read their responses
	Stop(context.Context) error
}

// boundFront is a front with its listener. All listeners are opened before any front serves, so that no front has accepted
// requests when an address can't be bound.
type boundFront struct {
	frontServer
	addr        string
	inheritedFD string // number of the inherited descriptor that listens at addr; empty: none
	reusePort   bool
	ln          net.Listener
}

// Start implements Component.
func (b *boundFront) Start(ctx context.Context) (err error) {
	if b.inheritedFD != "" {
		b.ln, err = listen.FromDescriptor(b.inheritedFD)
	} else if b.ln, err = listen.Bind(ctx, b.addr, b.reusePort); err != nil {
		err = fmt.Errorf("listen: %w", err)
	}
	return err
}

// Stop implements Component. A front that has been stopped has closed its listener already.
func (b *boundFront) Stop(context.Context) error {
	b.ln.Close()
	return nil
}

// fronts serves on all bound fronts.
type fronts struct {
	bound         []*boundFront
	name          string
	group         *processGroup
	beforeStop    func() // called before the fronts are stopped
	log           *slog.Logger
	listKnown     chan struct{} // closed with the first target list
	listKnownOnce sync.Once
	failed        chan error    // results of Serve; one before Stop means that the front failed
	stopping      chan struct{} // closed by Stop
}

// Start implements Component.
func (f *fronts) Start(context.Context) error {
	f.stopping, f.failed = make(chan struct{}), make(chan error, len(f.bound))
	for _, e := range f.bound {
		go func() { f.failed <- e.Serve(e.ln) }()
		f.log.Info("serving", slog.String("name", f.name), slog.String("listen", e.addr))
	}
	go func() {
		select {
		case <-f.listKnown: // requests accepted earlier would wait for targets
			f.group.enterPhase(handover.Serving)
		case <-f.stopping:
		}
	}()
	return nil
}

// Stop implements Component.
func (f *fronts) Stop(ctx context.Context) (err error) {
	close(f.stopping)
	f.beforeStop()
	stopped := make(chan error, len(f.bound))
	for _, e := range f.bound {
		go func() { stopped <- e.frontServer.Stop(ctx) }()
	}
	for range f.bound {
		err = errors.Join(err, <-stopped)
	}
	return err
}

// supersede tells all fronts that the next stop begins since a successor serves.
func (f *fronts) supersede() {
	for _, e := range f.bound {
		e.Supersede()
	}
}

// terminate tells all fronts that SIGTERM has come.
func (f *fronts) terminate() {
	for _, e := range f.bound {
		e.Terminate()
	}
}

// delivering reports whether all that Stop still waits for is that clients read their responses.
func (f *fronts) delivering() bool {
	for _, e := range f.bound {
		if !e.Delivering() {
			return false
		}
	}
	return true
}

// controlPages serves health, metrics and membership at the control address.
type controlPages struct {
	*control.Server
	addr      string
	reusePort bool
	name      string
	log       *slog.Logger
}

// Start implements Component.
func (p *controlPages) Start(ctx context.Context) error {
	ln, err := listen.Bind(ctx, p.addr, p.reusePort)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	go func() { _ = p.Serve(ln) }()
	p.log.Info("serving", slog.String("name", p.name), slog.String("control", p.addr))
	return nil
}

// YieldToSuccessor implements yielder.
func (p *controlPages) YieldToSuccessor(ctx context.Context) error { return p.Stop(ctx) }

// Stop implements Component.
func (p *controlPages) Stop(context.Context) error { return p.Close() }
