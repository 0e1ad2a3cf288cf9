// Package feed runs the state machines of the watch stream against each other in small worlds: a log,
// relays, readers and the acknowledgement tracker, with messages that are lost, repeated and late,
// relays and readers that restart from old snapshots or empty, readers that change their relay, and
// logs that begin again. A judge that knows nothing of them looks at what they hold, send and
// acknowledge after each step. It does no I/O.
package feed

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
)

// Op is one kind of step.
type Op byte

// The kinds of steps.
const (
	Tick           Op = iota // time passes
	Put                      // the next change of the case is committed
	PollAtOnce               // a follower's request and its answer, with nothing in between
	SendRequest              // a follower sends a request
	Deliver                  // a message arrives
	DeliverAgain             // a message arrives, and will arrive again
	Lose                     // a message is lost
	Apply                    // a reader marks what it has as applied
	SwitchRelay              // a reader goes to another relay
	SaveSnapshot             // a follower saves its snapshot
	Restart                  // a follower restarts from its snapshot
	Report                   // a relay's report and its answer, with nothing in between
	SendReport               // a relay sends a report
	NewLeader                // another agent leads; its tracker knows no readers
	EmptyLog                 // the agents begin with an empty log
	ReplaceHistory           // an operator declares that this log replaces those before
	SendInvalid              // a follower gets deltas that nobody may apply
	ops
)

func (o Op) String() string {
	return [...]string{"tick", "put", "exchange", "say", "deliver", "repeat", "lose", "apply", "move", "save", "restart", "report", "tell", "lead", "empty", "word",
		"wrong"}[o]
}

// Step is an op on the follower, relay or message of that number. Followers are the relays first, then the readers.
type Step struct {
	Op Op
	On int
}

func (s Step) String() string { return fmt.Sprintf("%v %d", s.Op, s.On) }

// Setup is a small case.
type Setup struct {
	Name         string
	Relays       int
	Readers      int
	Changes      [][]watchstream.Put
	Limits       watchstream.Limits
	Source       watchstream.SourceOptions
	TickMs       int
	MaxInTransit int // on their way at a time, at most
	Ops          []Op
	On           []int // the followers that ops are done to; nil: all
	Before       []Step
}

const fleetName = "f"

// follower is a relay or a reader, with its edge.
type follower struct {
	scope   watchstream.Scope
	r       *watchstream.Replica
	source  *watchstream.Source // a relay's
	copy    *watchstream.Snapshot
	life    uint64
	to      int // who it follows: -1 the agent, else a relay
	changed []watchstream.Record
	mark    watchstream.Watermark // of the last that it took and has not applied
	config  []watchstream.Record
	pending bool
	force   held

	// What the judge remembers of this life.
	whole map[string]watchstream.Position
	have  map[string]watchstream.Position
	tops  map[string]map[key]top
	said  map[uint64]watchstream.Watermark // what was said to be in force, by turn
	seq   uint64                           // of the last hello
	was   string                           // the history that it had last
}

// message is on its way.
type message struct {
	from, to int // followers; -1 is the agent
	life     uint64
	hello    *watchstream.SubscribeRequest
	delta    *watchstream.Delta
	report   *watchstream.Report
}

// World is one state of a small case.
type World struct {
	set     Setup
	now     time.Duration
	log     *watchstream.Store
	agent   *watchstream.Source
	life    uint64
	tally   *watchstream.AckTracker
	all     []*follower
	past    map[string]*past
	epoch   int
	put     int
	mail    []message
	accts   map[account]*spent
	counted map[string]uint64 // the turn that the tally had last of each
	last    map[string]watchstream.Watermark
	admits  map[account]*spent // without a reader
	touched []*follower        // by this step
	told    bool               // the tally was, by this step
}

// account is of one reader at one source's life.
type account struct {
	source string
	life   uint64
	reader string
}

type spent struct {
	since           time.Duration
	n               float64
	target, configs float64 // the largest that went whole
}

