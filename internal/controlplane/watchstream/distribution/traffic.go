package distribution

import (
	"context"
	"net"
	"sync/atomic"
)

// trafficMeter counts the bytes of connections in each direction.
type trafficMeter struct{ in, out atomic.Uint64 }

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// wrapDial returns a dialFunc whose connections count their bytes in m.
func (m *trafficMeter) wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &meteredConn{c, m}, nil
	}
}

// meteredConn is a connection that counts its bytes in m.
type meteredConn struct {
	net.Conn
	m *trafficMeter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(uint64(n))
	return n, err
}
