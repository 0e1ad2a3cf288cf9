// Package quota has the terms that members, givers and agents share: budgets, members, renewals and answers, and the checks of
// what an operator sets. It does no I/O. docs/fleet-budgets.md has the design and the argument for its safety.
package quota

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Use is what a budget is for.
type Use string

const (
	Cold       Use = "cold"       // units sent to a target that has just started
	Repeat     Use = "repeat"     // attempts after the first
	Connection Use = "connection" // connections held at targets
	Work       Use = "work"       // units sent
)

// Uses is all of them.
var Uses = []Use{Cold, Repeat, Connection, Work}

// Per is what a budget has a whole of its own for.
type Per string

const (
	PerFleet  Per = "fleet"
	PerTarget Per = "target"
	PerPlan   Per = "plan"
	PerClass  Per = "class"
)

// Air is how long a permit is good at most: from the decision to the first byte.
const Air = 300 * time.Millisecond

// Bounds of what is keyed by something.
const (
	MostBudgets = 16
	MostSeats   = 16384
	MostKeys    = 1024 // of one member
	MostName    = 128  // bytes
)

// Budget is one whole, as an operator sets it.
type Budget struct {
	Name       string   `toml:"name" json:"name"`
	Use        Use      `toml:"use" json:"use"`
	Per        Per      `toml:"per" json:"per"`
	Only       []string `toml:"only" json:"only,omitempty"`               // the targets, plans or classes that it is kept for; empty: all
	Kind       string   `toml:"kind" json:"kind"`                         // rate or stock
	Whole      float64  `toml:"whole" json:"whole"`                       // units a second, or so many at once
	Burst      float64  `toml:"burst" json:"burst,omitempty"`             // of a rate: units beyond it
	Least      float64  `toml:"least" json:"least,omitempty"`             // each seat's floor
	LeastBurst float64  `toml:"least_burst" json:"least_burst,omitempty"` // and its burst
	Most       float64  `toml:"most" json:"most,omitempty"`               // for one member; 0: any
	LingerMs   int64    `toml:"linger_ms" json:"linger_ms,omitempty"`     // of a stock: what a dead member has out lasts so long
}

// Stock tells whether it is so many at once.
func (b *Budget) Stock() bool { return b.Kind == "stock" }

// Linger is how long past its end what was taken under a part may last.
func (b *Budget) Linger() time.Duration { return time.Duration(b.LingerMs) * time.Millisecond }

// Governs tells whether a draw is from it.
func (b *Budget) Governs(d Draw) bool {
	return b.Use == d.Use && (len(b.Only) == 0 || slices.Contains(b.Only, b.KeyOf(d)))
}

// KeyOf is which of the budget's wholes a draw is from.
func (b *Budget) KeyOf(d Draw) string {
	switch b.Per {
	case PerTarget:
		return d.Target
	case PerPlan:
		return d.Plan
	case PerClass:
		return d.Class
	}
	return ""
}

// Draw is one use of something that is budgeted.
type Draw struct {
	Use                 Use
	Target, Plan, Class string
	Units               float64
}

// Doc is all that an operator sets, replicated as one.
type Doc struct {
	Version  uint64   `toml:"-" json:"version"`
	Seats    int      `toml:"seats" json:"seats"`
	RenewMs  int64    `toml:"renew_ms" json:"renew_ms"`
	PartMs   int64    `toml:"part_ms" json:"part_ms"`
	SeatS    int64    `toml:"seat_s" json:"seat_s"`
	ClockPPM float64  `toml:"clock_ppm" json:"clock_ppm"` // how far a clock's rate is from true time, at most
	Budgets  []Budget `toml:"budget" json:"budgets"`
}

// CheckNames names the first plan or class that a budget is kept for and that an instance does not know.
func (d *Doc) CheckNames(plans, classes map[string]bool) error {
	for i, b := range d.Budgets {
		known := map[Per]map[string]bool{PerPlan: plans, PerClass: classes}[b.Per]
		for _, name := range b.Only {
			if known != nil && !known[name] {
				return fmt.Errorf("budget[%d].only: unknown %s %q", i, b.Per, name)
			}
		}
	}
	return nil
}

func (d *Doc) drift() float64 { return d.ClockPPM / 1e6 }

// Part is how long a part lasts by its holder's clock.
func (d *Doc) Part() time.Duration { return time.Duration(d.PartMs) * time.Millisecond }

// Seat is how long a seat lasts after the last renewal, by its member's clock.
func (d *Doc) Seat() time.Duration { return time.Duration(d.SeatS) * time.Second }

// Renew is how often a member renews.
func (d *Doc) Renew() time.Duration { return time.Duration(d.RenewMs) * time.Millisecond }

