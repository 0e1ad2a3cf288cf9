package quota

// RejectionError says why a member has no seat.
type RejectionError string

const (
	ErrNoSession     RejectionError = "NO_SEAT"
	ErrNameTaken     RejectionError = "NAME_TAKEN"
	ErrUnknownMember RejectionError = "UNKNOWN_MEMBER"
	ErrStaleRenewal  RejectionError = "OLD_RENEWAL"
	ErrNoBudgets     RejectionError = "NO_BUDGETS"
)

func (r RejectionError) Error() string { return string(r) }
