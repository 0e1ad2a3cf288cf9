package members

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

var mistakes = []explore.Mistake{
	{"a refutation under the same incarnation", "membership/machine.go", "	m.self.Inc++\n	m.toll(&m.self)\n	m.pass(m.self)\n	m.urgent = true", "	m.toll(&m.self)\n	m.pass(m.self)\n	m.urgent = true", ""},
	{"no refutation", "membership/machine.go", "case r.Inc == m.self.Inc && r.Status != Alive && m.self.Status == Alive:", "case false:", ""},
	{"an older suspicion taken", "membership/machine.go", "case r.Status == Suspect && r.Inc == e.inc && e.status <= Suspect:", "case r.Status == Suspect && e.status <= Suspect:", ""},
	{"an older death taken", "membership/machine.go", "case r.Status == Dead && r.Inc >= e.inc && e.status <= Suspect:", "case r.Status == Dead && e.status <= Suspect:", ""},
	{"a dead one's refutation not taken", "membership/machine.go", "(r.Status <= Suspect || r.Status == Dead && e.status <= Suspect)", "(r.Status <= Suspect && e.status != Dead || r.Status == Dead && e.status <= Suspect)", ""},
	{"a verdict as soon as there is a suspicion", "membership/machine.go", "	return s.began + most + most*time.Duration(m.score)/2\n", "	return s.began + 0*most\n", ""},
	{"one reporter is enough", "membership/machine.go", "if k > 1 && len(s.by) > 0 {", "if c := least; len(s.by) > 0 {\n		most = c\n	}\n	if false {", ""},
	{"a reporter counted twice", "membership/machine.go", "if by == 0 || s.birth != e.birth || slices.Contains(s.by, by)", "if by == 0 || s.birth != e.birth", ""},
	{"a judge counted as a reporter", "membership/machine.go", "m.suspect(now, e, max(r.Inc, e.inc), 0, \"told dead\")", "m.suspect(now, e, max(r.Inc, e.inc), r.By, \"told dead\")", ""},
	{"a verdict told on as one's own", "membership/machine.go", "		r.By = e.by\n", "		r.By = m.self.Birth\n", ""},
	{"a death believed at one's word", "membership/machine.go", "if len(s.buried) >= m.set.Reporters && !m.alone {", "if len(s.buried) >= 1 && !m.alone {", ""},
	{"a pause that voids nothing", "membership/machine.go", "		m.doubt(3)\n		m.void(now)\n", "		m.doubt(3)\n", ""},
	{"reporters kept over a pause", "membership/machine.go", "s.began, s.by, s.buried, s.voided = now, nil, nil, true", "s.buried, s.voided = nil, true", ""},
	{"who hears nobody judges", "membership/talk.go", "if m.alone && !m.set.Plain {\n		return" + explore.Places + "if m.heard <= s.began && !m.set.Plain {", "if false {\n		return" + explore.Places + "if false {", ""},
	{"an answer to nothing asked believed", "membership/talk.go", "if x.Echo == 0 || !known ||", "if x.Echo == 0 && !known ||", ""},
	{"a ping believed", "membership/talk.go", "	if len(m.pings) >= mostPings {", "	m.merge(now, &x.From)\n	m.take(now, x)\n	if len(m.pings) >= mostPings {", ""},
	{"another fleet's messages read", "membership/talk.go", "case x.Fleet != m.set.Fleet:", "case false:", ""},
	{"the way named the wrong way round", "membership/talk.go", "		l.From, l.To = l.To, l.From\n	}", "		_ = l\n	}", ""},
	{"a way never taken back", "membership/talk.go", "	if d.named {\n		m.note(", "	if false {\n		m.note(", ""},
	{"the dead never asked again", "membership/talk.go", "if m.ended > 0 && m.probes%everyDead == 0 {", "if false {", "TestBuried"},
	{"seeds asked only while nobody is known", "membership/talk.go", "	if len(strange) > 0 {", "	if len(strange) > 0 && (m.live == 0 || m.alone) {", ""},
	{"views never compared", "membership/talk.go", "differ[b] = x.Digests[b] != m.digest[b]", "differ[b] = false", "TestFar"},
	{"records passed on for ever", "membership/talk.go", "return u.sent >= most })", "return u.sent < 0 })", ""},
	{"words on two incarnations counted together", "membership/machine.go", "(r.Status <= Suspect || r.Status == Dead && e.status <= Suspect)", "r.Status <= Suspect", ""},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch|TestCuts|TestFar)$", mistakes)
	fmt.Printf("proof: members: %d states searched, %d of %d planted mistakes found\n", searched, found, len(mistakes))
}
