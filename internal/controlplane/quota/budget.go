// Package quota has the terms that members, givers and agents share: budgets, members, renewals and answers, and the checks of
// what an operator sets. It does no I/O. docs/fleet-budgets.md has the design and the argument for its safety.
package quota

import (
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

// Amount is a part, or what there is of one: of a rate units a second and a burst, of a stock so many.
type Amount struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
}

// Floor is what each seat has.
func (b *Budget) Floor() Amount { return Amount{b.FloorRate, b.FloorBurst} }

// Key names one whole.
type Key struct {
	Budget string `json:"budget"`
	Key    string `json:"key,omitempty"`
}
