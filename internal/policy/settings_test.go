package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testSettingsWith returns testSettings after an edit.
func testSettingsWith(edit func(*Settings)) Settings {
	set := testSettings()
	edit(&set)
	return set
}

// TestSettingsChangeKeepsClassOfOpenRequests changes a class while requests of it are open: they keep the class as it was at their
// arrival, and later requests get the changed one.
func TestSettingsChangeKeepsClassOfOpenRequests(t *testing.T) {
	nonIdempotent := testSettingsWith(func(set *Settings) { set.Classes[0].Effect = NonIdempotent })
	h := newHarness(t, nonIdempotent, upEndpoint("n", 0))
	h.step(testRequest("out", "v", 1), testRequest("waits", "v", 1), testRequest("waits too", "v", 1))
	require.Equal(t, []string{"out", "waits"}, h.sentIDs(), "the endpoint takes two at a time")
	idempotent := testSettings()
	idempotent.Classes[0].LatencyObjective = 100 * ms
	h.step(idempotent)
	h.endAttempt("out", ConnectionReset, 10*ms)
	require.Len(t, h.ends, 1, "it may have run, and its class was non-idempotent at its arrival")
	require.Equal(t, Fail, h.ends[0].Kind)
	h.step(testRequest("later", "v", 1))
	h.endAttempt("later", ConnectionReset, 10*ms)
	h.now += 150 * ms
	h.step(TimerFired{})
	require.NotContains(t, endedIDs(h), "waits too", "its objective was 400 ms at its arrival")
	require.Contains(t, endedIDs(h), "later", "its objective was 100 ms")
	require.Equal(t, Reject, h.ends[slices.Index(endedIDs(h), "later")].Kind, "a repeat is safe under the changed class")
}

func endedIDs(h *harness) (ids []string) {
	for _, a := range h.ends {
		ids = append(ids, a.Request)
	}
	return ids
}

// serveFor serves each sent request in 5 ms for the duration d, with one request of each volume open at all times. It returns the
// number of requests served for each volume.
func serveFor(h *harness, d time.Duration, volumes ...string) map[string]int {
	count, serial, open := map[string]int{}, 0, map[string]string{}
	for end := h.now + d; h.now < end; h.now += 5 * ms {
		var events []Event
		for _, v := range volumes {
			if open[v] == "" {
				serial++
				open[v] = fmt.Sprintf("%s/%v/%d", v, h.now, serial)
				events = append(events, testRequest(open[v], v, 1))
			}
		}
		before := len(h.sends)
		h.step(append(events, TimerFired{})...)
		for _, a := range h.sends[before:] {
			h.now += 5 * ms
			h.endAttempt(a.Request, Served, 5*ms)
			for v, id := range open {
				if id == a.Request {
					open[v] = ""
					count[v]++
				}
			}
		}
		for _, id := range endedIDs(h) {
			for v := range open {
				if open[v] == id {
					open[v] = ""
				}
			}
		}
	}
	return count
}

// TestRateLimitAdded adds a rate limit to a plan after many requests: the bucket starts empty, not with a debt of everything that was
// served before. After a change to a lower limit the bucket holds no more than the new burst.
func TestRateLimitAdded(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	require.Greater(t, serveFor(h, 2*time.Second, "v")["v"], 100)
	limited := testSettingsWith(func(set *Settings) { set.Plans[0].RateLimit, set.Plans[0].RateLimitBurst = 20, 20 })
	h.step(limited)
	require.InDelta(t, 40, serveFor(h, 2*time.Second, "v")["v"], 4)
	h.advance(2 * time.Second) // the bucket is full: 20
	h.step(testSettingsWith(func(set *Settings) { set.Plans[0].RateLimit, set.Plans[0].RateLimitBurst = 1, 1 }))
	require.LessOrEqual(t, serveFor(h, 2*time.Second, "v")["v"], 3, "tokens of the previous limit are dropped")
	h.step(testSettings())
	require.Greater(t, serveFor(h, time.Second, "v")["v"], 50)
}

