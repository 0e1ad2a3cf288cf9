package lessee

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Held returns the leases that are valid now, in order.
func (t *Lessee) Held(now time.Duration) (all []lease.Key) {
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		if now < t.held[k].expiresAt {
			all = append(all, k)
		}
	}
	return all
}

// Token is the token of a shard that is held; 0: it is not.
func (t *Lessee) Token(k lease.Key) uint64 { return t.held[k].token }

// Idle reports whether nothing is held, running or to be reported.
func (t *Lessee) Idle() bool { return len(t.held) == 0 && len(t.running) == 0 && len(t.released) == 0 }

// Task returns a task as this member knows it, or nil.
func (t *Lessee) Task(name string) *lease.Task { return t.config.Task(name) }

// LeaseStatus is one held lease at a moment.
type LeaseStatus struct {
	lease.Key
	Token                     uint64
	ExpiresAt                 time.Duration
	Completed, Fenced, Failed uint64
}

// Status returns all held leases in order.
func (t *Lessee) Status() (all []LeaseStatus) {
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		h := t.held[k]
		all = append(all, LeaseStatus{k, h.token, h.expiresAt, h.completed, h.fenced, h.failed})
	}
	return all
}

// String is the whole state as text: equal states print alike.
func (t *Lessee) String() string {
	b := fmt.Appendf(nil, "%v %d %v %v %d %v %d", t.supported, t.lastSeq, t.renewalStartedAt, t.renewalAnswered, t.highestToken, t.renewNow, t.operations)
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v %+v", k, t.held[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.released), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v gives %d", k, t.released[k])
	}
	for _, a := range slices.SortedFunc(maps.Values(t.running), func(a, b Operation) int {
		return cmp.Or(lease.CompareKeys(a.Key, b.Key), cmp.Compare(a.Number, b.Number))
	}) {
		b = fmt.Appendf(b, "\n%+v", a)
	}
	return string(b)
}
