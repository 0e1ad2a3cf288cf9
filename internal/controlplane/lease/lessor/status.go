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

// IsCurrent reports whether a member holds a lease under that token and is not about to lose it.
func (k *Lessor) IsCurrent(key lease.Key, id string, token uint64) bool {
	x := k.lease(key)
	return x != nil && x.Holder == id && x.Token == token && !x.released && !x.revoking
}

// IsMember reports whether the member is registered.
func (k *Lessor) IsMember(id string) bool {
	_, known := k.members[id]
	return known
}

// Config is the set of tasks in use.
func (k *Lessor) Config() *lease.Config { return &k.config }

// LeaseStatus is one lease as the lessor sees it.
type LeaseStatus struct {
	lease.Lease
	HolderName string `json:"name,omitempty"` // the holder's instance
	// held, moving, ended, free, off; unsure: holder not heard in this term; unknown
	State      string `json:"state"`
	SinceMs    int64  `json:"since_ms"`    // since this term first saw the token: it is at least that old
	UntilMs    int64  `json:"until_ms"`    // until its holder cannot act any more
	ProgressMs int64  `json:"progress_ms"` // since the last completed operation
	Completed  uint64 `json:"acts"`
	Fenced     uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
}

// Status returns all leases in order.
func (k *Lessor) Status(now time.Duration) []LeaseStatus {
	all := make([]LeaseStatus, 0, len(k.leases))
	for i := range k.leases {
		x := &k.leases[i]
		s := LeaseStatus{Lease: x.Lease, HolderName: k.members[x.Holder].Name, State: "held", SinceMs: (now - x.grantSeenAt).Milliseconds(),
			UntilMs: max(0, (x.expiresAt - now).Milliseconds()), ProgressMs: (now - x.lastProgressAt).Milliseconds(),
			Completed: x.holderStatus.Completed, Fenced: x.holderStatus.Fenced, Failed: x.holderStatus.Failed}
		switch {
		case x.Holder == "" && k.config.Task(x.Task).Disabled:
			s.State = "off"
		case x.Holder == "":
			s.State = "free"
		case x.released || x.holderMayKnow && now >= x.expiresAt:
			s.State = "ended"
		case x.NextHolder != "":
			s.State = "moving"
		case x.holderStatus.Token != x.Token:
			s.State = "unsure"
		}
		all = append(all, s)
	}
	return all
}

// String is the whole state as text: equal states print alike.
func (k *Lessor) String() string {
	b := fmt.Appendf(nil, "%v %d %d %v", k.startedAt, k.lastToken, k.highestSeenToken, k.config)
	for _, id := range slices.Sorted(maps.Keys(k.members)) {
		b = fmt.Appendf(b, "\n%v", k.members[id])
	}
	for i := range k.leases {
		b = fmt.Appendf(b, "\n%+v", k.leases[i])
	}
	for _, x := range slices.SortedFunc(maps.Keys(k.backoffs), func(a, b backoffKey) int {
		return cmp.Or(strings.Compare(a.task, b.task), strings.Compare(a.memberID, b.memberID))
	}) {
		b = fmt.Appendf(b, "\n%v %v", x, k.backoffs[x])
	}
	return string(b)
}
