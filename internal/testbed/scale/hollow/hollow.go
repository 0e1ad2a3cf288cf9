// Package hollow implements an initiator without clients and without connections to targets. It runs the real code for
// target lists, configuration, membership and policy, so that hundreds of initiators fit into one process. The program
// does not link it.
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

// stateServing is the state of a target that accepts requests, as written in lists.
const stateServing = "SERVING"

// Options select the parts of an initiator.
type Options struct {
	Name, Region, Zone string
	Seed               uint64
	Discovery          string                        // address of the discovery service; empty: none
	Initiators         int                           // number of initiators that use the discovery service
	LastKnown          *targetlist.List              // last known list
	Agents             []string                      // agents from which configuration is followed; empty: none
	WatchStream        *distribution.FollowerOptions // nil: no watch stream
	Members            *transport.Options
	Policy             *policy.Settings // nil: no policy decisions
	Log                *slog.Logger
}

// Initiator is one hollow initiator. Checker checks what it applies and sends.
type Initiator struct {
	Checker     *Checker
	opt         Options
	lifecycleMu sync.Mutex // serializes Start and Stop
	mu          sync.Mutex // guards stop and the totals in stream
	stop        context.CancelFunc
	running     sync.WaitGroup
	membership  *transport.Runner
	stream      streamState
}

// New returns an initiator that is not started.
func New(opt Options) *Initiator { return &Initiator{Checker: NewChecker(opt.Name), opt: opt} }

// Name returns the initiator's name.
func (in *Initiator) Name() string { return in.opt.Name }

// Running reports whether the initiator has been started and not stopped since.
func (in *Initiator) Running() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.stop != nil
}

// Start starts the initiator's parts. Their goroutines end when Stop cancels their context.
func (in *Initiator) Start() error {
	in.lifecycleMu.Lock()
	defer in.lifecycleMu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var m *policyLoop
	if in.opt.Policy != nil {
		var err error
		if m, err = newPolicyLoop(*in.opt.Policy, in.opt.Seed, in.Checker); err != nil {
			stop()
			return err
		}
		in.running.Go(func() { m.run(ctx) })
	}
	if in.opt.Members != nil {
		p, err := transport.New(*in.opt.Members)
		if err == nil {
			err = p.Start(ctx)
		}
		if err != nil {
			stop()
			in.running.Wait()
			return err
		}
		in.membership = p
	}
	if in.opt.WatchStream != nil {
		runFollower, err := in.newFollower(m)
		if err != nil {
			stop()
			in.running.Wait()
			return err
		}
		in.running.Go(func() { runFollower(ctx) })
	}
	in.mu.Lock()
	in.stop = stop
	in.mu.Unlock()
	if in.opt.Discovery != "" {
		w := discovery.New(discovery.Options{Addr: in.opt.Discovery, LastKnown: in.opt.LastKnown, Initiators: in.opt.Initiators, Seed: in.opt.Seed, Log: in.opt.Log}, in.applyList(m))
		in.running.Go(func() { w.Run(ctx) })
	}
	if len(in.opt.Agents) > 0 {
		c := &agent.Client{Addrs: in.opt.Agents}
		in.running.Go(func() {
			c.FollowConfig(ctx, in.opt.Name, in.opt.Log, func(e agent.Entry) { in.Checker.RecordApplied(Config, e.Version, monotonic.Now()) })
		})
	}
	return nil
}

// applyList returns a function that applies lists. With a policy loop a list counts as applied once the scheduler has
// processed it.
func (in *Initiator) applyList(m *policyLoop) func(*targetlist.List) {
	return func(l *targetlist.List) {
		done := func() { in.Checker.RecordApplied(Targets, uint64(*l.Version), monotonic.Now()) }
		if m != nil {
			m.enqueue(l, done)
			return
		}
		in.Checker.RecordTargets(l.Targets)
		done()
	}
}

// Stop stops the initiator's parts and waits for their goroutines. If abrupt, it does not announce to the other members
// that it leaves.
func (in *Initiator) Stop(abrupt bool) {
	in.lifecycleMu.Lock()
	defer in.lifecycleMu.Unlock()
	if !in.Running() {
		return
	}
	if in.membership != nil {
		ctx, done := context.WithCancel(context.Background())
		if abrupt {
			done()
		}
		_ = in.membership.Stop(ctx)
		done()
		in.membership = nil
	}
	in.stop()
	in.running.Wait()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stream.addTotals()
	in.stop = nil
}
