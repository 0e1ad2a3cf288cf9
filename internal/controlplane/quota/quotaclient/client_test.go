package quotaclient

import (
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

const begun = time.Hour

func seated(t *testing.T, budgets ...quota.Budget) *Client {
	t.Helper()
	c := quota.Config{Version: 1, MaxSessions: 2, Budgets: budgets}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	h := New(quota.Resources)
	h.Register(begun, "m", c)
	return h
}

// TestBarred has nothing of a governed use before the budgets are known or after leaving, and what no budget governs free after.
func TestBarred(t *testing.T) {
	work, cold := quota.Reservation{Resource: quota.AllWork, Units: 1}, quota.Reservation{Resource: quota.ColdWork, Target: "t", Units: 1}
	c := New([]quota.Resource{quota.AllWork})
	if wait, governed := c.Wait(begun, work); wait == 0 || !governed {
		t.Error("work before the budgets are known")
	}
	if wait, governed := c.Wait(begun, cold); wait != 0 || governed {
		t.Error("a use that its file does not name is held up")
	}
	c = seated(t, quota.Budget{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Only: []string{"u"}, Capacity: 10, Burst: 10})
	for _, r := range []quota.Reservation{work, cold} {
		if wait, governed := c.Wait(begun, r); wait != 0 || governed {
			t.Errorf("%v is governed by no budget", r)
		}
	}
	cold.Target = "u"
	if wait, _ := c.Wait(begun, cold); wait == 0 {
		t.Error("no floor and no part, and yet")
	}
	c.Leave()
	if wait, _ := c.Wait(begun, work); wait == 0 || c.OpenConnection(begun, "t") {
		t.Error("something is used after leaving")
	}
}

// TestWant asks for what was used and a quarter more, holds that steady, doubles where something is denied, and lets go slowly.
func TestWant(t *testing.T) {
	h := seated(t, quota.Budget{Name: "work", Resource: quota.AllWork, Capacity: 1000, Burst: 1000, FloorRate: 1, FloorBurst: 1})
	r := quota.Reservation{Resource: quota.AllWork, Units: 1}
	now, last := begun, 0.0
	renew := func(uses float64, denied bool) float64 {
		for range int(uses) {
			h.Reserve(now, r)
		}
		if denied {
			h.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: 1e6})
		}
		now += time.Second
		req := h.BeginRenewal(now)
		h.AcceptRenewal(now, quota.RenewalResponse{ID: "m", Seq: req.Seq, Allocations: []quota.Allocation{{Key: req.Reports[0].Key, Amount: quota.Amount{Rate: 99, Burst: 99}}}})
		return req.Reports[0].Want
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
	c := seated(t, quota.Budget{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 10, Burst: 10, FloorRate: 1, FloorBurst: 1})
	now := begun + time.Minute
	for i := range 2 * quota.MaxKeys {
		wait, _ := c.Wait(now, quota.Reservation{Resource: quota.ColdWork, Target: fmt.Sprint(i), Units: 1})
		if (wait == 0) != (i < quota.MaxKeys) {
			t.Fatalf("target %d: wait %v", i, wait)
		}
	}
	if n := len(c.BeginRenewal(now).Reports); n != quota.MaxKeys {
		t.Errorf("%d reports", n)
	}
	now += idleTTL + time.Second
	if c.AcceptRenewal(now, quota.RenewalResponse{ID: "m", Seq: 1}); !c.Registered(now) {
		t.Fatal("the seat has ended")
	}
	if n := len(c.BeginRenewal(now).Reports); n != 0 {
		t.Errorf("%d targets are known long after", n)
	}
}

// TestNext renews sooner for a new need and while asking brings more, and no more often than others where it is denied for good.
func TestNext(t *testing.T) {
	h := seated(t, quota.Budget{Name: "work", Resource: quota.AllWork, Capacity: 1000, Burst: 1000, FloorRate: 1, FloorBurst: 1})
	now := begun
	for i, c := range []struct {
		denied bool
		gets   float64
		sooner bool
	}{{false, 10, false}, {true, 10, true}, {true, 10, false}, {true, 20, true}, {true, 20, false}, {false, 20, false}, {true, 20, true}} {
		req := h.BeginRenewal(now)
		h.AcceptRenewal(now, quota.RenewalResponse{ID: "m", Seq: req.Seq, Allocations: []quota.Allocation{{Key: req.Reports[0].Key, Amount: quota.Amount{Rate: c.gets, Burst: 9}}}})
		if c.denied {
			h.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: 1e6})
		}
		if sooner := h.NextRenewal()-now < time.Second; sooner != c.sooner {
			t.Errorf("renewal %d: next in %v", i, h.NextRenewal()-now)
		}
		now += time.Second
	}
}
