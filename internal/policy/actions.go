package policy

import (
	"time"
)

// ActionKind tells the actions apart.
type ActionKind int

const (
	// Send starts an attempt of Request at Node, given up after Wait.
	Send ActionKind = iota
	// Reject turns Request away: a retry is harmless, and best comes after Wait (0: no advice).
	Reject
	// Fail ends Request with no promise about its effect.
	Fail
	// SetTimer asks for a Timer after Wait.
	SetTimer
	// Subscribe asks for the node list and its changes.
	Subscribe
	// Log writes Text to the report.
	Log
)

// Action is something for the initiator to do, in the order given.
type Action struct {
	Kind       ActionKind
	Request    string
	Endpoint   string
	Wait       time.Duration
	TagLead    time.Duration // of a request's end of being held: how much of it its start tag lay ahead
	Text       string
	Permit     Permit        // of a Send: has to be good at its first byte; nil: none is needed
	SendWithin time.Duration // of a Send: how long from now its bytes may leave; 0: as long as the attempt lasts
}
