// Package membership is how initiators know each other without a leader: periodic probes, probes through others, suspicion that its
// member can refute, records carried on the probes, and an exchange of what two views do not share. It does no I/O; time and
// randomness are passed in, and equal inputs give equal outputs. docs/members.md has the argument; the numbers in the comments here
// are that page's steps.
package membership

import (
	"errors"
	"fmt"
)

// Version is of the messages; others are not read.
const Version = 1

// Bounds of what a message may hold.
const (
	MaxTextBytes    = 64   // bytes of a name, an address or a zone
	MaxMessageBytes = 1200 // of a message, whatever the size of the fleet
	MaxRecords      = 24
	MaxReachability = 8
	DigestBuckets   = 64 // that a view is compared by
	maxSyncPages    = 8  // answered to one comparison
)

// Status is what a record says of a member.
type Status uint8

// A later one wins over an earlier one of the same incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
	statuses
)

func (s Status) String() string {
	if s >= statuses {
		return fmt.Sprint("status ", uint8(s))
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Info is what is known of a member besides.
type Info struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // where it is reached
	Zone string `cbor:"3,keyasint,omitempty"`
}

// Record is one word on one member. A member is one life of a process, and Birth, drawn at its start, is its identity: what is said
// of a process goes for no later one of the same name. Inc is its incarnation, which it alone raises.
type Record struct {
	ID          uint64 `cbor:"1,keyasint"`
	Incarnation uint32 `cbor:"2,keyasint"`
	Status      Status `cbor:"3,keyasint,omitempty"`
	Info        Info   `cbor:"4,keyasint"`
	Reporter    uint64 `cbor:"5,keyasint,omitempty"` // whose word a suspicion or a death is
	PausedMs    uint32 `cbor:"6,keyasint,omitempty"` // ms that the member stood still before it raised its incarnation
}

func (r *Record) size() int { return len(r.Info.Name) + len(r.Info.Addr) + len(r.Info.Zone) + 48 }

// Validate names the field that cannot be right.
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

// Reachability is what one member found of the way from one to another.
type Reachability struct {
	Observer uint64    `cbor:"1,keyasint"`
	From     uint64    `cbor:"2,keyasint"`
	To       uint64    `cbor:"3,keyasint"`
	State    LinkState `cbor:"4,keyasint"`
	Seq      uint32    `cbor:"5,keyasint"` // of By: the greater is the later
}

// LinkState is what is wrong with a way.
type LinkState uint8

// The kinds of cuts.
const (
	LinkUp        LinkState = iota // nothing, again
	LinkDown                       // From's messages do not come to To
	DatagramsLost                  // datagrams do not pass, streams do
)

func (c LinkState) String() string {
	if c > DatagramsLost {
		return fmt.Sprint("cut ", uint8(c))
	}
	return [...]string{"open", "cut", "datagrams cut"}[c]
}

// MessageKind is what a message is.
type MessageKind uint8

// The kinds of messages.
const (
	Ping        MessageKind = iota // answer
	Ack                            // the answer to a ping, with a question of its own
	AckConfirm                     // the answer to that
	PingRequest                    // ping another for me
	IndirectAck                    // the other has answered
	Nack                           // it has not, and I am here
	SyncRequest                    // which parts of our views differ?
	SyncPage                       // records of parts that differ
	kinds
)

func (k MessageKind) String() string {
	if k >= kinds {
		return fmt.Sprint("kind ", uint8(k))
	}
	return [...]string{"ping", "ack", "confirm", "ask", "told", "nack", "compare", "page"}[k]
}

// Message is one datagram, or one frame of a stream.
type Message struct {
	Version uint8       `cbor:"1,keyasint"`
	FleetID uint64      `cbor:"2,keyasint"`
	Kind    MessageKind `cbor:"3,keyasint"`
	From    Record      `cbor:"4,keyasint"`           // the sender, by its own word
	To      uint64      `cbor:"5,keyasint,omitempty"` // the birth that it is for; 0: whoever is there
	Nonce   uint64      `cbor:"6,keyasint,omitempty"` // to be echoed
	Echo    uint64      `cbor:"7,keyasint,omitempty"` // of what this answers: it was written after that
	// Of a ping: what its sender knows of the one it is for, and for how long it has not heard it.
	Opinion  *Opinion `cbor:"8,keyasint,omitempty"`
	SilentMs uint32   `cbor:"9,keyasint,omitempty"` // ms; 0: heard lately, or never met
	// Of an ask, a told and a nack: who is meant; of a ping for another and its answer, the asker's nonce.
	Subject          Record `cbor:"10,keyasint,omitempty"`
	RequesterNonce   uint64 `cbor:"11,keyasint,omitempty"`
	SawRequesterPing bool   `cbor:"12,keyasint,omitempty"` // the one asked for has had the asker's own ping
	// What the sender tells of itself, where it can be trusted to be of now.
	Health uint8  `cbor:"13,keyasint,omitempty"` // 0: well; more: it doubts itself
	Load   uint16 `cbor:"14,keyasint,omitempty"`
	Agent  string `cbor:"15,keyasint,omitempty"` // one that has answered it lately

	Records      []Record       `cbor:"16,keyasint,omitempty"`
	Reachability []Reachability `cbor:"17,keyasint,omitempty"`
	Digests      []uint64       `cbor:"18,keyasint,omitempty"`
	ViewSize     uint32         `cbor:"19,keyasint,omitempty"` // of the sender's view
}

// Opinion is a status and the incarnation that it is of.
type Opinion struct {
	Incarnation uint32 `cbor:"1,keyasint"`
	Status      Status `cbor:"2,keyasint,omitempty"`
}

// Validate names what cannot be right: nothing of such a message is used.
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
	for i, l := range m.Reachability {
		if l.State > DatagramsLost || l.Observer == 0 || l.From == 0 || l.To == 0 {
			return fmt.Errorf("links[%d]: not one", i)
		}
	}
	return nil
}

// Channel is what a message goes by.
type Channel uint8

// The ways of a message.
const (
	Datagram Channel = iota
	Stream
)

// Outgoing is a message that is to go out.
type Outgoing struct {
	Addr    string
	Channel Channel
	*Message
}
