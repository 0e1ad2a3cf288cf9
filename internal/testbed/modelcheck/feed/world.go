// Package feed runs the state machines of the watch stream against each other in small models: a log,
// relays, readers and the acknowledgement tracker, with messages that are lost, duplicated and
// delayed, relays and readers that restart empty or from old snapshots, readers that switch relays, and
// logs that are replaced by empty ones. After each step, what they hold, send and acknowledge is
// compared with a history that is recorded independently of them. It does no I/O.
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
	PollAtOnce               // a follower's request and its response, with nothing in between
	SendRequest              // a follower sends a request
	Deliver                  // a message arrives
	DeliverAgain             // a message arrives, and a duplicate stays in transit
	Lose                     // a message is lost
	Apply                    // a reader applies what it has received, and marks it as applied
	SwitchRelay              // a reader switches to another relay
	SaveSnapshot             // a follower saves its snapshot
	Restart                  // a follower restarts from its snapshot
	Report                   // a relay's report and its response, with nothing in between
	SendReport               // a relay sends a report
	NewLeader                // another agent leads, with an empty tracker
	EmptyLog                 // the agents start over with an empty log
	ReplaceHistory           // an operator declares that this log replaces the previous ones
	SendInvalid              // a follower receives deltas that it must reject
	ops
)

func (o Op) String() string {
	return [...]string{"tick", "put", "poll at once", "send request", "deliver", "deliver again", "lose", "apply", "switch relay", "save snapshot", "restart", "report", "send report", "new leader", "empty log", "replace history",
		"send invalid"}[o]
}

// Step is an Op on the follower, relay or message of that number. Followers are numbered with the relays first, then the readers.
type Step struct {
	Op Op
	On int
}

func (s Step) String() string { return fmt.Sprintf("%v %d", s.Op, s.On) }

// Setup is a case to search: the size of the model and the steps that are possible.
type Setup struct {
	Name         string
	Relays       int
	Readers      int
	Changes      [][]watchstream.Put
	Limits       watchstream.Limits
	Source       watchstream.SourceOptions
	TickMs       int
	MaxInTransit int // messages; none are sent beyond it
	Ops          []Op
	Followers    []int  // the followers that Ops apply to; nil: all
	Before       []Step // taken to reach the initial state
}

const fleetName = "f"

// follower is a relay or a reader, with the state that the reader's process has in force.
type follower struct {
	scope       watchstream.Scope
	replica     *watchstream.Replica
	source      *watchstream.Source   // of a relay; nil for a reader
	snapshot    *watchstream.Snapshot // saved last; nil: none
	incarnation uint64                // counts its starts
	upstream    int                   // the relay that it polls; -1: the agent
	unapplied   []watchstream.Record  // received and not applied yet
	watermark   watchstream.Watermark // of the last change received
	config      []watchstream.Record  // configuration at the last change received
	pending     bool                  // there is something to apply
	inForce     recordSet

	// What the checks remember of this incarnation, by epoch where it is a map of positions or keys.
	lastConsistent map[string]watchstream.Position
	lastPosition   map[string]watchstream.Position
	highest        map[string]map[key]highestVersion
	appliedSent    map[uint64]watchstream.Watermark // acknowledged as applied, by generation
	lastSeq        uint64                           // of the last request
	lastEpoch      string                           // of the history that it had last
}

// message is a message in transit: a request, a delta or a report.
type message struct {
	from, to    int // numbers of followers; -1: the agent
	incarnation uint64
	request     *watchstream.SubscribeRequest
	delta       *watchstream.Delta
	report      *watchstream.Report
}

// World is one state of a case. It implements explore.World.
type World struct {
	setup           Setup
	now             time.Duration
	log             *watchstream.Store
	agent           *watchstream.Source
	incarnation     uint64 // of the agent's source
	tracker         *watchstream.AckTracker
	followers       []*follower
	histories       map[string]*history // by epoch
	epoch           int                 // number of the log's epoch
	committed       int                 // changes of the case that are committed
	inTransit       []message
	sent            map[readerAtSource]*usage
	lastGeneration  map[string]uint64 // of each reader, the generation that the tracker counted last
	lastApplied     map[string]watchstream.Watermark
	admissions      map[readerAtSource]*usage // readers admitted by each source; the key's reader is empty
	touched         []*follower               // followers that this step changed
	reportDelivered bool                      // this step delivered a report to the tracker
}

