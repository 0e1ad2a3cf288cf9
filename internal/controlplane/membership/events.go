package membership

import (
	"slices"
	"time"
)

// Event is a change of the view, and its cause.
type Event struct {
	At          time.Duration `json:"-"`
	ID          uint64        `json:"birth"`
	Name        string        `json:"name"`
	Status      string        `json:"to"`
	Incarnation uint32        `json:"incarnation"`
	Reason      string        `json:"why"`
	Reporters   []uint64      `json:"-"` // of a death: whose word it is
}

// Counts are what has come to pass since the start.
type Counts struct {
	Probes, Failed, Suspected, Buried, Refuted, Pauses, Starved, Voided uint64
	Stale, Foreign, Misdirected, Limited, Absurd                        uint64 // messages that changed nothing
}

func (m *Node) addEvent(now time.Duration, e *member, to string, inc uint32, why string) {
	m.eventCount++
	m.events = append(m.events, Event{At: now, ID: e.id, Name: e.info.Name, Status: to, Incarnation: inc, Reason: why})
	if len(m.events) > maxEvents {
		m.events = slices.Delete(m.events, 0, len(m.events)-maxEvents)
	}
}

// Events are the changes of the view that are kept, the latest last, and how many there ever were.
func (m *Node) Events() (kept []Event, ever int) { return m.events, m.eventCount }
