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

// Messages to a target's actor, besides core.Attempt.
type (
	cancelMsg  struct{ request string }
	pruneMsg   struct{}
	removedMsg struct{}
	doneMsg    struct {
		attempt     *activeAttempt
		conn        *conn          // goes back to the pool; nil: closed
		last        answerIdentity // the connection's last answer
		unsolicited bool           // one of its connections had unsolicited data
	}
)

// target is the actor of one target and owns its connection pool. Only its goroutine, run, uses idle, attempts, connCount, uploads and
// unsolicited; state and addr are set by the registry and read by every attempt just before its first byte.
type target struct {
	id      string
	opt     Options
	report  func(core.Result)
	inbox   *mailbox.Box[any]
	started bool // run's goroutine exists; guarded by the registry's mutex
	state   atomic.Int32
	addr    atomic.Pointer[string]

	idle        []*conn                   // by idleSince, oldest first
	attempts    map[string]*activeAttempt // by request
	connCount   int                       // idle, in use and being dialed
	uploads     int                       // connections that carry a body before its attempt
	unsolicited bool                      // the target has sent unsolicited data: connections are not reused before ReuseDelay
	repeated    answerSet                 // answers that the target has given to different requests
	limits      *connLimits               // shared by all targets
}

// Dialer opens connections of one protocol.
type Dialer interface {
	Dial(ctx context.Context, addr string) (Session, error)
}

// Session is a connection that carries one attempt at a time.
type Session interface {
	// Do carries out an attempt and returns its outcome, whether the connection can be reused, and if not, the
	// reason code. It calls mayStart just before the first byte that could start the request, and sends nothing if
	// that returns false. Close, from another goroutine, ends it early.
	Do(a core.Attempt, mayStart func() bool) (r core.Result, reuse bool, reason string)
	// Alive reports whether an idle connection is still open and has nothing to read.
	Alive() bool
	Close() error
}

// ReasonClosedWhileIdle is the reason code of a connection that the target closed, or sent data on, while no request was open on it.
// An attempt that is given such a connection ends as NotConnected.
const ReasonClosedWhileIdle = "TARGET_CLOSED_IDLE"

// UncorrelatedSession is a Session whose answers do not identify their request, so that a duplicate could be taken for the answer to
// the next request.
type UncorrelatedSession interface {
	// UnsolicitedData reports whether the target sent more than the answers to the requests. It is called after Do or Alive.
	UnsolicitedData() bool
	// LastAnswer returns what identifies the connection's last answer.
	LastAnswer() answerIdentity
	// InvalidReport reports whether an answer had an impossible load report. Such a report is ignored.
	InvalidReport() bool
}

// conn is a connection to a target. It belongs to the target's actor while idle, and to the attempt or upload that uses it otherwise.
type conn struct {
	Session
	addr         string
	reportLogged bool // an invalid report on it was logged
	requests     int  // carried so far
	idleSince    time.Time
	rests        bool      // a copy of its last answer could be taken for the next one: it is not reused before ReuseDelay
	reusableAt   time.Time // set when it is taken from the pool
}

// lastAnswer returns what identifies the connection's last answer; nothing for a nil one, or where answers name their request.
func (c *conn) lastAnswer() answerIdentity {
	if c == nil {
		return answerIdentity{}
	}
	if uncorrelated, ok := c.Session.(UncorrelatedSession); ok {
		return uncorrelated.LastAnswer()
	}
	return answerIdentity{}
}

// activeAttempt is an attempt that is being carried out by its own goroutine, runAttempt. The mutex guards conn and cancelled.
type activeAttempt struct {
	core.Attempt
	ctx       context.Context
	stop      context.CancelFunc
	mu        sync.Mutex
	conn      Session
	cancelled bool
}

func newTarget(id string, opt Options, shared *connLimits, report func(core.Result)) *target {
	return &target{id: id, opt: opt, limits: shared, report: report, inbox: mailbox.New[any](), attempts: map[string]*activeAttempt{}}
}

// setState sets the target's address and state from the list. Attempts that have not sent their first byte see them at once.
func (t *target) setState(addr string, state policy.EndpointState) {
	if addr != "" {
		t.addr.Store(&addr)
	}
	t.state.Store(int32(state))
}

