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
	s := state{Done: map[string]int{"targets 5": 40, "config 5": 20, "targets 9": 38, "config 700": 1}, Missing: 1,
		Last: []last{{Who: "a", Ms: 9.5, Lane: hollow.Targets, Primary: true}, {Who: "b", Ms: 700.2, Lane: hollow.Config}, {}}}
	var r Row
	r.quantiles(s)
	require.Equal(t, []float64{5, 9, 700.2, 9.5, 700.2, 9.5}, []float64{r.Half, 9, r.Last, r.LastTargets, r.LastConfig, r.Primary})
	require.Equal(t, "b", r.Who)
	r = Row{Missing: 1}
	require.Equal(t, never, r.lastOrMissing())
	r = Row{}
	r.quantiles(state{Done: map[string]int{"targets 5": 1}, Missing: 1})
	require.Equal(t, float64(5), r.Half)
	require.Equal(t, float64(-1), r.Most, "half of them never had it")
}

func TestChecks(t *testing.T) {
	c := Check{Name: "x", Limit: 6, Unit: "s"}
	require.Equal(t, "limit x: not measured  - of 6 s", c.String())
	c.take(0)
	require.Equal(t, "limit x: held  0 of 6 s", c.String())
	c.take(6.5)
	c.take(3)
	require.Equal(t, "limit x: not held  6.5 of 6 s", c.String())
	c.take(never)
	require.Equal(t, "limit x: not held  never of 6 s", c.String())
	r := Result{Checks: []Check{{Measured: true}, {}, c}}
	require.Equal(t, "scale: 1 of 3 limits held", r.Verdict())
}

func TestMarks(t *testing.T) {
	x := hollowSpec{Name: "h1", Region: "north", Zone: "n-1"}
	for _, c := range []struct {
		m   mark
		is  bool
		has uint64
	}{
		{mark{Version: 3}, true, 3},
		{mark{Version: 3, Region: "north"}, true, 3},
		{mark{Version: 3, Region: "south"}, false, 0},
		{mark{Version: 3, Zone: "n-1"}, true, 3},
		{mark{Version: 3, Zone: "n-2"}, false, 0},
		{mark{Version: 3, Name: "h2"}, false, 0},
		{mark{By: map[string]uint64{"h1": 9}}, true, 9},
		{mark{By: map[string]uint64{"h2": 9}}, false, 0},
	} {
		v, is := c.m.of(x)
		require.Equal(t, c.is, is, "%+v", c.m)
		require.Equal(t, c.has, v)
	}
	n := 0
	for i := range 2900 {
		if every(i, 200, 2900) {
			n++
		}
	}
	require.Equal(t, 200, n)
	f := &fleet{spec: &Spec{Mechanism: "feed", Initiators: []int{2900}, Real: 20, Disk: 200, Members: 200}}
	of := map[kind]int{}
	for i := range 2900 {
		of[f.kindOf(i)]++
	}
	require.Equal(t, 20, of[whole])
	require.InDelta(t, 200, of[onDisk], 3)
	require.InDelta(t, 200, of[member], 3)
	f.hosts, f.kinds, f.counts = make([]*proc, 4), []kind{plain, onDisk, plain, whole}, []int{300, 200, 300, 20}
	require.Equal(t, []int{280, 200, 0, 20}, f.shares(500))
	require.Equal(t, []int{0, 30, 0, 0}, f.shares(30))
}

// TestService holds the stand-in against what docs/standing.md says of the service: one call at a time, what an answer costs, and a watch that goes on.
func TestService(t *testing.T) {
	s, err := newService([]targetlist.Entry{{ID: "a", Addr: "127.0.0.1:9", Shard: new(int), State: "SERVING"}, {ID: "b", Addr: "127.0.0.1:9", Shard: new(int), State: "SERVING"}})
	require.NoError(t, err)
	defer s.close()
	in := hollow.New(hollow.Options{Name: "h", Discovery: s.addr, Crowd: 1, Log: quiet})
	began := time.Now()
	require.NoError(t, in.Start())
	defer in.Stop(true)
	reached := func(v uint64) {
		require.Eventually(t, func() bool { return in.Journal.At(hollow.Targets) >= v }, time.Minute, 5*time.Millisecond)
	}
	reached(1)
	require.GreaterOrEqual(t, time.Since(began), callTakes+2*lineTakes)
	v, at := s.change(targetlist.Entry{ID: "a", Addr: "127.0.0.1:9", Shard: new(int), State: "DRAINING", StartedMs: 1})
	reached(v)
	got, done := in.Journal.When(hollow.Targets, v)
	require.True(t, done)
	require.GreaterOrEqual(t, got-at, callTakes+lineTakes)
	require.Positive(t, s.bytes.in.Load())
	require.Positive(t, s.bytes.out.Load())
}

