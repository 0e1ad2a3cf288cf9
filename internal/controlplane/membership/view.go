package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is a member's state in a view.
type State string

// The states.
const (
	StateAlive       State = "alive"
	StateSuspect     State = "unsure" // suspected; Reason and DeadlineS apply
	StateDead        State = "dead"   // declared dead: no member reaches it
	StateUnreachable State = "cut"    // some members reach it, but a link to or from it is cut
	StatePaused      State = "paused" // its process was paused and resumed recently, as the same run
	StateSlow        State = "slow"   // late answers or a high health score
	StateLeft        State = "left"
)

// MemberView is a member's entry in a View.
type MemberView struct {
	Name        string  `json:"name"`
	ID          string  `json:"birth"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone,omitempty"`
	Incarnation uint32  `json:"incarnation"`
	State       State   `json:"state"`
	Reason      string  `json:"why,omitempty"`
	DeadlineS   float64 `json:"until_s,omitempty"` // of a suspicion: seconds until it becomes a death at the latest
	SinceS      float64 `json:"since_s"`
	LastHeardS  float64 `json:"heard_s"` // seconds since its last verified message; -1: none
	Load        uint16  `json:"load"`
	Self        bool    `json:"self,omitempty"`
}

// PathView is a cut link between two instances, or with BetweenZones the sum of several between two zones.
type PathView struct {
	From         string   `json:"from"`
	To           string   `json:"to"`
	Kind         string   `json:"kind"`
	BetweenZones bool     `json:"zones,omitempty"` // From and To are zones
	Count        int      `json:"times"`
	Observers    []string `json:"by"` // at most maxObserversShown of them
	AgoS         float64  `json:"ago_s"`
}

// View is a snapshot of one member's view of the group.
type View struct {
	Self           string       `json:"self"`
	Digest         string       `json:"digest"` // equal for views with the same live members and incarnations
	Size           int          `json:"size"`   // live members
	HealthScore    int          `json:"doubt"`  // of the member itself, 0 (healthy) to maxHealthScore
	Isolation      string       `json:"alone,omitempty"`
	Members        []MemberView `json:"members"`
	Paths          []PathView   `json:"ways,omitempty"`
	DuplicateNames []string     `json:"twice,omitempty"` // names of more than one live member
	Agents         []string     `json:"agents,omitempty"`
	Counts         Counts       `json:"counts"`
	Events         []Event      `json:"changes,omitempty"`
	EventAgesS     []float64    `json:"changes_ago_s,omitempty"`
	EventCount     int          `json:"changes_ever"` // including those no longer kept
}

// Constants of views.
const (
	pauseShownFor     = 30 * time.Second // after the pause was reported
	slowThreshold     = 3                // consecutive late answers, or health score
	maxObserversShown = 5                // of a path
	minPathsToSum     = 3                // cut links between two zones from which on they are shown as one
)

// formatID returns an id as views and logs show it.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// pathSum adds up the reachability records of one path.
type pathSum struct {
	PathView
	at time.Duration // arrival of the latest record
}

// pathKey identifies a path between two instances or two zones, with the kind of its cut.
type pathKey struct{ from, to, kind string }

// pathSums are sums by path, kept in the order in which the paths were first added.
type pathSums struct {
	byKey map[pathKey]*pathSum
	order []pathKey
}

// add adds one observer's record to the sum of its path.
func (p *pathSums) add(k pathKey, betweenZones bool, observer string, at time.Duration) {
	s := p.byKey[k]
	if s == nil {
		s = &pathSum{PathView: PathView{From: k.from, To: k.to, Kind: k.kind, BetweenZones: betweenZones}}
		p.byKey[k] = s
		p.order = append(p.order, k)
	}
	s.Count++
	if !slices.Contains(s.Observers, observer) && len(s.Observers) < maxObserversShown {
		s.Observers = append(s.Observers, observer)
	}
	s.at = max(s.at, at)
}

// view returns the sum of a path, with its age.
func (p *pathSums) view(k pathKey, now time.Duration) PathView {
	s := p.byKey[k]
	s.AgoS = (now - s.at).Seconds()
	return s.PathView
}

// liveInfo returns the information on a live member, which may be this one.
func (n *Node) liveInfo(id uint64) (info Info, ok bool) {
	if id == n.self.ID {
		return n.self.Info, true
	}
	m := n.lookup(id)
	if m == nil || m.status > Suspect {
		return Info{}, false
	}
	return *m.info, true
}