// top is the highest version at which a key was held alive, and whether it went since.
type top struct {
	version uint64
	went    bool
}

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	if s.Source.CoalesceInterval == 0 {
		s.Source.CoalesceInterval = 1
	}
	w := &World{set: s, now: time.Hour, past: map[string]*past{}, accts: map[account]*spent{}, admits: map[account]*spent{}, counted: map[string]uint64{}, last: map[string]watchstream.Watermark{}}
	w.tally = watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
	w.empty()
	for i := range s.Relays + s.Readers {
		f := &follower{scope: watchstream.Scope{Name: fmt.Sprint("n", i), Region: "r", Zone: "z"}, to: (i - s.Relays) % max(1, s.Relays)}
		if s.Relays == 0 {
			f.to = -1
		}
		if i < s.Relays {
			f.scope, f.to = watchstream.Scope{Name: fmt.Sprint("relay", i), All: true}, -1
		}
		w.all = append(w.all, f)
		if err := w.start(i); err != nil {
			return nil, err
		}
	}
	for i, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, fmt.Errorf("%w, after %v", err, s.Before[:i+1])
		}
	}
	return w, nil
}

// empty begins a new log, with a change of its own in it.
func (w *World) empty() {
	w.epoch++
	w.life++
	w.log = watchstream.NewStore(fleetName, w.set.Limits)
	w.agent = watchstream.NewSource(w.log, w.set.Source, w.life)
	w.past[w.name()] = newPast()
}

func (w *World) name() string { return fmt.Sprint("e", w.epoch) }

// start begins a life of a follower, from its copy if it has one.
func (w *World) start(i int) error {
	f := w.all[i]
	w.touched = append(w.touched, f)
	f.life++
	f.r = watchstream.NewReplica(fleetName, f.scope, f.life<<16, w.set.Limits)
	if f.copy != nil {
		if err := f.r.Restore(*f.copy); err != nil {
			return fmt.Errorf("broken: %s can't read its own copy: %w", f.scope.Name, err)
		}
	}
	if f.scope.All {
		f.source = watchstream.NewSource(f.r.Store(), w.set.Source, f.life)
	}
	f.force, f.pending, f.changed = held{}, false, nil
	f.whole, f.have, f.tops = map[string]watchstream.Position{}, map[string]watchstream.Position{}, map[string]map[key]top{}
	if f.said == nil {
		f.said = map[uint64]watchstream.Watermark{}
	}
	f.was = ""
	if f.copy != nil { // what the copy has is applied like what is taken
		f.took(append(f.r.Records(watchstream.Targets), f.r.Records(watchstream.Config)...))
	}
	return nil
}

// took notes what the edge is to apply.
func (f *follower) took(changed []watchstream.Record) {
	f.changed = append(f.changed, changed...)
	f.mark, f.config, f.pending = f.r.Consistent(), f.r.Records(watchstream.Config), true
}

// apply has all that was taken in force. A layer with "bad" in it can't be served.
func (f *follower) apply() {
	for _, r := range f.changed {
		if k := (key{r.Kind, r.Key}); r.Kind == watchstream.Targets {
			if delete(f.force, k); !r.Deleted {
				f.force[k] = r
			}
		}
	}
	merged, err := watchstream.MergeLayers(f.config)
	if err != nil || strings.Contains(string(merged), "bad") {
		f.r.RejectConfig(f.mark.Config, "bad")
	} else {
		for k := range f.force {
			if k.kind == watchstream.Config {
				delete(f.force, k)
			}
		}
		for _, r := range f.config {
			f.force[key{r.Kind, r.Key}] = r
		}
	}
	f.r.MarkApplied(f.mark)
	f.changed, f.pending = nil, false
}

func (w *World) source(i int) (*watchstream.Source, string, uint64) {
	if i < 0 {
		return w.agent, "agent", w.life
	}
	return w.all[i].source, w.all[i].scope.Name, w.all[i].life
}

