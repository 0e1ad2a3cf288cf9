//go:build review

package standin

import (
	"net"
	"syscall"
	"time"
)

// Link passes connections on to an address, with a delay each way, and returns the address at which it takes them.
func (c *Case) Link(to string, delay time.Duration) string {
	l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
	c.Must(err)
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			go pass(a, b, delay)
			go pass(b, a, delay)
		}
	}()
	return l.Addr().String()
}

// pass passes on what comes from one side to the other, each byte by the delay later, and then the end.
func pass(from, to net.Conn, delay time.Duration) {
	type part struct {
		due  time.Time
		data []byte // empty: the end
	}
	parts := make(chan part, 4096)
	go func() {
		for p := range parts {
			if time.Sleep(time.Until(p.due)); len(p.data) == 0 {
				to.Close()
				continue
			}
			_, _ = to.Write(p.data)
		}
	}()
	defer close(parts)
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			parts <- part{time.Now().Add(delay), append([]byte(nil), buf[:n]...)}
		}
		if err != nil {
			parts <- part{time.Now().Add(delay), nil}
			return
		}
	}
}

// Waiting reports whether bytes have arrived on a connection that were not read yet.
func Waiting(conn net.Conn) (waiting bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return waiting
}
