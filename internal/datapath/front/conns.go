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

	"golang.org/x/sys/unix"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/process/listen"
)

// A connection's phases. Each change is a compare-and-swap, so that a connection is never evicted once a handler has claimed
// a request on it.
const (
	phaseIdle     int32 = iota // between requests or before the first: no byte of the next request has been read
	phaseReading               // part of a request has been read
	phaseActive                // a request is open
	phaseDraining              // a request was rejected, and the rest of its body is read and discarded; no other request follows
	phaseEvicted               // ended between requests; whatever arrives on it is ignored
)

const (
	// maxReadAhead is how many bytes are buffered that a client sends while its request is open: about a head and a body.
	maxReadAhead = maxHeaderBytes + upstream.MaxBufferedBody
	// maxUnreadBytes is how many bytes beyond that may wait in the kernel's buffer: half of what a socket's buffer takes at first, so that the
	// end of the stream fits in behind them.
	maxUnreadBytes = 32 << 10
	// maxReadAheadPieces is how many pieces of it are read at a time.
	maxReadAheadPieces = 16
	// disconnectPollInterval is how often a connection is checked for a disconnect while its body waits for the target.
	disconnectPollInterval = 20 * time.Millisecond
)

// errReadStopped is returned by reads after stopReads. net/http sends no response when a read fails with it.
var errReadStopped error = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// clientConn is a client's connection. It records when bytes arrive and why the connection ends.
//
// The mutex makes reading from the socket and ending the connection exclude each other, so that it is known at the end what has
// been read: a request of which a byte was read is never dropped, and what arrives after the end is never forwarded.
//
// net/http detects a client's disconnect by a background read of one byte, and cannot detect it any more once a byte has come.
// Here that read continues and buffers what arrives, for as long as the request is open.
type clientConn struct {
	net.Conn
	tcp         *net.TCPConn
	raw         syscall.RawConn
	table       *connTable
	lastReadAt  atomic.Pointer[time.Time] // time of the last read that returned bytes
	requests    atomic.Int64              // how many requests had their head received
	inHandler   atomic.Bool               // a handler has been called for the current request
	served      atomic.Bool               // at least one response has been sent on it
	responding  atomic.Bool               // the current request has its response, which is being written
	endReason   atomic.Pointer[string]
	phase       atomic.Int32
	idleSince   time.Time    // when it was accepted, or last became idle or failed to be evicted; guarded by the table's mutex
	overCap     bool         // accepted over the cap, when no other could be evicted
	overflowed  atomic.Bool  // more came while a request was open than is kept: no later request is served
	paced       atomic.Int64 // nanoseconds that its requests waited for pace
	writeFailed atomic.Bool
	pace        *pacer // of requests that cost next to nothing to answer; used by the goroutine that serves the connection only

	// mu guards all fields below.
	mu             sync.Mutex
	framing        framing
	readBuf        []byte // the caller's buffer in the pending Read
	readN          int    // and its results
	readErr        error
	readPending    bool
	backgroundRead bool // the pending Read is net/http's, to detect a disconnect
	moreToRead     bool // readAhead stopped before it had read everything; used by the reading goroutine only
	noReadDeadline bool
	readWaits      bool      // the pending Read has found nothing to read
	waitedAt       time.Time // when bytes last came for which a Read had to wait
	aheadBuf       []byte    // bytes that arrived while a request was open
	aheadAt        time.Time // when the last of them did
	passedOn       []byte    // of a head, without the fields that are not used: net/http reads it next
	dropped        int       // how many were discarded after an overflow
	watched        bool      // the current request waits for a target, and a disconnect ends it
	closeErr       error     // io.EOF or the read error, once the client has closed or reset the connection
	readStopped    bool      // nothing more is read from the socket for net/http
	closed         bool
}

