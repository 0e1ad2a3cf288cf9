package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/targetlist"
)

// fakeService is a fake discovery service whose list changes, with the faults that the operators' delivery requirements name.
type fakeService struct {
	*httptest.Server
	mu         sync.Mutex
	changed    chan struct{} // closed with the next change
	version    int
	indent     bool
	silent     bool // new and open calls are never answered
	alwaysFull bool // every answer is the full list, as after missed changes
	delay      time.Duration
	requests   chan string // the paths requested
}

func newFakeService(t *testing.T) *fakeService {
	s := &fakeService{changed: make(chan struct{}), version: 1, requests: make(chan string, 1024)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *fakeService) addr() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *fakeService) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// change publishes the next version; the only target alternates between draining and serving.
func (s *fakeService) change() {
	s.set(func() {
		s.version++
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests <- r.URL.String()
	s.mu.Lock()
	silent, delay, changed, version := s.silent, s.delay, s.changed, s.version
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if after == version {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent { // it fell silent while the call was open
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		return
	}
	state := []string{"SERVING", "DRAINING"}[s.version%2]
	body := listJSON(s.version, s.alwaysFull || after == 0 || s.version > after+1, strings.Replace(entryJSON, "SERVING", state, 1))
	if s.version == after {
		body = listJSON(s.version, false)
	}
	if s.indent {
		var v any
		_ = json.Unmarshal([]byte(body), &v)
		text, _ := json.MarshalIndent(v, "\t", "    ")
		body = "\n" + string(text) + "\n\n"
	}
	fmt.Fprint(w, body)
}

// TestDeliveryDeadlines checks the required time within which a change is delivered: 6 s after a watch fell silent, or 2 s after the end
// of a call's wait, whichever is later, at an agent and at a shared service; 4 s later after SIGHUP.
func TestDeliveryDeadlines(t *testing.T) {
	const maxDelay = 6 * time.Second
	for _, c := range []struct {
		name       string
		known      bool // there is a last known list at the start, so that the first call waits
		initiators int
		// inject causes the fault. The last change must be delivered within the time below after inject returns.
		inject func(s *fakeService, w *Watcher)
		within time.Duration
	}{
		{"at once", true, 0, func(s *fakeService, _ *Watcher) { s.change() }, time.Second},
		{"indented", true, 0, func(s *fakeService, _ *Watcher) { s.set(func() { s.indent = true }); s.change() }, time.Second},
		{"a watch at an agent falls silent", true, 0, func(s *fakeService, _ *Watcher) {
			s.set(func() { s.silent = true })
			s.change()
			s.set(func() { s.silent = false })
		}, maxDelay},
		{"a watch at a shared service falls silent", true, 4, func(s *fakeService, _ *Watcher) {
			s.set(func() { s.silent = true })
			s.change()
			s.set(func() { s.silent = false })
		}, maxDelay},
		{"the service is silent for 2 s", false, 0, func(s *fakeService, _ *Watcher) {
			s.set(func() { s.silent = true })
			s.change()
			time.Sleep(2 * time.Second)
			s.set(func() { s.silent = false })
		}, maxDelay - 2*time.Second},
		{"changes are missed and answers late", true, 0, func(s *fakeService, _ *Watcher) {
			s.set(func() { s.delay = 300 * time.Millisecond })
			s.change()
			s.change()
			s.change()
		}, 2 * time.Second},
		{"the full list in place of a change", true, 0, func(s *fakeService, _ *Watcher) { s.set(func() { s.alwaysFull = true }); s.change() }, time.Second},
		{"change during an outage", true, 0, func(s *fakeService, _ *Watcher) {
			s.set(func() { s.silent = true })
			s.change()
			time.Sleep(time.Second)
			s.change()
			s.set(func() { s.silent = false })
		}, maxDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newFakeService(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			delivered := make(chan int64, 64)
			opt := Options{Addr: s.addr(), Initiators: c.initiators, Seed: 7, Log: discardLog}
			if c.known {
				l, err := targetlist.Decode([]byte(listJSON(1, true, entryJSON)))
				require.NoError(t, err)
				opt.LastKnown = l
			}
			w := New(opt, func(l *targetlist.List) { delivered <- *l.Version })
			go w.Run(ctx)
			for range 1 + c.initiators/4 {
				<-s.requests // a watch is open
			}
			if !c.known {
				<-s.requests
			}
			c.inject(s, w)
			end := time.After(c.within)
			for {
				select {
				case v := <-delivered:
					if v == int64(s.version) {
						return
					}
				case <-end:
					t.Fatalf("version %d was not delivered within %v", s.version, c.within)
				}
			}
		})
	}
}

// TestAddressChangeFromSilentService changes the address while the old service does not answer a call, with or without a wait, or during
// the pause after a failed call: the new service's list is delivered well within the 4 s allowed after SIGHUP.
func TestAddressChangeFromSilentService(t *testing.T) {
	for _, c := range []struct {
		name  string
		known bool
		after time.Duration
	}{{"during a call with a wait", true, 100 * time.Millisecond}, {"during a call without a wait", false, 100 * time.Millisecond}, {"during the pause", true, 1550 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			oldService, newService := newFakeService(t), newFakeService(t)
			oldService.silent, newService.version = true, 9
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			delivered := make(chan int64, 64)
			opt := Options{Addr: oldService.addr(), Log: discardLog}
			if c.known {
				l, err := targetlist.Decode([]byte(listJSON(12, true, entryJSON))) // a higher version than the new service's
				require.NoError(t, err)
				opt.LastKnown = l
			}
			w := New(opt, func(l *targetlist.List) { delivered <- *l.Version })
			go w.Run(ctx)
			<-oldService.requests
			time.Sleep(c.after)
			w.SetAddr(newService.addr())
			end := time.After(3 * time.Second)
			for {
				select {
				case v := <-delivered:
					if v == 9 {
						require.Equal(t, "/api/targets", <-newService.requests)
						return
					}
				case <-end:
					t.Fatal("the new service's list was not delivered within 3 s")
				}
			}
		})
	}
}
