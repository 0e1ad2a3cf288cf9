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

// What the one discovery service that all initiators ask costs, as docs/standing.md has met it.
const (
	callTakes  = 50 * time.Millisecond
	lineTakes  = 2300 * time.Microsecond
	patience   = 2 * time.Second        // a call that would wait longer for its turn fails
	goesOnFor  = 200 * time.Millisecond // a watch that is called again within that goes on, and is free until it has news
	mostWaited = time.Minute
)

var format = jsoniter.ConfigCompatibleWithStandardLibrary

// service is a stand-in for that service: it does one call at a time, also those that were given up.
type service struct {
	mu      sync.Mutex
	free    time.Time // when what came so far is done
	version int64
	entries []targetlist.Entry
	at      map[string]int       // of each target's entry
	since   []int64              // the version that brought each entry
	changed chan struct{}        // closed and renewed at each change
	last    map[string]time.Time // each connection's last answer
	took    int
	failed  int
	bytes   counted
	http    http.Server
	addr    string
}

// counted counts bytes.
type counted struct{ in, out atomic.Int64 }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	c *counted
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of all its connections.
type countedListener struct {
	net.Listener
	c *counted
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.c}, nil
}

func newService(entries []targetlist.Entry) (*service, error) {
	s := &service{version: 1, at: map[string]int{}, changed: make(chan struct{}), last: map[string]time.Time{}}
	for _, e := range entries {
		s.put(e)
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
			delete(s.last, c.RemoteAddr().String())
			s.mu.Unlock()
		}
	}
	go func() { _ = s.http.Serve(countedListener{l, &s.bytes}) }()
	return s, nil
}

// put takes an entry over. Its caller holds mu, but at the start.
func (s *service) put(e targetlist.Entry) {
	if i, there := s.at[e.ID]; there {
		s.entries[i], s.since[i] = e, s.version
		return
	}
	s.at[e.ID] = len(s.entries)
	s.entries, s.since = append(s.entries, e), append(s.since, s.version)
}

// change makes the next version and tells it, and when.
func (s *service) change(e ...targetlist.Entry) (uint64, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range e {
		s.put(e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return uint64(s.version), monotonic.Now()
}

// list is the whole list as it is now.
func (s *service) list() *targetlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.version
	return &targetlist.List{Version: &v, Full: true, Targets: append(targetlist.Entries(nil), s.entries...)}
}

// turn waits for a call's turn and until it is done.
func (s *service) turn(cost time.Duration) bool {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	if wait > patience {
		s.failed++
		s.mu.Unlock()
		time.Sleep(patience)
		return false
	}
	s.took++
	s.free = s.free.Add(cost)
	s.mu.Unlock()
	time.Sleep(wait + cost)
	return true
}

// news is what came after a version. Its caller holds mu.
func (s *service) news(after int64) (l []targetlist.Entry) {
	for i, v := range s.since {
		if v > after {
			l = append(l, s.entries[i])
		}
	}
	return l
}

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.mu.Lock()
	changed, version := s.changed, s.version
	goesOn := !whole && time.Since(s.last[r.RemoteAddr]) < goesOnFor
	lines := len(s.entries)
	if !whole {
		lines = len(s.news(after))
	}
	s.mu.Unlock()
	cost := func(lines int) time.Duration { return callTakes + time.Duration(lines)*lineTakes }
	if !(goesOn && after == version) && !s.turn(cost(lines)) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if !whole && after == version {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			if !s.turn(cost(1)) {
				http.Error(w, "busy", http.StatusServiceUnavailable)
				return
			}
		case <-time.After(min(time.Duration(wait)*time.Millisecond, mostWaited)):
		}
	}
	s.mu.Lock()
	answer := targetlist.List{Version: new(int64), Full: whole, Targets: s.entries}
	*answer.Version = s.version
	if !whole {
		answer.Targets = s.news(after)
	}
	text, err := format.Marshal(answer)
	s.last[r.RemoteAddr] = time.Now()
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
}

func (s *service) close() { s.http.Close() }
