// Package ports finds addresses of the loopback for processes that are told where to listen: in tests, fault runs and scale runs.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// They are below those that the kernel gives to whoever names none: one of these, once let go, may be a connection's by the time a process
// listens there.
const (
	firstPort = 10_000
	portCount = 20_000
)

// next is the next port to try: each is given out once.
var nextPort atomic.Int64

// Free returns so many addresses that nobody listens at, by TCP or UDP.
func Free(n int) (addrs []string, err error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*131) // other processes look as well
	for range portCount {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := fmt.Sprint("127.0.0.1:", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		if u, err := net.ListenPacket("udp", addr); err == nil {
			u.Close()
			addrs = append(addrs, addr)
		}
	}
	return nil, errors.New("no free ports")
}
