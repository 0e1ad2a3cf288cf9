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
func (n *Node) findSuspectPath(birth uint64) *suspectPath {
	for i := range n.suspectPaths {
		if n.suspectPaths[i].target == birth {
			return &n.suspectPaths[i]
		}
	}
	return nil
}

// clearSuspectPath withdraws what was found of the links to and from a member that answers again.
func (n *Node) clearSuspectPath(now time.Duration, m *member) {
	path := n.findSuspectPath(m.id)
	if path == nil {
		return
	}
	if path.published {
		n.addEvent(now, m, "open", m.incarnation, "it answers us again")
		for _, k := range n.sortedReachKeys() {
			if k.observer == n.self.ID && n.reachability[k].State != LinkUp && (k.from == m.id || k.to == m.id) {
				n.publishReachability(now, Reachability{From: k.from, To: k.to, State: LinkUp})
			}
		}
	}
	n.suspectPaths = slices.DeleteFunc(n.suspectPaths, func(x suspectPath) bool { return x.target == m.id })
}

// notePathFailure counts a probe of a live member that did not answer this one. After enough of them
// in a row it is known which direction is cut, and published.
func (n *Node) notePathFailure(now time.Duration, m *member, p *probe) {
	path := n.findSuspectPath(m.id)
	if path == nil {
		if len(n.suspectPaths) >= maxSuspectPaths {
			return
		}
		n.suspectPaths = append(n.suspectPaths, suspectPath{target: m.id})
		path = &n.suspectPaths[len(n.suspectPaths)-1]
	}
	path.failures++
	if p.reachedBy != 0 {
		path.lastHelper = p.reachedBy
	}
	if p.sawOurPing {
		path.pingsSeen++
	}
	if p.ackedByStream {
		path.streamAcks++
	}
	if path.failures%failuresBeforeCut != 0 {
		return
	}
	r := Reachability{From: n.self.ID, To: m.id, State: LinkDown}
	switch {
	case 2*path.streamAcks > path.failures:
		r.State = DatagramsLost
	case 2*path.pingsSeen > path.failures: // it receives our pings, but its answers do not arrive
		r.From, r.To = r.To, r.From
	}
	if !path.published {
		n.addEvent(now, m, "cut", m.incarnation, map[bool]string{true: "its answers do not come", false: "we do not reach it"}[r.From == m.id])
	}
	path.published = true
	n.publishReachability(now, r)
}

// publishReachability publishes a finding of this member.
func (n *Node) publishReachability(now time.Duration, r Reachability) {
	n.reachSeq++
	r.Observer, r.Seq = n.self.ID, n.reachSeq
	n.mergeReachability(now, r)
}

// mergeReachability keeps the latest finding of each observer on each link.
func (n *Node) mergeReachability(now time.Duration, r Reachability) {
	k := reachKey{r.Observer, r.From, r.To}
	if was := n.reachability[k]; was != nil && was.Seq >= r.Seq {
		return
	}
	if len(n.reachability) >= maxReachRecords && n.reachability[k] == nil {
		var oldest reachKey
		var at *reachRecord
		for k, x := range n.reachability {
			if at == nil || x.at < at.at || x.at == at.at && reachKeyLess(k, oldest) {
				oldest, at = k, x
			}
		}
		delete(n.reachability, oldest)
	}
	if was := n.reachability[k]; was == nil || was.transmissions < 0 {
		n.reachBroadcasts = append(n.reachBroadcasts, k)
	}
	n.reachability[k] = &reachRecord{Reachability: r, at: now}
}

// reachKeyLess orders keys.
func reachKeyLess(a, b reachKey) bool {
	return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) < 0
}

// reachabilityTTL is how long a finding holds that is not repeated.
func (n *Node) reachabilityTTL() time.Duration { return 60 * n.config.ProbeInterval }

// sortedReachKeys returns the keys of all findings in order.
func (n *Node) sortedReachKeys() []reachKey {
	return slices.SortedFunc(maps.Keys(n.reachability), func(a, b reachKey) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}
