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

const fleetName = "fleet"

// feedOrigin is a feed store and the source that serves readers from it, as in a relay. mu guards store and source; changed is closed and replaced at each change.
type feedOrigin struct {
	mu      sync.Mutex
	store   *watchstream.Store
	source  *watchstream.Source
	changed chan struct{}
}

// newFeedOrigin returns an origin with a number of targets and a shared layer of sample size. Readers are admitted without delay: the rate of admission is a
// setting, not a cost.
func newFeedOrigin(targets int) (*feedOrigin, error) {
	o := &feedOrigin{store: watchstream.NewStore(fleetName, watchstream.Limits{}), changed: make(chan struct{})}
	o.source = watchstream.NewSource(o.store, watchstream.SourceOptions{AdmitRate: 1e6, AdmitBurst: 1e6, MaxReaders: 1 << 14}, 1)
	puts := []watchstream.Put{layerPut(0)}
	for i := range targets {
		if puts = append(puts, targetPut(i, "SERVING")); len(puts) == 1000 || i == targets-1 {
			if _, err := o.store.Apply(watchstream.Change{Fleet: fleetName, Epoch: "e", Puts: puts}); err != nil {
				return nil, err
			}
			puts = nil
		}
	}
	return o, nil
}

func targetPut(i int, state string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Targets, Key: targetID(i), Value: json.RawMessage(entryJSON(i, state))}
}

// layerPut returns a shared configuration layer of sample size.
func layerPut(n int) watchstream.Put {
	head := fmt.Sprintf(`{"n":%d,"settings":"`, n)
	text := make([]byte, 0, sampleConfigBytes)
	text = append(text, head...)
	for i := 0; len(text) < sampleConfigBytes-2; i++ { // varied text, since compression would remove a repeated letter
		text = append(text, targetID((i+n)*7919)...)
	}
	return watchstream.Put{Kind: watchstream.Config, Key: "shared", Value: json.RawMessage(string(text[:sampleConfigBytes-2]) + `"}`)}
}

// WithSource implements distribution.Origin.
func (o *feedOrigin) WithSource(f func(time.Duration, *watchstream.Source)) (<-chan struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	o.source.MarkFresh(now)
	f(now, o.source)
	return o.changed, true
}

func (o *feedOrigin) apply(p ...watchstream.Put) (version uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version, err = o.store.Apply(watchstream.Change{Fleet: fleetName, Epoch: "e", Puts: p})
	close(o.changed)
	o.changed = make(chan struct{})
	return version, err
}

// readerSet is a number of readers of one relay. stop ends the readers and the relay's server.
type readerSet struct {
	*feedOrigin
	countingListener
	versions []atomic.Uint64 // the version that each reader has applied
	stop     func()
}

func newReaderSet(ctx context.Context, targets, readers int) (*readerSet, error) {
	o, err := newFeedOrigin(targets)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &readerSet{feedOrigin: o, countingListener: newCountingListener(l), versions: make([]atomic.Uint64, readers)}
	server := distribution.NewServer(o, readers+64)
	mux := http.NewServeMux()
	server.Routes(mux)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(r.countingListener) }()
	ctx, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	r.stop = func() { end(); server.Stop(); all.Wait(); srv.Close() }
	for i := range readers {
		f, err := distribution.NewFollower(distribution.FollowerOptions{Fleet: fleetName, Name: instanceName(i), Region: "r", Zone: "z", Relays: []watchstream.Relay{{ID: "relay", Region: "r", Addr: l.Addr().String()}},
			OnChange: func(c distribution.Update) error {
				r.versions[i].Store(c.Position.Min())
				return nil
			}})
		if err != nil {
			r.stop()
			return nil, err
		}
		all.Go(func() { f.Run(ctx) })
	}
	return r, r.awaitAll(ctx, o.store.Head())
}

// awaitAll waits until all readers have a version.
func (r *readerSet) awaitAll(ctx context.Context, version uint64) error {
	return waitUntil(ctx, "all readers at the new version", func() bool {
		for i := range r.versions {
			if r.versions[i].Load() < version {
				return false
			}
		}
		return true
	})
}

