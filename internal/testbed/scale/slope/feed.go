package slope

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/monotonic"
)

const ours = "fleet"

// origin is a store of the feed that readers are served from, as a relay has it.
type origin struct {
	mu      sync.Mutex
	store   *watchstream.Store
	source  *watchstream.Source
	changed chan struct{}
}

// newOrigin has so many targets and a shared layer of the usual size. Readers are let in as they come: how fast is the settings', not a cost.
func newOrigin(targets int) (*origin, error) {
	o := &origin{store: watchstream.NewStore(ours, watchstream.Limits{}), changed: make(chan struct{})}
	o.source = watchstream.NewSource(o.store, watchstream.SourceOptions{AdmitRate: 1e6, AdmitBurst: 1e6, MaxReaders: 1 << 14}, 1)
	puts := []watchstream.Put{layer(0)}
	for i := range targets {
		if puts = append(puts, entry(i, "SERVING")); len(puts) == 1000 || i == targets-1 {
			if _, err := o.store.Apply(watchstream.Change{Fleet: ours, Epoch: "e", Puts: puts}); err != nil {
				return nil, err
			}
			puts = nil
		}
	}
	return o, nil
}

func entry(i int, state string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Targets, Key: target(i), Value: json.RawMessage(line(i, state))}
}

// layer is a shared layer of configuration of the usual size.
func layer(n int) watchstream.Put {
	head := fmt.Sprintf(`{"n":%d,"settings":"`, n)
	text := make([]byte, 0, usual)
	text = append(text, head...)
	for i := 0; len(text) < usual-2; i++ { // no run of one letter, which packing would make nothing of
		text = append(text, target((i+n)*7919)...)
	}
	return watchstream.Put{Kind: watchstream.Config, Key: "shared", Value: json.RawMessage(string(text[:usual-2]) + `"}`)}
}

// WithSource implements distribution.Origin.
func (o *origin) WithSource(f func(time.Duration, *watchstream.Source)) (<-chan struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	o.source.MarkFresh(now)
	f(now, o.source)
	return o.changed, true
}

func (o *origin) put(p ...watchstream.Put) (version uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version, err = o.store.Apply(watchstream.Change{Fleet: ours, Epoch: "e", Puts: p})
	close(o.changed)
	o.changed = make(chan struct{})
	return version, err
}

// reading is so many readers of one relay.
type reading struct {
	*origin
	counted
	has  []atomic.Uint64 // the version that each has
	stop func()
}

func newReading(ctx context.Context, targets, readers int) (*reading, error) {
	o, err := newOrigin(targets)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &reading{origin: o, counted: count(l), has: make([]atomic.Uint64, readers)}
	server := distribution.NewServer(o, readers+64)
	mux := http.NewServeMux()
	server.Routes(mux)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(r.counted) }()
	ctx, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	r.stop = func() { end(); server.Stop(); all.Wait(); srv.Close() }
	for i := range readers {
		f, err := distribution.NewFollower(distribution.FollowerOptions{Fleet: ours, Name: instance(i), Region: "r", Zone: "z", Relays: []watchstream.Relay{{ID: "relay", Region: "r", Addr: l.Addr().String()}},
			OnChange: func(c distribution.Update) error {
				r.has[i].Store(c.Position.Min())
				return nil
			}})
		if err != nil {
			r.stop()
			return nil, err
		}
		all.Go(func() { f.Run(ctx) })
	}
	return r, r.all(ctx, o.store.Head())
}

// all waits until all readers have a version.
func (r *reading) all(ctx context.Context, version uint64) error {
	return until(ctx, "a version at all readers", func() bool {
		for i := range r.has {
			if r.has[i].Load() < version {
				return false
			}
		}
		return true
	})
}

