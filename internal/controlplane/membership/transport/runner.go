// Package transport runs a membership.Node: it provides the sockets, the clock, the encoding and the log.
// A single goroutine accesses the node.
package transport

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/process/monotonic"
)

// Bounds and timeouts of the sockets.
const (
	maxFrameBytes  = 4 << 10         // of one message
	maxStreams     = 32              // accepted streams that are open at a time
	maxDials       = 16              // outgoing streams at a time
	streamTimeout  = 2 * time.Second // for a whole stream
	leaveTimeout   = time.Second     // for other members to receive that this one leaves
	rebindInterval = time.Second     // between attempts to listen at Options.Bind
	maxQueued      = 1024            // received messages that are not processed yet
)

// Options configure one member.
type Options struct {
	Name, Bind, Advertise, Zone string
	FleetKey                    string
	Seeds                       []string
	Config                      membership.Config
	// a predecessor may still listen at Bind: use another port until it is free
	AllowOtherPort bool
	Log            *slog.Logger
}

// Runner runs the member of one process. Its run goroutine owns the node and the sockets, and ends when
// Stop cancels its context.
type Runner struct {
	opt        Options
	localState func() (load uint16, agent string) // see OnLocalState
	id         uint64
	node       *membership.Node // accessed by the run goroutine alone
	incoming   chan received    // decoded messages; never closed
	calls      chan func()      // functions for the run goroutine to call; never closed
	sockets    *sockets         // closed by the run goroutine
	dialSlots  chan struct{}    // semaphore of outgoing streams
	enc        cbor.EncMode
	dec        cbor.DecMode
	cancel     context.CancelFunc
	done       chan struct{} // closed when the run goroutine has ended

	malformed, dropped, sentMessages, sentBytes atomic.Int64 // counters of messages; dropped ones could not be sent or queued
	warnForeign                                 sync.Once
	agents                                      atomic.Pointer[[]string] // stored by publish for other goroutines
	endedInstances                              atomic.Pointer[[]membership.EndedInstance]
	loggedEvents                                int // value of View.EventCount up to which events were logged
	loggedIsolation                             string
}

// received is a message with the channel by which it arrived.
type received struct {
	*membership.Message
	channel membership.Channel
}

// New validates the options; it opens no sockets yet.
func New(opt Options) (*Runner, error) {
	if len(opt.Name) > membership.MaxTextBytes {
		return nil, fmt.Errorf("name: %d bytes are too long for fleet.members, %d at most", len(opt.Name), membership.MaxTextBytes)
	}
	if opt.Advertise == "" {
		opt.Advertise = opt.Bind
	}
	opt.Config.FleetID = xxhash.Sum64String(opt.FleetKey)
	r := &Runner{opt: opt, incoming: make(chan received, maxQueued), calls: make(chan func()), dialSlots: make(chan struct{}, maxDials)}
	var err error
	if r.enc, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, err
	}
	r.dec, err = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 128, MaxMapPairs: 64, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	return r, err
}

// OnLocalState sets the function that returns what messages report of this member. It is called once in a
// probe interval, on the run goroutine. OnLocalState must be called before Start.
func (r *Runner) OnLocalState(f func() (load uint16, agent string)) { r.localState = f }

