package quota

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Config is the set of all budgets and the times of sessions and allocations, replicated as a unit.
type Config struct {
	Version         uint64   `toml:"-" json:"version"`
	MaxSessions     int      `toml:"seats" json:"seats"`         // maximum number of sessions; their floors are reserved
	RenewIntervalMs int64    `toml:"renew_ms" json:"renew_ms"`   // how often a member renews
	AllocationTTLMs int64    `toml:"part_ms" json:"part_ms"`     // how long an allocation is valid after its renewal was started
	SessionTTLS     int64    `toml:"seat_s" json:"seat_s"`       // how long a session lasts after the last renewal
	ClockPPM        float64  `toml:"clock_ppm" json:"clock_ppm"` // largest deviation of a clock's rate from real time
	Budgets         []Budget `toml:"budget" json:"budgets"`
}

// ValidateNames returns an error that names the first plan or class of a budget that is not in an
// instance's settings.
func (c *Config) ValidateNames(plans, classes map[string]bool) error {
	for i, b := range c.Budgets {
		known := map[Scope]map[string]bool{PerPlan: plans, PerClass: classes}[b.Scope]
		for _, name := range b.Only {
			if known != nil && !known[name] {
				return fmt.Errorf("budget[%d].only: unknown %s %q", i, b.Scope, name)
			}
		}
	}
	return nil
}

// drift is the largest relative deviation of a clock's rate.
func (c *Config) drift() float64 { return c.ClockPPM / 1e6 }

// AllocationTTL is how long an allocation lasts, by its holder's clock.
func (c *Config) AllocationTTL() time.Duration {
	return time.Duration(c.AllocationTTLMs) * time.Millisecond
}

// SessionTTL is how long a session lasts after the last renewal, by its member's clock.
func (c *Config) SessionTTL() time.Duration { return time.Duration(c.SessionTTLS) * time.Second }

// RenewInterval is the time between two renewals.
func (c *Config) RenewInterval() time.Duration {
	return time.Duration(c.RenewIntervalMs) * time.Millisecond
}

// MaxOnOtherClock returns the longest time that a clock within the drift bound may measure while
// another one measures t.
func (c *Config) MaxOnOtherClock(t time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(t) * (1 + c.drift()) / (1 - c.drift())))
}

// Budget returns the budget of that name, or nil.
func (c *Config) Budget(name string) *Budget {
	for i := range c.Budgets {
		if c.Budgets[i].Name == name {
			return &c.Budgets[i]
		}
	}
	return nil
}

// EffectiveLimit returns the limit for all members together, measured by their own clocks, that keeps
// the budget in real time: the capacity less the clock drift and what valid permits may still send.
func (c *Config) EffectiveLimit(b *Budget) Amount {
	if b.IsConcurrencyLimit() {
		return Amount{Rate: math.Floor(b.Capacity)}
	}
	return Amount{b.Capacity / (1 + c.drift()), b.Burst - b.Capacity*MaxTransit.Seconds()}
}

// SharedPool returns the part that is allocated by demand: the effective limit less the floors of all
// sessions.
func (c *Config) SharedPool(b *Budget) Amount {
	limit, sessions := c.EffectiveLimit(b), float64(c.MaxSessions)
	return Amount{max(0, limit.Rate-sessions*b.FloorRate), max(0, limit.Burst-sessions*b.FloorBurst)}
}

