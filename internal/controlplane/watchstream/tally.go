package watchstream

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TallyOptions bound what the tally keeps. What is zero is as Counted has it.
type TallyOptions struct {
	Silent  time.Duration // a relay that isn't heard for so long, and with it its readers, are silent
	Forget  time.Duration // readers that are silent for so long are no more counted
	Warm    time.Duration // when versions were reached isn't told for this time after the first report
	Readers int           // at most
	Steps   int           // versions of which it is known when they were reached
	Listed  int           // names in a status, at most
}

// Counted is the usual bounds.
var Counted = TallyOptions{Silent: 10 * time.Second, Forget: 10 * time.Minute, Warm: 5 * time.Second, Readers: 1 << 14, Steps: 1 << 13, Listed: 100}

// Tally knows, at the agents' leader, what is in force at whom. It is in memory: a new leader's asks for all.
type Tally struct {
	fleet   string
	opt     TallyOptions
	epoch   string
	relays  map[string]*reporter
	readers map[string]*counted
	began   time.Duration // the first report; 0: there was none
	commits steps
	reached [len(parts)]steps
	sorted  []uint64
	stale   bool // sorted
	counts  map[Reason]uint64
}

// parts are the shares of readers of which it is kept when they had a version.
var parts = [...]float64{0.5, 0.99, 1}

type reporter struct {
	Report // without its readers
	at     time.Duration
}

type counted struct {
	Reading
	relay string
	heard time.Duration // as of the last word on it; a reader that isn't silent is heard whenever its relay is
}

// steps are moments at which a version that only grows was reached.
type steps struct {
	list []step
	most int
}

type step struct {
	version uint64
	at      time.Duration
}

func (s *steps) add(version uint64, at time.Duration) {
	if n := len(s.list); n == 0 || s.list[n-1].version < version {
		s.list = append(s.list, step{version, at})
	}
	if len(s.list) >= 2*s.most {
		s.list = slices.Clone(s.list[s.most:])
	}
}

// when is when the version was reached, if that is known: the first step at or after it, but not the first of all, since what was before
// it isn't known.
func (s *steps) when(version uint64) (at time.Duration, known bool) {
	i, _ := slices.BinarySearchFunc(s.list, version, func(x step, v uint64) int { return cmp.Compare(x.version, v) })
	if i == len(s.list) || i == 0 {
		return 0, false
	}
	return s.list[i].at, true
}

// NewTally returns a tally that knows nobody.
func NewTally(fleet string, o TallyOptions) *Tally {
	o.Silent, o.Forget, o.Warm = cmp.Or(o.Silent, Counted.Silent), cmp.Or(o.Forget, Counted.Forget), cmp.Or(o.Warm, Counted.Warm)
	o.Readers, o.Steps, o.Listed = cmp.Or(o.Readers, Counted.Readers), cmp.Or(o.Steps, Counted.Steps), cmp.Or(o.Listed, Counted.Listed)
	t := &Tally{fleet: fleet, opt: o, relays: map[string]*reporter{}, readers: map[string]*counted{}, counts: map[Reason]uint64{}}
	t.restart()
	return t
}

func (t *Tally) restart() {
	t.commits = steps{most: t.opt.Steps}
	for i := range t.reached {
		t.reached[i] = steps{most: t.opt.Steps}
	}
}

// Committed says that the log has a change, of that version, since now.
func (t *Tally) Committed(now time.Duration, epoch string, version uint64) {
	if epoch != t.epoch {
		t.epoch, t.stale = epoch, true
		t.restart()
	}
	if len(t.commits.list) == 0 {
		t.commits.add(version-1, now) // when that was isn't known
	}
	t.commits.add(version, now)
}

// Counts are the reports that were refused, by reason.
func (t *Tally) Counts() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(t.counts))
	for k, n := range t.counts {
		c[k] = n
	}
	return c
}

