package slope

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/discovery"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
)

func request(id string, volume int) policy.Request {
	return policy.Request{ID: id, Class: "read", Plan: "base", Volume: fmt.Sprintf("%016x", volume), Units: 1, VolumeInitiators: 1, TimeLeft: 2 * time.Second}
}

// service is a discovery that pushes: a call waits for a change, or as long as it said.
type service struct {
	counted
	calls   atomic.Int64
	mu      sync.Mutex
	version int
	changed chan struct{}
}

func newService() (*service, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &service{counted: count(l), version: 1, changed: make(chan struct{})}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(s.counted) }()
	return s, func() { srv.Close() }, nil
}

// ServeHTTP implements http.Handler. A change is one entry.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	q := r.URL.Query()
	after, err := strconv.Atoi(q.Get("after"))
	s.mu.Lock()
	version, changed := s.version, s.changed
	s.mu.Unlock()
	if err == nil && after == version {
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		select {
		case <-changed:
			version++
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text(version, version-after, false))
}

func (s *service) change() {
	s.mu.Lock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// watching is so many watchers of one service, all of which know its list.
func watching(ctx context.Context, at net.Addr, crowd, n int, told func(*targetlist.List)) func() {
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	version := int64(1)
	for i := range n {
		w := discovery.New(discovery.Options{Addr: at.String(), LastKnown: &targetlist.List{Version: &version}, Initiators: crowd, Seed: uint64(i + 1),
			Log: slog.New(slog.DiscardHandler)}, told)
		all.Go(func() { w.Run(ctx) })
	}
	return func() { stop(); all.Wait() }
}

// until waits until a condition holds, within a long bound.
func until(ctx context.Context, what string, done func() bool) error {
	ctx, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New(what + " never came to be")
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

const idleFor = 4 * time.Second

// What a discovery takes that all initiators share, for a call and for each line that it writes: docs/standing.md.
const (
	turnWork = 50 * time.Millisecond
	turnLine = 2300 * time.Microsecond
	patience = 2 * time.Second // a call that would wait longer for its turn fails then
)

// shared is such a discovery: it answers calls in turn, but a watch that goes on is free until it has news.
type shared struct {
	service
	free time.Time // when what came so far is done
	last map[string]time.Time
	cut  chan struct{} // closed when what is open falls silent
}

func newShared() (*shared, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &shared{service: service{counted: count(l), version: 1, changed: make(chan struct{})}, last: map[string]time.Time{}, cut: make(chan struct{})}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(s.counted) }()
	return s, func() { srv.Close() }, nil
}

// turn waits for a call's turn and until it is done.
func (s *shared) turn(lines int) bool {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	wait, cost := s.free.Sub(now), turnWork+time.Duration(lines)*turnLine
	if wait > patience {
		s.mu.Unlock()
		time.Sleep(patience)
		return false
	}
	s.free = s.free.Add(cost)
	s.mu.Unlock()
	time.Sleep(wait + cost)
	return true
}

// ServeHTTP implements http.Handler.
func (s *shared) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.mu.Lock()
	version, changed, cut := s.version, s.changed, s.cut
	goesOn := after == version && time.Since(s.last[r.RemoteAddr]) < 200*time.Millisecond
	s.mu.Unlock()
	ok := goesOn || s.turn(version-after)
	if ok && after == version {
		select {
		case <-changed:
			version++
			ok = s.turn(1)
		case <-cut:
			<-r.Context().Done()
			return
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.last[r.RemoteAddr] = time.Now()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text(version, version-after, false))
}

// silence has all that is open fall silent, with a change that nobody was told.
func (s *shared) silence() {
	s.mu.Lock()
	s.version++
	close(s.cut)
	s.cut, s.changed = make(chan struct{}), make(chan struct{})
	s.mu.Unlock()
}

func edgeProbes() []Probe { //nolint:gocognit // to be split with its package, see docs/left.md
	return []Probe{{
		About: "internal/datapath/discovery: watchers of one service that answers at once, over loopback, both ends in one process: 4 s without a change, then 20 changes of one entry; HTTP's bytes, without TCP's",
		Gives: []Gives{{Name: "discovery.calls", Unit: "calls/s", Of: "watches without a change", Per: "initiator"},
			{Name: "discovery.wire", Unit: "B/s", Of: "watches without a change, both ways", Per: "initiator", Exact: true},
			{Name: "discovery.cpu", Unit: "us/s", Of: "watches without a change, both ends", Per: "initiator", Rough: true},
			{Name: "discovery.change.wire", Unit: "B", Of: "a change of one entry, told to all, both ways", Per: "initiator", Exact: true},
			{Name: "discovery.change.cpu", Unit: "us", Of: "a change of one entry, told to all, both ends", Per: "initiator", Rough: true},
			{Name: "discovery.connections", Unit: "connections", Of: "watches", Per: "initiator", Exact: true}},
		Sizes: []float64{25, 50, 100, 200, 400}, Short: []float64{4, 8, 16, 32}, Beside: true,
		Run: func(ctx context.Context, size int) ([]float64, error) {
			s, end, err := newService()
			if err != nil {
				return nil, err
			}
			defer end()
			var told atomic.Int64
			stop := watching(ctx, s.Addr(), 0, size, func(*targetlist.List) { told.Add(1) })
			defer stop()
			if err := until(ctx, "a list known to all", func() bool { return told.Load() >= int64(size) && s.calls.Load() >= int64(size) }); err != nil {
				return nil, err
			}
			select { // from the middle of a watch: a whole number of them passes
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			calls, wire, used, began := s.calls.Load(), s.wire(), cpu(), time.Now()
			select {
			case <-time.After(idleFor):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			lasted := time.Since(began).Seconds()
			costs := []float64{float64(s.calls.Load()-calls) / lasted, float64(s.wire()-wire) / lasted, float64((cpu() - used).Microseconds()) / lasted}
			const changes = 20
			wire, used = s.wire(), cpu()
			for range changes {
				before := told.Load()
				s.change()
				if err := until(ctx, "a change known to all", func() bool { return told.Load() >= before+int64(size) }); err != nil {
					return nil, err
				}
			}
			return append(costs, float64(s.wire()-wire)/changes, float64((cpu()-used).Microseconds())/changes, float64(s.conns.Load())), nil
		},
	}, {
		About: "internal/datapath/discovery: watchers of one service that all share, 50 ms for a call and 2.3 ms for a line as docs/standing.md has it: until the last has a change; and with all watches fallen silent",
		Gives: []Gives{{Name: "discovery.told", Unit: "s", Of: "a change told to all, the last of them", Per: "initiator", Rough: true},
			{Name: "discovery.silent", Unit: "s", Of: "a change told to all whose watches fell silent, the last of them", Per: "initiator", Rough: true}},
		Sizes: []float64{15, 30, 60, 120, 240}, Short: []float64{2, 4, 6, 8},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			s, end, err := newShared()
			if err != nil {
				return nil, err
			}
			defer end()
			var known atomic.Int64
			stop := watching(ctx, s.Addr(), size, size, func(l *targetlist.List) {
				if *l.Version > 1 { // the first is the one known before
					known.Add(1)
				}
			})
			defer stop()
			// All are watching once each has been answered lately, and nobody waits for a turn.
			if err := until(ctx, "a watch of each", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				lately := 0
				for _, at := range s.last {
					if time.Since(at) < 1100*time.Millisecond {
						lately++
					}
				}
				return lately >= size && time.Now().After(s.free)
			}); err != nil {
				return nil, err
			}
			began := time.Now()
			s.change()
			if err := until(ctx, "a change known to all", func() bool { return known.Load() >= int64(size) }); err != nil {
				return nil, err
			}
			told := time.Since(began).Seconds()
			if err := pause(ctx, 2*time.Second); err != nil {
				return nil, err
			}
			began = time.Now()
			s.silence()
			if err := until(ctx, "a change known to all after a silence", func() bool { return known.Load() >= 2*int64(size) }); err != nil {
				return nil, err
			}
			return []float64{told, time.Since(began).Seconds()}, nil
		}}}
}
