package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// DebugString prints the state except for random numbers, with times relative to now. Two nodes with equal
// strings behave the same from then on.
func (n *Node) DebugString(now time.Duration, name func(uint64) string) string {
	var b strings.Builder
	ago := func(t time.Duration) int64 { return (now - t).Milliseconds() }
	fmt.Fprintf(&b, "%s.%d %v score %d isolated %v gossiped %d heard %d next %d/%d", name(n.self.ID), n.self.Incarnation, n.self.Status, n.healthScore, n.isolated,
		min(ago(n.lastUrgentGossip), 1000), ago(n.lastHeardAt), ago(n.nextProbe), ago(n.nextSync))
	for _, i := range n.sortedIndexes() {
		m := &n.members[i]
		fmt.Fprintf(&b, " [%s.%d %v since %d heard %d]", name(m.id), m.incarnation, m.status, ago(m.statusSince), ago(m.lastHeardAt))
	}
	for _, s := range n.suspicions {
		fmt.Fprintf(&b, " susp %s %d by", name(s.id), ago(s.startedAt))
		for _, x := range s.reporters {
			b.WriteString(" " + name(x))
		}
		for _, x := range s.deathReporters {
			b.WriteString(" dead by " + name(x))
		}
	}
	if p := n.currentProbe; p != nil {
		fmt.Fprintf(&b, " probe %s %d helpers %d nacks %d acked %v reached %v", name(p.target), ago(p.startedAt), len(p.helpers), p.nacks, p.acked, p.reachedBy != 0)
	}
	for _, path := range n.suspectPaths {
		fmt.Fprintf(&b, " path %s %d %d %d", name(path.target), path.failures, path.pingsSeen, path.streamAcks)
	}
	for _, k := range n.sortedReachKeys() {
		fmt.Fprintf(&b, " link %s %s-%s %v", name(k.observer), name(k.from), name(k.to), n.reachability[k].State)
	}
	for _, u := range n.broadcasts {
		fmt.Fprintf(&b, " broadcast %s.%d %v %s %d", name(u.ID), u.Incarnation, u.Status, name(u.Reporter), u.transmissions)
	}
	missed := make([]string, 0, len(n.missedProbes))
	for x := range n.missedProbes {
		missed = append(missed, name(x))
	}
	slices.Sort(missed)
	fmt.Fprint(&b, " missed ", missed, " order")
	for i := range n.rotation {
		b.WriteString(" " + name(n.rotation[i]))
	}
	fmt.Fprint(&b, " at ", n.rotationPos)
	return b.String()
}

// sortedIndexes returns the positions in members, ordered by id.
func (n *Node) sortedIndexes() []int {
	order := make([]int, len(n.members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(n.members[a].id, n.members[b].id) })
	return order
}

// Lookup returns the view's record of one member.
func (n *Node) Lookup(id uint64) (Record, bool) {
	m := n.lookup(id)
	if m == nil {
		return Record{}, false
	}
	return n.recordOf(m), true
}

// PendingBroadcasts returns the number of records that are still being piggybacked.
func (n *Node) PendingBroadcasts() int { return len(n.broadcasts) }

// DirectSuspects returns the ids of the members that this one suspects by its own probes, with the
// suspected incarnations.
func (n *Node) DirectSuspects() map[uint64]uint32 {
	all := map[uint64]uint32{}
	for _, s := range n.suspicions {
		if slices.Contains(s.reporters, n.self.ID) {
			all[s.id] = s.incarnation
		}
	}
	return all
}
