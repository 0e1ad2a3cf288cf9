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

// streamFleet is a fleet that subscribes to the watch stream. Each two targets share a shard, so that one of them may
// drain.
type streamFleet struct {
	*Rig
	*RelayNetwork
	t            *testing.T
	targets      *Targets
	subscribers  []*Subscriber
	drainChecker *DrainChecker
	startedMs    map[string]int64 // start time of each target, in ms
	drained      map[string]bool
}

// inFlightGrace is how long a request that was sent before a drain was applied may take to reach its target. An
// initiator that goes on sending does so for as long as the target drains.
const inFlightGrace = 2 * time.Second

// newStreamFleet starts agents, two relays in each of two regions, targets for four shards, and initiators. Discovery
// goes on to report that all targets serve as at the start of the run: it lags permanently, and publishes its list
// again now and then.
func newStreamFleet(t *testing.T, initiators int) *streamFleet {
	t.Helper()
	r := New(t)
	f := &streamFleet{Rig: r, t: t, targets: r.StartTargets(8, nil), drainChecker: NewDrainChecker(inFlightGrace), startedMs: map[string]int64{}, drained: map[string]bool{}}
	f.targets.OnRequest = f.drainChecker.RecordRequest
	agents := r.StartAgents(3)
	f.RelayNetwork = r.StartRelays(agents, 2, "north", "south")
	agents.Leader()
	var puts []watchstream.Put
	for i, x := range f.targets.All {
		x.Shard = i % 4
		x.Started.Store(1000) // not cold
		f.startedMs[x.ID] = 1000
		puts = append(puts, f.targetPut(x, "SERVING"))
	}
	f.Put(puts...)
	for i := range initiators {
		f.subscribers = append(f.subscribers, f.StartSubscriber(fmt.Sprint("n", i), f.regions[i%2], InstanceOptions{Targets: f.targets, Peers: initiators}))
	}
	f.waitApplied("all initiators to apply the watch stream", 1, f.subscribers)
	return f
}

// targetPut returns the change of a target's entry in the watch stream.
func (f *streamFleet) targetPut(x *Target, state string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Targets, Key: x.ID, Value: fmt.Appendf(nil, `{"id":%q,"addr":%q,"cell":%d,"state":%q,"started_ms":%d}`, x.ID, x.Addr, x.Shard, state, f.startedMs[x.ID])}
}

// waitApplied waits until these subscribers have applied a version, and returns how long that took.
func (f *streamFleet) waitApplied(what string, version uint64, subscribers []*Subscriber) time.Duration {
	f.t.Helper()
	return f.WaitFor(what, func() bool {
		return !slices.ContainsFunc(subscribers, func(n *Subscriber) bool {
			metrics := n.StreamMetrics()
			return metrics["in_force.targets"] < int64(version) || metrics["in_force.config"] < int64(version)
		})
	})
}

// toggleDrain drains a random target whose partner serves, or makes a drained one serve again with a later start time.
func (f *streamFleet) toggleDrain(rng *rand.Rand) uint64 {
	target := f.targets.All[rng.IntN(len(f.targets.All))]
	partner := f.targets.All[(slices.Index(f.targets.All, target)+4)%8]
	switch {
	case f.drained[target.ID]:
		f.drainChecker.RecordServing(target.ID)
		f.startedMs[target.ID] += 1000
		f.drained[target.ID] = false
		return f.Put(f.targetPut(target, "SERVING"))
	case f.drained[partner.ID]:
		return f.Put(f.targetPut(partner, "DRAINING")) // drains it again: only the version changes
	}
	f.drained[target.ID] = true
	version := f.Put(f.targetPut(target, "DRAINING"))
	f.drainChecker.RecordDrain(target.ID, version)
	return version
}

// streamFault is one fault of a run. It ends by itself after Duration.
type streamFault struct {
	At, Duration time.Duration
	Kind         string // relay-kill, relay-pause, agent-kill, agent-pause, region-cut, and restart and pause of an initiator
	Index        int
}