// Validate fills in defaults and returns an error that names the first invalid field.
func (c *Config) Validate() error {
	for _, f := range []struct {
		field           string
		value           *int64
		defaultValue    int64
		lowest, highest int64
	}{{"renew_ms", &c.RenewIntervalMs, 1000, 20, 60_000}, {"part_ms", &c.AllocationTTLMs, 4000, 100, 600_000}, {"seat_s", &c.SessionTTLS, 3600, 1, 30 * 86400}} {
		if *f.value == 0 {
			*f.value = f.defaultValue
		}
		if *f.value < f.lowest || *f.value > f.highest {
			return fmt.Errorf("%s: %d is not from %d to %d", f.field, *f.value, f.lowest, f.highest)
		}
	}
	if c.ClockPPM == 0 {
		c.ClockPPM = 1000
	}
	switch {
	case c.MaxSessions < 1 || c.MaxSessions > MaxSessions:
		return fmt.Errorf("seats: %d is not from 1 to %d", c.MaxSessions, MaxSessions)
	case !(c.ClockPPM > 0 && c.ClockPPM <= 100_000):
		return fmt.Errorf("clock_ppm: %v is not over 0 and up to 100000", c.ClockPPM)
	case float64(c.RenewIntervalMs)*3*(1+c.drift())/(1-c.drift()) > float64(c.AllocationTTLMs):
		return fmt.Errorf("renew_ms: three renewals of %d ms do not fit in a part of %d ms with clocks %v ppm off", c.RenewIntervalMs, c.AllocationTTLMs, c.ClockPPM)
	case c.SessionTTL() < c.AllocationTTL():
		return fmt.Errorf("seat_s: %d s is shorter than a part", c.SessionTTLS)
	case len(c.Budgets) > MaxBudgets:
		return fmt.Errorf("budget: %d are too many, %d at most", len(c.Budgets), MaxBudgets)
	}
	seen := map[string]bool{}
	for i := range c.Budgets {
		b := &c.Budgets[i]
		if err := c.validateBudget(b); err != nil {
			return fmt.Errorf("budget[%d].%w", i, err)
		}
		if seen[b.Name] {
			return fmt.Errorf("budget[%d].name: %q is there twice", i, b.Name)
		}
		seen[b.Name] = true
	}
	return nil
}

// validateBudget fills in defaults of a budget and returns an error that names its first invalid
// field.
func (c *Config) validateBudget(b *Budget) error {
	if b.Scope == "" {
		b.Scope = PerFleet
	}
	if b.Kind == "" {
		b.Kind = "rate"
	}
	if err := b.validateNumbers(); err != nil {
		return err
	}
	if err := b.validateFields(); err != nil {
		return err
	}
	return c.validateSizes(b)
}

// validateNumbers returns an error that names the first number that is negative or not finite.
func (b *Budget) validateNumbers() error {
	check := func(field string, v float64) error {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%s: %v is not a number from 0 on", field, v)
		}
		return nil
	}
	for _, f := range []struct {
		field string
		value float64
	}{{"whole", b.Capacity}, {"burst", b.Burst}, {"least", b.FloorRate}, {"least_burst", b.FloorBurst}, {"most", b.MaxPerMember}, {"linger_ms", float64(b.LingerMs)}} {
		if err := check(f.field, f.value); err != nil {
			return err
		}
	}
	return nil
}

// validateFields checks the fields of a budget that do not depend on the rest of the config.
func (b *Budget) validateFields() error {
	switch {
	case b.Name == "" || len(b.Name) > MaxNameBytes:
		return fmt.Errorf("name: wanted 1 to %d bytes", MaxNameBytes)
	case !slices.Contains(Resources, b.Resource):
		return fmt.Errorf("use: %q is none of cold, repeat, connection, work", b.Resource)
	case !slices.Contains([]Scope{PerFleet, PerTarget, PerPlan, PerClass}, b.Scope):
		return fmt.Errorf("per: %q is none of fleet, target, plan, class", b.Scope)
	case b.Kind != "rate" && b.Kind != "stock":
		return fmt.Errorf("kind: %q is neither rate nor stock", b.Kind)
	case b.IsConcurrencyLimit() != (b.Resource == Connections):
		return fmt.Errorf("kind: connections are a stock, all else is a rate")
	case b.Resource == Connections && b.Scope != PerTarget:
		return fmt.Errorf("per: connections are held at a target")
	case len(b.Only) > 0 && b.Scope == PerFleet:
		return fmt.Errorf("only: the whole fleet's is for all")
	case b.Capacity == 0:
		return fmt.Errorf("whole: must be over 0")
	case b.MaxPerMember > 0 && b.MaxPerMember < b.FloorRate:
		return fmt.Errorf("most: %v is under least", b.MaxPerMember)
	}
	return nil
}

