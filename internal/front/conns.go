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
)

// clientConn notes when a client's bytes came and why its connection ended.
type clientConn struct {
	net.Conn
	at     atomic.Pointer[time.Time] // of the last read that brought bytes
	asked  atomic.Int64              // requests begun
	reason atomic.Pointer[string]
	idle   bool // between requests, or not yet asked anything; under the table's lock
	since  time.Time
	extra  bool // past the cap, with no idle one to make room
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.at.Store(&now)
	}
	// net/http ends its own background read by a deadline in the past; that is no one's end.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end(readCause(err))
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

// end notes the first reason.
func (c *clientConn) end(reason string) { c.reason.CompareAndSwap(nil, &reason) }

func readCause(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "CLIENT_CLOSED"
	case errors.Is(err, syscall.ECONNRESET):
		return "CLIENT_RESET"
	}
	return "CLIENT_READ_FAILED"
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// arrival is when the last byte of the request so far was read, which may be well before a busy process
// gets to run its handler: the client's time runs from there.
func arrival(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		if at := c.at.Load(); at != nil {
			return *at
		}
	}
	return time.Now()
}

// isExtra tells whether the request came on a connection past the cap.
func isExtra(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*clientConn)
	return ok && c.extra
}

// connTable caps clients' connections. A new one past the cap is still taken, since the machine has accepted
// it and a request on it would be lost: an idle one, the longest unused, makes room. Where none is idle, the
// new one's request is refused at once, and the connection closed.
type connTable struct {
	most int
	log  *slog.Logger
	mu   sync.Mutex
	open map[*clientConn]bool
	left bool
}

func newConnTable(most int, log *slog.Logger) *connTable {
	return &connTable{most: most, log: log, open: map[*clientConn]bool{}}
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
	if len(t.open) <= t.most {
		return cc
	}
	var oldest *clientConn
	for o := range t.open {
		if o.idle && (oldest == nil || o.since.Before(oldest.since)) {
			oldest = o
		}
	}
	if oldest == nil {
		cc.extra = true
		cc.end("CAP")
		return cc
	}
	oldest.end("CAP")
	oldest.idle = false
	oldest.Conn.Close()
	return cc
}

// state follows net/http's states, and logs one line when a connection ends.
func (t *connTable) state(c net.Conn, st http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	t.mu.Lock()
	cc.idle, cc.since = st == http.StateIdle, time.Now()
	gone := st == http.StateClosed || st == http.StateHijacked
	if gone {
		delete(t.open, cc)
	}
	left := t.left
	t.mu.Unlock()
	switch {
	case st == http.StateActive:
		cc.asked.Add(1)
	case gone:
		reason := "CLOSED_BY_US" // after an answer that says so, bad bytes, or a head that never came
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
