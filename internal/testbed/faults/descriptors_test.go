package faults

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleClientsFillDescriptors guards against idle clients that exhaust the descriptors. While discovery is down, idle connections,
// some silent, some with half a request head and some after a request, fill all descriptors that they can get. The
// control address must answer all the while, and once discovery is back the process must get the list, become ready and
// serve a request while the idle clients stay. This must hold both for the limit in the settings and for a lower limit
// of the machine.
func TestIdleClientsFillDescriptors(t *testing.T) {
	for _, files := range []int{0, 160, 96, 64} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			r := New(t)
			targets := r.StartTargets(1, nil)
			discoveryLink := r.StartLink("n", "discovery", targets.Discovery)
			discoveryLink.Set(Impairment{Hold: true}, Impairment{Hold: true})
			n := r.StartInstance("n", InstanceOptions{Targets: &Targets{Discovery: discoveryLink.Addr}, Peers: 1, MaxFiles: files}, 0)
			most := 256 // the limit that StartInstance sets
			if files > 0 {
				most = files
			}
			ctx, stop := context.WithCancel(context.Background())
			var idleClients sync.WaitGroup
			defer idleClients.Wait()
			defer stop()
			for i := range 2 * most {
				idleClients.Go(func() {
					for ctx.Err() == nil {
						c, err := net.Dial("tcp", n.Listen)
						if err != nil {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						stopClose := context.AfterFunc(ctx, func() { c.Close() })
						_, _ = io.WriteString(c, []string{"", "GET /position-read/7f", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"}[i%3])
						_, _ = io.Copy(io.Discard, c)
						c.Close()
						stopClose()
					}
				})
			}
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			status := func(url string) int {
				resp, err := client.Get(url)
				if err != nil {
					return 0
				}
				resp.Body.Close()
				return resp.StatusCode
			}
			// The idle clients have taken all descriptors that they get, and keep trying.
			maxOpen := 0
			require.Eventually(t, func() bool {
				fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
				if len(fds) > maxOpen {
					maxOpen = len(fds)
					return false
				}
				return maxOpen > most/4
			}, 20*time.Second, 300*time.Millisecond)
			for range 20 {
				require.Equal(t, 503, status("http://"+n.Control+"/v1/readyz"))
				fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
				require.NoError(t, err)
				require.Less(t, len(fds), most)
			}
			discoveryLink.Heal()
			began := time.Now()
			require.Eventually(t, func() bool { return status("http://"+n.Control+"/v1/readyz") == 200 }, 10*time.Second, 10*time.Millisecond)
			t.Logf("%d descriptors in use, ready after %v", maxOpen, time.Since(began))
			require.Eventually(t, func() bool { return status("http://"+n.Listen+"/-/ready") == 200 }, 10*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool {
				n.sendRequest(ctx, client, fmt.Sprint(time.Now().UnixNano()), 0)
				return n.Served.Load() > 0
			}, 10*time.Second, 10*time.Millisecond)
			require.NotContains(t, n.Log(), "too many open files")
		})
	}
}
