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

	"spindlehitch/internal/datapath/listing"
)

// service is a stand-in for discovery, with a list that changes and faults of the operators' terms.
type service struct {
	*httptest.Server
	mu      sync.Mutex
	changed chan struct{} // closed with the next change
	version int
	indent  bool
	mute    bool // calls that come now are never answered
	whole   bool // every answer is the whole list: changes in between were missed
	late    time.Duration
	asked   chan string
}

func newService(t *testing.T) *service {
	s := &service{changed: make(chan struct{}), version: 1, asked: make(chan string, 1024)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *service) addr() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *service) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// change makes the next version, in which the one target drains or serves in turn.
func (s *service) change() {
	s.set(func() {
		s.version++
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.asked <- r.URL.String()
	s.mu.Lock()
	mute, late, changed, version := s.mute, s.late, s.changed, s.version
	s.mu.Unlock()
	if mute {
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
	time.Sleep(late)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mute { // it fell silent with the call open
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		return
	}
	state := []string{"SERVING", "DRAINING"}[s.version%2]
	body := list(s.version, s.whole || after == 0 || s.version > after+1, strings.Replace(one, "SERVING", state, 1))
	if s.version == after {
		body = list(s.version, false)
	}
	if s.indent {
		var v any
		_ = json.Unmarshal([]byte(body), &v)
		text, _ := json.MarshalIndent(v, "\t", "    ")
		body = "\n" + string(text) + "\n\n"
	}
	fmt.Fprint(w, body)
}

// TestToldInTime holds the watcher against the terms on when a change counts as told: 6 s after a watch fell silent, or 2 s after the
// wait of a call that may wait, whichever is later, whether lists are pushed or asked for; 4 s later after SIGHUP.
func TestToldInTime(t *testing.T) {
	const silence = 6 * time.Second
	for _, c := range []struct {
		name  string
		known bool // the list as last had is there at the start: the first call waits
		crowd int
		// play brings the fault; what the service changes last must be told within the time after play returns.
		play   func(s *service, w *Watcher)
		within time.Duration
	}{
		{"at once", true, 0, func(s *service, _ *Watcher) { s.change() }, time.Second},
		{"indented", true, 0, func(s *service, _ *Watcher) { s.set(func() { s.indent = true }); s.change() }, time.Second},
		{"a pushed watch falls silent", true, 0, func(s *service, _ *Watcher) {
			s.set(func() { s.mute = true })
			s.change()
			s.set(func() { s.mute = false })
		}, silence},
		{"a watch asked for falls silent", true, 4, func(s *service, _ *Watcher) {
			s.set(func() { s.mute = true })
			s.change()
			s.set(func() { s.mute = false })
		}, silence},
		{"it falls silent and stays so for 2 s", false, 0, func(s *service, _ *Watcher) {
			s.set(func() { s.mute = true })
			s.change()
			time.Sleep(2 * time.Second)
			s.set(func() { s.mute = false })
		}, silence - 2*time.Second},
		{"a change missed and the next told late", true, 0, func(s *service, _ *Watcher) {
			s.set(func() { s.late = 300 * time.Millisecond })
			s.change()
			s.change()
			s.change()
		}, 2 * time.Second},
		{"the whole list in place of a change", true, 0, func(s *service, _ *Watcher) { s.set(func() { s.whole = true }); s.change() }, time.Second},
		{"changed in an outage", true, 0, func(s *service, _ *Watcher) {
			s.set(func() { s.mute = true })
			s.change()
			time.Sleep(time.Second)
			s.change()
			s.set(func() { s.mute = false })
		}, silence},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newService(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			told := make(chan int64, 64)
			opt := Options{Addr: s.addr(), Initiators: c.crowd, Seed: 7, Log: quiet}
			if c.known {
				l, err := listing.Decode([]byte(list(1, true, one)))
				require.NoError(t, err)
				opt.LastKnown = l
			}
			w := New(opt, func(l *listing.List) { told <- *l.Version })
			go w.Run(ctx)
			for range 1 + c.crowd/4 {
				<-s.asked // a watch is open
			}
			if !c.known {
				<-s.asked
			}
			c.play(s, w)
			end := time.After(c.within)
			for {
				select {
				case v := <-told:
					if v == int64(s.version) {
						return
					}
				case <-end:
					t.Fatalf("version %d was not told within %v", s.version, c.within)
				}
			}
		})
	}
}

// TestMoveOutOfSilence has discovery move while the old address says nothing, to a call that waits or that does not, and in the
// middle of the pause after one that failed: what the new address has is told well within the 4 s that SIGHUP gives.
func TestMoveOutOfSilence(t *testing.T) {
	for _, c := range []struct {
		name  string
		known bool
		after time.Duration
	}{{"in a call that waits", true, 100 * time.Millisecond}, {"in a call that does not", false, 100 * time.Millisecond}, {"in the pause", true, 1550 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			old, next := newService(t), newService(t)
			old.mute, next.version = true, 9
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			told := make(chan int64, 64)
			opt := Options{Addr: old.addr(), Log: quiet}
			if c.known {
				l, err := listing.Decode([]byte(list(12, true, one))) // newer than the new address has
				require.NoError(t, err)
				opt.LastKnown = l
			}
			w := New(opt, func(l *listing.List) { told <- *l.Version })
			go w.Run(ctx)
			<-old.asked
			time.Sleep(c.after)
			w.SetAddr(next.addr())
			end := time.After(3 * time.Second)
			for {
				select {
				case v := <-told:
					if v == 9 {
						require.Equal(t, "/api/targets", <-next.asked)
						return
					}
				case <-end:
					t.Fatal("what the new address has was not told within 3 s")
				}
			}
		})
	}
}
