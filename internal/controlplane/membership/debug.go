package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// DebugString prints the state except for random numbers, with times relative to now: equal states go
// on alike.
func (m *Node) DebugString(now time.Duration, name func(uint64) string) string {
	var b strings.Builder
	ago := func(t time.Duration) int64 { return (now - t).Milliseconds() }
	fmt.Fprintf(&b, "%s.%d %v score %d alone %v poked %d heard %d next %d/%d", name(m.self.ID), m.self.Incarnation, m.self.Status, m.healthScore, m.isolated,
		min(ago(m.lastUrgentGossip), 1000), ago(m.lastHeardAt), ago(m.nextProbe), ago(m.nextSync))
	for _, i := range m.sortedIndexes() {
		e := &m.members[i]
		fmt.Fprintf(&b, " [%s.%d %v since %d heard %d]", name(e.id), e.incarnation, e.status, ago(e.statusSince), ago(e.lastHeardAt))
	}
	for _, s := range m.suspicions {
		fmt.Fprintf(&b, " susp %s %d by", name(s.id), ago(s.startedAt))
		for _, x := range s.reporters {
			b.WriteString(" " + name(x))
		}
		for _, x := range s.deathReporters {
			b.WriteString(" dead by " + name(x))
		}
	}
	if p := m.currentProbe; p != nil {
		fmt.Fprintf(&b, " probe %s %d asked %d nacks %d answers %v told %v", name(p.target), ago(p.startedAt), len(p.helpers), p.nacks, p.acked, p.reachedBy != 0)
	}
	for _, d := range m.suspectPaths {
		fmt.Fprintf(&b, " doubt %s %d %d %d", name(d.target), d.failures, d.pingsSeen, d.streamAcks)
	}
	for _, k := range m.sortedReachKeys() {
		fmt.Fprintf(&b, " way %s %s-%s %v", name(k.observer), name(k.from), name(k.to), m.reachability[k].State)
	}
	for _, u := range m.broadcasts {
		fmt.Fprintf(&b, " tell %s.%d %v %s %d", name(u.ID), u.Incarnation, u.Status, name(u.Reporter), u.transmissions)
	}
	missed := make([]string, 0, len(m.missedProbes))
	for x := range m.missedProbes {
		missed = append(missed, name(x))
	}
	slices.Sort(missed)
	fmt.Fprint(&b, " missed ", missed, " order")
	for i := range m.rotation {
		b.WriteString(" " + name(m.rotation[i]))
	}
	fmt.Fprint(&b, " at ", m.rotationPos)
	return b.String()
}

// sortedIndexes returns the positions of members in order of id.
func (m *Node) sortedIndexes() []int {
	order := make([]int, len(m.members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(m.members[a].id, m.members[b].id) })
	return order
}

// Lookup returns the view's record of one member.
func (m *Node) Lookup(birth uint64) (Record, bool) {
	e := m.lookup(birth)
	if e == nil {
		return Record{}, false
	}
	return m.recordOf(e), true
}

// PendingBroadcasts is the number of records that are still being piggybacked.
func (m *Node) PendingBroadcasts() int { return len(m.broadcasts) }

// DirectSuspects returns the members that this one suspects by its own probes, with the incarnation.
func (m *Node) DirectSuspects() map[uint64]uint32 {
	all := map[uint64]uint32{}
	for _, s := range m.suspicions {
		if slices.Contains(s.reporters, m.self.ID) {
			all[s.id] = s.incarnation
		}
	}
	return all
}