func feedProbes() []Probe {
	return []Probe{{
		About: "internal/controlplane/watchstream/distribution: readers of one relay over loopback, both ends in one process, 200 targets: 4 s without a change; 10 changes of one target; 10 of a shared layer of 2,000 bytes; 20 of it a second for 3 s",
		Gives: []Gives{{Name: "feed.poll.wire", Unit: "B/s", Of: "polls without a change, both ways", Per: "reader", Exact: true},
			{Name: "feed.poll.cpu", Unit: "us/s", Of: "polls without a change, both ends", Per: "reader", Rough: true},
			{Name: "feed.change.wire", Unit: "B", Of: "a change of one target, told to all, both ways", Per: "reader", Exact: true},
			{Name: "feed.change.cpu", Unit: "us", Of: "a change of one target, told to all, both ends", Per: "reader", Rough: true},
			{Name: "feed.told", Unit: "s", Of: "a change told to all readers of a relay, the last of them", Per: "reader", Rough: true},
			{Name: "feed.layer.wire", Unit: "B", Of: "a change of a shared layer of 2,000 bytes, told to all, both ways", Per: "reader", Exact: true},
			{Name: "feed.burst.wire", Unit: "B/s", Of: "20 changes a second of that layer, both ways", Per: "reader", Rough: true},
			{Name: "feed.connections", Unit: "connections", Of: "polls", Per: "reader", Exact: true}},
		Sizes: []float64{25, 50, 100, 200, 400}, Short: []float64{4, 8, 16, 32}, Beside: true,
		Run: readers,
	}, {
		About: "internal/controlplane/watchstream: an initiator's replica of so many targets, read from a copy; how long a reader that has nothing is brought up at 10 KB/s, in virtual time",
		Gives: []Gives{{Name: "feed.replica.memory", Unit: "B", Of: "a reader's replica", Per: "target", Exact: true},
			{Name: "feed.whole.time", Unit: "s", Of: "a reader brought up from nothing", Per: "target", Exact: true},
			{Name: "feed.whole.wire", Unit: "B", Of: "the polls of that, packed", Per: "target", Exact: true}},
		Sizes: []float64{5000, 8000, 12_000, 16_000, 20_000}, Short: []float64{5000, 6000, 7000, 8000},
		Run: func(_ context.Context, size int) ([]float64, error) {
			o, err := newOrigin(size)
			if err != nil {
				return nil, err
			}
			text, err := json.Marshal(o.store.Snapshot())
			if err != nil {
				return nil, err
			}
			held, r := holds(func() *watchstream.Replica {
				var c watchstream.Snapshot
				r := watchstream.NewReplica(ours, watchstream.Scope{Name: "n"}, 1, watchstream.Limits{})
				if err = json.Unmarshal(text, &c); err == nil {
					err = r.Restore(c)
				}
				return r
			})
			if err != nil {
				return nil, err
			}
			runtime.KeepAlive(r)
			runtime.KeepAlive(text) // or what it held would be taken off
			took, bytes, err := o.bring(watchstream.NewReplica(ours, watchstream.Scope{Name: "new"}, 1, watchstream.Limits{}))
			return []float64{held, took.Seconds(), float64(bytes)}, err
		},
	}, {
		About: "internal/controlplane/watchstream: how long a reader of 20,000 targets that missed so many entries is brought up at 10 KB/s, in virtual time",
		Gives: []Gives{{Name: "feed.owed.time", Unit: "s", Of: "a reader brought up by what it missed", Per: "entry", Exact: true}},
		Sizes: []float64{400, 800, 1600, 3200, 6400}, Short: []float64{400, 600, 800, 1000},
		Run: func(_ context.Context, size int) ([]float64, error) {
			o, err := newOrigin(20_000)
			if err != nil {
				return nil, err
			}
			r := watchstream.NewReplica(ours, watchstream.Scope{Name: "n"}, 1, watchstream.Limits{})
			if err := r.Restore(o.store.Snapshot()); err != nil {
				return nil, err
			}
			for i := range size {
				if _, err := o.store.Apply(watchstream.Change{Fleet: ours, Puts: []watchstream.Put{entry(i*3%20_000, "DRAINING")}}); err != nil {
					return nil, err
				}
			}
			took, _, err := o.bring(r)
			return []float64{took.Seconds()}, err
		},
	}, {
		About: "internal/controlplane/watchstream: a relay's source and the tally of the agents' leader, without sockets: a hello with the delta of a change; a report of all readers, each with news; their heaps",
		Gives: []Gives{{Name: "feed.source.next", Unit: "us", Of: "one hello and its delta", Per: "reader"},
			{Name: "feed.source.memory", Unit: "B", Of: "a relay's source", Per: "reader", Rough: true},
			{Name: "feed.tally.take", Unit: "us", Of: "a report in which all readers have news", Per: "reader"},
			{Name: "feed.report.wire", Unit: "B", Of: "that report, as JSON", Per: "reader", Exact: true}},
		Sizes: memberSizes, Short: []float64{100, 232, 538, 1250}, Turns: 3,
		Run: sources,
	}}
}

// heads is about what HTTP's heads of a question and its answer take.
const heads = 300

// packed is how many bytes a text takes as internal/controlplane/watchstream/distribution packs it.
func packed(text []byte) (int, error) {
	if len(text) < 1<<10 {
		return len(text), nil
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return 0, err
	}
	if _, err = z.Write(text); err == nil {
		err = z.Close()
	}
	return b.Len(), err
}

// bring brings a reader up to the store's head, in virtual time, and returns how long that took and the bytes on the wire.
func (o *origin) bring(r *watchstream.Replica) (took time.Duration, wire int, err error) {
	now := time.Hour
	source := watchstream.NewSource(o.store, watchstream.SourceOptions{}, 1)
	for r.Consistent().Min() < o.store.Head() {
		h := r.SubscribeRequest()
		if err := source.Subscribe(now, h); err != nil {
			return 0, 0, err
		}
		d, wait := source.NextDelta(now, h.Name)
		for ; d == nil; d, wait = source.NextDelta(now, h.Name) {
			if now += wait; now > 2*time.Hour {
				return 0, 0, fmt.Errorf("a reader is at %v of %d after an hour", r.Consistent(), o.store.Head())
			}
		}
		asked, err := json.Marshal(h)
		if err != nil {
			return 0, 0, err
		}
		text, err := json.Marshal(d)
		if err != nil {
			return 0, 0, err
		}
		sent, err := packed(text)
		if err != nil {
			return 0, 0, err
		}
		sent += len(asked) + heads
		wire += sent
		if _, err := r.ApplyDelta(d); err != nil {
			return 0, 0, err
		}
		source.DeltaSent(h.Name, d, sent)
		r.MarkApplied(r.Consistent())
	}
	return now - time.Hour, wire, nil
}

