package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
)

// fed is a fleet that takes the feed, with targets of which two share a shard, so that one may drain.
type fed struct {
	*Rig
	*Feed
	t       *testing.T
	targets *Targets
	all     []*Reader
	judge   *DrainJudge
	starts  map[string]int64 // of each target, in ms
	drained map[string]bool
}

// sentBefore is how long a request that left before a drain was in force may take to be seen at its target. An initiator that goes on
// sending does so as long as the target drains.
const sentBefore = 2 * time.Second

// newFed starts agents, two relays in each of two regions, targets for four shards and initiators. Discovery goes on to tell that all targets
// serve as they did when the run began: it lags for good, and says so now and then.
func newFed(t *testing.T, initiators int) *fed {
	t.Helper()
	r := New(t)
	f := &fed{Rig: r, t: t, targets: r.Targets(8, nil), judge: NewDrainJudge(sentBefore), starts: map[string]int64{}, drained: map[string]bool{}}
	f.targets.Reached = f.judge.Reached
	agents := r.Agents(3)
	f.Feed = r.Feed(agents, 2, "north", "south")
	agents.Leader()
	var puts []watchstream.Put
	for i, x := range f.targets.All {
		x.Shard = i % 4
		x.Started.Store(1000) // long ago
		f.starts[x.ID] = 1000
		puts = append(puts, f.entry(x, "SERVING"))
	}
	f.Put(puts...)
	for i := range initiators {
		f.all = append(f.all, f.Reader(fmt.Sprint("n", i), f.regions[i%2], InstanceOptions{Targets: f.targets, Peers: initiators}))
	}
	f.until("all initiators take the feed", 1, f.all)
	return f
}

// entry is a target as the feed tells it.
func (f *fed) entry(x *Target, state string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Targets, Key: x.ID, Value: fmt.Appendf(nil, `{"id":%q,"addr":%q,"cell":%d,"state":%q,"started_ms":%d}`, x.ID, x.Addr, x.Shard, state, f.starts[x.ID])}
}

// until waits until these have a version in force, and tells how long that took.
func (f *fed) until(what string, version uint64, who []*Reader) time.Duration {
	f.t.Helper()
	return f.Until(what, func() bool {
		return !slices.ContainsFunc(who, func(n *Reader) bool {
			says := n.Says()
			return says["in_force.targets"] < int64(version) || says["in_force.config"] < int64(version)
		})
	})
}

// turn drains a target whose partner serves, or has one serve again under another start.
func (f *fed) turn(rng *rand.Rand) uint64 {
	x := f.targets.All[rng.IntN(len(f.targets.All))]
	partner := f.targets.All[(slices.Index(f.targets.All, x)+4)%8]
	switch {
	case f.drained[x.ID]:
		f.judge.Started(x.ID)
		f.starts[x.ID] += 1000
		f.drained[x.ID] = false
		return f.Put(f.entry(x, "SERVING"))
	case f.drained[partner.ID]:
		return f.Put(f.entry(partner, "DRAINING")) // once more: it changes nothing but the version
	}
	f.drained[x.ID] = true
	version := f.Put(f.entry(x, "DRAINING"))
	f.judge.Drained(x.ID, version)
	return version
}

// feedEvent is one fault of a run. What lasts ends by itself.
type feedEvent struct {
	At, For time.Duration
	What    string // relay-kill, relay-pause, agent-kill, agent-pause, region-cut, restart and pause (of an initiator)
	On      int
}

// feedSchedule is faults at random: the same for the same seed and sizes. One agent is hurt and one region cut at a time, at most.
func feedSchedule(seed uint64, initiators int, length, every time.Duration) []feedEvent {
	rng := rand.New(rand.NewPCG(seed, 36))
	var all []feedEvent
	free := map[string]time.Duration{}
	// Each kind comes, however short the run.
	kinds := []string{"relay-kill", "relay-pause", "agent-kill", "region-cut", "restart", "restart", "pause", "agent-pause", "relay-kill"}
	for at, i := every, 0; at < length; at, i = at+time.Duration((0.5+rng.Float64())*float64(every)), i+1 {
		e := feedEvent{At: at, For: time.Duration((0.5 + 4*rng.Float64()) * float64(time.Second)), What: kinds[rng.IntN(len(kinds))]}
		if i < len(kinds) {
			e.What = kinds[i]
		}
		on, key := 4, e.What
		switch what, _, _ := strings.Cut(e.What, "-"); what {
		case "agent":
			on, key = 3, "agent"
		case "region":
			on, key = 2, "region"
			e.For += 2 * time.Second
		case "restart", "pause":
			on = initiators
		}
		if e.On = rng.IntN(on); on == initiators {
			key = fmt.Sprint("initiator ", e.On)
		} else if on == 4 {
			key = fmt.Sprint("relay ", e.On)
		}
		if at < free[key] {
			continue
		}
		free[key] = at + e.For + 2*time.Second
		all = append(all, e)
	}
	return all
}

