package watchstream

import (
	"fmt"
	"time"
)

// Reason is why something was refused; refusals are counted by it.
type Reason string

// The reasons.
const (
	ReasonForeignFleet Reason = "foreign"   // of another fleet: the addresses of the relays, or the fleet's name, are wrong
	ReasonEpoch        Reason = "epoch"     // of another history, which does not say that it takes the place of the one that is held (step 9)
	ReasonMisdirected  Reason = "misdirect" // made for another reader, or another region or zone
	ReasonGap          Reason = "gap"       // it begins elsewhere than where the reader is; harmless, the next one fits
	ReasonBehind       Reason = "back"      // from a source that is behind what the reader has seen; harmless, it catches up
	ReasonOversize     Reason = "oversize"  // over its size
	ReasonDisorder     Reason = "disorder"  // records out of order, twice, or outside what the delta says that it covers
	ReasonOutOfScope   Reason = "scope"     // a record that is of another's scope, or of none
	ReasonMalformed    Reason = "malformed" // a record or a field that cannot be read
	ReasonStale        Reason = "stale"     // a hello that came late: a newer one is known
	ReasonNotReady     Reason = "unready"   // the source has nothing yet
)

// RejectedError says that something was not taken, and that nothing was changed by it.
type RejectedError struct {
	Reason Reason
	Why    string
}

func (e *RejectedError) Error() string { return fmt.Sprintf("feed: refused (%s): %s", e.Reason, e.Why) }

func reject(r Reason, why string, args ...any) error {
	return &RejectedError{r, fmt.Sprintf(why, args...)}
}

// BusyError says that a source takes no new reader now; it is to come again after a while, here or elsewhere.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string { return fmt.Sprintf("feed: busy: come again in %v", e.RetryAfter) }

// ConflictError says that a change was for another version than the log's head.
type ConflictError struct{ Expected, Head uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("feed: the change is for version %d and the log is at %d: look at what has changed, and put it again", e.Expected, e.Head)
}

// FieldError names what in a change, a hello or a configuration cannot be used.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func fieldError(name, why string, args ...any) error {
	return &FieldError{name, fmt.Sprintf(why, args...)}
}
