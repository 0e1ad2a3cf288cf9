// Package listen opens the program's listeners, bound by itself or inherited from the process that started it, and closes
// connections without losing what was written to them.
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

// FromDescriptor returns a listener for the inherited descriptor with that number. The descriptor itself is closed: the
// listener has a duplicate.
func FromDescriptor(number string) (net.Listener, error) {
	fd, err := strconv.ParseUint(number, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("%s: %q is not a descriptor number", config.SocketFDEnv, number)
	}
	if listening, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is no socket: %w", config.SocketFDEnv, fd, err)
	} else if listening == 0 {
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

// Bind listens at a TCP address. With reusePort, a predecessor may still listen there, and a successor may bind it later.
func Bind(ctx context.Context, addr string, reusePort bool) (net.Listener, error) {
	var lc net.ListenConfig
	if reusePort {
		lc.Control = setReusePort
	}
	return lc.Listen(ctx, "tcp", addr)
}

// setReusePort sets SO_REUSEPORT before the socket is bound.
func setReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// HasPending reports whether connections wait to be accepted.
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