func readers(ctx context.Context, size int) ([]float64, error) {
	r, err := newReading(ctx, 200, size)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	if err := pause(ctx, 1500*time.Millisecond); err != nil { // what they have is acknowledged
		return nil, err
	}
	wire, used, began := r.wire(), cpu(), time.Now()
	if err := pause(ctx, idleFor); err != nil {
		return nil, err
	}
	lasted := time.Since(began).Seconds()
	costs := []float64{float64(r.wire()-wire) / lasted, float64((cpu() - used).Microseconds()) / lasted}
	// change makes ten changes one after another, and tells their bytes, time of the processor and time until the last reader had one.
	const changes = 10
	change := func(p func(i int) watchstream.Put) (bytes, spent, last float64, err error) {
		wire, used := r.wire(), cpu()
		for i := range changes {
			began := time.Now()
			v, err := r.put(p(i))
			if err == nil {
				err = r.all(ctx, v)
			}
			if err != nil {
				return 0, 0, 0, err
			}
			last += time.Since(began).Seconds() / changes
			if err := pause(ctx, 300*time.Millisecond); err != nil { // no two go together
				return 0, 0, 0, err
			}
		}
		return float64(r.wire()-wire) / changes, float64((cpu() - used).Microseconds()) / changes, last, nil
	}
	bytes, spent, last, err := change(func(i int) watchstream.Put { return entry(i%200, "DRAINING") })
	if err != nil {
		return nil, err
	}
	costs = append(costs, bytes, spent, last)
	if bytes, _, _, err = change(func(i int) watchstream.Put { return layer(i + 1) }); err != nil {
		return nil, err
	}
	costs = append(costs, bytes)
	if err := pause(ctx, 5*time.Second); err != nil { // buckets fill
		return nil, err
	}
	wire, began = r.wire(), time.Now()
	for i := range 60 {
		if _, err := r.put(layer(100 + i)); err != nil {
			return nil, err
		}
		if err := pause(ctx, time.Until(began.Add(time.Duration(i+1)*50*time.Millisecond))); err != nil {
			return nil, err
		}
	}
	return append(costs, float64(r.wire()-wire)/time.Since(began).Seconds(), float64(r.conns.Load())), nil
}

func sources(_ context.Context, size int) ([]float64, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	o, err := newOrigin(200)
	if err != nil {
		return nil, err
	}
	replicas := make([]*watchstream.Replica, size)
	for i := range replicas {
		replicas[i] = watchstream.NewReplica(ours, watchstream.Scope{Name: instance(i), Region: "r", Zone: "z"}, 1, watchstream.Limits{Buckets: 1 << 10})
		if err := replicas[i].Restore(o.store.Snapshot()); err != nil {
			return nil, err
		}
	}
	before := heap()
	source := watchstream.NewSource(o.store, watchstream.SourceOptions{AdmitRate: 1e6, AdmitBurst: 1e6, MaxReaders: 1 << 14}, 1)
	now := time.Hour
	serve := func() error {
		now += time.Second
		if _, err := o.store.Apply(watchstream.Change{Fleet: ours, Puts: []watchstream.Put{entry(int(now/time.Second)%200, "DRAINING")}}); err != nil {
			return err
		}
		for _, r := range replicas {
			h := r.SubscribeRequest()
			if err := source.Subscribe(now, h); err != nil {
				return err
			}
			d, _ := source.NextDelta(now, h.Name)
			if d == nil {
				return fmt.Errorf("nothing for %s", h.Name)
			}
			if _, err := r.ApplyDelta(d); err != nil {
				return err
			}
			r.MarkApplied(r.Consistent())
		}
		return nil
	}
	if err := serve(); err != nil {
		return nil, err
	}
	held := max(0, heap()-before)
	next := quickest(3, 100*time.Millisecond, func() {
		if e := serve(); e != nil {
			err = e
		}
	}) / float64(size)
	tally := watchstream.NewAckTracker(ours, watchstream.AckTrackerOptions{})
	wire := 0
	best := 0.0
	for round := range 6 {
		if e := serve(); e != nil {
			return nil, e
		}
		tally.NoteCommit(now, "e", o.store.Head())
		rep := source.BuildReport(now, "relay", "r")
		if round == 0 {
			text, e := json.Marshal(rep)
			if e != nil {
				return nil, e
			}
			wire = len(text)
		}
		var a watchstream.ReportResponse
		took := quickest(1, 0, func() { a, err = tally.AddReport(now, rep) })
		if err != nil {
			return nil, err
		}
		if best == 0 || took < best {
			best = took
		}
		source.ReportAcked(a)
	}
	runtime.KeepAlive(replicas)
	return []float64{next, held, best, float64(wire)}, err
}
