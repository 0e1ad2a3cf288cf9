package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"
	"github.com/parquet-go/parquet-go/compress/zstd"
	"gonum.org/v1/gonum/stat"

	"spindlehitch/internal/testbed/model"
)

// CompletedRun is a run with its result, as its file has it.
type CompletedRun struct {
	PlannedRun
	Sum    uint64       `json:"xxhash"` // hash of the spec and the program
	Result model.Result `json:"result"`
}

// Row is a row of results.parquet: one step of one run.
type Row struct {
	Run     int32  `parquet:"run"`
	Setting string `parquet:"of,dict"` // variant and varied values
	Variant string `parquet:"variant,dict"`
	Seed    uint64 `parquet:"seed"`
	model.Point
}

func (x *Experiment) checksum(p PlannedRun) uint64 { return xxhash.Sum64String(p.text) ^ x.Program }

func runFile(dir string, n int) string {
	return filepath.Join(dir, "runs", fmt.Sprintf("%06d.json", n))
}

// load reads a run's file; ok is false if it is missing, incomplete, or of another spec or program.
func load(dir string, p PlannedRun, sum uint64) (d CompletedRun, ok bool) {
	b, err := os.ReadFile(runFile(dir, p.N))
	if err != nil || json.Unmarshal(b, &d) != nil || d.Sum != sum || d.Seed != p.Seed {
		return d, false
	}
	d.Spec, d.text = p.Spec, p.text
	return d, true
}

// save writes a run's file atomically.
func save(dir string, d CompletedRun) error {
	b, err := json.Marshal(d)
	if err != nil {
		return err
	}
	return writeAtomically(runFile(dir, d.N), func(w io.Writer) error {
		_, err := w.Write(b)
		return err
	})
}

// writeAtomically writes a file under a temporary name, and renames it when it is complete.
func writeAtomically(path string, write func(io.Writer) error) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), "writing-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	if err = errors.Join(write(f), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// ErrViolation means that a run violated an invariant.
var ErrViolation = errors.New("a run violates an invariant")

// Run executes all runs that the folder doesn't have yet, on so many cores (0: all), and then writes results.parquet and
// summary.json, which depend on the file alone. progress is called after each run, by one goroutine at a time. If ctx ends,
// completed runs are kept.
func (x *Experiment) Run(ctx context.Context, dir string, cores int, progress func(done, all int)) ([]CompletedRun, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	if err := os.MkdirAll(filepath.Join(dir, "runs"), 0o755); err != nil {
		return nil, err
	}
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	all := make([]CompletedRun, len(x.Runs))
	var mu sync.Mutex // guards all, failed and done, and calls of progress
	var failed error
	done := 0
	next := make(chan int) // indices of runs; closed once all are sent or ctx has ended, which ends the workers
	var work sync.WaitGroup
	for range cores {
		work.Go(func() {
			for i := range next {
				p := x.Runs[i]
				d, had := load(dir, p, x.checksum(p))
				if !had {
					d = CompletedRun{PlannedRun: p, Sum: x.checksum(p), Result: model.Run(p.Spec, p.Seed, false)}
					if err := save(dir, d); err != nil {
						mu.Lock()
						failed = errors.Join(failed, err)
						mu.Unlock()
					}
				}
				mu.Lock()
				all[i] = d
				done++
				progress(done, len(x.Runs))
				mu.Unlock()
			}
		})
	}
	for i := range x.Runs {
		select {
		case <-ctx.Done():
		case next <- i:
			continue
		}
		break
	}
	close(next)
	work.Wait()
	if failed != nil || ctx.Err() != nil {
		return nil, errors.Join(failed, ctx.Err())
	}
	err := writeAtomically(filepath.Join(dir, "results.parquet"), func(w io.Writer) error {
		p := parquet.NewGenericWriter[Row](w, parquet.Compression(&zstd.Codec{}))
		for _, d := range all {
			rows := make([]Row, 0, len(d.Result.Series))
			for _, point := range d.Result.Series {
				rows = append(rows, Row{int32(d.N), d.Setting(), d.Variant, d.Seed, point})
			}
			if _, err := p.Write(rows); err != nil {
				return err
			}
		}
		return p.Close()
	})
	if err != nil {
		return all, err
	}
	err = writeAtomically(filepath.Join(dir, "summary.json"), func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(Summarize(all))
	})
	for _, d := range all {
		if d.Result.Violation != nil {
			return all, errors.Join(err, fmt.Errorf("run %d (%s, seed %d): %w: %w", d.N, d.Setting(), d.Seed, ErrViolation, d.Result.Violation))
		}
	}
	return all, err
}

// figures are the figures of a run's summary. Shares are of the requests offered.
var figures = []struct {
	name string
	of   func(d *CompletedRun) float64
}{
	{"served", func(d *CompletedRun) float64 { return total(d, served) / total(d, offered) }},
	{"late", func(d *CompletedRun) float64 {
		return total(d, func(p model.Point) float64 { return p.Late }) / total(d, offered)
	}},
	{"lost", func(d *CompletedRun) float64 {
		return total(d, func(p model.Point) float64 { return p.Lost }) / total(d, offered)
	}},
	{"repeats", func(d *CompletedRun) float64 {
		return total(d, func(p model.Point) float64 { return p.Retries }) / total(d, offered)
	}},
	{"attempts", func(d *CompletedRun) float64 {
		return total(d, func(p model.Point) float64 { return p.Attempts }) / total(d, offered)
	}},
	{"falls", func(d *CompletedRun) float64 { return total(d, func(p model.Point) float64 { return p.Overloads }) }},
	{"grants", func(d *CompletedRun) float64 { return total(d, func(p model.Point) float64 { return p.Grants }) }},
	{"recover_s", recoveryTime},
	{"tail", tailShare},
	{"p99_s", func(d *CompletedRun) float64 { return d.Result.P99 }},
	{"worst_window", func(d *CompletedRun) float64 { return d.Result.WorstWindow }},
	{"events", func(d *CompletedRun) float64 { return float64(d.Result.Events) }},
}

