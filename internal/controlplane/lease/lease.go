// Package lease has the terms of leases for fleet-wide tasks that members, keepers and agents share, and the checks of what an operator
// sets. It does no I/O. docs/leases.md has the design and the argument for its safety; the numbers in comments are that page's steps.
package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/quota"
)

// Kind is what a task does.
type Kind string

const (
	EndpointProbe Kind = "watch"   // targets that are avoided are tried by one member each
	FleetReport   Kind = "account" // the latency accounts of all instances, one report for each window
	Drill         Kind = "drill"   // acts at a guarded folder that change nothing else, to try out the leases themselves
)

// Kinds is all of them.
var Kinds = []Kind{EndpointProbe, FleetReport, Drill}

// Bounds of what is keyed by something.
const (
	MaxTasks   = 16
	MaxShards  = 1024 // of one task
	MaxTargets = 1024 // that a member names, or is told of, at a time
)

// AnyMember, as the member that a lease is to go to next, is whichever the spread finds.
const AnyMember = "*"

// Task is something that is done once for the fleet, not once by each instance, as an operator sets it.
type Task struct {
	Name               string `toml:"name" json:"name"`
	Kind               Kind   `toml:"kind" json:"kind"`
	Disabled           bool   `toml:"off" json:"off,omitempty"`               // shards are given back, and not given to anyone
	Shards             int    `toml:"shards" json:"shards"`                   // 1 where it is not told
	TTLMs              int64  `toml:"lease_ms" json:"lease_ms"`               // how long a lease lasts after its renewal was begun
	OperationTimeoutMs int64  `toml:"act_ms" json:"act_ms"`                   // how long one act takes at most
	IntervalMs         int64  `toml:"every_ms" json:"every_ms"`               // from the beginning of one act to that of the next
	ProgressTimeoutMs  int64  `toml:"progress_ms" json:"progress_ms"`         // a holder that ends no act for so long loses the shard
	MaxPauseMs         int64  `toml:"pause_ms" json:"pause_ms,omitempty"`     // the longest a process stands still, where something touched can't check tokens
	Dir                string `toml:"dir" json:"dir,omitempty"`               // account, drill: the guarded folder, the same for all members
	WindowS            int64  `toml:"window_s" json:"window_s,omitempty"`     // account: 60 where it is not told
	KeepReports        int    `toml:"keep" json:"keep,omitempty"`             // account: reports, 1,440 where it is not told
	Witness            string `toml:"witness" json:"witness,omitempty"`       // drill: told of each call of the place and of its return; empty: nobody
	MaxMoves           int    `toml:"moves_at_once" json:"moves_at_once"`     // for evenness' sake, at a time; a tenth of the shards where it is not told
	ProbePath          string `toml:"probe_path" json:"probe_path,omitempty"` // watch: what a target is asked, /-/healthy where it is not told
}

// TTL is how long a lease lasts by its holder's clock.
func (t *Task) TTL() time.Duration { return time.Duration(t.TTLMs) * time.Millisecond }

// OperationTimeout is how long one act takes at most by its holder's clock.
func (t *Task) OperationTimeout() time.Duration {
	return time.Duration(t.OperationTimeoutMs) * time.Millisecond
}

// Interval is from the beginning of one act to that of the next.
func (t *Task) Interval() time.Duration { return time.Duration(t.IntervalMs) * time.Millisecond }

// ProgressTimeout is how long a holder may go without ending an act.
func (t *Task) ProgressTimeout() time.Duration {
	return time.Duration(t.ProgressTimeoutMs) * time.Millisecond
}

// MaxPause is the longest that a process is taken to stand still; 0: no bound is needed.
func (t *Task) MaxPause() time.Duration { return time.Duration(t.MaxPauseMs) * time.Millisecond }

// Window is the stretch of time of one report.
func (t *Task) Window() time.Duration { return time.Duration(t.WindowS) * time.Second }

// ShardOf is the shard that a target is in.
func (t *Task) ShardOf(target string) int { return int(xxhash.Sum64String(target) % uint64(t.Shards)) }

// unguarded tells whether acts of the task reach something that can't check a token.
func (t *Task) unguarded() bool { return t.Kind == EndpointProbe }

// Config is all tasks, replicated as one.
type Config struct {
	Version uint64 `toml:"-" json:"version"`
	Tasks   []Task `toml:"task" json:"tasks"`
}

// Task returns the task of that name, or nil.
func (d *Config) Task(name string) *Task {
	for i := range d.Tasks {
		if d.Tasks[i].Name == name {
			return &d.Tasks[i]
		}
	}
	return nil
}

