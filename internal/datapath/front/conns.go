package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/process/listen"
)

// A connection's phases. Whoever moves it on does so by a compare-and-swap, so that a connection is never closed to
// make room once a request on it has been taken.
const (
	quiet   int32 = iota // between requests, or nothing asked yet: no byte of a request has been read
	reading              // part of a request has been read
	active               // a request is open
	spent                // a request was refused, and what is left of it is read away; no other follows
	evicted              // ended between requests; nothing that comes on it counts any more
)

const (
	// aheadMost is how much is kept of what a client sends while its request is open: about a head and a body.
	aheadMost = maxHead + upstream.MaxHeld
	// aheadPieces is how many pieces of it are read at a time.
	aheadPieces = 16
	// mindEvery is how often a client is looked after whose body waits for its target.
	mindEvery = 20 * time.Millisecond
)

// errCut is what a read gives once no more is read from a connection. net/http answers nothing to it.
var errCut error = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// clientConn notes when a client's bytes came and why its connection ended.
//
// Reading from the socket and ending the connection exclude one another by its lock. So who ends it knows what has been read: a
// request of which a byte was read is never dropped, and what comes after the end is never sent on.
//
// net/http looks for a client's departure by a read of one byte, and is blind from then on. Here that read goes on, and keeps
// what comes, for as long as the request is open.
type clientConn struct {
	net.Conn
	tcp    *net.TCPConn
	raw    syscall.RawConn
	table  *connTable
	at     atomic.Pointer[time.Time] // of the last read that brought bytes
	asked  atomic.Int64              // requests of which a head has come
	taken  atomic.Bool               // a handler has the head of the request at hand
	used   atomic.Bool               // a request has been answered on it
	reason atomic.Pointer[string]
	phase  atomic.Int32
	since  time.Time // when it became quiet; under the table's lock
	extra  bool      // past the cap, with none to make room
	flood  atomic.Bool
	failed atomic.Bool // a write did

	mu      sync.Mutex
	scan    headScan
	into    []byte // of the read under way
	got     int
	gotErr  error
	inRead  bool
	watch   bool // the read under way is net/http's for a departure
	more    bool // the reader's alone: there is more to read
	endless bool // reads have no deadline
	ahead   []byte
	aheadAt time.Time
	dropped int
	lost    error // the client's end, once seen
	cut     bool  // no more is read
	closed  bool
}

// Read implements net.Conn. Only net/http's read for a departure is of one byte and has no deadline.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.into, c.got, c.gotErr, c.inRead, c.watch = b, 0, nil, true, len(b) == 1 && c.endless
	c.mu.Unlock()
	more, err := true, error(nil)
	for more && err == nil {
		c.more = false
		err = c.raw.Read(c.pull)
		more = c.more // its deadline may have been moved meanwhile
	}
	c.mu.Lock()
	n, cut := c.got, c.cut && !c.watch
	if err == nil {
		err = c.gotErr
	}
	c.into, c.inRead = nil, false
	c.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case cut:
		return 0, errCut
	case err != nil:
		c.end(c.readCause(err))
	}
	return 0, err
}

// pull reads once, and tells whether there was anything. The machine calls it again when more comes.
func (c *clientConn) pull(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.watch:
		c.more = c.readAhead(int(fd), true)
		c.gotErr = c.lost
		return c.more || c.lost != nil
	case len(c.ahead) > 0:
		c.got = copy(c.into, c.ahead)
		c.table.room.Give(int64(c.got))
		if c.ahead = c.ahead[c.got:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		at := c.aheadAt
		c.at.Store(&at)
	case c.cut || c.flood.Load():
		c.gotErr = errCut
		return true
	case c.lost != nil:
		c.gotErr = c.lost
		return true
	default:
		n, again := c.receive(int(fd), c.into)
		if again {
			return false
		}
		if c.got, c.gotErr = n, c.lost; n == 0 {
			return true
		}
		now := time.Now()
		c.at.Store(&now)
	}
	c.scan.feed(c.into[:c.got])
	c.phase.CompareAndSwap(quiet, reading)
	return true
}

