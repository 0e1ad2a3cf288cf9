package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spindlehitch/internal/upstream"
)

// A connection's phases. Whoever moves it on does so by a compare-and-swap, so that a connection is never closed to
// make room once a request on it has been taken.
const (
	quiet   int32 = iota // between requests, or nothing asked yet: no byte of a request has been read
	reading              // part of a request has been read
	active               // a request is open
	spent                // a request was refused, and what is left of it is read away; no other follows
	evicted              // closed to make room; nothing read from it counts any more
)

// clientConn notes when a client's bytes came and why its connection ended.
type clientConn struct {
	net.Conn
	at     atomic.Pointer[time.Time] // of the last read that brought bytes
	asked  atomic.Int64              // requests of which a head has come
	used   atomic.Bool               // a request has been answered on it
	reason atomic.Pointer[string]
	phase  atomic.Int32
	since  time.Time // when it became quiet; under the table's lock
	scanMu sync.Mutex
	scan   headScan
	extra  bool // past the cap, with none to make room
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.at.Store(&now)
		c.scanMu.Lock()
		c.scan.feed(b[:n])
		c.scanMu.Unlock()
		c.phase.CompareAndSwap(quiet, reading)
	}
	if c.phase.Load() == evicted {
		return 0, net.ErrClosed
	}
	if err != nil {
		c.end(c.readCause(err))
	}
	return n, err
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.end("CLIENT_WRITE_FAILED")
	}
	return n, err
}

// CloseWrite lets net/http half-close, so that an answer is not lost to a reset by bytes it never read.
func (c *clientConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// claim takes the request that has been read. It ends the handler where the connection was closed meanwhile to make room.
func (c *clientConn) claim() {
	if !c.phase.CompareAndSwap(reading, active) &&
		!c.phase.CompareAndSwap(quiet, active) { // all of it was read ahead, with the one before
		panic(http.ErrAbortHandler)
	}
}

// codedAlone tells whether the request at hand has a transfer coding and, seen for certain, no length beside it.
func (c *clientConn) codedAlone(r *http.Request) bool {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	return c.scan.codedAlone(r)
}

// next has the next head looked at. It is called before the answer goes out: no client that waits for it has sent more.
func (c *clientConn) next() {
	c.scanMu.Lock()
	c.scan.fresh()
	c.scanMu.Unlock()
}

// end notes the first reason that is one.
func (c *clientConn) end(reason string) {
	if reason != "" {
		c.reason.CompareAndSwap(nil, &reason)
	}
}

func (c *clientConn) readCause(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "CLIENT_CLOSED"
	case errors.Is(err, syscall.ECONNRESET):
		return "CLIENT_RESET"
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return "CLIENT_READ_FAILED"
	}
	switch phase := c.phase.Load(); {
	case phase == reading:
		return "REQUEST_LATE"
	case phase == quiet && !c.used.Load():
		return "SILENT"
	}
	// net/http ends its own background read by a deadline in the past, which is no one's end; and only while the
	// program leaves is a connection kept so long that it ends an idle one.
	return ""
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf is the connection that a request came on; a blank one in tests that have none.
func connOf(ctx context.Context) *clientConn {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return c
	}
	return &clientConn{}
}

// arrival is when the last byte of the request so far was read, which may be well before a busy process
// gets to run its handler: the client's time runs from there.
func (c *clientConn) arrival() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Now()
}

const (
	// silentFor is how long a new connection may bring nothing before it makes room ahead of idle ones, where there is no
	// room at all: usual clients connect to ask at once. Six times that while there is some.
	silentFor = 50 * time.Millisecond
	// stalledFor is how long a request that has begun may bring nothing before its connection makes room, where there is none
	// otherwise; twice that while there is some. True ones may take 2 s, in a dozen pieces with gaps of 0.1 to 0.5 s, few of
	// them longer. Clients count those that stall among the connections that they may hold.
	stalledFor = 7 * silentFor
	// unusedFor is how long an answered connection must have been without a request to make room while there is some.
	// At ten times that, a crowd of connections that asked once shut usual clients out.
	unusedFor = 25 * time.Millisecond
	// slack is how many connections past the cap are taken, each to have one request refused.
	slack = 8
	// mostTries is how many connections a new one looks at for room.
	mostTries = 8
)

// connTable caps clients' connections. A new one past the cap is still taken, since the machine has accepted
// it and a request on it would be lost: one without a request makes room. Where there is none, the new one's
// request is refused at once, and the connection closed.
//
// Past easy connections, the cap is for those with a request open alone. Clients hold so many and no more, those that
// asked once and stay included: where these take all, usual ones cannot even connect, and no cap here would be met.
type connTable struct {
	most int
	easy int
	log  *slog.Logger
	mu   sync.Mutex
	open map[*clientConn]bool
	left bool
}

