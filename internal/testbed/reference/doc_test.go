// Package reference contains an earlier implementation of the policy scheduler, in which each step went through every
// queue and each change of the list through every endpoint for every queue. Its tests compare the two: the current
// scheduler must answer equal events with equal actions. It consists of test files only, so that no program can link
// it, and it is not developed further: where a decision is changed on purpose, make the change here as well, or replace
// these files by the scheduler at that time.
//
// scheduler_test.go, state_test.go, probe_result_test.go and quota_test.go are the earlier implementation, except for
// the types of the interface, which are those of package policy, and for cloneSettings, which had to become a function.
package reference

import "spindlehitch/internal/policy"

type (
	Settings        = policy.Settings
	Class           = policy.Class
	Plan            = policy.Plan
	Event           = policy.Event
	Endpoint        = policy.Endpoint
	EndpointList    = policy.EndpointList
	Request         = policy.Request
	Outcome         = policy.Outcome
	Load            = policy.Load
	ResponseStarted = policy.ResponseStarted
	ClientGone      = policy.ClientGone
	ProcessCount    = policy.ProcessCount
	ProbeResult     = policy.ProbeResult
	TimerFired      = policy.TimerFired
	Action          = policy.Action
	Resource        = policy.Resource
	Reservation     = policy.Reservation
	Permit          = policy.Permit
)

const (
	Up                = policy.Up
	Draining          = policy.Draining
	Removed           = policy.Removed
	Idempotent        = policy.Idempotent
	IdempotentWithKey = policy.IdempotentWithKey
	DedupFleet        = policy.DedupFleet
	DedupZone         = policy.DedupZone
	Served            = policy.Served
	AnsweredError     = policy.AnsweredError
	Rejected          = policy.Rejected
	TimedOut          = policy.TimedOut
	NotConnected      = policy.NotConnected
	ConnectionReset   = policy.ConnectionReset
	Cancelled         = policy.Cancelled
	NotSent           = policy.NotSent
	Send              = policy.Send
	Reject            = policy.Reject
	Fail              = policy.Fail
	SetTimer          = policy.SetTimer
	Subscribe         = policy.Subscribe
	ColdWork          = policy.ColdWork
	Retries           = policy.Retries
	Connections       = policy.Connections
	AllWork           = policy.AllWork
)