// TestFeedScheduled plays faults at random, by a seed, while targets drain and serve again: relays are killed and stand still, an agent does,
// a region is cut off and comes back, initiators stand still or are started again, and discovery says now and then that all serve. By hand it goes on for as long as SPINDLEHITCH_FAULTS says (such as 10m);
// SPINDLEHITCH_SEED is another seed.
func TestFeedScheduled(t *testing.T) {
	length, seed := 14*time.Second, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length = d
	}
	seed = seedOf(seed)
	const initiators = 12
	plan := feedSchedule(seed, initiators, length, 1400*time.Millisecond)
	require.Equal(t, plan, feedSchedule(seed, initiators, length, 1400*time.Millisecond), "a seed names one schedule")
	f := newFed(t, initiators)
	var instances []*Instance
	for _, n := range f.all {
		instances = append(instances, n.Instance)
	}
	f.Load(t.Context(), instances, 4)
	for _, n := range f.all {
		n.Offer(15)
	}
	var mu sync.Mutex
	var back, over []string
	f.Watch(t.Context(), f.all, f.judge, func(what string) {
		mu.Lock()
		defer mu.Unlock()
		back = append(back, what)
	})
	var counted int
	var counting sync.WaitGroup
	ending := make(chan struct{})
	counting.Go(func() {
		for {
			select {
			case <-ending:
				return
			case <-time.After(300 * time.Millisecond):
			}
			if said, asked := f.overcounted(); asked {
				mu.Lock()
				if counted++; said != "" {
					over = append(over, said)
				}
				mu.Unlock()
			}
		}
	})

	rng := rand.New(rand.NewPCG(seed, 37))
	counts := map[string]int{}
	changes := 0
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	for _, e := range plan {
		counts[e.What]++
		var begin, end func()
		switch e.What {
		case "relay-kill":
			begin, end = f.Relays[e.On].Kill, f.Relays[e.On].Restart
		case "relay-pause":
			begin, end = f.Relays[e.On].Pause, f.Relays[e.On].Resume
		case "agent-kill":
			begin, end = f.Group.Procs[e.On].Kill, f.Group.Procs[e.On].Restart
		case "agent-pause":
			begin, end = f.Group.Procs[e.On].Pause, f.Group.Procs[e.On].Resume
		case "region-cut":
			begin = func() { f.CutRegion(f.regions[e.On], f.all) }
			end = func() { f.HealRegion(f.regions[e.On], f.all) }
		case "restart":
			begin, end = func() { f.all[e.On].Renew(e.On, f.judge) }, func() {}
		case "pause":
			begin, end = f.all[e.On].Pause, f.all[e.On].Resume
		}
		steps = append(steps, step{e.At, begin}, step{e.At + e.For, end})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	began := time.Now()
	for at := time.Duration(0); len(steps) > 0; at += 300 * time.Millisecond {
		time.Sleep(time.Until(began.Add(at)))
		for len(steps) > 0 && steps[0].at <= time.Since(began) {
			steps[0].do()
			steps = steps[1:]
		}
		f.turn(rng)
		if changes++; changes%5 == 0 {
			f.targets.Tell()
		}
	}
	version := f.Put(f.entry(f.targets.All[0], map[bool]string{true: "DRAINING", false: "SERVING"}[f.drained["t0"]]))
	took := f.until("all have the last version in force after quiet", version, f.all)
	var known watchstream.Status
	told := f.Until("the fleet's answer is that all have it", func() bool {
		s, ok := f.status(fmt.Sprint(version))
		known = s
		return ok && s.Applied == initiators
	})
	time.Sleep(sentBefore + time.Second) // the drains of now are judged for a while after all have them
	close(ending)
	counting.Wait()
	var served, lost int64
	for _, n := range f.all {
		served += n.Served.Load()
		lost += n.Lost.Load()
	}
	f.judge.mu.Lock()
	held := f.judge.Held
	f.judge.mu.Unlock()
	t.Logf("seed %d, %v: %v; %d changes; all at version %d after %v, known after %v more: %+v; %d times a drain was held against an initiator; %d answers on who has what held; %d served, %d asked of a process that was dead or stood still",
		seed, length, counts, changes, version, took.Round(time.Millisecond), told.Round(time.Millisecond), known, held, counted, served, lost)
	mu.Lock()
	defer mu.Unlock()
	require.Empty(t, f.judge.Broken(), "no first byte goes to a target whose drain is in force")
	require.Empty(t, back, "no version goes back")
	require.Empty(t, over, "no answer counts more than have it")
	require.Positive(t, held)
	require.Positive(t, counted)
	require.Positive(t, served)
	require.Less(t, took, 30*time.Second, "all at one version after quiet")
}

