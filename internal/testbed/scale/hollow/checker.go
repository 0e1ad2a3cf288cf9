package hollow

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"spindlehitch/internal/datapath/listing"
)

// Lane is one of the streams that an initiator follows.
type Stream string

// The lanes.
const (
	Targets Stream = "targets"
	Config  Stream = "config"
)

// Reached is a version that came into force, and when: by the clock of internal/process/monotone, which all processes of a machine share.
type AppliedVersion struct {
	Version uint64
	At      time.Duration
}

// Journal is what the run's judge has of one initiator. It outlives the initiator's restarts and is written from the promises, not from the code
// that keeps them: versions only grow, and once a target's drain was told, its older state is never in force again, nor is it sent to.
type Checker struct {
	name             string
	mu               sync.Mutex
	applied          map[Stream][]AppliedVersion
	targets          map[string]targetState // of targets that were told by a change
	reported         map[Stream]uint64      // as asked, over all lives
	reportedThisLife map[Stream]uint64      // by this life
	life             any
	violations       []string
	violationCount   int
}

// told is the newest that an initiator was told of a target. The run counts the changes of each target in its started_ms.
type targetState struct {
	changeNumber int64
	state        string
}

// mostBroken bounds the texts of what was broken; all of it is counted.
const maxViolationTexts = 8

// NewJournal returns the journal of an initiator.
func NewChecker(name string) *Checker {
	return &Checker{name: name, applied: map[Stream][]AppliedVersion{}, targets: map[string]targetState{}, reported: map[Stream]uint64{}}
}

// Lives begins a new life of the initiator. One without anything of its own on disk begins where it was first configured.
func (j *Checker) RecordRestart(kept bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !kept {
		j.applied, j.targets, j.reported = map[Stream][]AppliedVersion{}, map[string]targetState{}, map[Stream]uint64{}
	}
}

// Heard notes that a version is in force.
func (j *Checker) RecordApplied(lane Stream, version uint64, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.applied[lane]
	if len(all) > 0 {
		switch last := all[len(all)-1].Version; {
		case version < last:
			j.recordViolation("%s: version %d in force after %d", lane, version, last)
			return
		case version == last:
			return
		}
	}
	j.applied[lane] = append(all, AppliedVersion{version, at})
}

// Told notes what is in force of targets.
func (j *Checker) RecordTargets(entries []listing.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		if e.StartedMs == 0 {
			continue // as it stood at the beginning
		}
		if had, there := j.targets[e.ID]; there && e.StartedMs < had.changeNumber {
			j.recordViolation("target %s: its change %d (%s) in force after its change %d (%s)", e.ID, e.StartedMs, e.State, had.changeNumber, had.state)
			continue
		}
		j.targets[e.ID] = targetState{e.StartedMs, e.State}
	}
}

// Seen notes what one of its lives says is in force of each lane, when it was asked. One that has just begun says nothing until it has read its
// copy on disk; what it says then is no older than what was in force before.
func (j *Checker) RecordReported(life any, targets, config uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.life != life {
		j.life, j.reportedThisLife = life, map[Stream]uint64{}
	}
	for lane, v := range map[Stream]uint64{Targets: targets, Config: config} {
		if v < j.reportedThisLife[lane] || v > 0 && v < j.reported[lane] {
			j.recordViolation("%s: says that version %d is in force after %d", lane, v, j.reported[lane])
		}
		j.reportedThisLife[lane], j.reported[lane] = max(v, j.reportedThisLife[lane]), max(v, j.reported[lane])
	}
}

// Breaks notes that something which must not be was met.
func (j *Checker) RecordViolation(form string, about ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordViolation(form, about...)
}

// Sends notes that the module has a first byte go to a target.
func (j *Checker) RecordSend(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t, there := j.targets[target]; there && t.state != serving {
		j.recordViolation("target %s: sent to, its state %s was told", target, t.state)
	}
}

// breaks notes a broken promise. Its caller holds mu.
func (j *Checker) recordViolation(form string, about ...any) {
	if j.violationCount++; len(j.violations) < maxViolationTexts {
		j.violations = append(j.violations, j.name+": "+fmt.Sprintf(form, about...))
	}
}

// Broken tells how often a promise was broken, and the first of them.
func (j *Checker) Violations() (int, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.violationCount, slices.Clone(j.violations)
}

// At is the version in force of a lane; 0: none.
func (j *Checker) Version(lane Stream) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.reported[lane]
	if all := j.applied[lane]; len(all) > 0 {
		v = max(v, all[len(all)-1].Version)
	}
	return v
}

// When tells when a version, or one after it, came into force; false: it has not.
func (j *Checker) AppliedAt(lane Stream, version uint64) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.applied[lane]
	i := sort.Search(len(all), func(i int) bool { return all[i].Version >= version })
	if i == len(all) {
		return 0, false
	}
	return all[i].At, true
}
