package slope

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain also runs the agents of the probes: newAgentGroup starts this test binary again with AgentEnv set.
func TestMain(m *testing.M) {
	isAgent, err := RunAgent()
	switch {
	case !isAgent:
		os.Exit(m.Run())
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var repoRoot = filepath.Join("..", "..", "..", "..")

func loadTable(t *testing.T) *Table {
	t.Helper()
	tab, err := Load()
	require.NoError(t, err)
	return tab
}

// TestPage checks that the tables of the page match the figures.
func TestPage(t *testing.T) {
	old, err := os.ReadFile(filepath.Join(repoRoot, PageFile))
	require.NoError(t, err)
	page, err := loadTable(t).Page(old)
	require.NoError(t, err)
	require.Equal(t, string(page), string(old), "the page differs from the table: go run ./cmd/spindlehitch-scale page")
}

// TestPageCuts checks the errors for a page with an unknown, duplicate, missing or unterminated table.
func TestPageCuts(t *testing.T) {
	tab := loadTable(t)
	old, err := os.ReadFile(filepath.Join(repoRoot, PageFile))
	require.NoError(t, err)
	for _, c := range []struct{ from, to, want string }{
		{"<!-- table: agent -->", "<!-- table: agents -->", `unknown table "agents"`},
		{"<!-- table: agent -->", "<!-- table: target -->", "duplicate"},
		{"<!-- table: size -->", "", `"size" is missing`},
		{"<!-- end -->\n\nWhat is marked", "What is marked", "is missing"},
	} {
		_, err := tab.Page([]byte(strings.Replace(string(old), c.from, c.to, 1)))
		require.ErrorContains(t, err, c.want, c.from)
		require.ErrorContains(t, err, PageFile)
	}
}

// TestText checks that the embedded table is in canonical form and survives a round trip.
func TestText(t *testing.T) {
	tab := loadTable(t)
	text, err := tab.Text()
	require.NoError(t, err)
	require.Equal(t, string(embedded), string(text), "the table differs from what `slopes --write` writes")
	again, err := Read(File, text)
	require.NoError(t, err)
	require.Equal(t, tab, again)
}

// TestBadTable checks that the error for an invalid table names the file and the field.
func TestBadTable(t *testing.T) {
	good := string(embedded)
	for _, c := range []struct{ from, to, want string }{
		{`"initiators": 2900`, `"initiators": 0`, "size.initiators: 0 is not above 0"},
		{`"initiators": 2900`, `"initiators": -3`, "size.initiators"},
		{`"initiator_core"`, `"initiator_cores"`, "initiator_cores"},
		{`"initiator_core": 0.016,`, ``, "limits.initiator_core"},
		{`"power": 1,`, `"power": 9,`, "slopes[0].power: 9"},
		{`"power": 1,`, `"power": 0,`, "slopes[0].power: 0"},
		{`"name": "accounts.report"`, `"name": "accounts.memory"`, "slopes[1].name"},
		{`"unit": "B"`, `"unit": ""`, "slopes[0].unit: is missing"},
		{`"error": `, `"error": -`, "slopes[0].error"},
		{`"date": "2026-`, `"date": "20x6-`, "slopes[0].date"},
		{`"measured": [`, `"measured": [], "measured_not": [`, "measured_not"},
		{`"size": 256,`, `"size": 64,`, "slopes[0].measured[1].size"},
		{"{", "", ""},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		require.NotEqual(t, good, text, c.from)
		_, err := Read("a.json", []byte(text))
		require.ErrorContains(t, err, "a.json: ", c.to)
		require.ErrorContains(t, err, c.want, c.to)
	}
	_, err := Read("a.json", []byte(good+"{}"))
	require.ErrorContains(t, err, "unexpected data after the table")
	_, err = Read("a.json", nil)
	require.ErrorContains(t, err, "a.json: ")
}

// linearSlope returns a slope of cost each x size, measured at the given sizes.
func linearSlope(name string, each float64, exact bool, sizes ...float64) Slope {
	s := Slope{Name: name, Unit: "B", Subject: "x", Per: "y", Value: each, Power: 1, MinSize: sizes[0], MaxSize: sizes[len(sizes)-1], Command: "c", Date: "2026-12-02", Exact: exact}
	for _, n := range sizes {
		s.Measured = append(s.Measured, Point{n, each * n})
	}
	return s
}

// TestCost checks interpolation between measured sizes and extrapolation by the fit.
func TestCost(t *testing.T) {
	s := linearSlope("a", 2, true, 10, 100, 1000, 10_000)
	s.Measured[3].Cost = 200_000 // well above the fit
	for _, c := range [][2]float64{{10, 20}, {30, 60}, {1000, 2000}, {10_000, 200_000}, {5, 10}, {20_000, 40_000}} {
		require.InEpsilon(t, c[1], s.Cost(c[0]), 1e-9, "at %v", c[0])
	}
	require.InEpsilon(t, 20_000.0, s.Cost(3162.27766), 1e-6) // midpoint on a logarithmic scale
	s.Measured[1].Cost = 0
	require.InDelta(t, 10, s.Cost(55), 1e-9)
}

// TestCostNotNegative guards against negative costs at any size, and against a verdict from a slope that does not exceed its standard error.
func TestCostNotNegative(t *testing.T) {
	noise := linearSlope("noise", 1, false, 100, 200, 400, 800)
	noise.Base, noise.Value, noise.StdError = 221_100, -67, 580
	for i, c := range []float64{260_000, 150_000, 240_000, 190_000} {
		noise.Measured[i].Cost = c
	}
	require.False(t, noise.Grows())
	for _, n := range []float64{0, 1, 50, 100, 150, 800, 1000, 1e4, 1e6} {
		require.GreaterOrEqual(t, noise.Cost(n), 0.0, "at %v", n)
	}
	require.Equal(t, 260_000.0, noise.Cost(1e6), "the slope is not significant, so the largest measured cost is used")
	low := linearSlope("low", 1, true, 400, 800, 1600, 3200)
	low.Base, low.Value = -350, 1
	require.Equal(t, 40.0, low.Cost(40))

	tab := loadTable(t)
	tab = &Table{Size: tab.Size, Limits: tab.Limits}
	tab.Set(noise)
	require.NoError(t, tab.Check())
	f := Figure{Role: "r", Subject: "x", Unit: "us", SlopeNames: []string{"noise"}, Value: func(costModel, Size, Limits) float64 { return 1376 },
		Limit: func(c costModel, _ Size, _ Limits) float64 { return 1e6 / c.perUnit("noise") }}
	j := tab.evaluate(f)
	require.Equal(t, Unknown, j.Verdict)
	require.Equal(t, "*not known*: noise is not above its error", j.verdict())
	require.Greater(t, j.Limit, 0.0)
	require.Zero(t, j.BreakingSize)

	noise.StdError = 10
	tab.Set(noise)
	require.ErrorContains(t, tab.Check(), "slopes[0].value: -67 ± 10: a cost that falls as the size grows is a measurement error")
	noise.StdError, noise.Measured[2].Cost = 580, -1
	tab.Set(noise)
	require.ErrorContains(t, tab.Check(), "slopes[0].measured[2].cost: -1 is below 0")
}

// TestVerdicts checks each verdict, its text, and the breaking size of the fleet.
func TestVerdicts(t *testing.T) {
	tab := &Table{Size: loadTable(t).Size, Limits: loadTable(t).Limits}
	tab.Set(linearSlope("a", 3, true, 10, 100, 1000, 20_000))
	f := Figure{Role: "initiator", Subject: "x", Unit: "B", SlopeNames: []string{"a"}, Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("a", s.Targets) },
		Limit: func(costModel, Size, Limits) float64 { return 30_000 }}
	j := tab.evaluate(f)
	require.Equal(t, ExceedsLimit, j.Verdict)
	require.InEpsilon(t, 2, j.Factor, 1e-9)
	require.Equal(t, 1451.0, j.BreakingSize) // the first fleet with over 10,000 targets
	require.Equal(t, "*lacks by a factor of 2*", j.verdict())
	f.Limit = func(costModel, Size, Limits) float64 { return 120_000 }
	j = tab.evaluate(f)
	require.Equal(t, WithinLimit, j.Verdict)
	require.Equal(t, 5801.0, j.BreakingSize)
	require.Equal(t, "*holds*, 2 times over", j.verdict())
	f.Limit = func(costModel, Size, Limits) float64 { return 1e9 }
	require.Zero(t, tab.evaluate(f).BreakingSize)
	f.MissingInput = "an input that the table lacks"
	require.Equal(t, "*not known*: an input that the table lacks", func() string { j := tab.evaluate(f); return j.verdict() }())
	f.MissingInput, f.SlopeNames = "", []string{"a", "b"}
	require.Equal(t, "*not known*: not measured", func() string { j := tab.evaluate(f); return j.verdict() }())
	require.Zero(t, tab.evaluate(f).Value)
}

// TestRank checks that figures are ranked by breaking size and that RankMechanisms lists each mechanism once.
func TestRank(t *testing.T) {
	tab := loadTable(t)
	for _, by := range []Feed{FeedOff, FeedOn} {
		rank, last := tab.RankExceeded(by), 0.0
		for _, j := range rank {
			require.Equal(t, ExceedsLimit, j.Verdict)
			require.GreaterOrEqual(t, j.BreakingSize, last)
			require.LessOrEqual(t, j.BreakingSize, tab.Size.Initiators)
			require.Contains(t, []Feed{FeedAny, by}, j.Feed)
			last = j.BreakingSize
		}
		seen := map[string]bool{}
		for _, j := range tab.RankMechanisms(by) {
			require.False(t, seen[j.Mechanism], j.Mechanism)
			seen[j.Mechanism] = true
		}
		if len(rank) > 0 {
			require.Equal(t, rank[0].Subject, tab.RankMechanisms(by)[0].Subject)
		}
	}
	// Without the feed, the distribution of list changes breaks first: that is the reason for the feed.
	require.Equal(t, mechListDelivery, tab.RankMechanisms(FeedOff)[0].Mechanism)
}

// TestFigureSlopes checks that each figure and event names the slopes that it is computed from, and that a probe measures each of them.
func TestFigureSlopes(t *testing.T) {
	given := map[string]bool{}
	for _, p := range Probes() {
		require.GreaterOrEqual(t, len(p.Sizes), minSizes, p.Description)
		require.GreaterOrEqual(t, len(p.ShortSizes), minSizes, p.Description)
		for _, g := range p.Metrics {
			require.False(t, given[g.Name], g.Name)
			given[g.Name] = true
		}
	}
	tab := loadTable(t)
	for _, s := range tab.Slopes {
		require.True(t, given[s.Name], "%s: no probe measures it", s.Name)
	}
	all := Figures()
	for _, e := range Events() {
		all = append(all, e.Off, e.On)
	}
	for _, f := range all {
		for _, n := range f.SlopeNames {
			require.True(t, given[n], n)
			require.True(t, tab.Lookup(n).Known(), "%s was not measured", n)
		}
		// Without any one of its slopes a figure has no verdict.
		for _, n := range f.SlopeNames {
			less := &Table{Size: tab.Size, Limits: tab.Limits}
			for _, s := range tab.Slopes {
				if s.Name != n {
					less.Set(s)
				}
			}
			require.Equal(t, Unknown, less.evaluate(f).Verdict, n)
		}
	}
}

// TestCheckSlope checks that a slope over maxGrowthRatio as steep is found, by counts and by ratios of times, and that others pass.
func TestCheckSlope(t *testing.T) {
	tab := &Table{}
	tab.Set(linearSlope("count", 100, true, 10, 100, 1000, 10_000))
	tab.Set(linearSlope("time", 100, false, 10, 100, 1000, 10_000))
	flat := linearSlope("flat", 100, true, 10, 100, 1000, 10_000)
	for i := range flat.Measured {
		flat.Measured[i].Cost = 300 + float64(i)
	}
	flat.Base, flat.Value = 300, 0.0003
	tab.Set(flat)
	checkMade := func(name string, exact bool, cost func(float64) float64) error {
		s := linearSlope(name, 1, exact, 20, 40, 80, 160)
		for i := range s.Measured {
			s.Measured[i].Cost = cost(s.Measured[i].Size)
		}
		return tab.CheckSlope(s)
	}
	require.NoError(t, checkMade("count", true, func(n float64) float64 { return 130 * n }))
	require.ErrorContains(t, checkMade("count", true, func(n float64) float64 { return 170 * n }), "count: from a size of 20 to 160 it grows by 23.8 KB, where the table has 14 KB")
	require.NoError(t, checkMade("time", false, func(n float64) float64 { return 900 * n }), "nine times slower, as on another machine")
	require.Error(t, checkMade("time", false, func(n float64) float64 { return n * n }))
	require.NoError(t, checkMade("flat", true, func(n float64) float64 { return 310 }))
	require.Error(t, checkMade("flat", true, func(n float64) float64 { return 300 + n }), "a flat cost now grows")
	require.Error(t, checkMade("flat", true, func(n float64) float64 { return 500 }), "still flat, but much higher")
	require.ErrorContains(t, checkMade("other", true, func(n float64) float64 { return n }), "no such slope in the table")
}

// TestCheckProbes checks that a slope that seems steeper is measured again, at most as often as allowed, and that noisy metrics are not compared.
func TestCheckProbes(t *testing.T) {
	tab := &Table{}
	tab.Set(linearSlope("time", 100, false, 10, 100, 1000, 10_000))
	p := Probe{Metrics: []Metric{{Name: "time"}}}
	for _, c := range []struct{ bad, want int }{{0, 1}, {2, 3}, {9, 3}} {
		runs := 0
		err := tab.CheckProbes(3, func(Probe) ([]Slope, error) {
			runs++
			s := linearSlope("time", 1, false, 20, 40, 80, 160)
			if runs <= c.bad {
				s.Measured[3].Cost *= 10
			}
			return []Slope{s}, nil
		}, p)
		require.Equal(t, c.want, runs)
		require.Equal(t, c.bad >= 3, err != nil)
	}
	p.Metrics[0].Noisy = true
	require.NoError(t, tab.CheckProbes(1, func(Probe) ([]Slope, error) {
		s := linearSlope("time", 1, false, 20, 40, 80, 160)
		s.Measured[3].Cost *= 10
		return []Slope{s}, nil
	}, p))
}

// TestMeasure checks that sizes which the program does not support are left out, and that too few remaining sizes are an error.
func TestMeasure(t *testing.T) {
	p := Probe{Metrics: []Metric{{Name: "a", Unit: "B", Subject: "x", Per: "y"}}, Run: func(_ context.Context, size int) ([]float64, error) {
		if size > 1000 {
			return nil, ErrSizeUnsupported
		}
		return []float64{float64(size)}, nil
	}}
	list, err := Measure(t.Context(), p, []float64{10, 100, 500, 1000, 10_000}, time.Now())
	require.NoError(t, err)
	require.Equal(t, 1000.0, list[0].MaxSize)
	_, err = Measure(t.Context(), p, []float64{10, 100, 500, 10_000}, time.Now())
	require.Error(t, err)
	p.Run = func(context.Context, int) ([]float64, error) { return nil, errors.New("broken") }
	_, err = Measure(t.Context(), p, []float64{10, 100, 500, 1000}, time.Now())
	require.ErrorContains(t, err, "a at 10: broken")
}

// TestSlopes runs all probes at their short sizes and fails if a slope is more than maxGrowthRatio as steep as in the table. Concurrent probes mostly wait, so they run in
// parallel after the others. With the race detector only these run, since they have goroutines, and nothing is compared with the table.
func TestSlopes(t *testing.T) {
	tab := loadTable(t)
	short := func(p Probe) ([]Slope, error) { return MeasureShort(t.Context(), p, time.Now()) }
	for _, p := range Probes() {
		rough := true
		for _, g := range p.Metrics {
			rough = rough && g.Noisy
		}
		if rough {
			continue // a short run compares none of its metrics
		}
		t.Run(p.Metrics[0].Name, func(t *testing.T) {
			if p.Concurrent {
				t.Parallel()
			}
			if raceEnabled {
				if p.Concurrent {
					_, err := short(p)
					require.NoError(t, err)
				}
				return
			}
			require.NoError(t, tab.CheckProbes(5, short, p))
		})
	}
}

// TestNotLinked checks that the initiator does not link this package.
func TestNotLinked(t *testing.T) {
	cmd := exec.Command("go", "list", "-deps", "./cmd/spindlehitch")
	cmd.Dir = repoRoot
	out, err := cmd.Output()
	require.NoError(t, err)
	require.Contains(t, string(out), "spindlehitch/internal/process/instance\n")
	require.NotContains(t, string(out), "internal/testbed/scale")
}
