package policy

import (
	"time"
)

// Event is an input of Scheduler.Step; the implementations are the event types of this package.
type Event interface{ event() }

// EndpointState is the state of an endpoint in the list.
type EndpointState int

// States of endpoints.
const (
	Up       EndpointState = iota // takes requests
	Draining                      // finishes the requests that it has and takes no new ones
	Removed                       // no longer listed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID      string
	Zone    string
	Shard   int
	State   EndpointState
	Started time.Duration // time of its last start; 0: long ago
}

// EndpointList is the whole list of endpoints, or a change of it.
type EndpointList struct {
	Full      bool // the whole list: an endpoint that is absent is removed
	Failed    bool // the call for the list failed: the known list stays in force
	Endpoints []Endpoint
}

// Request is a client request to which the initiator owes exactly one final answer.
type Request struct {
	ID               string
	Class            string
	Plan             string
	Volume           string
	Extent           string        // the piece of data that it accesses; may be empty
	Shard            int           // the shard that holds the data; -1: a new object, which may go to any endpoint
	Units            float64       // size of its work
	VolumeInitiators int           // initiators that serve this volume
	BoundEndpoint    string        // the endpoint that already received most of its body; empty: none, the whole body is here
	MissingKey       bool          // its class requires an idempotency key, but it has none
	TimeLeft         time.Duration // remaining time until its client gives up
}

// OutcomeCode is how an attempt ended.
type OutcomeCode int

// Outcomes of attempts.
const (
	Served          OutcomeCode = iota // answered without an error
	AnsweredError                      // answered with an error; it may have run
	Rejected                           // the endpoint rejected it before it ran
	TimedOut                           // no answer within the timeout; it may have run
	NotConnected                       // no connection, or lost before the whole request was written; it cannot have run
	ConnectionReset                    // the connection was lost, or the answer unusable; it may have run
	Cancelled                          // it was cancelled; it may have run
	NotSent                            // withheld by this initiator, for example since its endpoint has begun to drain; it cannot have run
)

func (c OutcomeCode) String() string {
	return [...]string{"served", "answered with an error", "rejected", "timed out", "not connected", "connection reset", "cancelled", "not sent"}[c]
}

// MayHaveRun reports whether an attempt with this outcome may have taken effect.
func (c OutcomeCode) MayHaveRun() bool { return c != Rejected && c != NotConnected && c != NotSent }

// Load is an endpoint's report of its load, delayed and noisy. A negative figure was not reported.
type Load struct {
	Queued   float64 // requests waiting
	InFlight float64 // requests accepted and not answered
}

// Outcome reports the end of one attempt.
type Outcome struct {
	ID       string // of the request
	Attempt  int    // its number, from 0
	Endpoint string
	Code     OutcomeCode
	Latency  time.Duration // since the send
	Final    bool          // the request has got its final answer
	Load     *Load         // the endpoint's report; nil: none
	// one more than the percentage of its plan's rate that the volume uses; 0: unknown
	VolumeUsage int
}

// ResponseStarted reports that the answer of an attempt is being forwarded to the client: the request
// can no longer be rejected.
type ResponseStarted struct{ ID string }

// ProcessCount sets how many processes act as this initiator. It is one before the first such event.
type ProcessCount struct{ Processes int }

// ClientGone reports that the client has disconnected: no answer is needed any more.
type ClientGone struct{ ID string }

// TimerFired reports that the timer set by a SetTimer action has expired.
type TimerFired struct{}

func (EndpointList) event() {}

func (Request) event() {}

func (Outcome) event() {}

func (ResponseStarted) event() {}

func (ClientGone) event() {}

func (ProcessCount) event() {}

func (TimerFired) event() {}

func (Settings) event() {}
