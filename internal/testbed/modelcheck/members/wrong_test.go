package members

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

var mistakes = []explore.Mistake{
	{"a refutation under the same incarnation", "membership/broadcast.go", "\tn.self.Incarnation++\n\tn.toggleDigest(&n.self)\n\tn.queueBroadcast(n.self)\n\tn.gossipPending = true", "\tn.toggleDigest(&n.self)\n\tn.queueBroadcast(n.self)\n\tn.gossipPending = true", ""},
	{"no refutation", "membership/state.go", "case r.Incarnation == n.self.Incarnation && r.Status != Alive && n.self.Status == Alive:", "case false:", ""},
	{"an older suspicion taken", "membership/state.go", "case r.Status == Suspect && r.Incarnation == m.incarnation && m.status <= Suspect:", "case r.Status == Suspect && m.status <= Suspect:", ""},
	{"an older death taken", "membership/state.go", "case r.Status == Dead && r.Incarnation >= m.incarnation && m.status <= Suspect:", "case r.Status == Dead && m.status <= Suspect:", ""},
	{"a dead one's refutation not taken", "membership/state.go", "(r.Status <= Suspect || r.Status == Dead && m.status <= Suspect)", "(r.Status <= Suspect && m.status != Dead || r.Status == Dead && m.status <= Suspect)", ""},
	{"a verdict as soon as there is a suspicion", "membership/suspicion.go", "\treturn s.startedAt + most + most*time.Duration(n.healthScore)/2\n", "\treturn s.startedAt + 0*most\n", ""},
	{"one reporter is enough", "membership/suspicion.go", "if k > 1 && len(s.reporters) > 0 {", "if c := least; len(s.reporters) > 0 {\n\t\tmost = c\n\t}\n\tif false {", ""},
	{"a reporter counted twice", "membership/suspicion.go", "if reporter == 0 || s.id != m.id || slices.Contains(s.reporters, reporter)", "if reporter == 0 || s.id != m.id", ""},
	{"a judge counted as a reporter", "membership/suspicion.go", "n.suspect(now, m, max(r.Incarnation, m.incarnation), 0, \"told dead\")", "n.suspect(now, m, max(r.Incarnation, m.incarnation), r.Reporter, \"told dead\")", ""},
	{"a verdict told on as one's own", "membership/state.go", "\t\tr.Reporter = m.deathReporter\n", "\t\tr.Reporter = n.self.ID\n", ""},
	{"a death believed at one's word", "membership/suspicion.go", "if len(s.deathReporters) >= n.config.Confirmations && !n.isolated {", "if len(s.deathReporters) >= 1 && !n.isolated {", ""},
	{"a pause that voids nothing", "membership/awareness.go", "\t\tn.adjustHealth(3)\n\t\tn.restartSuspicions(now)\n", "\t\tn.adjustHealth(3)\n", ""},
	{"reporters kept over a pause", "membership/suspicion.go", "s.startedAt, s.reporters, s.deathReporters, s.restarted = now, nil, nil, true", "s.deathReporters, s.restarted = nil, true", ""},
	{"who hears nobody judges", "membership/suspicion.go", "if n.isolated && !n.config.DisableLifeguard {\n\t\treturn" + explore.PlaceSeparator + "if n.lastHeardAt <= s.startedAt && !n.config.DisableLifeguard {", "if false {\n\t\treturn" + explore.PlaceSeparator + "if false {", ""},
	{"an answer to nothing asked believed", "membership/node.go", "if msg.Echo == 0 || !known ||", "if msg.Echo == 0 && !known ||", ""},
	{"a ping believed", "membership/probe.go", "\tif len(n.recentPings) >= maxRecentPings {", "\tn.mergeRecord(now, &msg.From)\n\tn.mergePiggyback(now, msg)\n\tif len(n.recentPings) >= maxRecentPings {", ""},
	{"another fleet's messages read", "membership/node.go", "case msg.FleetID != n.config.FleetID:", "case false:", ""},
	{"the way named the wrong way round", "membership/reachability.go", "\t\tr.From, r.To = r.To, r.From\n\t}", "\t\t_ = r\n\t}", ""},
	{"a way never taken back", "membership/reachability.go", "\tif path.published {\n\t\tn.addEvent(", "\tif false {\n\t\tn.addEvent(", ""},
	{"the dead never asked again", "membership/probe.go", "if n.endedCount > 0 && n.probeCount%deadProbeEvery == 0 {", "if false {", "TestBuried"},
	{"seeds asked only while nobody is known", "membership/sync.go", "\tif len(unknown) > 0 {", "\tif len(unknown) > 0 && (n.liveCount == 0 || n.isolated) {", ""},
	{"views never compared", "membership/sync.go", "differ[b] = msg.Digests[b] != n.digests[b]", "differ[b] = false", "TestFar"},
	{"records passed on for ever", "membership/broadcast.go", "return u.transmissions >= limit })", "return u.transmissions < 0 })", ""},
	{"words on two incarnations counted together", "membership/state.go", "(r.Status <= Suspect || r.Status == Dead && m.status <= Suspect)", "r.Status <= Suspect", ""},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch|TestCuts|TestFar)$", mistakes)
	fmt.Printf("proof: members: %d states searched, %d of %d planted mistakes found\n", statesSearched, found, len(mistakes))
}
