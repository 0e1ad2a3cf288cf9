package outlierboard

import (
	"testing"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// TestBoard adds results under older and newer tokens, for targets that are ejected and not. Ages must grow, results under an older
// token be rejected, and targets that no member ejects any more be removed.
func TestBoard(t *testing.T) {
	var b Board
	b.SetEjected("m1", []string{"t2", "t1", "t1"})
	b.SetEjected("m2", []string{"t1"})
	for i, c := range []struct {
		r        lease.ProbeResult
		recorded bool
	}{
		{lease.ProbeResult{Target: "t1", Token: 7, AgeMs: 40}, true},
		{lease.ProbeResult{Target: "t1", Token: 6, Healthy: true}, false},
		{lease.ProbeResult{Target: "t9", Token: 8}, false},
	} {
		if got := b.AddResult(time.Second, c.r); got != c.recorded {
			t.Errorf("result %d: recorded %v", i, got)
		}
	}
	if results := b.ResultsFor(3*time.Second, "m2"); len(results) != 1 || results[0].AgeMs != 2040 || results[0].Healthy {
		t.Errorf("results for m2: %+v", results)
	}
	if targets := b.ProbeTargets(func(string) bool { return true }); len(targets) != 2 || targets[0] != "t1" {
		t.Errorf("targets to probe: %v", targets)
	}
	b.Prune(4*time.Second, time.Minute, func(id string) bool { return id == "m1" })
	b.SetEjected("m1", []string{"t2"})
	if b.AddResult(4*time.Second, lease.ProbeResult{Target: "t1", Token: 9}) || len(b.Entries(0)) != 1 {
		t.Errorf("t1 is still on the board: %+v", b.Entries(0))
	}
	b.AddResult(4*time.Second, lease.ProbeResult{Target: "t2", Token: 9})
	b.Prune(2*time.Minute, time.Minute, func(string) bool { return true })
	if results := b.ResultsFor(2*time.Minute, "m1"); len(results) != 0 {
		t.Errorf("results not pruned: %+v", results)
	}
}
