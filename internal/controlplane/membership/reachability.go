package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspectPath is a live member that this one does not reach directly, by datagram; it is probed more often.
type suspectPath struct {
	target     uint64
	failures   int    // consecutive failed probes
	pingsSeen  int    // of these, how many times it received this member's ping
	streamAcks int    // of these, how many times it answered by stream
	lastHelper uint64 // the last one that reached it
	published  bool   // whether a cut link to or from it was published
}

// reachKey identifies a reachability record: one observer's finding about one link.
type reachKey struct{ observer, from, to uint64 }

// reachRecord is a reachability record with its arrival and its transmissions by this member.
type reachRecord struct {
	Reachability
	at            time.Duration // time of arrival
	transmissions int           // -1: complete, no longer piggybacked
}

// findSuspectPath returns the suspect path of a member, or nil.
func (n *Node) findSuspectPath(id uint64) *suspectPath {
	for i := range n.suspectPaths {
		if n.suspectPaths[i].target == id {
			return &n.suspectPaths[i]
		}
	}
	return nil
}

// clearSuspectPath removes the suspect path of a member that answers directly again, and publishes its
// links as up if they were published as cut.
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

// notePathFailure counts a probe of a member that was reached, but not directly by datagram. After every
// failuresBeforeCut consecutive failures it publishes which direction of the link is cut (step 6).
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
	case 2*path.pingsSeen > path.failures: // it receives this member's pings, but its answers do not arrive
		r.From, r.To = r.To, r.From
	}
	if !path.published {
		n.addEvent(now, m, "cut", m.incarnation, map[bool]string{true: "its answers do not come", false: "we do not reach it"}[r.From == m.id])
	}
	path.published = true
	n.publishReachability(now, r)
}

// publishReachability queues a finding of this member to be piggybacked.
func (n *Node) publishReachability(now time.Duration, r Reachability) {
	n.reachSeq++
	r.Observer, r.Seq = n.self.ID, n.reachSeq
	n.mergeReachability(now, r)
}

// mergeReachability keeps the latest finding of each observer about each link, and queues a new one to be
// piggybacked. At maxReachRecords it drops the oldest.
func (n *Node) mergeReachability(now time.Duration, r Reachability) {
	k := reachKey{r.Observer, r.From, r.To}
	if known := n.reachability[k]; known != nil && known.Seq >= r.Seq {
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
	if known := n.reachability[k]; known == nil || known.transmissions < 0 {
		n.reachBroadcasts = append(n.reachBroadcasts, k)
	}
	n.reachability[k] = &reachRecord{Reachability: r, at: now}
}

// reachKeyLess orders keys by observer, from and to.
func reachKeyLess(a, b reachKey) bool {
	return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) < 0
}

// reachabilityTTL returns how long a finding is valid if its observer does not repeat it.
func (n *Node) reachabilityTTL() time.Duration { return 60 * n.config.ProbeInterval }

// sortedReachKeys returns the keys of all findings, in the order of reachKeyLess.
func (n *Node) sortedReachKeys() []reachKey {
	return slices.SortedFunc(maps.Keys(n.reachability), func(a, b reachKey) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}
