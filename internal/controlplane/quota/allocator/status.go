package allocator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// Liveness is whether a member renews.
type Liveness string

// Values of Liveness.
const (
	Live        Liveness = "live"   // renewed recently: it may hold an allocation
	Silent      Liveness = "silent" // not renewed recently: it has at most its floor
	Unconfirmed Liveness = "unsure" // not renewed in this term yet
)

// MemberStatus is the allocator's view of one member, for operators.
type MemberStatus struct {
	quota.Member
	Liveness      Liveness `json:"state"`
	LastSeenMs    int64    `json:"seen_ms_ago"` // since the last renewal, or since the term began
	SessionTTLMs  int64    `json:"seat_ms"`     // until its session ends, if it does not renew
	ConfigVersion uint64   `json:"version"`     // of the config that it uses
}

// Members returns every member in order of name and incarnation.
func (a *Allocator) Members(now time.Duration) []MemberStatus {
	all := make([]MemberStatus, 0, len(a.members))
	for _, m := range a.members {
		s := MemberStatus{Member: m.Member, Liveness: Live, LastSeenMs: (now - m.lastSeenAt).Milliseconds(), ConfigVersion: m.configVersion,
			SessionTTLMs: (m.lastSeenAt + a.sessionTTL() - now).Milliseconds()}
		switch {
		case !a.isLive(now, m):
			s.Liveness = Silent
		case !m.renewedThisTerm:
			s.Liveness = Unconfirmed
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(x, y MemberStatus) int {
		if x.Name != y.Name {
			if x.Name < y.Name {
				return -1
			}
			return 1
		}
		return int(int64(x.Incarnation) - int64(y.Incarnation))
	})
	return all
}

// LedgerLine is what one member may hold of one limit.
type LedgerLine struct {
	quota.Key
	ID             string       `json:"id"`
	Name           string       `json:"name"`
	MaxOutstanding quota.Amount `json:"may_hold"` // beyond its floor
	Want           float64      `json:"want"`
	Used           float64      `json:"used,omitempty"`
	InUse          float64      `json:"in_use,omitempty"`
	ExpiresMs      int64        `json:"until_ms"` // until none of it may be used any more
	LastSeenMs     int64        `json:"seen_ms_ago"`
}

// Ledger returns what each member may hold of a budget, or of all budgets if the name is empty.
func (a *Allocator) Ledger(now time.Duration, budget string) []LedgerLine {
	all := []LedgerLine{}
	for k, led := range a.ledgers {
		if budget != "" && k.Budget != budget {
			continue
		}
		for _, e := range led.entries {
			line := LedgerLine{Key: k, ID: e.memberID, MaxOutstanding: e.maxOutstanding(now), Want: e.usage.Want, Used: e.usage.Used, InUse: e.usage.InUse,
				ExpiresMs: max(0, max(e.reportedUntil, e.grantedUntil)-now).Milliseconds()}
			if m, known := a.members[e.memberID]; known {
				line.Name, line.LastSeenMs = m.Name, (now - m.lastSeenAt).Milliseconds()
			}
			all = append(all, line)
		}
	}
	slices.SortFunc(all, func(x, y LedgerLine) int {
		for _, c := range [][2]string{{x.Budget, y.Budget}, {x.Key.Key, y.Key.Key}, {x.Name, y.Name}, {x.ID, y.ID}} {
			if c[0] != c[1] {
				if c[0] < c[1] {
					return -1
				}
				return 1
			}
		}
		return 0
	})
	return all
}

// RecoveryWait returns how long it takes until this term may grant new allocations of a budget (steps 5
// and 7).
func (a *Allocator) RecoveryWait(now time.Duration, b *quota.Budget) time.Duration {
	return max(0, a.startedAt+a.outstandingTTL(b)-now)
}

// String returns the whole state as text; equal states give equal texts.
func (a *Allocator) String() string {
	b := fmt.Appendf(nil, "%v %v %v %v", a.config, a.startedAt, a.members, a.memberIDs)
	for _, k := range slices.SortedFunc(maps.Keys(a.ledgers), func(x, b quota.Key) int {
		return cmp.Or(strings.Compare(x.Budget, b.Budget), strings.Compare(x.Key, b.Key))
	}) {
		b = fmt.Appendf(b, "\n%v %v", k, a.ledgers[k])
	}
	return string(b)
}
