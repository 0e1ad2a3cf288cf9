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
	Followers    []int // the followers that ops are done to; nil: all
	Before       []Step
}

const fleetName = "f"

// follower is a relay or a reader, with its edge.
type follower struct {
	scope       watchstream.Scope
	replica     *watchstream.Replica
	source      *watchstream.Source // a relay's
	snapshot    *watchstream.Snapshot
	incarnation uint64
	upstream    int // who it follows: -1 the agent, else a relay
	unapplied   []watchstream.Record
	watermark   watchstream.Watermark // of the last that it took and has not applied
	config      []watchstream.Record
	pending     bool
	inForce     recordSet

	// What the judge remembers of this life.
	lastConsistent map[string]watchstream.Position
	lastPosition   map[string]watchstream.Position
	highest        map[string]map[key]highestVersion
	appliedSent    map[uint64]watchstream.Watermark // what was said to be in force, by turn
	lastSeq        uint64                           // of the last hello
	lastEpoch      string                           // the history that it had last
}

// message is on its way.
type message struct {
	from, to    int // followers; -1 is the agent
	incarnation uint64
	request     *watchstream.SubscribeRequest
	delta       *watchstream.Delta
	report      *watchstream.Report
}

// World is one state of a small case.
type World struct {
	setup           Setup
	now             time.Duration
	log             *watchstream.Store
	agent           *watchstream.Source
	incarnation     uint64
	tracker         *watchstream.AckTracker
	followers       []*follower
	histories       map[string]*history
	epoch           int
	committed       int
	inTransit       []message
	sent            map[readerAtSource]*usage
	lastGeneration  map[string]uint64 // the turn that the tally had last of each
	lastApplied     map[string]watchstream.Watermark
	admissions      map[readerAtSource]*usage // without a reader
	touched         []*follower               // by this step
	reportDelivered bool                      // the tally was, by this step
}

// account is of one reader at one source's life.
type readerAtSource struct {
	source string
	life   uint64
	reader string
}

type usage struct {
	since                 time.Duration
	total                 float64
	maxTargets, maxConfig float64 // the largest that went whole
}

// top is the highest version at which a key was held alive, and whether it went since.
type highestVersion struct {
	version uint64
	deleted bool
}

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	if s.Source.CoalesceInterval == 0 {
		s.Source.CoalesceInterval = 1
	}
	w := &World{setup: s, now: time.Hour, histories: map[string]*history{}, sent: map[readerAtSource]*usage{}, admissions: map[readerAtSource]*usage{}, lastGeneration: map[string]uint64{}, lastApplied: map[string]watchstream.Watermark{}}
	w.tracker = watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
	w.startLog()
	for i := range s.Relays + s.Readers {
		f := &follower{scope: watchstream.Scope{Name: fmt.Sprint("n", i), Region: "r", Zone: "z"}, upstream: (i - s.Relays) % max(1, s.Relays)}
		if s.Relays == 0 {
			f.upstream = -1
		}
		if i < s.Relays {
			f.scope, f.upstream = watchstream.Scope{Name: fmt.Sprint("relay", i), All: true}, -1
		}
		w.followers = append(w.followers, f)
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
func (w *World) startLog() {
	w.epoch++
	w.incarnation++
	w.log = watchstream.NewStore(fleetName, w.setup.Limits)
	w.agent = watchstream.NewSource(w.log, w.setup.Source, w.incarnation)
	w.histories[w.epochName()] = newHistory()
}

func (w *World) epochName() string { return fmt.Sprint("e", w.epoch) }

// start begins a life of a follower, from its copy if it has one.
func (w *World) start(i int) error {
	f := w.followers[i]
	w.touched = append(w.touched, f)
	f.incarnation++
	f.replica = watchstream.NewReplica(fleetName, f.scope, f.incarnation<<16, w.setup.Limits)
	if f.snapshot != nil {
		if err := f.replica.Restore(*f.snapshot); err != nil {
			return fmt.Errorf("broken: %s can't read its own copy: %w", f.scope.Name, err)
		}
	}
	if f.scope.All {
		f.source = watchstream.NewSource(f.replica.Store(), w.setup.Source, f.incarnation)
	}
	f.inForce, f.pending, f.unapplied = recordSet{}, false, nil
	f.lastConsistent, f.lastPosition, f.highest = map[string]watchstream.Position{}, map[string]watchstream.Position{}, map[string]map[key]highestVersion{}
	if f.appliedSent == nil {
		f.appliedSent = map[uint64]watchstream.Watermark{}
	}
	f.lastEpoch = ""
	if f.snapshot != nil { // what the copy has is applied like what is taken
		f.recordChanges(append(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config)...))
	}
	return nil
}

