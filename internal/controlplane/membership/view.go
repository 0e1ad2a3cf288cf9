package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is what a view tells of a member.
type State string

// The states of a member, as a view tells them.
const (
	IsAlive  State = "alive"
	IsUnsure State = "unsure" // suspected: until when, and why, is told
	IsDead   State = "dead"   // nobody hears it
	IsCut    State = "cut"    // some hear it
	IsPaused State = "paused" // it was silent for all, and came back as the same life
	IsSlow   State = "slow"
	IsLeft   State = "left"
)

// Seen is a member as a view tells of it.
type Seen struct {
	Name   string  `json:"name"`
	Birth  string  `json:"birth"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone,omitempty"`
	Inc    uint32  `json:"incarnation"`
	State  State   `json:"state"`
	Why    string  `json:"why,omitempty"`
	UntilS float64 `json:"until_s,omitempty"` // of unsure: a verdict by then, at the latest
	SinceS float64 `json:"since_s"`
	HeardS float64 `json:"heard_s"` // ago, by us; -1: never
	Load   uint16  `json:"load"`
	Self   bool    `json:"self,omitempty"`
}

// Way is a way that is cut, or, with Times over 1 between two zones, a sum of many.
type Way struct {
	From  string   `json:"from"`
	To    string   `json:"to"`
	Kind  string   `json:"kind"`
	Zones bool     `json:"zones,omitempty"` // between zones
	Times int      `json:"times"`
	By    []string `json:"by"` // who says so, some of them
	AgoS  float64  `json:"ago_s"`
}

// View is what a member knows of all.
type View struct {
	Self     string    `json:"self"`
	Digest   string    `json:"digest"` // equal where two views have the same members under the same incarnations
	Size     int       `json:"size"`   // living
	Score    int       `json:"doubt"`  // in oneself, 0 to 8
	Alone    string    `json:"alone,omitempty"`
	Members  []Seen    `json:"members"`
	Ways     []Way     `json:"ways,omitempty"`
	Twice    []string  `json:"twice,omitempty"` // names that two lives have
	Agents   []string  `json:"agents,omitempty"`
	Counts   Counts    `json:"counts"`
	Changes  []Event   `json:"changes,omitempty"`
	ChangesS []float64 `json:"changes_ago_s,omitempty"`
	Ever     int       `json:"changes_ever"` // since the start, those not kept any more too
}

const (
	pausedFor = 30 * time.Second // a pause is told for so long
	slowFrom  = 3                // late answers in a row, or doubt in itself
	mostBy    = 5                // observers that are named
	sumFrom   = 3                // cuts between two zones that are told as one
)

// hearsPings tells whether pings of others came lately, and so whether a member that nobody answers is mute and not deaf.
func (m *Machine) hearsPings(now time.Duration) bool {
	return slices.ContainsFunc(m.pings, func(p asked) bool { return now-p.at < 4*m.set.Period })
}

// Alone tells why the member judges nobody; empty: it does.
func (m *Machine) Alone(now time.Duration) string {
	switch {
	case !m.alone:
		return ""
	case m.hearsPings(now):
		return "we hear others and none hears us"
	}
	return "we hear nobody"
}

func birthText(b uint64) string { return fmt.Sprintf("%016x", b) }

