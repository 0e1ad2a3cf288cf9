package outlierboard

import (
	"testing"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// TestBoard has results come under older and newer tokens, of targets that are avoided and not: ages grow, an older token is refused, and
// what nobody avoids any more is forgotten.
func TestBoard(t *testing.T) {
	var b Board
	b.SetEjected("m1", []string{"t2", "t1", "t1"})
	b.SetEjected("m2", []string{"t1"})
	for i, c := range []struct {
		r     lease.ProbeResult
		taken bool
	}{
		{lease.ProbeResult{Target: "t1", Token: 7, AgeMs: 40}, true},
		{lease.ProbeResult{Target: "t1", Token: 6, Healthy: true}, false},
		{lease.ProbeResult{Target: "t9", Token: 8}, false},
	} {
		if got := b.AddResult(time.Second, c.r); got != c.taken {
			t.Errorf("result %d: taken %v", i, got)
		}
	}
	if news := b.ResultsFor(3*time.Second, "m2"); len(news) != 1 || news[0].AgeMs != 2040 || news[0].Healthy {
		t.Errorf("news %+v", news)
	}
	if work := b.ProbeTargets(func(string) bool { return true }); len(work) != 2 || work[0] != "t1" {
		t.Errorf("work %v", work)
	}
	b.Prune(4*time.Second, time.Minute, func(id string) bool { return id == "m1" })
	b.SetEjected("m1", []string{"t2"})
	if b.AddResult(4*time.Second, lease.ProbeResult{Target: "t1", Token: 9}) || len(b.Entries(0)) != 1 {
		t.Errorf("t1 is still on the board: %+v", b.Entries(0))
	}
	b.AddResult(4*time.Second, lease.ProbeResult{Target: "t2", Token: 9})
	b.Prune(2*time.Minute, time.Minute, func(string) bool { return true })
	if news := b.ResultsFor(2*time.Minute, "m1"); len(news) != 0 {
		t.Errorf("old news %+v", news)
	}
}
