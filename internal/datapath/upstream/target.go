package upstream

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/mailbox"
)

// Messages of a target's actor, beside core.Attempt.
type (
	cancel struct{ request string }
	moved  struct{}
	retire struct{}
	done   struct {
		try   *try
		conn  *conn // to be used again; nil: closed
		talks bool  // more came on a connection that it was on than was asked for
	}
)

// target is the actor of one target. Only its goroutine touches idle, busy and conns; state and addr are
// written by the list and read by every attempt at its first byte.
type target struct {
	id      string
	opt     Options
	report  func(core.Result)
	box     *mailbox.Box[any]
	started bool // the registry's alone
	state   atomic.Int32
	addr    atomic.Pointer[string]

	idle    []*conn
	busy    map[string]*try
	conns   int
	uploads int   // connections on which a body goes ahead
	talks   bool  // it has said more than it was asked: its connections rest after each answer
	pool    *pool // of all targets
}

// Wire opens connections of one protocol.
type Wire interface {
	Dial(ctx context.Context, addr string) (Session, error)
}

// Session is a connection that carries one attempt at a time.
type Session interface {
	// Do carries an attempt to its end and tells its outcome, whether the connection can be used again, and
	// if not, why. It asks first just before the first byte that could start anything, and sends nothing if
	// the answer is no. Close, from another goroutine, ends it early.
	Do(a core.Attempt, first func() bool) (r core.Result, reuse bool, reason string)
	// Alive tells whether an unused connection is still open and quiet.
	Alive() bool
	Close() error
}

// Stale is why a connection ends, and an attempt on it with NoConnection, that was closed or spoke while nothing was asked on it.
const Stale = "TARGET_CLOSED_IDLE"

// Talker is a Session whose answers name no request, so that one that comes twice could pass for the next.
type Talker interface {
	// Talked tells whether more came than was asked for; it is called after Do, or after Alive.
	Talked() bool
	// Odd tells whether an answer reported what cannot be, which counts as not told.
	Odd() bool
}

// conn is one connection of the pool.
type conn struct {
	Session
	addr   string
	odd    bool // that it brought an odd report is in the log
	used   int
	idleAt time.Time
}

// try is one attempt under way.
type try struct {
	core.Attempt
	ctx    context.Context
	stop   context.CancelFunc
	mu     sync.Mutex
	conn   Session
	called bool // called off
}

func newTarget(id string, opt Options, all *pool, report func(core.Result)) *target {
	return &target{id: id, opt: opt, pool: all, report: report, box: mailbox.New[any](), busy: map[string]*try{}}
}

// set takes over what the list says, at once for attempts about to write.
func (t *target) set(addr string, state policy.EndpointState) {
	if addr != "" {
		t.addr.Store(&addr)
	}
	t.state.Store(int32(state))
}

func (t *target) run() {
	var spare []any
	old := time.NewTimer(0) // when the connection that is idle for longest is too old
	defer old.Stop()
	retired := false
	for !retired || len(t.busy)+t.uploads > 0 {
		// A target that nothing was sent to has nothing to look after: an initiator may know thousands of them.
		if len(t.idle) > 0 {
			old.Reset(max(time.Until(t.idle[0].idleAt.Add(t.pool.idleFor())), time.Millisecond))
		} else {
			old.Stop()
		}
		select {
		case <-t.box.Wake():
		case <-old.C:
			t.prune()
			continue
		}
		msgs := t.box.Take(spare)
		for _, m := range msgs {
			switch m := m.(type) {
			case core.Attempt:
				t.start(m)
			case cancel:
				if a := t.busy[m.request]; a != nil {
					a.callOff()
				}
			case done:
				t.finish(m)
			case ahead:
				t.begin(m.up)
			case unloaded:
				t.uploads--
				if m.conn != nil {
					t.drop(m.conn, m.reason)
				} else {
					t.count(-1)
					t.logEnd(0, m.reason)
				}
			case moved:
				t.prune()
			case retire:
				retired = true // a move came before it
			}
		}
		spare = msgs
	}
	t.closeIdle("TARGET_GONE", func(*conn) bool { return true })
}

