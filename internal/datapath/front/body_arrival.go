package front

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes is how much of a body the client's machine may hold unsent, by the usual bound of a socket's send buffer.
const maxUnsentBytes = 4 << 20

// bodyArrival estimates since when the client may have written the last byte of a body that is forwarded piece by piece. From then on its
// timeout runs, although the byte may still be in a kernel's buffer, since no more is read from a client than its target takes. The
// estimate is never late by more than the time between two reads, and early only if the client is still writing.
type bodyArrival struct {
	conn   *clientConn
	length int64 // -1: unknown
	since  time.Time
}

// mayBeWholeSince returns the estimate, given how much of the body was read: the last byte was not written before bytes came for which a
// read had to wait, nor while more is missing than the two machines can hold.
func (a *bodyArrival) mayBeWholeSince(received int64) time.Time {
	waitedAt, unread := a.conn.readState()
	if waitedAt.After(a.since) {
		a.since = waitedAt
	}
	if a.length >= 0 && a.length-received > unread+maxUnsentBytes {
		a.since = time.Now()
	}
	return a.since
}

// readState returns when bytes last came for which a Read had to wait, and how many have arrived that were not read.
func (c *clientConn) readState() (waitedAt time.Time, unread int64) {
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
				unread = int64(n)
			}
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitedAt, unread + int64(len(c.aheadBuf))
}