// Read implements net.Conn. Only net/http's read to detect a disconnect has a one-byte buffer and no deadline.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.backgroundRead = len(b) == 1 && c.noReadDeadline
	if c.framing.atStart() && !c.backgroundRead {
		c.mu.Unlock()
		c.paced.Add(int64(c.pace.wait(maxPaceWait)))
		c.mu.Lock()
	}
	c.readBuf, c.readN, c.readErr, c.readPending, c.readWaits = b, 0, nil, true, false
	c.mu.Unlock()
	more, err := true, error(nil)
	for more && err == nil {
		c.moreToRead = false
		err = c.raw.Read(c.readOnce)
		more = c.moreToRead // read on by another call, which checks the deadline: it may have been changed meanwhile
	}
	c.mu.Lock()
	n, stopped := c.readN, c.readStopped && !c.backgroundRead
	if err == nil {
		err = c.readErr
	}
	c.readBuf, c.readPending = nil, false
	c.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case stopped:
		return 0, errReadStopped
	case errors.Is(err, errHeadTooLarge):
		return 0, c.rejectHead()
	case err != nil:
		c.setEndReason(c.readEndReason(err))
	}
	return 0, err
}

// readOnce reads once for the pending Read and reports whether that is finished. If not, the runtime calls it again when the
// socket is readable.
func (c *clientConn) readOnce(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backgroundRead {
		if !c.watched {
			return false // the request is answered at once; what follows it waits in the kernel's buffer
		}
		c.moreToRead = c.readAhead(int(fd), true)
		c.readErr = c.closeErr
		return c.moreToRead || c.closeErr != nil
	}
	for c.readN == 0 && c.readErr == nil {
		if len(c.passedOn) > 0 {
			c.readN = copy(c.readBuf, c.passedOn)
			c.passedOn = c.passedOn[c.readN:]
			break
		}
		if wouldBlock := c.readNext(int(fd)); wouldBlock {
			c.readWaits = true
			return false
		}
	}
	return true
}

// readNext reads the next bytes of the current section of a request, from what was read ahead or else from the socket, and passes on what
// net/http needs of them. The caller holds mu.
func (c *clientConn) readNext(fd int) (wouldBlock bool) {
	b := c.readBuf
	if c.framing.section == sectionHead { // of which more may be passed on than is read
		buffer, done := upstream.AcquireBuffer()
		defer done()
		b = buffer[:min(len(buffer), len(b))]
	}
	var n int
	ahead := len(c.aheadBuf) > 0
	switch {
	case ahead:
		n = copy(b, c.aheadBuf)
		at := c.aheadAt
		c.lastReadAt.Store(&at)
	case c.readStopped || c.overflowed.Load():
		c.readErr = errReadStopped
		return false
	case c.closeErr != nil:
		c.readErr = c.closeErr
		return false
	default:
		if n, wouldBlock = c.readSocket(fd, b); wouldBlock {
			return true
		}
		if c.readErr = c.closeErr; n == 0 {
			return false
		}
		now := time.Now()
		c.lastReadAt.Store(&now)
		if c.readWaits {
			c.waitedAt = now
		}
	}
	c.phase.CompareAndSwap(phaseIdle, phaseReading)
	used := c.passOn(b[:n])
	if ahead {
		c.dropReadAhead(used)
	} else if used < n { // the next request: its bytes are read, so they are kept even without budget
		c.table.bufferBudget.Release(-int64(n - used))
		c.aheadBuf, c.aheadAt = slices.Clone(b[used:n]), time.Now()
	}
	return false
}

// passOn passes bytes on to the pending Read, up to the end of the section that they are of, and returns how many that were. The caller holds mu.
func (c *clientConn) passOn(b []byte) (used int) {
	var err error
	if c.framing.section == sectionHead {
		// The start of a line may have been held back, so that more bytes are passed on than were read.
		used, c.passedOn, err = c.framing.write(b, nil)
	} else {
		var passed []byte
		used, passed, err = c.framing.write(b, c.readBuf[:0])
		c.readN = len(passed)
	}
	if err != nil {
		c.readErr = err
	}
	return used
}

// rejectHead answers a request whose head is too large, as net/http does, and returns the error that ends the connection.
func (c *clientConn) rejectHead() error {
	const status = "431 Request Header Fields Too Large"
	c.mu.Lock()
	c.readStopped = true // net/http may read again, and must not respond
	c.mu.Unlock()
	c.table.paceError()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+status)
	return errReadStopped
}

// readSocket reads from the socket and records that the client has closed it. wouldBlock means that there was nothing to read.
// The caller holds mu.
func (c *clientConn) readSocket(fd int, b []byte) (n int, wouldBlock bool) {
	for {
		n, err := syscall.Read(fd, b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, true
		case err != nil:
			c.closeErr = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
		case n == 0:
			c.closeErr = io.EOF
		}
		return max(n, 0), false
	}
}

