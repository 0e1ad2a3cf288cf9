package quota

import (
	"slices"
	"time"
)

// Resource is what a budget limits.
type Resource string

// Resources that a budget can limit.
const (
	ColdWork    Resource = "cold"       // units sent to targets that started recently
	Retries     Resource = "repeat"     // attempts after the first
	Connections Resource = "connection" // open connections to targets
	AllWork     Resource = "work"       // units sent
)

// Resources lists all resources.
var Resources = []Resource{ColdWork, Retries, Connections, AllWork}

// Scope is the set of keys that a budget has separate limits for.
type Scope string

// Scopes of budgets.
const (
	PerFleet  Scope = "fleet"
	PerTarget Scope = "target"
	PerPlan   Scope = "plan"
	PerClass  Scope = "class"
)

// MaxTransit is the longest time for which a permit is valid, from the decision to send until the first
// byte is sent.
const MaxTransit = 300 * time.Millisecond

// Bounds on the sizes of lists, maps and names.
const (
	MaxBudgets   = 16
	MaxSessions  = 16384 // members with a session
	MaxKeys      = 1024  // limits that one member tracks
	MaxNameBytes = 128   // length of a name in bytes
)

// Budget is one fleet-wide budget, as an operator configures it. It has one limit for each key of its
// scope.
type Budget struct {
	Name         string   `toml:"name" json:"name"`
	Resource     Resource `toml:"use" json:"use"`
	Scope        Scope    `toml:"per" json:"per"`
	Only         []string `toml:"only" json:"only,omitempty"`               // targets, plans or classes that it applies to; empty: all
	Kind         string   `toml:"kind" json:"kind"`                         // "rate", or "stock" for a concurrency limit
	Capacity     float64  `toml:"whole" json:"whole"`                       // units a second, or units in use at once
	Burst        float64  `toml:"burst" json:"burst,omitempty"`             // of a rate: units allowed beyond it at once
	FloorRate    float64  `toml:"least" json:"least,omitempty"`             // guaranteed to each session without an allocation
	FloorBurst   float64  `toml:"least_burst" json:"least_burst,omitempty"` // burst of the floor
	MaxPerMember float64  `toml:"most" json:"most,omitempty"`               // 0: no bound
	LingerMs     int64    `toml:"linger_ms" json:"linger_ms,omitempty"`     // of a stock: how long units of a dead member stay in use
}

// IsConcurrencyLimit reports whether the budget limits what is in use at once, rather than a rate.
func (b *Budget) IsConcurrencyLimit() bool { return b.Kind == "stock" }

// Linger is how long units of a concurrency limit may stay in use after the allocation has expired.
func (b *Budget) Linger() time.Duration { return time.Duration(b.LingerMs) * time.Millisecond }

// Covers reports whether the budget limits the reservation.
func (b *Budget) Covers(r Reservation) bool {
	return b.Resource == r.Resource && (len(b.Only) == 0 || slices.Contains(b.Only, b.KeyOf(r)))
}

// KeyOf returns the key of the budget's limit that the reservation counts against: a target, plan or
// class, or empty for the fleet.
func (b *Budget) KeyOf(r Reservation) string {
	switch b.Scope {
	case PerTarget:
		return r.Target
	case PerPlan:
		return r.Plan
	case PerClass:
		return r.Class
	}
	return ""
}

// Reservation is one use of a limited resource.
type Reservation struct {
	Resource            Resource
	Target, Plan, Class string
	Units               float64
}

// Amount is a rate with a burst, or for a concurrency limit a number of units.
type Amount struct {
	Rate  float64 `json:"rate"` // units a second, or units in use
	Burst float64 `json:"burst,omitempty"`
}

// Floor returns what each session may use without an allocation.
func (b *Budget) Floor() Amount { return Amount{b.FloorRate, b.FloorBurst} }

// Key names one limit: a budget and, if it is not per fleet, the target, plan or class.
type Key struct {
	Budget string `json:"budget"`
	Key    string `json:"key,omitempty"`
}
