package membership

import (
	"time"
)

// Config must be the same at all members of a fleet. The trade-offs are those of SWIM: shorter intervals
// detect a death sooner and cost more messages; a shorter suspicion detects it sooner and causes more
// false positives.
type Config struct {
	FleetID          uint64        // messages of other fleets are ignored
	ProbeInterval    time.Duration // from one probe to the next
	ProbeTimeout     time.Duration // wait for an Ack before helpers are asked
	IndirectProbes   int           // number of helpers that are asked
	SuspicionMult    float64       // shortest suspicion in probe intervals, times half the log10 of the size
	SuspicionMaxMult float64       // longest suspicion (a single reporter) over the shortest
	Confirmations    int           // number of reporters that shorten a suspicion to the shortest; also of declarations that make a death
	RetransmitMult   float64       // transmissions of a piggybacked record, times the log2 of the size
	SyncInterval     time.Duration // from one sync of views to the next
	PauseThreshold   time.Duration // a clock check that is later than this means that the process was paused
	TombstoneTTL     time.Duration // how long members that are dead or have left are remembered
	// plain SWIM, for comparison: no health score, no confirmations, no pause detection
	DisableLifeguard bool
}

// DefaultConfig is used where an operator sets nothing.
var DefaultConfig = Config{ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, SuspicionMult: 2, SuspicionMaxMult: 5, Confirmations: 3, RetransmitMult: 3,
	SyncInterval: 10 * time.Second, PauseThreshold: 2 * time.Second, TombstoneTTL: time.Hour}
