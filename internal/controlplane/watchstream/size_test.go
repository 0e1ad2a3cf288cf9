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

const atSize = 20_000

// filled is a log of so many targets, as a listing has them, and the configuration of 2,900 initiators in 30 zones of 8 regions.
func filled(tb testing.TB, n int) *Store {
	s := NewStore(fleetName, Limits{})
	put := func(puts ...Put) {
		_, err := s.Apply(change(puts...))
		require.NoError(tb, err)
	}
	for i := 0; i < n; i += 500 {
		var list []Put
		for j := i; j < min(n, i+500); j++ {
			list = append(list, entry(j, 0))
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

func entry(i, again int) Put {
	return Put{Kind: Targets, Key: fmt.Sprintf("db-%05d", i), Value: fmt.Appendf(nil, `{"id":"db-%05d","addr":"10.%d.%d.%d:5432","zone":"zone-%d","cell":%d,"state":"SERVING","started_ms":%d}`,
		i, i%200, i/200%200, i%250, i%30, i, 1_700_000_000_000+again)}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemory bounds what a record costs at 20,000, and what a reader costs a source.
func TestMemory(t *testing.T) {
	before := heap()
	s := filled(t, atSize)
	after := heap()
	records := s.Count(Targets) + s.Count(Config)
	each := float64(after-before) / float64(records)
	t.Logf("%d records: %.0f bytes each, of which %.0f are its key and value", records, each, float64(s.Bytes(Targets)+s.Bytes(Config))/float64(records))
	require.Less(t, each, 600.0)

	src := NewSource(s, SourceOptions{}, 1)
	before = heap()
	for i := range 400 {
		require.NoError(t, src.Subscribe(time.Duration(i)*time.Second, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: fmt.Sprint("n", i), Region: "r1", Zone: "z1"}, Epoch: "e1", Have: s.Consistent(), Seen: s.Consistent(), Generation: 1, Seq: 1}))
	}
	each = float64(heap()-before) / 400
	t.Logf("400 readers: %.0f bytes each", each)
	require.Less(t, each, 2000.0)
	runtime.KeepAlive(s)
	runtime.KeepAlive(src)
}

// TestWork has the work for a change and for a reader that is level not grow with the number of records: by allocations, which a busy
// machine doesn't change.
func TestWork(t *testing.T) {
	work := func(n int) (apply, idle, one float64) {
		s := filled(t, n)
		src := NewSource(s, SourceOptions{ReaderRate: 1e9, ReaderBurst: 1e9, CoalesceInterval: 1}, 1)
		now := time.Second
		req := SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "n1", Region: "r1", Zone: "z1"}, Epoch: "e1", Generation: 1}
		i := 0
		apply = testing.AllocsPerRun(200, func() {
			i++
			_, err := s.Apply(change(entry(i%n, i)))
			require.NoError(t, err)
		})
		hear := func() {
			now, req.Seq = now+time.Second, req.Seq+1
			require.NoError(t, src.Subscribe(now, req))
		}
		req.Have, req.Seen = s.Consistent(), s.Consistent()
		hear()
		idle = testing.AllocsPerRun(200, func() { src.NextDelta(now, "n1") })
		one = testing.AllocsPerRun(200, func() {
			req.Have, req.Seen = s.Consistent(), s.Consistent()
			i++
			_, err := s.Apply(change(entry(i%n, i)))
			require.NoError(t, err)
			hear()
			d, _ := src.NextDelta(now, "n1")
			require.Len(t, d.Records, 1)
		})
		return apply, idle, one
	}
	smallApply, smallIdle, smallOne := work(500)
	apply, idle, one := work(atSize)
	t.Logf("allocations for a change %.0f and %.0f, for a reader that is level %.0f and %.0f, for a change to a reader %.0f and %.0f, at 500 and 20,000", smallApply, apply, smallIdle, idle, smallOne, one)
	require.Zero(t, idle)
	require.Zero(t, smallIdle)
	require.LessOrEqual(t, apply, smallApply+5)
	require.LessOrEqual(t, one, smallOne+5)
}

