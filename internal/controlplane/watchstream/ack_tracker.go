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

// SetEpoch records the epoch of the log's changes. An agent that has restarted from a snapshot knows
// it before it knows of any commit.
func (t *AckTracker) SetEpoch(epoch string) {
	if epoch != t.epoch {
		t.epoch, t.appliedChanged = epoch, true
		t.resetTimes()
	}
}

// NoteCommit records that the log has a change.
func (t *AckTracker) NoteCommit(now time.Duration, epoch string, version uint64) {
	t.SetEpoch(epoch)
	if len(t.commits.list) == 0 {
		t.commits.add(version-1, now) // its time is unknown
	}
	t.commits.add(version, now)
}

// Rejections returns the rejected reports by reason.
func (t *AckTracker) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(t.rejections))
	for reason, n := range t.rejections {
		c[reason] = n
	}
	return c
}

// AddReport processes a relay's report. An error means that nothing has changed.
func (t *AckTracker) AddReport(now time.Duration, report Report) (ReportResponse, error) {
	resp, err := t.addReport(now, report)
	if e := (*RejectedError)(nil); errors.As(err, &e) {
		t.rejections[e.Reason]++
	}
	return resp, err
}

func (t *AckTracker) addReport(now time.Duration, report Report) (ReportResponse, error) {
	if err := report.Validate(); err != nil {
		return ReportResponse{}, err
	}
	previous := t.relays[report.Relay]
	switch {
	case report.Fleet != t.fleet:
		return ReportResponse{}, reject(ReasonForeignFleet, "the report is of fleet %q, and this is %q", report.Fleet, t.fleet)
	case previous != nil && (report.Incarnation < previous.Incarnation || report.Incarnation == previous.Incarnation && report.Seq <= previous.Seq):
		return ReportResponse{}, reject(ReasonStale, "report %d of life %d: %d of %d was taken", report.Seq, report.Incarnation, previous.Seq, previous.Incarnation)
	case !report.Full && (previous == nil || previous.Incarnation != report.Incarnation || report.Base > previous.UpTo):
		return ReportResponse{Incarnation: report.Incarnation, WantFull: true}, nil
	}
	if t.firstReportAt == 0 {
		t.firstReportAt = max(now, 1)
	}
	if report.Full && previous != nil { // a reader that is missing was last heard before the previous report
		named := make(map[string]bool, len(report.Readers))
		for i := range report.Readers {
			named[report.Readers[i].Name] = true
		}
		for name, r := range t.readers {
			if r.relay == report.Relay && !named[name] && !r.Silent {
				r.Silent, r.lastHeardAt = true, previous.receivedAt
			}
		}
	}
	for i := range report.Readers {
		t.trackReader(now, report.Relay, report.Readers[i])
	}
	rep := report
	rep.Readers = nil
	t.relays[report.Relay] = &relayReport{rep, now}
	t.noteReached(now)
	return ReportResponse{Incarnation: report.Incarnation, UpTo: report.UpTo}, nil
}

// trackReader takes over one reader's state. There is one state for each name, and that of the later
// generation wins, so that no reader counts twice (step 8).
func (t *AckTracker) trackReader(now time.Duration, relay string, cursor Cursor) {
	r := t.readers[cursor.Name]
	switch {
	case r == nil && len(t.readers) >= t.opt.MaxReaders:
		return
	case r == nil:
		r = &trackedReader{}
		t.readers[cursor.Name] = r
	case cursor.Generation < r.Generation || cursor.Generation == r.Generation && relay != r.relay:
		return
	}
	*r = trackedReader{cursor, relay, now - time.Duration(cursor.LastHeardMs)*time.Millisecond}
	t.appliedChanged = true
}

// appliedVersion is the version of the log's history up to which a reader has applied everything.
func (t *AckTracker) appliedVersion(r *trackedReader) uint64 {
	if r.Applied.Epoch != t.epoch {
		return 0
	}
	return r.Applied.Min()
}

// Expire forgets readers that were silent for long, and relays that stopped reporting. It must be
// called regularly.
func (t *AckTracker) Expire(now time.Duration) {
	for name, state := range t.readers {
		if at, silent := t.lastHeard(now, state); silent && now-at >= t.opt.ForgetAfter {
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
func (t *AckTracker) lastHeard(now time.Duration, state *trackedReader) (at time.Duration, silent bool) {
	r := t.relays[state.relay]
	if state.Silent || r == nil {
		return state.lastHeardAt, true
	}
	return max(state.lastHeardAt, r.receivedAt), now-r.receivedAt >= t.opt.SilentAfter
}

// noteReached records which versions have been applied by which share of the readers.
func (t *AckTracker) noteReached(now time.Duration) {
	if !t.appliedChanged || now-t.firstReportAt < t.opt.WarmUp {
		return
	}
	t.appliedChanged = false
	t.appliedSorted = t.appliedSorted[:0]
	for _, r := range t.readers {
		t.appliedSorted = append(t.appliedSorted, t.appliedVersion(r))
	}
	slices.Sort(t.appliedSorted)
	n := len(t.appliedSorted)
	for i, share := range ackShares {
		if n > 0 {
			t.reachedBy[i].add(t.appliedSorted[n-int(math.Ceil(share*float64(n)))], now)
		}
	}
}
