package hollow

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"spindlehitch/internal/datapath/targetlist"
)

// Stream is one of the two streams that an initiator follows.
type Stream string

// The streams.
const (
	Targets Stream = "targets"
	Config  Stream = "config"
)

// AppliedVersion is a version that was applied, and when, by the clock of internal/process/monotonic, which all
// processes of a machine share.
type AppliedVersion struct {
	Version uint64
	At      time.Duration
}

// Checker records what one initiator applies and sends, across its restarts, and checks it. It is written from the
// specification, independently of the code under test: versions only grow; once a target's drain has been applied its
// older state is never applied again, and nothing is sent to the target. mu guards all fields but name.
type Checker struct {
	name            string
	mu              sync.Mutex
	applied         map[Stream][]AppliedVersion
	targets         map[string]targetState // newest applied state of each target that was changed
	reported        map[Stream]uint64      // newest version reported, over all runs
	reportedThisRun map[Stream]uint64      // newest version reported in this run
	run             any
	violations      []string
	violationCount  int
}

// targetState is the newest applied state of a target. Scale runs number the changes of each target in its started_ms.
type targetState struct {
	changeNumber int64
	state        string
}

// maxViolationTexts bounds the texts that are kept; all violations are counted.
const maxViolationTexts = 8

// NewChecker returns the checker of an initiator.
func NewChecker(name string) *Checker {
	return &Checker{name: name, applied: map[Stream][]AppliedVersion{}, targets: map[string]targetState{}, reported: map[Stream]uint64{}}
}

// RecordRestart records that the initiator starts again. If diskKept is false it has lost its copy on disk, and versions
// may start again.
func (j *Checker) RecordRestart(diskKept bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !diskKept {
		j.applied, j.targets, j.reported = map[Stream][]AppliedVersion{}, map[string]targetState{}, map[Stream]uint64{}
	}
}

// RecordApplied records that a version was applied.
func (j *Checker) RecordApplied(stream Stream, version uint64, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.applied[stream]
	if len(all) > 0 {
		switch last := all[len(all)-1].Version; {
		case version < last:
			j.recordViolation("%s: version %d applied after %d", stream, version, last)
			return
		case version == last:
			return
		}
	}
	j.applied[stream] = append(all, AppliedVersion{version, at})
}

// RecordTargets records entries of targets that were applied.
func (j *Checker) RecordTargets(entries []targetlist.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		if e.StartedMs == 0 {
			continue // the state at the beginning of the run
		}
		if previous, known := j.targets[e.ID]; known && e.StartedMs < previous.changeNumber {
			j.recordViolation("target %s: change %d (%s) applied after change %d (%s)", e.ID, e.StartedMs, e.State, previous.changeNumber, previous.state)
			continue
		}
		j.targets[e.ID] = targetState{e.StartedMs, e.State}
	}
}

// RecordReported records the versions that one run of the initiator, identified by run, reports as applied. A new run
// reports 0 until it has read its copy on disk; from then on it must not report less than an earlier run.
func (j *Checker) RecordReported(run any, targets, config uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.run != run {
		j.run, j.reportedThisRun = run, map[Stream]uint64{}
	}
	for stream, v := range map[Stream]uint64{Targets: targets, Config: config} {
		if v < j.reportedThisRun[stream] || v > 0 && v < j.reported[stream] {
			j.recordViolation("%s: reports version %d as applied after %d", stream, v, j.reported[stream])
		}
		j.reportedThisRun[stream], j.reported[stream] = max(v, j.reportedThisRun[stream]), max(v, j.reported[stream])
	}
}

// RecordViolation records a violation that the caller has found.
func (j *Checker) RecordViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordViolation(format, args...)
}

// RecordSend records that the policy sends a request to a target.
func (j *Checker) RecordSend(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t, known := j.targets[target]; known && t.state != stateServing {
		j.recordViolation("target %s: request sent to it in state %s", target, t.state)
	}
}

// recordViolation records a violation. The caller must hold mu.
func (j *Checker) recordViolation(format string, args ...any) {
	if j.violationCount++; len(j.violations) < maxViolationTexts {
		j.violations = append(j.violations, j.name+": "+fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations and the first of them.
func (j *Checker) Violations() (int, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.violationCount, slices.Clone(j.violations)
}

// Version returns the newest version of a stream that is known to be applied; 0: none.
func (j *Checker) Version(stream Stream) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.reported[stream]
	if all := j.applied[stream]; len(all) > 0 {
		v = max(v, all[len(all)-1].Version)
	}
	return v
}

// AppliedAt returns when a version, or the first one after it, was applied; false: none was.
func (j *Checker) AppliedAt(stream Stream, version uint64) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.applied[stream]
	i := sort.Search(len(all), func(i int) bool { return all[i].Version >= version })
	if i == len(all) {
		return 0, false
	}
	return all[i].At, true
}
