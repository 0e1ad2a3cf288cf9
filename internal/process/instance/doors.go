package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"spindlehitch/internal/observability/control"
	"spindlehitch/internal/process/handover"
	"spindlehitch/internal/process/listen"
)

// door is a front: it accepts until it is told to stop, and then finishes what it has taken.
type door interface {
	Serve(net.Listener) error
	Stop(context.Context) error
}

// entrance is a front with its address. The address is listened at before any front serves: one that can't be had leaves no
// front that has taken requests.
type entrance struct {
	door
	addr      string
	inherited string // the number of the descriptor that listens there already; empty: none
	shared    bool
	at        net.Listener
}

// Start implements Part.
func (e *entrance) Start(stop context.Context) (err error) {
	if e.inherited != "" {
		e.at, err = listen.FromDescriptor(e.inherited)
	} else if e.at, err = listen.Bind(stop, e.addr, e.shared); err != nil {
		err = fmt.Errorf("listen: %w", err)
	}
	return err
}

// Stop implements Part. A front that has stopped has closed its listener already.
func (e *entrance) Stop(context.Context) error {
	e.at.Close()
	return nil
}

// fronts serves at all entrances.
type fronts struct {
	all    []*entrance
	name   string
	crew   *crew
	leave  func() // before they do
	log    *slog.Logger
	known  chan struct{} // closed with the first list
	once   sync.Once
	failed chan error // one that stopped by itself
	ending chan struct{}
}

// Start implements Part.
func (f *fronts) Start(context.Context) error {
	f.ending, f.failed = make(chan struct{}), make(chan error, len(f.all))
	for _, e := range f.all {
		go func() { f.failed <- e.Serve(e.at) }()
		f.log.Info("serving", slog.String("name", f.name), slog.String("listen", e.addr))
	}
	go func() {
		select {
		case <-f.known: // what is taken before would wait
			f.crew.enter(handover.Serving)
		case <-f.ending:
		}
	}()
	return nil
}

// Stop implements Part.
func (f *fronts) Stop(within context.Context) (err error) {
	close(f.ending)
	f.leave()
	ended := make(chan error, len(f.all))
	for _, e := range f.all {
		go func() { ended <- e.door.Stop(within) }()
	}
	for range f.all {
		err = errors.Join(err, <-ended)
	}
	return err
}

// pages is the second address.
type pages struct {
	*control.Server
	addr   string
	shared bool
	name   string
	log    *slog.Logger
}

// Start implements Part.
func (p *pages) Start(stop context.Context) error {
	at, err := listen.Bind(stop, p.addr, p.shared)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	go func() { _ = p.Serve(at) }()
	p.log.Info("serving", slog.String("name", p.name), slog.String("control", p.addr))
	return nil
}

// Stop implements Part.
func (p *pages) Stop(context.Context) error { return p.Close() }

// leaveWithin bounds a stop. What was taken early may wait for longer than the platform lets the process live. To be killed with
// it is then no fault of this program; to end before it is answered would be.
func leaveWithin(longest time.Duration) time.Duration {
	return max(longest, 3*time.Second) + 600*time.Millisecond
}
