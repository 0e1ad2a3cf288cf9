// Package quota has the terms that members, givers and agents share: budgets, members, renewals and answers, and the checks of
// what an operator sets. It does no I/O. docs/fleet-budgets.md has the design and the argument for its safety.
package quota

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Resource is what a budget is for.
type Resource string

const (
	ColdWork    Resource = "cold"       // units sent to a target that has just started
	Retries     Resource = "repeat"     // attempts after the first
	Connections Resource = "connection" // connections held at targets
	AllWork     Resource = "work"       // units sent
)

// Resources is all of them.
var Resources = []Resource{ColdWork, Retries, Connections, AllWork}

// Scope is what a budget has a whole of its own for.
type Scope string

const (
	PerFleet  Scope = "fleet"
	PerTarget Scope = "target"
	PerPlan   Scope = "plan"
	PerClass  Scope = "class"
)

// MaxTransit is how long a permit is good at most: from the decision to the first byte.
const MaxTransit = 300 * time.Millisecond

// Bounds of what is keyed by something.
const (
	MaxBudgets   = 16
	MaxSessions  = 16384
	MaxKeys      = 1024 // of one member
	MaxNameBytes = 128  // bytes
)

// Budget is one whole, as an operator sets it.
type Budget struct {
	Name         string   `toml:"name" json:"name"`
	Resource     Resource `toml:"use" json:"use"`
	Scope        Scope    `toml:"per" json:"per"`
	Only         []string `toml:"only" json:"only,omitempty"`               // the targets, plans or classes that it is kept for; empty: all
	Kind         string   `toml:"kind" json:"kind"`                         // rate or stock
	Capacity     float64  `toml:"whole" json:"whole"`                       // units a second, or so many at once
	Burst        float64  `toml:"burst" json:"burst,omitempty"`             // of a rate: units beyond it
	FloorRate    float64  `toml:"least" json:"least,omitempty"`             // each seat's floor
	FloorBurst   float64  `toml:"least_burst" json:"least_burst,omitempty"` // and its burst
	MaxPerMember float64  `toml:"most" json:"most,omitempty"`               // for one member; 0: any
	LingerMs     int64    `toml:"linger_ms" json:"linger_ms,omitempty"`     // of a stock: what a dead member has out lasts so long
}

// IsConcurrencyLimit tells whether it is so many at once.
func (b *Budget) IsConcurrencyLimit() bool { return b.Kind == "stock" }

// Linger is how long past its end what was taken under a part may last.
func (b *Budget) Linger() time.Duration { return time.Duration(b.LingerMs) * time.Millisecond }

// Covers tells whether a draw is from it.
func (b *Budget) Covers(d Reservation) bool {
	return b.Resource == d.Resource && (len(b.Only) == 0 || slices.Contains(b.Only, b.KeyOf(d)))
}

// KeyOf is which of the budget's wholes a draw is from.
func (b *Budget) KeyOf(d Reservation) string {
	switch b.Scope {
	case PerTarget:
		return d.Target
	case PerPlan:
		return d.Plan
	case PerClass:
		return d.Class
	}
	return ""
}

// Reservation is one use of something that is budgeted.
type Reservation struct {
	Resource            Resource
	Target, Plan, Class string
	Units               float64
}

// Config is all that an operator sets, replicated as one.
type Config struct {
	Version         uint64   `toml:"-" json:"version"`
	MaxSessions     int      `toml:"seats" json:"seats"`
	RenewIntervalMs int64    `toml:"renew_ms" json:"renew_ms"`
	AllocationTTLMs int64    `toml:"part_ms" json:"part_ms"`
	SessionTTLS     int64    `toml:"seat_s" json:"seat_s"`
	ClockPPM        float64  `toml:"clock_ppm" json:"clock_ppm"` // how far a clock's rate is from true time, at most
	Budgets         []Budget `toml:"budget" json:"budgets"`
}

