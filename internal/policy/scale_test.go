package policy

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// shards returns a scheduler that knows so many nodes, each of a shard of its own, and the time of its last step.
func shards(tb testing.TB, count int) (*Scheduler, time.Duration) {
	tb.Helper()
	set := ruleSettings(15)
	s, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	list := EndpointList{Full: true}
	for i := range count {
		list.Endpoints = append(list.Endpoints, shardNode(i))
	}
	now := time.Hour
	s.Step(now, []Event{list})
	return s, now
}

func shardNode(i int) Endpoint { return Endpoint{ID: fmt.Sprintf("n%d", i), Zone: "z", Shard: i} }

// serve has the scheduler take one request, and its answer.
func serve(s *Scheduler, now time.Duration, id string, shard int) (served bool) {
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

// change has the scheduler take a change of one entry: a node that drains, or is back.
func change(s *Scheduler, now time.Duration, i, at int) {
	x := shardNode(at)
	x.State = EndpointState(i % 2)
	s.Step(now, []Event{EndpointList{Endpoints: []Endpoint{x}}})
}

// costs are what an initiator does all the time, each done count times from the given moment on.
var costs = []struct {
	name string
	do   func(s *Scheduler, now time.Duration, i int)
}{
	{"change of one entry", func(s *Scheduler, now time.Duration, i int) { change(s, now, i, i/2%64) }},
	{"request and answer", func(s *Scheduler, now time.Duration, i int) { serve(s, now, fmt.Sprint(i), i%64) }},
	{"new object and answer", func(s *Scheduler, now time.Duration, i int) { serve(s, now, fmt.Sprint(i), -1) }},
	{"request that waits, its client leaves", func(s *Scheduler, now time.Duration, i int) {
		s.Step(now, []Event{Request{ID: fmt.Sprint(i), Class: "pure", Plan: "p1", Volume: "v", Shard: 1 << 20, Units: 1, VolumeInitiators: 1, TimeLeft: time.Second}})
		s.Step(now, []Event{ClientGone{ID: fmt.Sprint(i)}})
	}},
	{"step after a long silence", func(s *Scheduler, now time.Duration, i int) {
		s.Step(now+time.Duration(i)*time.Minute, []Event{TimerFired{}})
	}},
	{"which are avoided", func(s *Scheduler, now time.Duration, i int) {
		s.EjectedCount()
		s.EjectedEndpoints()
	}},
}

// TestCostByUse fails where what is done all the time comes to cost by the number of listed nodes again: a hundred times as many
// may cost five times as much, since caches hold less of them. The least of many short runs is compared, until it is small enough:
// a run that is disturbed only takes longer. With a look at every lane or node, the ratios were 36 to 60,000.
func TestCostByUse(t *testing.T) {
	const most, runs, least, calls = 5, 400, 20, 32
	for _, c := range costs {
		var best [2]time.Duration
		var s [2]*Scheduler
		var now [2]time.Duration
		for i, count := range []int{200, 20000} {
			s[i], now[i] = shards(t, count)
			best[i] = never
		}
		ratio, n := math.Inf(1), 0
		for run := 0; run < runs && (run < least || ratio > most); run++ {
			for i := range s {
				began := time.Now()
				for range calls {
					now[i] += 4 * ms
					n++
					c.do(s[i], now[i], n)
				}
				best[i] = min(best[i], time.Since(began))
			}
			ratio = float64(best[1]) / float64(best[0])
		}
		if t.Logf("%s: %v among 200, %v among 20000", c.name, best[0]/calls, best[1]/calls); ratio > most {
			t.Errorf("%s: %.1f times as much among 20000 nodes as among 200, want %d at most", c.name, ratio, most)
		}
	}
}

// TestIdleNodes bounds what a node takes that is listed and that nothing is sent to, and looks that what a step goes through is
// what is in use.
func TestIdleNodes(t *testing.T) {
	const count, most = 20000, 700
	before := heapBytes()
	s, now := shards(t, count)
	per := float64(heapBytes()-before) / count
	if t.Logf("%.0f bytes", per); per > most {
		t.Errorf("%.0f bytes for each idle node, want %d at most", per, most)
	}
	for i := range 200 { // others were in use once
		now += 4 * ms
		serve(s, now, fmt.Sprint("old", i), 1000+i)
	}
	for range 2 {
		now += time.Minute
		s.Step(now, []Event{TimerFired{}})
	}
	for i := range 200 {
		now += 4 * ms
		if !serve(s, now, fmt.Sprint(i), i%10) {
			t.Fatalf("request %d is not sent", i)
		}
	}
	serve(s, now, "new", -1)
	s.EjectedCount()
	for name, list := range map[string]int{"held": len(s.waitingQueues) + len(s.newlyWaiting), "flowing": len(s.queuesWithFlows), "bare": len(s.orphanedQueues), "used": len(s.usedEndpoints),
		"news": len(s.changedEndpoints), "stale": len(s.staleQueues), "touched": len(s.waitTree.dirty), "moving": len(s.waitTree.timeDependent)} {
		if list > 12 {
			t.Errorf("%d lanes or nodes are %s with ten shards in use", list, name)
		}
	}
	s.Step(now+time.Minute, []Event{TimerFired{}})
	s.Step(now+2*time.Minute, []Event{TimerFired{}})
	if len(s.queuesWithFlows)+len(s.usedEndpoints)+len(s.volumes) > 0 || len(s.endpoints) != count || len(s.queues) != count {
		t.Errorf("after a while %d lanes have flows, %d nodes are in use, %d nodes, %d lanes", len(s.queuesWithFlows), len(s.usedEndpoints), len(s.endpoints), len(s.queues))
	}
}

var shardCounts = []int{200, 2000, 20000}

// among does something again and again where so many nodes are listed.
func among(b *testing.B, do func(s *Scheduler, now time.Duration, i, count int)) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, now := shards(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 4 * ms
				do(s, now, i, count)
			}
		})
	}
}

// BenchmarkListChange is a change of one entry among so many.
func BenchmarkListChange(b *testing.B) {
	among(b, func(s *Scheduler, now time.Duration, i, count int) { change(s, now, i, i/2%count) })
}

// BenchmarkRequest is a request and its answer, at shards in turn.
func BenchmarkRequest(b *testing.B) {
	among(b, func(s *Scheduler, now time.Duration, i, _ int) { serve(s, now, fmt.Sprint(i), i%64) })
}

// BenchmarkNewObject is a request for a new object, which may go to any node, and its answer.
func BenchmarkNewObject(b *testing.B) {
	among(b, func(s *Scheduler, now time.Duration, i, _ int) { serve(s, now, fmt.Sprint(i), -1) })
}

// BenchmarkWholeList is a whole list in which nothing is new.
func BenchmarkWholeList(b *testing.B) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, now := shards(b, count)
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

// BenchmarkAvoided asks which nodes are avoided, as the core does ten times a second.
func BenchmarkAvoided(b *testing.B) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, now := shards(b, count)
			serve(s, now, "r", 0)
			for b.Loop() {
				s.EjectedCount()
				s.EjectedEndpoints()
			}
		})
	}
}

// BenchmarkIdleNode tells the bytes that a listed node takes which nothing was sent to, and what the whole list costs.
func BenchmarkIdleNode(b *testing.B) {
	for _, count := range shardCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var per float64
			for b.Loop() {
				before := heapBytes()
				s, _ := shards(b, count)
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
