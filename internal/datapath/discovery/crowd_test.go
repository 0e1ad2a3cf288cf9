package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/testbed/virtualtime"
)

// lines is how long the stand-in's whole list is; its changes have one.
const lines = 60

// inTurn is a stand-in for the one service that a crowd asks, in a bubble's time. It takes calls in turn and goes on with those given up;
// one that has waited too long fails and costs nothing. A watch that goes on is free until it has news.
type inTurn struct {
	net.Listener
	conns    chan net.Conn
	work     time.Duration // of a call
	line     time.Duration // of a line of its answer
	patience time.Duration
	refusal  time.Duration // what a call costs that comes to a full queue, which is then refused at once; 0: it waits in vain, and costs nothing
	mu       sync.Mutex
	free     time.Time // when what came so far is done
	version  int
	changed  chan struct{}        // closed with the next change
	cut      chan struct{}        // closed when what is open falls silent
	down     bool                 // what comes now is never answered
	last     map[string]time.Time // each watcher's last answer
	took     int                  // calls in their turn
	failed   int
}

func newInTurn(patience time.Duration) *inTurn {
	return &inTurn{conns: make(chan net.Conn), work: 50 * time.Millisecond, line: 2300 * time.Microsecond, patience: patience,
		version: 5, changed: make(chan struct{}), cut: make(chan struct{}), last: map[string]time.Time{}}
}

func (s *inTurn) serve(h http.Handler) {
	server := http.Server{Handler: h, ErrorLog: slog.NewLogLogger(quiet.Handler(), 0)}
	go func() { _ = server.Serve(s) }()
}

func (s *inTurn) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *inTurn) Close() error   { return nil }
func (s *inTurn) Addr() net.Addr { return from("") }

// from is whose connection it is.
type from string

func (f from) Network() string { return "pipe" }
func (f from) String() string  { return string(f) }

type named struct {
	net.Conn
	from
}

func (n named) RemoteAddr() net.Addr { return n.from }

// dial is a watcher's way to it.
func (s *inTurn) dial(name string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		s.conns <- named{theirs, from(name)}
		return ours, nil
	}
}

// turn waits for a call's turn and until it is done.
func (s *inTurn) turn(cost time.Duration) bool {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	if wait > s.patience {
		s.failed++
		s.free = s.free.Add(s.refusal)
		s.mu.Unlock()
		if s.refusal == 0 {
			time.Sleep(s.patience)
		}
		return false
	}
	s.took++
	s.free = s.free.Add(cost)
	s.mu.Unlock()
	time.Sleep(wait + cost)
	return true
}

