package policy

import (
	"testing"
	"time"
)

// fixed is a ration that governs some uses, and has so much left of each.
type fixed struct {
	left  map[Resource]float64
	taken int
}

func (f *fixed) Wait(res Reservation) (time.Duration, bool) {
	left, governed := f.left[res.Resource]
	if governed && left < res.Units {
		return 10 * ms, true
	}
	return 0, governed
}

func (f *fixed) Reserve(draws []Reservation) Permit {
	f.taken++
	for _, res := range draws {
		if _, governed := f.left[res.Resource]; governed {
			f.left[res.Resource] -= res.Units
		}
	}
	return f
}

func (f *fixed) Valid() bool { return true }

// TestRation holds the module to its part: no more sends than there is of each use, the part in place of the settings' even one
// where it is governed, a permit with each send, and on with the next once there is more.
func TestRation(t *testing.T) { //nolint:gocognit // one scenario, told in order
	for _, c := range []struct {
		name  string
		left  map[Resource]float64
		cold  bool
		aged  bool // half of the time until it is warm
		sends int
	}{
		{name: "nothing governed", left: map[Resource]float64{}, sends: 6},
		{name: "all work", left: map[Resource]float64{AllWork: 3}, sends: 3},
		{name: "none of it", left: map[Resource]float64{AllWork: 0}},
		{name: "cold, by the settings", left: map[Resource]float64{}, cold: true, sends: 2},
		{name: "cold, by its part", left: map[Resource]float64{ColdWork: 4}, cold: true, sends: 4},
		{name: "cold, by its part, half warm: it bears half as much again", left: map[Resource]float64{ColdWork: 2.02}, cold: true, aged: true, sends: 3},
		{name: "cold alone is governed", left: map[Resource]float64{ColdWork: 0}, sends: 6},
		{name: "connections", left: map[Resource]float64{Connections: 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := plain()
			set.ColdUnitsPerWindow = 2
			set.Rules = Rules{ColdCapacityFraction: 1, WarmUpTime: 20 * time.Second, OverloadWindow: 3 * time.Second, OverloadFactor: 1}
			part := &fixed{left: c.left}
			set.Quota = part
			n := up("a", 0)
			if c.cold {
				n.Started = time.Second - 10*ms
			}
			if c.aged {
				set.Rules.ColdCapacityFraction, set.Rules.WarmUpTime, n.Started = 0.5, 2*(time.Second-ms), ms
			}
			r := newRig(t, set, n)
			for i := range 6 {
				id := string(rune('a' + i))
				sent := len(r.sends)
				r.step(req(id, id, 1))
				if len(r.sends) > sent {
					r.end(id, Served, 5*ms)
				}
			}
			if len(r.sends) != c.sends || part.taken != c.sends {
				t.Errorf("%d sends, %d drawn, want %d", len(r.sends), part.taken, c.sends)
			}
			for _, a := range r.sends {
				if a.Permit == nil {
					t.Error("a send without a permit")
				}
			}
			if part.left[AllWork] = 10; c.name == "none of it" {
				r.step(QuotaChanged{})
				r.wait(20 * ms)
				if len(r.sends) == 0 {
					t.Error("nothing was sent once there was more")
				}
			}
		})
	}
	set := plain()
	set.Rules = Rules{RetryBudget: true, RetryBudgetWindow: time.Second} // by the settings no repeat at all
	part := &fixed{left: map[Resource]float64{Retries: 1}}
	set.Quota = part
	r := newRig(t, set, up("a", 0))
	r.step(req("a", "a", 1))
	r.end("a", AnsweredError, 5*ms)
	r.wait(100 * ms)
	r.end("a", AnsweredError, 5*ms)
	r.wait(100 * ms)
	if len(r.sends) != 2 || part.left[Retries] != 0 {
		t.Errorf("%d attempts where one repeat is in the part, %v left", len(r.sends), part.left[Retries])
	}
}
