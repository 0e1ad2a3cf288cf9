package run

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/monotonic"
	"spindlehitch/internal/testbed/scale/hollow"
)

func TestQuantiles(t *testing.T) {
	s := hostState{Latencies: map[string]int{"targets 5": 40, "config 5": 20, "targets 9": 38, "config 700": 1}, Missing: 1,
		Last: []lastArrival{{Initiator: "a", Ms: 9.5, Lane: hollow.Targets, Primary: true}, {Initiator: "b", Ms: 700.2, Lane: hollow.Config}, {}}}
	var r Row
	r.fillQuantiles(s)
	require.Equal(t, []float64{5, 9, 700.2, 9.5, 700.2, 9.5}, []float64{r.Median, 9, r.Last, r.LastTargets, r.LastConfig, r.LastPrimary})
	require.Equal(t, "b", r.LastInitiator)
	r = Row{Missing: 1}
	require.Equal(t, never, r.lastOrNever())
	r = Row{}
	r.fillQuantiles(hostState{Latencies: map[string]int{"targets 5": 1}, Missing: 1})
	require.Equal(t, float64(5), r.Median)
	require.Equal(t, float64(-1), r.P99, "half of the arrivals are missing")
}

func TestChecks(t *testing.T) {
	c := Check{Name: "x", Limit: 6, Unit: "s"}
	require.Equal(t, "limit x: not measured  - of 6 s", c.String())
	c.record(0)
	require.Equal(t, "limit x: held  0 of 6 s", c.String())
	c.record(6.5)
	c.record(3)
	require.Equal(t, "limit x: not held  6.5 of 6 s", c.String())
	c.record(never)
	require.Equal(t, "limit x: not held  never of 6 s", c.String())
	r := Result{Checks: []Check{{Measured: true}, {}, c}}
	require.Equal(t, "scale: 1 of 3 limits held", r.Verdict())
}

func TestMarks(t *testing.T) {
	x := hollowSpec{Name: "h1", Region: "north", Zone: "n-1"}
	for _, c := range []struct {
		m   changeMark
		is  bool
		has uint64
	}{
		{changeMark{Version: 3}, true, 3},
		{changeMark{Version: 3, Region: "north"}, true, 3},
		{changeMark{Version: 3, Region: "south"}, false, 0},
		{changeMark{Version: 3, Zone: "n-1"}, true, 3},
		{changeMark{Version: 3, Zone: "n-2"}, false, 0},
		{changeMark{Version: 3, Name: "h2"}, false, 0},
		{changeMark{VersionByName: map[string]uint64{"h1": 9}}, true, 9},
		{changeMark{VersionByName: map[string]uint64{"h2": 9}}, false, 0},
	} {
		v, applies := c.m.versionFor(x)
		require.Equal(t, c.is, applies, "%+v", c.m)
		require.Equal(t, c.has, v)
	}
	n := 0
	for i := range 2900 {
		if evenlyChosen(i, 200, 2900) {
			n++
		}
	}
	require.Equal(t, 200, n)
	f := &fleet{spec: &Spec{Mechanism: "feed", Initiators: []int{2900}, Real: 20, DiskCopies: 200, Members: 200}}
	of := map[hostKind]int{}
	for i := range 2900 {
		of[f.kindOf(i)]++
	}
	require.Equal(t, 20, of[withBoth])
	require.InDelta(t, 200, of[withDisk], 3)
	require.InDelta(t, 200, of[asMember], 3)
	f.hosts, f.hostKinds, f.hostSizes = make([]*proc, 4), []hostKind{plain, withDisk, plain, withBoth}, []int{300, 200, 300, 20}
	require.Equal(t, []int{280, 200, 0, 20}, f.distribute(500))
	require.Equal(t, []int{0, 30, 0, 0}, f.distribute(30))
}

// TestDiscoveryService checks the cost model of the stand-in against docs/standing.md: calls one at a time, the cost of an answer, and a renewed watch.
func TestDiscoveryService(t *testing.T) {
	s, err := newDiscoveryService([]targetlist.Entry{{ID: "a", Addr: "127.0.0.1:9", Shard: new(int), State: "SERVING"}, {ID: "b", Addr: "127.0.0.1:9", Shard: new(int), State: "SERVING"}})
	require.NoError(t, err)
	defer s.close()
	in := hollow.New(hollow.Options{Name: "h", Discovery: s.addr, Initiators: 1, Log: quiet})
	began := time.Now()
	require.NoError(t, in.Start())
	defer in.Stop(true)
	reached := func(v uint64) {
		require.Eventually(t, func() bool { return in.Checker.Version(hollow.Targets) >= v }, time.Minute, 5*time.Millisecond)
	}
	reached(1)
	require.GreaterOrEqual(t, time.Since(began), callCost+2*entryCost)
	v, at := s.publish(targetlist.Entry{ID: "a", Addr: "127.0.0.1:9", Shard: new(int), State: "DRAINING", StartedMs: 1})
	reached(v)
	got, done := in.Checker.AppliedAt(hollow.Targets, v)
	require.True(t, done)
	require.GreaterOrEqual(t, got-at, callCost+entryCost)
	require.Positive(t, s.traffic.in.Load())
	require.Positive(t, s.traffic.out.Load())
}

