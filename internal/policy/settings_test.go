package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// with returns plain settings after an edit.
func with(edit func(*Settings)) Settings {
	set := plain()
	edit(&set)
	return set
}

// TestSettingsLeaveOpenRequestsAlone has a class become another while its requests are open: they end by it as they came, and those that
// come later by it as it is.
func TestSettingsLeaveOpenRequestsAlone(t *testing.T) {
	unsafe := with(func(set *Settings) { set.Classes[0].Effect = NonIdempotent })
	r := newRig(t, unsafe, up("n", 0))
	r.step(req("out", "v", 1), req("waits", "v", 1), req("waits too", "v", 1))
	require.Equal(t, []string{"out", "waits"}, r.sent(), "the node takes two at a time")
	pure := plain()
	pure.Classes[0].LatencyObjective = 100 * ms
	r.step(pure)
	r.end("out", ConnectionReset, 10*ms)
	require.Len(t, r.ends, 1, "it may have run, and was unsafe when it came")
	require.Equal(t, Fail, r.ends[0].Kind)
	r.step(req("later", "v", 1))
	r.end("later", ConnectionReset, 10*ms)
	r.now += 150 * ms
	r.step(TimerFired{})
	require.NotContains(t, ended(r), "waits too", "its aim was 400 ms when it came")
	require.Contains(t, ended(r), "later", "its aim was 100 ms")
	require.Equal(t, Reject, r.ends[slices.Index(ended(r), "later")].Kind, "a repeat is harmless by then")
}

func ended(r *rig) (ids []string) {
	for _, a := range r.ends {
		ids = append(ids, a.Request)
	}
	return ids
}

// served has the rig's node serve what is sent to it, for so long, with one request of each volume waiting at all times. It counts by volume.
func served(r *rig, d time.Duration, volumes ...string) map[string]int {
	count, serial, open := map[string]int{}, 0, map[string]string{}
	for end := r.now + d; r.now < end; r.now += 5 * ms {
		var events []Event
		for _, v := range volumes {
			if open[v] == "" {
				serial++
				open[v] = fmt.Sprintf("%s/%v/%d", v, r.now, serial)
				events = append(events, req(open[v], v, 1))
			}
		}
		before := len(r.sends)
		r.step(append(events, TimerFired{})...)
		for _, a := range r.sends[before:] {
			r.now += 5 * ms
			r.end(a.Request, Served, 5*ms)
			for v, id := range open {
				if id == a.Request {
					open[v] = ""
					count[v]++
				}
			}
		}
		for _, id := range ended(r) {
			for v := range open {
				if open[v] == id {
					open[v] = ""
				}
			}
		}
	}
	return count
}

// TestLimitThatBegins gives a plan a limit that had none, after many requests: the store starts empty, not as far under as all that was
// served before. With another limit the store is no fuller than the new one.
func TestLimitThatBegins(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	require.Greater(t, served(r, 2*time.Second, "v")["v"], 100)
	limited := with(func(set *Settings) { set.Plans[0].RateLimit, set.Plans[0].RateLimitBurst = 20, 20 })
	r.step(limited)
	require.InDelta(t, 40, served(r, 2*time.Second, "v")["v"], 4)
	r.wait(2 * time.Second) // the store is full: 20
	r.step(with(func(set *Settings) { set.Plans[0].RateLimit, set.Plans[0].RateLimitBurst = 1, 1 }))
	require.LessOrEqual(t, served(r, 2*time.Second, "v")["v"], 3, "what was granted by the limit before is no more")
	r.step(plain())
	require.Greater(t, served(r, time.Second, "v")["v"], 50)
}

// TestRateFollows raises the rate of a volume that is far ahead of the one that it had: what waits, and what comes, is owed as much sooner.
func TestRateFollows(t *testing.T) {
	slow := with(func(set *Settings) {
		set.Plans = append(set.Plans, Plan{Name: "other", Rate: 1, ReservedRate: 1, Weight: 1, PriorityFactor: 1})
		set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Minute, 2*time.Minute
	})
	start := func(change bool) (first time.Duration, rig *rig) {
		r := newRig(t, slow, up("n", 0))
		var events []Event
		for i := range 40 {
			q := req(fmt.Sprint(i), "v", 1)
			q.Plan, q.TimeLeft = "other", 2*time.Minute
			events = append(events, q)
		}
		r.step(events...)
		if change {
			fast := slow.clone()
			fast.Plans[1].Rate, fast.Plans[1].ReservedRate = 100, 100
			r.step(fast)
		}
		q := r.s.requests["39"]
		return q.startTag - r.now, r
	}
	before, _ := start(false)
	after, r := start(true)
	require.InDelta(t, before.Seconds()/100, after.Seconds(), 0.01, "%v ahead before, %v since", before, after)
	require.Greater(t, before, 10*time.Second)
	next := req("next", "v", 1)
	next.Plan, next.TimeLeft = "other", 2*time.Minute
	r.step(next)
	require.Less(t, r.s.requests["next"].startTag-r.now, time.Second, "what comes is by the new rate as well")
}