// ValidateNames names the first plan or class that a budget is kept for and that an instance does not know.
func (d *Config) ValidateNames(plans, classes map[string]bool) error {
	for i, b := range d.Budgets {
		known := map[Scope]map[string]bool{PerPlan: plans, PerClass: classes}[b.Scope]
		for _, name := range b.Only {
			if known != nil && !known[name] {
				return fmt.Errorf("budget[%d].only: unknown %s %q", i, b.Scope, name)
			}
		}
	}
	return nil
}

func (d *Config) drift() float64 { return d.ClockPPM / 1e6 }

// AllocationTTL is how long a part lasts by its holder's clock.
func (d *Config) AllocationTTL() time.Duration {
	return time.Duration(d.AllocationTTLMs) * time.Millisecond
}

// SessionTTL is how long a seat lasts after the last renewal, by its member's clock.
func (d *Config) SessionTTL() time.Duration { return time.Duration(d.SessionTTLS) * time.Second }

// RenewInterval is how often a member renews.
func (d *Config) RenewInterval() time.Duration {
	return time.Duration(d.RenewIntervalMs) * time.Millisecond
}

// MaxOnOtherClock is the longest that a time by one clock within the bound may take by another.
func (d *Config) MaxOnOtherClock(t time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(t) * (1 + d.drift()) / (1 - d.drift())))
}

// Budget returns the budget of that name, or nil.
func (d *Config) Budget(name string) *Budget {
	for i := range d.Budgets {
		if d.Budgets[i].Name == name {
			return &d.Budgets[i]
		}
	}
	return nil
}

// Amount is a part, or what there is of one: of a rate units a second and a burst, of a stock so many.
type Amount struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
}

// EffectiveLimit is what may be in use of a budget, in a holder's own terms: the clocks' bound and the time that permits are good for
// are taken off.
func (d *Config) EffectiveLimit(b *Budget) Amount {
	if b.IsConcurrencyLimit() {
		return Amount{Rate: math.Floor(b.Capacity)}
	}
	return Amount{b.Capacity / (1 + d.drift()), b.Burst - b.Capacity*MaxTransit.Seconds()}
}

// Floor is what each seat has.
func (b *Budget) Floor() Amount { return Amount{b.FloorRate, b.FloorBurst} }

// SharedPool is what is divided: the total less all floors.
func (d *Config) SharedPool(b *Budget) Amount {
	t, n := d.EffectiveLimit(b), float64(d.MaxSessions)
	return Amount{max(0, t.Rate-n*b.FloorRate), max(0, t.Burst-n*b.FloorBurst)}
}

// Validate names the first field that can't be served.
func (d *Config) Validate() error {
	for _, f := range []struct {
		field  string
		value  *int64
		usual  int64
		lo, hi int64
	}{{"renew_ms", &d.RenewIntervalMs, 1000, 20, 60_000}, {"part_ms", &d.AllocationTTLMs, 4000, 100, 600_000}, {"seat_s", &d.SessionTTLS, 3600, 1, 30 * 86400}} {
		if *f.value == 0 {
			*f.value = f.usual
		}
		if *f.value < f.lo || *f.value > f.hi {
			return fmt.Errorf("%s: %d is not from %d to %d", f.field, *f.value, f.lo, f.hi)
		}
	}
	if d.ClockPPM == 0 {
		d.ClockPPM = 1000
	}
	switch {
	case d.MaxSessions < 1 || d.MaxSessions > MaxSessions:
		return fmt.Errorf("seats: %d is not from 1 to %d", d.MaxSessions, MaxSessions)
	case !(d.ClockPPM > 0 && d.ClockPPM <= 100_000):
		return fmt.Errorf("clock_ppm: %v is not over 0 and up to 100000", d.ClockPPM)
	case float64(d.RenewIntervalMs)*3*(1+d.drift())/(1-d.drift()) > float64(d.AllocationTTLMs):
		return fmt.Errorf("renew_ms: three renewals of %d ms do not fit in a part of %d ms with clocks %v ppm off", d.RenewIntervalMs, d.AllocationTTLMs, d.ClockPPM)
	case d.SessionTTL() < d.AllocationTTL():
		return fmt.Errorf("seat_s: %d s is shorter than a part", d.SessionTTLS)
	case len(d.Budgets) > MaxBudgets:
		return fmt.Errorf("budget: %d are too many, %d at most", len(d.Budgets), MaxBudgets)
	}
	seen := map[string]bool{}
	for i := range d.Budgets {
		b := &d.Budgets[i]
		if err := d.validateBudget(b); err != nil {
			return fmt.Errorf("budget[%d].%w", i, err)
		}
		if seen[b.Name] {
			return fmt.Errorf("budget[%d].name: %q is there twice", i, b.Name)
		}
		seen[b.Name] = true
	}
	return nil
}