// run is the actor's loop. It ends once the target is removed and no attempt or upload is left.
func (t *target) run() {
	var spare []any
	expiry := time.NewTimer(0) // fires when the longest idle connection reaches the idle timeout
	defer expiry.Stop()
	removed := false
	for !removed || len(t.attempts)+t.uploads > 0 {
		// Without idle connections there is no timer: an initiator may have thousands of unused targets.
		if len(t.idle) > 0 {
			expiry.Reset(max(time.Until(t.idle[0].idleSince.Add(t.limits.idleTimeout())), time.Millisecond))
		} else {
			expiry.Stop()
		}
		select {
		case <-t.inbox.Wake():
		case <-expiry.C:
			t.pruneIdle()
			continue
		}
		msgs := t.inbox.Take(spare)
		for _, m := range msgs {
			switch m := m.(type) {
			case core.Attempt:
				t.startAttempt(m)
			case cancelMsg:
				if a := t.attempts[m.request]; a != nil {
					a.cancel()
				}
			case doneMsg:
				t.finishAttempt(m)
			case unsolicitedMsg:
				t.unsolicited = true
			case uploadMsg:
				t.startUpload(m.upload)
			case uploadEndedMsg:
				t.uploads--
				if m.conn != nil {
					t.closeConn(m.conn, m.reason)
				} else {
					t.addConns(-1)
					t.logConnEnd(0, m.reason)
				}
			case pruneMsg:
				t.pruneIdle()
			case removedMsg:
				removed = true // a pruneMsg came before it
			}
		}
		spare = msgs
	}
	t.closeIdle("TARGET_GONE", func(*conn) bool { return true })
}

// startAttempt starts an attempt on its upload's connection, on an idle one, or on a new one that the attempt's goroutine dials.
func (t *target) startAttempt(a core.Attempt) {
	r := core.Result{RequestID: a.RequestID, Number: a.Number, Target: t.id}
	var c *conn
	if u := uploadOf(a); u != nil {
		if !u.transition(uploadAttached) {
			r.Code = policy.NotConnected
			t.report(r)
			return
		}
		t.uploads--
		c = u.conn
	} else if !acceptsNew(&t.state) {
		r.Code = policy.NotSent
		t.report(r)
		return
	} else {
		var ok bool
		if c, ok = t.acquireConn(); !ok {
			r.Code = policy.NotConnected
			t.report(r)
			return
		}
	}
	ctx, stop := context.WithDeadline(context.Background(), a.Deadline)
	a.OnSent = t.opt.OnSent
	active := &activeAttempt{Attempt: a, ctx: ctx, stop: stop}
	t.attempts[a.RequestID] = active
	go t.runAttempt(active, c)
}

// uploadOf returns the upload that carries an attempt's body; nil if there is none.
func uploadOf(a core.Attempt) *Upload {
	if m, ok := a.Payload.(*Request); ok {
		return m.Upload
	}
	return nil
}

// acquireConn returns an idle connection, or nil with true if the caller is to dial one, which is counted already. It returns false if
// the limits allow none. A connection that has yet to rest (see duplicates.go) is taken only if no other one can be added, and its user
// waits until it has rested.
func (t *target) acquireConn() (*conn, bool) {
	t.closeExpired() // the timer may be late, and the target may close an expired connection at any moment
	if c := t.takeIdle(false); c != nil {
		return c, true
	}
	// Both limits keep the process within its file descriptors, whatever the number of targets.
	if int64(t.connCount) < t.limits.maxPerTarget.Load() && t.addConns(1) {
		return nil, true
	}
	c := t.takeIdle(true)
	return c, c != nil
}

// takeIdle takes an idle connection that is still open; nil if there is none.
func (t *target) takeIdle(mayRest bool) *conn {
	for now := time.Now(); len(t.idle) > 0; {
		i := t.selectIdle(now, mayRest)
		if i < 0 {
			return nil
		}
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if c.Alive() {
			c.reusableAt = t.reusableAt(c)
			return c
		}
		t.unsolicited = t.unsolicited || t.hasUnsolicited(c)
		// The target closed it, or sent data, while it was idle: no byte of the attempt was written to it.
		t.closeConn(c, ReasonClosedWhileIdle)
	}
	return nil
}

