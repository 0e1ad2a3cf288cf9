package members

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

// mistakes are planted one at a time.
var mistakes = []explore.Mistake{
	{"a refutation under the same incarnation", "membership/broadcast.go", "\tn.self.Incarnation++\n\tn.toggleDigest(&n.self)\n\tn.queueBroadcast(n.self)\n\tn.gossipPending = true", "\tn.toggleDigest(&n.self)\n\tn.queueBroadcast(n.self)\n\tn.gossipPending = true", ""},
	{"no refutation", "membership/state.go", "case r.Incarnation == n.self.Incarnation && r.Status != Alive && n.self.Status == Alive:", "case false:", ""},
	{"an older suspicion applied", "membership/state.go", "case r.Status == Suspect && r.Incarnation == m.incarnation && m.status <= Suspect:", "case r.Status == Suspect && m.status <= Suspect:", ""},
	{"an older death applied", "membership/state.go", "case r.Status == Dead && r.Incarnation >= m.incarnation && m.status <= Suspect:", "case r.Status == Dead && m.status <= Suspect:", ""},
	{"a dead member's refutation ignored", "membership/state.go", "(r.Status <= Suspect || r.Status == Dead && m.status <= Suspect)", "(r.Status <= Suspect && m.status != Dead || r.Status == Dead && m.status <= Suspect)", ""},
	{"a verdict without a suspicion time", "membership/suspicion.go", "\treturn s.startedAt + most + most*time.Duration(n.healthScore)/2\n", "\treturn s.startedAt + 0*most\n", ""},
	{"one reporter shortens a suspicion fully", "membership/suspicion.go", "if k > 1 && len(s.reporters) > 0 {", "if c := least; len(s.reporters) > 0 {\n\t\tmost = c\n\t}\n\tif false {", ""},
	{"a reporter counted twice", "membership/suspicion.go", "if reporter == 0 || s.id != m.id || slices.Contains(s.reporters, reporter)", "if reporter == 0 || s.id != m.id", ""},
	{"a member with a verdict counted as a reporter", "membership/suspicion.go", "n.suspect(now, m, max(r.Incarnation, m.incarnation), 0, \"told dead\")", "n.suspect(now, m, max(r.Incarnation, m.incarnation), r.Reporter, \"told dead\")", ""},
	{"a forwarded verdict attributed to oneself", "membership/state.go", "\t\tr.Reporter = m.deathReporter\n", "\t\tr.Reporter = n.self.ID\n", ""},
	{"a death accepted from one reporter", "membership/suspicion.go", "if len(s.deathReporters) >= n.config.Confirmations && !n.isolated {", "if len(s.deathReporters) >= 1 && !n.isolated {", ""},
	{"suspicions not restarted after a pause", "membership/awareness.go", "\t\tn.adjustHealth(3)\n\t\tn.restartSuspicions(now)\n", "\t\tn.adjustHealth(3)\n", ""},
	{"reporters kept over a pause", "membership/suspicion.go", "s.startedAt, s.reporters, s.deathReporters, s.restarted = now, nil, nil, true", "s.deathReporters, s.restarted = nil, true", ""},
	{"an isolated member declares others dead", "membership/suspicion.go", "if n.isolated && !n.config.DisableLifeguard {\n\t\treturn" + explore.PlaceSeparator + "if n.lastHeardAt <= s.startedAt && !n.config.DisableLifeguard {", "if false {\n\t\treturn" + explore.PlaceSeparator + "if false {", ""},
	{"an unsolicited response accepted", "membership/node.go", "if msg.Echo == 0 || !known ||", "if msg.Echo == 0 && !known ||", ""},
	{"records of a ping applied", "membership/probe.go", "\tif len(n.recentPings) >= maxRecentPings {", "\tn.mergeRecord(now, &msg.From)\n\tn.mergePiggyback(now, msg)\n\tif len(n.recentPings) >= maxRecentPings {", ""},
	{"another fleet's messages accepted", "membership/node.go", "case msg.FleetID != n.config.FleetID:", "case false:", ""},
	{"a path reported in the wrong direction", "membership/reachability.go", "\t\tr.From, r.To = r.To, r.From\n\t}", "\t\t_ = r\n\t}", ""},
	{"a path report never withdrawn", "membership/reachability.go", "\tif path.published {\n\t\tn.addEvent(", "\tif false {\n\t\tn.addEvent(", ""},
	{"dead members never probed again", "membership/probe.go", "if n.endedCount > 0 && n.probeCount%deadProbeEvery == 0 {", "if false {", "TestBuried"},
	{"seeds called only while no member is known", "membership/sync.go", "\tif len(unknown) > 0 {", "\tif len(unknown) > 0 && (n.liveCount == 0 || n.isolated) {", ""},
	{"views never compared", "membership/sync.go", "differ[b] = msg.Digests[b] != n.digests[b]", "differ[b] = false", "TestFar"},
	{"records broadcast without end", "membership/broadcast.go", "return u.transmissions >= limit })", "return u.transmissions < 0 })", ""},
	{"reports on two incarnations counted together", "membership/state.go", "(r.Status <= Suspect || r.Status == Dead && m.status <= Suspect)", "r.Status <= Suspect", ""},
}

// TestPlanted checks that the tests find each of the planted mistakes.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch|TestCuts|TestFar)$", mistakes)
	fmt.Printf("proof: members: %d states searched, %d of %d planted mistakes found\n", statesSearched, found, len(mistakes))
}
