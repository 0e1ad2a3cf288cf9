package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Print writes down the state, but for what was drawn: states that print alike go on alike. Times are told from now.
func (m *Machine) Print(now time.Duration, name func(uint64) string) string {
	var b strings.Builder
	ago := func(t time.Duration) int64 { return (now - t).Milliseconds() }
	fmt.Fprintf(&b, "%s.%d %v score %d alone %v poked %d heard %d next %d/%d", name(m.self.Birth), m.self.Inc, m.self.Status, m.score, m.alone,
		min(ago(m.poked), 1000), ago(m.heard), ago(m.nextProbe), ago(m.nextCompare))
	for _, i := range m.sorted() {
		e := &m.table[i]
		fmt.Fprintf(&b, " [%s.%d %v since %d heard %d]", name(e.birth), e.inc, e.status, ago(e.since), ago(e.heard))
	}
	for _, s := range m.susp {
		fmt.Fprintf(&b, " susp %s %d by", name(s.birth), ago(s.began))
		for _, x := range s.by {
			b.WriteString(" " + name(x))
		}
		for _, x := range s.buried {
			b.WriteString(" dead by " + name(x))
		}
	}
	if p := m.probe; p != nil {
		fmt.Fprintf(&b, " probe %s %d asked %d nacks %d answers %v told %v", name(p.birth), ago(p.began), len(p.asked), p.nacks, p.answers, p.told != 0)
	}
	for _, d := range m.doubts {
		fmt.Fprintf(&b, " doubt %s %d %d %d", name(d.birth), d.fails, d.seen, d.stream)
	}
	for _, k := range m.linkKeys() {
		fmt.Fprintf(&b, " way %s %s-%s %v", name(k.by), name(k.from), name(k.to), m.links[k].Kind)
	}
	for _, u := range m.queue {
		fmt.Fprintf(&b, " tell %s.%d %v %s %d", name(u.Birth), u.Inc, u.Status, name(u.By), u.sent)
	}
	missed := make([]string, 0, len(m.missed))
	for x := range m.missed {
		missed = append(missed, name(x))
	}
	slices.Sort(missed)
	fmt.Fprint(&b, " missed ", missed, " order")
	for i := range m.order {
		b.WriteString(" " + name(m.order[i]))
	}
	fmt.Fprint(&b, " at ", m.turn)
	return b.String()
}

func (m *Machine) sorted() []int {
	order := make([]int, len(m.table))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(m.table[a].birth, m.table[b].birth) })
	return order
}

// Known is the view's word on one life; false: none.
func (m *Machine) Known(birth uint64) (Record, bool) {
	e := m.entry(birth)
	if e == nil {
		return Record{}, false
	}
	return m.record(e), true
}

// Telling is how many records are still being passed on.
func (m *Machine) Telling() int { return len(m.queue) }

// Suspects are those that have not answered this member itself, with the incarnation that it is of.
func (m *Machine) Suspects() map[uint64]uint32 {
	all := map[uint64]uint32{}
	for _, s := range m.susp {
		if slices.Contains(s.by, m.self.Birth) {
			all[s.birth] = s.inc
		}
	}
	return all
}
