// Package figures holds the numbers that staff read of a running initiator, and writes them down. It does no I/O, and whoever
// reads them waits for nobody. Each number is counted once, where the event happens.
package figures

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/cactus/go-statsd-client/v5/statsd"
)

// Ending says how a request ended for its client.
type Outcome int

const (
	// Success was served whole.
	Success Outcome = iota
	// Overload was refused: trying again is harmless.
	Overload
	// Failure is any other end.
	Failure
	outcomes
)

func (e Outcome) String() string { return [...]string{"success", "overload", "error"}[e] }

// prefix stands before each name.
const prefix = "edge_proxy"

// Book is the numbers of one process. All of it is safe for concurrent use.
type Metrics struct {
	classes    atomic.Pointer[map[string]*[outcomes]atomic.Int64] // never changed, but for another in its place
	dispatches atomic.Int64
	concurrent atomic.Int64
	targets    atomic.Int64
	disabled   atomic.Int64
}

// New returns the numbers for these classes, all at 0.
func New(classes []string) *Metrics {
	b := &Metrics{}
	b.classes.Store(&map[string]*[outcomes]atomic.Int64{})
	b.AddClasses(classes)
	return b
}

// Know has these classes counted as well, from 0 where they are new. Numbers only grow, so that none is forgotten. It isn't to be called by
// two at a time.
func (b *Metrics) AddClasses(classes []string) {
	all := maps.Clone(*b.classes.Load())
	for _, c := range classes {
		if all[c] == nil {
			all[c] = &[outcomes]atomic.Int64{}
		}
	}
	b.classes.Store(&all)
}

// Dispatched notes an attempt that was written whole to a target.
func (b *Metrics) CountDispatch() { b.dispatches.Add(1) }

// Listed notes how many targets the list has.
func (b *Metrics) SetTargets(n int) { b.targets.Store(int64(n)) }

// Avoided notes how many of them the module avoids.
func (b *Metrics) SetAvoided(n int) { b.disabled.Store(int64(n)) }

// Request is one request that was taken, until it ends.
type Request struct {
	book  *Metrics
	class string
	ended atomic.Bool
}

// Take notes that a request is there, whole.
func (b *Metrics) StartRequest(class string) *Request {
	b.concurrent.Add(1)
	return &Request{book: b, class: class}
}

// End notes how it ended; only the first word counts. A nil one is not kept.
func (r *Request) End(e Outcome) {
	if r == nil || r.ended.Swap(true) {
		return
	}
	r.book.concurrent.Add(-1)
	r.book.CountOutcome(r.class, e)
}

// Ended counts the end of a request that was never taken. A class that is not known is not counted.
func (b *Metrics) CountOutcome(class string, e Outcome) {
	if n := (*b.classes.Load())[class]; n != nil {
		n[e].Add(1)
	}
}

// Tell tells the numbers: counters from 0 at the start of the process, gauges as they are now.
func (b *Metrics) Tell(to statsd.ExtendedStatSender) {
	classes := *b.classes.Load()
	for _, c := range slices.Sorted(maps.Keys(classes)) {
		for e := range outcomes {
			to.Inc("replies."+c+"."+e.String(), classes[c][e].Load(), 1)
		}
	}
	to.Inc("dispatches", b.dispatches.Load(), 1)
	to.Gauge("concurrent", b.concurrent.Load(), 1)
	to.Gauge("targets", b.targets.Load(), 1)
	to.Gauge("targets_disabled", b.disabled.Load(), 1)
}

// Page writes down the numbers that tell tells, one a line, as the platform has them: those of statsd.
func Render(tell func(statsd.ExtendedStatSender)) []byte {
	var p page
	c, err := statsd.NewClientWithSender(&p, prefix, statsd.SuffixOctothorpe)
	if err != nil {
		panic(err) // of arguments, which are always these
	}
	tell(c.(statsd.ExtendedStatSender))
	return p
}

// page is a sender that keeps what it is sent.
type page []byte

// Send implements statsd.Sender.
func (p *page) Send(line []byte) (int, error) {
	*p = append(append(*p, line...), '\n')
	return len(line), nil
}

// Close implements statsd.Sender.
func (p *page) Close() error { return nil }
