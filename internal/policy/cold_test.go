package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldFleet steps many modules together in one time against nodes that are no faster than the settings say, one of which starts.
type coldFleet struct {
	t     *testing.T
	rng   *rand.Rand
	set   Settings
	now   time.Duration
	procs []*coldProc
	busy  [4]time.Duration // until when each node works
	began time.Duration    // of the one that starts
	drawn []timedUnits     // sent to it by those who were told
	worst float64          // most over the sum, in mean requests
	count int
}

type coldProc struct {
	s      *Scheduler
	index  int
	told   time.Duration
	timer  time.Duration
	inbox  []coldEvent
	heavy  float64
	tries  map[string]int
	leaves time.Duration
}

type coldEvent struct {
	at time.Duration
	Event
}

// sizes are the units of requests; their mean is 2.5.
var sizes = []float64{1, 1, 1, 1, 2, 2, 2, 2, 5, 8}

func coldSettings(initiators int, bears, multiple, share float64, warm time.Duration) Settings {
	set := plain()
	set.Initiators, set.ColdUnitsPerWindow, set.MeanUnits, set.MaxUnits = initiators, bears, 2.5, 8
	set.Plans[0] = Plan{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}
	set.Rules = Rules{ColdCapacityFraction: share, WarmUpTime: warm, OverloadWindow: 3 * time.Second, OverloadFactor: multiple}
	return set
}

// allowed is N at that age of a cold node.
func (f *coldFleet) allowed() float64 {
	rules := f.set.Rules
	grown := 1 + (1/rules.ColdCapacityFraction-1)*min(1, (f.now-f.began).Seconds()/rules.WarmUpTime.Seconds())
	return f.set.ColdUnitsPerWindow * grown / f.set.MeanUnits
}

func (f *coldFleet) start(index int) *coldProc {
	set := f.set
	set.InitiatorIndex = index + 1
	p := &coldProc{index: index, timer: never, told: never, leaves: never, heavy: 0.6, tries: map[string]int{}}
	if index%8 == 0 {
		p.heavy = 4
	}
	var err error
	p.s, err = New(set, f.rng.Uint64())
	require.NoError(f.t, err)
	return p
}

func (f *coldFleet) nodes() EndpointList {
	l := EndpointList{Full: true}
	for i := range f.busy {
		l.Endpoints = append(l.Endpoints, Endpoint{ID: fmt.Sprint("n", i), Shard: i})
	}
	if f.began > 0 {
		l.Endpoints[0].Started = f.began
	}
	return l
}

func (f *coldFleet) ask(p *coldProc, shard int) Request {
	f.count++
	return Request{ID: fmt.Sprint("r", f.count), Class: "get", Plan: "std", Volume: fmt.Sprint("v", p.index), Shard: shard,
		Units: sizes[f.rng.IntN(len(sizes))], VolumeInitiators: 1, TimeLeft: 2 * time.Second}
}

// held is what waits for the node as its start is told.
func (f *coldFleet) held(p *coldProc) (events []Event) {
	for range 6 {
		events = append(events, f.ask(p, 0))
	}
	return events
}

func (f *coldFleet) step(p *coldProc, events ...Event) {
	for len(p.inbox) > 0 && p.inbox[0].at <= f.now {
		events, p.inbox = append(events, p.inbox[0].Event), p.inbox[1:]
	}
	if p.timer <= f.now {
		events, p.timer = append(events, TimerFired{}), never
	}
	if len(events) == 0 {
		return
	}
	for _, a := range p.s.Step(f.now, events) {
		switch a.Kind {
		case SetTimer:
			p.timer = min(p.timer, f.now+a.Wait)
		case Send:
			f.serve(p, a)
		}
	}
}

// serve has the node do the request after all that it has. It does as much as the settings let it be sent, over their multiple.
func (f *coldFleet) serve(p *coldProc, a Action) {
	r, n := p.s.requests[a.Request], int(a.Endpoint[1]-'0')
	rules := f.set.Rules
	rate := f.set.ColdUnitsPerWindow / rules.OverloadFactor / rules.OverloadWindow.Seconds() / rules.ColdCapacityFraction
	if n == 0 && f.began > 0 {
		rate = f.allowed() * f.set.MeanUnits / rules.OverloadFactor / rules.OverloadWindow.Seconds()
		if p.told <= f.now {
			f.drawn = append(dropOlderUnits(f.drawn, f.now-rules.OverloadWindow), timedUnits{f.now, r.Units})
			allowed := f.allowed()
			if f.now < f.began+rules.WarmUpTime {
				f.worst = max(f.worst, sumUnits(f.drawn)/f.set.MeanUnits-allowed-2*math.Sqrt(allowed)-2)
			}
		}
	}
	f.busy[n] = max(f.busy[n], f.now) + toDuration(r.Units/rate)
	code, took := Served, f.busy[n]-f.now
	if took > a.Wait {
		code, took = TimedOut, a.Wait
	}
	e := Outcome{ID: a.Request, Attempt: p.tries[a.Request], Endpoint: a.Endpoint, Code: code, Latency: took, Final: code == Served}
	e.Load = &Load{Queued: -1, InFlight: math.Floor((f.busy[n] - f.now).Seconds() * rate / f.set.MeanUnits)}
	p.tries[a.Request]++
	at := len(p.inbox)
	for at > 0 && p.inbox[at-1].at > f.now+took {
		at--
	}
	p.inbox = append(p.inbox[:at], append([]coldEvent{{f.now + took, e}}, p.inbox[at:]...)...)
}