// overcounted asks the fleet how many have the latest version in force, and after that each initiator: what it has in force by then it does
// not lose, but for one that was started again, whose last word counts until it is heard anew, or that can't be asked.
func (f *fed) overcounted() (said string, asked bool) {
	s, ok := f.status("latest")
	if !ok {
		return "", false
	}
	have, unsure := 0, 0
	for _, n := range f.all {
		says := n.Says()
		life, up := n.life()
		switch {
		case says != nil && min(says["in_force.targets"], says["in_force.config"]) >= int64(s.Version):
			have++
		case says == nil || !up || life > 1:
			unsure++
		}
	}
	if s.Applied > have+unsure {
		return fmt.Sprintf("version %d: %d have it by the fleet's answer, and %d by their own, with %d that can't say", s.Version, s.Applied, have, unsure), true
	}
	return "", true
}

// layer is one of a configuration.
func layer(key, value string, args ...any) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Config, Key: key, Value: fmt.Appendf(nil, value, args...)}
}

// TestFeedConfiguration has two initiators take their configuration from the feed in layers. One that can't be served is turned down by name
// of its field, and known to be; the last good one goes on, also where the process is started again with no relay to ask.
func TestFeedConfiguration(t *testing.T) {
	r := New(t)
	f := &fed{Rig: r, t: t, targets: r.Targets(1, nil), starts: map[string]int64{"t0": 1000}}
	agents := r.Agents(3)
	f.Feed = r.Feed(agents, 1, "north")
	agents.Leader()
	relay := f.Relays[0]
	for i := range 2 {
		f.all = append(f.all, f.Layered(fmt.Sprint("n", i), "north"))
	}
	shared := `{"discovery":%q,"settings":{"peersTotal":2,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":1000000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":%d}}}`
	version := f.Put(f.entry(f.targets.All[0], "SERVING"), layer("shared", shared, f.targets.Discovery, 3), layer("region/north", `{"limits":{"sockets":256}}`),
		layer("instance/n0", `{"listen":%q,"control":%q}`, f.all[0].Listen, f.all[0].Control), layer("instance/n1", `{"listen":%q,"control":%q}`, f.all[1].Listen, f.all[1].Control))
	f.until("both serve", version, f.all)
	r.Load(t.Context(), []*Instance{f.all[0].Instance, f.all[1].Instance}, 1)
	serves := func(n *Reader) {
		t.Helper()
		had := n.Served.Load()
		f.Until(n.Name+" serves", func() bool { return n.Served.Load() > had+10 })
	}
	for _, n := range f.all {
		n.Offer(50)
		serves(n)
	}
	version = f.Put(layer("shared", shared, f.targets.Discovery, 4))
	f.until("both have another configuration", version, f.all)
	for _, n := range f.all {
		serves(n)
		require.Equal(t, 2, strings.Count(n.Log(), "configuration taken"), "%s", n.Log())
		require.Zero(t, n.Lost.Load(), "the predecessor answers what it took")
		require.Zero(t, n.Other.Load())
	}
	// What says the same again is no other configuration.
	version = f.Put(layer("region/north", `{"limits": {"sockets": 256}}`))
	f.until("both have what is the same", version, f.all)
	require.Equal(t, 2, strings.Count(f.all[0].Log(), "configuration taken"))

	good := version
	version = f.Put(layer("instance/n0", `{"listen":%q,"control":"nowhere"}`, f.all[0].Listen))
	f.until("n1 has it", version, f.all[1:])
	turnedDown := func() {
		t.Helper()
		f.Until("the fleet knows that n0 has turned it down", func() bool {
			s, ok := f.status(fmt.Sprint(version))
			return ok && s.Applied == 1 && s.Rejected == 1 && len(s.Lagging) == 1 && s.Lagging[0].Name == "n0" && s.Lagging[0].Cause == watchstream.LagRejected &&
				s.Lagging[0].Rejection != nil && strings.Contains(s.Lagging[0].Rejection.Reason, "control: ")
		})
	}
	turnedDown()
	says := f.all[0].Says()
	require.EqualValues(t, good, says["in_force.config"])
	require.Positive(t, says["refused.config"])
	serves(f.all[0])

	relay.Kill()
	f.all[0].Kill()
	f.all[0].Restart()
	serves(f.all[0])
	require.NotContains(t, f.all[0].Log(), "FEED_NOT_KEPT")
	relay.Restart()
	turnedDown()
	serves(f.all[0])
	version = f.Put(layer("instance/n0", `{"listen":%q,"control":%q}`, f.all[0].Listen, f.all[0].Control))
	f.until("all have what can be served", version, f.all)
	f.Until("the fleet knows", func() bool { s, ok := f.status(fmt.Sprint(version)); return ok && s.Applied == 2 && s.Rejected == 0 })
	serves(f.all[0])
}

// status is what the fleet knows of a version.
func (f *fed) status(version string) (s watchstream.Status, ok bool) {
	for _, a := range f.Group.API {
		resp, err := f.client.Get("http://" + a + "/v1/feed/versions/" + version)
		if err != nil {
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return s, true
		}
	}
	return s, false
}