// TestPlanThatLeaves takes a plan out of the settings: its volumes' open requests end by it, one that names it is refused, and a volume
// that comes on another plan is on that one from then on, without a grant of its own.
func TestPlanThatLeaves(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	r.step(req("out", "v", 1), req("out too", "v", 1), req("waits", "v", 9))
	tokens := r.s.volumes["v"].tokens
	r.step(with(func(set *Settings) {
		set.Plans[0] = Plan{Name: "new", Rate: 100, ReservedRate: 100, Weight: 1, PriorityFactor: 2}
	}))
	require.Equal(t, "std", r.s.requests["waits"].volume.plan.Name)
	r.step(req("late", "v", 1))
	require.Equal(t, []string{"late"}, ended(r))
	require.Equal(t, Reject, r.ends[0].Kind)
	q := req("next", "v", 1)
	q.Plan = "new"
	r.step(q)
	v := r.s.volumes["v"]
	require.Equal(t, "new", v.plan.Name)
	require.InDelta(t, tokens-1, v.tokens, 1e-6, "its bucket is as it was")
	r.now += 10 * ms
	r.end("out", Served, 10*ms)
	r.end("out too", Served, 10*ms)
	require.Contains(t, r.sent(), "waits")
	require.Contains(t, r.sent(), "next")
}

// TestLearnedStays changes settings while one node is in trouble, one is slow and one is cold: what is known of them is as it was, and
// nothing goes to the cold one that would not have gone without the change.
func TestLearnedStays(t *testing.T) {
	set := with(func(set *Settings) {
		set.ColdUnitsPerWindow, set.Plans[0].Rate = 4, 1000
		set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: time.Minute, OverloadWindow: 3 * time.Second, OverloadFactor: 3}
	})
	play := func(change func(r *rig)) (r *rig, toCold int) {
		r = newRig(t, set, up("bad", 0), up("slow", 1), Endpoint{ID: "cold", Shard: 2, Started: 1000 * ms})
		for i := range 4 {
			q := req(fmt.Sprint("bad", i), "v", 1)
			r.step(q)
			r.end(q.ID, NotConnected, 0)
			r.now += 20 * ms
		}
		for i := range 20 {
			q := req(fmt.Sprint("slow", i), "v", 1)
			q.Shard = 1
			r.step(q)
			r.wait(200 * ms)
			r.end(q.ID, Served, 200*ms)
		}
		for i := range 12 {
			q := req(fmt.Sprint("cold", i), "v", 1)
			q.Shard = 2
			r.step(q)
			if i == 5 {
				change(r)
			}
		}
		for _, a := range r.sends {
			if a.Endpoint == "cold" {
				toCold++
			}
		}
		return r, toCold
	}
	plainly, want := play(func(*rig) {})
	require.Equal(t, []string{"bad"}, plainly.s.EjectedEndpoints())
	require.Greater(t, plainly.s.byID["slow"].latency, 0.15)
	for name, c := range map[string]struct {
		edit func(*Settings)
		cold int // units to the cold node; -1: as without a change
	}{
		"times and worths": {func(s *Settings) {
			s.Classes[0].Deadline, s.Classes[0].PriorityWeight, s.Plans[0].ReservedRate = 3*time.Second, 7, 3
		}, -1},
		"attempts":               {func(s *Settings) { s.MaxAttempts = 2 }, -1},
		"a cold node bears less": {func(s *Settings) { s.ColdUnitsPerWindow = 1 }, 2},
	} {
		r, got := play(func(r *rig) {
			next := set.clone()
			c.edit(&next)
			r.step(next)
		})
		if c.cold < 0 {
			c.cold = want
		}
		require.LessOrEqual(t, got, c.cold, name)
		require.Equal(t, plainly.s.EjectedEndpoints(), r.s.EjectedEndpoints(), name)
		require.Equal(t, plainly.s.byID["slow"].latency, r.s.byID["slow"].latency, name)
		require.Equal(t, plainly.s.byID["slow"].concurrencyLimit, r.s.byID["slow"].concurrencyLimit, name)
	}
}