func newConnTable(most, easy int, log *slog.Logger) *connTable {
	t := &connTable{log: log, open: map[*clientConn]bool{}}
	t.bound(most, easy)
	return t
}

// bound sets the caps from now on; what is past them goes as others come.
func (t *connTable) bound(most, easy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most, t.easy = most, min(easy, most)
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	table *connTable
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.table.add(c), nil
}

func (t *connTable) add(c net.Conn) *clientConn {
	cc := &clientConn{Conn: c, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[cc] = true
	if len(t.open) <= t.easy {
		return cc
	}
	full := len(t.open) > t.most
	for range mostTries {
		o, phase := t.leastNeeded(cc, full)
		if o == nil {
			break
		}
		if t.evict(o, phase, "CAP") {
			return cc // one for one: what is idle serves its clients while the program leaves
		}
		o.since = time.Now() // it is asking just now
	}
	if full {
		cc.extra = true
		cc.end("CAP")
		if len(t.open) > t.most+slack {
			cc.phase.Store(evicted)
			cc.Conn.Close()
		}
	}
	return cc
}

// endIdle closes the connections that have been without a request for so long, unless the program leaves: what clients
// have is then all they can use.
func (t *connTable) endIdle(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left {
		return
	}
	for c := range t.open {
		if c.used.Load() && time.Since(c.since) >= d && c.phase.Load() == quiet {
			t.evict(c, quiet, "IDLE")
		}
	}
}

// evict closes a connection that is still in the phase, which is any but active. One with bytes on their way to it is not
// closed: it is asking just now. The table is locked.
func (t *connTable) evict(c *clientConn, phase int32, reason string) bool {
	if phase == quiet && !upstream.Quiet(c.Conn) || !c.phase.CompareAndSwap(phase, evicted) {
		return false
	}
	c.end(reason)
	c.Conn.Close()
	delete(t.open, c)
	return true
}

// leastNeeded is the connection to close for a new one: one that has been refused; otherwise one that has said nothing
// for a while, the oldest first; otherwise the one unused longest; otherwise one whose request has begun and stalled, the
// longest stalled first. Where the table is full also one that is new and silent. Never one with a request open, nor one
// whose request keeps coming, however slowly. With it comes the phase it was seen in.
func (t *connTable) leastNeeded(but *clientConn, full bool) (best *clientConn, seen int32) {
	now := time.Now()
	rank := func(c *clientConn, phase int32) (int, time.Time) {
		first, silent, stalled := !c.used.Load(), now.Sub(c.since), now.Sub(c.arrival())
		switch {
		case phase == spent:
			return 5, c.since
		case phase == quiet && first && (silent > 6*silentFor || full && silent > silentFor):
			return 4, c.since
		case phase == quiet && !first && (full || silent > unusedFor):
			return 3, c.since
		case phase == reading && (full && stalled > stalledFor || stalled > 2*stalledFor):
			return 2, now.Add(-stalled)
		case phase == quiet && first && full:
			return 1, c.since
		}
		return 0, now
	}
	most, oldest := 0, now
	for c := range t.open {
		phase := c.phase.Load()
		if r, at := rank(c, phase); c != but && r > 0 && (r > most || r == most && at.Before(oldest)) {
			best, seen, most, oldest = c, phase, r, at
		}
	}
	return best, seen
}

// state follows net/http's states, and logs one line when a connection ends.
func (t *connTable) state(c net.Conn, st http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch st {
	case http.StateActive:
		cc.asked.Add(1)
	case http.StateIdle:
		t.mu.Lock()
		cc.since = time.Now()
		t.mu.Unlock()
		cc.used.Store(true)
		cc.phase.CompareAndSwap(active, quiet)
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.open, cc)
		left := t.left
		t.mu.Unlock()
		reason := "CLOSED_BY_US" // after an answer that says so, or bytes that are no request
		if left {
			reason = "LEAVING"
		}
		if p := cc.reason.Load(); p != nil && *p != "CLIENT_READ_FAILED" {
			reason = *p
		}
		t.log.Info("connection ended", slog.String("side", "client"), slog.String("peer", c.RemoteAddr().String()),
			slog.String("reason", reason), slog.Int64("requests", cc.asked.Load()))
	}
}

// leave marks that connections end from now on because the program does.
func (t *connTable) leave() {
	t.mu.Lock()
	t.left = true
	t.mu.Unlock()
}

// endAsked closes the connections that have had an answer and have no request, and tells how many are left of those that
// may still bring one.
func (t *connTable) endAsked() (left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		switch phase := c.phase.Load(); {
		case phase == quiet && c.used.Load() && t.evict(c, quiet, "LEAVING"):
		case phase != spent:
			left++
		}
	}
	return left
}

// endUnasked closes what has no request open: net/http would wait for heads that may never come.
func (t *connTable) endUnasked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if phase := c.phase.Load(); phase != active {
			t.evict(c, phase, "LEAVING")
		}
	}
}
