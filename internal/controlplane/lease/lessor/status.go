package lessor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// IsCurrent reports whether a member holds a lease under that token and the lease is neither released
// nor being revoked.
func (l *Lessor) IsCurrent(key lease.Key, id string, token uint64) bool {
	state := l.lease(key)
	return state != nil && state.Holder == id && state.Token == token && !state.released && !state.revoking
}

// IsMember reports whether the member is registered.
func (l *Lessor) IsMember(id string) bool {
	_, known := l.members[id]
	return known
}

// Config returns the set of tasks in use.
func (l *Lessor) Config() *lease.Config { return &l.config }

// LeaseStatus is the lessor's view of one lease, for operators.
type LeaseStatus struct {
	lease.Lease
	HolderName string `json:"name,omitempty"` // instance name of the holder
	// held, moving, ended, free, off; unsure: holder has not reported this token in this term; unknown
	State      string `json:"state"`
	SinceMs    int64  `json:"since_ms"`    // since this term first saw the token: a lower bound on the age of the grant
	UntilMs    int64  `json:"until_ms"`    // until its holder can no longer act
	ProgressMs int64  `json:"progress_ms"` // since the last completed operation
	Completed  uint64 `json:"acts"`
	Fenced     uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
}

// Status returns all leases in order.
func (l *Lessor) Status(now time.Duration) []LeaseStatus {
	all := make([]LeaseStatus, 0, len(l.leases))
	for i := range l.leases {
		state := &l.leases[i]
		status := LeaseStatus{Lease: state.Lease, HolderName: l.members[state.Holder].Name, State: "held", SinceMs: (now - state.grantSeenAt).Milliseconds(),
			UntilMs: max(0, (state.expiresAt - now).Milliseconds()), ProgressMs: (now - state.lastProgressAt).Milliseconds(),
			Completed: state.holderStatus.Completed, Fenced: state.holderStatus.Fenced, Failed: state.holderStatus.Failed}
		switch {
		case state.Holder == "" && l.config.Task(state.Task).Disabled:
			status.State = "off"
		case state.Holder == "":
			status.State = "free"
		case state.released || state.maybeDelivered && now >= state.expiresAt:
			status.State = "ended"
		case state.NextHolder != "":
			status.State = "moving"
		case state.holderStatus.Token != state.Token:
			status.State = "unsure"
		}
		all = append(all, status)
	}
	return all
}

// String returns the whole state as text; equal states give equal texts.
func (l *Lessor) String() string {
	b := fmt.Appendf(nil, "%v %d %d %v", l.startedAt, l.lastToken, l.highestSeenToken, l.config)
	for _, id := range slices.Sorted(maps.Keys(l.members)) {
		b = fmt.Appendf(b, "\n%v", l.members[id])
	}
	for i := range l.leases {
		b = fmt.Appendf(b, "\n%+v", l.leases[i])
	}
	for _, x := range slices.SortedFunc(maps.Keys(l.backoffs), func(a, b backoffKey) int {
		return cmp.Or(strings.Compare(a.task, b.task), strings.Compare(a.memberID, b.memberID))
	}) {
		b = fmt.Appendf(b, "\n%v %v", x, l.backoffs[x])
	}
	return string(b)
}