func offered(p model.Point) float64 { return p.Offered }
func served(p model.Point) float64  { return p.Served }

func total(d *CompletedRun, of func(model.Point) float64) (sum float64) {
	for _, p := range d.Result.Series {
		sum += of(p)
	}
	return sum
}

// lastFault returns when the last fault or surge of the spec begins; 0: there is none.
func lastFault(d *CompletedRun) (at float64) {
	for _, f := range d.Spec.Faults {
		at = max(at, f.AtS)
	}
	if l := d.Spec.Load; l.SurgeForS > 0 {
		at = max(at, l.SurgeAtS)
	}
	return at
}

// recoveryTime returns how long after the beginning of the last fault nine tenths of the requests are served in time again,
// for five steps in a row; the rest of the run if they never are.
func recoveryTime(d *CompletedRun) float64 {
	at, run := lastFault(d), 0
	hurt := false
	for _, p := range d.Result.Series {
		if p.T <= at {
			continue
		}
		if p.Served >= 0.9*p.Offered {
			if run++; run == 5 {
				if !hurt && p.T < at+10*d.Spec.StepS {
					run = 4 // the fault may not have had its effect yet
					continue
				}
				return max(0, p.T-5*d.Spec.StepS-at)
			}
		} else {
			run, hurt = 0, true
		}
	}
	if !hurt {
		return 0
	}
	return d.Spec.LengthS - at
}

// tailShare returns the share of requests served in time in the run's last quarter.
func tailShare(d *CompletedRun) float64 {
	var s, o float64
	for _, p := range d.Result.Series {
		if p.T > 0.75*d.Spec.LengthS {
			s, o = s+p.Served, o+p.Offered
		}
	}
	return s / max(o, 1)
}

// Summary summarizes the runs of one setting.
type Summary struct {
	Setting string              `json:"of"`
	Runs    int                 `json:"runs"`
	Broken  int                 `json:"broken"`
	Stopped int                 `json:"stopped"`
	Figures map[string]Estimate `json:"figures"`
}

// Estimate is a figure's mean over the seeds, and its standard deviation.
type Estimate struct {
	Mean   float64   `json:"mean"`
	SD     float64   `json:"sd"`
	Values []float64 `json:"all"`
}

// Summarize summarizes runs by setting, in the file's order.
func Summarize(all []CompletedRun) (list []Summary) {
	at := map[string]int{}
	for i := range all {
		d := &all[i]
		of := d.Setting()
		if _, there := at[of]; !there {
			at[of] = len(list)
			list = append(list, Summary{Setting: of, Figures: map[string]Estimate{}})
		}
		s := &list[at[of]]
		s.Runs++
		if d.Result.Violation != nil {
			s.Broken++
		}
		if d.Result.Stopped != "" {
			s.Stopped++
		}
		for _, m := range figures {
			v := m.of(d)
			if math.IsNaN(v) || math.IsInf(v, 0) {
				v = 0
			}
			f := s.Figures[m.name]
			f.Values = append(f.Values, v)
			s.Figures[m.name] = f
		}
	}
	for i := range list {
		for name, f := range list[i].Figures {
			f.Mean, f.SD = stat.MeanStdDev(f.Values, nil)
			if len(f.Values) < 2 {
				f.SD = 0
			}
			list[i].Figures[name] = f
		}
	}
	return list
}

// Table writes summaries as a table.
func Table(w io.Writer, list []Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(t, "SETTING\tRUNS\tBROKEN")
	for _, m := range figures {
		fmt.Fprintf(t, "\t%s", strings.ToUpper(m.name))
	}
	fmt.Fprintln(t)
	for _, s := range list {
		fmt.Fprintf(t, "%s\t%d\t%d", s.Setting, s.Runs, s.Broken)
		for _, m := range figures {
			fmt.Fprintf(t, "\t%.4g", s.Figures[m.name].Mean)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// Summaries reads a folder's summary.json.
func Summaries(dir string) (list []Summary, err error) {
	b, err := os.ReadFile(filepath.Join(dir, "summary.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, "summary.json"), err)
	}
	return list, nil
}

// Difference compares one figure of one setting in two folders.
type Difference struct {
	Setting     string  `json:"of"`
	Figure      string  `json:"figure"`
	A           float64 `json:"a"`
	B           float64 `json:"b"`
	SE          float64 `json:"standard_error"`
	Significant bool    `json:"larger_than_spread"` // by more than three standard errors (Welch, 1947, unequal variances)
}

// Compare compares all figures of the settings that two folders share, and marks those that differ by more than the spread
// of their seeds.
func Compare(a, b []Summary) (list []Difference) {
	for _, x := range a {
		at := slices.IndexFunc(b, func(y Summary) bool { return y.Setting == x.Setting })
		if at < 0 {
			continue
		}
		for _, m := range figures {
			f, g := x.Figures[m.name], b[at].Figures[m.name]
			se := math.Sqrt(f.SD*f.SD/float64(max(1, len(f.Values))) + g.SD*g.SD/float64(max(1, len(g.Values))))
			d := Difference{x.Setting, m.name, f.Mean, g.Mean, se, false}
			d.Significant = math.Abs(f.Mean-g.Mean) > 3*se && f.Mean != g.Mean
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(p, q Difference) int { return cmp.Compare(p.Setting, q.Setting) })
	return list
}
