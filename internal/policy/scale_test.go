package policy

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// newWithEndpoints returns a scheduler with count listed endpoints, each with a shard of its own, and the time of its last step.
func newWithEndpoints(tb testing.TB, count int) (*Scheduler, time.Duration) {
	tb.Helper()
	set := ruleSettings(15)
	s, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	list := EndpointList{Full: true}
	for i := range count {
		list.Endpoints = append(list.Endpoints, shardEndpoint(i))
	}
	now := time.Hour
	s.Step(now, []Event{list})
	return s, now
}

func shardEndpoint(i int) Endpoint { return Endpoint{ID: fmt.Sprintf("n%d", i), Zone: "z", Shard: i} }

// serveRequest passes the scheduler one request and, if it is sent, its answer. It reports whether the request was sent.
func serveRequest(s *Scheduler, now time.Duration, id string, shard int) (served bool) {
	events := []Event{Request{ID: id, Class: "pure", Plan: "p1", Volume: "v", Extent: "k", Shard: shard, Units: 1, VolumeInitiators: 1, TimeLeft: time.Second}}
	for _, a := range s.Step(now, events) {
		if a.Kind == Send {
			served = true
			events = []Event{Outcome{ID: id, Endpoint: a.Endpoint, Code: Served, Latency: 2 * ms, Final: true}}
		}
	}
	s.Step(now+2*ms, events)
	return served
}

// changeEntry passes the scheduler a change of one entry: the endpoint is draining if i is odd, and up otherwise.
func changeEntry(s *Scheduler, now time.Duration, i, at int) {
	x := shardEndpoint(at)
	x.State = EndpointState(i % 2)
	s.Step(now, []Event{EndpointList{Endpoints: []Endpoint{x}}})
}

// operations are what an initiator does all the time.
var operations = []struct {
	name string
	do   func(s *Scheduler, now time.Duration, i int)
}{
	{"change of one entry", func(s *Scheduler, now time.Duration, i int) { changeEntry(s, now, i, i/2%64) }},
	{"request and answer", func(s *Scheduler, now time.Duration, i int) { serveRequest(s, now, fmt.Sprint(i), i%64) }},
	{"new object and answer", func(s *Scheduler, now time.Duration, i int) { serveRequest(s, now, fmt.Sprint(i), -1) }},
	{"queued request whose client disconnects", func(s *Scheduler, now time.Duration, i int) {
		s.Step(now, []Event{Request{ID: fmt.Sprint(i), Class: "pure", Plan: "p1", Volume: "v", Shard: 1 << 20, Units: 1, VolumeInitiators: 1, TimeLeft: time.Second}})
		s.Step(now, []Event{ClientGone{ID: fmt.Sprint(i)}})
	}},
	{"step after a long idle time", func(s *Scheduler, now time.Duration, i int) {
		s.Step(now+time.Duration(i)*time.Minute, []Event{TimerFired{}})
	}},
	{"list of ejected endpoints", func(s *Scheduler, now time.Duration, i int) {
		s.EjectedCount()
		s.EjectedEndpoints()
	}},
}

// TestCostIndependentOfListSize fails if a frequent operation takes time in proportion to the number of listed endpoints: a hundred
// times as many may cost five times as much, since caches hold a smaller part of them. It compares the minimum of many short runs,
// and runs until the ratio is small enough, since a disturbed run only takes longer. When each step visited every queue or endpoint,
// the ratios were 36 to 60,000.
func TestCostIndependentOfListSize(t *testing.T) {
	const maxRatio, maxRuns, minRuns, calls = 5, 400, 20, 32
	for _, c := range operations {
		var best [2]time.Duration
		var s [2]*Scheduler
		var now [2]time.Duration
		for i, count := range []int{200, 20000} {
			s[i], now[i] = newWithEndpoints(t, count)
			best[i] = never
		}
		ratio, n := math.Inf(1), 0
		for run := 0; run < maxRuns && (run < minRuns || ratio > maxRatio); run++ {
			for i := range s {
				start := time.Now()
				for range calls {
					now[i] += 4 * ms
					n++
					c.do(s[i], now[i], n)
				}
				best[i] = min(best[i], time.Since(start))
			}
			ratio = float64(best[1]) / float64(best[0])
		}
		if t.Logf("%s: %v with 200 endpoints, %v with 20000", c.name, best[0]/calls, best[1]/calls); ratio > maxRatio {
			t.Errorf("%s: %.1f times as long with 20000 endpoints as with 200, want %d at most", c.name, ratio, maxRatio)
		}
	}
}

