package modelcheck

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

var mistakes = []explore.Mistake{
	{"the end reckoned from the answer", "quota/quotaclient/holder.go", "end := h.began + h.doc.Part()", "end := now + h.doc.Part()", ""},
	{"no clock bound at the giver", "quota/allocator/giver.go", "return g.doc.Elsewhere(g.doc.Part() + b.Linger())", "return g.doc.Part() + b.Linger()", ""},
	{"a new giver that doesn't wait", "quota/allocator/giver.go", "if now < g.since+g.held(b) {", "if now < g.since {", ""},
	{"a part taken anew after its end", "quota/quotaclient/holder.go", "if g.Extends && now >= x.until {", "if false {", ""},
	{"an older answer taken", "quota/quotaclient/holder.go", "a.Seq != h.seq || h.heard", "a.Seq > h.seq", ""},
	{"an answer to an earlier incarnation taken", "quota/quotaclient/holder.go", "a.ID != h.id || ", "", ""},
	{"an old renewal heard", "quota/allocator/giver.go", "case r.Seq <= m.seq:", "case false:", ""},
	{"a grant not counted", "quota/allocator/giver.go", "x.granted, x.grantedEnd = grant.Amount, now+g.held(b)", "", ""},
	{"a part that shrinks counted small before it is", "quota/allocator/giver.go", "held: held, heldEnd: now + g.held(b), claim: rep}", "claim: rep}\n		_ = held", ""},
	{"floors not set aside", "quota/fleet.go", "max(0, t.Rate-n*b.Least)", "max(0, t.Rate)", ""},
	{"floors' bursts not set aside", "quota/fleet.go", "max(0, t.Burst-n*b.LeastBurst)", "max(0, t.Burst)", ""},
	{"the clocks' bound not taken off a rate", "quota/fleet.go", "b.Whole / (1 + d.drift())", "b.Whole", ""},
	{"more members than seats", "registry/register.go", "len(r.Members) >= r.Doc.Seats", "len(r.Members) > r.Doc.Seats", ""},
	{"a part that brings tokens", "quota/quotaclient/holder.go", "x.tokens = min(x.tokens, h.depth(b, x, now)) // a part", "x.tokens = h.depth(b, x, now) // a part", ""},
	{"saved tokens kept past the end", "quota/quotaclient/holder.go", "	x.tokens = min(x.tokens, h.depth(b, x, now))\n	return x" + explore.Places + "x.tokens = min(a.Burst, x.tokens+",
		"	return x" + explore.Places + "x.tokens = min(max(a.Burst, x.tokens), x.tokens+"},
	{"buckets that start full", "quota/quotaclient/holder.go", "row{at: h.seatedAt, touched: now}", "row{at: 0, touched: now}", ""},
	{"a majority of one", "quota/allocator/desk.go", "return 2*agree > agents", "return agree > 0", ""},
	{"a later term agreed with", "quota/allocator/desk.go", "if t <= own {", "if t > 0 {", ""},
	{"asked before it is decided", "quota/allocator/desk.go", "decision[T]{d.round + 1, term, it}", "decision[T]{d.round, term, it}", ""},
	{"a seat given on early", "quota/allocator/giver.go", "now >= m.heard+g.seat())", "now >= m.heard+g.doc.Part())", ""},
	{"a seat given on with its floor still out", "quota/allocator/giver.go", "return g.doc.Elsewhere(g.doc.Seat() + linger)", "return g.doc.Elsewhere(g.doc.Seat()) + 0*linger", ""},
	{"a seat that doesn't end at its member", "quota/quotaclient/holder.go", "return h.seated && now < h.seatEnd", "return h.seated", ""},
	{"a lost join that keeps its first time", "quota/allocator/giver.go", "		x.heard = now\n		g.members[m.ID] = x\n		return nil", "		return nil", ""},
	{"a stock given on before it is drained", "quota/allocator/giver.go", "held.Rate = max(held.Rate, rep.InUse-b.Least)", "", ""},
	{"no time to end for what is out", "quota/allocator/giver.go", "g.doc.Part() + b.Linger()", "g.doc.Part()", ""},
	{"left over reckoned without one", "quota/allocator/page.go", "at != but {", "at > but {", ""},
	{"left over reckoned without a run", "quota/allocator/page.go", "		if i == but/p.width {\n", "		if i < but/p.width {\n			continue\n		}\n		if i == but/p.width {\n", ""},
	{"a run's sum from before a renewal", "quota/allocator/page.go", "	if len(p.sums) > 0 {\n", "	if false {\n", ""},
	{"a run's sum of other rows", "quota/allocator/page.go", "func (p *page) moved() { p.sums = p.sums[:0] }\n", "func (p *page) moved() {\n	if len(p.rows) > p.width*len(p.sums) || p.width*(len(p.sums)-1) >= len(p.rows) {\n		p.sums = p.sums[:0]\n	}\n}\n", ""},
	{"a new giver that doesn't wait for what lingers", "quota/allocator/giver.go", "if now < g.since+g.held(b) {", "if now < g.since+g.doc.Elsewhere(g.doc.Part()) {", ""},
	{"a burst given twice", "quota/allocator/giver.go", "if burst > left.Burst {", "if false {", ""},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../controlplane", "^(TestLong|TestSearch)$", mistakes)
	fmt.Printf("proof: budgets: %d states searched, %d of %d planted mistakes found\n", searched, found, len(mistakes))
}