// TestRateChangeRescalesTags raises the rate of a volume whose queued requests have start tags far in the future: the start tags of
// queued and of later requests become earlier by the ratio of the rates.
func TestRateChangeRescalesTags(t *testing.T) {
	slow := testSettingsWith(func(set *Settings) {
		set.Plans = append(set.Plans, Plan{Name: "other", Rate: 1, ReservedRate: 1, Weight: 1, PriorityFactor: 1})
		set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Minute, 2*time.Minute
	})
	start := func(change bool) (first time.Duration, result *harness) {
		h := newHarness(t, slow, upEndpoint("n", 0))
		var events []Event
		for i := range 40 {
			q := testRequest(fmt.Sprint(i), "v", 1)
			q.Plan, q.TimeLeft = "other", 2*time.Minute
			events = append(events, q)
		}
		h.step(events...)
		if change {
			fast := slow.clone()
			fast.Plans[1].Rate, fast.Plans[1].ReservedRate = 100, 100
			h.step(fast)
		}
		q := h.s.requests["39"]
		return q.startTag - h.now, h
	}
	before, _ := start(false)
	after, h := start(true)
	require.InDelta(t, before.Seconds()/100, after.Seconds(), 0.01, "start tag %v ahead before the change, %v after", before, after)
	require.Greater(t, before, 10*time.Second)
	next := testRequest("next", "v", 1)
	next.Plan, next.TimeLeft = "other", 2*time.Minute
	h.step(next)
	require.Less(t, h.s.requests["next"].startTag-h.now, time.Second, "later requests get the new rate as well")
}

// TestPlanRemoved removes a plan from the settings: the open requests of its volumes keep it, a new request that names it is rejected,
// and a volume whose next request names another plan changes to that one, with its bucket unchanged.
func TestPlanRemoved(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	h.step(testRequest("out", "v", 1), testRequest("out too", "v", 1), testRequest("waits", "v", 9))
	tokens := h.s.volumes["v"].tokens
	h.step(testSettingsWith(func(set *Settings) {
		set.Plans[0] = Plan{Name: "new", Rate: 100, ReservedRate: 100, Weight: 1, PriorityFactor: 2}
	}))
	require.Equal(t, "std", h.s.requests["waits"].volume.plan.Name)
	h.step(testRequest("late", "v", 1))
	require.Equal(t, []string{"late"}, endedIDs(h))
	require.Equal(t, Reject, h.ends[0].Kind)
	q := testRequest("next", "v", 1)
	q.Plan = "new"
	h.step(q)
	v := h.s.volumes["v"]
	require.Equal(t, "new", v.plan.Name)
	require.InDelta(t, tokens-1, v.tokens, 1e-6, "its bucket is unchanged")
	h.now += 10 * ms
	h.endAttempt("out", Served, 10*ms)
	h.endAttempt("out too", Served, 10*ms)
	require.Contains(t, h.sentIDs(), "waits")
	require.Contains(t, h.sentIDs(), "next")
}

