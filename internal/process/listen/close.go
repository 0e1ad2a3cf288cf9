package listen

import (
	"crypto/tls"
	"io"
	"net"
	"time"
)

const (
	// drainTimeout and maxDrainBytes bound how long, and how many bytes, DrainAndClose reads.
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 64 << 20
)

// CloseWrite closes a connection for writing: the peer receives what was written before, and then the end of the stream.
func CloseWrite(c net.Conn) error {
	if t, ok := c.(*tls.Conn); ok {
		_ = t.CloseWrite()
		c = t.NetConn()
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// DrainAndClose closes a connection after CloseWrite, once the peer has closed its side or drainTimeout has passed. Until then it reads
// and discards: closing a connection with unread bytes would reset it, and the peer would lose what it has not read yet. No other
// goroutine may read from the connection.
func DrainAndClose(c net.Conn) error {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{io.LimitReader(c, maxDrainBytes)}, make([]byte, 2<<10))
	return c.Close()
}
