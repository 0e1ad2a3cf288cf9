package membership

import (
	"errors"
	"fmt"
)

// Version is the protocol version; messages of other versions are rejected.
const Version = 1

// Bounds of a message.
const (
	MaxTextBytes    = 64   // of a name, an address or a zone
	MaxMessageBytes = 1200 // independent of the size of the fleet
	MaxRecords      = 24
	MaxReachability = 8
	DigestBuckets   = 64 // digests by which two views are compared, each over the ids of one bucket
	maxSyncPages    = 8  // sent in reply to one sync request or page
)

// Status is a member's status in a record. Of two records with the same incarnation, the one with the
// greater status wins.
type Status uint8

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
	statuses
)

// String returns the status in lower case.
func (s Status) String() string {
	if s >= statuses {
		return fmt.Sprint("status ", uint8(s))
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Info is the information on a member that does not change with its status.
type Info struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // host:port of its sockets
	Zone string `cbor:"3,keyasint,omitempty"`
}

// Record reports the status of one member. A member is one run of a process; its ID is drawn at its
// start, so that records of one run do not apply to a later run with the same name. Only the member itself
// raises its incarnation.
type Record struct {
	ID          uint64 `cbor:"1,keyasint"`
	Incarnation uint32 `cbor:"2,keyasint"`
	Status      Status `cbor:"3,keyasint,omitempty"`
	Info        Info   `cbor:"4,keyasint"`
	Reporter    uint64 `cbor:"5,keyasint,omitempty"` // member that suspects it or declared it dead
	PausedMs    uint32 `cbor:"6,keyasint,omitempty"` // length of the pause after which it raised its incarnation
}

// size returns an upper bound of the encoded size in bytes.
func (r *Record) size() int { return len(r.Info.Name) + len(r.Info.Addr) + len(r.Info.Zone) + 48 }

// Validate returns an error that names the first invalid field.
func (r *Record) Validate() error {
	switch {
	case r.ID == 0:
		return errors.New("birth: missing")
	case r.Status >= statuses:
		return fmt.Errorf("status: %d is unknown", r.Status)
	case r.Info.Name == "" || len(r.Info.Name) > MaxTextBytes:
		return fmt.Errorf("name: wanted 1 to %d bytes", MaxTextBytes)
	case r.Info.Addr == "" || len(r.Info.Addr) > MaxTextBytes:
		return fmt.Errorf("addr: wanted 1 to %d bytes", MaxTextBytes)
	case len(r.Info.Zone) > MaxTextBytes:
		return fmt.Errorf("zone: at most %d bytes", MaxTextBytes)
	}
	return nil
}

// Reachability is a finding of one member, the observer, about the link from one member to another.
type Reachability struct {
	Observer uint64    `cbor:"1,keyasint"`
	From     uint64    `cbor:"2,keyasint"`
	To       uint64    `cbor:"3,keyasint"`
	State    LinkState `cbor:"4,keyasint"`
	Seq      uint32    `cbor:"5,keyasint"` // counts the observer's findings: the greatest is the latest
}

// LinkState is the state of a link in one direction.
type LinkState uint8

// The states.
const (
	LinkUp        LinkState = iota // messages arrive again
	LinkDown                       // messages do not arrive
	DatagramsLost                  // messages arrive by stream, but not by datagram
)

// String returns the state as views show it.
func (state LinkState) String() string {
	if state > DatagramsLost {
		return fmt.Sprint("cut ", uint8(state))
	}
	return [...]string{"open", "cut", "datagrams cut"}[state]
}

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds.
const (
	Ping        MessageKind = iota // asks for an Ack
	Ack                            // answers a Ping, with a nonce of its own
	AckConfirm                     // answers an Ack
	PingRequest                    // asks a helper to ping another member
	IndirectAck                    // a helper's reply: the subject answered it
	Nack                           // a helper's reply: it received the request, and the subject has not answered yet
	SyncRequest                    // asks for the records of the buckets whose digests differ
	SyncPage                       // records of buckets whose digests differ
	kinds
)

// String returns the kind as logs show it.
func (k MessageKind) String() string {
	if k >= kinds {
		return fmt.Sprint("kind ", uint8(k))
	}
	return [...]string{"ping", "ack", "confirm", "ask", "told", "nack", "compare", "page"}[k]
}

// Message is one datagram, or one frame of a stream.
type Message struct {
	Version          uint8       `cbor:"1,keyasint"`
	FleetID          uint64      `cbor:"2,keyasint"`
	Kind             MessageKind `cbor:"3,keyasint"`
	From             Record      `cbor:"4,keyasint"`            // the sender's own record
	To               uint64      `cbor:"5,keyasint,omitempty"`  // id of the receiver; 0: any member at the address
	Nonce            uint64      `cbor:"6,keyasint,omitempty"`  // to be echoed in the reply
	Echo             uint64      `cbor:"7,keyasint,omitempty"`  // nonce of the message that this replies to: proves that this one was written after it
	Opinion          *Opinion    `cbor:"8,keyasint,omitempty"`  // of a Ping: the receiver's status in the sender's view
	SilentMs         uint32      `cbor:"9,keyasint,omitempty"`  // time since the sender last heard the receiver; 0: recently, or never
	Subject          Record      `cbor:"10,keyasint,omitempty"` // member that an indirect probe concerns; in a helper's Ping: the requester
	RequesterNonce   uint64      `cbor:"11,keyasint,omitempty"` // nonce of the requester's own ping, in a helper's Ping and its Ack
	SawRequesterPing bool        `cbor:"12,keyasint,omitempty"` // the probed member has received the requester's own ping
	Health           uint8       `cbor:"13,keyasint,omitempty"` // health score of the sender; 0: healthy
	Load             uint16      `cbor:"14,keyasint,omitempty"` // open client requests of the sender
	Agent            string      `cbor:"15,keyasint,omitempty"` // address of an agent that answered the sender recently

	Records      []Record       `cbor:"16,keyasint,omitempty"`
	Reachability []Reachability `cbor:"17,keyasint,omitempty"`
	Digests      []uint64       `cbor:"18,keyasint,omitempty"`
	ViewSize     uint32         `cbor:"19,keyasint,omitempty"` // live members in the sender's view
}

// Opinion is a member's status in a view, and the incarnation to which it applies.
type Opinion struct {
	Incarnation uint32 `cbor:"1,keyasint"`
	Status      Status `cbor:"2,keyasint,omitempty"`
}

// Validate returns an error that names the first invalid field. An invalid message is dropped as a whole.
func (m *Message) Validate() error {
	switch {
	case m.Version != Version:
		return fmt.Errorf("version: %d, this program reads %d", m.Version, Version)
	case m.Kind >= kinds:
		return fmt.Errorf("kind: %d is unknown", m.Kind)
	case len(m.Records) > MaxRecords:
		return fmt.Errorf("records: %d, at most %d", len(m.Records), MaxRecords)
	case len(m.Reachability) > MaxReachability:
		return fmt.Errorf("links: %d, at most %d", len(m.Reachability), MaxReachability)
	case len(m.Digests) != 0 && len(m.Digests) != DigestBuckets:
		return fmt.Errorf("digests: %d, wanted %d", len(m.Digests), DigestBuckets)
	case len(m.Agent) > MaxTextBytes:
		return fmt.Errorf("agent: at most %d bytes", MaxTextBytes)
	case m.Opinion != nil && m.Opinion.Status >= statuses:
		return fmt.Errorf("you.status: %d is unknown", m.Opinion.Status)
	}
	if err := m.From.Validate(); err != nil {
		return fmt.Errorf("from.%w", err)
	}
	if m.Kind == PingRequest || m.Kind == IndirectAck || m.Kind == Nack {
		if err := m.Subject.Validate(); err != nil {
			return fmt.Errorf("about.%w", err)
		}
	}
	for i := range m.Records {
		if err := m.Records[i].Validate(); err != nil {
			return fmt.Errorf("records[%d].%w", i, err)
		}
	}
	for i, r := range m.Reachability {
		if r.State > DatagramsLost || r.Observer == 0 || r.From == 0 || r.To == 0 {
			return fmt.Errorf("links[%d]: unknown state or missing id", i)
		}
	}
	return nil
}

// Channel is the transport of a message.
type Channel uint8

// The channels.
const (
	Datagram Channel = iota
	Stream
)

// Outgoing is a message to send to an address.
type Outgoing struct {
	Addr    string
	Channel Channel
	*Message
}
