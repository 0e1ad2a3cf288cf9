package watchstream

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// AckTrackerOptions bound what the tally keeps. What is zero is as Counted has it.
type AckTrackerOptions struct {
	SilentAfter     time.Duration // a relay that isn't heard for so long, and with it its readers, are silent
	ForgetAfter     time.Duration // readers that are silent for so long are no more counted
	WarmUp          time.Duration // when versions were reached isn't told for this time after the first report
	MaxReaders      int           // at most
	MaxVersionTimes int           // versions of which it is known when they were reached
	MaxListed       int           // names in a status, at most
}

// DefaultAckTrackerOptions is the usual bounds.
var DefaultAckTrackerOptions = AckTrackerOptions{SilentAfter: 10 * time.Second, ForgetAfter: 10 * time.Minute, WarmUp: 5 * time.Second, MaxReaders: 1 << 14, MaxVersionTimes: 1 << 13, MaxListed: 100}

// AckTracker knows, at the agents' leader, what is in force at whom. It is in memory: a new leader's asks for all.
type AckTracker struct {
	fleet          string
	opt            AckTrackerOptions
	epoch          string
	relays         map[string]*relayReport
	readers        map[string]*trackedReader
	firstReportAt  time.Duration // the first report; 0: there was none
	commits        versionTimes
	reachedBy      [len(ackShares)]versionTimes
	appliedSorted  []uint64
	appliedChanged bool // sorted
	rejections     map[Reason]uint64
}

// ackShares are the shares of readers of which it is kept when they had a version.
var ackShares = [...]float64{0.5, 0.99, 1}

type relayReport struct {
	Report     // without its readers
	receivedAt time.Duration
}

type trackedReader struct {
	Cursor
	relay       string
	lastHeardAt time.Duration // as of the last word on it; a reader that isn't silent is heard whenever its relay is
}

// NewAckTracker returns a tally that knows nobody.
func NewAckTracker(fleet string, o AckTrackerOptions) *AckTracker {
	o.SilentAfter, o.ForgetAfter, o.WarmUp = cmp.Or(o.SilentAfter, DefaultAckTrackerOptions.SilentAfter), cmp.Or(o.ForgetAfter, DefaultAckTrackerOptions.ForgetAfter), cmp.Or(o.WarmUp, DefaultAckTrackerOptions.WarmUp)
	o.MaxReaders, o.MaxVersionTimes, o.MaxListed = cmp.Or(o.MaxReaders, DefaultAckTrackerOptions.MaxReaders), cmp.Or(o.MaxVersionTimes, DefaultAckTrackerOptions.MaxVersionTimes), cmp.Or(o.MaxListed, DefaultAckTrackerOptions.MaxListed)
	t := &AckTracker{fleet: fleet, opt: o, relays: map[string]*relayReport{}, readers: map[string]*trackedReader{}, rejections: map[Reason]uint64{}}
	t.resetTimes()
	return t
}

func (t *AckTracker) resetTimes() {
	t.commits = versionTimes{max: t.opt.MaxVersionTimes}
	for i := range t.reachedBy {
		t.reachedBy[i] = versionTimes{max: t.opt.MaxVersionTimes}
	}
}

// NoteCommit says that the log has a change, of that version, since now.
func (t *AckTracker) NoteCommit(now time.Duration, epoch string, version uint64) {
	if epoch != t.epoch {
		t.epoch, t.appliedChanged = epoch, true
		t.resetTimes()
	}
	if len(t.commits.list) == 0 {
		t.commits.add(version-1, now) // when that was isn't known
	}
	t.commits.add(version, now)
}

// Rejections are the reports that were refused, by reason.
func (t *AckTracker) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(t.rejections))
	for k, n := range t.rejections {
		c[k] = n
	}
	return c
}

// AddReport takes a relay's report. Where it returns an error nothing has changed.
func (t *AckTracker) AddReport(now time.Duration, r Report) (ReportResponse, error) {
	a, err := t.addReport(now, r)
	if e, ok := err.(*RejectedError); ok {
		t.rejections[e.Reason]++
	}
	return a, err
}

