package run

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/monotonic"
)

// Cost model of the discovery service shared by all initiators, from docs/standing.md.
const (
	callCost      = 50 * time.Millisecond
	entryCost     = 2300 * time.Microsecond
	maxQueueWait  = 2 * time.Second        // a call that would be queued for longer fails after this time
	renewalWindow = 200 * time.Millisecond // a watch that is renewed within this time costs nothing until there is a change
	maxWatch      = time.Minute            // bounds the wait_ms that a watch may ask for
)

var jsonFormat = jsoniter.ConfigCompatibleWithStandardLibrary

// discoveryService is a stand-in for that service. It processes one call at a time, including calls that the client gave up. mu guards all fields from busyUntil
// to failed.
type discoveryService struct {
	mu            sync.Mutex
	busyUntil     time.Time // when all calls queued so far are done
	version       int64
	entries       []targetlist.Entry
	index         map[string]int       // of each target in entries
	entryVersions []int64              // the version in which each entry last changed
	changed       chan struct{}        // closed and replaced at each change
	lastAnswers   map[string]time.Time // time of the last answer on each connection
	accepted      int
	failed        int
	traffic       byteCounter
	http          http.Server
	addr          string
}

// byteCounter counts the bytes of a set of connections.
type byteCounter struct{ in, out atomic.Int64 }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.counter}, nil
}

func newDiscoveryService(entries []targetlist.Entry) (*discoveryService, error) {
	s := &discoveryService{version: 1, index: map[string]int{}, changed: make(chan struct{}), lastAnswers: map[string]time.Time{}}
	for _, e := range entries {
		s.setEntry(e)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.http.Handler = http.HandlerFunc(s.serve)
	s.http.ConnState = func(c net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			s.mu.Lock()
			delete(s.lastAnswers, c.RemoteAddr().String())
			s.mu.Unlock()
		}
	}
	go func() { _ = s.http.Serve(countingListener{l, &s.traffic}) }()
	return s, nil
}

// setEntry adds or replaces an entry. The caller must hold mu, except before the service is started.
func (s *discoveryService) setEntry(e targetlist.Entry) {
	if i, found := s.index[e.ID]; found {
		s.entries[i], s.entryVersions[i] = e, s.version
		return
	}
	s.index[e.ID] = len(s.entries)
	s.entries, s.entryVersions = append(s.entries, e), append(s.entryVersions, s.version)
}

// publish makes the next version from changed entries, and returns it with the time.
func (s *discoveryService) publish(e ...targetlist.Entry) (uint64, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range e {
		s.setEntry(e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return uint64(s.version), monotonic.Now()
}

// list returns the current full list.
func (s *discoveryService) list() *targetlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.version
	return &targetlist.List{Version: &v, Full: true, Targets: append(targetlist.Entries(nil), s.entries...)}
}

// awaitTurn queues a call and returns when it is done, or returns false if the queue is too long.
func (s *discoveryService) awaitTurn(cost time.Duration) bool {
	s.mu.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	wait := s.busyUntil.Sub(now)
	if wait > maxQueueWait {
		s.failed++
		s.mu.Unlock()
		time.Sleep(maxQueueWait)
		return false
	}
	s.accepted++
	s.busyUntil = s.busyUntil.Add(cost)
	s.mu.Unlock()
	time.Sleep(wait + cost)
	return true
}

// changedSince returns the entries that changed after a version. The caller must hold mu.
func (s *discoveryService) changedSince(after int64) (l []targetlist.Entry) {
	for i, v := range s.entryVersions {
		if v > after {
			l = append(l, s.entries[i])
		}
	}
	return l
}

func (s *discoveryService) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.mu.Lock()
	changed, version := s.changed, s.version
	renewed := !full && time.Since(s.lastAnswers[r.RemoteAddr]) < renewalWindow
	entryCount := len(s.entries)
	if !full {
		entryCount = len(s.changedSince(after))
	}
	s.mu.Unlock()
	cost := func(lines int) time.Duration { return callCost + time.Duration(lines)*entryCost }
	if !(renewed && after == version) && !s.awaitTurn(cost(entryCount)) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if !full && after == version {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			if !s.awaitTurn(cost(1)) {
				http.Error(w, "busy", http.StatusServiceUnavailable)
				return
			}
		case <-time.After(min(time.Duration(wait)*time.Millisecond, maxWatch)):
		}
	}
	s.mu.Lock()
	answer := targetlist.List{Version: new(int64), Full: full, Targets: s.entries}
	*answer.Version = s.version
	if !full {
		answer.Targets = s.changedSince(after)
	}
	text, err := jsonFormat.Marshal(answer)
	s.lastAnswers[r.RemoteAddr] = time.Now()
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
}

func (s *discoveryService) close() { s.http.Close() }
