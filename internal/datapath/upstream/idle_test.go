package upstream

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/virtualtime"
)

// wakings is about how often goroutines were run so far.
func wakings() (n uint64) {
	s := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(s)
	for _, c := range s[0].Value.Float64Histogram().Counts {
		n += c
	}
	return n
}

// TestIdleTargetsCostNothing has an initiator send nothing to many targets for an hour: none of their actors wakes up meanwhile.
func TestIdleTargetsCostNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewRegistry(Options{Wire: NewHTTP(budget.New(0)), Idle: time.Second, MostConn: 1, MostAll: 1, Log: slog.New(slog.DiscardHandler)}, nil)
		var list []Target
		for i := range 200 {
			list = append(list, Target{ID: fmt.Sprint(i), Addr: "127.0.0.1:1"})
		}
		g.Apply(list, true)
		defer g.Retire()
		for _, x := range list { // their actors run
			g.mu.Lock()
			g.tell(g.targets[x.ID], moved{})
			g.mu.Unlock()
		}
		synctest.Wait()
		before := wakings()
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Less(t, wakings()-before, uint64(10_000))
	})
}

// TestIdleConnectionEnds has nothing happen after an answer: its connection is closed once it has been idle for its time, and not before.
func TestIdleConnectionEnds(t *testing.T) {
	const idle = 200 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	results := make(chan core.Result, 1)
	g := NewRegistry(Options{Wire: NewHTTP(budget.New(1 << 20)), Dial: 20 * time.Second, Idle: idle, MostConn: 4, MostAll: 4, Log: slog.New(slog.DiscardHandler)},
		func(r core.Result) { results <- r })
	g.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, true)
	g.Send(core.Attempt{RequestID: "r", Target: "n", Deadline: time.Now().Add(20 * time.Second), Payload: &Message{Method: http.MethodGet, URI: "/r/1", ID: "id"}})
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 4096))
	require.NoError(t, err)
	before := time.Now()
	say(c, "200 OK", "")
	<-results
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(before), idle)
	require.Eventually(t, func() bool { return g.pool.conns.Load() == 0 }, 20*time.Second, time.Millisecond)
}

// TestUnusedTargetsHaveNoActor lists many targets, of which one is used, and has them drain, move and go: only that one has an actor, which ends when it is gone.
func TestUnusedTargetsHaveNoActor(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	var list []Target
	for i := range 1000 {
		list = append(list, Target{ID: fmt.Sprint(i), Addr: s.Addr().String()})
	}
	results := make(chan core.Result, 8)
	g := NewRegistry(Options{Wire: NewHTTP(budget.New(1 << 20)), Dial: 20 * time.Second, Idle: time.Minute, MostConn: 4, MostAll: 4, Log: slog.New(slog.DiscardHandler)},
		func(r core.Result) { results <- r })
	before := runtime.NumGoroutine()
	require.Equal(t, 1000, g.Apply(list, true))
	g.Review()
	g.Cancel("7", "r")
	require.Equal(t, 1000, g.Apply([]Target{{ID: "8", State: policy.Draining}, {ID: "9", Addr: "127.0.0.1:1"}}, false))
	require.Equal(t, 999, g.Apply([]Target{{ID: "10", State: policy.Removed}, {ID: "none", State: policy.Removed}}, false))
	require.LessOrEqual(t, runtime.NumGoroutine(), before)
	send := func(node string) policy.OutcomeCode {
		g.Send(core.Attempt{RequestID: "r", Target: node, Deadline: time.Now().Add(20 * time.Second), Payload: &Message{Method: http.MethodGet, URI: "/r/1", ID: "id"}})
		return (<-results).Code
	}
	require.Equal(t, policy.NotSent, send("8"))
	require.Equal(t, policy.NotConnected, send("9"))
	require.Equal(t, policy.NotSent, send("10"))
	require.Equal(t, policy.Served, send("11"))
	require.Equal(t, 1, g.Apply([]Target{{ID: "11", Addr: s.Addr().String()}}, true))
	require.Equal(t, policy.Served, send("11"))
	g.Retire()
	require.Equal(t, policy.NotSent, send("11"))
	s.Close()
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before && g.pool.conns.Load() == 0 }, 20*time.Second, time.Millisecond)
}

// BenchmarkChange applies a change of one entry to lists of several lengths.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{200, 2000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := NewRegistry(Options{Wire: NewHTTP(budget.New(0)), Idle: time.Minute, MostConn: 1, MostAll: 1, Log: slog.New(slog.DiscardHandler)}, nil)
			var list []Target
			for i := range n {
				list = append(list, Target{ID: fmt.Sprint(i), Addr: "127.0.0.1:1"})
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			g.Apply(list, true)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := range b.N {
				g.Apply([]Target{{ID: "7", State: policy.EndpointState(i % 2)}}, false)
			}
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/float64(n), "B/target")
			g.Retire()
		})
	}
}

// TestTimesChange has a connection rest for a time that becomes a shorter one: it is closed by that, and the next has another time to come up.
func TestTimesChange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	results := make(chan core.Result, 1)
	g := NewRegistry(Options{Wire: NewHTTP(budget.New(1 << 20)), Dial: 20 * time.Second, Idle: time.Hour, MostConn: 4, MostAll: 4, Log: slog.New(slog.DiscardHandler)},
		func(r core.Result) { results <- r })
	g.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, true)
	send := func() {
		g.Send(core.Attempt{RequestID: "r", Target: "n", Deadline: time.Now().Add(20 * time.Second), Payload: &Message{Method: http.MethodGet, URI: "/r/1", ID: "id"}})
	}
	send()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = c.Read(make([]byte, 4096))
	require.NoError(t, err)
	say(c, "200 OK", "")
	<-results
	g.Times(time.Nanosecond, 50*time.Millisecond)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	send()
	require.Equal(t, policy.NotConnected, (<-results).Code, "no connection comes up within a nanosecond")
}
