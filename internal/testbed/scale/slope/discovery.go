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

func policyRequest(id string, volume int) policy.Request {
	return policy.Request{ID: id, Class: "read", Plan: "base", Volume: fmt.Sprintf("%016x", volume), Units: 1, VolumeInitiators: 1, TimeLeft: 2 * time.Second}
}

// pushDiscovery is a discovery service that answers a call at once if there is a change, and otherwise at the next change or after the call's wait_ms. mu guards
// version and changed, which is closed and replaced at each change.
type pushDiscovery struct {
	countingListener
	calls   atomic.Int64
	mu      sync.Mutex
	version int
	changed chan struct{}
}

func newPushDiscovery() (*pushDiscovery, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &pushDiscovery{countingListener: newCountingListener(l), version: 1, changed: make(chan struct{})}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(s.countingListener) }()
	return s, func() { srv.Close() }, nil
}

// ServeHTTP implements http.Handler. Each change is one entry.
func (s *pushDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	_, _ = w.Write(listJSON(version, version-after, false))
}

func (s *pushDiscovery) bumpVersion() {
	s.mu.Lock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// startWatchers starts n watchers of one service that have its list already, and returns a function that stops them.
func startWatchers(ctx context.Context, at net.Addr, initiators, n int, onList func(*targetlist.List)) func() {
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	version := int64(1)
	for i := range n {
		w := discovery.New(discovery.Options{Addr: at.String(), LastKnown: &targetlist.List{Version: &version}, Initiators: initiators, Seed: uint64(i + 1),
			Log: slog.New(slog.DiscardHandler)}, onList)
		all.Go(func() { w.Run(ctx) })
	}
	return func() { stop(); all.Wait() }
}

// waitUntil polls until a condition holds, for a minute at most.
func waitUntil(ctx context.Context, what string, done func() bool) error {
	ctx, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("timed out waiting for " + what)
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

const idlePeriod = 4 * time.Second

// Cost model of a discovery service that all initiators share, from docs/standing.md.
const (
	callCost     = 50 * time.Millisecond
	entryCost    = 2300 * time.Microsecond
	maxQueueWait = 2 * time.Second // a call that would be queued for longer fails after this time
)

// serialDiscovery is a discovery service with that cost model: it processes calls one after another, but renewing a watch costs nothing until there is a change. mu, of
// pushDiscovery, also guards its fields.
type serialDiscovery struct {
	pushDiscovery
	busyUntil   time.Time // when all calls queued so far are done
	lastAnswers map[string]time.Time
	silenced    chan struct{} // closed and replaced when the open watches go silent
}

func newSerialDiscovery() (*serialDiscovery, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &serialDiscovery{pushDiscovery: pushDiscovery{countingListener: newCountingListener(l), version: 1, changed: make(chan struct{})}, lastAnswers: map[string]time.Time{}, silenced: make(chan struct{})}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(s.countingListener) }()
	return s, func() { srv.Close() }, nil
}

// awaitTurn queues a call and returns when it is done, or returns false if the queue is too long.
func (s *serialDiscovery) awaitTurn(entries int) bool {
	s.mu.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	wait, cost := s.busyUntil.Sub(now), callCost+time.Duration(entries)*entryCost
	if wait > maxQueueWait {
		s.mu.Unlock()
		time.Sleep(maxQueueWait)
		return false
	}
	s.busyUntil = s.busyUntil.Add(cost)
	s.mu.Unlock()
	time.Sleep(wait + cost)
	return true
}

// ServeHTTP implements http.Handler.
func (s *serialDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	s.mu.Lock()
	version, changed, silenced := s.version, s.changed, s.silenced
	renewed := after == version && time.Since(s.lastAnswers[r.RemoteAddr]) < 200*time.Millisecond
	s.mu.Unlock()
	ok := renewed || s.awaitTurn(version-after)
	if ok && after == version {
		select {
		case <-changed:
			version++
			ok = s.awaitTurn(1)
		case <-silenced:
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
	s.lastAnswers[r.RemoteAddr] = time.Now()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(listJSON(version, version-after, false))
}

// silenceWatches makes a change and has all open watches go silent without being told of it.
func (s *serialDiscovery) silenceWatches() {
	s.mu.Lock()
	s.version++
	close(s.silenced)
	s.silenced, s.changed = make(chan struct{}), make(chan struct{})
	s.mu.Unlock()
}

func discoveryProbes() []Probe { //nolint:gocognit // to be split with its package, see docs/left.md
	return []Probe{{
		Description: "internal/datapath/discovery: watchers of one service that answers at once, over loopback, both ends in one process: 4 s without a change, then 20 changes of one entry; HTTP's bytes, without TCP's",
		Metrics: []Metric{{Name: "discovery.calls", Unit: "calls/s", Subject: "watches without a change", Per: "initiator"},
			{Name: "discovery.wire", Unit: "B/s", Subject: "watches without a change, both ways", Per: "initiator", Exact: true},
			{Name: "discovery.cpu", Unit: "us/s", Subject: "watches without a change, both ends", Per: "initiator", Noisy: true},
			{Name: "discovery.change.wire", Unit: "B", Subject: "a change of one entry, told to all, both ways", Per: "initiator", Exact: true},
			{Name: "discovery.change.cpu", Unit: "us", Subject: "a change of one entry, told to all, both ends", Per: "initiator", Noisy: true},
			{Name: "discovery.connections", Unit: "connections", Subject: "watches", Per: "initiator", Exact: true}},
		Sizes: []float64{25, 50, 100, 200, 400}, ShortSizes: []float64{4, 8, 16, 32}, Concurrent: true,
		Run: func(ctx context.Context, size int) ([]float64, error) {
			s, end, err := newPushDiscovery()
			if err != nil {
				return nil, err
			}
			defer end()
			var notified atomic.Int64
			stop := startWatchers(ctx, s.Addr(), 0, size, func(*targetlist.List) { notified.Add(1) })
			defer stop()
			if err := waitUntil(ctx, "a list at all watchers", func() bool { return notified.Load() >= int64(size) && s.calls.Load() >= int64(size) }); err != nil {
				return nil, err
			}
			select { // start in the middle of a watch, so that a whole number of them is counted
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			calls, wire, used, began := s.calls.Load(), s.totalBytes(), cpuTime(), time.Now()
			select {
			case <-time.After(idlePeriod):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			seconds := time.Since(began).Seconds()
			costs := []float64{float64(s.calls.Load()-calls) / seconds, float64(s.totalBytes()-wire) / seconds, float64((cpuTime() - used).Microseconds()) / seconds}
			const changes = 20
			wire, used = s.totalBytes(), cpuTime()
			for range changes {
				before := notified.Load()
				s.bumpVersion()
				if err := waitUntil(ctx, "a change at all watchers", func() bool { return notified.Load() >= before+int64(size) }); err != nil {
					return nil, err
				}
			}
			return append(costs, float64(s.totalBytes()-wire)/changes, float64((cpuTime()-used).Microseconds())/changes, float64(s.conns.Load())), nil
		},
	}, {
		Description: "internal/datapath/discovery: watchers of one service that all share, 50 ms for a call and 2.3 ms for a line as docs/standing.md has it: until the last has a change; and with all watches fallen silent",
		Metrics: []Metric{{Name: "discovery.told", Unit: "s", Subject: "a change told to all, the last of them", Per: "initiator", Noisy: true},
			{Name: "discovery.silent", Unit: "s", Subject: "a change told to all whose watches fell silent, the last of them", Per: "initiator", Noisy: true}},
		Sizes: []float64{15, 30, 60, 120, 240}, ShortSizes: []float64{2, 4, 6, 8},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			s, end, err := newSerialDiscovery()
			if err != nil {
				return nil, err
			}
			defer end()
			var notified atomic.Int64
			stop := startWatchers(ctx, s.Addr(), size, size, func(l *targetlist.List) {
				if *l.Version > 1 { // the first call is for the list that it started with
					notified.Add(1)
				}
			})
			defer stop()
			// All watch once each connection was answered recently and no call is queued.
			if err := waitUntil(ctx, "a watch from each watcher", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				recent := 0
				for _, at := range s.lastAnswers {
					if time.Since(at) < 1100*time.Millisecond {
						recent++
					}
				}
				return recent >= size && time.Now().After(s.busyUntil)
			}); err != nil {
				return nil, err
			}
			began := time.Now()
			s.bumpVersion()
			if err := waitUntil(ctx, "a change at all watchers", func() bool { return notified.Load() >= int64(size) }); err != nil {
				return nil, err
			}
			propagation := time.Since(began).Seconds()
			if err := sleep(ctx, 2*time.Second); err != nil {
				return nil, err
			}
			began = time.Now()
			s.silenceWatches()
			if err := waitUntil(ctx, "a change at all watchers after their watches went silent", func() bool { return notified.Load() >= 2*int64(size) }); err != nil {
				return nil, err
			}
			return []float64{propagation, time.Since(began).Seconds()}, nil
		}}}
}
