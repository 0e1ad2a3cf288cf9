package lessor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"spindlehitch/internal/controlplane/lease"
	"strings"
	"time"
)

// IsCurrent tells whether a member has a lease under that token, and nobody is about to get it.
func (k *Lessor) IsCurrent(key lease.Key, id string, token uint64) bool {
	x := k.lease(key)
	return x != nil && x.Holder == id && x.Token == token && !x.released && !x.revoking
}

// IsMember tells whether there is such a member.
func (k *Lessor) IsMember(id string) bool {
	_, known := k.members[id]
	return known
}

// Config is the set of tasks gone by.
func (k *Lessor) Config() *lease.Config { return &k.config }

// LeaseStatus is one lease as the keeper sees it.
type LeaseStatus struct {
	lease.Lease
	HolderName string `json:"name,omitempty"` // of the holder's instance
	State      string `json:"state"`          // held, moving, ended, free, off; unsure: not heard by this keeper yet; unknown
	SinceMs    int64  `json:"since_ms"`       // since this keeper saw the token first: at least that long
	UntilMs    int64  `json:"until_ms"`       // until its holder surely acts no more
	ProgressMs int64  `json:"progress_ms"`    // since its holder last ended an act, or since
	Completed  uint64 `json:"acts"`
	Fenced     uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
}

// Status is every lease, in order.
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
