package policy

import (
	"testing"
	"time"
)

// fixedQuota is a Quota with a fixed amount of some resources.
type fixedQuota struct {
	remaining    map[Resource]float64
	reserveCalls int
}

func (f *fixedQuota) Wait(res Reservation) (time.Duration, bool) {
	left, governed := f.remaining[res.Resource]
	if governed && left < res.Units {
		return 10 * ms, true
	}
	return 0, governed
}

func (f *fixedQuota) Reserve(reservations []Reservation) Permit {
	f.reserveCalls++
	for _, res := range reservations {
		if _, governed := f.remaining[res.Resource]; governed {
			f.remaining[res.Resource] -= res.Units
		}
	}
	return f
}

func (f *fixedQuota) Valid() bool { return true }

// TestQuotaLimitsSends checks that no more is sent than the quota of each resource allows, that a quota replaces the even share of
// the settings where it governs the resource, that each send has a permit, and that sending continues once the quota grows.
func TestQuotaLimitsSends(t *testing.T) { //nolint:gocognit // one scenario, in order
	for _, c := range []struct {
		name     string
		left     map[Resource]float64
		cold     bool
		halfWarm bool // half of the warm-up time has passed
		sends    int
	}{
		{name: "nothing governed", left: map[Resource]float64{}, sends: 6},
		{name: "all work is limited", left: map[Resource]float64{AllWork: 3}, sends: 3},
		{name: "no work allowed", left: map[Resource]float64{AllWork: 0}},
		{name: "cold, limited by the settings", left: map[Resource]float64{}, cold: true, sends: 2},
		{name: "cold, limited by the quota", left: map[Resource]float64{ColdWork: 4}, cold: true, sends: 4},
		{name: "cold, limited by the quota, half warm: half as much again", left: map[Resource]float64{ColdWork: 2.02}, cold: true, halfWarm: true, sends: 3},
		{name: "quota for cold endpoints only, endpoint is warm", left: map[Resource]float64{ColdWork: 0}, sends: 6},
		{name: "no connections", left: map[Resource]float64{Connections: 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ColdUnitsPerWindow = 2
			set.Rules = Rules{ColdCapacityFraction: 1, WarmUpTime: 20 * time.Second, OverloadWindow: 3 * time.Second, OverloadFactor: 1}
			quota := &fixedQuota{remaining: c.left}
			set.Quota = quota
			ep := upEndpoint("a", 0)
			if c.cold {
				ep.Started = time.Second - 10*ms
			}
			if c.halfWarm {
				set.Rules.ColdCapacityFraction, set.Rules.WarmUpTime, ep.Started = 0.5, 2*(time.Second-ms), ms
			}
			h := newHarness(t, set, ep)
			for i := range 6 {
				id := string(rune('a' + i))
				sent := len(h.sends)
				h.step(testRequest(id, id, 1))
				if len(h.sends) > sent {
					h.endAttempt(id, Served, 5*ms)
				}
			}
			if len(h.sends) != c.sends || quota.reserveCalls != c.sends {
				t.Errorf("%d sends, %d reservations, want %d", len(h.sends), quota.reserveCalls, c.sends)
			}
			for _, a := range h.sends {
				if a.Permit == nil {
					t.Error("a send without a permit")
				}
			}
			if quota.remaining[AllWork] = 10; c.name == "no work allowed" {
				h.step(QuotaChanged{})
				h.advance(20 * ms)
				if len(h.sends) == 0 {
					t.Error("nothing was sent after the quota grew")
				}
			}
		})
	}
	set := testSettings()
	set.Rules = Rules{RetryBudget: true, RetryBudgetWindow: time.Second} // the settings allow no retry
	quota := &fixedQuota{remaining: map[Resource]float64{Retries: 1}}
	set.Quota = quota
	h := newHarness(t, set, upEndpoint("a", 0))
	h.step(testRequest("a", "a", 1))
	h.endAttempt("a", AnsweredError, 5*ms)
	h.advance(100 * ms)
	h.endAttempt("a", AnsweredError, 5*ms)
	h.advance(100 * ms)
	if len(h.sends) != 2 || quota.remaining[Retries] != 0 {
		t.Errorf("%d attempts with a quota of one retry, %v left", len(h.sends), quota.remaining[Retries])
	}
}