// readAhead buffers what has arrived while a request is open, up to maxReadAhead and within the budget. What is beyond that stays in the
// kernel's buffer, behind which a disconnect is seen all the same. Only if so much has come that the client's end may not fit in there, everything
// is discarded, also what was buffered and what comes later: the rest would not be a valid request. While the request's body is still being
// read nothing may be discarded. It reports whether it stopped, after maxReadAheadPieces, before all was read. The caller holds mu.
func (c *clientConn) readAhead(fd int, bodyRead bool) (more bool) {
	var oneByte [1]byte
	b, done := oneByte[:], func() {}
	defer func() { done() }()
	for range maxReadAheadPieces {
		if c.closeErr != nil || c.dropped >= maxDrainBytes {
			return false
		}
		discarding := c.overflowed.Load()
		if discarding {
			b = b[:cap(b)]
		} else {
			b = b[:min(len(b), maxReadAhead-len(c.aheadBuf))]
		}
		size := int64(len(b))
		if !discarding && (size == 0 || !c.table.bufferBudget.TryAcquire(size)) {
			if c.checkPeerClosed(fd); c.closeErr == nil && bodyRead && unreadBytes(fd) >= maxUnreadBytes {
				c.overflow()
				continue
			}
			return false
		}
		n, wouldBlock := c.readSocket(fd, b)
		if discarding {
			c.dropped += n
		} else {
			c.table.bufferBudget.Release(size - int64(n))
			c.aheadBuf = append(c.aheadBuf, b[:n]...)
			c.aheadAt = time.Now()
		}
		if wouldBlock {
			return false
		}
		if cap(b) == 1 {
			b, done = upstream.AcquireBuffer()
		}
	}
	return true
}

// overflow has all bytes discarded that were read ahead and that come from now on. The caller holds mu.
func (c *clientConn) overflow() {
	c.overflowed.Store(true)
	c.setEndReason("CLIENT_FLOOD")
	c.dropped += len(c.aheadBuf)
	c.dropReadAhead(len(c.aheadBuf))
}

// unreadBytes returns how many bytes have arrived that were not read.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// checkPeerClosed records that the client has closed or reset the connection, also if bytes that came before are unread. The caller holds mu.
func (c *clientConn) checkPeerClosed(fd int) {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if n, err := unix.Poll(events, 0); err != nil || n == 0 {
		return // the next check sees it
	}
	switch got := events[0].Revents; {
	case got&unix.POLLERR != 0:
		c.closeErr = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("poll", syscall.ECONNRESET)}
	case got&(unix.POLLRDHUP|unix.POLLHUP) != 0:
		c.closeErr = io.EOF
	}
}

// dropReadAhead removes the first bytes that were read ahead and returns them to the budget. The caller holds mu.
func (c *clientConn) dropReadAhead(n int) {
	c.table.bufferBudget.Release(int64(n))
	if c.aheadBuf = c.aheadBuf[n:]; len(c.aheadBuf) == 0 {
		c.aheadBuf = nil
	}
}

// clientClosed reports whether the client has closed or reset the connection, as far as the kernel knows, and has that watched until the
// request's end. bodyRead is whether the request has been read to the end of its body. If a Read waits for the body,
// nothing is read here: that Read would not be woken for bytes that are no longer in the kernel's buffer.
func (c *clientConn) clientClosed(bodyRead bool) bool {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.watched = true
		if !c.readPending || c.backgroundRead {
			c.readAhead(int(fd), bodyRead)
		}
		if c.closeErr == nil {
			c.checkPeerClosed(int(fd)) // behind bytes that are not read yet
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		c.setEndReason(c.readEndReason(c.closeErr))
	}
	return err != nil || c.closeErr != nil
}