// pathViews sums up the valid reachability records of live members; cut has, by member, descriptions of
// its cut links. From minPathsToSum on, cut links between two zones are shown as one.
func (n *Node) pathViews(now time.Duration) (list []PathView, cut map[uint64][]string) {
	cut = map[uint64][]string{}
	zones, pairs := pathSums{byKey: map[pathKey]*pathSum{}}, pathSums{byKey: map[pathKey]*pathSum{}}
	for _, k := range n.sortedReachKeys() {
		r := n.reachability[k]
		if r.State == LinkUp || now-r.at > n.reachabilityTTL() {
			continue
		}
		from, fromKnown := n.liveInfo(k.from)
		to, toKnown := n.liveInfo(k.to)
		observer, observerKnown := n.liveInfo(k.observer)
		if !fromKnown || !toKnown || !observerKnown {
			continue
		}
		kind := r.State.String()
		other := k.from
		if other == k.observer {
			other = k.to
		}
		cut[other] = append(cut[other], fmt.Sprintf("%s to %s %s, says %s", from.Name, to.Name, kind, observer.Name))
		pairs.add(pathKey{from.Name, to.Name, kind}, false, observer.Name, r.at)
		if from.Zone != to.Zone {
			zones.add(pathKey{from.Zone, to.Zone, kind}, true, observer.Name, r.at)
		}
	}
	for _, k := range zones.order {
		if zones.byKey[k].Count >= minPathsToSum {
			list = append(list, zones.view(k, now))
		}
	}
	zoneOf := map[string]string{n.self.Info.Name: n.self.Info.Zone}
	for i := range n.members {
		zoneOf[n.members[i].info.Name] = n.members[i].info.Zone
	}
	for _, k := range pairs.order {
		sum := zones.byKey[pathKey{zoneOf[k.from], zoneOf[k.to], k.kind}]
		if sum == nil || sum.Count < minPathsToSum {
			list = append(list, pairs.view(k, now))
		}
	}
	return list, cut
}

// View returns a snapshot of the view.
func (n *Node) View(now time.Duration) View {
	v := View{Self: n.self.Info.Name, Digest: formatID(n.aliveDigest), Size: n.Size(), HealthScore: n.healthScore, Isolation: n.IsolationReason(now), Counts: n.Counts,
		Events: slices.Clone(n.events), EventCount: n.eventCount}
	for _, e := range v.Events {
		v.EventAgesS = append(v.EventAgesS, (now - e.At).Seconds())
	}
	for _, a := range n.agents {
		v.Agents = append(v.Agents, a.addr)
	}
	paths, cut := n.pathViews(now)
	v.Paths = paths
	self := MemberView{Name: n.self.Info.Name, ID: formatID(n.self.ID), Addr: n.self.Info.Addr, Zone: n.self.Info.Zone, Incarnation: n.self.Incarnation, State: StateAlive,
		Load: n.load, Self: true}
	if n.self.Status == Left {
		self.State = StateLeft
	}
	v.Members = append(v.Members, self)
	names := map[string]int{self.Name: 1}
	for i := range n.members {
		e := &n.members[i]
		x := n.memberView(now, e, cut[e.id])
		if e.status <= Suspect {
			names[x.Name]++
		}
		v.Members = append(v.Members, x)
	}
	for _, x := range v.Members {
		if names[x.Name] > 1 && !slices.Contains(v.DuplicateNames, x.Name) {
			v.DuplicateNames = append(v.DuplicateNames, x.Name)
		}
	}
	slices.Sort(v.DuplicateNames)
	slices.SortStableFunc(v.Members, func(a, b MemberView) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	return v
}

// memberView returns a member's entry in a View; cutLinks describes its cut links.
func (n *Node) memberView(now time.Duration, m *member, cutLinks []string) MemberView {
	x := MemberView{Name: m.info.Name, ID: formatID(m.id), Addr: m.info.Addr, Zone: m.info.Zone, Incarnation: m.incarnation, State: StateAlive,
		SinceS: (now - m.statusSince).Seconds(), LastHeardS: -1, Load: m.load}
	if m.lastHeardAt >= 0 {
		x.LastHeardS = (now - m.lastHeardAt).Seconds()
	}
	switch {
	case m.status == Left:
		x.State = StateLeft
	case m.status == Dead:
		x.State, x.Reason = StateDead, "nobody hears it"
	case m.status == Suspect:
		x.State = StateSuspect
		x.Reason, x.DeadlineS = n.suspectView(now, m)
	case len(cutLinks) > 0:
		x.State, x.Reason = StateUnreachable, strings.Join(cutLinks[:min(2, len(cutLinks))], "; ")
	case m.pausedMs > 0 && now-m.pauseReportedAt < pauseShownFor:
		x.State, x.Reason = StatePaused, fmt.Sprintf("stood still for %v", time.Duration(m.pausedMs)*time.Millisecond)
	case m.health >= slowThreshold || m.lateAcks >= slowThreshold:
		x.State, x.Reason = StateSlow, "it doubts itself"
		if m.lateAcks >= slowThreshold {
			x.Reason = "its answers come late"
		}
	}
	return x
}

// suspectView returns why a member is suspected, and the seconds until its suspicion ends at the latest.
func (n *Node) suspectView(now time.Duration, m *member) (reason string, deadlineS float64) {
	for i := range n.suspicions {
		s := &n.suspicions[i]
		if s.id != m.id {
			continue
		}
		cause := fmt.Sprintf("%d do not hear it", len(s.reporters))
		if s.restarted {
			cause = "begun anew after a pause of our own"
		}
		if n.isolated {
			cause = n.IsolationReason(now)
		}
		return cause, max(0, (n.suspicionDeadline(s) - now).Seconds())
	}
	return "", 0
}

// EndedInstance is an instance that is dead or has left in this view. It may be wrong: use it as a hint for
// planning, never where safety depends on it.
type EndedInstance struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Failed bool   `json:"dead"` // else it has left
}