// took notes what the edge is to apply.
func (f *follower) recordChanges(changed []watchstream.Record) {
	f.unapplied = append(f.unapplied, changed...)
	f.watermark, f.config, f.pending = f.replica.Consistent(), f.replica.Records(watchstream.Config), true
}

// apply has all that was taken in force. A layer with "bad" in it can't be served.
func (f *follower) apply() {
	for _, r := range f.unapplied {
		if k := (key{r.Kind, r.Key}); r.Kind == watchstream.Targets {
			if delete(f.inForce, k); !r.Deleted {
				f.inForce[k] = r
			}
		}
	}
	merged, err := watchstream.MergeLayers(f.config)
	if err != nil || strings.Contains(string(merged), "bad") {
		f.replica.RejectConfig(f.watermark.Config, "bad")
	} else {
		for k := range f.inForce {
			if k.kind == watchstream.Config {
				delete(f.inForce, k)
			}
		}
		for _, r := range f.config {
			f.inForce[key{r.Kind, r.Key}] = r
		}
	}
	f.replica.MarkApplied(f.watermark)
	f.unapplied, f.pending = nil, false
}

func (w *World) source(i int) (*watchstream.Source, string, uint64) {
	if i < 0 {
		return w.agent, "agent", w.incarnation
	}
	return w.followers[i].source, w.followers[i].scope.Name, w.followers[i].incarnation
}