// watchDisconnect calls onDisconnect once the client has closed the connection, also while no goroutine reads from it. The caller must
// call stop, which ends the polling goroutine.
func (c *clientConn) watchDisconnect(onDisconnect func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(disconnectPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				if c.clientClosed(false) {
					onDisconnect()
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noReadDeadline = t.IsZero()
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. If reads were stopped within a request's head, net/http takes the partial head for a malformed request
// and would write an error response; that write fails, since an incomplete request gets no response.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.inHandler.Load() {
		if c.readsStopped() {
			return 0, errReadStopped
		}
		c.table.paceError() // net/http rejects bytes that are no request
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
		c.setEndReason("CLIENT_WRITE_FAILED")
	}
	return n, err
}

// stopReads stops all reads for net/http, also the pending one. The caller holds mu.
func (c *clientConn) stopReads() {
	c.readStopped = true
	if c.readPending && !c.backgroundRead {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *clientConn) readsStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readStopped
}

// endIfInPhase ends the connection if it is still in the phase and has no unread bytes, which may be a request that is just arriving;
// in phaseDraining they are the rest of a rejected body and do not count. An idle connection is half-closed at once. If a request has
// begun, only reading stops: a request that was received completely is answered, a partial one is dropped.
func (c *clientConn) endIfInPhase(phase int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readStopped || len(c.aheadBuf) > 0 || phase != phaseDraining && !upstream.OpenAndIdle(c.Conn) {
		return false
	}
	next := phase
	if phase == phaseIdle {
		next = phaseEvicted
	}
	if !c.phase.CompareAndSwap(phase, next) {
		return false
	}
	c.stopReads()
	if phase == phaseIdle {
		_ = c.tcp.CloseWrite()
	}
	return true
}

// Close implements net.Conn. Closing a socket with unread bytes would reset the connection, and the client would lose a response that it
// has not read yet. So the connection is half-closed and read until the client closes it, for a limited time; what is read is discarded.
func (c *clientConn) Close() error {
	c.mu.Lock()
	alreadyClosed, peerClosed := c.closed, c.closeErr != nil || c.writeFailed.Load()
	c.closed = true
	c.stopReads()
	c.dropReadAhead(len(c.aheadBuf))
	c.mu.Unlock()
	switch {
	case alreadyClosed:
		return nil
	case peerClosed || c.tcp.CloseWrite() != nil:
		defer c.table.remove(c)
		return c.Conn.Close()
	}
	c.table.addLingering(c)
	go func() {
		defer c.table.remove(c)
		_ = listen.DrainAndClose(c.Conn)
	}()
	return nil
}

// CloseWrite lets net/http half-close the connection, so that a response is not lost to a reset caused by unread bytes.
func (c *clientConn) CloseWrite() error {
	return c.tcp.CloseWrite()
}

// markIdle makes the connection wait for its next request, part of which may already be buffered.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = false
	next := phaseIdle
	if len(c.aheadBuf) > 0 {
		next = phaseReading
	}
	c.phase.CompareAndSwap(phaseActive, next)
}

// closesAfterResponse reports whether the connection is closed after the response that is about to be written.
func (c *clientConn) closesAfterResponse() bool {
	return c.overflowed.Load() || c.table != nil && c.table.closeAfterResponse.Load()
}

// claimRequest marks the request that has been read as active. It aborts the handler if the connection has been evicted meanwhile.
func (c *clientConn) claimRequest() {
	if !c.phase.CompareAndSwap(phaseReading, phaseActive) &&
		!c.phase.CompareAndSwap(phaseIdle, phaseActive) { // all of it was read together with the previous request
		panic(http.ErrAbortHandler)
	}
}

// beginBody sets how the body of the current request is framed, and reports whether its head has a Content-Length, which net/http removes beside
// chunks.
func (c *clientConn) beginBody(r *http.Request) (sized bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sized = !c.framing.head.done || c.framing.head.sized
	c.framing.beginBody(r.ContentLength)
	return sized
}

// setEndReason records why the connection ends. Only the first reason that is not empty counts.
func (c *clientConn) setEndReason(reason string) {
	if reason != "" {
		c.endReason.CompareAndSwap(nil, &reason)
	}
}

// readEndReason returns the reason code for a failed read, empty if the failure does not end the connection.
func (c *clientConn) readEndReason(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "CLIENT_CLOSED"
	case errors.Is(err, syscall.ECONNRESET):
		return "CLIENT_RESET"
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return "CLIENT_READ_FAILED"
	}
	switch phase := c.phase.Load(); {
	case phase == phaseReading:
		return "REQUEST_LATE"
	case phase == phaseIdle && !c.served.Load():
		return "SILENT"
	}
	// net/http stops its own background read by a deadline in the past, which does not end the connection. net/http's own idle timeout
	// is so long that it expires only during shutdown.
	return ""
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection that a request came on, or an empty one in tests that have none.
func connFromContext(ctx context.Context) *clientConn {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return c
	}
	return &clientConn{}
}

