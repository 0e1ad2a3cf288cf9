package watchstream

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const manyTargets = 20_000

// newFilledStore returns a log with n targets as in a target list, and the configuration of 2,900 initiators with 30 zones
// and 30 regions.
func newFilledStore(tb testing.TB, n int) *Store {
	s := NewStore(fleetName, Limits{})
	put := func(puts ...Put) {
		_, err := s.Apply(change(puts...))
		require.NoError(tb, err)
	}
	for i := 0; i < n; i += 500 {
		var list []Put
		for j := i; j < min(n, i+500); j++ {
			list = append(list, targetEntry(j, 0))
		}
		put(list...)
	}
	put(layer("shared", `{"limits":{"retries":2}}`))
	for i := range 30 {
		put(layer(fmt.Sprint("zone/z", i), `{"limits":{"retries":3}}`), layer(fmt.Sprint("region/r", i), `{"limits":{"retries":3}}`))
	}
	for i := range 2900 {
		put(layer(fmt.Sprint("instance/n", i), fmt.Sprintf(`{"name":"n%d"}`, i)))
	}
	return s
}

func targetEntry(i, restart int) Put {
	return Put{Kind: Targets, Key: fmt.Sprintf("db-%05d", i), Value: fmt.Appendf(nil, `{"id":"db-%05d","addr":"10.%d.%d.%d:5432","zone":"zone-%d","cell":%d,"state":"SERVING","started_ms":%d}`,
		i, i%200, i/200%200, i%250, i%30, i, 1_700_000_000_000+restart)}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemoryPerRecord bounds the memory of a record in a store of 20,000 targets, and of a reader at a source.
func TestMemoryPerRecord(t *testing.T) {
	before := heapBytes()
	s := newFilledStore(t, manyTargets)
	after := heapBytes()
	records := s.Count(Targets) + s.Count(Config)
	bytesEach := float64(after-before) / float64(records)
	t.Logf("%d records: %.0f bytes each, of which %.0f are its key and value", records, bytesEach, float64(s.Bytes(Targets)+s.Bytes(Config))/float64(records))
	require.Less(t, bytesEach, 600.0)

	src := NewSource(s, SourceOptions{}, 1)
	before = heapBytes()
	for i := range 400 {
		require.NoError(t, src.Subscribe(time.Duration(i)*time.Second, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: fmt.Sprint("n", i), Region: "r1", Zone: "z1"}, Epoch: "e1", Have: s.Consistent(), Seen: s.Consistent(), Generation: 1, Seq: 1}))
	}
	bytesEach = float64(heapBytes()-before) / 400
	t.Logf("400 readers: %.0f bytes each", bytesEach)
	require.Less(t, bytesEach, 2000.0)
	runtime.KeepAlive(s)
	runtime.KeepAlive(src)
}

// TestAllocationsIndependentOfStoreSize checks that the work for a change, and for a reader that is up to date, does not
// grow with the number of records. It counts allocations, which do not depend on the load of the machine.
func TestAllocationsIndependentOfStoreSize(t *testing.T) {
	measure := func(n int) (apply, idle, one float64) {
		s := newFilledStore(t, n)
		src := NewSource(s, SourceOptions{ReaderRate: 1e9, ReaderBurst: 1e9, CoalesceInterval: 1}, 1)
		now := time.Second
		req := SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "n1", Region: "r1", Zone: "z1"}, Epoch: "e1", Generation: 1}
		i := 0
		apply = testing.AllocsPerRun(200, func() {
			i++
			_, err := s.Apply(change(targetEntry(i%n, i)))
			require.NoError(t, err)
		})
		subscribe := func() {
			now, req.Seq = now+time.Second, req.Seq+1
			require.NoError(t, src.Subscribe(now, req))
		}
		req.Have, req.Seen = s.Consistent(), s.Consistent()
		subscribe()
		idle = testing.AllocsPerRun(200, func() { src.NextDelta(now, "n1") })
		one = testing.AllocsPerRun(200, func() {
			req.Have, req.Seen = s.Consistent(), s.Consistent()
			i++
			_, err := s.Apply(change(targetEntry(i%n, i)))
			require.NoError(t, err)
			subscribe()
			d, _ := src.NextDelta(now, "n1")
			require.Len(t, d.Records, 1)
		})
		return apply, idle, one
	}
	smallApply, smallIdle, smallOne := measure(500)
	apply, idle, one := measure(manyTargets)
	t.Logf("allocations for a change %.0f and %.0f, for an up-to-date reader %.0f and %.0f, for a change sent to a reader %.0f and %.0f, at 500 and 20,000 targets", smallApply, apply, smallIdle, idle, smallOne, one)
	require.Zero(t, idle)
	require.Zero(t, smallIdle)
	require.LessOrEqual(t, apply, smallApply+5)
	require.LessOrEqual(t, one, smallOne+5)
}

