package quotaclient

import (
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

const begun = time.Hour

func seated(t *testing.T, budgets ...quota.Budget) *Holder {
	t.Helper()
	d := quota.Doc{Version: 1, Seats: 2, Budgets: budgets}
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	h := New(quota.Uses)
	h.Seat(begun, "m", d)
	return h
}

// TestBarred has nothing of a governed use before the budgets are known or after leaving, and what no budget governs free after.
func TestBarred(t *testing.T) {
	work, cold := quota.Draw{Use: quota.Work, Units: 1}, quota.Draw{Use: quota.Cold, Target: "t", Units: 1}
	h := New([]quota.Use{quota.Work})
	if wait, governed := h.Wait(begun, work); wait == 0 || !governed {
		t.Error("work before the budgets are known")
	}
	if wait, governed := h.Wait(begun, cold); wait != 0 || governed {
		t.Error("a use that its file does not name is held up")
	}
	h = seated(t, quota.Budget{Name: "cold", Use: quota.Cold, Per: quota.PerTarget, Only: []string{"u"}, Whole: 10, Burst: 10})
	for _, d := range []quota.Draw{work, cold} {
		if wait, governed := h.Wait(begun, d); wait != 0 || governed {
			t.Errorf("%v is governed by no budget", d)
		}
	}
	cold.Target = "u"
	if wait, _ := h.Wait(begun, cold); wait == 0 {
		t.Error("no floor and no part, and yet")
	}
	h.Leave()
	if wait, _ := h.Wait(begun, work); wait == 0 || h.Open(begun, "t") {
		t.Error("something is used after leaving")
	}
}

// TestWant asks for what was used and a quarter more, holds that steady, doubles where something is denied, and lets go slowly.
func TestWant(t *testing.T) {
	h := seated(t, quota.Budget{Name: "work", Use: quota.Work, Whole: 1000, Burst: 1000, Least: 1, LeastBurst: 1})
	d := quota.Draw{Use: quota.Work, Units: 1}
	now, last := begun, 0.0
	renew := func(uses float64, denied bool) float64 {
		for range int(uses) {
			h.Take(now, d)
		}
		if denied {
			h.Wait(now, quota.Draw{Use: quota.Work, Units: 1e6})
		}
		now += time.Second
		r := h.Renew(now)
		h.Accept(now, quota.Answer{ID: "m", Seq: r.Seq, Grants: []quota.Grant{{Key: r.Reports[0].Key, Amount: quota.Amount{Rate: 99, Burst: 99}}}})
		return r.Reports[0].Want
	}
	for i, c := range []struct {
		uses      float64
		denied    bool
		low, high float64
	}{{40, false, 50, 50}, {41, false, 50, 50}, {38, false, 50, 50}, {60, false, 75, 75}, {0, false, 60, 60}, {0, false, 48, 48}, {0, true, 1e6, 1e6}} {
		want := renew(c.uses, c.denied)
		if want < c.low-1e-6 || want > c.high+1e-6 {
			t.Errorf("renewal %d: %v wanted after %v used, %v before; want %v to %v", i, want, c.uses, last, c.low, c.high)
		}
		last = want
	}
}

// TestEnds keeps what is known bounded, and forgets what nobody draws from.
func TestEnds(t *testing.T) {
	h := seated(t, quota.Budget{Name: "cold", Use: quota.Cold, Per: quota.PerTarget, Whole: 10, Burst: 10, Least: 1, LeastBurst: 1})
	now := begun + time.Minute
	for i := range 2 * quota.MostKeys {
		wait, _ := h.Wait(now, quota.Draw{Use: quota.Cold, Target: fmt.Sprint(i), Units: 1})
		if (wait == 0) != (i < quota.MostKeys) {
			t.Fatalf("target %d: wait %v", i, wait)
		}
	}
	if n := len(h.Renew(now).Reports); n != quota.MostKeys {
		t.Errorf("%d reports", n)
	}
	now += forget + time.Second
	if h.Accept(now, quota.Answer{ID: "m", Seq: 1}); !h.Seated(now) {
		t.Fatal("the seat has ended")
	}
	if n := len(h.Renew(now).Reports); n != 0 {
		t.Errorf("%d targets are known long after", n)
	}
}

// TestNext renews sooner for a new need and while asking brings more, and no more often than others where it is denied for good.
func TestNext(t *testing.T) {
	h := seated(t, quota.Budget{Name: "work", Use: quota.Work, Whole: 1000, Burst: 1000, Least: 1, LeastBurst: 1})
	now := begun
	for i, c := range []struct {
		denied bool
		gets   float64
		sooner bool
	}{{false, 10, false}, {true, 10, true}, {true, 10, false}, {true, 20, true}, {true, 20, false}, {false, 20, false}, {true, 20, true}} {
		r := h.Renew(now)
		h.Accept(now, quota.Answer{ID: "m", Seq: r.Seq, Grants: []quota.Grant{{Key: r.Reports[0].Key, Amount: quota.Amount{Rate: c.gets, Burst: 9}}}})
		if c.denied {
			h.Wait(now, quota.Draw{Use: quota.Work, Units: 1e6})
		}
		if sooner := h.Next()-now < time.Second; sooner != c.sooner {
			t.Errorf("renewal %d: next in %v", i, h.Next()-now)
		}
		now += time.Second
	}
}
