// Package policy decides, for one initiator of a shared disk pool, when each
// request leaves for the node that holds its data, and how each request ends.
//
// The decisions are in scheduler.go; this file is the whole interface.
package policy

import "time"

// Effect says what a class allows to happen twice.
type Effect int

const (
	// Pure requests may be repeated and refused freely.
	Pure Effect = iota
	// Keyed requests may be repeated only among nodes that drop the repeat.
	Keyed
	// Unsafe requests may be repeated only when no earlier attempt can have run.
	Unsafe
)

// Group says which nodes drop repeats of a keyed request.
type Group int

const (
	// GroupAll is every node.
	GroupAll Group = iota
	// GroupZone is the nodes of one zone.
	GroupZone
	// GroupCell is the nodes that hold one shard.
	GroupCell
)

// Class is one request class.
type Class struct {
	Name     string
	Aim      time.Duration // an answer by then earns the full worth
	Deadline time.Duration // the client's whole patience, over all its tries
	Effect   Effect
	Group    Group         // for Keyed
	Window   time.Duration // for Keyed: how long repeats are remembered
	Worth    float64       // of a mean request answered within the aim
	InOrder  bool          // requests with one extent run one at a time, as taken
}

// Plan is what each volume on it is owed, over all initiators and nodes.
type Plan struct {
	Name       string
	Rate       float64 // units a second that such a volume is sized for
	Reserve    float64 // units a second that earn their full worth; 0: none
	Weight     float64 // part of what a shard can do beyond the reserves
	Price      float64 // factor on the worth
	Limit      float64 // units a second at most; 0: no limit
	LimitBurst float64 // units that the limit's store holds
}

// Rules holds the figures of the rules. A zero asks nothing, except for Drain.
type Rules struct {
	ColdShare    float64       // a node starts at this part of its capacity or more
	WarmWithin   time.Duration // and is warm after this
	FallWithin   time.Duration // the span over which work to a cold node is counted
	FallMultiple float64       // times its capacity that a cold node bears for that long
	Settle       time.Duration // rest of an ordered extent after a doubtful outcome
	Budget       bool          // whether further attempts are rationed
	BudgetFree   float64
	BudgetShare  float64
	BudgetSpan   time.Duration
}

// Settings is what an initiator is told at its start. As an event it takes the place of the settings there were, but for Ration: what was
// learned and sent stays, and a request that is known ends by its class as it came. Settings that Check turns down change nothing.
type Settings struct {
	Initiators   int           // how many share the pool
	Index        int           // this one's number among them, from 1; 0: not known
	Tick         time.Duration // least time between two steps
	Classes      []Class
	Plans        []Plan
	Rules        Rules
	MaxAttempts  int           // for one request; 0: no bound
	MeanUnits    float64       // mean size of a request
	LargestUnits float64       // size of the largest request
	ColdUnits    float64       // units within FallWithin that a cold node bears from all initiators
	FairWorth    float64       // part of the worth that units beyond the reserve earn inside the share
	IdleWorth    float64       // part of the worth that units beyond the share earn
	Handshake    float64       // what a new connection to a node costs, in requests
	Meter        time.Duration // period of the use meter; 0: none
	AskForList   bool          // the node list must be subscribed to
	Ration       Ration        // part of fleet-wide wholes, in place of even ones; nil: none
}

// Event is one of the event types below.
type Event interface{ event() }

// NodeState is what the list says of a node.
type NodeState int

const (
	// Up nodes take requests.
	Up NodeState = iota
	// Draining nodes finish what they have.
	Draining
	// Removed nodes are gone.
	Removed
)

// Node is an entry of the node list.
type Node struct {
	ID      string
	Zone    string
	Shard   int
	State   NodeState
	Started time.Duration // clock time of its last start; 0: long ago
}

// NodeList reports the list, or what changed in it.
type NodeList struct {
	Whole  bool // a node that is absent is gone
	Broken bool // the call for it failed; nothing changed
	Nodes  []Node
}

// Request is a client request that the initiator now owes one final answer.
type Request struct {
	ID         string
	Class      string
	Plan       string
	Volume     string
	Extent     string        // the piece of data; may be empty
	Shard      int           // where the data is; -1: a new object, for any node
	Units      float64       // its size
	Initiators int           // how many carry this volume
	At         string        // the node that has its body but for the last of it; empty: its body is here
	Keyless    bool          // of a Keyed class, without the key by which nodes drop its repeat
	Budget     time.Duration // the client gives this try up after that
}

// Code is how an attempt ended.
type Code int

const (
	// Delivered was served.
	Delivered Code = iota
	// Errored was answered with an error and may have run.
	Errored
	// Full was turned away unseen.
	Full
	// Expired had no answer in time and may have run.
	Expired
	// NoConnection never reached the node.
	NoConnection
	// Reset lost its connection and may have run.
	Reset
	// Cancelled was called off and may have run.
	Cancelled
	// Moot was not sent.
	Moot
)

// MayRun tells whether an attempt that ended so may have run.
func (c Code) MayRun() bool { return c != Full && c != NoConnection && c != Moot }

// Load is what a node reports of itself, late and noisy. A negative figure is not told.
type Load struct {
	Queue    float64 // requests that wait
	InFlight float64 // requests that it holds
}

// Outcome ends one attempt.
type Outcome struct {
	ID      string
	Attempt int
	Node    string
	Code    Code
	Took    time.Duration
	Closed  bool  // the request has its final answer
	Load    *Load // the node's report; nil: none
	Used    int   // 1 + percent of the plan's rate the volume had everywhere; 0: not told
}

// StreamBegun tells that the answer of an attempt has started.
type StreamBegun struct{ ID string }

// Shared tells how many processes act for this initiator, which for the rules are one. Until it comes there is one.
type Shared struct{ Parts int }

// Departed tells that the client is gone; nothing more is owed.
type Departed struct{ ID string }

// Timer is due, as asked for by SetTimer.
type Timer struct{}

func (NodeList) event()    {}
func (Request) event()     {}
func (Outcome) event()     {}
func (StreamBegun) event() {}
func (Departed) event()    {}
func (Shared) event()      {}
func (Timer) event()       {}
func (Settings) event()    {}

// ActionKind tells the actions apart.
type ActionKind int

const (
	// Send starts an attempt of Request at Node, given up after Wait.
	Send ActionKind = iota
	// Refuse turns Request away: a retry is harmless, and best comes after Wait (0: no advice).
	Refuse
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
	Kind    ActionKind
	Request string
	Node    string
	Wait    time.Duration
	Ahead   time.Duration // of a request's end of being held: how much of it its start tag lay ahead
	Text    string
	Permit  Permit        // of a Send: has to be good at its first byte; nil: none is needed
	Within  time.Duration // of a Send: how long from now its bytes may leave; 0: as long as the attempt lasts
}