// EndedInstances returns up to limit instances without a live member of their name, the latest first.
func (n *Node) EndedInstances(limit int) (list []EndedInstance) {
	excluded := map[string]bool{n.self.Info.Name: n.self.Status == Alive}
	var ended []*member
	for i := range n.members {
		if m := &n.members[i]; m.status <= Suspect {
			excluded[m.info.Name] = true
		} else {
			ended = append(ended, m)
		}
	}
	slices.SortStableFunc(ended, func(a, b *member) int { return cmp.Compare(b.statusSince, a.statusSince) })
	for _, m := range ended {
		if len(list) < limit && !excluded[m.info.Name] {
			excluded[m.info.Name] = true // list each name once
			list = append(list, EndedInstance{m.info.Name, m.info.Addr, m.status == Dead})
		}
	}
	return list
}

// Agents returns the addresses of agents that answered other members recently, the latest last.
func (n *Node) Agents() (list []string) {
	for _, seen := range n.agents {
		list = append(list, seen.addr)
	}
	return list
}

// ViewDifference is a member on which two views, A and B, differ.
type ViewDifference struct {
	Name string `json:"name"`
	ID   string `json:"birth"`
	A    string `json:"a"`
	B    string `json:"b"`
}

// Diff returns the members that are live in both views with different incarnations, or live in only one of
// them. Differences in suspicions and in how members ended are ignored.
func Diff(a, b View) (rows []ViewDifference) {
	byID := func(v View) map[string]MemberView {
		m := map[string]MemberView{}
		for _, x := range v.Members {
			m[x.ID] = x
		}
		return m
	}
	describe := func(x MemberView, known bool) string {
		switch {
		case !known:
			return "unknown"
		case x.State == StateDead || x.State == StateLeft:
			return string(x.State)
		}
		return fmt.Sprint("incarnation ", x.Incarnation)
	}
	membersA, membersB := byID(a), byID(b)
	for _, list := range [][]MemberView{a.Members, b.Members} {
		for _, x := range list {
			xa, ina := membersA[x.ID]
			xb, inb := membersB[x.ID]
			r := ViewDifference{x.Name, x.ID, describe(xa, ina), describe(xb, inb)}
			ended := func(s string) bool { return s == "unknown" || s == string(StateDead) || s == string(StateLeft) }
			if r.A != r.B && !(ended(r.A) && ended(r.B)) && !slices.Contains(rows, r) {
				rows = append(rows, r)
			}
		}
	}
	return rows
}
