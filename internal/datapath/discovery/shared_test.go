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

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/testbed/virtualtime"
)

// fullListLines is the length of the fake service's full list; its changes have one line.
const fullListLines = 60

// sharedService is a fake discovery service in virtual time that many initiators share. It processes calls one by one, cancelled ones
// too. A call that would wait longer than maxWait fails, by default at no cost. The wait of a continued watch costs nothing until a change.
type sharedService struct {
	net.Listener
	conns       chan net.Conn
	callCost    time.Duration // to process a call
	lineCost    time.Duration // in addition, for each line of its answer
	maxWait     time.Duration
	rejectCost  time.Duration // cost of rejecting a call at once when the queue is full; 0: the call fails after maxWait, at no cost
	mu          sync.Mutex
	freeAt      time.Time // when the queued calls are done
	version     int
	changed     chan struct{}        // closed with the next change
	silenced    chan struct{}        // closed when the open calls fall silent
	down        bool                 // new calls are never answered
	lastAnswer  map[string]time.Time // by watcher
	servedCalls int
	failedCalls int
}

func newSharedService(maxWait time.Duration) *sharedService {
	return &sharedService{conns: make(chan net.Conn), callCost: 50 * time.Millisecond, lineCost: 2300 * time.Microsecond, maxWait: maxWait,
		version: 5, changed: make(chan struct{}), silenced: make(chan struct{}), lastAnswer: map[string]time.Time{}}
}

func (s *sharedService) serve(h http.Handler) {
	server := http.Server{Handler: h, ErrorLog: slog.NewLogLogger(discardLog.Handler(), 0)}
	go func() { _ = server.Serve(s) }()
}

func (s *sharedService) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *sharedService) Close() error   { return nil }
func (s *sharedService) Addr() net.Addr { return watcherName("") }

// watcherName is the address of a watcher's connection.
type watcherName string

func (f watcherName) Network() string { return "pipe" }
func (f watcherName) String() string  { return string(f) }

// namedConn is a connection whose remote address is its watcher's name.
type namedConn struct {
	net.Conn
	watcherName
}

func (n namedConn) RemoteAddr() net.Addr { return n.watcherName }

// dial returns a dial function for the watcher of that name.
func (s *sharedService) dial(name string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		s.conns <- namedConn{serverConn, watcherName(name)}
		return clientConn, nil
	}
}

// process waits until the calls ahead and this one are processed. It returns false if the call fails.
func (s *sharedService) process(cost time.Duration) bool {
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	wait := s.freeAt.Sub(now)
	if wait > s.maxWait {
		s.failedCalls++
		s.freeAt = s.freeAt.Add(s.rejectCost)
		s.mu.Unlock()
		if s.rejectCost == 0 {
			time.Sleep(s.maxWait)
		}
		return false
	}
	s.servedCalls++
	s.freeAt = s.freeAt.Add(cost)
	s.mu.Unlock()
	time.Sleep(wait + cost)
	return true
}

