// Package membership is how initiators know each other without a leader: periodic probes, probes through others, suspicion that its
// member can refute, records carried on the probes, and an exchange of what two views do not share. It does no I/O; time and
// randomness are passed in, and equal inputs give equal outputs. docs/members.md has the argument; the numbers in the comments here
// are that page's steps.
package membership

import (
	"errors"
	"fmt"
	"time"
)

// Version is of the messages; others are not read.
const Version = 1

// Bounds of what a message may hold.
const (
	MostText    = 64   // bytes of a name, an address or a zone
	MostBytes   = 1200 // of a message, whatever the size of the fleet
	MostRecords = 24
	MostLinks   = 8
	Buckets     = 64 // that a view is compared by
	mostPages   = 8  // answered to one comparison
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
	Birth  uint64 `cbor:"1,keyasint"`
	Inc    uint32 `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint,omitempty"`
	Info   Info   `cbor:"4,keyasint"`
	By     uint64 `cbor:"5,keyasint,omitempty"` // whose word a suspicion or a death is
	Paused uint32 `cbor:"6,keyasint,omitempty"` // ms that the member stood still before it raised its incarnation
}

func (r *Record) size() int { return len(r.Info.Name) + len(r.Info.Addr) + len(r.Info.Zone) + 48 }

// Check names the field that cannot be right.
func (r *Record) Check() error {
	switch {
	case r.Birth == 0:
		return errors.New("birth: missing")
	case r.Status >= statuses:
		return fmt.Errorf("status: %d is unknown", r.Status)
	case r.Info.Name == "" || len(r.Info.Name) > MostText:
		return fmt.Errorf("name: wanted 1 to %d bytes", MostText)
	case r.Info.Addr == "" || len(r.Info.Addr) > MostText:
		return fmt.Errorf("addr: wanted 1 to %d bytes", MostText)
	case len(r.Info.Zone) > MostText:
		return fmt.Errorf("zone: at most %d bytes", MostText)
	}
	return nil
}

// Link is what one member found of the way from one to another.
type Link struct {
	By   uint64 `cbor:"1,keyasint"`
	From uint64 `cbor:"2,keyasint"`
	To   uint64 `cbor:"3,keyasint"`
	Kind Cut    `cbor:"4,keyasint"`
	Seq  uint32 `cbor:"5,keyasint"` // of By: the greater is the later
}

// Cut is what is wrong with a way.
type Cut uint8

// The kinds of cuts.
const (
	Open      Cut = iota // nothing, again
	Sends                // From's messages do not come to To
	Datagrams            // datagrams do not pass, streams do
)

func (c Cut) String() string {
	if c > Datagrams {
		return fmt.Sprint("cut ", uint8(c))
	}
	return [...]string{"open", "cut", "datagrams cut"}[c]
}

// Kind is what a message is.
type Kind uint8

// The kinds of messages.
const (
	Ping    Kind = iota // answer
	Ack                 // the answer to a ping, with a question of its own
	Confirm             // the answer to that
	Ask                 // ping another for me
	Told                // the other has answered
	Nack                // it has not, and I am here
	Compare             // which parts of our views differ?
	Page                // records of parts that differ
	kinds
)

func (k Kind) String() string {
	if k >= kinds {
		return fmt.Sprint("kind ", uint8(k))
	}
	return [...]string{"ping", "ack", "confirm", "ask", "told", "nack", "compare", "page"}[k]
}

