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

	"spindlehitch"
	"spindlehitch/internal/discovery"
	"spindlehitch/internal/listing"
)

func request(id string, volume int) spindlehitch.Request {
	return spindlehitch.Request{ID: id, Class: "read", Plan: "base", Volume: fmt.Sprintf("%016x", volume), Units: 1, Initiators: 1, Budget: 2 * time.Second}
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
	go srv.Serve(s.counted)
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
	w.Write(text(version, version-after, false))
}

func (s *service) change() {
	s.mu.Lock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// watching is so many watchers of one service, all of which know its list.
func watching(ctx context.Context, s *service, n int, told func()) func() {
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	version := int64(1)
	for i := range n {
		w := discovery.New(discovery.Options{Addr: s.Addr().String(), Known: &listing.List{Version: &version}, Seed: uint64(i + 1), Log: slog.New(slog.DiscardHandler)},
			func(*listing.List) { told() })
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

func edgeProbes() []Probe {
	return []Probe{{
		About: "internal/discovery: watchers of one service that answers at once, over loopback, both ends in one process: 4 s without a change, then 20 changes of one entry; HTTP's bytes, without TCP's",
		Gives: []Gives{{Name: "discovery.calls", Unit: "calls/s", Of: "watches without a change", Per: "initiator"},
			{Name: "discovery.wire", Unit: "B/s", Of: "watches without a change, both ways", Per: "initiator"},
			{Name: "discovery.cpu", Unit: "us/s", Of: "watches without a change, both ends", Per: "initiator"},
			{Name: "discovery.change.wire", Unit: "B", Of: "a change of one entry, told to all, both ways", Per: "initiator"},
			{Name: "discovery.change.cpu", Unit: "us", Of: "a change of one entry, told to all, both ends", Per: "initiator"},
			{Name: "discovery.connections", Unit: "connections", Of: "watches", Per: "initiator"}},
		Sizes: []float64{25, 50, 100, 200, 400}, Short: []float64{4, 8, 16, 32},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			s, end, err := newService()
			if err != nil {
				return nil, err
			}
			defer end()
			var told atomic.Int64
			stop := watching(ctx, s, size, func() { told.Add(1) })
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
		}}}
}
