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

// TestIdleFill has idle clients take all the descriptors they can get while discovery is down, some of them silent, some in the middle
// of a head, some after a call: the second address answers all the while; once discovery is back, the list is there, the process is
// ready and a request is served while the crowd stays. That holds for what the settings grant, and where the machine grants less.
func TestIdleFill(t *testing.T) {
	for _, files := range []int{0, 160, 96, 64} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			r := New(t)
			targets := r.StartTargets(1, nil)
			down := r.StartLink("n", "discovery", targets.Discovery)
			down.Set(Impairment{Hold: true}, Impairment{Hold: true})
			n := r.StartInstance("n", InstanceOptions{Targets: &Targets{Discovery: down.Addr}, Peers: 1, MaxFiles: files}, 0)
			most := 256 // as Instance has it
			if files > 0 {
				most = files
			}
			ctx, stop := context.WithCancel(context.Background())
			var crowd sync.WaitGroup
			defer crowd.Wait()
			defer stop()
			for i := range 2 * most {
				crowd.Go(func() {
					for ctx.Err() == nil {
						c, err := net.Dial("tcp", n.Listen)
						if err != nil {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						gone := context.AfterFunc(ctx, func() { c.Close() })
						_, _ = io.WriteString(c, []string{"", "GET /position-read/7f", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"}[i%3])
						_, _ = io.Copy(io.Discard, c)
						c.Close()
						gone()
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
			// The crowd has what it gets, and goes on.
			filled := 0
			require.Eventually(t, func() bool {
				fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
				if len(fds) > filled {
					filled = len(fds)
					return false
				}
				return filled > most/4
			}, 20*time.Second, 300*time.Millisecond)
			for range 20 {
				require.Equal(t, 503, status("http://"+n.Control+"/v1/readyz"))
				fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
				require.NoError(t, err)
				require.Less(t, len(fds), most)
			}
			down.Heal()
			began := time.Now()
			require.Eventually(t, func() bool { return status("http://"+n.Control+"/v1/readyz") == 200 }, 10*time.Second, 10*time.Millisecond)
			t.Logf("%d descriptors taken, ready after %v", filled, time.Since(began))
			require.Eventually(t, func() bool { return status("http://"+n.Listen+"/-/ready") == 200 }, 10*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool {
				n.sendRequest(ctx, client, fmt.Sprint(time.Now().UnixNano()), 0)
				return n.Served.Load() > 0
			}, 10*time.Second, 10*time.Millisecond)
			require.NotContains(t, n.Log(), "too many open files")
		})
	}
}