func (s *inTurn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.mu.Lock()
	cut, changed, version := s.cut, s.changed, s.version
	goesOn := time.Since(s.last[r.RemoteAddr]) < 200*time.Millisecond
	if s.down {
		cut = make(chan struct{})
		close(cut)
	}
	s.mu.Unlock()
	select {
	case <-cut:
		<-r.Context().Done()
		return
	default:
	}
	cost := s.work + s.line
	if after == 0 {
		cost = s.work + lines*s.line
	}
	if !(goesOn && after == version) && !s.turn(cost) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if after == version {
		select {
		case <-cut:
			<-r.Context().Done()
			return
		case <-changed:
			s.turn(cost)
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[r.RemoteAddr] = time.Now()
	switch {
	case after == 0:
		fmt.Fprint(w, list(s.version, true, one))
	case after == s.version:
		fmt.Fprint(w, list(s.version, false))
	default:
		fmt.Fprint(w, list(s.version, false, one))
	}
}

// change makes the next version. Where all watches fall silent, they do first.
func (s *inTurn) change(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		close(s.cut)
		s.cut = make(chan struct{})
	}
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// crowd has so many watchers ask one service and tells how long after play ended each had what that left, in order.
func crowd(t *testing.T, n int, known bool, s *inTurn, starts time.Duration, play func()) []time.Duration {
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var since time.Time
	var told []time.Duration
	var all sync.WaitGroup
	run := func(i int) {
		opt := Options{Addr: "all", Initiators: n, Seed: uint64(i), Log: quiet}
		if known {
			l, err := listing.Decode([]byte(list(5, true, one)))
			require.NoError(t, err)
			opt.LastKnown = l
		}
		w := New(opt, func(l *listing.List) {
			mu.Lock()
			defer mu.Unlock()
			if *l.Version == 6 {
				told = append(told, time.Since(since))
			}
		})
		w.call.Transport.(*http.Transport).DialContext = s.dial(fmt.Sprint(i))
		all.Go(func() { w.Run(ctx) })
	}
	if starts == 0 { // in the play's end
		play()
		since = time.Now()
	}
	for i := range n {
		run(i)
	}
	if starts > 0 {
		time.Sleep(starts)
		play()
		mu.Lock()
		since = time.Now()
		mu.Unlock()
	}
	for range 120 {
		mu.Lock()
		done := len(told) == n
		mu.Unlock()
		if done {
			break
		}
		time.Sleep(time.Second)
	}
	stop()
	all.Wait()
	time.Sleep(time.Minute) // the service has done what is left
	close(s.conns)
	slices.Sort(told)
	require.Len(t, told, n, "each is told once")
	return told
}

// TestCrowd measures in virtual time how long a crowd takes to hear of a change from one service, where all watches fall silent
// together, and where all start together. The service does twenty calls a second.
func TestCrowd(t *testing.T) {
	const within, opened = 6 * time.Second, 30 * time.Second
	for _, c := range []struct {
		name     string
		n        int
		known    bool
		patience time.Duration
		starts   time.Duration // before the play
		play     func(s *inTurn)
		ninety   time.Duration // by which nine in ten have it
		last     time.Duration
	}{
		{"silent, 4", 4, true, 2 * time.Second, opened, func(s *inTurn) { s.change(true) }, within, within},
		{"silent, 20", 20, true, 2 * time.Second, opened, func(s *inTurn) { s.change(true) }, within, within},
		{"silent, 80", 80, true, 2 * time.Second, opened, func(s *inTurn) { s.change(true) }, within, within},
		{"silent, 100", 100, true, 2 * time.Second, opened, func(s *inTurn) { s.change(true) }, 6500 * time.Millisecond, 9 * time.Second},
		{"silent, 300", 300, true, 2 * time.Second, opened, func(s *inTurn) { s.change(true) }, 15500 * time.Millisecond, 20 * time.Second},
		{"silent, 300, patience 5 s", 300, true, 5 * time.Second, opened, func(s *inTurn) { s.change(true) }, 20 * time.Second, 25 * time.Second},
		{"silent, 300, patience of a minute", 300, true, time.Minute, 2 * opened, func(s *inTurn) { s.change(true) }, 15500 * time.Millisecond, 18 * time.Second},
		{"silent, 300, refused at once", 300, true, 2 * time.Second, opened, func(s *inTurn) { s.change(true) }, 17 * time.Second, 20 * time.Second},
		{"210 start together", 210, true, 2 * time.Second, 0, func(s *inTurn) { s.change(false) }, 10500 * time.Millisecond, 14 * time.Second},
		{"210 start together, patience 5 s", 210, true, 5 * time.Second, 0, func(s *inTurn) { s.change(false) }, 14 * time.Second, 17 * time.Second},
		{"210 start together with nothing known", 210, false, 2 * time.Second, 0, func(s *inTurn) { s.change(false) }, 2 * time.Minute, 2 * time.Minute},
		{"210 start 8 s before it comes back", 210, true, 2 * time.Second, 8 * time.Second, func(s *inTurn) { s.change(false); s.mu.Lock(); s.down = false; s.mu.Unlock() }, 11500 * time.Millisecond, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				s := newInTurn(c.patience)
				if strings.HasSuffix(c.name, "refused at once") {
					s.refusal = 2 * time.Millisecond
				}
				s.serve(s)
				s.down = c.starts == 8*time.Second
				var took, failed int
				told := crowd(t, c.n, c.known, s, c.starts, func() {
					c.play(s)
					s.mu.Lock()
					defer s.mu.Unlock()
					took, failed = s.took, s.failed
				})
				t.Logf("first %.1f s, half %.1f s, nine in ten %.1f s, last %.1f s; %d calls in turn, %d failed", told[0].Seconds(),
					told[c.n/2].Seconds(), told[c.n*9/10].Seconds(), told[c.n-1].Seconds(), s.took-took, s.failed-failed)
				require.LessOrEqual(t, told[c.n*9/10], c.ninety)
				require.LessOrEqual(t, told[c.n-1], c.last)
			})
		})
	}
}
