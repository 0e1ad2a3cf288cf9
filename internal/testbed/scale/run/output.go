package run

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Verdict returns the last line of a run's output.
func (r *Result) Verdict() string {
	held := 0
	for _, c := range r.Checks {
		if c.Held() {
			held++
		}
	}
	return fmt.Sprintf("scale: %d of %d limits held", held, len(r.Checks))
}

// WriteTable writes the result as tables, followed by the limits and the verdict.
func (r *Result) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, by %s, %s, seed %d: %d processes of hollow initiators, %d of these run the module and %d are members; %.0f s on %d cores\n\n", r.Name, r.Mechanism, r.Date, r.Seed,
		r.Hosts, r.Modules, r.Members, r.Seconds, r.Cores)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "of\tinitiators\ttargets\tchanges/s\tchanges\tfailed\thalf ms\t99% ms\tlast ms\tlast one\ttargets ms\tconfig ms\tprimary ms\tmissing\tsettled s\toff %\tin B/s\tout B/s\tmoves\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3g\t%d\t%d\t%.0f\t%.0f\t%.0f\t%s\t%.0f\t%.0f\t%.0f\t%d\t%.1f\t%.4f\t%.0f\t%.0f\t%d\t\n", x.Series, x.Initiators, x.Targets, x.Rate, x.Changes, x.Failed, x.Median, x.P99, x.Last, x.LastInitiator,
			x.LastTargets, x.LastConfig, x.LastPrimary, x.Missing, x.Settled, 100*x.CoreIdle, x.In, x.Out, x.RelayMoves)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "of\tinitiators\ttargets\tchanges/s\tkind\tof them\tcore %\tMB\t")
	for _, x := range r.Rows {
		for _, k := range slices.Sorted(maps.Keys(x.Kinds)) {
			e := x.Kinds[k]
			fmt.Fprintf(t, "%s\t%d\t%d\t%.3g\t%s\t%d\t%.4f\t%.2f\t\n", x.Series, x.Initiators, x.Targets, x.Rate, k, e.Number, 100*e.Core, e.Memory/1e6)
		}
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "of\tinitiators\tleader core\tMB\tin B/s\tout B/s\tfds\tfollower core\tMB\tfds\trelay core\tMB\tin B/s\tout B/s\tfds\tlog B a change\t")
	for _, x := range r.Rows {
		l, a, y := x.Leader, x.Follower, x.Relay
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%.3f\t%.0f\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%.0f\t\n", x.Series, x.Initiators, l.Core, float64(l.Memory)/1e6, l.In, l.Out, l.FDs, a.Core,
			float64(a.Memory)/1e6, a.FDs, y.Core, float64(y.Memory)/1e6, y.In, y.Out, y.FDs, x.LogBytes)
	}
	if len(r.Fits) > 0 {
		fmt.Fprintln(t)
		fmt.Fprintln(t, "slope of\tper\trise\terror\tbase\tpower\tlargest foretold off by\t")
		for _, x := range r.Fits {
			fmt.Fprintf(t, "%s\t%s\t%.3g\t%.2g\t%.3g\t%.0f\t%+.0f %%\t\n", x.Quantity, x.Per, x.Coefficient, x.StdError, x.Base, x.Power, 100*x.PredictionError)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, u := range r.Startups {
		fmt.Fprintf(out, "%d initiators are up and have the newest after %.1f s\n", u.Initiators, u.Seconds)
	}
	for _, m := range r.TargetIncreases {
		fmt.Fprintf(out, "%d targets more: %d initiators had them after %.1f s, %d had not; a change right behind them took %.1f s to all\n", m.Targets, m.Initiators, m.Seconds, m.Missing, m.NextChange)
	}
	for _, n := range append(r.Notes, r.ViolationTexts...) {
		fmt.Fprintln(out, n)
	}
	fmt.Fprintf(out, "real initiators: %d requests, %d served, %d not, %d past a drain; targets had %d\n\n", r.Load.Requests, r.Load.Served, r.Load.Failed, r.Load.LateRequests, r.Load.TargetRequests)
	for _, c := range r.Checks {
		fmt.Fprintln(out, c)
	}
	_, err := fmt.Fprintln(out, r.Verdict())
	return err
}

// WritePlots writes plots of the result as SVG into a directory, in files that begin with the prefix.
func (r *Result) WritePlots(dir, prefix string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	type line struct {
		name string
		y    func(Row) float64
	}
	inForce := []line{{"half", func(r Row) float64 { return r.Median / 1000 }}, {"99 in 100", func(r Row) float64 { return r.P99 / 1000 }}, {"last", func(r Row) float64 { return r.Last / 1000 }}}
	for _, p := range []struct {
		file, title, of, x, y string
		at                    func(Row) float64
		lines                 []line
	}{
		{"in-force", "Time until a change is in force", "initiators", "hollow initiators", "s", func(r Row) float64 { return float64(r.Initiators) }, inForce},
		{"changes", "Time until a change is in force", "changes", "changes a second", "s", func(r Row) float64 { return r.Rate }, inForce},
		{"wire", "Bytes of control at each initiator", "changes", "changes a second", "B/s", func(r Row) float64 { return r.Rate },
			[]line{{"read", func(r Row) float64 { return r.In }}, {"written", func(r Row) float64 { return r.Out }}}},
		{"control", "Processor time of control", "initiators", "hollow initiators", "core", func(r Row) float64 { return float64(r.Initiators) },
			[]line{{"leader", func(r Row) float64 { return r.Leader.Core }}, {"dearest follower", func(r Row) float64 { return r.Follower.Core }}, {"dearest relay", func(r Row) float64 { return r.Relay.Core }}}},
	} {
		var rows []Row
		for _, row := range r.Rows {
			if row.Series == p.of {
				rows = append(rows, row)
			}
		}
		if len(rows) < 2 {
			continue
		}
		pic := plot.New()
		pic.Title.Text, pic.X.Label.Text, pic.Y.Label.Text, pic.Y.Min, pic.Legend.Top, pic.Legend.Left = p.title, p.x, p.y, 0, true, true
		pic.Add(plotter.NewGrid())
		colors, err := brewer.GetPalette(brewer.TypeQualitative, "Dark2", 3)
		if err != nil {
			return err
		}
		for i, l := range p.lines {
			var xy plotter.XYs
			for _, row := range rows {
				xy = append(xy, plotter.XY{X: p.at(row), Y: l.y(row)})
			}
			drawn, points, err := plotter.NewLinePoints(xy)
			if err != nil {
				return err
			}
			drawn.Color, drawn.Width = color.RGBAModel.Convert(colors.Colors()[i]), vg.Points(1.5)
			points.Color = drawn.Color
			pic.Add(drawn, points)
			pic.Legend.Add(l.name, drawn)
		}
		if err := pic.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, prefix+"-"+p.file+".svg")); err != nil {
			return err
		}
	}
	return nil
}
