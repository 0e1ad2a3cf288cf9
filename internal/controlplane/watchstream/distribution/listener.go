package distribution

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener limits the connections that are open at a time to max. Connections beyond it are closed
// at once, and their readers call another relay.
type limitedListener struct {
	net.Listener
	open *atomic.Int64
	max  int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, open: l.open}, nil
		}
		l.open.Add(-1)
		c.Close()
	}
}

// countedConn is an accepted connection that is counted in open until it is closed.
type countedConn struct {
	net.Conn
	open      *atomic.Int64
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
