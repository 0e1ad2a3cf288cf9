// Package config reads the program's configuration (environment, JSON, the operator's file) into typed
// values, and rejects invalid values with errors that name the field.
package config

import (
	"errors"
	"fmt"
	"time"

	"spindlehitch/internal/policy"
)

// PlatformSettings is the settings object that the platform writes, in the simulator's first message and in the
// configuration alike. Its fields are named after those of policy.Settings, the tags are the platform's names. Unknown
// fields are ignored.
type PlatformSettings struct {
	InitiatorCount *int `json:"peersTotal" validate:"required,gte=1"`
	InitiatorIndex *int `json:"index"`
	Classes        []struct {
		Name               string  `json:"name"`
		LatencyObjectiveUs int64   `json:"promiseUs" validate:"gt=0"`
		DeadlineUs         int64   `json:"deadlineUs" validate:"gt=0"`
		Effect             string  `json:"effect" validate:"oneof=pure token side_effect"`
		DedupScope         string  `json:"group" validate:"omitempty,oneof=all zone cell"`
		DedupWindowUs      int64   `json:"windowUs"`
		Ordered            bool    `json:"serialByKey"`
		PriorityWeight     float64 `json:"worth"`
	} `json:"classes" validate:"required,min=1,unique=Name,dive"`
	Plans []struct {
		Name           string  `json:"name"`
		Rate           float64 `json:"usualRate"`
		ReservedRate   float64 `json:"reservation"`
		Weight         float64 `json:"parts"`
		PriorityFactor float64 `json:"pays"`
		RateLimit      float64 `json:"ceilingRate"`
		RateLimitBurst float64 `json:"limitBurst"`
	} `json:"contracts" validate:"required,min=1,unique=Name"`
	Extra struct {
		ColdUnitsPerWindow float64 `json:"coldBears"`
		MaxUnits           float64 `json:"largest"`
		MeanUnits          float64 `json:"meanUnits"`
		FairSharePriority  float64 `json:"fairWorth"`
		ExcessPriority     float64 `json:"idleWorth"`
		UsagePeriodUs      int64   `json:"meteringUs"`
	} `json:"extra"`
	Limits struct {
		MaxAttempts     *int  `json:"sendCap" validate:"omitempty,gte=1"` // nil: no bound
		MaxOpenRequests int   `json:"mostHeld"`
		ConnIdleUs      int64 `json:"connIdleUs"`
		DialTimeoutUs   int64 `json:"dialTimeoutUs"`
		Probes          bool  `json:"probes"`
	} `json:"limits"`
	Prices struct {
		ConnectCost float64 `json:"handshake"`
	} `json:"prices"`
	DiscoveryMode string `json:"registryMode"`
	Rules         struct {
		ColdCapacityFraction float64  `json:"coldShare"`
		WarmUpTimeUs         int64    `json:"warmWithinUs"`
		OverloadWindowUs     int64    `json:"fallUs"`
		OverloadFactor       float64  `json:"tipMultiple"`
		OrderedQuietTimeUs   int64    `json:"settleAfterDoubtUs"`
		RetryBudgetRatio     *float64 `json:"resendRatio"`
		RetryBudgetFree      float64  `json:"extraFree"`
		RetryBudgetWindowUs  int64    `json:"resendSpanUs"`
	} `json:"rules"`
	MinStepUs int64 `json:"tickUs"`
}

// ErrMissingField is wrapped by the errors about missing fields.
var ErrMissingField = errors.New("required field is missing")

// MissingField returns an ErrMissingField that names the field.
func MissingField(field string) error { return fmt.Errorf("%s: %w", field, ErrMissingField) }

// Microseconds converts the platform's microseconds to a duration.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// PolicySettings converts the settings to those of the scheduler.
func (o *PlatformSettings) PolicySettings() (policy.Settings, error) {
	if o.InitiatorCount == nil {
		return policy.Settings{}, MissingField("options.peersTotal")
	}
	s := policy.Settings{
		Initiators:         *o.InitiatorCount,
		MinStep:            Microseconds(o.MinStepUs),
		MeanUnits:          o.Extra.MeanUnits,
		FairSharePriority:  o.Extra.FairSharePriority,
		ExcessPriority:     o.Extra.ExcessPriority,
		MaxUnits:           o.Extra.MaxUnits,
		ColdUnitsPerWindow: o.Extra.ColdUnitsPerWindow,
		ConnectCost:        o.Prices.ConnectCost,
		UsagePeriod:        Microseconds(o.Extra.UsagePeriodUs),
		SubscribeToList:    o.DiscoveryMode == "on_request",
		Rules: policy.Rules{
			ColdCapacityFraction: o.Rules.ColdCapacityFraction,
			WarmUpTime:           Microseconds(o.Rules.WarmUpTimeUs),
			OverloadWindow:       Microseconds(o.Rules.OverloadWindowUs),
			OverloadFactor:       o.Rules.OverloadFactor,
			OrderedQuietTime:     Microseconds(o.Rules.OrderedQuietTimeUs),
			RetryBudgetFree:      o.Rules.RetryBudgetFree,
			RetryBudgetWindow:    Microseconds(o.Rules.RetryBudgetWindowUs),
		},
	}
	if o.Limits.MaxAttempts != nil {
		s.MaxAttempts = *o.Limits.MaxAttempts
	}
	if o.InitiatorIndex != nil && *o.InitiatorIndex >= 0 {
		s.InitiatorIndex = *o.InitiatorIndex + 1
	}
	if o.Rules.RetryBudgetRatio != nil {
		s.Rules.RetryBudget, s.Rules.RetryBudgetRatio = true, *o.Rules.RetryBudgetRatio
	}
	for i, c := range o.Classes {
		k := policy.Class{Name: c.Name, LatencyObjective: Microseconds(c.LatencyObjectiveUs), Deadline: Microseconds(c.DeadlineUs),
			DedupWindow: Microseconds(c.DedupWindowUs), Ordered: c.Ordered, PriorityWeight: c.PriorityWeight}
		switch c.Effect {
		case "pure":
			k.Effect = policy.Idempotent
		case "token":
			k.Effect = policy.IdempotentWithKey
		case "side_effect":
			k.Effect = policy.NonIdempotent
		default:
			return s, fmt.Errorf("options.classes[%d].effect: unknown effect %q", i, c.Effect)
		}
		switch c.DedupScope {
		case "", "all":
			k.DedupScope = policy.DedupFleet
		case "zone":
			k.DedupScope = policy.DedupZone
		case "cell":
			k.DedupScope = policy.DedupShard
		default:
			return s, fmt.Errorf("options.classes[%d].group: unknown group %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, k)
	}
	for _, p := range o.Plans {
		s.Plans = append(s.Plans, policy.Plan{Name: p.Name, Rate: p.Rate, ReservedRate: p.ReservedRate,
			Weight: p.Weight, PriorityFactor: p.PriorityFactor, RateLimit: p.RateLimit, RateLimitBurst: p.RateLimitBurst})
	}
	return s, nil
}