func (t *AckTracker) addReport(now time.Duration, r Report) (ReportResponse, error) {
	if err := r.Validate(); err != nil {
		return ReportResponse{}, err
	}
	was := t.relays[r.Relay]
	switch {
	case r.Fleet != t.fleet:
		return ReportResponse{}, reject(ReasonForeignFleet, "the report is of fleet %q, and this is %q", r.Fleet, t.fleet)
	case was != nil && (r.Incarnation < was.Incarnation || r.Incarnation == was.Incarnation && r.Seq <= was.Seq):
		return ReportResponse{}, reject(ReasonStale, "report %d of life %d: %d of %d was taken", r.Seq, r.Incarnation, was.Seq, was.Incarnation)
	case !r.Full && (was == nil || was.Incarnation != r.Incarnation || r.Base > was.UpTo):
		return ReportResponse{Incarnation: r.Incarnation, WantFull: true}, nil
	}
	if t.firstReportAt == 0 {
		t.firstReportAt = max(now, 1)
	}
	if r.Full && was != nil { // who isn't in it any more was heard there as of the report before, at most
		named := make(map[string]bool, len(r.Readers))
		for i := range r.Readers {
			named[r.Readers[i].Name] = true
		}
		for name, c := range t.readers {
			if c.relay == r.Relay && !named[name] && !c.Silent {
				c.Silent, c.lastHeardAt = true, was.receivedAt
			}
		}
	}
	for i := range r.Readers {
		t.trackReader(now, r.Relay, r.Readers[i])
	}
	rep := r
	rep.Readers = nil
	t.relays[r.Relay] = &relayReport{rep, now}
	t.noteReached(now)
	return ReportResponse{Incarnation: r.Incarnation, UpTo: r.UpTo}, nil
}

// trackReader takes one reader's state: nobody counts twice, since there is one state for each name, and that of the later turn wins (step 8).
func (t *AckTracker) trackReader(now time.Duration, relay string, x Cursor) {
	c := t.readers[x.Name]
	switch {
	case c == nil && len(t.readers) >= t.opt.MaxReaders:
		return
	case c == nil:
		c = &trackedReader{}
		t.readers[x.Name] = c
	case x.Generation < c.Generation || x.Generation == c.Generation && relay != c.relay:
		return
	}
	*c = trackedReader{x, relay, now - time.Duration(x.LastHeardMs)*time.Millisecond}
	t.appliedChanged = true
}

// appliedVersion is up to where everything is in force at a reader, in the log's history.
func (t *AckTracker) appliedVersion(c *trackedReader) uint64 {
	if c.Applied.Epoch != t.epoch {
		return 0
	}
	return c.Applied.Min()
}

// Expire forgets readers that are silent for long, and relays without any. It is to be called now and then.
func (t *AckTracker) Expire(now time.Duration) {
	for name, c := range t.readers {
		if at, silent := t.lastHeard(now, c); silent && now-at >= t.opt.ForgetAfter {
			delete(t.readers, name)
			t.appliedChanged = true
		}
	}
	for id, r := range t.relays {
		if now-r.receivedAt >= t.opt.ForgetAfter {
			delete(t.relays, id)
		}
	}
}

// lastHeard is when a reader was last heard, as far as is known, and whether it is silent.
func (t *AckTracker) lastHeard(now time.Duration, c *trackedReader) (at time.Duration, silent bool) {
	r := t.relays[c.relay]
	if c.Silent || r == nil {
		return c.lastHeardAt, true
	}
	return max(c.lastHeardAt, r.receivedAt), now-r.receivedAt >= t.opt.SilentAfter
}

// noteReached notes which versions have been reached by which part of the readers.
func (t *AckTracker) noteReached(now time.Duration) {
	if !t.appliedChanged || now-t.firstReportAt < t.opt.WarmUp {
		return
	}
	t.appliedChanged = false
	t.appliedSorted = t.appliedSorted[:0]
	for _, c := range t.readers {
		t.appliedSorted = append(t.appliedSorted, t.appliedVersion(c))
	}
	slices.Sort(t.appliedSorted)
	n := len(t.appliedSorted)
	for i, part := range ackShares {
		if n > 0 {
			t.reachedBy[i].add(t.appliedSorted[n-int(math.Ceil(part*float64(n)))], now)
		}
	}
}
