// Package listen opens the listeners of the program: bound here, or inherited from whoever started it.
package listen

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"

	"spindlehitch/internal/process/config"
)

// Inherited is the listener at the descriptor of that number. The descriptor itself is closed: the listener has one of its
// own.
func FromDescriptor(number string) (net.Listener, error) {
	fd, err := strconv.ParseUint(number, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("%s: %q is not a number of a descriptor", config.SocketFDEnv, number)
	}
	if on, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is no socket: %w", config.SocketFDEnv, fd, err)
	} else if on == 0 {
		return nil, fmt.Errorf("%s: descriptor %d is a socket that does not listen", config.SocketFDEnv, fd)
	}
	f := os.NewFile(uintptr(fd), config.SocketFDEnv)
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", config.SocketFDEnv, fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("%s: descriptor %d listens for %s, not for TCP", config.SocketFDEnv, fd, l.Addr().Network())
	}
	return l, nil
}

// Bound listens at an address. Where it is shared, a predecessor may still listen there, and a successor may come.
func Bind(ctx context.Context, addr string, shared bool) (net.Listener, error) {
	var lc net.ListenConfig
	if shared {
		lc.Control = share
	}
	return lc.Listen(ctx, "tcp", addr)
}

func share(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); e != nil {
		return e
	}
	return err
}

// Waiting tells whether connections wait to be accepted.
func HasPending(l net.Listener) bool {
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return err == nil && n > 0
}