// Validate names the first field that can't be served. Times are held against the fleet's renewals, seats and clocks where f is
// given.
func (d *Config) Validate(f *quota.Config) error {
	if len(d.Tasks) > MaxTasks {
		return fmt.Errorf("task: %d are too many, %d at most", len(d.Tasks), MaxTasks)
	}
	seen := map[string]bool{}
	for i := range d.Tasks {
		t := &d.Tasks[i]
		if err := t.validate(f); err != nil {
			return fmt.Errorf("task[%d].%w", i, err)
		}
		if seen[t.Name] {
			return fmt.Errorf("task[%d].name: %q is there twice", i, t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}

func (t *Task) validate(f *quota.Config) error {
	switch {
	case t.Name == "" || len(t.Name) > quota.MaxNameBytes:
		return fmt.Errorf("name: wanted 1 to %d bytes", quota.MaxNameBytes)
	case !slices.Contains(Kinds, t.Kind):
		return fmt.Errorf("kind: %q is none of watch, account, drill", t.Kind)
	}
	for _, x := range []struct {
		field         string
		value         *int64
		usual, lo, hi int64
	}{{"lease_ms", &t.TTLMs, 6000, 100, 600_000}, {"act_ms", &t.OperationTimeoutMs, 1000, 1, 600_000}, {"every_ms", &t.IntervalMs, 1000, 10, 3_600_000},
		{"progress_ms", &t.ProgressTimeoutMs, 0, 0, 24 * 3_600_000}, {"pause_ms", &t.MaxPauseMs, 0, 0, 600_000}, {"window_s", &t.WindowS, 60, 1, 86400}} {
		if *x.value == 0 {
			*x.value = x.usual
		}
		if *x.value < x.lo || *x.value > x.hi {
			return fmt.Errorf("%s: %d is not from %d to %d", x.field, *x.value, x.lo, x.hi)
		}
	}
	if t.Shards == 0 {
		t.Shards = 1
	}
	if t.KeepReports == 0 {
		t.KeepReports = 1440
	}
	if t.MaxMoves == 0 {
		t.MaxMoves = max(1, t.Shards/10)
	}
	if t.ProbePath == "" && t.Kind == EndpointProbe {
		t.ProbePath = "/-/healthy"
	}
	least := t.TTLMs + t.IntervalMs + t.OperationTimeoutMs
	if t.ProgressTimeoutMs == 0 {
		t.ProgressTimeoutMs = 2 * least
	}
	switch {
	case t.Shards < 1 || t.Shards > MaxShards:
		return fmt.Errorf("shards: %d is not from 1 to %d", t.Shards, MaxShards)
	case t.Kind == FleetReport && t.Shards != 1:
		return fmt.Errorf("shards: one report is written by one holder, not %d", t.Shards)
	case t.KeepReports < 1 || t.KeepReports > 100_000:
		return fmt.Errorf("keep: %d is not from 1 to 100000", t.KeepReports)
	case t.MaxMoves < 1 || t.MaxMoves > MaxShards:
		return fmt.Errorf("moves_at_once: %d is not from 1 to %d", t.MaxMoves, MaxShards)
	case t.unguarded() && t.MaxPauseMs == 0:
		return fmt.Errorf("pause_ms: targets can't check a token, so the longest that a process may stand still has to be told")
	case (t.Kind == FleetReport || t.Kind == Drill) != (t.Dir != ""):
		return fmt.Errorf("dir: a task of kind %s %s", t.Kind, map[bool]string{true: "needs the folder that is guarded", false: "has none"}[t.Dir == ""])
	case t.Witness != "" && t.Kind != Drill:
		return fmt.Errorf("witness: only a drill has one")
	case t.ProgressTimeoutMs < least:
		return fmt.Errorf("progress_ms: %d is shorter than a lease, an act and the time to the next, %d", t.ProgressTimeoutMs, least)
	case f == nil:
		return nil
	case f.MaxOnOtherClock(3*f.RenewInterval())+t.OperationTimeout() > t.TTL():
		return fmt.Errorf("lease_ms: an act of %d ms after three renewals of %d ms does not fit in %d ms with clocks %v ppm off", t.OperationTimeoutMs, f.RenewIntervalMs, t.TTLMs, f.ClockPPM)
	case f.MaxOnOtherClock(t.TTL()+t.MaxPause()) > f.SessionTTL():
		return fmt.Errorf("lease_ms: with pause_ms and the clocks' bound longer than a seat of %d s", f.SessionTTLS)
	}
	return nil
}

// ValidateChange tells whether the tasks may take the place of before while some shards are held: whoever is cut off goes on by the old times.
func (d *Config) ValidateChange(before *Config, held func(task string) bool) error {
	for i := range before.Tasks {
		old := &before.Tasks[i]
		if !held(old.Name) {
			continue
		}
		t := d.Task(old.Name)
		if t == nil {
			return fmt.Errorf("task %q: can't be taken away while its shards are held; have it off = true first", old.Name)
		}
		for _, f := range []struct {
			field string
			same  bool
		}{{"kind", t.Kind == old.Kind}, {"shards", t.Shards == old.Shards}, {"lease_ms", t.TTLMs == old.TTLMs}, {"act_ms", t.OperationTimeoutMs == old.OperationTimeoutMs},
			{"pause_ms", t.MaxPauseMs == old.MaxPauseMs}, {"dir", t.Dir == old.Dir}, {"window_s", t.WindowS == old.WindowS}} {
			if !f.same {
				return fmt.Errorf("task %q: %s: can't be changed while its shards are held; have it off = true first", old.Name, f.field)
			}
		}
	}
	return nil
}

// Key names one lease.
type Key struct {
	Task  string `json:"task"`
	Shard int    `json:"shard"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Task, k.Shard) }

// CompareKeys orders keys.
func CompareKeys(a, b Key) int {
	if a.Task != b.Task {
		if a.Task < b.Task {
			return -1
		}
		return 1
	}
	return a.Shard - b.Shard
}

// Lease is what the log says of a shard. Token grows with each grant, of any shard, for as long as there is a log.
type Lease struct {
	Key
	Token        uint64 `json:"token"`             // 0: it was never granted
	Holder       string `json:"holder,omitempty"`  // a member's id; empty: nobody's
	NextHolder   string `json:"next,omitempty"`    // whom it is to go to once its holder has given it back, or it has ended; Anyone
	PinnedTo     string `json:"pin,omitempty"`     // the member that an operator moved it to: it stays there
	ChangedIndex uint64 `json:"changed,omitempty"` // the log's index of the last change
}

// EventKind is one kind of change of a lease.
type EventKind string

const (
	EventGrant   EventKind = "grant" // to a member, under a new token
	EventPlan    EventKind = "plan"  // it is to go to a member, or anyone, next
	EventRelease EventKind = "free"  // it is nobody's
)

// Event is a change of a lease through the log. It is void where the lease does not have the token Over any more.
type Event struct {
	Key
	ExpectedToken uint64    `json:"over"`
	Kind          EventKind `json:"do"`
	Member        string    `json:"to,omitempty"`
	Pinned        bool      `json:"pin,omitempty"` // by an operator
}

// HolderStatus is what a member says of a lease that it has.
type HolderStatus struct {
	Key
	Token     uint64 `json:"token"`
	Completed uint64 `json:"acts"`    // ended under this token
	Fenced    uint64 `json:"refused"` // of them, by the place
	Failed    uint64 `json:"failed"`  // of them, for another reason: these are no progress
}

// Ref is a lease given back: its holder does nothing under the token any more.
type Ref struct {
	Key
	Token uint64 `json:"token"`
}

// ProbeResult is what a holder found out about a target.
type ProbeResult struct {
	Task      string `json:"task"`
	Target    string `json:"target"`
	Token     uint64 `json:"token"` // of the target's shard
	Healthy   bool   `json:"well"`
	LatencyUs int64  `json:"took_us"`
	AgeMs     int64  `json:"ago_ms"` // since it was found out, at least
}

// RenewalRequest is all that a member says of leases at a time, with each renewal.
type RenewalRequest struct {
	Seq           uint64         `json:"seq"`               // grows with each
	ConfigVersion uint64         `json:"version,omitempty"` // of the tasks it goes by
	Tasks         []string       `json:"runs,omitempty"`    // the tasks that it can do
	Held          []HolderStatus `json:"holds,omitempty"`
	Released      []Ref          `json:"gives,omitempty"`
	HighestToken  uint64         `json:"seen,omitempty"` // the newest token that a place has ever shown it: the next has to be greater
	Ejected       []string       `json:"avoids,omitempty"`
	Results       []ProbeResult  `json:"results,omitempty"`
	OpenRequests  uint16         `json:"load,omitempty"`  // requests open, as it counts them
	DeadInstances []string       `json:"ended,omitempty"` // instances that the member holds dead or gone, by name: for planning alone
}

// RenewalResponse is the answer to a claim.
type RenewalResponse struct {
	Seq          uint64        `json:"seq"`
	Leases       []Ref         `json:"leases,omitempty"`  // held until lease_ms after the claim was begun
	Recalled     []Ref         `json:"recalls,omitempty"` // to be given back once no act is under way
	Config       *Config       `json:"doc,omitempty"`     // where the member goes by another
	ProbeTargets []string      `json:"work,omitempty"`    // targets that are avoided, of the shards held
	ProbeResults []ProbeResult `json:"news,omitempty"`    // of targets that the member avoids
}

// RejectionError says why something about leases is refused.
type RejectionError string

const (
	ErrUnknownTask      RejectionError = "task: unknown"
	ErrUnknownShard     RejectionError = "shard: the task has no such shard"
	ErrUnknownMember    RejectionError = "member: no such member lives"
	ErrTaskNotSupported RejectionError = "member: it does not run this task"
	ErrTaskDisabled     RejectionError = "task: it is off"
	ErrAlreadyHolder    RejectionError = "member: it holds this shard"
	ErrNotHeld          RejectionError = "shard: nobody holds it"
)

func (r RejectionError) Error() string { return string(r) }
