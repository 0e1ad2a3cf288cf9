package policy

import (
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds.
const (
	Send      ActionKind = iota // start an attempt of Request at Endpoint, given up after Wait
	Reject                      // end Request: a retry is harmless, and best after Wait (0: no advice)
	Fail                        // end Request with no promise about its effect
	SetTimer                    // send TimerFired after Wait
	Subscribe                   // subscribe to the endpoint list
	Log                         // write Text to the report
)

// Action is something for the initiator to do, in the order given.
type Action struct {
	Kind         ActionKind
	Request      string
	Endpoint     string
	Wait         time.Duration
	StartTagWait time.Duration // of a Send or an end: how long the request waited for its start tag
	Text         string
	Permit       Permit // of a Send: must be valid at the first byte; nil: none needed
	// of a Send: how long from now its bytes may leave; 0: as long as the attempt lasts
	SendWithin time.Duration
}
