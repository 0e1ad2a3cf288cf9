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

// Metric is one cost that a probe measures.
type Metric struct {
	Name, Unit, Subject, Per string
	Exact                    bool // a count or a number of bytes, the same in every run
	Noisy                    bool // it depends on the other load on the machine, so that short runs are not compared with it
}

// Probe measures costs at several sizes.
type Probe struct {
	Description string
	Metrics     []Metric
	Sizes       []float64 // the largest is predicted from the others
	ShortSizes  []float64 // sizes of a short run
	// Repeats is the number of passes over all sizes, of which the smallest cost of each size counts, so that a burst of other load on the machine does not
	// distort one size. 0 means 1.
	Repeats int
	// Concurrent says that a short run may measure all sizes at once, because each compared metric is counted separately and most of the time is spent waiting.
	Concurrent bool
	// Run measures one size and returns a cost for each of Metrics. It returns ErrSizeUnsupported if the program does not accept that size, which is then left out.
	Run func(ctx context.Context, size int) ([]float64, error)
}

// ErrSizeUnsupported is returned by Probe.Run for a size that the program does not accept.
var ErrSizeUnsupported = errors.New("size not supported by the program")

// Probes returns all probes.
func Probes() []Probe {
	return slices.Concat(schedulerProbes(), listProbes(), controlProbes(), memberProbes(), discoveryProbes(), agentProbes(), feedProbes(), configChangeProbes())
}

// Measure runs a probe at the given sizes, one after another, and fits a slope for each metric.
func Measure(ctx context.Context, p Probe, sizes []float64, now time.Time) ([]Slope, error) {
	return measure(ctx, p, sizes, now, 1)
}

// MeasureShort runs a probe at its short sizes, all at once if it is Concurrent.
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
	seconds := time.Since(began).Seconds()
	var slopes []Slope
	for i, g := range p.Metrics {
		l, err := Fit(all[i])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", g.Name, err)
		}
		slopes = append(slopes, Slope{Name: g.Name, Unit: g.Unit, Subject: g.Subject, Per: g.Per, Value: roundDigits(l.Coefficient), StdError: roundDigits(l.StdError), Base: roundDigits(l.Base), Power: l.Power,
			MinSize: l.MinSize, MaxSize: l.MaxSize, PredictionError: roundDigits(l.PredictionError), Residual: roundDigits(l.Residual), Command: "spindlehitch-scale slopes " + p.Metrics[0].Name, Date: now.Format(time.DateOnly), Cores: runtime.NumCPU(),
			DurationSeconds: math.Ceil(seconds), Measured: all[i], Exact: g.Exact, Description: p.Description})
	}
	return slopes, nil
}

// roundDigits rounds to four significant digits; more are noise.
func roundDigits(x float64) float64 {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return x
	}
	by := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*by) / by
}

// minMicros returns the shortest time that f takes, in us, of at least least runs and of up to 1,000 that start within a period. Other load on the machine can only
// increase a time.
func minMicros(least int, within time.Duration, f func()) float64 {
	best := time.Duration(math.MaxInt64)
	for end, i := time.Now().Add(within), 0; i < least || i < 1000 && time.Now().Before(end); i++ {
		began := time.Now()
		f()
		best = min(best, time.Since(began))
	}
	return float64(best.Nanoseconds()) / 1e3
}

// heapBytes returns the bytes of the live heap and the stacks after two collections: the second frees what the first finalized.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// retainedBytes returns the memory retained by the result of f, and that result.
func retainedBytes[T any](f func() T) (float64, T) {
	before := heapBytes()
	v := f()
	after := heapBytes()
	return max(0, after-before), v
}

// allocations returns the number of objects and bytes that f allocates.
func allocations(f func()) (objects, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc)
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage: " + err.Error()) // can't fail for the process itself
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// FindProbes returns the probes that measure the named metrics, or all probes if no name is given.
func FindProbes(names []string) ([]Probe, error) {
	all := Probes()
	if len(names) == 0 {
		return all, nil
	}
	var found []Probe
	for _, n := range names {
		i := slices.IndexFunc(all, func(p Probe) bool { return slices.ContainsFunc(p.Metrics, func(g Metric) bool { return g.Name == n }) })
		if i < 0 {
			return nil, fmt.Errorf("no probe measures %q", n)
		}
		if !slices.ContainsFunc(found, func(p Probe) bool { return p.Metrics[0].Name == all[i].Metrics[0].Name }) {
			found = append(found, all[i])
		}
	}
	return found, nil
}
