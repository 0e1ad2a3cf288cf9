package policy

import (
	"time"
)

// Event is one of the event types of this package.
type Event interface{ event() }

// EndpointState is what the list says of an endpoint.
type EndpointState int

// The states.
const (
	Up       EndpointState = iota // takes requests
	Draining                      // finishes what it has and takes nothing new
	Removed                       // is gone
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID      string
	Zone    string
	Shard   int
	State   EndpointState
	Started time.Duration // time of its last start; 0: long ago
}

// EndpointList is the list of endpoints, or what has changed in it.
type EndpointList struct {
	Full      bool // an endpoint that is absent is gone
	Failed    bool // the call for the list failed; nothing has changed
	Endpoints []Endpoint
}

// Request is a client request to which the initiator owes exactly one final answer.
type Request struct {
	ID               string
	Class            string
	Plan             string
	Volume           string
	Extent           string        // the piece of data; may be empty
	Shard            int           // where the data is; -1: a new object, for any endpoint
	Units            float64       // its size
	VolumeInitiators int           // initiators that serve this volume
	BoundEndpoint    string        // the endpoint that already has most of its body; empty: the body is here
	MissingKey       bool          // its class needs an idempotency key, and it has none
	TimeLeft         time.Duration // until its client gives up
}

// OutcomeCode is how an attempt ended.
type OutcomeCode int

// The outcomes.
const (
	Served          OutcomeCode = iota // with an answer
	AnsweredError                      // with an error answer; it may have run
	Rejected                           // rejected by the endpoint before it ran
	TimedOut                           // without an answer in time; it may have run
	NotConnected                       // the endpoint was never reached
	ConnectionReset                    // the connection was lost; it may have run
	Cancelled                          // it was given up; it may have run
	NotSent                            // nothing was sent
)

// MayHaveRun reports whether an attempt that ended so may have had its effect.
func (c OutcomeCode) MayHaveRun() bool { return c != Rejected && c != NotConnected && c != NotSent }

// Load is an endpoint's report of its load, late and noisy. A negative figure was not reported.
type Load struct {
	Queued   float64 // requests that wait
	InFlight float64 // requests that it holds
}

// Outcome ends one attempt.
type Outcome struct {
	ID       string // of the request
	Attempt  int    // its number, from 0
	Endpoint string
	Code     OutcomeCode
	Latency  time.Duration // from the send on
	Final    bool          // the request has its final answer
	Load     *Load         // the endpoint's report; nil: none
	// one more than the percentage of its plan's rate that the volume uses; 0: unknown
	VolumeUsage int
}

// ResponseStarted tells that the answer of an attempt is being passed on: the request can no longer be
// rejected.
type ResponseStarted struct{ ID string }

// ProcessCount tells how many processes act for this initiator. There is one until it comes.
type ProcessCount struct{ Processes int }

// ClientGone tells that the client has left: no answer is owed any more.
type ClientGone struct{ ID string }

// TimerFired tells that the timer asked for with SetTimer is due.
type TimerFired struct{}

func (EndpointList) event() {}

func (Request) event() {}

func (Outcome) event() {}

func (ResponseStarted) event() {}

func (ClientGone) event() {}

func (ProcessCount) event() {}

func (TimerFired) event() {}

func (Settings) event() {}
