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

// turns is the list's one service for all initiators: calls in turn, 50 ms each, those given up too. One that would wait for over 2 s fails.
type slowDiscovery struct {
	mu       sync.Mutex
	nextFree time.Time
	down     bool // silent
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

// TestStarts kills twelve processes at once among 120 that start together and ask one service: those that know a list are ready without it, also
// where the service is down; of the others nine in ten within 10 s, though it needs 6 s for all.
func TestStarts(t *testing.T) { //nolint:gocognit // one scenario, told in order
	const procs, all, within = 12, 120, 10 * time.Second
	for _, c := range []struct {
		name, known string
		down        time.Duration // for how long before the service is back
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
				r.WaitFor("first ready", ready(addr))
			}
			for _, p := range members {
				p.Kill()
			}
			s.mu.Lock()
			s.down = c.down > 0
			s.mu.Unlock()
			back := time.AfterFunc(c.down, func() {
				s.mu.Lock()
				s.down = false
				s.mu.Unlock()
				for range all - procs { // the others, each until it is answered
					go func() {
						for !s.waitTurn() {
							time.Sleep(time.Duration(rand.Int64N(int64(4 * time.Second)))) // as these do
						}
					}()
				}
			})
			defer back.Stop()
			began := time.Now()
			took := make([]time.Duration, procs)
			var wait sync.WaitGroup
			for i, p := range members {
				p.Restart()
				wait.Go(func() {
					for again := ready(addrs[i]); !again(); time.Sleep(20 * time.Millisecond) {
						if took[i] = time.Since(began); took[i] > time.Minute {
							return
						}
					}
					took[i] = time.Since(began)
				})
			}
			wait.Wait()
			slices.Sort(took)
			t.Logf("ready after %.1f s, half %.1f s, last %.1f s", took[0].Seconds(), took[procs/2].Seconds(), took[procs-1].Seconds())
			most := within
			if c.known == "" {
				most += c.down
			}
			require.Less(t, took[procs*9/10], most)
		})
	}
}