// play has all that was held come at once as the start is told, restarts a third of the processes and doubles some for a while.
func (f *coldFleet) play(pressure float64, late bool) float64 { //nolint:gocognit // one scenario, told in order
	rules := f.set.Rules
	for i := range f.set.Initiators {
		p := f.start(i)
		f.procs = append(f.procs, p)
		f.step(p, f.nodes())
	}
	// The nodes' full pace in requests, over the processes, one in eight of which gets several times the mean.
	each := pressure * f.set.ColdUnitsPerWindow / rules.OverloadFactor / 3 / rules.ColdCapacityFraction / f.set.MeanUnits / float64(f.set.Initiators)
	const tick, start = 10 * ms, 8 * time.Second
	told := map[int]time.Duration{}
	for f.now = tick; f.now < start+rules.WarmUpTime+time.Second; f.now += tick {
		if f.now == start {
			f.began = f.now
			for i := range f.procs {
				told[i] = f.now + 20*ms
				if late {
					told[i] += time.Duration(f.rng.Int64N(int64(2 * time.Second)))
				}
			}
		}
		for i, p := range f.procs {
			var events []Event
			switch {
			case f.began > 0 && p.told == never && f.now >= told[p.index]:
				p.told = f.now
				events = append(events, append([]Event{f.nodes()}, f.held(p)...)...)
			case f.now == start+3*time.Second && i%3 == 0: // killed, and back without a memory
				p = f.start(p.index)
				f.procs[i], p.told = p, f.now
				events = append(events, append([]Event{f.nodes()}, f.held(p)...)...)
			case f.now == start+5*time.Second && i%3 == 1 && p.leaves == never: // a younger one of the same name
				q := f.start(p.index)
				q.told, p.leaves = f.now, f.now+2*time.Second
				f.procs = append(f.procs, q)
				events = append(events, ProcessCount{Processes: 2})
				f.step(q, append([]Event{f.nodes(), ProcessCount{Processes: 2}}, f.held(q)...)...)
			}
			for shard := range f.busy {
				for f.rng.Float64() < p.heavy*each*tick.Seconds() {
					events = append(events, f.ask(p, shard))
				}
			}
			f.step(p, events...)
		}
		var left []*coldProc
		for _, p := range f.procs {
			if p.leaves > f.now {
				left = append(left, p)
				continue
			}
			for _, q := range f.procs {
				if q != p && q.index == p.index {
					f.step(q, ProcessCount{Processes: 1})
				}
			}
		}
		f.procs = left
	}
	return f.worst
}

// TestColdNodeBearsTheSum guards against what one process can't see: that the others send too. What all send to a cold node in
// any span of the rule stays within N and 2 root N and 2 mean requests, by settings of many kinds.
func TestColdNodeBearsTheSum(t *testing.T) {
	for _, set := range []Settings{
		coldSettings(5, 41, 4, 0.18, 17*time.Second), coldSettings(20, 41, 4, 0.18, 17*time.Second),
		coldSettings(30, 60, 3, 0.24, 10*time.Second), coldSettings(30, 12, 4, 0.2, 12*time.Second),
		coldSettings(30, 40, 2, 0.5, 8*time.Second), coldSettings(20, 60, 1.5, 1, 8*time.Second),
		coldSettings(300, 41, 4, 0.18, 17*time.Second), coldSettings(300, 6, 4, 0.18, 12*time.Second),
		coldSettings(300, 250, 6, 0.3, 8*time.Second),
	} {
		for _, pressure := range []float64{0.5, 3} {
			for _, late := range []bool{false, true} {
				name := fmt.Sprintf("%d share %v, %v times, late %v, pressure %v", set.Initiators, set.ColdUnitsPerWindow, set.Rules.OverloadFactor, late, pressure)
				t.Run(name, func(t *testing.T) {
					f := &coldFleet{t: t, rng: rand.New(rand.NewPCG(7, 7)), set: set}
					over := f.play(pressure, late)
					require.LessOrEqual(t, over, 0.0, "mean requests past what a cold node bears")
				})
			}
		}
	}
}
