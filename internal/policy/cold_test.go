package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldFleet steps the schedulers of many initiators on one simulated clock, against endpoints whose capacity is just that of the
// settings. The first endpoint restarts.
type coldFleet struct {
	t            *testing.T
	rng          *rand.Rand
	set          Settings
	now          time.Duration
	processes    []*coldProcess
	busyUntil    [4]time.Duration // when each endpoint has finished its work
	restartedAt  time.Duration    // when the first endpoint restarted; 0: not yet
	coldSent     []timedUnits     // units sent to it by processes that know of the restart
	maxExcess    float64          // largest excess of the sent units over the limit, in mean requests
	requestCount int
}

// coldProcess is one process of an initiator.
type coldProcess struct {
	s             *Scheduler
	index         int
	notifiedAt    time.Duration  // when it learned of the endpoint's restart; never: not yet
	timerAt       time.Duration  // when its timer fires; never: none is set
	pending       []timedEvent   // outcomes to deliver, in order of time
	trafficFactor float64        // its request rate over ratePerProcess
	attempts      map[string]int // number of sends by request
	exitsAt       time.Duration  // when it exits after its successor has started; never: it has none
}

// timedEvent is an event that is delivered at a time.
type timedEvent struct {
	at time.Duration
	Event
}

// requestSizes are the units of requests; their mean is 2.5.
var requestSizes = []float64{1, 1, 1, 1, 2, 2, 2, 2, 5, 8}

func coldSettings(initiators int, coldUnits, overloadFactor, coldFraction float64, warmUpTime time.Duration) Settings {
	set := testSettings()
	set.Initiators, set.ColdUnitsPerWindow, set.MeanUnits, set.MaxUnits = initiators, coldUnits, 2.5, 8
	set.Plans[0] = Plan{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}
	set.Rules = Rules{ColdCapacityFraction: coldFraction, WarmUpTime: warmUpTime, OverloadWindow: 3 * time.Second, OverloadFactor: overloadFactor}
	return set
}

// coldLimit is N of the cold start rule at the current age of the cold endpoint: the mean requests that it can take within the window.
func (f *coldFleet) coldLimit() float64 {
	rules := f.set.Rules
	growth := 1 + (1/rules.ColdCapacityFraction-1)*min(1, (f.now-f.restartedAt).Seconds()/rules.WarmUpTime.Seconds())
	return f.set.ColdUnitsPerWindow * growth / f.set.MeanUnits
}

func (f *coldFleet) startProcess(index int) *coldProcess {
	set := f.set
	set.InitiatorIndex = index + 1
	p := &coldProcess{index: index, timerAt: never, notifiedAt: never, exitsAt: never, trafficFactor: 0.6, attempts: map[string]int{}}
	if index%8 == 0 {
		p.trafficFactor = 4
	}
	var err error
	p.s, err = New(set, f.rng.Uint64())
	require.NoError(f.t, err)
	return p
}

func (f *coldFleet) endpointList() EndpointList {
	list := EndpointList{Full: true}
	for i := range f.busyUntil {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("n", i), Shard: i})
	}
	if f.restartedAt > 0 {
		list.Endpoints[0].Started = f.restartedAt
	}
	return list
}

func (f *coldFleet) newRequest(p *coldProcess, shard int) Request {
	f.requestCount++
	return Request{ID: fmt.Sprint("r", f.requestCount), Class: "get", Plan: "std", Volume: fmt.Sprint("v", p.index), Shard: shard,
		Units: requestSizes[f.rng.IntN(len(requestSizes))], VolumeInitiators: 1, TimeLeft: 2 * time.Second}
}

// requestBurst returns requests that have waited for the endpoint until the process learns of its start.
func (f *coldFleet) requestBurst(p *coldProcess) (events []Event) {
	for range 6 {
		events = append(events, f.newRequest(p, 0))
	}
	return events
}

func (f *coldFleet) step(p *coldProcess, events ...Event) {
	for len(p.pending) > 0 && p.pending[0].at <= f.now {
		events, p.pending = append(events, p.pending[0].Event), p.pending[1:]
	}
	if p.timerAt <= f.now {
		events, p.timerAt = append(events, TimerFired{}), never
	}
	if len(events) == 0 {
		return
	}
	for _, a := range p.s.Step(f.now, events) {
		switch a.Kind {
		case SetTimer:
			p.timerAt = min(p.timerAt, f.now+a.Wait)
		case Send:
			f.serve(p, a)
		}
	}
}

// serve appends the request to the endpoint's work. The endpoint's capacity is the rate that the settings allow to be sent to it,
// over OverloadFactor.
func (f *coldFleet) serve(p *coldProcess, a Action) {
	r, index := p.s.requests[a.Request], int(a.Endpoint[1]-'0')
	rules := f.set.Rules
	rate := f.set.ColdUnitsPerWindow / rules.OverloadFactor / rules.OverloadWindow.Seconds() / rules.ColdCapacityFraction
	if index == 0 && f.restartedAt > 0 {
		rate = f.coldLimit() * f.set.MeanUnits / rules.OverloadFactor / rules.OverloadWindow.Seconds()
		if p.notifiedAt <= f.now {
			f.coldSent = append(dropOlderUnits(f.coldSent, f.now-rules.OverloadWindow), timedUnits{f.now, r.Units})
			allowed := f.coldLimit()
			if f.now < f.restartedAt+rules.WarmUpTime {
				f.maxExcess = max(f.maxExcess, sumUnits(f.coldSent)/f.set.MeanUnits-allowed-2*math.Sqrt(allowed)-2)
			}
		}
	}
	f.busyUntil[index] = max(f.busyUntil[index], f.now) + toDuration(r.Units/rate)
	code, latency := Served, f.busyUntil[index]-f.now
	if latency > a.Wait {
		code, latency = TimedOut, a.Wait
	}
	e := Outcome{ID: a.Request, Attempt: p.attempts[a.Request], Endpoint: a.Endpoint, Code: code, Latency: latency, Final: code == Served}
	e.Load = &Load{Queued: -1, InFlight: math.Floor((f.busyUntil[index] - f.now).Seconds() * rate / f.set.MeanUnits)}
	p.attempts[a.Request]++
	at := len(p.pending)
	for at > 0 && p.pending[at-1].at > f.now+latency {
		at--
	}
	p.pending = append(p.pending[:at], append([]timedEvent{{f.now + latency, e}}, p.pending[at:]...)...)
}

