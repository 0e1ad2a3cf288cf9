package membership

import (
	"slices"
	"time"
)

// Event is a change of the view with its cause.
type Event struct {
	At          time.Duration `json:"-"`
	ID          uint64        `json:"birth"`
	Name        string        `json:"name"`
	Status      string        `json:"to"`
	Incarnation uint32        `json:"incarnation"`
	Reason      string        `json:"why"`
	Reporters   []uint64      `json:"-"` // of a death
}

// Counts are the node's counters. JSON uses the field names.
type Counts struct {
	Probes, Failed, Suspected, Buried, Refuted, Pauses, Starved, Voided uint64
	Stale, Foreign, Misdirected, Limited, Absurd                        uint64 // messages that were ignored: not recent,
}

// addEvent records a change of the view.
func (n *Node) addEvent(now time.Duration, m *member, to string, inc uint32, why string) {
	n.eventCount++
	n.events = append(n.events, Event{At: now, ID: m.id, Name: m.info.Name, Status: to, Incarnation: inc, Reason: why})
	if len(n.events) > maxEvents {
		n.events = slices.Delete(n.events, 0, len(n.events)-maxEvents)
	}
}

// Events returns the changes that are kept, the latest last, and the number of all.
func (n *Node) Events() (kept []Event, ever int) { return n.events, n.eventCount }
