// Package model simulates a fleet in virtual time: the real scheduler, quota clients, lessees, allocators and lessors, with
// simplified clients, targets, agents and a network around them (docs/model.md). A run is determined by its spec and seed:
// nothing reads a clock, and each actor has a random stream of its own, so that removing one fault changes no other draw.
package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Spec describes a run, except for its seed. Durations are in the unit that the field's name ends in.
type Spec struct {
	Name             string        `toml:"name"`
	LengthS          float64       `toml:"length_s"`
	StepS            float64       `toml:"step_s"`     // of the series; default 1
	MaxMillionEvents float64       `toml:"max_events"` // in millions; a run that needs more is stopped; default 500
	Fleet            Fleet         `toml:"fleet"`
	Load             Load          `toml:"load"`
	Targets          Targets       `toml:"targets"`
	Net              Net           `toml:"net"`
	Agents           AgentSpec     `toml:"agents"`
	Budgets          *quota.Config `toml:"budgets"` // nil: each instance keeps to its even share of the settings' limits
	Tasks            *lease.Config `toml:"tasks"`   // nil: no leases
	Faults           []Fault       `toml:"fault"`
	Random           *Random       `toml:"random"`
}

// Fleet describes the instances.
type Fleet struct {
	Instances int     `toml:"instances"`
	Zones     int     `toml:"zones"` // default 1
	ClockPPM  float64 `toml:"clock_ppm"`
	RestartS  float64 `toml:"restart_s"` // from a start to the first request taken
	// Limits that are divided evenly between the instances where there is no budget.
	ColdUnits      float64 `toml:"cold_units"`   // that a cold target tolerates within fall_s, from all instances
	RetryRatio     float64 `toml:"retry_share"`  // retries per first attempt, of each instance
	RetryFree      float64 `toml:"retry_free"`   // retries in addition
	RetryWindowS   float64 `toml:"retry_span_s"` // window of both
	MaxAttempts    int     `toml:"max_attempts"`
	PlantedMistake string  `toml:"planted"` // a mistake that the checks must find: early (leases are used after their end), greedy (allocations are)
}

// Load describes the clients' requests.
type Load struct {
	Rate               float64 `toml:"rate"`        // requests per second of all clients
	ShareSigma         float64 `toml:"uneven"`      // sigma of the lognormal distribution of the instances' shares; 0: equal shares
	LatencyObjectiveMs float64 `toml:"aim_ms"`      // a response within it is in time
	ClientTimeoutS     float64 `toml:"patience_s"`  // the client gives up after it
	Units              float64 `toml:"units"`       // mean size; exponentially distributed
	FixedSize          bool    `toml:"alike"`       // all requests have the mean size
	MaxTries           int     `toml:"tries"`       // of a client, including the first
	RetryDelayMs       float64 `toml:"again_ms"`    // mean delay before the next try; at least the response's Retry-After if the client honours it
	HonorRetryAfter    bool    `toml:"heeds"`       // Retry-After
	Moves              bool    `toml:"moves"`       // a client whose instance is dead sends its next try to another
	SurgeAtS           float64 `toml:"surge_at_s"`  // begin of the surge
	SurgeForS          float64 `toml:"surge_for_s"` // its length
	SurgeFactor        float64 `toml:"surge"`       // by which the rate is multiplied
}

// Targets describes the storage targets, one for each shard.
type Targets struct {
	Count           int     `toml:"count"`
	UnitsPerS       float64 `toml:"units_per_s"` // throughput of a warm target
	Parallel        int     `toml:"parallel"`    // requests that a target processes concurrently
	Queue           int     `toml:"queue"`       // bound of waiting requests; further ones are rejected
	ColdShare       float64 `toml:"cold_share"`  // share of the throughput that a target has at its start
	WarmUpS         float64 `toml:"warm_s"`      // time until it is warm
	OverloadWindowS float64 `toml:"fall_s"`      // window over which work sent to a cold target is counted
	OverloadUnits   float64 `toml:"bears"`       // units within that window, at its start, that a cold target tolerates; more as it warms up
	OverloadPauseS  float64 `toml:"down_s"`      // an overloaded cold target stalls for so long
	StallMs         float64 `toml:"stall_ms"`    // length of random stalls, on average every stall_every_s
	StallEveryS     float64 `toml:"stall_every_s"`
}

// Net describes the network. The delay of a message is delay_ms plus an exponentially distributed part with the mean
// jitter_ms, so messages are reordered.
type Net struct {
	DelayMs  float64 `toml:"delay_ms"`
	JitterMs float64 `toml:"jitter_ms"`
	Loss     float64 `toml:"loss"` // share of the messages between instances and agents
}

