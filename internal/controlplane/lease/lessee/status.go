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
func (l *Lessee) Held(now time.Duration) (all []lease.Key) {
	for _, k := range slices.SortedFunc(maps.Keys(l.held), lease.CompareKeys) {
		if now < l.held[k].expiresAt {
			all = append(all, k)
		}
	}
	return all
}

// Token returns the token of a held shard; 0: it is not held.
func (l *Lessee) Token(k lease.Key) uint64 { return l.held[k].token }

// Idle reports whether no lease is held, no operation is running, and no release is unconfirmed.
func (l *Lessee) Idle() bool { return len(l.held) == 0 && len(l.running) == 0 && len(l.released) == 0 }

// Task returns the task of that name in this member's config, or nil.
func (l *Lessee) Task(name string) *lease.Task { return l.config.Task(name) }

// LeaseStatus is a snapshot of one held lease.
type LeaseStatus struct {
	lease.Key
	Token                     uint64
	ExpiresAt                 time.Duration
	Completed, Fenced, Failed uint64
}

// Status returns all held leases in order.
func (l *Lessee) Status() (all []LeaseStatus) {
	for _, k := range slices.SortedFunc(maps.Keys(l.held), lease.CompareKeys) {
		h := l.held[k]
		all = append(all, LeaseStatus{k, h.token, h.expiresAt, h.completed, h.fenced, h.failed})
	}
	return all
}

// String returns the whole state as text; equal states give equal texts.
func (l *Lessee) String() string {
	b := fmt.Appendf(nil, "%v %d %v %v %d %v %d", l.supported, l.lastSeq, l.renewalStartedAt, l.renewalAnswered, l.highestToken, l.renewNow, l.operations)
	for _, k := range slices.SortedFunc(maps.Keys(l.held), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v %+v", k, l.held[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.released), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v released %d", k, l.released[k])
	}
	for _, a := range slices.SortedFunc(maps.Values(l.running), func(a, b Operation) int {
		return cmp.Or(lease.CompareKeys(a.Key, b.Key), cmp.Compare(a.Number, b.Number))
	}) {
		b = fmt.Appendf(b, "\n%+v", a)
	}
	return string(b)
}
