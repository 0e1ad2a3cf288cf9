package quota

// RejectionError is the code that a member gets when a join or a renewal is rejected. Members and logs
// see the code as text.
type RejectionError string

// The codes.
const (
	ErrNoSession     RejectionError = "NO_SEAT"        // all sessions are taken
	ErrNameTaken     RejectionError = "NAME_TAKEN"     // another live instance has the name
	ErrUnknownMember RejectionError = "UNKNOWN_MEMBER" // there is no such session
	ErrStaleRenewal  RejectionError = "OLD_RENEWAL"    // a later renewal of the session was processed
	ErrNoBudgets     RejectionError = "NO_BUDGETS"     // no budgets are set
)

// Error returns the code.
func (r RejectionError) Error() string { return string(r) }