// selectIdle returns the index of the idle connection to take: the most recently used of those that have been idle for ReuseDelay;
// without any, the longest idle of those that may be reused at once, or with mayRest the longest idle one; otherwise -1.
func (t *target) selectIdle(now time.Time, mayRest bool) int {
	rested := now.Add(-t.opt.ReuseDelay)
	fresh := slices.IndexFunc(t.idle, func(c *conn) bool { return c.idleSince.After(rested) }) // idle is ordered by idleSince
	switch {
	case fresh < 0:
		return len(t.idle) - 1
	case fresh > 0:
		return fresh - 1
	}
	reusable := slices.IndexFunc(t.idle, func(c *conn) bool { return !t.reusableAt(c).After(now) })
	if reusable < 0 && mayRest {
		return 0
	}
	return reusable
}

// hasUnsolicited reports whether the target sent unsolicited data on a connection.
func (t *target) hasUnsolicited(c *conn) bool {
	uncorrelated, ok := c.Session.(UncorrelatedSession)
	return ok && t.opt.ReuseDelay > 0 && uncorrelated.UnsolicitedData()
}

// finishAttempt removes an attempt and takes its connection back.
func (t *target) finishAttempt(m doneMsg) {
	m.attempt.stop()
	t.unsolicited = t.unsolicited || m.unsolicited
	rests := t.noteAnswer(m.last)
	// The entry may already be that of a later attempt of the same request.
	if t.attempts[m.attempt.RequestID] == m.attempt {
		delete(t.attempts, m.attempt.RequestID)
	}
	if m.conn == nil {
		t.addConns(-1)
		return
	}
	m.conn.idleSince, m.conn.rests = time.Now(), rests
	t.idle = append(t.idle, m.conn)
	t.pruneIdle()
}

// pruneIdle closes idle connections that will not be used: expired, of a former address, of a target that takes no new requests, or
// beyond the quota.
func (t *target) pruneIdle() {
	addr := t.address()
	t.closeIdle("TARGET_LEAVES", func(*conn) bool { return !acceptsNew(&t.state) })
	t.closeIdle("TARGET_MOVED", func(c *conn) bool { return c.addr != addr })
	t.closeExpired()
	if t.opt.Quota != nil && len(t.idle) > 0 {
		excess := t.opt.Quota.Excess(t.id)
		t.closeIdle("RATION", func(*conn) bool { excess--; return excess >= 0 })
	}
}

// closeExpired closes the connections that have reached the idle timeout.
func (t *target) closeExpired() {
	now := time.Now()
	t.closeIdle("IDLE", func(c *conn) bool { return now.Sub(c.idleSince) >= t.limits.idleTimeout() })
}

// closeIdle closes the idle connections that match.
func (t *target) closeIdle(reason string, match func(*conn) bool) {
	kept := t.idle[:0]
	for _, c := range t.idle {
		if match(c) {
			t.closeConn(c, reason)
		} else {
			kept = append(kept, c)
		}
	}
	clear(t.idle[len(kept):])
	t.idle = kept
}

// addConns counts one connection more (n = 1) or less (n = -1). It returns false and counts nothing if another one would exceed the
// limit over all targets or the quota.
func (t *target) addConns(n int) bool {
	if t.limits.open.Add(int64(n)) > t.limits.maxTotal.Load() && n > 0 {
		t.limits.open.Add(int64(-n))
		return false
	}
	if t.opt.Quota != nil {
		if n < 0 {
			t.opt.Quota.Close(t.id)
		} else if !t.opt.Quota.Open(t.id) {
			t.limits.open.Add(int64(-n))
			return false
		}
	}
	t.connCount += n
	return true
}

// closeConn closes and uncounts a connection that carries no attempt.
func (t *target) closeConn(c *conn, reason string) {
	c.Close()
	t.addConns(-1)
	t.logConnEnd(c.requests, reason)
}

func (t *target) address() string {
	if p := t.addr.Load(); p != nil {
		return *p
	}
	return ""
}