// receive reads from the socket and notes the client's end. It tells whether there was nothing yet. The connection is locked.
func (c *clientConn) receive(fd int, b []byte) (n int, again bool) {
	for {
		n, err := syscall.Read(fd, b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, true
		case err != nil:
			c.lost = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
		case n == 0:
			c.lost = io.EOF
		}
		return max(n, 0), false
	}
}

// readAhead takes what has come before its turn, as far as it may be kept. Past that it is dropped, and so is all else: what
// would be left is no request. While a body is still read nothing may be dropped: what does not fit stays with the machine.
// It tells whether it stopped before all was read, as it does after a while. The connection is locked.
func (c *clientConn) readAhead(fd int, whole bool) (more bool) {
	var one [1]byte
	b, done := one[:], func() {}
	defer func() { done() }()
	for range aheadPieces {
		if c.lost != nil || c.dropped >= drainMost {
			return false
		}
		if !whole {
			b = b[:min(len(b), aheadMost-len(c.ahead))]
		}
		room, flooded := int64(len(b)), c.flood.Load()
		if room == 0 || !flooded && !c.table.room.Take(room) {
			return false // for want of room a request must not be lost: it stays with the machine
		}
		n, again := c.receive(fd, b)
		kept := !flooded && len(c.ahead)+n <= aheadMost
		switch {
		case kept:
			c.table.room.Give(room - int64(n))
			c.ahead = append(c.ahead, b[:n]...)
		case !flooded:
			c.table.room.Give(room)
			c.flood.Store(true)
			c.end("CLIENT_FLOOD")
			c.forget()
		}
		switch {
		case again:
			return false
		case kept:
			c.aheadAt = time.Now()
		default:
			c.dropped += n
		}
		if cap(b) == 1 {
			b, done = upstream.Piece()
		}
	}
	return true
}

// forget gives back what came ahead of its turn. The connection is locked.
func (c *clientConn) forget() {
	c.table.room.Give(int64(len(c.ahead)))
	c.ahead = nil
}

// gone tells whether the client has closed or reset the connection, as far as the machine knows. Its request is here whole, or
// its body still comes.
func (c *clientConn) gone(whole bool) bool {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readAhead(int(fd), whole)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		c.end(c.readCause(c.lost))
	}
	return err != nil || c.lost != nil
}

// mind calls left once the client is gone, while nobody reads from it. It is to be stopped.
func (c *clientConn) mind(left func()) (stop func()) {
	ended := make(chan struct{})
	go func() {
		tick := time.NewTicker(mindEvery)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				if c.gone(false) {
					left()
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(ended) })
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endless = t.IsZero()
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. net/http takes a line that was cut for a bad one, and would say so: what did not come whole is owed
// no word.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.taken.Load() && c.stopped() {
		return 0, errCut
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(true)
		c.end("CLIENT_WRITE_FAILED")
	}
	return n, err
}