// streamFaultSchedule returns random faults, the same for the same seed and sizes. At most one agent is faulty and one
// region cut off at a time.
func streamFaultSchedule(seed uint64, initiators int, length, every time.Duration) []streamFault {
	rng := rand.New(rand.NewPCG(seed, 36))
	var all []streamFault
	freeAt := map[string]time.Duration{}
	// The first faults are one of each kind, however short the run.
	kinds := []string{"relay-kill", "relay-pause", "agent-kill", "region-cut", "restart", "restart", "pause", "agent-pause", "relay-kill"}
	for at, i := every, 0; at < length; at, i = at+time.Duration((0.5+rng.Float64())*float64(every)), i+1 {
		e := streamFault{At: at, Duration: time.Duration((0.5 + 4*rng.Float64()) * float64(time.Second)), Kind: kinds[rng.IntN(len(kinds))]}
		if i < len(kinds) {
			e.Kind = kinds[i]
		}
		on, key := 4, e.Kind
		switch what, _, _ := strings.Cut(e.Kind, "-"); what {
		case "agent":
			on, key = 3, "agent"
		case "region":
			on, key = 2, "region"
			e.Duration += 2 * time.Second
		case "restart", "pause":
			on = initiators
		}
		if e.Index = rng.IntN(on); on == initiators {
			key = fmt.Sprint("initiator ", e.Index)
		} else if on == 4 {
			key = fmt.Sprint("relay ", e.Index)
		}
		if at < freeAt[key] {
			continue
		}
		freeAt[key] = at + e.Duration + 2*time.Second
		all = append(all, e)
	}
	return all
}

