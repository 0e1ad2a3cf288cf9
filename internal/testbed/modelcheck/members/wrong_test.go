package members

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

var mistakes = []explore.Mistake{
	{"a refutation under the same incarnation", "membership/broadcast.go", "\tm.self.Incarnation++\n\tm.toggleDigest(&m.self)\n\tm.queueBroadcast(m.self)\n\tm.gossipPending = true", "\tm.toggleDigest(&m.self)\n\tm.queueBroadcast(m.self)\n\tm.gossipPending = true", ""},
	{"no refutation", "membership/state.go", "case r.Incarnation == m.self.Incarnation && r.Status != Alive && m.self.Status == Alive:", "case false:", ""},
	{"an older suspicion taken", "membership/state.go", "case r.Status == Suspect && r.Incarnation == e.incarnation && e.status <= Suspect:", "case r.Status == Suspect && e.status <= Suspect:", ""},
	{"an older death taken", "membership/state.go", "case r.Status == Dead && r.Incarnation >= e.incarnation && e.status <= Suspect:", "case r.Status == Dead && e.status <= Suspect:", ""},
	{"a dead one's refutation not taken", "membership/state.go", "(r.Status <= Suspect || r.Status == Dead && e.status <= Suspect)", "(r.Status <= Suspect && e.status != Dead || r.Status == Dead && e.status <= Suspect)", ""},
	{"a verdict as soon as there is a suspicion", "membership/suspicion.go", "\treturn s.startedAt + most + most*time.Duration(m.healthScore)/2\n", "\treturn s.startedAt + 0*most\n", ""},
	{"one reporter is enough", "membership/suspicion.go", "if k > 1 && len(s.reporters) > 0 {", "if c := least; len(s.reporters) > 0 {\n\t\tmost = c\n\t}\n\tif false {", ""},
	{"a reporter counted twice", "membership/suspicion.go", "if by == 0 || s.id != e.id || slices.Contains(s.reporters, by)", "if by == 0 || s.id != e.id", ""},
	{"a judge counted as a reporter", "membership/suspicion.go", "m.suspect(now, e, max(r.Incarnation, e.incarnation), 0, \"told dead\")", "m.suspect(now, e, max(r.Incarnation, e.incarnation), r.Reporter, \"told dead\")", ""},
	{"a verdict told on as one's own", "membership/state.go", "\t\tr.Reporter = e.deathReporter\n", "\t\tr.Reporter = m.self.ID\n", ""},
	{"a death believed at one's word", "membership/suspicion.go", "if len(s.deathReporters) >= m.config.Confirmations && !m.isolated {", "if len(s.deathReporters) >= 1 && !m.isolated {", ""},
	{"a pause that voids nothing", "membership/awareness.go", "\t\tm.adjustHealth(3)\n\t\tm.restartSuspicions(now)\n", "\t\tm.adjustHealth(3)\n", ""},
	{"reporters kept over a pause", "membership/suspicion.go", "s.startedAt, s.reporters, s.deathReporters, s.restarted = now, nil, nil, true", "s.deathReporters, s.restarted = nil, true", ""},
	{"who hears nobody judges", "membership/suspicion.go", "if m.isolated && !m.config.DisableLifeguard {\n\t\treturn" + explore.Places + "if m.lastHeardAt <= s.startedAt && !m.config.DisableLifeguard {", "if false {\n\t\treturn" + explore.Places + "if false {", ""},
	{"an answer to nothing asked believed", "membership/node.go", "if x.Echo == 0 || !known ||", "if x.Echo == 0 && !known ||", ""},
	{"a ping believed", "membership/probe.go", "\tif len(m.recentPings) >= maxRecentPings {", "\tm.mergeRecord(now, &x.From)\n\tm.mergePiggyback(now, x)\n\tif len(m.recentPings) >= maxRecentPings {", ""},
	{"another fleet's messages read", "membership/node.go", "case x.FleetID != m.config.FleetID:", "case false:", ""},
	{"the way named the wrong way round", "membership/reachability.go", "		l.From, l.To = l.To, l.From\n	}", "		_ = l\n	}", ""},
	{"a way never taken back", "membership/reachability.go", "\tif d.published {\n\t\tm.addEvent(", "\tif false {\n\t\tm.addEvent(", ""},
	{"the dead never asked again", "membership/probe.go", "if m.endedCount > 0 && m.probeCount%deadProbeEvery == 0 {", "if false {", "TestBuried"},
	{"seeds asked only while nobody is known", "membership/sync.go", "\tif len(unknown) > 0 {", "\tif len(unknown) > 0 && (m.liveCount == 0 || m.isolated) {", ""},
	{"views never compared", "membership/sync.go", "differ[b] = x.Digests[b] != m.digests[b]", "differ[b] = false", "TestFar"},
	{"records passed on for ever", "membership/broadcast.go", "return u.transmissions >= most })", "return u.transmissions < 0 })", ""},
	{"words on two incarnations counted together", "membership/state.go", "(r.Status <= Suspect || r.Status == Dead && e.status <= Suspect)", "r.Status <= Suspect", ""},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch|TestCuts|TestFar)$", mistakes)
	fmt.Printf("proof: members: %d states searched, %d of %d planted mistakes found\n", searched, found, len(mistakes))
}
