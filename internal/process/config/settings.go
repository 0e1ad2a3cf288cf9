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
// configuration alike. Unknown fields are ignored.
type PlatformSettings struct {
	PeersTotal *int `json:"peersTotal" validate:"required,gte=1"`
	Index      *int `json:"index"`
	Classes    []struct {
		Name       string  `json:"name"`
		PromiseUs  int64   `json:"promiseUs" validate:"gt=0"`
		DeadlineUs int64   `json:"deadlineUs" validate:"gt=0"`
		Effect     string  `json:"effect" validate:"oneof=pure token side_effect"`
		Group      string  `json:"group" validate:"omitempty,oneof=all zone cell"`
		WindowUs   int64   `json:"windowUs"`
		Serial     bool    `json:"serialByKey"`
		Worth      float64 `json:"worth"`
	} `json:"classes" validate:"required,min=1,unique=Name,dive"`
	Contracts []struct {
		Name        string  `json:"name"`
		UsualRate   float64 `json:"usualRate"`
		Reservation float64 `json:"reservation"`
		Parts       float64 `json:"parts"`
		Pays        float64 `json:"pays"`
		CeilingRate float64 `json:"ceilingRate"`
		LimitBurst  float64 `json:"limitBurst"`
	} `json:"contracts" validate:"required,min=1,unique=Name"`
	Extra struct {
		ColdBears  float64 `json:"coldBears"`
		Largest    float64 `json:"largest"`
		MeanUnits  float64 `json:"meanUnits"`
		FairWorth  float64 `json:"fairWorth"`
		IdleWorth  float64 `json:"idleWorth"`
		MeteringUs int64   `json:"meteringUs"`
	} `json:"extra"`
	Limits struct {
		SendCap       *int  `json:"sendCap" validate:"omitempty,gte=1"` // nil: no bound
		MostHeld      int   `json:"mostHeld"`
		ConnIdleUs    int64 `json:"connIdleUs"`
		DialTimeoutUs int64 `json:"dialTimeoutUs"`
		Probes        bool  `json:"probes"`
	} `json:"limits"`
	Prices struct {
		Handshake float64 `json:"handshake"`
	} `json:"prices"`
	RegistryMode string `json:"registryMode"`
	Rules        struct {
		ColdShare          float64  `json:"coldShare"`
		WarmWithinUs       int64    `json:"warmWithinUs"`
		FallUs             int64    `json:"fallUs"`
		TipMultiple        float64  `json:"tipMultiple"`
		SettleAfterDoubtUs int64    `json:"settleAfterDoubtUs"`
		ResendRatio        *float64 `json:"resendRatio"`
		ExtraFree          float64  `json:"extraFree"`
		ResendSpanUs       int64    `json:"resendSpanUs"`
	} `json:"rules"`
	TickUs int64 `json:"tickUs"`
}

// ErrMissingField is wrapped by the errors about missing fields.
var ErrMissingField = errors.New("required field is missing")

// MissingField returns an ErrMissingField that names the field.
func MissingField(field string) error { return fmt.Errorf("%s: %w", field, ErrMissingField) }

// Microseconds converts the platform's microseconds to a duration.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// PolicySettings converts the settings to those of the scheduler.
func (o *PlatformSettings) PolicySettings() (policy.Settings, error) {
	if o.PeersTotal == nil {
		return policy.Settings{}, MissingField("options.peersTotal")
	}
	s := policy.Settings{
		Initiators:         *o.PeersTotal,
		MinStep:            Microseconds(o.TickUs),
		MeanUnits:          o.Extra.MeanUnits,
		FairSharePriority:  o.Extra.FairWorth,
		ExcessPriority:     o.Extra.IdleWorth,
		MaxUnits:           o.Extra.Largest,
		ColdUnitsPerWindow: o.Extra.ColdBears,
		ConnectCost:        o.Prices.Handshake,
		UsagePeriod:        Microseconds(o.Extra.MeteringUs),
		SubscribeToList:    o.RegistryMode == "on_request",
		Rules: policy.Rules{
			ColdCapacityFraction: o.Rules.ColdShare,
			WarmUpTime:           Microseconds(o.Rules.WarmWithinUs),
			OverloadWindow:       Microseconds(o.Rules.FallUs),
			OverloadFactor:       o.Rules.TipMultiple,
			OrderedQuietTime:     Microseconds(o.Rules.SettleAfterDoubtUs),
			RetryBudgetFree:      o.Rules.ExtraFree,
			RetryBudgetWindow:    Microseconds(o.Rules.ResendSpanUs),
		},
	}
	if o.Limits.SendCap != nil {
		s.MaxAttempts = *o.Limits.SendCap
	}
	if o.Index != nil && *o.Index >= 0 {
		s.InitiatorIndex = *o.Index + 1
	}
	if o.Rules.ResendRatio != nil {
		s.Rules.RetryBudget, s.Rules.RetryBudgetRatio = true, *o.Rules.ResendRatio
	}
	for i, c := range o.Classes {
		k := policy.Class{Name: c.Name, LatencyObjective: Microseconds(c.PromiseUs), Deadline: Microseconds(c.DeadlineUs),
			DedupWindow: Microseconds(c.WindowUs), Ordered: c.Serial, PriorityWeight: c.Worth}
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
		switch c.Group {
		case "", "all":
			k.DedupScope = policy.DedupFleet
		case "zone":
			k.DedupScope = policy.DedupZone
		case "cell":
			k.DedupScope = policy.DedupShard
		default:
			return s, fmt.Errorf("options.classes[%d].group: unknown group %q", i, c.Group)
		}
		s.Classes = append(s.Classes, k)
	}
	for _, p := range o.Contracts {
		s.Plans = append(s.Plans, policy.Plan{Name: p.Name, Rate: p.UsualRate, ReservedRate: p.Reservation,
			Weight: p.Parts, PriorityFactor: p.Pays, RateLimit: p.CeilingRate, RateLimitBurst: p.LimitBurst})
	}
	return s, nil
}
