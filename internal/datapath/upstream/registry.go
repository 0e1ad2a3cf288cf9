// Package upstream carries attempts to targets over net.Conn: an actor per target owns its connections.
package upstream

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// Target is what discovery says of one target.
type Target struct {
	ID    string
	Addr  string
	State policy.EndpointState
}

// Options are the bounds of every connection.
type Options struct {
	Wire     Wire
	Dial     time.Duration // for a connection to come up, at first
	Idle     time.Duration // an unused connection is closed after that, at first
	Rest     time.Duration // and is not used again before that, where another may be made
	MostConn int           // connections to one target
	MostAll  int           // connections to all targets together
	Sent     func()        // called for each attempt that is written whole; nil: nobody asks
	Stock    Stock         // of connections over all instances; nil: none is kept
	Log      *slog.Logger
}

// Stock is this process's part of the connections that all instances hold at a target. It is asked before each is made.
type Stock interface {
	Open(target string) bool // false: there may be none more
	Close(target string)
	Over(target string) int // open beyond what may be
}

// Registry holds the targets' actors. The list actor applies news to it before the module hears of them, so
// that a send decided on an older list still meets the newer state at its first byte.
type Registry struct {
	opt     Options
	report  func(core.Result)
	mu      sync.Mutex
	targets map[string]*target
	leaving map[*target]bool // gone from the list, with something out yet
	pool    pool
}

// pool is all targets' connections, those being made included, how many there may be, and their times.
type pool struct {
	conns, mostOne, mostAll atomic.Int64
	dial, idle              atomic.Int64 // nanoseconds
}

func (p *pool) dialFor() time.Duration { return time.Duration(p.dial.Load()) }
func (p *pool) idleFor() time.Duration { return time.Duration(p.idle.Load()) }

// NewRegistry returns an empty registry; results go to report.
func NewRegistry(opt Options, report func(core.Result)) *Registry {
	g := &Registry{opt: opt, report: report, targets: map[string]*target{}, leaving: map[*target]bool{}}
	g.Bound(opt.MostConn, opt.MostAll)
	g.Times(opt.Dial, opt.Idle)
	return g
}

// Times sets how long a connection may take to come up, and how long one is kept that is not used, from now on.
func (g *Registry) Times(dial, idle time.Duration) {
	g.pool.dial.Store(int64(dial))
	if g.pool.idle.Swap(int64(idle)) != int64(idle) {
		g.Review()
	}
}

// Bound sets how many connections there may be, to one target and to all, from now on.
func (g *Registry) Bound(one, all int) {
	g.pool.mostOne.Store(int64(one))
	g.pool.mostAll.Store(int64(all))
}

// Apply takes over entries of the list; with whole, a target that is absent is gone. It tells how many are listed now.
func (g *Registry) Apply(list []Target, whole bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range list {
		t := g.targets[x.ID]
		if t == nil {
			if x.State == policy.Removed {
				continue
			}
			t = newTarget(x.ID, g.opt, &g.pool, g.report)
			g.targets[x.ID] = t
		}
		g.set(t, x.Addr, x.State)
	}
	if whole {
		named := make(map[string]bool, len(list))
		for _, x := range list {
			named[x.ID] = true
		}
		for id, t := range g.targets {
			if !named[id] {
				g.set(t, "", policy.Removed)
			}
		}
	}
	return len(g.targets)
}

// set takes over what the list says of a target: at once for attempts about to write, in turn for its pool. An actor of a target that is
// gone ends once nothing is out at it.
func (g *Registry) set(t *target, addr string, state policy.EndpointState) {
	t.set(addr, state)
	if t.started {
		t.box.Put(moved{})
	}
	if state != policy.Removed {
		return
	}
	delete(g.targets, t.id)
	if t.started {
		g.leaving[t] = true
		t.box.Put(retire{})
	}
}

// tell gives a message to a target's actor, which starts with its first: of the targets that are listed an initiator may use few.
func (g *Registry) tell(t *target, message any) {
	if !t.started {
		t.started = true
		go func() {
			t.run()
			g.ended(t)
		}()
	}
	t.box.Put(message)
}

// Send starts an attempt; one result follows.
func (g *Registry) Send(a core.Attempt) {
	g.mu.Lock()
	t := g.targets[a.Target]
	if u := uploadOf(a); u != nil { // whatever has the target's name by now
		if t = u.t; g.targets[t.id] != t && !g.leaving[t] {
			t = nil
		}
	}
	if t != nil {
		g.tell(t, a)
	}
	g.mu.Unlock()
	if t == nil {
		g.moot(a)
	}
}

// moot ends an attempt that was not sent: its target left the list between the decision and now.
func (g *Registry) moot(a core.Attempt) {
	g.report(core.Result{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Code: policy.NotSent})
}

// ended forgets a target whose actor has ended. What came to it at the last moment is owed a result all the same.
func (g *Registry) ended(t *target) {
	g.mu.Lock()
	delete(g.leaving, t)
	g.mu.Unlock()
	for _, m := range t.box.Take(nil) {
		if a, ok := m.(core.Attempt); ok {
			g.moot(a)
		}
	}
}

// Review has every target's actor look at what it may keep open.
func (g *Registry) Review() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.started {
			t.box.Put(moved{})
		}
	}
}

// Retire has every target's actor end once nothing is out at it, and close its idle connections. Nothing may be sent after it.
func (g *Registry) Retire() { g.Apply(nil, true) }

// Cancel calls an attempt off; its connection is closed before its result is reported. The target may have left the list
// since, and another may have its name.
func (g *Registry) Cancel(node, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.targets[node]; t != nil && t.started {
		t.box.Put(cancel{request})
	}
	for t := range g.leaving {
		if t.id == node {
			t.box.Put(cancel{request})
		}
	}
}

// open tells whether something new may still go to the target.
func open(state *atomic.Int32) bool { return state.Load() == int32(policy.Up) }