// Elsewhere is the longest that a time by one clock within the bound may take by another.
func (d *Doc) Elsewhere(t time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(t) * (1 + d.drift()) / (1 - d.drift())))
}

// Budget returns the budget of that name, or nil.
func (d *Doc) Budget(name string) *Budget {
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

// Total is what may be in use of a budget, in a holder's own terms: the clocks' bound and the time that permits are good for
// are taken off.
func (d *Doc) Total(b *Budget) Amount {
	if b.Stock() {
		return Amount{Rate: math.Floor(b.Whole)}
	}
	return Amount{b.Whole / (1 + d.drift()), b.Burst - b.Whole*Air.Seconds()}
}

// Floor is what each seat has.
func (b *Budget) Floor() Amount { return Amount{b.Least, b.LeastBurst} }

// Pool is what is divided: the total less all floors.
func (d *Doc) Pool(b *Budget) Amount {
	t, n := d.Total(b), float64(d.Seats)
	return Amount{max(0, t.Rate-n*b.Least), max(0, t.Burst-n*b.LeastBurst)}
}

// Check names the first field that can't be served.
func (d *Doc) Check() error {
	for _, f := range []struct {
		field  string
		value  *int64
		usual  int64
		lo, hi int64
	}{{"renew_ms", &d.RenewMs, 1000, 20, 60_000}, {"part_ms", &d.PartMs, 4000, 100, 600_000}, {"seat_s", &d.SeatS, 3600, 1, 30 * 86400}} {
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
	case d.Seats < 1 || d.Seats > MostSeats:
		return fmt.Errorf("seats: %d is not from 1 to %d", d.Seats, MostSeats)
	case !(d.ClockPPM > 0 && d.ClockPPM <= 100_000):
		return fmt.Errorf("clock_ppm: %v is not over 0 and up to 100000", d.ClockPPM)
	case float64(d.RenewMs)*3*(1+d.drift())/(1-d.drift()) > float64(d.PartMs):
		return fmt.Errorf("renew_ms: three renewals of %d ms do not fit in a part of %d ms with clocks %v ppm off", d.RenewMs, d.PartMs, d.ClockPPM)
	case d.Seat() < d.Part():
		return fmt.Errorf("seat_s: %d s is shorter than a part", d.SeatS)
	case len(d.Budgets) > MostBudgets:
		return fmt.Errorf("budget: %d are too many, %d at most", len(d.Budgets), MostBudgets)
	}
	seen := map[string]bool{}
	for i := range d.Budgets {
		b := &d.Budgets[i]
		if err := d.check(b); err != nil {
			return fmt.Errorf("budget[%d].%w", i, err)
		}
		if seen[b.Name] {
			return fmt.Errorf("budget[%d].name: %q is there twice", i, b.Name)
		}
		seen[b.Name] = true
	}
	return nil
}

func (d *Doc) check(b *Budget) error {
	if b.Per == "" {
		b.Per = PerFleet
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
	}{{"whole", b.Whole}, {"burst", b.Burst}, {"least", b.Least}, {"least_burst", b.LeastBurst}, {"most", b.Most}, {"linger_ms", float64(b.LingerMs)}} {
		if err := number(f.field, f.value); err != nil {
			return err
		}
	}
	total, n := d.Total(b), float64(d.Seats)
	switch {
	case b.Name == "" || len(b.Name) > MostName:
		return fmt.Errorf("name: wanted 1 to %d bytes", MostName)
	case !slices.Contains(Uses, b.Use):
		return fmt.Errorf("use: %q is none of cold, repeat, connection, work", b.Use)
	case !slices.Contains([]Per{PerFleet, PerTarget, PerPlan, PerClass}, b.Per):
		return fmt.Errorf("per: %q is none of fleet, target, plan, class", b.Per)
	case b.Kind != "rate" && b.Kind != "stock":
		return fmt.Errorf("kind: %q is neither rate nor stock", b.Kind)
	case b.Stock() != (b.Use == Connection):
		return fmt.Errorf("kind: connections are a stock, all else is a rate")
	case b.Use == Connection && b.Per != PerTarget:
		return fmt.Errorf("per: connections are held at a target")
	case len(b.Only) > 0 && b.Per == PerFleet:
		return fmt.Errorf("only: the whole fleet's is for all")
	case b.Whole == 0:
		return fmt.Errorf("whole: must be over 0")
	case b.Most > 0 && b.Most < b.Least:
		return fmt.Errorf("most: %v is under least", b.Most)
	case b.Stock() && (b.Burst != 0 || b.LeastBurst != 0):
		return fmt.Errorf("burst: a stock has none")
	case b.Stock() && (b.Least != math.Floor(b.Least) || b.Whole != math.Floor(b.Whole)):
		return fmt.Errorf("whole: a stock and its least are whole numbers")
	case b.Stock() && b.LingerMs < 2*d.RenewMs:
		return fmt.Errorf("linger_ms: %d: a stock needs how long what a dead member has out lasts at its target, two renewals at least", b.LingerMs)
	case b.Stock() && d.Part()+b.Linger() > d.Seat():
		return fmt.Errorf("linger_ms: %d and a part are longer than a seat", b.LingerMs)
	case !b.Stock() && b.LingerMs != 0:
		return fmt.Errorf("linger_ms: a rate has none")
	case !b.Stock() && total.Burst < 1:
		return fmt.Errorf("burst: %v holds no unit beyond the %v that permits may take along", b.Burst, b.Whole*Air.Seconds())
	case n*b.Least > total.Rate:
		return fmt.Errorf("least: %d floors of %v sum to %v, more than the whole less the clocks' bound, %.4g", d.Seats, b.Least, n*b.Least, total.Rate)
	case !b.Stock() && n*b.LeastBurst > total.Burst:
		return fmt.Errorf("least_burst: %d of %v sum to more than the burst, %.4g", d.Seats, b.LeastBurst, total.Burst)
	case !b.Stock() && b.Least > 0 && b.LeastBurst < 1:
		return fmt.Errorf("least_burst: %v holds no unit, so that the floor could never be used", b.LeastBurst)
	}
	return nil
}

// Follows tells whether the set may take the place of before while there are members: whoever is cut off goes on by the old
// one, so floors, seats and times stay, and no budget goes.
func (d *Doc) Follows(before *Doc) error {
	switch {
	case d.Seats != before.Seats:
		return fmt.Errorf("seats: can't be changed while there are members")
	case d.PartMs != before.PartMs:
		return fmt.Errorf("part_ms: can't be changed while there are members")
	case d.SeatS != before.SeatS:
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
		}{{"use", b.Use == old.Use}, {"only", slices.Equal(b.Only, old.Only)}, {"per", b.Per == old.Per}, {"kind", b.Kind == old.Kind}, {"least", b.Least == old.Least},
			{"least_burst", b.LeastBurst == old.LeastBurst}, {"linger_ms", b.LingerMs == old.LingerMs}} {
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

// Check names the first field of a join that can't be served.
func (m *Member) Check() error {
	switch {
	case m.ID == "" || len(m.ID) > MostName:
		return fmt.Errorf("id: wanted 1 to %d bytes", MostName)
	case m.Name == "" || len(m.Name) > MostName:
		return fmt.Errorf("name: wanted 1 to %d bytes", MostName)
	case len(m.Addr) > MostName:
		return fmt.Errorf("addr: %d bytes at most", MostName)
	case len(m.Accounts) > MostName:
		return fmt.Errorf("accounts: %d bytes at most", MostName)
	case !(m.Weight > 0 && m.Weight <= 1000):
		return fmt.Errorf("weight: %v is not over 0 and up to 1000", m.Weight)
	}
	return nil
}

// Changed tells who is among the members now and was not before, and who was and is not. Both are in order of incarnation, as the
// register has them, so that a join among ten thousand costs a look at each and no more.
func Changed(before, now []Member) (joined, left []Member) {
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

// Report is what a member says of one whole.
type Report struct {
	Key
	Held  Amount  `json:"held"`             // beyond the floor, as the renewal was begun
	Want  float64 `json:"want"`             // in all
	InUse float64 `json:"in_use,omitempty"` // of a stock: out now
	Used  float64 `json:"used,omitempty"`   // of a rate: units a second since the last renewal
}

// Renewal is all that a member says at a time.
type Renewal struct {
	ID      string   `json:"id"`
	Seq     uint64   `json:"seq"`     // grows with each
	Version uint64   `json:"version"` // of the set of budgets it goes by
	Reports []Report `json:"reports,omitempty"`
}

// Grant is a part, until part_ms after its renewal was begun.
type Grant struct {
	Key
	Amount
	Extends bool `json:"extends,omitempty"` // only for a holder whose part has not ended when it hears
}

// Answer is what a renewal brings.
type Answer struct {
	ID     string  `json:"id"`
	Seq    uint64  `json:"seq"`
	Grants []Grant `json:"grants,omitempty"`
	Doc    *Doc    `json:"doc,omitempty"` // where the member goes by another
}

// Reason says why a member has no seat.
type Reason string

const (
	NoSeat        Reason = "NO_SEAT"
	NameTaken     Reason = "NAME_TAKEN"
	UnknownMember Reason = "UNKNOWN_MEMBER"
	OldRenewal    Reason = "OLD_RENEWAL"
	NoBudgets     Reason = "NO_BUDGETS"
)

func (r Reason) Error() string { return string(r) }
