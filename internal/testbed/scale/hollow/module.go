package hollow

import (
	"context"
	"strconv"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/mailbox"
)

// trial is how many requests at changed targets a module decides after each list.
const trial = 4

// module is the real module on a goroutine of its own. After each list it decides a few requests for what has changed: each first byte that it would have
// go out is the judge's to see.
type module struct {
	m       *policy.Scheduler
	set     policy.Settings
	clock   core.Clock
	journal *Journal
	box     *mailbox.Box[lists]
	made    int
	open    map[string]bool
	due     time.Time // of the timer; zero: none
	ended   chan struct{}
}

type lists struct {
	list *targetlist.List
	done func()
}

func newModule(set policy.Settings, seed uint64, j *Journal) (*module, error) {
	m, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &module{m: m, set: set, clock: core.NewClock(), journal: j, box: mailbox.New[lists](), open: map[string]bool{}, ended: make(chan struct{})}, nil
}

func (x *module) list(l *targetlist.List, done func()) { x.box.Put(lists{l, done}) }

// wait hands a list over and returns once it was stepped; false: the module has ended.
func (x *module) wait(l *targetlist.List) bool {
	done := make(chan struct{})
	x.list(l, func() { close(done) })
	select {
	case <-done:
		return true
	case <-x.ended:
		return false
	}
}

func (x *module) run(ctx context.Context) {
	defer close(x.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			x.due = time.Time{}
			x.step(policy.TimerFired{})
		case <-x.box.Wake():
			for _, l := range x.box.Take(nil) {
				x.listed(l)
			}
		}
		if !x.due.IsZero() {
			timer.Reset(time.Until(x.due))
		}
	}
}

func (x *module) listed(l lists) {
	nodes := policy.EndpointList{Full: l.list.Full, Endpoints: make([]policy.Endpoint, len(l.list.Targets))}
	for i, e := range l.list.Targets {
		nodes.Endpoints[i] = e.Endpoint()
	}
	x.journal.Told(l.list.Targets) // here, as a send decided before it is none past it
	x.step(nodes)
	l.done()
	if l.list.Full {
		return
	}
	for _, n := range nodes.Endpoints[:min(trial, len(nodes.Endpoints))] {
		x.made++
		id := strconv.Itoa(x.made)
		x.open[id] = true
		x.step(policy.Request{ID: id, Class: x.set.Classes[0].Name, Plan: x.set.Plans[0].Name, Volume: "v" + strconv.Itoa(n.Shard), Shard: n.Shard, Units: 1, VolumeInitiators: 1})
	}
	for id := range x.open { // what found no target is not waited for
		delete(x.open, id)
		x.step(policy.ClientGone{ID: id})
	}
}

// step has the module decide, and ends each attempt that it makes at once: as served.
func (x *module) step(e policy.Event) {
	now := time.Now()
	actions := x.m.Step(x.clock.At(now), []policy.Event{e})
	var ends []policy.Event
	for _, a := range actions {
		switch a.Kind {
		case policy.Send:
			x.journal.Sends(a.Endpoint)
			delete(x.open, a.Request)
			ends = append(ends, policy.Outcome{ID: a.Request, Attempt: 1, Endpoint: a.Endpoint, Code: policy.Served, Latency: time.Millisecond, Final: true})
		case policy.Reject, policy.Fail:
			delete(x.open, a.Request)
		case policy.SetTimer:
			x.due = now.Add(a.Wait)
		}
	}
	for _, e := range ends {
		x.step(e)
	}
}