// ways sums up the findings that hold.
func (m *Machine) ways(now time.Duration) (list []Way, cut map[uint64][]string) {
	cut = map[uint64][]string{}
	type sum struct {
		Way
		at   time.Duration
		last linkKey
	}
	name := func(b uint64) (string, string, bool) {
		if b == m.self.Birth {
			return m.self.Info.Name, m.self.Info.Zone, true
		}
		e := m.entry(b)
		if e == nil || e.status > Suspect {
			return "", "", false
		}
		return e.info.Name, e.info.Zone, true
	}
	zones, pairs := map[[3]string]*sum{}, map[[3]string]*sum{}
	var order, zoneOrder [][3]string
	put := func(in map[[3]string]*sum, order *[][3]string, k [3]string, w Way, by string, at time.Duration) {
		s := in[k]
		if s == nil {
			s = &sum{Way: w}
			in[k] = s
			*order = append(*order, k)
		}
		s.Times++
		if !slices.Contains(s.By, by) && len(s.By) < mostBy {
			s.By = append(s.By, by)
		}
		s.at = max(s.at, at)
	}
	for _, k := range m.linkKeys() {
		l := m.links[k]
		if l.Kind == Open || now-l.at > m.linkFor() {
			continue
		}
		from, fz, ok1 := name(k.from)
		to, tz, ok2 := name(k.to)
		by, _, ok3 := name(k.by)
		if !ok1 || !ok2 || !ok3 {
			continue
		}
		kind := l.Kind.String()
		other := k.from
		if other == k.by {
			other = k.to
		}
		cut[other] = append(cut[other], fmt.Sprintf("%s to %s %s, says %s", from, to, kind, by))
		put(pairs, &order, [3]string{from, to, kind}, Way{From: from, To: to, Kind: kind}, by, l.at)
		if fz != tz {
			put(zones, &zoneOrder, [3]string{fz, tz, kind}, Way{From: fz, To: tz, Kind: kind, Zones: true}, by, l.at)
		}
	}
	told := func(s *sum) Way {
		s.AgoS = (now - s.at).Seconds()
		return s.Way
	}
	for _, k := range zoneOrder {
		if zones[k].Times >= sumFrom {
			list = append(list, told(zones[k]))
		}
	}
	zoneOf := map[string]string{m.self.Info.Name: m.self.Info.Zone}
	for i := range m.table {
		zoneOf[m.table[i].info.Name] = m.table[i].info.Zone
	}
	for _, k := range order {
		z := zones[[3]string{zoneOf[k[0]], zoneOf[k[1]], k[2]}]
		if z == nil || z.Times < sumFrom {
			list = append(list, told(pairs[k]))
		}
	}
	return list, cut
}

// View tells what is known now.
func (m *Machine) View(now time.Duration) View {
	v := View{Self: m.self.Info.Name, Digest: birthText(m.living), Size: m.Size(), Score: m.score, Alone: m.Alone(now), Counts: m.Counts,
		Changes: slices.Clone(m.events), Ever: m.ever}
	for _, e := range v.Changes {
		v.ChangesS = append(v.ChangesS, (now - e.At).Seconds())
	}
	for _, a := range m.agents {
		v.Agents = append(v.Agents, a.addr)
	}
	ways, cut := m.ways(now)
	v.Ways = ways
	self := Seen{Name: m.self.Info.Name, Birth: birthText(m.self.Birth), Addr: m.self.Info.Addr, Zone: m.self.Info.Zone, Inc: m.self.Inc, State: IsAlive,
		Load: m.load, Self: true}
	if m.self.Status == Left {
		self.State = IsLeft
	}
	v.Members = append(v.Members, self)
	names := map[string]int{self.Name: 1}
	for i := range m.table {
		e := &m.table[i]
		x := Seen{Name: e.info.Name, Birth: birthText(e.birth), Addr: e.info.Addr, Zone: e.info.Zone, Inc: e.inc, State: IsAlive,
			SinceS: (now - e.since).Seconds(), HeardS: -1, Load: e.load}
		if e.heard >= 0 {
			x.HeardS = (now - e.heard).Seconds()
		}
		switch {
		case e.status == Left:
			x.State = IsLeft
		case e.status == Dead:
			x.State, x.Why = IsDead, "nobody hears it"
		case e.status == Suspect:
			x.State, x.Why, x.UntilS = m.unsure(now, e)
		case len(cut[e.birth]) > 0:
			x.State, x.Why = IsCut, strings.Join(cut[e.birth][:min(2, len(cut[e.birth]))], "; ")
		case e.paused > 0 && now-e.stood < pausedFor:
			x.State, x.Why = IsPaused, fmt.Sprintf("stood still for %v", time.Duration(e.paused)*time.Millisecond)
		case e.health >= slowFrom || e.late >= slowFrom:
			x.State, x.Why = IsSlow, "it doubts itself"
			if e.late >= slowFrom {
				x.Why = "its answers come late"
			}
		}
		if e.status <= Suspect {
			names[x.Name]++
		}
		v.Members = append(v.Members, x)
	}
	for _, x := range v.Members {
		if names[x.Name] > 1 && !slices.Contains(v.Twice, x.Name) {
			v.Twice = append(v.Twice, x.Name)
		}
	}
	slices.Sort(v.Twice)
	slices.SortStableFunc(v.Members, func(a, b Seen) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Birth, b.Birth)) })
	return v
}