// validateSizes checks a budget's sizes against each other and against the number of sessions, the
// renewal times and the clock drift.
func (c *Config) validateSizes(b *Budget) error {
	limit, sessions := c.EffectiveLimit(b), float64(c.MaxSessions)
	switch {
	case b.IsConcurrencyLimit() && (b.Burst != 0 || b.FloorBurst != 0):
		return fmt.Errorf("burst: a stock has none")
	case b.IsConcurrencyLimit() && (b.FloorRate != math.Floor(b.FloorRate) || b.Capacity != math.Floor(b.Capacity)):
		return fmt.Errorf("whole: a stock and its least are whole numbers")
	case b.IsConcurrencyLimit() && b.LingerMs < 2*c.RenewIntervalMs:
		return fmt.Errorf("linger_ms: %d: a stock needs how long what a dead member has out lasts at its target, two renewals at least", b.LingerMs)
	case b.IsConcurrencyLimit() && c.AllocationTTL()+b.Linger() > c.SessionTTL():
		return fmt.Errorf("linger_ms: %d and a part are longer than a seat", b.LingerMs)
	case !b.IsConcurrencyLimit() && b.LingerMs != 0:
		return fmt.Errorf("linger_ms: a rate has none")
	case !b.IsConcurrencyLimit() && limit.Burst < 1:
		return fmt.Errorf("burst: %v holds no unit beyond the %v that permits may take along", b.Burst, b.Capacity*MaxTransit.Seconds())
	case sessions*b.FloorRate > limit.Rate:
		return fmt.Errorf("least: %d floors of %v sum to %v, more than the whole less the clocks' bound, %.4g", c.MaxSessions, b.FloorRate, sessions*b.FloorRate, limit.Rate)
	case !b.IsConcurrencyLimit() && sessions*b.FloorBurst > limit.Burst:
		return fmt.Errorf("least_burst: %d of %v sum to more than the burst, %.4g", c.MaxSessions, b.FloorBurst, limit.Burst)
	case !b.IsConcurrencyLimit() && b.FloorRate > 0 && b.FloorBurst < 1:
		return fmt.Errorf("least_burst: %v holds no unit, so that the floor could never be used", b.FloorBurst)
	}
	return nil
}

// ValidateChange returns an error if the config may not replace previous while there are members. A
// member that cannot reach the agents keeps using the previous one, so floors, sessions and times must
// stay, and no budget may be removed.
func (c *Config) ValidateChange(previous *Config) error {
	switch {
	case c.MaxSessions != previous.MaxSessions:
		return fmt.Errorf("seats: can't be changed while there are members")
	case c.AllocationTTLMs != previous.AllocationTTLMs:
		return fmt.Errorf("part_ms: can't be changed while there are members")
	case c.SessionTTLS != previous.SessionTTLS:
		return fmt.Errorf("seat_s: can't be changed while there are members")
	case c.ClockPPM != previous.ClockPPM:
		return fmt.Errorf("clock_ppm: can't be changed while there are members")
	}
	for _, old := range previous.Budgets {
		b := c.Budget(old.Name)
		if b == nil {
			return fmt.Errorf("budget: %q can't be taken away while there are members", old.Name)
		}
		for _, f := range []struct {
			field string
			same  bool
		}{{"use", b.Resource == old.Resource}, {"only", slices.Equal(b.Only, old.Only)}, {"per", b.Scope == old.Scope}, {"kind", b.Kind == old.Kind}, {"least", b.FloorRate == old.FloorRate},
			{"least_burst", b.FloorBurst == old.FloorBurst}, {"linger_ms", b.LingerMs == old.LingerMs}} {
			if !f.same {
				return fmt.Errorf("budget %q: %s: can't be changed while there are members", b.Name, f.field)
			}
		}
	}
	return nil
}