// Steps are all that can happen next, in a fixed order.
func (w *World) Steps() []Step { //nolint:gocognit // to be split with its package, see docs/left.md
	steps := []Step{{Tick, 0}}
	on := w.set.On
	if on == nil {
		for i := range w.all {
			on = append(on, i)
		}
	}
	for _, op := range w.set.Ops {
		switch op {
		case Put:
			if w.put < len(w.set.Changes) {
				steps = append(steps, Step{op, 0})
			}
		case PollAtOnce, SaveSnapshot, Restart, SendInvalid:
			for _, i := range on {
				steps = append(steps, Step{op, i})
			}
		case SendRequest:
			for _, i := range on {
				if len(w.mail) < w.set.MaxInTransit {
					steps = append(steps, Step{op, i})
				}
			}
		case Deliver, DeliverAgain, Lose:
			for i := range w.mail {
				steps = append(steps, Step{op, i})
			}
		case Apply, SwitchRelay:
			for _, i := range on {
				if f := w.all[i]; !f.scope.All && (op == SwitchRelay && w.set.Relays > 1 || op == Apply && f.pending) {
					steps = append(steps, Step{op, i})
				}
			}
		case Report, SendReport:
			for i := range w.set.Relays {
				if op == Report || len(w.mail) < w.set.MaxInTransit {
					steps = append(steps, Step{op, i})
				}
			}
		case EmptyLog:
			if w.epoch < 3 {
				steps = append(steps, Step{op, 0})
			}
		case ReplaceHistory:
			if w.epoch > 1 && len(w.log.Replaces()) == 0 {
				steps = append(steps, Step{op, 0})
			}
		case NewLeader:
			steps = append(steps, Step{op, 0})
		}
	}
	return steps
}

// Do takes a step and holds what it touched against the promises.
func (w *World) Do(s Step) error {
	w.touched, w.told = w.touched[:0], false
	w.now += time.Microsecond // nothing happens at once
	if err := w.step(s); err != nil {
		return err
	}
	return w.check()
}

func (w *World) step(s Step) error {
	switch s.Op {
	case Tick:
		w.now += time.Duration(w.set.TickMs) * time.Millisecond
	case Put:
		w.put++
		return w.change(watchstream.Change{Puts: w.set.Changes[w.put-1]})
	case PollAtOnce:
		return w.exchange(s.On, true)
	case SendRequest:
		req, err := w.hello(s.On)
		if err != nil {
			return err
		}
		w.mail = append(w.mail, message{from: s.On, to: w.all[s.On].to, hello: &req})
	case Deliver, DeliverAgain:
		m := w.mail[s.On]
		if s.Op == Deliver {
			w.mail = append(w.mail[:s.On:s.On], w.mail[s.On+1:]...)
		}
		return w.deliver(m)
	case Lose:
		w.mail = append(w.mail[:s.On:s.On], w.mail[s.On+1:]...)
	case Apply:
		w.all[s.On].apply()
		w.touched = append(w.touched, w.all[s.On])
	case SwitchRelay:
		f := w.all[s.On]
		w.touched = append(w.touched, f)
		f.to = (f.to + 1) % w.set.Relays
		f.r.SwitchSource()
	case SaveSnapshot:
		snap := w.all[s.On].r.Store().Snapshot()
		w.all[s.On].copy = &snap
	case Restart:
		return w.start(s.On)
	case Report:
		rep := w.report(s.On)
		return w.tell(rep, s.On)
	case SendReport:
		rep := w.report(s.On)
		w.mail = append(w.mail, message{from: s.On, to: -1, life: w.all[s.On].life, report: &rep})
	case NewLeader:
		w.tally = watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
		w.tally.NoteCommit(w.now, w.log.Epoch(), w.log.Head())
		clear(w.counted)
		clear(w.last)
	case EmptyLog:
		w.empty()
		w.tally = watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
		clear(w.counted)
		clear(w.last)
	case ReplaceHistory:
		return w.word()
	case SendInvalid:
		return w.wrong(s.On)
	}
	return nil
}

func (w *World) change(c watchstream.Change) error {
	c.Fleet, c.Epoch = fleetName, w.name()
	v, err := w.log.Apply(c)
	if err != nil {
		return fmt.Errorf("broken: the log doesn't take %+v: %w", c, err)
	}
	p := w.past[w.name()]
	if p.add(c); p.head() != v {
		return fmt.Errorf("broken: a change has version %d, and is the log's number %d", v, p.head())
	}
	w.tally.NoteCommit(w.now, w.name(), v)
	return nil
}

