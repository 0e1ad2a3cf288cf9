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

// goroutineWakeups returns about how many times goroutines have been scheduled so far.
func goroutineWakeups() (n uint64) {
	s := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(s)
	for _, c := range s[0].Value.Float64Histogram().Counts {
		n += c
	}
	return n
}

// TestIdleTargetsDoNotWake checks that the actors of many idle targets do not wake up for an hour.
func TestIdleTargetsDoNotWake(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewRegistry(Options{Dialer: NewHTTPDialer(budget.New(0)), IdleTimeout: time.Second, MaxConnsPerTarget: 1, MaxConnsTotal: 1, Log: slog.New(slog.DiscardHandler)}, nil)
		var list []Target
		for i := range 200 {
			list = append(list, Target{ID: fmt.Sprint(i), Addr: "127.0.0.1:1"})
		}
		g.Apply(list, true)
		defer g.Shutdown()
		for _, x := range list { // start their actors
			g.mu.Lock()
			g.post(g.targets[x.ID], pruneMsg{})
			g.mu.Unlock()
		}
		synctest.Wait()
		before := goroutineWakeups()
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Less(t, goroutineWakeups()-before, uint64(10_000))
	})
}

// TestIdleConnectionEnds checks that an unused connection is closed after the idle timeout, and not before.
func TestIdleConnectionEnds(t *testing.T) {
	const idle = 200 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	results := make(chan core.Result, 1)
	g := NewRegistry(Options{Dialer: NewHTTPDialer(budget.New(1 << 20)), DialTimeout: 20 * time.Second, IdleTimeout: idle, MaxConnsPerTarget: 4, MaxConnsTotal: 4, Log: slog.New(slog.DiscardHandler)},
		func(r core.Result) { results <- r })
	g.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, true)
	g.Send(core.Attempt{RequestID: "r", Target: "n", Deadline: time.Now().Add(20 * time.Second), Payload: &Request{Method: http.MethodGet, URI: "/r/1", ID: "id"}})
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 4096))
	require.NoError(t, err)
	before := time.Now()
	respond(c, "200 OK", "")
	<-results
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(before), idle)
	require.Eventually(t, func() bool { return g.limits.open.Load() == 0 }, 20*time.Second, time.Millisecond)
}

// TestUnusedTargetsHaveNoActor lists many targets and drains, moves and removes some: only a used one has an actor, which ends when the
// target is removed.
func TestUnusedTargetsHaveNoActor(t *testing.T) {
	s := newFakeTarget(t, func(_ int32, _ *http.Request, c net.Conn) bool { return respond(c, "200 OK", "") })
	var list []Target
	for i := range 1000 {
		list = append(list, Target{ID: fmt.Sprint(i), Addr: s.Addr().String()})
	}
	results := make(chan core.Result, 8)
	g := NewRegistry(Options{Dialer: NewHTTPDialer(budget.New(1 << 20)), DialTimeout: 20 * time.Second, IdleTimeout: time.Minute, MaxConnsPerTarget: 4, MaxConnsTotal: 4, Log: slog.New(slog.DiscardHandler)},
		func(r core.Result) { results <- r })
	before := runtime.NumGoroutine()
	require.Equal(t, 1000, g.Apply(list, true))
	g.PruneIdle()
	g.Cancel("7", "r")
	require.Equal(t, 1000, g.Apply([]Target{{ID: "8", State: policy.Draining}, {ID: "9", Addr: "127.0.0.1:1"}}, false))
	require.Equal(t, 999, g.Apply([]Target{{ID: "10", State: policy.Removed}, {ID: "none", State: policy.Removed}}, false))
	require.LessOrEqual(t, runtime.NumGoroutine(), before)
	send := func(node string) policy.OutcomeCode {
		g.Send(core.Attempt{RequestID: "r", Target: node, Deadline: time.Now().Add(20 * time.Second), Payload: &Request{Method: http.MethodGet, URI: "/r/1", ID: "id"}})
		return (<-results).Code
	}
	require.Equal(t, policy.NotSent, send("8"))
	require.Equal(t, policy.NotConnected, send("9"))
	require.Equal(t, policy.NotSent, send("10"))
	require.Equal(t, policy.Served, send("11"))
	require.Equal(t, 1, g.Apply([]Target{{ID: "11", Addr: s.Addr().String()}}, true))
	require.Equal(t, policy.Served, send("11"))
	g.Shutdown()
	require.Equal(t, policy.NotSent, send("11"))
	s.Close()
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before && g.limits.open.Load() == 0 }, 20*time.Second, time.Millisecond)
}

// BenchmarkApplyChange applies a change of one entry to lists of several lengths.
func BenchmarkApplyChange(b *testing.B) {
	for _, n := range []int{200, 2000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := NewRegistry(Options{Dialer: NewHTTPDialer(budget.New(0)), IdleTimeout: time.Minute, MaxConnsPerTarget: 1, MaxConnsTotal: 1, Log: slog.New(slog.DiscardHandler)}, nil)
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
			g.Shutdown()
		})
	}
}

// TestTimeoutsChange lowers the timeouts in service: an idle connection is closed by the new idle timeout, and the next dial has the new
// dial timeout.
func TestTimeoutsChange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	results := make(chan core.Result, 1)
	g := NewRegistry(Options{Dialer: NewHTTPDialer(budget.New(1 << 20)), DialTimeout: 20 * time.Second, IdleTimeout: time.Hour, MaxConnsPerTarget: 4, MaxConnsTotal: 4, Log: slog.New(slog.DiscardHandler)},
		func(r core.Result) { results <- r })
	g.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, true)
	send := func() {
		g.Send(core.Attempt{RequestID: "r", Target: "n", Deadline: time.Now().Add(20 * time.Second), Payload: &Request{Method: http.MethodGet, URI: "/r/1", ID: "id"}})
	}
	send()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = c.Read(make([]byte, 4096))
	require.NoError(t, err)
	respond(c, "200 OK", "")
	<-results
	g.SetTimeouts(time.Nanosecond, 50*time.Millisecond)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	send()
	require.Equal(t, policy.NotConnected, (<-results).Code, "no dial succeeds within a nanosecond")
}
