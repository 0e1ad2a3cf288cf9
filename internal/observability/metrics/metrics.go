// Package metrics holds the metrics of a running initiator, and renders them in statsd's line format. It does no I/O, and
// reading metrics never blocks. Each event is counted once, where it happens.
package metrics

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/cactus/go-statsd-client/v5/statsd"
)

// Outcome is how a request ended for its client.
type Outcome int

const (
	// Success is a request that was served completely.
	Success Outcome = iota
	// Overload is a request that was rejected because of load: a retry is safe.
	Overload
	// Failure is any other outcome.
	Failure
	outcomes
)

func (e Outcome) String() string { return [...]string{"success", "overload", "error"}[e] }

// prefix precedes each metric's name.
const prefix = "edge_proxy"

// Metrics are the counters and gauges of one process. All methods are safe for concurrent use, except AddClasses with itself.
type Metrics struct {
	outcomesByClass atomic.Pointer[map[string]*[outcomes]atomic.Int64] // the map is never modified: AddClasses replaces it
	dispatches      atomic.Int64
	concurrent      atomic.Int64
	targets         atomic.Int64
	ejected         atomic.Int64
}

// New returns metrics that count these classes, all at 0.
func New(classes []string) *Metrics {
	m := &Metrics{}
	m.outcomesByClass.Store(&map[string]*[outcomes]atomic.Int64{})
	m.AddClasses(classes)
	return m
}

// AddClasses counts these classes as well, from 0 where they are new. Counters must never decrease, so no class is ever removed. It
// must not be called concurrently with itself.
func (m *Metrics) AddClasses(classes []string) {
	all := maps.Clone(*m.outcomesByClass.Load())
	for _, c := range classes {
		if all[c] == nil {
			all[c] = &[outcomes]atomic.Int64{}
		}
	}
	m.outcomesByClass.Store(&all)
}

// CountDispatch counts an attempt that was written completely to a target.
func (m *Metrics) CountDispatch() { m.dispatches.Add(1) }

// SetTargets sets the number of targets in the list.
func (m *Metrics) SetTargets(n int) { m.targets.Store(int64(n)) }

// SetEjected sets the number of listed targets that the policy has ejected.
func (m *Metrics) SetEjected(n int) { m.ejected.Store(int64(n)) }

// Request is one accepted request, which counts as concurrent until it ends.
type Request struct {
	metrics *Metrics
	class   string
	ended   atomic.Bool
}

// StartRequest counts a request that was received completely as concurrent, until its End.
func (m *Metrics) StartRequest(class string) *Request {
	m.concurrent.Add(1)
	return &Request{metrics: m, class: class}
}

// End counts the outcome of the request. Only the first call has an effect; on a nil Request none has.
func (r *Request) End(e Outcome) {
	if r == nil || r.ended.Swap(true) {
		return
	}
	r.metrics.concurrent.Add(-1)
	r.metrics.CountOutcome(r.class, e)
}

// CountOutcome counts the outcome of a request without a StartRequest. Classes that were not added are not counted.
func (m *Metrics) CountOutcome(class string, e Outcome) {
	if n := (*m.outcomesByClass.Load())[class]; n != nil {
		n[e].Add(1)
	}
}

// EmitMetrics writes the metrics to a statsd client: counters since the start of the process, gauges with their current value.
func (m *Metrics) EmitMetrics(to statsd.ExtendedStatSender) {
	classes := *m.outcomesByClass.Load()
	for _, c := range slices.Sorted(maps.Keys(classes)) {
		for e := range outcomes {
			to.Inc("replies."+c+"."+e.String(), classes[c][e].Load(), 1)
		}
	}
	to.Inc("dispatches", m.dispatches.Load(), 1)
	to.Gauge("concurrent", m.concurrent.Load(), 1)
	to.Gauge("targets", m.targets.Load(), 1)
	to.Gauge("targets_disabled", m.ejected.Load(), 1)
}

// Render returns the metrics that write emits, one per line, in the platform's statsd format.
func Render(write func(statsd.ExtendedStatSender)) []byte {
	var buffer lineBuffer
	c, err := statsd.NewClientWithSender(&buffer, prefix, statsd.SuffixOctothorpe)
	if err != nil {
		panic(err) // the arguments are constant and valid
	}
	write(c.(statsd.ExtendedStatSender))
	return buffer
}

// lineBuffer is a statsd sender that appends the lines to a buffer.
type lineBuffer []byte

// Send implements statsd.Sender.
func (p *lineBuffer) Send(line []byte) (int, error) {
	*p = append(append(*p, line...), '\n')
	return len(line), nil
}

// Close implements statsd.Sender.
func (p *lineBuffer) Close() error { return nil }
