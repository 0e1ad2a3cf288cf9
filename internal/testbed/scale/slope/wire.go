package slope

import (
	"net"
	"sync/atomic"
)

// counted counts what passes over the connections that a listener takes.
type counted struct {
	net.Listener
	in, out, conns *atomic.Int64
}

func count(l net.Listener) counted {
	return counted{l, new(atomic.Int64), new(atomic.Int64), new(atomic.Int64)}
}

// Accept implements net.Listener.
func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.Add(1)
	return countedConn{c, l}, nil
}

type countedConn struct {
	net.Conn
	of counted
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.out.Add(int64(n))
	return n, err
}

// wire is all bytes so far, both ways.
func (l counted) wire() int64 { return l.in.Load() + l.out.Load() }