// TestPlacementFollows has new objects go where the wait is least by the settings at hand: what trouble adds to it goes by the least aim.
func TestPlacementFollows(t *testing.T) {
	r := newRig(t, plain(), up("bad", 0), up("slow", 1))
	for i := range 4 {
		r.step(req(fmt.Sprint("bad", i), "v", 1))
		r.end(fmt.Sprint("bad", i), NotConnected, 0)
		r.wait(500 * ms)
	}
	q := req("slow", "v", 1)
	q.Shard = 1
	r.step(q)
	r.wait(300 * ms)
	r.end("slow", Served, 300*ms)
	r.wait(time.Second)
	require.Equal(t, "slow", r.s.EndpointFor(-1))
	r.step(with(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "quick", LatencyObjective: ms, Deadline: time.Second, PriorityWeight: 1})
	}))
	require.Equal(t, "bad", r.s.EndpointFor(-1))
}

// TestColdNodeWaits changes what a cold node bears while it is cold. Where it may be less, or be counted over longer, nothing goes there
// for a span, since what went before is no measure; else it goes on.
func TestColdNodeWaits(t *testing.T) {
	set := with(func(s *Settings) {
		s.Initiators, s.ColdUnitsPerWindow, s.MeanUnits, s.Plans[0].Rate = 2, 8, 0.5, 1000
		s.Rules = Rules{ColdCapacityFraction: 0.5, WarmUpTime: 20 * time.Second, OverloadWindow: time.Second, OverloadFactor: 2}
	})
	for _, c := range []struct {
		name  string
		edit  func(*Settings)
		waits bool
	}{
		{"nothing", func(s *Settings) {}, false},
		{"an aim", func(s *Settings) { s.Classes[0].LatencyObjective = 300 * ms }, false},
		{"it bears less", func(s *Settings) { s.ColdUnitsPerWindow = 7 }, true},
		{"it bears more", func(s *Settings) { s.ColdUnitsPerWindow = 9 }, false},
		{"more initiators", func(s *Settings) { s.Initiators = 3 }, true},
		{"fewer initiators", func(s *Settings) { s.Initiators = 1 }, false},
		{"a longer span", func(s *Settings) { s.Rules.OverloadWindow = 1500 * ms }, true},
		{"a shorter span", func(s *Settings) { s.Rules.OverloadWindow = 800 * ms }, false},
		{"it is cold for longer", func(s *Settings) { s.Rules.WarmUpTime = 30 * time.Second }, true},
		{"it is cold for longer, and grows as fast", func(s *Settings) { s.Rules.WarmUpTime, s.Rules.ColdCapacityFraction = 60*time.Second, 0.25 }, true},
		{"it is warm sooner", func(s *Settings) { s.Rules.WarmUpTime = 10 * time.Second }, false},
		{"it starts with more of its capacity, and grows less", func(s *Settings) { s.Rules.ColdCapacityFraction = 0.8 }, true},
		{"it starts with less of its capacity, and grows more", func(s *Settings) { s.Rules.ColdCapacityFraction = 0.3 }, false},
		{"another multiple", func(s *Settings) { s.Rules.OverloadFactor = 1.9 }, true},
		{"another mean", func(s *Settings) { s.MeanUnits = 0.6 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, set, Endpoint{ID: "n", Started: 1000 * ms})
			r.step(req("a", "v", 1))
			r.now += 20 * ms
			r.end("a", Served, 20*ms)
			next := set.clone()
			c.edit(&next)
			r.step(next)
			r.step(req("b", "v", 1))
			require.Equal(t, c.waits, !slices.Contains(r.sent(), "b"))
			r.now += max(next.Rules.OverloadWindow, set.Rules.OverloadWindow)
			r.step(req("c", "v", 1), TimerFired{})
			require.Contains(t, r.sent(), "c", "a span later")
		})
	}
}

// TestSettingsTurnedDown has settings come that cannot be served: nothing changes. Asked for, the list is subscribed to.
func TestSettingsTurnedDown(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	for _, bad := range []Settings{{}, with(func(s *Settings) { s.Initiators = 0 }), with(func(s *Settings) { s.Classes[0].LatencyObjective = 0 }), with(func(s *Settings) { s.Plans = nil })} {
		require.Error(t, bad.Validate())
		r.step(bad)
		require.Equal(t, plain(), r.s.settings)
	}
	r.step(req("a", "v", 1))
	require.Equal(t, []string{"a"}, r.sent())
	asks := func(actions []Action) bool {
		return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Subscribe })
	}
	require.True(t, asks(r.step(with(func(s *Settings) { s.SubscribeToList = true }))))
	require.False(t, asks(r.step(with(func(s *Settings) { s.SubscribeToList = true }))))
	require.False(t, asks(r.step(plain())))
}

// TestRationStays has settings come, which never name a ration: the one there is goes on to bound.
func TestRationStays(t *testing.T) {
	set := plain()
	f := &fixed{}
	set.Quota = f
	r := newRig(t, set, up("n", 0))
	r.step(with(func(s *Settings) { s.MaxAttempts = 3 }))
	require.Equal(t, 3, r.s.settings.MaxAttempts)
	require.Same(t, f, r.s.settings.Quota)
}