// AgentSpec describes the agents.
type AgentSpec struct {
	Count     int     `toml:"count"`
	TimeoutMs float64 `toml:"timeout_ms"` // of elections
	DiskMs    float64 `toml:"disk_ms"`    // to write one log entry
	RenewUs   float64 `toml:"renew_us"`   // of the leader's processing time for a renewal
}

// Fault is a fault that begins at AtS and ends ForS later.
type Fault struct {
	AtS      float64 `toml:"at_s" json:"at_s"`
	ForS     float64 `toml:"for_s" json:"for_s"`
	Kind     string  `toml:"what" json:"what"`
	On       []int   `toml:"on" json:"on,omitempty"`       // numbers of instances, targets or agents
	Share    float64 `toml:"share" json:"share,omitempty"` // instead of on: a random share of them
	Zone     *int    `toml:"zone" json:"zone,omitempty"`   // instead of on: all in that zone
	Slowdown float64 `toml:"slow" json:"slow,omitempty"`   // times; of a target, or a network delay in s
	SpreadS  float64 `toml:"over_s" json:"over_s,omitempty"`
}

func (f Fault) String() string {
	on := fmt.Sprint(f.On)
	if f.Zone != nil {
		on = fmt.Sprint("zone ", *f.Zone)
	}
	return fmt.Sprintf("%.2fs %s %s for %.2fs", f.AtS, f.Kind, on, f.ForS)
}

// Random adds random faults of the kinds given (empty: all but zone-cut), about one every every_s.
type Random struct {
	EveryS  float64  `toml:"every_s"`
	Kinds   []string `toml:"kinds"`
	MaxForS float64  `toml:"most_s"` // longest duration of one
}

// faultKinds maps each kind of fault to what it affects.
var faultKinds = map[string]string{"kill": "instance", "pause": "instance", "cut": "instance", "deaf": "instance", "mute": "instance", "slow": "instance", "hang": "instance",
	"target-kill": "target", "target-stall": "target", "target-slow": "target", "target-bad": "target",
	"agent-kill": "agent", "agent-pause": "agent", "agent-alone": "agent", "zone-cut": "zone"}