func (d *Config) validateBudget(b *Budget) error {
	if b.Scope == "" {
		b.Scope = PerFleet
	}
	if b.Kind == "" {
		b.Kind = "rate"
	}
	number := func(field string, v float64) error {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%s: %v is not a number from 0 on", field, v)
		}
		return nil
	}
	for _, f := range []struct {
		field string
		value float64
	}{{"whole", b.Capacity}, {"burst", b.Burst}, {"least", b.FloorRate}, {"least_burst", b.FloorBurst}, {"most", b.MaxPerMember}, {"linger_ms", float64(b.LingerMs)}} {
		if err := number(f.field, f.value); err != nil {
			return err
		}
	}
	total, n := d.EffectiveLimit(b), float64(d.MaxSessions)
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
	case b.IsConcurrencyLimit() && (b.Burst != 0 || b.FloorBurst != 0):
		return fmt.Errorf("burst: a stock has none")
	case b.IsConcurrencyLimit() && (b.FloorRate != math.Floor(b.FloorRate) || b.Capacity != math.Floor(b.Capacity)):
		return fmt.Errorf("whole: a stock and its least are whole numbers")
	case b.IsConcurrencyLimit() && b.LingerMs < 2*d.RenewIntervalMs:
		return fmt.Errorf("linger_ms: %d: a stock needs how long what a dead member has out lasts at its target, two renewals at least", b.LingerMs)
	case b.IsConcurrencyLimit() && d.AllocationTTL()+b.Linger() > d.SessionTTL():
		return fmt.Errorf("linger_ms: %d and a part are longer than a seat", b.LingerMs)
	case !b.IsConcurrencyLimit() && b.LingerMs != 0:
		return fmt.Errorf("linger_ms: a rate has none")
	case !b.IsConcurrencyLimit() && total.Burst < 1:
		return fmt.Errorf("burst: %v holds no unit beyond the %v that permits may take along", b.Burst, b.Capacity*MaxTransit.Seconds())
	case n*b.FloorRate > total.Rate:
		return fmt.Errorf("least: %d floors of %v sum to %v, more than the whole less the clocks' bound, %.4g", d.MaxSessions, b.FloorRate, n*b.FloorRate, total.Rate)
	case !b.IsConcurrencyLimit() && n*b.FloorBurst > total.Burst:
		return fmt.Errorf("least_burst: %d of %v sum to more than the burst, %.4g", d.MaxSessions, b.FloorBurst, total.Burst)
	case !b.IsConcurrencyLimit() && b.FloorRate > 0 && b.FloorBurst < 1:
		return fmt.Errorf("least_burst: %v holds no unit, so that the floor could never be used", b.FloorBurst)
	}
	return nil
}