// TestSums has the digests, kept with each change, be those of what there is.
func TestSums(t *testing.T) {
	s := filled(t, 3000)
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 5000 {
		p := entry(draw.IntN(4000), i)
		if draw.IntN(3) == 0 {
			p = gone(p.Key)
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

// TestBringUp has one from nothing, and one that was away beyond the floor, be brought up in bounded pieces at its rate; the second gets
// what differs and not all.
func TestBringUp(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{Tombstones: 100})
	for i := 0; i < atSize; i += 500 {
		var list []Put
		for j := range 500 {
			list = append(list, entry(i+j, 0))
		}
		apply(t, log, change(list...))
	}
	s := NewSource(log, SourceOptions{}, 1)
	r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
	deltas := exchange(t, &now, s, r)
	t.Logf("all of %d: %d deltas within %v", atSize, deltas, now.Round(time.Second))
	require.Equal(t, log.digests, r.Store().digests)
	took := now
	for i := range 300 {
		apply(t, log, change(gone(entry(i, 0).Key), entry(10_000+i, 1)))
	}
	require.Greater(t, log.TombstoneFloor(), r.Position().Targets)
	now += time.Hour
	began := now
	deltas = exchange(t, &now, s, r)
	t.Logf("by digests, 600 of %d changed: %d deltas within %v", atSize, deltas, (now - began).Round(time.Second))
	require.Equal(t, log.digests, r.Store().digests)
	require.Equal(t, log.Count(Targets), r.Store().Count(Targets))
	require.Less(t, now-began, took/2)
}

// TestConverge has a log, two relays and three readers over generated histories of some hundred targets: messages get lost and are repeated,
// followers start again from old copies, new ones and nothing, floors pass; after quiet all are alike.
func TestConverge(t *testing.T) { //nolint:gocognit // one scenario, told in order
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Buckets: 16, Tombstones: rapid.IntRange(5, 100).Draw(t, "tombstones")}
		opt := SourceOptions{ReaderRate: float64(rapid.SampledFrom([]int{2000, 1_000_000}).Draw(t, "rate")), AdmitRate: 1000, AdmitBurst: 1000, CoalesceInterval: time.Millisecond}
		opt.ReaderBurst = opt.ReaderRate * 2
		log := NewStore(fleetName, limits)
		agent := NewSource(log, opt, 1)
		type node struct {
			r      *Replica
			s      *Source
			copies []Snapshot
			from   int
		}
		turn, now := uint64(1), time.Second
		var nodes []*node
		start := func(n *node, scope Scope, snap *Snapshot) {
			turn += 1 << 20
			n.r = NewReplica(fleetName, scope, turn, limits)
			if snap != nil {
				require.NoError(t, n.r.Restore(*snap))
			}
			if scope.All {
				n.s = NewSource(n.r.Store(), opt, turn)
			}
		}
		for i := range 5 {
			n := &node{from: max(-1, i-2) % 2}
			if i < 2 {
				n.from = -1
			}
			start(n, Scope{Name: fmt.Sprint("n", i), Region: "r", All: i < 2}, nil)
			nodes = append(nodes, n)
		}
		exchange := func(n *node, lost bool) {
			s := agent
			if n.from >= 0 {
				s = nodes[n.from].s
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
					if p := entry(first+j, i); rapid.IntRange(0, 2).Draw(t, "gone") == 0 {
						puts = append(puts, gone(p.Key))
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
					n.copies = append(n.copies, n.r.Store().Snapshot())
				case 1:
					var snap *Snapshot
					if k := rapid.IntRange(0, len(n.copies)).Draw(t, "copy"); k > 0 {
						snap = &n.copies[k-1]
					}
					start(n, n.r.Scope(), snap)
				default:
					if n.from >= 0 {
						n.from = 1 - n.from
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
			level := true
			for _, n := range nodes {
				exchange(n, false)
				level = level && n.r.Applied().Min() == log.Head()
			}
			if level {
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

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{2000, atSize} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := filled(b, n)
			for i := 0; b.Loop(); i++ {
				if _, err := s.Apply(change(entry(i%n, i))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkServe has a change go to 400 readers that are level, from their hello on.
func BenchmarkServe(b *testing.B) {
	for _, n := range []int{2000, atSize} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := filled(b, n)
			src := NewSource(s, SourceOptions{ReaderRate: 1e9, ReaderBurst: 1e9, AdmitRate: 1e9, AdmitBurst: 1e9, CoalesceInterval: 1}, 1)
			names := make([]string, 400)
			for i := range names {
				names[i] = fmt.Sprint("n", i)
			}
			now := time.Second
			for i := 0; b.Loop(); i++ {
				now += time.Second
				was := s.Consistent()
				if _, err := s.Apply(change(entry(i%n, i))); err != nil {
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

// BenchmarkIdle asks for one that is level.
func BenchmarkIdle(b *testing.B) {
	s := filled(b, atSize)
	src := NewSource(s, SourceOptions{}, 1)
	if err := src.Subscribe(0, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "n1"}, Epoch: "e1", Have: s.Consistent(), Seen: s.Consistent(), Generation: 1, Seq: 1}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		src.NextDelta(0, "n1")
	}
}

// BenchmarkTally takes a second's reports of 16 relays, of 2,900 readers that have all a new version in force.
func BenchmarkTally(b *testing.B) {
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
