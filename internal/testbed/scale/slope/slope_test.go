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

// TestMain is also the agents of the probes.
func TestMain(m *testing.M) {
	asked, err := RunAgent()
	switch {
	case !asked:
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

// TestPage holds the page's tables against the figures.
func TestPage(t *testing.T) {
	old, err := os.ReadFile(filepath.Join(repoRoot, PageFile))
	require.NoError(t, err)
	page, err := loadTable(t).Page(old)
	require.NoError(t, err)
	require.Equal(t, string(page), string(old), "the page differs from the table: go run ./cmd/spindlehitch-scale page")
}

// TestPageCuts names what is wrong with a page.
func TestPageCuts(t *testing.T) {
	tab := loadTable(t)
	old, err := os.ReadFile(filepath.Join(repoRoot, PageFile))
	require.NoError(t, err)
	for _, c := range []struct{ from, to, want string }{
		{"<!-- table: agent -->", "<!-- table: agents -->", `no table "agents"`},
		{"<!-- table: agent -->", "<!-- table: target -->", "twice"},
		{"<!-- table: size -->", "", `"size" is missing`},
		{"<!-- end -->\n\nWhat is marked", "What is marked", "is missing"},
	} {
		_, err := tab.Page([]byte(strings.Replace(string(old), c.from, c.to, 1)))
		require.ErrorContains(t, err, c.want, c.from)
		require.ErrorContains(t, err, PageFile)
	}
}

// TestText reads what it wrote.
func TestText(t *testing.T) {
	tab := loadTable(t)
	text, err := tab.Text()
	require.NoError(t, err)
	require.Equal(t, string(embedded), string(text), "the table is not as `slopes --write` writes it")
	again, err := Read(File, text)
	require.NoError(t, err)
	require.Equal(t, tab, again)
}

// TestBadTable names file and field.
func TestBadTable(t *testing.T) {
	good := string(embedded)
	for _, c := range []struct{ from, to, want string }{
		{`"initiators": 2900`, `"initiators": 0`, "size.initiators: 0 is not over 0"},
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
	require.ErrorContains(t, err, "there is more behind the table")
	_, err = Read("a.json", nil)
	require.ErrorContains(t, err, "a.json: ")
}

// made is a slope of so much for each, measured where it says.
func linearSlope(name string, each float64, exact bool, sizes ...float64) Slope {
	s := Slope{Name: name, Unit: "B", Subject: "x", Per: "y", Value: each, Power: 1, MinSize: sizes[0], MaxSize: sizes[len(sizes)-1], Command: "c", Date: "2026-12-02", Exact: exact}
	for _, n := range sizes {
		s.Measured = append(s.Measured, Point{n, each * n})
	}
	return s
}

// TestAt lies between what was measured, and goes on as it was fitted.
func TestAt(t *testing.T) {
	s := linearSlope("a", 2, true, 10, 100, 1000, 10_000)
	s.Measured[3].Cost = 200_000 // far above the fit
	for _, c := range [][2]float64{{10, 20}, {30, 60}, {1000, 2000}, {10_000, 200_000}, {5, 10}, {20_000, 40_000}} {
		require.InEpsilon(t, c[1], s.Cost(c[0]), 1e-9, "at %v", c[0])
	}
	require.InEpsilon(t, 20_000.0, s.Cost(3162.27766), 1e-6) // half way on the logarithms
	s.Measured[1].Cost = 0
	require.InDelta(t, 10, s.Cost(55), 1e-9)
}

// TestNeverBelow has no cost below 0, wherever it is asked for, and no verdict by a slope that is not above its own error.
func TestNeverBelow(t *testing.T) {
	noise := linearSlope("noise", 1, false, 100, 200, 400, 800)
	noise.Base, noise.Value, noise.StdError = 221_100, -67, 580
	for i, c := range []float64{260_000, 150_000, 240_000, 190_000} {
		noise.Measured[i].Cost = c
	}
	require.False(t, noise.Grows())
	for _, n := range []float64{0, 1, 50, 100, 150, 800, 1000, 1e4, 1e6} {
		require.GreaterOrEqual(t, noise.Cost(n), 0.0, "at %v", n)
	}
	require.Equal(t, 260_000.0, noise.Cost(1e6), "nothing shows that it grows")
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
	require.ErrorContains(t, tab.Check(), "slopes[0].value: -67 ± 10: a cost that falls")
	noise.StdError, noise.Measured[2].Cost = 580, -1
	tab.Set(noise)
	require.ErrorContains(t, tab.Check(), "slopes[0].measured[2].cost: -1 is below 0")
}

// TestVerdicts are holds, lacks and not known, and the smallest fleet is where the limit is passed.
func TestVerdicts(t *testing.T) {
	tab := &Table{Size: loadTable(t).Size, Limits: loadTable(t).Limits}
	tab.Set(linearSlope("a", 3, true, 10, 100, 1000, 20_000))
	f := Figure{Role: "initiator", Subject: "x", Unit: "B", SlopeNames: []string{"a"}, Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("a", s.Targets) },
		Limit: func(costModel, Size, Limits) float64 { return 30_000 }}
	j := tab.evaluate(f)
	require.Equal(t, ExceedsLimit, j.Verdict)
	require.InEpsilon(t, 2, j.Factor, 1e-9)
	require.Equal(t, 1451.0, j.BreakingSize) // 10,000 targets and one initiator more
	require.Equal(t, "*lacks by a factor of 2*", j.verdict())
	f.Limit = func(costModel, Size, Limits) float64 { return 120_000 }
	j = tab.evaluate(f)
	require.Equal(t, WithinLimit, j.Verdict)
	require.Equal(t, 5801.0, j.BreakingSize)
	require.Equal(t, "*holds*, 2 times over", j.verdict())
	f.Limit = func(costModel, Size, Limits) float64 { return 1e9 }
	require.Zero(t, tab.evaluate(f).BreakingSize)
	f.MissingInput = "what nobody told"
	require.Equal(t, "*not known*: what nobody told", func() string { j := tab.evaluate(f); return j.verdict() }())
	f.MissingInput, f.SlopeNames = "", []string{"a", "b"}
	require.Equal(t, "*not known*: not measured", func() string { j := tab.evaluate(f); return j.verdict() }())
	require.Zero(t, tab.evaluate(f).Value)
}

// TestRank has what breaks first first, and each mechanism once where they are told apart.
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
	// Without the feed nothing breaks before what gets changes to all: that is why it is there.
	require.Equal(t, mechListDelivery, tab.RankMechanisms(FeedOff)[0].Mechanism)
}

// TestFiguresName every slope that they are reckoned from, and none that no probe gives.
func TestFiguresName(t *testing.T) {
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
		require.True(t, given[s.Name], "%s: no probe gives it", s.Name)
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
		// With any of them missing there is no verdict.
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

// TestSteeper finds a slope that has become half as steep again, by counts and by ratios, and passes one that has not.
func TestSteeper(t *testing.T) {
	tab := &Table{}
	tab.Set(linearSlope("count", 100, true, 10, 100, 1000, 10_000))
	tab.Set(linearSlope("time", 100, false, 10, 100, 1000, 10_000))
	flat := linearSlope("flat", 100, true, 10, 100, 1000, 10_000)
	for i := range flat.Measured {
		flat.Measured[i].Cost = 300 + float64(i)
	}
	flat.Base, flat.Value = 300, 0.0003
	tab.Set(flat)
	now := func(name string, exact bool, cost func(float64) float64) error {
		s := linearSlope(name, 1, exact, 20, 40, 80, 160)
		for i := range s.Measured {
			s.Measured[i].Cost = cost(s.Measured[i].Size)
		}
		return tab.CheckSlope(s)
	}
	require.NoError(t, now("count", true, func(n float64) float64 { return 130 * n }))
	require.ErrorContains(t, now("count", true, func(n float64) float64 { return 170 * n }), "count: from a size of 20 to 160 it grows by 23.8 KB, where the table has 14 KB")
	require.NoError(t, now("time", false, func(n float64) float64 { return 900 * n }), "nine times slower, as another machine may be")
	require.Error(t, now("time", false, func(n float64) float64 { return n * n }))
	require.NoError(t, now("flat", true, func(n float64) float64 { return 310 }))
	require.Error(t, now("flat", true, func(n float64) float64 { return 300 + n }), "it has begun to grow")
	require.Error(t, now("flat", true, func(n float64) float64 { return 500 }), "it is flat, and much more")
	require.ErrorContains(t, now("other", true, func(n float64) float64 { return n }), "no such slope")
}

// TestAgainst measures again what seems steeper, and no more often than it may.
func TestAgainst(t *testing.T) {
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

// TestMeasure leaves out a size that the program refuses, and fails where too few are left.
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

// TestSlopes is the short run: it fails where a slope has become half as steep again. Probes that wait run beside one another once the others are through. With the race
// detector the probes that have goroutines run for its sake, and nothing is held against the table.
func TestSlopes(t *testing.T) {
	tab := loadTable(t)
	short := func(p Probe) ([]Slope, error) { return MeasureShort(t.Context(), p, time.Now()) }
	for _, p := range Probes() {
		rough := true
		for _, g := range p.Metrics {
			rough = rough && g.Noisy
		}
		if rough {
			continue // nothing of it is held against a short run
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

// TestNotLinked keeps all of this out of what serves.
func TestNotLinked(t *testing.T) {
	cmd := exec.Command("go", "list", "-deps", "./cmd/spindlehitch")
	cmd.Dir = repoRoot
	out, err := cmd.Output()
	require.NoError(t, err)
	require.Contains(t, string(out), "spindlehitch/internal/process/instance\n")
	require.NotContains(t, string(out), "internal/testbed/scale")
}
