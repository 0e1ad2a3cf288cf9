package policy

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect says what a class allows to happen twice.
type Effect int

const (
	// Idempotent requests may be repeated and refused freely.
	Idempotent Effect = iota
	// IdempotentWithKey requests may be repeated only among nodes that drop the repeat.
	IdempotentWithKey
	// NonIdempotent requests may be repeated only when no earlier attempt can have run.
	NonIdempotent
)

// DedupScope says which nodes drop repeats of a keyed request.
type DedupScope int

const (
	// DedupFleet is every node.
	DedupFleet DedupScope = iota
	// DedupZone is the nodes of one zone.
	DedupZone
	// DedupShard is the nodes that hold one shard.
	DedupShard
)

// Class is one request class.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer by then earns the full worth
	Deadline         time.Duration // the client's whole patience, over all its tries
	Effect           Effect
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are remembered
	PriorityWeight   float64       // of a mean request answered within the aim
	Ordered          bool          // requests with one extent run one at a time, as taken
}

// Plan is what each volume on it is owed, over all initiators and nodes.
type Plan struct {
	Name           string
	Rate           float64 // units a second that such a volume is sized for
	ReservedRate   float64 // units a second that earn their full worth; 0: none
	Weight         float64 // part of what a shard can do beyond the reserves
	PriorityFactor float64 // factor on the worth
	RateLimit      float64 // units a second at most; 0: no limit
	RateLimitBurst float64 // units that the limit's store holds
}

// Rules holds the figures of the rules. A zero asks nothing, except for Drain.
type Rules struct {
	ColdCapacityFraction float64       // a node starts at this part of its capacity or more
	WarmUpTime           time.Duration // and is warm after this
	OverloadWindow       time.Duration // the span over which work to a cold node is counted
	OverloadFactor       float64       // times its capacity that a cold node bears for that long
	OrderedQuietTime     time.Duration // rest of an ordered extent after a doubtful outcome
	RetryBudget          bool          // whether further attempts are rationed
	RetryBudgetFree      float64
	RetryBudgetRatio     float64
	RetryBudgetWindow    time.Duration
}

// Settings is what an initiator is told at its start. As an event it takes the place of the settings there were, but for Ration: what was
// learned and sent stays, and a request that is known ends by its class as it came. Settings that Check turns down change nothing.
type Settings struct {
	Initiators         int           // how many share the pool
	InitiatorIndex     int           // this one's number among them, from 1; 0: not known
	MinStep            time.Duration // least time between two steps
	Classes            []Class
	Plans              []Plan
	Rules              Rules
	MaxAttempts        int           // for one request; 0: no bound
	MeanUnits          float64       // mean size of a request
	MaxUnits           float64       // size of the largest request
	ColdUnitsPerWindow float64       // units within FallWithin that a cold node bears from all initiators
	FairSharePriority  float64       // part of the worth that units beyond the reserve earn inside the share
	ExcessPriority     float64       // part of the worth that units beyond the share earn
	ConnectCost        float64       // what a new connection to a node costs, in requests
	UsagePeriod        time.Duration // period of the use meter; 0: none
	SubscribeToList    bool          // the node list must be subscribed to
	Quota              Quota         // part of fleet-wide wholes, in place of even ones; nil: none
}

// Validate returns an error that names what of the settings cannot be served.
func (set Settings) Validate() error {
	if len(set.Classes) == 0 || len(set.Plans) == 0 {
		return errors.New("settings need at least one class and one plan")
	}
	if set.Initiators < 1 {
		return fmt.Errorf("settings name %d initiators", set.Initiators)
	}
	for _, c := range set.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("class %q needs an aim and a deadline", c.Name)
		}
	}
	return nil
}

// clone copies what the settings share with their maker.
func (set Settings) clone() Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	return set
}
