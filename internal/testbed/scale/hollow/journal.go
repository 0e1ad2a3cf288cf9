package hollow

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"spindlehitch/internal/datapath/targetlist"
)

// Lane is one of the streams that an initiator follows.
type Lane string

// The lanes.
const (
	Targets Lane = "targets"
	Config  Lane = "config"
)

// Reached is a version that came into force, and when: by the clock of internal/process/monotonic, which all processes of a machine share.
type Reached struct {
	Version uint64
	At      time.Duration
}

// Journal is what the run's judge has of one initiator. It outlives the initiator's restarts and is written from the promises, not from the code
// that keeps them: versions only grow, and once a target's drain was told, its older state is never in force again, nor is it sent to.
type Journal struct {
	name   string
	mu     sync.Mutex
	lanes  map[Lane][]Reached
	told   map[string]told // of targets that were told by a change
	seen   map[Lane]uint64 // as asked, over all lives
	said   map[Lane]uint64 // by this life
	life   any
	broken []string
	faults int
}

// told is the newest that an initiator was told of a target. The run counts the changes of each target in its started_ms.
type told struct {
	turn  int64
	state string
}

// mostBroken bounds the texts of what was broken; all of it is counted.
const mostBroken = 8

// NewJournal returns the journal of an initiator.
func NewJournal(name string) *Journal {
	return &Journal{name: name, lanes: map[Lane][]Reached{}, told: map[string]told{}, seen: map[Lane]uint64{}}
}

// Lives begins a new life of the initiator. One without anything of its own on disk begins where it was first configured.
func (j *Journal) Lives(kept bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !kept {
		j.lanes, j.told, j.seen = map[Lane][]Reached{}, map[string]told{}, map[Lane]uint64{}
	}
}

// Heard notes that a version is in force.
func (j *Journal) Heard(lane Lane, version uint64, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.lanes[lane]
	if len(all) > 0 {
		switch last := all[len(all)-1].Version; {
		case version < last:
			j.breaks("%s: version %d in force after %d", lane, version, last)
			return
		case version == last:
			return
		}
	}
	j.lanes[lane] = append(all, Reached{version, at})
}

// Told notes what is in force of targets.
func (j *Journal) Told(entries []targetlist.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		if e.StartedMs == 0 {
			continue // as it stood at the beginning
		}
		if had, there := j.told[e.ID]; there && e.StartedMs < had.turn {
			j.breaks("target %s: its change %d (%s) in force after its change %d (%s)", e.ID, e.StartedMs, e.State, had.turn, had.state)
			continue
		}
		j.told[e.ID] = told{e.StartedMs, e.State}
	}
}

// Seen notes what one of its lives says is in force of each lane, when it was asked. One that has just begun says nothing until it has read its
// copy on disk; what it says then is no older than what was in force before.
func (j *Journal) Seen(life any, targets, config uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.life != life {
		j.life, j.said = life, map[Lane]uint64{}
	}
	for lane, v := range map[Lane]uint64{Targets: targets, Config: config} {
		if v < j.said[lane] || v > 0 && v < j.seen[lane] {
			j.breaks("%s: says that version %d is in force after %d", lane, v, j.seen[lane])
		}
		j.said[lane], j.seen[lane] = max(v, j.said[lane]), max(v, j.seen[lane])
	}
}

// Breaks notes that something which must not be was met.
func (j *Journal) Breaks(form string, about ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks(form, about...)
}

// Sends notes that the module has a first byte go to a target.
func (j *Journal) Sends(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t, there := j.told[target]; there && t.state != serving {
		j.breaks("target %s: sent to, its state %s was told", target, t.state)
	}
}

// breaks notes a broken promise. Its caller holds mu.
func (j *Journal) breaks(form string, about ...any) {
	if j.faults++; len(j.broken) < mostBroken {
		j.broken = append(j.broken, j.name+": "+fmt.Sprintf(form, about...))
	}
}

// Broken tells how often a promise was broken, and the first of them.
func (j *Journal) Broken() (int, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.faults, slices.Clone(j.broken)
}

// At is the version in force of a lane; 0: none.
func (j *Journal) At(lane Lane) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.seen[lane]
	if all := j.lanes[lane]; len(all) > 0 {
		v = max(v, all[len(all)-1].Version)
	}
	return v
}

// When tells when a version, or one after it, came into force; false: it has not.
func (j *Journal) When(lane Lane, version uint64) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.lanes[lane]
	i := sort.Search(len(all), func(i int) bool { return all[i].Version >= version })
	if i == len(all) {
		return 0, false
	}
	return all[i].At, true
}