// TestSettingsChangeKeepsEstimates changes settings while one endpoint is faulty, one is slow and one is cold: the estimates of them
// stay, and the cold one gets no request that it would not have got without the change.
func TestSettingsChangeKeepsEstimates(t *testing.T) {
	set := testSettingsWith(func(set *Settings) {
		set.ColdUnitsPerWindow, set.Plans[0].Rate = 4, 1000
		set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: time.Minute, OverloadWindow: 3 * time.Second, OverloadFactor: 3}
	})
	run := func(change func(h *harness)) (h *harness, toCold int) {
		h = newHarness(t, set, upEndpoint("bad", 0), upEndpoint("slow", 1), Endpoint{ID: "cold", Shard: 2, Started: 1000 * ms})
		for i := range 4 {
			q := testRequest(fmt.Sprint("bad", i), "v", 1)
			h.step(q)
			h.endAttempt(q.ID, NotConnected, 0)
			h.now += 20 * ms
		}
		for i := range 20 {
			q := testRequest(fmt.Sprint("slow", i), "v", 1)
			q.Shard = 1
			h.step(q)
			h.advance(200 * ms)
			h.endAttempt(q.ID, Served, 200*ms)
		}
		for i := range 12 {
			q := testRequest(fmt.Sprint("cold", i), "v", 1)
			q.Shard = 2
			h.step(q)
			if i == 5 {
				change(h)
			}
		}
		for _, a := range h.sends {
			if a.Endpoint == "cold" {
				toCold++
			}
		}
		return h, toCold
	}
	unchanged, want := run(func(*harness) {})
	require.Equal(t, []string{"bad"}, unchanged.s.EjectedEndpoints())
	require.Greater(t, unchanged.s.byID["slow"].latency, 0.15)
	for name, c := range map[string]struct {
		edit func(*Settings)
		cold int // units to the cold endpoint at most; -1: as without a change
	}{
		"times and priorities": {func(s *Settings) {
			s.Classes[0].Deadline, s.Classes[0].PriorityWeight, s.Plans[0].ReservedRate = 3*time.Second, 7, 3
		}, -1},
		"attempts":         {func(s *Settings) { s.MaxAttempts = 2 }, -1},
		"lower cold limit": {func(s *Settings) { s.ColdUnitsPerWindow = 1 }, 2},
	} {
		h, got := run(func(h *harness) {
			next := set.clone()
			c.edit(&next)
			h.step(next)
		})
		if c.cold < 0 {
			c.cold = want
		}
		require.LessOrEqual(t, got, c.cold, name)
		require.Equal(t, unchanged.s.EjectedEndpoints(), h.s.EjectedEndpoints(), name)
		require.Equal(t, unchanged.s.byID["slow"].latency, h.s.byID["slow"].latency, name)
		require.Equal(t, unchanged.s.byID["slow"].concurrencyLimit, h.s.byID["slow"].concurrencyLimit, name)
	}
}

// TestPlacementAfterSettingsChange checks that new objects go to the queue with the smallest expected wait under the current settings:
// the penalty of a faulty endpoint is a multiple of the smallest latency objective.
func TestPlacementAfterSettingsChange(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("bad", 0), upEndpoint("slow", 1))
	for i := range 4 {
		h.step(testRequest(fmt.Sprint("bad", i), "v", 1))
		h.endAttempt(fmt.Sprint("bad", i), NotConnected, 0)
		h.advance(500 * ms)
	}
	q := testRequest("slow", "v", 1)
	q.Shard = 1
	h.step(q)
	h.advance(300 * ms)
	h.endAttempt("slow", Served, 300*ms)
	h.advance(time.Second)
	require.Equal(t, "slow", h.s.EndpointFor(-1))
	h.step(testSettingsWith(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "quick", LatencyObjective: ms, Deadline: time.Second, PriorityWeight: 1})
	}))
	require.Equal(t, "bad", h.s.EndpointFor(-1))
}

