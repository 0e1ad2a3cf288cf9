package ports

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFree checks that each address is returned once, is free, and is outside the kernel's ephemeral range.
func TestFree(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	var from, to int
	_, err = fmt.Sscan(string(text), &from, &to)
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 20 {
		addrs, err := Free(5)
		require.NoError(t, err)
		require.Len(t, addrs, 5)
		for _, a := range addrs {
			require.False(t, seen[a], a)
			seen[a] = true
			l, err := net.Listen("tcp", a)
			require.NoError(t, err)
			defer l.Close()
			require.Less(t, l.Addr().(*net.TCPAddr).Port, from)
		}
	}
}
