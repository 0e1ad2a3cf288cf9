package policy

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect is whether the requests of a class may be executed more than once.
type Effect int

// Effects.
const (
	Idempotent        Effect = iota // may be repeated: retried here, or rejected so that its client retries it
	IdempotentWithKey               // may be retried only among endpoints that drop the repeat by its key
	NonIdempotent                   // may be retried only if no earlier attempt can have run
)

// DedupScope is the set of endpoints that drop repeats of a request with an idempotency key.
type DedupScope int

// Scopes of deduplication.
const (
	DedupFleet DedupScope = iota // every endpoint
	DedupZone                    // the endpoints of one zone
	DedupShard                   // the endpoints that hold one shard
)

// Class is one request class.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it has its full value
	Deadline         time.Duration // the client's total time, including all its retries
	Effect           Effect
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey: how long endpoints remember keys
	PriorityWeight   float64       // value of a request of mean size that is answered within the objective
	Ordered          bool          // requests of one extent run one at a time, in order of arrival
}

// Plan is what each volume that has it is entitled to, over all initiators and endpoints.
type Plan struct {
	Name           string
	Rate           float64 // units per second that such a volume is sized for
	ReservedRate   float64 // units per second that have their full value; 0: none
	Weight         float64 // share of a shard's capacity beyond the reserved rates
	PriorityFactor float64 // factor on the class's PriorityWeight
	RateLimit      float64 // units per second at most; 0: no limit
	RateLimitBurst float64 // capacity of the rate limit's bucket in units
}

// Rules are the limits that the platform imposes on initiators. A zero disables a rule.
type Rules struct {
	ColdCapacityFraction float64       // an endpoint starts with at least this fraction of its capacity
	WarmUpTime           time.Duration // after this time an endpoint has its whole capacity
	OverloadWindow       time.Duration // window over which the work sent to a cold endpoint is summed
	OverloadFactor       float64       // multiple of its capacity that a cold endpoint can take for that window
	OrderedQuietTime     time.Duration // pause of an ordered extent after an attempt that may still run
	RetryBudget          bool          // whether retries are limited
	RetryBudgetFree      float64       // retries within the window that are always allowed
	RetryBudgetRatio     float64       // further retries for each request within the window
	RetryBudgetWindow    time.Duration // window over which requests and retries are counted
}

// Settings configure a Scheduler. As an event they replace the previous settings except Quota: estimates
// and counts of what was sent are kept, and known requests keep their class. An event whose settings
// Validate rejects is ignored.
type Settings struct {
	Initiators     int           // initiators that share the pool
	InitiatorIndex int           // this initiator's number among them, from 1; 0: unknown (New draws one, an event changes nothing)
	MinStep        time.Duration // smallest time between two steps
	Classes        []Class
	Plans          []Plan
	Rules          Rules
	MaxAttempts    int     // for one request; 0: no bound
	MeanUnits      float64 // mean size of a request
	MaxUnits       float64 // size of the largest request
	// units that a cold endpoint can take from all initiators within the overload window
	ColdUnitsPerWindow float64
	// factor on the value of units beyond the reserved rate, within the fair share
	FairSharePriority float64
	ExcessPriority    float64       // factor on the value of units beyond the fair share
	ConnectCost       float64       // cost of a new connection to an endpoint, in requests; 0: free
	UsagePeriod       time.Duration // period of the reports of volumes' usage; 0: there are none
	SubscribeToList   bool          // whether Subscribe actions are wanted
	Quota             Quota         // allocation of the fleet-wide quotas; nil: an even share of the rules' limits applies
}

// Validate returns an error that names the first invalid setting.
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

// clone copies the slices that the settings share with the caller's.
func (set Settings) clone() Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	return set
}