func feedProbes() []Probe {
	return []Probe{{
		Description: "internal/controlplane/watchstream/distribution: readers of one relay over loopback, both ends in one process, 200 targets: 4 s without a change; 10 changes of one target; 10 of a shared layer of 2,000 bytes; 20 of it a second for 3 s",
		Metrics: []Metric{{Name: "feed.poll.wire", Unit: "B/s", Subject: "polls without a change, both ways", Per: "reader", Exact: true},
			{Name: "feed.poll.cpu", Unit: "us/s", Subject: "polls without a change, both ends", Per: "reader", Noisy: true},
			{Name: "feed.change.wire", Unit: "B", Subject: "a change of one target, told to all, both ways", Per: "reader", Exact: true},
			{Name: "feed.change.cpu", Unit: "us", Subject: "a change of one target, told to all, both ends", Per: "reader", Noisy: true},
			{Name: "feed.told", Unit: "s", Subject: "a change told to all readers of a relay, the last of them", Per: "reader", Noisy: true},
			{Name: "feed.layer.wire", Unit: "B", Subject: "a change of a shared layer of 2,000 bytes, told to all, both ways", Per: "reader", Exact: true},
			{Name: "feed.burst.wire", Unit: "B/s", Subject: "20 changes a second of that layer, both ways", Per: "reader", Noisy: true},
			{Name: "feed.connections", Unit: "connections", Subject: "polls", Per: "reader", Exact: true}},
		Sizes: []float64{25, 50, 100, 200, 400}, ShortSizes: []float64{4, 8, 16, 32}, Concurrent: true,
		Run: measureReaders,
	}, {
		Description: "internal/controlplane/watchstream: an initiator's replica of so many targets, read from a copy; how long a reader that has nothing is brought up at 10 KB/s, in virtual time",
		Metrics: []Metric{{Name: "feed.replica.memory", Unit: "B", Subject: "a reader's replica", Per: "target", Exact: true},
			{Name: "feed.whole.time", Unit: "s", Subject: "a reader brought up from nothing", Per: "target", Exact: true},
			{Name: "feed.whole.wire", Unit: "B", Subject: "the polls of that, packed", Per: "target", Exact: true}},
		Sizes: []float64{5000, 8000, 12_000, 16_000, 20_000}, ShortSizes: []float64{5000, 6000, 7000, 8000},
		Run: func(_ context.Context, size int) ([]float64, error) {
			o, err := newFeedOrigin(size)
			if err != nil {
				return nil, err
			}
			text, err := json.Marshal(o.store.Snapshot())
			if err != nil {
				return nil, err
			}
			held, r := retainedBytes(func() *watchstream.Replica {
				var c watchstream.Snapshot
				r := watchstream.NewReplica(fleetName, watchstream.Scope{Name: "n"}, 1, watchstream.Limits{})
				if err = json.Unmarshal(text, &c); err == nil {
					err = r.Restore(c)
				}
				return r
			})
			if err != nil {
				return nil, err
			}
			runtime.KeepAlive(r)
			runtime.KeepAlive(text) // keep text alive past the measurement, or freeing it would be subtracted from the replica's memory
			took, bytes, err := o.catchUp(watchstream.NewReplica(fleetName, watchstream.Scope{Name: "new"}, 1, watchstream.Limits{}))
			return []float64{held, took.Seconds(), float64(bytes)}, err
		},
	}, {
		Description: "internal/controlplane/watchstream: how long a reader of 20,000 targets that missed so many entries is brought up at 10 KB/s, in virtual time",
		Metrics:     []Metric{{Name: "feed.owed.time", Unit: "s", Subject: "a reader brought up by what it missed", Per: "entry", Exact: true}},
		Sizes:       []float64{400, 800, 1600, 3200, 6400}, ShortSizes: []float64{400, 600, 800, 1000},
		Run: func(_ context.Context, size int) ([]float64, error) {
			o, err := newFeedOrigin(20_000)
			if err != nil {
				return nil, err
			}
			r := watchstream.NewReplica(fleetName, watchstream.Scope{Name: "n"}, 1, watchstream.Limits{})
			if err := r.Restore(o.store.Snapshot()); err != nil {
				return nil, err
			}
			for i := range size {
				if _, err := o.store.Apply(watchstream.Change{Fleet: fleetName, Puts: []watchstream.Put{targetPut(i*3%20_000, "DRAINING")}}); err != nil {
					return nil, err
				}
			}
			took, _, err := o.catchUp(r)
			return []float64{took.Seconds()}, err
		},
	}, {
		Description: "internal/controlplane/watchstream: a relay's source and the tally of the agents' leader, without sockets: a hello with the delta of a change; a report of all readers, each with news; their heaps",
		Metrics: []Metric{{Name: "feed.source.next", Unit: "us", Subject: "one hello and its delta", Per: "reader"},
			{Name: "feed.source.memory", Unit: "B", Subject: "a relay's source", Per: "reader", Noisy: true},
			{Name: "feed.tally.take", Unit: "us", Subject: "a report in which all readers have news", Per: "reader"},
			{Name: "feed.report.wire", Unit: "B", Subject: "that report, as JSON", Per: "reader", Exact: true}},
		Sizes: memberSizes, ShortSizes: []float64{100, 232, 538, 1250}, Repeats: 3,
		Run: measureSource,
	}}
}

// httpHeaderBytes is the approximate size of the HTTP headers of a request and its response.
const httpHeaderBytes = 300

