package quota

// RejectionError is the code in the response to a rejected join or renewal. Members and logs use the
// code as text.
type RejectionError string

// Codes of rejections.
const (
	ErrNoSession     RejectionError = "NO_SEAT"        // the maximum number of sessions is reached
	ErrNameTaken     RejectionError = "NAME_TAKEN"     // another live instance has the name
	ErrUnknownMember RejectionError = "UNKNOWN_MEMBER" // the agents have no such session
	ErrStaleRenewal  RejectionError = "OLD_RENEWAL"    // a later renewal of the session was processed
	ErrNoBudgets     RejectionError = "NO_BUDGETS"     // no budgets are configured
)

// Error returns the code.
func (r RejectionError) Error() string { return string(r) }