// lastArrival returns when the last byte of the request so far was read. In a busy process that may be well before its handler
// runs; the client's timeout starts then.
func (c *clientConn) lastArrival() time.Time {
	if at := c.lastReadAt.Load(); at != nil {
		return *at
	}
	return time.Now()
}

const (
	// silentTimeout is how long a new connection may send nothing before it is evicted ahead of idle ones, if the cap is
	// reached: normal clients connect in order to send a request at once. Below the cap it is six times as long.
	silentTimeout = 50 * time.Millisecond
	// stalledTimeout is how long a request that has begun may send nothing before its connection is evicted, if the cap is
	// reached; below the cap it is twice as long. Real clients may take 2 s for a request, in a dozen pieces with gaps of 0.1 to
	// 0.5 s, few of them longer. Stalled connections count against the number that clients may hold.
	stalledTimeout = 7 * silentTimeout
	// minUnusedTime is how long a connection must have been idle since its last response to be evicted below the cap.
	// At ten times that, a crowd of connections that were used once kept normal clients from connecting.
	minUnusedTime = 25 * time.Millisecond
	// maxConnsOverCap is how many connections over the cap are accepted, each to have one request rejected.
	maxConnsOverCap = 8
	// maxPendingEnds is how many evicted connections net/http may still have before new ones wait, or are closed.
	maxPendingEnds = 8
	// maxAcceptPause is how long new connections wait to be accepted while evicted ones are ended: their clients' time runs meanwhile.
	maxAcceptPause = 50 * time.Millisecond
	// maxEvictTries is how many evictions are tried for a new connection.
	maxEvictTries = 8
)

// connTable limits clients' connections. A new one over the cap is still accepted, since the kernel has accepted it
// already and a request on it would be lost: one without a request is evicted instead. If there is none, the new
// connection's request is rejected at once, and the connection closed.
//
// Above softMaxConns, connections without an open request are evicted too. Clients together hold a limited number of connections,
// which includes those that were used once and stay open: if these take up that number, other clients cannot even connect, although
// maxConns is not reached here.
type connTable struct {
	maxConns           int
	softMaxConns       int
	log                *slog.Logger
	bufferBudget       *budget.Bytes // for bytes that are read ahead
	errorPace          *pacer        // of the error responses on all connections
	draining           atomic.Int64  // rejected bodies that are read and discarded
	closeAfterResponse atomic.Bool   // each connection is closed after its next response
	mu                 sync.Mutex    // guards the limits, all fields below, and the connections' idleSince
	open               map[*clientConn]bool
	// lingering are the connections that were ended here and wait for their clients to close them, oldest first. They still have
	// a descriptor.
	lingering []*clientConn
	served    int       // connections that net/http has, those included that were evicted and that it has not ended yet
	roomAt    time.Time // when awaitRoom last found room; used by the accepting goroutine only
	stopping  bool      // Server.Stop has been called
}

func newConnTable(maxConns, softMaxConns int, bytes *budget.Bytes, log *slog.Logger) *connTable {
	t := &connTable{log: log, bufferBudget: bytes, errorPace: newPacer(errorRate, errorBurst), open: map[*clientConn]bool{}}
	t.setLimits(maxConns, softMaxConns)
	return t
}

// setLimits changes the limits. Connections over them are evicted when new ones are accepted.
func (t *connTable) setLimits(limit, softLimit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns, t.softMaxConns = limit, min(softLimit, limit)
}

// trackingListener wraps accepted connections in clientConn and adds them to the table.
type trackingListener struct {
	net.Listener
	table *connTable
}

func (l trackingListener) Accept() (net.Conn, error) {
	for {
		l.table.awaitRoom()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if cc := l.table.add(c); cc != nil {
			return cc, nil
		}
	}
}

// awaitRoom waits, for up to maxAcceptPause since there was room last, until net/http has ended the connections that were evicted: each has a
// goroutine and buffers until then, and others that wait to be accepted have none.
func (t *connTable) awaitRoom() {
	now := time.Now()
	if !t.overfull() || t.roomAt.IsZero() {
		t.roomAt = now
	}
	for until := t.roomAt.Add(maxAcceptPause); now.Before(until) && t.overfull(); now = time.Now() {
		time.Sleep(time.Millisecond)
	}
}

