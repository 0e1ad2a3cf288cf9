// Package ports finds free loopback addresses for processes that must be given their listen address: in tests, fault
// runs and scale runs.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the kernel's ephemeral range. A port in that range, once closed, could be the local port of a
// connection by the time a process listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

// nextPort is the next port to try. Each port is returned once in a process, unless the range is used up.
var nextPort atomic.Int64

// Free returns n addresses on which nothing listens, by TCP or UDP.
func Free(n int) (addrs []string, err error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*131) // other processes search the same range
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
