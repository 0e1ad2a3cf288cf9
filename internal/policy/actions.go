package policy

import (
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Send      ActionKind = iota // start an attempt of Request at Endpoint, given up after Wait
	Reject                      // end Request: a retry is safe, best after Wait (0: no advice)
	Fail                        // end Request: it may or may not have taken effect
	SetTimer                    // send TimerFired after Wait
	Subscribe                   // subscribe to the endpoint list
	Log                         // write Text to the log
)

// Action is something for the initiator to do, in the order given.
type Action struct {
	Kind         ActionKind
	Request      string
	Endpoint     string
	Wait         time.Duration
	StartTagWait time.Duration // of Send, Reject and Fail: how long the request waited for its start tag
	Text         string
	Permit       Permit // of a Send: must be valid when the first byte is written; nil: none needed
	// of a Send: how long from now its bytes may be written; 0: as long as the attempt lasts
	SendWithin time.Duration
}
