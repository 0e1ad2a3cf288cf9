package watchstream

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"
)

// AckTrackerOptions bound what the tracker keeps. Zero values stand for those of
// DefaultAckTrackerOptions.
type AckTrackerOptions struct {
	SilentAfter     time.Duration // a relay that is not heard for so long is silent, with its readers
	ForgetAfter     time.Duration // readers that are silent for so long are dropped
	WarmUp          time.Duration // no times are recorded for so long after the first report
	MaxReaders      int           // at most
	MaxVersionTimes int           // versions whose times are kept
	MaxListed       int           // names in a status
}

// DefaultAckTrackerOptions fit a fleet of 16,384 readers.
var DefaultAckTrackerOptions = AckTrackerOptions{SilentAfter: 10 * time.Second, ForgetAfter: 10 * time.Minute, WarmUp: 5 * time.Second, MaxReaders: 1 << 14, MaxVersionTimes: 1 << 13, MaxListed: 100}

// AckTracker knows, at the agents' leader, which versions are applied at which readers. Its state is
// in memory: a new leader's tracker asks for full reports.
type AckTracker struct {
	fleet          string
	opt            AckTrackerOptions
	epoch          string
	relays         map[string]*relayReport
	readers        map[string]*trackedReader
	firstReportAt  time.Duration                // 0: none yet
	commits        versionTimes                 // when versions were committed
	reachedBy      [len(ackShares)]versionTimes // when versions were applied, by ackShares
	appliedSorted  []uint64                     // applied versions of all readers, for noteReached
	appliedChanged bool                         // appliedSorted has to be computed again
	rejections     map[Reason]uint64
}

// ackShares are the shares of readers for which times are recorded.
var ackShares = [...]float64{0.5, 0.99, 1}

// relayReport is a relay's last report, without its readers.
type relayReport struct {
	Report     // without its readers
	receivedAt time.Duration
}

// trackedReader is a reader's state with the relay that reported it.
type trackedReader struct {
	Cursor
	relay       string
	lastHeardAt time.Duration // as reported; a reader that is not silent is heard whenever its relay is
}

// NewAckTracker returns a tracker that knows no readers.
func NewAckTracker(fleet string, o AckTrackerOptions) *AckTracker {
	o.SilentAfter, o.ForgetAfter, o.WarmUp = cmp.Or(o.SilentAfter, DefaultAckTrackerOptions.SilentAfter), cmp.Or(o.ForgetAfter, DefaultAckTrackerOptions.ForgetAfter), cmp.Or(o.WarmUp, DefaultAckTrackerOptions.WarmUp)
	o.MaxReaders, o.MaxVersionTimes, o.MaxListed = cmp.Or(o.MaxReaders, DefaultAckTrackerOptions.MaxReaders), cmp.Or(o.MaxVersionTimes, DefaultAckTrackerOptions.MaxVersionTimes), cmp.Or(o.MaxListed, DefaultAckTrackerOptions.MaxListed)
	t := &AckTracker{fleet: fleet, opt: o, relays: map[string]*relayReport{}, readers: map[string]*trackedReader{}, rejections: map[Reason]uint64{}}
	t.resetTimes()
	return t
}

// resetTimes drops all times, as for a new epoch.
func (t *AckTracker) resetTimes() {
	t.commits = versionTimes{max: t.opt.MaxVersionTimes}
	for i := range t.reachedBy {
		t.reachedBy[i] = versionTimes{max: t.opt.MaxVersionTimes}
	}
}

// NoteCommit records that the log has a change.
func (t *AckTracker) NoteCommit(now time.Duration, epoch string, version uint64) {
	if epoch != t.epoch {
		t.epoch, t.appliedChanged = epoch, true
		t.resetTimes()
	}
	if len(t.commits.list) == 0 {
		t.commits.add(version-1, now) // its time is unknown
	}
	t.commits.add(version, now)
}

// Rejections returns the rejected reports by reason.
func (t *AckTracker) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(t.rejections))
	for k, n := range t.rejections {
		c[k] = n
	}
	return c
}

// AddReport processes a relay's report. An error means that nothing has changed.
func (t *AckTracker) AddReport(now time.Duration, r Report) (ReportResponse, error) {
	a, err := t.addReport(now, r)
	if e := (*RejectedError)(nil); errors.As(err, &e) {
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
	if r.Full && was != nil { // a reader that is missing was last heard before the previous report
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

// trackReader takes over one reader's state. There is one state for each name, and that of the later
// generation wins, so that no reader counts twice (step 8).
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

// appliedVersion is the version of the log's history up to which a reader has applied everything.
func (t *AckTracker) appliedVersion(c *trackedReader) uint64 {
	if c.Applied.Epoch != t.epoch {
		return 0
	}
	return c.Applied.Min()
}

// Expire forgets readers that were silent for long, and relays that stopped reporting. It must be
// called regularly.
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

// noteReached records which versions have been applied by which share of the readers.
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