// start gives the attempt a connection, an idle one that is still whole or a new one.
func (t *target) start(a core.Attempt) {
	r := core.Result{RequestID: a.RequestID, Number: a.Number, Target: t.id}
	var c *conn
	if u := uploadOf(a); u != nil {
		if !u.move(attempted) {
			r.Code = policy.NotConnected
			t.report(r)
			return
		}
		t.uploads--
		c = u.conn
	} else if !open(&t.state) {
		r.Code = policy.NotSent
		t.report(r)
		return
	} else {
		var ok bool
		if c, ok = t.take(); !ok {
			r.Code = policy.NotConnected
			t.report(r)
			return
		}
	}
	ctx, stop := context.WithDeadline(context.Background(), a.Deadline)
	a.OnSent = t.opt.Sent
	y := &try{Attempt: a, ctx: ctx, stop: stop}
	t.busy[a.RequestID] = y
	go t.attempt(y, c)
}

// uploadOf is the connection that has an attempt's body already; nil: none has.
func uploadOf(a core.Attempt) *Upload {
	if m, ok := a.Payload.(*Message); ok {
		return m.Upload
	}
	return nil
}

// take counts a connection and returns an idle one that is still whole; nil: one is to be made. It tells whether there
// may be one. At a target that has said more than it was asked a connection rests after its answer: what it says twice comes meanwhile,
// and is no answer to what comes next. Where no more connections may be made, one that rests is better than none.
func (t *target) take() (*conn, bool) {
	t.closeOld() // the last look at them may be long ago, and one that is too old may be closed any moment
	if c := t.reuse(!t.talks); c != nil {
		return c, true
	}
	// Both bounds keep the process within its descriptors, whatever the number of targets.
	if int64(t.conns) < t.pool.mostOne.Load() && t.count(1) {
		return nil, true
	}
	c := t.reuse(true)
	return c, c != nil
}

// reuse takes the idle connection used last of those that have rested, and with resting, where none has, the one that has for
// longest: what a target that was never heard to says twice is most likely over there.
func (t *target) reuse(resting bool) *conn {
	for rested := time.Now().Add(-t.opt.Rest); len(t.idle) > 0; {
		i := slices.IndexFunc(t.idle, func(c *conn) bool { return c.idleAt.After(rested) }) // they are in order of it
		switch {
		case i < 0:
			i = len(t.idle) - 1
		case i > 0:
			i--
		case !resting:
			return nil
		}
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if c.Alive() {
			return c
		}
		t.talks = t.talks || t.talked(c)
		// Closed by the target while idle: no byte of the attempt has been near it.
		t.drop(c, Stale)
	}
	return nil
}

// talked tells whether more came on a connection than was asked for.
func (t *target) talked(c *conn) bool {
	x, ok := c.Session.(Talker)
	return ok && t.opt.Rest > 0 && x.Talked()
}

func (t *target) finish(m done) {
	m.try.stop()
	t.talks = t.talks || m.talks
	// A later attempt of the same request may have begun here since; its entry is not this one's.
	if t.busy[m.try.RequestID] == m.try {
		delete(t.busy, m.try.RequestID)
	}
	if m.conn == nil {
		t.count(-1)
		return
	}
	m.conn.idleAt = time.Now()
	t.idle = append(t.idle, m.conn)
	t.prune()
}

// prune closes idle connections that nothing will use: too old, of an old address, of a target that leaves.
func (t *target) prune() {
	addr := t.address()
	t.closeIdle("TARGET_LEAVES", func(*conn) bool { return !open(&t.state) })
	t.closeIdle("TARGET_MOVED", func(c *conn) bool { return c.addr != addr })
	t.closeOld()
	if t.opt.Stock != nil && len(t.idle) > 0 {
		over := t.opt.Stock.Over(t.id)
		t.closeIdle("RATION", func(*conn) bool { over--; return over >= 0 })
	}
}

func (t *target) closeOld() {
	now := time.Now()
	t.closeIdle("IDLE", func(c *conn) bool { return now.Sub(c.idleAt) >= t.pool.idleFor() })
}

func (t *target) closeIdle(reason string, which func(*conn) bool) {
	kept := t.idle[:0]
	for _, c := range t.idle {
		if which(c) {
			t.drop(c, reason)
		} else {
			kept = append(kept, c)
		}
	}
	clear(t.idle[len(kept):])
	t.idle = kept
}

