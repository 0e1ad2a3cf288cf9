// Package policy decides, for one initiator of a shared disk pool, when each
// request leaves for the node that holds its data, and how each request ends.
//
// The decisions are in scheduler.go; this file is the whole interface.
package policy

import "time"

// Effect says what a class allows to happen twice.
type Effect int

const (
	// Idempotent requests may be repeated and refused freely.
	Idempotent Effect = iota
	// IdempotentWithKey requests may be repeated only among nodes that drop the repeat.
	IdempotentWithKey
	// NonIdempotent requests may be repeated only when no earlier attempt can have run.
	NonIdempotent
)

// DedupScope says which nodes drop repeats of a keyed request.
type DedupScope int

const (
	// DedupFleet is every node.
	DedupFleet DedupScope = iota
	// DedupZone is the nodes of one zone.
	DedupZone
	// DedupShard is the nodes that hold one shard.
	DedupShard
)

// Class is one request class.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer by then earns the full worth
	Deadline         time.Duration // the client's whole patience, over all its tries
	Effect           Effect
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are remembered
	PriorityWeight   float64       // of a mean request answered within the aim
	Ordered          bool          // requests with one extent run one at a time, as taken
}

// Plan is what each volume on it is owed, over all initiators and nodes.
type Plan struct {
	Name           string
	Rate           float64 // units a second that such a volume is sized for
	ReservedRate   float64 // units a second that earn their full worth; 0: none
	Weight         float64 // part of what a shard can do beyond the reserves
	PriorityFactor float64 // factor on the worth
	RateLimit      float64 // units a second at most; 0: no limit
	RateLimitBurst float64 // units that the limit's store holds
}

// Rules holds the figures of the rules. A zero asks nothing, except for Drain.
type Rules struct {
	ColdCapacityFraction float64       // a node starts at this part of its capacity or more
	WarmUpTime           time.Duration // and is warm after this
	OverloadWindow       time.Duration // the span over which work to a cold node is counted
	OverloadFactor       float64       // times its capacity that a cold node bears for that long
	OrderedQuietTime     time.Duration // rest of an ordered extent after a doubtful outcome
	RetryBudget          bool          // whether further attempts are rationed
	RetryBudgetFree      float64
	RetryBudgetRatio     float64
	RetryBudgetWindow    time.Duration
}

// Settings is what an initiator is told at its start. As an event it takes the place of the settings there were, but for Ration: what was
// learned and sent stays, and a request that is known ends by its class as it came. Settings that Check turns down change nothing.
type Settings struct {
	Initiators         int           // how many share the pool
	InitiatorIndex     int           // this one's number among them, from 1; 0: not known
	MinStep            time.Duration // least time between two steps
	Classes            []Class
	Plans              []Plan
	Rules              Rules
	MaxAttempts        int           // for one request; 0: no bound
	MeanUnits          float64       // mean size of a request
	MaxUnits           float64       // size of the largest request
	ColdUnitsPerWindow float64       // units within FallWithin that a cold node bears from all initiators
	FairSharePriority  float64       // part of the worth that units beyond the reserve earn inside the share
	ExcessPriority     float64       // part of the worth that units beyond the share earn
	ConnectCost        float64       // what a new connection to a node costs, in requests
	UsagePeriod        time.Duration // period of the use meter; 0: none
	SubscribeToList    bool          // the node list must be subscribed to
	Quota              Quota         // part of fleet-wide wholes, in place of even ones; nil: none
}

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

func (EndpointList) event()    {}
func (Request) event()         {}
func (Outcome) event()         {}
func (ResponseStarted) event() {}
func (ClientGone) event()      {}
func (ProcessCount) event()    {}
func (TimerFired) event()      {}
func (Settings) event()        {}

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