// TestHost gives a host its orders, as a run does, and has it answer.
func TestHost(t *testing.T) {
	h := &host{ctx: context.Background(), spec: map[string]hollowSpec{}}
	known := &targetlist.List{Version: new(int64), Full: true, Targets: targetlist.Entries{{ID: "a", Addr: "127.0.0.1:9", Shard: new(int), State: "SERVING"}}}
	*known.Version = 4
	s := &state{}
	require.NoError(t, h.do(&order{Do: "add", Ways: map[string]ways{"north": {Discovery: "127.0.0.1:9"}}, Crowd: 2, Known: known,
		Add: []hollowSpec{{Name: "h1", Region: "north", Zone: "n-1"}, {Name: "h2", Region: "north", Zone: "n-2", Module: true}}}, s))
	require.ErrorContains(t, h.do(&order{Do: "add", Add: []hollowSpec{{Name: "h3", Region: "west"}}}, s), `region "west"`)
	require.ErrorContains(t, h.do(&order{Do: "dance"}, s), "not known")
	require.NoError(t, h.do(&order{Do: "on"}, s))
	defer h.stop(h.all, true)
	asked := []mark{{Lane: hollow.Targets, Version: 4}}
	require.Eventually(t, func() bool {
		s = &state{}
		return h.do(&order{Do: "state", Marks: asked}, s) == nil && s.Reached == 2
	}, time.Minute, 5*time.Millisecond)
	require.Equal(t, 2, s.Running)
	s = &state{}
	require.NoError(t, h.do(&order{Do: "collect", Marks: append(asked, mark{Lane: hollow.Targets, Version: 5, At: monotonic.Now()})}, s))
	require.Equal(t, 2, s.Missing, "nobody has version 5")
	require.Len(t, s.Last, 2)
	s = &state{}
	require.NoError(t, h.do(&order{Do: "restart", Zone: "n-2", Number: 5}, s))
	require.Equal(t, []string{"h2"}, s.Names)
	require.Eventually(t, func() bool {
		s = &state{}
		return h.do(&order{Do: "state", Marks: asked}, s) == nil && s.Pending == 0 && s.Reached == 2
	}, time.Minute, 5*time.Millisecond)
	require.NoError(t, h.do(&order{Do: "off"}, s))
	s = &state{}
	require.NoError(t, h.do(&order{Do: "state"}, s))
	require.Zero(t, s.Running)
	require.Zero(t, s.Broken, s.What)
}

// TestPrinted draws and writes a result.
func TestPrinted(t *testing.T) {
	r := &Result{Name: "x", Date: "2026-12-02"}
	for i := range 4 {
		n := 100 * (i + 1)
		r.Rows = append(r.Rows, Row{Of: "initiators", Initiators: n, Targets: 200, Rate: 1, Last: float64(3 * n), Kinds: map[kind]Each{plain: {n, 0.001 * float64(n), 1e6}, deciding: {2, 0.5, 2e7}}})
	}
	r.fit()
	require.NotEmpty(t, r.Fits)
	require.Equal(t, "last in force, ms", r.Fits[0].Of)
	require.InDelta(t, 3, r.Fits[0].Rise, 1e-6)
	require.InDelta(t, 0, r.Fits[0].Off, 1e-6)
	spec, err := Parse("my.toml", small)
	require.NoError(t, err)
	r.check(spec)
	var b bytes.Buffer
	require.NoError(t, r.Table(&b))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	require.Equal(t, r.Verdict(), lines[len(lines)-1])
	dir := t.TempDir()
	require.NoError(t, r.Plots(dir, "scale-x"))
	for _, name := range []string{"scale-x-in-force.svg", "scale-x-control.svg"} {
		i, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		require.Positive(t, i.Size())
	}
	require.Equal(t, 0.4, r.Rows[3].usual().Core)
	require.Equal(t, Each{Core: 0.5, Memory: 2e7}, r.Rows[3].dearest())
}

// TestChangesOfTargets counts each target's changes, so that the judge can tell an older state from a newer one.
func TestChangesOfTargets(t *testing.T) {
	f := &fleet{spec: &Spec{}, entries: []targetlist.Entry{{ID: "a", State: "SERVING"}}, turns: []int64{0}, targets: &answering{}, busy: map[int]bool{}}
	require.Equal(t, targetlist.Entry{ID: "a", State: "DRAINING", StartedMs: 1}, f.turn(0))
	require.Equal(t, targetlist.Entry{ID: "a", State: "SERVING", StartedMs: 2}, f.turn(0))
	w := f.newWriter(1)
	e, _ := w.choose()
	require.Empty(t, e, "a change of the only one is under way")
	delete(f.busy, 0)
	e, primary := w.choose()
	require.Len(t, e, 1)
	require.False(t, primary)
	c := watchstream.Change{Fleet: fleetName, Epoch: "e", Puts: []watchstream.Put{{Kind: watchstream.Targets, Key: "a", Value: []byte(`{}`)}}}
	require.NoError(t, c.Validate())
}