// Start opens the sockets and starts the run goroutine, as a new run of the member.
func (r *Runner) Start(context.Context) error {
	opened, err := listenAt(r.opt.Bind)
	addr := r.opt.Advertise
	if err != nil && r.opt.AllowOtherPort {
		host, _, _ := net.SplitHostPort(r.opt.Bind)
		if opened, err = listenAt(net.JoinHostPort(host, "0")); err == nil {
			addr = opened.bound
		}
	}
	if err != nil {
		return fmt.Errorf("operator's file: fleet.members.bind: %w", err)
	}
	r.id = rand.Uint64() | 1
	now := monotonic.Now()
	r.node = membership.New(r.opt.Config, r.id, membership.Info{Name: r.opt.Name, Addr: addr, Zone: r.opt.Zone}, r.opt.Seeds, now,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.done = make(chan struct{})
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.adoptSockets(opened)
	r.opt.Log.Info("member", slog.String("reason", "MEMBER_STARTED"), slog.String("name", r.opt.Name), slog.String("addr", addr),
		slog.String("birth", fmt.Sprintf("%016x", r.id)))
	go r.run(ctx)
	return nil
}

// run is the only goroutine that accesses the node. It returns when ctx is cancelled.
func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	publishTicker := time.NewTicker(max(r.opt.Config.ProbeInterval, 100*time.Millisecond))
	defer publishTicker.Stop()
	var rebind <-chan time.Time
	if r.sockets.bound != r.opt.Bind {
		t := time.NewTicker(rebindInterval)
		defer t.Stop()
		rebind = t.C
	}
	for {
		select {
		case <-ctx.Done():
			r.sockets.close()
			return
		case <-timer.C:
			r.send(r.node.Tick(monotonic.Now()))
		case x := <-r.incoming:
			// Tick first if it is due: after a pause, a queued message must not be processed as if it had just arrived.
			if now := monotonic.Now(); now >= r.node.NextTick() {
				r.send(r.node.Tick(now))
			}
			if x.FleetID != r.opt.Config.FleetID {
				r.warnForeign.Do(func() {
					r.opt.Log.Warn("messages of another fleet", slog.String("reason", "MEMBERS_FOREIGN"), slog.String("from", x.From.Info.Addr))
				})
			}
			r.send(r.node.Receive(monotonic.Now(), x.Message, x.channel))
		case f := <-r.calls:
			f()
		case <-publishTicker.C:
			if r.localState != nil {
				r.node.SetLocalState(r.localState())
			}
			r.publish()
		case <-rebind:
			if opened, err := listenAt(r.opt.Bind); err == nil {
				r.adoptSockets(opened)
				r.node.SetAddr(r.opt.Advertise)
				rebind = nil
				r.opt.Log.Info("member address changed", slog.String("reason", "MEMBER_MOVED"), slog.String("addr", r.opt.Advertise))
			}
		}
		r.logEvents()
		timer.Reset(max(0, r.node.NextTick()-monotonic.Now()))
	}
}

// publish stores the agents and ended instances for other goroutines to read.
func (r *Runner) publish() {
	agents, ended := r.node.Agents(), r.node.EndedInstances(membership.MaxRecords)
	r.agents.Store(&agents)
	r.endedInstances.Store(&ended)
}

// logEvents logs new changes of the view, and the start and end of isolation.
func (r *Runner) logEvents() {
	now := monotonic.Now()
	events, ever := r.node.Events()
	for _, e := range events[max(0, len(events)-(ever-r.loggedEvents)):] {
		level, reason := slog.LevelInfo, "MEMBER_"
		switch e.Status {
		case "dead", "cut":
			level = slog.LevelWarn
		case "suspect", "alone":
			continue
		}
		r.opt.Log.Log(context.Background(), level, "member", slog.String("reason", reason+strings.ToUpper(e.Status)), slog.String("name", e.Name),
			slog.String("birth", fmt.Sprintf("%016x", e.ID)), slog.Uint64("incarnation", uint64(e.Incarnation)), slog.String("why", e.Reason))
	}
	r.loggedEvents = ever
	if isolation := r.node.IsolationReason(now); isolation != r.loggedIsolation {
		if r.loggedIsolation = isolation; isolation != "" {
			r.opt.Log.Warn("isolated: no member is declared dead", slog.String("reason", "MEMBERS_ALONE"), slog.String("why", isolation))
		} else {
			r.opt.Log.Info("no longer isolated", slog.String("reason", "MEMBERS_HEARD"))
		}
	}
}

// onLoop calls f on the run goroutine and waits until it returns. It returns false, without a call, if the
// runner has stopped.
func (r *Runner) onLoop(f func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(monotonic.Now()); close(done) }:
		<-done
		return true
	case <-r.done:
		return false
	}
}

// View returns a snapshot of this member's view; ok is false if the runner has stopped.
func (r *Runner) View() (v membership.View, ok bool) {
	ok = r.onLoop(func(now time.Duration) { v = r.node.View(now) })
	return v, ok
}

// Agents returns the addresses of agents that answered other members recently, as last published.
func (r *Runner) Agents() []string {
	if l := r.agents.Load(); l != nil {
		return *l
	}
	return nil
}

// EndedInstances returns a bounded number of instances that are dead or have left in this view. The list is
// at most a probe interval old.
func (r *Runner) EndedInstances() []membership.EndedInstance {
	if l := r.endedInstances.Load(); l != nil {
		return *l
	}
	return nil
}

// Stop announces to other members that this one leaves, waits up to leaveTimeout for them to receive it, and
// ends the run goroutine.
func (r *Runner) Stop(parent context.Context) error {
	ctx, done := context.WithTimeout(parent, leaveTimeout)
	defer done()
	acknowledged := false
	r.onLoop(func(now time.Duration) {
		r.send(r.node.Leave(now))
		acknowledged = r.node.Size() == 1
	})
	for !acknowledged && ctx.Err() == nil {
		r.onLoop(func(time.Duration) { acknowledged = r.node.LeaveAcknowledged() })
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
	r.cancel()
	<-r.done
	return nil
}
