package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/quota"
)

// Kind is the kind of work that a task does.
type Kind string

// Kinds of tasks.
const (
	EndpointProbe Kind = "watch"   // one member per shard probes ejected targets on behalf of all
	FleetReport   Kind = "account" // one report of all instances' latency accounts for each window
	// operations on a guarded folder that have no other effect, to test the leases themselves
	Drill Kind = "drill"
)

// Kinds lists all kinds.
var Kinds = []Kind{EndpointProbe, FleetReport, Drill}

// Task is a task as an operator configures it. It runs once for the fleet, not once for each instance.
type Task struct {
	Name               string `toml:"name" json:"name"`
	Kind               Kind   `toml:"kind" json:"kind"`
	Disabled           bool   `toml:"off" json:"off,omitempty"`               // shards are released and not granted
	Shards             int    `toml:"shards" json:"shards"`                   // default 1
	TTLMs              int64  `toml:"lease_ms" json:"lease_ms"`               // how long a lease lasts after its renewal was started
	OperationTimeoutMs int64  `toml:"act_ms" json:"act_ms"`                   // longest duration of one operation
	IntervalMs         int64  `toml:"every_ms" json:"every_ms"`               // from the start of one operation to the start of the next
	ProgressTimeoutMs  int64  `toml:"progress_ms" json:"progress_ms"`         // a holder that completes no operation for this long loses the shard
	MaxPauseMs         int64  `toml:"pause_ms" json:"pause_ms,omitempty"`     // longest pause of a process, where targets cannot check tokens
	Dir                string `toml:"dir" json:"dir,omitempty"`               // FleetReport, Drill: the guarded folder, shared by all members
	WindowS            int64  `toml:"window_s" json:"window_s,omitempty"`     // FleetReport: length of a window; default 60
	KeepReports        int    `toml:"keep" json:"keep,omitempty"`             // FleetReport: default 1440
	Witness            string `toml:"witness" json:"witness,omitempty"`       // Drill: address that gets a notice before and after each call
	MaxMoves           int    `toml:"moves_at_once" json:"moves_at_once"`     // shards that move at a time for rebalancing; default a tenth of all
	ProbePath          string `toml:"probe_path" json:"probe_path,omitempty"` // EndpointProbe: default /-/healthy
}

// TTL is how long a lease lasts, by its holder's clock.
func (t *Task) TTL() time.Duration { return time.Duration(t.TTLMs) * time.Millisecond }

// OperationTimeout is the longest duration of one operation, by its holder's clock.
func (t *Task) OperationTimeout() time.Duration {
	return time.Duration(t.OperationTimeoutMs) * time.Millisecond
}

// Interval is the time from the start of one operation to the start of the next.
func (t *Task) Interval() time.Duration { return time.Duration(t.IntervalMs) * time.Millisecond }

// ProgressTimeout is how long a holder may go without completing an operation.
func (t *Task) ProgressTimeout() time.Duration {
	return time.Duration(t.ProgressTimeoutMs) * time.Millisecond
}

// MaxPause is the longest process pause that the lease allows for; 0: no bound is needed.
func (t *Task) MaxPause() time.Duration { return time.Duration(t.MaxPauseMs) * time.Millisecond }

// Window is the period that one report covers.
func (t *Task) Window() time.Duration { return time.Duration(t.WindowS) * time.Second }

// ShardOf returns the shard that a target belongs to.
func (t *Task) ShardOf(target string) int { return int(xxhash.Sum64String(target) % uint64(t.Shards)) }

// unguarded reports whether operations act on a resource that cannot check a fencing token.
func (t *Task) unguarded() bool { return t.Kind == EndpointProbe }

// validate fills in defaults and returns an error that names the first invalid field.
func (t *Task) validate(quotaConfig *quota.Config) error {
	switch {
	case t.Name == "" || len(t.Name) > quota.MaxNameBytes:
		return fmt.Errorf("name: wanted 1 to %d bytes", quota.MaxNameBytes)
	case !slices.Contains(Kinds, t.Kind):
		return fmt.Errorf("kind: %q is none of watch, account, drill", t.Kind)
	}
	if err := t.setDefaults(); err != nil {
		return err
	}
	if err := t.validateFields(); err != nil || quotaConfig == nil {
		return err
	}
	switch {
	case quotaConfig.MaxOnOtherClock(3*quotaConfig.RenewInterval())+t.OperationTimeout() > t.TTL():
		return fmt.Errorf("lease_ms: an act of %d ms after three renewals of %d ms does not fit in %d ms with clocks %v ppm off", t.OperationTimeoutMs, quotaConfig.RenewIntervalMs, t.TTLMs, quotaConfig.ClockPPM)
	case quotaConfig.MaxOnOtherClock(t.TTL()+t.MaxPause()) > quotaConfig.SessionTTL():
		return fmt.Errorf("lease_ms: with pause_ms and the clocks' bound longer than a seat of %d s", quotaConfig.SessionTTLS)
	}
	return nil
}

// setDefaults fills in unset fields, and returns an error that names the first duration out of range.
func (t *Task) setDefaults() error {
	for _, x := range []struct {
		field                         string
		value                         *int64
		defaultValue, lowest, highest int64
	}{{"lease_ms", &t.TTLMs, 6000, 100, 600_000}, {"act_ms", &t.OperationTimeoutMs, 1000, 1, 600_000}, {"every_ms", &t.IntervalMs, 1000, 10, 3_600_000},
		{"progress_ms", &t.ProgressTimeoutMs, 0, 0, 24 * 3_600_000}, {"pause_ms", &t.MaxPauseMs, 0, 0, 600_000}, {"window_s", &t.WindowS, 60, 1, 86400}} {
		if *x.value == 0 {
			*x.value = x.defaultValue
		}
		if *x.value < x.lowest || *x.value > x.highest {
			return fmt.Errorf("%s: %d is not from %d to %d", x.field, *x.value, x.lowest, x.highest)
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
	if t.ProgressTimeoutMs == 0 {
		t.ProgressTimeoutMs = 2 * t.minProgressTimeoutMs()
	}
	return nil
}

// minProgressTimeoutMs is the shortest time in which a working holder is certain to complete an
// operation.
func (t *Task) minProgressTimeoutMs() int64 {
	return t.TTLMs + t.IntervalMs + t.OperationTimeoutMs
}

// validateFields checks the fields of a task that do not depend on the quota config.
func (t *Task) validateFields() error {
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
	case t.ProgressTimeoutMs < t.minProgressTimeoutMs():
		return fmt.Errorf("progress_ms: %d is shorter than a lease, an act and the time to the next, %d", t.ProgressTimeoutMs, t.minProgressTimeoutMs())
	}
	return nil
}
