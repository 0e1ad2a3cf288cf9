package quotaclient

import (
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

const start = time.Hour

// newRegisteredClient returns a client with a session that started at start, under a config with these budgets.
func newRegisteredClient(t *testing.T, budgets ...quota.Budget) *Client {
	t.Helper()
	c := quota.Config{Version: 1, MaxSessions: 2, Budgets: budgets}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	client := New(quota.Resources)
	client.Register(start, "m", c)
	return client
}

// TestBlockedResources checks that a governed resource is blocked before the budgets are known and after Leave, and that a resource
// covered by no budget is not limited.
func TestBlockedResources(t *testing.T) {
	work, cold := quota.Reservation{Resource: quota.AllWork, Units: 1}, quota.Reservation{Resource: quota.ColdWork, Target: "t", Units: 1}
	c := New([]quota.Resource{quota.AllWork})
	if wait, governed := c.Wait(start, work); wait == 0 || !governed {
		t.Error("a governed resource is not blocked before the budgets are known")
	}
	if wait, governed := c.Wait(start, cold); wait != 0 || governed {
		t.Error("a resource that is not governed is blocked")
	}
	c = newRegisteredClient(t, quota.Budget{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Only: []string{"u"}, Capacity: 10, Burst: 10})
	for _, r := range []quota.Reservation{work, cold} {
		if wait, governed := c.Wait(start, r); wait != 0 || governed {
			t.Errorf("%v is limited, but no budget covers it", r)
		}
	}
	cold.Target = "u"
	if wait, _ := c.Wait(start, cold); wait == 0 {
		t.Error("a reservation is allowed without a floor or an allocation")
	}
	c.Leave()
	if wait, _ := c.Wait(start, work); wait == 0 || c.OpenConnection(start, "t") {
		t.Error("a reservation or a connection is allowed after Leave")
	}
}

// TestDemandEstimate checks the demand in renewals: usage plus a quarter, unchanged for small changes of usage, decaying slowly, and
// at least the denied amount after a denial.
func TestDemandEstimate(t *testing.T) {
	client := newRegisteredClient(t, quota.Budget{Name: "work", Resource: quota.AllWork, Capacity: 1000, Burst: 1000, FloorRate: 1, FloorBurst: 1})
	r := quota.Reservation{Resource: quota.AllWork, Units: 1}
	now, lastWant := start, 0.0
	renew := func(used float64, denied bool) float64 {
		for range int(used) {
			client.Reserve(now, r)
		}
		if denied {
			client.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: 1e6})
		}
		now += time.Second
		req := client.BeginRenewal(now)
		client.AcceptRenewal(now, quota.RenewalResponse{ID: "m", Seq: req.Seq, Allocations: []quota.Allocation{{Key: req.Reports[0].Key, Amount: quota.Amount{Rate: 99, Burst: 99}}}})
		return req.Reports[0].Want
	}
	for i, c := range []struct {
		used      float64
		denied    bool
		low, high float64
	}{{40, false, 50, 50}, {41, false, 50, 50}, {38, false, 50, 50}, {60, false, 75, 75}, {0, false, 60, 60}, {0, false, 48, 48}, {0, true, 1e6, 1e6}} {
		want := renew(c.used, c.denied)
		if want < c.low-1e-6 || want > c.high+1e-6 {
			t.Errorf("renewal %d: demand %v after %v used, previous demand %v; want %v to %v", i, want, c.used, lastWant, c.low, c.high)
		}
		lastWant = want
	}
}

// TestLimitsKeptAreBounded checks that a client keeps at most MaxKeys limits and removes those that have been unused for idleTTL.
func TestLimitsKeptAreBounded(t *testing.T) {
	c := newRegisteredClient(t, quota.Budget{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 10, Burst: 10, FloorRate: 1, FloorBurst: 1})
	now := start + time.Minute
	for i := range 2 * quota.MaxKeys {
		wait, _ := c.Wait(now, quota.Reservation{Resource: quota.ColdWork, Target: fmt.Sprint(i), Units: 1})
		if (wait == 0) != (i < quota.MaxKeys) {
			t.Fatalf("target %d: wait %v", i, wait)
		}
	}
	if n := len(c.BeginRenewal(now).Reports); n != quota.MaxKeys {
		t.Errorf("%d reports, want MaxKeys", n)
	}
	now += idleTTL + time.Second
	if c.AcceptRenewal(now, quota.RenewalResponse{ID: "m", Seq: 1}); !c.Registered(now) {
		t.Fatal("the session has expired")
	}
	if n := len(c.BeginRenewal(now).Reports); n != 0 {
		t.Errorf("%d unused limits are still reported after idleTTL", n)
	}
}

// TestNextRenewal checks that the next renewal is early after a first denial and while denied renewals increase the allocation, and
// is not early when denials continue without an increase.
func TestNextRenewal(t *testing.T) {
	client := newRegisteredClient(t, quota.Budget{Name: "work", Resource: quota.AllWork, Capacity: 1000, Burst: 1000, FloorRate: 1, FloorBurst: 1})
	now := start
	for i, c := range []struct {
		denied  bool
		granted float64
		early   bool
	}{{false, 10, false}, {true, 10, true}, {true, 10, false}, {true, 20, true}, {true, 20, false}, {false, 20, false}, {true, 20, true}} {
		req := client.BeginRenewal(now)
		client.AcceptRenewal(now, quota.RenewalResponse{ID: "m", Seq: req.Seq, Allocations: []quota.Allocation{{Key: req.Reports[0].Key, Amount: quota.Amount{Rate: c.granted, Burst: 9}}}})
		if c.denied {
			client.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: 1e6})
		}
		if early := client.NextRenewal()-now < time.Second; early != c.early {
			t.Errorf("renewal %d: next in %v", i, client.NextRenewal()-now)
		}
		now += time.Second
	}
}