// overfull reports whether net/http has more connections than may be open, and those that are being ended.
func (t *connTable) overfull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasNoRoom()
}

// hasNoRoom is overfull for callers that hold t.mu.
func (t *connTable) hasNoRoom() bool { return t.served > t.maxConns+maxConnsOverCap+maxPendingEnds }

// add adds an accepted connection, and evicts another if there are too many. It returns nil if the connection had to be closed.
func (t *connTable) add(c net.Conn) *clientConn {
	cc := &clientConn{Conn: c, table: t, pace: newPacer(cheapRate, cheapBurst), idleSince: time.Now()}
	cc.tcp = c.(*net.TCPConn) // all listeners used here accept TCP connections
	cc.raw, _ = cc.tcp.SyscallConn()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasNoRoom() {
		cc.Conn.Close()
		t.logEnd(cc, "CAP")
		return nil
	}
	t.open[cc] = true
	t.served++
	full := len(t.open)+len(t.lingering) > t.maxConns
	if full && len(t.lingering) > 0 {
		t.lingering[0].Conn.Close()
		t.lingering = t.lingering[1:]
		full = len(t.open)+len(t.lingering) > t.maxConns
	}
	if !full && len(t.open) <= t.softMaxConns {
		return cc
	}
	for range maxEvictTries {
		candidate, phase := t.evictionCandidate(cc, full)
		if candidate == nil {
			break
		}
		if t.evict(candidate, phase, "CAP") {
			return cc // not more than one each: idle connections are needed by their clients during shutdown
		}
		candidate.idleSince = time.Now() // a request is just arriving on it
	}
	if full {
		cc.overCap = true
		cc.setEndReason("CAP")
		if len(t.open)+len(t.lingering) > t.maxConns+maxConnsOverCap {
			cc.Conn.Close()
			delete(t.open, cc)
			t.served--
			t.logEnd(cc, "CAP")
			return nil
		}
	}
	return cc
}

// paceError waits until another error response keeps to their rate.
func (t *connTable) paceError() {
	t.errorPace.count(1)
	t.errorPace.wait(maxErrorWait)
}

// discard reads and discards the rest of a rejected body. All such bodies share drainRate.
func (t *connTable) discard(body io.Reader) {
	t.draining.Add(1)
	defer t.draining.Add(-1)
	listen.Discard(body, maxDrainBytes, func() int64 { return drainRate / t.draining.Load() })
}

// closeIdle closes the connections that have been idle for d, except during shutdown, when clients have no other
// connections to use.
func (t *connTable) closeIdle(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return
	}
	for c := range t.open {
		if c.served.Load() && time.Since(c.idleSince) >= d && c.phase.Load() == phaseIdle {
			t.evict(c, phaseIdle, "IDLE")
		}
	}
}

// evict ends a connection if it is still in the phase, which must not be phaseActive. It returns false if endIfInPhase does not end it.
// The caller holds t.mu.
func (t *connTable) evict(c *clientConn, phase int32, reason string) bool {
	if !c.endIfInPhase(phase) {
		return false
	}
	c.setEndReason(reason)
	delete(t.open, c)
	t.lingering = append(t.lingering, c)
	return true
}

// addLingering records that a connection waits for its client to close it.
func (t *connTable) addLingering(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	if !slices.Contains(t.lingering, c) {
		t.lingering = append(t.lingering, c)
	}
}

// remove records that a connection's descriptor has been closed.
func (t *connTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	if i := slices.Index(t.lingering, c); i >= 0 {
		t.lingering = slices.Delete(t.lingering, i, i+1)
	}
}

// evictionRank is how readily a connection is evicted; the highest rank goes first.
type evictionRank int

const (
	notEvictable    evictionRank = iota
	newConn                      // has sent nothing yet; only if the table is full
	stalledRequest               // its request has begun and stalled, the longest stalled first
	idleConn                     // has had a response, the one idle longest first
	silentConn                   // new, and has sent nothing for a while, the oldest first
	rejectedRequest              // its request was rejected
)