// ValidateChange tells whether the set may take the place of before while there are members: whoever is cut off goes on by the old
// one, so floors, seats and times stay, and no budget goes.
func (d *Config) ValidateChange(before *Config) error {
	switch {
	case d.MaxSessions != before.MaxSessions:
		return fmt.Errorf("seats: can't be changed while there are members")
	case d.AllocationTTLMs != before.AllocationTTLMs:
		return fmt.Errorf("part_ms: can't be changed while there are members")
	case d.SessionTTLS != before.SessionTTLS:
		return fmt.Errorf("seat_s: can't be changed while there are members")
	case d.ClockPPM != before.ClockPPM:
		return fmt.Errorf("clock_ppm: can't be changed while there are members")
	}
	for _, old := range before.Budgets {
		b := d.Budget(old.Name)
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

// Member is one process that has a seat.
type Member struct {
	ID          string  `json:"id"`                 // drawn by the process at its start
	Name        string  `json:"name"`               // the instance's
	Addr        string  `json:"addr"`               // where it takes clients
	Weight      float64 `json:"weight"`             // in divisions
	Incarnation uint64  `json:"incarnation"`        // the log's index of its join: a later one is greater
	Accounts    string  `json:"accounts,omitempty"` // where it tells its latency accounts; empty: nowhere
}

// Validate names the first field of a join that can't be served.
func (m *Member) Validate() error {
	switch {
	case m.ID == "" || len(m.ID) > MaxNameBytes:
		return fmt.Errorf("id: wanted 1 to %d bytes", MaxNameBytes)
	case m.Name == "" || len(m.Name) > MaxNameBytes:
		return fmt.Errorf("name: wanted 1 to %d bytes", MaxNameBytes)
	case len(m.Addr) > MaxNameBytes:
		return fmt.Errorf("addr: %d bytes at most", MaxNameBytes)
	case len(m.Accounts) > MaxNameBytes:
		return fmt.Errorf("accounts: %d bytes at most", MaxNameBytes)
	case !(m.Weight > 0 && m.Weight <= 1000):
		return fmt.Errorf("weight: %v is not over 0 and up to 1000", m.Weight)
	}
	return nil
}

// DiffMembers tells who is among the members now and was not before, and who was and is not. Both are in order of incarnation, as the
// register has them, so that a join among ten thousand costs a look at each and no more.
func DiffMembers(before, now []Member) (joined, left []Member) {
	i, j := 0, 0
	for i < len(before) || j < len(now) {
		switch {
		case i < len(before) && j < len(now) && before[i].Incarnation == now[j].Incarnation && before[i].ID == now[j].ID:
			i, j = i+1, j+1
		case j == len(now) || i < len(before) && before[i].Incarnation <= now[j].Incarnation:
			left = append(left, before[i])
			i++
		default:
			joined = append(joined, now[j])
			j++
		}
	}
	return joined, left
}

// Key names one whole.
type Key struct {
	Budget string `json:"budget"`
	Key    string `json:"key,omitempty"`
}

// UsageReport is what a member says of one whole.
type UsageReport struct {
	Key
	Held  Amount  `json:"held"`             // beyond the floor, as the renewal was begun
	Want  float64 `json:"want"`             // in all
	InUse float64 `json:"in_use,omitempty"` // of a stock: out now
	Used  float64 `json:"used,omitempty"`   // of a rate: units a second since the last renewal
}

// RenewalRequest is all that a member says at a time.
type RenewalRequest struct {
	ID      string        `json:"id"`
	Seq     uint64        `json:"seq"`     // grows with each
	Version uint64        `json:"version"` // of the set of budgets it goes by
	Reports []UsageReport `json:"reports,omitempty"`
}

// Allocation is a part, until part_ms after its renewal was begun.
type Allocation struct {
	Key
	Amount
	ExtendsOnly bool `json:"extends,omitempty"` // only for a holder whose part has not ended when it hears
}

// RenewalResponse is what a renewal brings.
type RenewalResponse struct {
	ID          string       `json:"id"`
	Seq         uint64       `json:"seq"`
	Allocations []Allocation `json:"grants,omitempty"`
	Config      *Config      `json:"doc,omitempty"` // where the member goes by another
}

// RejectionError says why a member has no seat.
type RejectionError string

const (
	ErrNoSession     RejectionError = "NO_SEAT"
	ErrNameTaken     RejectionError = "NAME_TAKEN"
	ErrUnknownMember RejectionError = "UNKNOWN_MEMBER"
	ErrStaleRenewal  RejectionError = "OLD_RENEWAL"
	ErrNoBudgets     RejectionError = "NO_BUDGETS"
)

func (r RejectionError) Error() string { return string(r) }