// TestDigestsMatchRecords checks that the digests, which each change updates, equal those computed from all records.
func TestDigestsMatchRecords(t *testing.T) {
	s := newFilledStore(t, 3000)
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 5000 {
		p := targetEntry(draw.IntN(4000), i)
		if draw.IntN(3) == 0 {
			p = deletion(p.Key)
		}
		apply(t, s, change(p))
	}
	sums, buckets := make(Digests, len(s.digests)), make([]int, len(s.digests))
	for _, r := range s.Records(Targets) {
		b := s.bucketOf(r.Key)
		sums[b] += r.digest()
		buckets[b]++
	}
	require.Equal(t, sums, s.digests)
	for b := range buckets {
		require.Len(t, s.buckets[b], buckets[b])
	}
}

// TestResyncByDigests has an empty reader, and then one that is behind the tombstone floor, catch up by bounded deltas at
// the reader's rate. The second receives the differences and not all records.
func TestResyncByDigests(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{Tombstones: 100})
	for i := 0; i < manyTargets; i += 500 {
		var list []Put
		for j := range 500 {
			list = append(list, targetEntry(i+j, 0))
		}
		apply(t, log, change(list...))
	}
	s := NewSource(log, SourceOptions{}, 1)
	r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
	deltas := exchange(t, &now, s, r)
	t.Logf("all %d targets: %d deltas within %v", manyTargets, deltas, now.Round(time.Second))
	require.Equal(t, log.digests, r.Store().digests)
	fullResync := now
	for i := range 300 {
		apply(t, log, change(deletion(targetEntry(i, 0).Key), targetEntry(10_000+i, 1)))
	}
	require.Greater(t, log.TombstoneFloor(), r.Position().Targets)
	now += time.Hour
	began := now
	deltas = exchange(t, &now, s, r)
	t.Logf("by digests, 600 of %d targets changed: %d deltas within %v", manyTargets, deltas, (now - began).Round(time.Second))
	require.Equal(t, log.digests, r.Store().digests)
	require.Equal(t, log.Count(Targets), r.Store().Count(Targets))
	require.Less(t, now-began, fullResync/2)
}

