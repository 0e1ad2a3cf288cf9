package watchstream

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"
)

// AckTrackerOptions bound the tracker's state. Zero values are replaced by those of
// DefaultAckTrackerOptions.
type AckTrackerOptions struct {
	SilentAfter     time.Duration // a relay without a report for this long counts as silent, with its readers
	ForgetAfter     time.Duration // readers that were silent, and relays without a report, for this long are dropped
	WarmUp          time.Duration // no times are recorded for this long after the first report
	MaxReaders      int           // tracked at a time; further ones are ignored
	MaxVersionTimes int           // versions whose times are kept
	MaxListed       int           // lagging readers in a status
}

// DefaultAckTrackerOptions are sized for a fleet of 16,384 readers.
var DefaultAckTrackerOptions = AckTrackerOptions{SilentAfter: 10 * time.Second, ForgetAfter: 10 * time.Minute, WarmUp: 5 * time.Second, MaxReaders: 1 << 14, MaxVersionTimes: 1 << 13, MaxListed: 100}

// AckTracker tracks, at the agents' leader, which versions are applied at which readers. Its state is in
// memory only: the tracker of a new leader requests full reports.
type AckTracker struct {
	fleet          string
	opt            AckTrackerOptions
	epoch          string
	relays         map[string]*relayReport
	readers        map[string]*trackedReader
	firstReportAt  time.Duration                // 0: no report yet
	commits        versionTimes                 // when versions were committed
	reachedBy      [len(ackShares)]versionTimes // when versions were applied by each of ackShares
	appliedSorted  []uint64                     // applied versions of all readers; reused by noteReached
	appliedChanged bool                         // an applied version changed since noteReached last ran
	rejections     map[Reason]uint64
}

// ackShares are the shares of readers for which the time of reaching a version is recorded.
var ackShares = [...]float64{0.5, 0.99, 1}

// relayReport is a relay's last report, without its readers.
type relayReport struct {
	Report     // Readers is nil
	receivedAt time.Duration
}

// trackedReader is a reader's last cursor with the relay that reported it.
type trackedReader struct {
	Cursor
	relay       string
	lastHeardAt time.Duration // as of the report; while the reader is not silent, later reports of its relay count as well
}

// NewAckTracker returns a tracker without readers.
func NewAckTracker(fleet string, o AckTrackerOptions) *AckTracker {
	o.SilentAfter, o.ForgetAfter, o.WarmUp = cmp.Or(o.SilentAfter, DefaultAckTrackerOptions.SilentAfter), cmp.Or(o.ForgetAfter, DefaultAckTrackerOptions.ForgetAfter), cmp.Or(o.WarmUp, DefaultAckTrackerOptions.WarmUp)
	o.MaxReaders, o.MaxVersionTimes, o.MaxListed = cmp.Or(o.MaxReaders, DefaultAckTrackerOptions.MaxReaders), cmp.Or(o.MaxVersionTimes, DefaultAckTrackerOptions.MaxVersionTimes), cmp.Or(o.MaxListed, DefaultAckTrackerOptions.MaxListed)
	t := &AckTracker{fleet: fleet, opt: o, relays: map[string]*relayReport{}, readers: map[string]*trackedReader{}, rejections: map[Reason]uint64{}}
	t.resetTimes()
	return t
}

// resetTimes drops all recorded times, as a new epoch requires.
func (t *AckTracker) resetTimes() {
	t.commits = versionTimes{max: t.opt.MaxVersionTimes}
	for i := range t.reachedBy {
		t.reachedBy[i] = versionTimes{max: t.opt.MaxVersionTimes}
	}
}

// SetEpoch records the log's epoch. An agent that restarted from a snapshot has it before the first
// commit.
func (t *AckTracker) SetEpoch(epoch string) {
	if epoch != t.epoch {
		t.epoch, t.appliedChanged = epoch, true
		t.resetTimes()
	}
}

// NoteCommit records the time at which a change was committed.
func (t *AckTracker) NoteCommit(now time.Duration, epoch string, version uint64) {
	t.SetEpoch(epoch)
	if len(t.commits.list) == 0 {
		t.commits.add(version-1, now) // committed at an unknown time
	}
	t.commits.add(version, now)
}

// Rejections returns the number of rejected reports by reason.
func (t *AckTracker) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(t.rejections))
	for reason, n := range t.rejections {
		c[reason] = n
	}
	return c
}

// AddReport processes a relay's report. On an error only the rejection counters have changed.
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
	if report.Full && previous != nil { // a reader that is missing sent its last request before the previous report
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

// trackReader stores a reader's cursor. There is one cursor for each name, and that of the later
// generation wins, so that no reader is counted twice (step 8).
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

// appliedVersion returns the version up to which a reader has applied all changes of the log; 0 if it
// has applied another epoch's.
func (t *AckTracker) appliedVersion(r *trackedReader) uint64 {
	if r.Applied.Epoch != t.epoch {
		return 0
	}
	return r.Applied.Min()
}

// Expire drops readers that were silent, and relays that sent no report, for ForgetAfter. It must be
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

// lastHeard returns when a reader is last known to have sent a request, and whether it is silent.
func (t *AckTracker) lastHeard(now time.Duration, state *trackedReader) (at time.Duration, silent bool) {
	r := t.relays[state.relay]
	if state.Silent || r == nil {
		return state.lastHeardAt, true
	}
	return max(state.lastHeardAt, r.receivedAt), now-r.receivedAt >= t.opt.SilentAfter
}

// noteReached records which version each of ackShares of the readers has applied by now.
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
