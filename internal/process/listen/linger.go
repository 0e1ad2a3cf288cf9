package listen

import (
	"crypto/tls"
	"io"
	"net"
	"time"
)

const (
	// lingerFor and lingerMost bound how long a connection that was shut is still read.
	lingerFor  = 500 * time.Millisecond
	lingerMost = 64 << 20
)

// Shut ends a connection's sending side: what was written before reaches the peer, and then its end does.
func CloseWrite(c net.Conn) error {
	if t, ok := c.(*tls.Conn); ok {
		_ = t.CloseWrite()
		c = t.NetConn()
	}
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// Linger closes a connection that was shut, once the peer's end is seen or it has had its time. A close over unread bytes would reset
// it, and take from the peer what it has not read yet. Nobody else may go by what is read.
func DrainAndClose(c net.Conn) error {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	c.SetReadDeadline(time.Now().Add(lingerFor))
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{io.LimitReader(c, lingerMost)}, make([]byte, 2<<10))
	return c.Close()
}
