package metrics

import (
	"strings"
	"sync"
	"testing"
)

// TestRequestsCountOnce ends requests from many goroutines, each more than once: each is counted once, and none stays concurrent.
func TestRequestsCountOnce(t *testing.T) {
	b := New([]string{"put", "get"})
	var wait sync.WaitGroup
	for i := range 300 {
		wait.Go(func() {
			r := b.StartRequest("get")
			for e := range outcomes {
				r.End((e + Outcome(i)) % outcomes)
			}
			b.CountDispatch()
			b.CountOutcome("no class", Failure)
		})
	}
	wait.Wait()
	open := b.StartRequest("put")
	b.SetTargets(7)
	b.SetEjected(2)
	want := "edge_proxy.replies.get.success:100|c\nedge_proxy.replies.get.overload:100|c\nedge_proxy.replies.get.error:100|c\n" +
		"edge_proxy.replies.put.success:0|c\nedge_proxy.replies.put.overload:0|c\nedge_proxy.replies.put.error:0|c\n" +
		"edge_proxy.dispatches:300|c\nedge_proxy.concurrent:1|g\nedge_proxy.targets:7|g\nedge_proxy.targets_disabled:2|g\n"
	if got := string(Render(b.EmitMetrics)); got != want {
		t.Errorf("rendered\n%s, want\n%s", got, want)
	}
	open.End(Overload)
	if got := string(Render(b.EmitMetrics)); !strings.Contains(got, "concurrent:0|") || !strings.Contains(got, "put.overload:1|") {
		t.Errorf("after the last end:\n%s", got)
	}
}

// TestAddClasses adds classes while a request is open: existing counters keep their values, and new classes start at 0.
func TestAddClasses(t *testing.T) {
	b := New([]string{"get"})
	open := b.StartRequest("get")
	b.AddClasses([]string{"put"})
	open.End(Success)
	b.CountOutcome("put", Overload)
	b.AddClasses([]string{"get"})
	got := string(Render(b.EmitMetrics))
	for _, want := range []string{"get.success:1|", "get.error:0|", "put.overload:1|", "put.success:0|", "concurrent:0|"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in\n%s", want, got)
		}
	}
}
