package experiment

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"spindlehitch/internal/testbed/model"
)

// Metrics returns the names of the metrics that can be plotted: a point's fields, by their names in the results.
func Metrics() (names []string) {
	t := reflect.TypeFor[model.Point]()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names[1:] // the first is the time
}

// Results reads the time series of a folder's runs.
func Results(dir string) ([]Row, error) {
	rows, err := parquet.ReadFile[Row](filepath.Join(dir, "results.parquet"))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, "results.parquet"), err)
	}
	return rows, nil
}

// Plot plots a metric over time, for each setting a line (the mean of its seeds) with a band from the minimum to the maximum.
// If per is set, values are divided by the requests offered. The file's extension selects the format: .svg or .png.
func Plot(dir, metric string, per bool, title, out string) error {
	at := slices.Index(Metrics(), metric)
	if at < 0 {
		return fmt.Errorf("metric: %q is none of %s", metric, strings.Join(Metrics(), ", "))
	}
	if end := filepath.Ext(out); end != ".svg" && end != ".png" {
		return fmt.Errorf("output: %q ends neither in .svg nor in .png", out)
	}
	rows, err := Results(dir)
	if err != nil {
		return err
	}
	type stretch struct{ sum, n, lo, hi float64 }
	var order []string
	lines := map[string]map[float64]*stretch{}
	for _, r := range rows {
		v := reflect.ValueOf(r.Point).Field(at + 1).Float()
		if per {
			v /= max(1, r.Offered)
		}
		if lines[r.Setting] == nil {
			lines[r.Setting] = map[float64]*stretch{}
			order = append(order, r.Setting)
		}
		s := lines[r.Setting][r.T]
		if s == nil {
			s = &stretch{lo: v, hi: v}
			lines[r.Setting][r.T] = s
		}
		s.sum, s.n, s.lo, s.hi = s.sum+v, s.n+1, min(s.lo, v), max(s.hi, v)
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", metric
	if per {
		p.Y.Label.Text = metric + ", share of what was offered"
	}
	p.Y.Min = 0
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	colors, err := brewer.GetPalette(brewer.TypeQualitative, "Dark2", min(8, max(3, len(order))))
	if err != nil {
		return err
	}
	for i, of := range order {
		var times []float64
		for t := range lines[of] {
			times = append(times, t)
		}
		slices.Sort(times)
		var mean, band plotter.XYs
		for _, t := range times {
			s := lines[of][t]
			mean = append(mean, plotter.XY{X: t, Y: s.sum / s.n})
			band = append(band, plotter.XY{X: t, Y: s.hi})
		}
		for _, t := range slices.Backward(times) {
			band = append(band, plotter.XY{X: t, Y: lines[of][t].lo})
		}
		r, g, b, _ := colors.Colors()[i%len(colors.Colors())].RGBA()
		line, err := plotter.NewLine(mean)
		if err != nil {
			return err
		}
		line.Color, line.Width = color.RGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), 255}, vg.Points(1.5)
		area, err := plotter.NewPolygon(band)
		if err != nil {
			return err
		}
		area.Color, area.Width = color.RGBA{uint8(r >> 11), uint8(g >> 11), uint8(b >> 11), 32}, 0
		p.Add(area, line)
		p.Legend.Add(of, line)
	}
	if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
		return err
	}
	return p.Save(22*vg.Centimeter, 11*vg.Centimeter, out)
}
