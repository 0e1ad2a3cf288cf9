package slope

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Gives is one cost that a probe measures.
type Metric struct {
	Name, Unit, Subject, Per string
	Exact                    bool // a count or bytes: the same in every run
	Noisy                    bool // it depends on what else the machine does, so that no short run is held against it
}

// Probe measures what something costs at several sizes.
type Probe struct {
	Description string
	Metrics     []Metric
	Sizes       []float64 // the largest is foretold from the rest
	ShortSizes  []float64 // of them, or smaller ones: for a short run
	// Turns is over all sizes, of which the least time counts: what else the machine does meets one size in one turn and another in the next. 0: one.
	Repeats int
	// Beside says that a short run may measure all sizes at once: what is held against the table is each one's own, and most of the time is waiting.
	Concurrent bool
	// Run measures at one size, a cost for each of Gives. Where the program can't be given that size it returns ErrBeyond: the size is left out.
	Run func(ctx context.Context, size int) ([]float64, error)
}

// ErrBeyond says that the program refuses a size.
var ErrSizeUnsupported = errors.New("a size that the program refuses")

// Probes is all of them.
func Probes() []Probe {
	return slices.Concat(schedulerProbes(), listProbes(), controlProbes(), memberProbes(), discoveryProbes(), agentProbes(), feedProbes(), configChangeProbes())
}

// Measure runs a probe at so many sizes, one after another, and fits what came.
func Measure(ctx context.Context, p Probe, sizes []float64, now time.Time) ([]Slope, error) {
	return measure(ctx, p, sizes, now, 1)
}

// Short runs a probe at its small sizes.
func MeasureShort(ctx context.Context, p Probe, now time.Time) ([]Slope, error) {
	most := 1
	if p.Concurrent {
		most = len(p.ShortSizes)
	}
	return measure(ctx, p, p.ShortSizes, now, most)
}

func measure(ctx context.Context, p Probe, sizes []float64, now time.Time, most int) ([]Slope, error) {
	began := time.Now()
	costs := make([][]float64, len(sizes))
	for range max(1, p.Repeats) {
		if err := parallel(len(sizes), most, func(i int) error {
			if err := ctx.Err(); err != nil {
				return err
			}
			c, err := p.Run(ctx, int(sizes[i]))
			switch {
			case errors.Is(err, ErrSizeUnsupported):
				return nil
			case err != nil:
				return fmt.Errorf("%s at %v: %w", p.Metrics[0].Name, sizes[i], err)
			}
			for k := range costs[i] {
				c[k] = min(c[k], costs[i][k])
			}
			costs[i] = c
			return nil
		}); err != nil {
			return nil, err
		}
	}
	all := make([][]Point, len(p.Metrics))
	for i, list := range costs {
		for k, c := range list {
			all[k] = append(all[k], Point{sizes[i], roundDigits(c)})
		}
	}
	lasted := time.Since(began).Seconds()
	var slopes []Slope
	for i, g := range p.Metrics {
		l, err := Fit(all[i])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", g.Name, err)
		}
		slopes = append(slopes, Slope{Name: g.Name, Unit: g.Unit, Subject: g.Subject, Per: g.Per, Value: roundDigits(l.Coefficient), StdError: roundDigits(l.StdError), Base: roundDigits(l.Base), Power: l.Power,
			MinSize: l.MinSize, MaxSize: l.MaxSize, PredictionError: roundDigits(l.PredictionError), Residual: roundDigits(l.Residual), Command: "spindlehitch-scale slopes " + p.Metrics[0].Name, Date: now.Format(time.DateOnly), Cores: runtime.NumCPU(),
			DurationSeconds: math.Ceil(lasted), Measured: all[i], Exact: g.Exact, Description: p.Description})
	}
	return slopes, nil
}

// round keeps four digits: more are noise.
func roundDigits(x float64) float64 {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return x
	}
	by := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*by) / by
}

// quickest is the least time that f takes, in us: of so many turns at least, and of as many as fit in a time. What else the machine does only adds.
func minMicros(least int, within time.Duration, f func()) float64 {
	best := time.Duration(math.MaxInt64)
	for end, i := time.Now().Add(within), 0; i < least || i < 1000 && time.Now().Before(end); i++ {
		began := time.Now()
		f()
		best = min(best, time.Since(began))
	}
	return float64(best.Nanoseconds()) / 1e3
}

// heap is what lives there, after two collections: what the first finalizes the second frees.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// holds is the memory that what f returns holds.
func retainedBytes[T any](f func() T) (float64, T) {
	before := heapBytes()
	v := f()
	after := heapBytes()
	return max(0, after-before), v
}

// allocated is what f allocates: objects and bytes.
func allocations(f func()) (objects, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc)
}

// cpu is what this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage: " + err.Error()) // there is no process that it could fail for
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Find returns the probes that give one of the names; all where there is none.
func FindProbes(names []string) ([]Probe, error) {
	all := Probes()
	if len(names) == 0 {
		return all, nil
	}
	var found []Probe
	for _, n := range names {
		i := slices.IndexFunc(all, func(p Probe) bool { return slices.ContainsFunc(p.Metrics, func(g Metric) bool { return g.Name == n }) })
		if i < 0 {
			return nil, fmt.Errorf("no probe gives %q", n)
		}
		if !slices.ContainsFunc(found, func(p Probe) bool { return p.Metrics[0].Name == all[i].Metrics[0].Name }) {
			found = append(found, all[i])
		}
	}
	return found, nil
}