// word has the operator say that this log takes the place of all before.
func (w *World) word() error {
	for e := 1; e < w.epoch; e++ {
		if err := w.change(watchstream.Change{Replaces: fmt.Sprint("e", e)}); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) hello(i int) (watchstream.SubscribeRequest, error) {
	f := w.all[i]
	w.touched = append(w.touched, f)
	req := f.r.SubscribeRequest()
	f.said[req.Generation], f.seq = req.Applied, req.Seq
	return req, w.checkForce(f, req.Applied)
}

// exchange has a follower say hello and take the answer, and have it in force if so wished.
func (w *World) exchange(i int, apply bool) error {
	f := w.all[i]
	req, err := w.hello(i)
	if err != nil {
		return err
	}
	d, err := w.serve(f.to, req)
	if err != nil || d == nil {
		return err
	}
	if err = w.take(i, d); err == nil && apply && !f.scope.All {
		f.apply()
	}
	return err
}

// serve has a source hear a hello, and returns what it sends for it.
func (w *World) serve(to int, req watchstream.SubscribeRequest) (*watchstream.Delta, error) {
	source, name, life := w.source(to)
	readers := source.ReaderCount()
	if err := source.Subscribe(w.now, req); err != nil {
		return nil, w.refusal(err)
	}
	at := account{name, life, req.Name}
	if source.ReaderCount() > readers {
		w.accts[at] = &spent{since: w.now}
		if err := w.admitted(account{name, life, ""}); err != nil {
			return nil, err
		}
	}
	d, _ := source.NextDelta(w.now, req.Name)
	if d == nil {
		return nil, nil
	}
	return d, w.judgeDelta(to, at, d)
}

// refusal passes what refusals are for, and nothing else.
func (w *World) refusal(err error) error {
	var r *watchstream.RejectedError
	var b *watchstream.BusyError
	if errors.As(err, &r) || errors.As(err, &b) {
		return nil
	}
	return fmt.Errorf("broken: %w", err)
}

func (w *World) take(i int, d *watchstream.Delta) error {
	f := w.all[i]
	w.touched = append(w.touched, f)
	changed, err := f.r.ApplyDelta(d)
	if err != nil {
		return w.refusal(err)
	}
	f.took(changed)
	return nil
}

func (w *World) deliver(m message) error {
	switch {
	case m.hello != nil:
		d, err := w.serve(m.to, *m.hello)
		if d != nil {
			w.mail = append(w.mail, message{from: m.to, to: m.from, delta: d})
		}
		return err
	case m.delta != nil:
		return w.take(m.to, m.delta)
	}
	return w.tell(*m.report, m.from)
}

func (w *World) report(i int) watchstream.Report {
	return w.all[i].source.BuildReport(w.now, w.all[i].scope.Name, "r")
}

func (w *World) tell(rep watchstream.Report, from int) error {
	w.told = true
	resp, err := w.tally.AddReport(w.now, rep)
	if err != nil {
		return w.refusal(err)
	}
	w.all[from].source.ReportAcked(resp)
	return nil
}

// Print implements explore.World.
func (w *World) Print() string {
	var b strings.Builder
	fmt.Fprint(&b, w.epoch, w.put, len(w.log.Replaces()))
	said := func(name string) uint64 {
		for _, f := range w.all {
			if f.scope.Name == name {
				return f.seq
			}
		}
		return 0
	}
	w.agent.DebugPrint(&b, w.now, said)
	w.tally.DebugPrint(&b)
	for _, f := range w.all {
		f.r.DebugPrint(&b)
		if f.source != nil {
			f.source.DebugPrint(&b, w.now, said)
		}
		fmt.Fprint(&b, f.to, f.pending, f.mark, len(f.changed), f.copy != nil)
		if f.copy != nil {
			fmt.Fprint(&b, f.copy.Epoch, f.copy.Have, f.copy.Consistent, f.copy.NewestSeen, len(f.copy.Records))
		}
		fmt.Fprintln(&b)
	}
	for _, m := range w.mail {
		switch {
		case m.hello != nil:
			fmt.Fprint(&b, m.from, m.to, m.hello.Have, m.hello.Applied, m.hello.Generation, w.all[m.from].seq-m.hello.Seq, m.hello.Progress, len(m.hello.Digests))
		case m.delta != nil:
			fmt.Fprint(&b, m.from, m.to, m.delta.Epoch, m.delta.From, m.delta.To, m.delta.Head, len(m.delta.Records), m.delta.Range, m.delta.WantDigests)
		default:
			fmt.Fprint(&b, m.from, m.report.Incarnation, m.report.Base, m.report.UpTo, m.report.Full, len(m.report.Readers))
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
