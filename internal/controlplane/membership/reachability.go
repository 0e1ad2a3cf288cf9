package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspectPath is a member that others reach and this one does not; it is probed more often.
type suspectPath struct {
	target     uint64
	failures   int    // probes that failed in a row
	pingsSeen  int    // of these, it received our ping
	streamAcks int    // of these, it answered by stream
	lastHelper uint64 // that reached it
	published  bool   // a reachability record was published
}

// reachKey identifies a reachability record: what one observer says of one link.
type reachKey struct{ observer, from, to uint64 }

// reachRecord is a reachability record as this member has it.
type reachRecord struct {
	Reachability
	at            time.Duration // arrival
	transmissions int           // -1: sent as often as needed
}

// findSuspectPath returns the suspect path to a member, or nil.
func (m *Node) findSuspectPath(birth uint64) *suspectPath {
	for i := range m.suspectPaths {
		if m.suspectPaths[i].target == birth {
			return &m.suspectPaths[i]
		}
	}
	return nil
}

// clearSuspectPath withdraws what was found of the links to and from a member that answers again.
func (m *Node) clearSuspectPath(now time.Duration, e *member) {
	d := m.findSuspectPath(e.id)
	if d == nil {
		return
	}
	if d.published {
		m.addEvent(now, e, "open", e.incarnation, "it answers us again")
		for _, k := range m.sortedReachKeys() {
			if k.observer == m.self.ID && m.reachability[k].State != LinkUp && (k.from == e.id || k.to == e.id) {
				m.publishReachability(now, Reachability{From: k.from, To: k.to, State: LinkUp})
			}
		}
	}
	m.suspectPaths = slices.DeleteFunc(m.suspectPaths, func(x suspectPath) bool { return x.target == e.id })
}

// notePathFailure counts a probe of a live member that did not answer this one. After enough of them
// in a row it is known which direction is cut, and published.
func (m *Node) notePathFailure(now time.Duration, e *member, p *probe) {
	d := m.findSuspectPath(e.id)
	if d == nil {
		if len(m.suspectPaths) >= maxSuspectPaths {
			return
		}
		m.suspectPaths = append(m.suspectPaths, suspectPath{target: e.id})
		d = &m.suspectPaths[len(m.suspectPaths)-1]
	}
	d.failures++
	if p.reachedBy != 0 {
		d.lastHelper = p.reachedBy
	}
	if p.sawOurPing {
		d.pingsSeen++
	}
	if p.ackedByStream {
		d.streamAcks++
	}
	if d.failures%failuresBeforeCut != 0 {
		return
	}
	l := Reachability{From: m.self.ID, To: e.id, State: LinkDown}
	switch {
	case 2*d.streamAcks > d.failures:
		l.State = DatagramsLost
	case 2*d.pingsSeen > d.failures: // it receives our pings, but its answers do not arrive
		l.From, l.To = l.To, l.From
	}
	if !d.published {
		m.addEvent(now, e, "cut", e.incarnation, map[bool]string{true: "its answers do not come", false: "we do not reach it"}[l.From == e.id])
	}
	d.published = true
	m.publishReachability(now, l)
}

// publishReachability publishes a finding of this member.
func (m *Node) publishReachability(now time.Duration, l Reachability) {
	m.reachSeq++
	l.Observer, l.Seq = m.self.ID, m.reachSeq
	m.mergeReachability(now, l)
}

// mergeReachability keeps the latest finding of each observer on each link.
func (m *Node) mergeReachability(now time.Duration, l Reachability) {
	k := reachKey{l.Observer, l.From, l.To}
	if was := m.reachability[k]; was != nil && was.Seq >= l.Seq {
		return
	}
	if len(m.reachability) >= maxReachRecords && m.reachability[k] == nil {
		var oldest reachKey
		var at *reachRecord
		for k, x := range m.reachability {
			if at == nil || x.at < at.at || x.at == at.at && reachKeyLess(k, oldest) {
				oldest, at = k, x
			}
		}
		delete(m.reachability, oldest)
	}
	if was := m.reachability[k]; was == nil || was.transmissions < 0 {
		m.reachBroadcasts = append(m.reachBroadcasts, k)
	}
	m.reachability[k] = &reachRecord{Reachability: l, at: now}
}

// reachKeyLess orders keys.
func reachKeyLess(a, b reachKey) bool {
	return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) < 0
}

// reachabilityTTL is how long a finding holds that is not repeated.
func (m *Node) reachabilityTTL() time.Duration { return 60 * m.config.ProbeInterval }

// sortedReachKeys returns the keys of all findings in order.
func (m *Node) sortedReachKeys() []reachKey {
	return slices.SortedFunc(maps.Keys(m.reachability), func(a, b reachKey) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}
