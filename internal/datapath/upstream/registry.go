// Package upstream carries out attempts at targets. One actor per target owns its connection pool.
package upstream

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// Target is an entry of the target list.
type Target struct {
	ID    string
	Addr  string
	State policy.EndpointState
}

// Options are the settings of a registry and its connections.
type Options struct {
	Dialer            Dialer
	DialTimeout       time.Duration // of a new connection; SetTimeouts changes it
	IdleTimeout       time.Duration // after which an unused connection is closed; SetTimeouts changes it
	ReuseDelay        time.Duration // idle time before a connection is reused if a copy of its last answer could be taken for the next one, and of all connections to a target that sends unsolicited data; 0: reuse is never delayed
	MaxConnsPerTarget int           // SetConnLimits changes it
	MaxConnsTotal     int           // to all targets together; SetConnLimits changes it
	OnSent            func()        // called when an attempt has been written completely; nil: not called
	Quota             ConnQuota     // on connections over all instances; nil: none
	Log               *slog.Logger
}

// ConnQuota limits this process's share of the connections that all instances have to a target. Open is called before each dial and
// Close after each connection or failed dial.
type ConnQuota interface {
	Open(target string) bool // false: no further connection is allowed
	Close(target string)
	Excess(target string) int // connections that are open beyond the quota
}

// Registry holds the targets' actors. List changes are applied to it before the policy module gets them, so that a send decided on an
// older list is still checked against the newer state at its first byte. The mutex guards targets, removed and each target's started.
type Registry struct {
	opt     Options
	report  func(core.Result)
	mu      sync.Mutex
	targets map[string]*target
	removed map[*target]bool // no longer listed, but the actor has not ended
	limits  connLimits
}

// connLimits counts the connections to all targets, including those being dialed, and holds their limits and timeouts.
type connLimits struct {
	open, maxPerTarget, maxTotal atomic.Int64
	dialNanos, idleNanos         atomic.Int64 // the timeouts
}

func (p *connLimits) dialTimeout() time.Duration { return time.Duration(p.dialNanos.Load()) }
func (p *connLimits) idleTimeout() time.Duration { return time.Duration(p.idleNanos.Load()) }

// NewRegistry returns an empty registry. The result of each attempt goes to report.
func NewRegistry(opt Options, report func(core.Result)) *Registry {
	g := &Registry{opt: opt, report: report, targets: map[string]*target{}, removed: map[*target]bool{}}
	g.SetConnLimits(opt.MaxConnsPerTarget, opt.MaxConnsTotal)
	g.SetTimeouts(opt.DialTimeout, opt.IdleTimeout)
	return g
}

// SetTimeouts sets the dial timeout of new connections and the idle timeout of all connections.
func (g *Registry) SetTimeouts(dial, idle time.Duration) {
	g.limits.dialNanos.Store(int64(dial))
	if g.limits.idleNanos.Swap(int64(idle)) != int64(idle) {
		g.PruneIdle()
	}
}

// SetConnLimits sets how many connections are allowed to one target and to all together. Open ones beyond a lower limit stay.
func (g *Registry) SetConnLimits(perTarget, total int) {
	g.limits.maxPerTarget.Store(int64(perTarget))
	g.limits.maxTotal.Store(int64(total))
}

// Apply applies entries of the list. With full it removes every target that has none. It returns the number of listed targets.
func (g *Registry) Apply(list []Target, full bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range list {
		t := g.targets[x.ID]
		if t == nil {
			if x.State == policy.Removed {
				continue
			}
			t = newTarget(x.ID, g.opt, &g.limits, g.report)
			g.targets[x.ID] = t
		}
		g.setTarget(t, x.Addr, x.State)
	}
	if full {
		listed := make(map[string]bool, len(list))
		for _, x := range list {
			listed[x.ID] = true
		}
		for id, t := range g.targets {
			if !listed[id] {
				g.setTarget(t, "", policy.Removed)
			}
		}
	}
	return len(g.targets)
}

// setTarget applies a target's address and state, at once for attempts that have not begun to write, and through its actor for its
// idle connections. The actor of a removed target ends once it has no attempt or upload left.
func (g *Registry) setTarget(t *target, addr string, state policy.EndpointState) {
	t.setState(addr, state)
	if t.started {
		t.inbox.Put(pruneMsg{})
	}
	if state != policy.Removed {
		return
	}
	delete(g.targets, t.id)
	if t.started {
		g.removed[t] = true
		t.inbox.Put(removedMsg{})
	}
}

// post sends a message to a target's actor and starts the actor if it is the first one: an initiator may use few of the listed targets.
func (g *Registry) post(t *target, message any) {
	if !t.started {
		t.started = true
		go func() {
			t.run()
			g.forget(t)
		}()
	}
	t.inbox.Put(message)
}

// Send starts an attempt. Exactly one result follows.
func (g *Registry) Send(a core.Attempt) {
	g.mu.Lock()
	t := g.targets[a.Target]
	if u := uploadOf(a); u != nil { // it goes to the upload's target, even if another target has that ID now
		if t = u.target; g.targets[t.id] != t && !g.removed[t] {
			t = nil
		}
	}
	if t != nil {
		g.post(t, a)
	}
	g.mu.Unlock()
	if t == nil {
		g.reportNotSent(a)
	}
}

// reportNotSent reports an attempt as not sent: its target was removed after the decision to send.
func (g *Registry) reportNotSent(a core.Attempt) {
	g.report(core.Result{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Code: policy.NotSent})
}

// forget drops a target whose actor has ended. Attempts that were posted to it after its end still get their result.
func (g *Registry) forget(t *target) {
	g.mu.Lock()
	delete(g.removed, t)
	g.mu.Unlock()
	for _, m := range t.inbox.Take(nil) {
		if a, ok := m.(core.Attempt); ok {
			g.reportNotSent(a)
		}
	}
}

// PruneIdle makes every target's actor close the idle connections that it may no longer keep.
func (g *Registry) PruneIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.started {
			t.inbox.Put(pruneMsg{})
		}
	}
}

// Shutdown removes all targets. Their actors close the idle connections and end once they have no attempt or upload left. Attempts sent
// after it are reported as not sent.
func (g *Registry) Shutdown() { g.Apply(nil, true) }

// Cancel cancels an attempt. Its connection is closed before its result is reported. The target may have been removed meanwhile, and
// another one may have its ID.
func (g *Registry) Cancel(targetID, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.targets[targetID]; t != nil && t.started {
		t.inbox.Put(cancelMsg{request})
	}
	for t := range g.removed {
		if t.id == targetID {
			t.inbox.Put(cancelMsg{request})
		}
	}
}

// acceptsNew reports whether the target takes new requests.
func acceptsNew(state *atomic.Int32) bool { return state.Load() == int32(policy.Up) }