// Message is one datagram, or one frame of a stream.
type Message struct {
	Version uint8  `cbor:"1,keyasint"`
	Fleet   uint64 `cbor:"2,keyasint"`
	Kind    Kind   `cbor:"3,keyasint"`
	From    Record `cbor:"4,keyasint"`           // the sender, by its own word
	To      uint64 `cbor:"5,keyasint,omitempty"` // the birth that it is for; 0: whoever is there
	Nonce   uint64 `cbor:"6,keyasint,omitempty"` // to be echoed
	Echo    uint64 `cbor:"7,keyasint,omitempty"` // of what this answers: it was written after that
	// Of a ping: what its sender knows of the one it is for, and for how long it has not heard it.
	You    *Word  `cbor:"8,keyasint,omitempty"`
	Unhear uint32 `cbor:"9,keyasint,omitempty"` // ms; 0: heard lately, or never met
	// Of an ask, a told and a nack: who is meant; of a ping for another and its answer, the asker's nonce.
	About Record `cbor:"10,keyasint,omitempty"`
	For   uint64 `cbor:"11,keyasint,omitempty"`
	Seen  bool   `cbor:"12,keyasint,omitempty"` // the one asked for has had the asker's own ping
	// What the sender tells of itself, where it can be trusted to be of now.
	Health uint8  `cbor:"13,keyasint,omitempty"` // 0: well; more: it doubts itself
	Load   uint16 `cbor:"14,keyasint,omitempty"`
	Agent  string `cbor:"15,keyasint,omitempty"` // one that has answered it lately

	Records []Record `cbor:"16,keyasint,omitempty"`
	Links   []Link   `cbor:"17,keyasint,omitempty"`
	Digests []uint64 `cbor:"18,keyasint,omitempty"`
	Size    uint32   `cbor:"19,keyasint,omitempty"` // of the sender's view
}

// Word is a status and the incarnation that it is of.
type Word struct {
	Inc    uint32 `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint,omitempty"`
}

// Check names what cannot be right: nothing of such a message is used.
func (m *Message) Check() error {
	switch {
	case m.Version != Version:
		return fmt.Errorf("version: %d, this program reads %d", m.Version, Version)
	case m.Kind >= kinds:
		return fmt.Errorf("kind: %d is unknown", m.Kind)
	case len(m.Records) > MostRecords:
		return fmt.Errorf("records: %d, at most %d", len(m.Records), MostRecords)
	case len(m.Links) > MostLinks:
		return fmt.Errorf("links: %d, at most %d", len(m.Links), MostLinks)
	case len(m.Digests) != 0 && len(m.Digests) != Buckets:
		return fmt.Errorf("digests: %d, wanted %d", len(m.Digests), Buckets)
	case len(m.Agent) > MostText:
		return fmt.Errorf("agent: at most %d bytes", MostText)
	case m.You != nil && m.You.Status >= statuses:
		return fmt.Errorf("you.status: %d is unknown", m.You.Status)
	}
	if err := m.From.Check(); err != nil {
		return fmt.Errorf("from.%w", err)
	}
	if m.Kind == Ask || m.Kind == Told || m.Kind == Nack {
		if err := m.About.Check(); err != nil {
			return fmt.Errorf("about.%w", err)
		}
	}
	for i := range m.Records {
		if err := m.Records[i].Check(); err != nil {
			return fmt.Errorf("records[%d].%w", i, err)
		}
	}
	for i, l := range m.Links {
		if l.Kind > Datagrams || l.By == 0 || l.From == 0 || l.To == 0 {
			return fmt.Errorf("links[%d]: not one", i)
		}
	}
	return nil
}

// Via is what a message goes by.
type Via uint8

// The ways of a message.
const (
	Datagram Via = iota
	Stream
)

// Send is a message that is to go out.
type Send struct {
	Addr string
	Via  Via
	*Message
}

// Settings are the same at all members of a fleet. Lengths scale with the logarithm of the size where docs/members.md says so.
type Settings struct {
	Fleet     uint64        // tells fleets apart
	Period    time.Duration // from one probe to the next
	Timeout   time.Duration // for a probe's answer, before others are asked
	Helpers   int           // how many are
	Suspect   float64       // periods of suspicion, times log10 of the size: half of it with enough reporters
	Stretch   float64       // times that half where one member alone suspects
	Reporters int           // that are enough
	Repeats   float64       // how often a record is passed on, times log2 of the size
	Compare   time.Duration // from one comparison of views to the next
	Jump      time.Duration // past which a stretch between two looks at the clock is a pause
	Forget    time.Duration // how long what ended is remembered
	Plain     bool          // neither doubts itself nor asks for reporters: what it is compared with
}

// Usual are the settings where an operator's file has none.
var Usual = Settings{Period: time.Second, Timeout: 300 * time.Millisecond, Helpers: 3, Suspect: 2, Stretch: 5, Reporters: 3, Repeats: 3,
	Compare: 10 * time.Second, Jump: 2 * time.Second, Forget: time.Hour}
