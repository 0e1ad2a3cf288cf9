package watchstream

import (
	"fmt"
	"time"
)

// Reason classifies why a message or a change was rejected. Rejections are counted by reason.
type Reason string

// The reasons.
const (
	ReasonForeignFleet Reason = "foreign"   // another fleet: the relay addresses or the fleet name are misconfigured
	ReasonEpoch        Reason = "epoch"     // another epoch that does not replace the current one (step 9)
	ReasonMisdirected  Reason = "misdirect" // addressed to another reader, region or zone
	// starts at another position than the reader's; harmless, the next request repeats the reader's position
	ReasonGap        Reason = "gap"
	ReasonBehind     Reason = "back" // from a source that is behind the reader; harmless
	ReasonOversize   Reason = "oversize"
	ReasonDisorder   Reason = "disorder"  // records out of order, duplicate, or outside the delta's range
	ReasonOutOfScope Reason = "scope"     // a record that is not in the reader's scope
	ReasonMalformed  Reason = "malformed" // a record or a field that is invalid
	ReasonStale      Reason = "stale"     // a request or report older than one already processed
	ReasonNotReady   Reason = "unready"   // the source has no state yet
)

// RejectedError reports a rejected message or change, which has changed nothing.
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

// BusyError reports that a source admits no new reader now. The reader may retry after RetryAfter, at
// this source or another.
type BusyError struct{ RetryAfter time.Duration }

// Error returns when to retry.
func (e *BusyError) Error() string { return fmt.Sprintf("feed: busy: come again in %v", e.RetryAfter) }

// ConflictError reports a change whose IfVersion is not the newest version.
type ConflictError struct{ Expected, Head uint64 }

// Error returns both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("feed: the change is for version %d and the log is at %d: look at what has changed, and put it again", e.Expected, e.Head)
}

// FieldError reports an invalid field of a change, a request, a report or a set of options.
type FieldError struct{ Field, Why string }

// Error returns the field and why it is invalid.
func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// fieldError returns a FieldError.
func fieldError(name, format string, args ...any) error {
	return &FieldError{name, fmt.Sprintf(format, args...)}
}