// TestStreamScheduled runs random faults by a seed while targets drain and serve again: relays and agents are killed and
// paused, a region is cut off and reconnected, initiators are paused and restarted, and discovery publishes now and
// then that all targets serve. No request may reach a target after its drain was applied, no applied version may go
// back, and no status may count more initiators than have a version. In manual runs SPINDLEHITCH_FAULTS sets the length
// (such as 10m) and SPINDLEHITCH_SEED another seed.
func TestStreamScheduled(t *testing.T) {
	length, seed := 14*time.Second, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length = d
	}
	seed = seedFromEnv(seed)
	const initiators = 12
	plan := streamFaultSchedule(seed, initiators, length, 1400*time.Millisecond)
	require.Equal(t, plan, streamFaultSchedule(seed, initiators, length, 1400*time.Millisecond), "the same seed must give the same schedule")
	f := newStreamFleet(t, initiators)
	var instances []*Instance
	for _, n := range f.subscribers {
		instances = append(instances, n.Instance)
	}
	f.StartLoad(t.Context(), instances, 4)
	for _, n := range f.subscribers {
		n.SetLoad(15)
	}
	var mu sync.Mutex
	var wentBack, overcounts []string
	f.PollApplied(t.Context(), f.subscribers, f.drainChecker, func(what string) {
		mu.Lock()
		defer mu.Unlock()
		wentBack = append(wentBack, what)
	})
	var statusChecks int
	var checking sync.WaitGroup
	stopChecks := make(chan struct{})
	checking.Go(func() {
		for {
			select {
			case <-stopChecks:
				return
			case <-time.After(300 * time.Millisecond):
			}
			if overcount, asked := f.checkAppliedCount(); asked {
				mu.Lock()
				if statusChecks++; overcount != "" {
					overcounts = append(overcounts, overcount)
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
		counts[e.Kind]++
		var begin, end func()
		switch e.Kind {
		case "relay-kill":
			begin, end = f.Relays[e.Index].Kill, f.Relays[e.Index].Restart
		case "relay-pause":
			begin, end = f.Relays[e.Index].Pause, f.Relays[e.Index].Resume
		case "agent-kill":
			begin, end = f.AgentGroup.Procs[e.Index].Kill, f.AgentGroup.Procs[e.Index].Restart
		case "agent-pause":
			begin, end = f.AgentGroup.Procs[e.Index].Pause, f.AgentGroup.Procs[e.Index].Resume
		case "region-cut":
			begin = func() { f.CutRegion(f.regions[e.Index], f.subscribers) }
			end = func() { f.HealRegion(f.regions[e.Index], f.subscribers) }
		case "restart":
			begin, end = func() { f.subscribers[e.Index].KillAndRestart(e.Index, f.drainChecker) }, func() {}
		case "pause":
			begin, end = f.subscribers[e.Index].Pause, f.subscribers[e.Index].Resume
		}
		steps = append(steps, step{e.At, begin}, step{e.At + e.Duration, end})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	began := time.Now()
	for at := time.Duration(0); len(steps) > 0; at += 300 * time.Millisecond {
		time.Sleep(time.Until(began.Add(at)))
		for len(steps) > 0 && steps[0].at <= time.Since(began) {
			steps[0].do()
			steps = steps[1:]
		}
		f.toggleDrain(rng)
		if changes++; changes%5 == 0 {
			f.targets.RepublishList()
		}
	}
	version := f.Put(f.targetPut(f.targets.All[0], map[bool]string{true: "DRAINING", false: "SERVING"}[f.drained["t0"]]))
	took := f.waitApplied("all to apply the last version after the faults", version, f.subscribers)
	var known watchstream.Status
	reportedAfter := f.WaitFor("the agents to report that all have applied it", func() bool {
		s, ok := f.versionStatus(fmt.Sprint(version))
		known = s
		return ok && s.Applied == initiators
	})
	time.Sleep(inFlightGrace + time.Second) // the current drains are checked for a while after all have applied them
	close(stopChecks)
	checking.Wait()
	var served, lost int64
	for _, n := range f.subscribers {
		served += n.Served.Load()
		lost += n.Unanswered.Load()
	}
	f.drainChecker.mu.Lock()
	drainsChecked := f.drainChecker.DrainsApplied
	f.drainChecker.mu.Unlock()
	t.Logf("seed %d, %v: %v; %d changes; all at version %d after %v, reported after %v more: %+v; %d applied drains checked; %d statuses checked; %d requests served, %d sent to a process that was dead or paused",
		seed, length, counts, changes, version, took.Round(time.Millisecond), reportedAfter.Round(time.Millisecond), known, drainsChecked, statusChecks, served, lost)
	mu.Lock()
	defer mu.Unlock()
	require.Empty(t, f.drainChecker.Violations(), "no request reaches a target after its drain was applied")
	require.Empty(t, wentBack, "no applied version goes back")
	require.Empty(t, overcounts, "no status counts more initiators than have applied the version")
	require.Positive(t, drainsChecked)
	require.Positive(t, statusChecks)
	require.Positive(t, served)
	require.Less(t, took, 30*time.Second, "time until all have the last version")
}

// checkAppliedCount asks the agents how many initiators have applied the latest version, and then each initiator. An
// initiator does not lose what it has applied, so the count must not be higher than what they report, except for
// initiators that were restarted, whose last report counts until the next one, and those that do not answer. It returns
// a message if the count is too high.
func (f *streamFleet) checkAppliedCount() (overcount string, checked bool) {
	s, ok := f.versionStatus("latest")
	if !ok {
		return "", false
	}
	applied, unknown := 0, 0
	for _, n := range f.subscribers {
		metrics := n.StreamMetrics()
		generation, up := n.currentGeneration()
		switch {
		case metrics != nil && min(metrics["in_force.targets"], metrics["in_force.config"]) >= int64(s.Version):
			applied++
		case metrics == nil || !up || generation > 1:
			unknown++
		}
	}
	if s.Applied > applied+unknown {
		return fmt.Sprintf("version %d: %d have applied it by the agents' status, %d by their own metrics, %d unknown", s.Version, s.Applied, applied, unknown), true
	}
	return "", true
}

// configPut returns the change of one configuration layer.
func configPut(key, value string, args ...any) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Config, Key: key, Value: fmt.Appendf(nil, value, args...)}
}

// TestStreamedConfiguration has two initiators take their configuration in layers from the watch stream. An invalid one is
// rejected with the name of its field, which the agents report; the last valid configuration stays in use, also if the
// process is restarted while no relay runs.
func TestStreamedConfiguration(t *testing.T) {
	r := New(t)
	f := &streamFleet{Rig: r, t: t, targets: r.StartTargets(1, nil), startedMs: map[string]int64{"t0": 1000}}
	agents := r.StartAgents(3)
	f.RelayNetwork = r.StartRelays(agents, 1, "north")
	agents.Leader()
	relay := f.Relays[0]
	for i := range 2 {
		f.subscribers = append(f.subscribers, f.StartConfigSubscriber(fmt.Sprint("n", i), "north"))
	}
	shared := `{"discovery":%q,"settings":{"peersTotal":2,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":1000000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":%d}}}`
	version := f.Put(f.targetPut(f.targets.All[0], "SERVING"), configPut("shared", shared, f.targets.Discovery, 3), configPut("region/north", `{"limits":{"sockets":256}}`),
		configPut("instance/n0", `{"listen":%q,"control":%q}`, f.subscribers[0].Listen, f.subscribers[0].Control), configPut("instance/n1", `{"listen":%q,"control":%q}`, f.subscribers[1].Listen, f.subscribers[1].Control))
	f.waitApplied("both to serve", version, f.subscribers)
	r.StartLoad(t.Context(), []*Instance{f.subscribers[0].Instance, f.subscribers[1].Instance}, 1)
	waitServed := func(n *Subscriber) {
		t.Helper()
		servedBefore := n.Served.Load()
		f.WaitFor(n.Name+" to serve", func() bool { return n.Served.Load() > servedBefore+10 })
	}
	for _, n := range f.subscribers {
		n.SetLoad(50)
		waitServed(n)
	}
	version = f.Put(configPut("shared", shared, f.targets.Discovery, 4))
	f.waitApplied("both to apply another configuration", version, f.subscribers)
	for _, n := range f.subscribers {
		waitServed(n)
		require.Equal(t, 2, strings.Count(n.Log(), "configuration taken"), "%s", n.Log())
		require.Zero(t, n.Unanswered.Load(), "the predecessor completes its requests")
		require.Zero(t, n.OtherStatus.Load())
	}
	// A layer with the same content is not a new configuration.
	version = f.Put(configPut("region/north", `{"limits": {"sockets": 256}}`))
	f.waitApplied("both to apply the version with the same content", version, f.subscribers)
	require.Equal(t, 2, strings.Count(f.subscribers[0].Log(), "configuration taken"))

	validVersion := version
	version = f.Put(configPut("instance/n0", `{"listen":%q,"control":"nowhere"}`, f.subscribers[0].Listen))
	f.waitApplied("n1 to apply it", version, f.subscribers[1:])
	waitRejected := func() {
		t.Helper()
		f.WaitFor("the agents to report that n0 has rejected it", func() bool {
			s, ok := f.versionStatus(fmt.Sprint(version))
			return ok && s.Applied == 1 && s.Rejected == 1 && len(s.Lagging) == 1 && s.Lagging[0].Name == "n0" && s.Lagging[0].Cause == watchstream.LagRejected &&
				s.Lagging[0].Rejection != nil && strings.Contains(s.Lagging[0].Rejection.Reason, "control: ")
		})
	}
	waitRejected()
	says := f.subscribers[0].StreamMetrics()
	require.EqualValues(t, validVersion, says["in_force.config"])
	require.Positive(t, says["refused.config"])
	waitServed(f.subscribers[0])

	relay.Kill()
	f.subscribers[0].Kill()
	f.subscribers[0].Restart()
	waitServed(f.subscribers[0])
	require.NotContains(t, f.subscribers[0].Log(), "FEED_NOT_KEPT")
	relay.Restart()
	waitRejected()
	waitServed(f.subscribers[0])
	version = f.Put(configPut("instance/n0", `{"listen":%q,"control":%q}`, f.subscribers[0].Listen, f.subscribers[0].Control))
	f.waitApplied("all to apply the valid configuration", version, f.subscribers)
	f.WaitFor("the agents to report that all have applied it", func() bool {
		s, ok := f.versionStatus(fmt.Sprint(version))
		return ok && s.Applied == 2 && s.Rejected == 0
	})
	waitServed(f.subscribers[0])
}

// versionStatus returns the agents' status of a version; false if none of them answers.
func (f *streamFleet) versionStatus(version string) (s watchstream.Status, ok bool) {
	for _, a := range f.AgentGroup.API {
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
