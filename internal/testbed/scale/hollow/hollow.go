// Package hollow is an initiator without clients and without sockets to targets: the real code for lists, configuration, members and the
// module, some hundreds of them in a process. Nothing of it is linked into the initiator.
package hollow

import (
	"context"
	"log/slog"
	"sync"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/membership/transport"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/datapath/discovery"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/monotonic"
)

// serving is the state of a target that takes requests, as lists have it.
const serving = "SERVING"

// Options say which parts an initiator has.
type Options struct {
	Name, Region, Zone string
	Seed               uint64
	Discovery          string                        // where the list is asked for; empty: it is not
	Crowd              int                           // how many ask there
	Known              *targetlist.List              // the list as last had
	Agents             []string                      // whose configuration is followed; empty: none
	Feed               *distribution.FollowerOptions // nil: it does not follow the feed
	Members            *transport.Options
	Module             *policy.Settings // nil: it has no module
	Log                *slog.Logger
}

// Initiator is one hollow initiator.
type Initiator struct {
	Journal *Journal
	opt     Options
	life    sync.Mutex // held while it starts or stops
	mu      sync.Mutex // of stop and feed
	stop    context.CancelFunc
	all     sync.WaitGroup
	peers   *transport.Runner
	feed    follower
}

// New returns an initiator that does nothing yet.
func New(opt Options) *Initiator { return &Initiator{Journal: NewJournal(opt.Name), opt: opt} }

// Name is the initiator's.
func (in *Initiator) Name() string { return in.opt.Name }

// Running tells whether it was started and not stopped since.
func (in *Initiator) Running() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.stop != nil
}

// Start starts its parts.
func (in *Initiator) Start() error {
	in.life.Lock()
	defer in.life.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var m *module
	if in.opt.Module != nil {
		var err error
		if m, err = newModule(*in.opt.Module, in.opt.Seed, in.Journal); err != nil {
			stop()
			return err
		}
		in.all.Go(func() { m.run(ctx) })
	}
	if in.opt.Members != nil {
		p, err := transport.New(*in.opt.Members)
		if err == nil {
			err = p.Start(ctx)
		}
		if err != nil {
			stop()
			in.all.Wait()
			return err
		}
		in.peers = p
	}
	if in.opt.Feed != nil {
		run, err := in.follow(m)
		if err != nil {
			stop()
			in.all.Wait()
			return err
		}
		in.all.Go(func() { run(ctx) })
	}
	in.mu.Lock()
	in.stop = stop
	in.mu.Unlock()
	if in.opt.Discovery != "" {
		w := discovery.New(discovery.Options{Addr: in.opt.Discovery, LastKnown: in.opt.Known, Initiators: in.opt.Crowd, Seed: in.opt.Seed, Log: in.opt.Log}, in.lists(m))
		in.all.Go(func() { w.Run(ctx) })
	}
	if len(in.opt.Agents) > 0 {
		c := &agent.Client{Addrs: in.opt.Agents}
		in.all.Go(func() {
			c.FollowConfig(ctx, in.opt.Name, in.opt.Log, func(e agent.Entry) { in.Journal.Heard(Config, e.Version, monotonic.Now()) })
		})
	}
	return nil
}

// lists takes lists over: the module, where there is one, steps each before it counts as in force.
func (in *Initiator) lists(m *module) func(*targetlist.List) {
	return func(l *targetlist.List) {
		done := func() { in.Journal.Heard(Targets, uint64(*l.Version), monotonic.Now()) }
		if m != nil {
			m.list(l, done)
			return
		}
		in.Journal.Told(l.Targets)
		done()
	}
}

// Stop ends its parts, without a word to others where abrupt.
func (in *Initiator) Stop(abrupt bool) {
	in.life.Lock()
	defer in.life.Unlock()
	if !in.Running() {
		return
	}
	if in.peers != nil {
		ctx, done := context.WithCancel(context.Background())
		if abrupt {
			done()
		}
		_ = in.peers.Stop(ctx)
		done()
		in.peers = nil
	}
	in.stop()
	in.all.Wait()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.feed.end()
	in.stop = nil
}
