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
	b.Note("m1", []string{"t2", "t1", "t1"})
	b.Note("m2", []string{"t1"})
	for i, c := range []struct {
		r     lease.Result
		taken bool
	}{
		{lease.Result{Target: "t1", Token: 7, AgoMs: 40}, true},
		{lease.Result{Target: "t1", Token: 6, Well: true}, false},
		{lease.Result{Target: "t9", Token: 8}, false},
	} {
		if got := b.Take(time.Second, c.r); got != c.taken {
			t.Errorf("result %d: taken %v", i, got)
		}
	}
	if news := b.News(3*time.Second, "m2"); len(news) != 1 || news[0].AgoMs != 2040 || news[0].Well {
		t.Errorf("news %+v", news)
	}
	if work := b.Work(func(string) bool { return true }); len(work) != 2 || work[0] != "t1" {
		t.Errorf("work %v", work)
	}
	b.Keep(4*time.Second, time.Minute, func(id string) bool { return id == "m1" })
	b.Note("m1", []string{"t2"})
	if b.Take(4*time.Second, lease.Result{Target: "t1", Token: 9}) || len(b.Lines(0)) != 1 {
		t.Errorf("t1 is still on the board: %+v", b.Lines(0))
	}
	b.Take(4*time.Second, lease.Result{Target: "t2", Token: 9})
	b.Keep(2*time.Minute, time.Minute, func(string) bool { return true })
	if news := b.News(2*time.Minute, "m1"); len(news) != 0 {
		t.Errorf("old news %+v", news)
	}
}