// TestHost sends a host the orders of a run and checks its answers.
func TestHost(t *testing.T) {
	h := &host{ctx: context.Background(), specs: map[string]hollowSpec{}}
	known := &targetlist.List{Version: new(int64), Full: true, Targets: targetlist.Entries{{ID: "a", Addr: "127.0.0.1:9", Shard: new(int), State: "SERVING"}}}
	*known.Version = 4
	s := &hostState{}
	require.NoError(t, h.handle(&hostOrder{Action: "add", ControlAddrs: map[string]controlAddrs{"north": {Discovery: "127.0.0.1:9"}}, Initiators: 2, LastKnown: known,
		Add: []hollowSpec{{Name: "h1", Region: "north", Zone: "n-1"}, {Name: "h2", Region: "north", Zone: "n-2", Module: true}}}, s))
	require.ErrorContains(t, h.handle(&hostOrder{Action: "add", Add: []hollowSpec{{Name: "h3", Region: "west"}}}, s), `unknown region "west"`)
	require.ErrorContains(t, h.handle(&hostOrder{Action: "dance"}, s), `unknown order "dance"`)
	require.NoError(t, h.handle(&hostOrder{Action: "on"}, s))
	defer h.stop(h.initiators, true)
	marks := []changeMark{{Lane: hollow.Targets, Version: 4}}
	require.Eventually(t, func() bool {
		s = &hostState{}
		return h.handle(&hostOrder{Action: "state", Marks: marks}, s) == nil && s.Reached == 2
	}, time.Minute, 5*time.Millisecond)
	require.Equal(t, 2, s.Running)
	s = &hostState{}
	require.NoError(t, h.handle(&hostOrder{Action: "collect", Marks: append(marks, changeMark{Lane: hollow.Targets, Version: 5, At: monotonic.Now()})}, s))
	require.Equal(t, 2, s.Missing, "no initiator has version 5")
	require.Len(t, s.Last, 2)
	s = &hostState{}
	require.NoError(t, h.handle(&hostOrder{Action: "restart", Zone: "n-2", Number: 5}, s))
	require.Equal(t, []string{"h2"}, s.Names)
	require.Eventually(t, func() bool {
		s = &hostState{}
		return h.handle(&hostOrder{Action: "state", Marks: marks}, s) == nil && s.Pending == 0 && s.Reached == 2
	}, time.Minute, 5*time.Millisecond)
	require.NoError(t, h.handle(&hostOrder{Action: "off"}, s))
	s = &hostState{}
	require.NoError(t, h.handle(&hostOrder{Action: "state"}, s))
	require.Zero(t, s.Running)
	require.Zero(t, s.Violations, s.ViolationTexts)
}

// TestOutput writes a result as tables and plots.
func TestOutput(t *testing.T) {
	r := &Result{Name: "x", Date: "2026-12-02"}
	for i := range 4 {
		n := 100 * (i + 1)
		r.Rows = append(r.Rows, Row{Series: "initiators", Initiators: n, Targets: 200, Rate: 1, Last: float64(3 * n), Kinds: map[hostKind]InitiatorUsage{plain: {n, 0.001 * float64(n), 1e6}, withModule: {2, 0.5, 2e7}}})
	}
	r.fitSlopes()
	require.NotEmpty(t, r.Fits)
	require.Equal(t, "last in force, ms", r.Fits[0].Quantity)
	require.InDelta(t, 3, r.Fits[0].Coefficient, 1e-6)
	require.InDelta(t, 0, r.Fits[0].PredictionError, 1e-6)
	spec, err := Parse("my.toml", small)
	require.NoError(t, err)
	r.evaluateLimits(spec)
	var b bytes.Buffer
	require.NoError(t, r.WriteTable(&b))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	require.Equal(t, r.Verdict(), lines[len(lines)-1])
	dir := t.TempDir()
	require.NoError(t, r.WritePlots(dir, "scale-x"))
	for _, name := range []string{"scale-x-in-force.svg", "scale-x-control.svg"} {
		i, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		require.Positive(t, i.Size())
	}
	require.Equal(t, 0.4, r.Rows[3].typicalUsage().Core)
	require.Equal(t, InitiatorUsage{Core: 0.5, Memory: 2e7}, r.Rows[3].maxUsage())
}

// TestTargetChanges checks that the changes of each target are numbered, so that journals can order its states, and that only one is in progress at a time.
func TestTargetChanges(t *testing.T) {
	f := &fleet{spec: &Spec{}, entries: []targetlist.Entry{{ID: "a", State: "SERVING"}}, stateChanges: []int64{0}, targets: &targetServers{}, changing: map[int]bool{}}
	require.Equal(t, targetlist.Entry{ID: "a", State: "DRAINING", StartedMs: 1}, f.toggleTarget(0))
	require.Equal(t, targetlist.Entry{ID: "a", State: "SERVING", StartedMs: 2}, f.toggleTarget(0))
	w := f.newChangeWriter(1)
	e, _ := w.chooseTargets()
	require.Empty(t, e, "a change of the only target is in progress")
	delete(f.changing, 0)
	e, primary := w.chooseTargets()
	require.Len(t, e, 1)
	require.False(t, primary)
	c := watchstream.Change{Fleet: fleetName, Epoch: "e", Puts: []watchstream.Put{{Kind: watchstream.Targets, Key: "a", Value: []byte(`{}`)}}}
	require.NoError(t, c.Validate())
}
