// Package reference holds the decision module as it stood when each step still went through every lane and each change of the
// list through every node for every lane. It is here to be compared with: the module of today has to answer equal events with
// equal actions. It is all test files, so that no program can be linked with it, and it is not worked on: where a decision is
// changed on purpose, take over that change here, or replace these files by the module as it then stands.
//
// scheduler_test.go, state_test.go, watch_test.go and ration_test.go are the module's own files of that day, but for the
// types of the interface, which are the module's, and for clone, which had to become a function.
package reference

import "spindlehitch/internal/policy"

type (
	Settings    = policy.Settings
	Class       = policy.Class
	Plan        = policy.Plan
	Event       = policy.Event
	Node        = policy.Endpoint
	NodeList    = policy.EndpointList
	Request     = policy.Request
	Outcome     = policy.Outcome
	Load        = policy.Load
	StreamBegun = policy.ResponseStarted
	Departed    = policy.ClientGone
	Shared      = policy.ProcessCount
	Watched     = policy.ProbeResult
	Timer       = policy.TimerFired
	Action      = policy.Action
	Use         = policy.Resource
	Draw        = policy.Reservation
	Permit      = policy.Permit
)

const (
	Up           = policy.Up
	Draining     = policy.Draining
	Removed      = policy.Removed
	Pure         = policy.Idempotent
	Keyed        = policy.IdempotentWithKey
	GroupAll     = policy.DedupFleet
	GroupZone    = policy.DedupZone
	Delivered    = policy.Served
	Errored      = policy.AnsweredError
	Full         = policy.Rejected
	Expired      = policy.TimedOut
	NoConnection = policy.NotConnected
	Reset        = policy.ConnectionReset
	Cancelled    = policy.Cancelled
	Moot         = policy.NotSent
	Send         = policy.Send
	Refuse       = policy.Reject
	Fail         = policy.Fail
	SetTimer     = policy.SetTimer
	Subscribe    = policy.Subscribe
	ColdWork     = policy.ColdWork
	Repeats      = policy.Retries
	Connections  = policy.Connections
	AllWork      = policy.AllWork
)
