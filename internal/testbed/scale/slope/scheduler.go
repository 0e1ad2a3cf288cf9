package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"spindlehitch/internal/policy"
)

var targetSizes = []float64{200, 632, 2000, 6324, 20_000}

// sampleSettings returns settings as operators typically have them: three classes, three plans, all rules on.
func sampleSettings() policy.Settings {
	const ms = time.Millisecond
	return policy.Settings{
		Initiators: 2900, MinStep: ms, MaxAttempts: 3, MeanUnits: 1.5, MaxUnits: 16, ColdUnitsPerWindow: 40, FairSharePriority: 0.7, ExcessPriority: 0.4, ConnectCost: 0.2, UsagePeriod: time.Second,
		Classes: []policy.Class{{Name: "read", LatencyObjective: 150 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "write", LatencyObjective: 300 * ms, Deadline: 3 * time.Second, Effect: policy.IdempotentWithKey, DedupScope: policy.DedupShard, DedupWindow: 5 * time.Second, PriorityWeight: 2},
			{Name: "append", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, Effect: policy.NonIdempotent, PriorityWeight: 2, Ordered: true}},
		Plans: []policy.Plan{{Name: "base", Rate: 100, ReservedRate: 20, Weight: 1, PriorityFactor: 1}, {Name: "plus", Rate: 400, ReservedRate: 100, Weight: 2, PriorityFactor: 2},
			{Name: "bulk", Rate: 1000, Weight: 1, PriorityFactor: 0.5, RateLimit: 2000, RateLimitBurst: 2000}},
		Rules: policy.Rules{ColdCapacityFraction: 0.1, WarmUpTime: 20 * time.Second, OverloadWindow: 3 * time.Second, OverloadFactor: 2, OrderedQuietTime: 100 * ms, RetryBudget: true, RetryBudgetFree: 10,
			RetryBudgetRatio: 0.1, RetryBudgetWindow: 10 * time.Second},
	}
}

func targetID(i int) string { return fmt.Sprintf("harbour-%05d-%04x", i, i*40503%65536) }

// schedulerLoad drives a scheduler in virtual time, with a number of targets, each a shard of its own.
type schedulerLoad struct {
	*policy.Scheduler
	now       time.Duration
	endpoints []policy.Endpoint
	requests  int
	volumes   int
	rng       *rand.Rand
}

func newSchedulerLoad(targets int) (*schedulerLoad, error) {
	s, err := policy.New(sampleSettings(), 1)
	if err != nil {
		return nil, err
	}
	m := &schedulerLoad{Scheduler: s, now: time.Minute, volumes: 4096, rng: rand.New(rand.NewPCG(1, uint64(targets)))}
	for i := range targets {
		m.endpoints = append(m.endpoints, policy.Endpoint{ID: targetID(i), Zone: fmt.Sprint("zone-", i%30), Shard: i})
	}
	s.Step(0, nil) // the scheduler has run for a minute, so it does not assume unfinished requests from before its start
	s.Step(m.now, []policy.Event{policy.EndpointList{Full: true, Endpoints: m.endpoints}})
	return m, nil
}

// toggleEndpoint changes one target from up to draining or back.
func (m *schedulerLoad) toggleEndpoint() {
	n := &m.endpoints[m.rng.IntN(len(m.endpoints))]
	n.State = policy.Draining - n.State
	m.now += time.Millisecond
	m.Step(m.now, []policy.Event{policy.EndpointList{Endpoints: []policy.Endpoint{*n}}})
}

// serveRequest steps the scheduler through one request that is sent and answered.
func (m *schedulerLoad) serveRequest() {
	m.requests++
	id := fmt.Sprint("r", m.requests)
	m.now += 60 * time.Microsecond
	for _, a := range m.Step(m.now, []policy.Event{policy.Request{ID: id, Class: "read", Plan: "base", Volume: fmt.Sprint("v", m.requests%m.volumes),
		Shard: m.rng.IntN(len(m.endpoints)), Units: 1, VolumeInitiators: 1, TimeLeft: 2 * time.Second}}) {
		if a.Kind == policy.Send {
			m.now += 60 * time.Microsecond
			m.Step(m.now, []policy.Event{policy.Outcome{ID: a.Request, Endpoint: a.Endpoint, Code: policy.Served, Latency: 2 * time.Millisecond, Final: true}})
		}
	}
}

func schedulerProbes() []Probe {
	return []Probe{{
		Description: "root package, each target a shard of its own: a list of one entry that drains or is up again; a request with its answer; a timer; a whole list as after a start; its heap",
		Metrics: []Metric{{Name: "module.change", Unit: "us", Subject: "a change of one entry", Per: "target"},
			{Name: "module.request", Unit: "us", Subject: "a request and its answer", Per: "target"},
			{Name: "module.timer", Unit: "us", Subject: "a timer with nothing open", Per: "target", Noisy: true},
			{Name: "module.whole", Unit: "us", Subject: "a whole list, with nothing known", Per: "target"},
			{Name: "module.memory", Unit: "B", Subject: "heap of a module", Per: "target", Exact: true}},
		Sizes: targetSizes, ShortSizes: []float64{200, 400, 800, 1600}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			var err error
			var m *schedulerLoad
			began := time.Now()
			held, _ := retainedBytes(func() *schedulerLoad {
				m, err = newSchedulerLoad(size)
				return m
			})
			if err != nil {
				return nil, err
			}
			took := time.Since(began)
			whole := minMicros(1, max(0, 300*time.Millisecond-took), func() { _, _ = newSchedulerLoad(size) })
			change := minMicros(2, 200*time.Millisecond, m.toggleEndpoint)
			request := minMicros(5, 200*time.Millisecond, func() {
				for range 100 {
					m.serveRequest()
				}
			}) / 100
			timer := minMicros(5, 50*time.Millisecond, func() {
				for range 20 {
					m.now += 20 * time.Millisecond
					m.Step(m.now, []policy.Event{policy.TimerFired{}})
				}
			}) / 20
			runtime.KeepAlive(m)
			return []float64{change, request, timer, whole, held}, nil
		}}, {
		Description: "root package, 2,000 targets: other settings, all plans with other rates, while volumes are known that have been served lately",
		Metrics:     []Metric{{Name: "module.adopt", Unit: "us", Subject: "other settings", Per: "volume"}},
		Sizes:       []float64{64, 256, 1024, 4096, 16384}, ShortSizes: []float64{128, 256, 512, 1024}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			m, err := newSchedulerLoad(2000)
			if err != nil {
				return nil, err
			}
			m.volumes = size
			for range size {
				m.serveRequest()
			}
			other := [2]policy.Settings{sampleSettings(), sampleSettings()}
			for i := range other[1].Plans {
				other[1].Plans[i].Rate *= 2
			}
			turn := 0
			took := minMicros(20, 100*time.Millisecond, func() {
				turn++
				m.now += time.Microsecond
				m.Step(m.now, []policy.Event{other[turn%2]})
			})
			runtime.KeepAlive(m)
			return []float64{took}, nil
		}}}
}