// compressedSize returns the size of a text as internal/controlplane/watchstream/distribution compresses it.
func compressedSize(text []byte) (int, error) {
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

// catchUp brings a reader up to the store's head, in virtual time, and returns the time that it took and the bytes on the wire.
func (o *feedOrigin) catchUp(r *watchstream.Replica) (took time.Duration, wire int, err error) {
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
				return 0, 0, fmt.Errorf("reader is at version %v of %d after an hour", r.Consistent(), o.store.Head())
			}
		}
		requestText, err := json.Marshal(h)
		if err != nil {
			return 0, 0, err
		}
		deltaText, err := json.Marshal(d)
		if err != nil {
			return 0, 0, err
		}
		sent, err := compressedSize(deltaText)
		if err != nil {
			return 0, 0, err
		}
		sent += len(requestText) + httpHeaderBytes
		wire += sent
		if _, err := r.ApplyDelta(d); err != nil {
			return 0, 0, err
		}
		source.DeltaSent(h.Name, d, sent)
		r.MarkApplied(r.Consistent())
	}
	return now - time.Hour, wire, nil
}

// measureReaders measures polls without a change, and then changes of a target and of the shared layer, one by one and in a burst.
func measureReaders(ctx context.Context, size int) ([]float64, error) {
	r, err := newReaderSet(ctx, 200, size)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	if err := sleep(ctx, 1500*time.Millisecond); err != nil { // until readers have acknowledged their versions
		return nil, err
	}
	wire, used, began := r.totalBytes(), cpuTime(), time.Now()
	if err := sleep(ctx, idlePeriod); err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	costs := []float64{float64(r.totalBytes()-wire) / seconds, float64((cpuTime() - used).Microseconds()) / seconds}
	// change makes ten changes one after another and returns, for each of them, the bytes, the processor time and the time until the last reader has it.
	const changes = 10
	change := func(p func(i int) watchstream.Put) (bytes, cpuMicros, last float64, err error) {
		wire, used := r.totalBytes(), cpuTime()
		for i := range changes {
			began := time.Now()
			v, err := r.apply(p(i))
			if err == nil {
				err = r.awaitAll(ctx, v)
			}
			if err != nil {
				return 0, 0, 0, err
			}
			last += time.Since(began).Seconds() / changes
			if err := sleep(ctx, 300*time.Millisecond); err != nil { // so that no two are coalesced
				return 0, 0, 0, err
			}
		}
		return float64(r.totalBytes()-wire) / changes, float64((cpuTime() - used).Microseconds()) / changes, last, nil
	}
	bytes, cpuMicros, last, err := change(func(i int) watchstream.Put { return targetPut(i%200, "DRAINING") })
	if err != nil {
		return nil, err
	}
	costs = append(costs, bytes, cpuMicros, last)
	if bytes, _, _, err = change(func(i int) watchstream.Put { return layerPut(i + 1) }); err != nil {
		return nil, err
	}
	costs = append(costs, bytes)
	if err := sleep(ctx, 5*time.Second); err != nil { // until the token buckets have refilled
		return nil, err
	}
	wire, began = r.totalBytes(), time.Now()
	for i := range 60 {
		if _, err := r.apply(layerPut(100 + i)); err != nil {
			return nil, err
		}
		if err := sleep(ctx, time.Until(began.Add(time.Duration(i+1)*50*time.Millisecond))); err != nil {
			return nil, err
		}
	}
	return append(costs, float64(r.totalBytes()-wire)/time.Since(began).Seconds(), float64(r.conns.Load())), nil
}

// measureSource measures a source and the tally of acknowledgements, without sockets, in virtual time.
func measureSource(_ context.Context, size int) ([]float64, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	o, err := newFeedOrigin(200)
	if err != nil {
		return nil, err
	}
	replicas := make([]*watchstream.Replica, size)
	for i := range replicas {
		replicas[i] = watchstream.NewReplica(fleetName, watchstream.Scope{Name: instanceName(i), Region: "r", Zone: "z"}, 1, watchstream.Limits{Buckets: 1 << 10})
		if err := replicas[i].Restore(o.store.Snapshot()); err != nil {
			return nil, err
		}
	}
	before := heapBytes()
	source := watchstream.NewSource(o.store, watchstream.SourceOptions{AdmitRate: 1e6, AdmitBurst: 1e6, MaxReaders: 1 << 14}, 1)
	now := time.Hour
	serve := func() error {
		now += time.Second
		if _, err := o.store.Apply(watchstream.Change{Fleet: fleetName, Puts: []watchstream.Put{targetPut(int(now/time.Second)%200, "DRAINING")}}); err != nil {
			return err
		}
		for _, r := range replicas {
			h := r.SubscribeRequest()
			if err := source.Subscribe(now, h); err != nil {
				return err
			}
			d, _ := source.NextDelta(now, h.Name)
			if d == nil {
				return fmt.Errorf("no delta for %s", h.Name)
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
	held := max(0, heapBytes()-before)
	next := minMicros(3, 100*time.Millisecond, func() {
		if e := serve(); e != nil {
			err = e
		}
	}) / float64(size)
	tally := watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
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
		took := minMicros(1, 0, func() { a, err = tally.AddReport(now, rep) })
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