// Steps are all that can happen next, in a fixed order.
func (w *World) Steps() []Step { //nolint:gocognit // to be split with its package, see docs/left.md
	steps := []Step{{Tick, 0}}
	on := w.setup.Followers
	if on == nil {
		for i := range w.followers {
			on = append(on, i)
		}
	}
	for _, op := range w.setup.Ops {
		switch op {
		case Put:
			if w.committed < len(w.setup.Changes) {
				steps = append(steps, Step{op, 0})
			}
		case PollAtOnce, SaveSnapshot, Restart, SendInvalid:
			for _, i := range on {
				steps = append(steps, Step{op, i})
			}
		case SendRequest:
			for _, i := range on {
				if len(w.inTransit) < w.setup.MaxInTransit {
					steps = append(steps, Step{op, i})
				}
			}
		case Deliver, DeliverAgain, Lose:
			for i := range w.inTransit {
				steps = append(steps, Step{op, i})
			}
		case Apply, SwitchRelay:
			for _, i := range on {
				if f := w.followers[i]; !f.scope.All && (op == SwitchRelay && w.setup.Relays > 1 || op == Apply && f.pending) {
					steps = append(steps, Step{op, i})
				}
			}
		case Report, SendReport:
			for i := range w.setup.Relays {
				if op == Report || len(w.inTransit) < w.setup.MaxInTransit {
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
	w.touched, w.reportDelivered = w.touched[:0], false
	w.now += time.Microsecond // nothing happens at once
	if err := w.step(s); err != nil {
		return err
	}
	return w.check()
}

func (w *World) step(s Step) error {
	switch s.Op {
	case Tick:
		w.now += time.Duration(w.setup.TickMs) * time.Millisecond
	case Put:
		w.committed++
		return w.commit(watchstream.Change{Puts: w.setup.Changes[w.committed-1]})
	case PollAtOnce:
		return w.pollAtOnce(s.On, true)
	case SendRequest:
		req, err := w.subscribe(s.On)
		if err != nil {
			return err
		}
		w.inTransit = append(w.inTransit, message{from: s.On, to: w.followers[s.On].upstream, request: &req})
	case Deliver, DeliverAgain:
		m := w.inTransit[s.On]
		if s.Op == Deliver {
			w.inTransit = append(w.inTransit[:s.On:s.On], w.inTransit[s.On+1:]...)
		}
		return w.deliver(m)
	case Lose:
		w.inTransit = append(w.inTransit[:s.On:s.On], w.inTransit[s.On+1:]...)
	case Apply:
		w.followers[s.On].apply()
		w.touched = append(w.touched, w.followers[s.On])
	case SwitchRelay:
		f := w.followers[s.On]
		w.touched = append(w.touched, f)
		f.upstream = (f.upstream + 1) % w.setup.Relays
		f.replica.SwitchSource()
	case SaveSnapshot:
		snap := w.followers[s.On].replica.Store().Snapshot()
		w.followers[s.On].snapshot = &snap
	case Restart:
		return w.start(s.On)
	case Report:
		rep := w.buildReport(s.On)
		return w.deliverReport(rep, s.On)
	case SendReport:
		rep := w.buildReport(s.On)
		w.inTransit = append(w.inTransit, message{from: s.On, to: -1, incarnation: w.followers[s.On].incarnation, report: &rep})
	case NewLeader:
		w.tracker = watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
		w.tracker.NoteCommit(w.now, w.log.Epoch(), w.log.Head())
		clear(w.lastGeneration)
		clear(w.lastApplied)
	case EmptyLog:
		w.startLog()
		w.tracker = watchstream.NewAckTracker(fleetName, watchstream.AckTrackerOptions{})
		clear(w.lastGeneration)
		clear(w.lastApplied)
	case ReplaceHistory:
		return w.replaceHistories()
	case SendInvalid:
		return w.checkInvalidDeltas(s.On)
	}
	return nil
}

func (w *World) commit(c watchstream.Change) error {
	c.Fleet, c.Epoch = fleetName, w.epochName()
	v, err := w.log.Apply(c)
	if err != nil {
		return fmt.Errorf("broken: the log doesn't take %+v: %w", c, err)
	}
	p := w.histories[w.epochName()]
	if p.add(c); p.head() != v {
		return fmt.Errorf("broken: a change has version %d, and is the log's number %d", v, p.head())
	}
	w.tracker.NoteCommit(w.now, w.epochName(), v)
	return nil
}

// word has the operator say that this log takes the place of all before.
func (w *World) replaceHistories() error {
	for e := 1; e < w.epoch; e++ {
		if err := w.commit(watchstream.Change{Replaces: fmt.Sprint("e", e)}); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) subscribe(i int) (watchstream.SubscribeRequest, error) {
	f := w.followers[i]
	w.touched = append(w.touched, f)
	req := f.replica.SubscribeRequest()
	f.appliedSent[req.Generation], f.lastSeq = req.Applied, req.Seq
	return req, w.checkInForce(f, req.Applied)
}

// exchange has a follower say hello and take the answer, and have it in force if so wished.
func (w *World) pollAtOnce(i int, apply bool) error {
	f := w.followers[i]
	req, err := w.subscribe(i)
	if err != nil {
		return err
	}
	d, err := w.serve(f.upstream, req)
	if err != nil || d == nil {
		return err
	}
	if err = w.applyDelta(i, d); err == nil && apply && !f.scope.All {
		f.apply()
	}
	return err
}

// serve has a source hear a hello, and returns what it sends for it.
func (w *World) serve(to int, req watchstream.SubscribeRequest) (*watchstream.Delta, error) {
	source, name, life := w.source(to)
	readers := source.ReaderCount()
	if err := source.Subscribe(w.now, req); err != nil {
		return nil, w.unlessRejected(err)
	}
	at := readerAtSource{name, life, req.Name}
	if source.ReaderCount() > readers {
		w.sent[at] = &usage{since: w.now}
		if err := w.checkAdmission(readerAtSource{name, life, ""}); err != nil {
			return nil, err
		}
	}
	d, _ := source.NextDelta(w.now, req.Name)
	if d == nil {
		return nil, nil
	}
	return d, w.checkDelta(to, at, d)
}

// refusal passes what refusals are for, and nothing else.
func (w *World) unlessRejected(err error) error {
	var r *watchstream.RejectedError
	var b *watchstream.BusyError
	if errors.As(err, &r) || errors.As(err, &b) {
		return nil
	}
	return fmt.Errorf("broken: %w", err)
}

func (w *World) applyDelta(i int, d *watchstream.Delta) error {
	f := w.followers[i]
	w.touched = append(w.touched, f)
	changed, err := f.replica.ApplyDelta(d)
	if err != nil {
		return w.unlessRejected(err)
	}
	f.recordChanges(changed)
	return nil
}

func (w *World) deliver(m message) error {
	switch {
	case m.request != nil:
		d, err := w.serve(m.to, *m.request)
		if d != nil {
			w.inTransit = append(w.inTransit, message{from: m.to, to: m.from, delta: d})
		}
		return err
	case m.delta != nil:
		return w.applyDelta(m.to, m.delta)
	}
	return w.deliverReport(*m.report, m.from)
}

func (w *World) buildReport(i int) watchstream.Report {
	return w.followers[i].source.BuildReport(w.now, w.followers[i].scope.Name, "r")
}

func (w *World) deliverReport(rep watchstream.Report, from int) error {
	w.reportDelivered = true
	resp, err := w.tracker.AddReport(w.now, rep)
	if err != nil {
		return w.unlessRejected(err)
	}
	w.followers[from].source.ReportAcked(resp)
	return nil
}

// Print implements explore.World.
func (w *World) Print() string {
	var b strings.Builder
	fmt.Fprint(&b, w.epoch, w.committed, len(w.log.Replaces()))
	said := func(name string) uint64 {
		for _, f := range w.followers {
			if f.scope.Name == name {
				return f.lastSeq
			}
		}
		return 0
	}
	w.agent.DebugPrint(&b, w.now, said)
	w.tracker.DebugPrint(&b)
	for _, f := range w.followers {
		f.replica.DebugPrint(&b)
		if f.source != nil {
			f.source.DebugPrint(&b, w.now, said)
		}
		fmt.Fprint(&b, f.upstream, f.pending, f.watermark, len(f.unapplied), f.snapshot != nil)
		if f.snapshot != nil {
			fmt.Fprint(&b, f.snapshot.Epoch, f.snapshot.Have, f.snapshot.Consistent, f.snapshot.NewestSeen, len(f.snapshot.Records))
		}
		fmt.Fprintln(&b)
	}
	for _, m := range w.inTransit {
		switch {
		case m.request != nil:
			fmt.Fprint(&b, m.from, m.to, m.request.Have, m.request.Applied, m.request.Generation, w.followers[m.from].lastSeq-m.request.Seq, m.request.Progress, len(m.request.Digests))
		case m.delta != nil:
			fmt.Fprint(&b, m.from, m.to, m.delta.Epoch, m.delta.From, m.delta.To, m.delta.Head, len(m.delta.Records), m.delta.Range, m.delta.WantDigests)
		default:
			fmt.Fprint(&b, m.from, m.report.Incarnation, m.report.Base, m.report.UpTo, m.report.Full, len(m.report.Readers))
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
