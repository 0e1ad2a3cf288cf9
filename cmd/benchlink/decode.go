package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"spindlehitch/internal/policy"
)

func parseUint(n json.Number) (uint64, error) { return strconv.ParseUint(n.String(), 10, 64) }

// requireFields takes pairs of a field's name and its pointer, and returns an error for the first pointer that is nil.
func requireFields(fields ...any) error {
	for i := 0; i+1 < len(fields); i += 2 {
		absent := false
		switch p := fields[i+1].(type) {
		case *string:
			absent = p == nil
		case *int:
			absent = p == nil
		case *int64:
			absent = p == nil
		case *float64:
			absent = p == nil
		case *bool:
			absent = p == nil
		}
		if absent {
			return missingField(fields[i].(string))
		}
	}
	return nil
}

// decode converts a wire event to a scheduler event, or to nil if the scheduler does not use it.
func decode(e *event) (policy.Event, error) {
	switch *e.Type {
	case "members":
		return decodeList(e)
	case "newRequest":
		err := requireFields("rid", e.Rid, "tier", e.Tier, "vol", e.Vol, "grade", e.Grade,
			"budgetUs", e.BudgetUs, "weight", e.Weight, "groupNo", e.GroupNo)
		if err != nil {
			return nil, err
		}
		r := policy.Request{ID: *e.Rid, Class: *e.Grade, Plan: *e.Tier, Volume: *e.Vol,
			Shard: *e.GroupNo, Units: *e.Weight, TimeLeft: microseconds(*e.BudgetUs)}
		if e.Chunk != nil {
			r.Extent = *e.Chunk
		}
		if e.Writers != nil {
			r.VolumeInitiators = int(*e.Writers)
		}
		return r, nil
	case "result":
		err := requireFields("rid", e.Rid, "leg", e.Leg, "target", e.Target, "stateCode", e.StateCode,
			"spentUs", e.SpentUs, "complete", e.Complete)
		if err != nil {
			return nil, err
		}
		code, err := decodeCode(*e.StateCode)
		if err != nil {
			return nil, err
		}
		o := policy.Outcome{ID: *e.Rid, Attempt: *e.Leg, Endpoint: *e.Target, Code: code,
			Latency: microseconds(*e.SpentUs), Final: *e.Complete}
		if e.Used != nil {
			o.VolumeUsage = *e.Used
		}
		o.Load = decodeLoad(e.ServerStats)
		return o, nil
	case "underWay":
		if err := requireFields("rid", e.Rid); err != nil {
			return nil, err
		}
		return policy.ResponseStarted{ID: *e.Rid}, nil
	case "clientGone":
		if err := requireFields("rid", e.Rid); err != nil {
			return nil, err
		}
		return policy.ClientGone{ID: *e.Rid}, nil
	case "reminder":
		return policy.TimerFired{}, nil
	case "message", "healthResult":
		return nil, nil
	}
	return nil, fmt.Errorf("type: unknown event %q", *e.Type)
}

// decodeLoad converts a load report; it returns nil if the event has none.
func decodeLoad(s *loadReport) *policy.Load {
	if s == nil {
		return nil
	}
	l := &policy.Load{Queued: -1, InFlight: -1}
	if s.Depth != nil {
		l.Queued = *s.Depth
	}
	if s.Concurrent != nil {
		l.InFlight = *s.Concurrent
	}
	return l
}

func decodeCode(code string) (policy.OutcomeCode, error) {
	switch code {
	case "delivered":
		return policy.Served, nil
	case "app_error":
		return policy.AnsweredError, nil
	case "shed":
		return policy.Rejected, nil
	case "expired":
		return policy.TimedOut, nil
	case "dial_failed":
		return policy.NotConnected, nil
	case "dropped":
		return policy.ConnectionReset, nil
	case "revoked":
		return policy.Cancelled, nil
	case "unused":
		return policy.NotSent, nil
	}
	return 0, fmt.Errorf("stateCode: unknown outcome %q", code)
}

func decodeList(e *event) (policy.Event, error) {
	if e.Mode == nil {
		return nil, missingField("mode")
	}
	var list policy.EndpointList
	switch *e.Mode {
	case "broken":
		return policy.EndpointList{Failed: true}, nil
	case "whole", "stale_copy":
		list.Full = true
	case "patch":
	default:
		return nil, fmt.Errorf("mode: unknown list kind %q", *e.Mode)
	}
	for i, r := range e.Records {
		if err := requireFields("target", r.Target, "cohort", r.Cohort, "mode", r.Mode); err != nil {
			return nil, fmt.Errorf("records[%d]: %w", i, err)
		}
		endpoint := policy.Endpoint{ID: *r.Target, Zone: r.FailureDomain, Shard: *r.Cohort}
		switch *r.Mode {
		case "up":
			endpoint.State = policy.Up
		case "draining":
			endpoint.State = policy.Draining
		case "removed":
			endpoint.State = policy.Removed
		default:
			return nil, fmt.Errorf("records[%d]: mode: unknown state %q", i, *r.Mode)
		}
		if r.LaunchedUs != nil {
			endpoint.Started = microseconds(*r.LaunchedUs)
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}