// evictionCandidate returns the connection to evict for a new one, and the phase it was seen in: one whose request was rejected;
// otherwise a new one that has sent nothing for a while, the oldest first; otherwise the one idle longest; otherwise one whose request
// has begun and stalled, the longest stalled first. If the table is full, also one that is new and has sent nothing yet. It is never
// one with an open request, nor one whose request keeps arriving, however slowly.
func (t *connTable) evictionCandidate(except *clientConn, full bool) (candidate *clientConn, candidatePhase int32) {
	now := time.Now()
	rank := func(c *clientConn, phase int32) (evictionRank, time.Time) {
		unserved, quietFor := !c.served.Load(), now.Sub(c.idleSince)
		stalledFor := min(quietFor, now.Sub(c.lastArrival()))
		switch {
		case phase == phaseDraining:
			return rejectedRequest, c.idleSince
		case phase == phaseIdle && unserved && (quietFor > 6*silentTimeout || full && quietFor > silentTimeout):
			return silentConn, c.idleSince
		case phase == phaseIdle && !unserved && (full || quietFor > minUnusedTime):
			return idleConn, c.idleSince
		case phase == phaseReading && (full && stalledFor > stalledTimeout || stalledFor > 2*stalledTimeout):
			return stalledRequest, now.Add(-stalledFor)
		case phase == phaseIdle && unserved && full:
			return newConn, c.idleSince
		}
		return notEvictable, now
	}
	bestRank, bestTime := notEvictable, now
	for c := range t.open {
		phase := c.phase.Load()
		if r, at := rank(c, phase); c != except && r > notEvictable && (r > bestRank || r == bestRank && at.Before(bestTime)) {
			candidate, candidatePhase, bestRank, bestTime = c, phase, r, at
		}
	}
	return candidate, candidatePhase
}

// connState follows net/http's connection states, and logs one line when a connection ends.
func (t *connTable) connState(c net.Conn, st http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch st {
	case http.StateActive:
		cc.requests.Add(1)
	case http.StateIdle:
		t.mu.Lock()
		cc.idleSince = time.Now()
		t.mu.Unlock()
		cc.served.Store(true)
		cc.responding.Store(false)
		cc.inHandler.Store(false)
		cc.markIdle()
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.open, cc)
		t.served--
		shuttingDown := t.stopping
		t.mu.Unlock()
		reason := "CLOSED_BY_US" // after a response with Connection: close, or bytes that are not a request
		if shuttingDown {
			reason = "LEAVING"
		}
		// CLIENT_READ_FAILED is not logged: it may be a read that failed because the connection was closed here.
		if p := cc.endReason.Load(); p != nil && *p != "CLIENT_READ_FAILED" {
			reason = *p
		}
		t.logEnd(cc, reason)
	}
}

func (t *connTable) logEnd(c *clientConn, reason string) {
	attrs := []any{slog.String("side", "client"), slog.String("peer", c.RemoteAddr().String()), slog.String("reason", reason), slog.Int64("requests", c.requests.Load())}
	if paced := time.Duration(c.paced.Load()); paced > 0 {
		attrs = append(attrs, slog.Duration("paced", paced))
	}
	t.log.Info("connection ended", attrs...)
}

// markStopping records that the server is shutting down, as the reason for connections that end from now on.
func (t *connTable) markStopping() {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
}

// closeServed closes the idle connections that have had a response, and returns how many others have an open request or may
// still send one.
func (t *connTable) closeServed() (remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		switch phase := c.phase.Load(); {
		case phase == phaseIdle && c.served.Load() && t.evict(c, phaseIdle, "LEAVING"):
		case phase != phaseDraining:
			remaining++
		}
	}
	return remaining
}

// hasUndecided reports whether a connection has a request without a response, or may still send one.
func (t *connTable) hasUndecided() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		switch c.phase.Load() {
		case phaseDraining, phaseEvicted:
		case phaseActive:
			if !c.responding.Load() {
				return true
			}
		default:
			return true
		}
	}
	return false
}

// closeForShutdown closes idle connections, and has all others closed after their responses. Partial requests may still be completed,
// unless dropPartial is set. It returns how many connections remain, and how many of these only wait for their clients to close them.
func (t *connTable) closeForShutdown(dropPartial bool) (remaining, onlyLingering int) {
	t.closeAfterResponse.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if phase := c.phase.Load(); phase == phaseIdle || phase != phaseActive && dropPartial {
			t.evict(c, phase, "LEAVING")
		}
	}
	return len(t.open) + len(t.lingering), len(t.lingering)
}
