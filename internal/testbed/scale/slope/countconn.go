package slope

import (
	"net"
	"sync/atomic"
)

// countingListener counts its connections and the bytes that they transfer.
type countingListener struct {
	net.Listener
	in, out, conns *atomic.Int64
}

func newCountingListener(l net.Listener) countingListener {
	return countingListener{l, new(atomic.Int64), new(atomic.Int64), new(atomic.Int64)}
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.Add(1)
	return countingConn{c, l}, nil
}

type countingConn struct {
	net.Conn
	listener countingListener
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.out.Add(int64(n))
	return n, err
}

// totalBytes returns the bytes transferred so far, both ways.
func (l countingListener) totalBytes() int64 { return l.in.Load() + l.out.Load() }