// Take takes a relay's report. Where it returns an error nothing has changed.
func (t *Tally) Take(now time.Duration, r Report) (ReportAnswer, error) {
	a, err := t.take(now, r)
	if e, ok := err.(*Refusal); ok {
		t.counts[e.Reason]++
	}
	return a, err
}

func (t *Tally) take(now time.Duration, r Report) (ReportAnswer, error) {
	if err := r.Check(); err != nil {
		return ReportAnswer{}, err
	}
	was := t.relays[r.Relay]
	switch {
	case r.Fleet != t.fleet:
		return ReportAnswer{}, refuse(Foreign, "the report is of fleet %q, and this is %q", r.Fleet, t.fleet)
	case was != nil && (r.Life < was.Life || r.Life == was.Life && r.Seq <= was.Seq):
		return ReportAnswer{}, refuse(Stale, "report %d of life %d: %d of %d was taken", r.Seq, r.Life, was.Seq, was.Life)
	case !r.Whole && (was == nil || was.Life != r.Life || r.Base > was.Upto):
		return ReportAnswer{Life: r.Life, Whole: true}, nil
	}
	if t.began == 0 {
		t.began = max(now, 1)
	}
	if r.Whole && was != nil { // who isn't in it any more was heard there as of the report before, at most
		named := make(map[string]bool, len(r.Readers))
		for i := range r.Readers {
			named[r.Readers[i].Name] = true
		}
		for name, c := range t.readers {
			if c.relay == r.Relay && !named[name] && !c.Silent {
				c.Silent, c.heard = true, was.at
			}
		}
	}
	for i := range r.Readers {
		t.count(now, r.Relay, r.Readers[i])
	}
	rep := r
	rep.Readers = nil
	t.relays[r.Relay] = &reporter{rep, now}
	t.reach(now)
	return ReportAnswer{Life: r.Life, Upto: r.Upto}, nil
}

// count takes one reader's state: nobody counts twice, since there is one state for each name, and that of the later turn wins (step 8).
func (t *Tally) count(now time.Duration, relay string, x Reading) {
	c := t.readers[x.Name]
	switch {
	case c == nil && len(t.readers) >= t.opt.Readers:
		return
	case c == nil:
		c = &counted{}
		t.readers[x.Name] = c
	case x.Turn < c.Turn || x.Turn == c.Turn && relay != c.relay:
		return
	}
	*c = counted{x, relay, now - time.Duration(x.AgoMs)*time.Millisecond}
	t.stale = true
}

// has is up to where everything is in force at a reader, in the log's history.
func (t *Tally) has(c *counted) uint64 {
	if c.InForce.Epoch != t.epoch {
		return 0
	}
	return c.InForce.Least()
}

// Sweep forgets readers that are silent for long, and relays without any. It is to be called now and then.
func (t *Tally) Sweep(now time.Duration) {
	for name, c := range t.readers {
		if at, silent := t.last(now, c); silent && now-at >= t.opt.Forget {
			delete(t.readers, name)
			t.stale = true
		}
	}
	for id, r := range t.relays {
		if now-r.at >= t.opt.Forget {
			delete(t.relays, id)
		}
	}
}

// last is when a reader was last heard, as far as is known, and whether it is silent.
func (t *Tally) last(now time.Duration, c *counted) (at time.Duration, silent bool) {
	r := t.relays[c.relay]
	if c.Silent || r == nil {
		return c.heard, true
	}
	return max(c.heard, r.at), now-r.at >= t.opt.Silent
}

// reach notes which versions have been reached by which part of the readers.
func (t *Tally) reach(now time.Duration) {
	if !t.stale || now-t.began < t.opt.Warm {
		return
	}
	t.stale = false
	t.sorted = t.sorted[:0]
	for _, c := range t.readers {
		t.sorted = append(t.sorted, t.has(c))
	}
	slices.Sort(t.sorted)
	n := len(t.sorted)
	for i, part := range parts {
		if n > 0 {
			t.reached[i].add(t.sorted[n-int(math.Ceil(part*float64(n)))], now)
		}
	}
}
