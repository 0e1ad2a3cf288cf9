package lease

import (
	"fmt"
	"slices"
	"spindlehitch/internal/controlplane/quota"
	"time"

	"github.com/cespare/xxhash/v2"
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