func (t *target) logConnEnd(requests int, reason string) {
	t.opt.Log.Info("connection ended", slog.String("side", "target"), slog.String("peer", t.id),
		slog.String("reason", reason), slog.Int("requests", requests))
}

// runAttempt dials a connection if c is nil, carries out the attempt and reports its outcome. A connection that cannot be reused is
// closed before that, so that the target never has two attempts of a request from here at a time.
func (t *target) runAttempt(active *activeAttempt, c *conn) {
	var r core.Result
	var reusable *conn
	var reason string
	var used int
	unsolicited := false
	for {
		fromPool := c != nil
		if !fromPool {
			if c = t.dial(active.ctx); c == nil {
				r, reason, used = core.Result{Code: policy.NotConnected}, "CONNECT_FAILED", 0
				break
			}
		}
		c.awaitReusable(active.ctx)
		r, used = core.Result{Code: policy.NotConnected}, c.requests+1
		reusable, reason = t.exchange(active, c, &r)
		unsolicited = unsolicited || t.hasUnsolicited(c)
		if uncorrelated, ok := c.Session.(UncorrelatedSession); ok && uncorrelated.InvalidReport() && !c.reportLogged {
			c.reportLogged = true // one line per connection
			t.opt.Log.Warn("report not usable", slog.String("peer", t.id), slog.String("reason", "BAD_REPORT"))
		}
		if !fromPool || reason != ReasonClosedWhileIdle || uploadOf(active.Attempt) != nil {
			break
		}
		// It was closed, or sent data, after takeIdle had checked it: no byte of the attempt was written, and a new one replaces it.
		c.Close()
		t.logConnEnd(c.requests-1, reason)
		c = nil
	}
	r.RequestID, r.Number, r.Target = active.RequestID, active.Number, t.id
	// endConn gives the connection back to the pool; a nil one has been closed or not been opened.
	endConn := func(pooled *conn, reason string) {
		if pooled == nil {
			if c != nil {
				c.Close()
			}
			t.logConnEnd(used, reason)
		}
		// The actor gets the connection before the outcome is reported, so that a send decided on the outcome finds it idle.
		t.inbox.Put(doneMsg{active, pooled, c.lastAnswer(), unsolicited || c != nil && t.hasUnsolicited(c)})
	}
	if s, ok := r.Payload.(*Stream); ok {
		s.setNotify(func(reuse bool, reason string) {
			if reuse {
				endConn(c, "")
			} else {
				endConn(nil, reason)
			}
		})
	} else {
		endConn(reusable, reason)
	}
	t.report(r)
}

// dial opens a connection within the dial timeout; nil if that fails.
func (t *target) dial(parent context.Context) *conn {
	ctx, stop := context.WithTimeout(parent, t.limits.dialTimeout())
	defer stop()
	addr := t.address()
	s, err := t.opt.Dialer.Dial(ctx, addr)
	if err != nil {
		return nil
	}
	return &conn{Session: s, addr: addr}
}

// exchange carries out the attempt on c. It returns c if it can be reused, and otherwise the reason code.
func (t *target) exchange(active *activeAttempt, c *conn, r *core.Result) (*conn, string) {
	if !active.attach(c.Session) {
		return nil, "CANCELLED"
	}
	c.requests++
	var reuse bool
	var reason string
	var began time.Time
	*r, reuse, reason = c.Do(active.Attempt, func() bool {
		if !acceptsNew(&t.state) || !active.MaySend() {
			return false
		}
		began = time.Now()
		return true
	})
	r.SendStarted = began
	if active.isCancelled() {
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

// cancel ends an attempt from the actor's goroutine: its dial, read or write fails at once.
func (active *activeAttempt) cancel() {
	active.mu.Lock()
	defer active.mu.Unlock()
	active.cancelled = true
	active.stop()
	if active.conn != nil {
		active.conn.Close()
	}
}

// attach sets the connection that cancel closes. It returns false if the attempt is already cancelled.
func (active *activeAttempt) attach(c Session) bool {
	active.mu.Lock()
	defer active.mu.Unlock()
	active.conn = c
	return !active.cancelled
}

func (active *activeAttempt) isCancelled() bool {
	active.mu.Lock()
	defer active.mu.Unlock()
	return active.cancelled
}
