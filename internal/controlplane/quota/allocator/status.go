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

// Liveness is how a member stands.
type Liveness string

// The states.
const (
	Live        Liveness = "live"   // it renewed and may hold an allocation
	Silent      Liveness = "silent" // not renewed recently: it has at most its floor
	Unconfirmed Liveness = "unsure" // not heard since this term began
)

// MemberStatus is one member as the allocator sees it.
type MemberStatus struct {
	quota.Member
	Liveness      Liveness `json:"state"`
	LastHeardMs   int64    `json:"seen_ms_ago"` // since the last renewal, or since the term began
	SessionTTLMs  int64    `json:"seat_ms"`     // until its session ends, if it stays silent
	ConfigVersion uint64   `json:"version"`     // that it uses
}

// Members returns every member in order of name and incarnation.
func (g *Allocator) Members(now time.Duration) []MemberStatus {
	all := make([]MemberStatus, 0, len(g.members))
	for _, m := range g.members {
		s := MemberStatus{Member: m.Member, Liveness: Live, LastHeardMs: (now - m.lastHeardAt).Milliseconds(), ConfigVersion: m.configVersion,
			SessionTTLMs: (m.lastHeardAt + g.sessionTTL() - now).Milliseconds()}
		switch {
		case !g.isLive(now, m):
			s.Liveness = Silent
		case !m.renewedThisTerm:
			s.Liveness = Unconfirmed
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b MemberStatus) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Incarnation) - int64(b.Incarnation))
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
	LastHeardMs    int64        `json:"seen_ms_ago"`
}

// Ledger returns who may hold how much of a budget, or of all budgets if none is named.
func (g *Allocator) Ledger(now time.Duration, budget string) []LedgerLine {
	all := []LedgerLine{}
	for k, p := range g.ledgers {
		if budget != "" && k.Budget != budget {
			continue
		}
		for _, x := range p.entries {
			l := LedgerLine{Key: k, ID: x.memberID, MaxOutstanding: x.maxOutstanding(now), Want: x.usage.Want, Used: x.usage.Used, InUse: x.usage.InUse,
				ExpiresMs: max(0, max(x.reportedUntil, x.grantedUntil)-now).Milliseconds()}
			if m, known := g.members[x.memberID]; known {
				l.Name, l.LastHeardMs = m.Name, (now - m.lastHeardAt).Milliseconds()
			}
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b LedgerLine) int {
		for _, c := range [][2]string{{a.Budget, b.Budget}, {a.Key.Key, b.Key.Key}, {a.Name, b.Name}, {a.ID, b.ID}} {
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

// RecoveryWait is how long it takes until this term may allocate anything new of a budget (step 7).
func (g *Allocator) RecoveryWait(now time.Duration, b *quota.Budget) time.Duration {
	return max(0, g.startedAt+g.outstandingTTL(b)-now)
}

// String is the whole state as text: equal states print alike.
func (g *Allocator) String() string {
	b := fmt.Appendf(nil, "%v %v %v %v", g.config, g.startedAt, g.members, g.memberIDs)
	for _, k := range slices.SortedFunc(maps.Keys(g.ledgers), func(a, b quota.Key) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Key, b.Key))
	}) {
		b = fmt.Appendf(b, "\n%v %v", k, g.ledgers[k])
	}
	return string(b)
}
