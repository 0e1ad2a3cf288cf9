package policy

import (
	"time"
)

// Event is one of the event types below.
type Event interface{ event() }

// EndpointState is what the list says of a node.
type EndpointState int

const (
	// Up nodes take requests.
	Up EndpointState = iota
	// Draining nodes finish what they have.
	Draining
	// Removed nodes are gone.
	Removed
)

// Endpoint is an entry of the node list.
type Endpoint struct {
	ID      string
	Zone    string
	Shard   int
	State   EndpointState
	Started time.Duration // clock time of its last start; 0: long ago
}

// EndpointList reports the list, or what changed in it.
type EndpointList struct {
	Full      bool // a node that is absent is gone
	Failed    bool // the call for it failed; nothing changed
	Endpoints []Endpoint
}

// Request is a client request that the initiator now owes one final answer.
type Request struct {
	ID               string
	Class            string
	Plan             string
	Volume           string
	Extent           string        // the piece of data; may be empty
	Shard            int           // where the data is; -1: a new object, for any node
	Units            float64       // its size
	VolumeInitiators int           // how many carry this volume
	BoundEndpoint    string        // the node that has its body but for the last of it; empty: its body is here
	MissingKey       bool          // of a Keyed class, without the key by which nodes drop its repeat
	TimeLeft         time.Duration // the client gives this try up after that
}

// OutcomeCode is how an attempt ended.
type OutcomeCode int

const (
	// Served was served.
	Served OutcomeCode = iota
	// AnsweredError was answered with an error and may have run.
	AnsweredError
	// TurnedAway was turned away unseen.
	TurnedAway
	// TimedOut had no answer in time and may have run.
	TimedOut
	// NotConnected never reached the node.
	NotConnected
	// ConnectionReset lost its connection and may have run.
	ConnectionReset
	// Cancelled was called off and may have run.
	Cancelled
	// NotSent was not sent.
	NotSent
)

// MayHaveRun tells whether an attempt that ended so may have run.
func (c OutcomeCode) MayHaveRun() bool { return c != TurnedAway && c != NotConnected && c != NotSent }

// Load is what a node reports of itself, late and noisy. A negative figure is not told.
type Load struct {
	Queued   float64 // requests that wait
	InFlight float64 // requests that it holds
}

// Outcome ends one attempt.
type Outcome struct {
	ID          string
	Attempt     int
	Endpoint    string
	Code        OutcomeCode
	Latency     time.Duration
	Final       bool  // the request has its final answer
	Load        *Load // the node's report; nil: none
	VolumeUsage int   // 1 + percent of the plan's rate the volume had everywhere; 0: not told
}

// ResponseStarted tells that the answer of an attempt has started.
type ResponseStarted struct{ ID string }

// ProcessCount tells how many processes act for this initiator, which for the rules are one. Until it comes there is one.
type ProcessCount struct{ Processes int }

// ClientGone tells that the client is gone; nothing more is owed.
type ClientGone struct{ ID string }

// TimerFired is due, as asked for by SetTimer.
type TimerFired struct{}

func (EndpointList) event() {}

func (Request) event() {}

func (Outcome) event() {}

func (ResponseStarted) event() {}

func (ClientGone) event() {}

func (ProcessCount) event() {}

func (TimerFired) event() {}

func (Settings) event() {}
