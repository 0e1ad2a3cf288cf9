package distribution

import (
	"context"
	"net"
	"sync/atomic"
)

// trafficMeter counts the bytes of connections, both ways.
type trafficMeter struct{ in, out atomic.Uint64 }

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// wrapDial has connections counted.
func (m *trafficMeter) wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &meteredConn{c, m}, nil
	}
}

type meteredConn struct {
	net.Conn
	m *trafficMeter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(uint64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(uint64(n))
	return n, err
}
