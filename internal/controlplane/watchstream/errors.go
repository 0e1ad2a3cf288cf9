package watchstream

import (
	"fmt"
	"time"
)

// Reason is why something was rejected. Rejections are counted by it.
type Reason string

// The reasons.
const (
	ReasonForeignFleet Reason = "foreign"   // of another fleet: wrong relay addresses, or a wrong fleet name
	ReasonEpoch        Reason = "epoch"     // of another history that does not replace the present one (step 9)
	ReasonMisdirected  Reason = "misdirect" // made for another reader, region or zone
	// starts at another position than the reader's; harmless, the next one fits
	ReasonGap        Reason = "gap"
	ReasonBehind     Reason = "back" // from a source that is behind what the reader has seen; harmless
	ReasonOversize   Reason = "oversize"
	ReasonDisorder   Reason = "disorder"  // records out of order, twice, or outside the delta's range
	ReasonOutOfScope Reason = "scope"     // a record of another's scope, or of none
	ReasonMalformed  Reason = "malformed" // a record or a field that cannot be read
	ReasonStale      Reason = "stale"     // an old request: a newer one was processed
	ReasonNotReady   Reason = "unready"   // the source has nothing yet
)

// RejectedError says that something was rejected and has changed nothing.
type RejectedError struct {
	Reason Reason
	Why    string
}

// Error returns the reason and the detail.
func (e *RejectedError) Error() string { return fmt.Sprintf("feed: refused (%s): %s", e.Reason, e.Why) }

// reject returns a RejectedError.
func reject(reason Reason, format string, args ...any) error {
	return &RejectedError{reason, fmt.Sprintf(format, args...)}
}

// BusyError says that a source takes no new reader now; the reader may retry after RetryAfter, here or
// elsewhere.
type BusyError struct{ RetryAfter time.Duration }

// Error says when to retry.
func (e *BusyError) Error() string { return fmt.Sprintf("feed: busy: come again in %v", e.RetryAfter) }

// ConflictError says that a change expected another version than the newest one.
type ConflictError struct{ Expected, Head uint64 }

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("feed: the change is for version %d and the log is at %d: look at what has changed, and put it again", e.Expected, e.Head)
}

// FieldError names a field of a change, a request or a configuration that cannot be used.
type FieldError struct{ Field, Why string }

// Error returns the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// fieldError returns a FieldError.
func fieldError(name, format string, args ...any) error {
	return &FieldError{name, fmt.Sprintf(format, args...)}
}