// Check sets defaults and returns an error that names the first invalid field.
func (s *Spec) Check() error { //nolint:gocognit // to be split with its package, see docs/left.md
	setDefault := func(v *float64, x float64) {
		if *v == 0 {
			*v = x
		}
	}
	setDefault(&s.StepS, 1)
	setDefault(&s.MaxMillionEvents, 500)
	setDefault(&s.Fleet.RestartS, 0.5)
	setDefault(&s.Fleet.RetryRatio, 0.1)
	setDefault(&s.Fleet.RetryFree, 5)
	setDefault(&s.Fleet.RetryWindowS, 10)
	setDefault(&s.Load.LatencyObjectiveMs, 500)
	setDefault(&s.Load.ClientTimeoutS, 2)
	setDefault(&s.Load.Units, 1)
	setDefault(&s.Load.SurgeFactor, 1)
	setDefault(&s.Load.RetryDelayMs, 200)
	setDefault(&s.Targets.UnitsPerS, 200)
	setDefault(&s.Targets.ColdShare, 0.3)
	setDefault(&s.Targets.OverloadWindowS, 1)
	setDefault(&s.Targets.OverloadPauseS, 2)
	setDefault(&s.Net.DelayMs, 0.3)
	setDefault(&s.Agents.TimeoutMs, 1000)
	setDefault(&s.Agents.DiskMs, 3)
	setDefault(&s.Agents.RenewUs, 70)
	for _, n := range []struct {
		v *int
		x int
	}{{&s.Fleet.Zones, 1}, {&s.Fleet.MaxAttempts, 3}, {&s.Load.MaxTries, 1}, {&s.Targets.Parallel, 4}, {&s.Targets.Queue, 64}, {&s.Agents.Count, 3}} {
		if *n.v == 0 {
			*n.v = n.x
		}
	}
	for _, f := range []struct {
		field  string
		v      float64
		lo, hi float64
	}{{"length_s", s.LengthS, 0.001, 86400}, {"step_s", s.StepS, 0.01, 3600}, {"max_events", s.MaxMillionEvents, 0.001, 100_000}, {"fleet.instances", float64(s.Fleet.Instances), 1, 100_000},
		{"fleet.zones", float64(s.Fleet.Zones), 1, 64}, {"fleet.clock_ppm", s.Fleet.ClockPPM, 0, 100_000}, {"fleet.restart_s", s.Fleet.RestartS, 0, 3600},
		{"fleet.max_attempts", float64(s.Fleet.MaxAttempts), 1, 10}, {"load.rate", s.Load.Rate, 0, 1e6}, {"load.uneven", s.Load.ShareSigma, 0, 3}, {"load.aim_ms", s.Load.LatencyObjectiveMs, 1, 60_000},
		{"load.patience_s", s.Load.ClientTimeoutS, 0.001, 60}, {"load.units", s.Load.Units, 0.001, 1000}, {"load.tries", float64(s.Load.MaxTries), 1, 100}, {"load.again_ms", s.Load.RetryDelayMs, 0, 60_000},
		{"load.surge", s.Load.SurgeFactor, 0, 100}, {"targets.count", float64(s.Targets.Count), 1, 10_000}, {"targets.units_per_s", s.Targets.UnitsPerS, 0.001, 1e6},
		{"targets.cold_share", s.Targets.ColdShare, 0.001, 1}, {"targets.parallel", float64(s.Targets.Parallel), 1, 1000}, {"net.delay_ms", s.Net.DelayMs, 0.01, 10_000},
		{"net.jitter_ms", s.Net.JitterMs, 0, 10_000}, {"net.loss", s.Net.Loss, 0, 0.9}, {"agents.count", float64(s.Agents.Count), 1, 9}, {"agents.timeout_ms", s.Agents.TimeoutMs, 1, 600_000}} {
		if !(f.v >= f.lo && f.v <= f.hi) {
			return fmt.Errorf("%s: %v is not from %v to %v", f.field, f.v, f.lo, f.hi)
		}
	}
	if s.Budgets != nil {
		if err := s.Budgets.Validate(); err != nil {
			return fmt.Errorf("budgets.%w", err)
		}
		for i := range s.Budgets.Budgets {
			if s.Budgets.Budgets[i].IsConcurrencyLimit() {
				return fmt.Errorf("budgets.budget[%d].kind: connections are not modelled", i)
			}
		}
		if s.Fleet.ClockPPM > s.Budgets.ClockPPM {
			return fmt.Errorf("fleet.clock_ppm: %v is over the %v that the fleet allows", s.Fleet.ClockPPM, s.Budgets.ClockPPM)
		}
	}
	if s.Tasks != nil {
		if s.Budgets == nil {
			return fmt.Errorf("tasks: [budgets] is missing, which the members' sessions need")
		}
		if err := s.Tasks.Validate(s.Budgets); err != nil {
			return fmt.Errorf("tasks.%w", err)
		}
	}
	if !slices.Contains([]string{"", "early", "greedy"}, s.Fleet.PlantedMistake) {
		return fmt.Errorf("fleet.planted: %q is neither early nor greedy", s.Fleet.PlantedMistake)
	}
	for i := range s.Faults {
		if err := s.checkFault(&s.Faults[i]); err != nil {
			return fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	if r := s.Random; r != nil {
		if !(r.EveryS >= 0.001) {
			return fmt.Errorf("random.every_s: %v is not a time over 0", r.EveryS)
		}
		if r.MaxForS == 0 {
			r.MaxForS = 3.5
		}
		for i, k := range r.Kinds {
			if faultKinds[k] == "" || faultKinds[k] == "zone" {
				return fmt.Errorf("random.kinds[%d]: unknown kind %q", i, k)
			}
		}
	}
	return nil
}

func (s *Spec) count(of string) int {
	return map[string]int{"instance": s.Fleet.Instances, "target": s.Targets.Count, "agent": s.Agents.Count, "zone": s.Fleet.Zones}[of]
}

func (s *Spec) checkFault(f *Fault) error {
	of := faultKinds[f.Kind]
	switch {
	case of == "":
		return fmt.Errorf("what: unknown kind %q", f.Kind)
	case !(f.AtS >= 0 && f.AtS <= s.LengthS):
		return fmt.Errorf("at_s: %v is not within the run's %v s", f.AtS, s.LengthS)
	case !(f.ForS >= 0) || math.IsInf(f.ForS, 0):
		return fmt.Errorf("for_s: %v is not a time from 0 on", f.ForS)
	case f.Share < 0 || f.Share > 1:
		return fmt.Errorf("share: %v is not from 0 to 1", f.Share)
	case f.Zone != nil && (*f.Zone < 0 || *f.Zone >= s.Fleet.Zones):
		return fmt.Errorf("zone: there is no zone %d", *f.Zone)
	case f.Zone == nil && of == "zone":
		return fmt.Errorf("zone: missing")
	case f.Zone == nil && len(f.On) == 0 && f.Share == 0:
		return fmt.Errorf("on: one of on, share and zone is required")
	}
	for _, n := range f.On {
		if n < 0 || n >= s.count(of) {
			return fmt.Errorf("on: there is no %s %d", of, n)
		}
	}
	return nil
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
func milliseconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Millisecond))
}
