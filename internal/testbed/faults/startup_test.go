package faults

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowDiscovery is a discovery service that handles calls one at a time in 50 ms each, also calls that were given up. A
// call that would wait for over 2 s fails. mu guards nextFree and down.
type slowDiscovery struct {
	mu       sync.Mutex
	nextFree time.Time
	down     bool // it does not respond
}

func (s *slowDiscovery) waitTurn() bool {
	const most = 2 * time.Second
	s.mu.Lock()
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	wait := s.nextFree.Sub(now)
	if wait <= most {
		s.nextFree = s.nextFree.Add(50 * time.Millisecond)
	}
	s.mu.Unlock()
	time.Sleep(min(wait, most))
	return wait <= most
}

func (s *slowDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		<-r.Context().Done()
	case !s.waitTurn():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		fmt.Fprint(w, `{"version":6,"full":true,"servers":[{"id":"t","addr":"127.0.0.1:1","cell":0,"state":"SERVING"}]}`)
	}
}

// TestStarts guards against slow starts after a common outage: of 120 processes that start at once at one slow
// discovery service, twelve are real. Those with a known list are ready without the service, even while it is down; of
// the others nine in ten are ready within 10 s, though the service needs 6 s for all.
func TestStarts(t *testing.T) { //nolint:gocognit // one sequential scenario
	const procs, all, within = 12, 120, 10 * time.Second
	for _, c := range []struct {
		name, known string
		down        time.Duration // time until the service is back
	}{
		{"known", `"known":{"version":5,"full":true,"servers":[{"id":"t","addr":"127.0.0.1:1","cell":0,"state":"SERVING"}]},`, time.Hour},
		{"nothing known", "", 0},
		{"nothing known, into an outage", "", 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(t)
			s := &slowDiscovery{}
			server := httptest.NewServer(s)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			ready := func(addr string) func() bool {
				return func() bool {
					resp, err := http.Get("http://" + addr + "/-/ready")
					if err == nil {
						resp.Body.Close()
					}
					return err == nil && resp.StatusCode == http.StatusOK
				}
			}
			addrs := FreeAddrs(t, procs)
			var members []*Proc
			for i, addr := range addrs {
				file := r.WriteFile(fmt.Sprintf("%d.json", i), fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,%s"settings":{"peersTotal":%d,"tickUs":2000,
					"registryMode":"on_request","classes":[{"name":"read","promiseUs":100000,"deadlineUs":500000,"effect":"pure","worth":3}],
					"contracts":[{"name":"base","usualRate":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}}`,
					i, addr, strings.TrimPrefix(server.URL, "http://"), c.known, all))
				members = append(members, r.Start(fmt.Sprint("n", i), []string{"PROXY_CONFIG=" + file}, "serve"))
			}
			for _, addr := range addrs {
				r.WaitFor("the process to be ready for the first time", ready(addr))
			}
			for _, p := range members {
				p.Kill()
			}
			s.mu.Lock()
			s.down = c.down > 0
			s.mu.Unlock()
			recovery := time.AfterFunc(c.down, func() {
				s.mu.Lock()
				s.down = false
				s.mu.Unlock()
				for range all - procs { // the other processes, each until it gets the list
					go func() {
						for !s.waitTurn() {
							time.Sleep(time.Duration(rand.Int64N(int64(4 * time.Second)))) // the same backoff as the real processes
						}
					}()
				}
			})
			defer recovery.Stop()
			began := time.Now()
			took := make([]time.Duration, procs)
			var wait sync.WaitGroup
			for i, p := range members {
				p.Restart()
				wait.Go(func() {
					for isReady := ready(addrs[i]); !isReady(); time.Sleep(20 * time.Millisecond) {
						if took[i] = time.Since(began); took[i] > time.Minute {
							return
						}
					}
					took[i] = time.Since(began)
				})
			}
			wait.Wait()
			slices.Sort(took)
			t.Logf("first ready after %.1f s, half after %.1f s, last after %.1f s", took[0].Seconds(), took[procs/2].Seconds(), took[procs-1].Seconds())
			limit := within
			if c.known == "" {
				limit += c.down
			}
			require.Less(t, took[procs*9/10], limit)
		})
	}
}
