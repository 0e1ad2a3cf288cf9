package membership

import (
	"time"
)

// Config are the same at all members of a fleet. Lengths scale with the logarithm of the size where docs/members.md says so.
type Config struct {
	FleetID          uint64        // tells fleets apart
	ProbeInterval    time.Duration // from one probe to the next
	ProbeTimeout     time.Duration // for a probe's answer, before others are asked
	IndirectProbes   int           // how many are
	SuspicionMult    float64       // periods of suspicion, times log10 of the size: half of it with enough reporters
	SuspicionMaxMult float64       // times that half where one member alone suspects
	Confirmations    int           // that are enough
	RetransmitMult   float64       // how often a record is passed on, times log2 of the size
	SyncInterval     time.Duration // from one comparison of views to the next
	PauseThreshold   time.Duration // past which a stretch between two looks at the clock is a pause
	TombstoneTTL     time.Duration // how long what ended is remembered
	DisableLifeguard bool          // neither doubts itself nor asks for reporters: what it is compared with
}

// DefaultConfig are the settings where an operator's file has none.
var DefaultConfig = Config{ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, SuspicionMult: 2, SuspicionMaxMult: 5, Confirmations: 3, RetransmitMult: 3,
	SyncInterval: 10 * time.Second, PauseThreshold: 2 * time.Second, TombstoneTTL: time.Hour}