// TestColdLimitsTightened changes the cold start limits while an endpoint is cold. If the change may lower the limit or lengthen the
// window, nothing is sent to the endpoint for one window, since what was sent before cannot be counted against the new limit.
// Otherwise sending continues.
func TestColdLimitsTightened(t *testing.T) {
	set := testSettingsWith(func(s *Settings) {
		s.Initiators, s.ColdUnitsPerWindow, s.MeanUnits, s.Plans[0].Rate = 2, 8, 0.5, 1000
		s.Rules = Rules{ColdCapacityFraction: 0.5, WarmUpTime: 20 * time.Second, OverloadWindow: time.Second, OverloadFactor: 2}
	})
	for _, c := range []struct {
		name  string
		edit  func(*Settings)
		waits bool
	}{
		{"no change", func(s *Settings) {}, false},
		{"latency objective", func(s *Settings) { s.Classes[0].LatencyObjective = 300 * ms }, false},
		{"fewer cold units", func(s *Settings) { s.ColdUnitsPerWindow = 7 }, true},
		{"more cold units", func(s *Settings) { s.ColdUnitsPerWindow = 9 }, false},
		{"more initiators", func(s *Settings) { s.Initiators = 3 }, true},
		{"fewer initiators", func(s *Settings) { s.Initiators = 1 }, false},
		{"longer window", func(s *Settings) { s.Rules.OverloadWindow = 1500 * ms }, true},
		{"shorter window", func(s *Settings) { s.Rules.OverloadWindow = 800 * ms }, false},
		{"longer warm-up", func(s *Settings) { s.Rules.WarmUpTime = 30 * time.Second }, true},
		{"longer warm-up at the same growth", func(s *Settings) { s.Rules.WarmUpTime, s.Rules.ColdCapacityFraction = 60*time.Second, 0.25 }, true},
		{"shorter warm-up", func(s *Settings) { s.Rules.WarmUpTime = 10 * time.Second }, false},
		{"larger cold capacity fraction, slower growth", func(s *Settings) { s.Rules.ColdCapacityFraction = 0.8 }, true},
		{"smaller cold capacity fraction, faster growth", func(s *Settings) { s.Rules.ColdCapacityFraction = 0.3 }, false},
		{"other overload factor", func(s *Settings) { s.Rules.OverloadFactor = 1.9 }, true},
		{"other mean size", func(s *Settings) { s.MeanUnits = 0.6 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, set, Endpoint{ID: "n", Started: 1000 * ms})
			h.step(testRequest("a", "v", 1))
			h.now += 20 * ms
			h.endAttempt("a", Served, 20*ms)
			next := set.clone()
			c.edit(&next)
			h.step(next)
			h.step(testRequest("b", "v", 1))
			require.Equal(t, c.waits, !slices.Contains(h.sentIDs(), "b"))
			h.now += max(next.Rules.OverloadWindow, set.Rules.OverloadWindow)
			h.step(testRequest("c", "v", 1), TimerFired{})
			require.Contains(t, h.sentIDs(), "c", "one window later")
		})
	}
}

// TestInvalidSettingsIgnored checks that invalid settings change nothing, and that a change of SubscribeToList to true emits one
// Subscribe.
func TestInvalidSettingsIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	for _, invalid := range []Settings{{}, testSettingsWith(func(s *Settings) { s.Initiators = 0 }), testSettingsWith(func(s *Settings) { s.Classes[0].LatencyObjective = 0 }), testSettingsWith(func(s *Settings) { s.Plans = nil })} {
		require.Error(t, invalid.Validate())
		h.step(invalid)
		require.Equal(t, testSettings(), h.s.settings)
	}
	h.step(testRequest("a", "v", 1))
	require.Equal(t, []string{"a"}, h.sentIDs())
	subscribes := func(actions []Action) bool {
		return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Subscribe })
	}
	require.True(t, subscribes(h.step(testSettingsWith(func(s *Settings) { s.SubscribeToList = true }))))
	require.False(t, subscribes(h.step(testSettingsWith(func(s *Settings) { s.SubscribeToList = true }))))
	require.False(t, subscribes(h.step(testSettings())))
}

// TestSettingsChangeKeepsQuota checks that a settings event, which has no Quota, leaves the current one in force.
func TestSettingsChangeKeepsQuota(t *testing.T) {
	set := testSettings()
	f := &fixedQuota{}
	set.Quota = f
	h := newHarness(t, set, upEndpoint("n", 0))
	h.step(testSettingsWith(func(s *Settings) { s.MaxAttempts = 3 }))
	require.Equal(t, 3, h.s.settings.MaxAttempts)
	require.Same(t, f, h.s.settings.Quota)
}
