package distribution

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener is a listener that has so many connections at a time: others are closed at once, and their readers look elsewhere.
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

type countedConn struct {
	net.Conn
	open      *atomic.Int64
	closeOnce sync.Once
}

func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
