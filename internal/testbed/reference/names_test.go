// Package reference holds the decision module as it stood when each step still went through every lane and each change of the
// list through every node for every lane. It is here to be compared with: the module of today has to answer equal events with
// equal actions. It is all test files, so that no program can be linked with it, and it is not worked on: where a decision is
// changed on purpose, take over that change here, or replace these files by the module as it then stands.
//
// scheduler_test.go, state_test.go, watch_test.go and ration_test.go are the module's own files of that day, but for the
// types of the interface, which are the module's, and for clone, which had to become a function.
package reference

import "spindlehitch"

type (
	Settings    = spindlehitch.Settings
	Class       = spindlehitch.Class
	Plan        = spindlehitch.Plan
	Event       = spindlehitch.Event
	Node        = spindlehitch.Node
	NodeList    = spindlehitch.NodeList
	Request     = spindlehitch.Request
	Outcome     = spindlehitch.Outcome
	Load        = spindlehitch.Load
	StreamBegun = spindlehitch.StreamBegun
	Departed    = spindlehitch.Departed
	Shared      = spindlehitch.Shared
	Watched     = spindlehitch.Watched
	Timer       = spindlehitch.Timer
	Action      = spindlehitch.Action
	Use         = spindlehitch.Use
	Draw        = spindlehitch.Draw
	Permit      = spindlehitch.Permit
)

const (
	Up           = spindlehitch.Up
	Draining     = spindlehitch.Draining
	Removed      = spindlehitch.Removed
	Pure         = spindlehitch.Pure
	Keyed        = spindlehitch.Keyed
	GroupAll     = spindlehitch.GroupAll
	GroupZone    = spindlehitch.GroupZone
	Delivered    = spindlehitch.Delivered
	Errored      = spindlehitch.Errored
	Full         = spindlehitch.Full
	Expired      = spindlehitch.Expired
	NoConnection = spindlehitch.NoConnection
	Reset        = spindlehitch.Reset
	Cancelled    = spindlehitch.Cancelled
	Moot         = spindlehitch.Moot
	Send         = spindlehitch.Send
	Refuse       = spindlehitch.Refuse
	Fail         = spindlehitch.Fail
	SetTimer     = spindlehitch.SetTimer
	Subscribe    = spindlehitch.Subscribe
	ColdWork     = spindlehitch.ColdWork
	Repeats      = spindlehitch.Repeats
	Connections  = spindlehitch.Connections
	AllWork      = spindlehitch.AllWork
)
