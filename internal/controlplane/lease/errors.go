package lease

// RejectionError is the reason why a change of leases is rejected, as shown to the operator.
type RejectionError string

// Reasons for rejecting a change.
const (
	ErrUnknownTask      RejectionError = "task: unknown"
	ErrUnknownShard     RejectionError = "shard: the task has no such shard"
	ErrUnknownMember    RejectionError = "member: no such member lives"
	ErrTaskNotSupported RejectionError = "member: it does not run this task"
	ErrTaskDisabled     RejectionError = "task: it is off"
	ErrAlreadyHolder    RejectionError = "member: it holds this shard"
	ErrNotHeld          RejectionError = "shard: nobody holds it"
)

// Error returns the reason.
func (r RejectionError) Error() string { return string(r) }