// TestIdleEndpoints bounds the memory of a listed endpoint to which nothing is sent, and checks that the lists that a step goes
// through contain only the queues and endpoints in use.
func TestIdleEndpoints(t *testing.T) {
	const count, maxBytes = 20000, 700
	before := heapBytes()
	s, now := newWithEndpoints(t, count)
	per := float64(heapBytes()-before) / count
	if t.Logf("%.0f bytes", per); per > maxBytes {
		t.Errorf("%.0f bytes for each idle endpoint, want %d at most", per, maxBytes)
	}
	for i := range 200 { // these were in use earlier
		now += 4 * ms
		serveRequest(s, now, fmt.Sprint("old", i), 1000+i)
	}
	for range 2 {
		now += time.Minute
		s.Step(now, []Event{TimerFired{}})
	}
	for i := range 200 {
		now += 4 * ms
		if !serveRequest(s, now, fmt.Sprint(i), i%10) {
			t.Fatalf("request %d was not sent", i)
		}
	}
	serveRequest(s, now, "new", -1)
	s.EjectedCount()
	for name, list := range map[string]int{"waiting": len(s.waitingQueues) + len(s.newlyWaiting), "with flows": len(s.queuesWithFlows), "orphaned": len(s.orphanedQueues), "used": len(s.usedEndpoints),
		"changed": len(s.changedEndpoints), "stale": len(s.staleQueues), "dirty": len(s.waitTree.dirty), "time-dependent": len(s.waitTree.timeDependent)} {
		if list > 12 {
			t.Errorf("%d queues or endpoints are %s with ten shards in use", list, name)
		}
	}
	s.Step(now+time.Minute, []Event{TimerFired{}})
	s.Step(now+2*time.Minute, []Event{TimerFired{}})
	if len(s.queuesWithFlows)+len(s.usedEndpoints)+len(s.volumes) > 0 || len(s.endpoints) != count || len(s.queues) != count {
		t.Errorf("after the idle time %d queues have flows, %d endpoints are in use, of %d endpoints and %d queues", len(s.queuesWithFlows), len(s.usedEndpoints), len(s.endpoints), len(s.queues))
	}
}

var shardCounts = []int{200, 2000, 20000}

// benchmarkCounts benchmarks do for each number of listed endpoints.
func benchmarkCounts(b *testing.B, do func(s *Scheduler, now time.Duration, i, count int)) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, now := newWithEndpoints(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 4 * ms
				do(s, now, i, count)
			}
		})
	}
}

// BenchmarkListChange measures a change of one entry of the list.
func BenchmarkListChange(b *testing.B) {
	benchmarkCounts(b, func(s *Scheduler, now time.Duration, i, count int) { changeEntry(s, now, i, i/2%count) })
}

// BenchmarkRequest measures a request and its answer, for 64 shards in turn.
func BenchmarkRequest(b *testing.B) {
	benchmarkCounts(b, func(s *Scheduler, now time.Duration, i, _ int) { serveRequest(s, now, fmt.Sprint(i), i%64) })
}

// BenchmarkNewObject measures a request for a new object, which may go to any endpoint, and its answer.
func BenchmarkNewObject(b *testing.B) {
	benchmarkCounts(b, func(s *Scheduler, now time.Duration, i, _ int) { serveRequest(s, now, fmt.Sprint(i), -1) })
}

// BenchmarkFullList measures a full list in which nothing has changed.
func BenchmarkFullList(b *testing.B) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, now := newWithEndpoints(b, count)
			list := EndpointList{Full: true}
			for _, ep := range s.endpoints {
				list.Endpoints = append(list.Endpoints, ep.Endpoint)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 4 * ms
				s.Step(now, []Event{list})
			}
		})
	}
}

// BenchmarkEjected measures EjectedCount and EjectedEndpoints, which the core calls ten times a second.
func BenchmarkEjected(b *testing.B) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, now := newWithEndpoints(b, count)
			serveRequest(s, now, "r", 0)
			for b.Loop() {
				s.EjectedCount()
				s.EjectedEndpoints()
			}
		})
	}
}

// BenchmarkIdleEndpoint reports the bytes that a listed endpoint takes to which nothing was sent, and measures the full list.
func BenchmarkIdleEndpoint(b *testing.B) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var per float64
			for b.Loop() {
				before := heapBytes()
				s, _ := newWithEndpoints(b, count)
				per = float64(heapBytes()-before) / float64(count)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(per, "bytes/node")
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
