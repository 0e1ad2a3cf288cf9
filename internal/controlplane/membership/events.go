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
	Reporters   []uint64      `json:"-"` // members whose reports led to a death
}

// Counts are a member's counters. JSON uses the field names or, where a field has one, its tag.
type Counts struct {
	Probes              uint64
	Failed              uint64 // probes that neither the member nor a helper answered
	Suspected           uint64
	DeclaredDead        uint64 `json:"Buried"`
	Refuted             uint64 // suspicions and deaths of this member that it refuted
	Pauses              uint64 // of this process
	Starved             uint64 // clock checks that were late, but by less than a pause
	RestartedSuspicions uint64 `json:"Voided"`
	Stale               uint64 // messages ignored: no pending request matches, or the sender has this member's id
	Foreign             uint64 // messages ignored: another fleet
	Misdirected         uint64 // messages ignored: another receiver
	Limited             uint64 // sync requests ignored: malformed, or beyond maxSyncAnswers
	FutureIncarnations  uint64 `json:"Absurd"` // reports on this member ignored: incarnation greater than its own
}

// addEvent appends a change of the view, and drops the oldest beyond maxEvents.
func (n *Node) addEvent(now time.Duration, m *member, to string, inc uint32, reason string) {
	n.eventCount++
	n.events = append(n.events, Event{At: now, ID: m.id, Name: m.info.Name, Status: to, Incarnation: inc, Reason: reason})
	if len(n.events) > maxEvents {
		n.events = slices.Delete(n.events, 0, len(n.events)-maxEvents)
	}
}

// Events returns the changes that are kept, the latest last, and the number of all changes so far.
func (n *Node) Events() (kept []Event, ever int) { return n.events, n.eventCount }