// unsure tells why a member is suspected and when that ends at the latest.
func (m *Machine) unsure(now time.Duration, e *entry) (State, string, float64) {
	for i := range m.susp {
		s := &m.susp[i]
		if s.birth != e.birth {
			continue
		}
		why := fmt.Sprintf("%d do not hear it", len(s.by))
		if s.voided {
			why = "begun anew after a pause of our own"
		}
		if m.alone {
			why = m.Alone(now)
		}
		return IsUnsure, why, max(0, (m.deadline(s) - now).Seconds())
	}
	return IsUnsure, "", 0
}

// Verdict is one member's word on another for those who plan by it: never for what must be safe.
type Verdict struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Dead bool   `json:"dead"` // else it has left
}

// Ended are the names of which no life is left, up to so many, the latest first.
func (m *Machine) Ended(most int) (list []Verdict) {
	lives := map[string]bool{m.self.Info.Name: m.self.Status == Alive}
	var ended []*entry
	for i := range m.table {
		if e := &m.table[i]; e.status <= Suspect {
			lives[e.info.Name] = true
		} else {
			ended = append(ended, e)
		}
	}
	slices.SortStableFunc(ended, func(a, b *entry) int { return cmp.Compare(b.since, a.since) })
	for _, e := range ended {
		if len(list) < most && !lives[e.info.Name] {
			lives[e.info.Name] = true // once
			list = append(list, Verdict{e.info.Name, e.info.Addr, e.status == Dead})
		}
	}
	return list
}

// Agents are those that have answered others lately, the latest last.
func (m *Machine) Agents() (list []string) {
	for _, a := range m.agents {
		list = append(list, a.addr)
	}
	return list
}

// Row is where two views differ.
type Row struct {
	Name  string `json:"name"`
	Birth string `json:"birth"`
	A     string `json:"a"`
	B     string `json:"b"`
}

// Diff is what two views have otherwise: who lives under which incarnation. Of those that ended, and of what is only somebody's doubt,
// views may differ.
func Diff(a, b View) (rows []Row) {
	word := func(v View) map[string]Seen {
		m := map[string]Seen{}
		for _, x := range v.Members {
			m[x.Birth] = x
		}
		return m
	}
	lives := func(x Seen, known bool) string {
		switch {
		case !known:
			return "unknown"
		case x.State == IsDead || x.State == IsLeft:
			return string(x.State)
		}
		return fmt.Sprint("incarnation ", x.Inc)
	}
	wa, wb := word(a), word(b)
	for _, list := range [][]Seen{a.Members, b.Members} {
		for _, x := range list {
			xa, ina := wa[x.Birth]
			xb, inb := wb[x.Birth]
			r := Row{x.Name, x.Birth, lives(xa, ina), lives(xb, inb)}
			ended := func(s string) bool { return s == "unknown" || s == string(IsDead) || s == string(IsLeft) }
			if r.A != r.B && !(ended(r.A) && ended(r.B)) && !slices.Contains(rows, r) {
				rows = append(rows, r)
			}
		}
	}
	return rows
}