// readerAtSource identifies a reader at one incarnation of a source.
type readerAtSource struct {
	source      string
	incarnation uint64
	reader      string
}

// usage counts the bytes sent to a reader, or the readers admitted by a source.
type usage struct {
	since                 time.Duration
	total                 float64
	maxTargets, maxConfig float64 // largest version or bucket of targets, and largest configuration, sent undivided
}

// highestVersion is the highest version at which a follower had a live record of a key, and whether it dropped the record since.
type highestVersion struct {
	version uint64
	deleted bool
}

// New returns the initial state of a case.
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

// startLog starts an empty log with an epoch of its own.
func (w *World) startLog() {
	w.epoch++
	w.incarnation++
	w.log = watchstream.NewStore(fleetName, w.setup.Limits)
	w.agent = watchstream.NewSource(w.log, w.setup.Source, w.incarnation)
	w.histories[w.epochName()] = newHistory()
}

func (w *World) epochName() string { return fmt.Sprint("e", w.epoch) }

// start starts an incarnation of a follower, from its snapshot if it has one.
func (w *World) start(i int) error {
	f := w.followers[i]
	w.touched = append(w.touched, f)
	f.incarnation++
	f.replica = watchstream.NewReplica(fleetName, f.scope, f.incarnation<<16, w.setup.Limits)
	if f.snapshot != nil {
		if err := f.replica.Restore(*f.snapshot); err != nil {
			return fmt.Errorf("broken: %s can't restore its own snapshot: %w", f.scope.Name, err)
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
	if f.snapshot != nil { // records of the snapshot have to be applied like those of deltas
		f.recordChanges(append(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config)...))
	}
	return nil
}

// recordChanges records what the reader has to apply.
func (f *follower) recordChanges(changed []watchstream.Record) {
	f.unapplied = append(f.unapplied, changed...)
	f.watermark, f.config, f.pending = f.replica.Consistent(), f.replica.Records(watchstream.Config), true
}

// apply puts all received changes in force. A configuration that contains "bad" is rejected.
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

// Steps returns the steps that are possible next, in a fixed order.
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

// Do takes a step and checks the invariants of what it changed.
func (w *World) Do(s Step) error {
	w.touched, w.reportDelivered = w.touched[:0], false
	w.now += time.Microsecond // no two steps happen at the same time
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
		return fmt.Errorf("broken: the log rejects %+v: %w", c, err)
	}
	p := w.histories[w.epochName()]
	if p.add(c); p.head() != v {
		return fmt.Errorf("broken: a change has version %d, want %d", v, p.head())
	}
	w.tracker.NoteCommit(w.now, w.epochName(), v)
	return nil
}

// replaceHistories commits the operator's declaration that this log replaces all previous ones.
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

// pollAtOnce has a follower send a request and receive the response; a reader applies it at once if apply is set.
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

// serve has a source process a request, and returns the delta that it sends for it; nil: none.
func (w *World) serve(to int, req watchstream.SubscribeRequest) (*watchstream.Delta, error) {
	source, name, incarnation := w.source(to)
	readers := source.ReaderCount()
	if err := source.Subscribe(w.now, req); err != nil {
		return nil, w.unlessRejected(err)
	}
	at := readerAtSource{name, incarnation, req.Name}
	if source.ReaderCount() > readers {
		w.sent[at] = &usage{since: w.now}
		if err := w.checkAdmission(readerAtSource{name, incarnation, ""}); err != nil {
			return nil, err
		}
	}
	d, _ := source.NextDelta(w.now, req.Name)
	if d == nil {
		return nil, nil
	}
	return d, w.checkDelta(to, at, d)
}

// unlessRejected returns nil for an error by which a request is rejected or deferred, which is permitted; any other error
// violates an invariant.
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
	lastSeq := func(name string) uint64 {
		for _, f := range w.followers {
			if f.scope.Name == name {
				return f.lastSeq
			}
		}
		return 0
	}
	w.agent.DebugPrint(&b, w.now, lastSeq)
	w.tracker.DebugPrint(&b)
	for _, f := range w.followers {
		f.replica.DebugPrint(&b)
		if f.source != nil {
			f.source.DebugPrint(&b, w.now, lastSeq)
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
