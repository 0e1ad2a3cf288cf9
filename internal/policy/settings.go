package policy

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect says what a class allows to happen more than once.
type Effect int

// The effects.
const (
	Idempotent        Effect = iota // may be retried and rejected freely
	IdempotentWithKey               // may be retried only among endpoints that drop the repeat by its key
	NonIdempotent                   // may be retried only when no earlier attempt can have run
)

// DedupScope says which endpoints drop repeats of a request with an idempotency key.
type DedupScope int

// The scopes.
const (
	DedupFleet DedupScope = iota // every endpoint
	DedupZone                    // the endpoints of one zone
	DedupShard                   // the endpoints that hold one shard
)

// Class is one request class.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it has the full value
	Deadline         time.Duration // the client's whole time, over all its retries
	Effect           Effect
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey: how long endpoints remember keys
	PriorityWeight   float64       // value of a mean request answered within the objective
	Ordered          bool          // requests of one extent run one at a time, in order of arrival
}

// Plan is what each volume on it is entitled to, over all initiators and endpoints.
type Plan struct {
	Name           string
	Rate           float64 // units a second that such a volume is sized for
	ReservedRate   float64 // units a second that have their full value; 0: none
	Weight         float64 // part of what a shard can do beyond the reserved rates
	PriorityFactor float64 // factor on the class's weight
	RateLimit      float64 // units a second at most; 0: no limit
	RateLimitBurst float64 // capacity of the rate limit's bucket in units
}

// Rules are the limits of the platform's rules. A zero disables a rule.
type Rules struct {
	ColdCapacityFraction float64       // an endpoint starts with at least this fraction of its capacity
	WarmUpTime           time.Duration // and has all of it after this time
	OverloadWindow       time.Duration // window over which the work sent to a cold endpoint is summed
	OverloadFactor       float64       // times its capacity that a cold endpoint bears for that window
	OrderedQuietTime     time.Duration // pause of an ordered extent after an attempt in doubt
	RetryBudget          bool          // whether retries are limited
	RetryBudgetFree      float64       // retries that are always allowed within the window
	RetryBudgetRatio     float64       // and for each request within the window
	RetryBudgetWindow    time.Duration // the window
}

// Settings are what an initiator is told at its start. As an event they replace the previous settings
// except Quota: what was learned and sent stays, and known requests keep their class. Settings that
// Validate rejects change nothing.
type Settings struct {
	Initiators     int           // initiators that share the pool
	InitiatorIndex int           // this one's number among them, from 1; 0: unknown
	MinStep        time.Duration // smallest time between two steps
	Classes        []Class
	Plans          []Plan
	Rules          Rules
	MaxAttempts    int     // for one request; 0: no bound
	MeanUnits      float64 // mean size of a request
	MaxUnits       float64 // size of the largest request
	// units that a cold endpoint bears from all initiators within the overload window
	ColdUnitsPerWindow float64
	// factor on the value of units beyond the reserved rate, within the fair share
	FairSharePriority float64
	ExcessPriority    float64       // factor on the value of units beyond the fair share
	ConnectCost       float64       // cost of a new connection to an endpoint, in requests; 0: free
	UsagePeriod       time.Duration // period of the usage reports; 0: there are none
	SubscribeToList   bool          // the endpoint list has to be subscribed to
	Quota             Quota         // part of the fleet-wide quotas; nil: the even part of the rules applies
}

// Validate returns an error that names the first setting that cannot be served.
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
