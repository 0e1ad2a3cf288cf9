package watchstream

import (
	"fmt"
	"time"
)

// Reason is why something was refused; refusals are counted by it.
type Reason string

// The reasons.
const (
	Foreign   Reason = "foreign"   // of another fleet: the addresses of the relays, or the fleet's name, are wrong
	Epoch     Reason = "epoch"     // of another history, which does not say that it takes the place of the one that is held (step 9)
	Misdirect Reason = "misdirect" // made for another reader, or another region or zone
	Gap       Reason = "gap"       // it begins elsewhere than where the reader is; harmless, the next one fits
	Back      Reason = "back"      // from a source that is behind what the reader has seen; harmless, it catches up
	Oversize  Reason = "oversize"  // over its size
	Disorder  Reason = "disorder"  // records out of order, twice, or outside what the delta says that it covers
	OutOf     Reason = "scope"     // a record that is of another's scope, or of none
	Malformed Reason = "malformed" // a record or a field that cannot be read
	Stale     Reason = "stale"     // a hello that came late: a newer one is known
	Unready   Reason = "unready"   // the source has nothing yet
)

// Refusal says that something was not taken, and that nothing was changed by it.
type Refusal struct {
	Reason Reason
	Why    string
}

func (e *Refusal) Error() string { return fmt.Sprintf("feed: refused (%s): %s", e.Reason, e.Why) }

func refuse(r Reason, why string, args ...any) error { return &Refusal{r, fmt.Sprintf(why, args...)} }

// Busy says that a source takes no new reader now; it is to come again after a while, here or elsewhere.
type Busy struct{ After time.Duration }

func (e *Busy) Error() string { return fmt.Sprintf("feed: busy: come again in %v", e.After) }

// Conflict says that a change was for another version than the log's head.
type Conflict struct{ If, Head uint64 }

func (e *Conflict) Error() string {
	return fmt.Sprintf("feed: the change is for version %d and the log is at %d: look at what has changed, and put it again", e.If, e.Head)
}