// count notes a connection more, unless all targets' connections are too many, or one less.
func (t *target) count(n int) bool {
	if t.pool.conns.Add(int64(n)) > t.pool.mostAll.Load() && n > 0 {
		t.pool.conns.Add(int64(-n))
		return false
	}
	if t.opt.Stock != nil {
		if n < 0 {
			t.opt.Stock.Close(t.id)
		} else if !t.opt.Stock.Open(t.id) {
			t.pool.conns.Add(int64(-n))
			return false
		}
	}
	t.conns += n
	return true
}

// drop closes a connection that no attempt is on.
func (t *target) drop(c *conn, reason string) {
	c.Close()
	t.count(-1)
	t.logEnd(c.used, reason)
}

func (t *target) address() string {
	if p := t.addr.Load(); p != nil {
		return *p
	}
	return ""
}

func (t *target) logEnd(used int, reason string) {
	t.opt.Log.Info("connection ended", slog.String("side", "target"), slog.String("peer", t.id),
		slog.String("reason", reason), slog.Int("requests", used))
}

// attempt carries one attempt through connect and exchange and reports its outcome. Where it ends early, the
// connection is closed first: one attempt out at a time.
func (t *target) attempt(y *try, c *conn) {
	var r core.Result
	var again *conn
	var reason string
	var used int
	talks := false
	for {
		pooled := c != nil
		if !pooled {
			if c = t.dial(y.ctx); c == nil {
				r, reason, used = core.Result{Code: policy.NotConnected}, "CONNECT_FAILED", 0
				break
			}
		}
		r, used = core.Result{Code: policy.NotConnected}, c.used+1
		again, reason = t.exchange(y, c, &r)
		talks = talks || t.talked(c)
		if x, ok := c.Session.(Talker); ok && x.Odd() && !c.odd {
			c.odd = true // once for each connection
			t.opt.Log.Warn("report not usable", slog.String("peer", t.id), slog.String("reason", "BAD_REPORT"))
		}
		if !pooled || reason != Stale || uploadOf(y.Attempt) != nil {
			break
		}
		// It ended, or spoke, since the pool looked: no byte of the attempt has been near it, and a new one takes its place.
		c.Close()
		t.logEnd(c.used-1, reason)
		c = nil
	}
	r.RequestID, r.Number, r.Target = y.RequestID, y.Number, t.id
	ended := func(again *conn, reason string) {
		if again == nil {
			if c != nil {
				c.Close()
			}
			t.logEnd(used, reason)
		}
		// The pool hears first, so that a send decided on this outcome finds the connection.
		t.box.Put(done{y, again, talks || c != nil && t.talked(c)})
	}
	if s, ok := r.Payload.(*Stream); ok {
		s.onEnd(func(reuse bool, reason string) {
			if reuse {
				ended(c, "")
			} else {
				ended(nil, reason)
			}
		})
	} else {
		ended(again, reason)
	}
	t.report(r)
}

func (t *target) dial(within context.Context) *conn {
	ctx, stop := context.WithTimeout(within, t.pool.dialFor())
	defer stop()
	addr := t.address()
	s, err := t.opt.Wire.Dial(ctx, addr)
	if err != nil {
		return nil
	}
	return &conn{Session: s, addr: addr}
}

// exchange has the attempt carried out on c, and returns c if it can be used again.
func (t *target) exchange(y *try, c *conn, r *core.Result) (*conn, string) {
	if !y.hold(c.Session) {
		return nil, "CANCELLED"
	}
	c.used++
	var reuse bool
	var reason string
	var began time.Time
	*r, reuse, reason = c.Do(y.Attempt, func() bool {
		if !open(&t.state) || !y.MaySend() {
			return false
		}
		began = time.Now()
		return true
	})
	r.SendStarted = began
	if y.calledOff() {
		switch r.Code {
		case policy.Served, policy.NotSent, policy.NotConnected:
		default:
			r.Code, reason = policy.Cancelled, "CANCELLED"
		}
		return nil, reason
	}
	if !reuse {
		return nil, reason
	}
	return c, ""
}

// callOff ends an attempt from outside: whatever it waits for fails at once.
func (y *try) callOff() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.called = true
	y.stop()
	if y.conn != nil {
		y.conn.Close()
	}
}

// hold notes the connection for callOff; false when it came too late.
func (y *try) hold(c Session) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.conn = c
	return !y.called
}

func (y *try) calledOff() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.called
}