// run sends a burst of queued requests as soon as a process learns of the endpoint's restart, kills and restarts a third of the
// processes, and gives another third a successor that runs beside it for a while. It returns maxExcess.
func (f *coldFleet) run(loadFactor float64, staggered bool) float64 { //nolint:gocognit // one scenario, in order
	rules := f.set.Rules
	for i := range f.set.Initiators {
		p := f.startProcess(i)
		f.processes = append(f.processes, p)
		f.step(p, f.endpointList())
	}
	// The endpoints' capacity in requests per second, divided by the processes. One process in eight gets several times the mean.
	ratePerProcess := loadFactor * f.set.ColdUnitsPerWindow / rules.OverloadFactor / 3 / rules.ColdCapacityFraction / f.set.MeanUnits / float64(f.set.Initiators)
	const tick, start = 10 * ms, 8 * time.Second
	notifyAt := map[int]time.Duration{}
	for f.now = tick; f.now < start+rules.WarmUpTime+time.Second; f.now += tick {
		if f.now == start {
			f.restartedAt = f.now
			for i := range f.processes {
				notifyAt[i] = f.now + 20*ms
				if staggered {
					notifyAt[i] += time.Duration(f.rng.Int64N(int64(2 * time.Second)))
				}
			}
		}
		for i, p := range f.processes {
			var events []Event
			switch {
			case f.restartedAt > 0 && p.notifiedAt == never && f.now >= notifyAt[p.index]:
				p.notifiedAt = f.now
				events = append(events, append([]Event{f.endpointList()}, f.requestBurst(p)...)...)
			case f.now == start+3*time.Second && i%3 == 0: // killed, and restarted without its state
				p = f.startProcess(p.index)
				f.processes[i], p.notifiedAt = p, f.now
				events = append(events, append([]Event{f.endpointList()}, f.requestBurst(p)...)...)
			case f.now == start+5*time.Second && i%3 == 1 && p.exitsAt == never: // a successor of the same index
				successor := f.startProcess(p.index)
				successor.notifiedAt, p.exitsAt = f.now, f.now+2*time.Second
				f.processes = append(f.processes, successor)
				events = append(events, ProcessCount{Processes: 2})
				f.step(successor, append([]Event{f.endpointList(), ProcessCount{Processes: 2}}, f.requestBurst(successor)...)...)
			}
			for shard := range f.busyUntil {
				for f.rng.Float64() < p.trafficFactor*ratePerProcess*tick.Seconds() {
					events = append(events, f.newRequest(p, shard))
				}
			}
			f.step(p, events...)
		}
		var running []*coldProcess
		for _, p := range f.processes {
			if p.exitsAt > f.now {
				running = append(running, p)
				continue
			}
			for _, q := range f.processes {
				if q != p && q.index == p.index {
					f.step(q, ProcessCount{Processes: 1})
				}
			}
		}
		f.processes = running
	}
	return f.maxExcess
}

// TestColdLimitHoldsAcrossInitiators guards against an overload by many initiators, none of which sees what the others send: the
// sum of what all send to a cold endpoint within any window of the rule is at most N + 2*sqrt(N) + 2 mean requests, for
// settings of many kinds.
func TestColdLimitHoldsAcrossInitiators(t *testing.T) {
	for _, set := range []Settings{
		coldSettings(5, 41, 4, 0.18, 17*time.Second), coldSettings(20, 41, 4, 0.18, 17*time.Second),
		coldSettings(30, 60, 3, 0.24, 10*time.Second), coldSettings(30, 12, 4, 0.2, 12*time.Second),
		coldSettings(30, 40, 2, 0.5, 8*time.Second), coldSettings(20, 60, 1.5, 1, 8*time.Second),
		coldSettings(300, 41, 4, 0.18, 17*time.Second), coldSettings(300, 6, 4, 0.18, 12*time.Second),
		coldSettings(300, 250, 6, 0.3, 8*time.Second),
	} {
		for _, loadFactor := range []float64{0.5, 3} {
			for _, staggered := range []bool{false, true} {
				name := fmt.Sprintf("%d initiators, %v units, factor %v, staggered %v, load %v", set.Initiators, set.ColdUnitsPerWindow, set.Rules.OverloadFactor, staggered, loadFactor)
				t.Run(name, func(t *testing.T) {
					f := &coldFleet{t: t, rng: rand.New(rand.NewPCG(7, 7)), set: set}
					excess := f.run(loadFactor, staggered)
					require.LessOrEqual(t, excess, 0.0, "mean requests over the limit of a cold endpoint")
				})
			}
		}
	}
}