// TestConverge runs a log, two relays and three readers through generated histories of a few hundred targets: messages are
// lost and repeated, replicas restart from old snapshots, new ones or none, and fall behind the tombstone floor. After the
// last change all must have the same state.
func TestConverge(t *testing.T) { //nolint:gocognit // one scenario in sequence
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Buckets: 16, Tombstones: rapid.IntRange(5, 100).Draw(t, "tombstones")}
		opt := SourceOptions{ReaderRate: float64(rapid.SampledFrom([]int{2000, 1_000_000}).Draw(t, "rate")), AdmitRate: 1000, AdmitBurst: 1000, CoalesceInterval: time.Millisecond}
		opt.ReaderBurst = opt.ReaderRate * 2
		log := NewStore(fleetName, limits)
		agent := NewSource(log, opt, 1)
		type node struct {
			r           *Replica
			s           *Source
			snapshots   []Snapshot
			sourceIndex int // of the relay in nodes; -1: the agent
		}
		generation, now := uint64(1), time.Second
		var nodes []*node
		start := func(n *node, scope Scope, snap *Snapshot) {
			generation += 1 << 20
			n.r = NewReplica(fleetName, scope, generation, limits)
			if snap != nil {
				require.NoError(t, n.r.Restore(*snap))
			}
			if scope.All {
				n.s = NewSource(n.r.Store(), opt, generation)
			}
		}
		for i := range 5 {
			n := &node{sourceIndex: max(-1, i-2) % 2}
			if i < 2 {
				n.sourceIndex = -1
			}
			start(n, Scope{Name: fmt.Sprint("n", i), Region: "r", All: i < 2}, nil)
			nodes = append(nodes, n)
		}
		exchange := func(n *node, lost bool) {
			s := agent
			if n.sourceIndex >= 0 {
				s = nodes[n.sourceIndex].s
			}
			if err := s.Subscribe(now, n.r.SubscribeRequest()); err != nil {
				return
			}
			d, _ := s.NextDelta(now, n.r.Scope().Name)
			if d == nil || lost {
				return
			}
			_, err := n.r.ApplyDelta(d)
			require.NoError(t, err)
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 && !d.WantDigests && d.From != d.To {
				_, err = n.r.ApplyDelta(d)
				require.Error(t, err)
			}
			n.r.MarkApplied(n.r.Consistent())
		}
		for i := range rapid.IntRange(20, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				var puts []Put
				first := rapid.IntRange(0, 300).Draw(t, "first")
				for j := range rapid.IntRange(1, 40).Draw(t, "puts") {
					if p := targetEntry(first+j, i); rapid.IntRange(0, 2).Draw(t, "deleted") == 0 {
						puts = append(puts, deletion(p.Key))
					} else {
						puts = append(puts, p)
					}
				}
				if rapid.Bool().Draw(t, "config") {
					puts = append(puts, layer(rapid.SampledFrom([]string{"shared", "region/r", "region/q", "instance/n3"}).Draw(t, "scope"), fmt.Sprintf(`{"i":%d}`, i)))
				}
				_, err := log.Apply(change(puts...))
				require.NoError(t, err)
			case 2, 3:
				for _, n := range nodes {
					exchange(n, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
				}
			default:
				n := nodes[rapid.IntRange(0, 4).Draw(t, "node")]
				switch rapid.IntRange(0, 2).Draw(t, "fault") {
				case 0:
					n.snapshots = append(n.snapshots, n.r.Store().Snapshot())
				case 1:
					var snap *Snapshot
					if k := rapid.IntRange(0, len(n.snapshots)).Draw(t, "snapshot"); k > 0 {
						snap = &n.snapshots[k-1]
					}
					start(n, n.r.Scope(), snap)
				default:
					if n.sourceIndex >= 0 {
						n.sourceIndex = 1 - n.sourceIndex
						n.r.SwitchSource()
					}
				}
			}
		}
		if log.Epoch() == "" {
			return
		}
		for range 3000 {
			now += 500 * time.Millisecond
			converged := true
			for _, n := range nodes {
				exchange(n, false)
				converged = converged && n.r.Applied().Min() == log.Head()
			}
			if converged {
				break
			}
		}
		for i, n := range nodes {
			require.Equal(t, log.Head(), n.r.Applied().Min(), "n%d", i)
			require.Equal(t, log.Records(Targets), n.r.Records(Targets), "n%d", i)
			require.Equal(t, log.digests, n.r.Store().digests, "n%d", i)
			for _, r := range log.Records(Config) {
				is, ok := n.r.Store().Get(Config, r.Key)
				require.Equal(t, n.r.Scope().Includes(Config, r.Key), ok && is.Version == r.Version, "n%d", i)
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{2000, manyTargets} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFilledStore(b, n)
			for i := 0; b.Loop(); i++ {
				if _, err := s.Apply(change(targetEntry(i%n, i))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDeltaToManyReaders sends a change to 400 up-to-date readers, including their requests.
func BenchmarkDeltaToManyReaders(b *testing.B) {
	for _, n := range []int{2000, manyTargets} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFilledStore(b, n)
			src := NewSource(s, SourceOptions{ReaderRate: 1e9, ReaderBurst: 1e9, AdmitRate: 1e9, AdmitBurst: 1e9, CoalesceInterval: 1}, 1)
			names := make([]string, 400)
			for i := range names {
				names[i] = fmt.Sprint("n", i)
			}
			now := time.Second
			for i := 0; b.Loop(); i++ {
				now += time.Second
				was := s.Consistent()
				if _, err := s.Apply(change(targetEntry(i%n, i))); err != nil {
					b.Fatal(err)
				}
				for _, name := range names {
					req := SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: name, Region: "r1", Zone: "z1"}, Epoch: "e1", Have: was, Seen: was, Generation: 1, Seq: uint64(i) + 1}
					if err := src.Subscribe(now, req); err != nil {
						b.Fatal(err)
					}
					if d, _ := src.NextDelta(now, name); len(d.Records) != 1 {
						b.Fatal(d)
					}
				}
			}
		})
	}
}

// BenchmarkNextDeltaIdle calls NextDelta for a reader that is up to date.
func BenchmarkNextDeltaIdle(b *testing.B) {
	s := newFilledStore(b, manyTargets)
	src := NewSource(s, SourceOptions{}, 1)
	if err := src.Subscribe(0, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "n1"}, Epoch: "e1", Have: s.Consistent(), Seen: s.Consistent(), Generation: 1, Seq: 1}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		src.NextDelta(0, "n1")
	}
}

// BenchmarkAddReport processes one second's reports of 16 relays, with 2,900 readers that have all applied a new version.
func BenchmarkAddReport(b *testing.B) {
	t := NewAckTracker(fleetName, AckTrackerOptions{})
	now := time.Second
	for i := uint64(1); b.Loop(); i++ {
		now += time.Second
		t.NoteCommit(now, "e1", i)
		for k := range 16 {
			report := Report{Fleet: fleetName, Relay: fmt.Sprint("relay/", k), Incarnation: 1, Seq: i, Base: i - 1, UpTo: i, Full: i == 1, Consistent: Watermark{"e1", Position{i, i}}}
			for j := range 181 {
				report.Readers = append(report.Readers, Cursor{Name: fmt.Sprint("n", k, ".", j), Applied: Watermark{"e1", Position{i, i}}, Generation: 1})
			}
			if _, err := t.AddReport(now, report); err != nil {
				b.Fatal(err)
			}
		}
	}
}