// stop has no more read from the connection. The connection is locked.
func (c *clientConn) stop() {
	c.cut = true
	if c.inRead && !c.watch {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *clientConn) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// shut ends the connection if it is in the phase still, with nothing unread that may be a request: then it is asking just now.
// One that is quiet is ended at once. Of one whose request has begun no more is read: what has come whole is answered, the rest
// is none.
func (c *clientConn) shut(phase int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut || len(c.ahead) > 0 || phase != spent && !upstream.Quiet(c.Conn) {
		return false
	}
	to := phase
	if phase == quiet {
		to = evicted
	}
	if !c.phase.CompareAndSwap(phase, to) {
		return false
	}
	c.stop()
	if phase == quiet {
		_ = c.tcp.CloseWrite()
	}
	return true
}

// Close implements net.Conn. A close over unread bytes would reset the connection, and take an answer with it that its client has not
// read yet. So it is shut, and read until the client's end is seen, for a while; of what comes nothing is sent on.
func (c *clientConn) Close() error {
	c.mu.Lock()
	again, over := c.closed, c.lost != nil || c.failed.Load()
	c.closed = true
	c.stop()
	c.forget()
	c.mu.Unlock()
	switch {
	case again:
		return nil
	case over || c.tcp.CloseWrite() != nil:
		defer c.table.gone(c)
		return c.Conn.Close()
	}
	c.table.linger(c)
	go func() {
		defer c.table.gone(c)
		_ = listen.DrainAndClose(c.Conn)
	}()
	return nil
}

// CloseWrite lets net/http half-close, so that an answer is not lost to a reset by bytes it never read.
func (c *clientConn) CloseWrite() error {
	return c.tcp.CloseWrite()
}

// rest has the connection wait for its next request, of which something may have come already.
func (c *clientConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := quiet
	if len(c.ahead) > 0 {
		to = reading
	}
	c.phase.CompareAndSwap(active, to)
}

// ends tells whether the answer that is about to be written is the connection's last.
func (c *clientConn) ends() bool { return c.flood.Load() || c.table != nil && c.table.last.Load() }

// claim takes the request that has been read. It ends the handler where the connection was closed meanwhile to make room.
func (c *clientConn) claim() {
	if !c.phase.CompareAndSwap(reading, active) &&
		!c.phase.CompareAndSwap(quiet, active) { // all of it was read ahead, with the one before
		panic(http.ErrAbortHandler)
	}
}

// codedAlone tells whether the request at hand has a transfer coding and, seen for certain, no length beside it.
func (c *clientConn) codedAlone(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.codedAlone(r)
}

// next has the next head looked at. It is called before the answer goes out: no client that waits for it has sent more.
func (c *clientConn) next() {
	c.mu.Lock()
	c.scan.fresh()
	c.mu.Unlock()
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
	room *budget.Bytes // for what comes ahead of its turn
	last atomic.Bool   // each connection ends with its answer
	mu   sync.Mutex
	open map[*clientConn]bool
	// shut are those that were ended here and wait for their clients' ends, the longest first. They have descriptors still.
	shut []*clientConn
	left bool
}

func newConnTable(most, easy int, room *budget.Bytes, log *slog.Logger) *connTable {
	t := &connTable{log: log, room: room, open: map[*clientConn]bool{}}
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
	cc := &clientConn{Conn: c, table: t, since: time.Now()}
	cc.tcp = c.(*net.TCPConn) // as all listeners here give
	cc.raw, _ = cc.tcp.SyscallConn()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[cc] = true
	full := len(t.open)+len(t.shut) > t.most
	if full && len(t.shut) > 0 {
		t.shut[0].Conn.Close()
		t.shut = t.shut[1:]
		full = len(t.open)+len(t.shut) > t.most
	}
	if !full && len(t.open) <= t.easy {
		return cc
	}
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
		if len(t.open)+len(t.shut) > t.most+slack {
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

// evict ends a connection that is still in the phase, which is any but active. The table is locked.
func (t *connTable) evict(c *clientConn, phase int32, reason string) bool {
	if !c.shut(phase) {
		return false
	}
	c.end(reason)
	delete(t.open, c)
	t.shut = append(t.shut, c)
	return true
}

// linger notes a connection that waits for its client's end.
func (t *connTable) linger(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	if !slices.Contains(t.shut, c) {
		t.shut = append(t.shut, c)
	}
}

// gone notes that a connection has no descriptor any more.
func (t *connTable) gone(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	if i := slices.Index(t.shut, c); i >= 0 {
		t.shut = slices.Delete(t.shut, i, i+1)
	}
}

// leastNeeded is the connection to close for a new one: one that has been refused; otherwise one that has said nothing
// for a while, the oldest first; otherwise the one unused longest; otherwise one whose request has begun and stalled, the
// longest stalled first. Where the table is full also one that is new and silent. Never one with a request open, nor one
// whose request keeps coming, however slowly. With it comes the phase it was seen in.
func (t *connTable) leastNeeded(but *clientConn, full bool) (best *clientConn, seen int32) {
	now := time.Now()
	rank := func(c *clientConn, phase int32) (int, time.Time) {
		first, silent := !c.used.Load(), now.Sub(c.since)
		stalled := min(silent, now.Sub(c.arrival()))
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
		cc.taken.Store(false)
		cc.rest()
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

// endAll ends what has no request open, and has all others end with their answers. A request that has begun may come whole
// until hurry. It tells how many connections are left, and how many of them only wait for their clients' ends.
func (t *connTable) endAll(hurry bool) (left, waiting int) {
	t.last.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if phase := c.phase.Load(); phase == quiet || phase != active && hurry {
			t.evict(c, phase, "LEAVING")
		}
	}
	return len(t.open) + len(t.shut), len(t.shut)
}
