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

// Token is the token of a shard that is held; 0: it is not.
func (l *Lessee) Token(k lease.Key) uint64 { return l.held[k].token }

// Idle reports whether nothing is held, running or to be reported.
func (l *Lessee) Idle() bool { return len(l.held) == 0 && len(l.running) == 0 && len(l.released) == 0 }

// Task returns a task as this member knows it, or nil.
func (l *Lessee) Task(name string) *lease.Task { return l.config.Task(name) }

// LeaseStatus is one held lease at a moment.
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

// String is the whole state as text: equal states print alike.
func (l *Lessee) String() string {
	b := fmt.Appendf(nil, "%v %d %v %v %d %v %d", l.supported, l.lastSeq, l.renewalStartedAt, l.renewalAnswered, l.highestToken, l.renewNow, l.operations)
	for _, k := range slices.SortedFunc(maps.Keys(l.held), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v %+v", k, l.held[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.released), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v gives %d", k, l.released[k])
	}
	for _, op := range slices.SortedFunc(maps.Values(l.running), func(op, b Operation) int {
		return cmp.Or(lease.CompareKeys(op.Key, b.Key), cmp.Compare(op.Number, b.Number))
	}) {
		b = fmt.Appendf(b, "\n%+v", op)
	}
	return string(b)
}
