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
	// drainRate is the rate of DrainAndClose in bytes a second.
	drainRate = 4 << 20
	// minDiscardPause is how long Discard sleeps at least.
	minDiscardPause = 2 * time.Millisecond
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
	Discard(c, maxDrainBytes, func() int64 { return drainRate })
	return c.Close()
}

// Discard reads and discards until an error, or until there were most bytes, at no more than rate bytes a second: a peer that sends all that it
// can would otherwise take the processor from others. The rate may change meanwhile.
func Discard(r io.Reader, most int64, rate func() int64) {
	buffer := make([]byte, 4<<10)
	due := time.Now()
	for n := int64(0); n < most; {
		k, err := r.Read(buffer[:min(int64(len(buffer)), most-n)])
		if err != nil {
			return
		}
		n += int64(k)
		due = due.Add(time.Duration(int64(k) * int64(time.Second) / rate()))
		if ahead := time.Until(due); ahead > minDiscardPause {
			time.Sleep(ahead)
		}
	}
}
