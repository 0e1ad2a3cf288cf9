// Package transport runs a membership.Node: it has the sockets, the clock, the encoding and the log. A
// single goroutine touches the node.
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
	"spindlehitch/internal/process/monotone"
)

// Bounds and times of the sockets.
const (
	maxFrameBytes  = 4 << 10 // of one message
	maxStreams     = 32      // accepted at a time
	maxDials       = 16
	streamTimeout  = 2 * time.Second // for a whole stream
	leaveTimeout   = time.Second     // to tell others that the member leaves
	rebindInterval = time.Second
	maxQueued      = 1024 // messages that were received and not processed yet
)

// Options configure one member.
type Options struct {
	Name, Bind, Advertise, Zone string
	FleetKey                    string
	Seeds                       []string
	Config                      membership.Config
	// a predecessor may still hold the address: use another port until it is free
	AllowOtherPort bool
	Log            *slog.Logger
}

// Runner is the member of one process.
type Runner struct {
	opt        Options
	localState func() (load uint16, agent string) // see OnLocalState
	id         uint64
	node       *membership.Node // of the run goroutine alone
	incoming   chan received
	calls      chan func() // run on the run goroutine
	sockets    *sockets
	dialSlots  chan struct{} // bounds outgoing streams
	enc        cbor.EncMode
	dec        cbor.DecMode
	cancel     context.CancelFunc
	done       chan struct{}

	malformed, dropped, sentMessages, sentBytes atomic.Int64 // counters of messages; dropped ones could not be sent or queued
	warnForeign                                 sync.Once
	agents                                      atomic.Pointer[[]string] // published for other goroutines
	endedInstances                              atomic.Pointer[[]membership.EndedInstance]
	loggedEvents                                int // number of events that were logged
	loggedIsolation                             string
}

// received is a message with the channel that it came by.
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

// OnLocalState sets what returns the state that the member tells of itself, once in a probe interval.
// It must be called before Start.
func (r *Runner) OnLocalState(f func() (load uint16, agent string)) { r.localState = f }

// Start opens the sockets and starts a run of the member.
func (r *Runner) Start(context.Context) error {
	box, err := listenAt(r.opt.Bind)
	at := r.opt.Advertise
	if err != nil && r.opt.AllowOtherPort {
		host, _, _ := net.SplitHostPort(r.opt.Bind)
		if box, err = listenAt(net.JoinHostPort(host, "0")); err == nil {
			at = box.bound
		}
	}
	if err != nil {
		return fmt.Errorf("operator's file: fleet.members.bind: %w", err)
	}
	r.id = rand.Uint64() | 1
	now := monotone.Now()
	r.node = membership.New(r.opt.Config, r.id, membership.Info{Name: r.opt.Name, Addr: at, Zone: r.opt.Zone}, r.opt.Seeds, now,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.done = make(chan struct{})
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.adoptSockets(box)
	r.opt.Log.Info("member", slog.String("reason", "MEMBER_STARTED"), slog.String("name", r.opt.Name), slog.String("addr", at),
		slog.String("birth", fmt.Sprintf("%016x", r.id)))
	go r.run(ctx)
	return nil
}

// run is the only goroutine that touches the node.
func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	about := time.NewTicker(max(r.opt.Config.ProbeInterval, 100*time.Millisecond))
	defer about.Stop()
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
			r.send(r.node.Tick(monotone.Now()))
		case x := <-r.incoming:
			// The clock first: after a pause, a queued message must not be processed as if it had just arrived.
			if now := monotone.Now(); now >= r.node.NextTick() {
				r.send(r.node.Tick(now))
			}
			if x.FleetID != r.opt.Config.FleetID {
				r.warnForeign.Do(func() {
					r.opt.Log.Warn("messages of another fleet", slog.String("reason", "MEMBERS_FOREIGN"), slog.String("from", x.From.Info.Addr))
				})
			}
			r.send(r.node.Receive(monotone.Now(), x.Message, x.channel))
		case f := <-r.calls:
			f()
		case <-about.C:
			if r.localState != nil {
				r.node.SetLocalState(r.localState())
			}
			r.publish()
		case <-rebind:
			if box, err := listenAt(r.opt.Bind); err == nil {
				r.adoptSockets(box)
				r.node.SetAddr(r.opt.Advertise)
				rebind = nil
				r.opt.Log.Info("member address changed", slog.String("reason", "MEMBER_MOVED"), slog.String("addr", r.opt.Advertise))
			}
		}
		r.logEvents()
		timer.Reset(max(0, r.node.NextTick()-monotone.Now()))
	}
}

// publish stores what other goroutines read.
func (r *Runner) publish() {
	agents, verdicts := r.node.Agents(), r.node.EndedInstances(membership.MaxRecords)
	r.agents.Store(&agents)
	r.endedInstances.Store(&verdicts)
}

// logEvents logs changes of the view.
func (r *Runner) logEvents() {
	now := monotone.Now()
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
	if alone := r.node.IsolationReason(now); alone != r.loggedIsolation {
		if r.loggedIsolation = alone; alone != "" {
			r.opt.Log.Warn("isolated: no member is declared dead", slog.String("reason", "MEMBERS_ALONE"), slog.String("why", alone))
		} else {
			r.opt.Log.Info("no longer isolated", slog.String("reason", "MEMBERS_HEARD"))
		}
	}
}

// onLoop runs f on the run goroutine and waits for it; false: the runner has stopped.
func (r *Runner) onLoop(f func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(monotone.Now()); close(done) }:
		<-done
		return true
	case <-r.done:
		return false
	}
}

// View returns what this member knows of all.
func (r *Runner) View() (v membership.View, ok bool) {
	ok = r.onLoop(func(now time.Duration) { v = r.node.View(now) })
	return v, ok
}

// Agents returns agents that answered other members recently.
func (r *Runner) Agents() []string {
	if l := r.agents.Load(); l != nil {
		return *l
	}
	return nil
}

// EndedInstances returns a bounded number of instances that this view holds dead or gone, at most a
// probe interval old.
func (r *Runner) EndedInstances() []membership.EndedInstance {
	if l := r.endedInstances.Load(); l != nil {
		return *l
	}
	return nil
}

// Stop tells others that the member leaves, and ends it.
func (r *Runner) Stop(within context.Context) error {
	ctx, done := context.WithTimeout(within, leaveTimeout)
	defer done()
	heard := false
	r.onLoop(func(now time.Duration) {
		r.send(r.node.Leave(now))
		heard = r.node.Size() == 1
	})
	for !heard && ctx.Err() == nil {
		r.onLoop(func(time.Duration) { heard = r.node.LeaveAcknowledged() })
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
	r.cancel()
	<-r.done
	return nil
}