func (s *sharedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.mu.Lock()
	silenced, changed, version := s.silenced, s.changed, s.version
	continues := time.Since(s.lastAnswer[r.RemoteAddr]) < 200*time.Millisecond
	if s.down {
		silenced = make(chan struct{})
		close(silenced)
	}
	s.mu.Unlock()
	select {
	case <-silenced:
		<-r.Context().Done()
		return
	default:
	}
	cost := s.callCost + s.lineCost
	if after == 0 {
		cost = s.callCost + fullListLines*s.lineCost
	}
	if !(continues && after == version) && !s.process(cost) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if after == version {
		select {
		case <-silenced:
			<-r.Context().Done()
			return
		case <-changed:
			s.process(cost)
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer[r.RemoteAddr] = time.Now()
	switch {
	case after == 0:
		fmt.Fprint(w, listJSON(s.version, true, entryJSON))
	case after == s.version:
		fmt.Fprint(w, listJSON(s.version, false))
	default:
		fmt.Fprint(w, listJSON(s.version, false, entryJSON))
	}
}

// change publishes the next version. With silence all open calls fall silent first.
func (s *sharedService) change(silence bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silence {
		close(s.silenced)
		s.silenced = make(chan struct{})
	}
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// deliveryTimes runs n watchers of one service and returns, sorted, how long after the end of event each had version 6. The watchers
// start eventAfter before event, or with 0 after it.
func deliveryTimes(t *testing.T, n int, known bool, s *sharedService, eventAfter time.Duration, event func()) []time.Duration {
	ctx, stop := context.WithCancel(context.Background())
	var timesMu sync.Mutex
	var eventEnd time.Time
	var times []time.Duration
	var watchers sync.WaitGroup
	run := func(i int) {
		opt := Options{Addr: "all", Initiators: n, Seed: uint64(i), Log: discardLog}
		if known {
			l, err := targetlist.Decode([]byte(listJSON(5, true, entryJSON)))
			require.NoError(t, err)
			opt.LastKnown = l
		}
		w := New(opt, func(l *targetlist.List) {
			timesMu.Lock()
			defer timesMu.Unlock()
			if *l.Version == 6 {
				times = append(times, time.Since(eventEnd))
			}
		})
		w.client.Transport.(*http.Transport).DialContext = s.dial(fmt.Sprint(i))
		watchers.Go(func() { w.Run(ctx) })
	}
	if eventAfter == 0 { // the watchers start after the event
		event()
		eventEnd = time.Now()
	}
	for i := range n {
		run(i)
	}
	if eventAfter > 0 {
		time.Sleep(eventAfter)
		event()
		timesMu.Lock()
		eventEnd = time.Now()
		timesMu.Unlock()
	}
	for range 120 {
		timesMu.Lock()
		done := len(times) == n
		timesMu.Unlock()
		if done {
			break
		}
		time.Sleep(time.Second)
	}
	stop()
	watchers.Wait()
	time.Sleep(time.Minute) // for the service to process the remaining calls
	close(s.conns)
	slices.Sort(times)
	require.Len(t, times, n, "each watcher delivers the change once")
	return times
}

// TestSharedServiceDeliveryTimes measures in virtual time how long a change takes to reach all initiators of one service, when all
// watches fall silent together and when all initiators start together. The service processes twenty calls a second.
func TestSharedServiceDeliveryTimes(t *testing.T) {
	const within, opened = 6 * time.Second, 30 * time.Second
	for _, c := range []struct {
		name       string
		n          int
		known      bool
		maxWait    time.Duration
		eventAfter time.Duration // watchers start, so long before the event
		event      func(s *sharedService)
		p90Max     time.Duration // by which 90 % have the change
		lastMax    time.Duration // by which all have it
	}{
		{"silent, 4", 4, true, 2 * time.Second, opened, func(s *sharedService) { s.change(true) }, within, within},
		{"silent, 20", 20, true, 2 * time.Second, opened, func(s *sharedService) { s.change(true) }, within, within},
		{"silent, 80", 80, true, 2 * time.Second, opened, func(s *sharedService) { s.change(true) }, within, within},
		{"silent, 100", 100, true, 2 * time.Second, opened, func(s *sharedService) { s.change(true) }, 6500 * time.Millisecond, 9 * time.Second},
		{"silent, 300", 300, true, 2 * time.Second, opened, func(s *sharedService) { s.change(true) }, 15500 * time.Millisecond, 20 * time.Second},
		{"silent, 300, calls wait up to 5 s", 300, true, 5 * time.Second, opened, func(s *sharedService) { s.change(true) }, 20 * time.Second, 25 * time.Second},
		{"silent, 300, calls wait up to a minute", 300, true, time.Minute, 2 * opened, func(s *sharedService) { s.change(true) }, 15500 * time.Millisecond, 18 * time.Second},
		{"silent, 300, rejected at once", 300, true, 2 * time.Second, opened, func(s *sharedService) { s.change(true) }, 17 * time.Second, 20 * time.Second},
		{"210 start together", 210, true, 2 * time.Second, 0, func(s *sharedService) { s.change(false) }, 10500 * time.Millisecond, 14 * time.Second},
		{"210 start together, calls wait up to 5 s", 210, true, 5 * time.Second, 0, func(s *sharedService) { s.change(false) }, 14 * time.Second, 17 * time.Second},
		{"210 start together without a last known list", 210, false, 2 * time.Second, 0, func(s *sharedService) { s.change(false) }, 2 * time.Minute, 2 * time.Minute},
		{"210 start 8 s before it comes back", 210, true, 2 * time.Second, 8 * time.Second, func(s *sharedService) { s.change(false); s.mu.Lock(); s.down = false; s.mu.Unlock() }, 11500 * time.Millisecond, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				s := newSharedService(c.maxWait)
				if strings.HasSuffix(c.name, "rejected at once") {
					s.rejectCost = 2 * time.Millisecond
				}
				s.serve(s)
				s.down = c.eventAfter == 8*time.Second
				var servedBefore, failedBefore int
				times := deliveryTimes(t, c.n, c.known, s, c.eventAfter, func() {
					c.event(s)
					s.mu.Lock()
					defer s.mu.Unlock()
					servedBefore, failedBefore = s.servedCalls, s.failedCalls
				})
				t.Logf("first %.1f s, 50 %% %.1f s, 90 %% %.1f s, last %.1f s; %d calls served, %d failed", times[0].Seconds(),
					times[c.n/2].Seconds(), times[c.n*9/10].Seconds(), times[c.n-1].Seconds(), s.servedCalls-servedBefore, s.failedCalls-failedBefore)
				require.LessOrEqual(t, times[c.n*9/10], c.p90Max)
				require.LessOrEqual(t, times[c.n-1], c.lastMax)
			})
		})
	}
}
